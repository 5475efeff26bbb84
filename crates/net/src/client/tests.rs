use std::io::Write;
use std::net::TcpListener;

use super::*;

// Guards against one client starving the event loop: a client that sends without a pause is read only up to
// the limit of a turn, and only a fixed amount is discarded after its last response.
#[test]
fn a_client_that_sends_without_a_pause_is_limited_per_turn() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let mut flood = TcpStream::connect(listener.local_addr().expect("bound")).expect("connected");
    let (stream, _) = listener.accept().expect("accepted");
    let sender = std::thread::spawn(move || while flood.write_all(&[b'x'; 4096]).is_ok() {});
    let mut client: Client<()> = Client::new(stream, 0, Time(0));
    assert_eq!(client.read(Time(0)), ConnectionState::Open);
    assert!(client.reader.has_input() && client.reader.buffer_bytes() <= 2 * MAX_READS_PER_TURN * 8 * 1024);
    client.queue_response(Time(0), Response::text(413, "too long"), false);
    assert_eq!(client.write(Time(0)), ConnectionState::Open);
    let turns = (0..).take_while(|_| client.read(Time(0)) == ConnectionState::Open).count();
    assert!(turns >= MAX_LINGER_BYTES / (MAX_READS_PER_TURN * 8 * 1024) - 1, "{turns}");
    assert!(
        (MAX_LINGER_BYTES..MAX_LINGER_BYTES + 8 * 1024 + 1).contains(&client.lingered_bytes),
        "{}",
        client.lingered_bytes
    );
    drop(client);
    sender.join().expect("its connection was reset");
}
