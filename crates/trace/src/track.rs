//! Maps parts to their queries by id: a broker assigns consecutive ids to a query and then to its parts.
//! Queries are kept as long as outcomes of their parts may still be recorded.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use badgergauge_core::{Event, PartId, QueryId, Time};

/// How long after a query's deadline outcomes of its parts may still be recorded.
const RETENTION_AFTER_DEADLINE: Duration = Duration::from_secs(60);
/// Limit on the queries kept, so that memory is bounded whatever a file contains.
const MAX_QUERIES: usize = 1 << 16;

/// A query known to a [`QueryTracker`].
#[derive(Clone, Debug, PartialEq)]
pub struct TrackedQuery {
    /// The query's id.
    pub query: QueryId,
    /// Index of its class.
    pub class: usize,
    /// When it was accepted, on the broker's clock.
    pub taken: Time,
    /// The shards of its parts, in order: part `i` has the query's id plus `1 + i`.
    pub shards: Vec<u32>,
}

/// The queries of one run for which events may still be recorded.
#[derive(Clone, Debug, Default)]
pub struct QueryTracker {
    queries: BTreeMap<u64, TrackedQuery>,
    /// When each query may be dropped, in the order of their acceptance.
    expiries: VecDeque<(Time, u64)>,
}

impl QueryTracker {
    /// Records a query or a part; other events are ignored.
    pub fn observe(&mut self, now: Time, event: &Event) {
        match event {
            Event::Query(query) => {
                while self.expiries.front().is_some_and(|(expiry, _)| *expiry < now)
                    || self.expiries.len() >= MAX_QUERIES
                {
                    let Some((_, id)) = self.expiries.pop_front() else { break };
                    self.queries.remove(&id);
                }
                let tracked =
                    TrackedQuery { query: query.id, class: query.class, taken: now, shards: Vec::new() };
                self.queries.insert(query.id.0, tracked);
                self.expiries
                    .push_back((now.after(query.time_left).after(RETENTION_AFTER_DEADLINE), query.id.0));
            }
            Event::Part(part) => {
                let last = self.queries.range_mut(..part.id.0).next_back();
                if let Some((_, query)) = last.filter(|(id, q)| *id + 1 + q.shards.len() as u64 == part.id.0)
                {
                    query.shards.push(part.shard.0);
                }
            }
            _ => {}
        }
    }

    /// The query that a part belongs to.
    pub fn query_of_part(&self, part: PartId) -> Option<&TrackedQuery> {
        let (id, query) = self.queries.range(..part.0).next_back()?;
        (part.0 <= id + query.shards.len() as u64).then_some(query)
    }

    /// A query by its id.
    pub fn query(&self, id: QueryId) -> Option<&TrackedQuery> {
        self.queries.get(&id.0)
    }

    /// The shard that a part is sent for.
    pub fn shard_of_part(&self, part: PartId) -> Option<u32> {
        let query = self.query_of_part(part)?;
        query.shards.get((part.0 - query.query.0 - 1) as usize).copied()
    }
}

/// The query that an event concerns, if any.
pub fn query_of_event(tracker: &QueryTracker, event: &Event) -> Option<QueryId> {
    match event {
        Event::Query(query) => Some(query.id),
        Event::Part(part) => tracker.query_of_part(part.id).map(|q| q.query),
        Event::Outcome { part, .. } => tracker.query_of_part(*part).map(|q| q.query),
        Event::ClientGone(query) => Some(*query),
        _ => None,
    }
}

/// The query that an action concerns, if any.
pub fn query_of_action(tracker: &QueryTracker, action: &badgergauge_core::Action) -> Option<QueryId> {
    use badgergauge_core::Action;
    match action {
        Action::Send { part, .. } | Action::Cancel { part, .. } => {
            tracker.query_of_part(*part).map(|q| q.query)
        }
        Action::Answer { query, .. } | Action::Refuse { query, .. } | Action::Fail { query, .. } => {
            Some(*query)
        }
        _ => None,
    }
}
