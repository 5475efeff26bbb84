//! Writing a trace file: records into blocks, and an index behind them.

use std::collections::{BTreeMap, BTreeSet};
use std::io::{self, Write};

use badgergauge_core::Event;
use prost::Message;

use crate::codec::Encoder;
use crate::frame::{self, Frame};
use crate::header::{Header, to_wire};
use crate::record::{Record, Servers};
use crate::track::{QueryTracker, query_of_action, query_of_event};
use crate::wire;

/// A block is closed once it holds about so many bytes.
const BLOCK_BYTES: usize = 256 * 1024;
/// `zstd`'s level: one that costs a tenth of what the protobuf does, and halves the size all the same.
const LEVEL: i32 = 3;

/// The hash of a query's name that a footer keeps.
pub fn name_hash(name: &str) -> u32 {
    crc32fast::hash(name.as_bytes())
}

/// What is known of the block under way.
#[derive(Default)]
struct Summed {
    records: u32,
    bytes: usize,
    times: Option<(i64, i64)>,
    spans: BTreeMap<u32, (u64, u64)>,
    taken: Vec<u32>,
    names: BTreeSet<u32>,
    queries: BTreeSet<u64>,
}

/// A trace file being written.
///
/// After an error the file ends in half a block, which readers cut off: it is of no further use.
pub struct Writer<W: Write> {
    out: W,
    offset: u64,
    written: u64,
    header: Header,
    encoder: Encoder,
    trackers: Vec<QueryTracker>,
    summed: Summed,
    entries: Vec<wire::Entry>,
    compressor: zstd::bulk::Compressor<'static>,
}

impl<W: Write> Writer<W> {
    /// Begins a file with its header.
    ///
    /// # Errors
    ///
    /// When it can't be written, or the header is longer than a reader would take.
    pub fn new(mut out: W, header: Header) -> io::Result<Self> {
        let message = to_wire(&header).encode_to_vec();
        if message.len() > frame::MAX_HEADER {
            return Err(io::Error::new(io::ErrorKind::InvalidInput, "the header is too long"));
        }
        out.write_all(&frame::head(frame::VERSION, &message))?;
        out.write_all(&message)?;
        Ok(Writer {
            out,
            offset: (frame::HEAD + message.len()) as u64,
            written: 0,
            trackers: vec![QueryTracker::default(); header.sources.len()],
            header,
            encoder: Encoder::default(),
            summed: Summed::default(),
            entries: Vec::new(),
            compressor: zstd::bulk::Compressor::new(LEVEL)?,
        })
    }

    /// Adds a record of one of the header's sources, whose numbers must go up.
    ///
    /// # Errors
    ///
    /// When a block that is full can't be written.
    pub fn add(&mut self, record: &Record, servers: &Servers) -> io::Result<()> {
        let Some(source) = self.header.sources.get(record.source as usize) else {
            return Err(io::Error::new(
                io::ErrorKind::InvalidInput,
                "a source that the header does not name",
            ));
        };
        let tracker = &mut self.trackers[record.source as usize];
        let summed = &mut self.summed;
        let unix = source.unix(record.time);
        let (first, last) = summed.times.unwrap_or((unix, unix));
        summed.times = Some((first.min(unix), last.max(unix)));
        let span = summed.spans.entry(record.source).or_insert((record.sequence, record.sequence));
        *span = (span.0.min(record.sequence), span.1.max(record.sequence));
        for event in &record.events {
            tracker.observe(record.time, event);
            if let Event::Query(query) = event {
                if summed.taken.len() <= query.class {
                    summed.taken.resize(query.class.min(u8::MAX.into()) + 1, 0);
                }
                if let Some(count) = summed.taken.get_mut(query.class) {
                    *count += 1;
                }
            }
            summed.queries.extend(query_of_event(tracker, event).map(|query| query.0));
        }
        for named in &record.named {
            summed.names.insert(name_hash(&named.name));
            summed.names.extend(named.idempotency.as_deref().map(name_hash));
        }
        let about = record.actions.iter().filter_map(|action| query_of_action(tracker, action));
        summed.queries.extend(about.map(|query| query.0));
        summed.records += 1;
        summed.bytes += self.encoder.add(record, servers);
        if summed.bytes >= BLOCK_BYTES { self.flush() } else { Ok(()) }
    }

