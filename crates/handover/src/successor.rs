//! The new process's side of the hand-over, without I/O.

use crate::message::{Offer, Refusal};

/// Where the successor stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SuccessorPhase {
    /// It has asked for the sockets.
    Requested,
    /// It has them, and gets ready beside the predecessor.
    Adopted,
    /// It takes clients; the predecessor serves those that it has.
    Ready,
    /// There is no other process: none was found, none gave anything, or it has ended.
    Standalone,
}

/// What happens to the successor.
#[derive(Clone, Debug, PartialEq)]
pub enum SuccessorEvent {
    /// The predecessor gives its sockets.
    Offered(Offer),
    /// The predecessor gives nothing.
    Refused(Refusal),
    /// The predecessor did not answer in time, or not what can be read.
    NoAnswer,
    /// This process takes clients.
    Listening,
    /// The predecessor's connection has ended, and so has the predecessor.
    PredecessorEnded,
}

/// What the successor is to do.
#[derive(Clone, Debug, PartialEq)]
pub enum SuccessorAction {
    /// Nothing.
    None,
    /// Use the sockets and the snapshot, within what the predecessor leaves of the limits.
    Adopt(Offer),
    /// Bind sockets of its own.
    BindOwn,
    /// Tell the predecessor that it may stop accepting.
    AnnounceReady,
    /// Use all that the limits allow: nobody shares them any more.
    UseFullLimits,
}

/// The successor's state.
#[derive(Clone, Debug)]
pub struct Successor {
    phase: SuccessorPhase,
}

impl Successor {
    /// A process that has asked a predecessor.
    pub fn requested() -> Self {
        Successor { phase: SuccessorPhase::Requested }
    }

    /// A process that has found nobody to ask.
    pub fn standalone() -> Self {
        Successor { phase: SuccessorPhase::Standalone }
    }

    /// Where it stands.
    pub fn phase(&self) -> SuccessorPhase {
        self.phase
    }

    /// What follows from an event.
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
