//! Estimates the clock offsets between brokers from events that several of them recorded. No I/O.
//!
//! A change of the server list reaches all brokers at about the same moment: the median difference between
//! the times that two clocks recorded for the same versions estimates their offset, with an error that
//! depends on the spread. A client's retry is received after its first try has ended: that bounds the offset
//! on one side, whatever the spread.

use std::collections::{BTreeMap, HashMap, VecDeque};

use badgergauge_core::{Action, Event, QueryId};

use crate::record::Record;

/// Limit on the iterations of the median estimate, which converges well before.
const MAX_ITERATIONS: usize = 50;
/// Limit on the queries kept for matching retries to first tries; a retry is received within seconds.
const MAX_PENDING: usize = 1 << 16;
/// Probability that a true offset is further from its estimate than the stated error: that of two standard
/// deviations of a normal distribution.
const ERROR_PROBABILITY: f64 = 0.0455;
/// Quantiles of Student's t-distribution for [`ERROR_PROBABILITY`], two-sided, with 1, 2, 3 and 4 degrees of
/// freedom.
const STUDENT_QUANTILES: [f64; 4] = [13.97, 4.53, 3.31, 2.87];

/// The end of a client's try at one broker and its retry at another.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClientRetry {
    /// Source that ended the first try or whose client disconnected, and the Unix time in nanoseconds on its
    /// own clock.
    pub cause: (usize, i64),
    /// Source that accepted the retry, and the Unix time in nanoseconds on its own clock.
    pub effect: (usize, i64),
}

/// The correction to add to a source's times, and its uncertainty.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Offset {
    /// The correction in nanoseconds.
    pub nanos: i64,
    /// Number of server list versions that this source and at least one other recorded.
    pub common_versions: usize,
    /// Bound of the estimate's error in nanoseconds, exceeded with a probability of at most 4.55%. `None` for
    /// the reference source of a group, and where a single common version, or none, bounds nothing.
    pub error: Option<i64>,
    /// Whether its clock is the reference of a group of sources.
    pub is_reference: bool,
    /// The part of the correction that client retries required, in nanoseconds.
    pub retry_correction: i64,
}

/// Collects the events from which clock offsets are estimated.
#[derive(Clone, Debug, Default)]
pub struct ClockObservations {
    /// By source: the Unix time at which each version of the server list was first recorded.
    versions: Vec<BTreeMap<u64, i64>>,
    retries: Vec<ClientRetry>,
    /// Idempotency keys of first tries in progress, by source and query.
    open: HashMap<(usize, QueryId), String>,
    /// The keys of `open`, oldest first.
    open_order: VecDeque<(usize, QueryId)>,
    /// First tries that have ended, by idempotency key.
    ended: HashMap<String, (usize, i64)>,
    /// Retries that were accepted, by idempotency key.
    retried: HashMap<String, Vec<(usize, i64)>>,
    /// Idempotency keys in `ended` and `retried`, oldest first.
    key_order: VecDeque<String>,
}

impl ClockObservations {
    /// Creates an empty collection for `sources` sources.
    pub fn new(sources: usize) -> Self {
        ClockObservations { versions: vec![BTreeMap::new(); sources], ..ClockObservations::default() }
    }

