//! The broker's end of a hand-over: as the successor of a running process at its start, and as the predecessor of a
//! later one while it runs. What is decided is decided in [`badgergauge_handover`].

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

/// The poller's key of the socket where a successor connects.
pub const RENDEZVOUS: usize = 5;
/// The poller's key of the channel to the successor.
pub const TO_SUCCESSOR: usize = 6;
/// The poller's key of the channel to the predecessor.
pub const TO_PREDECESSOR: usize = 7;

/// How long a start waits for its predecessor's answer: the predecessor may be in the middle of a step.
const OFFER_TIME: Duration = Duration::from_secs(1);

/// What the predecessor's channel has brought.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PredecessorNews {
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
    refused_as_busy: bool,
    to_predecessor: Option<Channel>,
    /// What the predecessor gave and has not been taken into use.
    adopted: Vec<(SocketRole, OwnedFd)>,
    predecessor: Predecessor,
    to_successor: Option<Channel>,
}

impl Upgrade {
    /// Asks a process that runs under this name and address, if there is one, and waits a moment for its offer.
    pub fn begin(folder: &Path, name: &str, listen: SocketAddr) -> (Self, Option<Offer>) {
        let request = Request { version: PROTOCOL_VERSION, name: name.to_owned(), listen };
        let mut upgrade = Upgrade {
            rendezvous: Rendezvous::new(folder, name, listen),
            request,
            listener: None,
            successor: Successor::standalone(),
            refused_as_busy: false,
            to_predecessor: None,
            adopted: Vec::new(),
            predecessor: Predecessor::new(name.to_owned(), listen),
            to_successor: None,
        };
        let offer = upgrade.ask_predecessor();
        (upgrade, offer)
    }

