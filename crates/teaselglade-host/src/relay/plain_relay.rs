//! Relays a plain call.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures::StreamExt;
use futures::future::BoxFuture;
use futures::stream::FuturesUnordered;
use http_body_util::{BodyExt, Limited};
use hyper::{HeaderMap, StatusCode};
use teaselglade_core::id::ServerKey;
use teaselglade_core::time::Timestamp;
use teaselglade_core::verdict::{ExecutionVerdict, RefusalReason, RequestRefusal};
use teaselglade_routing::attempt::{AttemptOutcome, AttemptTracker, NextStep};
use teaselglade_routing::plain::{PlainQuery, ServerLoad};
use tokio::time::{sleep, timeout};

use super::call_context::CallContext;
use super::response_body::whole_body;
use super::server_call::{FailedCall, call_server};
use super::{CallerResponse, Result};

/// Largest answer of a plain call.
const MAX_ANSWER_BYTES: usize = 16 * 1024 * 1024;
/// Part of the target after which a call that may be repeated is sent to a second server.
const HEDGE_SHARE: f64 = 0.6;
/// Time to come back after a rejection; some calls' time.
const REJECTED_RETRY: Duration = Duration::from_millis(150);

/// Whole answer of a server.
#[derive(Debug)]
struct WholeAnswer {
    status: StatusCode,
    headers: HeaderMap,
    body: Bytes,
    load: Option<ServerLoad>,
}

type AttemptEnd = (ServerKey, std::result::Result<WholeAnswer, FailedCall>);
type OpenAttempts = FuturesUnordered<BoxFuture<'static, AttemptEnd>>;

/// Attempts of one plain call.
struct PlainAttempts {
    context: Arc<CallContext>,
    ledger: AttemptTracker,
    open: OpenAttempts,
    /// Answer that a server failed with, passed on where no better one comes.
    failure: Option<(ServerKey, WholeAnswer)>,
}

/// Relays a plain call and returns the whole answer.
pub(super) async fn relay_plain(context: &Arc<CallContext>) -> Result<CallerResponse> {
    let ledger = AttemptTracker::new(context.route.retry_policy, context.route.max_attempts);
    let mut attempts = PlainAttempts {
        context: Arc::clone(context),
        ledger,
        open: FuturesUnordered::new(),
        failure: None,
    };
    attempts.start()?;
    match timeout(context.left(), attempts.run()).await {
        Ok(ended) => ended,
        Err(_elapsed) => {
            if let Some((server, answer)) = attempts.failure.take() {
                return Ok(attempts.pass_on(server, answer));
            }
            let detail = "no answer before the deadline";
            Err(RequestRefusal::with_verdict(
                ExecutionVerdict::MayHaveRun,
                RefusalReason::DeadlineExceeded,
                detail,
            ))
        }
    }
}

impl PlainAttempts {
    async fn run(&mut self) -> Result<CallerResponse> {
        let hedge_after = self.context.route.target.mul_f64(HEDGE_SHARE);
        let hedge = sleep(hedge_after);
        tokio::pin!(hedge);
        let mut may_hedge = true;
        loop {
            tokio::select! {
                Some((server, ended)) = self.open.next() => {
                    if let Some(answer) = self.note_end(server, ended).await? {
                        return Ok(answer);
                    }
                }
                () = &mut hedge, if may_hedge => {
                    may_hedge = false;
                    self.start_hedge();
                }
            }
        }
    }

    /// Places the call and starts an attempt.
    fn start(&mut self) -> Result<()> {
        let context = &self.context;
        let host = &context.host;
        let now = host.now();
        let tried = self.ledger.tried();
        let query = PlainQuery {
            service: &context.service.name,
            zone: &host.settings.zone,
            tried: &tried,
        };
        let mut decisions = host.decide();
        let decisions = &mut *decisions;
        let server = decisions.plains.place(now, &decisions.fleet, &query)?;
        let sheet = &decisions.fleet.server(server).registration;
        let placed = crate::journal::PlacedLine {
            server: &sheet.id,
            attempt: self.ledger.attempts() + 1,
            predicted: None,
            new_tokens: 0,
            tokens_ahead: 0,
            news_age: now.since(decisions.news_at),
        };
        host.log.placed(now, &context.line(), &placed);
        self.ledger.begin_attempt(server);
        let seat = PlainSeat {
            context: Arc::clone(context),
            server,
        };
        self.open.push(Box::pin(async move {
            let ended = whole_answer(&seat).await;
            (server, ended)
        }));
        Ok(())
    }

    /// Starts a second attempt beside a slow first one, where the budget grants it.
    fn start_hedge(&mut self) {
        if !self.ledger.may_hedge() || self.open.is_empty() {
            return;
        }
        let context = &self.context;
        let now = context.host.now();
        self.note_slow(now);
        if context.ask_retry(self.ledger.attempts()).is_some() {
            // Without a second server the first attempt goes on alone.
            let _no_other_server = self.start();
        }
    }