    /// Sequence numbers of the first source that are in no block yet, first and last.
    pub fn pending(&self) -> Option<(u64, u64)> {
        self.summed.spans.values().next().copied()
    }

    /// Records in blocks that were written.
    pub fn written(&self) -> u64 {
        self.written
    }

    /// Bytes written so far, and about those that are not.
    pub fn size(&self) -> u64 {
        self.offset + self.summed.bytes as u64
    }

    /// Closes the block under way: what was added is in the file from here on, whatever happens to the writer.
    ///
    /// # Errors
    ///
    /// When it can't be written.
    pub fn flush(&mut self) -> io::Result<()> {
        let block = self.encoder.take();
        let summed = std::mem::take(&mut self.summed);
        let Some(times) = summed.times else { return Ok(()) };
        let entry = wire::Entry {
            offset: self.offset,
            records: summed.records,
            first_time: times.0,
            last_time: times.1,
            spans: spans(&summed.spans),
            taken: summed.taken,
            names: differences(summed.names.into_iter().map(u64::from)).map(|d| d as u32).collect(),
            queries: differences(summed.queries.into_iter()).collect(),
        };
        let first = summed.spans.values().map(|span| span.0).min().unwrap_or(0);
        let last = summed.spans.values().map(|span| span.1).max().unwrap_or(0);
        let about = Frame { records: summed.records, times, sequences: (first, last), ..Frame::default() };
        self.frame(about, &block.encode_to_vec())?;
        self.entries.push(entry);
        self.written += u64::from(summed.records);
        self.out.flush()
    }

    fn frame(&mut self, about: Frame, raw: &[u8]) -> io::Result<()> {
        let packed = self.compressor.compress(raw)?;
        let (most_packed, most_raw) = match about.footer {
            true => (frame::MAX_FOOTER, frame::MAX_FOOTER),
            false => (frame::MAX_PACKED, frame::MAX_RAW),
        };
        if packed.len() > most_packed || raw.len() > most_raw {
            return Err(io::Error::new(io::ErrorKind::InvalidInput, "more than a reader would take"));
        }
        let head = Frame {
            packed: packed.len() as u32,
            raw: raw.len() as u32,
            sum: crc32fast::hash(&packed),
            ..about
        };
        self.out.write_all(&head.encode())?;
        self.out.write_all(&packed)?;
        self.offset += (frame::FRAME_HEAD + packed.len()) as u64;
        Ok(())
    }

    /// Closes the file with its footer and trailer. Nothing may be added after it.
    ///
    /// # Errors
    ///
    /// When they can't be written.
    pub fn close(&mut self) -> io::Result<()> {
        self.flush()?;
        let blocks = std::mem::take(&mut self.entries);
        let footer = wire::Footer { header: Some(to_wire(&self.header)), blocks };
        let offset = self.offset;
        self.frame(Frame { footer: true, ..Frame::default() }, &footer.encode_to_vec())?;
        self.out.write_all(&frame::trailer(offset))?;
        self.offset += frame::TRAILER_LEN as u64;
        self.out.flush()
    }

    /// Closes the file, and gives back what it was written to.
    ///
    /// # Errors
    ///
    /// When its end can't be written.
    pub fn finish(mut self) -> io::Result<W> {
        self.close()?;
        Ok(self.out)
    }
}

fn spans(spans: &BTreeMap<u32, (u64, u64)>) -> Vec<wire::Span> {
    spans.iter().map(|(&source, &(first, last))| wire::Span { source, first, last }).collect()
}

fn differences(sorted: impl Iterator<Item = u64>) -> impl Iterator<Item = u64> {
    let mut last = 0;
    sorted.map(move |value| value - std::mem::replace(&mut last, value))
}
