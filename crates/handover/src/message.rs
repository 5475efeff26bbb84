//! The messages between the two processes. Each is sent as JSON, preceded by its length in bytes as a 32-bit
//! big-endian integer.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// Version of the hand-over protocol. A request with another version is refused, and its sender starts
/// without a hand-over.
pub const PROTOCOL_VERSION: u32 = 1;

/// A hand-over message.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Message {
    /// The successor requests the sockets.
    Request(Request),
    /// The predecessor passes its sockets, attached to this message as file descriptors.
    Offer(Offer),
    /// The predecessor refuses the request.
    Refusal(Refusal),
    /// The successor accepts clients; the predecessor stops accepting.
    Ready,
    /// The predecessor has stopped accepting. Contains what it has spent of the shared budgets since the
    /// snapshot was taken, as encoded by its router. From now on only the successor draws on them.
    Spending(String),
}

/// A successor's request for the sockets.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Request {
    /// Protocol version of the successor.
    pub version: u32,
    /// The broker's name, which must be the same in both processes.
    pub name: String,
    /// The address on which clients connect, which must be the same in both processes.
    pub listen: SocketAddr,
}

/// The purpose of a socket.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum SocketRole {
    /// Listener for clients of the platform's protocol.
    Clients,
    /// Listener for clients of the OGC front.
    OgcClients,
    /// Datagram socket for gossip between brokers.
    Peers,
}

/// The predecessor's answer to an accepted request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Offer {
    /// Roles of the attached sockets, in the order in which they are attached.
    pub roles: Vec<SocketRole>,
    /// Number of client connections of the predecessor.
    pub clients: usize,
    /// Snapshot of the state that the predecessor's router has learned, as encoded by the router. A successor
    /// that can't decode it starts without learned state.
    pub snapshot: Option<String>,
    /// The predecessor's server list, in discovery's format. A successor that can't decode it uses its
    /// own list.
    #[serde(default)]
    pub list: Option<String>,
}

/// Reason for which a request is refused.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Refusal {
    /// The predecessor uses another protocol version, given here.
    Version(u32),
    /// The request is for a broker with another name or address.
    OtherBroker,
    /// A hand-over to another successor is in progress.
    Busy,
    /// The predecessor is shutting down.
    NotServing,
}
