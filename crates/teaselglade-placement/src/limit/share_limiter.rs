//! Limits the requests of one entry host to its share of fleet-wide limits.

use std::collections::HashMap;
use std::time::Duration;

use teaselglade_core::time::Timestamp;
use teaselglade_core::verdict::{RefusalReason, RequestRefusal};

use super::{
    DemandMessage, DemandMeter, DemandSource, DemandTracker, LimitDemand, LimitId, LimitMeasure,
    LimitRow, Result, TokenBucket,
};

const REBALANCE_INTERVAL: Duration = Duration::from_millis(250);
const CONCURRENCY_RETRY_DELAY: Duration = Duration::from_millis(500);
const MIN_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Fraction of a limit that is not shared out, to absorb noise in the measured demands.
const RESERVE_FRACTION: f64 = 0.03;

/// Properties of a request that are checked against the limits.
#[derive(Debug, Clone, PartialEq)]
pub struct LimitedRequest {
    /// Rows whose limits apply, such as those of its organisation and its service.
    pub rows: Vec<String>,
    /// Maximum number of tokens to generate.
    pub tokens: u32,
}

impl LimitedRequest {
    /// Creates the request of an organisation to a service.
    #[must_use]
    pub fn new(organisation: &str, service: &str, tokens: u32) -> Self {
        Self {
            rows: vec![
                LimitRow::organisation_row(organisation),
                LimitRow::service_row(service),
            ],
            tokens,
        }
    }
}

#[derive(Debug, Clone)]
struct LimitState {
    id: LimitId,
    row: String,
    measure: LimitMeasure,
    limit: f64,
    allowance: f64,
    bucket: TokenBucket,
    meter: DemandMeter,
    running: u32,
    recent_refusals: f64,
}

impl LimitState {
    fn demand(&mut self, now: Timestamp) -> f64 {
        match self.measure {
            LimitMeasure::Requests | LimitMeasure::Tokens => self.meter.rate(now),
            LimitMeasure::Concurrency => f64::from(self.running) + self.recent_refusals,
        }
    }

    fn amount(&self, request: &LimitedRequest) -> f64 {
        match self.measure {
            LimitMeasure::Requests | LimitMeasure::Concurrency => 1.0,
            LimitMeasure::Tokens => f64::from(request.tokens),
        }
    }

    fn has_capacity(&mut self, now: Timestamp, amount: f64) -> bool {
        match self.measure {
            LimitMeasure::Requests | LimitMeasure::Tokens => self.bucket.has(now, amount),
            LimitMeasure::Concurrency => f64::from(self.running) + amount <= self.allowance,
        }
    }

    fn wait(&self, amount: f64) -> Duration {
        match self.measure {
            LimitMeasure::Requests | LimitMeasure::Tokens => self.bucket.wait(amount),
            LimitMeasure::Concurrency => CONCURRENCY_RETRY_DELAY,
        }
    }
}

/// Limits the requests of one entry host to its share of fleet-wide limits.
///
/// Shares follow demand: a host whose callers need less than an equal share lends the rest.
/// While all hosts know the same demands, the shares add up to the limit. A host whose data about
/// any other host is stale never raises its share above an equal part. The fleet therefore stays
/// below twice the limit, however much the hosts' data differ.
///
/// # Examples
///
/// ```
/// use teaselglade_core::time::Timestamp;
/// use teaselglade_placement::limit::{LimitRow, LimitedRequest, ShareLimiter};
///
/// let mut limiter = ShareLimiter::default();
/// let now = Timestamp::from_millis(1_000);
/// limiter.set_rows(now, &[LimitRow {
///     row: LimitRow::organisation_row("halloran"),
///     requests: Some(2.0),
///     tokens: None,
///     concurrency: None,
/// }]);
/// let request = LimitedRequest::new("halloran", "draft-fleet", 100);
/// assert!(limiter.admit(now, &request).is_ok());
/// let refusal = limiter.admit(now, &request).unwrap_err();
/// assert!(refusal.retry_after.is_some());
/// ```
#[derive(Debug, Clone, Default)]
pub struct ShareLimiter {
    limits: Vec<LimitState>,
    by_row: HashMap<String, Vec<usize>>,
    tracker: DemandTracker,
    rebalanced_at: Option<Timestamp>,
    message_number: u64,
}

impl ShareLimiter {
    /// Replaces all limits by those of a table; running requests still count.
    pub fn set_rows(&mut self, now: Timestamp, rows: &[LimitRow]) {
        let mut previous = std::mem::take(&mut self.limits);
        self.by_row.clear();
        for row in rows {
            for (measure, limit) in row.limits() {
                let index = self.limits.len();
                self.by_row.entry(row.row.clone()).or_default().push(index);
                let id = row.id(measure);
                let known = previous.iter().position(|state| state.id == id);
                let known = known.map(|position| previous.swap_remove(position));
                self.limits.push(known.map_or_else(
                    || LimitState {
                        id,
                        row: row.row.clone(),
                        measure,
                        limit,
                        allowance: 0.0,
                        bucket: TokenBucket::default(),
                        meter: DemandMeter::default(),
                        running: 0,
                        recent_refusals: 0.0,
                    },
                    |state| LimitState { limit, ..state },
                ));
            }
        }
        self.rebalance(now);
    }

