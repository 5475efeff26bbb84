//! Requests of clients: taken whole, one at a time on a connection, and answered.

use super::{Broker, OGC_LISTEN, SLOW};
use crate::control::Outcome;
use crate::core::{FinalAnswer, NotAccepted, ReplyId};
use crate::front::{ParsedRequest, PendingRequest};
use crate::interface::Time;
use crate::net::client::{Client, ConnectionState, Phase, RequestStatus, TimeoutAction};
use crate::net::http::Response;

/// What a client's buffer may hold while buffers together hold more than they may: an ordinary request.
const ORDINARY_REQUEST: usize = 4 * 1024;
/// Requests taken of one client in one turn.
const MAX_REQUESTS: usize = 8;

impl Broker {
    pub(super) fn client_ready(&mut self, now: Time, key: usize) {
        let Some(client) = self.clients.get_mut(&key) else { return };
        let liveness = client.read(now);
        self.charge(key);
        match liveness {
            ConnectionState::Closed => self.drop_client(key),
            ConnectionState::Open => self.serve(now, key),
        }
    }

    /// Takes the requests that are whole, one at a time, and writes what can be written.
    pub(super) fn serve(&mut self, now: Time, key: usize) {
        self.serve_turn(now, key);
        self.charge(key);
    }

    /// Counts what a client's buffer holds now.
    pub(super) fn charge(&mut self, key: usize) {
        let Some(client) = self.clients.get_mut(&key) else { return };
        let held = client.buffer_bytes();
        self.buffered = self.buffered - std::mem::replace(&mut client.accounted_bytes, held) + held;
    }

    pub(super) fn serve_turn(&mut self, now: Time, key: usize) {
        let mut turn = 0;
        loop {
            let Some(client) = self.clients.get_mut(&key) else { return };
            if client.write(now) == ConnectionState::Closed {
                self.drop_client(key);
                return;
            }
            // A client that sends on without reading its answers is not taken from until it does.
            match client.request_status() {
                Ok(RequestStatus::Incomplete)
                    if self.buffered > self.most_buffered
                        && client.has_oversized_request(ORDINARY_REQUEST) =>
                {
                    client.queue_response(now, Response::text(503, "too much to hold: try again"), false);
                }
                Ok(RequestStatus::Incomplete) => break,
                Ok(RequestStatus::InputUnread) => {
                    self.again.push(key);
                    break;
                }
                Ok(RequestStatus::Ready) if turn == MAX_REQUESTS => {
                    self.again.push(key);
                    break;
                }
                Ok(RequestStatus::Ready) => {
                    turn += 1;
                    self.take(now, key);
                }
                Err(error) => {
                    client.queue_response(now, Response::text(error.status(), error.to_string()), false)
                }
            }
        }
        let Some(client) = self.clients.get_mut(&key) else { return };
        // A report that was asked for and has not come still will.
        let write = client.wants_write();
        if client.write_interest.replace(write) != Some(write)
            && self.net.poll.rearm(&client.stream, key, true, write).is_err()
        {
            self.drop_client(key);
        }
    }

    /// Takes the request that a client's connection holds whole.
    pub(super) fn take(&mut self, now: Time, key: usize) {
        // A turn may take long, and a drain holds from the answer to its call on.
        self.heed_drain(now);
        let stay = !self.lifecycle.is_closing();
        let able = self.core.can_serve() && self.lifecycle.is_available();
        let Some(client) = self.clients.get_mut(&key) else { return };
        let (keep_alive, taken) = match client.request() {
            Ok(request) => {
                (request.keep_alive, self.front.parse(client.listener == OGC_LISTEN, &request, able))
            }
            Err(error) => {
                (false, ParsedRequest::Immediate(Response::text(error.status(), error.to_string())))
            }
        };
        // The client's time counts from its sending, of which the first byte in is the nearest sign.
        let spent = now.since(client.request_started_at()) + self.settings.router.network_allowance;
        client.consume_request(keep_alive);
        let response = match taken {
            ParsedRequest::Immediate(response) => response,
            ParsedRequest::Query(mut query, pending) => {
                query.time_left =
                    query.time_left.saturating_sub(spent).min(self.lifecycle.ends_by.since(now));
                if let Some(holder) =
                    self.core.reply_id_of(&query.name).filter(|holder| holder.0 != key as u64)
                {
                    // Its client may have gone and sent the request once more, on this connection.
                    self.look_at(now, holder.0 as usize);
                }
                let taken = self.core.accept(now, query, ReplyId(key as u64));
                let Some(client) = self.clients.get_mut(&key) else { return };
                match taken {
                    Ok(id) => {
                        client.start_query(now, id, pending);
                        return;
                    }
                    Err(why) => {
                        let outcome = match why {
                            NotAccepted::AtCapacity { .. } => Outcome::Throttled,
                            NotAccepted::NameInUse => Outcome::Faulted,
                        };
                        self.operations.statistics().request_ended(pending.class, outcome);
                        self.front.not_accepted(&pending, why)
                    }
                }
            }
        };
        if let Some(client) = self.clients.get_mut(&key) {
            client.queue_response(now, response, stay);
        }
    }

