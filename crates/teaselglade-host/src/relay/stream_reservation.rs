//! Reservation of an engine for a stream.

use std::sync::{Arc, LazyLock};
use std::time::Duration;

use teaselglade_core::id::ServerKey;
use teaselglade_core::time::Timestamp;
use teaselglade_core::verdict::{RefusalReason, RequestRefusal};
use teaselglade_request::retry::RetryDecision;
use teaselglade_routing::attempt::AttemptOutcome;
use teaselglade_routing::capacity::PlacementTerms;
use teaselglade_routing::crash::ContainedRun;
use teaselglade_routing::engine::{EngineQuery, EngineReservation, PromptShape};
use teaselglade_routing::rollout::{AttemptEvidence, AttemptRecord, VersionChoice, VersionScope};
use teaselglade_routing::speed::TimeSample;
use teaselglade_routing::table::EngineSpec;

use super::Result;
use super::call_context::CallContext;
use super::event_pace::EventPace;
use super::plain_relay::attempt_evidence;
use super::server_turn::ServerTurn;
use super::zone_step::{choose_zone, record_zone};
use crate::journal::PlacementFields;
use crate::permit::SendPermit;
use crate::state::DecisionState;

/// Interval between the recorded events of a stream after its first one.
const EVENT_RECORD_INTERVAL: Duration = Duration::from_millis(250);

/// Time to the first event to which others are scaled before they are compared.
const USUAL_LATENCY: Duration = Duration::from_millis(40);

/// Retry delay of a stream whose prompt selects a limited engine; the time of a few events.
const SELECTED_RETRY_DELAY: Duration = Duration::from_millis(500);
/// Capacity of engines of a service that declares none.
pub(crate) const UNLIMITED_ENGINE: EngineSpec = EngineSpec {
    slots: u32::MAX,
    memory_tokens: f64::INFINITY,
    event_tokens: 1,
};
/// Prompt of a stream that declares none.
static EMPTY_PROMPT: LazyLock<PromptShape> = LazyLock::new(PromptShape::default);

/// Engine that was chosen for an attempt.
#[derive(Debug, Default)]
struct ObtainedEngine {
    /// Engine to reserve; `None` leaves the choice to the placer.
    server: Option<ServerKey>,
    /// Permit to send to it, if it is limited.
    permit: Option<SendPermit>,
}

/// Reservation of an engine for a stream, released on drop.
#[derive(Debug)]
pub(super) struct StreamReservation {
    context: Arc<CallContext>,
    /// Permit to send to the engine, until the attempt takes it.
    permit: Option<SendPermit>,
    pub(super) engine: EngineReservation,
    /// Id of the engine's server.
    pub(super) server_id: String,
    has_first_event: bool,
    /// Time of the last event that was recorded.
    recorded_at: Timestamp,
    /// Times of the events, which tell the engine's speed.
    event_pace: EventPace,
    /// Run of the attempt, if it is contained.
    contained_run: Option<ContainedRun>,
    /// What a roll-out counts of the attempt.
    record: Option<AttemptRecord>,
    sent_at: Timestamp,
    /// Whether the attempt may be sent although its request is quarantined.
    is_exempt: bool,
}

/// Attempt for which an engine is reserved.
#[derive(Debug, Clone, Copy)]
pub(super) struct StreamAttempt<'a> {
    /// Servers that must not be tried again.
    pub(super) tried: &'a [ServerKey],
    /// Number of the attempt, from 1.
    pub(super) number: u32,
    /// Whether the stream must not be refused for lateness any more.
    pub(super) is_continued: bool,
    /// Whether an event of this request arrived before, which speaks for its prompt.
    pub(super) has_events: bool,
}

