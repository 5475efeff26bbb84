//! Writing a trace file: records in compressed blocks, followed by an index.

use std::collections::{BTreeMap, BTreeSet};
use std::io::{self, Write};

use badgergauge_core::Event;
use prost::Message;

use crate::codec::Encoder;
use crate::frame::{self, FrameHeader};
use crate::header::{Header, to_wire};
use crate::record::{Record, ServerNames};
use crate::track::{QueryTracker, query_of_action, query_of_event};
use crate::wire;

/// Approximate uncompressed size in bytes at which a block is written.
const BLOCK_BYTES: usize = 256 * 1024;
/// zstd compression level: takes a tenth of the time of the protobuf encoding, and still halves the size.
const ZSTD_LEVEL: i32 = 3;

/// Returns the hash of a query's name or idempotency key that the index stores.
pub fn name_hash(name: &str) -> u32 {
    crc32fast::hash(name.as_bytes())
}

/// Summary of the records in the open block, for its frame header and its index entry.
#[derive(Default)]
struct BlockSummary {
    records: u32,
    /// Approximate uncompressed size in bytes.
    bytes: usize,
    /// Earliest and latest Unix time in nanoseconds.
    times: Option<(i64, i64)>,
    /// Lowest and highest sequence number, by source.
    spans: BTreeMap<u32, (u64, u64)>,
    /// Number of queries taken, by class.
    taken: Vec<u32>,
    /// Hashes of the names and idempotency keys of queries taken.
    names: BTreeSet<u32>,
    /// Ids of queries that have events or actions in the block.
    queries: BTreeSet<u64>,
}

/// Writes a trace file.
///
/// After an error the file may end with an incomplete block, which readers skip; the writer must not be used
/// any more.
pub struct Writer<W: Write> {
    out: W,
    /// Number of bytes written.
    offset: u64,
    /// Number of records in the blocks written.
    written: u64,
    header: Header,
    encoder: Encoder,
    /// One per source.
    trackers: Vec<QueryTracker>,
    summary: BlockSummary,
    entries: Vec<wire::Entry>,
    compressor: zstd::bulk::Compressor<'static>,
}

impl<W: Write> Writer<W> {
    /// Starts a file by writing its header.
    ///
    /// # Errors
    ///
    /// Returns an error if the header can't be written or is longer than readers accept.
    pub fn new(mut out: W, header: Header) -> io::Result<Self> {
        let message = to_wire(&header).encode_to_vec();
        if message.len() > frame::MAX_HEADER_LEN {
            let fault = format!(
                "trace header too long: {} bytes, the maximum is {}",
                message.len(),
                frame::MAX_HEADER_LEN
            );
            return Err(io::Error::new(io::ErrorKind::InvalidInput, fault));
        }
        out.write_all(&frame::encode_preamble(frame::FORMAT_VERSION, &message))?;
        out.write_all(&message)?;
        Ok(Writer {
            out,
            offset: (frame::PREAMBLE_LEN + message.len()) as u64,
            written: 0,
            trackers: vec![QueryTracker::default(); header.sources.len()],
            header,
            encoder: Encoder::default(),
            summary: BlockSummary::default(),
            entries: Vec::new(),
            compressor: zstd::bulk::Compressor::new(ZSTD_LEVEL)?,
        })
    }

    /// Adds a record, and writes the block once it is full. Sequence numbers must increase within each
    /// source.
    ///
    /// # Errors
    ///
    /// Returns an error if the header has no such source, or if a full block can't be written.
    pub fn add(&mut self, record: &Record, servers: &ServerNames) -> io::Result<()> {
        let Some(source) = self.header.sources.get(record.source as usize) else {
            return Err(io::Error::new(
                io::ErrorKind::InvalidInput,
                format!("record of source {}, which the trace header does not list", record.source),
            ));
        };
        let tracker = &mut self.trackers[record.source as usize];
        let summary = &mut self.summary;
        let unix = source.unix_nanos(record.time);
        let (first, last) = summary.times.unwrap_or((unix, unix));
        summary.times = Some((first.min(unix), last.max(unix)));
        let span = summary.spans.entry(record.source).or_insert((record.sequence, record.sequence));
        *span = (span.0.min(record.sequence), span.1.max(record.sequence));
        for event in &record.events {
            tracker.observe(record.time, event);
            if let Event::Query(query) = event {
                if summary.taken.len() <= query.class {
                    summary.taken.resize(query.class.min(u8::MAX.into()) + 1, 0);
                }
                if let Some(count) = summary.taken.get_mut(query.class) {
                    *count += 1;
                }
            }
            summary.queries.extend(query_of_event(tracker, event).map(|query| query.0));
        }
        for names in &record.query_names {
            summary.names.insert(name_hash(&names.name));
            summary.names.extend(names.idempotency_key.as_deref().map(name_hash));
        }
        let queries = record.actions.iter().filter_map(|action| query_of_action(tracker, action));
        summary.queries.extend(queries.map(|query| query.0));
        summary.records += 1;
        summary.bytes += self.encoder.add(record, servers);
        if summary.bytes >= BLOCK_BYTES { self.flush() } else { Ok(()) }
    }

