//! Front end for OGC feature queries: WFS 2.0 with key-value parameters (KVP) over `GET`.
//!
//! A feature type corresponds to a class of query, and each tile block to one feature, whose id is
//! `TYPE.BLOCK`. Each page of a request is one query of the core, with the deadline of the class. Features are in
//! the order of their blocks' numbers, so no state is kept between pages.

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

/// An exception as defined by the specification (OWS Common).
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Exception {
    /// Exception code.
    pub code: &'static str,
    /// Name of the invalid parameter; empty if there is none.
    pub locator: String,
    /// Description of what is wrong.
    pub text: String,
    /// HTTP status of the response.
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

    /// Returns the response with the exception report.
    pub fn response(&self) -> Response {
        xml::response(self.status, xml::exception_report(self))
    }
}

/// A requested page of features.
#[derive(Clone, Debug, PartialEq)]
pub struct Page {
    /// Index of the feature type.
    feature_type: usize,
    /// Number of features that match, on all pages together.
    matched: usize,
    /// URL of the next page, if there is one.
    next: Option<String>,
}

/// Result of parsing a valid request.
#[derive(Debug)]
pub enum ParsedRequest {
    /// A readiness check.
    Readiness,
    /// The response is known without a query.
    Immediate(Response),
    /// A query for a page of features.
    Query(NewQuery, Page),
}

/// The OGC front end.
pub struct Front {
    config: OgcConfig,
    /// Part of the query names, which makes them unique among all brokers and their restarts.
    run_id: u64,
    /// Number of queries so far; also part of the query names.
    queries: u64,
}

impl Front {
    /// Creates the front end. `run_id` must be unique among all brokers and their restarts.
    pub fn new(config: OgcConfig, run_id: u64) -> Self {
        Front { config, run_id, queries: 0 }
    }

