//! A caller's place at a stream.

use std::sync::Arc;

use teaselglade_core::verdict::{ExecutionVerdict, RefusalReason, RequestRefusal};
use teaselglade_request::stream::{CallerSession, StreamEvent};
use tokio::sync::oneshot;

use super::{CommandSender, StreamBuffer, StreamCommand};

/// A caller's place at a stream; dropping it says that the caller is gone.
#[derive(Debug)]
pub(crate) struct StreamReader {
    /// Tokens of the stream.
    pub(crate) buffer: Arc<StreamBuffer>,
    commands: Option<(CommandSender, CallerSession)>,
}

impl StreamReader {
    /// Makes the seat of the caller that started the stream.
    pub(super) fn first(buffer: Arc<StreamBuffer>, commands: CommandSender) -> Self {
        let commands = Some((commands, CallerSession::default()));
        Self { buffer, commands }
    }

    /// Makes a seat at a buffer that no stream of this host fills.
    pub(crate) const fn relayed(buffer: Arc<StreamBuffer>) -> Self {
        Self {
            buffer,
            commands: None,
        }
    }

    /// Takes a seat at a stream of this host.
    ///
    /// # Errors
    ///
    /// Fails where the caller's place does not fit the stream.
    pub(super) async fn take(
        buffer: Arc<StreamBuffer>,
        commands: CommandSender,
        from: u32,
        line: Option<u16>,
    ) -> Result<Self, RequestRefusal> {
        let (reply, answer) = oneshot::channel();
        // A stream that is over drops the reply, which is noticed below.
        let _over = commands.send(StreamCommand::Attach { from, line, reply });
        let session = answer.await.unwrap_or_else(|_dropped| {
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
            // A stream that is over needs no news of its caller.
            let _over = commands.send(StreamCommand::Event(event));
        }
    }
}
