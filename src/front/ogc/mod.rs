//! OGC feature queries: WFS 2.0 in key-value form over `GET`.
//!
//! A feature type stands for a class of query, and each tile block for one feature, named
//! `TYPE.BLOCK`. A request, and each page of it, is one query of the core with the class's give-up time;
//! nothing is kept between pages, whose order is that of the blocks' numbers.

mod filter;
mod kvp;
mod xml;

use std::collections::BTreeSet;
use std::fmt::Write;

use crate::config::ogc::{FeatureType, OgcConfig};
use crate::config::settings::SiteSettings;
use crate::core::{FinalAnswer, NewPart, NewQuery};
use crate::front::platform::{route_key, tenant_index};
use crate::net::http::{Request, Response};

use self::kvp::Params;

/// An exception as the specification words it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Exception {
    /// Its code.
    pub code: &'static str,
    /// The parameter at fault.
    pub locator: String,
    /// What is wrong.
    pub text: String,
    /// The status it comes with.
    pub status: u16,
}

impl Exception {
    fn new(code: &'static str, locator: &str, text: impl Into<String>) -> Self {
        let status = match code {
            "NotFound" => 404,
            "OperationNotSupported" | "OptionNotSupported" => 501,
            "NoApplicableCode" => 500,
            _ => 400,
        };
        Exception { code, locator: locator.to_owned(), text: text.into(), status }
    }

    fn invalid(locator: &str, text: impl Into<String>) -> Self {
        Exception::new("InvalidParameterValue", locator, text)
    }

    fn missing(locator: &str) -> Self {
        Exception::new("MissingParameterValue", locator, "is missing")
    }

    /// The report that carries it.
    pub fn response(&self) -> Response {
        xml::response(self.status, xml::exception_report(self))
    }
}

/// A page of features that is being queried.
#[derive(Clone, Debug, PartialEq)]
pub struct Page {
    /// Index of the feature type.
    kind: usize,
    /// Features that match on all pages.
    matched: usize,
    /// The request for the next page, if there is one.
    next: Option<String>,
}

/// What a request asks for.
#[derive(Debug)]
pub enum ParsedRequest {
    /// Whether the broker can serve.
    Readiness,
    /// What is known without asking anyone.
    Immediate(Response),
    /// A page of features.
    Query(NewQuery, Page),
}

/// The front: its configuration, and numbers for its queries.
pub struct Front {
    config: OgcConfig,
    /// Makes the names of this broker's queries differ from all others'.
    run: u64,
    queries: u64,
}

impl Front {
    /// A front; `run` is new with each start of each broker.
    pub fn new(config: OgcConfig, run: u64) -> Self {
        Front { config, run, queries: 0 }
    }

    /// Reads a request.
    ///
    /// # Errors
    ///
    /// The exception to a request that asks for nothing that is served here.
    pub fn parse(
        &mut self,
        request: &Request<'_>,
        settings: &SiteSettings,
    ) -> Result<ParsedRequest, Exception> {
        let (path, query) = request.target.split_once('?').unwrap_or((request.target, ""));
        if path == "/up" {
            return Ok(ParsedRequest::Readiness);
        }
        if request.method != "GET" {
            let text = "only key-value requests by GET are served";
            return Err(Exception::new("OperationNotSupported", "request", text));
        }
        let params = Params::parse(query)?;
        let host = request.header("Host").unwrap_or("localhost");
        let service = params.get("service").ok_or_else(|| Exception::missing("service"))?;
        if service != "WFS" {
            return Err(Exception::invalid("service", "must be WFS"));
        }
        let operation = params.get("request").ok_or_else(|| Exception::missing("request"))?;
        if operation.eq_ignore_ascii_case("GetCapabilities") {
            params.check_accepted_versions()?;
            let body = xml::capabilities(&self.config, &format!("http://{host}{path}"));
            return Ok(ParsedRequest::Immediate(xml::response(200, body)));
        }
        match operation.to_ascii_lowercase().as_str() {
            "describefeaturetype" => {
                params.check_version()?;
                Ok(ParsedRequest::Immediate(xml::response(
                    200,
                    xml::schema(&self.config, &self.types(&params)?),
                )))
            }
            "getfeature" => {
                params.check_version()?;
                let tenant = tenant_index(request, settings);
                let tenant =
                    tenant.map_err(|fault| Exception::new("NoApplicableCode", "X-Tenant-Id", fault))?;
                self.get_feature(&params, &format!("http://{host}{path}"), tenant, settings)
            }
            _ => {
                let text = format!("{operation:?} is no operation of this service");
                Err(Exception::new("OperationNotSupported", "request", text))
            }
        }
    }

    /// Index of a feature type, by its name with the prefix or without.
    fn kind(&self, name: &str, locator: &str) -> Result<usize, Exception> {
        let local = match name.split_once(':') {
            Some((prefix, local)) if prefix == self.config.prefix => local,
            Some(_) => "",
            None => name,
        };
        let found = self.config.feature_types.iter().position(|t| t.name == local);
        found.ok_or_else(|| Exception::invalid(locator, format!("{name:?} is no feature type")))
    }

    fn types(&self, params: &Params) -> Result<Vec<&FeatureType>, Exception> {
        match params.get("typenames").or(params.get("typename")) {
            None => Ok(self.config.feature_types.iter().collect()),
            Some(names) => {
                names.split(',').map(|n| Ok(&self.config.feature_types[self.kind(n, "typeNames")?])).collect()
            }
        }
    }

