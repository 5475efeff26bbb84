//! Reading a trace file, intact or not: returns every record of every intact block, and reports what was
//! skipped.

use std::fmt;
use std::io::{self, Read, Seek, SeekFrom};
use std::ops::Range;

use prost::Message;

use crate::codec;
use crate::frame::{self, FrameHeader, Preamble};
use crate::header::{Header, from_wire};
use crate::record::{Record, ServerNames};
use crate::wire;
use crate::write::name_hash;

/// Why a file can't be opened.
#[derive(Debug)]
pub enum OpenError {
    /// The file can't be read.
    Io(io::Error),
    /// The file is empty.
    Empty,
    /// The file is not a trace file.
    NotATrace,
    /// The file ends before its header does.
    Truncated,
    /// The header is damaged, so the runs that the records belong to are unknown.
    DamagedHeader,
    /// The file has a major format version that this build can't read.
    UnsupportedVersion {
        /// Format version of the file, major and minor.
        file: (u16, u16),
    },
}

impl fmt::Display for OpenError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            OpenError::Io(error) => error.fmt(f),
            OpenError::Empty => f.write_str("is empty"),
            OpenError::NotATrace => f.write_str("is not a trace file"),
            OpenError::Truncated => f.write_str("is truncated within its header and holds no records"),
            OpenError::DamagedHeader => {
                f.write_str("its header is damaged: the broker and run of its records are unknown")
            }
            OpenError::UnsupportedVersion { file } => {
                let (ours, theirs) = (frame::FORMAT_VERSION, file);
                write!(
                    f,
                    "is of version {}.{}, and this program reads versions {}.x",
                    theirs.0, theirs.1, ours.0
                )
            }
        }
    }
}

impl std::error::Error for OpenError {}

impl From<io::Error> for OpenError {
    fn from(error: io::Error) -> Self {
        OpenError::Io(error)
    }
}

/// A damaged range of a file, which was skipped.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Damage {
    /// Offsets of the range in the file.
    pub bytes: Range<u64>,
    /// What is wrong with it.
    pub reason: &'static str,
    /// Lowest and highest sequence number of the block's records, if its frame header is intact.
    pub sequences: Option<(u64, u64)>,
}

impl fmt::Display for Damage {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "bytes {} to {}: {}", self.bytes.start, self.bytes.end, self.reason)?;
        match self.sequences {
            Some((first, last)) => write!(f, " (steps {first} to {last})"),
            None => Ok(()),
        }
    }
}

/// State of a file's end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FileEnd {
    /// The file ends with an intact footer and trailer.
    Complete,
    /// The file ends after a complete block, without a footer: it was not closed.
    Unclosed,
    /// The file ends within a block, for example after a crash.
    Truncated {
        /// Offset of the incomplete block.
        at: u64,
        /// Number of bytes of it that are present.
        bytes: u64,
    },
    /// The footer or trailer is damaged, or followed by other bytes.
    DamagedIndex {
        /// Offset of the footer.
        at: u64,
    },
}

impl fmt::Display for FileEnd {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            FileEnd::Complete => f.write_str("whole"),
            FileEnd::Unclosed => f.write_str("not closed: it has no index, and all its blocks are complete"),
            FileEnd::Truncated { at, bytes } => {
                write!(
                    f,
                    "truncated: the last {bytes} bytes, from {at} on, are an incomplete block and are skipped"
                )
            }
            FileEnd::DamagedIndex { at } => {
                write!(f, "its index is damaged, from byte {at} on; its blocks are read one by one")
            }
        }
    }
}

/// Reads a trace file block by block.
pub struct Reader<R> {
    input: R,
    /// Length of the file in bytes.
    length: u64,
    /// Offset of the next frame to read.
    offset: u64,
    version: (u16, u16),
    header: Header,
    /// Offset of the first block.
    start: u64,
    servers: ServerNames,
    damage: Vec<Damage>,
    end: Option<FileEnd>,
    /// Blocks entirely outside this range of Unix times, in nanoseconds, are skipped.
    window: Range<i64>,
}

/// Reads up to `max` bytes. Memory is allocated only for bytes that are present, whatever a length field
/// says.
fn read_up_to(input: &mut impl Read, max: u64) -> io::Result<Vec<u8>> {
    let mut bytes = Vec::new();
    input.take(max).read_to_end(&mut bytes)?;
    Ok(bytes)
}

