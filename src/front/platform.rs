//! Front end for the platform's protocol: queries as JSON over HTTP.

use std::collections::HashSet;
use std::time::Duration;

use serde::Deserialize;

use crate::backend::is_keyed;
use crate::config::settings::SiteSettings;
use crate::core::{FinalAnswer, NewPart, NewQuery};
use crate::net::http::{Request, Response};

/// Maximum difference of the sum of a query's weights from 1.
const WEIGHT_TOLERANCE: f64 = 0.001;
/// Maximum length of a request id or idempotency key, in bytes.
const MAX_TOKEN_BYTES: usize = 128;
/// Maximum duration that a request may state, in seconds; longer ones are reduced to it.
const MAX_DURATION_SECONDS: f64 = 1e6;
/// Offset basis of the 64-bit FNV-1a hash.
const FNV_OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
/// Prime of the 64-bit FNV-1a hash.
const FNV_PRIME: u64 = 0x0100_0000_01b3;

/// Result of parsing a valid request.
#[derive(Debug)]
pub enum ParsedRequest {
    /// A readiness check.
    Readiness,
    /// A query.
    Query(NewQuery),
}

#[derive(Deserialize)]
struct Body {
    tablets: Vec<Tablet>,
    statement: String,
}

#[derive(Deserialize)]
struct Tablet {
    tablet: u32,
    fraction: f64,
    /// Hint of its work, in microseconds. Any JSON value is accepted and an invalid one is ignored, since the hint
    /// is only an estimate.
    #[serde(default)]
    guess: serde_json::Value,
}

impl Tablet {
    /// Returns the hint of its work; `None` if there is no valid one.
    fn hint(&self) -> Option<Duration> {
        let micros = self.guess.as_f64().filter(|guess| guess.is_finite() && *guess > 0.0)?;
        Some(Duration::from_nanos((micros * 1e3) as u64))
    }
}

/// Parses a request.
///
/// # Errors
///
/// Returns the response to an invalid request.
pub fn parse(request: &Request<'_>, settings: &SiteSettings) -> Result<ParsedRequest, Response> {
    let bad_request = |problem: &str| Response::text(400, problem);
    let path = request.target.split('?').next().unwrap_or("");
    let class_name = path.trim_start_matches('/').split('/').next().unwrap_or("");
    if path == "/up" {
        return match request.method {
            "GET" => Ok(ParsedRequest::Readiness),
            _ => Err(Response::text(405, "only GET")),
        };
    }
    let class = settings.classes.iter().position(|class| class == class_name);
    let class = class.ok_or_else(|| Response::text(404, "no such class"))?;
    if request.method != "POST" {
        return Err(Response::text(405, "only POST"));
    }
    let name =
        token_header(request, "X-Request-ID").ok_or_else(|| bad_request("X-Request-ID: bad or missing"))?;
    let time_left = request
        .header("X-Timeout")
        .and_then(parse_duration)
        .ok_or_else(|| bad_request("X-Timeout: bad or missing"))?;
    let rules = &settings.router.classes[class];
    let idempotency_key = if is_keyed(rules.retry_safety) {
        Some(
            token_header(request, "Idempotency-Key")
                .ok_or_else(|| bad_request("Idempotency-Key: bad or missing"))?,
        )
    } else {
        None
    };
    let body: Body =
        serde_json::from_slice(request.body).map_err(|error| bad_request(&format!("body: {error}")))?;
    let parts: Vec<NewPart> = body
        .tablets
        .iter()
        .map(|t| NewPart { shard: t.tablet, weight: t.fraction, hint: t.hint() })
        .collect();
    let mut shards = HashSet::new();
    let is_valid = |part: &NewPart| {
        part.shard < settings.router.shards && (0.0..=1.0 + WEIGHT_TOLERANCE).contains(&part.weight)
    };
    if parts.is_empty() || !parts.iter().all(|part| is_valid(part) && shards.insert(part.shard)) {
        return Err(bad_request("tablets: each must be a tablet there is, once, with its fraction"));
    }
    if (parts.iter().map(|part| part.weight).sum::<f64>() - 1.0).abs() > WEIGHT_TOLERANCE {
        return Err(bad_request("tablets: the fractions must add up to 1"));
    }
    Ok(ParsedRequest::Query(NewQuery {
        name,
        class,
        tenant: tenant_index(request, settings).map_err(|problem| bad_request(&problem))?,
        key: request.header("X-Route-Key").map(route_key),
        is_retry: request.header("X-Retried") == Some("1"),
        time_left: time_left.min(rules.deadline),
        idempotency_key,
        body: body.statement,
        parts,
    }))
}

