//! Samples records: keeps a configured share of each class's queries. No I/O.

use badgergauge_core::{Event, QueryId};

use crate::record::Record;
use crate::track::{QueryTracker, query_of_action, query_of_event};

/// Removes the events and actions of queries that are not in the sample.
#[derive(Clone, Debug)]
pub struct Sampler {
    shares: Vec<f64>,
    tracker: QueryTracker,
}

impl Sampler {
    /// Creates a sampler; `shares` holds, by class, the share of its queries to keep (0 to 1).
    pub fn new(shares: Vec<f64>) -> Self {
        Sampler { shares, tracker: QueryTracker::default() }
    }

    /// Whether the queries of all classes are kept.
    pub fn keeps_all(&self) -> bool {
        self.shares.iter().all(|share| *share >= 1.0)
    }

    fn keeps(&self, query: QueryId) -> bool {
        let class = self.tracker.query(query).map(|tracked| tracked.class);
        let share = class.and_then(|class| self.shares.get(class)).copied().unwrap_or(1.0);
        // Query ids are consecutive, so they are hashed first.
        let mixed = (query.0 ^ (query.0 >> 33)).wrapping_mul(0x9e37_79b9_7f4a_7c15);
        share >= 1.0 || ((mixed ^ (mixed >> 29)) as u32 as f64) < share * f64::from(u32::MAX)
    }

    /// Removes from a record what is not in the sample. Returns whether anything is left to record.
    pub fn apply(&mut self, record: &mut Record) -> bool {
        if self.keeps_all() {
            return true;
        }
        record.events.iter().for_each(|event| self.tracker.observe(record.time, event));
        let event =
            |event: &Event| query_of_event(&self.tracker, event).is_none_or(|query| self.keeps(query));
        record.events.retain(event);
        record.actions.retain(|a| query_of_action(&self.tracker, a).is_none_or(|query| self.keeps(query)));
        record.query_names.retain(|named| self.keeps(named.query));
        // Timers are only needed for a replay, which is impossible from a sample.
        record.events.retain(|event| !matches!(event, Event::Timer(_)));
        record.actions.retain(|action| !matches!(action, badgergauge_core::Action::SetTimer { .. }));
        !(record.events.is_empty()
            && record.actions.is_empty()
            && record.not_accepted.is_empty()
            && record.note.is_empty()
            && record.gap.is_none())
    }
}

#[cfg(test)]
mod tests {
    use std::time::Duration;

    use badgergauge_core::*;

    use super::*;

    fn step(id: u64, class: usize) -> Record {
        let query = Query {
            id: QueryId(id),
            number: QueryNumber(id),
            class,
            tenant: 0,
            key: None,
            is_retry: false,
            time_left: Duration::from_secs(1),
        };
        let part =
            Part { id: PartId(id + 1), query: QueryNumber(id), shard: ShardId(0), weight: 1.0, hint: None };
        let why = Ending { cause: Cause::BelowFloor, missing: vec![] };
        Record {
            time: Time(id),
            events: vec![Event::Query(query), Event::Part(part)],
            actions: vec![Action::Fail { query: QueryId(id), why }],
            ..Record::default()
        }
    }

    #[test]
    fn sampling_keeps_or_drops_whole_queries_of_the_sampled_class_only() {
        let mut sampler = Sampler::new(vec![0.25, 1.0]);
        let mut kept = [0, 0];
        for number in 0..4000 {
            let mut record = step(1 + number * 10, (number % 2) as usize);
            if sampler.apply(&mut record) {
                assert_eq!((record.events.len(), record.actions.len()), (2, 1));
                kept[(number % 2) as usize] += 1;
            }
        }
        assert_eq!(kept[1], 2000);
        assert!((400..=600).contains(&kept[0]), "{kept:?}");
        // Later events of a query are kept exactly if its first record was.
        let mut late = Record::default();
        let outcome = |part: u64| Event::Outcome {
            part: PartId(part),
            attempt: 0,
            verdict: Verdict::Served,
            took: Duration::ZERO,
            load: LoadReport::default(),
        };
        late.events.extend((0..2000).map(|n| outcome(2 + n * 20)));
        assert!(sampler.apply(&mut late));
        assert_eq!(late.events.len(), kept[0]);
    }
}
