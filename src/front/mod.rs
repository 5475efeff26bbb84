//! Front ends. Each one parses requests of its protocol into queries and encodes the final answers as responses.

pub mod ogc;
pub mod platform;

use std::sync::Arc;

use crate::config::ogc::OgcConfig;
use crate::config::settings::SiteSettings;
use crate::core::{FinalAnswer, NewQuery, NotAccepted};
use crate::net::http::{Request, Response};

/// A request whose query is open.
#[derive(Clone, Debug, PartialEq)]
pub struct PendingRequest {
    /// Index of the query's class.
    pub class: usize,
    /// Front end that received the request.
    pub origin: Origin,
}

/// The front end that received a request, and what it needs to encode the final answer.
#[derive(Clone, Debug, PartialEq)]
pub enum Origin {
    /// The platform's protocol.
    Platform,
    /// The OGC front end; the request asked for a page of features.
    Ogc(ogc::Page),
}

/// Result of parsing a request.
#[derive(Debug)]
pub enum ParsedRequest {
    /// The response is known without a query.
    Immediate(Response),
    /// The request needs a query.
    Query(NewQuery, PendingRequest),
}

impl ParsedRequest {
    fn query(query: NewQuery, origin: Origin) -> Self {
        let class = query.class;
        ParsedRequest::Query(query, PendingRequest { class, origin })
    }
}

/// The platform's front end and the OGC front end, which share one core.
pub struct Front {
    settings: Arc<SiteSettings>,
    ogc: Option<ogc::Front>,
}

impl Front {
    /// Creates the front ends. `run_id` must be unique among all brokers and their restarts.
    pub fn new(settings: Arc<SiteSettings>, ogc: Option<OgcConfig>, run_id: u64) -> Self {
        Front { settings, ogc: ogc.map(|config| ogc::Front::new(config, run_id)) }
    }

    /// Parses a request to the OGC front end (`is_ogc`) or to the platform's. `is_ready` tells whether the broker can
    /// serve queries; it is the answer to a readiness check.
    pub fn parse(&mut self, is_ogc: bool, request: &Request<'_>, is_ready: bool) -> ParsedRequest {
        let readiness = || {
            ParsedRequest::Immediate(if is_ready {
                Response::text(200, "up")
            } else {
                Response::text(503, "not ready")
            })
        };
        match (&mut self.ogc, is_ogc) {
            (Some(front), true) => match front.parse(request, &self.settings) {
                Ok(ogc::ParsedRequest::Readiness) => readiness(),
                Ok(ogc::ParsedRequest::Immediate(response)) => ParsedRequest::Immediate(response),
                Ok(ogc::ParsedRequest::Query(query, page)) => ParsedRequest::query(query, Origin::Ogc(page)),
                Err(exception) => ParsedRequest::Immediate(exception.response()),
            },
            _ => match platform::parse(request, &self.settings) {
                Ok(platform::ParsedRequest::Readiness) => readiness(),
                Ok(platform::ParsedRequest::Query(query)) => ParsedRequest::query(query, Origin::Platform),
                Err(response) => ParsedRequest::Immediate(response),
            },
        }
    }

    /// Returns the response for a final answer, in the protocol of the request.
    pub fn answer(&self, request: &PendingRequest, answer: FinalAnswer) -> Response {
        match (&request.origin, &self.ogc) {
            (Origin::Ogc(page), Some(front)) => front.answer(page, answer),
            _ => platform::answer(answer),
        }
    }

    /// Returns the response to a request whose query the core did not accept.
    pub fn not_accepted(&self, request: &PendingRequest, reason: NotAccepted) -> Response {
        match (&request.origin, reason) {
            (Origin::Ogc(_), NotAccepted::AtCapacity { retry_after }) => {
                ogc::refusal(retry_after.as_secs_f64())
            }
            (Origin::Ogc(_), NotAccepted::NameInUse) => ogc::refusal(0.0),
            (Origin::Platform, NotAccepted::AtCapacity { retry_after }) => platform::refusal(retry_after),
            (Origin::Platform, NotAccepted::NameInUse) => {
                Response::text(409, "X-Request-ID: is in use, or a request with it may have run")
            }
        }
    }
}
