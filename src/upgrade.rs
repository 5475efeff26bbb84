//! The broker's end of a hand-over: as the successor of a running process at its start, and as the predecessor of a
//! later one while it runs. What is decided is decided in [`badgergauge_handover`].

use std::net::{IpAddr, SocketAddr, TcpListener, UdpSocket};
use std::os::fd::{BorrowedFd, OwnedFd};
use std::os::unix::net::{UnixListener, UnixStream};
use std::path::Path;
use std::time::{Duration, Instant};

use crate::handover::{
    Channel, ChannelError, Message, Offer, Predecessor, PredecessorAction, PredecessorEvent,
    PredecessorPhase, Refusal, Rendezvous, Request, SocketRole, Successor, SuccessorAction, SuccessorEvent,
    VERSION,
};
use crate::net::Net;

/// The poller's key of the socket where a successor connects.
pub const RENDEZVOUS_KEY: usize = 5;
/// The poller's key of the channel to the successor.
pub const SUCCESSOR_KEY: usize = 6;
/// The poller's key of the channel to the predecessor.
pub const PREDECESSOR_KEY: usize = 7;

/// How long a start waits for its predecessor's answer: the predecessor may be in the middle of a step.
const OFFER_TIMEOUT: Duration = Duration::from_secs(1);

/// What the predecessor's channel has brought.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PredecessorUpdate {
    /// Nothing.
    None,
    /// What the predecessor has spent of the limits that hold for both, as its module encodes it.
    Spending(String),
    /// The predecessor has ended.
    Ended,
}

/// A process's part in hand-overs.
pub struct Upgrade {
    rendezvous: Rendezvous,
    request: Request,
    listener: Option<UnixListener>,
    successor: Successor,
    /// Another process takes over from the predecessor: what waits for successors is that one's.
    predecessor_busy: bool,
    predecessor_channel: Option<Channel>,
    /// What the predecessor gave and has not been taken into use.
    adopted: Vec<(SocketRole, OwnedFd)>,
    predecessor: Predecessor,
    successor_channel: Option<Channel>,
}

impl Upgrade {
    /// Asks a process that runs under this name and address, if there is one, and waits a moment for its offer.
    pub fn start(directory: &Path, name: &str, listen: SocketAddr) -> (Self, Option<Offer>) {
        let request = Request { version: VERSION, name: name.to_owned(), listen };
        let mut upgrade = Upgrade {
            rendezvous: Rendezvous::new(directory, name, listen),
            request,
            listener: None,
            successor: Successor::alone(),
            predecessor_busy: false,
            predecessor_channel: None,
            adopted: Vec::new(),
            predecessor: Predecessor::new(name.to_owned(), listen),
            successor_channel: None,
        };
        let offer = upgrade.request_hand_over();
        (upgrade, offer)
    }

    fn request_hand_over(&mut self) -> Option<Offer> {
        let channel = match self.rendezvous.connect() {
            Ok(channel) => channel?,
            Err(error) => {
                tracing::warn!("upgrade: {}: {error}", self.rendezvous.path().display());
                return None;
            }
        };
        self.successor = Successor::requested();
        let event = match self.await_offer(channel) {
            Ok(event) => event,
            Err(error) => {
                tracing::warn!("upgrade: no sockets taken over: {error}");
                SuccessorEvent::NoAnswer
            }
        };
        if let SuccessorEvent::Refused(refusal) = &event {
            self.predecessor_busy = *refusal == Refusal::Busy;
            tracing::warn!("upgrade: no sockets taken over: the running process refused: {refusal:?}");
        }
        match self.successor.handle(event) {
            SuccessorAction::Adopt(offer) => Some(offer),
            _ => {
                self.predecessor_channel = None;
                self.adopted.clear();
                None
            }
        }
    }

