//! What the two processes say to each other, as JSON behind a length of four bytes, most significant first.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// Version of the messages. A request of another version is refused, and its sender starts without a hand-over.
pub const PROTOCOL_VERSION: u32 = 1;

/// A message of the hand-over.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Message {
    /// The successor asks for the sockets.
    Request(Request),
    /// The predecessor gives them, as sockets that travel with this message.
    Offer(Offer),
    /// The predecessor gives nothing.
    Refusal(Refusal),
    /// The successor takes clients: the predecessor accepts no more.
    Ready,
    /// The predecessor accepts no more: what it has spent of the limits that hold for both since the snapshot was taken,
    /// encoded by its module. From here on the successor spends.
    Spending(String),
}

/// Who asks.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Request {
    /// Version of the messages that the successor speaks.
    pub version: u32,
    /// The broker's name, the same in both processes.
    pub name: String,
    /// Where clients connect, the same in both processes.
    pub listen: SocketAddr,
}

/// What a socket is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum SocketRole {
    /// Clients of the platform's protocol connect to it.
    Clients,
    /// Clients of the OGC front connect to it.
    OgcClients,
    /// Datagrams of other brokers come to it.
    Peers,
}

/// What is given.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Offer {
    /// What each of the sockets that travel with the message is for, in their order.
    pub roles: Vec<SocketRole>,
    /// Clients' connections that the predecessor holds.
    pub clients: usize,
    /// What the predecessor's module has learned, encoded by itself. A successor that can't read it starts without.
    pub snapshot: Option<String>,
    /// The list of servers that the predecessor has, as discovery gives lists. A successor that can't read it goes by the
    /// one that it has itself.
    #[serde(default)]
    pub list: Option<String>,
}

/// Why nothing is given.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Refusal {
    /// The predecessor speaks another version of the messages.
    Version(u32),
    /// The request is for another broker.
    OtherBroker,
    /// Another successor is being served.
    Busy,
    /// The predecessor is not serving, or ends.
    NotServing,
}
