//! Settings of other sites: random ones within the limits of the protocol, each of which the broker is
//! started with; and unusable ones, each of which must be rejected with its key and the reason.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::{Value, json};

use crate::harness::{Harness, server_entry};

/// Starts a tile server that answers each part at once with the part's own id. Returns its address.
fn start_tile_server() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("bound");
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            thread::spawn(move || answer_parts(stream));
        }
    });
    address
}

fn answer_parts(mut stream: TcpStream) {
    let mut length = [0; 4];
    while stream.read_exact(&mut length).is_ok() {
        let mut frame = vec![0; u32::from_be_bytes(length) as usize];
        if stream.read_exact(&mut frame).is_err() {
            return;
        }
        let frame = String::from_utf8(frame).expect("text");
        let mut answers = match &frame[..1] {
            "q" => Vec::new(),
            "p" | "l" => vec!["pserved".to_owned()],
            _ => continue,
        };
        let mut rest = &frame[1..];
        while let (true, Some((head, tail))) = (answers.is_empty() || rest.len() > 1, rest.split_once('\n')) {
            let fields: Vec<&str> = head.split(' ').collect();
            answers.push(format!("a{} served 1 -\n{}", fields[0], fields[0]));
            rest = &tail[fields[3].parse::<usize>().expect("a length")..];
        }
        for answer in answers {
            let bytes =
                [&u32::try_from(answer.len()).expect("short").to_be_bytes()[..], answer.as_bytes()].concat();
            if stream.write_all(&bytes).is_err() {
                return;
            }
        }
    }
}

/// A random duration between these bounds, log-uniformly distributed, in nanoseconds.
fn random_duration(rng: &mut ChaCha8Rng, min_ms: f64, max_ms: f64) -> u64 {
    (1e6 * (rng.random_range(min_ms.ln()..max_ms.ln())).exp()) as u64
}

fn choose<'a>(rng: &mut ChaCha8Rng, options: &[&'a str]) -> &'a str {
    options[rng.random_range(0..options.len())]
}

/// Random settings for this number of servers.
fn random_settings(rng: &mut ChaCha8Rng, servers: u32) -> Value {
    let names = ["probe-run", "ledger", "a", "Ünsal", "x_1", "long-name-of-a-class"];
    let classes = rng.random_range(1..=4);
    let each = |rng: &mut ChaCha8Rng, min: f64| {
        (0..classes).map(|_| rng.random_range(min..=1.0)).collect::<Vec<f64>>()
    };
    let profiles: Vec<Value> = (0..classes)
        .map(|class| {
            let deadline = random_duration(rng, 1500.0, 600_000.0);
            let mut profile = json!({"name": names[class],
                "aimNs": deadline.min(random_duration(rng, 1000.0, 60_000.0)),
                "deadlineNs": deadline, "credit": rng.random_range(0.0..50.0), "group": "all",
                "effect": choose(rng, &["safe", "keyed", "unsafe"])});
            if rng.random() {
                profile["lateShare"] = json!(rng.random::<f64>());
            }
            if profile["effect"] == "keyed" {
                profile["windowNs"] = json!(random_duration(rng, 1.0, 60_000.0));
            }
            profile
        })
        .collect();
    let need = each(rng, 0.3);
    let mut limits = json!({"cancel": rng.random::<bool>(), "maxAttempts": rng.random_range(1..8),
        "secondCopies": rng.random::<bool>()});
    let mut safety = json!({"coldFrom": rng.random::<f64>(), "coldNs": random_duration(rng, 0.001, 60_000.0),
        "fallMultiple": rng.random_range(0.5..5.0), "overloadForNs": random_duration(rng, 1.0, 10_000.0)});
    let mut optional = |object: &mut Value, key: &str, value: Value| {
        if rng.random() {
            object[key] = value;
        }
    };
    optional(&mut limits, "connIdleNs", json!(300_000_000));
    optional(&mut limits, "connectTimeoutNs", json!(900_000_000));
    optional(&mut limits, "maxOpen", json!(50));
    optional(&mut limits, "maxStreams", json!(1));
    optional(&mut limits, "mayProbe", json!(true));
    optional(&mut limits, "retryAfter", json!(true));
    optional(&mut limits, "maxRetryAfterNs", json!(0));
    optional(&mut limits, "peers", json!(true));
    optional(&mut safety, "drainGraceNs", json!(1_000_000));
    optional(&mut safety, "budgetSpanNs", json!(2_000_000_000));
    let mode = choose(rng, &["pushed", "on_request"]);
    let mut settings = json!({"balancers": rng.random_range(1..400),
        "granularityNs": random_duration(rng, 1.0, 20.0),
        "registryMode": mode, "profiles": profiles,
        "extra": {"batch": rng.random_range(1..10), "callNs": rng.random_range(0..90_000_000),
            "followUp": vec![0; classes], "incompleteWorth": each(rng, 0.0), "needByClass": need,
            "leastShare": need.iter().map(|need| need * rng.random::<f64>()).collect::<Vec<_>>(),
            "sets": servers, "slices": 40, "width": rng.random_range(1..=servers)},
        "limits": limits, "safety": safety});
    let mut optional = |key: &str, value: Value| {
        if rng.random() {
            settings[key] = value;
        }
    };
    optional("zones", json!(["z", "elsewhere"]));
    optional("tenants", json!([{"name": "t", "quotaPerS": 0.5}, {"name": "u", "quotaPerS": 100.0}]));
    optional("overShareWorth", json!(0.0));
    optional("stats", json!({"columns": ["pending"], "how": "probe"}));
    optional("prices", json!({"crossZone": 0.5, "handshake": 0.2, "probe": 1.0, "peer": 0.01}));
    optional("clients", json!({"marksRetry": true}));
    settings
}