impl StreamReservation {
    /// Chooses an engine, obtains a permit if it is limited, reserves it and logs the placement.
    ///
    /// # Errors
    ///
    /// Returns a "not run" refusal if no engine accepts the stream or requests like it end engines.
    pub(super) async fn place(
        context: &Arc<CallContext>,
        attempt: &StreamAttempt<'_>,
    ) -> Result<Self> {
        choose_zone(context, &mut context.host.lock_decisions());
        let turn = ServerTurn::new(context, attempt.is_continued);
        let is_repeat = attempt.number > 1 || attempt.has_events;
        let mut choice = choose_versions(context, is_repeat);
        let engine = obtain_engine(context, attempt, &turn, &mut choice).await;
        let mut decisions = context.host.lock_decisions();
        let run = permit_attempt(context, &mut decisions, attempt);
        let run = run.inspect_err(|_refusal| give_back(context, &mut decisions, &choice))?;
        let is_new = attempt.number == 1 && !attempt.is_continued && run.is_none();
        if !is_new {
            return Self::reserve(context, &mut decisions, attempt, run, engine, choice);
        }
        let (now, request) = (context.host.now(), context.share_request());
        let admitted = decisions.shares.admit(now, &request);
        admitted.inspect_err(|_refusal| give_back(context, &mut decisions, &choice))?;
        let placed = Self::reserve(context, &mut decisions, attempt, run, engine, choice);
        match &placed {
            Ok(_) => decisions.shares.record_used(now, &request),
            Err(refusal) => decisions
                .shares
                .record_refusal(now, &request, refusal.reason),
        }
        placed
    }

    /// Reserves an engine for an attempt beside a silent one.
    ///
    /// Returns `None` if no untried server takes work, no retry is granted, or requests like it end
    /// engines, so that it must run alone. `retry` is the number of the retry to take from the
    /// budget; `None` takes none.
    pub(super) async fn place_standby(
        context: &Arc<CallContext>,
        attempt: &StreamAttempt<'_>,
        retry: Option<u32>,
    ) -> Option<Self> {
        let host = &context.host;
        let service = &context.service.name;
        let may_start = |decisions: &mut DecisionState| {
            let now = host.now();
            let mut servers = decisions.registry.available(now, service);
            let has_other_server = servers.any(|(server, _)| !attempt.tried.contains(&server));
            drop(servers);
            has_other_server && (retry.is_none() || decisions.may_retry(service))
        };
        if !may_start(&mut host.lock_decisions()) {
            return None;
        }
        let turn = ServerTurn::without_hold(context);
        let mut choice = choose_versions(context, true);
        let engine = obtain_engine(context, attempt, &turn, &mut choice).await;
        let now = host.now();
        let mut decisions = host.lock_decisions();
        if !may_start(&mut decisions) {
            return None;
        }
        if decisions.crash_ledger.is_suspect(context.request_hash) {
            return None;
        }
        let run = permit_attempt(context, &mut decisions, attempt).ok()?;
        if let Some(run) = run {
            decisions.crash_ledger.record_contained_end(run.subject);
            return None;
        }
        if let Some(retry) = retry {
            let decision = decisions.request_retry(now, context.deadline, service, retry);
            if matches!(decision, RetryDecision::Denied { .. }) {
                return None;
            }
        }
        Self::reserve(context, &mut decisions, attempt, None, engine, choice).ok()
    }

