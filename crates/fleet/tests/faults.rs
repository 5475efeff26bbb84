//! The fault proxy, the stand-ins' checks and the clients' checks on real sockets: each fault has its effect,
//! and each check detects a faulty peer. Timeouts only bound how long a failing test takes; no result depends
//! on speed.

use std::io::{self, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use badgergauge_fleet::load::{Class, ClientCommand, ClientResults, Clients, Load, RetrySafety};
use badgergauge_fleet::proxy::{Builder, Link, Proxy, ProxyCommand, Rule};
use badgergauge_standin::ledger::Rule as ViolatedRule;
use badgergauge_standin::model::{Behaviour, ServerParameters};
use badgergauge_standin::world::{ListedState, ServerConfig, World, WorldCommand, WorldConfig};

/// Bounds how long a failing test waits.
const TIMEOUT: Duration = Duration::from_secs(20);
/// How long tests wait to see that nothing arrives; long compared with a round trip on loopback.
const NO_DATA_WAIT: Duration = Duration::from_millis(150);

/// A server behind a proxy: listener, proxy, link and the proxy's address.
fn proxied_server() -> (TcpListener, Proxy, Link, SocketAddr) {
    let server = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let mut builder = Builder::new(1);
    let (link, at) = builder.tcp(server.local_addr().expect("bound")).expect("a free port");
    (server, builder.start().expect("starts"), link, at)
}

/// Connects through the proxy. Returns the client's and the server's side.
fn connect(server: &TcpListener, at: SocketAddr) -> (TcpStream, TcpStream) {
    let client = TcpStream::connect(at).expect("listens");
    let (peer, _) = server.accept().expect("accepted");
    for stream in [&client, &peer] {
        stream.set_read_timeout(Some(TIMEOUT)).expect("set");
    }
    (client, peer)
}

/// Reads one byte within a time.
fn read_byte(mut stream: &TcpStream, within: Duration) -> io::Result<u8> {
    stream.set_read_timeout(Some(within)).expect("set");
    let mut byte = [0];
    stream.read_exact(&mut byte).map(|()| byte[0])
}

fn receives_nothing(stream: &TcpStream) -> bool {
    matches!(
        read_byte(stream, NO_DATA_WAIT).map_err(|error| error.kind()),
        Err(ErrorKind::WouldBlock | ErrorKind::TimedOut)
    )
}

/// Polls until a condition holds, as the proxy and the stand-ins carry out commands on their own threads.
fn wait_until(mut holds: impl FnMut() -> bool) {
    let start = Instant::now();
    while !holds() {
        assert!(start.elapsed() < TIMEOUT, "the condition did not hold in time");
        thread::yield_now();
    }
}

#[test]
fn a_cut_stops_traffic_and_new_connections_and_can_be_undone() {
    let (server, proxy, link, at) = proxied_server();
    let (mut client, peer) = connect(&server, at);
    client.write_all(b"a").expect("written");
    assert_eq!(read_byte(&peer, TIMEOUT).expect("received"), b'a');
    proxy.send(ProxyCommand::SetRule(vec![link], Rule::cut()));
    // Connections succeed until the proxy has carried out the command; once one times out, the cut is in
    // effect.
    wait_until(|| TcpStream::connect_timeout(&at, NO_DATA_WAIT).is_err());
    client.write_all(b"b").expect("buffered by the system");
    assert!(receives_nothing(&peer) && receives_nothing(&client), "data passed a cut link");
    proxy.send(ProxyCommand::SetRule(vec![link], Rule::default()));
    assert_eq!(read_byte(&peer, TIMEOUT).expect("queued data arrives"), b'b');
    wait_until(|| TcpStream::connect_timeout(&at, TIMEOUT).is_ok());
}

#[test]
fn a_one_way_cut_leaves_the_other_direction_open() {
    let (server, proxy, link, at) = proxied_server();
    let (mut client, mut peer) = connect(&server, at);
    proxy.send(ProxyCommand::SetRule(vec![link], Rule { cut_back: true, ..Rule::default() }));
    wait_until(|| TcpStream::connect_timeout(&at, NO_DATA_WAIT).is_err());
    client.write_all(b"a").expect("written");
    assert_eq!(read_byte(&peer, TIMEOUT).expect("received"), b'a');
    peer.write_all(b"b").expect("buffered by the system");
    assert!(receives_nothing(&client), "data passed a cut link");
}

// A sender's system keeps sending what was written before an orderly close, and discards it after a reset.
#[test]
fn after_a_cut_what_was_written_arrives_unless_the_connection_was_reset() {
    for reset in [false, true] {
        for cut in [Rule::cut(), Rule { cut_back: false, ..Rule::cut() }] {
            let (server, proxy, link, at) = proxied_server();
            let (mut client, mut peer) = connect(&server, at);
            client.write_all(b"a").expect("written");
            assert_eq!(read_byte(&peer, TIMEOUT).expect("received"), b'a');
            proxy.send(ProxyCommand::SetRule(vec![link], cut));
            wait_until(|| TcpStream::connect_timeout(&at, NO_DATA_WAIT).is_err());
            client.write_all(b"b").expect("buffered by the system");
            if reset {
                socket2::SockRef::from(&client).set_linger(Some(Duration::ZERO)).expect("set");
            }
            drop(client);
            assert!(receives_nothing(&peer), "data or a reset passed a cut link");
            proxy.send(ProxyCommand::SetRule(vec![link], Rule::default()));
            let mut rest = Vec::new();
            peer.set_read_timeout(Some(TIMEOUT)).expect("set");
            let end = peer.read_to_end(&mut rest).map(|_| rest).map_err(|error| error.kind());
            let expected = if reset { Err(ErrorKind::ConnectionReset) } else { Ok(b"b".to_vec()) };
            assert_eq!(end, expected, "{cut:?}");
        }
    }
}

// A one-way cut hides the sender's reset from the other side, whose own data still crosses: neither the reset nor
// the failure to deliver that data comes back before the cut ends.
#[test]
fn a_reset_is_not_noticed_across_a_cut_by_a_side_that_goes_on_sending() {
    let (server, proxy, link, at) = proxied_server();
    let (mut client, mut peer) = connect(&server, at);
    client.write_all(b"a").expect("written");
    assert_eq!(read_byte(&peer, TIMEOUT).expect("received"), b'a');
    proxy.send(ProxyCommand::SetRule(vec![link], Rule { cut_back: false, ..Rule::cut() }));
    wait_until(|| TcpStream::connect_timeout(&at, NO_DATA_WAIT).is_err());
    socket2::SockRef::from(&client).set_linger(Some(Duration::ZERO)).expect("set");
    drop(client);
    for _ in 0..2 {
        peer.write_all(b"b").expect("the connection is still open on this side");
        assert!(receives_nothing(&peer), "a reset passed a cut link");
    }
    proxy.send(ProxyCommand::SetRule(vec![link], Rule::default()));
    assert_eq!(read_byte(&peer, TIMEOUT).map_err(|error| error.kind()), Err(ErrorKind::ConnectionReset));
}

/// Sends a part into a cut, gives it up with or without a reset, and sends it to another server. Returns the
/// rules that are violated when the cut ends after the idempotency window.
fn rules_violated_by_a_part_sent_into_a_cut(reset: bool) -> Vec<ViolatedRule> {
    let world = world(1, 1);
    let mut builder = Builder::new(1);
    let (link, at) = builder.tcp(world.tile_address(0)).expect("a free port");
    let proxy = builder.start().expect("starts");
    let mut cut_off = TcpStream::connect(at).expect("listens");
    cut_off.write_all(&encode_frame("p")).expect("written");
    assert_eq!(read_response(&mut cut_off), "pserved");
    proxy.send(ProxyCommand::SetRule(vec![link], Rule::cut()));
    wait_until(|| TcpStream::connect_timeout(&at, NO_DATA_WAIT).is_err());
    cut_off.write_all(&part_frame("b0-1.0", 0, "k")).expect("written");
    if reset {
        socket2::SockRef::from(&cut_off).set_linger(Some(Duration::ZERO)).expect("set");
    } else {
        cut_off.write_all(&encode_frame("cb0-1.0")).expect("written");
    }
    drop(cut_off);
    let mut reachable = TcpStream::connect(world.tile_address(0)).expect("listens");
    reachable.write_all(&part_frame("b0-1.0", 0, "k")).expect("written");
    assert!(read_response(&mut reachable).starts_with("ab0-1.0 served "));
    let executed = Instant::now();
    // The window is 10 ms, and the protocol's slack 50 ms.
    wait_until(|| executed.elapsed() > Duration::from_millis(100));
    proxy.send(ProxyCommand::SetRule(vec![link], Rule::default()));
    // The connection through the proxy has been read to its end once a later one has been answered.
    let mut later = None;
    wait_until(|| {
        later = TcpStream::connect_timeout(&at, TIMEOUT).ok();
        later.is_some()
    });
    let mut later = later.expect("connected");
    later.write_all(&encode_frame("p")).expect("written");
    assert_eq!(read_response(&mut later), "pserved");
    let start = Instant::now();
    while violated_rules(&world).is_empty() && start.elapsed() < NO_DATA_WAIT {
        thread::yield_now();
    }
    violated_rules(&world)
}

// Guards the check for effects done twice: a broker that closes normally, or sends a cancellation behind the
// part, is found, and one that aborts the connection is not.
#[test]
fn a_part_delivered_after_a_cut_is_found_to_be_executed_again() {
    assert_eq!(rules_violated_by_a_part_sent_into_a_cut(false), [ViolatedRule::Doubled]);
    assert_eq!(rules_violated_by_a_part_sent_into_a_cut(true), []);
}

#[test]
fn a_link_that_is_down_resets_and_refuses_until_it_is_up_again_at_its_address() {
    let (server, proxy, link, at) = proxied_server();
    let (client, _peer) = connect(&server, at);
    proxy.send(ProxyCommand::Down(vec![link]));
    assert_eq!(read_byte(&client, TIMEOUT).map_err(|error| error.kind()), Err(ErrorKind::ConnectionReset));
    let refused = TcpStream::connect(at).map(drop).map_err(|error| error.kind());
    assert_eq!(refused, Err(ErrorKind::ConnectionRefused));
    proxy.send(ProxyCommand::Up(vec![link]));
    wait_until(|| TcpStream::connect(at).is_ok());
}

#[test]
fn delay_keeps_the_order_rate_limits_and_reset_ends_the_connection() {
    let (server, proxy, link, at) = proxied_server();
    let rule =
        Rule { delay: Duration::from_millis(40), jitter: Duration::from_millis(20), ..Rule::default() };
    proxy.send(ProxyCommand::SetRule(vec![link], rule));
    let (mut client, mut peer) = connect(&server, at);
    let start = Instant::now();
    for n in 0..50_u8 {
        client.write_all(&[n]).expect("written");
    }
    let mut received = [0; 50];
    peer.read_exact(&mut received).expect("all received");
    assert!(start.elapsed() >= rule.delay, "{:?}", start.elapsed());
    assert!(received.iter().enumerate().all(|(n, byte)| usize::from(*byte) == n), "{received:?}");
    proxy.send(ProxyCommand::SetRule(vec![link], Rule { rate: Some(10_000), ..Rule::default() }));
    let (mut client, mut peer) = connect(&server, at);
    let start = Instant::now();
    let writer = thread::spawn(move || client.write_all(&[7; 3000]).map(|()| client));
    peer.read_exact(&mut [0; 3000]).expect("all received");
    assert!(start.elapsed() >= Duration::from_millis(200), "{:?} for 0.3 s of bytes", start.elapsed());
    drop(writer.join().expect("written"));
    proxy.send(ProxyCommand::SetRule(vec![link], Rule { reset: 1.0, ..Rule::default() }));
    let (mut client, _peer) = connect(&server, at);
    client.write_all(b"a").expect("buffered by the system");
    assert_eq!(read_byte(&client, TIMEOUT).map_err(|error| error.kind()), Err(ErrorKind::ConnectionReset));
}

#[test]
fn datagrams_arrive_from_the_address_that_their_receiver_knows_and_can_be_dropped() {
    let bind = || UdpSocket::bind("127.0.0.1:0").expect("a free port");
    let (one, other) = (bind(), bind());
    let at = |socket: &UdpSocket| socket.local_addr().expect("bound");
    let mut builder = Builder::new(1);
    let [(forward, to), (_, back)] = builder.udp(at(&one), at(&other)).expect("free ports");
    let proxy = builder.start().expect("starts");
    let mut bytes = [0; 16];
    other.set_read_timeout(Some(TIMEOUT)).expect("set");
    one.send_to(b"a", to).expect("sent");
    assert_eq!(other.recv_from(&mut bytes).expect("received"), (1, back));
    proxy.send(ProxyCommand::SetRule(vec![forward], Rule { loss: 1.0, ..Rule::default() }));
    // Datagrams still arrive until the proxy has carried out the command; then none does.
    wait_until(|| {
        one.send_to(b"b", to).expect("sent");
        other.set_read_timeout(Some(NO_DATA_WAIT)).expect("set");
        other.recv_from(&mut [0; 16]).is_err()
    });
    other.send_to(b"c", back).expect("sent");
    one.set_read_timeout(Some(TIMEOUT)).expect("set");
    assert_eq!(one.recv_from(&mut bytes).expect("the reverse link drops nothing"), (1, to));
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
    let server_config = |n: usize| ServerConfig {
        name: format!("t{n}"),
        zone: "z".into(),
        cell: n as u32,
        initially_up: true,
    };
    let config = WorldConfig {
        parameters,
        servers: (0..servers).map(server_config).collect(),
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

fn encode_frame(frame: &str) -> Vec<u8> {
    [&(frame.len() as u32).to_be_bytes()[..], frame.as_bytes()].concat()
}

fn part_frame(id: &str, shard: u32, key: &str) -> Vec<u8> {
    encode_frame(&format!("q{id} {shard} d=100,k={key} 1\nt"))
}

fn read_response(stream: &mut TcpStream) -> String {
    stream.set_read_timeout(Some(TIMEOUT)).expect("set");
    let mut length = [0; 4];
    stream.read_exact(&mut length).expect("received");
    let mut frame = vec![0; u32::from_be_bytes(length) as usize];
    stream.read_exact(&mut frame).expect("received");
    String::from_utf8(frame).expect("text")
}

fn violated_rules(world: &World) -> Vec<ViolatedRule> {
    world.ledger().violations.iter().map(|violation| violation.rule).collect()
}

// Sends the stand-ins what a faulty broker would send: every violation is detected, and correct behaviour is
// not reported.
#[test]
fn stand_ins_detect_a_faulty_brokers_violations() {
    let world = world(2, 1);
    let connect = |server: usize| TcpStream::connect(world.tile_address(server)).expect("listens");
    let mut one = connect(0);
    one.write_all(&part_frame("b0-1.0", 0, "k1")).expect("written");
    assert!(read_response(&mut one).starts_with("ab0-1.0 served "));
    assert_eq!(violated_rules(&world), []);
    // In flight twice: the server ignores the first part, and it is not withdrawn. The world carries out a
    // command before it reads what is written after it.
    world.send(WorldCommand::SetBehaviour(0, Behaviour::Ignore));
    one.write_all(&part_frame("b0-2.0", 0, "k2")).expect("written");
    one.write_all(&encode_frame("p")).expect("written");
    assert_eq!(read_response(&mut one), "pserved", "both frames were read");
    let mut two = connect(0);
    two.write_all(&part_frame("b0-2.0", 0, "k2")).expect("written");
    wait_until(|| violated_rules(&world) == [ViolatedRule::SecondCopy]);
    // Sending the part again is correct once the first was withdrawn.
    world.ledger().violations.clear();
    one.write_all(&part_frame("b0-3.0", 0, "k3")).expect("written");
    one.write_all(&encode_frame("cb0-3.0")).expect("written");
    one.write_all(&part_frame("b0-3.0", 0, "k3")).expect("written");
    one.write_all(&encode_frame("p")).expect("written");
    assert_eq!(read_response(&mut one), "pserved");
    assert_eq!(violated_rules(&world), []);
    // It is also correct once the connection of the first was reset.
    let mut third = connect(0);
    third.write_all(&part_frame("b0-7.0", 0, "k7")).expect("written");
    third.write_all(&encode_frame("p")).expect("written");
    assert_eq!(read_response(&mut third), "pserved", "both frames were read");
    socket2::SockRef::from(&third).set_linger(Some(Duration::ZERO)).expect("set");
    drop(third);
    one.write_all(&part_frame("b0-7.0", 0, "k7")).expect("written");
    one.write_all(&encode_frame("p")).expect("written");
    assert_eq!(read_response(&mut one), "pserved");
    assert_eq!(violated_rules(&world), []);
    // Sent to a server that does not hold the shard.
    one.write_all(&part_frame("b0-4.1", 1, "k4")).expect("written");
    wait_until(|| violated_rules(&world) == [ViolatedRule::Misplaced]);
    // A frame that is started and not completed.
    world.ledger().violations.clear();
    two.write_all(&part_frame("b0-5.0", 0, "k5")[..9]).expect("written");
    drop(two);
    wait_until(|| violated_rules(&world) == [ViolatedRule::CutFrame]);
    // Executed again after the idempotency window, which is 10 ms here, and its slack.
    world.ledger().violations.clear();
    world.send(WorldCommand::SetBehaviour(0, Behaviour::Serve));
    wait_until(|| {
        one.write_all(&part_frame("b0-6.0", 0, "k1")).expect("written");
        read_response(&mut one);
        violated_rules(&world) == [ViolatedRule::Doubled]
    });
}

// A part that is sent to a server after its drain was announced and the grace time is over is reported, and
// so is a cold server that crashes because it gets more work than it can do.
#[test]
fn violations_of_a_drain_and_crashes_of_a_cold_server_are_reported() {
    let world = world(1, 1);
    let mut watch = TcpStream::connect(world.discovery_address(0)).expect("listens");
    watch.write_all(b"GET /discovery/hosts?stream=1&index=0 HTTP/1.1\r\nHost: d\r\n\r\n").expect("written");
    watch.set_read_timeout(Some(TIMEOUT)).expect("set");
    let mut list = String::new();
    let mut read_until = |needle: &str| {
        while !list.contains(needle) {
            let mut bytes = [0; 1024];
            let read = watch.read(&mut bytes).expect("received");
            list.push_str(std::str::from_utf8(&bytes[..read]).expect("text"));
        }
    };
    read_until("\"up\"");
    world.send(WorldCommand::SetListed(0, ListedState::Draining));
    read_until("\"draining\"");
    let announced = Instant::now();
    let mut one = TcpStream::connect(world.tile_address(0)).expect("listens");
    wait_until(|| announced.elapsed() > Duration::from_millis(350));
    one.write_all(&part_frame("b0-1.0", 0, "k1")).expect("written");
    wait_until(|| violated_rules(&world) == [ViolatedRule::Drained]);
    world.ledger().violations.clear();
    world.send(WorldCommand::SetListed(0, ListedState::Up));
    read_until("\"up\"");
    world.send(WorldCommand::StopServer(0));
    world.send(WorldCommand::StartServer(0));
    // Two workers at a little over a fifth of their speed, times 2: the limit is 0.8 s of work per second,
    // 800 parts of 1 ms.
    let mut sent = 0;
    wait_until(|| {
        if let Ok(mut one) = TcpStream::connect(world.tile_address(0)) {
            let parts: Vec<u8> =
                (0..10).flat_map(|n| part_frame(&format!("b1-{}.0", sent + n), 0, "x")).collect();
            // The connection is reset once the server crashes. Parts that it rejected before don't count as
            // work.
            let _ = one.write_all(&parts);
            let mut answers = (0..10).map_while(|_| one.read(&mut [0; 4096]).ok().filter(|read| *read > 0));
            let _ = answers.by_ref().take(1).count();
        }
        sent += 10;
        violated_rules(&world).contains(&ViolatedRule::ColdFell)
    });
    let cold_load = world.ledger().server_counts.values().map(|counts| counts.cold_load).fold(0.0, f64::max);
    assert!(cold_load > 1.0, "{cold_load}");
}

/// What clients observe of a broker that handles each connection with `broker`.
fn observe(broker: impl Fn(TcpStream) + Send + 'static) -> ClientResults {
    observe_with_pooling(false, broker)
}

/// The same, with clients that may reuse connections.
fn observe_with_pooling(pooled: bool, broker: impl Fn(TcpStream) + Send + 'static) -> ClientResults {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
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
    clients.join().expect("all queries have ended")
}

/// Reads a request, responds with `answer` and closes the connection.
fn respond_once(stream: TcpStream, answer: &str) {
    respond_next(&stream, answer);
}

/// Reads the next request of a connection and responds with `answer`. Returns whether it did.
fn respond_next(mut stream: &TcpStream, answer: &str) -> bool {
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
fn clients_detect_missing_and_wrong_answers() {
    let silent = observe(std::mem::forget);
    let offered: u32 = silent.outcomes.values().map(|fates| fates.offered).sum();
    assert!(offered > 0);
    assert!(silent.unanswered.len() as u32 == offered && silent.unanswered.iter().all(|lost| !lost.closed));
    let closing = observe(|mut stream| {
        // Reads the request, then closes the connection.
        let _ = stream.read(&mut [0; 4096]);
    });
    assert!(closing.unanswered.iter().all(|lost| lost.closed) && !closing.unanswered.is_empty());
    for wrong in [
        "{\"full\":true,\"pieces\":[]}",
        "{\"full\":false,\"pieces\":[]}",
        "{\"full\":true,\"pieces\":[{\"tablet\":0,\"cell\":\"invented\"},{\"tablet\":1,\"cell\":\"invented\"}]}",
    ] {
        let seen = observe(move |stream| respond_once(stream, wrong));
        assert_eq!(
            seen.wrong.len() as u32,
            seen.outcomes.values().map(|f| f.offered).sum::<u32>(),
            "{wrong}"
        );
    }
}

// Clients send several requests on a connection, and a request whose connection is closed while it waits
// counts as closed.
#[test]
fn pooling_clients_reuse_connections_and_count_those_closed_during_a_request() {
    let connections = Arc::new(AtomicU32::new(0));
    let counter = connections.clone();
    let kept = observe_with_pooling(true, move |stream| {
        counter.fetch_add(1, Ordering::Relaxed);
        thread::spawn(move || while respond_next(&stream, "{}") {});
    });
    let offered: u32 = kept.outcomes.values().map(|fates| fates.offered).sum();
    assert!(offered > 1 && kept.unanswered.is_empty(), "{offered} queries, {:?}", kept.unanswered);
    let used = connections.load(Ordering::Relaxed);
    assert!(used < offered, "{used} connections for {offered} queries");
    let closing = observe_with_pooling(true, |stream| {
        thread::spawn(move || {
            respond_next(&stream, "{}");
            let _ = (&stream).read(&mut [0; 4096]);
        });
    });
    let closed: u32 = closing.outcomes.values().map(|fates| fates.closed).sum();
    assert!(closed > 0 && closed as usize == closing.unanswered.len(), "{closed} closed");
}
