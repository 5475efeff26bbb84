//! Tile servers: frames, and the few connections that carry them.

use std::collections::{HashMap, VecDeque};
use std::io::{self, Read};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::time::Duration;

use crate::config::settings::{SiteSettings, load_report};
use crate::core::{AttemptId, Send};
use crate::interface::{Effect, LoadReport, ServerId, Time, Verdict};
use crate::net::clock::Clock;
use crate::net::outbox::{GATHER, Outbox};
use crate::net::{Due, Net};

/// Longest frame that is read: a value has to fit into an answer to a client.
const MAX_FRAME: usize = 64 * 1024;
/// A connection that has parts out and says nothing for this part of the shortest aim is in doubt.
const QUIET_PART: u32 = 6;
/// One that stays silent for so many times that, while its server answers on another what came later, is dead.
const DEAD_AFTER: u32 = 3;
/// Of connections that had fallen silent and were probed, so many were dead before any was seen, and the weight with
/// which that is held.
const DEAD_OF_PROBED: [f64; 2] = [0.05, 8.0];
/// Connections to one server up to which a further one is made where all there are are in doubt.
const DOUBTED: usize = 3;
/// What a connection's buffer keeps between answers, which are short as a rule.
const KEPT_BUFFER: usize = 4 * 1024;
/// Connections to one server at the most; one is the rule.
const MOST_PER_SERVER: usize = 8;
/// What was seen of a server's connections that ended counts half after so many of the shortest aim: as long as
/// the module remembers its servers' bad ends.
const ENDS_HALF_LIFE_AIMS: f64 = 4.0;
/// And is held against so many calls that ended none.
const SOUND_CALLS: f64 = 4.0;
/// Connections are closed once idle for this share of the servers' limit: from the limit on, what is
/// written to one ends as a reset.
const IDLE_SHARE: f64 = 0.8;

/// How long after word that an attempt is given up has been written (a frame `c`, or this broker's close of
/// its connection) the attempt counts as over: the slack that the protocol gives every time limit, taken as how
/// late a server may be found to have read what was written. Until then its part is not sent again: a server
/// may read the next attempt, on another connection, before that word, and two would be out at once.
const HEARD_AFTER: Duration = Duration::from_millis(50);

/// A connection may be given up after this part of the shortest aim, where others come up sooner.
const SETUP_PART: u32 = 12;
/// Weights of the newest time in the mean and in the mean deviation, and how many deviations above the mean
/// are waited for: those of TCP's retransmission timer (RFC 6298).
const SETUP_WEIGHTS: [f64; 2] = [0.125, 0.25];
const SETUP_DEVIATIONS: f64 = 4.0;

/// How long connections take to come up of late. Guards against machines that are gone without a word: a
/// part that waits for a connection to one would else lose the whole connect time-out, and each of many
/// brokers loses that for each such machine. Costs a connection that a standing server would have accepted
/// later.
struct SetupTime {
    least: Duration,
    most: Duration,
    /// Mean and mean deviation, in seconds.
    seen: Option<[f64; 2]>,
}

impl SetupTime {
    fn new(least: Duration, most: Duration) -> Self {
        SetupTime { least, most, seen: None }
    }

    fn learn(&mut self, took: Duration) {
        let took = took.as_secs_f64();
        self.seen = Some(match self.seen {
            None => [took, took / 2.0],
            Some([mean, deviation]) => [
                mean + (took - mean) * SETUP_WEIGHTS[0],
                deviation + ((took - mean).abs() - deviation) * SETUP_WEIGHTS[1],
            ],
        });
    }

    /// How long one takes, in seconds; nothing as long as none has come up.
    fn mean(&self) -> f64 {
        self.seen.map_or(0.0, |[mean, _]| mean)
    }

    /// Until when a new one is waited for; the whole time-out as long as none has come up.
    fn limit(&self) -> Duration {
        let Some([mean, deviation]) = self.seen else { return self.most };
        Duration::from_secs_f64(mean + SETUP_DEVIATIONS * deviation).max(self.least).min(self.most)
    }
}

/// How many of a server's calls ended their connection of late, and with it all others that were out on it.
/// Guards against servers that reset connections under requests or spoil answers: with one connection a server,
/// each such call would lose every part that is out there. Costs further connections.
#[derive(Default)]
struct Ends {
    calls: f64,
    ends: f64,
    /// To when both are faded.
    faded: Time,
}

impl Ends {
    fn fade(&mut self, now: Time, half_life: f64) {
        // Most parts of a step go out in the same moment.
        if now == self.faded {
            return;
        }
        let keep = 0.5_f64.powf(now.since(self.faded).as_secs_f64() / half_life);
        (self.calls, self.ends, self.faded) = (self.calls * keep, self.ends * keep, now);
    }

    /// What a part costs on a connection with others out, which are counted only where they matter: it is lost with
    /// each of them, and each of them with it, and a part that is lost costs half a part, as another try serves most.
    fn cost(&self, out: impl FnOnce() -> usize) -> f64 {
        if self.ends == 0.0 {
            return 0.0;
        }
        self.ends / (self.calls + SOUND_CALLS) * out() as f64
    }
}

/// Something that ended at a server.
#[derive(Clone, Debug, PartialEq)]
pub enum Done {
    /// An attempt.
    Attempt(AttemptId, Verdict, Option<String>, LoadReport),
    /// A probe, and how long it took.
    Probe(ServerId, Verdict, Duration, LoadReport),
}

