use std::io::Write;
use std::net::TcpListener;

use super::*;

// Guards the loop's turns: one that sends without a pause is read so much of at a time, and no more than
// a fixed amount is read away after its last answer.
#[test]
fn one_that_sends_without_a_pause_gets_its_turn_alone() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let mut flood = TcpStream::connect(listener.local_addr().expect("bound")).expect("taken");
    let (stream, _) = listener.accept().expect("comes");
    let sender = std::thread::spawn(move || while flood.write_all(&[b'x'; 4096]).is_ok() {});
    let mut client: Client<()> = Client::new(stream, 0, Time(0));
    assert_eq!(client.read(Time(0)), Liveness::Open);
    assert!(client.reader.begun() && client.reader.held() <= 2 * READS * 8 * 1024);
    client.answer(Time(0), Response::text(413, "too long"), false);
    assert_eq!(client.write(Time(0)), Liveness::Open);
    let turns = (0..).take_while(|_| client.read(Time(0)) == Liveness::Open).count();
    assert!(turns >= LINGER / (READS * 8 * 1024) - 1, "{turns}");
    assert!((LINGER..LINGER + 8 * 1024 + 1).contains(&client.lingered), "{}", client.lingered);
    drop(client);
    sender.join().expect("its connection was reset");
}
