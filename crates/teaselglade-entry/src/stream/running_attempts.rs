//! Running attempts of one stream.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;

use teaselglade_core::id::{AttemptId, ServerKey};
use teaselglade_core::port::{AttemptError, EngineEvent, GenerateCall, KvTransfer};
use teaselglade_core::verdict::SendProgress;
use teaselglade_placement::policy::PlacementEvent;
use teaselglade_request::stream::StreamEvent;
use tokio::task::AbortHandle;

use super::attempt_reader::read_attempt;
use super::{CommandSender, StreamCommand};
use crate::host::EntryHost;
use crate::placement::PlacementRequest;

#[derive(Debug)]
struct RunningAttempt {
    reader: AbortHandle,
    has_token: bool,
}

/// Starts, tracks and cancels the attempts of one stream at backend servers.
#[derive(Debug)]
pub(super) struct RunningAttempts {
    host: Arc<EntryHost>,
    commands: CommandSender,
    last_request: Option<PlacementRequest>,
    running: HashMap<AttemptId, RunningAttempt>,
}

impl RunningAttempts {
    /// Creates the tracker of a stream that has no attempts yet.
    pub(super) fn new(host: Arc<EntryHost>, commands: CommandSender) -> Self {
        Self {
            host,
            commands,
            last_request: None,
            running: HashMap::new(),
        }
    }

    /// Chooses a server for the next attempt: the preferred one if it is usable.
    pub(super) fn place(
        &mut self,
        operation_id: u32,
        request: PlacementRequest,
        preferred_server: Option<ServerKey>,
    ) -> StreamEvent {
        if let Some(server) = preferred_server.filter(|server| self.is_usable(*server, &request)) {
            self.last_request = Some(request);
            return StreamEvent::Placed {
                operation_id,
                server,
            };
        }
        let result = self.host.placement().place(self.host.now(), &request);
        self.last_request = Some(request);
        match result {
            Ok(server) => StreamEvent::Placed {
                operation_id,
                server,
            },
            Err(refusal) => StreamEvent::NotPlaced {
                operation_id,
                refusal,
            },
        }
    }

    /// Starts an attempt in a separate task.
    pub(super) fn start(&mut self, server: ServerKey, call: GenerateCall, fresh_connection: bool) {
        let attempt = call.attempt;
        let Some(address) = self.address(server) else {
            let error = AttemptError::new(SendProgress::NotSent, "the server is unknown");
            self.send_event(StreamEvent::AttemptFailed { attempt, error });
            return;
        };
        let backend = if fresh_connection {
            self.host.ports.fresh_backend()
        } else {
            Arc::clone(&self.host.ports.backend)
        };
        if let Some(request) = &self.last_request {
            let now = self.host.now();
            self.host
                .placement()
                .record_dispatch(now, attempt, server, request);
        }
        let reading = read_attempt(backend, address, call, self.commands.clone());
        let reader = tokio::spawn(reading).abort_handle();
        self.running.insert(
            attempt,
            RunningAttempt {
                reader,
                has_token: false,
            },
        );
    }

    /// Reports an attempt's start and first token to the placement.
    pub(super) fn observe_frame(&mut self, frame: &EngineEvent) {
        match frame {
            EngineEvent::Started {
                attempt,
                computed_tokens,
                cached_tokens,
            } => self.host.observe_attempt(&PlacementEvent::Started {
                attempt: *attempt,
                computed_tokens: *computed_tokens,
                cached_tokens: *cached_tokens,
            }),
            EngineEvent::Token { attempt, .. } => self.observe_token(*attempt),
            EngineEvent::End { .. } => {}
        }
    }

    /// Records that an attempt ended without being cancelled.
    pub(super) fn finish(&mut self, attempt: AttemptId) {
        if self.running.remove(&attempt).is_some() {
            self.host
                .observe_attempt(&PlacementEvent::Ended { attempt });
        }
    }

    /// Stops reading an attempt and cancels it at its server.
    pub(super) fn cancel(&mut self, server: ServerKey, attempt: AttemptId) {
        let Some(running) = self.running.remove(&attempt) else {
            return;
        };
        running.reader.abort();
        self.host
            .observe_attempt(&PlacementEvent::Ended { attempt });
        let Some(address) = self.address(server) else {
            return;
        };
        let backend = Arc::clone(&self.host.ports.backend);
        tokio::spawn(async move { backend.cancel(address, attempt).await });
    }

    /// Moves an attempt's KV cache between servers in a separate task.
    pub(super) fn move_kv(
        &self,
        operation_id: u32,
        attempt: AttemptId,
        from: ServerKey,
        to: ServerKey,
    ) {
        let (Some(source), Some(target)) = (self.address(from), self.address(to)) else {
            self.send_event(StreamEvent::KvFailed { operation_id });
            return;
        };
        let backend = Arc::clone(&self.host.ports.backend);
        let commands = self.commands.clone();
        tokio::spawn(async move {
            let transfer = KvTransfer { attempt, target };
            let event = match backend.move_kv(source, transfer).await {
                Ok(handle) => StreamEvent::KvMoved {
                    operation_id,
                    handle,
                },
                Err(_error) => StreamEvent::KvFailed { operation_id },
            };
            // A finished stream no longer needs the cache.
            let _finished = commands.send(StreamCommand::Event(event));
        });
    }

    /// Returns the host name of a server.
    pub(super) fn host_name(&self, server: Option<ServerKey>) -> Option<String> {
        let directory = self.host.directory();
        let entry = directory.server(server?)?;
        Some(entry.host.as_str().to_owned())
    }

    /// Stops reading every attempt.
    pub(super) fn release_all(&mut self) {
        for (attempt, running) in self.running.drain() {
            running.reader.abort();
            self.host
                .observe_attempt(&PlacementEvent::Ended { attempt });
        }
    }

    fn observe_token(&mut self, attempt: AttemptId) {
        let Some(running) = self.running.get_mut(&attempt) else {
            return;
        };
        if !running.has_token {
            running.has_token = true;
            self.host
                .observe_attempt(&PlacementEvent::FirstToken { attempt });
        }
    }

    fn is_usable(&self, server: ServerKey, request: &PlacementRequest) -> bool {
        let directory = self.host.directory();
        directory.server(server).is_some_and(|entry| {
            let row = &request.row;
            entry.is_available() && row.permits(&entry.class, &entry.zone, entry.cents_per_hour)
        })
    }

    fn address(&self, server: ServerKey) -> Option<SocketAddr> {
        let directory = self.host.directory();
        directory.server(server).map(|entry| entry.address)
    }

    fn send_event(&self, event: StreamEvent) {
        // A finished stream no longer receives events.
        let _finished = self.commands.send(StreamCommand::Event(event));
    }
}
