//! The poller, for the broker's loop and for those of the stand-ins and the fault proxy: the one place that registers
//! sockets with it. And connections that are begun without waiting for them.

use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::os::fd::{AsFd, AsRawFd};
use std::sync::Arc;
use std::time::Duration;

use polling::{Event, Events, Poller};
use socket2::{Domain, Protocol, SockRef, Socket, Type};

/// What a source is ready for.
#[derive(Clone, Copy, Debug)]
pub struct Ready {
    /// The key it was registered under.
    pub key: usize,
    /// It can be read, or has ended.
    pub readable: bool,
    /// It can be written, or has failed.
    pub writable: bool,
}

/// Wraps the poller. Sources report once and are then asked for again, so none can spin the loop.
pub struct Poll {
    poller: Arc<Poller>,
    events: Events,
}

impl Poll {
    /// A poller without sources.
    ///
    /// # Errors
    ///
    /// When the system has no descriptors left for it.
    pub fn new() -> io::Result<Self> {
        Ok(Poll { poller: Arc::new(Poller::new()?), events: Events::new() })
    }

    /// Registers a source.
    ///
    /// # Errors
    ///
    /// When the system refuses it.
    #[allow(unsafe_code)] // `polling` asks for a promise that `remove` comes before the source is closed.
    pub fn add(&self, source: &(impl AsRawFd + AsFd), key: usize, read: bool, write: bool) -> io::Result<()> {
        // SAFETY: every owner of a registered source calls `remove` before it drops it; sources are never
        // duplicated, so on Linux closing one would also end its registration.
        unsafe { self.poller.add(source, Event::new(key, read, write)) }
    }

    /// Asks for the next report of a source.
    ///
    /// # Errors
    ///
    /// When it is not registered.
    pub fn rearm(&self, source: &impl AsFd, key: usize, read: bool, write: bool) -> io::Result<()> {
        self.poller.modify(source, Event::new(key, read, write))
    }

    /// Ends a registration; without effect on one that has ended.
    pub fn remove(&self, source: &impl AsFd) {
        // An error means that it was not registered, which is what is wanted.
        let _ = self.poller.delete(source);
    }

    /// What ends a wait from another thread.
    pub fn waker(&self) -> Waker {
        Waker(self.poller.clone())
    }

    /// Waits until sources are ready or the time is over, and gives those that are.
    ///
    /// # Errors
    ///
    /// When the poller itself fails.
    pub fn wait(&mut self, time_out: Option<Duration>, ready: &mut Vec<Ready>) -> io::Result<()> {
        self.events.clear();
        match self.poller.wait(&mut self.events, time_out) {
            Err(error) if error.kind() != io::ErrorKind::Interrupted => return Err(error),
            _ => {}
        }
        let each = self.events.iter();
        ready.extend(each.map(|e| Ready { key: e.key, readable: e.readable, writable: e.writable }));
        Ok(())
    }
}

/// Ends a poller's wait from another thread.
#[derive(Clone, Debug)]
pub struct Waker(Arc<Poller>);

impl Waker {
    /// Ends the wait under way, or the next one.
    pub fn wake(&self) {
        // It fails only where the system has no memory left; the next event wakes the loop then.
        let _ = self.0.notify();
    }
}

/// Begins a connection; [`is_connected`] tells when it is up.
///
/// # Errors
///
/// When the system refuses at once.
pub fn connect(address: SocketAddr) -> io::Result<TcpStream> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP))?;
    socket.set_nonblocking(true)?;
    socket.set_tcp_nodelay(true)?;
    match socket.connect(&address.into()) {
        Err(error) if error.raw_os_error() != Some(IN_PROGRESS) => Err(error),
        _ => Ok(socket.into()),
    }
}

/// Connections that may wait to be accepted at a listener; the system may allow fewer.
pub const LISTEN_BACKLOG: usize = 1024;

/// Listens at an address. With `shared`, other sockets of this user that ask for the same may be bound there, too
/// (SO_REUSEPORT), and the system deals new connections to all of them.
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

/// A socket for datagrams at an address, `shared` as for [`listen`].
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

/// Linux's EINPROGRESS, which the standard library has no kind for.
const IN_PROGRESS: i32 = 115;

/// Whether a connection is up.
///
/// # Errors
///
/// When it failed.
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
