//! What happens when, to whom: a scenario and its seed made into single acts. No I/O; the same seed gives the same
//! acts.

use std::time::Duration;

use badgergauge_standin::model;
use badgergauge_standin::world::{ListedState, WorldCommand as World};
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::proxy::Rule;
use crate::scenario::{Brokers, Fault, Manner, Scenario, Signal};

/// How long a server that is replaced drains before its process ends.
pub const DRAINS: Duration = Duration::from_millis(1500);

/// A single act.
#[derive(Clone, Debug, PartialEq)]
pub enum Act {
    /// A broker's process is killed.
    Kill(usize),
    /// It is started again.
    Start(usize),
    /// It is told to end, and started again once it has.
    Restart(usize),
    /// A second process of it is started, and takes over from the running one.
    Upgrade(usize),
    /// It is told to drain.
    StartDrain(usize),
    /// It is told to take clients again.
    StopDrain(usize),
    /// It is stopped where it stands.
    Pause(usize),
    /// It goes on.
    Resume(usize),
    /// It is held up before some of its writes from now on, or before none any more.
    DelayWrites(usize, Option<WriteDelay>),
    /// Its store is wiped.
    Wipe(usize),
    /// Its store is cut to half its length.
    Cut(usize),
    /// It gets a file that moves discovery, and SIGHUP.
    Reload(usize),
    /// It gets SIGHUP, with its configuration as it stands.
    Hup(usize),
    /// So many clients connect to it and ask for nothing.
    CrowdComes(usize, usize),
    /// They leave.
    CrowdLeaves(usize),
    /// The stand-ins are told so.
    World(World),
    /// A server's machine is there no more, or again, for connections of all brokers.
    Server(usize, bool),
    /// Links do so from now on.
    Links(Links, Rule),
    /// Connections of these links are reset.
    ResetLinks(Links),
}

/// How a broker is held up before writes that give a part up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WriteDelay {
    /// Each so many-th of these writes is delayed.
    pub every: u64,
    /// By so much.
    pub by: Duration,
}

/// A choice of links.
#[derive(Clone, Debug, PartialEq)]
pub enum Links {
    /// All there are.
    All,
    /// All brokers' links to these servers.
    Servers(Vec<usize>),
    /// Links between this zone and the others: brokers to servers and brokers to brokers.
    AcrossZone(usize),
}

/// A schedule: acts by time, in order.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Schedule {
    /// The acts, by time from the clients' start.
    pub acts: Vec<(Duration, Act)>,
    /// Servers beyond those of the start, in order of their coming: the cell of each.
    pub later: Vec<usize>,
}

/// The zone of a broker or a server.
pub fn zone_of(number: usize, zones: usize) -> usize {
    number % zones
}

/// So many of a number, at random, at the least one where the share is above none.
fn some(rng: &mut ChaCha8Rng, of: usize, share: f64) -> Vec<usize> {
    let mut all: Vec<usize> = (0..of).collect();
    all.shuffle(rng);
    let count = (of as f64 * share).round() as usize;
    all.truncate(if share > 0.0 { count.max(1) } else { 0 });
    all
}

/// The brokers that an event names, in the order in which it comes to them.
fn choose(rng: &mut ChaCha8Rng, of: usize, chosen: Brokers) -> Vec<usize> {
    match chosen {
        // The count may have been lowered since the scenario was checked.
        Brokers::One(broker) => (broker < of).then_some(broker).into_iter().collect(),
        Brokers::Share(share) => some(rng, of, share),
    }
}

