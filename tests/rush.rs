//! Clients that reconnect as fast as they are served. This is a test target of its own, as the clients keep
//! the machine busy: no other test runs at the same time.

#[path = "crossings/harness.rs"]
mod harness;
#[path = "program/mod.rs"]
mod program;

use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use crate::harness::Harness;

/// Clients that each connect, request `/up` and reconnect at once, until this is dropped.
struct ReconnectLoad {
    is_stopped: Arc<AtomicBool>,
    clients: Vec<thread::JoinHandle<()>>,
}

impl ReconnectLoad {
    fn new(address: &str, clients: usize) -> Self {
        let is_stopped = Arc::new(AtomicBool::new(false));
        let client = |_| {
            let (is_stopped, address) = (is_stopped.clone(), address.to_owned());
            thread::spawn(move || {
                while !is_stopped.load(Ordering::Relaxed) {
                    // The outcome does not matter; the clients only generate load.
                    let Ok(mut stream) = TcpStream::connect(&address) else { continue };
                    let _ = stream.write_all(b"GET /up HTTP/1.1\r\n\r\n");
                    let _ = stream.read(&mut [0; 1024]);
                    // Closes with a reset, so that the port is not in TIME_WAIT for a minute.
                    let _ = socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO));
                }
            })
        };
        let clients = (0..clients).map(client).collect();
        ReconnectLoad { is_stopped, clients }
    }
}

impl Drop for ReconnectLoad {
    fn drop(&mut self) {
        self.is_stopped.store(true, Ordering::Relaxed);
        self.clients.drain(..).for_each(|client| drop(client.join()));
    }
}

// Regression test: while clients kept connecting, queries open at SIGTERM failed 3.5 s later although their
// servers had answered at once. As it stopped listening, the broker accepted connections in one loop
// iteration until none was waiting, and there was always another one. Answers, timers and the shutdown
// deadline all waited for that iteration (4.6 s with 8 such clients, of whose requests 115,665 were
// answered meanwhile).
#[test]
fn reconnecting_clients_do_not_delay_queries_as_listening_ends() {
    let mut harness = Harness::new("rush", 1);
    harness.start();
    let mut client = harness.client();
    client.send_query("search", "open", 0);
    let mut server = harness.servers[0].accept();
    assert_eq!(server.next_part(), "open.0");
    let _load = ReconnectLoad::new(harness.address(), 16);
    harness.signal("TERM");
    harness.wait_for_log(" clients left");
    server.serve("open.0", "v");
    assert_eq!(client.read_status(), 200);
}
