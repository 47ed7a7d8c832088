//! Passes on a stream that a peer holds.

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

/// Starts to pass on a stream that a peer holds, from the token at `from` on.
///
/// Where the peer loses the stream, the reader is sent away to come back.
pub(crate) fn relay_stream(
    host: &Arc<EntryHost>,
    holder: StreamHolder,
    request: RequestId,
    from: u32,
    line: Option<u16>,
) -> StreamReader {
    let buffer = StreamBuffer::new(request, holder.line, from as usize, Vec::new());
    let buffer = Arc::new(buffer);
    let relay = StreamRelay {
        host: Arc::clone(host),
        address: holder.address,
        buffer: Arc::clone(&buffer),
        line,
    };
    tokio::spawn(relay.run());
    StreamReader::relayed(buffer)
}

#[derive(Debug)]
struct StreamRelay {
    host: Arc<EntryHost>,
    address: SocketAddr,
    buffer: Arc<StreamBuffer>,
    line: Option<u16>,
}

impl StreamRelay {
    async fn run(mut self) {
        // The reader's seat holds the other reference.
        while Arc::strong_count(&self.buffer) > 1 {
            let Some(part) = self.read().await else {
                break;
            };
            if part.line != self.buffer.line || !self.take(part) {
                break;
            }
        }
        self.buffer.close();
    }

    async fn read(&self) -> Option<PeerStreamPart> {
        let read = PeerStreamRead {
            request: self.buffer.request.to_string(),
            from: self.buffer.end() as u32,
            line: self.line,
        };
        let body = to_msgpack(&read).ok()?;
        let answer = self.host.ports.peer.send(self.address, READ_PATH, body);
        from_msgpack(&answer.await.ok()?).ok()
    }

    /// Takes in a part and returns whether more may follow.
    fn take(&mut self, part: PeerStreamPart) -> bool {
        self.line = Some(part.line);
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
            self.buffer.finish(Err(refusal_of(&refused)));
            return false;
        }
        !part.gone
    }
}

fn refusal_of(body: &ErrorBody) -> RequestRefusal {
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
