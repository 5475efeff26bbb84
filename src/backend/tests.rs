use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};

use super::frame::parse_load_report;
use super::liveness::DEAD_SILENCE_MULTIPLE;
use super::*;
use crate::interface::PartId;
use crate::net::TimerEvent;
use crate::net::clock::Clock;

struct Fixture {
    backend: Backend,
    net: Net,
    server: TcpListener,
    /// The aim of the attempts that are sent.
    aim: Duration,
    /// The retry safety of their class.
    retry_safety: RetrySafety,
}

const SERVER: ServerId = ServerId(7);

fn fixture() -> Fixture {
    let config = include_str!("../../tests/exchanges/config.json");
    let config: serde_json::Value = serde_json::from_str(config).expect("JSON");
    let settings = SiteSettings::read(&config["settings"]).expect("sound");
    let server = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let aim = settings.router.shortest_aim();
    let mut backend = Backend::new(Arc::new(settings), 10);
    backend.enable_server(SERVER, server.local_addr().expect("bound"));
    let net = Net::new(Clock::start()).expect("a poller");
    Fixture { backend, net, server, aim, retry_safety: RetrySafety::Safe }
}

/// The completion of an attempt without a value or a load report.
fn attempt_completion(attempt: AttemptId, verdict: Verdict) -> Completion {
    Completion::Attempt { attempt, verdict, value: None, load: LoadReport::default() }
}

impl Fixture {
    /// Sends the first attempt of a part.
    fn send(&mut self, part: u64) -> AttemptId {
        self.send_attempt(part, 0, "t", None)
    }

    /// Sends an attempt with a deadline in 5 s that may start until `start_before`.
    fn send_attempt(&mut self, part: u64, number: u32, body: &str, start_before: Option<Time>) -> AttemptId {
        let (attempt, now) = ((PartId(part), number), self.net.clock.now());
        let send = SendAttempt {
            attempt,
            server: SERVER,
            query: format!("q{part}").into(),
            shard: 0,
            idempotency_key: None,
            body: body.into(),
            retry_safety: self.retry_safety,
            aim: self.aim,
            deadline: now.after(Duration::from_secs(5)),
            start_before,
        };
        self.backend.send(&mut self.net, now, send);
        attempt
    }

    /// Handles what the poller reports until every part's frame is written completely.
    fn write_all(&mut self) {
        self.write_all_at(Time(0));
    }

    /// Like `write_all`, but the loop's reading of the clock is at least `not_before`.
    fn write_all_at(&mut self, not_before: Time) {
        while self.backend.connections.values().any(|c| c.parts.values().any(|p| p.written_at.is_none())) {
            let mut ready = Vec::new();
            self.net.poll.wait(None, &mut ready).expect("polls");
            for report in ready {
                let now = self.net.clock.now().max(not_before);
                self.backend.on_ready(&mut self.net, now, report.key, report.readable);
            }
        }
    }

    /// Handles what the poller reports until there are this many completions, and takes them.
    fn run(&mut self, completions: usize) -> Vec<(PartId, Verdict)> {
        while self.backend.completions.len() < completions {
            let mut ready = Vec::new();
            self.net.poll.wait(None, &mut ready).expect("polls");
            for report in ready {
                let now = self.net.clock.now();
                self.backend.on_ready(&mut self.net, now, report.key, report.readable);
            }
        }
        let verdict = |completion| match completion {
            Completion::Attempt { attempt: (part, _), verdict, .. } => (part, verdict),
            Completion::Probe { .. } => unreachable!("none was sent"),
        };
        self.backend.completions.drain(..).map(verdict).collect()
    }
}

// With a fixed connect timeout, every broker lost a part's full timeout on each of thirty machines that had
// disappeared.
#[test]
fn connect_timeout_follows_observed_connect_times() {
    let [min, max, usual] = [40, 250, 2].map(Duration::from_millis);
    let mut connect_time = ConnectTime::new(min, max);
    assert_eq!(connect_time.timeout(), max, "no connection established yet");
    (0..20).for_each(|_| connect_time.record(usual));
    assert_eq!(connect_time.timeout(), min, "all were established fast");
    (0..20).for_each(|n| connect_time.record(if n % 2 == 0 { usual } else { min * 2 }));
    assert!(
        connect_time.timeout() > min * 2 && connect_time.timeout() <= max,
        "{:?}",
        connect_time.timeout()
    );
    (0..20).for_each(|_| connect_time.record(max * 4));
    assert_eq!(connect_time.timeout(), max, "the configured timeout is the maximum");
}