    /// Adds a record of a source; `unix` is its Unix time in nanoseconds on the source's own clock.
    pub fn observe(&mut self, source: usize, unix: i64, record: &Record) {
        // Only changes reach all brokers at once. Full lists are sent when a broker connects, at a different
        // time for each.
        let lists =
            record.events.iter().filter(|e| matches!(e, Event::Servers(_) | Event::ServersChanged(_)));
        for (event, version) in lists.zip(&record.list_versions) {
            if matches!(event, Event::ServersChanged(_)) {
                self.versions[source].entry(*version).or_insert(unix);
            }
        }
        let queries = record.events.iter().filter_map(|event| match event {
            Event::Query(query) => Some((query.id, query.is_retry)),
            _ => None,
        });
        for ((query, repeated), named) in queries.zip(&record.query_names) {
            let Some(key) = named.idempotency_key.clone() else { continue };
            if repeated {
                if let Some(cause) = self.ended.get(&key).copied().filter(|cause| cause.0 != source) {
                    self.retries.push(ClientRetry { cause, effect: (source, unix) });
                }
                self.retried.entry(key.clone()).or_default().push((source, unix));
                self.retain_key(key);
            } else {
                self.open.insert((source, query), key);
                self.open_order.push_back((source, query));
                if self.open_order.len() > MAX_PENDING
                    && let Some(oldest) = self.open_order.pop_front()
                {
                    self.open.remove(&oldest);
                }
            }
        }
        let disconnected = record.events.iter().filter_map(|event| match event {
            Event::ClientGone(query) => Some(*query),
            _ => None,
        });
        let rejected = record.actions.iter().filter_map(|action| match action {
            Action::Refuse { query, .. } | Action::Fail { query, .. } => Some(*query),
            _ => None,
        });
        for query in disconnected.chain(rejected) {
            let Some(key) = self.open.remove(&(source, query)) else { continue };
            for effect in self.retried.get(&key).into_iter().flatten().filter(|e| e.0 != source) {
                self.retries.push(ClientRetry { cause: (source, unix), effect: *effect });
            }
            self.ended.insert(key.clone(), (source, unix));
            self.retain_key(key);
        }
    }

    /// Records that a key is in use and drops the oldest one above the limit.
    fn retain_key(&mut self, key: String) {
        self.key_order.push_back(key);
        if self.key_order.len() > MAX_PENDING
            && let Some(oldest) = self.key_order.pop_front()
        {
            self.ended.remove(&oldest);
            self.retried.remove(&oldest);
        }
    }

    /// The retries matched to their first tries so far.
    pub fn retries(&self) -> &[ClientRetry] {
        &self.retries
    }