// Guards sites whose settings no simulation has covered: the broker must start on each random
// configuration, accept queries of each class and answer each with the values of the tile servers, as at
// least one server of each shard is up and has time.
#[test]
fn the_broker_serves_on_random_valid_settings() {
    for seed in 0..24 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut harness = Harness::new(&format!("random-{seed}"), 0);
        let servers = rng.random_range(1..4);
        let entries =
            (0..servers).map(|cell| server_entry(&format!("s{cell}"), start_tile_server(), cell, "up"));
        harness.config["known"]["endpoints"] = entries.collect();
        let settings = random_settings(&mut rng, servers);
        harness.config["settings"] = settings.clone();
        harness.start();
        let mut client = harness.client();
        for (number, profile) in settings["profiles"].as_array().expect("a list").iter().enumerate() {
            let class = profile["name"].as_str().expect("a name");
            let tenant = if settings["tenants"].is_array() { "X-Tenant-Id: u\r\n" } else { "" };
            let body =
                r#"{"tablets":[{"tablet":0,"fraction":0.5},{"tablet":7,"fraction":0.5}],"statement":"t"}"#;
            client.send(&format!(
                "POST /{class} HTTP/1.1\r\nX-Request-ID: r{number}\r\nX-Timeout: 60000m\r\n\
                 Idempotency-Key: k{number}\r\n\
                 {tenant}Content-Length: {}\r\n\r\n{body}",
                body.len()
            ));
            let (head, body) = client.read_response();
            assert!(head.starts_with("HTTP/1.1 200 "), "seed {seed}, {class}: {head}{body}\n{settings}");
            let values: Value = serde_json::from_str(&body).expect("JSON");
            for piece in values["pieces"].as_array().expect("a list") {
                assert_eq!(piece["cell"], format!("r{number}.{}", piece["tablet"]), "{body}");
            }
        }
        harness.signal("TERM");
        assert_eq!(harness.wait_for_exit(), Some(0), "seed {seed}");
    }
}

// Guards operators against a start on invalid settings, and against an error message that names an internal
// field instead of the key in their configuration.
#[test]
fn invalid_settings_are_rejected_with_key_and_reason() {
    for (pointer, value, message) in [
        ("/settings/balancers", json!(0), "settings.balancers: must be at least 1"),
        ("/settings/balancers", json!(-1), "settings.balancers: "),
        ("/settings/profiles", json!([]), "settings.profiles: must not be empty"),
        ("/settings/profiles/0/aimNs", json!(0), "settings.profiles[].aimNs: must be above zero"),
        ("/settings/profiles/0/deadlineNs", json!(0), "settings.profiles[].deadlineNs: must be above zero"),
        ("/settings/profiles/0/lateShare", json!(1.5), "settings.profiles[].lateShare: must be in 0..=1"),
        ("/settings/profiles/0/credit", json!(-1), "settings.profiles[].credit: must be a finite amount"),
        ("/settings/profiles/0/name", json!(""), "settings.profiles[0].name: is missing"),
        ("/settings/profiles/0/effect", json!("odd"), "settings.profiles[0].effect: unknown value"),
        ("/settings/extra/sets", json!(0), "settings.extra.sets: must be at least 1"),
        ("/settings/extra/slices", json!(0), "settings.extra.slices: must be at least 1"),
        ("/settings/extra/width", json!(9), "settings.extra.width: must be in 1..=cells"),
        ("/settings/extra/batch", json!(0), "settings.extra.batch: must be at least 1"),
        ("/settings/extra/needByClass", json!([2, 1, 1]), "settings.extra.needByClass: must be in 0..=1"),
        (
            "/settings/extra/incompleteWorth",
            json!([1]),
            "settings.extra.incompleteWorth: has no value for class 1",
        ),
        ("/settings/granularityNs", json!(0), "settings.granularityNs: must be above zero"),
        ("/settings/limits/maxAttempts", json!(0), "settings.limits.maxAttempts: must be at least 1"),
        ("/settings/limits/maxStreams", json!(0), "settings.limits.maxStreams: must be above zero"),
        ("/settings/limits/connIdleNs", json!(0), "settings.limits.connIdleNs: must be above zero"),
        ("/settings/safety/coldFrom", json!(3), "settings.safety.coldFrom: must be in 0..=1"),
        ("/settings/safety/fallMultiple", json!(-1), "settings.safety.fallMultiple: must be a finite amount"),
        ("/settings/safety/drainGraceNs", json!(0), "settings.safety.drainGraceNs: must be above zero"),
        ("/settings/safety/budgetSpanNs", json!(0), "settings.safety.budgetSpanNs: must have a window"),
        ("/settings/registryMode", json!("odd"), "settings.registryMode: unknown value"),
        ("/settings/overShareWorth", json!(-1), "settings.overShareWorth: must be a finite amount"),
    ] {
        let mut harness = Harness::new("refused", 2);
        harness.set_config(pointer, value);
        harness.spawn();
        assert_eq!(harness.wait_for_exit(), Some(1), "{pointer}");
        let log = harness.remaining_log();
        assert!(log.iter().any(|line| line.contains(message)), "{message}: {log:?}");
    }
}