// The timer of a new connection is set to the estimated timeout, not to the configured one.
#[test]
fn connect_timer_uses_estimated_timeout() {
    let mut fixture = fixture();
    (0..20).for_each(|_| fixture.backend.connect_time.record(Duration::from_millis(1)));
    let (timeout, configured) =
        (fixture.backend.connect_time.timeout(), fixture.backend.settings.connect_timeout);
    assert!(timeout < configured, "{timeout:?} of {configured:?}");
    fixture.send(1);
    let key = *fixture.backend.connections.keys().next().expect("one");
    let mut due = Vec::new();
    let at = fixture.net.clock.now().after(timeout + Duration::from_millis(20));
    fixture.net.timers.expire(at, &mut due);
    assert!(due.contains(&TimerEvent::ConnectTimeout(key)), "{due:?}");
}

// An attempt that was never written must be reported as never run, for each way in which a connection can
// fail to be established, and must have exactly one outcome.
#[test]
fn unwritten_attempt_never_ran() {
    let mut fixture = fixture();
    let attempt = fixture.send(1);
    let key = *fixture.backend.connections.keys().next().expect("one");
    fixture.backend.on_connect_timeout(&fixture.net, key);
    fixture.backend.cancel(fixture.net.clock.now(), attempt, Verdict::NoAnswer);
    assert_eq!(fixture.run(1), [(PartId(1), Verdict::NoConnection)]);

    let attempt = fixture.send(2);
    fixture.backend.cancel(fixture.net.clock.now(), attempt, Verdict::Cancelled);
    assert_eq!(fixture.run(1), [(PartId(2), Verdict::NotSent)]);

    let Fixture { server, .. } = std::mem::replace(&mut fixture, self::fixture());
    let closed = server.local_addr().expect("bound");
    drop(server);
    fixture.backend.enable_server(SERVER, closed);
    fixture.send(3);
    assert_eq!(fixture.run(1), [(PartId(3), Verdict::NoConnection)]);
}

// A server that resets connections while it handles requests lost all parts in flight on its single
// connection: three servers of a cell stayed full of work that nobody waited for, and a third of the queries
// was refused. With recent losses, requests must be spread over several connections; parts that share a
// request still share a connection, and once the losses are forgotten a single connection is used again.
#[test]
fn requests_spread_over_connections_after_losses() {
    let mut fixture = fixture();
    Arc::make_mut(&mut fixture.backend.settings).router.batch = 8;
    for part in 0..3 {
        fixture.send(part);
        fixture.write_all();
        // Closing it with a frame unread resets it.
        drop(fixture.server.accept().expect("connected"));
        assert_eq!(fixture.run(1), [(PartId(part), Verdict::ConnectionLost)]);
    }
    for step in 0..3 {
        fixture.send(10 + step * 2);
        fixture.send(11 + step * 2);
        fixture.write_all();
        let now = fixture.net.clock.now();
        fixture.backend.flush(&mut fixture.net, now);
    }
    let mut parts: Vec<usize> =
        fixture.backend.connections.values().map(|connection| connection.parts.len()).collect();
    parts.sort_unstable();
    assert_eq!(parts, [2, 2, 2]);
    let long_after = fixture.net.clock.now().after(Duration::from_secs(3600));
    fixture.backend.servers.get_mut(&SERVER).expect("open").losses.decay(long_after, 1.0);
    fixture.send(20);
    assert_eq!(fixture.backend.connection_count(), 3, "an existing connection carries it");
}

