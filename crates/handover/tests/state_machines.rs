//! Table tests of both state machines of the hand-over: every phase with every event.

use badgergauge_handover::{
    Offer, PROTOCOL_VERSION, Predecessor, PredecessorAction, PredecessorEvent, PredecessorPhase, Refusal,
    Request, SocketRole, Successor, SuccessorAction, SuccessorEvent, SuccessorPhase,
};

const NAME: &str = "broker-1";
const LISTEN: &str = "127.0.0.1:8080";

fn request() -> Request {
    Request { version: PROTOCOL_VERSION, name: NAME.to_owned(), listen: LISTEN.parse().expect("an address") }
}

fn requested() -> PredecessorEvent {
    PredecessorEvent::Requested(request())
}

fn offer() -> Offer {
    Offer { roles: vec![SocketRole::Clients], clients: 3, snapshot: Some("{}".to_owned()), list: None }
}

/// Creates a predecessor and brings it into this phase.
fn predecessor(phase: PredecessorPhase) -> Predecessor {
    let mut predecessor = Predecessor::new(NAME.to_owned(), LISTEN.parse().expect("an address"));
    if phase != PredecessorPhase::Waiting {
        predecessor.handle(requested(), false);
    }
    if phase == PredecessorPhase::Released {
        predecessor.handle(PredecessorEvent::SuccessorReady, false);
    }
    assert_eq!(predecessor.phase(), phase);
    predecessor
}

/// Creates a successor and brings it into this phase.
fn successor(phase: SuccessorPhase) -> Successor {
    let mut successor = match phase {
        SuccessorPhase::Standalone => Successor::standalone(),
        _ => Successor::requested(),
    };
    if matches!(phase, SuccessorPhase::Adopted | SuccessorPhase::Ready) {
        successor.handle(SuccessorEvent::Offered(offer()));
    }
    if phase == SuccessorPhase::Ready {
        successor.handle(SuccessorEvent::Listening);
    }
    assert_eq!(successor.phase(), phase);
    successor
}

#[test]
fn predecessor_handles_every_event_in_every_phase() {
    use PredecessorAction as Action;
    use PredecessorEvent::{SuccessorEnded, SuccessorReady};
    use PredecessorPhase::{Offered, Released, Waiting};
    let busy = || Action::Refuse(Refusal::Busy);
    let table = [
        (Waiting, requested(), Action::Offer, Offered),
        (Waiting, SuccessorReady, Action::None, Waiting),
        (Waiting, SuccessorEnded, Action::None, Waiting),
        (Offered, requested(), busy(), Offered),
        (Offered, SuccessorReady, Action::StopAccepting, Released),
        (Offered, SuccessorEnded, Action::UseFullLimits, Waiting),
        (Released, requested(), busy(), Released),
        (Released, SuccessorReady, Action::None, Released),
        (Released, SuccessorEnded, Action::ResumeAccepting, Waiting),
    ];
    for (phase, event, action, next) in table {
        let mut predecessor = predecessor(phase);
        assert_eq!(predecessor.handle(event.clone(), false), action, "{phase:?}, {event:?}");
        assert_eq!(predecessor.phase(), next, "{phase:?}, {event:?}");
    }
}

#[test]
fn stopping_predecessor_handles_every_event_in_every_phase() {
    use PredecessorAction as Action;
    use PredecessorEvent::{SuccessorEnded, SuccessorReady};
    use PredecessorPhase::{Offered, Released, Waiting};
    let refused = || Action::Refuse(Refusal::NotServing);
    let table = [
        (Waiting, requested(), refused(), Waiting),
        (Waiting, SuccessorReady, Action::None, Waiting),
        (Waiting, SuccessorEnded, Action::None, Waiting),
        (Offered, requested(), refused(), Offered),
        (Offered, SuccessorReady, Action::StopAccepting, Released),
        (Offered, SuccessorEnded, Action::UseFullLimits, Waiting),
        (Released, requested(), refused(), Released),
        (Released, SuccessorReady, Action::None, Released),
        (Released, SuccessorEnded, Action::None, Waiting),
    ];
    for (phase, event, action, next) in table {
        let mut predecessor = predecessor(phase);
        assert_eq!(predecessor.handle(event.clone(), true), action, "{phase:?}, {event:?}");
        assert_eq!(predecessor.phase(), next, "{phase:?}, {event:?}");
    }
}

