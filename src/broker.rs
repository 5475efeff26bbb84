//! The broker's loop: it gathers what is ready, hands it to the core in one step, and carries out
//! what comes back, in order.

mod upgrade;

use std::collections::HashMap;
use std::io::{self, Read};
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::os::unix::net::UnixStream;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use rustix::io::Errno;
use signal_hook::consts::{SIGHUP, SIGTERM};

use self::upgrade::role_of;
use crate::backend::{Backend, Done};
use crate::config::Config;
use crate::config::settings::SiteSettings;
use crate::control::{Endpoint, EndpointConfig, Operations, Outcome, Statistics};
use crate::core::{Command, Core, Final, NotTaken, Ticket};
use crate::discovery::{Listing, Pace, Source, Told, Watch, WatchError};
use crate::front::{Front, Pending, Taken};
use crate::interface::{LoadReport, ServerState, Time, Verdict};
use crate::inventory::Inventory;
use crate::lifecycle::{Lifecycle, Phase as LifePhase};
use crate::net::client::{Client, Expired, Fate, Phase, Whole};
use crate::net::clock::Clock;
use crate::net::http::Response;
use crate::net::{Due, Net, Ready, datagrams, listen};
use crate::record::Tape;
use crate::state::Keeper;
use crate::upgrade::{RENDEZVOUS, TO_PREDECESSOR, TO_SUCCESSOR, Upgrade};
use crate::word;

const LISTEN: usize = 0;
const SIGNAL: usize = 1;
const WATCH: usize = 2;
const OGC_LISTEN: usize = 3;
const PEERS: usize = 4;

/// Descriptors for all but clients and tile servers: standard streams, poller, signal, listeners, watch.
const RESERVED: usize = 24;
/// Share of the descriptors that operators' connections may take.
const OPERATOR_SHARE: usize = 8;
/// A client without a request costs about so much memory, beside what its buffers hold.
const CLIENT_MEMORY: usize = 4 * 1024;
/// Share of the memory that clients may take, and as much again for what their buffers hold.
const CLIENT_SHARE: usize = 4;
/// What a client's buffer may hold while buffers together hold more than they may: an ordinary request.
const MODEST: usize = 4 * 1024;
/// How often idle connections are looked over, and at the least so often in the servers' idle limit: they
/// must be closed before it.
const SWEEP: Duration = Duration::from_millis(500);
const SWEEPS: u32 = 10;
/// A client that has not sent anything for so long after connecting may have to make room for another.
const SILENT: Duration = Duration::from_millis(100);
/// And one that has not ended its first request for so long.
const SLOW: Duration = Duration::from_millis(500);
/// Requests taken of one client in one turn.
const TURN: usize = 8;
/// Datagrams of other brokers taken in one turn.
const HEARS: usize = 128;
/// A server that drains is sent to for this part of the settings' grace, where it was told just now: the rest is left
/// for what goes on the way and for a busy machine.
const DRAIN_PART: u32 = 2;
/// A step's commands are carried out on what was gathered no longer ago than this: a client's end counts after 0.1 s.
const STALE: Duration = Duration::from_millis(20);
/// How often the gauges of servers are set anew: operators may read them half a second late.
const GAUGES_PAUSE: Duration = Duration::from_millis(200);
/// Connections accepted at once, before those that are ready get their turn.
const ACCEPTS: usize = 64;

/// What signals ask for.
#[derive(Default)]
struct Asked {
    stop: Arc<AtomicBool>,
    reload: Arc<AtomicBool>,
}

impl Asked {
    /// Takes the signals over: each leaves its mark, then a byte on `wake`.
    fn listen(wake: &UnixStream) -> io::Result<Self> {
        let asked = Asked::default();
        for (signal, mark) in [(SIGTERM, &asked.stop), (SIGHUP, &asked.reload)] {
            signal_hook::flag::register(signal, mark.clone())?;
            signal_hook::low_level::pipe::register(signal, wake.try_clone()?)?;
        }
        Ok(asked)
    }
}

/// A broker on its sockets.
pub struct Broker {
    settings: Arc<SiteSettings>,
    net: Net,
    core: Core,
    /// The trace, where it is on.
    tape: Option<Tape>,
    /// What lasts over a restart, where it is on.
    keeper: Option<Keeper>,
    backend: Backend,
    /// Where the list of servers comes from: one source alone, as each gives it whole.
    watch: Option<Watch>,
    /// Where word goes to and comes from other brokers, and their addresses by number.
    peers: Option<(UdpSocket, Vec<SocketAddr>)>,
    inventory: Option<Inventory>,
    /// When discovery is to be tended next; timers set for earlier are void.
    watch_at: Time,
    /// Whether it was said that no watch stands.
    watch_away: bool,
    /// When the loop last asked what is ready: whatever is ready now came since.
    looked: Time,
    /// The listeners, by key, until SIGTERM.
    listeners: Vec<(usize, TcpListener)>,
    /// Listeners on which a successor accepts in this process's place.
    released: Vec<(usize, TcpListener)>,
    /// Hand-overs, where they are on.
    upgrade: Option<Upgrade>,
    front: Front,
    signal: UnixStream,
    /// What signals have asked for; `signal` wakes the loop to look.
    asked: Asked,
    /// What it runs by.
    config: Config,
    clients: HashMap<usize, Client<Pending>>,
    most_clients: usize,
    /// How many clients may be held while no other process of this broker runs.
    most_clients_alone: usize,
    /// Descriptors for all but clients.
    fixed_descriptors: usize,
    /// What clients' buffers hold, and what they may hold together.
    buffered: usize,
    most_buffered: usize,
    /// Clients that have had their turn and have more requests in.
    again: Vec<usize>,
    /// Whether listeners wait for a client to leave.
    crowded: bool,
    /// Where the process stands between its start and its end.
    lifecycle: Lifecycle,
    /// What operators ask for and read, and whether anybody can.
    operations: Arc<Operations>,
    is_operated: bool,
    last_step: Time,
    /// What the step under way wants done.
    commands: Vec<Command>,
}

