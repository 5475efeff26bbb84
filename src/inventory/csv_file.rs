//! Reads the rows of an inventory in CSV.

use std::collections::HashMap;

use csv::{Position, StringRecord, Trim};

use super::error::{LineError, Problem};
use super::row::{Field, Row, check_spelling, folded_name, may_be_cut_off};

const NAME: &str = "name";
/// Columns that every file must have.
const REQUIRED_COLUMNS: [&str; 4] = [NAME, "address", "zone", "cell"];
/// Lines that start with this character are comments.
const COMMENT: u8 = b'#';

/// Returns the rows of a CSV file, and all errors in its header and its rows.
pub fn rows(text: &str) -> (Vec<Row>, Vec<LineError>) {
    let mut reader = csv::ReaderBuilder::new()
        .trim(Trim::All)
        .comment(Some(COMMENT))
        .has_headers(false)
        .from_reader(text.as_bytes());
    let (mut rows, mut errors) = (Vec::new(), Vec::new());
    let mut headings: Option<Vec<String>> = None;
    for record in reader.records() {
        let record = match record {
            Ok(record) => record,
            Err(error) => {
                let line = record_line(text, error.position());
                errors.push(LineError::new(line, "", Problem::Csv(error.to_string())));
                continue;
            }
        };
        let line = record_line(text, record.position());
        let Some(headings) = &headings else {
            errors.extend(heading_errors(line, &record));
            if !errors.is_empty() {
                break;
            }
            headings = Some(record.iter().map(str::to_owned).collect());
            continue;
        };
        match row(line, headings, &record) {
            Ok(row) => rows.push(row),
            Err(error) => errors.push(error),
        }
    }
    errors.extend(unfinished_last_row(text, headings.as_deref(), rows.last()));
    (rows, errors)
}

/// Returns an error if the text ends within its last row, and the row's last value may be cut off.
fn unfinished_last_row(text: &str, headings: Option<&[String]>, row: Option<&Row>) -> Option<LineError> {
    let heading = headings?.last()?;
    let row = row?;
    let is_last_line = super::ends_within_line(text) && row.line == super::last_line(text);
    let is_quoted = text.ends_with('"');
    let value = row.values.get(heading).map_or(row.name.as_str(), |field| field.text.as_str());
    (is_last_line && !is_quoted && (heading == NAME || may_be_cut_off(heading, value)))
        .then(|| LineError::new(row.line, heading.as_str(), Problem::UnfinishedLastLine))
}

/// Returns the number of the line on which a record begins. The position of a record is that of the empty lines and
/// comments in front of it.
fn record_line(text: &str, position: Option<&Position>) -> u64 {
    let start = position.and_then(|position| usize::try_from(position.byte()).ok()).unwrap_or(0);
    let bytes = text.as_bytes();
    let mut offset = start.min(bytes.len());
    loop {
        match bytes.get(offset) {
            Some(b'\r' | b'\n') => offset += 1,
            Some(&COMMENT) => {
                let is_end = |byte: &u8| matches!(byte, b'\r' | b'\n');
                offset += bytes[offset..].iter().position(is_end).unwrap_or(bytes.len() - offset);
            }
            _ => return super::line_of(bytes, offset),
        }
    }
}

/// Checks the headings: each stands once, apart from case and spaces, and no required one is missing.
fn heading_errors(line: u64, headings: &StringRecord) -> Vec<LineError> {
    let mut errors = Vec::new();
    let mut columns: HashMap<String, usize> = HashMap::new();
    for (column, heading) in (1..).zip(headings).filter(|(_, heading)| !heading.is_empty()) {
        errors.extend(check_spelling(line, heading).err());
        if let Some(first) = columns.insert(folded_name(heading), column) {
            let problem = Problem::RepeatedHeading { first, second: column };
            errors.push(LineError::new(line, heading, problem));
        }
    }
    let missing = REQUIRED_COLUMNS.into_iter().filter(|column| !columns.contains_key(*column));
    errors.extend(missing.map(|column| LineError::new(line, column, Problem::MissingColumn)));
    errors
}

fn row(line: u64, headings: &[String], record: &StringRecord) -> Result<Row, LineError> {
    let mut row = Row { line, ..Row::default() };
    for (column, (heading, text)) in (1..).zip(headings.iter().zip(record)) {
        match heading.as_str() {
            "" if text.is_empty() => {}
            "" => return Err(LineError::new(line, "", Problem::ValueWithoutHeading { column })),
            NAME => row.name = text.to_owned(),
            _ => drop(row.values.insert(heading.clone(), Field { line, text: text.to_owned() })),
        }
    }
    if row.name.is_empty() {
        return Err(LineError::new(line, NAME, Problem::MissingValue));
    }
    // A quotation mark that is not closed takes in the lines behind it.
    if let Some(column) = record.iter().position(|text| text.contains(char::is_control)) {
        return Err(LineError::new(line, headings[column].as_str(), Problem::ControlCharacter));
    }
    Ok(row)
}
