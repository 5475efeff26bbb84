//! The new process's side of the hand-over as a state machine without I/O.

use crate::message::{Offer, Refusal};

/// The phase of the hand-over as seen by the successor.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SuccessorPhase {
    /// The sockets are requested.
    Requested,
    /// The sockets are received; this process starts up while the predecessor serves.
    Adopted,
    /// This process accepts clients; the predecessor serves its remaining ones.
    Ready,
    /// There is no predecessor: none was found, it passed no sockets, or it has exited.
    Standalone,
}

/// An input to the successor's state machine.
#[derive(Clone, Debug, PartialEq)]
pub enum SuccessorEvent {
    /// The predecessor has passed its sockets.
    Offered(Offer),
    /// The predecessor has refused the request.
    Refused(Refusal),
    /// The predecessor did not answer in time, or its answer could not be decoded.
    NoAnswer,
    /// This process accepts clients.
    Listening,
    /// The connection to the predecessor is closed, which means that the predecessor has exited.
    PredecessorEnded,
}

/// The action that the successor has to take.
#[derive(Clone, Debug, PartialEq)]
pub enum SuccessorAction {
    /// No action.
    None,
    /// Use the sockets and the snapshot, within the limits that the predecessor leaves.
    Adopt(Offer),
    /// Bind new sockets.
    BindOwn,
    /// Tell the predecessor that this process accepts clients.
    AnnounceReady,
    /// Use the full limits: the predecessor has exited.
    UseFullLimits,
}

/// The successor's state machine.
#[derive(Clone, Debug)]
pub struct Successor {
    phase: SuccessorPhase,
}

impl Successor {
    /// Creates the state machine of a process that has requested a predecessor's sockets.
    pub fn requested() -> Self {
        Successor { phase: SuccessorPhase::Requested }
    }

    /// Creates the state machine of a process that has found no predecessor.
    pub fn standalone() -> Self {
        Successor { phase: SuccessorPhase::Standalone }
    }

    /// The current phase.
    pub fn phase(&self) -> SuccessorPhase {
        self.phase
    }

    /// Handles an event and returns the action to take.
    pub fn handle(&mut self, event: SuccessorEvent) -> SuccessorAction {
        match (self.phase, event) {
            (SuccessorPhase::Requested, SuccessorEvent::Offered(offer)) => {
                self.phase = SuccessorPhase::Adopted;
                SuccessorAction::Adopt(offer)
            }
            (
                SuccessorPhase::Requested,
                SuccessorEvent::Refused(_) | SuccessorEvent::NoAnswer | SuccessorEvent::PredecessorEnded,
            ) => {
                self.phase = SuccessorPhase::Standalone;
                SuccessorAction::BindOwn
            }
            (SuccessorPhase::Adopted, SuccessorEvent::Listening) => {
                self.phase = SuccessorPhase::Ready;
                SuccessorAction::AnnounceReady
            }
            (
                SuccessorPhase::Adopted | SuccessorPhase::Ready,
                SuccessorEvent::PredecessorEnded | SuccessorEvent::NoAnswer,
            ) => {
                self.phase = SuccessorPhase::Standalone;
                SuccessorAction::UseFullLimits
            }
            _ => SuccessorAction::None,
        }
    }
}
