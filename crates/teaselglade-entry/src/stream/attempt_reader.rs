//! Reader of one attempt's frames.

use std::net::SocketAddr;
use std::sync::Arc;

use futures::StreamExt;
use teaselglade_core::port::{BackendPort, GenerateCall};
use teaselglade_request::stream::StreamEvent;

use super::{CommandSender, StreamCommand};

/// Starts an attempt and sends its frames and its end to the stream's task.
pub(super) async fn read_attempt(
    backend: Arc<dyn BackendPort>,
    server: SocketAddr,
    call: GenerateCall,
    commands: CommandSender,
) {
    let attempt = call.attempt;
    let last_event = match backend.generate(server, call).await {
        Ok(mut stream) => loop {
            match stream.events.next().await {
                Some(Ok(frame)) => {
                    let event = StreamEvent::Frame(frame);
                    if commands.send(StreamCommand::Event(event)).is_err() {
                        return;
                    }
                }
                Some(Err(error)) => break StreamEvent::AttemptFailed { attempt, error },
                None => break StreamEvent::AttemptClosed { attempt },
            }
        },
        Err(error) => StreamEvent::AttemptFailed { attempt, error },
    };
    // A finished stream no longer needs the outcome of its attempt.
    let _finished = commands.send(StreamCommand::Event(last_event));
}
