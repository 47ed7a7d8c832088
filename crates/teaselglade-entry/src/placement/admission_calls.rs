//! Admission of model requests through one queue per service.

use teaselglade_core::id::RequestId;
use teaselglade_core::time::Timestamp;
use teaselglade_core::verdict::RequestRefusal;
use teaselglade_placement::admission::{AdmissionDecision, AdmissionQueue, AdmissionRequest};
use teaselglade_placement::policy::LatencyForecast;

use super::{PlacementController, PlacementRequest};

/// Divides the first-token target; the quotient is the longest time in the admission queue.
const QUEUE_TIME_DIVISOR: u32 = 4;

impl PlacementController {
    /// Offers a model request to the admission queue of its service.
    pub(crate) fn offer(
        &mut self,
        now: Timestamp,
        request: RequestId,
        placement_request: PlacementRequest,
    ) -> Result<(), RequestRefusal> {
        let weight = self.weights(&placement_request.organisation).weight;
        let offer = AdmissionRequest {
            request,
            organisation: self.keys.organisation(&placement_request.organisation),
            weight,
            tokens: f64::from(placement_request.prompt_tokens + placement_request.answer_tokens),
            latest_start: now + placement_request.row.first_token_target / QUEUE_TIME_DIVISOR,
        };
        let queue = self
            .admission_queues
            .entry(placement_request.row.name.clone())
            .or_default();
        match queue.offer(now, offer) {
            AdmissionDecision::Refused(refusal) => Err(refusal),
            AdmissionDecision::Queued => {
                self.queued_requests.insert(request, placement_request);
                Ok(())
            }
        }
    }

    /// Expires queued requests of a service and dispatches at most one.
    ///
    /// Returns the result of `request` if it is decided.
    pub(crate) fn poll_admission(
        &mut self,
        now: Timestamp,
        service: &str,
        request: RequestId,
    ) -> Option<Result<(), RequestRefusal>> {
        self.remove_expired(now, service);
        self.dispatch_head(now, service);
        self.admission_results.remove(&request)
    }

    /// Removes a request whose caller no longer waits for admission.
    pub(crate) fn cancel_admission(&mut self, request: RequestId) {
        self.admission_results.remove(&request);
        self.queued_requests.remove(&request);
    }

    fn remove_expired(&mut self, now: Timestamp, service: &str) {
        let queue = self.admission_queues.get_mut(service);
        for expired in queue.map_or_else(Vec::new, |queue| queue.expire(now)) {
            if self.queued_requests.remove(&expired.request).is_some() {
                self.admission_results
                    .insert(expired.request, Err(expired.refusal));
            }
        }
    }

    /// Dispatches the head unless its placement would be late under the current load.
    ///
    /// Only one request is dispatched per call, so that it is counted before the next placement.
    fn dispatch_head(&mut self, now: Timestamp, service: &str) {
        let head = self
            .admission_queues
            .get(service)
            .and_then(AdmissionQueue::head);
        let Some(head) = head else {
            return;
        };
        let placement_request = self.queued_requests.get(&head.request).cloned();
        let result = placement_request
            .as_ref()
            .map(|placement_request| self.find_placement(now, placement_request));
        let Some(queue) = self.admission_queues.get_mut(service) else {
            return;
        };
        let admission_result = match result {
            Some(Ok(placement)) if placement.latency_forecast == LatencyForecast::LateUnderLoad => {
                queue.hold_head(now);
                return;
            }
            Some(Ok(_)) => Ok(()),
            Some(Err(refusal)) => Err(refusal),
            None => {
                queue.dispatch_head(now);
                return;
            }
        };
        queue.dispatch_head(now);
        self.queued_requests.remove(&head.request);
        self.admission_results
            .insert(head.request, admission_result);
    }
}
