//! Clients that connect to a broker and ask for nothing.

use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// A broker whose queue is full leaves a connection unanswered: those that come after it would wait as well.
const CONNECTS_WITHIN: Duration = Duration::from_millis(20);

/// So many connections to an address, or as many as are taken at once.
pub(super) fn gather(address: SocketAddr, clients: usize) -> Vec<TcpStream> {
    (0..clients).map_while(|_| TcpStream::connect_timeout(&address, CONNECTS_WITHIN).ok()).collect()
}
