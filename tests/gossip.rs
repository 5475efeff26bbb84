//! Word between brokers, over sockets: what one program says of its attempts, and what it makes of what it hears.

use std::net::UdpSocket;
use std::process::Child;
use std::time::Duration;

use badgergauge::gossip;
use badgergauge::interface::Verdict;
use badgergauge_standin::TileServer;
use serde_json::Value;

mod program;

/// Long after anything that works has happened; no verdict hangs on it.
const HANGS: Duration = Duration::from_secs(20);

struct Program(Child, std::path::PathBuf);

impl Drop for Program {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
        let _ = std::fs::remove_file(&self.1);
    }
}

/// Starts a broker that is number 0 of ten, whose others are the sockets given.
fn start(server: &TileServer, others: &[UdpSocket]) -> (Program, String) {
    let file = std::env::temp_dir().join(format!("badgergauge-word-{}.json", std::process::id()));
    let mut config = program::config(&[server.address().to_string(), server.address().to_string()]);
    let at = |socket: &UdpSocket| Value::from(socket.local_addr().expect("bound").to_string());
    // Its own address is one that the system picks; the others learn it from what they hear.
    config["peer_listen"] = "127.0.0.1:0".into();
    config["peers"] = std::iter::once("127.0.0.1:1".into()).chain(others.iter().map(at)).collect();
    config["settings"]["balancers"] = 10.into();
    config["settings"]["limits"]["peers"] = true.into();
    std::fs::write(&file, config.to_string()).expect("written");
    let (child, address, lines) = program::listening(program::broker(&file));
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
fn a_broker_tells_others_how_its_attempts_ended_and_bears_what_it_hears() {
    let server = TileServer::start().expect("starts");
    let others: Vec<_> = (1..10).map(|_| UdpSocket::bind("127.0.0.1:0").expect("a free port")).collect();
    let (program, address) = start(&server, &others);
    let heard = &others[4];
    heard.set_read_timeout(Some(HANGS)).expect("set");
    let hears = |name: &str| {
        assert!(ask(&address, name).starts_with("HTTP/1.1 200"), "{name}");
        let mut bytes = [0; 512];
        let (length, from) = heard.recv_from(&mut bytes).expect("all nine hear it");
        let seen = gossip::decode(&bytes[..length]);
        assert!(length <= gossip::MAX_DATAGRAM_BYTES, "{length} bytes");
        assert_eq!(seen.iter().map(|s| (s.class, s.verdict)).collect::<Vec<_>>(), [(0, Verdict::Served)]);
        from
    };
    let to = hears("aa");
    // Noise of each kind: from a stranger, spoilt, too long, of unknown servers, and empty.
    let stranger = UdpSocket::bind("127.0.0.1:0").expect("a free port");
    for bytes in [&[][..], &[0xff; 300], &[0xb1; 8], &[0xb1; 255], &[0; 256]] {
        for from in [&stranger, &others[0]] {
            from.send_to(bytes, to).expect("sent");
        }
    }
    assert_eq!(hears("bb"), to);
    drop(program);
}
