//! Admission queue that refuses requests predicted to start too late.

use std::time::Duration;

use teaselglade_core::id::RequestId;
use teaselglade_core::time::Timestamp;
use teaselglade_core::verdict::{RefusalReason, RequestRefusal};

use super::{AdmissionRequest, FairQueue};

const INITIAL_INTERVAL: Duration = Duration::from_millis(20);
const INTERVAL_SMOOTHING: f64 = 0.1;
const MAX_INTERVAL_SECONDS: f64 = 1.0;
const MIN_RETRY_DELAY: Duration = Duration::from_millis(250);
const MAX_RETRY_DELAY: Duration = Duration::from_secs(5);

/// Result of offering a request to the queue.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AdmissionDecision {
    /// The request is queued; [`AdmissionQueue::head`] returns it when it is next.
    Queued,
    /// The request was refused because it would start too late.
    Refused(RequestRefusal),
}

/// Queued request whose latest start has passed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ExpiredRequest {
    /// Id of the request.
    pub request: RequestId,
    /// Refusal to return to the caller.
    pub refusal: RequestRefusal,
}

/// Queues the requests of one service and refuses those that would start too late.
///
/// The caller offers each request, then dispatches the head repeatedly until a placement is
/// predicted to be late. Only the head is ever dispatched, so organisations are served in
/// weighted fair order and none overtakes another. A request that is predicted to wait past its
/// latest start is refused at once. Refused requests are not kept and no request is queued past
/// its latest start, so the effects of an overload end within that time.
///
/// # Examples
///
/// ```
/// use teaselglade_core::id::{OrganisationKey, RequestId};
/// use teaselglade_core::time::Timestamp;
/// use teaselglade_placement::admission::{AdmissionDecision, AdmissionQueue, AdmissionRequest};
///
/// let mut queue = AdmissionQueue::default();
/// let now = Timestamp::from_millis(1_000);
/// let request = AdmissionRequest {
///     request: RequestId::from_bits(1),
///     organisation: OrganisationKey::new(0),
///     weight: 1.0,
///     tokens: 300.0,
///     latest_start: Timestamp::from_millis(1_100),
/// };
/// assert_eq!(queue.offer(now, request), AdmissionDecision::Queued);
/// assert_eq!(queue.head(), Some(request));
/// let expired = queue.expire(Timestamp::from_millis(1_200));
/// assert!(expired[0].refusal.retry_after.is_some());
/// ```
#[derive(Debug, Clone, Default)]
pub struct AdmissionQueue {
    queue: FairQueue,
    dispatch_interval_seconds: Option<f64>,
    contended_since: Option<Timestamp>,
}

impl AdmissionQueue {
    /// Queues a request, or refuses it if it is predicted to wait past its latest start.
    pub fn offer(&mut self, now: Timestamp, request: AdmissionRequest) -> AdmissionDecision {
        let wait = self.predicted_wait(request);
        if now + wait > request.latest_start {
            return AdmissionDecision::Refused(refusal_after(wait));
        }
        if self.queue.is_empty() {
            self.contended_since = None;
        }
        self.queue.push(request);
        AdmissionDecision::Queued
    }

    /// Returns the request that is dispatched next.
    #[must_use]
    pub fn head(&self) -> Option<AdmissionRequest> {
        self.queue.head()
    }

    /// Removes the head after its dispatch and updates the dispatch interval.
    pub fn dispatch_head(&mut self, now: Timestamp) {
        if self.queue.pop().is_none() {
            return;
        }
        if let Some(since) = self.contended_since {
            let seconds = now.since(since).as_secs_f64().min(MAX_INTERVAL_SECONDS);
            let previous = self.dispatch_interval();
            self.dispatch_interval_seconds =
                Some(previous + INTERVAL_SMOOTHING * (seconds - previous));
            self.contended_since = Some(now);
        }
    }

    /// Marks the queue as contended: the head stays because its placement would be late.
    pub fn hold_head(&mut self, now: Timestamp) {
        self.contended_since.get_or_insert(now);
    }

    /// Removes the requests whose latest start has passed and returns their refusals.
    pub fn expire(&mut self, now: Timestamp) -> Vec<ExpiredRequest> {
        let expired = self.queue.expire(now);
        let wait = self.dispatch_interval() * (self.queue.len() + 1) as f64;
        let refusals = expired.iter().map(|request| ExpiredRequest {
            request: request.request,
            refusal: refusal_after(Duration::from_secs_f64(wait)),
        });
        refusals.collect()
    }

    /// Returns the number of queued requests.
    #[must_use]
    pub const fn waiting(&self) -> usize {
        self.queue.len()
    }

    fn predicted_wait(&self, request: AdmissionRequest) -> Duration {
        if self.queue.is_empty() {
            return Duration::ZERO;
        }
        let requests_ahead = self.queue.requests_ahead(request.organisation) as f64;
        Duration::from_secs_f64(self.dispatch_interval() * requests_ahead)
    }

    fn dispatch_interval(&self) -> f64 {
        self.dispatch_interval_seconds
            .unwrap_or(INITIAL_INTERVAL.as_secs_f64())
    }
}

fn refusal_after(wait: Duration) -> RequestRefusal {
    let detail = format!("its turn would come after {} ms", wait.as_millis());
    let retry_after = wait
        .saturating_mul(2)
        .clamp(MIN_RETRY_DELAY, MAX_RETRY_DELAY);
    RequestRefusal::not_run(RefusalReason::PredictedLate, detail).retry_after(retry_after)
}
