//! What a stand-in tile server does with the parts that come, in time: workers, a queue, a cold start, and falling
//! over when more comes than a cold one bears. No I/O and no clock: times are since the run's start.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::time::Duration;

/// What a tile server can do.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Figures {
    /// Parts that it works on at once.
    pub workers: usize,
    /// Mean time of a part on a warm server; each takes between a half and one and a half of it.
    pub service: Duration,
    /// Parts that may wait for a worker; a further one is turned away.
    pub queue: usize,
    /// Connections that it holds; a further one is closed at once.
    pub connections: usize,
    /// Speed of a server that has just started, as a share of a warm one's.
    pub cold_from: f64,
    /// How long a server takes to become warm.
    pub cold_for: Duration,
    /// A cold one falls over when the work that comes within `window` is over so many times what it can do.
    pub fall_multiple: f64,
    /// The window over which that is counted.
    pub window: Duration,
    /// How long one that fell over is gone; it comes back cold.
    pub down_for: Duration,
}

/// What a server is made to do with the parts that come.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum Manner {
    /// Serves each.
    #[default]
    Serve,
    /// Answers each with an error.
    Break,
    /// Turns each away unseen.
    TurnAway,
    /// Takes each and answers none.
    Swallow,
    /// Closes the connection on the first.
    Hang,
    /// Serves each so many times slower.
    Slow(f64),
    /// Serves each and spoils its answer: the frame that goes back can't be read.
    Spoil,
}

/// What becomes of a part.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Taken {
    /// It is served, with the answer at this time.
    Serves(Duration),
    /// It is served, with an answer at this time that can't be read.
    Spoils(Duration),
    /// It fails at this time.
    Breaks(Duration),
    /// It is turned away at once.
    TurnedAway,
    /// It is never answered.
    Swallowed,
    /// Its connection is closed.
    Closes,
    /// With it the server falls over.
    Falls,
}

/// A server's state.
#[derive(Clone, Debug)]
pub struct Model {
    figures: Figures,
    manner: Manner,
    /// When its process started; none for one that has been warm for long.
    started: Option<Duration>,
    /// When each worker is free.
    free: Vec<Duration>,
    /// When the parts that are out end.
    ends: BinaryHeap<Reverse<Duration>>,
    /// Work that came of late, in seconds of a warm worker.
    came: VecDeque<(Duration, f64)>,
}

impl Model {
    /// A server that started then, or has been warm for long.
    pub fn new(figures: Figures, started: Option<Duration>) -> Self {
        let free = vec![Duration::ZERO; figures.workers.max(1)];
        let (ends, came) = (BinaryHeap::new(), VecDeque::new());
        Model { figures, manner: Manner::default(), started, free, ends, came }
    }

    /// What it does from now on.
    pub fn behave(&mut self, manner: Manner) {
        self.manner = manner;
    }

    /// Its speed, as a share of a warm one's.
    pub fn warmth(&self, now: Duration) -> f64 {
        let Some(started) = self.started else { return 1.0 };
        let age = now.saturating_sub(started).as_secs_f64() / self.figures.cold_for.as_secs_f64().max(1e-9);
        self.figures.cold_from + (1.0 - self.figures.cold_from) * age.min(1.0)
    }

    /// Work of the window before `now` as a share of what makes a cold server fall over; 0 for a warm one.
    pub fn strain(&mut self, now: Duration) -> f64 {
        let warmth = self.warmth(now);
        let start = now.saturating_sub(self.figures.window);
        self.came.drain(..self.came.partition_point(|(at, _)| *at < start));
        if warmth >= 1.0 {
            return 0.0;
        }
        let work: f64 = self.came.iter().map(|(_, work)| work).sum();
        let able = self.figures.workers as f64 * self.figures.window.as_secs_f64() * warmth;
        work / (able * self.figures.fall_multiple)
    }

