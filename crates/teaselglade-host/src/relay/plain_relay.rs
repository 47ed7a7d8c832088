//! Relays plain calls, with retries and hedging.

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
use teaselglade_routing::crash::ContainedRun;
use teaselglade_routing::plain::{PlainQuery, ServerLoad};
use teaselglade_routing::rollout::{AttemptEvidence, AttemptRecord, VersionChoice};
use tokio::time::{sleep, timeout};

use super::call_context::{CallContext, next_step_name};
use super::refusal_response::promises_not_run;
use super::response_body::full_body;
use super::server_call::{FailedCall, SendTerms, call_server, unstated_refusal};
use super::server_check::check_server;
use super::server_turn::ServerTurn;
use super::{CallerResponse, Result};
use crate::permit::SendPermit;
use crate::state::DecisionState;

/// Largest response body of a plain call.
const MAX_RESPONSE_BYTES: usize = 16 * 1024 * 1024;
/// Fraction of the latency target after which a retryable call is hedged at a second server.
const HEDGE_FRACTION: f64 = 0.6;
/// Retry delay after failed attempts that did not run the request; the time of a few calls.
const NOT_RUN_RETRY_DELAY: Duration = Duration::from_millis(150);

/// Retry delay of a call whose content selects a limited server; the time of a few calls.
const SELECTED_RETRY_DELAY: Duration = Duration::from_millis(500);
/// Longest time for which the next attempt waits for the check of a server.
const MAX_CHECK_WAIT: Duration = Duration::from_millis(40);

/// Response of a server with its whole body.
#[derive(Debug)]
struct CollectedResponse {
    status: StatusCode,
    headers: HeaderMap,
    body: Bytes,
    load: Option<ServerLoad>,
}

type AttemptResult = (
    ActiveCall,
    std::result::Result<CollectedResponse, FailedCall>,
);
type InFlightAttempts = FuturesUnordered<BoxFuture<'static, AttemptResult>>;

/// Server that was chosen for an attempt.
enum PlacedCall {
    /// The call counts at the server.
    Started(ActiveCall),
    /// The server is limited, so the call needs a permit first.
    Limited(ServerKey, VersionChoice),
}

/// Attempts of one plain call, of which two may run at a time.
struct PlainAttempts {
    context: Arc<CallContext>,
    tracker: AttemptTracker,
    in_flight: InFlightAttempts,
    /// Latest error response of a server, forwarded if no attempt succeeds.
    error_response: Option<(ServerKey, CollectedResponse)>,
}

