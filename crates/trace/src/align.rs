//! How far brokers' clocks disagree, from what they saw in common. No I/O.
//!
//! A change of the server list reaches all brokers at about the same moment: the median difference of what
//! two clocks gave a version is how far they are apart, give or take the spread. A client's repeat comes after
//! its first try has ended: that bounds the difference on one side, whatever the spread.

use std::collections::{BTreeMap, HashMap, VecDeque};

use badgergauge_core::{Action, Event, QueryId};

use crate::record::Record;

/// Rounds of the medians; they settle long before.
const ROUNDS: usize = 50;
/// Ends and repeats that are kept to be matched: a repeat comes within seconds.
const KEPT: usize = 1 << 16;
/// Normal deviation by the median one.
const NORMAL: f64 = 1.4826;
/// A median is so much less sure than a mean.
const MEDIAN_ERROR: f64 = 1.2533;

/// The end of a try at one broker, and the next try at another.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClientRetry {
    /// Whose client was told, or left, and when by its own clock.
    pub cause: (usize, i64),
    /// Who took the next try, and when by its own clock.
    pub effect: (usize, i64),
}

/// What is to be added to a source's times, and how sure that is.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Offset {
    /// In nanoseconds.
    pub nanos: i64,
    /// Versions of the list that it was told of together with others.
    pub common_versions: usize,
    /// Two standard errors of the estimate, in nanoseconds; none where it is no estimate: a source that all
    /// others are measured by, or one that has nothing in common with any.
    pub error: Option<i64>,
    /// By how much repeats have moved it, in nanoseconds.
    pub retry_correction: i64,
}

/// What the sources saw in common.
#[derive(Clone, Debug, Default)]
pub struct ClockObservations {
    versions: Vec<BTreeMap<u64, i64>>,
    retries: Vec<ClientRetry>,
    /// Idempotency keys of first tries under way, by source and query.
    open: HashMap<(usize, QueryId), String>,
    opened: VecDeque<(usize, QueryId)>,
    /// First tries that have ended, by idempotency key, and repeats that were taken.
    ended: HashMap<String, (usize, i64)>,
    repeated: HashMap<String, Vec<(usize, i64)>>,
    order: VecDeque<String>,
}

impl ClockObservations {
    /// Of so many sources.
    pub fn new(sources: usize) -> Self {
        ClockObservations { versions: vec![BTreeMap::new(); sources], ..ClockObservations::default() }
    }

    /// Takes in a record of a source, at a Unix time by its own clock.
    pub fn observe(&mut self, source: usize, unix: i64, record: &Record) {
        // Whole lists come when a broker connects, each at a time of its own: changes alone come to all at once.
        let lists =
            record.events.iter().filter(|e| matches!(e, Event::Servers(_) | Event::ServersChanged(_)));
        for (event, version) in lists.zip(&record.versions) {
            if matches!(event, Event::ServersChanged(_)) {
                self.versions[source].entry(*version).or_insert(unix);
            }
        }
        let retries = record.events.iter().filter_map(|event| match event {
            Event::Query(query) => Some((query.id, query.repeated)),
            _ => None,
        });
        for ((query, repeated), named) in retries.zip(&record.named) {
            let Some(key) = named.idempotency.clone() else { continue };
            if repeated {
                if let Some(cause) = self.ended.get(&key).copied().filter(|cause| cause.0 != source) {
                    self.retries.push(ClientRetry { cause, effect: (source, unix) });
                }
                self.repeated.entry(key.clone()).or_default().push((source, unix));
                self.keep(key);
            } else {
                self.open.insert((source, query), key);
                self.opened.push_back((source, query));
                if self.opened.len() > KEPT
                    && let Some(oldest) = self.opened.pop_front()
                {
                    self.open.remove(&oldest);
                }
            }
        }
        let gone = record.events.iter().filter_map(|event| match event {
            Event::ClientGone(query) => Some(*query),
            _ => None,
        });
        let told = record.actions.iter().filter_map(|action| match action {
            Action::Refuse { query, .. } | Action::Fail { query, .. } => Some(*query),
            _ => None,
        });
        for query in gone.chain(told) {
            let Some(key) = self.open.remove(&(source, query)) else { continue };
            for effect in self.repeated.get(&key).into_iter().flatten().filter(|e| e.0 != source) {
                self.retries.push(ClientRetry { cause: (source, unix), effect: *effect });
            }
            self.ended.insert(key.clone(), (source, unix));
            self.keep(key);
        }
    }

    fn keep(&mut self, key: String) {
        self.order.push_back(key);
        if self.order.len() > KEPT
            && let Some(oldest) = self.order.pop_front()
        {
            self.ended.remove(&oldest);
            self.repeated.remove(&oldest);
        }
    }