    /// Reserves an engine and logs the placement.
    ///
    /// # Errors
    ///
    /// Returns a "not run" refusal if no engine accepts the stream, or the one that its prompt selects
    /// is limited.
    fn reserve(
        context: &Arc<CallContext>,
        decisions: &mut DecisionState,
        attempt: &StreamAttempt<'_>,
        run: Option<ContainedRun>,
        mut obtained: ObtainedEngine,
        mut choice: VersionChoice,
    ) -> Result<Self> {
        let host = &context.host;
        let now = host.now();
        // The order may have moved on while the attempt waited for a permit.
        let (service, route) = (&context.service.name, context.route_hash);
        let current = decisions.rollouts.choose(now, service, route, true);
        let is_still_partial = choice.is_partial()
            && decisions.rollouts.is_running(service)
            && choice.fallback().as_ref() == Some(&current);
        if !is_still_partial && choice != current {
            give_back(context, decisions, &choice);
            choice = current;
            let registry = &decisions.registry;
            let is_usable = |server| choice.allows(server, registry.server(server));
            if !obtained.server.is_some_and(is_usable) {
                obtained = ObtainedEngine::default();
            }
        }
        // A request that may end servers does not go on trial.
        let is_withheld = run.is_some() && choice.is_partial();
        if let Some(fallback) = choice.fallback().filter(|_| is_withheld) {
            give_back(context, decisions, &choice);
            choice = fallback;
        }
        let placed = loop {
            let query = engine_query(context, decisions, attempt, run, choice.scope());
            let registry = &decisions.registry;
            let engines = &mut decisions.engine_placer;
            let placed = match obtained.server {
                Some(server) if run.is_none() => engines.place_at(now, registry, &query, server),
                _ => engines.place(now, registry, &query),
            };
            let fallback = choice.fallback().filter(|_| placed.is_err());
            let Some(fallback) = fallback else {
                break placed;
            };
            give_back(context, decisions, &choice);
            let is_left = |server| {
                let registered = decisions.registry.server(server);
                !choice.scope().allows(server, registered) && fallback.allows(server, registered)
            };
            // Only an engine that this scope left out may still take the stream.
            if !obtained.server.is_some_and(is_left) {
                obtained = ObtainedEngine::default();
            }
            choice = fallback;
        };
        let placed = placed.and_then(|engine| {
            let is_permitted = obtained.permit.is_some() && obtained.server == Some(engine.server);
            if is_permitted || !decisions.needs_permit(engine.server) {
                return Ok(engine);
            }
            let service = &context.service.name;
            decisions.engine_placer.record_end(now, service, engine.id);
            let detail = "the engine that the prompt selects is limited";
            let refusal = RequestRefusal::not_run(RefusalReason::ServerLimit, detail);
            Err(refusal.retry_after(SELECTED_RETRY_DELAY))
        });
        let engine = placed.inspect_err(|_refusal| {
            if let Some(run) = run {
                decisions.crash_ledger.record_contained_end(run.subject);
            }
        })?;
        let record = decisions.rollouts.record_sent(
            now,
            &decisions.registry,
            engine.server,
            context.route_hash,
            attempt.number == 1,
        );
        record_zone(context, decisions, &engine);
        let server_id = decisions
            .registry
            .server(engine.server)
            .registration
            .id
            .clone();
        let placement = PlacementFields {
            server: &server_id,
            attempt: attempt.number,
            predicted: Some(engine.predicted_latency),
            new_tokens: engine.new_tokens,
            tokens_ahead: engine.tokens_ahead as u32,
            update_age: now.since(decisions.registry_updated_at),
            speed: decisions
                .engine_placer
                .ledger()
                .evidence(now, engine.server),
        };
        host.log.placed(now, &context.log_fields(), &placement);
        host.update_request(context.open_key, |open| open.start_attempt(engine.server));
        Ok(Self {
            context: Arc::clone(context),
            permit: obtained.permit,
            engine,
            server_id,
            has_first_event: false,
            recorded_at: Timestamp::ZERO,
            event_pace: EventPace::default(),
            contained_run: run,
            record,
            sent_at: now,
            is_exempt: attempt.has_events || run.is_some_and(|run| run.is_trial),
        })
    }

    /// Returns the permit to send to the engine, if it is limited.
    pub(super) const fn take_permit(&mut self) -> Option<SendPermit> {
        self.permit.take()
    }

    /// Returns whether the attempt must not be moved, because its request may end engines.
    pub(super) const fn is_contained(&self) -> bool {
        self.contained_run.is_some()
    }

