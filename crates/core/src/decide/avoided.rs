//! Which listed servers the router avoids at present, for the operator. It changes nothing.
//!
//! The score and the time compared here are those of `Node::choose`, of which they must stay a copy as long
//! as that function gives only the replica it chose.

use std::collections::{BTreeMap, BTreeSet};

use super::{CHECK_SPREADS, HOME_RATIO, Node, Router, SILENT, START_SPREAD, Server};
use crate::interface::{ServerId, ServerState, ShardId};

/// A server that was sent something within so many mean aims is in use, whatever is held against it.
const UNUSED_AIMS: f64 = 0.5;

/// How a server that is up compares for an ordinary part: one of the class asked most, without a hint, with
/// its whole aim ahead.
struct Standing {
    /// What ranks it among the holders of a shard.
    score: f64,
    /// Whether anything is held against it: bad ends, an overdue attempt, or one that was not served in time.
    doubtful: bool,
    /// Whether it is not expected to serve the part within the aim.
    late: bool,
}

impl Standing {
    /// Whether the part leaves it for the best holder, or goes nowhere, and what is held against it plays a part.
    fn is_avoided(&self, best: f64) -> bool {
        self.doubtful && (self.late || self.score > HOME_RATIO * best)
    }
}

impl Router {
    /// The listed servers that the router avoids as of its last step: those that drain, those that are cold
    /// and may be sent nothing at all, and those that are up, but that an ordinary part would not be sent to,
    /// for any shard they hold, with something held against them, and that nothing was sent to for half of a mean aim:
    /// parts that run out of other holders may still go there. A server that is only slow, busy or cold is
    /// not among them, nor is one of several in trouble that is the best there is and is expected to be in time.
    pub fn avoided(&self) -> Vec<ServerId> {
        let mut node = self.0.copy_of_knowledge();
        let ids: Vec<ServerId> = node.servers.keys().copied().collect();
        ids.iter().for_each(|id| node.refresh(*id));
        let shut = node.servers.iter().filter(|(_, server)| node.is_shut(server)).map(|(id, _)| *id);
        let mut avoided: BTreeSet<ServerId> = shut.collect();
        avoided.extend(node.doubted());
        avoided.into_iter().collect()
    }
}

impl Node {
    /// A copy of what predictions rest on: to bring a server up to now changes it, which must not be seen by
    /// the decisions.
    fn copy_of_knowledge(&self) -> Node {
        Node {
            settings: self.settings.clone(),
            now: self.now,
            unit: self.unit,
            mean_aim: self.mean_aim,
            half_life: self.half_life,
            told: self.told,
            margin: self.margin,
            servers: self.servers.clone(),
            cells: self.cells.clone(),
            pool: self.pool.clone(),
            classes: self.classes.clone(),
            out: self.out.clone(),
            ..Node::default()
        }
    }

    /// Whether a server drains, or is cold and may be sent nothing.
    fn is_shut(&self, server: &Server) -> bool {
        let warmth = self.warmth(server);
        let is_unfed = warmth < 1.0 && self.settings.cold.fall_multiple * warmth <= 0.0;
        server.listed.state != ServerState::Up || is_unfed
    }

    /// The servers that are up and are avoided for every shard they hold.
    fn doubted(&self) -> BTreeSet<ServerId> {
        let class = self.most_asked_class();
        let open = self.servers.iter().filter(|(_, server)| !self.is_shut(server));
        let is_unused = |id: &ServerId| {
            let last_sent = self.servers.get(id).map_or(self.now, |server| server.last_sent);
            self.now.since(last_sent).as_secs_f64() >= UNUSED_AIMS * self.mean_aim
        };
        let standings: BTreeMap<ServerId, Standing> =
            open.map(|(id, server)| (*id, self.standing(*id, server, class))).collect();
        let (mut avoided, mut wanted) = (BTreeSet::new(), BTreeSet::new());
        // Shards that lie this far apart have the same holders.
        for shard in 0..self.settings.cells.min(self.settings.shards) {
            let holders = self.holders(ShardId(shard));
            let known = || holders.iter().filter_map(|id| Some((*id, standings.get(id)?)));
            let best = known().map(|(_, standing)| standing.score).fold(f64::INFINITY, f64::min);
            for (id, standing) in known() {
                let set =
                    if standing.is_avoided(best) && is_unused(&id) { &mut avoided } else { &mut wanted };
                set.insert(id);
            }
        }
        &avoided - &wanted
    }

    fn most_asked_class(&self) -> usize {
        let classes = self.classes.iter().enumerate();
        classes.max_by(|(_, a), (_, b)| a.asked.total_cmp(&b.asked)).map_or(0, |(index, _)| index)
    }

    fn standing(&self, id: ServerId, server: &Server, class: usize) -> Standing {
        let (calls, overdue) = self.out.get(&id).map_or((0, 0.0), |out| (out.calls.len(), out.overdue));
        let x = self.features(server, id, class, 0.0);
        let fitted = server.fit.weights.dot(&x).max(self.classes[class].least) / self.warmth(server);
        let predicted = fitted.max(overdue).max(server.bound);
        let aim = self.settings.classes[class].aim;
        let start = aim.as_secs_f64() / self.mean_aim * (1.0 + START_SPREAD);
        let rest = self.now.since(server.last_sent).as_secs_f64() / self.meeting() - 1.0;
        let rest = if calls == 0 { rest.max(0.0) } else { 0.0 };
        let excess = predicted * server.tries() * (1.0 + CHECK_SPREADS * server.fit.spread) - start;
        let upper = start + excess.min(0.0) + excess.max(0.0) * 0.5_f64.powf(rest);
        let allowed = aim.saturating_sub(self.margin).saturating_sub(self.settings.network_allowance);
        Standing {
            score: predicted * server.tries().powi(2),
            doubtful: server.tries() >= SILENT[1] || overdue > 0.0 || server.bound > fitted,
            late: upper > allowed.as_secs_f64() / self.unit,
        }
    }
}
