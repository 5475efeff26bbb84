//! Documents that go to clients.

use std::time::{SystemTime, UNIX_EPOCH};

use quick_xml::escape::escape;

use super::{Exception, Page};
use crate::config::ogc::{FeatureType, OgcConfig};
use crate::net::http::Response;

const DECLARATION: &str = "<?xml version=\"1.0\" encoding=\"UTF-8\"?>\n";
const OWS: &str = "http://www.opengis.net/ows/1.1";
const WFS: &str = "http://www.opengis.net/wfs/2.0";
const GML: &str = "http://www.opengis.net/gml/3.2";
const FES: &str = "http://www.opengis.net/fes/2.0";

/// An answer that carries a document.
pub fn response(status: u16, body: String) -> Response {
    let body = (DECLARATION.to_owned() + &body).into_bytes();
    Response { status, content_type: "application/xml; charset=utf-8", headers: Vec::new(), body }
}

/// Whether a value can stand in a document, unchanged when it is read.
pub fn is_valid_text(value: &str) -> bool {
    // Readers turn a bare carriage return into a line feed; the rest has no place in XML 1.0 at all.
    value
        .chars()
        .all(|c| matches!(c, '\t' | '\n' | ' '..='\u{d7ff}' | '\u{e000}'..='\u{fffd}' | '\u{10000}'..))
}

/// An exception's report.
pub fn exception_report(exception: &Exception) -> String {
    let locator = match exception.locator.as_str() {
        "" => String::new(),
        locator => format!(" locator=\"{}\"", escape(locator)),
    };
    format!(
        "<ows:ExceptionReport xmlns:ows=\"{OWS}\" version=\"2.0.0\">\n  <ows:Exception exceptionCode=\"{}\"{locator}>\
         <ows:ExceptionText>{}</ows:ExceptionText></ows:Exception>\n</ows:ExceptionReport>\n",
        exception.code,
        escape(exception.text.as_str())
    )
}

/// A page of features. One that lacks some says so, and how many match is then left open.
pub fn feature_collection(
    config: &OgcConfig,
    page: &Page,
    features: &[(u32, &str)],
    partial: bool,
) -> String {
    let OgcConfig { prefix, namespace, crs, .. } = config;
    let FeatureType { name, grid, .. } = &config.feature_types[page.kind];
    let matched = if partial { "unknown".to_owned() } else { page.matched.to_string() };
    let next = page.next.as_ref().map(|url| format!(" next=\"{}\"", escape(url.as_str())));
    let mut out = format!(
        "<wfs:FeatureCollection xmlns:wfs=\"{WFS}\" xmlns:gml=\"{GML}\" xmlns:ows=\"{OWS}\" \
         xmlns:{prefix}=\"{}\" timeStamp=\"{}\" numberMatched=\"{matched}\" numberReturned=\"{}\"{}>\n",
        escape(namespace.as_str()),
        time_stamp(SystemTime::now()),
        features.len(),
        next.unwrap_or_default(),
    );
    let crs = escape(crs.as_str());
    for (block, value) in features {
        let [west, south, east, north] = grid.extent_of(*block);
        out += &format!(
            "  <wfs:member><{prefix}:{name} gml:id=\"{name}.{block}\"><gml:boundedBy><gml:Envelope srsName=\"{crs}\">\
             <gml:lowerCorner>{west} {south}</gml:lowerCorner><gml:upperCorner>{east} {north}</gml:upperCorner>\
             </gml:Envelope></gml:boundedBy><{prefix}:block>{block}</{prefix}:block>\
             <{prefix}:value>{}</{prefix}:value></{prefix}:{name}></wfs:member>\n",
            escape(*value)
        );
    }
    if partial {
        let exception = Exception::new("OperationProcessingFailed", "", "some tile blocks are not in");
        out += &format!(
            "  <wfs:truncatedResponse>{}</wfs:truncatedResponse>\n",
            exception_report(&exception).trim_end()
        );
    }
    out + "</wfs:FeatureCollection>\n"
}

/// The schema of feature types.
pub fn schema(config: &OgcConfig, types: &[&FeatureType]) -> String {
    let OgcConfig { prefix, namespace, .. } = config;
    let namespace = escape(namespace.as_str());
    let mut out = format!(
        "<xsd:schema xmlns:xsd=\"http://www.w3.org/2001/XMLSchema\" xmlns:gml=\"{GML}\" xmlns:{prefix}=\"{namespace}\" \
         targetNamespace=\"{namespace}\" elementFormDefault=\"qualified\">\n  <xsd:import namespace=\"{GML}\" \
         schemaLocation=\"http://schemas.opengis.net/gml/3.2.1/gml.xsd\"/>\n"
    );
    for FeatureType { name, .. } in types {
        out += &format!(
            "  <xsd:element name=\"{name}\" type=\"{prefix}:{name}Type\" substitutionGroup=\"gml:AbstractFeature\"/>\n  \
             <xsd:complexType name=\"{name}Type\"><xsd:complexContent><xsd:extension base=\"gml:AbstractFeatureType\">\
             <xsd:sequence><xsd:element name=\"block\" type=\"xsd:nonNegativeInteger\"/>\
             <xsd:element name=\"value\" type=\"xsd:string\"/></xsd:sequence></xsd:extension></xsd:complexContent>\
             </xsd:complexType>\n"
        );
    }
    out + "</xsd:schema>\n"
}

