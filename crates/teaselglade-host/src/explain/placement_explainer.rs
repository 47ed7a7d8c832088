//! Asks the placers of this host where a request would go.

use std::time::Duration;

use teaselglade_core::id::ServerKey;
use teaselglade_core::time::Timestamp;
use teaselglade_core::verdict::RequestRefusal;
use teaselglade_routing::capacity::{PlacementTerms, RequestRank};
use teaselglade_routing::crash::{CrashSubject, SubjectReport};
use teaselglade_routing::engine::{EngineOption, EngineQuery, PromptShape};
use teaselglade_routing::gossip::name_hash;
use teaselglade_routing::plain::{PlainOption, PlainQuery};
use teaselglade_routing::share::ShareRequest;
use teaselglade_routing::table::{
    OrganisationSpec, ResponseKind, RouteSpec, RouteTable, ServiceSpec,
};
use teaselglade_routing::zone::ZoneChoice;

use super::{
    ExplainError, FactAges, LeftOutServer, PlacementQuery, PlacementReport, Result, ServerOption,
    ZoneDecision,
};
use crate::relay::UNLIMITED_ENGINE;
use crate::state::{DecisionState, HostState};

/// Path at which the admin listener explains placements.
pub const PLACEMENT_PATH: &str = "/where";

/// Explains where a request would go now, without sending, counting or logging it.
///
/// # Errors
///
/// Returns an error if the host has no table or the query does not match it.
pub fn explain_placement(host: &HostState, query: &PlacementQuery) -> Result<PlacementReport> {
    let active = host.table().ok_or(ExplainError::NoTable)?;
    let table = &active.table;
    let name = query.host.to_ascii_lowercase();
    let route = table.route(&name, &query.path).ok_or_else(|| {
        let (host, path) = (&query.host, &query.path);
        invalid(format!(
            "no route for `{host}{path}`, expected a host and path of the table"
        ))
    })?;
    let organisation = find_organisation(table, route, query.organisation.as_deref())?;
    let service = find_service(table, route, query.service.as_deref())?;
    let priority = organisation.and_then(|organisation| organisation.priority);
    let rank = RequestRank::of(priority, route.priority);
    let prompt = query.prompt.as_ref().map(super::PromptQuery::shape);
    let prompt = prompt.unwrap_or_default();
    let now = host.now();
    let mut decisions = host.lock_decisions();
    let is_stream = route.response_kind == ResponseKind::Stream;
    let choice = if is_stream {
        let bytes = query.body_bytes;
        let request = decisions.zone_request(now, &service.name, &prompt, bytes, route.target);
        decisions.zones.preview(now, &request)
    } else {
        ZoneChoice::default()
    };
    let share_request = ShareRequest {
        service: &service.name,
        organisation: organisation.map_or("", |organisation| &organisation.name),
        rank: RequestRank::new(route.priority),
        work: prompt.work(),
    };
    // Previews decide, so that neither credit of a trial nor a part of a share is used up.
    let admitted = if is_stream {
        decisions.shares.preview(now, &share_request)
    } else {
        Ok(())
    };
    let rollouts = &decisions.rollouts;
    let versions = rollouts.preview(now, &service.name, name_hash(&route.name));
    let terms = PlacementTerms {
        zone: &host.settings.zone,
        rank,
        versions: versions.scope(),
        queue_limit: decisions.shares.queue_limit(&share_request),
        zones: choice.terms(),
    };
    let (mut decision, mut options) =
        explain_within(now, &mut decisions, route, service, &prompt, terms);
    let mut next = versions.fallback();
    while let Some(fallback) = next.filter(|_| decision.is_err()) {
        let terms = PlacementTerms {
            versions: fallback.scope(),
            ..terms
        };
        (decision, options) = explain_within(now, &mut decisions, route, service, &prompt, terms);
        next = fallback.fallback();
    }
    let decision = admitted.and(decision);
    let outflow = decisions.zones.outflow(now, &service.name);
    Ok(PlacementReport {
        route: route.name.clone(),
        service: service.name.clone(),
        organisation: organisation.map(|organisation| organisation.name.clone()),
        rank: rank.get(),
        rollout: decisions
            .rollouts
            .stage(&service.name)
            .map(|stage| stage.name().to_owned()),
        server: decision
            .as_ref()
            .ok()
            .map(|key| server_name(&decisions, *key)),
        refusal: decision.err().map(|refusal| refusal.detail),
        zone: ZoneDecision {
            home: host.settings.zone.clone(),
            crossing_ms: millis(choice.crossing),
            outflow_share: outflow.map_or(0.0, teaselglade_routing::zone::ZoneOutflow::share),
            leaves_to: choice.leaves_to,
        },
        options,
        left_out: left_out(now, &decisions, &service.name),
        subjects: subjects(now, &decisions, &prompt),
        ages: FactAges {
            table_version: table.version(),
            registrations_ms: decisions.update_age(now).as_millis() as u64,
            loads_ms: decisions.engine_placer.load_age(now).map(whole_millis),
            zone_plan_ms: decisions.zones.plan_age(now).map(whole_millis),
        },
    })
}

