//! Splits the bytes of an event stream into complete events.

use bytes::{Bytes, BytesMut};

const ID_FIELD: &[u8] = b"id:";

/// Maximum size of one event, with the empty lines and comments before it.
pub const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// One complete event, byte for byte as the server sent it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SseEvent {
    /// Bytes of the event with the empty line that ends it.
    ///
    /// Empty lines and comments before the event are included, as they carry nothing by themselves.
    pub bytes: Bytes,
    /// Id of the event, if it has a numeric one.
    pub id: Option<u64>,
}

/// Splits the bytes of an event stream into complete events.
///
/// A server may fail in the middle of an event. Incomplete events are never passed on, so that
/// another server can continue after the last complete event.
///
/// # Examples
///
/// ```
/// use teaselglade_routing::event::EventSplitter;
///
/// let mut splitter = EventSplitter::default();
/// let events = splitter.push(b"id: 3\ndata: ring\n\nid: 4\nda");
/// assert_eq!(events.len(), 1);
/// assert_eq!(events[0].id, Some(3));
/// assert!(splitter.has_partial_event());
/// ```
#[derive(Debug, Default)]
pub struct EventSplitter {
    buffer: BytesMut,
    /// Number of bytes of the buffer that were examined.
    examined: usize,
    /// Offset of the line that is not complete yet.
    line_start: usize,
    /// Whether a complete line of the buffer carries a field.
    has_field: bool,
}

impl EventSplitter {
    /// Appends received bytes and returns the events that they complete.
    pub fn push(&mut self, bytes: &[u8]) -> Vec<SseEvent> {
        self.buffer.extend_from_slice(bytes);
        let mut events = Vec::new();
        while let Some(end) = self.find_event_end() {
            let bytes = self.buffer.split_to(end).freeze();
            (self.examined, self.line_start, self.has_field) = (0, 0, false);
            let id = event_id(&bytes);
            events.push(SseEvent { bytes, id });
        }
        events
    }

    /// Returns whether the buffer holds an incomplete event.
    ///
    /// Empty lines and comments are none.
    #[must_use]
    pub fn has_partial_event(&self) -> bool {
        self.has_field || is_field(&self.buffer[self.line_start..])
    }

    /// Returns whether the event that is arriving is longer than [`MAX_EVENT_BYTES`].
    #[must_use]
    pub fn is_oversized(&self) -> bool {
        self.buffer.len() > MAX_EVENT_BYTES
    }

    /// Takes the bytes after the last event, at the end of a stream without an incomplete one.
    pub fn take_rest(&mut self) -> Bytes {
        std::mem::take(self).buffer.freeze()
    }

    /// Returns the offset after the empty line that ends the first event.
    fn find_event_end(&mut self) -> Option<usize> {
        while self.examined < self.buffer.len() {
            let index = self.examined;
            self.examined += 1;
            if self.buffer[index] != b'\n' {
                continue;
            }
            let line = &self.buffer[self.line_start..index];
            self.line_start = index + 1;
            let is_empty = line.is_empty() || line == b"\r";
            if is_empty && self.has_field {
                return Some(index + 1);
            }
            self.has_field |= is_field(line);
        }
        None
    }
}

/// Returns whether a line, complete or not, carries a field of an event.
fn is_field(line: &[u8]) -> bool {
    !matches!(line, [] | b"\r" | [b':', ..])
}

fn event_id(event: &[u8]) -> Option<u64> {
    let mut lines = event.split(|byte| *byte == b'\n');
    let line = lines.find_map(|line| line.strip_prefix(ID_FIELD))?;
    std::str::from_utf8(line).ok()?.trim().parse().ok()
}
