//! The platform's protocol: queries as JSON over HTTP.

use std::collections::HashSet;
use std::time::Duration;

use serde::Deserialize;

use crate::backend::is_keyed;
use crate::config::settings::SiteSettings;
use crate::core::{FinalAnswer, NewPart, NewQuery};
use crate::net::http::{Request, Response};

/// Sums of weights may be off from one by so much.
const WEIGHT_SLACK: f64 = 0.001;
/// Longest request id or idempotency key.
const MAX_WORD: usize = 128;

/// What a request asks for.
#[derive(Debug)]
pub enum ParsedRequest {
    /// Whether the broker can serve.
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
    /// A guess at its work, in microseconds. One that makes no sense spoils nothing: it is no more than a guess.
    #[serde(default)]
    guess: serde_json::Value,
}

impl Tablet {
    fn hint(&self) -> Option<Duration> {
        let micros = self.guess.as_f64().filter(|guess| guess.is_finite() && *guess > 0.0)?;
        Some(Duration::from_nanos((micros * 1e3) as u64))
    }
}

/// Reads a request; what it is not is answered at once.
///
/// # Errors
///
/// The answer to a request that asks for nothing that is served here.
pub fn parse(request: &Request<'_>, settings: &SiteSettings) -> Result<ParsedRequest, Response> {
    let bad = |fault: &str| Response::text(400, fault);
    let path = request.target.split('?').next().unwrap_or("");
    let first = path.trim_start_matches('/').split('/').next().unwrap_or("");
    if path == "/up" {
        return match request.method {
            "GET" => Ok(ParsedRequest::Readiness),
            _ => Err(Response::text(405, "only GET")),
        };
    }
    let class = settings.classes.iter().position(|class| class == first);
    let class = class.ok_or_else(|| Response::text(404, "no such class"))?;
    if request.method != "POST" {
        return Err(Response::text(405, "only POST"));
    }
    let name = word(request, "X-Request-ID").ok_or_else(|| bad("X-Request-ID: bad or missing"))?;
    let left = request.header("X-Timeout").and_then(span).ok_or_else(|| bad("X-Timeout: bad or missing"))?;
    let rules = &settings.router.classes[class];
    let idempotency = if is_keyed(rules.retry_safety) {
        Some(word(request, "Idempotency-Key").ok_or_else(|| bad("Idempotency-Key: bad or missing"))?)
    } else {
        None
    };
    let body: Body = serde_json::from_slice(request.body).map_err(|error| bad(&format!("body: {error}")))?;
    let parts: Vec<NewPart> = body
        .tablets
        .iter()
        .map(|t| NewPart { shard: t.tablet, weight: t.fraction, hint: t.hint() })
        .collect();
    let mut shards = HashSet::new();
    let sound = |part: &NewPart| {
        part.shard < settings.router.shards && (0.0..=1.0 + WEIGHT_SLACK).contains(&part.weight)
    };
    if parts.is_empty() || !parts.iter().all(|part| sound(part) && shards.insert(part.shard)) {
        return Err(bad("tablets: each must be a tablet there is, once, with its fraction"));
    }
    if (parts.iter().map(|part| part.weight).sum::<f64>() - 1.0).abs() > WEIGHT_SLACK {
        return Err(bad("tablets: the fractions must add up to 1"));
    }
    Ok(ParsedRequest::Query(NewQuery {
        name,
        class,
        tenant: tenant_index(request, settings).map_err(|fault| bad(&fault))?,
        key: request.header("X-Route-Key").map(route_key),
        is_retry: request.header("X-Retried") == Some("1"),
        time_left: left.min(rules.deadline),
        idempotency_key: idempotency,
        body: body.statement,
        parts,
    }))
}

/// The tenant that a request belongs to, by its index. Where the settings name tenants, each request has to name
/// one of them: in another's stead it would use up that one's share.
///
/// # Errors
///
/// Says what the header lacks.
pub fn tenant_index(request: &Request<'_>, settings: &SiteSettings) -> Result<usize, String> {
    if settings.tenants.is_empty() {
        return Ok(0);
    }
    let named =
        request.header("X-Tenant-Id").ok_or("X-Tenant-Id: is missing, and here each query has one")?;
    let index = settings.tenants.iter().position(|tenant| tenant == named);
    index.ok_or_else(|| "X-Tenant-Id: no such tenant".to_owned())
}

/// A header that goes into a frame's line, so it holds nothing that would end a word there.
fn word(request: &Request<'_>, header: &str) -> Option<String> {
    let word = request.header(header)?;
    let plain = |byte: u8| byte.is_ascii_graphic() && byte != b',';
    (!word.is_empty() && word.len() <= MAX_WORD && word.bytes().all(plain)).then(|| word.to_owned())
}

/// A number with its unit: `m` for milliseconds, `u` for microseconds.
fn span(text: &str) -> Option<Duration> {
    let (number, unit) = text.split_at_checked(text.len().checked_sub(1)?)?;
    let unit = match unit {
        "m" => 1e-3,
        "u" => 1e-6,
        _ => return None,
    };
    let seconds = number.parse::<f64>().ok().filter(|n| n.is_finite() && *n >= 0.0)? * unit;
    Some(Duration::from_secs_f64(seconds.min(1e6)))
}

/// What a query is about, as a number; equal keys give equal ones.
pub fn route_key(text: &str) -> u64 {
    u64::from_str_radix(text, 16).unwrap_or_else(|_| {
        text.bytes()
            .fold(0xcbf2_9ce4_8422_2325, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3))
    })
}

/// A final answer on the wire.
pub fn answer(last: FinalAnswer) -> Response {
    match last {
        FinalAnswer::Answered { complete: whole, values } => {
            let mut body = format!("{{\"full\":{whole},\"pieces\":[");
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
        FinalAnswer::Refused { retry_after: hold_off } => refusal(hold_off),
        FinalAnswer::Failed => Response::text(502, "failed"),
    }
}

/// A refusal, with the module's hold-off where it gives one.
pub fn refusal(hold_off: Duration) -> Response {
    let mut response = Response::text(503, "refused: try again");
    if !hold_off.is_zero() {
        response.headers.push(("Retry-After", format!("{:.3}", hold_off.as_secs_f64())));
    }
    response
}