    /// Repeats found so far.
    pub fn retries(&self) -> &[ClientRetry] {
        &self.retries
    }

    /// The offsets that put all sources on the clock of the first, as far as they have anything in common.
    pub fn estimate_offsets(&self) -> Vec<Offset> {
        estimate_offsets(&self.versions, &self.retries)
    }
}

fn median(values: &mut [i64]) -> Option<i64> {
    values.sort_unstable();
    let middle = values.len() / 2;
    match values.len() {
        0 => None,
        odd if odd % 2 == 1 => Some(values[middle]),
        _ => Some(values[middle - 1] + (values[middle] - values[middle - 1]) / 2),
    }
}

/// Estimates offsets from when each source was told of versions, and moves them as little as repeats ask.
pub fn estimate_offsets(versions: &[BTreeMap<u64, i64>], retries: &[ClientRetry]) -> Vec<Offset> {
    let count = versions.len();
    let mut by_version: BTreeMap<u64, Vec<(usize, i64)>> = BTreeMap::new();
    for (source, seen) in versions.iter().enumerate() {
        for (version, at) in seen {
            by_version.entry(*version).or_default().push((source, *at));
        }
    }
    by_version.retain(|_, seen| seen.len() > 1);
    // Sources that share versions, directly or through others, are measured by the first of them.
    let mut group: Vec<usize> = (0..count).collect();
    for seen in by_version.values() {
        let least = seen.iter().map(|(source, _)| group[*source]).min().unwrap_or(0);
        let merged: Vec<usize> = seen.iter().map(|(source, _)| group[*source]).collect();
        group.iter_mut().filter(|of| merged.contains(of)).for_each(|of| *of = least);
    }
    let mut nanos = vec![0_i64; count];
    // The first guess: by the versions shared with the first of the group, which leaves no source far off.
    for source in 0..count {
        let first = &versions[group[source]];
        let mut apart: Vec<i64> =
            versions[source].iter().filter_map(|(v, at)| Some(first.get(v)? - at)).collect();
        nanos[source] = median(&mut apart).unwrap_or(0);
    }
    let apart = |nanos: &[i64], source: usize| -> Vec<i64> {
        let mut apart = Vec::new();
        for seen in by_version.values() {
            let Some((_, own)) = seen.iter().find(|(of, _)| *of == source) else { continue };
            // By the others alone: what it said itself would hold it where it is.
            let mut others: Vec<i64> =
                seen.iter().filter(|(of, _)| *of != source).map(|(of, at)| at + nanos[*of]).collect();
            apart.extend(median(&mut others).map(|others| others - own));
        }
        apart
    };
    for _ in 0..ROUNDS {
        let before = nanos.clone();
        for source in (0..count).filter(|source| group[*source] != *source) {
            nanos[source] = median(&mut apart(&nanos, source)).unwrap_or(nanos[source]);
        }
        if nanos == before {
            break;
        }
    }
    let mut found: Vec<Offset> = Vec::with_capacity(count);
    for source in 0..count {
        let apart = apart(&nanos, source);
        let common = apart.len();
        let mut off: Vec<i64> = apart.iter().map(|apart| (apart - nanos[source]).abs()).collect();
        let spread = median(&mut off).unwrap_or(0) as f64 * NORMAL;
        let error = (group[source] != source && common > 0)
            .then(|| (2.0 * MEDIAN_ERROR * spread / (common as f64).sqrt()).ceil() as i64);
        found.push(Offset { nanos: nanos[source], common_versions: common, error, retry_correction: 0 });
    }
    hold(&mut found, retries);
    found
}

/// Moves sources so that every repeat comes after what it repeats, where any offsets can do that. The first
/// source is what all are measured by: it stays.
fn hold(offsets: &mut [Offset], retries: &[ClientRetry]) {
    // The tightest bound for each pair says it all.
    let mut bounds: BTreeMap<(usize, usize), i64> = BTreeMap::new();
    for ClientRetry { cause, effect } in retries {
        let least = bounds.entry((cause.0, effect.0)).or_insert(i64::MIN);
        *least = (*least).max(cause.1.saturating_sub(effect.1).saturating_add(1));
    }
    // How late each may be at the most, as those that repeat its clients' tries are bounded by the first.
    let mut most = vec![i64::MAX / 4; offsets.len()];
    if let Some(first) = most.first_mut() {
        *first = 0;
    }
    for _ in 0..offsets.len() {
        for (&(cause, effect), &least) in bounds.iter().filter(|((cause, _), _)| *cause != 0) {
            most[cause] = most[cause].min(most[effect].saturating_sub(least));
        }
    }
    for _ in 0..offsets.len() * 4 {
        let mut moved = false;
        for (&(cause, effect), &least) in &bounds {
            let short = least - (offsets[effect].nanos - offsets[cause].nanos);
            if short <= 0 {
                continue;
            }
            let room = (most[effect] - offsets[effect].nanos).max(0);
            let later = if cause == 0 { short } else { short.min(room) };
            for (who, by) in [(effect, later), (cause, later - short)] {
                offsets[who].nanos += by;
                offsets[who].retry_correction += by;
            }
            moved = true;
        }
        if !moved {
            break;
        }
    }
}

