//! Streams that callers can come back to.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use teaselglade_core::id::{RequestId, ServerKey};
use teaselglade_core::time::Timestamp;
use teaselglade_core::verdict::RequestRefusal;
use teaselglade_request::stream::StreamEvent;

use super::{CommandSender, StreamBuffer, StreamCommand, StreamReader};

/// One stream of this host.
#[derive(Debug, Clone)]
pub(crate) struct RegisteredStream {
    /// Tokens of the stream.
    pub(crate) buffer: Arc<StreamBuffer>,
    /// Number of handovers behind the stream.
    pub(crate) generation: u16,
    /// Way to the stream's task.
    pub(crate) commands: CommandSender,
}

/// Streams that callers can come back to.
#[derive(Debug, Default)]
pub(crate) struct StreamRegistry {
    streams: Mutex<HashMap<RequestId, RegisteredStream>>,
}

impl StreamRegistry {
    /// Adds a stream in place of an earlier copy.
    pub(crate) fn insert(&self, stream: RegisteredStream) {
        self.lock().insert(stream.buffer.request, stream);
    }

    /// Returns a stream.
    pub(crate) fn find(&self, request: RequestId) -> Option<RegisteredStream> {
        self.lock().get(&request).cloned()
    }

    /// Removes a stream, unless a later copy took its place.
    pub(crate) fn remove(&self, buffer: &Arc<StreamBuffer>) {
        let mut streams = self.lock();
        let present = streams.get(&buffer.request);
        if present.is_some_and(|stream| Arc::ptr_eq(&stream.buffer, buffer)) {
            streams.remove(&buffer.request);
        }
    }

    /// Takes a seat at a stream; none where this host does not hold it.
    pub(crate) async fn attach(
        &self,
        request: RequestId,
        from: u32,
        line: Option<u16>,
    ) -> Option<Result<StreamReader, RequestRefusal>> {
        let stream = self.find(request)?;
        Some(StreamReader::take(stream.buffer, stream.commands, from, line).await)
    }

    /// Tells every stream that a server is leaving.
    pub(crate) fn announce_server_departure(&self, server: ServerKey, deadline: Timestamp) {
        self.announce(&StreamEvent::ServerLeaving { server, deadline });
    }

    /// Tells every stream that this host stops.
    pub(crate) fn announce_shutdown(&self, deadline: Timestamp) {
        let deadline = Some(deadline);
        self.announce(&StreamEvent::HostStopping { deadline });
    }

    fn announce(&self, event: &StreamEvent) {
        for stream in self.lock().values() {
            // A stream that is over needs no news.
            let _over = stream.commands.send(StreamCommand::Event(event.clone()));
        }
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<RequestId, RegisteredStream>> {
        self.streams.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
