//! A stream's place at an engine.

use std::sync::Arc;

use teaselglade_core::id::ServerKey;
use teaselglade_routing::engine::{EngineQuery, EngineReservation, PromptShape};

use super::Result;
use super::call_context::CallContext;
use crate::journal::PlacedLine;

/// A stream's place at an engine, counted until it is dropped.
#[derive(Debug)]
pub(super) struct StreamReservation {
    context: Arc<CallContext>,
    pub(super) seat: EngineReservation,
    /// Name of the server.
    pub(super) server: String,
    has_begun: bool,
}

impl StreamReservation {
    /// Places a stream, or refuses it.
    pub(super) fn take(
        context: &Arc<CallContext>,
        tried: &[ServerKey],
        attempt: u32,
        is_continued: bool,
    ) -> Result<Self> {
        let host = &context.host;
        let now = host.now();
        let no_prompt = PromptShape::default();
        let no_engine = teaselglade_routing::table::EngineSpec {
            slots: u32::MAX,
            memory_tokens: f64::INFINITY,
            event_tokens: 1,
        };
        let mut decisions = host.decide();
        let decisions = &mut *decisions;
        let query = EngineQuery {
            service: &context.service.name,
            spec: context.service.engine.as_ref().unwrap_or(&no_engine),
            prompt: context.prompt.as_ref().unwrap_or(&no_prompt),
            target: context.on_time_left(),
            caller_timeout: context.left(),
            tried,
            is_continued,
            is_load_stale: decisions.roster.is_large(),
        };
        let seat = decisions.engines.place(now, &decisions.fleet, &query)?;
        let server = decisions.fleet.server(seat.server).registration.id.clone();
        let placed = PlacedLine {
            server: &server,
            attempt,
            predicted: Some(seat.predicted_latency),
            new_tokens: seat.new_tokens,
            tokens_ahead: seat.tokens_ahead as u32,
            news_age: now.since(decisions.news_at),
        };
        host.log.placed(now, &context.line(), &placed);
        Ok(Self {
            context: Arc::clone(context),
            seat,
            server,
            has_begun: false,
        })
    }

    /// Notes the first event.
    pub(super) fn begin(&mut self) {
        if std::mem::replace(&mut self.has_begun, true) {
            return;
        }
        let host = &self.context.host;
        let now = host.now();
        let service = &self.context.service.name;
        host.decide()
            .engines
            .record_first_event(now, service, self.seat.id);
    }
}

impl Drop for StreamReservation {
    fn drop(&mut self) {
        let host = &self.context.host;
        host.decide().engines.record_end(self.seat.id);
    }
}