struct Server {
    address: SocketAddr,
    /// Whether it may be sent anything new.
    open: bool,
    links: Vec<usize>,
    /// When the youngest part that it has answered was written.
    answered: Time,
    ended: Ends,
}

/// The outcome of an attempt that was given up, held until its server has heard so.
struct Held {
    due: Time,
    /// The connection that carries the word, and the part's id on it.
    key: usize,
    name: String,
    done: Done,
}

/// Who ended a connection.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Ended {
    /// This broker, which closed it.
    Here,
    /// Its server or the network: it was reset or closed, or could not be written.
    Peer,
}

/// What a frame carries.
enum Frame {
    Query(Vec<(String, Send)>),
    Cancel(String),
    Probe,
}

/// A part that a connection answers for.
struct Carried {
    attempt: AttemptId,
    /// When its frame's last byte was written: from here on it may run.
    written: Option<Time>,
    /// When it was given up: nobody waits for it any more, but its answer may still come.
    abandoned: Option<Time>,
    /// When the word that it was given up was written whole.
    told: Option<Time>,
}

struct Link {
    server: ServerId,
    address: SocketAddr,
    stream: TcpStream,
    connected: bool,
    /// Attempts that might no longer begin when their turn to be written came.
    late: Vec<AttemptId>,
    /// Frames that are not encoded yet, then those that are, in step with the outbox.
    waiting: VecDeque<Frame>,
    encoded: VecDeque<Frame>,
    outbox: Outbox,
    bytes: Vec<u8>,
    /// Since when a frame is begun and not whole.
    begun: Option<Time>,
    /// The part that was answered last, whose answer may come twice.
    answered: String,
    /// Parts by their id on the wire, which recurs over a part's attempts.
    parts: HashMap<String, Carried>,
    probes: VecDeque<Time>,
    last_used: Time,
    /// When anything last came.
    heard: Time,
    /// A part was given up on it after a long silence, which goes on.
    doubted: bool,
    /// It was probed for this silence of its own.
    probed: bool,
    /// Whether the poller was asked for writability.
    asked_write: bool,
    /// The number of the step whose sends may still join the last frame.
    step: u64,
    /// Attempts whose last byte was written since this was last taken.
    relayed: u64,
    /// Parts that were given up long ago are still unanswered on it: it gets nothing new, and ends once
    /// nobody waits for anything on it.
    retired: bool,
}

/// All connections to tile servers.
pub struct Backend {
    settings: Arc<SiteSettings>,
    most: usize,
    /// A connection that has said nothing for so long, with parts out on it, is in doubt.
    quiet: Duration,
    servers: HashMap<ServerId, Server>,
    links: HashMap<usize, Link>,
    /// Which connection answers for an attempt.
    attempts: HashMap<AttemptId, usize>,
    touched: Vec<usize>,
    step: u64,
    /// How long connections take to come up.
    setup: SetupTime,
    /// Connections that were probed for their silence, and those of them that were dead; both are halved now and then.
    probed: [f64; 2],
    /// Attempts whose last byte was written since this was last taken.
    relayed: u64,
    /// What has ended and has not been taken yet.
    pub done: Vec<Done>,
    /// The time of the latest call that told it.
    now: Time,
    /// Outcomes of attempts that were given up, until their servers have heard so.
    held: Vec<Held>,
    /// When the wheel brings the next look at them.
    held_armed: Option<Time>,
    /// Parts that may have run, by their id on the wire, whose connection ended: when, whether they had
    /// been given up before, and who ended it. Kept for the longest deadline, and only while debug lines
    /// are written: the probe of the rule on second copies reads it.
    closed: HashMap<String, (Time, bool, Ended)>,
}

impl Backend {
    /// No connections yet, and `most` of them at any time.
    pub fn new(settings: Arc<SiteSettings>, most: usize) -> Self {
        let aim = settings.module.shortest_aim();
        Backend {
            quiet: aim / QUIET_PART,
            setup: SetupTime::new(aim / SETUP_PART, settings.connect_time_out),
            settings,
            most,
            servers: HashMap::new(),
            links: HashMap::new(),
            attempts: HashMap::new(),
            touched: Vec::new(),
            step: 0,
            probed: [0.0; 2],
            relayed: 0,
            done: Vec::new(),
            now: Time(0),
            held: Vec::new(),
            held_armed: None,
            closed: HashMap::new(),
        }
    }

    /// A server may be sent to at this address; connections to an older one get nothing new.
    pub fn open(&mut self, server: ServerId, address: SocketAddr) {
        let known = self.servers.entry(server).or_insert_with(|| Server {
            address,
            open: true,
            links: Vec::new(),
            answered: Time(0),
            ended: Ends::default(),
        });
        (known.address, known.open) = (address, true);
    }

    /// A server may be sent nothing new: what is queued and not begun comes back unsent. A send counts
    /// from its first byte, so a frame that was begun is finished.
    pub fn shut(&mut self, server: ServerId) {
        let Some(state) = self.servers.get_mut(&server) else { return };
        state.open = false;
        for key in state.links.clone() {
            let Some(link) = self.links.get_mut(&key) else { continue };
            let mut unsent = link.waiting.drain(..).collect::<Vec<_>>();
            while link.encoded.len() > link.outbox.begun() {
                let last = link.encoded.len() - 1;
                link.outbox.replace(last, None);
                unsent.extend(link.encoded.pop_back());
            }
            for frame in unsent {
                match frame {
                    Frame::Query(parts) => {
                        for (name, send) in parts {
                            link.parts.remove(&name);
                            finish(&mut self.attempts, &mut self.done, send.attempt, Verdict::NoConnection);
                        }
                    }
                    Frame::Probe => drop(link.probes.pop_back()),
                    // Word that a part is given up is nothing new, and still of use.
                    Frame::Cancel(name) => link.waiting.push_back(Frame::Cancel(name)),
                }
            }
        }
    }