    /// Estimates the offsets that convert all sources' times to the clock of the first, as far as sources
    /// share versions.
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

/// Largest distance from `center` that the median of the distribution of `values` has, except with a
/// probability of [`ERROR_PROBABILITY`]. `None` for fewer than two values.
fn median_error(values: &mut [i64], center: i64) -> Option<i64> {
    values.sort_unstable();
    let (low, high) = match values.len() {
        0 | 1 => return None,
        few if few <= STUDENT_QUANTILES.len() + 1 => student_interval(values, STUDENT_QUANTILES[few - 2]),
        count => {
            let rank = interval_rank(count);
            (values[rank], values[count - 1 - rank])
        }
    };
    Some((low - center).abs().max((high - center).abs()))
}

/// Interval of a mean by Student's t-distribution, for values too few for an interval by rank.
fn student_interval(values: &[i64], quantile: f64) -> (i64, i64) {
    let count = values.len() as f64;
    // Relative to the first value, as Unix times in nanoseconds exceed the precision of a float.
    let relative = |value: &i64| (value - values[0]) as f64;
    let mean = values.iter().map(relative).sum::<f64>() / count;
    let variance = values.iter().map(|value| (relative(value) - mean).powi(2)).sum::<f64>() / (count - 1.0);
    let half_width = quantile * (variance / count).sqrt();
    (values[0] + (mean - half_width).floor() as i64, values[0] + (mean + half_width).ceil() as i64)
}

/// The highest rank, from 0, such that the values of this rank and of the same rank from the end enclose the
/// median except with a probability of [`ERROR_PROBABILITY`], whatever the distribution: each value is below
/// the median with a probability of one half. Zero if there is none.
fn interval_rank(count: usize) -> usize {
    let mut probability = 0.5_f64.powi(i32::try_from(count).unwrap_or(i32::MAX));
    let mut cumulated = probability;
    for rank in 0..count / 2 {
        probability *= (count - rank) as f64 / (rank + 1) as f64;
        cumulated += probability;
        if 2.0 * cumulated > ERROR_PROBABILITY {
            return rank;
        }
    }
    count / 2
}

/// Estimates offsets from the times at which each source recorded versions, then corrects them by the least
/// that puts retries after their first tries. `versions` holds, by source, the Unix time in nanoseconds of
/// each version.
pub fn estimate_offsets(versions: &[BTreeMap<u64, i64>], retries: &[ClientRetry]) -> Vec<Offset> {
    let count = versions.len();
    let mut by_version: BTreeMap<u64, Vec<(usize, i64)>> = BTreeMap::new();
    for (source, times) in versions.iter().enumerate() {
        for (version, at) in times {
            by_version.entry(*version).or_default().push((source, *at));
        }
    }
    by_version.retain(|_, times| times.len() > 1);
    // Sources that share versions, directly or through others, form a group; its first source is the
    // reference.
    let mut group: Vec<usize> = (0..count).collect();
    for times in by_version.values() {
        let reference = times.iter().map(|(source, _)| group[*source]).min().unwrap_or(0);
        let merged: Vec<usize> = times.iter().map(|(source, _)| group[*source]).collect();
        group.iter_mut().filter(|of| merged.contains(of)).for_each(|of| *of = reference);
    }
    let mut nanos = vec![0_i64; count];
    // Initial estimate: the versions shared with the group's reference, which is close enough to iterate
    // from.
    for source in 0..count {
        let first = &versions[group[source]];
        let mut differences: Vec<i64> =
            versions[source].iter().filter_map(|(v, at)| Some(first.get(v)? - at)).collect();
        nanos[source] = median(&mut differences).unwrap_or(0);
    }
    let differences = |nanos: &[i64], source: usize| -> Vec<i64> {
        let mut differences = Vec::new();
        for times in by_version.values() {
            let Some((_, own)) = times.iter().find(|(of, _)| *of == source) else { continue };
            // Compares with the other sources only: including the source's own time would bias the estimate
            // towards its current value.
            let mut others: Vec<i64> =
                times.iter().filter(|(of, _)| *of != source).map(|(of, at)| at + nanos[*of]).collect();
            differences.extend(median(&mut others).map(|others| others - own));
        }
        differences
    };
    for _ in 0..MAX_ITERATIONS {
        let before = nanos.clone();
        for source in (0..count).filter(|source| group[*source] != *source) {
            nanos[source] = median(&mut differences(&nanos, source)).unwrap_or(nanos[source]);
        }
        if nanos == before {
            break;
        }
    }
    let mut found: Vec<Offset> = Vec::with_capacity(count);
    for source in 0..count {
        let mut own = differences(&nanos, source);
        let common_versions = own.len();
        // The whole group may be off from its reference, which the differences of the reference show.
        let own_error = median_error(&mut own, nanos[source]);
        let reference_error = median_error(&mut differences(&nanos, group[source]), 0);
        let error = own_error.zip(reference_error).map(|(own, reference)| own.saturating_add(reference));
        let is_reference = group[source] == source && common_versions > 0;
        found.push(Offset {
            nanos: nanos[source],
            common_versions,
            error: error.filter(|_| !is_reference),
            is_reference,
            retry_correction: 0,
        });
    }
    enforce_causality(&mut found, retries);
    for offset in &mut found {
        offset.error = offset.error.map(|error| error.saturating_add(offset.retry_correction.abs()));
    }
    found
}

/// Adjusts offsets so that every retry comes after its first try, where any offsets can achieve that. The
/// first source is the reference and keeps its offset.
fn enforce_causality(offsets: &mut [Offset], retries: &[ClientRetry]) {
    // Only the tightest bound of each pair matters.
    let mut bounds: BTreeMap<(usize, usize), i64> = BTreeMap::new();
    for ClientRetry { cause, effect } in retries {
        let least = bounds.entry((cause.0, effect.0)).or_insert(i64::MIN);
        *least = (*least).max(cause.1.saturating_sub(effect.1).saturating_add(1));
    }
    // The upper bound of each offset: the sources that accepted retries of its clients are themselves bounded
    // by the first source, whose offset is fixed.
    let mut upper = vec![i64::MAX / 4; offsets.len()];
    if let Some(first) = upper.first_mut() {
        *first = 0;
    }
    for _ in 0..offsets.len() {
        for (&(cause, effect), &least) in bounds.iter().filter(|((cause, _), _)| *cause != 0) {
            upper[cause] = upper[cause].min(upper[effect].saturating_sub(least));
        }
    }
    for _ in 0..offsets.len() * 4 {
        let mut moved = false;
        for (&(cause, effect), &least) in &bounds {
            let shortfall = least - (offsets[effect].nanos - offsets[cause].nanos);
            if shortfall <= 0 {
                continue;
            }
            let room = (upper[effect] - offsets[effect].nanos).max(0);
            let later = if cause == 0 { shortfall } else { shortfall.min(room) };
            for (source, correction) in [(effect, later), (cause, later - shortfall)] {
                offsets[source].nanos += correction;
                offsets[source].retry_correction += correction;
            }
            moved = true;
        }
        if !moved {
            break;
        }
    }
}

/// Counts the retries that precede their first tries even with these offsets applied.
pub fn causality_violations(offsets: &[i64], retries: &[ClientRetry]) -> usize {
    let violated = |r: &&ClientRetry| r.effect.1 + offsets[r.effect.0] <= r.cause.1 + offsets[r.cause.0];
    retries.iter().filter(violated).count()
}

#[cfg(test)]
mod tests {
    use rand::{Rng, SeedableRng};
    use rand_chacha::ChaCha8Rng;