    /// Returns whether the attempt may be sent although its request is quarantined.
    pub(super) const fn is_exempt(&self) -> bool {
        self.is_exempt
    }

    /// Returns whether an event of the attempt has arrived.
    pub(super) const fn has_first_event(&self) -> bool {
        self.has_first_event
    }

    /// Records for a roll-out that the server failed the stream, or how the attempt failed.
    pub(super) fn record_failure(&mut self, outcome: AttemptOutcome) {
        let Some(record) = &mut self.record else {
            return;
        };
        let host = &self.context.host;
        let elapsed = host.now().since(self.sent_at);
        match attempt_evidence(outcome, scaled(elapsed, &self.engine)) {
            Some(result) => host.lock_decisions().rollouts.record_result(record, result),
            None => record.discard(),
        }
    }

    /// Records that events of the stream arrived.
    ///
    /// Events after the first one are recorded at most once in [`EVENT_RECORD_INTERVAL`]; they
    /// still speak for the request and the prompt's parts.
    pub(super) fn record_events(&mut self, count: usize) {
        let host = Arc::clone(&self.context.host);
        let now = host.now();
        self.event_pace.record(now, count);
        host.update_request(self.context.open_key, |open| open.record_event(now));
        let is_first = !std::mem::replace(&mut self.has_first_event, true);
        if !is_first && now.since(self.recorded_at) < EVENT_RECORD_INTERVAL {
            return;
        }
        self.recorded_at = now;
        let mut decisions = host.lock_decisions();
        let decisions = &mut *decisions;
        if is_first {
            let service = &self.context.service.name;
            decisions
                .engine_placer
                .record_first_event(now, service, self.engine.id);
            if let Some(record) = &mut self.record {
                let answered = AttemptEvidence::Answered {
                    is_failure: false,
                    latency: scaled(now.since(self.sent_at), &self.engine),
                };
                decisions.rollouts.record_result(record, answered);
            }
        }
        decisions.record_answer(now, self.engine.server, self.context.subjects());
        if let Some(run) = self.contained_run.take() {
            decisions.crash_ledger.record_contained_end(run.subject);
        }
    }
}

/// Chooses an engine; obtains a permit if it is limited.
///
/// An engine whose permit is denied is left out, and the next one is considered. Without an engine in
/// the first scope of `choice` it becomes its fallback.
async fn obtain_engine(
    context: &CallContext,
    attempt: &StreamAttempt<'_>,
    turn: &ServerTurn,
    choice: &mut VersionChoice,
) -> ObtainedEngine {
    loop {
        let server = {
            let mut decisions = context.host.lock_decisions();
            if decisions.limits.is_empty() {
                return ObtainedEngine::default();
            }
            let query = engine_query(context, &decisions, attempt, None, choice.scope());
            let (placer, registry) = (&decisions.engine_placer, &decisions.registry);
            let server = placer.preview(context.host.now(), registry, &query);
            if let Some(server) = server
                && !decisions.needs_permit(server)
            {
                return ObtainedEngine {
                    server: Some(server),
                    permit: None,
                };
            }
            if server.is_none() && leave_trial(context, &mut decisions, choice) {
                continue;
            }
            server
        };
        let Some(server) = server else {
            if turn.wait_for_first().await {
                *choice = choose_versions(context, true);
                continue;
            }
            if let Some(fallback) = choice.fallback() {
                *choice = fallback;
                continue;
            }
            return ObtainedEngine::default();
        };
        let permit = turn.request(server, attempt.tried).await;
        if permit.is_some() {
            return ObtainedEngine {
                server: Some(server),
                permit,
            };
        }
        // A trial takes a permit that is free, but asks for one only once.
        leave_trial(context, &mut context.host.lock_decisions(), choice);
    }
}

/// Makes a choice of a part of the new servers its fallback; returns whether it was one.
fn leave_trial(
    context: &CallContext,
    decisions: &mut DecisionState,
    choice: &mut VersionChoice,
) -> bool {
    let Some(old) = choice.fallback().filter(|_| choice.is_partial()) else {
        return false;
    };
    give_back(context, decisions, choice);
    *choice = old;
    true
}