impl Broker {
    /// Binds the sockets and takes the list of old.
    ///
    /// # Errors
    ///
    /// When the configuration can't be followed.
    pub fn start(mut config: Config) -> io::Result<Self> {
        let invalid = |fault: String| io::Error::new(io::ErrorKind::InvalidInput, fault);
        let clock = Clock::start();
        let born = clock.now();
        let mut net = Net::new(clock)?;
        // Signals are heeded before anything can go wrong: one that came earlier would end the program.
        let (signal, wake) = UnixStream::pair()?;
        signal.set_nonblocking(true)?;
        wake.set_nonblocking(true)?;
        let asked = Asked::listen(&wake)?;
        net.poll.add(&signal, SIGNAL, true, false)?;
        let settings = Arc::new(config.settings.clone());
        let mut core =
            Core::new(settings.clone(), config.seed).map_err(|error| invalid(error.to_string()))?;
        let tape = Tape::start(&config, &clock, &mut core)?;
        let backend_links = config.bounds.sockets / 4;
        let memory = config.bounds.memory_mb * 1024 * 1024;
        let by_memory = memory / CLIENT_SHARE / CLIENT_MEMORY;
        let is_operated = config.control.is_some();
        let max_connections = config.bounds.sockets / OPERATOR_SHARE;
        let endpoint = config.control.map(|address| EndpointConfig { address, max_connections });
        let reserved = RESERVED + endpoint.map_or(0, |endpoint| endpoint.max_descriptors());
        let fixed_descriptors = reserved + backend_links;
        let by_descriptors = config.bounds.sockets.saturating_sub(fixed_descriptors);
        let most_clients = by_descriptors.min(by_memory).max(1);
        let operations = Arc::new(Operations::new(Statistics::new(&settings.classes)));
        if let Some(endpoint) = endpoint {
            let endpoint = Endpoint::start(endpoint, operations.clone(), net.poll.waker());
            let endpoint = endpoint.map_err(|error| invalid(format!("control: {error}")))?;
            tracing::info!("{} listens to operators on {}", config.name, endpoint.address());
        }
        let mut backend = Backend::new(settings.clone(), backend_links);
        let known = config.known.take().map(|known| Listing::from_value(&known, &clock)).transpose();
        let mut known = known.map_err(|fault| invalid(format!("known.{fault}")))?;
        let keeper = Keeper::open(&config, clock, &mut known)?;
        if let Some(list) = &mut known {
            list.whole = true;
            take_list(&mut core, &mut backend, list, None);
        }
        let mut inventory = config.ogc.as_ref().and_then(|ogc| ogc.inventory.clone()).map(Inventory::new);
        if let Some(list) = inventory
            .as_mut()
            .map(|i| i.reread(clock.now()))
            .transpose()
            .map_err(|e| invalid(e.to_string()))?
            .flatten()
        {
            take_list(&mut core, &mut backend, &list, None);
        }
        let watch = config.discovery.filter(|_| inventory.is_none()).map(|at| {
            let source = Source::of(&settings.module, settings.drain_grace);
            Watch::new(at, known.as_ref(), clock, Pace::new(clock.now(), source, config.seed))
        });
        let folder = is_operated.then(shared_folder).flatten();
        let (mut upgrade, offer) =
            folder.map(|folder| Upgrade::begin(&folder, &config.name, config.listen)).unzip();
        let offer = offer.flatten();
        let peers = config
            .peers
            .take()
            .filter(|(_, all)| core.talks() && all.len() == settings.module.front_nodes as usize);
        let peers = peers.map(|(at, all)| {
            let adopted = upgrade.as_mut().and_then(|upgrade: &mut Upgrade| upgrade.take_datagrams(at));
            let socket = adopted.map_or_else(|| datagrams(at, is_operated), Ok);
            socket.map(|socket| (socket, all))
        });
        let peers = peers.transpose().map_err(|error| invalid(format!("peer_listen: {error}")))?;
        let front = Front::new(settings.clone(), config.ogc.clone(), config.seed);
        let now = clock.now();
        net.wheel.arm(now, Due::Watch);
        net.wheel.arm(now.after(SWEEP), Due::Sweep);
        net.wheel.arm(now, Due::Look);
        if is_operated {
            net.wheel.arm(now, Due::Gauges);
        }
        let mut broker = Broker {
            settings,
            net,
            core,
            tape,
            keeper,
            backend,
            watch,
            peers,
            inventory,
            watch_at: now,
            watch_away: false,
            looked: now,
            listeners: Vec::new(),
            released: Vec::new(),
            upgrade,
            front,
            signal,
            asked,
            config,
            clients: HashMap::new(),
            most_clients,
            most_clients_alone: most_clients,
            fixed_descriptors,
            buffered: 0,
            most_buffered: memory / CLIENT_SHARE,
            again: Vec::new(),
            crowded: false,
            lifecycle: Lifecycle::default(),
            operations,
            is_operated,
            last_step: Time(0),
            commands: Vec::new(),
        };
        if let Some(offer) = offer {
            broker.take_over(now, &offer);
        }
        let bound = broker.net.clock.now();
        broker.await_list()?;
        let listed = broker.net.clock.now();
        if !broker.lifecycle.is_stopping() {
            broker.listen()?;
        }
        broker.lifecycle.started();
        if let Some(upgrade) = broker.upgrade.as_mut().filter(|_| broker.lifecycle.is_serving()) {
            upgrade.listening(&broker.net);
        }
        let ms = |from: Time, to: Time| to.since(from).as_secs_f64() * 1e3;
        let ready = broker.net.clock.now();
        broker.heed_drain(ready);
        broker.show_operators();
        let told = match broker.watch.as_ref().is_some_and(Watch::has_told) {
            true => "told",
            false if broker.core.can_serve() => "the one of old",
            false => "none: not ready",
        };
        tracing::info!(
            "started in {:.1} ms: {:.1} for settings and sockets, {:.1} for the first list ({told}), {:.1} to listen",
            ms(born, ready),
            ms(born, bound),
            ms(bound, listed),
            ms(listed, ready)
        );
        Ok(broker)
    }

