//! Relay of a stream that a peer holds.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use teaselglade_core::id::RequestId;
use teaselglade_core::verdict::{ExecutionVerdict, RefusalReason, RequestRefusal};
use teaselglade_wire::codec::{from_msgpack, to_msgpack};
use teaselglade_wire::{ErrorBody, PeerStreamPart, PeerStreamRead, Verdict};

use super::READ_PATH;
use super::holder_finder::StreamHolder;
use crate::host::EntryHost;
use crate::stream::{StreamBuffer, StreamEnd, StreamReader};

/// Starts to relay a stream that a peer holds, from the token at index `from`.
///
/// If the peer loses the stream, the reader's connection is closed and its caller must reconnect.
pub(crate) fn relay_stream(
    host: &Arc<EntryHost>,
    holder: StreamHolder,
    request: RequestId,
    from: u32,
    copy_id: Option<u16>,
) -> StreamReader {
    let buffer = StreamBuffer::new(request, holder.copy_id, from as usize, Vec::new());
    let buffer = Arc::new(buffer);
    let relay = StreamRelay {
        host: Arc::clone(host),
        address: holder.address,
        buffer: Arc::clone(&buffer),
        copy_id,
    };
    tokio::spawn(relay.run());
    StreamReader::relayed(buffer)
}

#[derive(Debug)]
struct StreamRelay {
    host: Arc<EntryHost>,
    address: SocketAddr,
    buffer: Arc<StreamBuffer>,
    copy_id: Option<u16>,
}

impl StreamRelay {
    async fn run(mut self) {
        // The reader holds the other reference.
        while Arc::strong_count(&self.buffer) > 1 {
            let Some(part) = self.read().await else {
                break;
            };
            if part.line != self.buffer.copy_id || !self.apply_part(part) {
                break;
            }
        }
        self.buffer.close();
    }

    async fn read(&self) -> Option<PeerStreamPart> {
        let read = PeerStreamRead {
            request: self.buffer.request.to_string(),
            from: self.buffer.end() as u32,
            line: self.copy_id,
        };
        let body = to_msgpack(&read).ok()?;
        let response = self.host.ports.peer.send(self.address, READ_PATH, body);
        from_msgpack(&response.await.ok()?).ok()
    }

    /// Applies a part and returns whether more may follow.
    fn apply_part(&mut self, part: PeerStreamPart) -> bool {
        self.copy_id = Some(part.line);
        for token in part.tokens {
            self.host.metrics.tokens.inc();
            self.buffer.push(self.buffer.end(), token);
        }
        if let Some(end) = part.end {
            self.buffer.finish(Ok(StreamEnd {
                tokens: end.tokens,
                recomputed_tokens: end.recomputed_tokens,
            }));
            return false;
        }
        if let Some(refused) = part.refused {
            self.buffer.finish(Err(decode_refusal(&refused)));
            return false;
        }
        !part.gone
    }
}

fn decode_refusal(body: &ErrorBody) -> RequestRefusal {
    let verdict = match body.verdict {
        Verdict::NotRun => ExecutionVerdict::NotRun,
        Verdict::MayHaveRun => ExecutionVerdict::MayHaveRun,
        Verdict::Ran => ExecutionVerdict::Ran,
    };
    let reason = serde_json::from_value::<RefusalReason>(body.reason.clone().into());
    let reason = reason.unwrap_or(RefusalReason::Internal);
    let refusal = RequestRefusal::with_verdict(verdict, reason, &body.detail);
    match body.retry_after_ms {
        Some(millis) => refusal.retry_after(Duration::from_millis(millis)),
        None => refusal,
    }
}
