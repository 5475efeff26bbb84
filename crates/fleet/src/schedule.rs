//! The schedule of a run: a scenario's events expanded into single actions, in time order. No I/O; the same
//! scenario and seed give the same actions.

use std::fmt;
use std::time::Duration;

use badgergauge_standin::model;
use badgergauge_standin::world::{ListedState, WorldCommand};
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::proxy::Rule;
use crate::scenario::{Brokers, Fault, Scenario, ServerBehaviour, Signal};

/// Time for which a server that is being replaced is listed as draining before it is removed from the list;
/// its process ends after the same time again.
pub const SERVER_DRAIN_TIME: Duration = Duration::from_millis(1500);

/// A single action of the runner. Brokers and servers are given by index. `fleet check` prints the `Debug`
/// output, so variants keep their names.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Kills a broker's process with SIGKILL.
    Kill(usize),
    /// Starts a broker again.
    Start(usize),
    /// Sends a broker SIGTERM, and starts it again once it has ended.
    Restart(usize),
    /// Starts a second process of a broker, which takes over from the running one.
    Upgrade(usize),
    /// Tells a broker to drain.
    StartDrain(usize),
    /// Tells a broker to accept clients again.
    StopDrain(usize),
    /// Stops a broker's process with SIGSTOP.
    Pause(usize),
    /// Continues a broker's process with SIGCONT.
    Resume(usize),
    /// Delays some of a broker's writes from now on; `None` ends that.
    DelayWrites(usize, Option<WriteDelay>),
    /// Wipes a broker's store.
    Wipe(usize),
    /// Truncates a broker's store to half its length.
    Cut(usize),
    /// Writes a broker a configuration with another discovery address, and sends it SIGHUP.
    Reload(usize),
    /// Sends a broker SIGHUP, with its configuration unchanged.
    Hup(usize),
    /// Opens this many idle client connections to a broker.
    CrowdComes(usize, usize),
    /// Closes a broker's idle client connections.
    CrowdLeaves(usize),
    /// Sends the stand-ins a command.
    World(StandInCommand),
    /// Makes a server reachable (`true`) or unreachable (`false`) for all brokers.
    Server(usize, bool),
    /// Sets the rule of links.
    Links(Links, Rule),
    /// Resets the connections of links.
    ResetLinks(Links),
}

/// A command to the stand-ins. `fleet check` prints it through `Debug`, with its own names for the commands,
/// which stay the same when the stand-ins' variants are renamed.
#[derive(Clone, Copy, PartialEq)]
pub struct StandInCommand(pub WorldCommand);

impl fmt::Debug for StandInCommand {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut command = |name: &str, fields: &[&dyn fmt::Debug]| {
            let mut tuple = f.debug_tuple(name);
            fields.iter().for_each(|field| {
                tuple.field(field);
            });
            tuple.finish()
        };
        match &self.0 {
            WorldCommand::SetBehaviour(server, behaviour) => {
                command("Behave", &[server, &PrintedBehaviour(*behaviour)])
            }
            WorldCommand::StopServer(server) => command("Stop", &[server]),
            WorldCommand::StartServer(server) => command("Start", &[server]),
            WorldCommand::SetListed(server, state) => command("List", &[server, &PrintedState(*state)]),
            WorldCommand::DelayListUpdates(delay) => command("Late", &[delay]),
            WorldCommand::RejectCallsUntil(until) => command("TurnAwayUntil", &[until]),
            WorldCommand::StallDiscoveryUntil(until) => command("SilentUntil", &[until]),
            WorldCommand::BrokerStopped(broker) => command("BrokerGone", &[broker]),
            WorldCommand::BrokerStarted(broker) => command("BrokerStarts", &[broker]),
            WorldCommand::Shutdown => f.write_str("End"),
        }
    }
}

/// A server's behaviour under the name that `fleet check` prints.
struct PrintedBehaviour(model::Behaviour);

impl fmt::Debug for PrintedBehaviour {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.0 {
            model::Behaviour::Serve => f.write_str("Serve"),
            model::Behaviour::Fail => f.write_str("Break"),
            model::Behaviour::Reject => f.write_str("TurnAway"),
            model::Behaviour::Ignore => f.write_str("Swallow"),
            model::Behaviour::CloseConnection => f.write_str("Hang"),
            model::Behaviour::Slow(factor) => f.debug_tuple("Slow").field(&factor).finish(),
            model::Behaviour::CorruptResponse => f.write_str("Spoil"),
        }
    }
}