    /// Waits for the first list, a moment at the most. What discovery's agent has counts as told from the process's
    /// first moment, and the list of old may call a server sound that drains or is gone: clients come after it.
    fn await_list(&mut self) -> io::Result<()> {
        let source = Source::of(&self.settings.module, self.settings.drain_grace);
        let until = self.net.clock.now().after(source.first_list());
        let waits = |broker: &Self| broker.watch.as_ref().is_some_and(|watch| !watch.has_told());
        let (mut ready, mut due) = (Vec::new(), Vec::new());
        while waits(self) && !self.lifecycle.is_stopping() && self.net.clock.now() < until {
            self.turn(&mut ready, &mut due, Some(until))?;
        }
        // What signals asked for meanwhile goes before the first client.
        self.turn(&mut ready, &mut due, Some(Time(0)))
    }

    /// Binds the listeners: clients may come.
    fn listen(&mut self) -> io::Result<()> {
        let invalid = |fault: String| io::Error::new(io::ErrorKind::InvalidInput, fault);
        let ogc = self.config.ogc.as_ref().map(|ogc| ogc.listen);
        let fronts = [(LISTEN, Some(self.config.listen), "clients"), (OGC_LISTEN, ogc, "OGC clients")];
        for (key, at, front) in fronts {
            let Some(at) = at else { continue };
            let adopted = self.upgrade.as_mut().and_then(|upgrade| upgrade.take_listener(role_of(key), at));
            let listener = adopted.map_or_else(|| listen(at, self.is_operated), Ok);
            let listener = listener.map_err(|error| invalid(format!("{at}: {error}")))?;
            self.net.poll.add(&listener, key, true, false)?;
            tracing::info!("{} listens to {front} on {}", self.config.name, listener.local_addr()?);
            self.listeners.push((key, listener));
        }
        if let Some((socket, _)) = &self.peers {
            self.net.poll.add(socket, PEERS, true, false)?;
        }
        Ok(())
    }