/// Decompresses a payload. Returns `None` unless the result is exactly `uncompressed_len` bytes long.
fn decompress(compressed: &[u8], uncompressed_len: u32) -> Option<Vec<u8>> {
    let decoder = zstd::stream::read::Decoder::with_buffer(compressed).ok()?;
    let mut bytes = Vec::new();
    decoder.take(u64::from(uncompressed_len) + 1).read_to_end(&mut bytes).ok()?;
    (bytes.len() == uncompressed_len as usize).then_some(bytes)
}

impl<R: Read + Seek> Reader<R> {
    /// Opens a trace file and reads its header.
    ///
    /// # Errors
    ///
    /// Returns an error if the file can't be read, is not a trace file of a supported version, or has a
    /// damaged or incomplete header.
    pub fn open(mut input: R) -> Result<Self, OpenError> {
        let length = input.seek(SeekFrom::End(0))?;
        input.seek(SeekFrom::Start(0))?;
        if length == 0 {
            return Err(OpenError::Empty);
        }
        let bytes = read_up_to(&mut input, frame::PREAMBLE_LEN as u64)?;
        let Ok(preamble) = <[u8; frame::PREAMBLE_LEN]>::try_from(&bytes[..]) else {
            let has_magic = frame::MAGIC.starts_with(&bytes[..bytes.len().min(frame::MAGIC.len())])
                || bytes.starts_with(&frame::MAGIC);
            return Err(if has_magic { OpenError::Truncated } else { OpenError::NotATrace });
        };
        let (version, size, checksum) = match frame::decode_preamble(&preamble) {
            Preamble::NotATrace => return Err(OpenError::NotATrace),
            Preamble::Damaged => return Err(OpenError::DamagedHeader),
            Preamble::Valid { version, length, checksum } => (version, length, checksum),
        };
        if version.0 != frame::FORMAT_VERSION.0 {
            return Err(OpenError::UnsupportedVersion { file: version });
        }
        let message = read_up_to(&mut input, size as u64)?;
        if message.len() < size {
            return Err(OpenError::Truncated);
        }
        if crc32fast::hash(&message) != checksum {
            return Err(OpenError::DamagedHeader);
        }
        let header = wire::Header::decode(&message[..]).map_err(|_| OpenError::DamagedHeader)?;
        let start = (frame::PREAMBLE_LEN + size) as u64;
        Ok(Reader {
            input,
            length,
            offset: start,
            version,
            header: from_wire(header),
            start,
            servers: ServerNames::new(),
            damage: Vec::new(),
            end: None,
            window: i64::MIN..i64::MAX,
        })
    }

    /// Returns the file's header.
    pub fn header(&self) -> &Header {
        &self.header
    }

    /// Returns the file's format version, major and minor.
    pub fn version(&self) -> (u16, u16) {
        self.version
    }

    /// Returns the length of the file in bytes.
    pub fn length(&self) -> u64 {
        self.length
    }

    /// Returns the offset up to which the file has been read.
    pub fn offset(&self) -> u64 {
        self.offset
    }

    /// Returns the server names of the blocks read so far.
    pub fn servers(&self) -> &ServerNames {
        &self.servers
    }

    /// Returns the damaged ranges skipped so far.
    pub fn damage(&self) -> &[Damage] {
        &self.damage
    }

    /// Returns the state of the file's end, once [`Reader::next_block`] has returned `None`.
    pub fn end(&self) -> Option<FileEnd> {
        self.end
    }

    /// Skips blocks that lie entirely outside this range of Unix times, in nanoseconds.
    pub fn restrict_to(&mut self, window: Range<i64>) {
        self.window = window;
    }

    /// Describes all problems found so far, one per entry; empty if the file is intact and closed.
    pub fn problems(&self) -> Vec<String> {
        let end = self.end.filter(|end| *end != FileEnd::Complete).map(|end| end.to_string());
        self.damage.iter().map(ToString::to_string).chain(end).collect()
    }

    /// Reads the frame header at an offset. Returns it if it is intact, and the number of bytes present
    /// there.
    fn frame_header_at(&mut self, at: u64) -> io::Result<(Option<FrameHeader>, usize)> {
        self.input.seek(SeekFrom::Start(at))?;
        let bytes = read_up_to(&mut self.input, frame::FRAME_HEADER_LEN as u64)?;
        Ok((FrameHeader::decode(&bytes), bytes.len()))
    }

