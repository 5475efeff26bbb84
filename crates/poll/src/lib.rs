//! Readiness polling for the event loops of the broker, the stand-ins and the fault proxy, and non-blocking
//! sockets. This is the only place that registers sockets with the operating system.

use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::os::fd::{AsFd, AsRawFd};
use std::sync::Arc;
use std::time::Duration;

use polling::{Event, Events, Poller};
use socket2::{Domain, Protocol, SockRef, Socket, Type};

/// A readiness event of a registered source.
#[derive(Clone, Copy, Debug)]
pub struct Ready {
    /// The key that the source was registered under.
    pub key: usize,
    /// It can be read, or has reached its end.
    pub readable: bool,
    /// It can be written, or has failed.
    pub writable: bool,
}

/// A poller with one-shot registrations: a source has to be rearmed after each event, so that none can keep
/// the event loop spinning.
pub struct Poll {
    poller: Arc<Poller>,
    events: Events,
}

impl Poll {
    /// Creates a poller without sources.
    ///
    /// # Errors
    ///
    /// When the operating system can't create it, for instance for want of file descriptors.
    pub fn new() -> io::Result<Self> {
        Ok(Poll { poller: Arc::new(Poller::new()?), events: Events::new() })
    }

    /// Registers a source and arms it.
    ///
    /// # Errors
    ///
    /// When the operating system refuses the registration.
    #[allow(unsafe_code)] // `polling` requires that a source is removed before it is closed.
    pub fn add(&self, source: &(impl AsRawFd + AsFd), key: usize, read: bool, write: bool) -> io::Result<()> {
        // SAFETY: every owner of a registered source calls `remove` before it drops it. Sources are never
        // duplicated, so on Linux closing one would also end its registration.
        unsafe { self.poller.add(source, Event::new(key, read, write)) }
    }

    /// Arms a registered source for its next event.
    ///
    /// # Errors
    ///
    /// When it is not registered.
    pub fn rearm(&self, source: &impl AsFd, key: usize, read: bool, write: bool) -> io::Result<()> {
        self.poller.modify(source, Event::new(key, read, write))
    }

    /// Removes a source; has no effect if it is not registered.
    pub fn remove(&self, source: &impl AsFd) {
        // The only error is that the source is not registered, which is the intended result.
        let _ = self.poller.delete(source);
    }

    /// A handle that interrupts [`Poll::wait`] from another thread.
    pub fn waker(&self) -> Waker {
        Waker(self.poller.clone())
    }

    /// Waits until a source is ready, the timeout expires or the wait is interrupted, and appends the events
    /// to `ready`. Without a timeout it waits indefinitely.
    ///
    /// # Errors
    ///
    /// When the poller itself fails.
    pub fn wait(&mut self, timeout: Option<Duration>, ready: &mut Vec<Ready>) -> io::Result<()> {
        self.events.clear();
        match self.poller.wait(&mut self.events, timeout) {
            Err(error) if error.kind() != io::ErrorKind::Interrupted => return Err(error),
            _ => {}
        }
        let events = self.events.iter();
        ready.extend(events.map(|e| Ready { key: e.key, readable: e.readable, writable: e.writable }));
        Ok(())
    }
}

/// Interrupts the wait of a poller from another thread.
#[derive(Clone, Debug)]
pub struct Waker(Arc<Poller>);

impl Waker {
    /// Interrupts the current wait, or the next one if none is in progress.
    pub fn wake(&self) {
        // It fails only when the operating system is out of memory; the next event then ends the wait.
        let _ = self.0.notify();
    }
}

/// Starts to connect without blocking; [`is_connected`] tells when the connection is established.
///
/// # Errors
///
/// When the connection fails immediately.
pub fn connect(address: SocketAddr) -> io::Result<TcpStream> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP))?;
    socket.set_nonblocking(true)?;
    socket.set_tcp_nodelay(true)?;
    match socket.connect(&address.into()) {
        Err(error) if error.raw_os_error() != Some(EINPROGRESS) => Err(error),
        _ => Ok(socket.into()),
    }
}

/// Number of connections that may wait to be accepted at a listener; the operating system may allow fewer.
pub const LISTEN_BACKLOG: usize = 1024;

/// Binds a non-blocking TCP listener. With `shared`, other sockets of the same user may listen on the same
/// address (`SO_REUSEPORT`), and the kernel distributes new connections among them.
///
/// # Errors
///
/// When the address can't be bound.
pub fn listen(address: SocketAddr, shared: bool) -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    if shared {
        socket.set_reuse_port(true)?;
    }
    socket.bind(&address.into())?;
    socket.listen(LISTEN_BACKLOG as i32)?;
    socket.set_nonblocking(true)?;
    Ok(socket.into())
}

/// Binds a non-blocking UDP socket; `shared` as for [`listen`].
///
/// # Errors
///
/// When the address can't be bound.
pub fn bind_udp(address: SocketAddr, shared: bool) -> io::Result<UdpSocket> {
    let socket = Socket::new(Domain::for_address(address), Type::DGRAM, Some(Protocol::UDP))?;
    if shared {
        socket.set_reuse_port(true)?;
    }
    socket.bind(&address.into())?;
    socket.set_nonblocking(true)?;
    Ok(socket.into())
}

/// Linux's `EINPROGRESS`, for which the standard library has no stable error kind.
const EINPROGRESS: i32 = 115;

/// Whether a connection started by [`connect`] is established.
///
/// # Errors
///
/// When the connection failed.
pub fn is_connected(stream: &TcpStream) -> io::Result<bool> {
    if let Some(error) = SockRef::from(stream).take_error()? {
        return Err(error);
    }
    match stream.peer_addr() {
        Ok(_) => Ok(true),
        Err(error) if error.kind() == io::ErrorKind::NotConnected => Ok(false),
        Err(error) => Err(error),
    }
}