/// Sends a part on a connection that goes silent. Its server answers probes on another connection, and on the
/// silent one if `answers_both`. Returns the attempts completed after a long silence.
fn completions_after_silence(answers_both: bool) -> Vec<Completion> {
    let mut fixture = fixture();
    fixture.send(1);
    fixture.write_all();
    let (mut first, _) = fixture.server.accept().expect("connected");
    let now = fixture.net.clock.now();
    let silence_limit = fixture.backend.min_silence_limit;
    fixture.backend.check_liveness(&mut fixture.net, now.after(silence_limit));
    fixture.backend.flush(&mut fixture.net, now.after(silence_limit));
    assert_eq!(fixture.backend.connection_count(), 2, "another connection shows whether the server answers");
    let server = fixture.server.try_clone().expect("cloned");
    let answers = std::thread::spawn(move || {
        let (mut second, _) = server.accept().expect("connected");
        let probe = b"\0\0\0\x01p";
        let mut frame = [0; 5];
        second.read_exact(&mut frame).expect("the probe");
        assert_eq!(&frame, probe);
        if answers_both {
            let mut seen = Vec::new();
            while !seen.ends_with(probe) {
                let mut byte = [0];
                first.read_exact(&mut byte).expect("the part and the probe");
                seen.push(byte[0]);
            }
            first.write_all(b"\0\0\0\x07pserved").expect("written");
        }
        second.write_all(b"\0\0\0\x07pserved").expect("written");
        (first, second)
    });
    let wanted = if answers_both { 2 } else { 1 };
    while fixture.backend.completions.len() < wanted {
        let mut ready = Vec::new();
        fixture.net.poll.wait(None, &mut ready).expect("polls");
        for report in ready {
            let now = fixture.net.clock.now();
            fixture.backend.on_ready(&mut fixture.net, now, report.key, report.readable);
        }
    }
    let _open = answers.join().expect("answered");
    fixture.backend.completions.clear();
    // A second check does not probe it again, and once it has been silent for long enough it is closed.
    for limits in [2, DEAD_SILENCE_MULTIPLE + 1] {
        fixture.backend.check_liveness(&mut fixture.net, now.after(silence_limit * limits));
    }
    let cancel_read_at = now.after(silence_limit * (DEAD_SILENCE_MULTIPLE + 2));
    fixture.backend.flush(&mut fixture.net, cancel_read_at);
    fixture
        .backend
        .completions
        .drain(..)
        .filter(|completion| matches!(completion, Completion::Attempt { .. }))
        .collect()
}

// The router took the server of a dead connection for a slow one and sent it nothing more, so nothing showed
// that the server was fine: 4 to 6 parts per connection waited until their timeouts. Probes on both
// connections tell the cases apart.
#[test]
fn silent_connection_closed_when_server_answers_only_on_another() {
    let lost = attempt_completion((PartId(1), 0), Verdict::ConnectionLost);
    assert_eq!(completions_after_silence(false), [lost]);
    assert_eq!(completions_after_silence(true), [], "a busy server answers both probes");
}

// When a server drains, queued attempts of which nothing is written must be completed as never run, and new
// ones be rejected.
#[test]
fn disabled_server_receives_nothing_queued() {
    let mut fixture = fixture();
    fixture.send(1);
    fixture.send(2);
    fixture.backend.disable_server(SERVER);
    fixture.send(3);
    let unsent = [1, 2, 3].map(|part| (PartId(part), Verdict::NoConnection));
    assert_eq!(fixture.run(3), unsent);
    let connection = fixture.backend.connections.values().next().expect("one");
    assert!(connection.queued.is_empty() && connection.outbox.is_empty() && connection.parts.is_empty());
}

// Cancelled parts that a server never answers must not use up a connection's streams for good: the connection
// carries nothing new, and is closed once nothing in flight on it is waited for.
#[test]
fn connection_with_unanswered_cancelled_parts_is_retired() {
    let mut fixture = fixture();
    let (first, second) = (fixture.send(1), fixture.send(2));
    fixture.write_all();
    let now = fixture.net.clock.now();
    fixture.backend.cancel(now, first, Verdict::Cancelled);
    fixture.backend.sweep(&fixture.net, now.after(Duration::from_secs(59)));
    fixture.send(3);
    assert_eq!(fixture.backend.connection_count(), 1);
    fixture.backend.sweep(&fixture.net, now.after(Duration::from_secs(61)));
    fixture.send(4);
    assert_eq!(fixture.backend.connection_count(), 2);
    fixture.backend.cancel(now, second, Verdict::Cancelled);
    fixture.backend.cancel(now, (PartId(3), 0), Verdict::Cancelled);
    fixture.backend.flush(&mut fixture.net, now);
    fixture.backend.sweep(&fixture.net, now.after(Duration::from_secs(61)));
    assert_eq!(fixture.backend.connection_count(), 1);
}

