//! The supported subset of Filter Encoding 2.0, which selects tile blocks: BBOX, ResourceId, comparisons of `block`,
//! And, Or and Not.

use std::collections::BTreeSet;

use quick_xml::Reader;
use quick_xml::events::{BytesStart, Event};

use super::Exception;
use super::kvp::parse_bbox;
use crate::config::ogc::FeatureType;

/// Maximum nesting depth of elements in a filter.
const MAX_DEPTH: usize = 32;

/// An XML element with its content. Names are without namespace prefixes.
#[derive(Default)]
struct Element {
    name: String,
    attributes: Vec<(String, String)>,
    text: String,
    children: Vec<Element>,
}

impl Element {
    fn child(&self, name: &str) -> Option<&Element> {
        self.children.iter().find(|child| child.name == name)
    }

    fn attribute(&self, name: &str) -> Option<&str> {
        self.attributes.iter().find(|(n, _)| n == name).map(|(_, value)| value.as_str())
    }
}

/// Returns the blocks that a filter selects.
///
/// # Errors
///
/// Returns an exception if the filter is malformed, invalid or not supported.
pub fn blocks(text: &str, feature: &FeatureType, crs: &str) -> Result<BTreeSet<u32>, Exception> {
    let root = parse(text)?;
    match (root.name.as_str(), root.children.as_slice()) {
        // Several ResourceId elements in one filter select the union of their features.
        ("Filter", [first, rest @ ..])
            if rest.is_empty() || root.children.iter().all(|c| c.name == "ResourceId") =>
        {
            let mut selected = select(first, feature, crs)?;
            for other in rest {
                selected.extend(select(other, feature, crs)?);
            }
            Ok(selected)
        }
        _ => Err(invalid("must be a Filter that holds one operator")),
    }
}

fn invalid(text: impl Into<String>) -> Exception {
    Exception::invalid("filter", text)
}

fn unparsable(text: impl Into<String>) -> Exception {
    Exception::new("OperationParsingFailed", "filter", text)
}

/// Returns the blocks that an operator selects.
fn select(element: &Element, feature: &FeatureType, crs: &str) -> Result<BTreeSet<u32>, Exception> {
    let mut inner = element.children.iter().map(|child| select(child, feature, crs));
    let all = || feature.grid.blocks();
    match element.name.as_str() {
        "And" => {
            let first = inner.next().ok_or_else(|| invalid("And is empty"))??;
            inner.try_fold(first, |left, right| Ok(left.intersection(&right?).copied().collect()))
        }
        "Or" if element.children.is_empty() => Err(invalid("Or is empty")),
        "Or" => inner.try_fold(BTreeSet::new(), |mut left, right| {
            left.extend(right?);
            Ok(left)
        }),
        "Not" => match (inner.next(), inner.next()) {
            (Some(only), None) => {
                let only = only?;
                Ok(all().filter(|block| !only.contains(block)).collect())
            }
            _ => Err(invalid("Not holds one operator")),
        },
        "BBOX" => {
            let envelope = element.child("Envelope").ok_or_else(|| invalid("BBOX lacks an Envelope"))?;
            if envelope.attribute("srsName").is_some_and(|name| name != crs) {
                return Err(invalid(format!("only {crs} is spoken")));
            }
            let corner =
                |name: &str| envelope.child(name).map(|c| c.text.split_whitespace().collect::<Vec<_>>());
            match (corner("lowerCorner"), corner("upperCorner")) {
                (Some(low), Some(high)) => {
                    let area =
                        parse_bbox(&[low, high].concat().join(","), crs).map_err(|e| invalid(e.text))?;
                    Ok(feature.grid.blocks_in(area))
                }
                _ => Err(invalid("the Envelope lacks a corner")),
            }
        }
        "ResourceId" => {
            let id = element.attribute("rid").ok_or_else(|| invalid("ResourceId lacks rid"))?;
            let (name, block) = id.rsplit_once('.').ok_or_else(|| invalid(format!("{id:?} is no id")))?;
            let block: u32 = block.parse().map_err(|_| invalid(format!("{id:?} is no id")))?;
            let name = name.rsplit(':').next().unwrap_or(name);
            Ok(all().filter(|b| *b == block && name == feature.name).collect())
        }
        "PropertyIsBetween" => {
            check_property(element)?;
            let bound = |name: &str| {
                let bound = element.child(name).ok_or_else(|| invalid(format!("{name} is missing")))?;
                parse_number(bound.child("Literal").unwrap_or(bound))
            };
            let (low, high) = (bound("LowerBoundary")?, bound("UpperBoundary")?);
            Ok(all().filter(|&b| (low..=high).contains(&f64::from(b))).collect())
        }
        name => {
            let compare: fn(f64, f64) -> bool = match name {
                "PropertyIsEqualTo" => |a, b| a == b,
                "PropertyIsNotEqualTo" => |a, b| a != b,
                "PropertyIsLessThan" => |a, b| a < b,
                "PropertyIsLessThanOrEqualTo" => |a, b| a <= b,
                "PropertyIsGreaterThan" => |a, b| a > b,
                "PropertyIsGreaterThanOrEqualTo" => |a, b| a >= b,
                _ => {
                    let text = format!("{name:?} is no operator that is served");
                    return Err(Exception::new("OptionNotSupported", "filter", text));
                }
            };
            check_property(element)?;
            let literal = element.child("Literal").ok_or_else(|| invalid("a Literal is missing"))?;
            let literal = parse_number(literal)?;
            Ok(all().filter(|&b| compare(f64::from(b), literal)).collect())
        }
    }
}

