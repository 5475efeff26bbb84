//! HTTP/1.1 calls to a broker, one per connection: its readiness on the client port, and its control
//! endpoint.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// Limit for the connect and for each read.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);
/// Length in bytes of a status line up to the end of the status code: `HTTP/1.1 200`.
const STATUS_END: usize = 12;
/// Offset of the status code in the status line.
const STATUS_START: usize = 9;

/// Makes a call and returns its HTTP status.
///
/// # Errors
///
/// When the connection fails, or no valid status line arrives within 1 s.
pub fn call(at: SocketAddr, method: &str, path: &str) -> io::Result<u16> {
    let mut stream = TcpStream::connect_timeout(&at, CALL_TIMEOUT)?;
    stream.set_read_timeout(Some(CALL_TIMEOUT))?;
    let request =
        format!("{method} {path} HTTP/1.1\r\nHost: {at}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n");
    stream.write_all(request.as_bytes())?;
    let mut line = [0; STATUS_END];
    stream.read_exact(&mut line)?;
    let status = std::str::from_utf8(&line[STATUS_START..]).ok().and_then(|status| status.parse().ok());
    status.ok_or_else(|| io::Error::new(io::ErrorKind::InvalidData, "invalid HTTP status line"))
}

fn succeeds(at: SocketAddr, method: &str, path: &str) -> bool {
    call(at, method, path).is_ok_and(|status| (200..300).contains(&status))
}

/// Whether a broker reports on its client port that it accepts clients.
pub fn is_up(at: SocketAddr) -> bool {
    succeeds(at, "GET", "/up")
}

/// Whether a process reports on its control endpoint that it accepts clients.
pub fn is_ready(control: SocketAddr) -> bool {
    succeeds(control, "GET", "/ops/readiness")
}

/// Starts a drain; returns whether the broker confirmed it.
pub fn start_drain(control: SocketAddr) -> bool {
    succeeds(control, "PUT", "/ops/drain/start")
}

/// Stops a drain; returns whether the broker confirmed it.
pub fn stop_drain(control: SocketAddr) -> bool {
    succeeds(control, "PUT", "/ops/drain/stop")
}