// State of replaced servers, and of the parts cancelled or lost there, must be removed once the longest
// deadline has passed; otherwise memory and descriptors grow without bound.
#[test]
fn state_of_replaced_servers_is_removed() {
    let mut fixture = fixture();
    let address = fixture.server.local_addr().expect("bound");
    let deadlines = fixture.backend.settings.router.classes.iter().map(|class| class.deadline);
    let longest = deadlines.max().expect("classes");
    let mut now = fixture.net.clock.now();
    for number in 0..40 {
        let server = ServerId(1000 + number);
        fixture.backend.enable_server(server, address);
        for part in [2 * number, 2 * number + 1] {
            let attempt = (PartId(part), 0);
            let send = SendAttempt {
                attempt,
                server,
                query: format!("q{part}").into(),
                shard: 0,
                idempotency_key: None,
                body: "t".into(),
                retry_safety: RetrySafety::Safe,
                aim: fixture.aim,
                deadline: now.after(longest),
                start_before: None,
            };
            fixture.backend.send(&mut fixture.net, now, send);
        }
        fixture.write_all();
        fixture.backend.disable_server(server);
        fixture.backend.cancel(now, (PartId(2 * number), 0), Verdict::Cancelled);
        now = now.after(longest + CANCEL_READ_ALLOWANCE);
        fixture.backend.cancel(now, (PartId(2 * number + 1), 0), Verdict::NoAnswer);
        fixture.backend.flush(&mut fixture.net, now);
        now = now.after(CANCEL_READ_ALLOWANCE * 2);
        fixture.backend.flush(&mut fixture.net, now);
        fixture.backend.sweep(&fixture.net, now);
        let kept = &fixture.backend;
        let tables =
            [kept.servers.len(), kept.connections.len(), kept.attempts.len(), kept.withheld_outcomes.len()];
        // Only the server that the fixture enables is left.
        assert_eq!(tables, [1, 0, 0, 0], "servers, connections, attempts, withheld outcomes");
        assert_eq!(fixture.backend.completions.drain(..).count(), 2, "each part has one outcome");
    }
}

// With servers joining and leaving, a part was sent again on another connection 0 to 1 ms after its earlier
// attempt was cancelled, before the server could have read the cancellation (`c`, or the close): two attempts
// were in flight.
#[test]
fn cancelled_attempt_completes_once_its_server_has_read_the_cancellation() {
    let mut fixture = fixture();
    let (first, second) = (fixture.send(1), fixture.send(2));
    let (mut stream, _) = fixture.server.accept().expect("a connection arrives");
    fixture.write_all();
    let now = fixture.net.clock.now();
    fixture.backend.cancel(now, first, Verdict::Cancelled);
    fixture.backend.flush(&mut fixture.net, now);
    assert!(fixture.backend.completions.is_empty(), "reported before the cancellation could be read");
    let mut read = Vec::new();
    while !read.ends_with(b"cq1.0") {
        let mut bytes = [0; 256];
        let count = stream.read(&mut bytes).expect("the cancellation arrives");
        assert!(count > 0, "the connection stays open");
        read.extend_from_slice(&bytes[..count]);
    }
    fixture.backend.flush(&mut fixture.net, now.after(CANCEL_READ_ALLOWANCE / 2));
    assert!(fixture.backend.completions.is_empty(), "reported within the allowance");
    let written_by = fixture.net.clock.now();
    fixture.backend.flush(&mut fixture.net, written_by.after(CANCEL_READ_ALLOWANCE));
    assert_eq!(fixture.run(1), [(PartId(1), Verdict::Cancelled)]);
    // A close by this broker cancels all parts in flight on the connection.
    let key = *fixture.backend.connections.keys().next().expect("one connection");
    let before = fixture.backend.now;
    fixture.backend.close_connection(&fixture.net, key, ClosedBy::Broker);
    let closed_by = fixture.net.clock.now().max(before);
    fixture.backend.flush(&mut fixture.net, before.after(CANCEL_READ_ALLOWANCE / 2));
    assert!(fixture.backend.completions.is_empty(), "reported before the close could be read");
    fixture.backend.flush(&mut fixture.net, closed_by.after(CANCEL_READ_ALLOWANCE));
    assert_eq!(fixture.run(1), [(PartId(2), Verdict::ConnectionLost)]);
    let _ = second;
}