/// A server's state in the list under the name that `fleet check` prints.
struct PrintedState(ListedState);

impl fmt::Debug for PrintedState {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self.0 {
            ListedState::Up => "Up",
            ListedState::Draining => "Draining",
            ListedState::Removed => "Gone",
        })
    }
}

/// Delays before a broker's writes that withdraw a part.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WriteDelay {
    /// Delays every n-th of these writes.
    pub every: u64,
    /// The delay.
    pub by: Duration,
}

/// A set of the proxy's links.
#[derive(Clone, Debug, PartialEq)]
pub enum Links {
    /// All links.
    All,
    /// All brokers' links to these servers.
    Servers(Vec<usize>),
    /// Links between this zone and the others: brokers to servers and brokers to brokers.
    AcrossZone(usize),
}

/// The actions of a run, in time order.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Schedule {
    /// The actions, with their times since the clients' start.
    pub actions: Vec<(Duration, Action)>,
    /// The cells of the servers that are added during the run, in the order in which they start. Their
    /// indices follow those of the initial servers.
    pub added_servers: Vec<usize>,
}

/// The zone of a broker or a server.
pub fn zone_of(index: usize, zones: usize) -> usize {
    index % zones
}

/// Draws this share of the indices below `count`, in random order; at least one if the share is above 0.
fn sample(rng: &mut ChaCha8Rng, count: usize, share: f64) -> Vec<usize> {
    let mut indices: Vec<usize> = (0..count).collect();
    indices.shuffle(rng);
    let sampled = (count as f64 * share).round() as usize;
    indices.truncate(if share > 0.0 { sampled.max(1) } else { 0 });
    indices
}

/// The brokers that an event selects, in the order in which it affects them.
fn select_brokers(rng: &mut ChaCha8Rng, count: usize, selection: Brokers) -> Vec<usize> {
    match selection {
        // The number of brokers may have been lowered since the scenario was checked.
        Brokers::One(broker) => (broker < count).then_some(broker).into_iter().collect(),
        Brokers::Share(share) => sample(rng, count, share),
    }
}

