//! Server-sent events of a streamed response.

mod event_splitter;

pub use event_splitter::{EventSplitter, SseEvent};
