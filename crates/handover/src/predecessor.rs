//! The running process's side of the hand-over, without I/O.

use std::net::SocketAddr;

use crate::message::{PROTOCOL_VERSION, Refusal, Request};

/// Where the predecessor stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PredecessorPhase {
    /// No successor has asked.
    Waiting,
    /// A successor has the sockets and is not ready: this process accepts clients.
    Offered,
    /// A successor is ready: it accepts clients, and this process does not.
    Released,
}

/// What happens to the predecessor.
#[derive(Clone, Debug, PartialEq)]
pub enum PredecessorEvent {
    /// A process asks for the sockets.
    Requested(Request),
    /// The successor takes clients.
    SuccessorReady,
    /// The successor's connection has ended, and so has the successor.
    SuccessorEnded,
}

/// What the predecessor is to do.
#[derive(Clone, Debug, PartialEq)]
pub enum PredecessorAction {
    /// Nothing.
    None,
    /// Send the sockets, and go on as before.
    Offer,
    /// Say why it gives nothing, and end the connection.
    Refuse(Refusal),
    /// Accept no more clients, and keep the sockets.
    StopAccepting,
    /// Accept clients again.
    ResumeAccepting,
    /// Use all that the limits allow: the successor has ended before it was ready.
    UseFullLimits,
}

/// The predecessor's state.
#[derive(Clone, Debug)]
pub struct Predecessor {
    phase: PredecessorPhase,
    name: String,
    listen: SocketAddr,
}

impl Predecessor {
    /// A process that serves under this name and address.
    pub fn new(name: String, listen: SocketAddr) -> Self {
        Predecessor { phase: PredecessorPhase::Waiting, name, listen }
    }

    /// Where it stands.
    pub fn phase(&self) -> PredecessorPhase {
        self.phase
    }

    /// What follows from an event; `stopping` says that this process ends.
    pub fn handle(&mut self, event: PredecessorEvent, stopping: bool) -> PredecessorAction {
        match (self.phase, event) {
            (_, PredecessorEvent::Requested(request)) => self.requested(&request, stopping),
            (PredecessorPhase::Offered, PredecessorEvent::SuccessorReady) => {
                self.phase = PredecessorPhase::Released;
                PredecessorAction::StopAccepting
            }
            (PredecessorPhase::Released, PredecessorEvent::SuccessorEnded) => {
                self.phase = PredecessorPhase::Waiting;
                if stopping { PredecessorAction::None } else { PredecessorAction::ResumeAccepting }
            }
            (PredecessorPhase::Offered, PredecessorEvent::SuccessorEnded) => {
                self.phase = PredecessorPhase::Waiting;
                PredecessorAction::UseFullLimits
            }
            (PredecessorPhase::Waiting, _)
            | (PredecessorPhase::Released, PredecessorEvent::SuccessorReady) => PredecessorAction::None,
        }
    }

    fn requested(&mut self, request: &Request, stopping: bool) -> PredecessorAction {
        let refusal = if request.version != PROTOCOL_VERSION {
            Some(Refusal::Version(PROTOCOL_VERSION))
        } else if request.name != self.name || request.listen != self.listen {
            Some(Refusal::OtherBroker)
        } else if stopping {
            Some(Refusal::NotServing)
        } else if self.phase != PredecessorPhase::Waiting {
            Some(Refusal::Busy)
        } else {
            None
        };
        if let Some(refusal) = refusal {
            return PredecessorAction::Refuse(refusal);
        }
        self.phase = PredecessorPhase::Offered;
        PredecessorAction::Offer
    }
}
