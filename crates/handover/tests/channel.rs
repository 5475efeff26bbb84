//! Tests the channel over a pair of Unix sockets: messages split at every byte, file descriptors, invalid
//! messages.

use std::io::{IoSlice, Read, Write};
use std::mem::MaybeUninit;
use std::net::{TcpListener, TcpStream};
use std::os::fd::{AsFd, BorrowedFd};
use std::os::unix::net::UnixStream;

use badgergauge_handover::{Channel, ChannelError, Message, Offer, Refusal, SocketRole};
use rustix::net::{SendAncillaryBuffer, SendAncillaryMessage, SendFlags, sendmsg};

/// Size of the length prefix of a message.
const LENGTH_PREFIX_BYTES: usize = 4;
/// One byte more than the maximum length of a message.
const TOO_LONG_BYTES: u32 = 4 * 1024 * 1024 + 1;

/// Returns a non-blocking channel and the other end of its connection.
fn channel() -> (Channel, UnixStream) {
    let (local, remote) = UnixStream::pair().expect("a socket pair");
    local.set_nonblocking(true).expect("set");
    (Channel::new(local).expect("same user"), remote)
}

fn offer() -> Message {
    Message::Offer(Offer {
        roles: vec![SocketRole::Clients],
        clients: 7,
        snapshot: Some("é{}".to_owned()),
        list: None,
    })
}

/// Returns a message as the channel encodes it.
fn encoded(message: &Message) -> Vec<u8> {
    let (mut sender, mut receiver) = channel();
    sender.send(message, &[]).expect("sent");
    drop(sender);
    let mut bytes = Vec::new();
    receiver.read_to_end(&mut bytes).expect("read");
    bytes
}

/// Writes bytes with a socket attached.
fn write_with_socket(stream: &UnixStream, bytes: &[u8], socket: BorrowedFd<'_>) {
    let sockets = [socket];
    let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
    let mut control = SendAncillaryBuffer::new(&mut space);
    assert!(control.push(SendAncillaryMessage::ScmRights(&sockets)));
    let written = sendmsg(stream, &[IoSlice::new(bytes)], &mut control, SendFlags::empty());
    assert_eq!(written.expect("written"), bytes.len());
}

/// Checks that a received listener accepts a connection to the listener that was sent.
fn assert_same_listener(received: TcpListener, sent: &TcpListener) {
    let address = sent.local_addr().expect("bound");
    let mut client = TcpStream::connect(address).expect("connected");
    let (mut accepted, _) = received.accept().expect("a pending connection");
    client.write_all(b"x").expect("written");
    let mut byte = [0];
    accepted.read_exact(&mut byte).expect("read");
    assert_eq!(&byte, b"x");
}

#[test]
fn messages_are_received_as_sent() {
    let refusals =
        [Refusal::Version(2), Refusal::OtherBroker, Refusal::Busy, Refusal::NotServing].map(Message::Refusal);
    let (local, remote) = UnixStream::pair().expect("a socket pair");
    let (mut sender, mut receiver) =
        (Channel::new(local).expect("same user"), Channel::new(remote).expect("same user"));
    for message in refusals.into_iter().chain([offer(), Message::Ready]) {
        sender.send(&message, &[]).expect("sent");
        assert!(!sender.wants_write());
        let received = receiver.receive().expect("received").expect("a complete message");
        assert_eq!(received.message, message);
        assert!(received.sockets.is_empty());
    }
}

#[test]
fn a_message_split_at_any_byte_is_received_with_its_socket() {
    let bytes = encoded(&offer());
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    for cut in 1..bytes.len() {
        let (mut channel, mut remote) = channel();
        write_with_socket(&remote, &bytes[..cut], listener.as_fd());
        assert!(channel.receive().expect("no error").is_none(), "cut at {cut}");
        remote.write_all(&bytes[cut..]).expect("written");
        let received = channel.receive().expect("received").expect("a complete message");
        assert_eq!(received.message, offer(), "cut at {cut}");
        assert_eq!(received.sockets.len(), 1, "cut at {cut}");
    }
}

#[test]
fn a_connection_closed_within_a_message_is_reported_as_closed() {
    let bytes = encoded(&offer());
    for cut in 0..bytes.len() {
        let (mut channel, mut remote) = channel();
        remote.write_all(&bytes[..cut]).expect("written");
        drop(remote);
        let result = channel.receive();
        assert!(matches!(result, Err(ChannelError::Closed)), "cut at {cut}: {result:?}");
    }
}

#[test]
fn messages_received_together_are_separated() {
    let (mut channel, mut remote) = channel();
    let mut bytes = encoded(&offer());
    bytes.extend(encoded(&Message::Ready));
    remote.write_all(&bytes).expect("written");
    assert_eq!(channel.receive().expect("received").expect("a complete message").message, offer());
    assert_eq!(channel.receive().expect("received").expect("a complete message").message, Message::Ready);
    assert!(channel.receive().expect("no error").is_none());
}