/// How long the process is suspended between the loop's reading of the clock and its next action.
const SUSPENSION: Duration = Duration::from_millis(150);

// With 100 ms of delay before every fourth write of a cancellation, 2 to 18 parts per run were in flight
// twice (tests/fleet/held_up.rs): the time that a server has to read a cancellation (50 ms) was counted from
// the loop's reading of the clock before the write, and had passed when the write was made.
#[test]
fn cancel_read_allowance_starts_at_the_write_despite_an_old_clock_reading() {
    let mut fixture = fixture();
    let first = fixture.send(1);
    let (_stream, _) = fixture.server.accept().expect("a connection arrives");
    fixture.write_all();
    let not_written_before = fixture.net.clock.now();
    let old = not_written_before.before(SUSPENSION);
    fixture.backend.cancel(old, first, Verdict::Cancelled);
    fixture.backend.flush(&mut fixture.net, old);
    fixture
        .backend
        .flush(&mut fixture.net, not_written_before.after(CANCEL_READ_ALLOWANCE - Duration::from_nanos(1)));
    assert!(fixture.backend.completions.is_empty(), "reported before the server had time to read");
    let written_by = fixture.net.clock.now();
    fixture.backend.flush(&mut fixture.net, written_by.after(CANCEL_READ_ALLOWANCE));
    assert_eq!(fixture.run(1), [(PartId(1), Verdict::Cancelled)]);
}

// The same fault after a close by this broker: the allowance was counted from the loop's old reading of the
// clock, both for parts cancelled before and for those that ended with the connection.
#[test]
fn cancel_read_allowance_starts_at_the_close_despite_an_old_clock_reading() {
    let mut fixture = fixture();
    let first = fixture.send(1);
    fixture.send(2);
    let (_stream, _) = fixture.server.accept().expect("a connection arrives");
    fixture.write_all();
    let key = *fixture.backend.connections.keys().next().expect("one connection");
    let not_closed_before = fixture.net.clock.now();
    let old = not_closed_before.before(SUSPENSION);
    fixture.backend.now = old;
    fixture.backend.cancel(old, first, Verdict::Cancelled);
    fixture.backend.close_connection(&fixture.net, key, ClosedBy::Broker);
    fixture
        .backend
        .flush(&mut fixture.net, not_closed_before.after(CANCEL_READ_ALLOWANCE - Duration::from_nanos(1)));
    assert!(fixture.backend.completions.is_empty(), "reported before the server had time to read");
    let closed_by = fixture.net.clock.now();
    fixture.backend.flush(&mut fixture.net, closed_by.after(CANCEL_READ_ALLOWANCE));
    let mut ended = fixture.run(2);
    ended.sort_by_key(|(part, _)| *part);
    assert_eq!(ended, [(PartId(1), Verdict::Cancelled), (PartId(2), Verdict::ConnectionLost)]);
}

// The same fault for the latest start of a retry: it was in the future by the loop's old reading of the
// clock, and in the past when the retry was written.
#[test]
fn retry_past_its_latest_start_after_a_suspension_is_not_written() {
    let mut fixture = fixture();
    fixture.send(1);
    let (_stream, _) = fixture.server.accept().expect("a connection arrives");
    fixture.write_all();
    let latest_start = fixture.net.clock.now().before(Duration::from_millis(1));
    let old = latest_start.before(SUSPENSION);
    let attempt = (PartId(2), 1);
    let retry = SendAttempt {
        attempt,
        server: SERVER,
        query: "q2".into(),
        shard: 0,
        idempotency_key: None,
        body: "t".into(),
        retry_safety: RetrySafety::Safe,
        aim: fixture.aim,
        deadline: old.after(Duration::from_secs(5)),
        start_before: Some(latest_start),
    };
    fixture.backend.send(&mut fixture.net, old, retry);
    fixture.backend.flush(&mut fixture.net, old);
    fixture.write_all();
    let not_sent = attempt_completion(attempt, Verdict::NotSent);
    assert_eq!(fixture.backend.completions, [not_sent]);
}