    /// How many attempts were written whole since this was last asked.
    pub fn take_relayed(&mut self) -> u64 {
        std::mem::take(&mut self.relayed)
    }

    /// Queues an attempt; it is written by [`Backend::flush`].
    pub fn send(&mut self, net: &mut Net, now: Time, send: Send) {
        self.now = self.now.max(now);
        let name = format!("{}.{}", send.query, send.shard);
        let Some(key) = self.link_for(net, now, send.server, &name) else {
            self.done.push(Done::Attempt(send.attempt, Verdict::NoConnection, None, LoadReport::default()));
            return;
        };
        let (attempt, step) = (send.attempt, self.step);
        if attempt.1 > 0 && tracing::enabled!(tracing::Level::DEBUG) {
            self.look_back(now, &name, key);
        }
        let Some(link) = self.links.get_mut(&key) else { return };
        link.parts.insert(name.clone(), Carried { attempt, written: None, abandoned: None, told: None });
        self.attempts.insert(attempt, key);
        let batch = self.settings.module.batch as usize;
        match link.waiting.back_mut() {
            Some(Frame::Query(parts)) if link.step == step && parts.len() < batch => parts.push((name, send)),
            _ => {
                link.waiting.push_back(Frame::Query(vec![(name, send)]));
                if let Some(server) = self.servers.get_mut(&link.server) {
                    server.ended.calls += 1.0;
                }
            }
        }
        link.step = step;
        self.touched.push(key);
    }

    /// Logs a part that goes out again while word that an earlier attempt of it was given up may not have
    /// reached its server: that word waits to be written, waits behind a full connection, or was written a
    /// moment ago on another connection. A probe of the rule on second copies; it decides nothing.
    fn look_back(&mut self, now: Time, name: &str, key: usize) {
        for (other, link) in &self.links {
            let Some(part) = link.parts.get(name).filter(|_| *other != key) else { continue };
            let Some(abandoned) = part.abandoned.filter(|_| part.written.is_some()) else { continue };
            let told_ms = part.told.map(|told| now.since(told).as_secs_f64() * 1e3);
            let waiting = link.outbox.len() + link.waiting.len();
            tracing::debug!(
                "again: {name} goes out again {:.3} ms after it was given up; word of that written {}, \
                 {waiting} frames wait on its connection, {} parts are on it",
                now.since(abandoned).as_secs_f64() * 1e3,
                told_ms.map_or("not yet".to_string(), |ms| format!("{ms:.3} ms ago")),
                link.parts.len(),
            );
        }
        if let Some((at, abandoned, ended)) = self.closed.remove(name) {
            tracing::debug!(
                "again: {name} goes out again {:.3} ms after its connection was ended {}{}",
                now.since(at).as_secs_f64() * 1e3,
                match ended {
                    Ended::Here => "here",
                    Ended::Peer => "by its server or the network",
                },
                if abandoned { ", given up before" } else { "" },
            );
        }
    }

    /// Sends a probe; its result comes like any other.
    pub fn probe(&mut self, net: &mut Net, now: Time, server: ServerId) {
        match self.link_for(net, now, server, "") {
            Some(key) => {
                if let Some(link) = self.links.get_mut(&key) {
                    link.waiting.push_back(Frame::Probe);
                    link.probes.push_back(now);
                }
                self.touched.push(key);
            }
            None => {
                let load = LoadReport::default();
                self.done.push(Done::Probe(server, Verdict::NoConnection, Duration::ZERO, load));
            }
        }
    }

    /// Stops waiting for an attempt, with this verdict if it may have run.
    pub fn give_up(&mut self, now: Time, attempt: AttemptId, verdict: Verdict) {
        self.now = self.now.max(now);
        self.take_back(now, attempt);
        let Some(&key) = self.attempts.get(&attempt) else { return };
        let Some(link) = self.links.get_mut(&key) else { return };
        let Some((name, part)) = link.parts.iter_mut().find(|(_, part)| part.attempt == attempt) else {
            return;
        };
        part.abandoned = Some(now);
        let since = part.written.unwrap_or(now).max(link.heard);
        link.doubted |= now.since(since) >= self.quiet;
        link.waiting.push_back(Frame::Cancel(name.clone()));
        let name = name.clone();
        self.touched.push(key);
        self.hold(attempt, verdict, key, name, now.after(HEARD_AFTER));
    }

    /// Takes an attempt back if nothing of it has been written: it never began, and never will.
    pub fn take_back(&mut self, now: Time, attempt: AttemptId) {
        self.now = self.now.max(now);
        let Some(link) = self.attempts.get(&attempt).and_then(|key| self.links.get_mut(key)) else { return };
        if link.take_back(attempt, &self.settings) {
            finish(&mut self.attempts, &mut self.done, attempt, Verdict::NotSent);
        }
    }

    /// Keeps the outcome of an attempt given up on a connection until its server has heard so; the twin of
    /// [`finish`] for such attempts.
    fn hold(&mut self, attempt: AttemptId, verdict: Verdict, key: usize, name: String, due: Time) {
        if self.attempts.remove(&attempt).is_some() {
            let done = Done::Attempt(attempt, verdict, None, LoadReport::default());
            self.held.push(Held { due, key, name, done });
        }
    }

