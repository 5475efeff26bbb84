//! Errors in an inventory.

use std::fmt;
use std::path::Path;

use thiserror::Error;

/// What is wrong with an inventory, and what to do about it.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum Problem {
    /// The file can't be opened or read; the operating system's message.
    #[error("{0}")]
    Unreadable(String),
    /// The file is not UTF-8.
    #[error("is not UTF-8: save the file in that encoding")]
    NotUtf8,
    /// The CSV file is malformed; the parser's message.
    #[error("{0}")]
    Csv(String),
    /// The YAML file is malformed; the parser's message.
    #[error("{0}")]
    Yaml(String),
    /// The last line has no line end, so the file may be cut off in it.
    #[error(
        "the last line has no line end, so the file may be cut off in it: complete it and end it with one"
    )]
    UnfinishedLastLine,
    /// The file lists no server.
    #[error("no server is listed: list those to remove with the state removed, or restore the file")]
    NoServers,
    /// A required column is missing.
    #[error("the column is missing")]
    MissingColumn,
    /// A heading stands twice, apart from case and spaces.
    #[error("the heading stands twice, in columns {first} and {second}: remove or rename one of them")]
    RepeatedHeading {
        /// Number of the first column, from 1.
        first: usize,
        /// Number of the second column, from 1.
        second: usize,
    },
    /// A column without a heading has a value.
    #[error("column {column} has a value and no heading: name the column or remove it")]
    ValueWithoutHeading {
        /// Number of the column, from 1.
        column: usize,
    },
    /// A name differs from one that the broker reads only in case or spaces.
    #[error("must be written {expected}")]
    NameSpelling {
        /// The name that the broker reads.
        expected: &'static str,
    },
    /// A value contains a line break or another control character.
    #[error("contains a line break or another control character: is a quotation mark missing?")]
    ControlCharacter,
    /// A required value is missing.
    #[error("is missing")]
    MissingValue,
    /// A value is empty.
    #[error("is empty: complete the line, or remove it")]
    EmptyValue,
    /// An address is invalid.
    #[error("{0:?} is no address")]
    InvalidAddress(String),
    /// A cell is not a number.
    #[error("{0:?} is not a cell number")]
    InvalidCell(String),
    /// The ring does not have the cell.
    #[error("the ring has no cell {cell}: its {cells} cells are 0 to {last}", last = cells.saturating_sub(1))]
    CellBeyondRing {
        /// The cell in the file.
        cell: u32,
        /// Number of cells in the settings.
        cells: u32,
    },
    /// A state is unknown.
    #[error("{0:?} is none of up, draining, removed")]
    InvalidState(String),
    /// A host is listed twice, apart from case.
    #[error("is listed twice, as {other} on line {other_line}: remove one of them")]
    RepeatedHost {
        /// The other host's name.
        other: String,
        /// Its line.
        other_line: u64,
    },
    /// Two hosts have the same address.
    #[error("is also the address of {other}, on line {other_line}")]
    RepeatedAddress {
        /// The other host's name.
        other: String,
        /// Its line.
        other_line: u64,
    },
    /// A host has two values of the same name, and neither takes precedence.
    #[error("{value:?} contradicts {other:?} on line {other_line}: keep one of them")]
    Contradiction {
        /// The value on the later line.
        value: String,
        /// The value on the earlier line.
        other: String,
        /// The earlier line.
        other_line: u64,
    },
    /// A group is its own ancestor.
    #[error("the group is below itself: remove one of its entries under children")]
    GroupCycle,
    /// Groups are nested too deeply.
    #[error("groups are nested too deeply")]
    NestedTooDeeply,
}

/// An error in an inventory.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InventoryError {
    /// Path of the file.
    pub file: String,
    /// Line number; 0 if the error concerns the whole file.
    pub line: u64,
    /// Column, or host and variable; empty if the error concerns the whole line or file.
    pub key: String,
    /// Description of what is wrong.
    pub problem: Problem,
}

impl fmt::Display for InventoryError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: line {}: ", self.file, self.line)?;
        if !self.key.is_empty() {
            write!(f, "{}: ", self.key)?;
        }
        self.problem.fmt(f)
    }
}

impl std::error::Error for InventoryError {}

/// An error before the file's path is added to it; see [`InventoryError`].
#[derive(Debug)]
pub(super) struct LineError {
    pub line: u64,
    key: String,
    problem: Problem,
}

impl LineError {
    pub fn new(line: u64, key: impl Into<String>, problem: Problem) -> Self {
        LineError { line, key: key.into(), problem }
    }

    /// Adds the path of the file.
    pub fn in_file(self, path: &Path) -> InventoryError {
        let LineError { line, key, problem } = self;
        InventoryError { file: path.display().to_string(), line, key, problem }
    }
}
