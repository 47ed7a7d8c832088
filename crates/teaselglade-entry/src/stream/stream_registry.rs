//! Registry of the streams that this host holds.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use teaselglade_core::id::{RequestId, ServerKey};
use teaselglade_core::time::Timestamp;
use teaselglade_core::verdict::RequestRefusal;
use teaselglade_request::stream::StreamEvent;

use super::{CommandSender, StreamBuffer, StreamCommand, StreamReader};

/// Holds the buffer and the command channel of one stream.
#[derive(Debug, Clone)]
pub(crate) struct RegisteredStream {
    /// Tokens of the stream.
    pub(crate) buffer: Arc<StreamBuffer>,
    /// Generation of the stream's record, which each handover raises.
    pub(crate) generation: u16,
    /// Command channel of the stream's task.
    pub(crate) commands: CommandSender,
}

/// Holds the streams of this host, which callers can resume.
#[derive(Debug, Default)]
pub(crate) struct StreamRegistry {
    state: Mutex<RegistryState>,
}

#[derive(Debug, Default)]
struct RegistryState {
    streams: HashMap<RequestId, RegisteredStream>,
    /// When this host stops, as announced last.
    shutdown_at: Option<Timestamp>,
}

impl StreamRegistry {
    /// Adds a stream, replacing an earlier copy.
    ///
    /// Announces a shutdown to a stream that starts after it was announced to the others.
    pub(crate) fn insert(&self, stream: RegisteredStream) {
        let mut state = self.lock();
        if let Some(deadline) = state.shutdown_at {
            send_event(
                &stream,
                StreamEvent::HostStopping {
                    deadline: Some(deadline),
                },
            );
        }
        state.streams.insert(stream.buffer.request, stream);
    }

    /// Returns the stream of a request.
    pub(crate) fn find(&self, request: RequestId) -> Option<RegisteredStream> {
        self.lock().streams.get(&request).cloned()
    }

    /// Removes a stream, unless a later copy has replaced it.
    pub(crate) fn remove(&self, buffer: &Arc<StreamBuffer>) {
        let streams = &mut self.lock().streams;
        let registered = streams.get(&buffer.request);
        if registered.is_some_and(|stream| Arc::ptr_eq(&stream.buffer, buffer)) {
            streams.remove(&buffer.request);
        }
    }

    /// Returns whether this host holds no stream, not even one that is whole.
    pub(crate) fn is_empty(&self) -> bool {
        self.lock().streams.is_empty()
    }

    /// Returns the requests whose streams this host holds.
    pub(crate) fn ids(&self) -> Vec<RequestId> {
        self.lock().streams.keys().copied().collect()
    }

    /// Attaches a reader to a stream, or returns `None` if it is not held here.
    pub(crate) async fn attach(
        &self,
        request: RequestId,
        from: u32,
        copy_id: Option<u16>,
    ) -> Option<Result<StreamReader, RequestRefusal>> {
        let stream = self.find(request)?;
        Some(StreamReader::attach(stream.buffer, stream.commands, from, copy_id).await)
    }

    /// Announces to every stream that a server is leaving.
    pub(crate) fn announce_server_departure(&self, server: ServerKey, deadline: Timestamp) {
        for stream in self.lock().streams.values() {
            send_event(stream, StreamEvent::ServerLeaving { server, deadline });
        }
    }

    /// Announces to every stream that this host stops.
    pub(crate) fn announce_shutdown(&self, deadline: Timestamp) {
        let mut state = self.lock();
        state.shutdown_at = Some(deadline);
        for stream in state.streams.values() {
            send_event(
                stream,
                StreamEvent::HostStopping {
                    deadline: Some(deadline),
                },
            );
        }
    }

    fn lock(&self) -> MutexGuard<'_, RegistryState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn send_event(stream: &RegisteredStream, event: StreamEvent) {
    // A finished stream no longer receives events.
    let _finished = stream.commands.send(StreamCommand::Event(event));
}
