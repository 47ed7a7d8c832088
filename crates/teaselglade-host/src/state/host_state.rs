//! State shared by the components of a host.

use std::collections::{HashMap, HashSet};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError, RwLock};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use hyper::header::HeaderName;
use teaselglade_core::id::ServerKey;
use teaselglade_core::port::ClockPort;
use teaselglade_core::time::Timestamp;
use teaselglade_net::clock::SystemClock;
use teaselglade_routing::crash::{CrashLedger, SubjectChange, SubjectStanding};
use teaselglade_routing::gossip::PeerAddress;
use teaselglade_routing::limit::{
    LimitChange, LimitReport, LimitWord, PermitAnswer, PermitRequest, RequestLimit,
};
use teaselglade_routing::registry::ServerAdvice;
use teaselglade_routing::rollout::{RolloutOrder, RolloutStage};
use teaselglade_routing::shutdown::ShutdownPlan;
use tokio_util::sync::CancellationToken;
use tracing::{info, warn};

use super::{ActiveTable, DecisionState, HostPorts};
use crate::journal::DecisionLog;
use crate::metrics::HostMetrics;
use crate::open::{OpenRequest, RequestArena, RequestKey};
use crate::permit::PermitDesk;
use crate::port::PublishedTable;
use crate::settings::HostSettings;
use crate::upstream::ConnectionPool;

/// Reads per second of all hosts together that receive the changes of a feed from peers.
const IDLE_READS_PER_SECOND: u32 = 3;
/// Number of unknown header names of servers that are logged, once each.
const MAX_LOGGED_HEADERS: usize = 32;
/// Fractional part of the golden ratio.
const GOLDEN_RATIO: f64 = 0.618_033_988_749_894_9;

/// State shared by the components of a host.
#[derive(Debug)]
pub struct HostState {
    /// Settings of the host.
    pub settings: HostSettings,
    /// Ports to the platform.
    pub ports: HostPorts,
    /// Metrics of the host.
    pub metrics: HostMetrics,
    /// Log of decisions on requests.
    pub log: DecisionLog,
    /// Connections to backend servers.
    pub pool: ConnectionPool,
    /// Requests for permits to send to limited servers.
    pub permits: PermitDesk,
    /// Cancelled when the host starts to shut down.
    pub stopping: CancellationToken,
    /// Start time in Unix microseconds; it identifies the incarnation.
    pub started_at_us: u64,
    /// Held while a table is fetched from a peer.
    pub table_fetch: tokio::sync::Mutex<()>,
    clock: SystemClock,
    /// Set before `stopping` is cancelled.
    shutdown_plan: OnceLock<ShutdownPlan>,
    table: RwLock<Option<Arc<ActiveTable>>>,
    /// Offset in the store's feed of tables up to which the active table is the newest one.
    table_position: AtomicU64,
    decisions: Mutex<DecisionState>,
    open_requests: Mutex<RequestArena>,
    /// Whether the process ends and drops what is still open.
    is_ending: AtomicBool,
    /// Number of the next sample for traffic splits.
    split_samples: AtomicU64,
    /// Platform calls that currently fail, and since when.
    failing_calls: Mutex<HashMap<&'static str, Timestamp>>,
    /// Unknown header names of servers that were logged.
    logged_headers: Mutex<HashSet<HeaderName>>,
}

impl HostState {
    /// Creates the state of a host without a table, servers and peers.
    ///
    /// # Errors
    ///
    /// Returns an error if the metrics cannot be registered.
    pub fn new(settings: HostSettings, ports: HostPorts) -> prometheus::Result<Arc<Self>> {
        let log = DecisionLog::new(settings.log.lines_per_second);
        let clock = SystemClock::start();
        let started_at_us = clock.now().as_micros();
        let decisions = Mutex::new(DecisionState::new(&settings, started_at_us));
        Ok(Arc::new(Self {
            settings,
            ports,
            metrics: HostMetrics::new()?,
            log,
            pool: ConnectionPool::default(),
            permits: PermitDesk::new(started_at_us),
            stopping: CancellationToken::new(),
            started_at_us,
            table_fetch: tokio::sync::Mutex::default(),
            clock,
            shutdown_plan: OnceLock::new(),
            table: RwLock::new(None),
            table_position: AtomicU64::new(0),
            decisions,
            open_requests: Mutex::default(),
            is_ending: AtomicBool::new(false),
            split_samples: AtomicU64::new(started_at_us % 1_000),
            failing_calls: Mutex::default(),
            logged_headers: Mutex::default(),
        }))
    }

