//! Clients that come as fast as they are served. A target of its own, as they keep the machine busy: no other test runs
//! beside it.

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

/// Clients that each open a connection, ask whether the broker is up and come again at once, until they are dropped.
struct Rush {
    is_over: Arc<AtomicBool>,
    clients: Vec<thread::JoinHandle<()>>,
}

impl Rush {
    fn new(address: &str, clients: usize) -> Self {
        let is_over = Arc::new(AtomicBool::new(false));
        let client = |_| {
            let (is_over, address) = (is_over.clone(), address.to_owned());
            thread::spawn(move || {
                while !is_over.load(Ordering::Relaxed) {
                    // What becomes of each is of no interest: they come, that is all.
                    let Ok(mut stream) = TcpStream::connect(&address) else { continue };
                    let _ = stream.write_all(b"GET /up HTTP/1.1\r\n\r\n");
                    let _ = stream.read(&mut [0; 1024]);
                    // By a reset, so that no port stays taken for a minute.
                    let _ = socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO));
                }
            })
        };
        let clients = (0..clients).map(client).collect();
        Rush { is_over, clients }
    }
}

impl Drop for Rush {
    fn drop(&mut self) {
        self.is_over.store(true, Ordering::Relaxed);
        self.clients.drain(..).for_each(|client| drop(client.join()));
    }
}

// What was seen: queries that were open at SIGTERM failed 3.5 s later, though their servers had answered at once, where
// clients went on coming as fast as they were taken. Why: at the end of listening the broker took connections until none
// waited, in one turn of its loop, and there was always one more; answers of servers, timers and the end of the process's
// time all waited for that turn to end (4.6 s with 8 such clients: 115,665 of their requests were answered meanwhile).
#[test]
fn clients_that_go_on_coming_hold_nobody_up_at_the_end_of_listening() {
    let mut harness = Harness::new("rush", 1);
    harness.start();
    let mut client = harness.client();
    client.send_query("search", "open", 0);
    let mut server = harness.servers[0].accept();
    assert_eq!(server.next_part(), "open.0");
    let _rush = Rush::new(harness.address(), 16);
    harness.signal("TERM");
    harness.wait_for_log(" clients left");
    server.serve("open.0", "v");
    assert_eq!(client.read_status(), 200);
}