    /// Where it listens: to the platform's clients first.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.listeners.iter().filter_map(|(_, listener)| listener.local_addr().ok()).collect()
    }

    /// Serves until SIGTERM has come and all that was taken is answered.
    ///
    /// # Errors
    ///
    /// When the poller fails.
    pub fn run(mut self) -> io::Result<()> {
        let (mut ready, mut due) = (Vec::new(), Vec::new());
        while self.goes_on() {
            self.turn(&mut ready, &mut due, self.lifecycle.due())?;
        }
        if let Some(tape) = self.tape.take() {
            tape.close(self.net.clock.now());
        }
        Ok(())
    }

    /// Waits until anything is ready or due, or until a time, and does it.
    fn turn(&mut self, ready: &mut Vec<Ready>, due: &mut Vec<Due>, until: Option<Time>) -> io::Result<()> {
        let now = self.net.clock.now();
        let step = self.core.has_news().then(|| self.last_step.after(self.settings.module.tick));
        let wake = self.net.wheel.next().into_iter().chain(step).chain(self.core.say_at()).chain(until).min();
        let pause = if self.again.is_empty() { wake.map(|at| at.since(now)) } else { Some(Duration::ZERO) };
        self.net.poll.wait(pause, ready)?;
        let now = self.net.clock.now();
        self.lifecycle.pass(now);
        // Before any request is read: whoever has the answer to a call for a drain is told of it from then on.
        self.heed_drain(now);
        for key in std::mem::take(&mut self.again) {
            self.client_ready(now, key);
        }
        for report in ready.drain(..) {
            self.ready(now, report.key, report.readable);
        }
        self.net.wheel.expire(now, due);
        for what in due.drain(..) {
            self.due(now, what);
        }
        self.gather(now);
        if self.core.has_news() && now.since(self.last_step) >= self.settings.module.tick {
            self.step(now);
        }
        self.say(now);
        self.show_operators();
        self.looked = now;
        Ok(())
    }

    /// Whether the process goes on: it ends once it was told to and nothing is owed to anyone.
    fn goes_on(&mut self) -> bool {
        let now = self.net.clock.now();
        self.lifecycle.pass(now);
        if self.lifecycle.is_stopping() {
            let owed = self.core.open() > 0 || self.clients.values().any(Client::is_owed);
            self.lifecycle.left(now, !self.listeners.is_empty(), owed, !self.clients.is_empty());
        }
        self.lifecycle.phase() != LifePhase::Ended
    }

    fn ready(&mut self, now: Time, key: usize, readable: bool) {
        match key {
            LISTEN | OGC_LISTEN => drop(self.accept(now, key)),
            SIGNAL => self.signalled(now),
            WATCH => self.watch_ready(now),
            PEERS => self.hear(),
            RENDEZVOUS => {
                if let Some(upgrade) = &mut self.upgrade {
                    upgrade.accept(&self.net);
                }
            }
            TO_SUCCESSOR => self.successor_ready(now),
            TO_PREDECESSOR => self.predecessor_ready(),
            _ if self.backend.ready(&mut self.net, now, key, readable) => {}
            _ => self.client_ready(now, key),
        }
    }

    fn due(&mut self, now: Time, what: Due) {
        match what {
            Due::Module(timer) => self.core.timer(timer),
            Due::Deadline(query) => {
                if let Some(command) = self.core.deadline(now, query) {
                    self.carry_out(now, command);
                }
            }
            Due::TimeOut(attempt) => self.backend.give_up(now, attempt, Verdict::NoAnswer),
            Due::Latest(attempt) => self.backend.take_back(now, attempt),
            Due::Connect(key) => self.backend.connect_time_out(&self.net, key),
            Due::Stalled(key) => self.backend.stalled(&self.net, now, key),
            Due::Drained(server) if self.core.is_draining(server) => self.backend.shut(server),
            Due::Drained(_) => {}
            Due::Watch if now < self.watch_at => {}
            Due::Watch => self.tend_watch(now),
            Due::Look => {
                self.net.wheel.arm(now.after(self.backend.look_pause()), Due::Look);
                self.backend.look(&mut self.net, now);
            }
            Due::Sweep => self.sweep(now),
            // The outcomes come with the gather that follows.
            Due::Heard => {}
            Due::DrainRest => self.end_resting(now),
            Due::Gauges => self.set_gauges(now),
            Due::StopListening => self.stop_listening(now),
            Due::StopServing => self.stop_serving(now),
            Due::EndBy => self.fail_open(now),
        }
    }

    /// Tells other brokers what is due. What can't be sent now is left: the next word comes soon.
    fn say(&mut self, now: Time) {
        for (datagram, hearers) in self.core.say(now) {
            let Some((socket, all)) = &self.peers else { continue };
            for at in hearers.into_iter().filter_map(|hearer| all.get(hearer)) {
                let _ = socket.send_to(&datagram, at);
            }
        }
    }

    /// Takes what other brokers say, and nobody else: a bounded number of datagrams in one turn.
    fn hear(&mut self) {
        let Some((socket, all)) = &self.peers else { return };
        let mut bytes = [0; word::LONGEST + 1];
        for _ in 0..HEARS {
            match socket.recv_from(&mut bytes) {
                Ok((length, from)) if all.contains(&from) => self.core.told(&bytes[..length]),
                Ok(_) => {}
                Err(_) => break,
            }
        }
        let _ = self.net.poll.ask(socket, PEERS, true, false);
    }

    /// Hands what ended at the servers to the core.
    fn gather(&mut self, now: Time) {
        self.backend.flush(&mut self.net, now);
        for done in self.backend.done.drain(..) {
            match done {
                Done::Attempt(id, verdict, value, load) => self.core.outcome(now, id, verdict, value, load),
                Done::Probe(server, verdict, took, load) => self.core.probed(server, verdict, took, load),
            }
        }
    }

    fn step(&mut self, now: Time) {
        self.last_step = now;
        let mut commands = std::mem::take(&mut self.commands);
        self.core.step(now, &mut commands);
        if let Some(tape) = &mut self.tape {
            tape.take(&mut self.core);
        }
        let now = self.look_again(now);
        for command in commands.drain(..) {
            self.carry_out(now, command);
        }
        self.commands = commands;
        self.gather(now);
    }

    /// What was gathered is as old as the turn has taken. Where that is long, what has come meanwhile is taken in before
    /// anything is sent: clients that have left, servers that drain. Gives the time it is.
    fn look_again(&mut self, now: Time) -> Time {
        let later = self.net.clock.now();
        if later.since(now) < STALE {
            return now;
        }
        let mut ready = Vec::new();
        if self.net.poll.wait(Some(Duration::ZERO), &mut ready).is_ok() {
            for report in ready {
                self.ready(later, report.key, report.readable);
            }
        }
        let mut due = Vec::new();
        self.net.wheel.expire(later, &mut due);
        for what in due {
            self.due(later, what);
        }
        later
    }

    fn carry_out(&mut self, now: Time, command: Command) {
        match command {
            // Its query ended after the step that wanted it sent.
            Command::Send(send) if !self.core.waits_for(send.attempt.0) => {
                self.core.outcome(now, send.attempt, Verdict::NotSent, None, LoadReport::default());
            }
            Command::Send(send) => {
                self.net.wheel.arm(send.until, Due::TimeOut(send.attempt));
                if let Some(latest) = send.latest.filter(|latest| *latest < send.until) {
                    self.net.wheel.arm(latest, Due::Latest(send.attempt));
                }
                self.backend.send(&mut self.net, now, send);
            }
            Command::Cancel(attempt) => self.backend.give_up(now, attempt, Verdict::Cancelled),
            Command::TakeBack(attempt) => self.backend.take_back(now, attempt),
            Command::CloseIdle(server) => self.backend.close_idle(&self.net, server),
            Command::Probe(server) => self.backend.probe(&mut self.net, now, server),
            Command::Finish(ticket, last) => self.finish(now, ticket, last),
            Command::Arm(at, timer) => self.net.wheel.arm(at, Due::Module(timer)),
            Command::ArmDeadline(at, query) => self.net.wheel.arm(at, Due::Deadline(query)),
            // The watch goes on by itself.
            Command::WatchServers => {}
        }
    }

    fn finish(&mut self, now: Time, ticket: Ticket, last: Final) {
        let (key, stay) = (ticket.0 as usize, !self.lifecycle.is_closing());
        let Some(client) = self.clients.get_mut(&key) else { return };
        let Some(pending) = client.finish(now) else { return };
        let outcome = match last {
            Final::Answered { .. } => Outcome::Fulfilled,
            Final::Refused { .. } => Outcome::Throttled,
            Final::Failed => Outcome::Faulted,
        };
        self.operations.statistics().request_ended(pending.class, outcome);
        client.answer(now, self.front.answer(&pending, last), stay);
        self.serve(now, key);
    }

    /// Takes connections that wait. Gives whether there may be more.
    fn accept(&mut self, now: Time, at: usize) -> bool {
        let mut more = true;
        for accepted in 0..ACCEPTS {
            if self.clients.len() >= self.most_clients {
                // Whether another one waits is for the next report to say: nobody has to go for none.
                if accepted > 0 {
                    break;
                }
                if !self.make_room(now) {
                    self.crowded = true;
                    return false;
                }
            }
            let Some((_, listener)) = self.listeners.iter().find(|(key, _)| *key == at) else { return false };
            match listener.accept() {
                Ok((stream, _)) => {
                    let key = self.net.new_key();
                    let fit = stream.set_nonblocking(true).and_then(|()| stream.set_nodelay(true));
                    if fit.and_then(|()| self.net.poll.add(&stream, key, true, false)).is_ok() {
                        self.clients.insert(key, Client::new(stream, at, now));
                        self.client_ready(now, key);
                    }
                }
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                // Those that wait come once one has left, or with the next sweep: asked for again at once, they would
                // be reported at once, and take what discovery and servers need.
                Err(error) if is_out_of_room(&error) => {
                    self.make_room(now);
                    self.crowded = true;
                    return false;
                }
                // The client has left.
                Err(_) => {
                    more = false;
                    break;
                }
            }
        }
        self.listen_on();
        more
    }

    /// Asks for the next report of each listener.
    fn listen_on(&self) {
        for (key, listener) in &self.listeners {
            let _ = self.net.poll.ask(listener, *key, true, false);
        }
    }

    /// Closes the connection that is missed least: one that is over but for its end, or on which nothing was
    /// said for a while; the one that has been idle longest; one that does not get on with its request, which is told
    /// so, and at last one that does not take its answer.
    fn make_room(&mut self, now: Time) -> bool {
        let rank = |client: &Client<Pending>| {
            let stands = now.since(client.since());
            match client.phase() {
                Phase::Lingering => Some(0),
                Phase::Idle { fresh: true } if stands >= SILENT => Some(0),
                Phase::Idle { fresh: false } => Some(1),
                Phase::Idle { fresh: true } => Some(2),
                Phase::Reading { .. } if stands >= SLOW => Some(3),
                Phase::Answering { .. } if stands >= SLOW => Some(4),
                _ => None,
            }
        };
        loop {
            let ranked = self.clients.iter().filter_map(|(key, c)| Some((rank(c)?, c.since(), *key)));
            let Some((.., key)) = ranked.min() else { return false };
            let Some(client) = self.clients.get_mut(&key) else { return false };
            // What it has said since it was last looked at may make it one that is not to go.
            let before = client.is_idle();
            if before && client.read(now) == Fate::Open && !client.is_idle() {
                self.again.push(key);
                continue;
            }
            if matches!(client.phase(), Phase::Reading { .. }) {
                client.answer(now, Response::text(503, "no room: try again"), false);
                let _ = client.write(now);
            }
            self.drop_client(key);
            return true;
        }
    }

    fn client_ready(&mut self, now: Time, key: usize) {
        let Some(client) = self.clients.get_mut(&key) else { return };
        let fate = client.read(now);
        self.charge(key);
        match fate {
            Fate::Over => self.drop_client(key),
            Fate::Open => self.serve(now, key),
        }
    }

    /// Takes the requests that are whole, one at a time, and writes what can be written.
    fn serve(&mut self, now: Time, key: usize) {
        self.serve_turn(now, key);
        self.charge(key);
    }

    /// Counts what a client's buffer holds now.
    fn charge(&mut self, key: usize) {
        let Some(client) = self.clients.get_mut(&key) else { return };
        let held = client.held();
        self.buffered = self.buffered - std::mem::replace(&mut client.charged, held) + held;
    }

    fn serve_turn(&mut self, now: Time, key: usize) {
        let mut turn = 0;
        loop {
            let Some(client) = self.clients.get_mut(&key) else { return };
            if client.write(now) == Fate::Over {
                self.drop_client(key);
                return;
            }
            // A client that sends on without reading its answers is not taken from until it does.
            match client.has_request() {
                Ok(Whole::No) if self.buffered > self.most_buffered && client.is_greedy(MODEST) => {
                    client.answer(now, Response::text(503, "too much to hold: try again"), false);
                }
                Ok(Whole::No) => break,
                Ok(Whole::Unread) => {
                    self.again.push(key);
                    break;
                }
                Ok(Whole::Yes) if turn == TURN => {
                    self.again.push(key);
                    break;
                }
                Ok(Whole::Yes) => {
                    turn += 1;
                    self.take(now, key);
                }
                Err(error) => client.answer(now, Response::text(error.status(), error.to_string()), false),
            }
        }
        let Some(client) = self.clients.get_mut(&key) else { return };
        if self.net.poll.ask(&client.stream, key, true, client.wants_write()).is_err() {
            self.drop_client(key);
        }
    }

    /// Whether clients are to come, as `GET /up` and the control endpoint say.
    fn is_ready(&self) -> bool {
        self.core.can_serve() && self.lifecycle.is_serving()
    }

    /// Takes the request that a client's connection holds whole.
    fn take(&mut self, now: Time, key: usize) {
        // A turn may take long, and a drain holds from the answer to its call on.
        self.heed_drain(now);
        let stay = !self.lifecycle.is_closing();
        let able = self.is_ready();
        let Some(client) = self.clients.get_mut(&key) else { return };
        let (keep_alive, taken) = match client.request() {
            Ok(request) => {
                (request.keep_alive, self.front.take(client.listener == OGC_LISTEN, &request, able))
            }
            Err(error) => (false, Taken::Answered(Response::text(error.status(), error.to_string()))),
        };
        // The client's time counts from its sending, of which the first byte in is the nearest sign.
        let spent = now.since(client.begun()) + self.settings.module.on_the_way;
        client.took(keep_alive);
        let response = match taken {
            Taken::Answered(response) => response,
            Taken::Query(mut query, pending) => {
                query.left = query.left.saturating_sub(spent).min(self.lifecycle.ends_by.since(now));
                if let Some(holder) = self.core.holder(&query.name).filter(|holder| holder.0 != key as u64) {
                    // Its client may have gone and sent the request once more, on this connection.
                    self.look_at(now, holder.0 as usize);
                }
                let taken = self.core.take(now, query, Ticket(key as u64));
                let Some(client) = self.clients.get_mut(&key) else { return };
                match taken {
                    Ok(id) => {
                        client.wait(now, id, pending);
                        return;
                    }
                    Err(why) => {
                        let outcome = match why {
                            NotTaken::Full => Outcome::Throttled,
                            NotTaken::NameInUse => Outcome::Faulted,
                        };
                        self.operations.statistics().request_ended(pending.class, outcome);
                        self.front.not_taken(&pending, why)
                    }
                }
            }
        };
        if let Some(client) = self.clients.get_mut(&key) {
            client.answer(now, response, stay);
        }
    }

    /// Reads what a client has sent, and sees whether it has gone. What it holds is taken in its own turn.
    fn look_at(&mut self, now: Time, key: usize) {
        let Some(client) = self.clients.get_mut(&key) else { return };
        match client.read(now) {
            Fate::Over => self.drop_client(key),
            Fate::Open => self.again.push(key),
        }
    }

    fn drop_client(&mut self, key: usize) {
        let Some(client) = self.clients.remove(&key) else { return };
        self.net.poll.remove(&client.stream);
        self.buffered -= client.charged;
        if let Some(query) = client.query() {
            self.core.client_gone(query);
        }
        if std::mem::take(&mut self.crowded) {
            self.listen_on();
        }
    }

    fn sweep(&mut self, now: Time) {
        let pause = SWEEP.min(self.settings.connection_idle / SWEEPS).max(self.settings.module.tick);
        self.net.wheel.arm(now.after(pause), Due::Sweep);
        self.backend.sweep(&self.net, now);
        match self.inventory.as_mut().map(|inventory| inventory.reread(now)) {
            Some(Ok(Some(list))) => take_list(&mut self.core, &mut self.backend, &list, None),
            Some(Err(error)) => tracing::warn!("{error}"),
            _ => {}
        }
        self.sweep_clients(now);
        self.end_resting(now);
        // Whoever had to be left alone a moment ago may have to make room by now.
        if std::mem::take(&mut self.crowded) {
            self.listen_on();
        }
    }

    /// Ends connections that have stood as they do for too long.
    fn sweep_clients(&mut self, now: Time) {
        let longest =
            self.settings.module.classes.iter().map(|class| class.deadline).max().unwrap_or_default();
        let expired = |(key, client): (&usize, &Client<Pending>)| Some((*key, client.expired(now, longest)?));
        let expired: Vec<(usize, Expired)> = self.clients.iter().filter_map(expired).collect();
        for (key, then) in expired {
            match (then, self.clients.get_mut(&key)) {
                (Expired::Rest, _) => self.end_client(now, key),
                (Expired::Request, Some(client)) => {
                    client.answer(now, Response::text(408, "the request did not end in time"), false);
                    self.serve(now, key);
                }
                _ => self.drop_client(key),
            }
        }
        // Answers that are not taken are held too: whoever has taken nothing for longest has the least to lose.
        while self.buffered > self.most_buffered {
            let slow = |client: &&Client<Pending>| {
                matches!(client.phase(), Phase::Answering { .. }) && now.since(client.since()) >= SLOW
            };
            let slowest =
                self.clients.iter().filter(|(_, c)| slow(c)).min_by_key(|(key, c)| (c.since(), **key));
            let Some(key) = slowest.map(|(key, _)| *key) else { break };
            self.drop_client(key);
        }
    }

    /// Ends a connection that rests, unless a request has come meanwhile: that is taken.
    fn end_client(&mut self, now: Time, key: usize) {
        self.client_ready(now, key);
        if let Some(client) = self.clients.get_mut(&key).filter(|client| client.is_idle())
            && client.end(now) == Fate::Over
        {
            self.drop_client(key);
        }
    }

    fn tend_watch(&mut self, now: Time) {
        if let Some(error) = self.watch.as_ref().and_then(|watch| watch.is_over(now)) {
            self.end_watch(now, &error);
        }
        let Some(watch) = &mut self.watch else { return };
        if let Some(list) = watch.believe(now) {
            self.take_told(now, &list, None);
        }
        let Some(watch) = &mut self.watch else { return };
        match watch.connect(now) {
            Ok(true) => {
                if let Some(stream) = watch.stream() {
                    let _ = self.net.poll.add(stream, WATCH, true, true);
                }
            }
            Ok(false) => {}
            Err(error) => self.watch_failed(&error),
        }
        self.arm_watch();
    }

    fn watch_ready(&mut self, now: Time) {
        let Some(watch) = &mut self.watch else { return };
        let mut lists = Vec::new();
        let result = watch.ready(now, &mut lists);
        for Told { list, at_once } in lists {
            // It came since the loop last looked, and may have waited for that long.
            let until = self.looked.after(self.settings.drain_grace / DRAIN_PART);
            self.take_told(now, &list, Some(until).filter(|until| at_once && *until > now));
        }
        let Some(watch) = &mut self.watch else { return };
        match (result, watch.stream()) {
            (Ok(()), Some(stream)) => {
                let _ = self.net.poll.ask(stream, WATCH, true, watch.wants_write());
                self.arm_watch();
            }
            (Ok(()), None) => {}
            (Err(error), _) => self.end_watch(now, &error),
        }
    }

    /// Takes a list that discovery has told; those that drain in it may be sent to until then, if at all.
    fn take_told(&mut self, now: Time, list: &Listing, until: Option<Time>) {
        take_list(&mut self.core, &mut self.backend, list, until);
        let draining = list.members.iter().filter(|(member, _)| member.state == ServerState::Draining);
        for (member, _) in draining {
            self.net.wheel.arm(until.unwrap_or(now), Due::Drained(self.core.server_id(&member.name)));
        }
        if let Some(keeper) = &mut self.keeper {
            keeper.note(list);
        }
    }

    /// Says why a watch failed: once, and again only after one has stood meanwhile, as calls to an agent that is
    /// away follow each other closely.
    fn watch_failed(&mut self, why: &WatchError) {
        match std::mem::replace(&mut self.watch_away, true) {
            false => tracing::warn!("discovery: {why}"),
            true => tracing::debug!("discovery: {why}"),
        }
    }

    fn end_watch(&mut self, now: Time, why: &WatchError) {
        let stood = |watch: &Watch| {
            matches!(watch.phase(), crate::discovery::Phase::Open(_) | crate::discovery::Phase::List(_))
        };
        self.watch_away &= !self.watch.as_ref().is_some_and(stood);
        self.watch_failed(why);
        if let Some(stream) = self.watch.as_mut().and_then(|watch| watch.drop_link(now)) {
            self.net.poll.remove(&stream);
        }
        self.core.servers_failed();
        self.arm_watch();
    }

    fn arm_watch(&mut self) {
        let Some(watch) = &self.watch else { return };
        // Not a moment later than it is due, however often it is looked at: bytes that come again and again in the last
        // millisecond would put it off without end.
        let due = watch.due();
        if due != std::mem::replace(&mut self.watch_at, due) {
            self.net.wheel.arm(due, Due::Watch);
        }
    }

    fn signalled(&mut self, now: Time) {
        // Marks are looked at after the bytes are gone: one that comes in between wakes the loop again.
        let _ = self.signal.read(&mut [0; 16]);
        let _ = self.net.poll.ask(&self.signal, SIGNAL, true, false);
        if self.asked.reload.swap(false, Ordering::SeqCst) {
            self.reload(now);
        }
        if self.asked.stop.load(Ordering::SeqCst) {
            self.stop(now);
        }
    }

    /// Reads the configuration again, whole or not at all, and moves the watch to where it says.
    fn reload(&mut self, now: Time) {
        let config = match Config::reread() {
            Ok(config) => config,
            Err(error) => {
                tracing::warn!("not reloaded: {error}");
                return;
            }
        };
        let mut kept = config.kept_until_restart(&self.config);
        match &mut self.tape {
            Some(tape) => kept.extend(tape.reload(config.service.trace.as_ref())),
            None if config.service.trace.is_some() => kept.push("trace"),
            None => {}
        }
        if !kept.is_empty() {
            tracing::info!("reload: {} will change at the next start", kept.join(", "));
        }
        let (Some(watch), Some(address)) = (&mut self.watch, config.discovery) else { return };
        self.config.discovery = config.discovery;
        if address == watch.address() {
            return;
        }
        tracing::info!("reload: discovery is now at {address}, {} open", self.core.open());
        if let Some(keeper) = &mut self.keeper {
            keeper.moved(address);
        }
        if let Some(stream) = watch.move_to(address) {
            self.net.poll.remove(&stream);
        }
        self.tend_watch(now);
    }

    fn stop(&mut self, now: Time) {
        if !self.lifecycle.stop(now, &self.settings.module.classes) {
            return;
        }
        self.operations.set_stopping();
        tracing::info!("stopping, {} open", self.core.open());
        self.core.note("stopping");
        let (listens, serves) = (self.lifecycle.listens_until, self.lifecycle.serves_until);
        self.net.wheel.arm(listens, Due::StopListening);
        self.net.wheel.arm(serves.max(listens), Due::StopServing);
        self.net.wheel.arm(self.lifecycle.ends_by, Due::EndBy);
    }

    /// The broker has no more time: what is open gets its answer now.
    fn fail_open(&mut self, now: Time) {
        for command in self.core.fail_open() {
            self.carry_out(now, command);
        }
    }

    /// Takes those that already wait in the listener's queue, then closes it.
    fn stop_listening(&mut self, now: Time) {
        for key in [LISTEN, OGC_LISTEN] {
            while self.accept(now, key) {}
        }
        for (_, listener) in self.listeners.drain(..) {
            self.net.poll.remove(&listener);
        }
        tracing::info!("stopping, {} clients left", self.clients.len());
    }

    /// Begins or ends a drain, where operators have asked for that.
    fn heed_drain(&mut self, now: Time) {
        match self.operations.drain_requested() {
            true if self.lifecycle.drain(now) => {
                tracing::info!("draining, {} clients, {} open", self.clients.len(), self.core.open());
                self.net.wheel.arm(self.lifecycle.drain_rests_until, Due::DrainRest);
            }
            false if self.lifecycle.resume() => tracing::info!("no longer draining"),
            _ => {}
        }
    }

    /// Shows operators where the process stands.
    fn show_operators(&mut self) {
        let statistics = self.operations.statistics();
        statistics.set_open_requests(self.core.open());
        statistics.attempts_relayed(self.backend.take_relayed());
        self.operations.set_ready(self.is_ready());
    }

    /// Sets the gauges that take a look at all servers.
    fn set_gauges(&mut self, now: Time) {
        let (up, draining) = self.core.listed();
        self.operations.statistics().set_servers(up + draining, self.core.avoided().len());
        self.net.wheel.arm(now.after(GAUGES_PAUSE), Due::Gauges);
    }

    /// Ends the connections that rest, where a drain's time for them is over.
    fn end_resting(&mut self, now: Time) {
        if self.lifecycle.drain_rest(now).is_some_and(|rest| rest.is_zero()) {
            self.stop_serving(now);
        }
    }

    /// Ends the connections that are idle; the others end with their answer.
    fn stop_serving(&mut self, now: Time) {
        for key in self.clients.keys().copied().collect::<Vec<_>>() {
            self.end_client(now, key);
        }
    }
}

/// Whether nothing more can be accepted as the process, or the system, has no descriptors or memory left.
fn is_out_of_room(error: &io::Error) -> bool {
    let errors = [Errno::MFILE, Errno::NFILE, Errno::NOBUFS, Errno::NOMEM];
    errors.iter().any(|errno| error.raw_os_error() == Some(errno.raw_os_error()))
}

/// The folder that processes of one broker share, where they were given one.
fn shared_folder() -> Option<PathBuf> {
    std::env::var_os("TMPDIR").filter(|folder| !folder.is_empty()).map(PathBuf::from)
}

/// Gives a list to the core, and its addresses to the connections.
fn take_list(core: &mut Core, backend: &mut Backend, list: &Listing, until: Option<Time>) {
    let members: Vec<_> = list.members.iter().map(|(member, _)| member.clone()).collect();
    for server in core.take_list(list.whole, list.index, &members, until) {
        backend.shut(server);
    }
    let (up, draining) = core.listed();
    tracing::info!("servers: version {}, {up} up, {draining} draining", list.index);
    for (member, address) in &list.members {
        if let (crate::interface::ServerState::Up, Some(address)) = (member.state, address) {
            backend.open(core.server_id(&member.name), *address);
        }
    }
}