    /// Tells the outcomes of attempts given up whose servers have heard so by now, and has the wheel bring
    /// the next look.
    fn release(&mut self, net: &mut Net, now: Time) {
        let mut index = 0;
        while index < self.held.len() {
            let held = &mut self.held[index];
            let told = self.links.get(&held.key).and_then(|link| link.parts.get(&held.name)).map(|p| p.told);
            let heard = match told {
                // The connection is gone, or the server answered the part.
                None => held.due,
                // The word waits behind other frames.
                Some(None) => now.after(HEARD_AFTER),
                Some(Some(at)) => held.due.max(at.after(HEARD_AFTER)),
            };
            if heard <= now {
                let held = self.held.swap_remove(index);
                self.done.push(held.done);
            } else {
                held.due = heard;
                index += 1;
            }
        }
        let next = self.held.iter().map(|held| held.due).min();
        if let Some(next) = next
            && self.held_armed.is_none_or(|armed| armed <= now || next < armed)
        {
            net.wheel.arm(next, Due::Heard);
            self.held_armed = Some(next);
        }
    }

    /// Closes the idle connections to a server.
    pub fn close_idle(&mut self, net: &Net, server: ServerId) {
        let links = self.servers.get(&server).map(|s| s.links.clone()).unwrap_or_default();
        for key in links {
            if self.links.get(&key).is_some_and(Link::is_idle) {
                self.drop_link(net, key, Ended::Here);
            }
        }
    }

    /// Writes what was queued; the step's frames are complete with this.
    pub fn flush(&mut self, net: &mut Net, now: Time) {
        self.now = self.now.max(now);
        self.step += 1;
        for key in std::mem::take(&mut self.touched) {
            let Some(link) = self.links.get_mut(&key).filter(|link| link.connected) else { continue };
            let result = link.write(now, &net.clock, &self.settings);
            self.relayed += std::mem::take(&mut link.relayed);
            self.finish_late(key);
            match result {
                Ok(()) => self.ask(net, key, false),
                Err(_) => self.drop_link(net, key, Ended::Peer),
            }
        }
        self.release(net, now);
    }

    /// Attempts that were left out of what was written, as they may not begin any more.
    fn finish_late(&mut self, key: usize) {
        let late = self.links.get_mut(&key).map(|link| std::mem::take(&mut link.late)).unwrap_or_default();
        for attempt in late {
            finish(&mut self.attempts, &mut self.done, attempt, Verdict::NotSent);
        }
    }

    /// Does what a connection is ready for. Gives whether the key is one of a connection here.
    pub fn ready(&mut self, net: &mut Net, now: Time, key: usize, readable: bool) -> bool {
        self.now = self.now.max(now);
        let Some(link) = self.links.get_mut(&key) else { return false };
        let mut result = Ok(());
        if !link.connected {
            result = crate::net::connected(&link.stream).map(|up| link.connected = up);
            if link.connected {
                self.setup.learn(now.since(link.last_used));
            }
            link.last_used = now;
        }
        if result.is_ok() && link.connected {
            result = link.write(now, &net.clock, &self.settings);
            self.relayed += std::mem::take(&mut link.relayed);
            // What came before the end counts, so reading goes on where writing failed.
            if readable || result.is_err() {
                result = result.and(link.read(now));
            }
        }
        self.finish_late(key);
        let Some(link) = self.links.get_mut(&key) else { return true };
        let (server, begun) = (link.server, link.begun);
        let (frames, mut sound) = link.frames();
        link.begun =
            if link.bytes.is_empty() { None } else { begun.filter(|_| frames.is_empty()).or(Some(now)) };
        if link.begun.is_some() && link.begun != begun {
            net.wheel.arm(now.after(self.stall()), Due::Stalled(key));
        }
        // What came whole before the fault counts; behind it nothing can be told apart any more.
        for frame in &frames {
            if !self.answer(now, key, server, frame) {
                sound = false;
                break;
            }
        }
        if !sound {
            tracing::warn!("an answer could not be read: its connection ends");
        }
        match (result, sound) {
            (Ok(()), true) => self.ask(net, key, true),
            (Err(_), _) => self.drop_link(net, key, Ended::Peer),
            (Ok(()), false) => self.drop_link(net, key, Ended::Here),
        }
        true
    }

    /// How long a frame that was begun may take to be whole.
    fn stall(&self) -> Duration {
        self.settings.connect_time_out.min(self.quiet * 2)
    }

    /// A frame that was begun should be whole by now: a server writes each at once, so one that stays
    /// unfinished has a length that does not fit, and would swallow all answers behind it.
    pub fn stalled(&mut self, net: &Net, now: Time, key: usize) {
        self.now = self.now.max(now);
        let limit = now.before(self.stall());
        if self.links.get(&key).and_then(|link| link.begun).is_some_and(|begun| begun <= limit) {
            tracing::warn!("an answer did not end: its connection ends");
            self.drop_link(net, key, Ended::Here);
        }
    }

