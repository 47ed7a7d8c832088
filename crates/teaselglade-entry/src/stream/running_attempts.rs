//! Attempts of one stream at backend servers.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;

use teaselglade_core::id::{AttemptId, ServerKey};
use teaselglade_core::port::{AttemptError, GenerateCall, KvTransfer};
use teaselglade_core::table::ServiceRow;
use teaselglade_core::verdict::{RefusalReason, RequestRefusal, SendProgress};
use teaselglade_request::stream::StreamEvent;
use tokio::task::AbortHandle;

use super::attempt_reader::read_attempt;
use super::{CommandSender, StreamCommand};
use crate::host::EntryHost;

#[derive(Debug)]
struct RunningAttempt {
    server: ServerKey,
    reader: AbortHandle,
}

/// Attempts of one stream at backend servers, and the server chosen for the next one.
#[derive(Debug)]
pub(super) struct RunningAttempts {
    host: Arc<EntryHost>,
    commands: CommandSender,
    chosen: Option<ServerKey>,
    running: HashMap<AttemptId, RunningAttempt>,
}

impl RunningAttempts {
    /// Makes the attempts of a stream that has none.
    pub(super) fn new(host: Arc<EntryHost>, commands: CommandSender) -> Self {
        Self {
            host,
            commands,
            chosen: None,
            running: HashMap::new(),
        }
    }

    /// Chooses a server for the next attempt.
    pub(super) fn place(
        &mut self,
        ticket: u32,
        row: &ServiceRow,
        exclude: &[ServerKey],
    ) -> StreamEvent {
        self.give_back_choice();
        let Some(entry) = self.host.choose_server(row, exclude) else {
            let refusal = RequestRefusal::not_run(RefusalReason::NoServer, &row.name);
            return StreamEvent::NotPlaced { ticket, refusal };
        };
        let server = entry.key;
        self.chosen = Some(server);
        StreamEvent::Placed { ticket, server }
    }

    /// Starts an attempt on a task of its own.
    pub(super) fn start(&mut self, server: ServerKey, call: GenerateCall, fresh_connection: bool) {
        if self.chosen == Some(server) {
            self.chosen = None;
        }
        let attempt = call.attempt;
        let Some(address) = self.address(server) else {
            let error = AttemptError::new(SendProgress::NotSent, "the server is unknown");
            self.tell(StreamEvent::AttemptFailed { attempt, error });
            return;
        };
        let backend = if fresh_connection {
            self.host.ports.fresh_backend()
        } else {
            Arc::clone(&self.host.ports.backend)
        };
        let reading = read_attempt(backend, address, call, self.commands.clone());
        let reader = tokio::spawn(reading).abort_handle();
        self.running
            .insert(attempt, RunningAttempt { server, reader });
    }

    /// Notes that an attempt ended by itself.
    pub(super) fn finish(&mut self, attempt: AttemptId) {
        if let Some(running) = self.running.remove(&attempt) {
            self.host.release_server(running.server);
        }
    }

    /// Stops reading an attempt and tells its server.
    pub(super) fn cancel(&mut self, server: ServerKey, attempt: AttemptId) {
        let Some(running) = self.running.remove(&attempt) else {
            return;
        };
        running.reader.abort();
        self.host.release_server(server);
        let Some(address) = self.address(server) else {
            return;
        };
        let backend = Arc::clone(&self.host.ports.backend);
        tokio::spawn(async move { backend.cancel(address, attempt).await });
    }

    /// Moves an attempt's KV cache on a task of its own.
    pub(super) fn move_kv(&self, ticket: u32, attempt: AttemptId, from: ServerKey, to: ServerKey) {
        let (Some(source), Some(target)) = (self.address(from), self.address(to)) else {
            self.tell(StreamEvent::KvFailed { ticket });
            return;
        };
        let backend = Arc::clone(&self.host.ports.backend);
        let commands = self.commands.clone();
        tokio::spawn(async move {
            let transfer = KvTransfer { attempt, target };
            let event = match backend.move_kv(source, transfer).await {
                Ok(handle) => StreamEvent::KvMoved { ticket, handle },
                Err(_error) => StreamEvent::KvFailed { ticket },
            };
            // A stream that is over needs no cache.
            let _over = commands.send(StreamCommand::Event(event));
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
        self.give_back_choice();
        for (_, running) in self.running.drain() {
            running.reader.abort();
            self.host.release_server(running.server);
        }
    }

    fn give_back_choice(&mut self) {
        if let Some(server) = self.chosen.take() {
            self.host.release_server(server);
        }
    }

    fn address(&self, server: ServerKey) -> Option<SocketAddr> {
        let directory = self.host.directory();
        directory.server(server).map(|entry| entry.address)
    }

    fn tell(&self, event: StreamEvent) {
        // A stream that is over needs no news.
        let _over = self.commands.send(StreamCommand::Event(event));
    }
}
