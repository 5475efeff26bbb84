//! Shards that no server of an inventory holds.

use std::collections::BTreeSet;
use std::fmt;

use super::Server;
use crate::interface::{ServerState, Settings, ShardId};

/// Shards that no server in state up holds, as ranges from the first to the last.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UnheldShards(Vec<(u32, u32)>);

impl UnheldShards {
    /// Returns the shards that none of the servers holds; `None` if there is none.
    pub fn find(servers: &[Server], settings: &Settings) -> Option<Self> {
        let is_up = |member: &&crate::core::Member| member.state == ServerState::Up;
        let cells: BTreeSet<u32> =
            servers.iter().map(|(member, _)| member).filter(is_up).map(|member| member.cell).collect();
        let mut ranges: Vec<(u32, u32)> = Vec::new();
        let is_held = |shard: &u32| settings.cells_of(ShardId(*shard)).any(|cell| cells.contains(&cell));
        for shard in (0..settings.shards).filter(|shard| !is_held(shard)) {
            match ranges.last_mut() {
                Some((_, last)) if *last + 1 == shard => *last = shard,
                _ => ranges.push((shard, shard)),
            }
        }
        (!ranges.is_empty()).then_some(UnheldShards(ranges))
    }
}

impl fmt::Display for UnheldShards {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, (first, last)) in self.0.iter().enumerate() {
            let separator = if index == 0 { "" } else { ", " };
            match first == last {
                true => write!(f, "{separator}{first}")?,
                false => write!(f, "{separator}{first} to {last}")?,
            }
        }
        Ok(())
    }
}
