//! The channel over a pair of Unix sockets: messages cut at each byte, sockets, and what is no message.

use std::io::{IoSlice, Read, Write};
use std::mem::MaybeUninit;
use std::net::{TcpListener, TcpStream};
use std::os::fd::{AsFd, BorrowedFd};
use std::os::unix::net::UnixStream;

use badgergauge_handover::{Channel, ChannelError, Message, Offer, Refusal, SocketRole};
use rustix::net::{SendAncillaryBuffer, SendAncillaryMessage, SendFlags, sendmsg};

/// The length of a message's length.
const LENGTH_BYTES: usize = 4;
/// Longer than a message may be, and than the system buffers.
const TOO_LONG: u32 = 4 * 1024 * 1024 + 1;

/// A channel that does not wait, and the other end of its connection.
fn channel() -> (Channel, UnixStream) {
    let (near, far) = UnixStream::pair().expect("a pair");
    near.set_nonblocking(true).expect("set");
    (Channel::new(near).expect("of the same user"), far)
}

fn offer() -> Message {
    Message::Offer(Offer {
        roles: vec![SocketRole::Clients],
        clients: 7,
        snapshot: Some("é{}".to_owned()),
        list: None,
    })
}

/// A message as the channel writes it.
fn encoded(message: &Message) -> Vec<u8> {
    let (mut sender, mut receiver) = channel();
    sender.send(message, &[]).expect("sent");
    drop(sender);
    let mut bytes = Vec::new();
    receiver.read_to_end(&mut bytes).expect("read");
    bytes
}

/// Writes bytes that a socket travels with.
fn write_with_socket(stream: &UnixStream, bytes: &[u8], socket: BorrowedFd<'_>) {
    let sockets = [socket];
    let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
    let mut control = SendAncillaryBuffer::new(&mut space);
    assert!(control.push(SendAncillaryMessage::ScmRights(&sockets)));
    let written = sendmsg(stream, &[IoSlice::new(bytes)], &mut control, SendFlags::empty());
    assert_eq!(written.expect("written"), bytes.len());
}

/// A listener that came through a channel accepts what connects to the one that was sent.
fn accepts_for(received: TcpListener, sent: &TcpListener) {
    let address = sent.local_addr().expect("bound");
    let mut client = TcpStream::connect(address).expect("it listens");
    let (mut accepted, _) = received.accept().expect("a connection waits");
    client.write_all(b"x").expect("written");
    let mut byte = [0];
    accepted.read_exact(&mut byte).expect("read");
    assert_eq!(&byte, b"x");
}

#[test]
fn each_message_comes_as_it_was_sent() {
    let refusals =
        [Refusal::Version(2), Refusal::OtherBroker, Refusal::Busy, Refusal::NotServing].map(Message::Refusal);
    let (near, far) = UnixStream::pair().expect("a pair");
    let (mut sender, mut receiver) = (Channel::new(near).expect("same"), Channel::new(far).expect("same"));
    for message in refusals.into_iter().chain([offer(), Message::Ready]) {
        sender.send(&message, &[]).expect("sent");
        assert!(!sender.wants_write());
        let received = receiver.receive().expect("received").expect("whole");
        assert_eq!(received.message, message);
        assert!(received.sockets.is_empty());
    }
}

#[test]
fn a_message_that_is_cut_at_any_byte_comes_whole_with_its_socket() {
    let bytes = encoded(&offer());
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    for cut in 1..bytes.len() {
        let (mut channel, mut far) = channel();
        write_with_socket(&far, &bytes[..cut], listener.as_fd());
        assert!(channel.receive().expect("nothing wrong").is_none(), "cut at {cut}");
        far.write_all(&bytes[cut..]).expect("written");
        let received = channel.receive().expect("received").expect("whole");
        assert_eq!(received.message, offer(), "cut at {cut}");
        assert_eq!(received.sockets.len(), 1, "cut at {cut}");
    }
}

#[test]
fn an_end_at_any_byte_of_a_message_is_an_end() {
    let bytes = encoded(&offer());
    for cut in 0..bytes.len() {
        let (mut channel, mut far) = channel();
        far.write_all(&bytes[..cut]).expect("written");
        drop(far);
        let result = channel.receive();
        assert!(matches!(result, Err(ChannelError::Closed)), "cut at {cut}: {result:?}");
    }
}

