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

/// Holds the admission weight and the cost weight of one organisation.
#[derive(Debug, Clone, Copy)]
pub(super) struct OrganisationWeights {
    pub(super) weight: f64,
    cost_weight: f64,
}

/// Places requests and controls their limits and admission at one entry host.
#[derive(Debug)]
pub(crate) struct PlacementController {
    pub(super) own_name: HostName,
    pub(super) keys: KeyMap,
    pub(super) peers: NameArena,
    placer: ServerPlacer,
    pub(super) limiter: ShareLimiter,
    weights: HashMap<String, OrganisationWeights>,
    pub(super) admission_queues: HashMap<String, AdmissionQueue>,
    pub(super) queued_requests: HashMap<RequestId, PlacementRequest>,
    pub(super) admission_results: HashMap<RequestId, Result<(), RequestRefusal>>,
    plain_attempts: HashMap<ServerKey, Vec<AttemptId>>,
    last_plain_id: u128,
}

impl PlacementController {
    /// Creates the controller of the entry host `own_name`.
    pub(crate) fn new(own_name: &str) -> Self {
        let policy = CostPolicy::new(CostOptions::default());
        Self {
            own_name: HostName::new(own_name),
            keys: KeyMap::default(),
            peers: NameArena::default(),
            placer: ServerPlacer::new(Box::new(policy)),
            limiter: ShareLimiter::default(),
            weights: HashMap::new(),
            admission_queues: HashMap::new(),
            queued_requests: HashMap::new(),
            admission_results: HashMap::new(),
            plain_attempts: HashMap::new(),
            last_plain_id: 0,
        }
    }

    /// Applies the weights and limits of a table.
    pub(crate) fn set_table(&mut self, now: Timestamp, table: &RoutingTable) {
        let organisations = table.organisations.iter();
        self.weights = organisations
            .map(|row| {
                let weights = OrganisationWeights {
                    weight: row.weight,
                    cost_weight: row.cost_weight,
                };
                (row.name.clone(), weights)
            })
            .collect();
        let organisations = table.organisations.iter().map(LimitRow::from_organisation);
        let services = table.services.iter().map(LimitRow::from_service);
        let rows = organisations.chain(services).collect::<Vec<_>>();
        self.limiter.set_rows(now, &rows);
    }

    /// Updates the placement to this host's subset of the directory's servers.
    pub(crate) fn sync_directory(&mut self, now: Timestamp, directory: &BackendDirectory) {
        let count = directory.entry_hosts().len().max(1) as u32;
        let changed = PlacementEvent::EntryHostsChanged { count };
        self.placer.observe(now, &changed);
        self.sync_peers(directory);
        let chosen_servers = self.choose_servers(directory);
        for directory_key in self.keys.linked_servers() {
            let entry = directory.server(directory_key);
            if entry.is_some_and(|entry| entry.leaving)
                && let Some(placement_key) = self.keys.placement_key(directory_key)
            {
                let deadline = now;
                let noticed = PlacementEvent::ReclaimNoticed {
                    server: placement_key,
                    deadline,
                };
                self.placer.observe(now, &noticed);
            }
            if entry.is_none_or(|entry| entry.is_unlisted) {
                self.remove_server(now, directory_key);
            }
        }
        for entry in chosen_servers {
            let attributes = self.keys.attributes(entry);
            if let Some(placement_key) = self.keys.placement_key(entry.key) {
                self.placer.update(placement_key, attributes);
            } else {
                let placement_key = self.placer.add(attributes);
                self.keys.link(entry.key, placement_key);
            }
        }
    }

    /// Returns the directory keys of the servers in the placement.
    pub(crate) fn servers(&self) -> Vec<ServerKey> {
        self.keys.linked_servers()
    }

    /// Chooses a server for a request and returns its directory key.
    pub(crate) fn place(
        &mut self,
        now: Timestamp,
        request: &PlacementRequest,
    ) -> Result<ServerKey, RequestRefusal> {
        let placement = self.find_placement(now, request)?;
        let directory_key = self.keys.directory_key(placement.server);
        directory_key
            .ok_or_else(|| RequestRefusal::not_run(RefusalReason::NoServer, &request.row.name))
    }