    /// Ends connections that have fallen silent while their servers go on answering on others: what is out on
    /// them will never be answered, and the servers are not to be blamed.
    pub fn look(&mut self, net: &mut Net, now: Time) {
        self.now = self.now.max(now);
        let dead = |(key, link): (&usize, &Link)| {
            let since = link.silent_since()?;
            let answered = self.servers.get(&link.server)?.answered;
            (now.since(since) >= self.quiet * DEAD_AFTER && answered > since.after(self.quiet))
                .then_some(*key)
        };
        for key in self.links.iter().filter_map(dead).collect::<Vec<_>>() {
            tracing::warn!("a connection to a server that answers has fallen silent: it ends");
            self.probed[1] += f64::from(u8::from(self.links.get(&key).is_some_and(|link| link.probed)));
            self.drop_link(net, key, Ended::Here);
        }
        self.probe_silent(net, now);
    }

    /// Probes connections that have fallen silent, and their servers on another connection: a server that answers
    /// there alone is well, and the connection is dead. Guards against parts that wait for nothing where nobody shows
    /// it: the module sends nothing more to a server that it takes for a slow one. A server that is merely busy answers
    /// both, beside its queue. Costs two probes, and a connection where there is no other: so it is left where those have a
    /// price that the parts at stake are not worth.
    fn probe_silent(&mut self, net: &mut Net, now: Time) {
        let [share, weight] = DEAD_OF_PROBED;
        let dead = (self.probed[1] + share * weight) / (self.probed[0] + weight);
        let price = 2.0 * self.settings.probe_price + self.settings.module.handshake_price;
        let silent = |(key, link): (&usize, &Link)| {
            let worth = dead * link.waited_for() as f64 >= price;
            let quiet = link.silent_since().is_some_and(|since| now.since(since) >= self.quiet);
            (quiet && worth && !link.probed).then_some((*key, link.server))
        };
        if !self.settings.module.may_probe {
            return;
        }
        for (key, server) in self.links.iter().filter_map(silent).collect::<Vec<_>>() {
            let sound = |other: &&usize| {
                let link = self.links.get(other);
                **other != key && link.is_some_and(|link| !link.retired && !link.is_doubted(now, self.quiet))
            };
            let of = self.servers.get(&server).filter(|of| of.open);
            let other = of.and_then(|of| of.links.iter().find(sound).copied());
            let room = of.is_some_and(|of| of.links.len() < DOUBTED) && self.links.len() < self.most;
            let Some(other) = other.or_else(|| room.then(|| self.open_link(net, now, server)).flatten())
            else {
                continue;
            };
            self.probed[0] += 1.0;
            if self.probed[0] > weight * weight {
                self.probed = self.probed.map(|count| count / 2.0);
            }
            for key in [key, other] {
                let Some(link) = self.links.get_mut(&key) else { continue };
                link.waiting.push_back(Frame::Probe);
                link.probes.push_back(now);
                self.touched.push(key);
            }
            if let Some(link) = self.links.get_mut(&key) {
                link.probed = true;
            }
        }
        self.flush(net, now);
    }

    /// How often to [`Backend::look`].
    pub fn look_pause(&self) -> Duration {
        self.quiet / 2
    }

    /// The time for a connection to come up is over.
    pub fn connect_time_out(&mut self, net: &Net, key: usize) {
        if self.links.get(&key).is_some_and(|link| !link.connected) {
            self.drop_link(net, key, Ended::Here);
        }
    }

    /// Closes connections that stood idle for long, or that lead to an address of old.
    pub fn sweep(&mut self, net: &Net, now: Time) {
        self.now = self.now.max(now);
        // What a server has swallowed would else count against the connection's streams for good.
        let long_ago =
            now.before(self.settings.module.classes.iter().map(|c| c.deadline).max().unwrap_or_default());
        for link in self.links.values_mut() {
            link.retired |= link.parts.values().any(|p| p.abandoned.is_some_and(|at| at < long_ago));
        }
        let stale = |(key, link): (&usize, &Link)| {
            let gone = link.retired
                || self.servers.get(&link.server).is_none_or(|s| !s.open || s.address != link.address);
            (link.is_idle() && (gone || self.is_stale(link, now))).then_some(*key)
        };
        for key in self.links.iter().filter_map(stale).collect::<Vec<_>>() {
            self.drop_link(net, key, Ended::Here);
        }
        self.servers.retain(|_, server| server.open || !server.links.is_empty());
        self.closed.retain(|_, (at, _, _)| *at >= long_ago);
    }

    /// Whether what the step under way sends on a connection still joins the last call on it.
    fn may_join(&self, link: &Link) -> bool {
        let batch = self.settings.module.batch as usize;
        let room = |frame: &Frame| matches!(frame, Frame::Query(parts) if parts.len() < batch);
        link.step == self.step && link.waiting.back().is_some_and(room)
    }

    fn is_stale(&self, link: &Link, now: Time) -> bool {
        link.is_idle() && now.since(link.last_used) >= self.settings.connection_idle.mul_f64(IDLE_SHARE)
    }

