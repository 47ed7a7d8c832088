//! Drives one stream from its first dispatch to its end.

use std::sync::Arc;
use std::time::Duration;

use futures::StreamExt;
use teaselglade_core::id::{AttemptId, ServerKey};
use teaselglade_core::port::{AttemptError, EngineEvent, GenerateCall};
use teaselglade_core::verdict::{ExecutionVerdict, RefusalReason, RequestRefusal, SendProgress};
use teaselglade_placement::policy::PlacementEvent;
use tokio::time::{sleep, timeout};

use super::{StreamEnd, StreamOrder, StreamRecord};
use crate::directory::ServerEntry;
use crate::host::EntryHost;
use crate::placement::PlacementOrder;

const MAX_ATTEMPTS: u32 = 4;
const PROGRESS_TIMEOUT: Duration = Duration::from_secs(2);
const KEPT_AFTER_END: Duration = Duration::from_mins(1);
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Starts a stream on a task of its own.
pub(crate) fn start_stream(host: &Arc<EntryHost>, order: StreamOrder) -> Arc<StreamRecord> {
    let record = Arc::new(StreamRecord::new(host.new_request()));
    host.streams.insert(&record);
    host.metrics.open_streams.inc();
    tokio::spawn(run_stream(Arc::clone(host), order, Arc::clone(&record)));
    record
}

async fn run_stream(host: Arc<EntryHost>, order: StreamOrder, record: Arc<StreamRecord>) {
    let outcome = attempt_until_whole(&host, &order, &record).await;
    let label = if outcome.is_ok() { "whole" } else { "refused" };
    host.metrics
        .requests
        .with_label_values(&[order.organisation.as_str(), label])
        .inc();
    record.finish(outcome);
    host.metrics.open_streams.dec();
    sleep(KEPT_AFTER_END).await;
    host.streams.remove(record.request);
}

async fn attempt_until_whole(
    host: &EntryHost,
    order: &StreamOrder,
    record: &StreamRecord,
) -> Result<StreamEnd, RequestRefusal> {
    let mut attempt = AttemptId::first(record.request);
    let mut excluded = Vec::<ServerKey>::new();
    let mut recomputed_tokens = 0;
    let mut verdict = ExecutionVerdict::NotRun;
    loop {
        if host.now() >= order.deadline {
            return Err(given_up(
                verdict,
                RefusalReason::DeadlineExceeded,
                &order.row.name,
            ));
        }
        let delivered = record.tokens();
        let placement = PlacementOrder::model(
            &order.organisation,
            &order.row,
            &order.prompt,
            &delivered,
            order.max_tokens,
        );
        let placement = placement.excluding(&excluded);
        let Some(server) = host.dispatch_to_server(attempt, &placement) else {
            return Err(given_up(verdict, RefusalReason::NoServer, &order.row.name));
        };
        let result = run_attempt(host, order, record, attempt, &server).await;
        host.observe_attempt(&PlacementEvent::Ended { attempt });
        match result {
            Ok(mut end) => {
                end.recomputed_tokens = recomputed_tokens;
                return Ok(end);
            }
            Err(error) => {
                host.metrics.failed_attempts.inc();
                verdict = verdict.and(ExecutionVerdict::after_attempt(error.progress));
                if attempt.number >= MAX_ATTEMPTS {
                    return Err(given_up(
                        verdict,
                        RefusalReason::AttemptFailed,
                        &error.detail,
                    ));
                }
                excluded.push(server.key);
                recomputed_tokens += record.tokens().len() as u32;
                host.metrics
                    .recomputed_tokens
                    .inc_by(record.tokens().len() as u64);
                attempt = attempt.next();
            }
        }
    }
}

fn given_up(verdict: ExecutionVerdict, reason: RefusalReason, detail: &str) -> RequestRefusal {
    RequestRefusal::with_verdict(verdict, reason, detail).retry_after(RETRY_AFTER)
}

async fn run_attempt(
    host: &EntryHost,
    order: &StreamOrder,
    record: &StreamRecord,
    attempt: AttemptId,
    server: &ServerEntry,
) -> Result<StreamEnd, AttemptError> {
    let call = GenerateCall {
        attempt,
        prompt: order.prompt.clone(),
        max_tokens: order.max_tokens,
        delivered: record.tokens(),
        adapter: order.adapter.clone(),
        priority: 0,
        kv_handle: None,
    };
    let first = call.delivered.len() as u32;
    let mut next = first;
    let mut stream = host.ports.backend.generate(server.address, call).await?;
    loop {
        let event = timeout(PROGRESS_TIMEOUT, stream.events.next()).await;
        let event = event.map_err(|_elapsed| broken("the stream makes no progress"))?;
        match event.ok_or_else(|| broken("the stream ended early"))?? {
            EngineEvent::Token {
                attempt: of,
                index,
                text,
            } if of == attempt && index == next => {
                if next == first {
                    host.observe_attempt(&PlacementEvent::FirstToken { attempt });
                }
                record.push(text);
                host.metrics.tokens.inc();
                next += 1;
            }
            EngineEvent::End { attempt: of, total } if of == attempt && total == next => {
                return Ok(StreamEnd {
                    tokens: total,
                    recomputed_tokens: 0,
                });
            }
            EngineEvent::Started {
                attempt: of,
                computed_tokens,
                cached_tokens,
            } if of == attempt => host.observe_attempt(&PlacementEvent::Started {
                attempt,
                computed_tokens,
                cached_tokens,
            }),
            _ => host.metrics.dropped_frames.inc(),
        }
    }
}

fn broken(detail: &str) -> AttemptError {
    AttemptError::new(SendProgress::MaybeSent, detail)
}
