//! Reservation of an engine for a stream.

use std::sync::Arc;

use teaselglade_core::id::ServerKey;
use teaselglade_routing::engine::{EngineQuery, EngineReservation, PromptShape};

use super::Result;
use super::call_context::CallContext;
use crate::journal::PlacementFields;

/// Reservation of an engine for a stream, released on drop.
#[derive(Debug)]
pub(super) struct StreamReservation {
    context: Arc<CallContext>,
    pub(super) engine: EngineReservation,
    /// Id of the engine's server.
    pub(super) server_id: String,
    has_first_event: bool,
}

impl StreamReservation {
    /// Chooses an engine, reserves it and logs the placement.
    ///
    /// # Errors
    ///
    /// Returns a "not run" refusal if no engine accepts the stream.
    pub(super) fn place(
        context: &Arc<CallContext>,
        tried: &[ServerKey],
        attempt: u32,
        is_continued: bool,
    ) -> Result<Self> {
        let host = &context.host;
        let now = host.now();
        let empty_prompt = PromptShape::default();
        let unlimited_engine = teaselglade_routing::table::EngineSpec {
            slots: u32::MAX,
            memory_tokens: f64::INFINITY,
            event_tokens: 1,
        };
        let mut decisions = host.lock_decisions();
        let decisions = &mut *decisions;
        let query = EngineQuery {
            service: &context.service.name,
            spec: context.service.engine.as_ref().unwrap_or(&unlimited_engine),
            prompt: context.prompt.as_ref().unwrap_or(&empty_prompt),
            target: context.target_time_left(),
            caller_timeout: context.time_left(),
            tried,
            is_continued,
            is_load_stale: decisions.membership.is_large(),
        };
        let engine = decisions
            .engine_placer
            .place(now, &decisions.registry, &query)?;
        let server_id = decisions
            .registry
            .server(engine.server)
            .registration
            .id
            .clone();
        let placement = PlacementFields {
            server: &server_id,
            attempt,
            predicted: Some(engine.predicted_latency),
            new_tokens: engine.new_tokens,
            tokens_ahead: engine.tokens_ahead as u32,
            update_age: now.since(decisions.registry_updated_at),
        };
        host.log.placed(now, &context.log_fields(), &placement);
        Ok(Self {
            context: Arc::clone(context),
            engine,
            server_id,
            has_first_event: false,
        })
    }

    /// Returns whether an event of the attempt has arrived.
    pub(super) const fn has_first_event(&self) -> bool {
        self.has_first_event
    }

    /// Records the first event of the stream; later calls have no effect.
    pub(super) fn record_first_event(&mut self) {
        if std::mem::replace(&mut self.has_first_event, true) {
            return;
        }
        let host = &self.context.host;
        let now = host.now();
        let service = &self.context.service.name;
        host.lock_decisions()
            .engine_placer
            .record_first_event(now, service, self.engine.id);
    }
}

impl Drop for StreamReservation {
    fn drop(&mut self) {
        let host = &self.context.host;
        let now = host.now();
        let service = &self.context.service.name;
        host.lock_decisions()
            .engine_placer
            .record_end(now, service, self.engine.id);
    }
}