    fn get_feature(
        &mut self,
        params: &Params,
        url: &str,
        tenant: usize,
        settings: &SiteSettings,
    ) -> Result<ParsedRequest, Exception> {
        let (kind, blocks) = self.select(params)?;
        if params.get("outputformat").is_some_and(|format| !format.starts_with("application/gml+xml")) {
            return Err(Exception::invalid("outputFormat", "only application/gml+xml is given"));
        }
        if params.get("srsname").is_some_and(|crs| crs != self.config.crs) {
            return Err(Exception::invalid("srsName", format!("only {} is spoken", self.config.crs)));
        }
        let start = params.number("startindex")?.unwrap_or(0) as usize;
        let count =
            params.number("count")?.unwrap_or(self.config.page_size).min(self.config.page_size) as usize;
        let hits = match params.get("resulttype") {
            None => false,
            Some(kind) if kind.eq_ignore_ascii_case("results") => false,
            Some(kind) if kind.eq_ignore_ascii_case("hits") => true,
            Some(_) => return Err(Exception::invalid("resultType", "must be results or hits")),
        };
        let page: Vec<u32> = blocks.iter().copied().skip(start).take(count).collect();
        let further = start + page.len() < blocks.len() && !page.is_empty();
        let next = further.then(|| params.page_url(url, start + page.len(), count));
        let matched = blocks.len();
        let known = Page { kind, matched, next };
        if hits || page.is_empty() {
            // How many blocks match is known; nothing has to be asked for no features.
            let known = if hits { Page { next: None, ..known } } else { known };
            return Ok(ParsedRequest::Immediate(xml::response(
                200,
                xml::feature_collection(&self.config, &known, &[], false),
            )));
        }
        let feature = &self.config.feature_types[kind];
        self.queries += 1;
        let text = params.selection(&feature.name);
        let mut about = String::new();
        let _ = write!(about, "{text} {page:?}");
        let weight = 1.0 / page.len() as f64;
        let query = NewQuery {
            name: format!("ogc-{:016x}-{}", self.run, self.queries),
            class: feature.class,
            tenant,
            key: Some(route_key(&about)),
            is_retry: false,
            time_left: settings.router.classes[feature.class].deadline,
            idempotency_key: None,
            body: text,
            parts: page.iter().map(|&shard| NewPart { shard, weight, hint: None }).collect(),
        };
        Ok(ParsedRequest::Query(query, known))
    }

    /// The feature type asked for, and the blocks of all features that match.
    fn select(&self, params: &Params) -> Result<(usize, BTreeSet<u32>), Exception> {
        let given = ["resourceid", "bbox", "filter"].into_iter().filter(|name| params.get(name).is_some());
        if let [_, second, ..] = given.collect::<Vec<_>>()[..] {
            return Err(Exception::invalid(second, "only one of RESOURCEID, BBOX and FILTER may be given"));
        }
        let named = match params.get("typenames").or(params.get("typename")) {
            None => None,
            Some(names) if names.contains(',') => {
                return Err(Exception::new("OptionNotSupported", "typeNames", "joins are not served"));
            }
            Some(name) => Some(self.kind(name, "typeNames")?),
        };
        if let Some(ids) = params.get("resourceid") {
            let mut kind = named;
            let mut blocks = BTreeSet::new();
            for id in ids.split(',') {
                let (name, block) = id
                    .rsplit_once('.')
                    .and_then(|(name, block)| Some((name, block.parse::<u32>().ok()?)))
                    .ok_or_else(|| Exception::invalid("resourceId", format!("{id:?} is no feature's id")))?;
                let of = self.kind(name, "resourceId")?;
                if *kind.get_or_insert(of) != of {
                    return Err(Exception::invalid("resourceId", "must be of the one feature type"));
                }
                blocks.insert(block);
            }
            let kind = kind.ok_or_else(|| Exception::missing("typeNames"))?;
            let there = self.config.feature_types[kind].grid.blocks();
            blocks.retain(|block| there.contains(block));
            return Ok((kind, blocks));
        }
        let kind = named.ok_or_else(|| Exception::missing("typeNames"))?;
        let feature = &self.config.feature_types[kind];
        let blocks = match (params.get("bbox"), params.get("filter")) {
            (Some(text), _) => feature.grid.blocks_in(kvp::parse_bbox(text, &self.config.crs)?),
            (None, Some(text)) => filter::blocks(text, feature, &self.config.crs)?,
            (None, None) => feature.grid.blocks().collect(),
        };
        Ok((kind, blocks))
    }

    /// The answer to a page, whole or not.
    pub fn answer(&self, page: &Page, last: FinalAnswer) -> Response {
        match last {
            FinalAnswer::Answered { complete: whole, values } => {
                let features: Vec<(u32, &str)> = values
                    .iter()
                    .filter_map(|(block, value)| {
                        Some((*block, value.as_deref().filter(|v| xml::is_valid_text(v))?))
                    })
                    .collect();
                // Whatever the module marks, a page that lacks a feature is never passed off as complete.
                let partial = !whole || features.len() < values.len();
                xml::response(200, xml::feature_collection(&self.config, page, &features, partial))
            }
            FinalAnswer::Refused { retry_after: hold_off } => refusal(hold_off.as_secs_f64()),
            FinalAnswer::Failed => {
                Exception::new("NoApplicableCode", "", "the tile servers did not answer in time").response()
            }
        }
    }
}

/// A refusal: whole seconds, as HTTP has them, and never none.
pub fn refusal(seconds: f64) -> Response {
    let exception = Exception::new("NoApplicableCode", "", "refused for now: try again later");
    let mut response = xml::response(503, xml::exception_report(&exception));
    response.headers.push(("Retry-After", format!("{}", seconds.ceil().max(1.0) as u64)));
    response
}