    /// A connection that may carry a part of this name, a new one if need be.
    fn link_for(&mut self, net: &mut Net, now: Time, id: ServerId, name: &str) -> Option<usize> {
        let aim = self.settings.module.shortest_aim().as_secs_f64();
        self.servers.get_mut(&id)?.ended.fade(now, aim * ENDS_HALF_LIFE_AIMS);
        let server = self.servers.get(&id).filter(|server| server.open)?;
        let address = server.address;
        // What a new connection costs, in parts: its price, and the time that its first part waits.
        let connection = self.settings.module.handshake_price + self.setup.mean() / aim;
        let fits = |key: &&usize| {
            self.links.get(key).is_some_and(|link| {
                // An earlier attempt of the part that was given up may yet be answered, under the same id:
                // on another connection the two can't be mixed up.
                link.address == address
                    && !link.retired
                    && link.parts.len() < self.settings.max_streams
                    && !link.parts.contains_key(name)
                    && !self.is_stale(link, now)
            })
        };
        let fit: Vec<usize> = server.links.iter().filter(fits).copied().collect();
        let (doubted, sound): (Vec<usize>, Vec<usize>) = fit
            .into_iter()
            .partition(|key| self.links.get(key).is_some_and(|link| link.is_doubted(now, self.quiet)));
        // What one step sends to one server shares calls, and so a connection.
        let joins = |key: &&usize| self.links.get(key).is_some_and(|link| self.may_join(link));
        if let Some(key) = sound.iter().find(joins) {
            return Some(*key);
        }
        // The first on which no more is to be lost than a connection costs, or else the emptiest.
        let out = |key: &&usize| self.links.get(key).map_or(0, Link::waited_for);
        let full = server.links.len() >= MOST_PER_SERVER || self.links.len() >= self.most;
        let cheap = sound.iter().find(|key| server.ended.cost(|| out(key)) <= connection);
        if let Some(key) = cheap.or(sound.iter().min_by_key(out).filter(|_| full)) {
            return Some(*key);
        }
        // One that has fallen silent may be all that is wrong: another connection shows it.
        if server.links.len() >= DOUBTED
            && let Some(key) =
                doubted.into_iter().max_by_key(|key| self.links.get(key).map(|link| link.heard))
        {
            return Some(key);
        }
        if server.links.len() >= MOST_PER_SERVER {
            return None;
        }
        if self.links.len() >= self.most {
            // Room for a server that is needed goes before a connection that is not.
            let idle = self.links.iter().filter(|(_, link)| link.is_idle());
            let oldest = idle.min_by_key(|(_, link)| link.last_used).map(|(key, _)| *key)?;
            self.drop_link(net, oldest, Ended::Here);
        }
        self.open_link(net, now, id)
    }

    /// A new connection to a server.
    fn open_link(&mut self, net: &mut Net, now: Time, id: ServerId) -> Option<usize> {
        let address = self.servers.get(&id)?.address;
        let stream = crate::net::connect(address).ok()?;
        let key = net.new_key();
        net.poll.add(&stream, key, true, true).ok()?;
        net.wheel.arm(now.after(self.setup.limit()), Due::Connect(key));
        let link = Link {
            server: id,
            address,
            stream,
            connected: false,
            late: Vec::new(),
            waiting: VecDeque::new(),
            encoded: VecDeque::new(),
            outbox: Outbox::default(),
            bytes: Vec::new(),
            begun: None,
            answered: String::new(),
            parts: HashMap::new(),
            probes: VecDeque::new(),
            last_used: now,
            heard: now,
            doubted: false,
            probed: false,
            asked_write: true,
            step: 0,
            relayed: 0,
            retired: false,
        };
        self.links.insert(key, link);
        self.servers.get_mut(&id)?.links.push(key);
        Some(key)
    }

    /// Asks the poller for what a connection waits for.
    fn ask(&mut self, net: &Net, key: usize, reported: bool) {
        let Some(link) = self.links.get_mut(&key) else { return };
        let write = !link.connected || !link.outbox.is_empty();
        if reported || write != link.asked_write {
            link.asked_write = write;
            if net.poll.ask(&link.stream, key, true, write).is_err() {
                self.drop_link(net, key, Ended::Here);
            }
        }
    }

    /// Ends a connection. Whether a part's last byte was written decides if it may have run.
    fn drop_link(&mut self, net: &Net, key: usize, ended: Ended) {
        let Some(link) = self.links.remove(&key) else { return };
        net.poll.remove(&link.stream);
        drop(link.stream);
        // As with writes: the close is known to have happened only now, however old the loop's reading is.
        let closed = self.now.max(net.clock.now());
        if let Some(server) = self.servers.get_mut(&link.server) {
            server.links.retain(|k| *k != key);
            let lost = link.parts.values().any(|part| part.written.is_some() && part.abandoned.is_none());
            server.ended.ends += f64::from(u8::from(lost));
        }
        if tracing::enabled!(tracing::Level::DEBUG) {
            for (name, part) in link.parts.iter().filter(|(_, part)| part.written.is_some()) {
                self.closed.insert(name.clone(), (self.now, part.abandoned.is_some(), ended));
            }
        }
        let mut parts: Vec<(String, Carried)> =
            link.parts.into_iter().filter(|(_, part)| part.abandoned.is_none()).collect();
        parts.sort_by_key(|(_, part)| part.attempt);
        // Closing here is word that all on it are given up, which its server has yet to read.
        let heard = closed.after(HEARD_AFTER);
        if ended == Ended::Here {
            for held in self.held.iter_mut().filter(|held| held.key == key) {
                held.due = held.due.max(heard);
            }
        }
        for (name, part) in parts {
            if part.written.is_none() {
                finish(&mut self.attempts, &mut self.done, part.attempt, Verdict::NoConnection);
            } else if ended == Ended::Peer {
                finish(&mut self.attempts, &mut self.done, part.attempt, Verdict::ConnectionLost);
            } else {
                self.hold(part.attempt, Verdict::ConnectionLost, key, name, heard);
            }
        }
        for _ in link.probes {
            let verdict = if link.connected { Verdict::ConnectionLost } else { Verdict::NoConnection };
            self.done.push(Done::Probe(link.server, verdict, Duration::ZERO, LoadReport::default()));
        }
    }