    /// Takes a part; `draw` from 0 to 1 is its luck. Gives its work in seconds of a warm worker, and its fate.
    pub fn take(&mut self, now: Duration, draw: f64) -> (f64, Taken) {
        match self.manner {
            Manner::TurnAway => return (0.0, Taken::TurnedAway),
            Manner::Swallow => return (0.0, Taken::Swallowed),
            Manner::Hang => return (0.0, Taken::Closes),
            _ => {}
        }
        while self.ends.peek().is_some_and(|Reverse(end)| *end <= now) {
            self.ends.pop();
        }
        let slower = if let Manner::Slow(times) = self.manner { times } else { 1.0 };
        let work = self.figures.service.as_secs_f64() * (0.5 + draw);
        // What is turned away is pressed on it all the same.
        self.came.push_back((now, work));
        if self.strain(now) > 1.0 {
            return (work, Taken::Falls);
        }
        if self.ends.len() >= self.figures.workers + self.figures.queue {
            return (work, Taken::TurnedAway);
        }
        let takes = Duration::from_secs_f64(work * slower / self.warmth(now));
        let Some(worker) = self.free.iter_mut().min() else { return (work, Taken::TurnedAway) };
        let end = now.max(*worker) + takes;
        *worker = end;
        self.ends.push(Reverse(end));
        let fate = match self.manner {
            Manner::Break => Taken::Breaks(end),
            Manner::Spoil => Taken::Spoils(end),
            _ => Taken::Serves(end),
        };
        (work, fate)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const MS: Duration = Duration::from_millis(1);

    fn figures() -> Figures {
        Figures {
            workers: 2,
            service: MS * 10,
            queue: 3,
            connections: 10,
            cold_from: 0.2,
            cold_for: MS * 10_000,
            fall_multiple: 2.0,
            window: MS * 1000,
            down_for: MS * 500,
        }
    }

    #[test]
    fn workers_queue_and_then_turn_away() {
        let mut model = Model::new(figures(), None);
        let ends: Vec<Taken> = (0..6).map(|_| model.take(MS, 0.5).1).collect();
        let served = |ms| Taken::Serves(MS * ms);
        assert_eq!(ends, [served(11), served(11), served(21), served(21), served(31), Taken::TurnedAway]);
        assert_eq!(model.take(MS * 12, 0.5).1, served(31), "two are done: there is room again");
    }

    // A cold server bears twice what it can do, and no more; a warm one never falls.
    #[test]
    fn a_cold_server_falls_over_under_the_sum_of_what_comes() {
        let fall_at = |started: Option<Duration>, gap: Duration| {
            let mut model = Model::new(Figures { queue: 100_000, ..figures() }, started);
            (0..2000_u32).find(|n| model.take(gap * *n, 0.6).1 == Taken::Falls)
        };
        // Two workers at a fifth: 0.4 s of work a second, 0.8 s of it is the limit, 72 parts of 11 ms at once.
        assert_eq!(fall_at(Some(Duration::ZERO), Duration::ZERO), Some(72));
        assert_eq!(fall_at(Some(Duration::ZERO), MS * 20), None, "50 a second stay under it while it warms");
        assert_eq!(fall_at(None, Duration::ZERO), None);
    }

    #[test]
    fn warmth_grows_to_one() {
        let model = Model::new(figures(), Some(MS * 1000));
        let at = |ms| (model.warmth(MS * ms) * 100.0).round();
        assert_eq!((at(1000), at(6000), at(11_000), at(60_000)), (20.0, 60.0, 100.0, 100.0));
    }

    #[test]
    fn manners_show() {
        let mut model = Model::new(figures(), None);
        let mut fate = |manner| {
            model.behave(manner);
            model.take(Duration::ZERO, 0.5).1
        };
        assert_eq!(fate(Manner::Swallow), Taken::Swallowed);
        assert_eq!(fate(Manner::Hang), Taken::Closes);
        assert_eq!(fate(Manner::TurnAway), Taken::TurnedAway);
        assert_eq!(fate(Manner::Break), Taken::Breaks(MS * 10));
        assert_eq!(fate(Manner::Slow(5.0)), Taken::Serves(MS * 50));
        assert_eq!(fate(Manner::Spoil), Taken::Spoils(MS * 20));
    }
}
