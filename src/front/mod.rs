//! The fronts: each turns requests on its wire into queries, and final answers back.

pub mod ogc;
pub mod platform;

use std::sync::Arc;
use std::time::Duration;

use crate::config::ogc::Ogc;
use crate::config::settings::SiteSettings;
use crate::core::{Final, NewQuery, NotTaken};
use crate::net::http::{Request, Response};

/// What a front keeps of a request until its final answer.
#[derive(Clone, Debug, PartialEq)]
pub enum Pending {
    /// It came over the platform's protocol.
    Platform,
    /// It is a page of features.
    Ogc(ogc::Page),
}

/// What became of a request.
#[derive(Debug)]
pub enum Taken {
    /// It is answered on the spot.
    Answered(Response),
    /// It asks for a query.
    Query(NewQuery, Pending),
}

/// Both fronts over one core.
pub struct Front {
    settings: Arc<SiteSettings>,
    ogc: Option<ogc::Front>,
}

impl Front {
    /// The fronts; `run` is new with each start of each broker.
    pub fn new(settings: Arc<SiteSettings>, ogc: Option<Ogc>, run: u64) -> Self {
        Front { settings, ogc: ogc.map(|config| ogc::Front::new(config, run)) }
    }

    /// Reads a request that came to the OGC front or the platform's; `able` tells if the broker can serve.
    pub fn take(&mut self, ogc: bool, request: &Request<'_>, able: bool) -> Taken {
        let up = || {
            Taken::Answered(if able { Response::text(200, "up") } else { Response::text(503, "not ready") })
        };
        match (&mut self.ogc, ogc) {
            (Some(front), true) => match front.read(request, &self.settings) {
                Ok(ogc::Asked::Ready) => up(),
                Ok(ogc::Asked::Known(response)) => Taken::Answered(response),
                Ok(ogc::Asked::Query(query, page)) => Taken::Query(query, Pending::Ogc(page)),
                Err(exception) => Taken::Answered(exception.response()),
            },
            _ => match platform::read(request, &self.settings) {
                Ok(platform::Asked::Ready) => up(),
                Ok(platform::Asked::Query(query)) => Taken::Query(query, Pending::Platform),
                Err(response) => Taken::Answered(response),
            },
        }
    }

    /// A final answer, on the wire that the request came on.
    pub fn answer(&self, pending: &Pending, last: Final) -> Response {
        match (pending, &self.ogc) {
            (Pending::Ogc(page), Some(front)) => front.answer(page, last),
            _ => platform::answer(last),
        }
    }

    /// The answer to a request that the core did not take.
    pub fn not_taken(&self, pending: &Pending, why: NotTaken) -> Response {
        match (pending, why) {
            (Pending::Ogc(_), _) => ogc::refusal(0.0),
            (Pending::Platform, NotTaken::Full) => platform::refusal(Duration::ZERO),
            (Pending::Platform, NotTaken::NameInUse) => Response::text(409, "X-Request-ID: is in use"),
        }
    }
}
