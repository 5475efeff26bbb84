//! Client requests: each is read completely, one at a time per connection, and answered.

use super::{Broker, OGC_LISTENER_KEY, SLOW_CLIENT_AFTER};
use crate::control::Outcome;
use crate::core::{FinalAnswer, NotAccepted, ReplyId};
use crate::front::{ParsedRequest, PendingRequest};
use crate::interface::Time;
use crate::net::client::{Client, ConnectionState, Phase, RequestStatus, TimeoutAction};
use crate::net::http::Response;

/// Size of an ordinary request in bytes. While all buffers together exceed their limit, a client with a
/// larger incomplete request is rejected.
const ORDINARY_REQUEST_BYTES: usize = 4 * 1024;
/// Requests taken from one client per iteration, so that other clients get their turn.
const MAX_REQUESTS_PER_ITERATION: usize = 8;

impl Broker {
    pub(super) fn client_ready(&mut self, now: Time, key: usize) {
        let Some(client) = self.clients.get_mut(&key) else { return };
        let state = client.read(now);
        self.account_buffer(key);
        match state {
            ConnectionState::Closed => self.drop_client(key),
            ConnectionState::Open => self.serve(now, key),
        }
    }

    /// Accepts complete requests, one at a time, and writes pending responses.
    pub(super) fn serve(&mut self, now: Time, key: usize) {
        self.serve_requests(now, key);
        self.account_buffer(key);
    }

    /// Updates the total buffer size for a client.
    pub(super) fn account_buffer(&mut self, key: usize) {
        let Some(client) = self.clients.get_mut(&key) else { return };
        let buffer_bytes = client.buffer_bytes();
        self.buffered_bytes =
            self.buffered_bytes - std::mem::replace(&mut client.accounted_bytes, buffer_bytes) + buffer_bytes;
    }

    pub(super) fn serve_requests(&mut self, now: Time, key: usize) {
        let mut accepted = 0;
        loop {
            let Some(client) = self.clients.get_mut(&key) else { return };
            if client.write(now) == ConnectionState::Closed {
                self.drop_client(key);
                return;
            }
            // No requests are taken from a client that keeps sending without reading its responses.
            match client.request_status() {
                Ok(RequestStatus::Incomplete)
                    if self.buffered_bytes > self.max_buffered_bytes
                        && client.has_oversized_request(ORDINARY_REQUEST_BYTES) =>
                {
                    client.queue_response(now, Response::text(503, "too much to hold: try again"), false);
                }
                Ok(RequestStatus::Incomplete) => break,
                Ok(RequestStatus::InputUnread) => {
                    self.unfinished_clients.push(key);
                    break;
                }
                Ok(RequestStatus::Ready) if accepted == MAX_REQUESTS_PER_ITERATION => {
                    self.unfinished_clients.push(key);
                    break;
                }
                Ok(RequestStatus::Ready) => {
                    accepted += 1;
                    self.take_request(now, key);
                }
                Err(error) => {
                    client.queue_response(now, Response::text(error.status(), error.to_string()), false)
                }
            }
        }
        let Some(client) = self.clients.get_mut(&key) else { return };
        // With unchanged interest, the report that was asked for before is still due, so no rearm is needed.
        let write = client.wants_write();
        if client.write_interest.replace(write) != Some(write)
            && self.net.poll.rearm(&client.stream, key, true, write).is_err()
        {
            self.drop_client(key);
        }
    }

    /// Takes the complete request from a client's connection and starts its query or responds.
    pub(super) fn take_request(&mut self, now: Time, key: usize) {
        // An iteration may take long, and a drain applies from the response to the operator's call on.
        self.apply_drain_request(now);
        let keep_open = !self.lifecycle.is_closing();
        let can_serve = self.core.can_serve() && self.lifecycle.is_available();
        let Some(client) = self.clients.get_mut(&key) else { return };
        let (keep_alive, taken) = match client.request() {
            Ok(request) => (
                request.keep_alive,
                self.front.parse(client.listener == OGC_LISTENER_KEY, &request, can_serve),
            ),
            Err(error) => {
                (false, ParsedRequest::Immediate(Response::text(error.status(), error.to_string())))
            }
        };
        // The time limit counts from when the client sent the request; the first byte received is the best
        // estimate.
        let spent = now.since(client.request_started_at()) + self.settings.router.network_allowance;
        client.consume_request(keep_alive);
        let response = match taken {
            ParsedRequest::Immediate(response) => response,
            ParsedRequest::Query(mut query, pending) => {
                query.time_left =
                    query.time_left.saturating_sub(spent).min(self.lifecycle.shutdown_deadline.since(now));
                if let Some(earlier) =
                    self.core.reply_id_of(&query.name).filter(|earlier| earlier.0 != key as u64)
                {
                    // The earlier client may have disconnected and retried the request on this connection.
                    self.read_client(now, earlier.0 as usize);
                }
                let accepted = self.core.accept(now, query, ReplyId(key as u64));
                let Some(client) = self.clients.get_mut(&key) else { return };
                match accepted {
                    Ok(id) => {
                        client.start_query(now, id, pending);
                        return;
                    }
                    Err(reason) => {
                        let outcome = match reason {
                            NotAccepted::AtCapacity { .. } => Outcome::Throttled,
                            NotAccepted::NameInUse => Outcome::Faulted,
                        };
                        self.operations.statistics().request_ended(pending.class, outcome);
                        self.front.not_accepted(&pending, reason)
                    }
                }
            }
        };
        if let Some(client) = self.clients.get_mut(&key) {
            client.queue_response(now, response, keep_open);
        }
    }

