//! HTTP/1.1 messages: requests are parsed in place, bodies delimited by length or in chunks; a response's
//! head and body are separate buffers for a vectored write.

use std::fmt;

/// Longest accepted request head, in bytes.
pub const MAX_HEAD_BYTES: usize = 16 * 1024;
/// Longest accepted request body, in bytes.
pub const MAX_BODY_BYTES: usize = 64 * 1024;
/// Capacity that a connection's buffer keeps between requests, in bytes.
const IDLE_BUFFER_BYTES: usize = 2 * 1024;
const MAX_HEADERS: usize = 64;
/// Longest chunk-size line and trailer line, in bytes.
const MAX_CHUNK_LINE_BYTES: usize = 1024;

/// Why a message is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HttpError {
    /// It is not a valid HTTP/1.1 message.
    Malformed,
    /// Its head exceeds [`MAX_HEAD_BYTES`] or has too many headers.
    HeadTooLong,
    /// Its body exceeds [`MAX_BODY_BYTES`].
    BodyTooLong,
    /// Its transfer coding is not supported.
    UnsupportedTransferCoding,
}

impl HttpError {
    /// The HTTP status code of the response.
    pub fn status(self) -> u16 {
        match self {
            HttpError::Malformed => 400,
            HttpError::HeadTooLong => 431,
            HttpError::BodyTooLong => 413,
            HttpError::UnsupportedTransferCoding => 501,
        }
    }
}

impl fmt::Display for HttpError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            HttpError::Malformed => "malformed message",
            HttpError::HeadTooLong => "head too long",
            HttpError::BodyTooLong => "body too long",
            HttpError::UnsupportedTransferCoding => "unknown transfer coding",
        })
    }
}

impl std::error::Error for HttpError {}

/// A request that borrows from the connection's buffer.
#[derive(Debug)]
pub struct Request<'a> {
    /// The method.
    pub method: &'a str,
    /// The request target: path and query.
    pub target: &'a str,
    /// The headers: name and value.
    pub headers: Vec<(&'a str, &'a [u8])>,
    /// The body, decoded.
    pub body: &'a [u8],
    /// Whether the client allows another request on the connection.
    pub keep_alive: bool,
}

impl Request<'_> {
    /// The value of the first header of this name without surrounding white space, if it is UTF-8.
    pub fn header(&self, name: &str) -> Option<&str> {
        let (_, value) = self.headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name))?;
        std::str::from_utf8(value).ok().map(str::trim)
    }
}

/// Incremental decoder of a chunked body.
#[derive(Debug, Default)]
pub struct ChunkedDecoder {
    state: ChunkState,
    line: Vec<u8>,
}

#[derive(Debug, Default, PartialEq)]
enum ChunkState {
    #[default]
    Size,
    Data(usize),
    DataEnd,
    Trailer,
    Done,
}

impl ChunkedDecoder {
    /// Decodes bytes, appends their content to `body` and returns how many were consumed.
    ///
    /// # Errors
    ///
    /// When the chunked coding is malformed.
    pub fn decode(&mut self, bytes: &[u8], body: &mut Vec<u8>) -> Result<usize, HttpError> {
        let mut at = 0;
        while at < bytes.len() && self.state != ChunkState::Done {
            if let ChunkState::Data(left) = self.state {
                let copied = left.min(bytes.len() - at);
                body.extend_from_slice(&bytes[at..at + copied]);
                at += copied;
                self.state =
                    if copied == left { ChunkState::DataEnd } else { ChunkState::Data(left - copied) };
                continue;
            }
            let rest = &bytes[at..];
            let end = rest.iter().position(|&b| b == b'\n');
            self.line.extend_from_slice(&rest[..end.unwrap_or(rest.len())]);
            at += end.map_or(rest.len(), |end| end + 1);
            if self.line.len() > MAX_CHUNK_LINE_BYTES {
                return Err(HttpError::Malformed);
            }
            if end.is_some() {
                let line = std::mem::take(&mut self.line);
                self.end_line(line.strip_suffix(b"\r").unwrap_or(&line))?;
            }
        }
        Ok(at)
    }

    /// Handles a complete line: a chunk size, the end of a chunk or a trailer.
    fn end_line(&mut self, line: &[u8]) -> Result<(), HttpError> {
        self.state = match self.state {
            ChunkState::Size => {
                let text = std::str::from_utf8(line).map_err(|_| HttpError::Malformed)?;
                let digits = text.split(';').next().unwrap_or("").trim();
                // `from_str_radix` also accepts a sign.
                let is_hex = digits.bytes().all(|b| b.is_ascii_hexdigit());
                match usize::from_str_radix(digits, 16) {
                    Ok(0) if is_hex => ChunkState::Trailer,
                    Ok(size) if is_hex => ChunkState::Data(size),
                    _ => return Err(HttpError::Malformed),
                }
            }
            ChunkState::DataEnd if line.is_empty() => ChunkState::Size,
            ChunkState::Trailer if line.is_empty() => ChunkState::Done,
            ChunkState::Trailer => ChunkState::Trailer,
            _ => return Err(HttpError::Malformed),
        };
        Ok(())
    }

