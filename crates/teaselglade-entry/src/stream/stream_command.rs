//! What other tasks tell a stream's task.

use teaselglade_core::verdict::RequestRefusal;
use teaselglade_request::stream::{CallerSession, StreamEvent};
use tokio::sync::{mpsc, oneshot};

/// Sender of commands to a stream's task.
pub(crate) type CommandSender = mpsc::UnboundedSender<StreamCommand>;

/// What other tasks tell a stream's task.
#[derive(Debug)]
pub(crate) enum StreamCommand {
    /// Something happened to the stream.
    Event(StreamEvent),
    /// A caller came back.
    Attach {
        /// Index of the first token that the caller lacks.
        from: u32,
        /// Line of the caller's last token, where the caller says so.
        line: Option<u16>,
        /// Gets the caller's session, or why it cannot resume.
        reply: oneshot::Sender<Result<CallerSession, RequestRefusal>>,
    },
}
