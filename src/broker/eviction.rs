//! Closing a client's connection to make room for another one when a limit is reached.

use std::time::Duration;

use super::{Broker, SLOW_CLIENT_AFTER};
use crate::interface::Time;
use crate::net::client::{Client, ConnectionState, Phase, RequestStatus};
use crate::net::http::Response;

/// A client that has sent nothing for this long after connecting counts as silent.
const SILENT_CLIENT_AFTER: Duration = Duration::from_millis(100);
/// A client that has just connected is not evicted: its request is on its way.
const CONNECT_GRACE: Duration = Duration::from_millis(20);

/// How little the loss of a connection matters; the lowest is evicted first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum EvictionRank {
    /// It only waits for the client's close.
    Finished,
    /// Its client has never completed a request: it was silent since it connected, or its request makes no progress.
    Unproven,
    /// It is between two requests. The client sends the next one on another connection.
    Kept,
    /// A later request makes no progress.
    SlowRequest,
    /// The client does not read its response.
    SlowResponse,
    /// It connected a short time ago and has sent nothing yet.
    New,
}

/// The rank of a connection that has been in its phase for `age`; `None` if it must not be evicted.
fn eviction_rank<P>(phase: &Phase<P>, age: Duration) -> Option<EvictionRank> {
    let is_slow = age >= SLOW_CLIENT_AFTER;
    match phase {
        Phase::Lingering => Some(EvictionRank::Finished),
        Phase::Idle { first: true } if age >= SILENT_CLIENT_AFTER => Some(EvictionRank::Unproven),
        Phase::Reading { first: true } if is_slow => Some(EvictionRank::Unproven),
        Phase::Idle { first: false } => Some(EvictionRank::Kept),
        Phase::Reading { first: false } if is_slow => Some(EvictionRank::SlowRequest),
        Phase::Responding { .. } if is_slow => Some(EvictionRank::SlowResponse),
        Phase::Idle { first: true } if age >= CONNECT_GRACE => Some(EvictionRank::New),
        _ => None,
    }
}

/// Numbers of connections by what their clients have done. A group that holds half of all connections makes room for
/// those that wait; the members of smaller groups are spared for [`SLOW_CLIENT_AFTER`]. Otherwise clients that never
/// complete a request would take the connections of those that do.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Crowd {
    connections: usize,
    /// Clients that have not completed a request.
    unproven: usize,
    /// Those of them that have begun one.
    begun: usize,
}

impl Crowd {
    fn of<'a, P: 'a>(phases: impl Iterator<Item = &'a Phase<P>>) -> Self {
        let mut crowd = Crowd::default();
        for phase in phases {
            crowd.connections += 1;
            match phase {
                Phase::Idle { first: true } => crowd.unproven += 1,
                Phase::Reading { first: true } => {
                    crowd.unproven += 1;
                    crowd.begun += 1;
                }
                _ => {}
            }
        }
        crowd
    }

    /// Whether a connection that has been in its phase for `age` is spared in favour of another group.
    fn spares<P>(&self, phase: &Phase<P>, age: Duration) -> bool {
        let holds_half = |group: usize| group * 2 >= self.connections;
        age < SLOW_CLIENT_AFTER
            && match phase {
                Phase::Idle { first: false } => holds_half(self.unproven),
                Phase::Idle { first: true } => holds_half(self.begun),
                _ => false,
            }
    }
}

impl Broker {
    /// Closes the connection whose loss matters least, see [`EvictionRank`], and returns whether there was one. One with a
    /// whole request is not closed. A client whose request makes no progress gets a 503 response.
    pub(super) fn make_room(&mut self, now: Time) -> bool {
        let crowd = Crowd::of(self.clients.values().map(Client::phase));
        let mut ranked: Vec<(EvictionRank, Time, usize)> = self
            .clients
            .iter()
            .filter_map(|(key, client)| {
                let (phase, since) = (client.phase(), client.phase_since());
                let age = now.since(since);
                let rank = eviction_rank(phase, age)?;
                (!crowd.spares(phase, age)).then_some((rank, since, *key))
            })
            .collect();
        ranked.sort_unstable();
        ranked.into_iter().any(|(.., key)| self.evict(now, key))
    }

    /// Closes a connection, unless input that has arrived since the last read completes a request or starts one. Returns
    /// whether it was closed.
    fn evict(&mut self, now: Time, key: usize) -> bool {
        let Some(client) = self.clients.get_mut(&key) else { return false };
        let was_idle = client.is_idle();
        let was_reading = matches!(client.phase(), Phase::Reading { .. });
        if (was_idle || was_reading) && client.read(now) == ConnectionState::Open {
            let has_begun = was_idle && !client.is_idle();
            let has_request = was_reading
                && matches!(client.request_status(), Ok(RequestStatus::Ready | RequestStatus::InputUnread));
            if has_begun || has_request {
                self.account_buffer(key);
                self.unfinished_clients.push(key);
                return false;
            }
        }
        if matches!(client.phase(), Phase::Reading { .. }) {
            client.queue_response(now, Response::text(503, "no room: try again"), false);
            let _ = client.write(now);
        }
        self.drop_client(key);
        true
    }
}

#[cfg(test)]
mod tests;