    /// Whether the last chunk and the trailer have been decoded.
    pub fn is_done(&self) -> bool {
        self.state == ChunkState::Done
    }
}

/// How the end of a body is found.
#[derive(Debug)]
enum Framing {
    Length(usize),
    Chunked(ChunkedDecoder),
}

/// A complete request head.
#[derive(Debug)]
struct Head {
    /// Its length, in bytes.
    length: usize,
    /// The framing of the body behind it.
    framing: Framing,
}

/// Incremental parser of the consecutive requests of one connection.
#[derive(Debug, Default)]
pub struct RequestReader {
    bytes: Vec<u8>,
    /// Until the head is complete, how far `bytes` has been searched for its end; then the head's length plus
    /// the bytes of the chunked body consumed so far.
    scanned: usize,
    /// The request's head, once it is complete.
    head: Option<Head>,
    /// The decoded content of a chunked body.
    body: Vec<u8>,
}

impl RequestReader {
    /// Appends input from the connection.
    pub fn push(&mut self, bytes: &[u8]) {
        self.bytes.extend_from_slice(bytes);
    }

    /// Whether any input has been received that is not consumed.
    pub fn has_input(&self) -> bool {
        !self.bytes.is_empty()
    }

    /// Memory of the buffers, in bytes.
    pub fn buffer_bytes(&self) -> usize {
        self.bytes.capacity() + self.body.capacity()
    }

    /// Whether the buffer holds more than the longest request, so that no more input is needed before it is
    /// consumed.
    pub fn is_full(&self) -> bool {
        self.bytes.len() > MAX_HEAD_BYTES + MAX_BODY_BYTES
    }

    /// Parses the new input and returns whether a complete request is available.
    ///
    /// # Errors
    ///
    /// When the input is not a valid request or exceeds a limit.
    pub fn has_complete_request(&mut self) -> Result<bool, HttpError> {
        if self.head.is_none() && !self.find_head()? {
            return Ok(false);
        }
        let Some(head) = &mut self.head else { return Ok(false) };
        match &mut head.framing {
            Framing::Length(length) => Ok(self.bytes.len() >= head.length + *length),
            Framing::Chunked(chunks) => {
                // Consumed bytes are removed, which bounds the buffer however small the chunks are.
                let used = chunks.decode(&self.bytes[head.length..], &mut self.body)?;
                self.bytes.drain(head.length..head.length + used);
                self.scanned += used;
                if self.body.len() > MAX_BODY_BYTES || self.scanned > 8 * MAX_BODY_BYTES {
                    return Err(HttpError::BodyTooLong);
                }
                Ok(chunks.is_done())
            }
        }
    }

    /// Searches for the end of the head from where the last search stopped, and parses it.
    fn find_head(&mut self) -> Result<bool, HttpError> {
        // Empty lines before a request are skipped, as RFC 9112 asks.
        if self.scanned == 0 {
            let blank = self.bytes.iter().take_while(|b| matches!(b, b'\r' | b'\n')).count();
            self.bytes.drain(..blank);
        }
        let from = self.scanned.saturating_sub(3);
        let is_head_end = |at: &usize| {
            let rest = &self.bytes[*at..];
            rest.starts_with(b"\n\r\n") || rest.starts_with(b"\n\n")
        };
        let found = (from..self.bytes.len()).find(is_head_end);
        self.scanned = self.bytes.len();
        if found.unwrap_or(self.scanned) > MAX_HEAD_BYTES {
            return Err(HttpError::HeadTooLong);
        }
        if found.is_none() {
            return Ok(false);
        }
        let (length, request) = parse(&self.bytes)?;
        let framing = framing(&request)?;
        self.scanned = length;
        self.head = Some(Head { length, framing });
        Ok(true)
    }