    pub(super) fn finish_query(&mut self, now: Time, reply: ReplyId, answer: FinalAnswer) {
        let (key, keep_open) = (reply.0 as usize, !self.lifecycle.is_closing());
        let Some(client) = self.clients.get_mut(&key) else { return };
        let Some(pending) = client.finish_query(now) else { return };
        let outcome = match answer {
            FinalAnswer::Answered { .. } => Outcome::Fulfilled,
            FinalAnswer::Refused { .. } => Outcome::Throttled,
            FinalAnswer::Failed => Outcome::Faulted,
        };
        self.operations.statistics().request_ended(pending.class, outcome);
        client.queue_response(now, self.front.answer(&pending, answer), keep_open);
        self.serve(now, key);
    }

    /// Reads a client's input and detects whether it has disconnected. Requests in the input are taken in the
    /// next iteration.
    pub(super) fn read_client(&mut self, now: Time, key: usize) {
        let Some(client) = self.clients.get_mut(&key) else { return };
        match client.read(now) {
            ConnectionState::Closed => self.drop_client(key),
            ConnectionState::Open => self.unfinished_clients.push(key),
        }
    }

    pub(super) fn drop_client(&mut self, key: usize) {
        let Some(client) = self.clients.remove(&key) else { return };
        self.net.poll.remove(&client.stream);
        self.buffered_bytes -= client.accounted_bytes;
        if let Some(query) = client.query() {
            self.core.client_gone(query);
        }
        self.end_accept_pause();
    }

    /// Closes connections that have exceeded the time limit of their phase.
    pub(super) fn sweep_clients(&mut self, now: Time) {
        let longest_deadline =
            self.settings.router.classes.iter().map(|class| class.deadline).max().unwrap_or_default();
        let expired = |(key, client): (&usize, &Client<PendingRequest>)| {
            Some((*key, client.timeout_action(now, longest_deadline)?))
        };
        let expired: Vec<(usize, TimeoutAction)> = self.clients.iter().filter_map(expired).collect();
        for (key, action) in expired {
            match (action, self.clients.get_mut(&key)) {
                (TimeoutAction::CloseIdle, _) => self.close_if_idle(now, key),
                (TimeoutAction::RejectRequest, Some(client)) => {
                    client.queue_response(now, Response::text(408, "the request did not end in time"), false);
                    self.serve(now, key);
                }
                _ => self.drop_client(key),
            }
        }
        // Unread responses occupy memory too: the clients that have read nothing for the longest time are
        // closed first.
        while self.buffered_bytes > self.max_buffered_bytes {
            let slow = |client: &&Client<PendingRequest>| {
                matches!(client.phase(), Phase::Responding { .. })
                    && now.since(client.phase_since()) >= SLOW_CLIENT_AFTER
            };
            let slowest =
                self.clients.iter().filter(|(_, c)| slow(c)).min_by_key(|(key, c)| (c.phase_since(), **key));
            let Some(key) = slowest.map(|(key, _)| *key) else { break };
            self.drop_client(key);
        }
    }

    /// Closes an idle connection, unless a request has just arrived: that is served.
    pub(super) fn close_if_idle(&mut self, now: Time, key: usize) {
        self.client_ready(now, key);
        if let Some(client) = self.clients.get_mut(&key).filter(|client| client.is_idle())
            && client.half_close(now) == ConnectionState::Closed
        {
            self.drop_client(key);
        }
    }

    /// Closes idle connections; the others are closed after their response.
    pub(super) fn close_idle_clients(&mut self, now: Time) {
        for key in self.clients.keys().copied().collect::<Vec<_>>() {
            self.close_if_idle(now, key);
        }
    }
}
