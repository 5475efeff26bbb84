//! XML documents for clients.

use std::time::{SystemTime, UNIX_EPOCH};

use quick_xml::escape::escape;

use super::{Exception, Page};
use crate::config::ogc::{FeatureType, OgcConfig};
use crate::net::http::Response;

const XML_DECLARATION: &str = "<?xml version=\"1.0\" encoding=\"UTF-8\"?>\n";
// Namespaces of the specifications.
const OWS_NS: &str = "http://www.opengis.net/ows/1.1";
const WFS_NS: &str = "http://www.opengis.net/wfs/2.0";
const GML_NS: &str = "http://www.opengis.net/gml/3.2";
const FES_NS: &str = "http://www.opengis.net/fes/2.0";

/// Returns a response with an XML document; `body` lacks the XML declaration.
pub fn response(status: u16, body: String) -> Response {
    let body = (XML_DECLARATION.to_owned() + &body).into_bytes();
    Response { status, content_type: "application/xml; charset=utf-8", headers: Vec::new(), body }
}

/// Whether a value can be text of an XML document and comes out unchanged when the document is parsed.
pub fn is_valid_text(value: &str) -> bool {
    // Parsers replace a carriage return by a line feed. All other characters left out are not allowed in XML 1.0.
    value
        .chars()
        .all(|c| matches!(c, '\t' | '\n' | ' '..='\u{d7ff}' | '\u{e000}'..='\u{fffd}' | '\u{10000}'..))
}

/// Returns the exception report of an exception.
pub fn exception_report(exception: &Exception) -> String {
    let locator = match exception.locator.as_str() {
        "" => String::new(),
        locator => format!(" locator=\"{}\"", escape(locator)),
    };
    format!(
        "<ows:ExceptionReport xmlns:ows=\"{OWS_NS}\" version=\"2.0.0\">\n  <ows:Exception exceptionCode=\"{}\"{locator}>\
         <ows:ExceptionText>{}</ows:ExceptionText></ows:Exception>\n</ows:ExceptionReport>\n",
        exception.code,
        escape(exception.text.as_str())
    )
}

/// Returns the feature collection of a page. A partial page has `numberMatched="unknown"` and contains a
/// truncated response.
pub fn feature_collection(
    config: &OgcConfig,
    page: &Page,
    features: &[(u32, &str)],
    partial: bool,
) -> String {
    let OgcConfig { prefix, namespace, crs, .. } = config;
    let FeatureType { name, grid, .. } = &config.feature_types[page.feature_type];
    let matched = if partial { "unknown".to_owned() } else { page.matched.to_string() };
    let next = page.next.as_ref().map(|url| format!(" next=\"{}\"", escape(url.as_str())));
    let mut out = format!(
        "<wfs:FeatureCollection xmlns:wfs=\"{WFS_NS}\" xmlns:gml=\"{GML_NS}\" xmlns:ows=\"{OWS_NS}\" \
         xmlns:{prefix}=\"{}\" timeStamp=\"{}\" numberMatched=\"{matched}\" numberReturned=\"{}\"{}>\n",
        escape(namespace.as_str()),
        timestamp(SystemTime::now()),
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

/// Returns the XML schema of feature types, for DescribeFeatureType.
pub fn schema(config: &OgcConfig, types: &[&FeatureType]) -> String {
    let OgcConfig { prefix, namespace, .. } = config;
    let namespace = escape(namespace.as_str());
    let mut out = format!(
        "<xsd:schema xmlns:xsd=\"http://www.w3.org/2001/XMLSchema\" xmlns:gml=\"{GML_NS}\" xmlns:{prefix}=\"{namespace}\" \
         targetNamespace=\"{namespace}\" elementFormDefault=\"qualified\">\n  <xsd:import namespace=\"{GML_NS}\" \
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

/// Returns the capabilities of the service; `url` is the address of its operations.
pub fn capabilities(config: &OgcConfig, url: &str) -> String {
    let OgcConfig { prefix, namespace, crs, page_size, .. } = config;
    let (namespace, crs, url) = (escape(namespace.as_str()), escape(crs.as_str()), escape(url));
    let mut out = format!(
        "<wfs:WFS_Capabilities xmlns:wfs=\"{WFS_NS}\" xmlns:ows=\"{OWS_NS}\" xmlns:fes=\"{FES_NS}\" \
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
    let conformance = [
        ("ImplementsResourceId", "TRUE"),
        ("ImplementsMinStandardFilter", "TRUE"),
        ("ImplementsMinSpatialFilter", "TRUE"),
    ];
    for (name, value) in conformance {
        let value = format!("<ows:NoValues/><ows:DefaultValue>{value}</ows:DefaultValue>");
        out += &format!("      <fes:Constraint name=\"{name}\">{value}</fes:Constraint>\n");
    }
    out + "    </fes:Conformance>\n  </fes:Filter_Capabilities>\n</wfs:WFS_Capabilities>\n"
}

/// Formats a time as an XML `dateTime` in UTC.
fn timestamp(at: SystemTime) -> String {
    let seconds = at.duration_since(UNIX_EPOCH).unwrap_or_default().as_secs();
    let (days, rest) = (seconds / 86_400, seconds % 86_400);
    // Days since 0000-03-01, in eras of 400 years: years that start in March have the leap day at their end.
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

    // Guards against a date that is wrong around a leap day.
    #[test]
    fn timestamps_are_utc_dates() {
        let at = |seconds| timestamp(UNIX_EPOCH + Duration::from_secs(seconds));
        assert_eq!(at(0), "1970-01-01T00:00:00Z");
        assert_eq!(at(951_782_399), "2000-02-28T23:59:59Z");
        assert_eq!(at(951_782_400), "2000-02-29T00:00:00Z");
        assert_eq!(at(1_796_137_445), "2026-12-01T15:04:05Z");
    }
}
