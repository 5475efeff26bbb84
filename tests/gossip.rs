//! Gossip over sockets: the datagrams that a broker process sends about its attempts, and those it receives.

use std::net::UdpSocket;
use std::process::Child;
use std::time::Duration;

use badgergauge::gossip;
use badgergauge::interface::Verdict;
use badgergauge_standin::TileServer;
use serde_json::Value;

mod program;

/// Timeout after which an expected datagram counts as lost.
const RECEIVE_TIMEOUT: Duration = Duration::from_secs(20);

/// A broker process and its configuration file, both removed on drop.
struct Program(Child, std::path::PathBuf);

impl Drop for Program {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
        let _ = std::fs::remove_file(&self.1);
    }
}

/// Starts the broker with index 0 of ten, with the given sockets as its peers.
fn start(server: &TileServer, peers: &[UdpSocket]) -> (Program, String) {
    let file = std::env::temp_dir().join(format!("badgergauge-gossip-{}.json", std::process::id()));
    let mut config = program::config(&[server.address().to_string(), server.address().to_string()]);
    let address_of = |socket: &UdpSocket| Value::from(socket.local_addr().expect("bound").to_string());
    // The operating system picks its port, which the peers learn from the datagrams that they receive.
    config["peer_listen"] = "127.0.0.1:0".into();
    config["peers"] = std::iter::once("127.0.0.1:1".into()).chain(peers.iter().map(address_of)).collect();
    config["settings"]["balancers"] = 10.into();
    config["settings"]["limits"]["peers"] = true.into();
    std::fs::write(&file, config.to_string()).expect("written");
    let (child, address, lines) = program::start_broker(program::broker_command(&file));
    std::thread::spawn(move || lines.for_each(drop));
    (Program(child, file), address)
}

fn ask(address: &str, name: &str) -> String {
    let body = r#"{"tablets":[{"tablet":0,"fraction":1.0}],"statement":"t"}"#;
    let request = format!(
        "POST /search HTTP/1.1\r\nHost: h\r\nX-Request-ID: {name}\r\nX-Timeout: 9000m\r\n\
         Connection: close\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    program::exchange(address, &request)
}

#[test]
fn a_broker_sends_its_outcomes_to_peers_and_survives_malformed_datagrams() {
    let server = TileServer::start().expect("starts");
    let peers: Vec<_> = (1..10).map(|_| UdpSocket::bind("127.0.0.1:0").expect("a free port")).collect();
    let (program, address) = start(&server, &peers);
    let receiver = &peers[4];
    receiver.set_read_timeout(Some(RECEIVE_TIMEOUT)).expect("set");
    let receive_after_query = |name: &str| {
        assert!(ask(&address, name).starts_with("HTTP/1.1 200"), "{name}");
        let mut bytes = [0; 512];
        let (length, from) = receiver.recv_from(&mut bytes).expect("sent to all nine peers");
        let observations = gossip::decode(&bytes[..length]);
        assert!(length <= gossip::MAX_DATAGRAM_BYTES, "{length} bytes");
        let seen: Vec<_> = observations.iter().map(|o| (o.class, o.verdict)).collect();
        assert_eq!(seen, [(0, Verdict::Served)]);
        from
    };
    let to = receive_after_query("aa");
    // Datagrams that are empty, of another format, too long, truncated or about unknown servers, from an unknown
    // sender and from a peer.
    let unknown_sender = UdpSocket::bind("127.0.0.1:0").expect("a free port");
    for bytes in [&[][..], &[0xff; 300], &[0xb1; 8], &[0xb1; 255], &[0; 256]] {
        for from in [&unknown_sender, &peers[0]] {
            from.send_to(bytes, to).expect("sent");
        }
    }
    assert_eq!(receive_after_query("bb"), to);
    drop(program);
}
