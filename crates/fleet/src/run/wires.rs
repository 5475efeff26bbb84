//! The links of a fleet, through which everything that its brokers say goes.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use crate::proxy::Link;
use crate::scenario::Scenario;
use crate::schedule::{Links, zone_of};

/// All links of the fleet, by what they join.
#[derive(Default)]
pub(super) struct Wires {
    /// By broker and server.
    pub(super) tiles: Vec<Vec<Link>>,
    /// By broker: as it is at the start, and where discovery moves to.
    pub(super) lists: Vec<[Link; 2]>,
    pub(super) list_at: Vec<[SocketAddr; 2]>,
    /// From a broker to another.
    pub(super) words: BTreeMap<(usize, usize), Link>,
    /// Where each broker sends word for each other.
    pub(super) word_at: BTreeMap<(usize, usize), SocketAddr>,
    /// Where each broker hears word.
    pub(super) hears: Vec<SocketAddr>,
    /// Where each broker finds each server.
    pub(super) tile_at: Vec<Vec<SocketAddr>>,
}

impl Wires {
    /// The links of a choice.
    pub(super) fn choose(&self, links: &Links, scenario: &Scenario) -> Vec<Link> {
        let zone = |number: usize| zone_of(number, scenario.zones);
        match links {
            Links::All => {
                let lists = self.lists.iter().flatten();
                self.tiles.iter().flatten().chain(lists).chain(self.words.values()).copied().collect()
            }
            Links::Servers(servers) => {
                self.tiles.iter().flat_map(|of| servers.iter().map(|server| of[*server])).collect()
            }
            Links::AcrossZone(cut) => {
                let across = |one: usize, other: usize| (zone(one) == *cut) != (zone(other) == *cut);
                let tiles = self.tiles.iter().enumerate().flat_map(|(broker, of)| {
                    let of = of.iter().enumerate().filter(move |(server, _)| across(broker, *server));
                    of.map(|(_, link)| *link)
                });
                let words = self.words.iter().filter(|((from, to), _)| across(*from, *to));
                tiles.chain(words.map(|(_, link)| *link)).collect()
            }
        }
    }
}
