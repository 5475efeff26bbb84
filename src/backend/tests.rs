use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};

use super::liveness::DEAD_AFTER;
use super::*;
use crate::interface::PartId;
use crate::net::clock::Clock;

struct Bench {
    backend: Backend,
    net: Net,
    server: TcpListener,
    /// The aim of what is sent.
    aim: Duration,
}

const SERVER: ServerId = ServerId(7);

fn bench() -> Bench {
    let config = include_str!("../../tests/exchanges/config.json");
    let config: serde_json::Value = serde_json::from_str(config).expect("JSON");
    let settings = SiteSettings::read(&config["settings"]).expect("sound");
    let server = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let aim = settings.router.shortest_aim();
    let mut backend = Backend::new(Arc::new(settings), 10);
    backend.enable_server(SERVER, server.local_addr().expect("bound"));
    Bench { backend, net: Net::new(Clock::start()).expect("a poller"), server, aim }
}

/// The completion of an attempt without a value or a load report.
fn attempt_completion(attempt: AttemptId, verdict: Verdict) -> Completion {
    Completion::Attempt { attempt, verdict, value: None, load: LoadReport::default() }
}

impl Bench {
    fn send(&mut self, part: u64) -> AttemptId {
        self.send_text(part, 0, "t", None)
    }

    /// Sends an attempt that the broker waits 5 s for, and that may begin until `latest`.
    fn send_text(&mut self, part: u64, number: u32, text: &str, latest: Option<Time>) -> AttemptId {
        let (attempt, now) = ((PartId(part), number), self.net.clock.now());
        let (query, text) = (format!("q{part}").into(), text.into());
        let until = now.after(Duration::from_secs(5));
        let (aim, idempotency) = (self.aim, None);
        let send = SendAttempt {
            attempt,
            server: SERVER,
            query,
            shard: 0,
            idempotency_key: idempotency,
            body: text,
            aim,
            deadline: until,
            start_before: latest,
        };
        self.backend.send(&mut self.net, now, send);
        attempt
    }

    /// Handles what the poller reports until every part's frame is written whole.
    fn write_all(&mut self) {
        self.write_all_at(Time(0));
    }

    /// The same, with the loop's time not before this one.
    fn write_all_at(&mut self, not_before: Time) {
        while self.backend.connections.values().any(|l| l.parts.values().any(|p| p.written.is_none())) {
            let mut ready = Vec::new();
            self.net.poll.wait(None, &mut ready).expect("polls");
            for report in ready {
                let now = self.net.clock.now().max(not_before);
                self.backend.on_ready(&mut self.net, now, report.key, report.readable);
            }
        }
    }

    /// Handles what the poller reports until so much has ended.
    fn run(&mut self, ended: usize) -> Vec<(PartId, Verdict)> {
        while self.backend.completions.len() < ended {
            let mut ready = Vec::new();
            self.net.poll.wait(None, &mut ready).expect("polls");
            for report in ready {
                let now = self.net.clock.now();
                self.backend.on_ready(&mut self.net, now, report.key, report.readable);
            }
        }
        let verdict = |done| match done {
            Completion::Attempt { attempt: (part, _), verdict, .. } => (part, verdict),
            Completion::Probe { .. } => unreachable!("none was sent"),
        };
        self.backend.completions.drain(..).map(verdict).collect()
    }
}

// A broker among many found each of thirty vanished machines by a part that waited the whole time-out.
#[test]
fn a_connection_is_waited_for_as_long_as_others_take_and_no_longer() {
    let [least, most, usual] = [40, 250, 2].map(Duration::from_millis);
    let mut setup = ConnectTime::new(least, most);
    assert_eq!(setup.limit(), most, "nothing is known yet");
    (0..20).for_each(|_| setup.learn(usual));
    assert_eq!(setup.limit(), least, "all came up at once");
    (0..20).for_each(|n| setup.learn(if n % 2 == 0 { usual } else { least * 2 }));
    assert!(setup.limit() > least * 2 && setup.limit() <= most, "{:?}", setup.limit());
    (0..20).for_each(|_| setup.learn(most * 4));
    assert_eq!(setup.limit(), most, "the settings' limit stays");
}