impl Schedule {
    /// Expands a scenario.
    pub fn new(scenario: &Scenario) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(scenario.seed);
        let mut schedule = Schedule::default();
        for event in &scenario.events {
            schedule.add(scenario, event.at, &event.fault, &mut rng);
        }
        schedule.actions.sort_by_key(|(at, _)| *at);
        schedule
    }

    fn add(&mut self, scenario: &Scenario, at: Duration, fault: &Fault, rng: &mut ChaCha8Rng) {
        let (brokers, servers) = (scenario.brokers, scenario.servers);
        let mut push = |at: Duration, action: Action| self.actions.push((at, action));
        match fault {
            Fault::Kill { share, restart_delay } => {
                for broker in sample(rng, brokers, *share) {
                    push(at, Action::Kill(broker));
                    push(at + *restart_delay, Action::Start(broker));
                }
            }
            Fault::Roll { share, interval } => {
                let group = ((brokers as f64 * share).round() as usize).max(1);
                for (n, group) in sample(rng, brokers, 1.0).chunks(group).enumerate() {
                    group.iter().for_each(|broker| push(at + *interval * n as u32, Action::Restart(*broker)));
                }
            }
            Fault::Upgrade { brokers: selection, interval } => {
                for (n, broker) in select_brokers(rng, brokers, *selection).into_iter().enumerate() {
                    push(at + *interval * n as u32, Action::Upgrade(broker));
                }
            }
            Fault::Drain { brokers: selection, interval, duration } => {
                for (n, broker) in select_brokers(rng, brokers, *selection).into_iter().enumerate() {
                    let start = at + *interval * n as u32;
                    push(start, Action::StartDrain(broker));
                    push(start + *duration, Action::StopDrain(broker));
                }
            }
            Fault::Pause { share, duration } => {
                for broker in sample(rng, brokers, *share) {
                    push(at, Action::Pause(broker));
                    push(at + *duration, Action::Resume(broker));
                }
            }
            Fault::Hold { share, delay, every_nth, duration } => {
                for broker in sample(rng, brokers, *share) {
                    push(at, Action::DelayWrites(broker, Some(WriteDelay { every: *every_nth, by: *delay })));
                    push(at + *duration, Action::DelayWrites(broker, None));
                }
            }
            Fault::Stores { share, truncate } => {
                for broker in sample(rng, brokers, *share) {
                    push(at, if *truncate { Action::Cut(broker) } else { Action::Wipe(broker) });
                }
            }
            Fault::Reload => (0..brokers).for_each(|broker| push(at, Action::Reload(broker))),
            Fault::Signals { share, signals, interval } => {
                for broker in sample(rng, brokers, *share) {
                    for (n, signal) in signals.iter().enumerate() {
                        let action = match signal {
                            Signal::Hup => Action::Hup(broker),
                            Signal::Term => Action::Restart(broker),
                        };
                        push(at + *interval * n as u32, action);
                    }
                }
            }
            Fault::Crowd { share, clients, duration } => {
                for broker in sample(rng, brokers, *share) {
                    push(at, Action::CrowdComes(broker, *clients));
                    push(at + *duration, Action::CrowdLeaves(broker));
                }
            }
            Fault::LoseZone { zone, duration } => {
                let lost: Vec<usize> =
                    (0..servers).filter(|s| zone_of(*s, scenario.zones) == *zone).collect();
                push(at, Action::Links(Links::Servers(lost.clone()), Rule::cut()));
                // The servers restart while they are unreachable, so their old connections are reset when the
                // links are restored.
                lost.iter().for_each(|server| {
                    push(at + *duration, Action::World(StandInCommand(WorldCommand::StopServer(*server))))
                });
                push(at + *duration, Action::ResetLinks(Links::Servers(lost.clone())));
                lost.iter().for_each(|server| {
                    push(at + *duration, Action::World(StandInCommand(WorldCommand::StartServer(*server))))
                });
                push(at + *duration, Action::Links(Links::Servers(lost), Rule::default()));
            }
            Fault::Partition { zone, one_way, duration } => {
                let rule = Rule { cut_there: !one_way, ..Rule::cut() };
                push(at, Action::Links(Links::AcrossZone(*zone), rule));
                push(at + *duration, Action::Links(Links::AcrossZone(*zone), Rule::default()));
            }
            Fault::Replace { share, within } => {
                let old = sample(rng, servers, *share);
                let step = *within / old.len().max(1) as u32;
                for (n, server) in old.into_iter().enumerate() {
                    let (at, new) = (at + step * n as u32, servers + self.added_servers.len());
                    self.added_servers.push(server % scenario.cells);
                    let mut push = |at: Duration, action: Action| self.actions.push((at, action));
                    push(at, Action::World(StandInCommand(WorldCommand::StartServer(new))));
                    push(at, Action::Server(new, true));
                    push(at, Action::World(StandInCommand(WorldCommand::SetListed(new, ListedState::Up))));
                    push(
                        at,
                        Action::World(StandInCommand(WorldCommand::SetListed(server, ListedState::Draining))),
                    );
                    push(
                        at + SERVER_DRAIN_TIME,
                        Action::World(StandInCommand(WorldCommand::SetListed(server, ListedState::Removed))),
                    );
                    push(at + SERVER_DRAIN_TIME * 2, Action::Server(server, false));
                    push(
                        at + SERVER_DRAIN_TIME * 2,
                        Action::World(StandInCommand(WorldCommand::StopServer(server))),
                    );
                }
            }
            Fault::Servers { share, behaviour, duration } => {
                let behaviour = match behaviour {
                    ServerBehaviour::Fail => model::Behaviour::Fail,
                    ServerBehaviour::Reject => model::Behaviour::Reject,
                    ServerBehaviour::Ignore => model::Behaviour::Ignore,
                    ServerBehaviour::CloseConnection => model::Behaviour::CloseConnection,
                    ServerBehaviour::Slow => model::Behaviour::Slow(10.0),
                    ServerBehaviour::CorruptResponse => model::Behaviour::CorruptResponse,
                };
                for server in sample(rng, servers, *share) {
                    push(at, Action::World(StandInCommand(WorldCommand::SetBehaviour(server, behaviour))));
                    push(
                        at + *duration,
                        Action::World(StandInCommand(WorldCommand::SetBehaviour(
                            server,
                            model::Behaviour::Serve,
                        ))),
                    );
                }
            }
            Fault::Late { delay, duration } => {
                push(at, Action::World(StandInCommand(WorldCommand::DelayListUpdates(*delay))));
                push(
                    at + *duration,
                    Action::World(StandInCommand(WorldCommand::DelayListUpdates(Duration::ZERO))),
                );
            }
            // The stand-ins' times count from their own start, which is before the clients'; the runner adds
            // the difference.
            Fault::TurnAway { duration } => {
                push(at, Action::World(StandInCommand(WorldCommand::RejectCallsUntil(at + *duration))))
            }
            Fault::Silence { duration } => {
                push(at, Action::World(StandInCommand(WorldCommand::StallDiscoveryUntil(at + *duration))))
            }
            Fault::Network { delay, jitter, loss, reset, rate, duration } => {
                let rule = Rule {
                    delay: *delay,
                    jitter: *jitter,
                    loss: *loss,
                    reset: *reset,
                    rate: *rate,
                    ..Rule::default()
                };
                push(at, Action::Links(Links::All, rule));
                push(at + *duration, Action::Links(Links::All, Rule::default()));
            }
        }
        // Events share one random stream: this draw keeps apart the streams of neighbouring events, also of
        // those that draw nothing themselves.
        let _: u64 = rng.random();
    }

    /// Whether the schedule upgrades or drains brokers; clients must not notice either.
    pub fn is_seamless(&self) -> bool {
        let seamless = |action: &Action| matches!(action, Action::Upgrade(_) | Action::StartDrain(_));
        self.actions.iter().any(|(_, action)| seamless(action))
    }

    /// The time of the last action.
    pub fn end(&self) -> Duration {
        self.actions.last().map_or(Duration::ZERO, |(at, _)| *at)
    }
}