/// What the service offers.
pub fn capabilities(config: &OgcConfig, url: &str) -> String {
    let OgcConfig { prefix, namespace, crs, page_size, .. } = config;
    let (namespace, crs, url) = (escape(namespace.as_str()), escape(crs.as_str()), escape(url));
    let mut out = format!(
        "<wfs:WFS_Capabilities xmlns:wfs=\"{WFS}\" xmlns:ows=\"{OWS}\" xmlns:fes=\"{FES}\" \
         xmlns:xlink=\"http://www.w3.org/1999/xlink\" xmlns:{prefix}=\"{namespace}\" version=\"2.0.0\">\n  \
         <ows:ServiceIdentification><ows:Title>badgergauge</ows:Title><ows:ServiceType>WFS</ows:ServiceType>\
         <ows:ServiceTypeVersion>2.0.2</ows:ServiceTypeVersion><ows:ServiceTypeVersion>2.0.0</ows:ServiceTypeVersion>\
         </ows:ServiceIdentification>\n  <ows:OperationsMetadata>\n"
    );
    for operation in ["GetCapabilities", "DescribeFeatureType", "GetFeature"] {
        out += &format!(
            "    <ows:Operation name=\"{operation}\"><ows:DCP><ows:HTTP><ows:Get xlink:href=\"{url}?\"/></ows:HTTP>\
             </ows:DCP></ows:Operation>\n"
        );
    }
    let constraint = |name: &str, value: &str| {
        format!(
            "    <ows:Constraint name=\"{name}\"><ows:NoValues/><ows:DefaultValue>{value}</ows:DefaultValue>\
             </ows:Constraint>\n"
        )
    };
    for (name, value) in
        [("ImplementsBasicWFS", "FALSE"), ("KVPEncoding", "TRUE"), ("ImplementsResultPaging", "TRUE")]
    {
        out += &constraint(name, value);
    }
    out += &constraint("CountDefault", &page_size.to_string());
    out += "  </ows:OperationsMetadata>\n  <wfs:FeatureTypeList>\n";
    for FeatureType { name, title, .. } in &config.feature_types {
        out += &format!(
            "    <wfs:FeatureType><wfs:Name>{prefix}:{name}</wfs:Name><wfs:Title>{}</wfs:Title>\
             <wfs:DefaultCRS>{crs}</wfs:DefaultCRS></wfs:FeatureType>\n",
            escape(title.as_str())
        );
    }
    out += "  </wfs:FeatureTypeList>\n  <fes:Filter_Capabilities>\n    <fes:Conformance>\n";
    let conforms = [
        ("ImplementsResourceId", "TRUE"),
        ("ImplementsMinStandardFilter", "TRUE"),
        ("ImplementsMinSpatialFilter", "TRUE"),
    ];
    for (name, value) in conforms {
        let value = format!("<ows:NoValues/><ows:DefaultValue>{value}</ows:DefaultValue>");
        out += &format!("      <fes:Constraint name=\"{name}\">{value}</fes:Constraint>\n");
    }
    out + "    </fes:Conformance>\n  </fes:Filter_Capabilities>\n</wfs:WFS_Capabilities>\n"
}

/// A time as XML has it, in UTC.
fn time_stamp(at: SystemTime) -> String {
    let seconds = at.duration_since(UNIX_EPOCH).unwrap_or_default().as_secs();
    let (days, rest) = (seconds / 86_400, seconds % 86_400);
    // Days since 0000-03-01, in eras of 400 years.
    let days = days + 719_468;
    let (era, day) = (days / 146_097, days % 146_097);
    let year = (day - day / 1460 + day / 36_524 - day / 146_096) / 365;
    let day = day - (365 * year + year / 4 - year / 100);
    let month = (5 * day + 2) / 153;
    let day = day - (153 * month + 2) / 5 + 1;
    let month = if month < 10 { month + 3 } else { month - 9 };
    let year = era * 400 + year + u64::from(month <= 2);
    let (hour, minute, second) = (rest / 3600, rest / 60 % 60, rest % 60);
    format!("{year:04}-{month:02}-{day:02}T{hour:02}:{minute:02}:{second:02}Z")
}

#[cfg(test)]
mod tests {
    use std::time::Duration;

    use super::*;

    // Guards against a date that is off around a leap day.
    #[test]
    fn time_stamps_are_utc_dates() {
        let at = |seconds| time_stamp(UNIX_EPOCH + Duration::from_secs(seconds));
        assert_eq!(at(0), "1970-01-01T00:00:00Z");
        assert_eq!(at(951_782_399), "2000-02-28T23:59:59Z");
        assert_eq!(at(951_782_400), "2000-02-29T00:00:00Z");
        assert_eq!(at(1_796_137_445), "2026-12-01T15:04:05Z");
    }
}
