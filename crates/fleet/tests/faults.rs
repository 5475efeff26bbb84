//! The fault proxy and the checkers on real sockets: each fault does what it says, and each checker finds a broken
//! peer. A time limit here is only how long a failing test takes; no verdict hangs on how fast anything is.

use std::io::{self, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use badgergauge_fleet::load::{Class, ClientCommand, ClientResults, Clients, Load, RetrySafety};
use badgergauge_fleet::proxy::{Builder, Link, Proxy, Rule, Tell};
use badgergauge_standin::ledger::Rule as Broken;
use badgergauge_standin::model::{Behaviour, ServerParameters};
use badgergauge_standin::world::{ListedState, ServerConfig, World, WorldCommand, WorldConfig};

const HANGS: Duration = Duration::from_secs(20);
/// Long against what loopback takes; that nothing comes is waited for so long.
const NOTHING: Duration = Duration::from_millis(150);

fn linked() -> (TcpListener, Proxy, Link, SocketAddr) {
    let server = TcpListener::bind("127.0.0.1:0").expect("a port");
    let mut builder = Builder::new(1);
    let (link, at) = builder.tcp(server.local_addr().expect("bound")).expect("a port");
    (server, builder.start().expect("starts"), link, at)
}

fn joined(server: &TcpListener, at: SocketAddr) -> (TcpStream, TcpStream) {
    let client = TcpStream::connect(at).expect("listens");
    let (other, _) = server.accept().expect("comes");
    for stream in [&client, &other] {
        stream.set_read_timeout(Some(HANGS)).expect("set");
    }
    (client, other)
}

/// One byte, or why none came within a time.
fn byte(mut stream: &TcpStream, within: Duration) -> io::Result<u8> {
    stream.set_read_timeout(Some(within)).expect("set");
    let mut byte = [0];
    stream.read_exact(&mut byte).map(|()| byte[0])
}

fn nothing(stream: &TcpStream) -> bool {
    matches!(
        byte(stream, NOTHING).map_err(|error| error.kind()),
        Err(ErrorKind::WouldBlock | ErrorKind::TimedOut)
    )
}

/// Tries until it holds: what the proxy is told takes hold on its own thread.
fn until(mut holds: impl FnMut() -> bool) {
    let start = Instant::now();
    while !holds() {
        assert!(start.elapsed() < HANGS, "it never holds");
        thread::yield_now();
    }
}

#[test]
fn a_cut_is_silent_new_connections_never_come_up_and_all_goes_on_after_it() {
    let (server, proxy, link, at) = linked();
    let (mut client, other) = joined(&server, at);
    client.write_all(b"a").expect("written");
    assert_eq!(byte(&other, HANGS).expect("comes"), b'a');
    proxy.tell(Tell::Set(vec![link], Rule::cut()));
    // Connections come up while the word is on its way; once one does not, the cut is there.
    until(|| TcpStream::connect_timeout(&at, NOTHING).is_err());
    client.write_all(b"b").expect("taken by the system");
    assert!(nothing(&other) && nothing(&client), "what was cut passes");
    proxy.tell(Tell::Set(vec![link], Rule::default()));
    assert_eq!(byte(&other, HANGS).expect("what waited comes"), b'b');
    until(|| TcpStream::connect_timeout(&at, HANGS).is_ok());
}

#[test]
fn a_one_way_cut_lets_the_other_way_pass() {
    let (server, proxy, link, at) = linked();
    let (mut client, mut other) = joined(&server, at);
    proxy.tell(Tell::Set(vec![link], Rule { cut_back: true, ..Rule::default() }));
    until(|| TcpStream::connect_timeout(&at, NOTHING).is_err());
    client.write_all(b"a").expect("written");
    assert_eq!(byte(&other, HANGS).expect("comes"), b'a');
    other.write_all(b"b").expect("taken by the system");
    assert!(nothing(&client), "what was cut passes");
}

#[test]
fn a_process_that_is_down_resets_and_refuses_and_is_found_again_at_its_address() {
    let (server, proxy, link, at) = linked();
    let (client, _other) = joined(&server, at);
    proxy.tell(Tell::Down(vec![link]));
    assert_eq!(byte(&client, HANGS).map_err(|error| error.kind()), Err(ErrorKind::ConnectionReset));
    let refused = TcpStream::connect(at).map(drop).map_err(|error| error.kind());
    assert_eq!(refused, Err(ErrorKind::ConnectionRefused));
    proxy.tell(Tell::Up(vec![link]));
    until(|| TcpStream::connect(at).is_ok());
}

#[test]
fn a_reset_hits_the_request_and_delay_and_a_slow_reader_keep_the_order() {
    let (server, proxy, link, at) = linked();
    let rule =
        Rule { delay: Duration::from_millis(40), jitter: Duration::from_millis(20), ..Rule::default() };
    proxy.tell(Tell::Set(vec![link], rule));
    let (mut client, mut other) = joined(&server, at);
    let start = Instant::now();
    for n in 0..50_u8 {
        client.write_all(&[n]).expect("written");
    }
    let mut came = [0; 50];
    other.read_exact(&mut came).expect("all come");
    assert!(start.elapsed() >= rule.delay, "{:?}", start.elapsed());
    assert!(came.iter().enumerate().all(|(n, byte)| usize::from(*byte) == n), "{came:?}");
    proxy.tell(Tell::Set(vec![link], Rule { rate: Some(10_000), ..Rule::default() }));
    let (mut client, mut other) = joined(&server, at);
    let start = Instant::now();
    let writer = thread::spawn(move || client.write_all(&[7; 3000]).map(|()| client));
    other.read_exact(&mut [0; 3000]).expect("all come");
    assert!(start.elapsed() >= Duration::from_millis(200), "{:?} for 0.3 s of bytes", start.elapsed());
    drop(writer.join().expect("written"));
    proxy.tell(Tell::Set(vec![link], Rule { reset: 1.0, ..Rule::default() }));
    let (mut client, _other) = joined(&server, at);
    client.write_all(b"a").expect("taken by the system");
    assert_eq!(byte(&client, HANGS).map_err(|error| error.kind()), Err(ErrorKind::ConnectionReset));
}

#[test]
fn datagrams_come_from_the_address_that_their_receiver_knows_and_may_be_lost() {
    let bind = || UdpSocket::bind("127.0.0.1:0").expect("a port");
    let (one, other) = (bind(), bind());
    let at = |socket: &UdpSocket| socket.local_addr().expect("bound");
    let mut builder = Builder::new(1);
    let [(there, to), (_, back)] = builder.udp(at(&one), at(&other)).expect("ports");
    let proxy = builder.start().expect("starts");
    let mut bytes = [0; 16];
    other.set_read_timeout(Some(HANGS)).expect("set");
    one.send_to(b"a", to).expect("sent");
    assert_eq!(other.recv_from(&mut bytes).expect("comes"), (1, back));
    proxy.tell(Tell::Set(vec![there], Rule { loss: 1.0, ..Rule::default() }));
    // Those sent before the word took hold still come; then none does.
    until(|| {
        one.send_to(b"b", to).expect("sent");
        other.set_read_timeout(Some(NOTHING)).expect("set");
        other.recv_from(&mut [0; 16]).is_err()
    });
    other.send_to(b"c", back).expect("sent");
    one.set_read_timeout(Some(HANGS)).expect("set");
    assert_eq!(one.recv_from(&mut bytes).expect("the way back is not lossy"), (1, to));
}

fn world(servers: usize, brokers: usize) -> World {
    let parameters = ServerParameters {
        workers: 2,
        mean_service_time: Duration::from_millis(1),
        queue_limit: 10,
        max_connections: 5,
        cold_from: 0.2,
        warm_up_time: Duration::from_secs(10),
        fall_multiple: 2.0,
        load_window: Duration::from_secs(1),
        restart_delay: Duration::from_millis(50),
    };
    let placed = |n: usize| ServerConfig {
        name: format!("t{n}"),
        zone: "z".into(),
        cell: n as u32,
        initially_up: true,
    };
    let config = WorldConfig {
        parameters,
        servers: (0..servers).map(placed).collect(),
        brokers,
        cells: servers as u32,
        width: 1,
        idempotency_window: Duration::from_millis(10),
        read_lag: Duration::ZERO,
        pushed: false,
        indented: false,
        seed: 1,
    };
    World::start(config, Instant::now(), |at| Ok(vec![at.to_vec(); brokers])).expect("starts")
}

fn framed(frame: &str) -> Vec<u8> {
    [&(frame.len() as u32).to_be_bytes()[..], frame.as_bytes()].concat()
}

fn part(id: &str, shard: u32, key: &str) -> Vec<u8> {
    framed(&format!("q{id} {shard} d=100,k={key} 1\nt"))
}

fn answer(stream: &mut TcpStream) -> String {
    stream.set_read_timeout(Some(HANGS)).expect("set");
    let mut length = [0; 4];
    stream.read_exact(&mut length).expect("comes");
    let mut frame = vec![0; u32::from_be_bytes(length) as usize];
    stream.read_exact(&mut frame).expect("comes");
    String::from_utf8(frame).expect("text")
}

fn found(world: &World) -> Vec<Broken> {
    world.ledger().violations.iter().map(|breach| breach.rule).collect()
}

// A broken broker, by hand: each thing that it does wrong is found, and what is right is not.
#[test]
fn the_stand_ins_find_what_a_broken_broker_does() {
    let world = world(2, 1);
    let connect = |server: usize| TcpStream::connect(world.tile_address(server)).expect("listens");
    let mut one = connect(0);
    one.write_all(&part("b0-1.0", 0, "k1")).expect("written");
    assert!(answer(&mut one).starts_with("ab0-1.0 served "));
    assert_eq!(found(&world), []);
    // Twice at once: the first is swallowed, and never given up. Word comes to the world before what is written
    // after it.
    world.send(WorldCommand::SetBehaviour(0, Behaviour::Ignore));
    one.write_all(&part("b0-2.0", 0, "k2")).expect("written");
    one.write_all(&framed("p")).expect("written");
    assert_eq!(answer(&mut one), "pserved", "both were read");
    let mut two = connect(0);
    two.write_all(&part("b0-2.0", 0, "k2")).expect("written");
    until(|| found(&world) == [Broken::SecondCopy]);
    // With word of the first it is none.
    world.ledger().violations.clear();
    one.write_all(&part("b0-3.0", 0, "k3")).expect("written");
    one.write_all(&framed("cb0-3.0")).expect("written");
    one.write_all(&part("b0-3.0", 0, "k3")).expect("written");
    one.write_all(&framed("p")).expect("written");
    assert_eq!(answer(&mut one), "pserved");
    assert_eq!(found(&world), []);
    // Nor is it one once the network has reset the connection of the first.
    let mut third = connect(0);
    third.write_all(&part("b0-7.0", 0, "k7")).expect("written");
    third.write_all(&framed("p")).expect("written");
    assert_eq!(answer(&mut third), "pserved", "both were read");
    socket2::SockRef::from(&third).set_linger(Some(Duration::ZERO)).expect("set");
    drop(third);
    one.write_all(&part("b0-7.0", 0, "k7")).expect("written");
    one.write_all(&framed("p")).expect("written");
    assert_eq!(answer(&mut one), "pserved");
    assert_eq!(found(&world), []);
    // At a server that does not hold the shard, and a frame that is no use.
    one.write_all(&part("b0-4.1", 1, "k4")).expect("written");
    until(|| found(&world) == [Broken::Misplaced]);
    // Begun and never ended.
    world.ledger().violations.clear();
    two.write_all(&part("b0-5.0", 0, "k5")[..9]).expect("written");
    drop(two);
    until(|| found(&world) == [Broken::CutFrame]);
    // Again after its window, which is 10 ms here, and the slack.
    world.ledger().violations.clear();
    world.send(WorldCommand::SetBehaviour(0, Behaviour::Serve));
    until(|| {
        one.write_all(&part("b0-6.0", 0, "k1")).expect("written");
        answer(&mut one);
        found(&world) == [Broken::Doubled]
    });
}

// A cold server under more than its joint limit falls over, says so, and comes back cold.
#[test]
fn a_cold_server_falls_over_and_a_drain_binds_from_when_it_was_told() {
    let world = world(1, 1);
    let mut watch = TcpStream::connect(world.discovery_address(0)).expect("listens");
    watch.write_all(b"GET /discovery/hosts?stream=1&index=0 HTTP/1.1\r\nHost: d\r\n\r\n").expect("written");
    watch.set_read_timeout(Some(HANGS)).expect("set");
    let mut list = String::new();
    let mut reads = |needle: &str| {
        while !list.contains(needle) {
            let mut bytes = [0; 1024];
            let read = watch.read(&mut bytes).expect("comes");
            list.push_str(std::str::from_utf8(&bytes[..read]).expect("text"));
        }
    };
    reads("\"up\"");
    world.send(WorldCommand::SetListed(0, ListedState::Draining));
    reads("\"draining\"");
    let told = Instant::now();
    let mut one = TcpStream::connect(world.tile_address(0)).expect("listens");
    until(|| told.elapsed() > Duration::from_millis(350));
    one.write_all(&part("b0-1.0", 0, "k1")).expect("written");
    until(|| found(&world) == [Broken::Drained]);
    world.ledger().violations.clear();
    world.send(WorldCommand::SetListed(0, ListedState::Up));
    reads("\"up\"");
    world.send(WorldCommand::StopServer(0));
    world.send(WorldCommand::StartServer(0));
    // Two workers at a fifth and a bit: 0.8 s of work in a second is the limit, 800 parts of 1 ms.
    let mut sent = 0;
    until(|| {
        if let Ok(mut one) = TcpStream::connect(world.tile_address(0)) {
            let many: Vec<u8> = (0..10).flat_map(|n| part(&format!("b1-{}.0", sent + n), 0, "x")).collect();
            // It is reset once the server falls; those that it turned away first are no work.
            let _ = one.write_all(&many);
            let mut answers = (0..10).map_while(|_| one.read(&mut [0; 4096]).ok().filter(|read| *read > 0));
            let _ = answers.by_ref().take(1).count();
        }
        sent += 10;
        found(&world).contains(&Broken::ColdFell)
    });
    let strain = world.ledger().server_counts.values().map(|counts| counts.cold_load).fold(0.0, f64::max);
    assert!(strain > 1.0, "{strain}");
}

/// What clients see of a broker that does so with each connection.
fn seen(broker: impl Fn(TcpStream) + Send + 'static) -> ClientResults {
    seen_by(false, broker)
}

/// The same, by clients that may pool their connections.
fn seen_by(pooled: bool, broker: impl Fn(TcpStream) + Send + 'static) -> ClientResults {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let at = listener.local_addr().expect("bound");
    thread::spawn(move || listener.incoming().flatten().for_each(broker));
    let class = Class {
        name: "c".into(),
        aim: Duration::from_millis(100),
        deadline: Duration::from_millis(200),
        retry_safety: RetrySafety::Keyed,
        min_share: 1.0,
        share: 1.0,
    };
    let load = Load {
        rate: 100.0,
        weights: vec![1.0],
        parts: 2,
        blocks: 4,
        classes: vec![class],
        start: Duration::from_millis(50),
        duration: Duration::from_millis(100),
        seed: 1,
        pooled,
        misbehaving_share: 0.0,
    };
    let clients = Clients::start(load, Instant::now()).expect("starts");
    clients.send(ClientCommand::SetBroker(0, Some(at)));
    clients.join().expect("all are answered or given up")
}

/// Reads a request to its end, and answers it so.
fn answers(stream: TcpStream, answer: &str) {
    answers_next(&stream, answer);
}

/// Reads the next request of a connection and answers it so; gives whether there was one.
fn answers_next(mut stream: &TcpStream, answer: &str) -> bool {
    let (mut request, mut bytes) = (Vec::new(), [0; 4096]);
    while !request.ends_with(b"}") {
        match stream.read(&mut bytes) {
            Ok(read @ 1..) => request.extend_from_slice(&bytes[..read]),
            _ => return false,
        }
    }
    write!(stream, "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{answer}", answer.len()).is_ok()
}

#[test]
fn clients_find_a_broker_that_does_not_answer_or_answers_what_no_server_made() {
    let silent = seen(std::mem::forget);
    let offered: u32 = silent.outcomes.values().map(|fates| fates.offered).sum();
    assert!(offered > 0);
    assert!(silent.unanswered.len() as u32 == offered && silent.unanswered.iter().all(|lost| !lost.closed));
    let closing = seen(|mut stream| {
        // What it has read is taken: then it ends the connection.
        let _ = stream.read(&mut [0; 4096]);
    });
    assert!(closing.unanswered.iter().all(|lost| lost.closed) && !closing.unanswered.is_empty());
    for wrong in [
        "{\"full\":true,\"pieces\":[]}",
        "{\"full\":false,\"pieces\":[]}",
        "{\"full\":true,\"pieces\":[{\"tablet\":0,\"cell\":\"invented\"},{\"tablet\":1,\"cell\":\"invented\"}]}",
    ] {
        let seen = seen(move |stream| answers(stream, wrong));
        assert_eq!(
            seen.wrong.len() as u32,
            seen.outcomes.values().map(|f| f.offered).sum::<u32>(),
            "{wrong}"
        );
    }
}

// A connection carries request after request, and one that ends under its second is counted as closed.
#[test]
fn clients_that_pool_reuse_connections_and_count_those_that_end_under_a_request() {
    let connections = Arc::new(AtomicU32::new(0));
    let counter = connections.clone();
    let kept = seen_by(true, move |stream| {
        counter.fetch_add(1, Ordering::Relaxed);
        thread::spawn(move || while answers_next(&stream, "{}") {});
    });
    let offered: u32 = kept.outcomes.values().map(|fates| fates.offered).sum();
    assert!(offered > 1 && kept.unanswered.is_empty(), "{offered} queries, {:?}", kept.unanswered);
    let used = connections.load(Ordering::Relaxed);
    assert!(used < offered, "{used} connections for {offered} queries");
    let closing = seen_by(true, |stream| {
        thread::spawn(move || {
            answers_next(&stream, "{}");
            let _ = (&stream).read(&mut [0; 4096]);
        });
    });
    let closed: u32 = closing.outcomes.values().map(|fates| fates.closed).sum();
    assert!(closed > 0 && closed as usize == closing.unanswered.len(), "{closed} closed");
}