    /// Notes that the servers asked so far are silent; their attempts may end without a word.
    fn note_slow(&self, now: Timestamp) {
        let mut decisions = self.context.host.decide();
        for server in self.ledger.tried() {
            decisions.plains.record_failure(now, server);
        }
    }

    async fn note_end(
        &mut self,
        server: ServerKey,
        ended: std::result::Result<WholeAnswer, FailedCall>,
    ) -> Result<Option<CallerResponse>> {
        let context = Arc::clone(&self.context);
        let host = &context.host;
        let now = host.now();
        let failed = match ended {
            Ok(answer) => {
                context.count_run();
                let is_good = answer.status.is_success() || answer.status.is_client_error();
                let mut decisions = host.decide();
                decisions
                    .plains
                    .record_answer(now, server, is_good, answer.load);
                drop(decisions);
                if is_good || !context.route.retry_policy.allows_retry() {
                    return Ok(Some(self.pass_on(server, answer)));
                }
                let detail = format!("answered {}", answer.status.as_u16());
                self.failure = Some((server, answer));
                FailedCall::new(AttemptOutcome::Failed, detail)
            }
            Err(failed) => {
                self.note_failure(server, &failed);
                failed
            }
        };
        let next = self.ledger.end_attempt(server, failed.outcome);
        let id = host.decide().fleet.server(server).registration.id.clone();
        context.note_attempt_ended(&id, &failed, next);
        self.follow(next, &failed).await
    }

    /// Does what follows a failed attempt.
    async fn follow(
        &mut self,
        next: NextStep,
        failed: &FailedCall,
    ) -> Result<Option<CallerResponse>> {
        let context = Arc::clone(&self.context);
        match next {
            NextStep::Reconnect => {
                if self.start().is_ok() {
                    return Ok(None);
                }
            }
            NextStep::RetryWithinBudget => {
                if let Some(delay) = context.ask_retry(self.ledger.attempts()) {
                    sleep(delay).await;
                    if self.start().is_ok() {
                        return Ok(None);
                    }
                }
            }
            NextStep::GiveUp(_verdict) => {}
        }
        if !self.open.is_empty() {
            return Ok(None);
        }
        if let Some((server, answer)) = self.failure.take() {
            return Ok(Some(self.pass_on(server, answer)));
        }
        Err(give_up(self.ledger.verdict(), failed))
    }

    fn note_failure(&self, server: ServerKey, failed: &FailedCall) {
        let host = &self.context.host;
        let now = host.now();
        if failed.outcome.may_have_run() {
            self.context.count_run();
        }
        let mut decisions = host.decide();
        match failed.outcome {
            AttemptOutcome::Misdirected => decisions.fleet.mark_replaced(now, server),
            AttemptOutcome::Rejected => {}
            _ => decisions.plains.record_failure(now, server),
        }
    }

    fn pass_on(&self, server: ServerKey, answer: WholeAnswer) -> CallerResponse {
        let context = &self.context;
        let host = &context.host;
        let outcome = if answer.status.is_success() {
            "whole"
        } else {
            "server_failed"
        };
        let id = host.decide().fleet.server(server).registration.id.clone();
        context.note_answered(&id, answer.status.as_u16(), outcome, context.elapsed());
        context.pass_on(answer.status, &answer.headers, whole_body(answer.body))
    }
}

/// A call that counts at its server until it is over.
struct PlainSeat {
    context: Arc<CallContext>,
    server: ServerKey,
}

impl Drop for PlainSeat {
    fn drop(&mut self) {
        self.context.host.decide().plains.record_end(self.server);
    }
}

async fn whole_answer(seat: &PlainSeat) -> std::result::Result<WholeAnswer, FailedCall> {
    let answer = call_server(&seat.context, seat.server, None).await?;
    let collected = Limited::new(answer.body, MAX_ANSWER_BYTES).collect().await;
    let body = collected.map_err(|error| {
        FailedCall::new(
            AttemptOutcome::Broken,
            format!("the answer is cut: {error}"),
        )
    })?;
    answer.connection.return_to_pool(&answer.headers);
    Ok(WholeAnswer {
        status: answer.status,
        headers: answer.headers,
        body: body.to_bytes(),
        load: answer.head.load,
    })
}

/// Returns the final answer of a request whose attempts all failed.
pub(super) fn give_up(verdict: ExecutionVerdict, failed: &FailedCall) -> RequestRefusal {
    let detail = failed.detail.clone();
    let refusal = RequestRefusal::with_verdict(verdict, RefusalReason::AttemptFailed, detail);
    match verdict {
        ExecutionVerdict::NotRun => refusal.retry_after(REJECTED_RETRY),
        ExecutionVerdict::MayHaveRun | ExecutionVerdict::Ran => refusal,
    }
}