#[cfg(test)]
mod tests {
    use std::path::Path;

    use super::*;

    fn schedule(seed: u64, events: &str) -> Schedule {
        let text = format!(
            "brokers: 10\nservers: 12\nzones: 3\ncells: 6\nrate: 20\nseconds: 9\nseed: {seed}\nevents:\n{events}"
        );
        Schedule::new(&Scenario::read(Path::new("s"), &text).expect("valid scenario"))
    }

    #[test]
    fn the_seed_determines_the_actions() {
        let events =
            "  - {at: 1, kill: {share: 0.7, back_s: 0.5}}\n  - {at: 3, replace: {share: 0.5, within_s: 3}}\n";
        assert_eq!(schedule(7, events), schedule(7, events));
        assert_ne!(schedule(7, events).actions, schedule(8, events).actions);
        let kills = schedule(7, events)
            .actions
            .iter()
            .filter(|(_, action)| matches!(action, Action::Kill(_)))
            .count();
        assert_eq!((kills, schedule(7, events).added_servers.len()), (7, 6));
    }

    #[test]
    fn a_rolling_restart_covers_each_broker_once_in_groups() {
        let schedule = schedule(3, "  - {at: 2, roll: {share: 0.2, every_s: 0.5}}\n");
        let mut seen = [0; 10];
        for (n, (at, action)) in schedule.actions.iter().enumerate() {
            let Action::Restart(broker) = action else { panic!("{action:?}") };
            seen[*broker] += 1;
            assert_eq!(*at, Duration::from_millis(2000 + 500 * (n as u64 / 2)));
        }
        assert_eq!(seen, [1; 10]);
    }

    #[test]
    fn brokers_are_upgraded_once_each_in_turn() {
        let schedule = schedule(3, "  - {at: 2, upgrade: {share: 1, every_s: 0.5}}\n");
        let mut seen = [0; 10];
        for (n, (at, action)) in schedule.actions.iter().enumerate() {
            let Action::Upgrade(broker) = action else { panic!("{action:?}") };
            seen[*broker] += 1;
            assert_eq!(*at, Duration::from_millis(2000 + 500 * n as u64));
        }
        assert_eq!(seen, [1; 10]);
        assert!(schedule.is_seamless());
    }