    /// The complete request.
    ///
    /// # Errors
    ///
    /// When there is none.
    pub fn request(&self) -> Result<Request<'_>, HttpError> {
        let (_, mut request) = parse(&self.bytes)?;
        request.body = match self.head.as_ref().ok_or(HttpError::Malformed)? {
            Head { length: head, framing: Framing::Length(length) } => {
                self.bytes.get(*head..head + length).ok_or(HttpError::Malformed)?
            }
            Head { framing: Framing::Chunked(_), .. } => &self.body,
        };
        Ok(request)
    }

    /// Removes the complete request and keeps the input behind it.
    pub fn consume_request(&mut self) {
        let used = match self.head.take() {
            Some(Head { length: head, framing: Framing::Length(length) }) => head + length,
            Some(Head { length: head, framing: Framing::Chunked(_) }) => head,
            None => 0,
        };
        self.bytes.drain(..used.min(self.bytes.len()));
        self.bytes.shrink_to(IDLE_BUFFER_BYTES);
        self.body = Vec::new();
        self.scanned = 0;
    }
}

/// Parses a complete head; returns its length and the request without its body.
fn parse(bytes: &[u8]) -> Result<(usize, Request<'_>), HttpError> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut parsed = httparse::Request::new(&mut headers);
    let length = match parsed.parse(bytes) {
        Ok(httparse::Status::Complete(length)) => length,
        Err(httparse::Error::TooManyHeaders) => return Err(HttpError::HeadTooLong),
        _ => return Err(HttpError::Malformed),
    };
    let (Some(method), Some(target), Some(version)) = (parsed.method, parsed.path, parsed.version) else {
        return Err(HttpError::Malformed);
    };
    let headers: Vec<(&str, &[u8])> = parsed.headers.iter().map(|h| (h.name, h.value)).collect();
    let mut request = Request { method, target, headers, body: &[], keep_alive: true };
    let connection = request.header("connection").unwrap_or("").to_ascii_lowercase();
    let has_option = |word: &str| connection.split(',').any(|w| w.trim() == word);
    request.keep_alive = if version == 0 { has_option("keep-alive") } else { !has_option("close") };
    Ok((length, request))
}

fn framing(request: &Request<'_>) -> Result<Framing, HttpError> {
    let values = |name: &'static str| {
        request.headers.iter().filter(move |(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, v)| *v)
    };
    let codings: Vec<&[u8]> = values("transfer-encoding").collect();
    let mut lengths = values("content-length");
    match (codings.as_slice(), lengths.next()) {
        // Accepting both allows two readings of one message, and with them request smuggling.
        ([_, ..], Some(_)) => Err(HttpError::Malformed),
        ([coding], None) if coding.trim_ascii().eq_ignore_ascii_case(b"chunked") => {
            Ok(Framing::Chunked(ChunkedDecoder::default()))
        }
        ([_, ..], None) => Err(HttpError::UnsupportedTransferCoding),
        ([], None) => Ok(Framing::Length(0)),
        ([], Some(length)) => {
            let text = std::str::from_utf8(length).map_err(|_| HttpError::Malformed)?.trim();
            if text.is_empty() || !text.bytes().all(|b| b.is_ascii_digit()) || lengths.any(|l| l != length) {
                return Err(HttpError::Malformed);
            }
            match text.parse() {
                Ok(length) if length <= MAX_BODY_BYTES => Ok(Framing::Length(length)),
                _ => Err(HttpError::BodyTooLong),
            }
        }
    }
}

/// A response.
#[derive(Clone, Debug, PartialEq)]
pub struct Response {
    /// The status code.
    pub status: u16,
    /// The value of `Content-Type`.
    pub content_type: &'static str,
    /// Further headers: name and value.
    pub headers: Vec<(&'static str, String)>,
    /// The body.
    pub body: Vec<u8>,
}

impl Response {
    /// A plain-text response; a line feed is appended.
    pub fn text(status: u16, text: impl Into<String>) -> Self {
        let body = (text.into() + "\n").into_bytes();
        Response { status, content_type: "text/plain; charset=utf-8", headers: Vec::new(), body }
    }

    /// The encoded status line and headers. The body is queued separately, without copying it.
    pub fn head(&self, keep_alive: bool) -> Vec<u8> {
        let mut head = format!(
            "HTTP/1.1 {} {}\r\nContent-Type: {}\r\nContent-Length: {}\r\n",
            self.status,
            reason_phrase(self.status),
            self.content_type,
            self.body.len()
        );
        for (name, value) in &self.headers {
            head += &format!("{name}: {value}\r\n");
        }
        head += if keep_alive { "\r\n" } else { "Connection: close\r\n\r\n" };
        head.into_bytes()
    }
}

fn reason_phrase(status: u16) -> &'static str {
    match status {
        200 => "OK",
        400 => "Bad Request",
        404 => "Not Found",
        405 => "Method Not Allowed",
        408 => "Request Timeout",
        409 => "Conflict",
        413 => "Content Too Large",
        431 => "Request Header Fields Too Large",
        500 => "Internal Server Error",
        501 => "Not Implemented",
        502 => "Bad Gateway",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        _ => "Other",
    }
}

#[cfg(test)]
mod tests;
