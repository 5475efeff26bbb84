//! The running process's side of the hand-over as a state machine without I/O.

use std::net::SocketAddr;

use crate::message::{PROTOCOL_VERSION, Refusal, Request};

/// The phase of the hand-over as seen by the predecessor.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PredecessorPhase {
    /// No successor has requested the sockets.
    Waiting,
    /// A successor has the sockets but is not ready yet; this process accepts clients.
    Offered,
    /// A successor is ready and accepts clients; this process no longer does.
    Released,
}

/// An input to the predecessor's state machine.
#[derive(Clone, Debug, PartialEq)]
pub enum PredecessorEvent {
    /// A process requests the sockets.
    Requested(Request),
    /// The successor accepts clients.
    SuccessorReady,
    /// The connection to the successor is closed, which means that the successor has exited.
    SuccessorEnded,
}

/// The action that the predecessor has to take.
#[derive(Clone, Debug, PartialEq)]
pub enum PredecessorAction {
    /// No action.
    None,
    /// Send the sockets and keep accepting clients.
    Offer,
    /// Send the reason for the refusal and close the connection.
    Refuse(Refusal),
    /// Stop accepting clients, but keep the sockets open.
    StopAccepting,
    /// Resume accepting clients: the successor has exited.
    ResumeAccepting,
    /// Use the full limits again: the successor has exited before it was ready.
    UseFullLimits,
}

/// The predecessor's state machine.
#[derive(Clone, Debug)]
pub struct Predecessor {
    phase: PredecessorPhase,
    name: String,
    listen: SocketAddr,
}

impl Predecessor {
    /// Creates the state machine of a process that serves under this name and address.
    pub fn new(name: String, listen: SocketAddr) -> Self {
        Predecessor { phase: PredecessorPhase::Waiting, name, listen }
    }

    /// The current phase.
    pub fn phase(&self) -> PredecessorPhase {
        self.phase
    }

    /// Handles an event and returns the action to take. `stopping` means that this process is shutting down.
    pub fn handle(&mut self, event: PredecessorEvent, stopping: bool) -> PredecessorAction {
        match (self.phase, event) {
            (_, PredecessorEvent::Requested(request)) => self.handle_request(&request, stopping),
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

    fn handle_request(&mut self, request: &Request, stopping: bool) -> PredecessorAction {
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