    /// Reads the compressed payload of the frame at an offset. Returns `None` if it is damaged or incomplete.
    fn payload(&mut self, at: u64, frame: &FrameHeader) -> io::Result<Option<Vec<u8>>> {
        self.input.seek(SeekFrom::Start(at + frame::FRAME_HEADER_LEN as u64))?;
        let compressed = read_up_to(&mut self.input, frame.compressed_len.into())?;
        Ok((crc32fast::hash(&compressed) == frame.checksum).then_some(compressed))
    }

    /// Returns the lowest sequence number and the earliest Unix time, in nanoseconds, of the first block.
    /// Returns the minimum of each type if that block's frame header is missing or damaged.
    ///
    /// # Errors
    ///
    /// Returns an error if the file can't be read.
    pub fn first_block_start(&mut self) -> io::Result<(u64, i64)> {
        let (frame, _) = self.frame_header_at(self.start)?;
        let block = frame.filter(|frame| !frame.is_footer);
        Ok(block.map_or((0, i64::MIN), |frame| (frame.sequences.0, frame.times.0)))
    }

    /// Returns the records of the next intact block, or `None` at the end of the file.
    ///
    /// # Errors
    ///
    /// Returns an error if the file can't be read.
    pub fn next_block(&mut self) -> io::Result<Option<Vec<Record>>> {
        while self.end.is_none() {
            let at = self.offset;
            let (frame, bytes) = self.frame_header_at(at)?;
            if bytes == 0 {
                self.end = Some(FileEnd::Unclosed);
            } else if let Some(frame) = frame {
                if let Some(records) = self.read_frame(at, &frame)? {
                    return Ok(Some(records));
                }
            } else if bytes < frame::FRAME_HEADER_LEN {
                self.end = Some(FileEnd::Truncated { at, bytes: bytes as u64 });
            } else {
                let next = self.find_frame(at + 1)?.unwrap_or(self.length);
                let reason = "damaged block header";
                self.damage.push(Damage { bytes: at..next, reason, sequences: None });
                self.offset = next;
            }
        }
        Ok(None)
    }

    /// Reads the frame at an offset and moves on to the next one. Returns `None` if there are no records to
    /// return: for the footer, an incomplete or damaged block, and one outside the time window.
    fn read_frame(&mut self, at: u64, frame: &FrameHeader) -> io::Result<Option<Vec<Record>>> {
        let next = at + (frame::FRAME_HEADER_LEN as u64) + u64::from(frame.compressed_len);
        if next > self.length {
            // The frame header's checksum matches, so the length is right: the rest was never written.
            let bytes = self.length - at;
            let end =
                if frame.is_footer { FileEnd::DamagedIndex { at } } else { FileEnd::Truncated { at, bytes } };
            self.end = Some(end);
            return Ok(None);
        }
        self.offset = next;
        if frame.is_footer {
            let trailer = read_at::<{ frame::TRAILER_LEN }>(&mut self.input, next)?;
            let closed = next + frame::TRAILER_LEN as u64 == self.length;
            let closed = closed && self.payload(at, frame)?.is_some();
            let intact = closed && trailer.and_then(|t| frame::decode_trailer(&t)) == Some(at);
            self.end = Some(if intact { FileEnd::Complete } else { FileEnd::DamagedIndex { at } });
            return Ok(None);
        }
        if frame.times.1 < self.window.start || frame.times.0 >= self.window.end {
            return Ok(None);
        }
        let damaged = |reason| Damage { bytes: at..next, reason, sequences: Some(frame.sequences) };
        let Some(compressed) = self.payload(at, frame)? else {
            self.damage.push(damaged("block checksum mismatch"));
            return Ok(None);
        };
        let block = decompress(&compressed, frame.uncompressed_len)
            .and_then(|bytes| wire::Block::decode(&bytes[..]).ok());
        let sources = self.header.sources.len();
        let records = block.map(|block| codec::decode(block, sources, &mut self.servers));
        match records {
            Some(Ok(records)) if records.len() == frame.records as usize => Ok(Some(records)),
            Some(Err(codec::DecodeError(reason))) => {
                self.damage.push(damaged(reason));
                Ok(None)
            }
            _ => {
                self.damage.push(damaged("block does not match its header"));
                Ok(None)
            }
        }
    }