    /// Returns the name and the peer address of this host.
    #[must_use]
    pub fn own_address(&self) -> PeerAddress {
        PeerAddress {
            name: self.settings.name.clone(),
            address: self.settings.listen.peers,
        }
    }

    /// Returns the current time of the monotonic clock.
    #[must_use]
    pub fn now(&self) -> Timestamp {
        self.clock.now()
    }

    /// Starts the shutdown, whose signal was sent at `signalled_at` or later.
    ///
    /// Returns the plan of the shutdown; a repeated call changes nothing.
    pub fn begin_shutdown(&self, signalled_at: Timestamp) -> ShutdownPlan {
        let plan = *self.shutdown_plan.get_or_init(|| {
            let (now, grace_period) = (self.now(), self.settings.shutdown_grace_period);
            let plan = ShutdownPlan::new(signalled_at, now, grace_period);
            info!(
                event = "shutdown_planned",
                signal_age_ms = now.since(signalled_at).as_millis() as u64,
                accepting_ms = plan.accepting_ends_at().since(now).as_millis() as u64,
                answering_ms = plan.answers_end_at().since(now).as_millis() as u64,
            );
            plan
        });
        self.stopping.cancel();
        plan
    }

    /// Returns the plan of the shutdown once that has started.
    #[must_use]
    pub fn shutdown_plan(&self) -> Option<ShutdownPlan> {
        self.shutdown_plan.get().copied()
    }

    /// Returns the next sample in [0, 1). It selects a service in a traffic split.
    #[must_use]
    pub fn next_split_sample(&self) -> f64 {
        let number = self.split_samples.fetch_add(1, Ordering::Relaxed);
        // Multiples of the golden ratio cover the range evenly, so shares hold for few requests.
        ((number as f64 + 1.0) * GOLDEN_RATIO).fract()
    }

    /// Returns the current wall-clock time, which may jump.
    #[must_use]
    pub fn wall_time() -> Timestamp {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
        Timestamp::ZERO + since_epoch.unwrap_or_default()
    }

    /// Locks the decision state; the guard must not be held across an await point.
    pub fn lock_decisions(&self) -> MutexGuard<'_, DecisionState> {
        self.decisions
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks the open requests; the guard must not be held across an await point.
    pub fn lock_open_requests(&self) -> MutexGuard<'_, RequestArena> {
        self.open_requests
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Changes what is known of an open request; does nothing if it has ended.
    pub fn update_request(&self, key: RequestKey, change: impl FnOnce(&mut OpenRequest)) {
        if let Some(request) = self.lock_open_requests().get_mut(key) {
            change(request);
        }
    }

    /// Returns whether the process ends and drops what is still open.
    #[must_use]
    pub fn is_ending(&self) -> bool {
        self.is_ending.load(Ordering::Relaxed)
    }