    /// Takes one frame from a server. Gives whether it made sense: the part that a spoilt one answers can't be
    /// told, so all that are out on the connection have failed.
    fn answer(&mut self, now: Time, key: usize, server: ServerId, frame: &[u8]) -> bool {
        let Some(link) = self.links.get_mut(&key) else { return false };
        match frame.split_first() {
            Some((b'a', rest)) => {
                let Some((name, verdict, value, load)) = read_answer(rest) else { return false };
                // One that has not been written whole can't be answered.
                let Some((part, written)) = link.parts.get(name).and_then(|p| Some((p, p.written?))) else {
                    return name == link.answered;
                };
                if let Some(server) = self.servers.get_mut(&server) {
                    server.answered = server.answered.max(written);
                }
                // One that was given up is disregarded: its attempt has had its outcome.
                if part.abandoned.is_none() && self.attempts.remove(&part.attempt).is_some() {
                    self.done.push(Done::Attempt(part.attempt, verdict, value, load));
                }
                link.parts.remove(name);
                name.clone_into(&mut link.answered);
            }
            Some((b'p' | b'l', rest)) => {
                let Some(sent) = link.probes.pop_front() else { return false };
                if let Some(server) = self.servers.get_mut(&server) {
                    server.answered = server.answered.max(sent);
                }
                let (verdict, load) = match rest {
                    b"broke" => (Verdict::Error, LoadReport::default()),
                    report => (Verdict::Served, read_report(&String::from_utf8_lossy(report))),
                };
                self.done.push(Done::Probe(server, verdict, now.since(sent), load));
            }
            Some((b'e', words)) => {
                tracing::warn!("a frame was not understood: {}", String::from_utf8_lossy(words));
            }
            _ => return false,
        }
        true
    }

    /// Connections that are held.
    pub fn held(&self) -> usize {
        self.links.len()
    }
}

fn finish(
    attempts: &mut HashMap<AttemptId, usize>,
    done: &mut Vec<Done>,
    attempt: AttemptId,
    verdict: Verdict,
) {
    if attempts.remove(&attempt).is_some() {
        done.push(Done::Attempt(attempt, verdict, None, LoadReport::default()));
    }
}

impl Link {
    /// Whether nothing is out or queued that anyone waits for.
    fn is_idle(&self) -> bool {
        self.connected
            && self.outbox.is_empty()
            && self.waiting.is_empty()
            && self.probes.is_empty()
            && self.parts.values().all(|part| part.abandoned.is_some())
    }

    /// Parts on it that someone waits for.
    fn waited_for(&self) -> usize {
        self.parts.values().filter(|part| part.abandoned.is_none()).count()
    }

    /// Since when nothing has come, though parts are out that someone waits for.
    fn silent_since(&self) -> Option<Time> {
        let waited = self.parts.values().filter(|part| part.abandoned.is_none());
        Some(waited.filter_map(|part| part.written).min()?.max(self.heard))
    }

    /// Whether it may have fallen silent for good. Silence counts from the last word or later, so the parts that are
    /// out are looked through only where that word is old.
    fn is_doubted(&self, now: Time, quiet: Duration) -> bool {
        let is_silent = || self.silent_since().is_some_and(|since| now.since(since) >= quiet);
        self.doubted || (now.since(self.heard) >= quiet && is_silent())
    }

    /// Writes what the socket takes. `now` is the loop's reading of the clock, and may be old: what holds from the
    /// moment of a write is measured here, on both sides of it.
    fn write(&mut self, now: Time, clock: &Clock, settings: &SiteSettings) -> io::Result<()> {
        loop {
            let now = now.max(clock.now());
            while self.outbox.len() < GATHER
                && let Some(mut frame) = self.waiting.pop_front()
            {
                if !self.leave_late(&mut frame, now) {
                    continue;
                }
                self.outbox.push(encode(&frame, now, settings));
                self.encoded.push_back(frame);
            }
            if self.outbox.is_empty() {
                return Ok(());
            }
            let before = self.outbox.finished();
            let result = self.outbox.flush(&mut self.stream);
            // The process may have been held up before the write: only now is it known to have happened. A server
            // that was told of a give-up by an earlier reading would seem to have had its time to read it.
            let written = now.max(clock.now());
            for _ in before..self.outbox.finished() {
                self.last_used = written;
                match self.encoded.pop_front() {
                    Some(Frame::Query(parts)) => {
                        self.relayed += parts.len() as u64;
                        for (name, _) in parts {
                            self.parts.entry(name).and_modify(|part| part.written = Some(written));
                        }
                    }
                    Some(Frame::Cancel(name)) => {
                        self.parts.entry(name).and_modify(|part| part.told = Some(written));
                    }
                    _ => {}
                }
            }
            if !result? {
                return Ok(());
            }
        }
    }

    /// Takes the attempts out of a frame that may not begin any more. Gives whether anything is left of it.
    fn leave_late(&mut self, frame: &mut Frame, now: Time) -> bool {
        let Frame::Query(parts) = frame else { return true };
        for (name, send) in parts.extract_if(.., |(_, send)| send.latest.is_some_and(|latest| now > latest)) {
            self.parts.remove(&name);
            self.late.push(send.attempt);
        }
        !parts.is_empty()
    }