// Values that no server can mean must not reach the router's decisions.
#[test]
fn invalid_load_report_values_are_ignored() {
    let report = parse_load_report("pending=nan,busy_reqs=-1;cpu_share=inf,svc_ms=2,=,%");
    assert_eq!(report, LoadReport { service_seconds: Some(2e-3), ..LoadReport::default() });
}

// Servers send load reports under the names of the settings (such as `pending=0,busy_reqs=0,served_ps=0`),
// while the protocol's documentation uses names of its own: both must be read.
#[test]
fn load_reports_are_read_under_both_sets_of_names() {
    let full = LoadReport {
        held: Some(5.0),
        waiting: Some(3.0),
        utilisation: Some(0.61),
        service_seconds: Some(2e-3),
    };
    assert_eq!(parse_load_report("pending=3,busy_reqs=5,cpu_share=0.61,svc_ms=2,served_ps=40"), full);
    assert_eq!(parse_load_report("queue=3;inflight=5;util=0.61;latency_ms=2;qps=40"), full);
}

// An attempt that was written completely may have run, and must be reported so when its connection is lost.
#[test]
fn written_attempt_may_have_run() {
    let mut fixture = fixture();
    fixture.send(1);
    let (mut stream, _) = fixture.server.accept().expect("a connection arrives");
    let reader = std::thread::spawn(move || {
        let mut frame = [0; 4 + 1 + "q1.0 0 d=5000 1\nt".len()];
        stream.read_exact(&mut frame[..20]).expect("the frame arrives");
    });
    assert_eq!(fixture.run(1), [(PartId(1), Verdict::ConnectionLost)]);
    reader.join().expect("read");
}

/// Size of a body that exceeds the socket buffers, in bytes: its frame stays partially written until the
/// server reads.
const HUGE_BODY_BYTES: usize = 64 * 1024 * 1024;

/// Opens a connection whose server does not read for now, and sends a part whose frame stays partially
/// written; later frames are queued behind it.
fn blocked_connection(fixture: &mut Fixture) -> TcpStream {
    // However long the test takes, the connection does not count as silent, and no other one is opened.
    fixture.aim = Duration::from_secs(3600);
    fixture.send(1);
    let (stream, _) = fixture.server.accept().expect("a connection arrives");
    fixture.write_all();
    fixture.send_attempt(2, 0, &"x".repeat(HUGE_BODY_BYTES), None);
    let now = fixture.net.clock.now();
    fixture.backend.flush(&mut fixture.net, now);
    let connection = fixture.backend.connections.values().next().expect("one");
    assert_eq!(connection.outbox.partially_written(), 1, "the socket accepted the whole frame");
    stream
}

/// Reads from the server's end until the input ends in `end`. Returns the last bytes received.
fn read_until(stream: &mut TcpStream, end: &'static str) -> String {
    let mut read = Vec::new();
    while !read.ends_with(end.as_bytes()) {
        let mut bytes = vec![0; 1024 * 1024];
        let count = stream.read(&mut bytes).expect("the rest arrives");
        assert!(count > 0, "the connection stays open");
        read.extend_from_slice(&bytes[..count]);
        let old = read.len().saturating_sub(256);
        read.drain(..old);
    }
    String::from_utf8_lossy(&read).into_owned()
}

// A frame that was encoded when it was queued told its server the time left at that moment (or, after another
// part of the frame was withdrawn, at the connection's last use), although it then waited two seconds for a
// full socket. Work past a query's deadline is wasted, and more than 0.15 s of it breaks a rule, so the time
// left is taken at the write.
#[test]
fn frame_behind_a_full_socket_carries_the_time_left_at_the_write() {
    let mut fixture = fixture();
    Arc::make_mut(&mut fixture.backend.settings).router.batch = 2;
    let mut stream = blocked_connection(&mut fixture);
    let queued = fixture.net.clock.now();
    fixture.send_attempt(3, 0, "z", None);
    let withdrawn = fixture.send_attempt(4, 0, "z", None);
    fixture.backend.flush(&mut fixture.net, queued);
    fixture.backend.withdraw(queued, withdrawn);
    assert_eq!(fixture.run(1), [(PartId(4), Verdict::NotSent)]);
    let reader = std::thread::spawn(move || read_until(&mut stream, " 1\nz"));
    let later = queued.after(Duration::from_secs(2));
    fixture.write_all_at(later);
    let last = reader.join().expect("read");
    let time_left_ms = last.rsplit("q3.0 0 d=").next().and_then(|rest| rest.split(' ').next());
    let time_left_ms: u128 =
        time_left_ms.and_then(|number| number.parse().ok()).unwrap_or_else(|| panic!("{last}"));
    assert!(time_left_ms <= 3000, "frame carries {time_left_ms} ms with 3 s left");
}

