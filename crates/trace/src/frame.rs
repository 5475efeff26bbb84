//! Binary layout of a trace file: a preamble with the header message, frames, and a trailer. Every length is
//! bounded and covered by its own checksum, so that damage can't make a reader allocate too much or misread
//! data.
//!
//! All integers are little-endian; all checksums are CRC-32.

/// Magic bytes at the start of a file.
pub const MAGIC: [u8; 8] = *b"BGTRACE\0";
/// Format version that this build writes, major and minor. Files with a newer minor version are read; files
/// with another major version are refused.
pub const FORMAT_VERSION: (u16, u16) = (1, 1);
/// Magic bytes of a block's frame header.
pub const BLOCK_MAGIC: [u8; 4] = *b"BGtB";
/// Magic bytes of the footer's frame header.
pub const FOOTER_MAGIC: [u8; 4] = *b"BGtF";
/// Magic bytes of the trailer.
pub const TRAILER_MAGIC: [u8; 8] = *b"BGTREND\0";

/// Length of the preamble in bytes: magic, version, length and checksum of the header message, and a checksum
/// of these.
pub const PREAMBLE_LEN: usize = 24;
/// Length of a frame header in bytes.
pub const FRAME_HEADER_LEN: usize = 64;
/// Length of the trailer in bytes: magic, offset of the footer, and a checksum of these.
pub const TRAILER_LEN: usize = 20;

/// Maximum length of the header message in bytes.
pub const MAX_HEADER_LEN: usize = 1024 * 1024;
/// Maximum compressed length of a block's payload in bytes.
pub const MAX_BLOCK_COMPRESSED_LEN: usize = 8 * 1024 * 1024;
/// Maximum uncompressed length of a block's payload in bytes.
pub const MAX_BLOCK_LEN: usize = 32 * 1024 * 1024;
/// Maximum length of a footer's payload in bytes, compressed and uncompressed: enough for about a hundred
/// million queries.
pub const MAX_FOOTER_LEN: usize = 512 * 1024 * 1024;

fn u32_at(bytes: &[u8], at: usize) -> u32 {
    bytes.get(at..at + 4).and_then(|b| b.try_into().ok()).map_or(0, u32::from_le_bytes)
}

fn u64_at(bytes: &[u8], at: usize) -> u64 {
    bytes.get(at..at + 8).and_then(|b| b.try_into().ok()).map_or(0, u64::from_le_bytes)
}

/// Header of a frame, which precedes its compressed payload.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FrameHeader {
    /// Whether the frame is the footer; a block otherwise.
    pub is_footer: bool,
    /// Length of the compressed payload in bytes.
    pub compressed_len: u32,
    /// Length of the uncompressed payload in bytes.
    pub uncompressed_len: u32,
    /// Number of records in the payload.
    pub records: u32,
    /// Earliest and latest Unix time of the records, in nanoseconds.
    pub times: (i64, i64),
    /// Lowest and highest sequence number of the records.
    pub sequences: (u64, u64),
    /// Checksum of the compressed payload.
    pub checksum: u32,
}

impl FrameHeader {
    /// Encodes the frame header.
    pub fn encode(&self) -> [u8; FRAME_HEADER_LEN] {
        let mut bytes = [0; FRAME_HEADER_LEN];
        bytes[..4].copy_from_slice(if self.is_footer { &FOOTER_MAGIC } else { &BLOCK_MAGIC });
        bytes[4..8].copy_from_slice(&self.compressed_len.to_le_bytes());
        bytes[8..12].copy_from_slice(&self.uncompressed_len.to_le_bytes());
        bytes[12..16].copy_from_slice(&self.records.to_le_bytes());
        bytes[16..24].copy_from_slice(&self.times.0.to_le_bytes());
        bytes[24..32].copy_from_slice(&self.times.1.to_le_bytes());
        bytes[32..40].copy_from_slice(&self.sequences.0.to_le_bytes());
        bytes[40..48].copy_from_slice(&self.sequences.1.to_le_bytes());
        bytes[48..52].copy_from_slice(&self.checksum.to_le_bytes());
        let checksum = crc32fast::hash(&bytes[..FRAME_HEADER_LEN - 4]);
        bytes[FRAME_HEADER_LEN - 4..].copy_from_slice(&checksum.to_le_bytes());
        bytes
    }

