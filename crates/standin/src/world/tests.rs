//! What brokers count as knowing of the list while discovery rejects their calls, in virtual time.

use super::*;
use crate::ledger::{DRAIN_GRACE, TIME_LIMIT_SLACK};

const MS: Duration = Duration::from_millis(1);
/// When the server's drain is published.
const DRAINED_AT: Duration = Duration::from_millis(1000);
/// The last instant at which a broker that learned of the drain then may still send to the server.
const ALLOWANCE: Duration =
    Duration::from_millis((DRAIN_GRACE.as_millis() + TIME_LIMIT_SLACK.as_millis()) as u64);

/// An event loop with one server and one broker with an agent; its time is that of the calls.
fn event_loop() -> EventLoop {
    let parameters = ServerParameters {
        workers: 1,
        mean_service_time: MS,
        queue_limit: 1,
        max_connections: 1,
        cold_from: 1.0,
        warm_up_time: MS,
        fall_multiple: 1.0,
        load_window: MS,
        restart_delay: MS,
    };
    let server = ServerConfig { name: "t0".into(), zone: "z".into(), cell: 0, initially_up: true };
    let config = WorldConfig {
        parameters,
        servers: vec![server],
        brokers: 1,
        cells: 1,
        width: 1,
        idempotency_window: MS,
        read_lag: Duration::ZERO,
        pushed: true,
        indented: false,
        seed: 1,
    };
    let ledger = Arc::new(Mutex::new(Ledger::new(MS)));
    let address = SocketAddr::from(([127, 0, 0, 1], 1));
    let (_, commands) = mpsc::channel();
    EventLoop::new(config, Instant::now(), vec![vec![address]], ledger, commands).expect("a poller")
}

impl EventLoop {
    /// Handles the timers that are due until a time.
    fn advance(&mut self, until: Duration) {
        while let Some(Reverse((at, id))) = self.timers.peek().copied().filter(|due| due.0.0 <= until) {
            self.timers.pop();
            let event = self.timer_events.remove(&id).expect("set with its timer");
            self.on_timer(at, event);
        }
    }

    /// Rejects calls until a time, and publishes the server's drain.
    fn drain_while_calls_are_rejected(&mut self, until: Duration) {
        self.apply_command(Duration::ZERO, WorldCommand::RejectCallsUntil(until));
        self.advance(DRAINED_AT);
        self.apply_command(DRAINED_AT, WorldCommand::SetListed(0, ListedState::Draining));
        self.advance(DRAINED_AT);
    }

    /// Whether a part that the broker sends to the server at a time violates the rule on drains.
    fn violates(&mut self, at: Duration) -> bool {
        self.advance(at);
        let mut ledger = lock(&self.ledger);
        ledger.violations.clear();
        ledger.part_received(at, at, 0, 1, PartRef { id: "b0-1.0", shard: 0, key: None });
        ledger.part_finished(at, 1, "b0-1.0");
        ledger.violations.iter().any(|violation| violation.rule == Rule::Drained)
    }

    /// Restarts the broker's process.
    fn restart_broker(&mut self, at: Duration) {
        self.advance(at);
        self.apply_command(at, WorldCommand::BrokerStopped(0));
        self.apply_command(at, WorldCommand::BrokerStarted(0));
    }
}

#[test]
fn a_list_is_known_at_once_while_calls_are_answered() {
    let mut world = event_loop();
    world.drain_while_calls_are_rejected(Duration::ZERO);
    assert!(!world.violates(DRAINED_AT + ALLOWANCE));
    assert!(world.violates(DRAINED_AT + ALLOWANCE + MS));
    world.restart_broker(DRAINED_AT + MS * 500);
    assert!(world.violates(DRAINED_AT + MS * 500 + ALLOWANCE + MS), "its agent knows the list");
}

// A broker whose calls were rejected throughout can't have read the list, but must respect it after 6 s.
#[test]
fn a_list_that_could_not_be_read_is_known_after_the_delivery_deadline() {
    let mut world = event_loop();
    world.drain_while_calls_are_rejected(MS * 60_000);
    let known = DRAINED_AT + DELIVERY_DEADLINE;
    assert!(!world.violates(known + ALLOWANCE));
    assert!(world.violates(known + ALLOWANCE + MS));
}

#[test]
fn a_restart_does_not_extend_the_delivery_deadline() {
    let mut world = event_loop();
    world.drain_while_calls_are_rejected(MS * 60_000);
    let known = DRAINED_AT + DELIVERY_DEADLINE;
    world.restart_broker(known - MS);
    assert!(world.violates(known + ALLOWANCE + MS), "restarted before the deadline");
    world.restart_broker(known + MS * 1000);
    assert!(world.violates(known + MS * 1000 + ALLOWANCE + MS), "restarted after the deadline");
}

#[test]
fn a_list_is_known_once_calls_are_answered_again() {
    let mut world = event_loop();
    let answered = DRAINED_AT + MS * 2000;
    world.drain_while_calls_are_rejected(answered);
    assert!(!world.violates(answered + ALLOWANCE));
    assert!(world.violates(answered + ALLOWANCE + MS));
}

#[test]
fn a_list_that_a_watch_received_is_known_although_calls_are_rejected() {
    let mut world = event_loop();
    let stream = TcpListener::bind("127.0.0.1:0")
        .and_then(|listener| TcpStream::connect(listener.local_addr()?))
        .expect("connected");
    world.connections.insert(
        1,
        Connection {
            endpoint: Endpoint::Discovery(0),
            stream,
            read_buffer: Vec::new(),
            write_buffer: Vec::new(),
            frame_started: None,
            is_watch: true,
            stalled_since: None,
        },
    );
    world.drain_while_calls_are_rejected(MS * 60_000);
    assert!(!world.violates(DRAINED_AT + ALLOWANCE));
    assert!(world.violates(DRAINED_AT + ALLOWANCE + MS));
}

#[test]
fn a_server_that_is_listed_as_up_again_may_be_used() {
    let mut world = event_loop();
    world.drain_while_calls_are_rejected(MS * 60_000);
    let known = DRAINED_AT + DELIVERY_DEADLINE;
    assert!(world.violates(known + ALLOWANCE + MS));
    let up_at = known + MS * 1000;
    world.advance(up_at);
    world.apply_command(up_at, WorldCommand::SetListed(0, ListedState::Up));
    assert!(!world.violates(up_at + DELIVERY_DEADLINE + ALLOWANCE + MS));
}