    use super::*;

    const MS: i64 = 1_000_000;

    /// The version times recorded by sources whose clocks are off by `skews`, each notified up to `max_delay`
    /// after the change.
    fn version_times(skews: &[i64], versions: u64, max_delay: i64) -> Vec<BTreeMap<u64, i64>> {
        let moment = |v: u64| 1_000_000 * MS + v as i64 * 700 * MS;
        // Deterministic pseudo-random delay.
        let delay = |v: u64, s: usize| {
            let mixed = (v ^ (s as u64) << 32).wrapping_mul(0x9e37_79b9_7f4a_7c15);
            let mixed = (mixed ^ (mixed >> 29)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
            (mixed >> 40) as i64 * max_delay / (1 << 24)
        };
        let of = |s: usize| (1..=versions).map(|v| (v, moment(v) + skews[s] + delay(v, s))).collect();
        (0..skews.len()).map(of).collect()
    }

    #[test]
    fn offsets_are_estimated_within_the_stated_error() {
        let skews = [0, 5 * MS, -3 * MS, 40 * MS];
        let found = estimate_offsets(&version_times(&skews, 40, 2 * MS), &[]);
        for (source, offset) in found.iter().enumerate() {
            let wrong = (offset.nanos + skews[source]).abs();
            assert!(wrong <= offset.error.unwrap_or(0) + MS / 2, "{source}: {offset:?} is off by {wrong}");
            assert_eq!(offset.common_versions, 40);
        }
        assert_eq!((found[0].nanos, found[0].error), (0, None));
    }

    // Guards against stated errors that don't cover the true ones: five versions gave 1.2 ms where 3.1 ms was
    // true.
    #[test]
    fn stated_errors_hold_for_few_versions() {
        const SOURCES: usize = 8;
        for (versions, seeds) in
            [(2, 1000), (3, 1000), (4, 1000), (5, 1000), (6, 1000), (7, 1000), (8, 1000), (12, 500), (40, 50)]
        {
            let (mut exceeded, mut stated, mut widest) = (0, 0, 0);
            for seed in 0..seeds {
                let mut rng = ChaCha8Rng::seed_from_u64(seed);
                let skews: [i64; SOURCES] =
                    std::array::from_fn(
                        |source| if source == 0 { 0 } else { rng.random_range(-40 * MS..40 * MS) },
                    );
                let times: Vec<BTreeMap<u64, i64>> = skews
                    .iter()
                    .map(|skew| {
                        (0..versions)
                            .map(|v| (v, v as i64 * 700 * MS + skew + rng.random_range(0..3 * MS)))
                            .collect()
                    })
                    .collect();
                for (offset, skew) in estimate_offsets(&times, &[]).iter().zip(skews) {
                    let Some(error) = offset.error else { continue };
                    stated += 1;
                    exceeded += u32::from((offset.nanos + skew).abs() > error);
                    widest = widest.max(error);
                }
            }
            assert_eq!(stated, seeds as u32 * (SOURCES as u32 - 1));
            let share = f64::from(exceeded) / f64::from(stated);
            assert!(share <= ERROR_PROBABILITY, "{versions} versions: exceeded in {share}");
            assert!(versions < 40 || widest < 3 * MS, "{versions} versions: {widest} ns stated");
        }
    }

    #[test]
    fn a_single_common_version_states_no_error() {
        let found = estimate_offsets(&version_times(&[0, 5 * MS], 1, MS), &[]);
        assert_eq!((found[1].common_versions, found[1].error), (1, None));
    }

    #[test]
    fn occasional_late_notifications_do_not_bias_the_estimate() {
        let mut versions = version_times(&[0, 5 * MS], 20, MS);
        for version in [3, 9, 12, 17] {
            *versions[1].get_mut(&version).expect("version") += 4000 * MS;
        }
        let found = estimate_offsets(&versions, &[]);
        assert!((found[1].nanos + 5 * MS).abs() < MS, "{found:?}");
    }

    #[test]
    fn a_source_without_common_versions_keeps_its_clock() {
        let mut versions = version_times(&[0, 5 * MS], 3, 0);
        versions.push(BTreeMap::new());
        let found = estimate_offsets(&versions, &[]);
        assert_eq!((found[2].nanos, found[2].common_versions, found[2].error), (0, 0, None));
        assert_eq!(estimate_offsets(&[], &[]), []);
    }

    #[test]
    fn a_separate_group_has_its_own_reference() {
        let mut versions = version_times(&[0, 5 * MS, 0, 2 * MS], 10, 0);
        for own in [2, 3] {
            versions[own] = versions[own].iter().map(|(v, at)| (v + 1000, *at)).collect();
        }
        let found: Vec<i64> = estimate_offsets(&versions, &[]).iter().map(|o| o.nanos).collect();
        assert_eq!(found, [0, -5 * MS, 0, -2 * MS]);
    }

    #[test]
    fn retries_come_after_their_first_tries() {
        let versions = version_times(&[0, 0, 0], 4, 0);
        // The versions show no clock difference, but a query refused at source 1 was retried at source 2 with
        // a time 3 ms earlier; and one refused at source 2 was retried at source 0, the fixed reference.
        let retries = [
            ClientRetry { cause: (1, 1000 * MS), effect: (2, 997 * MS) },
            ClientRetry { cause: (2, 2000 * MS), effect: (0, 2001 * MS) },
        ];
        let found = estimate_offsets(&versions, &retries);
        let nanos: Vec<i64> = found.iter().map(|o| o.nanos).collect();
        assert_eq!(causality_violations(&nanos, &retries), 0, "{found:?}");
        assert_eq!(nanos[0], 0);
        assert!(found[2].retry_correction != 0);
        // Contradictory retries are counted, and the adjustment terminates.
        let both = [retries[0], ClientRetry { cause: (2, 1000 * MS), effect: (1, 999 * MS) }];
        let nanos: Vec<i64> = estimate_offsets(&versions, &both).iter().map(|o| o.nanos).collect();
        assert!(causality_violations(&nanos, &both) > 0);
    }
}