// The limit is that of connections seen: the wheel is set to it.
#[test]
fn a_connection_that_does_not_come_up_ends_when_others_would_be_up() {
    let mut bench = bench();
    (0..20).for_each(|_| bench.backend.setup.learn(Duration::from_millis(1)));
    let (limit, whole) = (bench.backend.setup.limit(), bench.backend.settings.connect_timeout);
    assert!(limit < whole, "{limit:?} of {whole:?}");
    bench.send(1);
    let key = *bench.backend.connections.keys().next().expect("one");
    let mut due = Vec::new();
    let at = bench.net.clock.now().after(limit + Duration::from_millis(20));
    bench.net.timers.expire(at, &mut due);
    assert!(due.contains(&TimerEvent::ConnectTimeout(key)), "{due:?}");
}

// Guards the verdict on what was never written, in each way a connection may fail to come up, and
// that each attempt has one outcome, whatever comes after.
#[test]
fn what_never_went_out_never_ran() {
    let mut bench = bench();
    let attempt = bench.send(1);
    let key = *bench.backend.connections.keys().next().expect("one");
    bench.backend.on_connect_timeout(&bench.net, key);
    bench.backend.cancel(bench.net.clock.now(), attempt, Verdict::NoAnswer);
    assert_eq!(bench.run(1), [(PartId(1), Verdict::NoConnection)]);

    let attempt = bench.send(2);
    bench.backend.cancel(bench.net.clock.now(), attempt, Verdict::Cancelled);
    assert_eq!(bench.run(1), [(PartId(2), Verdict::NotSent)]);

    let Bench { server, .. } = std::mem::replace(&mut bench, self::bench());
    let closed = server.local_addr().expect("bound");
    drop(server);
    bench.backend.enable_server(SERVER, closed);
    bench.send(3);
    assert_eq!(bench.run(1), [(PartId(3), Verdict::NoConnection)]);
}

// Guards the parts of many queries on a server that resets connections under requests: on one connection each
// reset lost all that were out there, three servers of a cell stayed full of work that nobody waited for, and
// a third of the queries was refused. Parts that share a call still share a connection, and once resets are
// over one connection does.
#[test]
fn a_call_that_ends_its_connection_takes_few_others_along() {
    let mut bench = bench();
    Arc::make_mut(&mut bench.backend.settings).router.batch = 8;
    for part in 0..3 {
        bench.send(part);
        bench.write_all();
        // Closed with a frame unread, it is reset.
        drop(bench.server.accept().expect("connected"));
        assert_eq!(bench.run(1), [(PartId(part), Verdict::ConnectionLost)]);
    }
    for step in 0..3 {
        bench.send(10 + step * 2);
        bench.send(11 + step * 2);
        bench.write_all();
        let now = bench.net.clock.now();
        bench.backend.flush(&mut bench.net, now);
    }
    let mut parts: Vec<usize> =
        bench.backend.connections.values().map(|connection| connection.parts.len()).collect();
    parts.sort_unstable();
    assert_eq!(parts, [2, 2, 2]);
    let long_after = bench.net.clock.now().after(Duration::from_secs(3600));
    bench.backend.servers.get_mut(&SERVER).expect("open").losses.fade(long_after, 1.0);
    bench.send(20);
    assert_eq!(bench.backend.connection_count(), 3, "one of the three carries it");
}

