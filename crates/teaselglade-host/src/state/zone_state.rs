//! Decisions of a host on requests that leave its data centre.

use std::collections::BTreeMap;
use std::time::Duration;

use teaselglade_core::time::Timestamp;
use teaselglade_routing::engine::PromptShape;
use teaselglade_routing::zone::{ServiceLoad, ZoneLoad, ZoneRequest};

use super::DecisionState;

/// Bytes of an answer's events for each token: its text and the framing of its event.
const ANSWER_BYTES_PER_TOKEN: f64 = 8.0;

impl DecisionState {
    /// Returns a stream request as the zone decision sees it.
    #[must_use]
    pub fn zone_request<'a>(
        &self,
        now: Timestamp,
        service: &'a str,
        prompt: &PromptShape,
        body_bytes: usize,
        target: Duration,
    ) -> ZoneRequest<'a> {
        let home = self.zones.home();
        let cached = |is_home: bool| {
            let placer = &self.engine_placer;
            let in_zone = |zone: &str| (zone == home) == is_home;
            f64::from(placer.most_cached_tokens(now, &self.registry, service, prompt, in_zone))
        };
        let (cached_home, cached_abroad) = if self.zones.is_active() {
            (cached(true), cached(false))
        } else {
            (0.0, 0.0)
        };
        let prompt_tokens = f64::from(prompt.prompt_tokens);
        let answer_bytes = f64::from(prompt.output_tokens) * ANSWER_BYTES_PER_TOKEN;
        let shared_part = prompt.parts.iter().rev().nth(1);
        ZoneRequest {
            service,
            work: (prompt_tokens - cached_home.max(cached_abroad)).max(1.0),
            bytes: body_bytes as f64 + answer_bytes,
            target,
            shared_part: shared_part.map(|part| part.prefix_hash),
            saved_at_home: (cached_home - cached_abroad) / prompt_tokens.max(1.0),
        }
    }

    /// Updates the plan of the outflows.
    ///
    /// Only a host that receives the demand of all others plans; the others follow a plan.
    pub fn plan_zones(&mut self, now: Timestamp) {
        if !self.zones.is_active() {
            return;
        }
        self.zones.prune(now);
        let hears_all = !self.membership.is_large() || self.membership.is_aggregator(now);
        if !hears_all {
            return;
        }
        for (service, demand) in self.demand_by_zone(now) {
            let load = self.service_load(now, &service, &demand);
            self.zones.plan(now, &service, &load);
        }
    }

    /// Returns the prompt tokens per second that callers ask for, by service and zone.
    fn demand_by_zone(&mut self, now: Timestamp) -> BTreeMap<String, BTreeMap<String, f64>> {
        let mut sums: BTreeMap<String, BTreeMap<String, f64>> = BTreeMap::new();
        let home = self.zones.home().to_owned();
        let own = self.engine_placer.demand(now).into_iter();
        let own = own.map(|(service, tokens)| (home.clone(), service, tokens));
        for (zone, service, tokens) in own.chain(self.fresh_peer_demand(now)) {
            *sums.entry(service).or_default().entry(zone).or_default() += tokens;
        }
        sums
    }

    /// Returns demand and room of a service by zone; zones that seem cut off have no room.
    fn service_load(
        &self,
        now: Timestamp,
        service: &str,
        demand: &BTreeMap<String, f64>,
    ) -> ServiceLoad {
        let ledger = self.engine_placer.ledger();
        let mut servers: BTreeMap<&str, (u32, f64)> = BTreeMap::new();
        for (key, server) in self.registry.available(now, service) {
            let (count, speeds) = servers.entry(&server.registration.zone).or_default();
            *count += 1;
            *speeds += ledger.speed(key);
        }
        servers.retain(|zone, _| !self.zones.is_cut_off(now, zone));
        let demanding = demand.keys().map(String::as_str);
        let names: std::collections::BTreeSet<&str> =
            demanding.chain(servers.keys().copied()).collect();
        let speed = self.engine_placer.speed(service);
        let zones = names.into_iter().map(|zone| {
            let (servers, speeds) = servers.get(zone).copied().unwrap_or_default();
            ZoneLoad {
                zone: zone.to_owned(),
                demand: demand.get(zone).copied().unwrap_or_default(),
                room: speeds * speed.tokens_per_second(),
                servers,
            }
        });
        ServiceLoad {
            zones: zones.collect(),
            service_time: speed.prefill_time(self.zones.typical_work(service)),
            crossing: self.zones.typical_crossing(service),
        }
    }
}
