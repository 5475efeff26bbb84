//! Reading a trace file, sound or not: every record of every block that is whole, and what is missing.

use std::fmt;
use std::io::{self, Read, Seek, SeekFrom};
use std::ops::Range;

use prost::Message;

use crate::codec;
use crate::frame::{self, Frame, Head};
use crate::header::{Header, from_wire};
use crate::record::{Record, ServerNames};
use crate::wire;
use crate::write::name_hash;

/// Why a file is not read at all.
#[derive(Debug)]
pub enum OpenError {
    /// It can't be read from.
    Io(io::Error),
    /// It holds nothing.
    Empty,
    /// It is no trace file.
    Foreign,
    /// It ends before its header does.
    Short,
    /// Its header is damaged: whose records these are can't be told.
    Damaged,
    /// It was written by a version with another meaning.
    Version {
        /// The file's.
        file: (u16, u16),
    },
}

impl fmt::Display for OpenError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            OpenError::Io(error) => error.fmt(f),
            OpenError::Empty => f.write_str("is empty"),
            OpenError::Foreign => f.write_str("is no trace file"),
            OpenError::Short => f.write_str("ends before its header does, and holds no records"),
            OpenError::Damaged => f.write_str("its header is damaged: whose records these are can't be told"),
            OpenError::Version { file } => {
                let (ours, theirs) = (frame::VERSION, file);
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

/// Bytes that were skipped.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Damage {
    /// Where in the file.
    pub bytes: Range<u64>,
    /// What is wrong there.
    pub why: &'static str,
    /// The sequence numbers that the block's head gives, where that is sound.
    pub sequences: Option<(u64, u64)>,
}

impl fmt::Display for Damage {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "bytes {} to {}: {}", self.bytes.start, self.bytes.end, self.why)?;
        match self.sequences {
            Some((first, last)) => write!(f, " (steps {first} to {last})"),
            None => Ok(()),
        }
    }
}

/// How a file ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// With its footer and trailer.
    Whole,
    /// After a whole block: it was not closed.
    Open,
    /// In the middle of a block that begins here, as a crash leaves it.
    Half {
        /// Where the half block begins.
        at: u64,
        /// Bytes of it that are there.
        bytes: u64,
    },
    /// Its footer or trailer is damaged, or something follows.
    Tail {
        /// Where the last sound thing ends.
        at: u64,
    },
}

impl fmt::Display for End {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            End::Whole => f.write_str("whole"),
            End::Open => f.write_str("not closed: it has no index, and all its blocks are whole"),
            End::Half { at, bytes } => {
                write!(
                    f,
                    "cut short: the last {bytes} bytes, from {at} on, are half a block and are left out"
                )
            }
            End::Tail { at } => {
                write!(f, "its index is damaged, from byte {at} on; its blocks are read one by one")
            }
        }
    }
}

/// A trace file being read, block by block.
pub struct Reader<R> {
    input: R,
    length: u64,
    offset: u64,
    version: (u16, u16),
    header: Header,
    /// Where the first block begins.
    start: u64,
    servers: ServerNames,
    damage: Vec<Damage>,
    end: Option<End>,
    /// Blocks all before or all after these Unix times are skipped unread.
    window: Range<i64>,
}

/// Reads what there is, up to so many bytes: memory is taken for bytes that are there alone.
fn read_up_to(input: &mut impl Read, most: u64) -> io::Result<Vec<u8>> {
    let mut bytes = Vec::new();
    input.take(most).read_to_end(&mut bytes)?;
    Ok(bytes)
}

/// Unpacks a payload into exactly `raw` bytes, or not at all.
fn unpack(packed: &[u8], raw: u32) -> Option<Vec<u8>> {
    let decoder = zstd::stream::read::Decoder::with_buffer(packed).ok()?;
    let mut bytes = Vec::new();
    decoder.take(u64::from(raw) + 1).read_to_end(&mut bytes).ok()?;
    (bytes.len() == raw as usize).then_some(bytes)
}

