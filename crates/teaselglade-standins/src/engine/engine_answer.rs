//! Turns an attempt's frames into the lines of an answer.

use std::io;
use std::sync::Arc;

use bytes::Bytes;
use futures::Stream;
use futures::stream::{self, StreamExt};
use teaselglade_wire::EngineFrame;
use teaselglade_wire::codec::to_json;
use tokio::sync::mpsc::UnboundedReceiver;

use crate::fault::{FaultPass, FaultSwitch};

/// Returns the frames as JSON lines; a silent connection brings no more of them.
pub(super) fn frame_lines(
    frames: UnboundedReceiver<EngineFrame>,
    switch: Arc<FaultSwitch>,
    pass: FaultPass,
) -> impl Stream<Item = io::Result<Bytes>> + Send + 'static {
    let frames = stream::unfold(frames, |mut frames| async move {
        let frame = frames.recv().await?;
        Some((frame, frames))
    });
    frames.then(move |frame| {
        let switch = Arc::clone(&switch);
        async move {
            if switch.is_silent(pass.generation) {
                std::future::pending::<()>().await;
            }
            line(&frame)
        }
    })
}

fn line(frame: &EngineFrame) -> io::Result<Bytes> {
    let json = to_json(frame).map_err(io::Error::other)?;
    let mut line = json.to_vec();
    line.push(b'\n');
    Ok(line.into())
}
