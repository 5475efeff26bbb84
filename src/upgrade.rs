//! The I/O of a hand-over: as the successor of a running process at start, and as the predecessor of a later
//! one while running. The decisions are made by the state machines in [`badgergauge_handover`].

use std::net::{IpAddr, SocketAddr, TcpListener, UdpSocket};
use std::os::fd::{BorrowedFd, OwnedFd};
use std::os::unix::net::{UnixListener, UnixStream};
use std::path::Path;
use std::time::{Duration, Instant};

use crate::handover::{
    Channel, ChannelError, Message, Offer, PROTOCOL_VERSION, Predecessor, PredecessorAction,
    PredecessorEvent, PredecessorPhase, Refusal, Rendezvous, Request, SocketRole, Successor, SuccessorAction,
    SuccessorEvent,
};
use crate::net::Net;

/// The poller key of the socket on which successors connect.
pub const RENDEZVOUS_KEY: usize = 5;
/// The poller key of the channel to the successor.
pub const SUCCESSOR_KEY: usize = 6;
/// The poller key of the channel to the predecessor.
pub const PREDECESSOR_KEY: usize = 7;

/// How long a start waits for the predecessor's answer: the predecessor may be in the middle of a step.
const OFFER_TIMEOUT: Duration = Duration::from_secs(1);

/// What was received on the predecessor's channel.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PredecessorUpdate {
    /// Nothing that needs handling.
    None,
    /// What the predecessor has spent of the shared budgets, as encoded by its router.
    Spending(String),
    /// The predecessor has ended.
    Ended,
}

/// The hand-over state of a process.
pub struct Upgrade {
    rendezvous: Rendezvous,
    request: Request,
    listener: Option<UnixListener>,
    successor: Successor,
    /// Whether the predecessor refused because another successor is taking over: that one owns the rendezvous
    /// path.
    predecessor_busy: bool,
    predecessor_channel: Option<Channel>,
    /// Sockets received from the predecessor that are not in use yet.
    adopted: Vec<(SocketRole, OwnedFd)>,
    predecessor: Predecessor,
    successor_channel: Option<Channel>,
}

impl Upgrade {
    /// Asks a process running under this name and address, if any, for a hand-over and waits up to
    /// `OFFER_TIMEOUT` for its offer.
    pub fn start(directory: &Path, name: &str, listen: SocketAddr) -> (Self, Option<Offer>) {
        let request = Request { version: PROTOCOL_VERSION, name: name.to_owned(), listen };
        let mut upgrade = Upgrade {
            rendezvous: Rendezvous::new(directory, name, listen),
            request,
            listener: None,
            successor: Successor::standalone(),
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

    /// Sends the request and waits for the answer. This runs before the event loop, so it may block.
    fn await_offer(&mut self, mut channel: Channel) -> Result<SuccessorEvent, ChannelError> {
        let deadline = Instant::now() + OFFER_TIMEOUT;
        channel.stream().set_write_timeout(Some(OFFER_TIMEOUT))?;
        // A busy process sends its refusal and closes before it reads the request: the refusal can be read
        // although the request could not be sent.
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

    /// Takes the predecessor's listener for this role, if it is bound to this address.
    pub fn take_listener(&mut self, role: SocketRole, address: SocketAddr) -> Option<TcpListener> {
        let listener = TcpListener::from(self.take_adopted_socket(role)?);
        let bound = listener.local_addr().ok()?;
        is_bound_to(bound, address).then_some(listener)
    }

    /// Takes the predecessor's gossip socket, if it is bound to this address.
    pub fn take_udp_socket(&mut self, address: SocketAddr) -> Option<UdpSocket> {
        let socket = UdpSocket::from(self.take_adopted_socket(SocketRole::Peers)?);
        let bound = socket.local_addr().ok()?;
        is_bound_to(bound, address).then_some(socket)
    }

    /// Announces that this process accepts clients: the predecessor may stop, and a successor may connect.
    pub fn now_listening(&mut self, net: &Net) {
        // An adopted listener that stays open unused would queue clients that nobody accepts.
        self.adopted.clear();
        if self.successor.handle(SuccessorEvent::Listening) == SuccessorAction::AnnounceReady {
            self.announce_ready(net);
        }
        self.listen_for_successor(net);
    }

    fn announce_ready(&mut self, net: &Net) {
        let Some(channel) = &mut self.predecessor_channel else { return };
        // If sending fails the predecessor has ended, which the poller reports.
        let _ = channel.send(&Message::Ready, &[]);
        let _ = net.poll.add(channel.stream(), PREDECESSOR_KEY, true, false);
    }

    /// Listens on the rendezvous path for a successor.
    pub fn listen_for_successor(&mut self, net: &Net) {
        // Two processes are running already. If this one took the path from the process that is taking over,
        // the next upgrade would receive this process's sockets, and the other's clients would have no
        // successor.
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

    /// Stops listening for successors: the current successor listens on the path now.
    pub fn close_rendezvous(&mut self, net: &Net) {
        if let Some(listener) = self.listener.take() {
            net.poll.remove(&listener);
        }
    }

    /// Accepts the connections of waiting successors.
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
                Err(error) => tracing::warn!("upgrade: connection from a new process failed: {error}"),
            }
        }
        let _ = net.poll.rearm(listener, RENDEZVOUS_KEY, true, false);
    }

    fn open_channel(stream: UnixStream) -> Result<Channel, ChannelError> {
        stream.set_nonblocking(true)?;
        Channel::new(stream)
    }

    /// Handles the successor's channel, and returns what this process has to do.
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
                    tracing::warn!("upgrade: channel to the new process failed: {error}");
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

    /// Sends the offer and the sockets to the successor.
    pub fn send_offer(&mut self, net: &Net, offer: Offer, sockets: &[BorrowedFd<'_>]) {
        let Some(channel) = &mut self.successor_channel else { return };
        if let Err(error) = channel.send(&Message::Offer(offer), sockets) {
            tracing::warn!("upgrade: the sockets were not sent to the new process: {error}");
        }
        self.rearm_successor(net);
    }

    /// Sends the successor what this process has spent of the shared budgets.
    pub fn send_spending(&mut self, net: &Net, spending: String) {
        let Some(channel) = &mut self.successor_channel else { return };
        // If sending fails the successor has ended, which the poller reports.
        let _ = channel.send(&Message::Spending(spending), &[]);
        self.rearm_successor(net);
    }

    /// Receives from the predecessor's channel.
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
                    SuccessorAction::UseFullLimits => PredecessorUpdate::Ended,
                    _ => PredecessorUpdate::None,
                }
            }
        }
    }
}

/// Whether a socket is bound to the requested address; port 0 stands for any port.
fn is_bound_to(bound: SocketAddr, requested: SocketAddr) -> bool {
    let same_host = |ip: IpAddr| ip == requested.ip();
    same_host(bound.ip()) && (requested.port() == 0 || bound.port() == requested.port())
}
