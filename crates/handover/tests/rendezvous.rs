//! Tests the hand-over socket's path and the split of the client limit.

use std::fs;
use std::net::SocketAddr;
use std::os::unix::fs::PermissionsExt;
use std::os::unix::net::UnixListener;
use std::path::{Path, PathBuf};

use badgergauge_handover::{
    ChannelError, ClientLimits, Message, Rendezvous, RendezvousError, joint_client_limits,
};

/// Length of a directory name that exceeds the maximum length of a Unix socket path.
const LONG_NAME_BYTES: usize = 120;

/// A temporary directory of one test, removed afterwards.
struct TempDir(PathBuf);

impl TempDir {
    fn new(name: &str) -> Self {
        let path = std::env::temp_dir().join(format!("badgergauge-rendezvous-{}-{name}", std::process::id()));
        fs::create_dir_all(&path).expect("created");
        TempDir(path)
    }
}

impl Drop for TempDir {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

fn listen_address() -> SocketAddr {
    "127.0.0.1:8080".parse().expect("an address")
}

fn rendezvous(directory: &Path) -> Rendezvous {
    Rendezvous::new(directory, "broker-1", listen_address())
}

#[test]
fn a_successor_connects_and_only_the_owner_may() {
    let directory = TempDir::new("meet");
    let listener = rendezvous(&directory.0).listen().expect("listens");
    let mode = fs::metadata(rendezvous(&directory.0).path()).expect("exists").permissions().mode();
    assert_eq!(mode & 0o777, 0o600);
    let mut channel = rendezvous(&directory.0).connect().expect("no error").expect("a listener");
    channel.send(&Message::Ready, &[]).expect("sent");
    let (stream, _) = listener.accept().expect("a pending connection");
    let mut accepted = badgergauge_handover::Channel::new(stream).expect("same user");
    assert_eq!(accepted.receive().expect("received").expect("a complete message").message, Message::Ready);
}

#[test]
fn each_broker_has_its_own_path() {
    let directory = Path::new("/run");
    let path = |name: &str, listen: &str| {
        let listen = listen.parse().expect("an address");
        Rendezvous::new(directory, name, listen).path().to_owned()
    };
    let first = path("broker-1", "127.0.0.1:8080");
    assert_eq!(first, path("broker-1", "127.0.0.1:8080"));
    assert_ne!(first, path("broker-2", "127.0.0.1:8080"));
    assert_ne!(first, path("broker-1", "127.0.0.1:8081"));
    assert_ne!(first, path("broker-1", "127.0.0.2:8080"));
}

#[test]
fn any_broker_name_gives_a_short_path() {
    for name in ["", "a/../b", &"n".repeat(1000)] {
        let path = Rendezvous::new(Path::new("/run"), name, listen_address()).path().to_owned();
        assert_eq!(path.parent(), Some(Path::new("/run")));
        assert!(path.as_os_str().len() < 40, "{}", path.display());
    }
}

#[test]
fn a_stale_socket_is_not_connected_to_and_is_replaced() {
    let directory = TempDir::new("stale");
    let rendezvous = rendezvous(&directory.0);
    drop(UnixListener::bind(rendezvous.path()).expect("bound"));
    assert!(rendezvous.path().exists(), "the socket file remains");
    assert!(rendezvous.connect().expect("no error").is_none());
    let _listener = rendezvous.listen().expect("replaced");
    assert!(rendezvous.connect().expect("no error").is_some());
}

#[test]
fn another_kind_of_file_is_an_error_and_is_not_touched() {
    let directory = TempDir::new("foreign");
    let rendezvous = rendezvous(&directory.0);
    fs::write(rendezvous.path(), "content").expect("written");
    assert!(rendezvous.connect().expect("no error").is_none());
    let result = rendezvous.listen();
    assert!(
        matches!(&result, Err(RendezvousError::NotASocket(path)) if path == rendezvous.path()),
        "{result:?}"
    );
    assert_eq!(fs::read_to_string(rendezvous.path()).expect("exists"), "content");
}

#[test]
fn a_missing_directory_has_no_predecessor_and_is_an_error_to_listen_in() {
    let directory = TempDir::new("missing");
    let rendezvous = rendezvous(&directory.0.join("missing"));
    assert!(rendezvous.connect().expect("no error").is_none());
    let result = rendezvous.listen();
    assert!(matches!(result, Err(RendezvousError::Io { .. })), "{result:?}");
}

#[test]
fn a_path_that_is_too_long_is_an_error_to_connect_and_to_listen() {
    let directory = TempDir::new("long");
    let long = directory.0.join("l".repeat(LONG_NAME_BYTES));
    fs::create_dir(&long).expect("created");
    let rendezvous = rendezvous(&long);
    let connected = rendezvous.connect();
    assert!(matches!(connected, Err(ChannelError::Io(_))), "{connected:?}");
    let result = rendezvous.listen();
    assert!(matches!(result, Err(RendezvousError::Io { .. })), "{result:?}");
}

#[test]
fn both_processes_together_stay_within_the_limit() {
    let limits = |predecessor, successor| ClientLimits { predecessor, successor };
    let table = [
        // ((descriptors, fixed descriptors of each process, clients of the predecessor), expected limits)
        ((1000, 100, 0), limits(400, 400)),
        ((1000, 100, 399), limits(400, 400)),
        ((1000, 100, 500), limits(500, 300)),
        // The successor gets its minimum even if the predecessor holds more clients, or there are fewer
        // descriptors.
        ((1000, 100, 800), limits(800, 16)),
        ((1000, 100, 2000), limits(2000, 16)),
        ((100, 100, 0), limits(0, 16)),
    ];
    for ((descriptors, fixed, clients), expected) in table {
        assert_eq!(
            joint_client_limits(descriptors, fixed, clients),
            expected,
            "{descriptors} {fixed} {clients}"
        );
    }
}

#[test]
fn listen_if_free_leaves_the_path_to_a_process_that_listens() {
    let directory = TempDir::new("in-use");
    let rendezvous = rendezvous(&directory.0);
    let listener = rendezvous.listen_if_free().expect("the path is free");
    let result = rendezvous.listen_if_free();
    assert!(matches!(&result, Err(RendezvousError::InUse(path)) if path == rendezvous.path()), "{result:?}");
    drop(listener);
    let _listener = rendezvous.listen_if_free().expect("the socket is stale");
}