/// Returns the index of the tenant that a request belongs to; 0 if the settings name no tenants. If they do, every
/// request must name one of them: a request without a tenant would use up another tenant's share.
///
/// # Errors
///
/// Describes what is wrong with the header.
pub fn tenant_index(request: &Request<'_>, settings: &SiteSettings) -> Result<usize, String> {
    if settings.tenants.is_empty() {
        return Ok(0);
    }
    let named =
        request.header("X-Tenant-Id").ok_or("X-Tenant-Id: is missing, and here each query has one")?;
    let index = settings.tenants.iter().position(|tenant| tenant == named);
    index.ok_or_else(|| "X-Tenant-Id: no such tenant".to_owned())
}

/// Returns a header's value that is valid as a field of a frame to a tile server: it must not contain the
/// separators of the frame format, which are spaces, commas and line ends. `None` if it is missing or invalid.
fn token_header(request: &Request<'_>, header: &str) -> Option<String> {
    let token = request.header(header)?;
    let is_allowed = |byte: u8| byte.is_ascii_graphic() && byte != b',';
    (!token.is_empty() && token.len() <= MAX_TOKEN_BYTES && token.bytes().all(is_allowed))
        .then(|| token.to_owned())
}

/// Parses a number with its unit: `m` for milliseconds, `u` for microseconds.
fn parse_duration(text: &str) -> Option<Duration> {
    let (number, unit) = text.split_at_checked(text.len().checked_sub(1)?)?;
    let unit = match unit {
        "m" => 1e-3,
        "u" => 1e-6,
        _ => return None,
    };
    let seconds = number.parse::<f64>().ok().filter(|n| n.is_finite() && *n >= 0.0)? * unit;
    Some(Duration::from_secs_f64(seconds.min(MAX_DURATION_SECONDS)))
}

/// Maps a route key to a number: the value of a hexadecimal number, otherwise the FNV-1a hash of the text. Equal keys
/// give equal numbers.
pub fn route_key(text: &str) -> u64 {
    u64::from_str_radix(text, 16).unwrap_or_else(|_| {
        text.bytes().fold(FNV_OFFSET_BASIS, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME))
    })
}

/// Returns the response for a final answer.
pub fn answer(answer: FinalAnswer) -> Response {
    match answer {
        FinalAnswer::Answered { complete, values } => {
            let mut body = format!("{{\"full\":{complete},\"pieces\":[");
            let mut first = true;
            for (shard, value) in values {
                let Some(value) = value else { continue };
                let value = serde_json::Value::String(value);
                let comma = if first { "" } else { "," };
                body += &format!("{comma}{{\"tablet\":{shard},\"cell\":{value}}}");
                first = false;
            }
            body += "]}";
            let body = body.into_bytes();
            Response { status: 200, content_type: "application/json", headers: Vec::new(), body }
        }
        FinalAnswer::Refused { retry_after } => refusal(retry_after),
        FinalAnswer::Failed => Response::text(502, "failed"),
    }
}

/// Returns the response to a refused query, with a `Retry-After` header unless `retry_after` is zero.
pub fn refusal(retry_after: Duration) -> Response {
    let mut response = Response::text(503, "refused: try again");
    if !retry_after.is_zero() {
        response.headers.push(("Retry-After", format!("{:.3}", retry_after.as_secs_f64())));
    }
    response
}