/// Repeats that still come before what they repeat: no offsets can put them right.
pub fn causality_violations(offsets: &[i64], retries: &[ClientRetry]) -> usize {
    let against = |r: &&ClientRetry| r.effect.1 + offsets[r.effect.0] <= r.cause.1 + offsets[r.cause.0];
    retries.iter().filter(against).count()
}

#[cfg(test)]
mod tests {
    use super::*;

    const MS: i64 = 1_000_000;

    /// What sources see whose clocks are off by so much, each told up to `late` after the change.
    fn seen(off: &[i64], versions: u64, late: i64) -> Vec<BTreeMap<u64, i64>> {
        let moment = |v: u64| 1_000_000 * MS + v as i64 * 700 * MS;
        // A stand-in for chance that is the same every time.
        let chance = |v: u64, s: usize| {
            let mixed = (v ^ (s as u64) << 32).wrapping_mul(0x9e37_79b9_7f4a_7c15);
            let mixed = (mixed ^ (mixed >> 29)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
            (mixed >> 40) as i64 * late / (1 << 24)
        };
        let of = |s: usize| (1..=versions).map(|v| (v, moment(v) + off[s] + chance(v, s))).collect();
        (0..off.len()).map(of).collect()
    }

    #[test]
    fn clocks_that_disagree_are_put_right_within_the_stated_error() {
        let off = [0, 5 * MS, -3 * MS, 40 * MS];
        let found = estimate_offsets(&seen(&off, 40, 2 * MS), &[]);
        for (source, offset) in found.iter().enumerate() {
            let wrong = (offset.nanos + off[source]).abs();
            assert!(wrong <= offset.error.unwrap_or(0) + MS / 2, "{source}: {offset:?} is off by {wrong}");
            assert_eq!(offset.common_versions, 40);
        }
        assert_eq!((found[0].nanos, found[0].error), (0, None));
    }

    #[test]
    fn one_that_is_told_seconds_late_now_and_then_does_not_pull() {
        let mut versions = seen(&[0, 5 * MS], 20, MS);
        for version in [3, 9, 12, 17] {
            *versions[1].get_mut(&version).expect("seen") += 4000 * MS;
        }
        let found = estimate_offsets(&versions, &[]);
        assert!((found[1].nanos + 5 * MS).abs() < MS, "{found:?}");
    }

    #[test]
    fn nothing_in_common_is_left_and_said() {
        let mut versions = seen(&[0, 5 * MS], 3, 0);
        versions.push(BTreeMap::new());
        let found = estimate_offsets(&versions, &[]);
        assert_eq!((found[2].nanos, found[2].common_versions, found[2].error), (0, 0, None));
        assert_eq!(estimate_offsets(&[], &[]), []);
    }

    #[test]
    fn a_group_apart_is_measured_by_its_own_first() {
        let mut versions = seen(&[0, 5 * MS, 0, 2 * MS], 10, 0);
        for own in [2, 3] {
            versions[own] = versions[own].iter().map(|(v, at)| (v + 1000, *at)).collect();
        }
        let found: Vec<i64> = estimate_offsets(&versions, &[]).iter().map(|o| o.nanos).collect();
        assert_eq!(found, [0, -5 * MS, 0, -2 * MS]);
    }

    #[test]
    fn repeats_come_after_what_they_repeat() {
        let versions = seen(&[0, 0, 0], 4, 0);
        // By the lists all clocks agree, yet a refusal at 1 was repeated at 2 before it, by 3 ms; and one at 2
        // was repeated at the first, which stays where it is.
        let retries = [
            ClientRetry { cause: (1, 1000 * MS), effect: (2, 997 * MS) },
            ClientRetry { cause: (2, 2000 * MS), effect: (0, 2001 * MS) },
        ];
        let found = estimate_offsets(&versions, &retries);
        let nanos: Vec<i64> = found.iter().map(|o| o.nanos).collect();
        assert_eq!(causality_violations(&nanos, &retries), 0, "{found:?}");
        assert_eq!(nanos[0], 0);
        assert!(found[2].retry_correction != 0);
        // What no offsets can put right is counted, and ends.
        let both = [retries[0], ClientRetry { cause: (2, 1000 * MS), effect: (1, 999 * MS) }];
        let nanos: Vec<i64> = estimate_offsets(&versions, &both).iter().map(|o| o.nanos).collect();
        assert!(causality_violations(&nanos, &both) > 0);
    }
}
