//! Splits the bytes of an event stream into whole events.

use bytes::{Bytes, BytesMut};

const ID_FIELD: &[u8] = b"id:";

/// One whole event, as the server sent it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SseEvent {
    /// Bytes with the empty line that ends the event.
    pub bytes: Bytes,
    /// Id of the event, where it has one.
    pub id: Option<u64>,
}

/// Splits the bytes of an event stream into whole events.
///
/// A server may break off in the middle of an event. What stays unfinished is never passed on, so
/// that another server can go on behind the last whole event.
///
/// # Examples
///
/// ```
/// use teaselglade_routing::event::EventSplitter;
///
/// let mut splitter = EventSplitter::default();
/// let pieces = splitter.push(b"id: 3\ndata: ring\n\nid: 4\nda");
/// assert_eq!(pieces.len(), 1);
/// assert_eq!(pieces[0].id, Some(3));
/// assert!(splitter.has_partial_event());
/// ```
#[derive(Debug, Default)]
pub struct EventSplitter {
    rest: BytesMut,
}

impl EventSplitter {
    /// Takes in bytes and returns the events that they complete.
    pub fn push(&mut self, bytes: &[u8]) -> Vec<SseEvent> {
        self.rest.extend_from_slice(bytes);
        let mut pieces = Vec::new();
        while let Some(end) = event_end(&self.rest) {
            let bytes = self.rest.split_to(end).freeze();
            let id = event_id(&bytes);
            pieces.push(SseEvent { bytes, id });
        }
        pieces
    }

    /// Returns whether an unfinished event is held back.
    #[must_use]
    pub fn has_partial_event(&self) -> bool {
        !self.rest.is_empty()
    }
}

/// Returns the offset behind the first empty line.
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