    /// Returns the lowest and highest sequence number of the first source in the open block, or `None` if the
    /// block is empty.
    pub fn pending(&self) -> Option<(u64, u64)> {
        self.summary.spans.values().next().copied()
    }

    /// Returns the number of records in the blocks written so far.
    pub fn written(&self) -> u64 {
        self.written
    }

    /// Returns the number of bytes written so far, plus the approximate size of the open block.
    pub fn size(&self) -> u64 {
        self.offset + self.summary.bytes as u64
    }

    /// Writes the open block and flushes the output. Records added before stay readable if the writer is
    /// dropped afterwards.
    ///
    /// # Errors
    ///
    /// Returns an error if the block can't be written.
    pub fn flush(&mut self) -> io::Result<()> {
        let block = self.encoder.take();
        let summary = std::mem::take(&mut self.summary);
        let Some(times) = summary.times else { return Ok(()) };
        let entry = wire::Entry {
            offset: self.offset,
            records: summary.records,
            first_time: times.0,
            last_time: times.1,
            spans: spans(&summary.spans),
            taken: summary.taken,
            names: differences(summary.names.into_iter().map(u64::from)).map(|d| d as u32).collect(),
            queries: differences(summary.queries.into_iter()).collect(),
        };
        let first = summary.spans.values().map(|span| span.0).min().unwrap_or(0);
        let last = summary.spans.values().map(|span| span.1).max().unwrap_or(0);
        let frame = FrameHeader {
            records: summary.records,
            times,
            sequences: (first, last),
            ..FrameHeader::default()
        };
        self.write_frame(frame, &block.encode_to_vec())?;
        self.entries.push(entry);
        self.written += u64::from(summary.records);
        self.out.flush()
    }

    /// Compresses a payload and writes it as a frame, with its lengths and checksum filled in.
    fn write_frame(&mut self, frame: FrameHeader, payload: &[u8]) -> io::Result<()> {
        let compressed = self.compressor.compress(payload)?;
        let (max_compressed, max_uncompressed) = match frame.is_footer {
            true => (frame::MAX_FOOTER_LEN, frame::MAX_FOOTER_LEN),
            false => (frame::MAX_BLOCK_COMPRESSED_LEN, frame::MAX_BLOCK_LEN),
        };
        if compressed.len() > max_compressed || payload.len() > max_uncompressed {
            let fault = format!(
                "trace {} too long: {} bytes, {} compressed; the maximum is {max_uncompressed} bytes, \
                 {max_compressed} compressed",
                if frame.is_footer { "footer" } else { "block" },
                payload.len(),
                compressed.len(),
            );
            return Err(io::Error::new(io::ErrorKind::InvalidInput, fault));
        }
        let frame = FrameHeader {
            compressed_len: compressed.len() as u32,
            uncompressed_len: payload.len() as u32,
            checksum: crc32fast::hash(&compressed),
            ..frame
        };
        self.out.write_all(&frame.encode())?;
        self.out.write_all(&compressed)?;
        self.offset += (frame::FRAME_HEADER_LEN + compressed.len()) as u64;
        Ok(())
    }

    /// Writes the open block, the footer and the trailer. Nothing may be added afterwards.
    ///
    /// # Errors
    ///
    /// Returns an error if they can't be written.
    pub fn close(&mut self) -> io::Result<()> {
        self.flush()?;
        let blocks = std::mem::take(&mut self.entries);
        let footer = wire::Footer { header: Some(to_wire(&self.header)), blocks };
        let offset = self.offset;
        self.write_frame(FrameHeader { is_footer: true, ..FrameHeader::default() }, &footer.encode_to_vec())?;
        self.out.write_all(&frame::encode_trailer(offset))?;
        self.offset += frame::TRAILER_LEN as u64;
        self.out.flush()
    }

    /// Closes the file and returns the output.
    ///
    /// # Errors
    ///
    /// Returns an error if the end of the file can't be written.
    pub fn finish(mut self) -> io::Result<W> {
        self.close()?;
        Ok(self.out)
    }
}

fn spans(spans: &BTreeMap<u32, (u64, u64)>) -> Vec<wire::Span> {
    spans.iter().map(|(&source, &(first, last))| wire::Span { source, first, last }).collect()
}

/// Replaces each value of an ascending sequence by its difference to the one before; `read` restores them.
fn differences(sorted: impl Iterator<Item = u64>) -> impl Iterator<Item = u64> {
    let mut last = 0;
    sorted.map(move |value| value - std::mem::replace(&mut last, value))
}
