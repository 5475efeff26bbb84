//! The proxied links of a fleet, which carry all traffic of its brokers except that of their clients.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use crate::proxy::Link;
use crate::scenario::Scenario;
use crate::schedule::{Links, zone_of};

/// All links of the fleet, by their end points.
#[derive(Default)]
pub(super) struct FleetLinks {
    /// To tile servers, by broker and server.
    pub(super) tiles: Vec<Vec<Link>>,
    /// To discovery, by broker: the link used at the start, and the one that a reload moves it to.
    pub(super) discovery: Vec<[Link; 2]>,
    /// The addresses of the discovery links.
    pub(super) discovery_addresses: Vec<[SocketAddr; 2]>,
    /// Gossip links, from one broker to another.
    pub(super) gossip: BTreeMap<(usize, usize), Link>,
    /// The address to which one broker sends gossip for another.
    pub(super) gossip_addresses: BTreeMap<(usize, usize), SocketAddr>,
    /// The address on which each broker receives gossip.
    pub(super) gossip_listen: Vec<SocketAddr>,
    /// The address at which each broker reaches each server.
    pub(super) tile_addresses: Vec<Vec<SocketAddr>>,
}

impl FleetLinks {
    /// The links that a selection names.
    pub(super) fn select(&self, links: &Links, scenario: &Scenario) -> Vec<Link> {
        let zone = |number: usize| zone_of(number, scenario.zones);
        match links {
            Links::All => {
                let discovery = self.discovery.iter().flatten();
                self.tiles.iter().flatten().chain(discovery).chain(self.gossip.values()).copied().collect()
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
                let gossip = self.gossip.iter().filter(|((from, to), _)| across(*from, *to));
                tiles.chain(gossip.map(|(_, link)| *link)).collect()
            }
        }
    }
}
