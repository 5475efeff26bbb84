//! The path where the two processes meet, and the limits that they share.

use std::fs;
use std::net::SocketAddr;
use std::os::unix::fs::PermissionsExt;
use std::os::unix::net::UnixListener;
use std::path::{Path, PathBuf};

use badgergauge_handover::{
    ChannelError, ClientLimits, Message, Rendezvous, RendezvousError, joint_client_limits,
};

/// Longer than the path of a Unix socket may be.
const LONG_NAME: usize = 120;

/// A folder of a test's own.
struct Folder(PathBuf);

impl Folder {
    fn new(name: &str) -> Self {
        let path = std::env::temp_dir().join(format!("badgergauge-rendezvous-{}-{name}", std::process::id()));
        fs::create_dir_all(&path).expect("a folder");
        Folder(path)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

fn listen_address() -> SocketAddr {
    "127.0.0.1:8080".parse().expect("an address")
}

fn rendezvous(folder: &Path) -> Rendezvous {
    Rendezvous::new(folder, "broker-1", listen_address())
}

#[test]
fn the_two_meet_and_nobody_else_may() {
    let folder = Folder::new("meet");
    let listener = rendezvous(&folder.0).listen().expect("listens");
    let mode = fs::metadata(rendezvous(&folder.0).path()).expect("there").permissions().mode();
    assert_eq!(mode & 0o777, 0o600);
    let mut channel = rendezvous(&folder.0).connect().expect("nothing wrong").expect("it listens");
    channel.send(&Message::Ready, &[]).expect("sent");
    let (stream, _) = listener.accept().expect("one waits");
    let mut accepted = badgergauge_handover::Channel::new(stream).expect("of the same user");
    assert_eq!(accepted.receive().expect("received").expect("whole").message, Message::Ready);
}

#[test]
fn each_broker_has_a_path_of_its_own() {
    let folder = Path::new("/run");
    let path = |name: &str, listen: &str| {
        let listen = listen.parse().expect("an address");
        Rendezvous::new(folder, name, listen).path().to_owned()
    };
    let first = path("broker-1", "127.0.0.1:8080");
    assert_eq!(first, path("broker-1", "127.0.0.1:8080"));
    assert_ne!(first, path("broker-2", "127.0.0.1:8080"));
    assert_ne!(first, path("broker-1", "127.0.0.1:8081"));
    assert_ne!(first, path("broker-1", "127.0.0.2:8080"));
}

#[test]
fn a_name_of_any_length_and_kind_is_a_short_path() {
    for name in ["", "a/../b", &"n".repeat(1000)] {
        let path = Rendezvous::new(Path::new("/run"), name, listen_address()).path().to_owned();
        assert_eq!(path.parent(), Some(Path::new("/run")));
        assert!(path.as_os_str().len() < 40, "{}", path.display());
    }
}

#[test]
fn a_stale_socket_is_nobody_and_is_replaced() {
    let folder = Folder::new("stale");
    let rendezvous = rendezvous(&folder.0);
    drop(UnixListener::bind(rendezvous.path()).expect("bound"));
    assert!(rendezvous.path().exists(), "the file stays");
    assert!(rendezvous.connect().expect("nothing wrong").is_none());
    let _listener = rendezvous.listen().expect("replaced");
    assert!(rendezvous.connect().expect("nothing wrong").is_some());
}

#[test]
fn a_foreign_file_is_an_error_and_is_left_alone() {
    let folder = Folder::new("foreign");
    let rendezvous = rendezvous(&folder.0);
    fs::write(rendezvous.path(), "mine").expect("written");
    assert!(rendezvous.connect().expect("nothing wrong").is_none());
    let result = rendezvous.listen();
    assert!(
        matches!(&result, Err(RendezvousError::NotASocket(path)) if path == rendezvous.path()),
        "{result:?}"
    );
    assert_eq!(fs::read_to_string(rendezvous.path()).expect("there"), "mine");
}

#[test]
fn a_missing_folder_is_nobody_and_an_error_to_listen_in() {
    let folder = Folder::new("missing");
    let rendezvous = rendezvous(&folder.0.join("missing"));
    assert!(rendezvous.connect().expect("nothing wrong").is_none());
    let result = rendezvous.listen();
    assert!(matches!(result, Err(RendezvousError::Io { .. })), "{result:?}");
}

#[test]
fn a_path_that_is_too_long_is_an_error_on_both_sides() {
    let folder = Folder::new("long");
    let long = folder.0.join("l".repeat(LONG_NAME));
    fs::create_dir(&long).expect("a folder");
    let rendezvous = rendezvous(&long);
    let connected = rendezvous.connect();
    assert!(matches!(connected, Err(ChannelError::Io(_))), "{connected:?}");
    let result = rendezvous.listen();
    assert!(matches!(result, Err(RendezvousError::Io { .. })), "{result:?}");
}

#[test]
fn both_together_stay_within_the_limit() {
    let limits = |predecessor, successor| ClientLimits { predecessor, successor };
    let table = [
        // Descriptors, those that each needs, clients of the predecessor.
        ((1000, 100, 0), limits(400, 400)),
        ((1000, 100, 399), limits(400, 400)),
        ((1000, 100, 500), limits(500, 300)),
        // The successor has to serve, however many clients the predecessor holds or however few descriptors there are.
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
fn one_that_was_refused_leaves_the_path_to_a_process_that_listens() {
    let folder = Folder::new("in-use");
    let rendezvous = rendezvous(&folder.0);
    let listener = rendezvous.listen_if_free().expect("nothing is there");
    let result = rendezvous.listen_if_free();
    assert!(matches!(&result, Err(RendezvousError::InUse(path)) if path == rendezvous.path()), "{result:?}");
    drop(listener);
    let _listener = rendezvous.listen_if_free().expect("its process has left it");
}
