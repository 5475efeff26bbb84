//! What a stand-in tile server does with the parts that come, in time: workers, a queue, a cold start, and falling
//! over when more comes than a cold one bears. No I/O and no clock: times are since the run's start.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::time::Duration;

/// What a tile server can do.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServerParameters {
    /// Parts that it works on at once.
    pub workers: usize,
    /// Mean time of a part on a warm server; each takes between a half and one and a half of it.
    pub mean_service_time: Duration,
    /// Parts that may wait for a worker; a further one is turned away.
    pub queue_limit: usize,
    /// Connections that it holds; a further one is closed at once.
    pub max_connections: usize,
    /// Speed of a server that has just started, as a share of a warm one's.
    pub cold_from: f64,
    /// How long a server takes to become warm.
    pub warm_up_time: Duration,
    /// A cold one falls over when the work that comes within `window` is over so many times what it can do.
    pub fall_multiple: f64,
    /// The window over which that is counted.
    pub load_window: Duration,
    /// How long one that fell over is gone; it comes back cold.
    pub restart_delay: Duration,
}

/// What a server is made to do with the parts that come.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum Behaviour {
    /// Serves each.
    #[default]
    Serve,
    /// Answers each with an error.
    Fail,
    /// Turns each away unseen.
    Reject,
    /// Takes each and answers none.
    Ignore,
    /// Closes the connection on the first.
    CloseConnection,
    /// Serves each so many times slower.
    Slow(f64),
    /// Serves each and spoils its answer: the frame that goes back can't be read.
    CorruptResponse,
}

/// What becomes of a part.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum PartOutcome {
    /// It is served, with the answer at this time.
    Served(Duration),
    /// It is served, with an answer at this time that can't be read.
    Corrupted(Duration),
    /// It fails at this time.
    Failed(Duration),
    /// It is turned away at once.
    Rejected,
    /// It is never answered.
    Ignored,
    /// Its connection is closed.
    ConnectionClosed,
    /// With it the server falls over.
    ServerCrashed,
}

/// A server's state.
#[derive(Clone, Debug)]
pub struct ServerModel {
    parameters: ServerParameters,
    behaviour: Behaviour,
    /// When its process started; none for one that has been warm for long.
    started: Option<Duration>,
    /// When each worker is free.
    free: Vec<Duration>,
    /// When the parts that are out end.
    ends: BinaryHeap<Reverse<Duration>>,
    /// Work that came of late, in seconds of a warm worker.
    recent_work: VecDeque<(Duration, f64)>,
}

impl ServerModel {
    /// A server that started then, or has been warm for long.
    pub fn new(parameters: ServerParameters, started: Option<Duration>) -> Self {
        let free = vec![Duration::ZERO; parameters.workers.max(1)];
        let (ends, recent_work) = (BinaryHeap::new(), VecDeque::new());
        ServerModel { parameters, behaviour: Behaviour::default(), started, free, ends, recent_work }
    }

    /// What it does from now on.
    pub fn set_behaviour(&mut self, behaviour: Behaviour) {
        self.behaviour = behaviour;
    }

    /// Its speed, as a share of a warm one's.
    pub fn relative_speed(&self, now: Duration) -> f64 {
        let Some(started) = self.started else { return 1.0 };
        let age =
            now.saturating_sub(started).as_secs_f64() / self.parameters.warm_up_time.as_secs_f64().max(1e-9);
        self.parameters.cold_from + (1.0 - self.parameters.cold_from) * age.min(1.0)
    }

    /// Work of the window before `now` as a share of what makes a cold server fall over; 0 for a warm one.
    pub fn cold_load(&mut self, now: Duration) -> f64 {
        let relative_speed = self.relative_speed(now);
        let start = now.saturating_sub(self.parameters.load_window);
        self.recent_work.drain(..self.recent_work.partition_point(|(at, _)| *at < start));
        if relative_speed >= 1.0 {
            return 0.0;
        }
        let work: f64 = self.recent_work.iter().map(|(_, work)| work).sum();
        let able =
            self.parameters.workers as f64 * self.parameters.load_window.as_secs_f64() * relative_speed;
        work / (able * self.parameters.fall_multiple)
    }