    /// Sends the request and waits for what comes back. This is before the loop runs, so it may wait.
    fn await_offer(&mut self, mut channel: Channel) -> Result<SuccessorEvent, ChannelError> {
        let deadline = Instant::now() + OFFER_TIMEOUT;
        channel.stream().set_write_timeout(Some(OFFER_TIMEOUT))?;
        // A process that is busy says so and closes before it reads: its word is there though the request found nobody.
        let sent = channel.send(&Message::Request(self.request.clone()), &[]);
        loop {
            let remaining = deadline.saturating_duration_since(Instant::now());
            if remaining.is_zero() {
                return Ok(SuccessorEvent::NoAnswer);
            }
            channel.stream().set_read_timeout(Some(remaining))?;
            let received = match (channel.receive(), sent.is_ok()) {
                (Err(_), false) => return sent.map(|()| SuccessorEvent::NoAnswer),
                (received, _) => received?,
            };
            let Some(received) = received else { continue };
            match received.message {
                Message::Offer(offer) if offer.roles.len() == received.sockets.len() => {
                    self.adopted = offer.roles.iter().copied().zip(received.sockets).collect();
                    channel.stream().set_nonblocking(true)?;
                    self.predecessor_channel = Some(channel);
                    return Ok(SuccessorEvent::Offered(offer));
                }
                Message::Refusal(refusal) => return Ok(SuccessorEvent::Refused(refusal)),
                _ => return Ok(SuccessorEvent::NoAnswer),
            }
        }
    }

    fn take_adopted_socket(&mut self, role: SocketRole) -> Option<OwnedFd> {
        let index = self.adopted.iter().position(|(offered, _)| *offered == role)?;
        Some(self.adopted.swap_remove(index).1)
    }

    /// The predecessor's listener for this role, if it listens at this address.
    pub fn take_listener(&mut self, role: SocketRole, address: SocketAddr) -> Option<TcpListener> {
        let listener = TcpListener::from(self.take_adopted_socket(role)?);
        let bound = listener.local_addr().ok()?;
        is_bound_to(bound, address).then_some(listener)
    }

    /// The predecessor's socket for datagrams, if it is bound to this address.
    pub fn take_udp_socket(&mut self, address: SocketAddr) -> Option<UdpSocket> {
        let socket = UdpSocket::from(self.take_adopted_socket(SocketRole::Peers)?);
        let bound = socket.local_addr().ok()?;
        is_bound_to(bound, address).then_some(socket)
    }

    /// This process takes clients: its predecessor may stop, and its own successor may come.
    pub fn now_listening(&mut self, net: &Net) {
        // What was given and is not used would hold clients that nobody accepts.
        self.adopted.clear();
        if self.successor.handle(SuccessorEvent::Listening) == SuccessorAction::AnnounceReady {
            self.announce_ready(net);
        }
        self.listen_for_successor(net);
    }

    fn announce_ready(&mut self, net: &Net) {
        let Some(channel) = &mut self.predecessor_channel else { return };
        // A predecessor that can't be told has ended, which the poller reports.
        let _ = channel.send(&Message::Ready, &[]);
        let _ = net.poll.add(channel.stream(), PREDECESSOR_KEY, true, false);
    }

    /// Listens for a successor.
    pub fn listen_for_successor(&mut self, net: &Net) {
        // Two processes run already. Were the path taken from the one that takes over, the next upgrade would have the
        // sockets of this one, and leave the other's clients without a successor.
        let listener = match self.predecessor_busy {
            true => self.rendezvous.listen_if_free(),
            false => self.rendezvous.listen(),
        };
        match listener {
            Ok(listener) => {
                if net.poll.add(&listener, RENDEZVOUS_KEY, true, false).is_ok() {
                    self.listener = Some(listener);
                }
            }
            Err(error) => tracing::warn!("upgrade: a later process can't take over the sockets: {error}"),
        }
    }

    /// Takes no further successors: the one there is has the path.
    pub fn close_rendezvous(&mut self, net: &Net) {
        if let Some(listener) = self.listener.take() {
            net.poll.remove(&listener);
        }
    }

    /// Takes the connections of successors that wait.
    pub fn accept_successors(&mut self, net: &Net) {
        let Some(listener) = &self.listener else { return };
        while let Ok((stream, _)) = listener.accept() {
            match Self::open_channel(stream) {
                Ok(channel) if self.predecessor.phase() == PredecessorPhase::Waiting => {
                    if let Some(abandoned) = self.successor_channel.take() {
                        net.poll.remove(abandoned.stream());
                    }
                    if net.poll.add(channel.stream(), SUCCESSOR_KEY, true, false).is_ok() {
                        self.successor_channel = Some(channel);
                    }
                }
                Ok(mut channel) => drop(channel.send(&Message::Refusal(Refusal::Busy), &[])),
                Err(error) => tracing::warn!("upgrade: {error}"),
            }
        }
        let _ = net.poll.rearm(listener, RENDEZVOUS_KEY, true, false);
    }

