//! How often calls to a server have ended their connection of late.

use crate::interface::Time;

/// What was seen of a server's connections that ended counts half after so many of the shortest aim: as long as
/// the module remembers its servers' bad ends.
pub(super) const LOSSES_HALF_LIFE_AIMS: f64 = 4.0;
/// And is held against so many calls that ended none.
const SOUND_CALLS: f64 = 4.0;
/// How many of a server's calls ended their connection of late, and with it all others that were out on it.
/// Guards against servers that reset connections under requests or spoil answers: with one connection a server,
/// each such call would lose every part that is out there. Costs further connections.
#[derive(Default)]
pub(super) struct ConnectionLosses {
    pub(super) calls: f64,
    pub(super) ends: f64,
    /// To when both are faded.
    faded: Time,
}

impl ConnectionLosses {
    pub(super) fn fade(&mut self, now: Time, half_life: f64) {
        // Most parts of a step go out in the same moment.
        if now == self.faded {
            return;
        }
        let keep = 0.5_f64.powf(now.since(self.faded).as_secs_f64() / half_life);
        (self.calls, self.ends, self.faded) = (self.calls * keep, self.ends * keep, now);
    }

    /// What a part costs on a connection with others out, which are counted only where they matter: it is lost with
    /// each of them, and each of them with it, and a part that is lost costs half a part, as another try serves most.
    pub(super) fn cost(&self, out: impl FnOnce() -> usize) -> f64 {
        if self.ends == 0.0 {
            return 0.0;
        }
        self.ends / (self.calls + SOUND_CALLS) * out() as f64
    }
}