#[test]
fn requests_of_another_version_or_for_another_broker_are_refused_in_every_phase() {
    let table = [
        (Request { version: PROTOCOL_VERSION + 1, ..request() }, Refusal::Version(PROTOCOL_VERSION)),
        (
            Request { version: PROTOCOL_VERSION + 1, name: "other".to_owned(), ..request() },
            Refusal::Version(PROTOCOL_VERSION),
        ),
        (Request { name: "other".to_owned(), ..request() }, Refusal::OtherBroker),
        (
            Request { listen: "127.0.0.1:8081".parse().expect("an address"), ..request() },
            Refusal::OtherBroker,
        ),
    ];
    for (request, refusal) in table {
        for phase in [PredecessorPhase::Waiting, PredecessorPhase::Offered, PredecessorPhase::Released] {
            for stopping in [false, true] {
                let mut predecessor = predecessor(phase);
                let action = predecessor.handle(PredecessorEvent::Requested(request.clone()), stopping);
                assert_eq!(action, PredecessorAction::Refuse(refusal.clone()), "{phase:?}, {request:?}");
                assert_eq!(predecessor.phase(), phase);
            }
        }
    }
}

#[test]
fn another_successor_is_accepted_after_one_has_exited() {
    for phase in [PredecessorPhase::Offered, PredecessorPhase::Released] {
        let mut predecessor = predecessor(phase);
        predecessor.handle(PredecessorEvent::SuccessorEnded, false);
        assert_eq!(predecessor.handle(requested(), false), PredecessorAction::Offer, "{phase:?}");
    }
}

#[test]
fn successor_handles_every_event_in_every_phase() {
    use SuccessorAction as Action;
    use SuccessorEvent::{Listening, NoAnswer, Offered, PredecessorEnded, Refused};
    use SuccessorPhase::{Adopted, Ready, Requested, Standalone};
    let table = [
        (Requested, Offered(offer()), Action::Adopt(offer()), Adopted),
        (Requested, Refused(Refusal::Busy), Action::BindOwn, Standalone),
        (Requested, NoAnswer, Action::BindOwn, Standalone),
        (Requested, Listening, Action::None, Requested),
        (Requested, PredecessorEnded, Action::BindOwn, Standalone),
        (Adopted, Offered(offer()), Action::None, Adopted),
        (Adopted, Refused(Refusal::Busy), Action::None, Adopted),
        (Adopted, NoAnswer, Action::UseFullLimits, Standalone),
        (Adopted, Listening, Action::AnnounceReady, Ready),
        (Adopted, PredecessorEnded, Action::UseFullLimits, Standalone),
        (Ready, Offered(offer()), Action::None, Ready),
        (Ready, Refused(Refusal::Busy), Action::None, Ready),
        (Ready, NoAnswer, Action::UseFullLimits, Standalone),
        (Ready, Listening, Action::None, Ready),
        (Ready, PredecessorEnded, Action::UseFullLimits, Standalone),
        (Standalone, Offered(offer()), Action::None, Standalone),
        (Standalone, Refused(Refusal::Busy), Action::None, Standalone),
        (Standalone, NoAnswer, Action::None, Standalone),
        (Standalone, Listening, Action::None, Standalone),
        (Standalone, PredecessorEnded, Action::None, Standalone),
    ];
    for (phase, event, action, next) in table {
        let mut successor = successor(phase);
        assert_eq!(successor.handle(event.clone()), action, "{phase:?}, {event:?}");
        assert_eq!(successor.phase(), next, "{phase:?}, {event:?}");
    }
}