fn explain_within(
    now: Timestamp,
    decisions: &mut DecisionState,
    route: &RouteSpec,
    service: &ServiceSpec,
    prompt: &PromptShape,
    terms: PlacementTerms<'_>,
) -> (
    std::result::Result<ServerKey, RequestRefusal>,
    Vec<ServerOption>,
) {
    match route.response_kind {
        ResponseKind::Stream => explain_stream(now, decisions, route, service, prompt, terms),
        ResponseKind::Plain => explain_call(now, decisions, service, terms),
    }
}

fn explain_stream(
    now: Timestamp,
    decisions: &mut DecisionState,
    route: &RouteSpec,
    service: &ServiceSpec,
    prompt: &PromptShape,
    terms: PlacementTerms<'_>,
) -> (
    std::result::Result<ServerKey, RequestRefusal>,
    Vec<ServerOption>,
) {
    let query = EngineQuery {
        service: &service.name,
        spec: service.engine.as_ref().unwrap_or(&UNLIMITED_ENGINE),
        prompt,
        target: route.target,
        caller_timeout: route.timeout,
        tried: &[],
        is_continued: false,
        is_load_stale: decisions.membership.is_large(),
        selected_by: None,
        terms,
    };
    let placer = &mut decisions.engine_placer;
    let explanation = placer.explain(now, &decisions.registry, &query);
    let options = explanation.options.iter();
    let options = options.map(|option| engine_option(decisions, prompt, option));
    let options = options.collect();
    (explanation.decision, options)
}

fn explain_call(
    now: Timestamp,
    decisions: &mut DecisionState,
    service: &ServiceSpec,
    terms: PlacementTerms<'_>,
) -> (
    std::result::Result<ServerKey, RequestRefusal>,
    Vec<ServerOption>,
) {
    let query = PlainQuery {
        service: &service.name,
        tried: &[],
        selected_by: None,
        terms,
    };
    let placer = &mut decisions.plain_placer;
    let explanation = placer.explain(now, &decisions.registry, &query);
    let options = explanation.options.iter();
    let options = options.map(|option| plain_option(decisions, option));
    let options = options.collect();
    (explanation.decision, options)
}

fn engine_option(
    decisions: &DecisionState,
    prompt: &PromptShape,
    option: &EngineOption,
) -> ServerOption {
    let wait = option.predicted_latency.saturating_sub(option.prefill_time);
    ServerOption {
        cost: option.cost_ms,
        zone_cost_ms: Some(option.zone_cost_ms),
        predicted_ms: Some(millis(option.predicted_latency)),
        wait_ms: Some(millis(wait)),
        cached_tokens: Some(prompt.prompt_tokens.saturating_sub(option.new_tokens)),
        tokens_ahead: Some(option.tokens_ahead),
        used_share: Some(option.used_share),
        is_avoided: option.is_avoided,
        ..bare_option(decisions, option.server)
    }
}

