//! Placement, limits and admission of one entry host.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use teaselglade_core::id::{AttemptId, HostName, NameArena, RequestId, ServerKey};
use teaselglade_core::port::{CacheChanges, ServerReport};
use teaselglade_core::table::RoutingTable;
use teaselglade_core::time::Timestamp;
use teaselglade_core::verdict::{RefusalReason, RequestRefusal};
use teaselglade_placement::admission::AdmissionQueue;
use teaselglade_placement::cost::{CostOptions, CostPolicy};
use teaselglade_placement::limit::{LimitRow, LimitedRequest, ShareLimiter};
use teaselglade_placement::policy::{
    Placement, PlacementEvent, PlacementQuery, PrefixChange, ServerPlacer,
};
use teaselglade_placement::subset::{SUBSET_SERVERS, choose_subset};

use super::PlacementRequest;
use super::key_map::KeyMap;
use crate::directory::{BackendDirectory, ServerEntry};

const DEFAULT_COST_WEIGHT: f64 = 0.5;

/// Weight and objective of one organisation.
#[derive(Debug, Clone, Copy)]
pub(super) struct OrganisationWeights {
    pub(super) weight: f64,
    cost_weight: f64,
}

/// Placement, limits and admission of one entry host.
#[derive(Debug)]
pub(crate) struct PlacementController {
    pub(super) own_name: HostName,
    pub(super) keys: KeyMap,
    pub(super) peers: NameArena,
    placement: ServerPlacer,
    pub(super) limiter: ShareLimiter,
    terms: HashMap<String, OrganisationWeights>,
    pub(super) gates: HashMap<String, AdmissionQueue>,
    pub(super) waiting: HashMap<RequestId, PlacementRequest>,
    pub(super) granted: HashMap<RequestId, Result<(), RequestRefusal>>,
    plain_attempts: HashMap<ServerKey, Vec<AttemptId>>,
    plain_number: u128,
}

impl PlacementController {
    /// Makes the desk of the entry host `own_name`.
    pub(crate) fn new(own_name: &str) -> Self {
        let policy = CostPolicy::new(CostOptions::default());
        Self {
            own_name: HostName::new(own_name),
            keys: KeyMap::default(),
            peers: NameArena::default(),
            placement: ServerPlacer::new(Box::new(policy)),
            limiter: ShareLimiter::default(),
            terms: HashMap::new(),
            gates: HashMap::new(),
            waiting: HashMap::new(),
            granted: HashMap::new(),
            plain_attempts: HashMap::new(),
            plain_number: 0,
        }
    }

    /// Puts the weights and limits of a table in force.
    pub(crate) fn set_table(&mut self, now: Timestamp, table: &RoutingTable) {
        let organisations = table.organisations.iter();
        self.terms = organisations
            .map(|row| {
                let terms = OrganisationWeights {
                    weight: row.weight,
                    cost_weight: row.cost_weight,
                };
                (row.name.clone(), terms)
            })
            .collect();
        let organisations = table.organisations.iter().map(LimitRow::from_organisation);
        let services = table.services.iter().map(LimitRow::from_service);
        let rows = organisations.chain(services).collect::<Vec<_>>();
        self.limiter.set_rows(now, &rows);
    }

    /// Takes in which servers the directory shows, and keeps this host's subset of them.
    pub(crate) fn sync(&mut self, now: Timestamp, directory: &BackendDirectory) {
        let count = directory.entry_hosts().len().max(1) as u32;
        let changed = PlacementEvent::EntryHostsChanged { count };
        self.placement.observe(now, &changed);
        self.sync_peers(directory);
        let wanted = self.subset(directory);
        for listed in self.keys.linked() {
            let entry = directory.server(listed);
            if entry.is_some_and(|entry| entry.leaving)
                && let Some(placed) = self.keys.placed(listed)
            {
                let deadline = now;
                let noticed = PlacementEvent::ReclaimNoticed {
                    server: placed,
                    deadline,
                };
                self.placement.observe(now, &noticed);
            }
            if entry.is_none_or(|entry| entry.is_unlisted) {
                self.drop_server(now, listed);
            }
        }
        for entry in wanted {
            let facts = self.keys.facts(entry);
            if let Some(placed) = self.keys.placed(entry.key) {
                self.placement.update(placed, facts);
            } else {
                let placed = self.placement.add(facts);
                self.keys.link(entry.key, placed);
            }
        }
    }

    /// Returns the listed servers that this host works with.
    pub(crate) fn servers(&self) -> Vec<ServerKey> {
        self.keys.linked()
    }

    /// Returns the server for an order.
    pub(crate) fn place(
        &mut self,
        now: Timestamp,
        order: &PlacementRequest,
    ) -> Result<ServerKey, RequestRefusal> {
        let placement = self.find(now, order)?;
        let listed = self.keys.listed(placement.server);
        listed.ok_or_else(|| RequestRefusal::not_run(RefusalReason::NoServer, &order.row.name))
    }

