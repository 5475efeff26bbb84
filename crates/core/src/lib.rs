//! Decision logic of a query router in front of a sharded, replicated store.
//!
//! A front node accepts queries, each with one part for every shard it needs, and passes them to a
//! [`Router`]. The router predicts how long each part would take at each replica, does not send a part that
//! no replica can finish before the aim, and answers from the results that arrived. It does no I/O, reads no
//! clock and starts no thread: the caller passes events in and carries out the returned actions.
//!
//! ```
//! # use std::time::Duration;
//! use badgergauge_core::{Action, Class, ColdStart, Event, LoadReport, Part, PartId, Query, QueryId};
//! use badgergauge_core::{QueryNumber, RetrySafety, Router, ServerEntry, ServerId, ServerState, Settings};
//! use badgergauge_core::{ShardId, Time, Verdict};
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
//! let server = ServerEntry {
//!     server: ServerId(7),
//!     zone: 0,
//!     cell: 0,
//!     state: ServerState::Up,
//!     started: None,
//!     send_until: None,
//! };
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
//! # Requirements on the caller
//!
//! - Call [`Router::step`] once per round with all events since the last call, in order of arrival and with
//!   the parts of a query after it in the same call. Carry out the actions in order, at the time passed to
//!   the call.
//! - Use a clock that never goes back, and number a part's attempts from 0 in the order in which they are
//!   sent.
//! - Report every timer, and exactly one outcome for every attempt, even after its query has ended.
//! - Carry out [`Action::Probe`] if [`Settings::may_probe`] is set, and report one [`Event::Probed`] for each
//!   probe. A query that waits for probe results that do not arrive continues after two ticks.
#![deny(unsafe_code)]

pub mod core;
pub mod decide;
pub mod gossip;
pub mod interface;
pub mod settings;
pub mod spent_names;

pub use decide::Router;
pub use decide::snapshot::budgets::Spending;
pub use decide::snapshot::{Snapshot, SnapshotError};
pub use interface::*;