fn plain_option(decisions: &DecisionState, option: &PlainOption) -> ServerOption {
    ServerOption {
        cost: option.cost,
        load_age_ms: option.load_age.map(whole_millis),
        ..bare_option(decisions, option.server)
    }
}

fn bare_option(decisions: &DecisionState, server: ServerKey) -> ServerOption {
    ServerOption {
        server: server_name(decisions, server),
        zone: decisions.registry.server(server).registration.zone.clone(),
        cost: 0.0,
        zone_cost_ms: None,
        predicted_ms: None,
        wait_ms: None,
        cached_tokens: None,
        tokens_ahead: None,
        used_share: None,
        load_age_ms: None,
        is_avoided: false,
        needs_permit: decisions.needs_permit(server),
    }
}

fn server_name(decisions: &DecisionState, server: ServerKey) -> String {
    decisions.registry.server(server).registration.id.clone()
}

/// Returns the servers that take work, but not from this host now.
fn left_out(now: Timestamp, decisions: &DecisionState, service: &str) -> Vec<LeftOutServer> {
    let servers = decisions.registry.of_service(service);
    let left_out = servers.filter_map(|(_, server)| {
        let (reason, wait) = server.wait(now)?;
        Some(LeftOutServer {
            server: server.registration.id.clone(),
            zone: server.registration.zone.clone(),
            reason: reason.to_owned(),
            wait_ms: whole_millis(wait),
        })
    });
    left_out.collect()
}

/// Returns what speaks against the shared parts of a prompt.
fn subjects(now: Timestamp, decisions: &DecisionState, prompt: &PromptShape) -> Vec<SubjectReport> {
    let reports = decisions.crash_ledger.reports(now).into_iter();
    let concerns = |report: &SubjectReport| {
        let subject = report.subject.parse::<CrashSubject>();
        let mut parts = prompt.shared_ids();
        subject.is_ok_and(|subject| parts.any(|part| subject == CrashSubject::Part(part)))
    };
    reports.filter(concerns).collect()
}

/// Returns the organisation of this name or key.
fn find_organisation<'a>(
    table: &'a RouteTable,
    route: &RouteSpec,
    text: Option<&str>,
) -> Result<Option<&'a OrganisationSpec>> {
    let organisations = &table.spec().organisations;
    let Some(text) = text else {
        if route.public || organisations.is_empty() {
            return Ok(None);
        }
        let route = &route.name;
        return Err(invalid(format!(
            "route `{route}` needs an organisation, expected its name or a key"
        )));
    };
    let mut matching = organisations.iter().filter(|organisation| {
        organisation.name == text || organisation.keys.iter().any(|key| key == text)
    });
    let found = matching.next().map(Some);
    // The text may be a key, so that it is not repeated.
    found.ok_or_else(|| invalid("no organisation of the table has this name or key".to_owned()))
}

/// Returns the named service of a route, or the one of most weight.
fn find_service<'a>(
    table: &'a RouteTable,
    route: &RouteSpec,
    name: Option<&str>,
) -> Result<&'a ServiceSpec> {
    let shares = route.services.iter();
    let share = match name {
        Some(name) => shares.clone().find(|share| share.service == name),
        None => shares.clone().max_by(|a, b| a.weight.total_cmp(&b.weight)),
    };
    let found = share.and_then(|share| table.service(&share.service));
    found.ok_or_else(|| {
        let names: Vec<&str> = shares.map(|share| share.service.as_str()).collect();
        invalid(format!(
            "route `{}` has no service `{}`, expected one of {names:?}",
            route.name,
            name.unwrap_or_default()
        ))
    })
}

const fn invalid(detail: String) -> ExplainError {
    ExplainError::InvalidQuery(detail)
}

fn millis(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1_000.0
}

const fn whole_millis(duration: Duration) -> u64 {
    duration.as_millis() as u64
}
