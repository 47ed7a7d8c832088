//! Dispatches, holds or refuses requests by predicted lateness.

use std::time::Duration;

use teaselglade_core::id::RequestId;
use teaselglade_core::time::Timestamp;
use teaselglade_core::verdict::{RefusalReason, RequestRefusal};

use super::{AdmissionRequest, FairQueue};

const FIRST_INTERVAL: Duration = Duration::from_millis(20);
const INTERVAL_STEP: f64 = 0.1;
const MAX_INTERVAL_SECONDS: f64 = 1.0;
const MIN_RETRY: Duration = Duration::from_millis(250);
const MAX_RETRY: Duration = Duration::from_secs(5);

/// What becomes of a request that asks to be let in.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AdmissionDecision {
    /// The request waits its turn; [`AdmissionQueue::head`] brings it up again.
    Queued,
    /// The request would start too late.
    Refused(RequestRefusal),
}

/// A waiting request that was given up.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ExpiredRequest {
    /// Id of the request.
    pub request: RequestId,
    /// Its final answer.
    pub refusal: RequestRefusal,
}

/// Dispatches, holds or refuses the requests of one service by predicted lateness.
///
/// Whoever drives the gate offers each request, then tries to place the head until a placement
/// would be late; so organisations take turns by weight and never overtake. A request whose
/// turn comes too late is refused at once. Nothing that was refused is held, and every request
/// is held for less than its target: the gate forgets an overload within that time.
///
/// # Examples
///
/// ```
/// use teaselglade_core::id::{OrganisationKey, RequestId};
/// use teaselglade_core::time::Timestamp;
/// use teaselglade_placement::admission::{AdmissionQueue, AdmissionRequest, AdmissionDecision};
///
/// let mut gate = AdmissionQueue::default();
/// let now = Timestamp::from_millis(1_000);
/// let request = AdmissionRequest {
///     request: RequestId::from_bits(1),
///     organisation: OrganisationKey::new(0),
///     weight: 1.0,
///     tokens: 300.0,
///     latest_start: Timestamp::from_millis(1_100),
/// };
/// assert_eq!(gate.offer(now, request), AdmissionDecision::Queued);
/// assert_eq!(gate.head(), Some(request));
/// let given_up = gate.expire(Timestamp::from_millis(1_200));
/// assert!(given_up[0].refusal.retry_after.is_some());
/// ```
#[derive(Debug, Clone, Default)]
pub struct AdmissionQueue {
    queue: FairQueue,
    interval_seconds: Option<f64>,
    contended_since: Option<Timestamp>,
}

impl AdmissionQueue {
    /// Takes in a request, or refuses it where its turn would come too late.
    pub fn offer(&mut self, now: Timestamp, request: AdmissionRequest) -> AdmissionDecision {
        let wait = self.predicted_wait(request);
        if now + wait > request.latest_start {
            return AdmissionDecision::Refused(refusal(wait));
        }
        if self.queue.is_empty() {
            self.contended_since = None;
        }
        self.queue.push(request);
        AdmissionDecision::Queued
    }

    /// Returns the request whose turn it is.
    #[must_use]
    pub fn head(&self) -> Option<AdmissionRequest> {
        self.queue.head()
    }

    /// Notes that the head was dispatched.
    pub fn dispatch_head(&mut self, now: Timestamp) {
        if self.queue.pop().is_none() {
            return;
        }
        if let Some(since) = self.contended_since {
            let seconds = now.since(since).as_secs_f64().min(MAX_INTERVAL_SECONDS);
            let known = self.interval();
            self.interval_seconds = Some(known + INTERVAL_STEP * (seconds - known));
            self.contended_since = Some(now);
        }
    }

    /// Notes that the head's placement would be late, so that it stays.
    pub fn hold_head(&mut self, now: Timestamp) {
        self.contended_since.get_or_insert(now);
    }

    /// Gives up the requests whose latest start has passed.
    pub fn expire(&mut self, now: Timestamp) -> Vec<ExpiredRequest> {
        let expired = self.queue.expire(now);
        let wait = self.interval() * (self.queue.len() + 1) as f64;
        let given_up = expired.iter().map(|request| ExpiredRequest {
            request: request.request,
            refusal: refusal(Duration::from_secs_f64(wait)),
        });
        given_up.collect()
    }

    /// Returns how many requests wait.
    #[must_use]
    pub const fn waiting(&self) -> usize {
        self.queue.len()
    }

    fn predicted_wait(&self, request: AdmissionRequest) -> Duration {
        if self.queue.is_empty() {
            return Duration::ZERO;
        }
        let ahead = self.queue.ahead(request.organisation) as f64;
        Duration::from_secs_f64(self.interval() * ahead)
    }

    fn interval(&self) -> f64 {
        self.interval_seconds
            .unwrap_or(FIRST_INTERVAL.as_secs_f64())
    }
}

fn refusal(wait: Duration) -> RequestRefusal {
    let detail = format!("its turn would come after {} ms", wait.as_millis());
    let retry_after = wait.saturating_mul(2).clamp(MIN_RETRY, MAX_RETRY);
    RequestRefusal::not_run(RefusalReason::PredictedLate, detail).retry_after(retry_after)
}
