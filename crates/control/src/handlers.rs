//! Handlers of the control endpoint's requests.

use badgergauge_net::http::{Request, Response};

use crate::operations::Operations;

const READINESS: &str = "/ops/readiness";
const STATISTICS: &str = "/ops/stats";
const DRAIN_START: &str = "/ops/drain/start";
const DRAIN_STOP: &str = "/ops/drain/stop";

/// The result of handling a request.
pub struct Handled {
    /// The response to send.
    pub response: Response,
    /// Whether the request changed state that the broker's event loop has to act on.
    pub requests_change: bool,
}

/// Handles a request.
pub fn handle(request: &Request<'_>, operations: &Operations) -> Handled {
    let path = request.target.split('?').next().unwrap_or_default();
    let drain = match (path, request.method) {
        (DRAIN_START, "PUT") => Some(true),
        (DRAIN_STOP, "PUT") => Some(false),
        _ => None,
    };
    if let Some(drain) = drain {
        return request_drain(operations, drain);
    }
    let response = match (path, request.method) {
        (READINESS, "GET") if operations.is_ready() => Response::text(200, "ready"),
        (READINESS, "GET") => Response::text(503, "not ready"),
        (STATISTICS, "GET") => statistics(operations),
        (READINESS | STATISTICS, _) => method_not_allowed("GET"),
        (DRAIN_START | DRAIN_STOP, _) => method_not_allowed("PUT"),
        _ => Response::text(
            404,
            "no such call: see /ops/readiness, /ops/stats, /ops/drain/start, /ops/drain/stop",
        ),
    };
    Handled { response, requests_change: false }
}

fn request_drain(operations: &Operations, drain: bool) -> Handled {
    if !operations.request_drain(drain) {
        return Handled { response: Response::text(409, "the process is stopping"), requests_change: false };
    }
    let text = if drain { "draining" } else { "not draining" };
    Handled { response: Response::text(200, text), requests_change: true }
}

fn statistics(operations: &Operations) -> Response {
    let mut response = Response::text(200, "");
    response.body = operations.statistics().to_text().into_bytes();
    response
}

fn method_not_allowed(allowed: &str) -> Response {
    let mut response = Response::text(405, format!("only {allowed}"));
    response.headers.push(("Allow", allowed.to_owned()));
    response
}
