//! Reservation of an engine for a stream.

use std::sync::Arc;
use std::time::Duration;

use teaselglade_core::id::ServerKey;
use teaselglade_core::time::Timestamp;
use teaselglade_request::retry::RetryDecision;
use teaselglade_routing::engine::{EngineQuery, EngineReservation, PromptShape};

use super::Result;
use super::call_context::CallContext;
use crate::journal::PlacementFields;
use crate::state::DecisionState;

/// Interval between the recorded events of a stream after its first one.
const EVENT_RECORD_INTERVAL: Duration = Duration::from_millis(250);

/// Reservation of an engine for a stream, released on drop.
#[derive(Debug)]
pub(super) struct StreamReservation {
    context: Arc<CallContext>,
    pub(super) engine: EngineReservation,
    /// Id of the engine's server.
    pub(super) server_id: String,
    has_first_event: bool,
    /// Time of the last event that was recorded.
    recorded_at: Timestamp,
    /// Part because of which the attempt is contained.
    contained_part: Option<u64>,
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
    /// Chooses an engine, reserves it and logs the placement.
    ///
    /// # Errors
    ///
    /// Returns a "not run" refusal if no engine accepts the stream or a part of its prompt ends
    /// engines.
    pub(super) fn place(context: &Arc<CallContext>, attempt: &StreamAttempt<'_>) -> Result<Self> {
        let mut decisions = context.host.lock_decisions();
        let selected_by = permit_prompt(context, &mut decisions, attempt)?;
        Self::reserve(context, &mut decisions, attempt, selected_by)
    }

    /// Reserves an engine for an attempt beside a silent one.
    ///
    /// Returns `None` if no untried server takes work, no retry is granted, or a part of the prompt
    /// ends engines, so that it must run alone. `retry` is the number of the retry to take from the
    /// budget; `None` takes none.
    pub(super) fn place_standby(
        context: &Arc<CallContext>,
        attempt: &StreamAttempt<'_>,
        retry: Option<u32>,
    ) -> Option<Self> {
        let host = &context.host;
        let now = host.now();
        let service = &context.service.name;
        let mut decisions = host.lock_decisions();
        let has_other_server = decisions
            .registry
            .available(now, service)
            .any(|(server, _)| !attempt.tried.contains(&server));
        if !has_other_server || (retry.is_some() && !decisions.may_retry(service)) {
            return None;
        }
        let selected_by = permit_prompt(context, &mut decisions, attempt).ok()?;
        if let Some((part, _rank)) = selected_by {
            decisions.crash_ledger.record_contained_end(part);
            return None;
        }
        if let Some(retry) = retry {
            let decision = decisions.request_retry(now, context.deadline, service, retry);
            if matches!(decision, RetryDecision::Denied { .. }) {
                return None;
            }
        }
        Self::reserve(context, &mut decisions, attempt, None).ok()
    }

    /// Chooses an engine, reserves it and logs the placement.
    ///
    /// # Errors
    ///
    /// Returns a "not run" refusal if no engine accepts the stream.
    fn reserve(
        context: &Arc<CallContext>,
        decisions: &mut DecisionState,
        attempt: &StreamAttempt<'_>,
        selected_by: Option<(u64, u32)>,
    ) -> Result<Self> {
        let host = &context.host;
        let now = host.now();
        let empty_prompt = PromptShape::default();
        let prompt = context.prompt.as_ref().unwrap_or(&empty_prompt);
        let unlimited_engine = teaselglade_routing::table::EngineSpec {
            slots: u32::MAX,
            memory_tokens: f64::INFINITY,
            event_tokens: 1,
        };
        let contained_part = selected_by.map(|(part, _rank)| part);
        let query = EngineQuery {
            service: &context.service.name,
            spec: context.service.engine.as_ref().unwrap_or(&unlimited_engine),
            prompt,
            target: context.target_time_left(),
            caller_timeout: context.time_left(),
            tried: attempt.tried,
            is_continued: attempt.is_continued,
            is_load_stale: decisions.membership.is_large(),
            selected_by,
        };
        let placed = decisions
            .engine_placer
            .place(now, &decisions.registry, &query);
        let engine = placed.inspect_err(|_refusal| {
            if let Some(part) = contained_part {
                decisions.crash_ledger.record_contained_end(part);
            }
        })?;
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
        };
        host.log.placed(now, &context.log_fields(), &placement);
        host.update_request(context.open_key, |open| open.start_attempt(engine.server));
        Ok(Self {
            context: Arc::clone(context),
            engine,
            server_id,
            has_first_event: false,
            recorded_at: Timestamp::ZERO,
            contained_part,
        })
    }

    /// Returns whether the attempt must not be moved, because its prompt may end engines.
    pub(super) const fn is_contained(&self) -> bool {
        self.contained_part.is_some()
    }

    /// Returns whether an event of the attempt has arrived.
    pub(super) const fn has_first_event(&self) -> bool {
        self.has_first_event
    }

    /// Records that events of the stream arrived.
    ///
    /// Events after the first one are recorded at most once in [`EVENT_RECORD_INTERVAL`]; they
    /// still speak for the prompt's parts.
    pub(super) fn record_events(&mut self) {
        let host = Arc::clone(&self.context.host);
        let now = host.now();
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
        }
        if let Some(prompt) = &self.context.prompt {
            decisions.record_prompt_event(now, self.engine.server, prompt);
        }
        if let Some(part) = self.contained_part.take() {
            decisions.crash_ledger.record_contained_end(part);
        }
    }
}

/// Returns by which part of the prompt its engine is chosen, if it is contained.
///
/// # Errors
///
/// Returns a "not run" refusal if a part of the prompt ends engines.
fn permit_prompt(
    context: &CallContext,
    decisions: &mut DecisionState,
    attempt: &StreamAttempt<'_>,
) -> Result<Option<(u64, u32)>> {
    if attempt.has_events {
        return Ok(None);
    }
    let empty_prompt = PromptShape::default();
    let prompt = context.prompt.as_ref().unwrap_or(&empty_prompt);
    let organisation = context.organisation.as_deref().unwrap_or_default();
    decisions.permit_prompt(context.host.now(), organisation, prompt, attempt.number)
}

impl Drop for StreamReservation {
    fn drop(&mut self) {
        let host = &self.context.host;
        let now = host.now();
        let service = &self.context.service.name;
        let mut decisions = host.lock_decisions();
        decisions
            .engine_placer
            .record_end(now, service, self.engine.id);
        if let Some(part) = self.contained_part.take() {
            decisions.crash_ledger.record_contained_end(part);
        }
    }
}
