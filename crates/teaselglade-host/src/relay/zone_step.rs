//! Choice of a data centre for a stream, and its record.

use teaselglade_routing::engine::EngineReservation;
use teaselglade_routing::zone::ZoneRequest;

use super::call_context::CallContext;
use crate::state::DecisionState;

/// Chooses the zone of a stream; later attempts keep the choice.
pub(super) fn choose_zone(context: &CallContext, decisions: &mut DecisionState) {
    if !decisions.zones.is_active() || context.zone_choice.get().is_some() {
        return;
    }
    let now = context.host.now();
    let Some(request) = zone_request(context, decisions) else {
        return;
    };
    let choice = decisions.zones.choose(now, &request);
    context.zone_choice.get_or_init(|| choice);
}

/// Records and counts the zone in which a stream was placed.
pub(super) fn record_zone(
    context: &CallContext,
    decisions: &mut DecisionState,
    engine: &EngineReservation,
) {
    let Some(request) = zone_request(context, decisions) else {
        return;
    };
    let server = decisions.registry.server(engine.server);
    let zone = server.registration.zone.clone();
    let prompt_tokens = context
        .prompt
        .as_ref()
        .map_or(0, |prompt| prompt.prompt_tokens);
    let choice = context.zone_choice.get();
    let is_planned = choice.is_some_and(|choice| choice.leaves_to.as_deref() == Some(&zone));
    let reason = match () {
        () if zone == context.host.settings.zone => "home",
        () if is_planned => "planned",
        () if engine.new_tokens < prompt_tokens => "cached",
        () => "load",
    };
    let metrics = &context.host.metrics.zones;
    metrics.count(&context.service.name, &zone, reason, request.bytes as u64);
    let now = context.host.now();
    decisions.zones.record_placement(now, &request, &zone);
}

fn zone_request<'a>(
    context: &'a CallContext,
    decisions: &DecisionState,
) -> Option<ZoneRequest<'a>> {
    let prompt = context.prompt.as_ref()?;
    let (now, target) = (context.host.now(), context.target_time_left());
    let service = &context.service.name;
    Some(decisions.zone_request(now, service, prompt, context.body.len(), target))
}
