//! Server-sent events of a streamed answer.

mod event_splitter;

pub use event_splitter::{EventSplitter, SseEvent};