    /// Parses a request.
    ///
    /// # Errors
    ///
    /// Returns the exception for an invalid or unsupported request.
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
                    xml::schema(&self.config, &self.requested_types(&params)?),
                )))
            }
            "getfeature" => {
                params.check_version()?;
                let tenant = tenant_index(request, settings);
                let tenant =
                    tenant.map_err(|problem| Exception::new("NoApplicableCode", "X-Tenant-Id", problem))?;
                self.get_feature(&params, &format!("http://{host}{path}"), tenant, settings)
            }
            _ => {
                let text = format!("{operation:?} is no operation of this service");
                Err(Exception::new("OperationNotSupported", "request", text))
            }
        }
    }

    /// Returns the index of a feature type by its name, with or without the prefix.
    fn type_index(&self, name: &str, locator: &str) -> Result<usize, Exception> {
        let local = match name.split_once(':') {
            Some((prefix, local)) if prefix == self.config.prefix => local,
            Some(_) => "",
            None => name,
        };
        let found = self.config.feature_types.iter().position(|t| t.name == local);
        found.ok_or_else(|| Exception::invalid(locator, format!("{name:?} is no feature type")))
    }

    fn requested_types(&self, params: &Params) -> Result<Vec<&FeatureType>, Exception> {
        match params.get("typenames").or(params.get("typename")) {
            None => Ok(self.config.feature_types.iter().collect()),
            Some(names) => names
                .split(',')
                .map(|n| Ok(&self.config.feature_types[self.type_index(n, "typeNames")?]))
                .collect(),
        }
    }

    fn get_feature(
        &mut self,
        params: &Params,
        url: &str,
        tenant: usize,
        settings: &SiteSettings,
    ) -> Result<ParsedRequest, Exception> {
        let (feature_type, blocks) = self.select(params)?;
        if params.get("outputformat").is_some_and(|format| !format.starts_with("application/gml+xml")) {
            return Err(Exception::invalid("outputFormat", "only application/gml+xml is given"));
        }
        if params.get("srsname").is_some_and(|crs| crs != self.config.crs) {
            return Err(Exception::invalid("srsName", format!("only {} is spoken", self.config.crs)));
        }
        let start = params.number("startindex")?.unwrap_or(0) as usize;
        let count =
            params.number("count")?.unwrap_or(self.config.page_size).min(self.config.page_size) as usize;
        let hits_only = match params.get("resulttype") {
            None => false,
            Some(value) if value.eq_ignore_ascii_case("results") => false,
            Some(value) if value.eq_ignore_ascii_case("hits") => true,
            Some(_) => return Err(Exception::invalid("resultType", "must be results or hits")),
        };
        let page_blocks: Vec<u32> = blocks.iter().copied().skip(start).take(count).collect();
        let has_next = start + page_blocks.len() < blocks.len() && !page_blocks.is_empty();
        let next = has_next.then(|| params.page_url(url, start + page_blocks.len(), count));
        let matched = blocks.len();
        let page = Page { feature_type, matched, next };
        if hits_only || page_blocks.is_empty() {
            // The number of matching blocks is known, so a response without features needs no query.
            let page = if hits_only { Page { next: None, ..page } } else { page };
            return Ok(ParsedRequest::Immediate(xml::response(
                200,
                xml::feature_collection(&self.config, &page, &[], false),
            )));
        }
        let feature = &self.config.feature_types[feature_type];
        self.queries += 1;
        let body = params.selection(&feature.name);
        let mut key_text = String::new();
        let _ = write!(key_text, "{body} {page_blocks:?}");
        let weight = 1.0 / page_blocks.len() as f64;
        let query = NewQuery {
            name: format!("ogc-{:016x}-{}", self.run_id, self.queries),
            class: feature.class,
            tenant,
            key: Some(route_key(&key_text)),
            is_retry: false,
            time_left: settings.router.classes[feature.class].deadline,
            idempotency_key: None,
            body,
            parts: page_blocks.iter().map(|&shard| NewPart { shard, weight, hint: None }).collect(),
        };
        Ok(ParsedRequest::Query(query, page))
    }

    /// Returns the index of the requested feature type and the blocks of all matching features.
    fn select(&self, params: &Params) -> Result<(usize, BTreeSet<u32>), Exception> {
        let selectors =
            ["resourceid", "bbox", "filter"].into_iter().filter(|name| params.get(name).is_some());
        if let [_, second, ..] = selectors.collect::<Vec<_>>()[..] {
            return Err(Exception::invalid(second, "only one of RESOURCEID, BBOX and FILTER may be given"));
        }
        let named = match params.get("typenames").or(params.get("typename")) {
            None => None,
            Some(names) if names.contains(',') => {
                return Err(Exception::new("OptionNotSupported", "typeNames", "joins are not served"));
            }
            Some(name) => Some(self.type_index(name, "typeNames")?),
        };
        if let Some(ids) = params.get("resourceid") {
            let mut feature_type = named;
            let mut blocks = BTreeSet::new();
            for id in ids.split(',') {
                let (name, block) = id
                    .rsplit_once('.')
                    .and_then(|(name, block)| Some((name, block.parse::<u32>().ok()?)))
                    .ok_or_else(|| Exception::invalid("resourceId", format!("{id:?} is no feature's id")))?;
                let id_type = self.type_index(name, "resourceId")?;
                if *feature_type.get_or_insert(id_type) != id_type {
                    return Err(Exception::invalid("resourceId", "must be of the one feature type"));
                }
                blocks.insert(block);
            }
            let feature_type = feature_type.ok_or_else(|| Exception::missing("typeNames"))?;
            let existing = self.config.feature_types[feature_type].grid.blocks();
            blocks.retain(|block| existing.contains(block));
            return Ok((feature_type, blocks));
        }
        let feature_type = named.ok_or_else(|| Exception::missing("typeNames"))?;
        let feature = &self.config.feature_types[feature_type];
        let blocks = match (params.get("bbox"), params.get("filter")) {
            (Some(text), _) => feature.grid.blocks_in(kvp::parse_bbox(text, &self.config.crs)?),
            (None, Some(text)) => filter::blocks(text, feature, &self.config.crs)?,
            (None, None) => feature.grid.blocks().collect(),
        };
        Ok((feature_type, blocks))
    }

    /// Returns the response with a page of features, complete or partial, or with an exception.
    pub fn answer(&self, page: &Page, answer: FinalAnswer) -> Response {
        match answer {
            FinalAnswer::Answered { complete, values } => {
                let features: Vec<(u32, &str)> = values
                    .iter()
                    .filter_map(|(block, value)| {
                        Some((*block, value.as_deref().filter(|v| xml::is_valid_text(v))?))
                    })
                    .collect();
                // A page that lacks a feature is partial, even if the core marks the answer as complete: a value that
                // is not valid XML text is left out above.
                let partial = !complete || features.len() < values.len();
                xml::response(200, xml::feature_collection(&self.config, page, &features, partial))
            }
            FinalAnswer::Refused { retry_after } => refusal(retry_after.as_secs_f64()),
            FinalAnswer::Failed => {
                Exception::new("NoApplicableCode", "", "the tile servers did not answer in time").response()
            }
        }
    }
}

/// Returns the response to a refused query. `Retry-After` is in whole seconds, as HTTP requires, and at least 1.
pub fn refusal(retry_after_seconds: f64) -> Response {
    let exception = Exception::new("NoApplicableCode", "", "refused for now: try again later");
    let mut response = xml::response(503, xml::exception_report(&exception));
    response.headers.push(("Retry-After", format!("{}", retry_after_seconds.ceil().max(1.0) as u64)));
    response
}