/// Returns the query by which the engine of an attempt is chosen.
fn engine_query<'a>(
    context: &'a CallContext,
    decisions: &DecisionState,
    attempt: &StreamAttempt<'a>,
    run: Option<ContainedRun>,
    versions: VersionScope<'a>,
) -> EngineQuery<'a> {
    let spec = context.service.engine.as_ref();
    EngineQuery {
        service: &context.service.name,
        spec: spec.unwrap_or(&UNLIMITED_ENGINE),
        prompt: context.prompt.as_ref().unwrap_or(&EMPTY_PROMPT),
        target: context.target_time_left(),
        caller_timeout: context.time_left(),
        tried: attempt.tried,
        is_continued: attempt.is_continued,
        is_load_stale: decisions.membership.is_large(),
        selected_by: run.map(|run| (run.subject.selector(), run.rank)),
        terms: PlacementTerms {
            queue_limit: decisions.shares.queue_limit(&context.share_request()),
            ..context.placement_terms(versions)
        },
    }
}

/// Chooses the versions that an attempt may use.
fn choose_versions(context: &CallContext, is_repeat: bool) -> VersionChoice {
    let host = &context.host;
    let (service, route) = (&context.service.name, context.route_hash);
    let mut decisions = host.lock_decisions();
    decisions
        .rollouts
        .choose(host.now(), service, route, is_repeat)
}

/// Gives back the credit of a trial that was not sent.
fn give_back(context: &CallContext, decisions: &mut DecisionState, choice: &VersionChoice) {
    if choice.is_trial() {
        let (service, route) = (&context.service.name, context.route_hash);
        decisions.rollouts.give_back(service, route);
    }
}

/// Returns a time to the first event as it would be if [`USUAL_LATENCY`] had been predicted.
///
/// The prediction counts what the engine has to prefill, so that a cold cache is not a slow engine.
fn scaled(elapsed: Duration, engine: &EngineReservation) -> Duration {
    let predicted = engine.predicted_latency.max(USUAL_LATENCY);
    elapsed.mul_f64(USUAL_LATENCY.as_secs_f64() / predicted.as_secs_f64())
}

/// Returns the run of an attempt that must run alone; `None` if it need not.
///
/// # Errors
///
/// Returns a "not run" refusal if requests like it end engines.
fn permit_attempt(
    context: &CallContext,
    decisions: &mut DecisionState,
    attempt: &StreamAttempt<'_>,
) -> Result<Option<ContainedRun>> {
    if attempt.has_events {
        return Ok(None);
    }
    let (now, organisation) = (context.host.now(), context.organisation_name());
    decisions.permit_attempt(now, organisation, context.subjects(), attempt.number)
}

impl Drop for StreamReservation {
    fn drop(&mut self) {
        let host = &self.context.host;
        let now = host.now();
        let service = &self.context.service.name;
        let mut decisions = host.lock_decisions();
        if let Some(elapsed) = self.event_pace.interval() {
            let sample = TimeSample {
                elapsed,
                weight: 1.0,
            };
            let speeds = decisions.engine_placer.ledger_mut();
            speeds.record_time(now, service, self.engine.server, sample);
        }
        decisions
            .engine_placer
            .record_end(now, service, self.engine.id);
        if let Some(record) = &mut self.record {
            let elapsed = now.since(self.sent_at);
            if elapsed >= self.context.overdue_after() {
                let overdue = AttemptEvidence::Overdue(scaled(elapsed, &self.engine));
                decisions.rollouts.record_result(record, overdue);
            }
            decisions.rollouts.record_closed(record);
        }
        if let Some(run) = self.contained_run.take() {
            decisions.crash_ledger.record_contained_end(run.subject);
        }
    }
}