    fn open_channel(stream: UnixStream) -> Result<Channel, ChannelError> {
        stream.set_nonblocking(true)?;
        Channel::new(stream)
    }

    /// What the successor's channel has brought, and what this process is to do then.
    pub fn successor_ready(&mut self, net: &Net, stopping: bool) -> PredecessorAction {
        let Some(channel) = &mut self.successor_channel else { return PredecessorAction::None };
        let received = channel.flush().and_then(|()| channel.receive());
        let event = match received {
            Ok(None) => {
                self.rearm_successor(net);
                return PredecessorAction::None;
            }
            Ok(Some(received)) => match received.message {
                Message::Request(request) => PredecessorEvent::Requested(request),
                Message::Ready => PredecessorEvent::SuccessorReady,
                Message::Offer(_) | Message::Refusal(_) | Message::Spending(_) => {
                    PredecessorEvent::SuccessorEnded
                }
            },
            Err(error) => {
                if !matches!(error, ChannelError::Closed) {
                    tracing::warn!("upgrade: {error}");
                }
                PredecessorEvent::SuccessorEnded
            }
        };
        let ended = event == PredecessorEvent::SuccessorEnded;
        let action = self.predecessor.handle(event, stopping);
        if let PredecessorAction::Refuse(refusal) = &action {
            let _ = channel.send(&Message::Refusal(refusal.clone()), &[]);
        }
        if ended || matches!(action, PredecessorAction::Refuse(_)) {
            self.drop_successor(net);
        } else {
            self.rearm_successor(net);
        }
        action
    }

    fn drop_successor(&mut self, net: &Net) {
        if let Some(channel) = self.successor_channel.take() {
            net.poll.remove(channel.stream());
        }
    }

    fn rearm_successor(&self, net: &Net) {
        if let Some(channel) = &self.successor_channel {
            let _ = net.poll.rearm(channel.stream(), SUCCESSOR_KEY, true, channel.wants_write());
        }
    }

    /// Gives the successor what it asked for.
    pub fn send_offer(&mut self, net: &Net, offer: Offer, sockets: &[BorrowedFd<'_>]) {
        let Some(channel) = &mut self.successor_channel else { return };
        if let Err(error) = channel.send(&Message::Offer(offer), sockets) {
            tracing::warn!("upgrade: {error}");
        }
        self.rearm_successor(net);
    }

    /// Tells the successor what this process has spent.
    pub fn send_spending(&mut self, net: &Net, spending: String) {
        let Some(channel) = &mut self.successor_channel else { return };
        // A successor that can't be told has ended, which the poller reports.
        let _ = channel.send(&Message::Spending(spending), &[]);
        self.rearm_successor(net);
    }

    /// What the predecessor's channel has brought.
    pub fn predecessor_ready(&mut self, net: &Net) -> PredecessorUpdate {
        let Some(channel) = &mut self.predecessor_channel else { return PredecessorUpdate::None };
        match channel.flush().and_then(|()| channel.receive()) {
            Ok(received) => {
                let _ = net.poll.rearm(channel.stream(), PREDECESSOR_KEY, true, channel.wants_write());
                match received.map(|received| received.message) {
                    Some(Message::Spending(spending)) => PredecessorUpdate::Spending(spending),
                    _ => PredecessorUpdate::None,
                }
            }
            Err(_) => {
                net.poll.remove(channel.stream());
                self.predecessor_channel = None;
                match self.successor.handle(SuccessorEvent::PredecessorEnded) {
                    SuccessorAction::UseWholeLimits => PredecessorUpdate::Ended,
                    _ => PredecessorUpdate::None,
                }
            }
        }
    }
}

/// Whether a socket is bound where it was asked for; port 0 asks for any.
fn is_bound_to(bound: SocketAddr, requested: SocketAddr) -> bool {
    let same_host = |ip: IpAddr| ip == requested.ip();
    same_host(bound.ip()) && (requested.port() == 0 || bound.port() == requested.port())
}
