//! A model of a tile server: workers, a bounded queue, a cold start, and a crash when a cold server gets too
//! much work. No I/O and no clock: times are since the start of the run.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::time::Duration;

/// Capacity and timing of a tile server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServerParameters {
    /// Number of parts that it processes at the same time.
    pub workers: usize,
    /// Mean service time of a part on a warm server; each takes between 0.5 and 1.5 times as long.
    pub mean_service_time: Duration,
    /// Parts that may wait for a worker; further ones are rejected.
    pub queue_limit: usize,
    /// Connections that may be open at once; further ones are closed on arrival.
    pub max_connections: usize,
    /// Speed of a server that has just started, as a share of a warm server's speed.
    pub cold_from: f64,
    /// How long a server takes to become warm.
    pub warm_up_time: Duration,
    /// A cold server crashes when the work received within `load_window` exceeds its capacity by this factor.
    pub fall_multiple: f64,
    /// The period over which `fall_multiple` is measured.
    pub load_window: Duration,
    /// How long a crashed server is down; it comes back cold.
    pub restart_delay: Duration,
}

/// How a server handles the parts that it receives; all but `Serve` are faults that a test injects.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum Behaviour {
    /// Serves every part.
    #[default]
    Serve,
    /// Answers every part with an error.
    Fail,
    /// Rejects every part without processing it.
    Reject,
    /// Accepts every part and answers none.
    Ignore,
    /// Closes the connection on receiving a part.
    CloseConnection,
    /// Serves every part, slower by this factor.
    Slow(f64),
    /// Serves every part, but responds with a frame that can't be parsed.
    CorruptResponse,
}

/// What a server does with a part.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum PartOutcome {
    /// Serves it and responds at this time.
    Served(Duration),
    /// Serves it and responds at this time with a frame that can't be parsed.
    Corrupted(Duration),
    /// Responds with an error at this time.
    Failed(Duration),
    /// Rejects it immediately.
    Rejected,
    /// Never responds.
    Ignored,
    /// Closes its connection.
    ConnectionClosed,
    /// Crashes under the load.
    ServerCrashed,
}

/// The state of a model server.
#[derive(Clone, Debug)]
pub struct ServerModel {
    parameters: ServerParameters,
    behaviour: Behaviour,
    /// When its process started; `None` for a server that is already warm.
    started: Option<Duration>,
    /// When each worker becomes free.
    worker_free_at: Vec<Duration>,
    /// End times of the parts that are queued or in process.
    end_times: BinaryHeap<Reverse<Duration>>,
    /// Arrival time and work of the parts received within the load window, in seconds of a warm worker.
    recent_work: VecDeque<(Duration, f64)>,
}

impl ServerModel {
    /// A server that started at this time, or with `None` is already warm.
    pub fn new(parameters: ServerParameters, started: Option<Duration>) -> Self {
        let worker_free_at = vec![Duration::ZERO; parameters.workers.max(1)];
        let (end_times, recent_work) = (BinaryHeap::new(), VecDeque::new());
        ServerModel {
            parameters,
            behaviour: Behaviour::default(),
            started,
            worker_free_at,
            end_times,
            recent_work,
        }
    }

    /// Sets how it handles parts from now on.
    pub fn set_behaviour(&mut self, behaviour: Behaviour) {
        self.behaviour = behaviour;
    }

    /// Its current speed, as a share of a warm server's speed.
    pub fn relative_speed(&self, now: Duration) -> f64 {
        let Some(started) = self.started else { return 1.0 };
        let age =
            now.saturating_sub(started).as_secs_f64() / self.parameters.warm_up_time.as_secs_f64().max(1e-9);
        self.parameters.cold_from + (1.0 - self.parameters.cold_from) * age.min(1.0)
    }

    /// The work received within the load window, as a share of the work that crashes a cold server; 0 if
    /// warm.
    pub fn cold_load(&mut self, now: Duration) -> f64 {
        let relative_speed = self.relative_speed(now);
        let start = now.saturating_sub(self.parameters.load_window);
        self.recent_work.drain(..self.recent_work.partition_point(|(at, _)| *at < start));
        if relative_speed >= 1.0 {
            return 0.0;
        }
        let work: f64 = self.recent_work.iter().map(|(_, work)| work).sum();
        let capacity =
            self.parameters.workers as f64 * self.parameters.load_window.as_secs_f64() * relative_speed;
        work / (capacity * self.parameters.fall_multiple)
    }