/// A part is out on a connection that falls silent. Its server answers probes on another one, and on the silent
/// one if `both`. Gives what ended once the connection had been silent for long.
fn silent(both: bool) -> Vec<Completion> {
    let mut bench = bench();
    bench.send(1);
    bench.write_all();
    let (mut first, _) = bench.server.accept().expect("connected");
    let now = bench.net.clock.now();
    let quiet = bench.backend.least_quiet;
    bench.backend.check_liveness(&mut bench.net, now.after(quiet));
    bench.backend.flush(&mut bench.net, now.after(quiet));
    assert_eq!(bench.backend.connection_count(), 2, "another connection shows whether the server is well");
    let server = bench.server.try_clone().expect("cloned");
    let answers = std::thread::spawn(move || {
        let (mut second, _) = server.accept().expect("connected");
        let probe = b"\0\0\0\x01p";
        let mut frame = [0; 5];
        second.read_exact(&mut frame).expect("the probe");
        assert_eq!(&frame, probe);
        if both {
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
    let wanted = if both { 2 } else { 1 };
    while bench.backend.completions.len() < wanted {
        let mut ready = Vec::new();
        bench.net.poll.wait(None, &mut ready).expect("polls");
        for report in ready {
            let now = bench.net.clock.now();
            bench.backend.on_ready(&mut bench.net, now, report.key, report.readable);
        }
    }
    let _open = answers.join().expect("answered");
    bench.backend.completions.clear();
    // Looked at anew it is not probed again, and once it has been silent for long enough it ends.
    for quiets in [2, DEAD_AFTER + 1] {
        bench.backend.check_liveness(&mut bench.net, now.after(quiet * quiets));
    }
    let heard = now.after(quiet * (DEAD_AFTER + 2));
    bench.backend.flush(&mut bench.net, heard);
    bench.backend.completions.drain(..).filter(|done| matches!(done, Completion::Attempt { .. })).collect()
}

// Guards parts on connections that died without a word: the module took their server for a slow one and sent it
// nothing more, so nothing showed that it was well, and 4 to 6 parts a connection waited until their time was up.
#[test]
fn a_silent_connection_ends_once_its_server_answers_a_probe_on_another_alone() {
    let lost = attempt_completion((PartId(1), 0), Verdict::ConnectionLost);
    assert_eq!(silent(false), [lost]);
    assert_eq!(silent(true), [], "a server that is merely busy answers both");
}

// Guards drains: what is queued and not begun when word comes is taken back, and nothing new is taken.
#[test]
fn a_drained_server_gets_nothing_that_was_queued() {
    let mut bench = bench();
    bench.send(1);
    bench.send(2);
    bench.backend.disable_server(SERVER);
    bench.send(3);
    let unsent = [1, 2, 3].map(|part| (PartId(part), Verdict::NoConnection));
    assert_eq!(bench.run(3), unsent);
    let connection = bench.backend.connections.values().next().expect("one");
    assert!(connection.waiting.is_empty() && connection.outbox.is_empty() && connection.parts.is_empty());
}

// Guards the streams of a connection: what a server has swallowed does not use them up for good. The
// connection gets nothing new, and ends once nobody waits for anything on it.
#[test]
fn a_connection_with_swallowed_parts_is_left() {
    let mut bench = bench();
    let (first, second) = (bench.send(1), bench.send(2));
    bench.write_all();
    let now = bench.net.clock.now();
    bench.backend.cancel(now, first, Verdict::Cancelled);
    bench.backend.sweep(&bench.net, now.after(Duration::from_secs(59)));
    bench.send(3);
    assert_eq!(bench.backend.connection_count(), 1);
    bench.backend.sweep(&bench.net, now.after(Duration::from_secs(61)));
    bench.send(4);
    assert_eq!(bench.backend.connection_count(), 2);
    bench.backend.cancel(now, second, Verdict::Cancelled);
    bench.backend.cancel(now, (PartId(3), 0), Verdict::Cancelled);
    bench.backend.flush(&mut bench.net, now);
    bench.backend.sweep(&bench.net, now.after(Duration::from_secs(61)));
    assert_eq!(bench.backend.connection_count(), 1);
}

// Guards memory and descriptors on a long day: of servers that were replaced, and of parts that were given up,
// answered or lost there, nothing is kept once their time is over.
#[test]
fn nothing_is_kept_of_servers_and_parts_of_old() {
    let mut bench = bench();
    let address = bench.server.local_addr().expect("bound");
    let deadlines = bench.backend.settings.router.classes.iter().map(|class| class.deadline);
    let longest = deadlines.max().expect("classes");
    let mut now = bench.net.clock.now();
    for number in 0..40 {
        let server = ServerId(1000 + number);
        bench.backend.enable_server(server, address);
        for (part, until) in [(2 * number, longest), (2 * number + 1, longest)] {
            let (query, text) = (format!("q{part}").into(), "t".into());
            let until = now.after(until);
            let attempt = (PartId(part), 0);
            let send = SendAttempt {
                attempt,
                server,
                query,
                shard: 0,
                idempotency_key: None,
                body: text,
                aim: bench.aim,
                deadline: until,
                start_before: None,
            };
            bench.backend.send(&mut bench.net, now, send);
        }
        bench.write_all();
        bench.backend.disable_server(server);
        bench.backend.cancel(now, (PartId(2 * number), 0), Verdict::Cancelled);
        now = now.after(longest + GIVE_UP_READ_WITHIN);
        bench.backend.cancel(now, (PartId(2 * number + 1), 0), Verdict::NoAnswer);
        bench.backend.flush(&mut bench.net, now);
        now = now.after(GIVE_UP_READ_WITHIN * 2);
        bench.backend.flush(&mut bench.net, now);
        bench.backend.sweep(&bench.net, now);
        let kept = &bench.backend;
        let tables =
            [kept.servers.len(), kept.connections.len(), kept.attempts.len(), kept.held_outcomes.len()];
        // The one server that `bench` lists, with none of the rest.
        assert_eq!(tables, [1, 0, 0, 0], "servers, connections, attempts, held outcomes");
        assert_eq!(bench.backend.completions.drain(..).count(), 2, "each part has its outcome");
    }
}

// Guards the rule on second copies: on the churn day a part went out again on another connection 0 to 1 ms
// after its earlier attempt was given up, before its server could have read the word (`c`, or the close).
#[test]
fn a_part_given_up_is_over_once_its_server_has_heard_so() {
    let mut bench = bench();
    let (first, second) = (bench.send(1), bench.send(2));
    let (mut stream, _) = bench.server.accept().expect("the connection comes");
    bench.write_all();
    let now = bench.net.clock.now();
    bench.backend.cancel(now, first, Verdict::Cancelled);
    bench.backend.flush(&mut bench.net, now);
    assert!(bench.backend.completions.is_empty(), "told before the word could be read");
    let mut read = Vec::new();
    while !read.ends_with(b"cq1.0") {
        let mut bytes = [0; 256];
        let count = stream.read(&mut bytes).expect("the word comes");
        assert!(count > 0, "the connection stays");
        read.extend_from_slice(&bytes[..count]);
    }
    bench.backend.flush(&mut bench.net, now.after(GIVE_UP_READ_WITHIN / 2));
    assert!(bench.backend.completions.is_empty(), "told within the slack");
    let written_by = bench.net.clock.now();
    bench.backend.flush(&mut bench.net, written_by.after(GIVE_UP_READ_WITHIN));
    assert_eq!(bench.run(1), [(PartId(1), Verdict::Cancelled)]);
    // A close here is such word for all that are out on the connection.
    let key = *bench.backend.connections.keys().next().expect("one connection");
    let before = bench.backend.now;
    bench.backend.drop_connection(&bench.net, key, ClosedBy::Broker);
    let closed_by = bench.net.clock.now().max(before);
    bench.backend.flush(&mut bench.net, before.after(GIVE_UP_READ_WITHIN / 2));
    assert!(bench.backend.completions.is_empty(), "told before the close could be read");
    bench.backend.flush(&mut bench.net, closed_by.after(GIVE_UP_READ_WITHIN));
    assert_eq!(bench.run(1), [(PartId(2), Verdict::ConnectionLost)]);
    let _ = second;
}

/// How long the process stands still between the loop's reading of the clock and what it does then.
const HELD_UP: Duration = Duration::from_millis(150);

// What was seen: with 100 ms before every fourth write of a give-up, 2 to 18 parts a play were out twice
// (tests/fleet/held_up.rs). Why: the loop reads its clock once a turn, and that reading, from before the write, stood
// for the moment at which the server was told. The 50 ms that a server has to read it were over as the write was made.
#[test]
fn a_server_has_its_time_from_the_write_of_a_give_up_on_however_old_the_loops_clock_is() {
    let mut bench = bench();
    let first = bench.send(1);
    let (_stream, _) = bench.server.accept().expect("the connection comes");
    bench.write_all();
    let not_written_before = bench.net.clock.now();
    let old = not_written_before.before(HELD_UP);
    bench.backend.cancel(old, first, Verdict::Cancelled);
    bench.backend.flush(&mut bench.net, old);
    bench
        .backend
        .flush(&mut bench.net, not_written_before.after(GIVE_UP_READ_WITHIN - Duration::from_nanos(1)));
    assert!(bench.backend.completions.is_empty(), "told before the server had its time");
    let written_by = bench.net.clock.now();
    bench.backend.flush(&mut bench.net, written_by.after(GIVE_UP_READ_WITHIN));
    assert_eq!(bench.run(1), [(PartId(1), Verdict::Cancelled)]);
}

// The second way to the same fault: where this broker closed the connection, the wait ran from the loop's old reading
// of the clock, for parts that were given up before and for those that ended with the connection.
#[test]
fn a_server_has_its_time_from_a_close_on_however_old_the_loops_clock_is() {
    let mut bench = bench();
    let first = bench.send(1);
    bench.send(2);
    let (_stream, _) = bench.server.accept().expect("the connection comes");
    bench.write_all();
    let key = *bench.backend.connections.keys().next().expect("one connection");
    let not_closed_before = bench.net.clock.now();
    let old = not_closed_before.before(HELD_UP);
    bench.backend.now = old;
    bench.backend.cancel(old, first, Verdict::Cancelled);
    bench.backend.drop_connection(&bench.net, key, ClosedBy::Broker);
    bench
        .backend
        .flush(&mut bench.net, not_closed_before.after(GIVE_UP_READ_WITHIN - Duration::from_nanos(1)));
    assert!(bench.backend.completions.is_empty(), "told before the server had its time");
    let closed_by = bench.net.clock.now();
    bench.backend.flush(&mut bench.net, closed_by.after(GIVE_UP_READ_WITHIN));
    let mut ended = bench.run(2);
    ended.sort_by_key(|(part, _)| *part);
    assert_eq!(ended, [(PartId(1), Verdict::Cancelled), (PartId(2), Verdict::ConnectionLost)]);
}

// The same fault at a repeat's window: by the loop's old clock there was time left, and by the servers' there was none.
#[test]
fn a_repeat_whose_window_ends_while_the_process_stands_still_is_not_written() {
    let mut bench = bench();
    bench.send(1);
    let (_stream, _) = bench.server.accept().expect("the connection comes");
    bench.write_all();
    let window_ends = bench.net.clock.now().before(Duration::from_millis(1));
    let old = window_ends.before(HELD_UP);
    let (attempt, until) = ((PartId(2), 1), old.after(Duration::from_secs(5)));
    let latest = Some(window_ends);
    let (query, text) = ("q2".into(), "t".into());
    let (aim, idempotency) = (bench.aim, None);
    let repeat = SendAttempt {
        attempt,
        server: SERVER,
        query,
        shard: 0,
        idempotency_key: idempotency,
        body: text,
        aim,
        deadline: until,
        start_before: latest,
    };
    bench.backend.send(&mut bench.net, old, repeat);
    bench.backend.flush(&mut bench.net, old);
    bench.write_all();
    let not_sent = attempt_completion(attempt, Verdict::NotSent);
    assert_eq!(bench.backend.completions, [not_sent]);
}

// Guards the decisions against figures that no server can mean.
#[test]
fn reports_that_make_no_sense_are_left_out() {
    let report = read_report("pending=nan,busy_reqs=-1;cpu_share=inf,svc_ms=2,=,%");
    assert_eq!(report, LoadReport { service_seconds: Some(2e-3), ..LoadReport::default() });
}

// Guards the reports themselves: on sockets they come in the words of the settings (seen: `pending=0,busy_reqs=0,
// served_ps=0`), and the protocol's page writes them in its own.
#[test]
fn reports_are_read_in_the_settings_words_and_in_the_pages() {
    let full = LoadReport {
        held: Some(5.0),
        waiting: Some(3.0),
        utilisation: Some(0.61),
        service_seconds: Some(2e-3),
    };
    assert_eq!(read_report("pending=3,busy_reqs=5,cpu_share=0.61,svc_ms=2,served_ps=40"), full);
    assert_eq!(read_report("queue=3;inflight=5;util=0.61;latency_ms=2;qps=40"), full);
}

// Guards the verdict on what was written whole: it may have run.
#[test]
fn what_went_out_may_have_run() {
    let mut bench = bench();
    bench.send(1);
    let (mut stream, _) = bench.server.accept().expect("the connection comes");
    let reader = std::thread::spawn(move || {
        let mut frame = [0; 4 + 1 + "q1.0 0 d=5000 1\nt".len()];
        stream.read_exact(&mut frame[..20]).expect("the frame comes");
    });
    assert_eq!(bench.run(1), [(PartId(1), Verdict::ConnectionLost)]);
    reader.join().expect("read");
}

/// A text that no socket's buffers hold, so that a frame that carries it stays begun until its server reads.
const HUGE_TEXT: usize = 64 * 1024 * 1024;

/// A part on a connection whose server reads nothing for now: its frame is begun, and what follows waits behind it.
fn blocked_connection(bench: &mut Bench) -> TcpStream {
    // However long the test takes, the connection is not held for silent, and no other one is opened.
    bench.aim = Duration::from_secs(3600);
    bench.send(1);
    let (stream, _) = bench.server.accept().expect("the connection comes");
    bench.write_all();
    bench.send_text(2, 0, &"x".repeat(HUGE_TEXT), None);
    let now = bench.net.clock.now();
    bench.backend.flush(&mut bench.net, now);
    let connection = bench.backend.connections.values().next().expect("one");
    assert_eq!(connection.outbox.partially_written(), 1, "the socket holds the whole frame");
    stream
}

/// Reads a server's end until the last of the broker's frames ends in this text. Gives what came last.
fn read_until(stream: &mut TcpStream, end: &'static str) -> String {
    let mut read = Vec::new();
    while !read.ends_with(end.as_bytes()) {
        let mut bytes = vec![0; 1024 * 1024];
        let count = stream.read(&mut bytes).expect("the rest comes");
        assert!(count > 0, "the connection stays");
        read.extend_from_slice(&bytes[..count]);
        let old = read.len().saturating_sub(256);
        read.drain(..old);
    }
    String::from_utf8_lossy(&read).into_owned()
}

// What was seen: a part waited encoded behind a frame that its server did not read, for two seconds, and was then told to
// its server with the time that it had at first. A query's time is over when its client has gone; what a server does after
// that is for nothing, and more than 0.15 s too much breaks a rule. Why: the time left was put into the frame when it was
// queued for the socket, and, where another part of the same call was taken back, as of the connection's last use.
#[test]
fn what_waits_behind_a_full_socket_is_told_the_time_that_is_left_when_it_is_written() {
    let mut bench = bench();
    Arc::make_mut(&mut bench.backend.settings).router.batch = 2;
    let mut stream = blocked_connection(&mut bench);
    let queued = bench.net.clock.now();
    bench.send_text(3, 0, "z", None);
    let taken_back = bench.send_text(4, 0, "z", None);
    bench.backend.flush(&mut bench.net, queued);
    bench.backend.withdraw(queued, taken_back);
    assert_eq!(bench.run(1), [(PartId(4), Verdict::NotSent)]);
    let reader = std::thread::spawn(move || read_until(&mut stream, " 1\nz"));
    let later = queued.after(Duration::from_secs(2));
    bench.write_all_at(later);
    let last = reader.join().expect("read");
    let told = last.rsplit("q3.0 0 d=").next().and_then(|rest| rest.split(' ').next());
    let told: u128 = told.and_then(|number| number.parse().ok()).unwrap_or_else(|| panic!("{last}"));
    assert!(told <= 3000, "told {told} ms with 3 s left");
}

// The same for the window of a repeat: it was looked at when the frame was queued for the socket, and not when the
// socket took it.
#[test]
fn a_repeat_whose_window_ends_behind_a_full_socket_is_not_written() {
    let mut bench = bench();
    let mut stream = blocked_connection(&mut bench);
    let queued = bench.net.clock.now();
    bench.send_text(3, 1, "t", Some(queued.after(Duration::from_secs(1))));
    bench.send_text(4, 0, "u", None);
    bench.backend.flush(&mut bench.net, queued);
    let reader = std::thread::spawn(move || read_until(&mut stream, " 1\nu"));
    bench.write_all_at(queued.after(Duration::from_secs(2)));
    let last = reader.join().expect("read");
    assert!(!last.contains("q3.0"), "{last}");
    let not_sent = attempt_completion((PartId(3), 1), Verdict::NotSent);
    assert_eq!(bench.backend.completions, [not_sent]);
}

/// Attempts that have ended, without probes.
fn attempts_done(bench: &Bench) -> Vec<(PartId, Verdict)> {
    let attempt = |done: &Completion| match done {
        Completion::Attempt { attempt: (part, _), verdict, .. } => Some((*part, *verdict)),
        Completion::Probe { .. } => None,
    };
    bench.backend.completions.iter().filter_map(attempt).collect()
}

// What was seen: a part whose frame was begun, and of which its server read nothing more, waited until its query ended, and so
// did its client; given up, it waited as well. Why: a frame that is partly written can't be taken back, and the word that
// its part is given up waits behind it. Only the connection's end tells that the part will never begin.
#[test]
fn a_part_whose_frame_is_begun_and_not_read_is_free_to_go_elsewhere() {
    let mut bench = bench();
    let stream = blocked_connection(&mut bench);
    let blocked = bench.net.clock.now();
    let limit = bench.aim / QUIET_PART * DEAD_AFTER;
    bench.backend.check_liveness(&mut bench.net, blocked.after(limit / 2));
    bench.backend.flush(&mut bench.net, blocked);
    assert_eq!(attempts_done(&bench), [], "its server may still read on");
    bench.backend.check_liveness(&mut bench.net, blocked.after(limit));
    assert_eq!(attempts_done(&bench), [(PartId(2), Verdict::NoConnection)]);
    drop(stream);
}

// A server that reads slowly is waited for, however long it takes: each time that it has read something counts anew.
#[test]
fn a_frame_of_which_a_server_reads_more_is_waited_for() {
    let mut bench = bench();
    let mut stream = blocked_connection(&mut bench);
    let limit = bench.aim / QUIET_PART * DEAD_AFTER;
    let mut now = bench.net.clock.now();
    let mut piece = vec![0; 1024 * 1024];
    let held =
        |bench: &Bench| bench.backend.connections.values().map(|c| c.outbox.pending_bytes()).sum::<usize>();
    for _ in 0..3 {
        now = now.after(limit * 2 / 3);
        let before = held(&bench);
        while held(&bench) == before {
            assert!(stream.read(&mut piece).expect("more comes") > 0, "the connection stays");
            // A probe may have opened another connection beside it.
            for key in bench.backend.connections.keys().copied().collect::<Vec<_>>() {
                bench.backend.on_ready(&mut bench.net, now, key, false);
            }
        }
        bench.backend.check_liveness(&mut bench.net, now.after(limit / 2));
        assert_eq!(attempts_done(&bench), []);
    }
}
