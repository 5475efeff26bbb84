//! Clients that use many descriptors, much memory or much of the event loop's time. Others must still be
//! served.

use std::time::{Duration, Instant};

use serde_json::json;

use crate::harness::{Client, Harness, request};

// Idle clients occupy all of the process's descriptors while discovery is down, and the configuration sets
// no limit. Once discovery is back, the broker must still reach it, and a server that it has no connection
// to.
#[test]
fn idle_clients_that_use_all_descriptors_block_nothing_else() {
    let mut harness = Harness::new("filled", 2);
    harness.shell_prelude = "ulimit -n 64;";
    harness.config.as_object_mut().expect("an object").remove("limits");
    harness.start();
    let first = harness.discovery.accept_call();
    // Suspended meanwhile, the broker finds all of them waiting, followed by the end of its watch.
    harness.suspend();
    let idle: Vec<Client> = (0..100).map(|_| harness.client()).collect();
    drop(first);
    let resumed = Instant::now();
    harness.resume();
    let mut call = harness.discovery.accept_call();
    call.start_watch();
    call.send_list(&harness.server_list(2, 1, "draining"));
    harness.wait_for_log("version 2, 1 up, 1 draining");
    let mut client = harness.client();
    client.send_query("search", "r1", 0);
    let mut server = harness.servers[0].accept();
    assert_eq!(server.next_part(), "r1.0");
    server.serve("r1.0", "v");
    assert_eq!(client.read_status(), 200);
    // Silent clients are closed after 2 s; the broker must not depend on that.
    assert!(resumed.elapsed() < Duration::from_millis(1500), "{:?}", resumed.elapsed());
    drop(idle);
}

// As many clients as the limit allows: none of them is closed while no other client waits.
#[test]
fn no_client_is_evicted_while_none_waits() {
    let mut harness = Harness::new("no-eviction", 1);
    harness.set_config("/limits/sockets", json!(64));
    harness.start();
    // Suspended meanwhile, the broker accepts all of them in one loop iteration.
    harness.suspend();
    let mut all: Vec<Client> = (0..24).map(|_| harness.client()).collect();
    harness.resume();
    for client in &mut all {
        client.send("GET /up HTTP/1.1\r\n\r\n");
        assert_eq!(client.read_status(), 200);
    }
}

// A client whose request makes no progress is closed in favour of one that waits, and gets a response
// first.
#[test]
fn an_evicted_client_gets_a_response() {
    let mut harness = Harness::new("eviction", 1);
    harness.set_config("/limits/sockets", json!(64));
    harness.start();
    // The limit on clients: 64 descriptors minus 24 for everything else and a quarter for servers.
    let mut slow: Vec<Client> = (0..24).map(|_| harness.client()).collect();
    slow.iter_mut().for_each(|client| client.send("POST /search HTTP/1.1\r\n"));
    // A request may take 0.5 s before its client can be evicted; a client that connects earlier waits until
    // then.
    let mut client = harness.client();
    client.send_query("search", "r1", 0);
    let mut server = harness.servers[0].accept();
    assert_eq!(server.next_part(), "r1.0");
    server.serve("r1.0", "v");
    assert_eq!(client.read_status(), 200);
    let statuses = slow.iter_mut().map(Client::read_status).collect::<Vec<_>>();
    assert!(
        statuses.contains(&503) && statuses.iter().all(|status| [503, 408].contains(status)),
        "{statuses:?}"
    );
}

// Many clients send endless heads, endless bodies and pipelined requests. Each gets an error or is closed,
// and another client is served meanwhile.
#[test]
fn clients_are_served_while_others_flood() {
    let mut harness = Harness::new("floods", 1);
    harness.start();
    let floods: Vec<_> =
        ["GET /up HTTP/1.1\r\nA: ", "POST /search HTTP/1.1\r\nContent-Length: 60000\r\n\r\n", ""]
            .iter()
            .flat_map(|prefix| (0..4).map(move |_| *prefix))
            .map(|prefix| {
                let mut client = harness.client();
                std::thread::spawn(move || {
                    use std::io::Write;
                    let _ = client.stream.write_all(prefix.as_bytes());
                    let chunk = if prefix.is_empty() {
                        "GET /up HTTP/1.1\r\n\r\n".repeat(200)
                    } else {
                        "x".repeat(4000)
                    };
                    for _ in 0..2000 {
                        if client.stream.write_all(chunk.as_bytes()).is_err() {
                            return;
                        }
                    }
                })
            })
            .collect();
    let mut client = harness.client();
    client.send(&request("search", "r1", &[0], 50_000));
    let mut server = harness.servers[0].accept();
    let part = server.next_part();
    server.serve(&part, "v");
    assert_eq!(client.read_status(), 200);
    drop(harness);
    floods.into_iter().for_each(|flood| flood.join().expect("ends when its connection is closed"));
}
