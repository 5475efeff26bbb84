//! Key-value parameters (KVP) of a request.

use super::Exception;

/// Supported versions of WFS.
const VERSIONS: [&str; 2] = ["2.0.0", "2.0.2"];

/// Decoded parameters with their names in lower case, in the order given.
pub struct Params(Vec<(String, String)>);

impl Params {
    /// Parses a query string.
    ///
    /// # Errors
    ///
    /// Returns an exception if a name or value can't be decoded, or if a name occurs twice.
    pub fn parse(query: &str) -> Result<Self, Exception> {
        let mut params: Vec<(String, String)> = Vec::new();
        for pair in query.split('&').filter(|pair| !pair.is_empty()) {
            let (name, value) = pair.split_once('=').unwrap_or((pair, ""));
            let name = percent_decode(name).map(|n| n.to_ascii_lowercase());
            let name = name.ok_or_else(|| Exception::invalid("request", "a name can't be decoded"))?;
            let value = percent_decode(value).ok_or_else(|| Exception::invalid(&name, "can't be decoded"))?;
            if params.iter().any(|(n, _)| *n == name) {
                return Err(Exception::invalid(&name, "is given twice"));
            }
            params.push((name, value));
        }
        Ok(Params(params))
    }

    /// Returns a parameter's value; `None` if it is missing or empty.
    pub fn get(&self, name: &str) -> Option<&str> {
        let value = self.0.iter().find(|(n, _)| n == name).map(|(_, value)| value.as_str());
        value.filter(|value| !value.is_empty())
    }

    /// Returns the value of a parameter that is a non-negative integer.
    ///
    /// # Errors
    ///
    /// Returns an exception if the value is not such a number.
    pub fn number(&self, name: &str) -> Result<Option<u32>, Exception> {
        let number =
            |text: &str| text.parse().map_err(|_| Exception::invalid(name, "must be a whole number"));
        self.get(name).map(number).transpose()
    }

    /// Checks the version, which all operations except GetCapabilities require.
    ///
    /// # Errors
    ///
    /// Returns an exception if the version is missing or not supported.
    pub fn check_version(&self) -> Result<(), Exception> {
        match self.get("version") {
            None => Err(Exception::missing("version")),
            Some(version) if VERSIONS.contains(&version) => Ok(()),
            Some(_) => Err(Exception::invalid("version", "must be 2.0.0 or 2.0.2")),
        }
    }

    /// Checks the versions that a client accepts, if the request names any.
    ///
    /// # Errors
    ///
    /// Returns an exception if none of them is supported.
    pub fn check_accepted_versions(&self) -> Result<(), Exception> {
        match self.get("acceptversions") {
            Some(accepted) if !accepted.split(',').any(|v| VERSIONS.contains(&v.trim())) => {
                let text = "2.0.0 and 2.0.2 are spoken";
                Err(Exception::new("VersionNegotiationFailed", "acceptVersions", text))
            }
            _ => Ok(()),
        }
    }

    /// Returns the URL of the same request for another page.
    pub fn page_url(&self, url: &str, start: usize, count: usize) -> String {
        let kept = self.0.iter().filter(|(name, _)| name != "startindex" && name != "count");
        let kept =
            kept.map(|(name, value)| format!("{}={}&", name.to_ascii_uppercase(), percent_encode(value)));
        format!("{url}?{}STARTINDEX={start}&COUNT={count}", kept.collect::<String>())
    }

    /// Returns the body of the query's parts: the feature type and the parameter that selects its features.
    pub fn selection(&self, feature: &str) -> String {
        let selectors = ["resourceid", "bbox", "filter"];
        let selector = selectors.into_iter().find_map(|name| Some(format!("&{name}={}", self.get(name)?)));
        format!("typename={feature}{}", selector.unwrap_or_default())
    }
}

/// Parses a bounding box: four coordinates, and optionally the coordinate reference system, which must be `crs`.
///
/// # Errors
///
/// Returns an exception if the bounding box is invalid.
pub fn parse_bbox(text: &str, crs: &str) -> Result<[f64; 4], Exception> {
    let fields: Vec<&str> = text.split(',').map(str::trim).collect();
    let (coordinates, named_crs) = fields.split_at(fields.len().min(4));
    let coordinates: Vec<f64> =
        coordinates.iter().filter_map(|w| w.parse().ok()).filter(|x: &f64| x.is_finite()).collect();
    let Ok(area) = <[f64; 4]>::try_from(coordinates) else {
        return Err(Exception::invalid("bbox", "must be four numbers"));
    };
    if !matches!(named_crs, []) && named_crs != [crs] {
        return Err(Exception::invalid("bbox", format!("only {crs} is spoken")));
    }
    if area[0] > area[2] || area[1] > area[3] {
        return Err(Exception::invalid("bbox", "the lower corner must come first"));
    }
    Ok(area)
}

/// Decodes percent escapes and `+`; `None` if an escape is invalid or the result is not UTF-8.
fn percent_decode(text: &str) -> Option<String> {
    let mut bytes = Vec::with_capacity(text.len());
    let mut rest = text.bytes();
    while let Some(byte) = rest.next() {
        bytes.push(match byte {
            b'+' => b' ',
            b'%' => {
                let digit = |byte: Option<u8>| char::from(byte?).to_digit(16);
                (digit(rest.next())? * 16 + digit(rest.next())?) as u8
            }
            other => other,
        });
    }
    String::from_utf8(bytes).ok()
}

/// Encodes a parameter's value for a query string.
fn percent_encode(text: &str) -> String {
    let mut out = String::new();
    for byte in text.bytes() {
        match byte {
            b'A'..=b'Z' | b'a'..=b'z' | b'0'..=b'9' | b'-' | b'.' | b'_' | b'~' | b',' | b':' => {
                out.push(char::from(byte));
            }
            other => out += &format!("%{other:02X}"),
        }
    }
    out
}
