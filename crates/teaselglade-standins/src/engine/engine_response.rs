//! Encodes the frames of an attempt as the body of a streamed response.

use std::io;
use std::sync::Arc;

use bytes::Bytes;
use futures::Stream;
use futures::stream::{self, StreamExt};
use teaselglade_wire::EngineFrame;
use teaselglade_wire::codec::to_json;
use tokio::sync::mpsc::UnboundedReceiver;

use crate::fault::{CallFaults, FaultInjector};

/// Encodes each frame as one line of JSON.
///
/// Once the connection of `faults` is silent, the stream produces no further lines.
pub(super) fn frame_lines(
    frames: UnboundedReceiver<EngineFrame>,
    injector: Arc<FaultInjector>,
    faults: CallFaults,
) -> impl Stream<Item = io::Result<Bytes>> + Send + 'static {
    let frames = stream::unfold(frames, |mut frames| async move {
        let frame = frames.recv().await?;
        Some((frame, frames))
    });
    frames.then(move |frame| {
        let injector = Arc::clone(&injector);
        async move {
            if injector.is_silent(faults.generation) {
                std::future::pending::<()>().await;
            }
            json_line(&frame)
        }
    })
}

fn json_line(frame: &EngineFrame) -> io::Result<Bytes> {
    let json = to_json(frame).map_err(io::Error::other)?;
    let mut line = json.to_vec();
    line.push(b'\n');
    Ok(line.into())
}
