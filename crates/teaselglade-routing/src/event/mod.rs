//! Server-sent events of a streamed response.

mod event_splitter;

pub use event_splitter::{EventSplitter, MAX_EVENT_BYTES, SseEvent};