#[test]
fn sockets_are_received_in_order_and_usable() {
    let (local, remote) = UnixStream::pair().expect("a socket pair");
    let (mut sender, mut receiver) =
        (Channel::new(local).expect("same user"), Channel::new(remote).expect("same user"));
    let listeners = [(); 3].map(|()| TcpListener::bind("127.0.0.1:0").expect("a free port"));
    let sockets: Vec<BorrowedFd<'_>> = listeners.iter().map(AsFd::as_fd).collect();
    sender.send(&offer(), &sockets).expect("sent");
    let received = receiver.receive().expect("received").expect("a complete message");
    assert_eq!(received.sockets.len(), listeners.len());
    for (socket, sent) in received.sockets.into_iter().zip(&listeners) {
        assert_same_listener(TcpListener::from(socket), sent);
    }
}

#[test]
fn a_received_socket_works_after_the_sender_has_closed_its_own() {
    let (mut channel, remote) = channel();
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    write_with_socket(&remote, &encoded(&offer()), listener.as_fd());
    // The connection stays in the accept queue while the sender closes its sockets.
    let mut client = TcpStream::connect(listener.local_addr().expect("bound")).expect("connected");
    drop((listener, remote));
    let mut received = channel.receive().expect("received").expect("a complete message");
    let listener = TcpListener::from(received.sockets.remove(0));
    let (mut accepted, _) = listener.accept().expect("the pending connection");
    accepted.write_all(b"y").expect("written");
    let mut byte = [0];
    client.read_exact(&mut byte).expect("read");
    assert_eq!(&byte, b"y");
}

#[test]
fn a_message_larger_than_the_socket_buffer_is_sent_in_parts() {
    let (local, remote) = UnixStream::pair().expect("a socket pair");
    local.set_nonblocking(true).expect("set");
    remote.set_nonblocking(true).expect("set");
    let (mut sender, mut receiver) =
        (Channel::new(local).expect("same user"), Channel::new(remote).expect("same user"));
    let snapshot = Some("s".repeat(2 * 1024 * 1024));
    let message = Message::Offer(Offer { roles: Vec::new(), clients: 0, snapshot, list: None });
    sender.send(&message, &[]).expect("partly sent");
    assert!(sender.wants_write(), "the message exceeds the socket buffer");
    let received = loop {
        if let Some(received) = receiver.receive().expect("no error") {
            break received;
        }
        sender.flush().expect("sent");
    };
    assert_eq!(received.message, message);
    assert!(!sender.wants_write());
}

#[test]
fn invalid_messages_are_rejected() {
    let framed = |body: &[u8]| [&u32::try_from(body.len()).expect("short").to_be_bytes(), body].concat();
    let table = [
        TOO_LONG_BYTES.to_be_bytes().to_vec(),
        u32::MAX.to_be_bytes().to_vec(),
        b"GET / HTTP/1.1\r\n\r\n".to_vec(),
        framed(b""),
        framed(b"{"),
        framed(b"\"steady\""),
        framed(b"{\"offer\":{\"clients\":-1}}"),
        framed(&[0xff; 16]),
    ];
    for bytes in table {
        let (mut channel, mut remote) = channel();
        remote.write_all(&bytes).expect("written");
        let result = channel.receive();
        assert!(matches!(result, Err(ChannelError::Malformed(_))), "{bytes:?}: {result:?}");
    }
}

#[test]
fn a_length_prefix_without_a_body_is_incomplete() {
    let (mut channel, mut remote) = channel();
    remote.write_all(&(TOO_LONG_BYTES - 1).to_be_bytes()).expect("written");
    assert!(channel.receive().expect("no error").is_none());
    assert_eq!(encoded(&Message::Ready).len(), LENGTH_PREFIX_BYTES + "\"ready\"".len());
}

#[test]
fn sending_to_a_closed_connection_is_reported_as_closed() {
    let (mut channel, remote) = channel();
    drop(remote);
    let result = channel.send(&Message::Ready, &[]);
    assert!(matches!(result, Err(ChannelError::Closed)), "{result:?}");
}

// Guards against a message that the other process did not send: the first of two states a wrong length.
#[test]
fn messages_of_wrong_length_are_not_received_as_others() {
    let messages = [Message::Spending("1234567890".to_owned()), Message::Ready];
    let [first, second] = messages.each_ref().map(encoded);
    let json = &first[LENGTH_PREFIX_BYTES..];
    for length in (0..first.len() + second.len()).filter(|length| *length != json.len()) {
        let (mut channel, mut remote) = channel();
        let bytes = [&u32::try_from(length).expect("short").to_be_bytes()[..], json, &second].concat();
        remote.write_all(&bytes).expect("written");
        match channel.receive() {
            Ok(None) => assert!(length > json.len(), "{length} bytes: waits for a message that is whole"),
            Ok(Some(received)) => panic!("{length} bytes: {received:?}"),
            Err(error) => assert!(matches!(error, ChannelError::Malformed(_)), "{length} bytes: {error}"),
        }
    }
}
