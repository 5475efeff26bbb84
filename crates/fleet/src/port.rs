//! Loopback ports that stay reserved while no process listens on them.

use std::io;
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener};

use socket2::{Domain, SockRef, Socket, Type};

/// A loopback TCP port that is bound by a socket which does not listen. A process that sets `SO_REUSEADDR` or
/// `SO_REUSEPORT`, as servers do, can listen on it; the system does not assign it to any other socket.
#[derive(Debug)]
pub struct ReservedPort {
    _socket: Socket,
    address: SocketAddr,
}

impl ReservedPort {
    /// Reserves a port that the system chooses.
    ///
    /// # Errors
    ///
    /// When no socket can be made, or loopback has no free port.
    pub fn new() -> io::Result<Self> {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None)?;
        socket.set_reuse_address(true)?;
        socket.set_reuse_port(true)?;
        socket.bind(&SocketAddr::from((Ipv4Addr::LOCALHOST, 0)).into())?;
        let address = socket.local_addr()?.as_socket().ok_or(io::ErrorKind::AddrNotAvailable)?;
        Ok(ReservedPort { _socket: socket, address })
    }

    /// The loopback address with the reserved port.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

/// Stops a listener at once by shutting it down. Closing alone is not enough while another process is being
/// started: the forked child's copy of the descriptor keeps the listener open until the child executes its
/// program.
pub fn shut_down_listener(listener: TcpListener) {
    // Shutting down fails only on a socket that no longer listens.
    let _ = SockRef::from(&listener).shutdown(Shutdown::Both);
}

#[cfg(test)]
mod tests {
    use std::net::TcpStream;

    use super::*;

    #[test]
    fn a_reserved_port_refuses_connections_unless_a_listener_is_up() {
        let port = ReservedPort::new().expect("a port");
        assert!(TcpStream::connect(port.address()).is_err());
        let listener = TcpListener::bind(port.address()).expect("free to listen on");
        assert!(TcpStream::connect(port.address()).is_ok());
        shut_down_listener(listener);
        assert!(TcpStream::connect(port.address()).is_err());
        assert_ne!(ReservedPort::new().expect("a port").address(), port.address());
    }
}