    /// Chooses a server for a call that is not followed further, and counts it there.
    pub(crate) fn choose(&mut self, now: Timestamp, order: &PlacementRequest) -> Option<ServerKey> {
        let listed = self.place(now, order).ok()?;
        self.plain_number += 1;
        let attempt = AttemptId::first(RequestId::from_bits(self.plain_number));
        self.dispatched(now, attempt, listed, order);
        self.plain_attempts.entry(listed).or_default().push(attempt);
        Some(listed)
    }

    /// Notes that a call that was counted at a listed server is over.
    pub(crate) fn release(&mut self, now: Timestamp, listed: ServerKey) {
        let attempts = self.plain_attempts.get_mut(&listed);
        if let Some(attempt) = attempts.and_then(Vec::pop) {
            self.placement
                .observe(now, &PlacementEvent::Ended { attempt });
        }
    }

    /// Notes a dispatch to a listed server.
    pub(crate) fn dispatched(
        &mut self,
        now: Timestamp,
        attempt: AttemptId,
        listed: ServerKey,
        order: &PlacementRequest,
    ) {
        let Some(server) = self.keys.placed(listed) else {
            return;
        };
        let dispatched = PlacementEvent::Dispatched {
            attempt,
            server,
            prefix: Arc::from(order.prefix.as_slice()),
            prompt_tokens: order.prompt_tokens,
        };
        self.placement.observe(now, &dispatched);
    }

    /// Passes on what became of an attempt.
    pub(crate) fn observe(&mut self, now: Timestamp, event: &PlacementEvent) {
        self.placement.observe(now, event);
    }

    /// Takes in a load report of a listed server.
    pub(crate) fn report(&mut self, now: Timestamp, listed: ServerKey, report: ServerReport) {
        if let Some(server) = self.keys.placed(listed) {
            let reported = PlacementEvent::Reported { server, report };
            self.placement.observe(now, &reported);
        }
    }

    /// Takes in cache events of a listed server.
    pub(crate) fn cache_changes(
        &mut self,
        now: Timestamp,
        listed: ServerKey,
        changes: &CacheChanges,
    ) {
        let Some(server) = self.keys.placed(listed) else {
            return;
        };
        for change in &changes.changes {
            let kind = if change.stored {
                PrefixChange::Stored
            } else {
                PrefixChange::Evicted
            };
            let event = PlacementEvent::CacheChanged {
                server,
                sequence: change.sequence,
                change: kind,
                prefix: change.prefix,
            };
            self.placement.observe(now, &event);
        }
    }

    /// Checks a request against the limits of its rows and counts it.
    pub(crate) fn check_limits(
        &mut self,
        now: Timestamp,
        request: &LimitedRequest,
    ) -> Result<(), RequestRefusal> {
        self.limiter.admit(now, request)
    }

    /// Notes that a counted request is over.
    pub(crate) fn release_limits(&mut self, request: &LimitedRequest) {
        self.limiter.release(request);
    }

    pub(super) fn find(
        &mut self,
        now: Timestamp,
        order: &PlacementRequest,
    ) -> Result<Placement, RequestRefusal> {
        let query = self.query(order);
        self.placement.place(now, &query)
    }

    fn query(&mut self, order: &PlacementRequest) -> PlacementQuery {
        let excluded = order.excluded.iter();
        let excluded = excluded.filter_map(|listed| self.keys.placed(*listed));
        let excluded = excluded.collect::<Vec<_>>();
        let cost_weight = self.terms(&order.organisation).cost_weight;
        PlacementQuery::new(
            self.keys.service(&order.row.name),
            self.keys.organisation(&order.organisation),
        )
        .prompt(order.prompt_tokens, order.prefix.as_slice())
        .answer_tokens(order.answer_tokens)
        .targets(order.first_token_left, order.row.token_gap_target)
        .excluding(excluded)
        .hardware_constraints(self.keys.permit(&order.row))
        .cost_weight(cost_weight)
    }

    pub(super) fn terms(&self, organisation: &str) -> OrganisationWeights {
        let known = self.terms.get(organisation).copied();
        known.unwrap_or(OrganisationWeights {
            weight: 1.0,
            cost_weight: DEFAULT_COST_WEIGHT,
        })
    }

    fn drop_server(&mut self, now: Timestamp, listed: ServerKey) {
        if let Some(server) = self.keys.unlink(listed) {
            self.placement
                .observe(now, &PlacementEvent::Gone { server });
        }
    }

    fn subset<'a>(&self, directory: &'a BackendDirectory) -> Vec<&'a ServerEntry> {
        let mut services = BTreeMap::<&str, Vec<&ServerEntry>>::new();
        for entry in directory.available() {
            services.entry(&entry.service).or_default().push(entry);
        }
        let subsets = services.into_values().flat_map(|entries| {
            let names = entries.iter().map(|entry| entry.host.clone());
            let names = names.collect::<Vec<_>>();
            let chosen = choose_subset(&self.own_name, &names, SUBSET_SERVERS);
            let chosen = chosen.into_iter().cloned().collect::<Vec<_>>();
            entries
                .into_iter()
                .filter(move |entry| chosen.contains(&entry.host))
        });
        subsets.collect()
    }
}