/// Relays a plain call and returns its response once the whole body has arrived.
///
/// # Errors
///
/// Returns a refusal if no server takes the call, or if no attempt got a response in time.
pub(super) async fn relay_plain(context: &Arc<CallContext>) -> Result<CallerResponse> {
    let tracker = AttemptTracker::new(context.route.retry_policy, context.route.max_attempts);
    let mut attempts = PlainAttempts {
        context: Arc::clone(context),
        tracker,
        in_flight: FuturesUnordered::new(),
        error_response: None,
    };
    attempts.start().await?;
    let result = timeout(context.time_left(), attempts.run()).await;
    context.decide();
    match result {
        Ok(result) => result,
        Err(_elapsed) => {
            if let Some((server, response)) = attempts.error_response.take() {
                return Ok(attempts.forward_response(server, response));
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
    /// Runs attempts until one gives the final response.
    async fn run(&mut self) -> Result<CallerResponse> {
        let hedge_after = self.context.route.target.mul_f64(HEDGE_FRACTION);
        let hedge = sleep(hedge_after);
        tokio::pin!(hedge);
        let mut may_hedge = true;
        loop {
            tokio::select! {
                Some((active_call, result)) = self.in_flight.next() => {
                    if let Some(response) = self.handle_result(active_call, result).await? {
                        return Ok(response);
                    }
                }
                () = &mut hedge, if may_hedge => {
                    may_hedge = false;
                    self.start_hedge().await;
                }
            }
        }
    }

    /// Places the call and starts an attempt.
    ///
    /// # Errors
    ///
    /// Returns a "not run" refusal if no untried server takes the call, or calls like it end servers.
    async fn start(&mut self) -> Result<()> {
        let turn = ServerTurn::new(&self.context, false);
        let tried = self.tracker.tried();
        let mut may_ask_on_trial = true;
        let (active_call, permit) = loop {
            match self.place(&tried, may_ask_on_trial) {
                Ok(PlacedCall::Started(active_call)) => break (active_call, None),
                Ok(PlacedCall::Limited(server, choice)) => {
                    let permit = turn.request(server, &tried).await;
                    if permit.is_some()
                        && let Some(active_call) = self.start_at(server, &choice)
                    {
                        break (active_call, permit);
                    }
                    if choice.is_partial() {
                        self.give_back(&mut self.context.host.lock_decisions(), &choice);
                        may_ask_on_trial = false;
                    }
                }
                Err(refusal) => {
                    let is_final = refusal.reason == RefusalReason::Quarantined;
                    if is_final || !turn.wait_for_first().await {
                        return Err(refusal);
                    }
                }
            }
        };
        self.tracker.begin_attempt(active_call.server);
        self.in_flight.push(Box::pin(async move {
            let result = collect_response(&active_call, permit).await;
            (active_call, result)
        }));
        Ok(())
    }

    /// Chooses a server, and counts the call there unless it needs a permit.
    ///
    /// # Errors
    ///
    /// Returns a "not run" refusal if no untried server takes the call, or calls like it end servers.
    fn place(&self, tried: &[ServerKey], may_ask_on_trial: bool) -> Result<PlacedCall> {
        let context = &self.context;
        let host = &context.host;
        let now = host.now();
        let mut decisions = host.lock_decisions();
        let decisions = &mut *decisions;
        let run = self.permit_attempt(decisions, now)?;
        let may_ask_on_trial = may_ask_on_trial && run.is_none();
        let chosen = self.choose_server(decisions, now, tried, run, may_ask_on_trial);
        match (chosen, run) {
            (Ok((server, _)), _) if !decisions.needs_permit(server) => {
                let active_call = self.record_start(decisions, now, server, run);
                Ok(PlacedCall::Started(active_call))
            }
            (Ok((server, choice)), None) => Ok(PlacedCall::Limited(server, choice)),
            (unplaced, run) => {
                if let Some(run) = run {
                    decisions.crash_ledger.record_contained_end(run.subject);
                }
                unplaced?;
                let detail = "the server that the call's content selects is limited";
                let refusal = RequestRefusal::not_run(RefusalReason::ServerLimit, detail);
                Err(refusal.retry_after(SELECTED_RETRY_DELAY))
            }
        }
    }

    /// Chooses a server of the versions that the attempt may use.
    ///
    /// # Errors
    ///
    /// Returns a "not run" refusal if no untried server takes the call.
    fn choose_server(
        &self,
        decisions: &mut DecisionState,
        now: Timestamp,
        tried: &[ServerKey],
        run: Option<ContainedRun>,
        may_ask_on_trial: bool,
    ) -> Result<(ServerKey, VersionChoice)> {
        let context = &self.context;
        let (service, route) = (&context.service.name, context.route_hash);
        let is_repeat = self.tracker.attempts() > 0 || run.is_some();
        let mut choice = decisions.rollouts.choose(now, service, route, is_repeat);
        loop {
            let query = PlainQuery {
                service,
                tried,
                selected_by: run.map(|run| (run.subject.selector(), run.rank)),
                terms: context.placement_terms(choice.scope()),
            };
            let placer = &mut decisions.plain_placer;
            let chosen = placer.choose(now, &decisions.registry, &query);
            // A trial takes a permit that is free, but asks for one only once.
            let is_usable = chosen.as_ref().is_ok_and(|server| {
                may_ask_on_trial || !(choice.is_partial() && decisions.needs_permit(*server))
            });
            let fallback = choice.fallback().filter(|_| !is_usable);
            let Some(fallback) = fallback else {
                return chosen.map(|server| (server, choice));
            };
            self.give_back(decisions, &choice);
            choice = fallback;
        }
    }

    /// Decides whether the next attempt may be sent, by what ended servers say of the call.
    ///
    /// # Errors
    ///
    /// Returns a "not run" refusal if calls like it end servers.
    fn permit_attempt(
        &self,
        decisions: &mut DecisionState,
        now: Timestamp,
    ) -> Result<Option<ContainedRun>> {
        let context = &self.context;
        let (organisation, number) = (context.organisation_name(), self.tracker.attempts() + 1);
        decisions.permit_attempt(now, organisation, context.subjects(), number)
    }

    /// Counts the call at a server for which it has a permit, if it may still be sent there.
    ///
    /// A call that became contained while it waited is placed anew.
    /// The order may have moved on meanwhile, too.
    fn start_at(&self, server: ServerKey, choice: &VersionChoice) -> Option<ActiveCall> {
        let host = &self.context.host;
        let now = host.now();
        let mut decisions = host.lock_decisions();
        if !decisions.registry.takes_work(server) {
            return None;
        }
        let (service, route) = (&self.context.service.name, self.context.route_hash);
        let current = decisions.rollouts.choose(now, service, route, true);
        let is_still_partial = choice.is_partial()
            && decisions.rollouts.is_running(service)
            && choice.fallback().as_ref() == Some(&current);
        let choice = if is_still_partial { choice } else { &current };
        // The server may be one of a fallback, as all of the first scope may be limited.
        if !choice.allows(server, decisions.registry.server(server)) {
            return None;
        }
        match self.permit_attempt(&mut decisions, now) {
            Ok(None) => Some(self.record_start(&mut decisions, now, server, None)),
            Ok(Some(run)) => {
                decisions.crash_ledger.record_contained_end(run.subject);
                None
            }
            Err(_refusal) => None,
        }
    }

    /// Gives back the credit of a trial that was not sent.
    fn give_back(&self, decisions: &mut DecisionState, choice: &VersionChoice) {
        if choice.is_trial() {
            let (service, route) = (&self.context.service.name, self.context.route_hash);
            decisions.rollouts.give_back(service, route);
        }
    }

    /// Counts the call at a server and logs the placement.
    fn record_start(
        &self,
        decisions: &mut DecisionState,
        now: Timestamp,
        server: ServerKey,
        run: Option<ContainedRun>,
    ) -> ActiveCall {
        let context = &self.context;
        let host = &context.host;
        decisions.plain_placer.record_start(server);
        let is_first = self.tracker.attempts() == 0;
        let record = decisions.rollouts.record_sent(
            now,
            &decisions.registry,
            server,
            context.route_hash,
            is_first,
        );
        let registration = &decisions.registry.server(server).registration;
        let placement = crate::journal::PlacementFields {
            server: &registration.id,
            attempt: self.tracker.attempts() + 1,
            predicted: None,
            new_tokens: 0,
            tokens_ahead: 0,
            update_age: now.since(decisions.registry_updated_at),
            speed: decisions.plain_placer.ledger().evidence(now, server),
        };
        host.log.placed(now, &context.log_fields(), &placement);
        host.update_request(context.open_key, |open| open.start_attempt(server));
        ActiveCall {
            context: Arc::clone(context),
            server,
            run,
            record,
            started_at: now,
        }
    }

    /// Starts a second attempt beside a slow first one, if the retry budget grants it.
    ///
    /// A call like one under which a server ended has one attempt at a time.
    async fn start_hedge(&mut self) {
        if !self.tracker.may_hedge() || self.in_flight.is_empty() {
            return;
        }
        let context = &self.context;
        let is_suspect = {
            let decisions = context.host.lock_decisions();
            decisions.crash_ledger.is_suspect(context.request_hash)
        };
        if is_suspect {
            return;
        }
        let now = context.host.now();
        self.record_slow_servers(now);
        if context.take_retry(self.tracker.attempts()).is_some() {
            // Without a second server the first attempt continues alone.
            let _no_other_server = self.start().await;
        }
    }

    /// Records a failure of each server tried so far.
    ///
    /// This happens when the hedge starts, because an attempt that is dropped after the other one
    /// succeeds records no result.
    fn record_slow_servers(&self, now: Timestamp) {
        let mut decisions = self.context.host.lock_decisions();
        for server in self.tracker.tried() {
            decisions.plain_placer.record_failure(now, server);
        }
    }

    /// Records the result of an attempt; returns the response if it is final.
    async fn handle_result(
        &mut self,
        mut active_call: ActiveCall,
        result: std::result::Result<CollectedResponse, FailedCall>,
    ) -> Result<Option<CallerResponse>> {
        let server = active_call.server;
        active_call.record_result(&result);
        let context = Arc::clone(&self.context);
        let host = &context.host;
        let now = host.now();
        let failed = match result {
            Ok(response) => {
                context.count_execution();
                let is_healthy = response.status.is_success() || response.status.is_client_error();
                let mut decisions = host.lock_decisions();
                decisions
                    .plain_placer
                    .record_response(now, server, is_healthy, response.load);
                if response.status.is_success() {
                    let (service, elapsed) =
                        (&context.service.name, now.since(active_call.started_at));
                    let placer = &mut decisions.plain_placer;
                    placer.record_time(now, service, server, elapsed);
                }
                if is_healthy {
                    decisions.record_answer(now, server, context.subjects());
                }
                drop(decisions);
                if promises_not_run(response.status) {
                    unstated_refusal(response.status)
                } else if is_healthy || !context.route.retry_policy.allows_retry() {
                    return Ok(Some(self.forward_response(server, response)));
                } else {
                    let detail = format!("answered {}", response.status.as_u16());
                    self.error_response = Some((server, response));
                    FailedCall::new(AttemptOutcome::Failed, detail)
                }
            }
            Err(failed) => {
                self.record_failure(server, &failed);
                if failed.outcome == AttemptOutcome::Broken {
                    check_briefly(&context, server).await;
                }
                failed
            }
        };
        drop(active_call);
        let next = self.tracker.end_attempt(server, failed.outcome);
        let server_id = host
            .lock_decisions()
            .registry
            .server(server)
            .registration
            .id
            .clone();
        context.record_attempt_end(&server_id, &failed, next_step_name(next));
        self.handle_next_step(next, &failed).await
    }

    /// Starts the next attempt after a failed one, if one is allowed.
    ///
    /// Returns `None` while attempts are in flight, then the latest error response of a server.
    ///
    /// # Errors
    ///
    /// Returns the final refusal if no attempt is left and no server responded.
    async fn handle_next_step(
        &mut self,
        next: NextStep,
        failed: &FailedCall,
    ) -> Result<Option<CallerResponse>> {
        let context = Arc::clone(&self.context);
        let (mut refused, mut is_over) = (None, false);
        match next {
            NextStep::Reconnect => refused = self.start().await.err(),
            NextStep::RetryWithinBudget => {
                if let Some(delay) = context.take_retry(self.tracker.attempts()) {
                    sleep(delay).await;
                    refused = self.start().await.err();
                } else {
                    is_over = true;
                }
            }
            NextStep::GiveUp(_verdict) => is_over = true,
        }
        if refused.is_none() && !is_over {
            return Ok(None);
        }
        if !self.in_flight.is_empty() {
            return Ok(None);
        }
        if let Some((server, response)) = self.error_response.take() {
            return Ok(Some(self.forward_response(server, response)));
        }
        let verdict = self.tracker.verdict();
        match refused.filter(|refusal| refusal.reason == RefusalReason::Quarantined) {
            Some(refusal) => Err(refusal.after_attempts(verdict)),
            None => Err(final_refusal(&context, verdict, failed)),
        }
    }

    /// Records a failed attempt in the host's state.
    fn record_failure(&self, server: ServerKey, failed: &FailedCall) {
        let host = &self.context.host;
        let now = host.now();
        if failed.outcome.may_have_run() {
            self.context.count_execution();
        }
        let mut decisions = host.lock_decisions();
        match failed.outcome {
            AttemptOutcome::Misdirected => decisions.registry.mark_replaced(now, server),
            AttemptOutcome::Rejected | AttemptOutcome::Withheld => {}
            _ => decisions.plain_placer.record_failure(now, server),
        }
    }

    /// Records a server's response and forwards it to the caller.
    fn forward_response(&self, server: ServerKey, response: CollectedResponse) -> CallerResponse {
        let context = &self.context;
        let host = &context.host;
        let outcome = if response.status.is_success() {
            "whole"
        } else {
            "server_failed"
        };
        let server_id = host
            .lock_decisions()
            .registry
            .server(server)
            .registration
            .id
            .clone();
        context.record_response(
            &server_id,
            response.status.as_u16(),
            outcome,
            context.elapsed(),
        );
        context.forward_response(response.status, &response.headers, full_body(response.body))
    }
}

/// Call that counts towards its server's load until it is dropped.
struct ActiveCall {
    context: Arc<CallContext>,
    server: ServerKey,
    /// Run of the call, if it is contained.
    run: Option<ContainedRun>,
    /// What a roll-out counts of the call.
    record: Option<AttemptRecord>,
    started_at: Timestamp,
}

impl ActiveCall {
    /// Records for a roll-out how the call went.
    fn record_result(&mut self, result: &std::result::Result<CollectedResponse, FailedCall>) {
        let Some(record) = &mut self.record else {
            return;
        };
        let host = &self.context.host;
        let elapsed = host.now().since(self.started_at);
        let result = match result {
            Ok(response) => {
                let status = response.status;
                Some(AttemptEvidence::Answered {
                    is_failure: !status.is_success() && !status.is_client_error(),
                    latency: elapsed,
                })
            }
            Err(failed) => attempt_evidence(failed.outcome, elapsed),
        };
        match result {
            Some(result) => host.lock_decisions().rollouts.record_result(record, result),
            None => record.discard(),
        }
    }
}

/// Returns what a failed attempt says of its server's version; `None` for nothing.
pub(super) const fn attempt_evidence(
    outcome: AttemptOutcome,
    elapsed: Duration,
) -> Option<AttemptEvidence> {
    match outcome {
        AttemptOutcome::Broken => Some(AttemptEvidence::Broken),
        AttemptOutcome::TimedOut => Some(AttemptEvidence::Overdue(elapsed)),
        AttemptOutcome::Failed => Some(AttemptEvidence::Answered {
            is_failure: true,
            latency: elapsed,
        }),
        AttemptOutcome::Unreachable
        | AttemptOutcome::Withheld
        | AttemptOutcome::Rejected
        | AttemptOutcome::Misdirected
        | AttemptOutcome::Superseded => None,
    }
}

impl Drop for ActiveCall {
    fn drop(&mut self) {
        let host = &self.context.host;
        let elapsed = host.now().since(self.started_at);
        let mut decisions = host.lock_decisions();
        decisions.plain_placer.record_end(self.server);
        if let Some(record) = &mut self.record {
            if elapsed >= self.context.overdue_after() {
                let overdue = AttemptEvidence::Overdue(elapsed);
                decisions.rollouts.record_result(record, overdue);
            }
            decisions.rollouts.record_closed(record);
        }
        if let Some(run) = self.run {
            decisions.crash_ledger.record_contained_end(run.subject);
        }
    }
}

/// Checks the server of a broken attempt; waits for the result only for a short time.
///
/// A server that ended refuses at once. A silent one must not hold up the next attempt.
async fn check_briefly(context: &Arc<CallContext>, server: ServerKey) {
    let context = Arc::clone(context);
    let check = tokio::spawn(async move { check_server(&context, server).await });
    // The check goes on and records its result if it takes longer.
    let _unfinished = timeout(MAX_CHECK_WAIT, check).await;
}

/// Sends the call to its server and reads the whole response.
async fn collect_response(
    active_call: &ActiveCall,
    permit: Option<SendPermit>,
) -> std::result::Result<CollectedResponse, FailedCall> {
    let (context, server) = (&active_call.context, active_call.server);
    let terms = SendTerms {
        permit,
        is_exempt: active_call.run.is_some_and(|run| run.is_trial),
        ..SendTerms::default()
    };
    let response = call_server(context, server, terms).await?;
    let collected = Limited::new(response.body, MAX_RESPONSE_BYTES)
        .collect()
        .await;
    let body = collected.map_err(|error| {
        FailedCall::new(
            AttemptOutcome::Broken,
            format!("the answer is cut: {error}"),
        )
    })?;
    response.connection.return_to_pool(&response.headers);
    Ok(CollectedResponse {
        status: response.status,
        headers: response.headers,
        body: body.to_bytes(),
        load: response.head.load,
    })
}

/// Returns the refusal for a request whose attempts all failed.
///
/// One that did not run may come back at once, or when the first server returns if all rest.
pub(super) fn final_refusal(
    context: &CallContext,
    verdict: ExecutionVerdict,
    failed: &FailedCall,
) -> RequestRefusal {
    let detail = failed.detail.clone();
    let refusal = RequestRefusal::with_verdict(verdict, RefusalReason::AttemptFailed, detail);
    match verdict {
        ExecutionVerdict::NotRun => {
            let now = context.host.now();
            let registry = &context.host.lock_decisions().registry;
            let returns_at = registry.next_return(now, &context.service.name);
            let rest = returns_at.map(|returns_at| returns_at.since(now));
            refusal
                .retry_after(rest.map_or(NOT_RUN_RETRY_DELAY, |rest| rest.max(NOT_RUN_RETRY_DELAY)))
        }
        ExecutionVerdict::MayHaveRun | ExecutionVerdict::Ran => refusal,
    }
}
