//! Loopback ports that stay reserved while no process listens on them.

use std::io;
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener};

use socket2::{Domain, SockRef, Socket, Type};

/// A TCP port on loopback that a socket holds without listening. Whoever sets `SO_REUSEADDR` or `SO_REUSEPORT`, as
/// servers do, can listen there; nobody is given the port by chance.
#[derive(Debug)]
pub struct ReservedPort {
    _holder: Socket,
    address: SocketAddr,
}

impl ReservedPort {
    /// Holds a port that the system chooses.
    ///
    /// # Errors
    ///
    /// When loopback has no port left.
    pub fn new() -> io::Result<Self> {
        let holder = Socket::new(Domain::IPV4, Type::STREAM, None)?;
        holder.set_reuse_address(true)?;
        holder.set_reuse_port(true)?;
        holder.bind(&SocketAddr::from((Ipv4Addr::LOCALHOST, 0)).into())?;
        let address = holder.local_addr()?.as_socket().ok_or(io::ErrorKind::AddrNotAvailable)?;
        Ok(ReservedPort { _holder: holder, address })
    }

    /// Its address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

/// Ends a listener at once, also where a process that is being started still has a copy of its descriptor: a copy keeps
/// a listener that is only closed alive until that process executes its program.
pub fn shut_down_listener(listener: TcpListener) {
    // One that can't be shut down listens no more.
    let _ = SockRef::from(&listener).shutdown(Shutdown::Both);
}

#[cfg(test)]
mod tests {
    use std::net::TcpStream;

    use super::*;

    #[test]
    fn a_held_port_refuses_until_somebody_listens_and_again_afterwards() {
        let port = ReservedPort::new().expect("a port");
        assert!(TcpStream::connect(port.address()).is_err());
        let listener = TcpListener::bind(port.address()).expect("free to listen on");
        assert!(TcpStream::connect(port.address()).is_ok());
        shut_down_listener(listener);
        assert!(TcpStream::connect(port.address()).is_err());
        assert_ne!(ReservedPort::new().expect("a port").address(), port.address());
    }
}