impl<R: Read + Seek> Reader<R> {
    /// Reads the header.
    ///
    /// # Errors
    ///
    /// When it is no trace file of a version that is known, or whose it is can't be told.
    pub fn open(mut input: R) -> Result<Self, OpenError> {
        let length = input.seek(SeekFrom::End(0))?;
        input.seek(SeekFrom::Start(0))?;
        if length == 0 {
            return Err(OpenError::Empty);
        }
        let bytes = read_up_to(&mut input, frame::HEAD as u64)?;
        let Ok(head) = <[u8; frame::HEAD]>::try_from(&bytes[..]) else {
            let begun = frame::MAGIC.starts_with(&bytes[..bytes.len().min(frame::MAGIC.len())])
                || bytes.starts_with(&frame::MAGIC);
            return Err(if begun { OpenError::Short } else { OpenError::Foreign });
        };
        let (version, size, sum) = match frame::read_head(&head) {
            Head::Foreign => return Err(OpenError::Foreign),
            Head::Damaged => return Err(OpenError::Damaged),
            Head::Sound { version, length, sum } => (version, length, sum),
        };
        if version.0 != frame::VERSION.0 {
            return Err(OpenError::Version { file: version });
        }
        let message = read_up_to(&mut input, size as u64)?;
        if message.len() < size {
            return Err(OpenError::Short);
        }
        if crc32fast::hash(&message) != sum {
            return Err(OpenError::Damaged);
        }
        let header = wire::Header::decode(&message[..]).map_err(|_| OpenError::Damaged)?;
        let start = (frame::HEAD + size) as u64;
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

    /// What the file says of itself.
    pub fn header(&self) -> &Header {
        &self.header
    }

    /// The version it was written by.
    pub fn version(&self) -> (u16, u16) {
        self.version
    }

    /// Bytes in all.
    pub fn length(&self) -> u64 {
        self.length
    }

    /// Where reading has come to.
    pub fn offset(&self) -> u64 {
        self.offset
    }

    /// The servers named so far.
    pub fn servers(&self) -> &ServerNames {
        &self.servers
    }

    /// What was skipped so far.
    pub fn damage(&self) -> &[Damage] {
        &self.damage
    }

    /// How the file ends, once [`Reader::next_block`] has given none.
    pub fn end(&self) -> Option<End> {
        self.end
    }

    /// Skips blocks that lie outside these Unix times, in nanoseconds.
    pub fn only(&mut self, window: Range<i64>) {
        self.window = window;
    }

    /// All that is wrong with what was read so far, in words; nothing where the file is whole.
    pub fn faults(&self) -> Vec<String> {
        let end = self.end.filter(|end| *end != End::Whole).map(|end| end.to_string());
        self.damage.iter().map(ToString::to_string).chain(end).collect()
    }

    /// The sound head of a frame that stands at an offset, and whatever bytes of one are there.
    fn head_at(&mut self, at: u64) -> io::Result<(Option<Frame>, usize)> {
        self.input.seek(SeekFrom::Start(at))?;
        let head = read_up_to(&mut self.input, frame::FRAME_HEAD as u64)?;
        Ok((Frame::decode(&head), head.len()))
    }

    /// The payload of a frame whose head stands at an offset; none where it is damaged or short.
    fn payload(&mut self, at: u64, frame: &Frame) -> io::Result<Option<Vec<u8>>> {
        self.input.seek(SeekFrom::Start(at + frame::FRAME_HEAD as u64))?;
        let packed = read_up_to(&mut self.input, frame.packed.into())?;
        Ok((crc32fast::hash(&packed) == frame.sum).then_some(packed))
    }

    /// The lowest sequence number and the earliest Unix time that the first block's head gives; the least there
    /// are where that can't be told.
    ///
    /// # Errors
    ///
    /// When the file can't be read from.
    pub fn begins(&mut self) -> io::Result<(u64, i64)> {
        let (frame, _) = self.head_at(self.start)?;
        let block = frame.filter(|frame| !frame.footer);
        Ok(block.map_or((0, i64::MIN), |frame| (frame.sequences.0, frame.times.0)))
    }

    /// The records of the next whole block; none at the end.
    ///
    /// # Errors
    ///
    /// When the file can't be read from.
    pub fn next_block(&mut self) -> io::Result<Option<Vec<Record>>> {
        while self.end.is_none() {
            let at = self.offset;
            let (frame, bytes) = self.head_at(at)?;
            if bytes == 0 {
                self.end = Some(End::Open);
            } else if let Some(frame) = frame {
                if let Some(records) = self.frame(at, &frame)? {
                    return Ok(Some(records));
                }
            } else if bytes < frame::FRAME_HEAD {
                self.end = Some(End::Half { at, bytes: bytes as u64 });
            } else {
                let next = self.find_frame(at + 1)?.unwrap_or(self.length);
                let why = "a block's head is damaged";
                self.damage.push(Damage { bytes: at..next, why, sequences: None });
                self.offset = next;
            }
        }
        Ok(None)
    }

    fn frame(&mut self, at: u64, frame: &Frame) -> io::Result<Option<Vec<Record>>> {
        let next = at + (frame::FRAME_HEAD as u64) + u64::from(frame.packed);
        if next > self.length {
            // The head's checksum holds, so its length does: the rest was never written.
            let bytes = self.length - at;
            self.end = Some(if frame.footer { End::Tail { at } } else { End::Half { at, bytes } });
            return Ok(None);
        }
        self.offset = next;
        if frame.footer {
            let trailer = read_at::<{ frame::TRAILER_LEN }>(&mut self.input, next)?;
            let closed = next + frame::TRAILER_LEN as u64 == self.length;
            let closed = closed && self.payload(at, frame)?.is_some();
            let sound = closed && trailer.and_then(|t| frame::read_trailer(&t)) == Some(at);
            self.end = Some(if sound { End::Whole } else { End::Tail { at } });
            return Ok(None);
        }
        if frame.times.1 < self.window.start || frame.times.0 >= self.window.end {
            return Ok(None);
        }
        let damaged = |why| Damage { bytes: at..next, why, sequences: Some(frame.sequences) };
        let Some(packed) = self.payload(at, frame)? else {
            self.damage.push(damaged("a block is damaged"));
            return Ok(None);
        };
        let block = unpack(&packed, frame.raw).and_then(|raw| wire::Block::decode(&raw[..]).ok());
        let sources = self.header.sources.len();
        let records = block.map(|block| codec::decode(block, sources, &mut self.servers));
        match records {
            Some(Ok(records)) if records.len() == frame.records as usize => Ok(Some(records)),
            Some(Err(codec::Unreadable(why))) => {
                self.damage.push(damaged(why));
                Ok(None)
            }
            _ => {
                self.damage.push(damaged("a block is not what its head says"));
                Ok(None)
            }
        }
    }

    /// The next place from `from` on where a sound frame's head stands.
    fn find_frame(&mut self, mut from: u64) -> io::Result<Option<u64>> {
        const CHUNK: u64 = 64 * 1024;
        while from < self.length {
            self.input.seek(SeekFrom::Start(from))?;
            let bytes = read_up_to(&mut self.input, CHUNK + frame::FRAME_HEAD as u64)?;
            let found = (0..bytes.len().min(CHUNK as usize))
                .find(|at| bytes[*at] == frame::BLOCK[0] && Frame::decode(&bytes[*at..]).is_some());
            if let Some(at) = found {
                return Ok(Some(from + at as u64));
            }
            from += CHUNK;
        }
        Ok(None)
    }

    /// The index behind the blocks; none where the file was not closed or its index is damaged.
    ///
    /// # Errors
    ///
    /// When the file can't be read from.
    pub fn index(&mut self) -> io::Result<Option<Index>> {
        let Some(at) = self.length.checked_sub(frame::TRAILER_LEN as u64) else { return Ok(None) };
        let trailer = read_at::<{ frame::TRAILER_LEN }>(&mut self.input, at)?;
        let Some(footer) = trailer.and_then(|t| frame::read_trailer(&t)) else { return Ok(None) };
        if footer < self.start || footer >= at {
            return Ok(None);
        }
        let (frame, _) = self.head_at(footer)?;
        let Some(frame) = frame.filter(|frame| frame.footer) else { return Ok(None) };
        let Some(packed) = self.payload(footer, &frame)? else { return Ok(None) };
        let raw = unpack(&packed, frame.raw);
        let footer = raw.and_then(|raw| wire::Footer::decode(&raw[..]).ok());
        Ok(footer.map(|footer| Index { entries: footer.blocks }))
    }

    /// Reads one block that the index names.
    ///
    /// # Errors
    ///
    /// When the file can't be read from.
    pub fn block_at(&mut self, offset: u64) -> io::Result<Vec<Record>> {
        let before = (self.offset, self.end);
        let (frame, _) = self.head_at(offset)?;
        let records = match frame.filter(|frame| !frame.footer) {
            Some(frame) => self.frame(offset, &frame)?,
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

/// A file's index.
#[derive(Clone, Debug)]
pub struct Index {
    entries: Vec<wire::Entry>,
}

impl Index {
    /// Where blocks are that a query of this name may have been taken in.
    pub fn named<'a>(&'a self, name: &str) -> impl Iterator<Item = u64> + 'a {
        let hash = name_hash(name);
        let has = move |entry: &&wire::Entry| {
            summed(entry.names.iter().map(|d| u64::from(*d))).any(|h| h == u64::from(hash))
        };
        self.entries.iter().filter(has).map(|entry| entry.offset)
    }

    /// Where blocks are that say something of a query of this id, of any source.
    pub fn about(&self, query: u64) -> impl Iterator<Item = u64> + '_ {
        let has = move |entry: &&wire::Entry| summed(entry.queries.iter().copied()).any(|id| id == query);
        self.entries.iter().filter(has).map(|entry| entry.offset)
    }
}

fn summed(differences: impl Iterator<Item = u64>) -> impl Iterator<Item = u64> {
    differences.scan(0_u64, |sum, difference| {
        *sum = sum.wrapping_add(difference);
        Some(*sum)
    })
}
