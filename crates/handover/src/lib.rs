//! The hand-over from a running broker process, the predecessor, to one that was started beside it, the successor.
//!
//! The successor connects to a Unix socket of the predecessor's and asks for its listening sockets. Both processes then
//! accept from the same queues, so that no connection is lost when either ends. The predecessor goes on to accept until
//! the successor says that it is ready, and accepts again should the successor end before it does.
//!
//! [`Predecessor`] and [`Successor`] decide, without I/O; [`Channel`] carries [`Message`]s and sockets; [`Rendezvous`] is
//! the path where the two meet.
#![deny(unsafe_code)]

mod channel;
mod limits;
mod message;
mod predecessor;
mod rendezvous;
mod successor;

pub use channel::{Channel, ChannelError, Received};
pub use limits::{ClientLimits, joint_client_limits};
pub use message::{Message, Offer, PROTOCOL_VERSION, Refusal, Request, SocketRole};
pub use predecessor::{Predecessor, PredecessorAction, PredecessorEvent, PredecessorPhase};
pub use rendezvous::{Rendezvous, RendezvousError};
pub use successor::{Successor, SuccessorAction, SuccessorEvent, SuccessorPhase};