impl Schedule {
    /// The schedule of a scenario.
    pub fn new(scenario: &Scenario) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(scenario.seed);
        let mut schedule = Schedule::default();
        for event in &scenario.events {
            schedule.add(scenario, event.at, &event.fault, &mut rng);
        }
        schedule.acts.sort_by_key(|(at, _)| *at);
        schedule
    }

    fn add(&mut self, scenario: &Scenario, at: Duration, fault: &Fault, rng: &mut ChaCha8Rng) {
        let (brokers, servers) = (scenario.brokers, scenario.servers);
        let mut act = |at: Duration, act: Act| self.acts.push((at, act));
        match fault {
            Fault::Kill { share, back } => {
                for broker in some(rng, brokers, *share) {
                    act(at, Act::Kill(broker));
                    act(at + *back, Act::Start(broker));
                }
            }
            Fault::Roll { share, every } => {
                let group = ((brokers as f64 * share).round() as usize).max(1);
                for (n, group) in some(rng, brokers, 1.0).chunks(group).enumerate() {
                    group.iter().for_each(|broker| act(at + *every * n as u32, Act::Restart(*broker)));
                }
            }
            Fault::Upgrade { brokers: chosen, every } => {
                for (n, broker) in choose(rng, brokers, *chosen).into_iter().enumerate() {
                    act(at + *every * n as u32, Act::Upgrade(broker));
                }
            }
            Fault::Drain { brokers: chosen, every, lasts } => {
                for (n, broker) in choose(rng, brokers, *chosen).into_iter().enumerate() {
                    let start = at + *every * n as u32;
                    act(start, Act::StartDrain(broker));
                    act(start + *lasts, Act::StopDrain(broker));
                }
            }
            Fault::Pause { share, lasts } => {
                for broker in some(rng, brokers, *share) {
                    act(at, Act::Pause(broker));
                    act(at + *lasts, Act::Resume(broker));
                }
            }
            Fault::Hold { share, by, every, lasts } => {
                for broker in some(rng, brokers, *share) {
                    act(at, Act::DelayWrites(broker, Some(WriteDelay { every: *every, by: *by })));
                    act(at + *lasts, Act::DelayWrites(broker, None));
                }
            }
            Fault::Stores { share, cut } => {
                for broker in some(rng, brokers, *share) {
                    act(at, if *cut { Act::Cut(broker) } else { Act::Wipe(broker) });
                }
            }
            Fault::Reload => (0..brokers).for_each(|broker| act(at, Act::Reload(broker))),
            Fault::Signals { share, series, every } => {
                for broker in some(rng, brokers, *share) {
                    for (n, signal) in series.iter().enumerate() {
                        let signalled = match signal {
                            Signal::Hup => Act::Hup(broker),
                            Signal::Term => Act::Restart(broker),
                        };
                        act(at + *every * n as u32, signalled);
                    }
                }
            }
            Fault::Crowd { share, clients, lasts } => {
                for broker in some(rng, brokers, *share) {
                    act(at, Act::CrowdComes(broker, *clients));
                    act(at + *lasts, Act::CrowdLeaves(broker));
                }
            }
            Fault::LoseZone { zone, lasts } => {
                let lost: Vec<usize> =
                    (0..servers).filter(|s| zone_of(*s, scenario.zones) == *zone).collect();
                act(at, Act::Links(Links::Servers(lost.clone()), Rule::cut()));
                // What comes back is another process: old connections are reset as it is reached again.
                lost.iter().for_each(|server| act(at + *lasts, Act::World(World::StopServer(*server))));
                act(at + *lasts, Act::ResetLinks(Links::Servers(lost.clone())));
                lost.iter().for_each(|server| act(at + *lasts, Act::World(World::StartServer(*server))));
                act(at + *lasts, Act::Links(Links::Servers(lost), Rule::default()));
            }
            Fault::Partition { zone, one_way, lasts } => {
                let rule = Rule { cut_there: !one_way, ..Rule::cut() };
                act(at, Act::Links(Links::AcrossZone(*zone), rule));
                act(at + *lasts, Act::Links(Links::AcrossZone(*zone), Rule::default()));
            }
            Fault::Replace { share, within } => {
                let old = some(rng, servers, *share);
                let step = *within / old.len().max(1) as u32;
                for (n, server) in old.into_iter().enumerate() {
                    let (at, new) = (at + step * n as u32, servers + self.later.len());
                    self.later.push(server % scenario.cells);
                    let mut act = |at: Duration, act: Act| self.acts.push((at, act));
                    act(at, Act::World(World::StartServer(new)));
                    act(at, Act::Server(new, true));
                    act(at, Act::World(World::SetListed(new, ListedState::Up)));
                    act(at, Act::World(World::SetListed(server, ListedState::Draining)));
                    act(at + DRAINS, Act::World(World::SetListed(server, ListedState::Removed)));
                    act(at + DRAINS * 2, Act::Server(server, false));
                    act(at + DRAINS * 2, Act::World(World::StopServer(server)));
                }
            }
            Fault::Servers { share, manner, lasts } => {
                let manner = match manner {
                    Manner::Break => model::Behaviour::Fail,
                    Manner::TurnAway => model::Behaviour::Reject,
                    Manner::Swallow => model::Behaviour::Ignore,
                    Manner::Hang => model::Behaviour::CloseConnection,
                    Manner::Slow => model::Behaviour::Slow(10.0),
                    Manner::Spoil => model::Behaviour::CorruptResponse,
                };
                for server in some(rng, servers, *share) {
                    act(at, Act::World(World::SetBehaviour(server, manner)));
                    act(at + *lasts, Act::World(World::SetBehaviour(server, model::Behaviour::Serve)));
                }
            }
            Fault::Late { by, lasts } => {
                act(at, Act::World(World::DelayListUpdates(*by)));
                act(at + *lasts, Act::World(World::DelayListUpdates(Duration::ZERO)));
            }
            // The world's times count from its start, a little before the clients': the runner adds that.
            Fault::TurnAway { lasts } => act(at, Act::World(World::RejectCallsUntil(at + *lasts))),
            Fault::Silence { lasts } => act(at, Act::World(World::StallDiscoveryUntil(at + *lasts))),
            Fault::Network { delay, jitter, loss, reset, rate, lasts } => {
                let rule = Rule {
                    delay: *delay,
                    jitter: *jitter,
                    loss: *loss,
                    reset: *reset,
                    rate: *rate,
                    ..Rule::default()
                };
                act(at, Act::Links(Links::All, rule));
                act(at + *lasts, Act::Links(Links::All, Rule::default()));
            }
        }
        // Each event draws from a stream of its own length, whatever it drew: the next one's draw is not its
        // neighbour's.
        let _: u64 = rng.random();
    }

    /// Whether it upgrades or drains brokers: what clients must not notice.
    pub fn is_seamless(&self) -> bool {
        let seamless = |act: &Act| matches!(act, Act::Upgrade(_) | Act::StartDrain(_));
        self.acts.iter().any(|(_, act)| seamless(act))
    }

    /// When the last act is over.
    pub fn ends(&self) -> Duration {
        self.acts.last().map_or(Duration::ZERO, |(at, _)| *at)
    }

    /// Spans in which requests at a broker may end without an answer through no fault of its own: it was
    /// killed or stood still. From when, until when.
    pub fn excused(&self, broker: usize) -> Vec<(Duration, Duration)> {
        let mut spans = Vec::new();
        for (at, act) in &self.acts {
            match act {
                Act::Kill(b) if *b == broker => spans.push((*at, *at)),
                Act::Pause(b) if *b == broker => {
                    let on = self.acts.iter().find(|(t, a)| t >= at && *a == Act::Resume(broker));
                    spans.push((*at, on.map_or(*at, |(t, _)| *t)));
                }
                _ => {}
            }
        }
        spans
    }
}