    fn read(&mut self, now: Time) -> io::Result<()> {
        let mut buffer = [0; 16 * 1024];
        loop {
            match self.stream.read(&mut buffer) {
                Ok(0) => return Err(io::ErrorKind::UnexpectedEof.into()),
                Ok(read) => {
                    (self.last_used, self.heard, self.doubted, self.probed) = (now, now, false, false);
                    self.bytes.extend_from_slice(&buffer[..read]);
                    // The rest is reported again, once these frames are taken.
                    if self.bytes.len() > MAX_FRAME + buffer.len() {
                        return Ok(());
                    }
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return Ok(()),
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(error) => return Err(error),
            }
        }
    }

    /// Takes the whole frames out of what was read, and tells whether the rest may become one.
    fn frames(&mut self) -> (Vec<Vec<u8>>, bool) {
        let (mut frames, mut at, mut sound) = (Vec::new(), 0, true);
        while let Some((length, rest)) = self.bytes[at..].split_first_chunk::<4>() {
            let length = u32::from_be_bytes(*length) as usize;
            let known = rest.first().is_none_or(|letter| b"aepl".contains(letter));
            if length == 0 || length > MAX_FRAME || !known {
                sound = false;
                break;
            }
            let Some(frame) = rest.get(..length) else { break };
            frames.push(frame.to_vec());
            at += 4 + length;
        }
        self.bytes.drain(..at);
        self.bytes.shrink_to(KEPT_BUFFER);
        (frames, sound)
    }

    /// Takes an attempt back whose frame has not been begun.
    fn take_back(&mut self, attempt: AttemptId, settings: &SiteSettings) -> bool {
        let begun = self.outbox.begun();
        let encoded = self.encoded.iter_mut().enumerate().skip(begun);
        for (index, frame) in encoded {
            let Some((name, left)) = without(frame, attempt) else { continue };
            self.parts.remove(&name);
            if left == 0 {
                self.outbox.replace(index, None);
                self.encoded.remove(index);
            } else {
                let bytes = encode(frame, self.last_used, settings);
                self.outbox.replace(index, Some(bytes));
            }
            return true;
        }
        for index in 0..self.waiting.len() {
            let Some((name, left)) = without(&mut self.waiting[index], attempt) else { continue };
            self.parts.remove(&name);
            if left == 0 {
                self.waiting.remove(index);
            }
            return true;
        }
        false
    }
}

/// Takes an attempt out of a frame: its id on the wire, and how many are left.
fn without(frame: &mut Frame, attempt: AttemptId) -> Option<(String, usize)> {
    let Frame::Query(parts) = frame else { return None };
    let at = parts.iter().position(|(_, send)| send.attempt == attempt)?;
    let (name, _) = parts.remove(at);
    Some((name, parts.len()))
}

/// A frame as it goes over the wire.
fn encode(frame: &Frame, now: Time, settings: &SiteSettings) -> Vec<u8> {
    let mut bytes = vec![0; 4];
    match frame {
        Frame::Query(parts) => {
            bytes.push(b'q');
            for (name, send) in parts {
                let wait = send.until.since(now).as_millis().max(1);
                let list = match &send.idempotency {
                    Some(key) => format!("d={wait},k={key}"),
                    None => format!("d={wait}"),
                };
                let line = format!("{name} {} {list} {}\n", send.shard, send.text.len());
                bytes.extend_from_slice(line.as_bytes());
                bytes.extend_from_slice(send.text.as_bytes());
            }
        }
        Frame::Cancel(name) => {
            bytes.push(b'c');
            bytes.extend_from_slice(name.as_bytes());
        }
        Frame::Probe => bytes.push(if settings.module.reports_by_probe { b'l' } else { b'p' }),
    }
    let length = u32::try_from(bytes.len() - 4).unwrap_or(u32::MAX);
    bytes[..4].copy_from_slice(&length.to_be_bytes());
    bytes
}

/// The id, verdict, value and load report of an answer. A report that can't be read spoils nothing.
fn read_answer(rest: &[u8]) -> Option<(&str, Verdict, Option<String>, LoadReport)> {
    let end = rest.iter().position(|&byte| byte == b'\n')?;
    // Only the report may hold noise.
    let mut words = rest[..end].splitn(4, |&byte| byte == b' ');
    let mut word = || std::str::from_utf8(words.next()?).ok().filter(|word| !word.is_empty());
    let (name, verdict, _score) = (word()?, word()?, word()?);
    let load = read_report(&String::from_utf8_lossy(words.next()?));
    let (verdict, value) = match verdict {
        // A value that is not text can't be passed on unchanged, and nothing else may be passed on.
        "served" => match std::str::from_utf8(&rest[end + 1..]) {
            Ok(value) => (Verdict::Served, Some(value.to_owned())),
            Err(_) => (Verdict::Error, None),
        },
        "broke" => (Verdict::Error, None),
        "skipped" => (Verdict::TurnedAway, None),
        _ => return None,
    };
    Some((name, verdict, value, load))
}

/// A load report: `name=value`, apart from each other by commas or semicolons.
fn read_report(text: &str) -> LoadReport {
    let pairs: HashMap<&str, f64> = text
        .split([',', ';'])
        .filter_map(|pair| pair.split_once('='))
        .filter_map(|(name, value)| Some((name.trim(), value.trim().parse().ok()?)))
        .filter(|(_, figure): &(&str, f64)| figure.is_finite() && *figure >= 0.0)
        .collect();
    load_report(|name| pairs.get(name).copied())
}

/// Whether a class's parts carry the query's idempotency key.
pub fn is_keyed(effect: Effect) -> bool {
    matches!(effect, Effect::Keyed(_))
}

#[cfg(test)]
mod tests;
