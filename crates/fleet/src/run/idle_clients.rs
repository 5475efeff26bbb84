//! Clients that open connections to a broker and send no request.

use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// A broker whose listen backlog is full leaves a connection attempt unanswered, and those after it would
/// wait as well.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(20);

/// Opens up to `clients` connections, and stops at the first one that is not accepted in time.
pub(super) fn connect(address: SocketAddr, clients: usize) -> Vec<TcpStream> {
    (0..clients).map_while(|_| TcpStream::connect_timeout(&address, CONNECT_TIMEOUT).ok()).collect()
}
