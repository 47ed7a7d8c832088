//! Splits the bytes of an event stream into complete events.

use bytes::{Bytes, BytesMut};

const ID_FIELD: &[u8] = b"id:";

/// One complete event, byte for byte as the server sent it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SseEvent {
    /// Bytes of the event with the empty line that ends it.
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
}

impl EventSplitter {
    /// Appends received bytes and returns the events that they complete.
    pub fn push(&mut self, bytes: &[u8]) -> Vec<SseEvent> {
        self.buffer.extend_from_slice(bytes);
        let mut events = Vec::new();
        while let Some(end) = event_end(&self.buffer) {
            let bytes = self.buffer.split_to(end).freeze();
            let id = event_id(&bytes);
            events.push(SseEvent { bytes, id });
        }
        events
    }

    /// Returns whether the buffer holds an incomplete event.
    #[must_use]
    pub fn has_partial_event(&self) -> bool {
        !self.buffer.is_empty()
    }
}

/// Returns the offset after the first empty line.
fn event_end(bytes: &[u8]) -> Option<usize> {
    let mut line_start = 0;
    for (index, byte) in bytes.iter().enumerate() {
        if *byte != b'\n' {
            continue;
        }
        let line = &bytes[line_start..index];
        if line.is_empty() || line == b"\r" {
            return Some(index + 1);
        }
        line_start = index + 1;
    }
    None
}

fn event_id(event: &[u8]) -> Option<u64> {
    let mut lines = event.split(|byte| *byte == b'\n');
    let line = lines.find_map(|line| line.strip_prefix(ID_FIELD))?;
    std::str::from_utf8(line).ok()?.trim().parse().ok()
}
