//! The fronts: each turns requests on its wire into queries, and final answers back.

pub mod ogc;
pub mod platform;

use std::sync::Arc;

use crate::config::ogc::OgcConfig;
use crate::config::settings::SiteSettings;
use crate::core::{FinalAnswer, NewQuery, NotAccepted};
use crate::net::http::{Request, Response};

/// What is kept of a request until its final answer.
#[derive(Clone, Debug, PartialEq)]
pub struct PendingRequest {
    /// Index of its class.
    pub class: usize,
    /// The front that it came on.
    pub origin: Origin,
}

/// What a front keeps of a request until its final answer.
#[derive(Clone, Debug, PartialEq)]
pub enum Origin {
    /// It came over the platform's protocol.
    Platform,
    /// It is a page of features.
    Ogc(ogc::Page),
}

/// What became of a request.
#[derive(Debug)]
pub enum ParsedRequest {
    /// It is answered on the spot.
    Immediate(Response),
    /// It asks for a query.
    Query(NewQuery, PendingRequest),
}

impl ParsedRequest {
    fn query(query: NewQuery, origin: Origin) -> Self {
        let class = query.class;
        ParsedRequest::Query(query, PendingRequest { class, origin })
    }
}

/// Both fronts over one core.
pub struct Front {
    settings: Arc<SiteSettings>,
    ogc: Option<ogc::Front>,
}

impl Front {
    /// The fronts; `run` is new with each start of each broker.
    pub fn new(settings: Arc<SiteSettings>, ogc: Option<OgcConfig>, run: u64) -> Self {
        Front { settings, ogc: ogc.map(|config| ogc::Front::new(config, run)) }
    }

    /// Reads a request that came to the OGC front or the platform's; `able` tells if the broker can serve.
    pub fn parse(&mut self, ogc: bool, request: &Request<'_>, able: bool) -> ParsedRequest {
        let up = || {
            ParsedRequest::Immediate(if able {
                Response::text(200, "up")
            } else {
                Response::text(503, "not ready")
            })
        };
        match (&mut self.ogc, ogc) {
            (Some(front), true) => match front.parse(request, &self.settings) {
                Ok(ogc::ParsedRequest::Readiness) => up(),
                Ok(ogc::ParsedRequest::Immediate(response)) => ParsedRequest::Immediate(response),
                Ok(ogc::ParsedRequest::Query(query, page)) => ParsedRequest::query(query, Origin::Ogc(page)),
                Err(exception) => ParsedRequest::Immediate(exception.response()),
            },
            _ => match platform::parse(request, &self.settings) {
                Ok(platform::ParsedRequest::Readiness) => up(),
                Ok(platform::ParsedRequest::Query(query)) => ParsedRequest::query(query, Origin::Platform),
                Err(response) => ParsedRequest::Immediate(response),
            },
        }
    }

    /// A final answer, on the wire that the request came on.
    pub fn answer(&self, pending: &PendingRequest, last: FinalAnswer) -> Response {
        match (&pending.origin, &self.ogc) {
            (Origin::Ogc(page), Some(front)) => front.answer(page, last),
            _ => platform::answer(last),
        }
    }

    /// The answer to a request that the core did not take.
    pub fn not_accepted(&self, pending: &PendingRequest, why: NotAccepted) -> Response {
        match (&pending.origin, why) {
            (Origin::Ogc(_), NotAccepted::AtCapacity { retry_after: hold_off }) => {
                ogc::refusal(hold_off.as_secs_f64())
            }
            (Origin::Ogc(_), NotAccepted::NameInUse) => ogc::refusal(0.0),
            (Origin::Platform, NotAccepted::AtCapacity { retry_after: hold_off }) => {
                platform::refusal(hold_off)
            }
            (Origin::Platform, NotAccepted::NameInUse) => Response::text(409, "X-Request-ID: is in use"),
        }
    }
}
