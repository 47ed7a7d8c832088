//! Holds the requests of one entry host to its share of the fleet's limits.

use std::collections::HashMap;
use std::time::Duration;

use teaselglade_core::time::Timestamp;
use teaselglade_core::verdict::{RefusalReason, RequestRefusal};

use super::{
    DemandMessage, DemandMeter, DemandSource, DemandTracker, LimitDemand, LimitId, LimitMeasure,
    LimitRow, Result, TokenBucket,
};

const RESHARE_INTERVAL: Duration = Duration::from_millis(250);
const CONCURRENCY_RETRY: Duration = Duration::from_millis(500);
const MIN_RETRY: Duration = Duration::from_millis(50);
/// Part of a limit that is not shared out, against the noise of the measured demands.
const RESERVE: f64 = 0.03;

/// One request as the limits see it.
#[derive(Debug, Clone, PartialEq)]
pub struct LimitedRequest {
    /// Rows that the request counts for, such as its organisation's and its service's.
    pub rows: Vec<String>,
    /// Tokens that the answer may bring.
    pub tokens: u32,
}

impl LimitedRequest {
    /// Makes the request of an organisation to a service.
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
    turned_away: f64,
}

impl LimitState {
    fn demand(&mut self, now: Timestamp) -> f64 {
        match self.measure {
            LimitMeasure::Requests | LimitMeasure::Tokens => self.meter.rate(now),
            LimitMeasure::Concurrency => f64::from(self.running) + self.turned_away,
        }
    }

    fn amount(&self, request: &LimitedRequest) -> f64 {
        match self.measure {
            LimitMeasure::Requests | LimitMeasure::Concurrency => 1.0,
            LimitMeasure::Tokens => f64::from(request.tokens),
        }
    }

    fn has_room(&mut self, now: Timestamp, amount: f64) -> bool {
        match self.measure {
            LimitMeasure::Requests | LimitMeasure::Tokens => self.bucket.has(now, amount),
            LimitMeasure::Concurrency => f64::from(self.running) + amount <= self.allowance,
        }
    }

    fn wait(&self, amount: f64) -> Duration {
        match self.measure {
            LimitMeasure::Requests | LimitMeasure::Tokens => self.bucket.wait(amount),
            LimitMeasure::Concurrency => CONCURRENCY_RETRY,
        }
    }
}

/// Holds the requests of one entry host to its share of the fleet's limits.
///
/// The share follows demand: a host whose callers ask for less than an equal part lends the rest.
/// While all views agree, the shares add up to the limit. A host that has not heard of all others
/// lately never raises its share above an equal part, so that the fleet stays below twice the
/// limit however the views differ.
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
    reshared: Option<Timestamp>,
    message_number: u64,
}

impl ShareLimiter {
    /// Puts the limits of a table in force; what runs keeps counting.
    pub fn set_rows(&mut self, now: Timestamp, rows: &[LimitRow]) {
        let mut old = std::mem::take(&mut self.limits);
        self.by_row.clear();
        for row in rows {
            for (measure, limit) in row.limits() {
                let index = self.limits.len();
                self.by_row.entry(row.row.clone()).or_default().push(index);
                let id = row.id(measure);
                let known = old.iter().position(|state| state.id == id);
                let known = known.map(|position| old.swap_remove(position));
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
                        turned_away: 0.0,
                    },
                    |state| LimitState { limit, ..state },
                ));
            }
        }
        self.reshare(now);
    }

    /// Takes in another source's demands.
    pub fn receive(&mut self, now: Timestamp, source: DemandSource, message: DemandMessage) {
        self.tracker.receive(now, source, message);
    }

    /// Notes a host that lives but has sent nothing yet; its equal part is kept for it.
    pub fn add_source(&mut self, source: DemandSource) {
        self.tracker.add_source(source);
    }

    /// Frees the share of a source that is gone for good.
    pub fn remove_source(&mut self, source: DemandSource) {
        self.tracker.remove_source(source);
    }

    /// Returns this host's demands for the others.
    pub fn demand_message(&mut self, now: Timestamp) -> DemandMessage {
        // A host that is replaced under its name goes on behind its old numbers.
        self.message_number = now.as_micros().max(self.message_number + 1);
        let demands = self.limits.iter_mut().map(|state| LimitDemand {
            limit: state.id,
            demand: state.demand(now) as f32,
        });
        DemandMessage::from_host(self.message_number, demands.collect())
    }

    /// Admits a request against the limits of all its rows.
    ///
    /// # Errors
    ///
    /// Refuses with "not run", the limit's name and when to come back.
    pub fn admit(&mut self, now: Timestamp, request: &LimitedRequest) -> Result<()> {
        self.reshare_if_due(now);
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

    /// Notes that an admitted request is over.
    pub fn release(&mut self, request: &LimitedRequest) {
        for index in self.indexes(request) {
            let running = &mut self.limits[index].running;
            *running = running.saturating_sub(1);
        }
    }

    /// Returns this host's allowance of a limit, in the limit's unit.
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
        if state.has_room(now, amount) {
            return Ok(());
        }
        state.turned_away += 1.0;
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
        let wait = state.wait(amount).max(MIN_RETRY);
        Err(RequestRefusal::not_run(RefusalReason::OverLimit, detail).retry_after(wait))
    }

    fn reshare_if_due(&mut self, now: Timestamp) {
        let due = self
            .reshared
            .is_none_or(|reshared| now.since(reshared) >= RESHARE_INTERVAL);
        if due {
            self.reshare(now);
        }
    }

    fn reshare(&mut self, now: Timestamp) {
        self.reshared = Some(now);
        let hosts = f64::from(self.tracker.hosts()) + 1.0;
        let is_fresh = self.tracker.is_fresh(now);
        for state in &mut self.limits {
            let own = state.demand(now);
            let others = self.tracker.demand(state.id);
            let limit = state.limit * (1.0 - RESERVE);
            let share = share_of(limit, own, others, hosts);
            let equal = limit / hosts;
            let most = if is_fresh {
                share
            } else {
                share.min(state.allowance.max(equal))
            };
            state.allowance = match state.measure {
                LimitMeasure::Concurrency => most.max(1.0),
                LimitMeasure::Requests | LimitMeasure::Tokens => most,
            };
            state.bucket.set_rate(now, state.allowance);
            state.turned_away /= 2.0;
        }
    }
}

/// Returns the part of a limit that a host with demand `own` gets beside `others`.
fn share_of(limit: f64, own: f64, others: f64, hosts: f64) -> f64 {
    let total = own + others;
    if total <= limit {
        return own + (limit - total) / hosts;
    }
    limit * own / total
}