    fn ask_predecessor(&mut self) -> Option<Offer> {
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
            self.refused_as_busy = *refusal == Refusal::Busy;
            tracing::warn!("upgrade: no sockets taken over: the running process refused: {refusal:?}");
        }
        match self.successor.handle(event) {
            SuccessorAction::Adopt(offer) => Some(offer),
            _ => {
                self.to_predecessor = None;
                self.adopted.clear();
                None
            }
        }
    }

    /// Sends the request and waits for what comes back. This is before the loop runs, so it may wait.
    fn await_offer(&mut self, mut channel: Channel) -> Result<SuccessorEvent, ChannelError> {
        let until = Instant::now() + OFFER_TIME;
        channel.stream().set_write_timeout(Some(OFFER_TIME))?;
        // A process that is busy says so and closes before it reads: its word is there though the request found nobody.
        let sent = channel.send(&Message::Request(self.request.clone()), &[]);
        loop {
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return Ok(SuccessorEvent::NoAnswer);
            }
            channel.stream().set_read_timeout(Some(left))?;
            let received = match (channel.receive(), sent.is_ok()) {
                (Err(_), false) => return sent.map(|()| SuccessorEvent::NoAnswer),
                (received, _) => received?,
            };
            let Some(received) = received else { continue };
            match received.message {
                Message::Offer(offer) if offer.roles.len() == received.sockets.len() => {
                    self.adopted = offer.roles.iter().copied().zip(received.sockets).collect();
                    channel.stream().set_nonblocking(true)?;
                    self.to_predecessor = Some(channel);
                    return Ok(SuccessorEvent::Offered(offer));
                }
                Message::Refusal(refusal) => return Ok(SuccessorEvent::Refused(refusal)),
                _ => return Ok(SuccessorEvent::NoAnswer),
            }
        }
    }

    fn take_adopted(&mut self, role: SocketRole) -> Option<OwnedFd> {
        let at = self.adopted.iter().position(|(given, _)| *given == role)?;
        Some(self.adopted.swap_remove(at).1)
    }

    /// The predecessor's listener for this role, if it listens at this address.
    pub fn take_listener(&mut self, role: SocketRole, address: SocketAddr) -> Option<TcpListener> {
        let listener = TcpListener::from(self.take_adopted(role)?);
        let bound = listener.local_addr().ok()?;
        is_at(bound, address).then_some(listener)
    }

    /// The predecessor's socket for datagrams, if it is bound to this address.
    pub fn take_datagrams(&mut self, address: SocketAddr) -> Option<UdpSocket> {
        let socket = UdpSocket::from(self.take_adopted(SocketRole::Peers)?);
        let bound = socket.local_addr().ok()?;
        is_at(bound, address).then_some(socket)
    }

    /// This process takes clients: its predecessor may stop, and its own successor may come.
    pub fn listening(&mut self, net: &Net) {
        // What was given and is not used would hold clients that nobody accepts.
        self.adopted.clear();
        if self.successor.handle(SuccessorEvent::Listening) == SuccessorAction::AnnounceReady {
            self.announce_ready(net);
        }
        self.await_successor(net);
    }

    fn announce_ready(&mut self, net: &Net) {
        let Some(channel) = &mut self.to_predecessor else { return };
        // A predecessor that can't be told has ended, which the poller reports.
        let _ = channel.send(&Message::Ready, &[]);
        let _ = net.poll.add(channel.stream(), TO_PREDECESSOR, true, false);
    }

    /// Listens for a successor.
    pub fn await_successor(&mut self, net: &Net) {
        // Two processes run already. Were the path taken from the one that takes over, the next upgrade would have the
        // sockets of this one, and leave the other's clients without a successor.
        let listener = match self.refused_as_busy {
            true => self.rendezvous.listen_if_free(),
            false => self.rendezvous.listen(),
        };
        match listener {
            Ok(listener) => {
                if net.poll.add(&listener, RENDEZVOUS, true, false).is_ok() {
                    self.listener = Some(listener);
                }
            }
            Err(error) => tracing::warn!("upgrade: a later process can't take over the sockets: {error}"),
        }
    }

    /// Takes no further successors: the one there is has the path.
    pub fn leave_rendezvous(&mut self, net: &Net) {
        if let Some(listener) = self.listener.take() {
            net.poll.remove(&listener);
        }
    }

    /// Takes the connections of successors that wait.
    pub fn accept(&mut self, net: &Net) {
        let Some(listener) = &self.listener else { return };
        while let Ok((stream, _)) = listener.accept() {
            match Self::open(stream) {
                Ok(channel) if self.predecessor.phase() == PredecessorPhase::Waiting => {
                    if let Some(silent) = self.to_successor.take() {
                        net.poll.remove(silent.stream());
                    }
                    if net.poll.add(channel.stream(), TO_SUCCESSOR, true, false).is_ok() {
                        self.to_successor = Some(channel);
                    }
                }
                Ok(mut channel) => drop(channel.send(&Message::Refusal(Refusal::Busy), &[])),
                Err(error) => tracing::warn!("upgrade: {error}"),
            }
        }
        let _ = net.poll.rearm(listener, RENDEZVOUS, true, false);
    }

    fn open(stream: UnixStream) -> Result<Channel, ChannelError> {
        stream.set_nonblocking(true)?;
        Channel::new(stream)
    }

    /// What the successor's channel has brought, and what this process is to do then.
    pub fn successor_ready(&mut self, net: &Net, stopping: bool) -> PredecessorAction {
        let Some(channel) = &mut self.to_successor else { return PredecessorAction::None };
        let received = channel.flush().and_then(|()| channel.receive());
        let event = match received {
            Ok(None) => {
                self.poll_successor(net);
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
            self.poll_successor(net);
        }
        action
    }

    fn drop_successor(&mut self, net: &Net) {
        if let Some(channel) = self.to_successor.take() {
            net.poll.remove(channel.stream());
        }
    }

    fn poll_successor(&self, net: &Net) {
        if let Some(channel) = &self.to_successor {
            let _ = net.poll.rearm(channel.stream(), TO_SUCCESSOR, true, channel.wants_write());
        }
    }

    /// Gives the successor what it asked for.
    pub fn offer(&mut self, net: &Net, offer: Offer, sockets: &[BorrowedFd<'_>]) {
        let Some(channel) = &mut self.to_successor else { return };
        if let Err(error) = channel.send(&Message::Offer(offer), sockets) {
            tracing::warn!("upgrade: {error}");
        }
        self.poll_successor(net);
    }

    /// Tells the successor what this process has spent.
    pub fn tell_spending(&mut self, net: &Net, spending: String) {
        let Some(channel) = &mut self.to_successor else { return };
        // A successor that can't be told has ended, which the poller reports.
        let _ = channel.send(&Message::Spending(spending), &[]);
        self.poll_successor(net);
    }

    /// What the predecessor's channel has brought.
    pub fn predecessor_ready(&mut self, net: &Net) -> PredecessorNews {
        let Some(channel) = &mut self.to_predecessor else { return PredecessorNews::None };
        match channel.flush().and_then(|()| channel.receive()) {
            Ok(received) => {
                let _ = net.poll.rearm(channel.stream(), TO_PREDECESSOR, true, channel.wants_write());
                match received.map(|received| received.message) {
                    Some(Message::Spending(spending)) => PredecessorNews::Spending(spending),
                    _ => PredecessorNews::None,
                }
            }
            Err(_) => {
                net.poll.remove(channel.stream());
                self.to_predecessor = None;
                match self.successor.handle(SuccessorEvent::PredecessorEnded) {
                    SuccessorAction::UseFullLimits => PredecessorNews::Ended,
                    _ => PredecessorNews::None,
                }
            }
        }
    }
}

/// Whether a socket is bound where it was asked for; port 0 asks for any.
fn is_at(bound: SocketAddr, asked: SocketAddr) -> bool {
    let same_host = |ip: IpAddr| ip == asked.ip();
    same_host(bound.ip()) && (asked.port() == 0 || bound.port() == asked.port())
}
