//! Which query a part belongs to, from its id alone: a broker numbers a query and then its parts in a row.
//! Kept while outcomes may still come, and no longer.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use badgergauge_core::{Event, PartId, QueryId, Time};

/// So long after a query's time is up something of it may still be heard.
const AFTER: Duration = Duration::from_secs(60);
/// Queries that are kept at the most: whatever a file says, memory is bounded.
const MOST: usize = 1 << 16;

/// What is known of a query.
#[derive(Clone, Debug, PartialEq)]
pub struct TrackedQuery {
    /// Its id.
    pub query: QueryId,
    /// Its class.
    pub class: usize,
    /// When it was taken.
    pub taken: Time,
    /// Its parts' shards, in order: part `i` has the id after the query's and `i` more.
    pub shards: Vec<u32>,
}

/// The queries of one run that something may still be heard of.
#[derive(Clone, Debug, Default)]
pub struct QueryTracker {
    queries: BTreeMap<u64, TrackedQuery>,
    /// When each may be forgotten, in the order taken.
    until: VecDeque<(Time, u64)>,
}

impl QueryTracker {
    /// Takes note of a query or a part.
    pub fn observe(&mut self, now: Time, event: &Event) {
        match event {
            Event::Query(query) => {
                while self.until.front().is_some_and(|(until, _)| *until < now) || self.until.len() >= MOST {
                    let Some((_, id)) = self.until.pop_front() else { break };
                    self.queries.remove(&id);
                }
                let tracked =
                    TrackedQuery { query: query.id, class: query.class, taken: now, shards: Vec::new() };
                self.queries.insert(query.id.0, tracked);
                self.until.push_back((now.after(query.left).after(AFTER), query.id.0));
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

    /// The query of a part.
    pub fn query_of_part(&self, part: PartId) -> Option<&TrackedQuery> {
        let (id, query) = self.queries.range(..part.0).next_back()?;
        (part.0 <= id + query.shards.len() as u64).then_some(query)
    }

    /// A query by its id.
    pub fn query(&self, id: QueryId) -> Option<&TrackedQuery> {
        self.queries.get(&id.0)
    }

    /// The shard that a part asks.
    pub fn shard_of_part(&self, part: PartId) -> Option<u32> {
        let query = self.query_of_part(part)?;
        query.shards.get((part.0 - query.query.0 - 1) as usize).copied()
    }
}

/// The query that an event is about, if it is about one.
pub fn query_of_event(tracker: &QueryTracker, event: &Event) -> Option<QueryId> {
    match event {
        Event::Query(query) => Some(query.id),
        Event::Part(part) => tracker.query_of_part(part.id).map(|q| q.query),
        Event::Outcome { part, .. } => tracker.query_of_part(*part).map(|q| q.query),
        Event::ClientGone(query) => Some(*query),
        _ => None,
    }
}

/// The query that an action is about, if it is about one.
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
