//! Scans the heads of consecutive responses on one connection.

use std::collections::VecDeque;

use hyper::StatusCode;
use hyper::header::{CONTENT_LENGTH, HeaderMap, HeaderName, HeaderValue, TRANSFER_ENCODING};
use teaselglade_net::client::is_final_status;

const HEAD_END: &[u8] = b"\r\n\r\n";
const LINE_END: &[u8] = b"\r\n";
/// Longest head of a response, or line of a chunk's size, that is scanned.
const MAX_HEAD_BYTES: usize = 64 * 1024;

/// How the body of a response ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum BodyFraming {
    Length(usize),
    Chunked,
    /// With the connection, so that no response can follow.
    UntilClose,
}

/// What the scanner expects next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ScanState {
    Head,
    /// So many bytes of a body, or of a chunk with its line end.
    Bytes {
        left: usize,
        is_chunk: bool,
    },
    ChunkSize,
    Trailer,
    /// No response can follow, or the bytes are none.
    Ended,
}

/// Scans the heads of consecutive responses on one connection.
///
/// Only heads are kept; the bytes of bodies are passed over.
///
/// # Examples
///
/// ```
/// use teaselglade_host::upstream::ResponseScanner;
///
/// let mut scanner = ResponseScanner::default();
/// scanner.push(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 503 Full\r\n");
/// assert_eq!(scanner.next_head().map(|(status, _)| status.as_u16()), Some(200));
/// assert!(scanner.next_head().is_none());
/// scanner.push(b"Retry-After: 2\r\n\r\n");
/// let (status, headers) = scanner.next_head().expect("a head");
/// assert_eq!((status.as_u16(), &headers["retry-after"]), (503, &"2".parse()?));
/// # Ok::<(), hyper::header::InvalidHeaderValue>(())
/// ```
#[derive(Debug)]
pub struct ResponseScanner {
    unread: Vec<u8>,
    state: ScanState,
    /// Heads that were scanned and not returned yet.
    scanned: VecDeque<(StatusCode, HeaderMap)>,
}

impl Default for ResponseScanner {
    fn default() -> Self {
        Self {
            unread: Vec::new(),
            state: ScanState::Head,
            scanned: VecDeque::new(),
        }
    }
}

impl ResponseScanner {
    /// Appends bytes that were read from the connection.
    pub fn push(&mut self, bytes: &[u8]) {
        self.unread.extend_from_slice(bytes);
    }

    /// Returns whether no further response can be found.
    #[must_use]
    pub fn has_ended(&self) -> bool {
        self.state == ScanState::Ended
    }

    /// Returns the status and the headers of the next response, if its head is complete.
    pub fn next_head(&mut self) -> Option<(StatusCode, HeaderMap)> {
        self.scanned.pop_front().or_else(|| self.scan_head())
    }

    /// Scans what was appended, so that only heads and one incomplete line or head are held.
    pub(super) fn compact(&mut self) {
        while let Some(head) = self.scan_head() {
            self.scanned.push_back(head);
        }
        if self.has_ended() {
            self.unread.clear();
        }
    }

    /// Returns the number of bytes that were appended and not scanned.
    pub(super) const fn unscanned_bytes(&self) -> usize {
        self.unread.len()
    }

    fn scan_head(&mut self) -> Option<(StatusCode, HeaderMap)> {
        loop {
            match self.state {
                ScanState::Head => {
                    let head = self.take_until(HEAD_END)?;
                    let Some((status, headers)) = parse_head(&head) else {
                        self.state = ScanState::Ended;
                        return None;
                    };
                    self.state = state_of_body(status, &headers);
                    if !status.is_informational() {
                        return Some((status, headers));
                    }
                }
                ScanState::Bytes { left, is_chunk } => {
                    let taken = left.min(self.unread.len());
                    self.unread.drain(..taken);
                    if taken < left {
                        let left = left - taken;
                        self.state = ScanState::Bytes { left, is_chunk };
                        return None;
                    }
                    self.state = if is_chunk {
                        ScanState::ChunkSize
                    } else {
                        ScanState::Head
                    };
                }
                ScanState::ChunkSize => {
                    let line = self.take_until(LINE_END)?;
                    self.state = match parse_chunk_size(&line) {
                        Some(0) => ScanState::Trailer,
                        Some(size) => ScanState::Bytes {
                            left: size.saturating_add(LINE_END.len()),
                            is_chunk: true,
                        },
                        None => ScanState::Ended,
                    };
                }
                ScanState::Trailer => {
                    if self.take_until(LINE_END)?.is_empty() {
                        self.state = ScanState::Head;
                    }
                }
                ScanState::Ended => return None,
            }
        }
    }

    /// Takes the bytes up to a mark, without it; ends the scan if there is none for too long.
    fn take_until(&mut self, mark: &[u8]) -> Option<Vec<u8>> {
        let mut windows = self.unread.windows(mark.len());
        let Some(length) = windows.position(|window| window == mark) else {
            if self.unread.len() > MAX_HEAD_BYTES {
                self.state = ScanState::Ended;
            }
            return None;
        };
        let taken = self.unread[..length].to_vec();
        self.unread.drain(..length + mark.len());
        Some(taken)
    }
}

fn parse_chunk_size(line: &[u8]) -> Option<usize> {
    let line = std::str::from_utf8(line).ok()?;
    let size = line.split(';').next()?.trim();
    usize::from_str_radix(size, 16).ok()
}

/// Parses a status line and headers; `None` if they are no head of an HTTP/1 response.
fn parse_head(head: &[u8]) -> Option<(StatusCode, HeaderMap)> {
    let head = std::str::from_utf8(head).ok()?;
    let mut lines = head.split("\r\n");
    let status_line = lines.next()?.strip_prefix("HTTP/1.")?;
    let status: StatusCode = status_line.split(' ').nth(1)?.parse().ok()?;
    if !status.is_informational() && !is_final_status(status) {
        return None;
    }
    let mut headers = HeaderMap::new();
    for line in lines {
        let (name, value) = line.split_once(':')?;
        let name: HeaderName = name.parse().ok()?;
        headers.append(name, HeaderValue::from_str(value.trim()).ok()?);
    }
    Some((status, headers))
}

fn state_of_body(status: StatusCode, headers: &HeaderMap) -> ScanState {
    match body_framing(status, headers) {
        BodyFraming::Length(left) => ScanState::Bytes {
            left,
            is_chunk: false,
        },
        BodyFraming::Chunked => ScanState::ChunkSize,
        BodyFraming::UntilClose => ScanState::Ended,
    }
}

fn body_framing(status: StatusCode, headers: &HeaderMap) -> BodyFraming {
    let has_no_body = status.is_informational()
        || status == StatusCode::NO_CONTENT
        || status == StatusCode::NOT_MODIFIED;
    if has_no_body {
        return BodyFraming::Length(0);
    }
    let text = |name| headers.get(name).and_then(|value| value.to_str().ok());
    if let Some(encoding) = text(TRANSFER_ENCODING) {
        return if encoding.trim().eq_ignore_ascii_case("chunked") {
            BodyFraming::Chunked
        } else {
            BodyFraming::UntilClose
        };
    }
    let length = text(CONTENT_LENGTH).and_then(|length| length.trim().parse().ok());
    length.map_or(BodyFraming::UntilClose, BodyFraming::Length)
}
