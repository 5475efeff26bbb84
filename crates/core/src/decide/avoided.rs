//! Which listed servers the router avoids at present, for the operator's view. It changes no decision.
//!
//! The score and the time estimate computed here are those of `RouterState::choose_replica` and must be kept
//! the same as there, because that function returns only the replica it chose.

use std::collections::{BTreeMap, BTreeSet};

use super::{
    ADMISSION_SPREADS, INITIAL_SPREAD, MAX_HOME_RATIO, Router, RouterState, Server, UNRESPONSIVE_MIN_TRIES,
};
use crate::interface::{ServerId, ServerState, ShardId};

/// A server that was sent something within so many mean aims is in use, whatever its recent failures.
const UNUSED_AIMS: f64 = 0.5;

/// How a server that is up compares for an ordinary part: one of the class requested most, without a hint,
/// and with its whole aim left.
struct Rating {
    /// Ranks it among the holders of a shard; lower is better.
    score: f64,
    /// Whether it failed recently, has an overdue attempt, or did not serve one in time.
    suspect: bool,
    /// Whether it is not expected to serve the part within the aim.
    late: bool,
}

impl Rating {
    /// Whether the part would not be sent there, and the server's failures contribute to that. `best` is the
    /// best score among the holders of the shard.
    fn is_avoided(&self, best: f64) -> bool {
        self.suspect && (self.late || self.score > MAX_HOME_RATIO * best)
    }
}

impl Router {
    /// The listed servers that the router avoids as of its last step:
    ///
    /// - those that drain,
    /// - those that are cold and may be sent nothing at all,
    /// - those that are up and were sent nothing for half a mean aim, if an ordinary part would not be sent
    ///   to them for any shard they hold, and recent failures contribute to that. Parts that have no other
    ///   holder left may still be sent there.
    ///
    /// A server that is only slow, busy or cold is not among them. Neither is the best of several failing
    /// ones, if it is expected to serve in time.
    pub fn avoided(&self) -> Vec<ServerId> {
        let mut state = self.0.clone_for_prediction();
        let ids: Vec<ServerId> = state.servers.keys().copied().collect();
        ids.iter().for_each(|id| state.refresh_server(*id));
        let closed = state.servers.iter().filter(|(_, server)| state.is_closed(server)).map(|(id, _)| *id);
        let mut avoided: BTreeSet<ServerId> = closed.collect();
        avoided.extend(state.avoided_open_servers());
        avoided.into_iter().collect()
    }
}

impl RouterState {
    /// A copy of what predictions depend on: refreshing a server changes its state, which must not affect the
    /// decisions.
    fn clone_for_prediction(&self) -> RouterState {
        RouterState {
            settings: self.settings.clone(),
            now: self.now,
            unit: self.unit,
            mean_aim: self.mean_aim,
            half_life: self.half_life,
            last_peer_outcome: self.last_peer_outcome,
            reply_margin: self.reply_margin,
            servers: self.servers.clone(),
            servers_by_cell: self.servers_by_cell.clone(),
            pooled_fit: self.pooled_fit.clone(),
            classes: self.classes.clone(),
            in_flight: self.in_flight.clone(),
            ..RouterState::default()
        }
    }

    /// Whether a server drains, or is cold and may be sent nothing.
    fn is_closed(&self, server: &Server) -> bool {
        let warmth = self.warmth(server);
        let takes_nothing = warmth < 1.0 && self.settings.cold.fall_multiple * warmth <= 0.0;
        server.listed.state != ServerState::Up || takes_nothing
    }

    /// The servers that are up and are avoided for every shard they hold.
    fn avoided_open_servers(&self) -> BTreeSet<ServerId> {
        let class = self.most_requested_class();
        let open = self.servers.iter().filter(|(_, server)| !self.is_closed(server));
        let is_unused = |id: &ServerId| {
            let last_sent = self.servers.get(id).map_or(self.now, |server| server.last_sent);
            self.now.since(last_sent).as_secs_f64() >= UNUSED_AIMS * self.mean_aim
        };
        let ratings: BTreeMap<ServerId, Rating> =
            open.map(|(id, server)| (*id, self.rating(*id, server, class))).collect();
        let (mut avoided, mut preferred) = (BTreeSet::new(), BTreeSet::new());
        // Shards whose numbers differ by a multiple of the number of cells have the same holders.
        for shard in 0..self.settings.cells.min(self.settings.shards) {
            let holders = self.holders(ShardId(shard));
            let rated = || holders.iter().filter_map(|id| Some((*id, ratings.get(id)?)));
            let best = rated().map(|(_, rating)| rating.score).fold(f64::INFINITY, f64::min);
            for (id, rating) in rated() {
                let set =
                    if rating.is_avoided(best) && is_unused(&id) { &mut avoided } else { &mut preferred };
                set.insert(id);
            }
        }
        &avoided - &preferred
    }

    fn most_requested_class(&self) -> usize {
        let classes = self.classes.iter().enumerate();
        classes.max_by(|(_, a), (_, b)| a.requested.total_cmp(&b.requested)).map_or(0, |(index, _)| index)
    }

    fn rating(&self, id: ServerId, server: &Server, class: usize) -> Rating {
        let (calls, overdue) = self.in_flight.get(&id).map_or((0, 0.0), |it| (it.calls.len(), it.overdue));
        let x = self.features(server, id, class, 0.0);
        let fitted = server.fit.weights.dot(&x).max(self.classes[class].min_time) / self.warmth(server);
        let predicted = fitted.max(overdue).max(server.min_time);
        let aim = self.settings.classes[class].aim;
        let initial_estimate = aim.as_secs_f64() / self.mean_aim * (1.0 + INITIAL_SPREAD);
        let intervals_unused = self.now.since(server.last_sent).as_secs_f64() / self.outcome_interval() - 1.0;
        let intervals_unused = if calls == 0 { intervals_unused.max(0.0) } else { 0.0 };
        let excess = predicted * server.expected_tries() * (1.0 + ADMISSION_SPREADS * server.fit.spread)
            - initial_estimate;
        let upper_estimate =
            initial_estimate + excess.min(0.0) + excess.max(0.0) * 0.5_f64.powf(intervals_unused);
        let allowed = aim.saturating_sub(self.reply_margin).saturating_sub(self.settings.network_allowance);
        Rating {
            score: predicted * server.expected_tries().powi(2),
            suspect: server.expected_tries() >= UNRESPONSIVE_MIN_TRIES
                || overdue > 0.0
                || server.min_time > fitted,
            late: upper_estimate > allowed.as_secs_f64() / self.unit,
        }
    }
}
