//! Commands to a stream's task.

use teaselglade_core::verdict::RequestRefusal;
use teaselglade_request::stream::{CallerSession, StreamEvent};
use tokio::sync::{mpsc, oneshot};

/// Sends commands to a stream's task.
pub(crate) type CommandSender = mpsc::UnboundedSender<StreamCommand>;

/// Command to a stream's task.
#[derive(Debug)]
pub(crate) enum StreamCommand {
    /// Applies an event to the stream.
    Event(StreamEvent),
    /// Attaches a caller that reconnected.
    Attach {
        /// Index of the first token that the caller lacks.
        from: u32,
        /// Copy that sent the caller's last token, if the caller names it.
        copy_id: Option<u16>,
        /// Receives the caller's session, or the refusal if it cannot resume.
        reply: oneshot::Sender<Result<CallerSession, RequestRefusal>>,
    },
}
