//! Reads the frames of one attempt.

use std::net::SocketAddr;
use std::sync::Arc;

use futures::StreamExt;
use teaselglade_core::port::{BackendPort, GenerateCall};
use teaselglade_request::stream::StreamEvent;

use super::{CommandSender, StreamCommand};

/// Starts an attempt and passes its frames and its end on.
pub(super) async fn read_attempt(
    backend: Arc<dyn BackendPort>,
    server: SocketAddr,
    call: GenerateCall,
    commands: CommandSender,
) {
    let attempt = call.attempt;
    let last = match backend.generate(server, call).await {
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
    // A stream that is over needs no news of its attempt.
    let _over = commands.send(StreamCommand::Event(last));
}