    /// Returns the offset of the next intact frame header at or after `from`.
    fn find_frame(&mut self, mut from: u64) -> io::Result<Option<u64>> {
        const CHUNK_BYTES: u64 = 64 * 1024;
        while from < self.length {
            self.input.seek(SeekFrom::Start(from))?;
            let bytes = read_up_to(&mut self.input, CHUNK_BYTES + frame::FRAME_HEADER_LEN as u64)?;
            let found = (0..bytes.len().min(CHUNK_BYTES as usize)).find(|at| {
                bytes[*at] == frame::BLOCK_MAGIC[0] && FrameHeader::decode(&bytes[*at..]).is_some()
            });
            if let Some(at) = found {
                return Ok(Some(from + at as u64));
            }
            from += CHUNK_BYTES;
        }
        Ok(None)
    }

    /// Reads the index from the footer. Returns `None` if the file was not closed or its index is damaged.
    ///
    /// # Errors
    ///
    /// Returns an error if the file can't be read.
    pub fn index(&mut self) -> io::Result<Option<Index>> {
        let Some(at) = self.length.checked_sub(frame::TRAILER_LEN as u64) else { return Ok(None) };
        let trailer = read_at::<{ frame::TRAILER_LEN }>(&mut self.input, at)?;
        let Some(footer) = trailer.and_then(|t| frame::decode_trailer(&t)) else { return Ok(None) };
        if footer < self.start || footer >= at {
            return Ok(None);
        }
        let (frame, _) = self.frame_header_at(footer)?;
        let Some(frame) = frame.filter(|frame| frame.is_footer) else { return Ok(None) };
        let Some(compressed) = self.payload(footer, &frame)? else { return Ok(None) };
        let bytes = decompress(&compressed, frame.uncompressed_len);
        let footer = bytes.and_then(|bytes| wire::Footer::decode(&bytes[..]).ok());
        Ok(footer.map(|footer| Index { entries: footer.blocks }))
    }

    /// Returns the records of the block at an offset from the index; none if the block is damaged.
    ///
    /// # Errors
    ///
    /// Returns an error if the file can't be read.
    pub fn block_at(&mut self, offset: u64) -> io::Result<Vec<Record>> {
        let before = (self.offset, self.end);
        let (frame, _) = self.frame_header_at(offset)?;
        let records = match frame.filter(|frame| !frame.is_footer) {
            Some(frame) => self.read_frame(offset, &frame)?,
            None => None,
        };
        (self.offset, self.end) = before;
        Ok(records.unwrap_or_default())
    }
}

fn read_at<const N: usize>(input: &mut (impl Read + Seek), at: u64) -> io::Result<Option<[u8; N]>> {
    input.seek(SeekFrom::Start(at))?;
    Ok(read_up_to(input, N as u64)?.try_into().ok())
}

/// Index of a file's blocks.
#[derive(Clone, Debug)]
pub struct Index {
    entries: Vec<wire::Entry>,
}

impl Index {
    /// Returns the offsets of blocks that may contain a query taken under this name or idempotency key. As
    /// the index stores hashes, a block may be returned that does not.
    pub fn blocks_with_name<'a>(&'a self, name: &str) -> impl Iterator<Item = u64> + 'a {
        let hash = name_hash(name);
        let has = move |entry: &&wire::Entry| {
            prefix_sums(entry.names.iter().map(|d| u64::from(*d))).any(|h| h == u64::from(hash))
        };
        self.entries.iter().filter(has).map(|entry| entry.offset)
    }

    /// Returns the offsets of blocks with events or actions of a query of this id, of any source.
    pub fn blocks_with_query(&self, query: u64) -> impl Iterator<Item = u64> + '_ {
        let has =
            move |entry: &&wire::Entry| prefix_sums(entry.queries.iter().copied()).any(|id| id == query);
        self.entries.iter().filter(has).map(|entry| entry.offset)
    }
}

/// Restores the values from differences as `write` stores them.
fn prefix_sums(differences: impl Iterator<Item = u64>) -> impl Iterator<Item = u64> {
    differences.scan(0_u64, |sum, difference| {
        *sum = sum.wrapping_add(difference);
        Some(*sum)
    })
}