    /// Handles a part; `draw` is a random number from 0 to 1 that sets its service time. Returns its work in
    /// seconds of a warm worker, and what the server does with it.
    pub fn accept_part(&mut self, now: Duration, draw: f64) -> (f64, PartOutcome) {
        match self.behaviour {
            Behaviour::Reject => return (0.0, PartOutcome::Rejected),
            Behaviour::Ignore => return (0.0, PartOutcome::Ignored),
            Behaviour::CloseConnection => return (0.0, PartOutcome::ConnectionClosed),
            _ => {}
        }
        while self.end_times.peek().is_some_and(|Reverse(end)| *end <= now) {
            self.end_times.pop();
        }
        let slowdown = if let Behaviour::Slow(factor) = self.behaviour { factor } else { 1.0 };
        let work = self.parameters.mean_service_time.as_secs_f64() * (0.5 + draw);
        // Rejected parts count towards the load, too.
        self.recent_work.push_back((now, work));
        if self.cold_load(now) > 1.0 {
            return (work, PartOutcome::ServerCrashed);
        }
        if self.end_times.len() >= self.parameters.workers + self.parameters.queue_limit {
            return (work, PartOutcome::Rejected);
        }
        let service_time = Duration::from_secs_f64(work * slowdown / self.relative_speed(now));
        let Some(worker) = self.worker_free_at.iter_mut().min() else { return (work, PartOutcome::Rejected) };
        let end = now.max(*worker) + service_time;
        *worker = end;
        self.end_times.push(Reverse(end));
        let outcome = match self.behaviour {
            Behaviour::Fail => PartOutcome::Failed(end),
            Behaviour::CorruptResponse => PartOutcome::Corrupted(end),
            _ => PartOutcome::Served(end),
        };
        (work, outcome)
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
    fn parts_are_queued_and_then_rejected() {
        let mut model = ServerModel::new(parameters(), None);
        let ends: Vec<PartOutcome> = (0..6).map(|_| model.accept_part(MS, 0.5).1).collect();
        let served = |ms| PartOutcome::Served(MS * ms);
        assert_eq!(ends, [served(11), served(11), served(21), served(21), served(31), PartOutcome::Rejected]);
        assert_eq!(
            model.accept_part(MS * 12, 0.5).1,
            served(31),
            "two parts are done, so the queue has room again"
        );
    }

    // With a fall multiple of 2, a cold server crashes above twice its capacity. A warm one never does.
    #[test]
    fn a_cold_server_crashes_under_the_total_load() {
        let crash_at = |started: Option<Duration>, gap: Duration| {
            let mut model =
                ServerModel::new(ServerParameters { queue_limit: 100_000, ..parameters() }, started);
            (0..2000_u32).find(|n| model.accept_part(gap * *n, 0.6).1 == PartOutcome::ServerCrashed)
        };
        // Two workers at a fifth of their speed do 0.4 s of work per second; the limit of 0.8 s is 72 parts
        // of 11 ms.
        assert_eq!(crash_at(Some(Duration::ZERO), Duration::ZERO), Some(72));
        assert_eq!(
            crash_at(Some(Duration::ZERO), MS * 20),
            None,
            "50 parts per second stay under the limit while the server warms up"
        );
        assert_eq!(crash_at(None, Duration::ZERO), None);
    }

    #[test]
    fn speed_rises_to_that_of_a_warm_server() {
        let model = ServerModel::new(parameters(), Some(MS * 1000));
        let at = |ms| (model.relative_speed(MS * ms) * 100.0).round();
        assert_eq!((at(1000), at(6000), at(11_000), at(60_000)), (20.0, 60.0, 100.0, 100.0));
    }

    #[test]
    fn each_behaviour_has_its_outcome() {
        let mut model = ServerModel::new(parameters(), None);
        let mut outcome = |behaviour| {
            model.set_behaviour(behaviour);
            model.accept_part(Duration::ZERO, 0.5).1
        };
        assert_eq!(outcome(Behaviour::Ignore), PartOutcome::Ignored);
        assert_eq!(outcome(Behaviour::CloseConnection), PartOutcome::ConnectionClosed);
        assert_eq!(outcome(Behaviour::Reject), PartOutcome::Rejected);
        assert_eq!(outcome(Behaviour::Fail), PartOutcome::Failed(MS * 10));
        assert_eq!(outcome(Behaviour::Slow(5.0)), PartOutcome::Served(MS * 50));
        assert_eq!(outcome(Behaviour::CorruptResponse), PartOutcome::Corrupted(MS * 20));
    }
}