    /// Chooses a server for a plain call.
    ///
    /// The call is counted at the server until it is released.
    pub(crate) fn choose(
        &mut self,
        now: Timestamp,
        request: &PlacementRequest,
    ) -> Option<ServerKey> {
        let directory_key = self.place(now, request).ok()?;
        self.last_plain_id += 1;
        let attempt = AttemptId::first(RequestId::from_bits(self.last_plain_id));
        self.record_dispatch(now, attempt, directory_key, request);
        self.plain_attempts
            .entry(directory_key)
            .or_default()
            .push(attempt);
        Some(directory_key)
    }

    /// Records that a plain call counted at a server ended.
    pub(crate) fn release(&mut self, now: Timestamp, directory_key: ServerKey) {
        let attempts = self.plain_attempts.get_mut(&directory_key);
        if let Some(attempt) = attempts.and_then(Vec::pop) {
            self.placer.observe(now, &PlacementEvent::Ended { attempt });
        }
    }

    /// Records the dispatch of an attempt to a server.
    pub(crate) fn record_dispatch(
        &mut self,
        now: Timestamp,
        attempt: AttemptId,
        directory_key: ServerKey,
        request: &PlacementRequest,
    ) {
        let Some(server) = self.keys.placement_key(directory_key) else {
            return;
        };
        let dispatched = PlacementEvent::Dispatched {
            attempt,
            server,
            prefix: Arc::from(request.prefix.as_slice()),
            prompt_tokens: request.prompt_tokens,
        };
        self.placer.observe(now, &dispatched);
    }

    /// Passes an event of an attempt to the placement.
    pub(crate) fn observe(&mut self, now: Timestamp, event: &PlacementEvent) {
        self.placer.observe(now, event);
    }

    /// Records a load report of a server.
    pub(crate) fn record_report(
        &mut self,
        now: Timestamp,
        directory_key: ServerKey,
        report: ServerReport,
    ) {
        if let Some(server) = self.keys.placement_key(directory_key) {
            let reported = PlacementEvent::Reported { server, report };
            self.placer.observe(now, &reported);
        }
    }

    /// Records cache events of a server.
    pub(crate) fn record_cache_changes(
        &mut self,
        now: Timestamp,
        directory_key: ServerKey,
        changes: &CacheChanges,
    ) {
        let Some(server) = self.keys.placement_key(directory_key) else {
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
            self.placer.observe(now, &event);
        }
    }

    /// Checks a request against its limits and counts it if admitted.
    pub(crate) fn check_limits(
        &mut self,
        now: Timestamp,
        request: &LimitedRequest,
    ) -> Result<(), RequestRefusal> {
        self.limiter.admit(now, request)
    }

    /// Records that a counted request ended.
    pub(crate) fn release_limits(&mut self, request: &LimitedRequest) {
        self.limiter.release(request);
    }

    pub(super) fn find_placement(
        &mut self,
        now: Timestamp,
        request: &PlacementRequest,
    ) -> Result<Placement, RequestRefusal> {
        let query = self.build_query(request);
        self.placer.place(now, &query)
    }

    fn build_query(&mut self, request: &PlacementRequest) -> PlacementQuery {
        let excluded = request.excluded.iter();
        let excluded = excluded.filter_map(|directory_key| self.keys.placement_key(*directory_key));
        let excluded = excluded.collect::<Vec<_>>();
        let cost_weight = self.weights(&request.organisation).cost_weight;
        PlacementQuery::new(
            self.keys.service(&request.row.name),
            self.keys.organisation(&request.organisation),
        )
        .prompt(request.prompt_tokens, request.prefix.as_slice())
        .answer_tokens(request.answer_tokens)
        .targets(request.first_token_left, request.row.token_gap_target)
        .excluding(excluded)
        .hardware_constraints(self.keys.hardware_constraints(&request.row))
        .cost_weight(cost_weight)
    }

    pub(super) fn weights(&self, organisation: &str) -> OrganisationWeights {
        let known = self.weights.get(organisation).copied();
        known.unwrap_or(OrganisationWeights {
            weight: 1.0,
            cost_weight: DEFAULT_COST_WEIGHT,
        })
    }

    fn remove_server(&mut self, now: Timestamp, directory_key: ServerKey) {
        if let Some(server) = self.keys.unlink(directory_key) {
            self.placer.observe(now, &PlacementEvent::Gone { server });
        }
    }

    fn choose_servers<'a>(&self, directory: &'a BackendDirectory) -> Vec<&'a ServerEntry> {
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