    /// Takes a part; `draw` from 0 to 1 is its luck. Gives its work in seconds of a warm worker, and its fate.
    pub fn accept_part(&mut self, now: Duration, draw: f64) -> (f64, PartOutcome) {
        match self.behaviour {
            Behaviour::Reject => return (0.0, PartOutcome::Rejected),
            Behaviour::Ignore => return (0.0, PartOutcome::Ignored),
            Behaviour::CloseConnection => return (0.0, PartOutcome::ConnectionClosed),
            _ => {}
        }
        while self.ends.peek().is_some_and(|Reverse(end)| *end <= now) {
            self.ends.pop();
        }
        let slower = if let Behaviour::Slow(times) = self.behaviour { times } else { 1.0 };
        let work = self.parameters.mean_service_time.as_secs_f64() * (0.5 + draw);
        // What is turned away is pressed on it all the same.
        self.recent_work.push_back((now, work));
        if self.cold_load(now) > 1.0 {
            return (work, PartOutcome::ServerCrashed);
        }
        if self.ends.len() >= self.parameters.workers + self.parameters.queue_limit {
            return (work, PartOutcome::Rejected);
        }
        let takes = Duration::from_secs_f64(work * slower / self.relative_speed(now));
        let Some(worker) = self.free.iter_mut().min() else { return (work, PartOutcome::Rejected) };
        let end = now.max(*worker) + takes;
        *worker = end;
        self.ends.push(Reverse(end));
        let fate = match self.behaviour {
            Behaviour::Fail => PartOutcome::Failed(end),
            Behaviour::CorruptResponse => PartOutcome::Corrupted(end),
            _ => PartOutcome::Served(end),
        };
        (work, fate)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const MS: Duration = Duration::from_millis(1);

    fn parameters() -> ServerParameters {
        ServerParameters {
            workers: 2,
            mean_service_time: MS * 10,
            queue_limit: 3,
            max_connections: 10,
            cold_from: 0.2,
            warm_up_time: MS * 10_000,
            fall_multiple: 2.0,
            load_window: MS * 1000,
            restart_delay: MS * 500,
        }
    }

    #[test]
    fn workers_queue_and_then_turn_away() {
        let mut model = ServerModel::new(parameters(), None);
        let ends: Vec<PartOutcome> = (0..6).map(|_| model.accept_part(MS, 0.5).1).collect();
        let served = |ms| PartOutcome::Served(MS * ms);
        assert_eq!(ends, [served(11), served(11), served(21), served(21), served(31), PartOutcome::Rejected]);
        assert_eq!(model.accept_part(MS * 12, 0.5).1, served(31), "two are done: there is room again");
    }

    // A cold server bears twice what it can do, and no more; a warm one never falls.
    #[test]
    fn a_cold_server_falls_over_under_the_sum_of_what_comes() {
        let fall_at = |started: Option<Duration>, gap: Duration| {
            let mut model =
                ServerModel::new(ServerParameters { queue_limit: 100_000, ..parameters() }, started);
            (0..2000_u32).find(|n| model.accept_part(gap * *n, 0.6).1 == PartOutcome::ServerCrashed)
        };
        // Two workers at a fifth: 0.4 s of work a second, 0.8 s of it is the limit, 72 parts of 11 ms at once.
        assert_eq!(fall_at(Some(Duration::ZERO), Duration::ZERO), Some(72));
        assert_eq!(fall_at(Some(Duration::ZERO), MS * 20), None, "50 a second stay under it while it warms");
        assert_eq!(fall_at(None, Duration::ZERO), None);
    }

    #[test]
    fn warmth_grows_to_one() {
        let model = ServerModel::new(parameters(), Some(MS * 1000));
        let at = |ms| (model.relative_speed(MS * ms) * 100.0).round();
        assert_eq!((at(1000), at(6000), at(11_000), at(60_000)), (20.0, 60.0, 100.0, 100.0));
    }

    #[test]
    fn manners_show() {
        let mut model = ServerModel::new(parameters(), None);
        let mut fate = |behaviour| {
            model.set_behaviour(behaviour);
            model.accept_part(Duration::ZERO, 0.5).1
        };
        assert_eq!(fate(Behaviour::Ignore), PartOutcome::Ignored);
        assert_eq!(fate(Behaviour::CloseConnection), PartOutcome::ConnectionClosed);
        assert_eq!(fate(Behaviour::Reject), PartOutcome::Rejected);
        assert_eq!(fate(Behaviour::Fail), PartOutcome::Failed(MS * 10));
        assert_eq!(fate(Behaviour::Slow(5.0)), PartOutcome::Served(MS * 50));
        assert_eq!(fate(Behaviour::CorruptResponse), PartOutcome::Corrupted(MS * 20));
    }
}