    /// Decodes a frame header. Returns `None` if there is none, if it is damaged, or if a length exceeds its
    /// maximum.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        let bytes = bytes.get(..FRAME_HEADER_LEN)?;
        let is_footer = match bytes[..4] {
            [b'B', b'G', b't', b'B'] => false,
            [b'B', b'G', b't', b'F'] => true,
            _ => return None,
        };
        if crc32fast::hash(&bytes[..FRAME_HEADER_LEN - 4]) != u32_at(bytes, FRAME_HEADER_LEN - 4) {
            return None;
        }
        let frame = FrameHeader {
            is_footer,
            compressed_len: u32_at(bytes, 4),
            uncompressed_len: u32_at(bytes, 8),
            records: u32_at(bytes, 12),
            times: (u64_at(bytes, 16) as i64, u64_at(bytes, 24) as i64),
            sequences: (u64_at(bytes, 32), u64_at(bytes, 40)),
            checksum: u32_at(bytes, 48),
        };
        let (max_compressed, max_uncompressed) = if is_footer {
            (MAX_FOOTER_LEN, MAX_FOOTER_LEN)
        } else {
            (MAX_BLOCK_COMPRESSED_LEN, MAX_BLOCK_LEN)
        };
        let within_limits = frame.compressed_len as usize <= max_compressed
            && frame.uncompressed_len as usize <= max_uncompressed;
        within_limits.then_some(frame)
    }
}

/// Encodes the preamble of a file, which precedes the header message.
pub fn encode_preamble(version: (u16, u16), message: &[u8]) -> [u8; PREAMBLE_LEN] {
    let mut bytes = [0; PREAMBLE_LEN];
    bytes[..8].copy_from_slice(&MAGIC);
    bytes[8..10].copy_from_slice(&version.0.to_le_bytes());
    bytes[10..12].copy_from_slice(&version.1.to_le_bytes());
    bytes[12..16].copy_from_slice(&(message.len() as u32).to_le_bytes());
    bytes[16..20].copy_from_slice(&crc32fast::hash(message).to_le_bytes());
    let checksum = crc32fast::hash(&bytes[..20]);
    bytes[20..].copy_from_slice(&checksum.to_le_bytes());
    bytes
}

/// Result of decoding a file's preamble.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Preamble {
    /// The file is not a trace file: the magic bytes differ.
    NotATrace,
    /// The preamble of a trace file is damaged.
    Damaged,
    /// The preamble is valid.
    Valid {
        /// Format version of the file, major and minor.
        version: (u16, u16),
        /// Length of the header message in bytes.
        length: usize,
        /// Checksum of the header message.
        checksum: u32,
    },
}

/// Decodes a file's preamble.
pub fn decode_preamble(bytes: &[u8; PREAMBLE_LEN]) -> Preamble {
    if bytes[..8] != MAGIC {
        return Preamble::NotATrace;
    }
    let length = u32_at(bytes, 12) as usize;
    if crc32fast::hash(&bytes[..20]) != u32_at(bytes, 20) || length > MAX_HEADER_LEN {
        return Preamble::Damaged;
    }
    let version = u32_at(bytes, 8);
    Preamble::Valid { version: (version as u16, (version >> 16) as u16), length, checksum: u32_at(bytes, 16) }
}

/// Encodes the trailer, which gives the offset of the footer in bytes.
pub fn encode_trailer(footer: u64) -> [u8; TRAILER_LEN] {
    let mut bytes = [0; TRAILER_LEN];
    bytes[..8].copy_from_slice(&TRAILER_MAGIC);
    bytes[8..16].copy_from_slice(&footer.to_le_bytes());
    let checksum = crc32fast::hash(&bytes[..16]);
    bytes[16..].copy_from_slice(&checksum.to_le_bytes());
    bytes
}

/// Decodes the trailer and returns the offset of the footer, or `None` if the trailer is damaged.
pub fn decode_trailer(bytes: &[u8; TRAILER_LEN]) -> Option<u64> {
    let valid = bytes[..8] == TRAILER_MAGIC && crc32fast::hash(&bytes[..16]) == u32_at(bytes, 16);
    valid.then(|| u64_at(bytes, 8))
}