    pub(super) fn finish(&mut self, now: Time, ticket: ReplyId, last: FinalAnswer) {
        let (key, stay) = (ticket.0 as usize, !self.lifecycle.is_closing());
        let Some(client) = self.clients.get_mut(&key) else { return };
        let Some(pending) = client.finish_query(now) else { return };
        let outcome = match last {
            FinalAnswer::Answered { .. } => Outcome::Fulfilled,
            FinalAnswer::Refused { .. } => Outcome::Throttled,
            FinalAnswer::Failed => Outcome::Faulted,
        };
        self.operations.statistics().request_ended(pending.class, outcome);
        client.queue_response(now, self.front.answer(&pending, last), stay);
        self.serve(now, key);
    }

    /// Reads what a client has sent, and sees whether it has gone. What it holds is taken in its own turn.
    pub(super) fn look_at(&mut self, now: Time, key: usize) {
        let Some(client) = self.clients.get_mut(&key) else { return };
        match client.read(now) {
            ConnectionState::Closed => self.drop_client(key),
            ConnectionState::Open => self.again.push(key),
        }
    }

    pub(super) fn drop_client(&mut self, key: usize) {
        let Some(client) = self.clients.remove(&key) else { return };
        self.net.poll.remove(&client.stream);
        self.buffered -= client.accounted_bytes;
        if let Some(query) = client.query() {
            self.core.client_gone(query);
        }
        if std::mem::take(&mut self.crowded) {
            self.listen_on();
        }
    }

    /// Ends connections that have stood as they do for too long.
    pub(super) fn sweep_clients(&mut self, now: Time) {
        let longest =
            self.settings.router.classes.iter().map(|class| class.deadline).max().unwrap_or_default();
        let expired = |(key, client): (&usize, &Client<PendingRequest>)| {
            Some((*key, client.timeout_action(now, longest)?))
        };
        let expired: Vec<(usize, TimeoutAction)> = self.clients.iter().filter_map(expired).collect();
        for (key, then) in expired {
            match (then, self.clients.get_mut(&key)) {
                (TimeoutAction::CloseIdle, _) => self.end_client(now, key),
                (TimeoutAction::RejectRequest, Some(client)) => {
                    client.queue_response(now, Response::text(408, "the request did not end in time"), false);
                    self.serve(now, key);
                }
                _ => self.drop_client(key),
            }
        }
        // Answers that are not taken are held too: whoever has taken nothing for longest has the least to lose.
        while self.buffered > self.most_buffered {
            let slow = |client: &&Client<PendingRequest>| {
                matches!(client.phase(), Phase::Responding { .. }) && now.since(client.phase_since()) >= SLOW
            };
            let slowest =
                self.clients.iter().filter(|(_, c)| slow(c)).min_by_key(|(key, c)| (c.phase_since(), **key));
            let Some(key) = slowest.map(|(key, _)| *key) else { break };
            self.drop_client(key);
        }
    }

    /// Ends a connection that rests, unless a request has come meanwhile: that is taken.
    pub(super) fn end_client(&mut self, now: Time, key: usize) {
        self.client_ready(now, key);
        if let Some(client) = self.clients.get_mut(&key).filter(|client| client.is_idle())
            && client.half_close(now) == ConnectionState::Closed
        {
            self.drop_client(key);
        }
    }

    /// Ends the connections that are idle; the others end with their answer.
    pub(super) fn stop_serving(&mut self, now: Time) {
        for key in self.clients.keys().copied().collect::<Vec<_>>() {
            self.end_client(now, key);
        }
    }
}