    /// Stores the demands of another source.
    pub fn receive(&mut self, now: Timestamp, source: DemandSource, message: DemandMessage) {
        self.tracker.receive(now, source, message);
    }

    /// Adds a live source that has sent no demands yet.
    ///
    /// It counts as one host, so an equal part is reserved for it.
    pub fn add_source(&mut self, source: DemandSource) {
        self.tracker.add_source(source);
    }

    /// Removes a source that has left permanently, which frees its share.
    pub fn remove_source(&mut self, source: DemandSource) {
        self.tracker.remove_source(source);
    }

    /// Returns the message with this host's demands for the other hosts.
    pub fn demand_message(&mut self, now: Timestamp) -> DemandMessage {
        // The clock keeps the numbers of a restarted or replaced host above its earlier ones.
        self.message_number = now.as_micros().max(self.message_number + 1);
        let demands = self.limits.iter_mut().map(|state| LimitDemand {
            limit: state.id,
            demand: state.demand(now) as f32,
        });
        DemandMessage::from_host(self.message_number, demands.collect())
    }

    /// Admits a request if the limits of all its rows allow it.
    ///
    /// # Errors
    ///
    /// Refuses with "not run", the name of the exceeded limit and a retry delay.
    pub fn admit(&mut self, now: Timestamp, request: &LimitedRequest) -> Result<()> {
        self.rebalance_if_due(now);
        let indexes = self.indexes(request);
        for index in &indexes {
            let state = &mut self.limits[*index];
            state.meter.add(now, state.amount(request));
        }
        for index in &indexes {
            self.check(now, *index, request)?;
        }
        for index in indexes {
            let state = &mut self.limits[index];
            state.bucket.take(state.amount(request));
            state.running += 1;
        }
        Ok(())
    }

    /// Releases the concurrency of an admitted request that has ended.
    pub fn release(&mut self, request: &LimitedRequest) {
        for index in self.indexes(request) {
            let running = &mut self.limits[index].running;
            *running = running.saturating_sub(1);
        }
    }

    /// Returns this host's current share of a limit, in the limit's unit.
    #[must_use]
    pub fn allowance(&self, row: &str, measure: LimitMeasure) -> Option<f64> {
        let id = LimitId::new(row, measure);
        let state = self.limits.iter().find(|state| state.id == id);
        state.map(|state| state.allowance)
    }

    fn indexes(&self, request: &LimitedRequest) -> Vec<usize> {
        let rows = request.rows.iter();
        let known = rows.filter_map(|row| self.by_row.get(row));
        known.flatten().copied().collect()
    }

    fn check(&mut self, now: Timestamp, index: usize, request: &LimitedRequest) -> Result<()> {
        let state = &mut self.limits[index];
        let amount = state.amount(request);
        if state.has_capacity(now, amount) {
            return Ok(());
        }
        state.recent_refusals += 1.0;
        let detail = format!(
            "{}: {} {}, fleet-wide",
            state.row,
            state.limit,
            match state.measure {
                LimitMeasure::Requests => "requests/s",
                LimitMeasure::Tokens => "tokens/s",
                LimitMeasure::Concurrency => "requests in progress",
            }
        );
        let wait = state.wait(amount).max(MIN_RETRY_DELAY);
        Err(RequestRefusal::not_run(RefusalReason::OverLimit, detail).retry_after(wait))
    }

    fn rebalance_if_due(&mut self, now: Timestamp) {
        let due = self
            .rebalanced_at
            .is_none_or(|rebalanced_at| now.since(rebalanced_at) >= REBALANCE_INTERVAL);
        if due {
            self.rebalance(now);
        }
    }

    fn rebalance(&mut self, now: Timestamp) {
        self.rebalanced_at = Some(now);
        let hosts = f64::from(self.tracker.hosts()) + 1.0;
        let is_fresh = self.tracker.is_fresh(now);
        for state in &mut self.limits {
            let own = state.demand(now);
            let others = self.tracker.demand(state.id);
            let limit = state.limit * (1.0 - RESERVE_FRACTION);
            let share = demand_share(limit, own, others, hosts);
            let equal_share = limit / hosts;
            let allowance = if is_fresh {
                share
            } else {
                share.min(state.allowance.max(equal_share))
            };
            state.allowance = match state.measure {
                LimitMeasure::Concurrency => allowance.max(1.0),
                LimitMeasure::Requests | LimitMeasure::Tokens => allowance,
            };
            state.bucket.set_rate(now, state.allowance);
            state.recent_refusals /= 2.0;
        }
    }
}

/// Returns a host's share of a limit, given its demand and that of all others.
fn demand_share(limit: f64, own: f64, others: f64, hosts: f64) -> f64 {
    let total = own + others;
    if total <= limit {
        return own + (limit - total) / hosts;
    }
    limit * own / total
}
