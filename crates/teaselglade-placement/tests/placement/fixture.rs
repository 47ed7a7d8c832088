//! Helpers that build servers, queries and events.

use std::sync::Arc;
use std::time::Duration;

use teaselglade_core::id::{
    AttemptId, ClassKey, OrganisationKey, RequestId, ServerKey, ServiceKey, ZoneKey,
};
use teaselglade_core::port::ServerReport;
use teaselglade_core::time::Timestamp;
use teaselglade_placement::cost::{CostOptions, CostPolicy};
use teaselglade_placement::policy::{PlacementEvent, PlacementQuery, ServerPlacer};
use teaselglade_placement::server::ServerAttributes;

pub(crate) const SERVICE: ServiceKey = ServiceKey::new(0);
pub(crate) const NEW_GPU_CLASS: u16 = 0;
pub(crate) const OLD_GPU_CLASS: u16 = 1;

pub(crate) const fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(millis)
}

pub(crate) const fn attributes(
    class: u16,
    cents_per_hour: f64,
    reclaimable: bool,
) -> ServerAttributes {
    ServerAttributes {
        service: SERVICE,
        class: ClassKey::new(class),
        zone: ZoneKey::new(0),
        cents_per_hour,
        reclaimable,
    }
}

pub(crate) fn cost_placer(options: CostOptions) -> ServerPlacer {
    ServerPlacer::new(Box::new(CostPolicy::new(options)))
}

pub(crate) fn query(prompt_tokens: u32, answer_tokens: u32) -> PlacementQuery {
    PlacementQuery::new(SERVICE, OrganisationKey::new(0))
        .prompt(prompt_tokens, Vec::new())
        .answer_tokens(answer_tokens)
        .targets(Duration::from_millis(360), Some(Duration::from_millis(47)))
}

pub(crate) fn report(running: u32, gap_millis: u64) -> ServerReport {
    ServerReport {
        running,
        waiting: 0,
        tokens_per_second: 0.0,
        token_gap_micros: gap_millis * 1_000,
        prefill_tokens_per_second: if running > 0 { 5_000.0 } else { 0.0 },
        kv_free: 1.0,
    }
}

pub(crate) fn dispatched(id: u128, server: ServerKey, prefix: &Arc<[u64]>) -> PlacementEvent {
    PlacementEvent::Dispatched {
        attempt: AttemptId::first(RequestId::from_bits(id)),
        server,
        prefix: Arc::clone(prefix),
        prompt_tokens: prefix.len() as u32 * 32,
    }
}

pub(crate) fn ended(id: u128) -> PlacementEvent {
    PlacementEvent::Ended {
        attempt: AttemptId::first(RequestId::from_bits(id)),
    }
}