    #[test]
    fn a_drain_of_a_broker_is_stopped_after_its_duration() {
        let one = schedule(3, "  - {at: 2, drain: {broker: 6, for_s: 5}}\n");
        let s = Duration::from_secs;
        assert_eq!(one.actions, [(s(2), Action::StartDrain(6)), (s(7), Action::StopDrain(6))]);
        let share = schedule(3, "  - {at: 1, drain: {share: 0.3, every_s: 1, for_s: 5}}\n");
        let mut brokers: Vec<usize> = Vec::new();
        for (at, action) in &share.actions {
            if let Action::StartDrain(broker) = action {
                assert_eq!(*at, s(1 + brokers.len() as u64));
                assert!(share.actions.contains(&(*at + s(5), Action::StopDrain(*broker))));
                brokers.push(*broker);
            }
        }
        assert_eq!((brokers.len(), share.actions.len()), (3, 6));
        assert!(one.is_seamless() && share.is_seamless());
        assert!(!schedule(3, "  - {at: 2, roll: {share: 1, every_s: 1}}\n").is_seamless());
    }

    #[test]
    fn pauses_and_kills_of_all_brokers_are_ended_by_resumes_and_starts() {
        let schedule = schedule(
            3,
            "  - {at: 2, pause: {share: 1, for_s: 1}}\n  - {at: 5, kill: {share: 1, back_s: 1}}\n",
        );
        let s = Duration::from_secs;
        let of_broker_4 = [
            (s(2), Action::Pause(4)),
            (s(3), Action::Resume(4)),
            (s(5), Action::Kill(4)),
            (s(6), Action::Start(4)),
        ];
        assert!(of_broker_4.iter().all(|action| schedule.actions.contains(action)));
        assert_eq!(schedule.actions.len(), 10 * of_broker_4.len());
        assert_eq!(schedule.end(), s(6));
    }

    // `fleet check` prints commands to the stand-ins under these names, whatever the stand-ins call them.
    #[test]
    fn commands_to_the_stand_ins_are_printed_under_fixed_names() {
        use model::Behaviour;
        let s = Duration::from_secs(1);
        let printed = [
            (WorldCommand::SetBehaviour(1, Behaviour::Serve), "World(Behave(1, Serve))"),
            (WorldCommand::SetBehaviour(1, Behaviour::Fail), "World(Behave(1, Break))"),
            (WorldCommand::SetBehaviour(1, Behaviour::Reject), "World(Behave(1, TurnAway))"),
            (WorldCommand::SetBehaviour(1, Behaviour::Ignore), "World(Behave(1, Swallow))"),
            (WorldCommand::SetBehaviour(1, Behaviour::CloseConnection), "World(Behave(1, Hang))"),
            (WorldCommand::SetBehaviour(1, Behaviour::Slow(10.0)), "World(Behave(1, Slow(10.0)))"),
            (WorldCommand::SetBehaviour(1, Behaviour::CorruptResponse), "World(Behave(1, Spoil))"),
            (WorldCommand::StopServer(2), "World(Stop(2))"),
            (WorldCommand::StartServer(2), "World(Start(2))"),
            (WorldCommand::SetListed(2, ListedState::Up), "World(List(2, Up))"),
            (WorldCommand::SetListed(2, ListedState::Draining), "World(List(2, Draining))"),
            (WorldCommand::SetListed(2, ListedState::Removed), "World(List(2, Gone))"),
            (WorldCommand::DelayListUpdates(s), "World(Late(1s))"),
            (WorldCommand::RejectCallsUntil(s), "World(TurnAwayUntil(1s))"),
            (WorldCommand::StallDiscoveryUntil(s), "World(SilentUntil(1s))"),
            (WorldCommand::BrokerStopped(3), "World(BrokerGone(3))"),
            (WorldCommand::BrokerStarted(3), "World(BrokerStarts(3))"),
            (WorldCommand::Shutdown, "World(End)"),
        ];
        for (command, text) in printed {
            assert_eq!(format!("{:?}", Action::World(StandInCommand(command))), text);
        }
    }
}
