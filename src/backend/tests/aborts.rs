//! Connections that are aborted, so that the network delivers no part with an effect later.

use super::*;

/// What the server of a connection sees after a part's frame: everything up to an orderly end, or the error
/// that ends the connection.
fn rest_after_part(stream: &mut TcpStream) -> std::io::Result<Vec<u8>> {
    let mut frame = vec![0; 4 + 1 + "q1.0 0 d=5000 1\nt".len()];
    stream.read_exact(&mut frame)?;
    let mut rest = Vec::new();
    stream.read_to_end(&mut rest).map(|_| rest)
}

// A keyed part went out just after the network was cut. It was cancelled, sent to another server and executed
// there; when the cut ended, the network delivered the first attempt, followed by the cancellation or the end
// of the connection, and its server executed it again, after its window. Only an aborted connection makes the
// system discard what has not been received.
#[test]
fn cancelling_a_part_with_an_effect_aborts_its_silent_connection() {
    let silence_limit = |fixture: &Fixture| fixture.aim / SILENCE_LIMIT_AIM_DIVISOR;
    for (retry_safety, silent_first, aborted) in [
        (RetrySafety::Keyed(Duration::from_millis(400)), true, true),
        (RetrySafety::Unsafe, true, true),
        // Cancelled early, before the connection counts as silent.
        (RetrySafety::Keyed(Duration::from_millis(400)), false, true),
        (RetrySafety::Unsafe, false, true),
        (RetrySafety::Safe, true, false),
        (RetrySafety::Safe, false, false),
    ] {
        let mut fixture = fixture();
        fixture.retry_safety = retry_safety;
        let attempt = fixture.send(1);
        let (mut stream, _) = fixture.server.accept().expect("a connection arrives");
        fixture.write_all();
        let written = fixture.net.clock.now();
        let silent = written.after(silence_limit(&fixture));
        let cancelled = if silent_first { silent } else { written };
        fixture.backend.cancel(cancelled, attempt, Verdict::NoAnswer);
        fixture.backend.flush(&mut fixture.net, cancelled);
        let case = format!("{retry_safety:?}, silent before: {silent_first}");
        fixture.backend.flush(&mut fixture.net, cancelled.after(CANCEL_READ_ALLOWANCE / 2));
        assert_eq!(completed_attempts(&fixture), [], "{case}: reported before the server could know");
        fixture.backend.check_liveness(&mut fixture.net, silent);
        assert_eq!(fixture.backend.connection_count(), usize::from(!aborted), "{case}");
        fixture.backend.flush(&mut fixture.net, silent.after(CANCEL_READ_ALLOWANCE * 2));
        assert_eq!(completed_attempts(&fixture), [(PartId(1), Verdict::NoAnswer)], "{case}");
        if aborted {
            let end = rest_after_part(&mut stream).map_err(|error| error.kind());
            assert_eq!(end, Err(std::io::ErrorKind::ConnectionReset), "{case}");
        }
    }
}

// The other parts on an aborted connection may have run, and are reported so once the server can know of the
// abort. What the abort cost is counted.
#[test]
fn other_parts_on_an_aborted_connection_may_have_run_and_are_counted() {
    let mut fixture = fixture();
    fixture.retry_safety = RetrySafety::Unsafe;
    let cancelled = fixture.send(1);
    fixture.send(2);
    let (_stream, _) = fixture.server.accept().expect("a connection arrives");
    fixture.write_all();
    assert_eq!(fixture.backend.connection_count(), 1);
    let now = fixture.net.clock.now();
    fixture.backend.cancel(now, cancelled, Verdict::NoAnswer);
    assert_eq!(fixture.backend.take_aborts(), AbortCounts::default());
    let silent = now.after(fixture.aim / SILENCE_LIMIT_AIM_DIVISOR);
    fixture.backend.check_liveness(&mut fixture.net, silent);
    assert_eq!(fixture.backend.take_aborts(), AbortCounts { connections: 1, lost_parts: 1 });
    assert_eq!(fixture.backend.take_aborts(), AbortCounts::default(), "taken only once");
    fixture.backend.flush(&mut fixture.net, silent.after(CANCEL_READ_ALLOWANCE * 2));
    let mut completed = completed_attempts(&fixture);
    completed.sort_by_key(|(part, _)| *part);
    assert_eq!(completed, [(PartId(1), Verdict::NoAnswer), (PartId(2), Verdict::ConnectionLost)]);
}

// A server that has answered a part written after the cancellation has read the cancellation: its connection
// is kept, however long it is idle afterwards.
#[test]
fn connection_whose_server_read_the_cancellation_is_kept() {
    let mut fixture = fixture();
    fixture.retry_safety = RetrySafety::Unsafe;
    let attempt = fixture.send(1);
    let (mut stream, _) = fixture.server.accept().expect("a connection arrives");
    fixture.write_all();
    let now = fixture.net.clock.now();
    fixture.backend.cancel(now, attempt, Verdict::NoAnswer);
    fixture.backend.flush(&mut fixture.net, now);
    fixture.send(2);
    let now = fixture.net.clock.now();
    fixture.backend.flush(&mut fixture.net, now);
    let answer = b"aq2.0 served 1 -\nv";
    let frame = [&(answer.len() as u32).to_be_bytes()[..], answer].concat();
    stream.write_all(&frame).expect("written");
    assert_eq!(fixture.run(1), [(PartId(2), Verdict::Served)]);
    let later = fixture.net.clock.now().after(fixture.aim);
    fixture.backend.check_liveness(&mut fixture.net, later);
    assert_eq!(fixture.backend.connection_count(), 1);
}

// The kernel goes on delivering what a process wrote before its end: a killed broker's parts were executed
// when a cut ended, after the clients had sent their queries again. Only a connection on which no part can be
// executed any more ends orderly.
#[test]
fn connections_with_parts_in_flight_are_aborted_when_their_owner_ends() {
    for (answered, expected) in [(false, Err(std::io::ErrorKind::ConnectionReset)), (true, Ok(Vec::new()))] {
        let mut fixture = fixture();
        fixture.send(1);
        let (mut stream, _) = fixture.server.accept().expect("a connection arrives");
        fixture.write_all();
        if answered {
            let answer = b"aq1.0 served 1 -\nv";
            stream.write_all(&[&(answer.len() as u32).to_be_bytes()[..], answer].concat()).expect("written");
            assert_eq!(fixture.run(1), [(PartId(1), Verdict::Served)]);
            fixture.backend.close_idle(&fixture.net, SERVER);
        }
        drop(fixture);
        assert_eq!(rest_after_part(&mut stream).map_err(|error| error.kind()), expected);
    }
}