    /// Returns why a response is dropped before its end: the process or its caller is gone.
    #[must_use]
    pub fn departure_cause(&self) -> &'static str {
        if self.is_ending() {
            "process_ended"
        } else {
            "caller_left"
        }
    }

    /// Returns the id of a server.
    #[must_use]
    pub fn server_id(&self, server: ServerKey) -> String {
        let decisions = self.lock_decisions();
        decisions.registry.server(server).registration.id.clone()
    }

    /// Records that the process ends; from now on each line about a request is written.
    pub fn start_ending(&self) {
        self.is_ending.store(true, Ordering::Relaxed);
        self.log.lift_budget(&self.metrics);
    }

    /// Returns the active table.
    #[must_use]
    pub fn table(&self) -> Option<Arc<ActiveTable>> {
        let table = self.table.read().unwrap_or_else(PoisonError::into_inner);
        table.clone()
    }

    /// Returns the version of the active table, or 0 if there is none.
    #[must_use]
    pub fn table_version(&self) -> u64 {
        self.table().map_or(0, |active| active.table.version())
    }

    /// Returns the offset in the store's feed of tables from which newer ones may follow.
    ///
    /// No record before it is newer than the active table.
    #[must_use]
    pub fn table_position(&self) -> u64 {
        self.table_position.load(Ordering::SeqCst)
    }

    /// Records the position that a read of the store returned.
    pub fn set_table_position(&self, position: u64) {
        self.table_position.store(position, Ordering::SeqCst);
    }

    /// Records that no table before `position` in the store's feed is newer than the active one.
    ///
    /// Peers pass the position on with the table, so that a host that got a table from a peer does
    /// not read it, and the versions before it, from the store as well.
    pub fn advance_table_position(&self, position: u64) {
        self.table_position.fetch_max(position, Ordering::SeqCst);
    }

    /// Applies what a server said of itself in a response to this host.
    ///
    /// Only a response of the addressed server counts, as another one may have its address.
    /// `sent_at` is the time at which its request was sent.
    pub fn apply_advice(&self, server: ServerKey, sent_at: Timestamp, advice: ServerAdvice) {
        let now = self.now();
        let mut decisions = self.lock_decisions();
        if advice == ServerAdvice::default() && decisions.limits.is_empty() {
            return;
        }
        let id = decisions.registry.server(server).registration.id.clone();
        let applied = decisions.apply_advice(now, server, advice);
        let change = decisions.record_limit(now, server, sent_at, advice.limit);
        drop(decisions);
        let count = |advice| {
            let counter = &self.metrics.advice.said;
            counter.with_label_values(&[advice]).inc();
        };
        if matches!(advice.limit, LimitWord::Named(_)) {
            count("limit");
        }
        if let Some(change) = change {
            log_limit_change(&id, &change);
        }
        if applied.is_leaving {
            count("leaving");
            info!(
                event = "server",
                id,
                before = "ready",
                after = "leaving",
                source = "answer"
            );
        }
        if let Some(rest) = applied.rest_time() {
            count("rest");
            let rest_ms = rest.as_millis() as u64;
            info!(event = "server_rests", id, rest_ms);
        }
        if let Some(rest) = advice.excessive_rest() {
            let asked_s = rest.as_secs();
            warn!(event = "server_rest_shortened", id, asked_s);
        }
        if advice.is_unreadable {
            count("unreadable");
        }
        if applied.is_unreadable {
            warn!(event = "server_advice_unreadable", id);
        }
    }

    /// Counts headers of a server's response that this build does not know; logs each name once.
    ///
    /// A server may ask for something by a header that was defined after this build.
    pub fn report_unknown_headers(&self, server: ServerKey, names: &[HeaderName]) {
        if names.is_empty() {
            return;
        }
        let counter = &self.metrics.advice.unknown_headers;
        counter.inc_by(names.len() as u64);
        let mut logged_headers = self
            .logged_headers
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        for name in names {
            if logged_headers.len() < MAX_LOGGED_HEADERS && logged_headers.insert(name.clone()) {
                let id = self.server_id(server);
                warn!(event = "server_header_unknown", header = name.as_str(), id);
            }
        }
    }

    /// Merges what another host knows of limited servers, and logs what changed.
    pub fn merge_limits(&self, report: &LimitReport) {
        let now = self.now();
        let mut decisions = self.lock_decisions();
        let changes = decisions.merge_limits(now, report);
        log_limit_changes(&decisions, &changes);
    }

    /// Records an order to change a service's version; `is_start` if found when this host started.
    ///
    /// `verdict` is what the store shows of it, if it was read.
    pub fn record_order(
        &self,
        order: &RolloutOrder,
        is_start: bool,
        verdict: Option<RolloutStage>,
    ) {
        let now = self.now();
        let is_new = {
            let mut decisions = self.lock_decisions();
            let is_new = decisions.record_order(now, order.clone(), is_start);
            if let Some(stage) = verdict {
                let rollouts = &mut decisions.rollouts;
                rollouts.record_listed_verdict(now, &order.service, order.number, stage);
            }
            is_new
        };
        if is_new {
            info!(
                event = "rollout_ordered",
                service = order.service,
                target = order.target,
                over_ms = order.over_ms,
                number = order.number,
                source = "store",
            );
        }
    }

    /// Decides on another host's request for a permit.
    pub fn answer_permit(&self, request: &PermitRequest) -> PermitAnswer {
        let now = self.now();
        let mut decisions = self.lock_decisions();
        let (answer, changes) = decisions.answer_permit(now, request);
        log_limit_changes(&decisions, &changes);
        answer
    }

    /// Leaves a limited server out of placements for a while, as no permit was granted.
    pub fn deny_permit(&self, server: ServerKey, wait: Duration) {
        let until = self.now() + wait;
        self.lock_decisions()
            .registry
            .record_permit_denial(server, until);
    }

    /// Drops old evidence on subjects, and logs and counts what changed.
    pub fn report_subject_changes(&self, now: Timestamp, crash_ledger: &mut CrashLedger) {
        crash_ledger.prune(now);
        for SubjectChange { before, report } in crash_ledger.take_changes() {
            info!(
                event = "part_standing",
                part = report.subject,
                before = before.name(),
                after = report.standing.name(),
                ends = report.ends,
                first_end_age_ms = report.first_end_age_ms,
                trials = report.trials,
            );
        }
        for standing in [SubjectStanding::Contained, SubjectStanding::Quarantined] {
            let count = crash_ledger.count_with(standing);
            let gauge = self.metrics.crashes.suspect_parts(standing.name());
            gauge.set(i64::try_from(count).unwrap_or(i64::MAX));
        }
    }

    /// Activates a published table if it is newer than the active one.
    ///
    /// Returns whether it was newer; `source` is logged.
    pub fn activate_table(&self, published: PublishedTable, source: &str) -> bool {
        let version = published.spec.version;
        let mut slot = self.table.write().unwrap_or_else(PoisonError::into_inner);
        let active_version = slot.as_ref().map_or(0, |active| active.table.version());
        if slot.is_some() && version <= active_version {
            return false;
        }
        let active = ActiveTable::new(published);
        let mut decisions = self.lock_decisions();
        let spec = active.table.spec();
        decisions.quotas.set_quotas(self.now(), &spec.organisations);
        decisions.shares.set_table(spec);
        drop(decisions);
        *slot = Some(Arc::new(active));
        drop(slot);
        self.metrics.table_version.set(version.cast_signed());
        info!(
            event = "table_in_force",
            version,
            before = active_version,
            source
        );
        true
    }

    /// Returns whether the host can serve.
    ///
    /// It has a table and registration data and is not shutting down.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        !self.stopping.is_cancelled()
            && self.table().is_some()
            && self.lock_decisions().registry_updated_at > Timestamp::ZERO
    }

    /// Returns whether this host reads the store at short intervals.
    ///
    /// It does so for the whole fleet, or because it gets no updates in time from others.
    #[must_use]
    pub fn is_store_reader(&self) -> bool {
        let now = self.now();
        let decisions = self.lock_decisions();
        decisions.membership.is_store_reader(now)
            || decisions.lacks_aggregate(now)
            || decisions.has_stale_news(now)
    }

    /// Returns whether this host follows the table in the store.
    ///
    /// It does so for the whole fleet, or because others do not tell it of newer versions in time.
    #[must_use]
    pub fn is_table_follower(&self) -> bool {
        let now = self.now();
        let decisions = self.lock_decisions();
        decisions.membership.is_table_follower(now)
            || decisions.lacks_aggregate(now)
            || decisions.has_stale_news(now)
    }

    /// Returns the interval between reads of a feed that other hosts follow for this one.
    ///
    /// It grows with the fleet, so that all such hosts together read a few times a second.
    #[must_use]
    pub fn idle_read_interval(&self) -> Duration {
        let hosts = self.lock_decisions().membership.peer_count() as u32 + 1;
        Duration::from_secs(1) * hosts / IDLE_READS_PER_SECOND
    }

    /// Records the result of a platform call, as [`HostState::record_call`] does.
    pub fn record_result<T, E: std::fmt::Display>(
        &self,
        call: &'static str,
        result: &Result<T, E>,
    ) {
        let error = result.as_ref().err();
        self.record_call(call, error.map(|error| error as &dyn std::fmt::Display));
    }

    /// Counts a platform call and logs when its dependency is lost or regained.
    pub fn record_call(&self, call: &'static str, error: Option<&dyn std::fmt::Display>) {
        let outcome = if error.is_some() { "failed" } else { "ok" };
        let counter = &self.metrics.platform_calls;
        counter.with_label_values(&[call, outcome]).inc();
        let mut failing_calls = self
            .failing_calls
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        match (error, failing_calls.contains_key(call)) {
            (Some(error), false) => {
                warn!(event = "dependency_lost", call, error = %error);
                failing_calls.insert(call, self.now());
            }
            (None, true) => {
                let since = failing_calls.remove(call).unwrap_or_default();
                let away_ms = self.now().since(since).as_millis() as u64;
                info!(event = "dependency_regained", call, away_ms);
            }
            _ => {}
        }
    }
}

fn log_limit_changes(decisions: &DecisionState, changes: &[LimitChange]) {
    for change in changes {
        let server = decisions.registry.find_incarnation(change.server);
        let id = server.map(|server| &decisions.registry.server(server).registration.id);
        log_limit_change(id.map_or("", String::as_str), change);
    }
}

/// Logs that a server's limit began, changed or ended.
fn log_limit_change(id: &str, change: &LimitChange) {
    info!(
        event = "server_limit",
        id,
        incarnation = change.server,
        before = change.before.map(RequestLimit::rate),
        after = change.after.map(RequestLimit::rate),
        source = change.source.name(),
        age_ms = change.age.as_millis() as u64,
    );
}
