//! Reader of a stream on behalf of a caller.

use std::sync::Arc;

use teaselglade_core::verdict::{ExecutionVerdict, RefusalReason, RequestRefusal};
use teaselglade_request::stream::{CallerSession, StreamEvent};
use tokio::sync::oneshot;

use super::{CommandSender, StreamBuffer, StreamCommand};

/// Reads a stream for one caller; dropping it reports that the caller disconnected.
#[derive(Debug)]
pub(crate) struct StreamReader {
    /// Tokens of the stream.
    pub(crate) buffer: Arc<StreamBuffer>,
    commands: Option<(CommandSender, CallerSession)>,
}

impl StreamReader {
    /// Creates the reader of the caller that started the stream.
    pub(super) fn started(buffer: Arc<StreamBuffer>, commands: CommandSender) -> Self {
        let commands = Some((commands, CallerSession::default()));
        Self { buffer, commands }
    }

    /// Creates a reader of a buffer that a relay fills from a peer.
    pub(crate) const fn relayed(buffer: Arc<StreamBuffer>) -> Self {
        Self {
            buffer,
            commands: None,
        }
    }

    /// Attaches a reader to a stream of this host.
    ///
    /// # Errors
    ///
    /// Returns a refusal if the stream cannot resume at `from`, or has ended in the meantime.
    pub(super) async fn attach(
        buffer: Arc<StreamBuffer>,
        commands: CommandSender,
        from: u32,
        copy_id: Option<u16>,
    ) -> Result<Self, RequestRefusal> {
        let (reply, outcome) = oneshot::channel();
        // A finished stream drops `reply`, which the error of `outcome` shows.
        let _finished = commands.send(StreamCommand::Attach {
            from,
            copy_id,
            reply,
        });
        let session = outcome.await.unwrap_or_else(|_dropped| {
            let verdict = ExecutionVerdict::MayHaveRun;
            let reason = RefusalReason::UnknownRequest;
            let detail = "the answer is no longer kept";
            Err(RequestRefusal::with_verdict(verdict, reason, detail))
        })?;
        Ok(Self {
            buffer,
            commands: Some((commands, session)),
        })
    }
}

impl Drop for StreamReader {
    fn drop(&mut self) {
        if let Some((commands, session)) = self.commands.take() {
            let event = StreamEvent::CallerDisconnected { session };
            // A finished stream needs not know that its caller disconnected.
            let _finished = commands.send(StreamCommand::Event(event));
        }
    }
}