// The latest start of a retry must be checked when the socket accepts its frame, not when the frame is
// queued.
#[test]
fn retry_past_its_latest_start_behind_a_full_socket_is_not_written() {
    let mut fixture = fixture();
    let mut stream = blocked_connection(&mut fixture);
    let queued = fixture.net.clock.now();
    fixture.send_attempt(3, 1, "t", Some(queued.after(Duration::from_secs(1))));
    fixture.send_attempt(4, 0, "u", None);
    fixture.backend.flush(&mut fixture.net, queued);
    let reader = std::thread::spawn(move || read_until(&mut stream, " 1\nu"));
    fixture.write_all_at(queued.after(Duration::from_secs(2)));
    let last = reader.join().expect("read");
    assert!(!last.contains("q3.0"), "{last}");
    let not_sent = attempt_completion((PartId(3), 1), Verdict::NotSent);
    assert_eq!(fixture.backend.completions, [not_sent]);
}

/// The attempts completed so far, without probes.
fn completed_attempts(fixture: &Fixture) -> Vec<(PartId, Verdict)> {
    let attempt = |completion: &Completion| match completion {
        Completion::Attempt { attempt: (part, _), verdict, .. } => Some((*part, *verdict)),
        Completion::Probe { .. } => None,
    };
    fixture.backend.completions.iter().filter_map(attempt).collect()
}

// A part whose frame was partially written, and of which its server read nothing more, waited until its query
// ended, even when cancelled: such a frame can't be withdrawn, and the cancellation is queued behind it. Only
// closing the connection shows that the part will never start.
#[test]
fn part_in_a_blocked_frame_is_completed_by_closing_the_connection() {
    let mut fixture = fixture();
    let stream = blocked_connection(&mut fixture);
    let blocked = fixture.net.clock.now();
    let limit = fixture.aim / SILENCE_LIMIT_AIM_DIVISOR * DEAD_SILENCE_MULTIPLE;
    fixture.backend.check_liveness(&mut fixture.net, blocked.after(limit / 2));
    fixture.backend.flush(&mut fixture.net, blocked);
    assert_eq!(completed_attempts(&fixture), [], "its server may still read more");
    fixture.backend.check_liveness(&mut fixture.net, blocked.after(limit));
    assert_eq!(completed_attempts(&fixture), [(PartId(2), Verdict::NoConnection)]);
    drop(stream);
}

// A server that reads slowly must not lose its connection: any progress restarts the timeout.
#[test]
fn blocked_frame_of_a_slow_reader_is_kept() {
    let mut fixture = fixture();
    let mut stream = blocked_connection(&mut fixture);
    let limit = fixture.aim / SILENCE_LIMIT_AIM_DIVISOR * DEAD_SILENCE_MULTIPLE;
    let mut now = fixture.net.clock.now();
    let mut piece = vec![0; 1024 * 1024];
    let pending_bytes = |fixture: &Fixture| {
        fixture.backend.connections.values().map(|c| c.outbox.pending_bytes()).sum::<usize>()
    };
    for _ in 0..3 {
        now = now.after(limit * 2 / 3);
        let before = pending_bytes(&fixture);
        while pending_bytes(&fixture) == before {
            assert!(stream.read(&mut piece).expect("more arrives") > 0, "the connection stays open");
            // A probe may have opened another connection beside it.
            for key in fixture.backend.connections.keys().copied().collect::<Vec<_>>() {
                fixture.backend.on_ready(&mut fixture.net, now, key, false);
            }
        }
        fixture.backend.check_liveness(&mut fixture.net, now.after(limit / 2));
        assert_eq!(completed_attempts(&fixture), []);
    }
}

mod aborts;
mod malformed;
