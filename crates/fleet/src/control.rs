//! Calls to a broker over HTTP/1.1, one a connection: whether it takes clients, and its control endpoint.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// A call that takes longer has failed.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);
/// Bytes of a status line up to the status's end: `HTTP/1.1 200`.
const STATUS_END: usize = 12;
/// Where the status begins in them.
const STATUS_BEGIN: usize = 9;

/// Makes a call and gives its status.
///
/// # Errors
///
/// When there is no connection, or no status within the time.
pub fn call(at: SocketAddr, method: &str, path: &str) -> io::Result<u16> {
    let mut stream = TcpStream::connect_timeout(&at, CALL_TIMEOUT)?;
    stream.set_read_timeout(Some(CALL_TIMEOUT))?;
    let request =
        format!("{method} {path} HTTP/1.1\r\nHost: {at}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n");
    stream.write_all(request.as_bytes())?;
    let mut line = [0; STATUS_END];
    stream.read_exact(&mut line)?;
    let status = std::str::from_utf8(&line[STATUS_BEGIN..]).ok().and_then(|status| status.parse().ok());
    status.ok_or_else(|| io::Error::new(io::ErrorKind::InvalidData, "no status"))
}

fn succeeds(at: SocketAddr, method: &str, path: &str) -> bool {
    call(at, method, path).is_ok_and(|status| (200..300).contains(&status))
}

/// Whether a broker says on its client port that it takes clients.
pub fn is_up(at: SocketAddr) -> bool {
    succeeds(at, "GET", "/up")
}

/// Whether a process says on its control endpoint that it takes clients.
pub fn is_ready(control: SocketAddr) -> bool {
    succeeds(control, "GET", "/ops/readiness")
}

/// Starts a drain; gives whether the broker says that it did.
pub fn start_drain(control: SocketAddr) -> bool {
    succeeds(control, "PUT", "/ops/drain/start")
}

/// Stops a drain; gives whether the broker says that it did.
pub fn stop_drain(control: SocketAddr) -> bool {
    succeeds(control, "PUT", "/ops/drain/stop")
}