#[cfg(test)]
mod tests {
    use std::path::Path;

    use super::*;

    fn schedule(seed: u64, events: &str) -> Schedule {
        let text = format!(
            "brokers: 10\nservers: 12\nzones: 3\ncells: 6\nrate: 20\nseconds: 9\nseed: {seed}\nevents:\n{events}"
        );
        Schedule::new(&Scenario::read(Path::new("s"), &text).expect("sound"))
    }

    #[test]
    fn the_same_seed_gives_the_same_acts_and_another_gives_others() {
        let events =
            "  - {at: 1, kill: {share: 0.7, back_s: 0.5}}\n  - {at: 3, replace: {share: 0.5, within_s: 3}}\n";
        assert_eq!(schedule(7, events), schedule(7, events));
        assert_ne!(schedule(7, events).acts, schedule(8, events).acts);
        let kills = schedule(7, events).acts.iter().filter(|(_, act)| matches!(act, Act::Kill(_))).count();
        assert_eq!((kills, schedule(7, events).later.len()), (7, 6));
    }

    #[test]
    fn a_roll_restarts_each_broker_once_a_tenth_at_a_time() {
        let schedule = schedule(3, "  - {at: 2, roll: {share: 0.2, every_s: 0.5}}\n");
        let mut seen = [0; 10];
        for (n, (at, act)) in schedule.acts.iter().enumerate() {
            let Act::Restart(broker) = act else { panic!("{act:?}") };
            seen[*broker] += 1;
            assert_eq!(*at, Duration::from_millis(2000 + 500 * (n as u64 / 2)));
        }
        assert_eq!(seen, [1; 10]);
    }

    #[test]
    fn upgrades_come_to_each_broker_once_in_turn() {
        let schedule = schedule(3, "  - {at: 2, upgrade: {share: 1, every_s: 0.5}}\n");
        let mut seen = [0; 10];
        for (n, (at, act)) in schedule.acts.iter().enumerate() {
            let Act::Upgrade(broker) = act else { panic!("{act:?}") };
            seen[*broker] += 1;
            assert_eq!(*at, Duration::from_millis(2000 + 500 * n as u64));
        }
        assert_eq!(seen, [1; 10]);
        assert!(schedule.is_seamless());
    }

    #[test]
    fn brokers_that_drain_are_taken_back() {
        let one = schedule(3, "  - {at: 2, drain: {broker: 6, for_s: 5}}\n");
        let s = Duration::from_secs;
        assert_eq!(one.acts, [(s(2), Act::StartDrain(6)), (s(7), Act::StopDrain(6))]);
        let some = schedule(3, "  - {at: 1, drain: {share: 0.3, every_s: 1, for_s: 5}}\n");
        let mut brokers: Vec<usize> = Vec::new();
        for (at, act) in &some.acts {
            if let Act::StartDrain(broker) = act {
                assert_eq!(*at, s(1 + brokers.len() as u64));
                assert!(some.acts.contains(&(*at + s(5), Act::StopDrain(*broker))));
                brokers.push(*broker);
            }
        }
        assert_eq!((brokers.len(), some.acts.len()), (3, 6));
        assert!(one.is_seamless() && some.is_seamless());
        assert!(!schedule(3, "  - {at: 2, roll: {share: 1, every_s: 1}}\n").is_seamless());
    }

    #[test]
    fn those_that_were_killed_or_stood_still_are_excused() {
        let schedule = schedule(
            3,
            "  - {at: 2, pause: {share: 1, for_s: 1}}\n  - {at: 5, kill: {share: 1, back_s: 1}}\n",
        );
        let s = Duration::from_secs;
        assert_eq!(schedule.excused(4), [(s(2), s(3)), (s(5), s(5))]);
        assert_eq!(schedule.ends(), s(6));
    }
}
