//! The hand-over from a running broker process, the predecessor, to a new process of the same broker, the
//! successor.
//!
//! The successor connects to a Unix socket of the predecessor and requests its listening sockets. Both
//! processes then share the same accept queues, so that no connection is lost when either of them exits. The
//! predecessor keeps accepting until the successor reports that it is ready, and resumes accepting if the
//! successor exits first.
//!
//! [`Predecessor`] and [`Successor`] are state machines without I/O; [`Channel`] transfers [`Message`]s and
//! file descriptors; [`Rendezvous`] is the path of the Unix socket on which a successor connects.
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
