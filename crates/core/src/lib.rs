//! The decisions of a query router in front of a sharded, replicated store.
//!
//! A front node takes in queries, each with one part for every shard it needs, and hands them to a
//! [`Router`]. The router predicts how long each part would take at each replica, leaves a part unsent
//! when no replica can finish it before the aim, and answers from the parts that came. It does no I/O, reads no clock
//! and starts no thread: the caller tells it what happened and carries out what it says.
//!
//! ```
//! # use std::time::Duration;
//! use badgergauge_core::{Action, Class, ColdStart, Event, ServerEntry, LoadReport, Part, PartId, Query, QueryId};
//! use badgergauge_core::{QueryNumber, Router, RetrySafety, ServerId, ServerState, Settings, ShardId, Time, Verdict};
//!
//! let settings = Settings {
//!     front_nodes: 1,
//!     zone: 0,
//!     classes: vec![Class {
//!         aim: Duration::from_millis(500),
//!         deadline: Duration::from_secs(2),
//!         worth: 1.0,
//!         late_share: 0.0,
//!         retry_safety: RetrySafety::Safe,
//!         need: 1.0,
//!         floor: 1.0,
//!         partial_worth: 0.0,
//!         follow_up: 0,
//!     }],
//!     tenants: vec![],
//!     over_share_worth: 1.0,
//!     shards: 1,
//!     cells: 1,
//!     width: 1,
//!     batch: 1,
//!     call_cost: Duration::ZERO,
//!     tick: Duration::from_millis(5),
//!     max_attempts: 2,
//!     hedging: true,
//!     cancel: true,
//!     may_probe: true,
//!     reports_by_probe: false,
//!     reports_queue: true,
//!     retries_marked: true,
//!     max_retry_after: Duration::from_secs(1),
//!     list_on_request: false,
//!     cross_zone_price: 0.0,
//!     network_allowance: Duration::ZERO,
//!     handshake_price: 0.0,
//!     budget: None,
//!     cold: ColdStart {
//!         from: 0.2,
//!         warm_after: Duration::from_secs(10),
//!         fall_multiple: 3.0,
//!         window: Duration::from_secs(1),
//!     },
//! };
//! let mut router = Router::new(settings, 42)?;
//! let mut actions = Vec::new();
//!
//! let server = ServerEntry { server: ServerId(7), zone: 0, cell: 0, state: ServerState::Up, started: None, send_until: None };
//! let query = Query {
//!     id: QueryId(1),
//!     number: QueryNumber(1),
//!     class: 0,
//!     tenant: 0,
//!     key: None,
//!     is_retry: false,
//!     time_left: Duration::from_secs(2),
//! };
//! let part = Part { id: PartId(2), query: QueryNumber(1), shard: ShardId(0), weight: 1.0, hint: None };
//! router.step(
//!     Time(0),
//!     &[Event::Servers(vec![server]), Event::Query(query), Event::Part(part)],
//!     &mut actions,
//! );
//! assert!(actions.iter().any(|a| matches!(a, Action::Send { part: PartId(2), server: ServerId(7), .. })));
//! let timer = actions.iter().find_map(|a| match a {
//!     Action::SetTimer { timer, at } => Some((*timer, *at)),
//!     _ => None,
//! });
//!
//! let (timer, at) = timer.expect("an open query keeps a timer set");
//! actions.clear();
//! router.step(at, &[Event::Timer(timer)], &mut actions);
//!
//! actions.clear();
//! let served = Event::Outcome {
//!     part: PartId(2),
//!     attempt: 0,
//!     verdict: Verdict::Served,
//!     took: Duration::from_millis(60),
//!     load: LoadReport::default(),
//! };
//! router.step(Time(60_000_000), &[served], &mut actions);
//! assert!(matches!(actions[0], Action::Answer { query: QueryId(1), complete: true, .. }));
//! # Ok::<(), badgergauge_core::SettingsError>(())
//! ```
//!
//! # What the caller must do
//!
//! - Call [`Router::step`] once a round with all that happened since the last, in order of arrival, a
//!   query's parts after it in the same call; carry the actions out in order, at the time given.
//! - Give a clock that never goes back, and number a part's attempts from 0 in the order of its sends.
//! - Bring back every timer, and exactly one outcome for every attempt, after its query has ended too.
//! - Carry out [`Action::Probe`] where [`Settings::may_probe`] is set, and bring back one [`Event::Probed`]
//!   for each; without results a query that waits for them goes on after two ticks.
#![deny(unsafe_code)]

pub mod core;
pub mod decide;
pub mod gossip;
pub mod interface;
pub mod settings;

pub use decide::Router;
pub use decide::snapshot::budgets::Spending;
pub use decide::snapshot::{Snapshot, SnapshotError};
pub use interface::*;