#[test]
fn messages_that_come_together_are_told_apart() {
    let (mut channel, mut far) = channel();
    let mut bytes = encoded(&offer());
    bytes.extend(encoded(&Message::Ready));
    far.write_all(&bytes).expect("written");
    assert_eq!(channel.receive().expect("received").expect("whole").message, offer());
    assert_eq!(channel.receive().expect("received").expect("whole").message, Message::Ready);
    assert!(channel.receive().expect("nothing wrong").is_none());
}

#[test]
fn sockets_come_in_their_order_and_work() {
    let (near, far) = UnixStream::pair().expect("a pair");
    let (mut sender, mut receiver) = (Channel::new(near).expect("same"), Channel::new(far).expect("same"));
    let listeners = [(); 3].map(|()| TcpListener::bind("127.0.0.1:0").expect("a free port"));
    let sockets: Vec<BorrowedFd<'_>> = listeners.iter().map(AsFd::as_fd).collect();
    sender.send(&offer(), &sockets).expect("sent");
    let received = receiver.receive().expect("received").expect("whole");
    assert_eq!(received.sockets.len(), listeners.len());
    for (socket, sent) in received.sockets.into_iter().zip(&listeners) {
        accepts_for(TcpListener::from(socket), sent);
    }
}

#[test]
fn a_socket_goes_on_after_the_process_that_sent_it_has_closed_it() {
    let (mut channel, far) = channel();
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    write_with_socket(&far, &encoded(&offer()), listener.as_fd());
    // It waits in the queue of connections while the sender closes all it has.
    let mut waits = TcpStream::connect(listener.local_addr().expect("bound")).expect("it listens");
    drop((listener, far));
    let mut received = channel.receive().expect("received").expect("whole");
    let listener = TcpListener::from(received.sockets.remove(0));
    let (mut accepted, _) = listener.accept().expect("the connection waits");
    accepted.write_all(b"y").expect("written");
    let mut byte = [0];
    waits.read_exact(&mut byte).expect("read");
    assert_eq!(&byte, b"y");
}

#[test]
fn a_message_longer_than_the_connection_buffers_is_sent_in_turns() {
    let (near, far) = UnixStream::pair().expect("a pair");
    near.set_nonblocking(true).expect("set");
    far.set_nonblocking(true).expect("set");
    let (mut sender, mut receiver) = (Channel::new(near).expect("same"), Channel::new(far).expect("same"));
    let snapshot = Some("s".repeat(2 * 1024 * 1024));
    let message = Message::Offer(Offer { roles: Vec::new(), clients: 0, snapshot, list: None });
    sender.send(&message, &[]).expect("sent in part");
    assert!(sender.wants_write(), "it is longer than what the system buffers");
    let received = loop {
        if let Some(received) = receiver.receive().expect("nothing wrong") {
            break received;
        }
        sender.flush().expect("sent on");
    };
    assert_eq!(received.message, message);
    assert!(!sender.wants_write());
}

#[test]
fn what_is_no_message_is_an_error() {
    let framed = |body: &[u8]| [&u32::try_from(body.len()).expect("short").to_be_bytes(), body].concat();
    let table = [
        TOO_LONG.to_be_bytes().to_vec(),
        u32::MAX.to_be_bytes().to_vec(),
        b"GET / HTTP/1.1\r\n\r\n".to_vec(),
        framed(b""),
        framed(b"{"),
        framed(b"\"steady\""),
        framed(b"{\"offer\":{\"clients\":-1}}"),
        framed(&[0xff; 16]),
    ];
    for bytes in table {
        let (mut channel, mut far) = channel();
        far.write_all(&bytes).expect("written");
        let result = channel.receive();
        assert!(matches!(result, Err(ChannelError::Malformed(_))), "{bytes:?}: {result:?}");
    }
}

#[test]
fn a_length_alone_brings_nothing() {
    let (mut channel, mut far) = channel();
    far.write_all(&(TOO_LONG - 1).to_be_bytes()).expect("written");
    assert!(channel.receive().expect("nothing wrong").is_none());
    assert_eq!(encoded(&Message::Ready).len(), LENGTH_BYTES + "\"ready\"".len());
}

#[test]
fn sending_to_a_process_that_has_ended_is_an_end() {
    let (mut channel, far) = channel();
    drop(far);
    let result = channel.send(&Message::Ready, &[]);
    assert!(matches!(result, Err(ChannelError::Closed)), "{result:?}");
}
