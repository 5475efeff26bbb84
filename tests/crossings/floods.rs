//! Clients that take much: descriptors, memory, the loop's time. Others are served meanwhile.

use std::time::{Duration, Instant};

use serde_json::json;

use crate::harness::{Client, Harness, request};

// Idle clients hold all descriptors that the process has while discovery is down; the configuration says nothing of a
// limit. The broker reaches discovery once it is back, and a server that it had no connection to.
#[test]
fn idle_clients_that_fill_the_descriptors_keep_it_from_nobody() {
    let mut harness = Harness::new("filled", 2);
    harness.shell_prelude = "ulimit -n 64;";
    harness.config.as_object_mut().expect("an object").remove("limits");
    harness.start();
    let first = harness.discovery.accept_call();
    // Held meanwhile, it finds all of them waiting, and behind them the end of its watch.
    harness.suspend();
    let crowd: Vec<Client> = (0..100).map(|_| harness.client()).collect();
    drop(first);
    let back = Instant::now();
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
    // Clients that say nothing are closed after 2 s: it must not have taken that.
    assert!(back.elapsed() < Duration::from_millis(1500), "{:?}", back.elapsed());
    drop(crowd);
}

// As many clients as there is room for: none of them has to go as long as nobody else waits.
#[test]
fn a_full_house_stays_as_long_as_nobody_waits() {
    let mut harness = Harness::new("full-house", 1);
    harness.set_config("/limits/sockets", json!(64));
    harness.start();
    // Held meanwhile, it takes all of them in one turn.
    harness.suspend();
    let mut all: Vec<Client> = (0..24).map(|_| harness.client()).collect();
    harness.resume();
    for client in &mut all {
        client.send("GET /up HTTP/1.1\r\n\r\n");
        assert_eq!(client.read_status(), 200);
    }
}

// A client that does not get on with its request makes room for one that does, and is told so.
#[test]
fn a_client_that_makes_room_is_told_so() {
    let mut harness = Harness::new("room", 1);
    harness.set_config("/limits/sockets", json!(64));
    harness.start();
    // 64 descriptors less 24 for all else and a quarter for servers.
    let mut slow: Vec<Client> = (0..24).map(|_| harness.client()).collect();
    slow.iter_mut().for_each(|client| client.send("POST /search HTTP/1.1\r\n"));
    // Half a second is what the first has to get on; one that comes earlier waits until then.
    let mut client = harness.client();
    client.send_query("search", "r1", 0);
    let mut server = harness.servers[0].accept();
    assert_eq!(server.next_part(), "r1.0");
    server.serve("r1.0", "v");
    assert_eq!(client.read_status(), 200);
    let told = slow.iter_mut().map(Client::read_status).collect::<Vec<_>>();
    assert!(told.contains(&503) && told.iter().all(|status| [503, 408].contains(status)), "{told:?}");
}

// Heads without end, bodies without end and requests behind each other, from many at once: each is told or closed, and
// one that asks for something is served meanwhile.
#[test]
fn others_are_served_while_some_flood() {
    let mut harness = Harness::new("floods", 1);
    harness.start();
    let floods: Vec<_> =
        ["GET /up HTTP/1.1\r\nA: ", "POST /search HTTP/1.1\r\nContent-Length: 60000\r\n\r\n", ""]
            .iter()
            .flat_map(|begin| (0..4).map(move |_| *begin))
            .map(|begin| {
                let mut client = harness.client();
                std::thread::spawn(move || {
                    use std::io::Write;
                    let _ = client.stream.write_all(begin.as_bytes());
                    let piece = if begin.is_empty() {
                        "GET /up HTTP/1.1\r\n\r\n".repeat(200)
                    } else {
                        "x".repeat(4000)
                    };
                    for _ in 0..2000 {
                        if client.stream.write_all(piece.as_bytes()).is_err() {
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
    floods.into_iter().for_each(|flood| flood.join().expect("it ends with its connection"));
}