/// Checks that a comparison refers to `block`, the only property that can be compared.
fn check_property(element: &Element) -> Result<(), Exception> {
    let name = element.child("ValueReference").map(|r| r.text.trim());
    let name = name.ok_or_else(|| invalid("a ValueReference is missing"))?;
    match name.rsplit([':', '/']).next() {
        Some("block") => Ok(()),
        _ => Err(invalid(format!("{name:?} can't be compared, only block"))),
    }
}

/// Parses the text of an element as a finite number.
fn parse_number(element: &Element) -> Result<f64, Exception> {
    let text = element.text.trim();
    let number = text.parse().ok().filter(|x: &f64| x.is_finite());
    number.ok_or_else(|| invalid(format!("{text:?} is no number")))
}

/// Parses a document and returns its root element.
fn parse(text: &str) -> Result<Element, Exception> {
    let mut reader = Reader::from_str(text);
    let mut open_elements: Vec<Element> = vec![Element::default()];
    loop {
        let event = reader.read_event().map_err(|error| unparsable(error.to_string()))?;
        let closes = matches!(event, Event::Empty(_) | Event::End(_));
        match event {
            Event::Start(start) | Event::Empty(start) => open_elements.push(read_start(&start)?),
            Event::Text(text) => {
                if let Some(element) = open_elements.last_mut() {
                    element.text += &text;
                }
            }
            // Numbers and names need no references, and a document type could declare entities; both are rejected.
            Event::GeneralRef(_) | Event::DocType(_) => return Err(unparsable("references are not read")),
            Event::Eof => break,
            _ => {}
        }
        if open_elements.len() > MAX_DEPTH {
            return Err(unparsable("elements nest too deep"));
        }
        if closes && let Some(done) = open_elements.pop() {
            let parent = open_elements.last_mut().ok_or_else(|| unparsable("an end without its element"))?;
            parent.children.push(done);
        }
    }
    match (open_elements.pop(), open_elements.pop()) {
        (Some(mut document), None) if document.children.len() == 1 => {
            document.children.pop().ok_or_else(|| unparsable("is empty"))
        }
        _ => Err(unparsable("must be one element, whole")),
    }
}

/// Returns an element with the name and attributes of a start tag.
fn read_start(start: &BytesStart<'_>) -> Result<Element, Exception> {
    let mut attributes = Vec::new();
    for attribute in start.attributes() {
        let attribute = attribute.map_err(|error| unparsable(error.to_string()))?;
        let value =
            quick_xml::escape::unescape(&attribute.value).map_err(|error| unparsable(error.to_string()))?;
        attributes.push((attribute.key.local_name().as_ref().to_owned(), value.into_owned()));
    }
    Ok(Element { name: start.local_name().as_ref().to_owned(), attributes, ..Element::default() })
}
