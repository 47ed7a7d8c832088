//! The desk's calls to the gates of the services.

use teaselglade_core::id::RequestId;
use teaselglade_core::time::Timestamp;
use teaselglade_core::verdict::RequestRefusal;
use teaselglade_placement::admission::{AdmissionDecision, AdmissionQueue, AdmissionRequest};
use teaselglade_placement::policy::LatencyForecast;

use super::{PlacementController, PlacementRequest};

/// Parts of the first-token target, one of which a request may wait at the gate.
const WAIT_PARTS: u32 = 4;

impl PlacementController {
    /// Brings a model request to the gate of its service.
    pub(crate) fn offer(
        &mut self,
        now: Timestamp,
        request: RequestId,
        order: PlacementRequest,
    ) -> Result<(), RequestRefusal> {
        let weight = self.terms(&order.organisation).weight;
        let offer = AdmissionRequest {
            request,
            organisation: self.keys.organisation(&order.organisation),
            weight,
            tokens: f64::from(order.prompt_tokens + order.answer_tokens),
            latest_start: now + order.row.first_token_target / WAIT_PARTS,
        };
        let gate = self.gates.entry(order.row.name.clone()).or_default();
        match gate.offer(now, offer) {
            AdmissionDecision::Refused(refusal) => Err(refusal),
            AdmissionDecision::Queued => {
                self.waiting.insert(request, order);
                Ok(())
            }
        }
    }

    /// Lets in whose turn it is, and returns what became of `request`, where that is known.
    pub(crate) fn poll_admission(
        &mut self,
        now: Timestamp,
        service: &str,
        request: RequestId,
    ) -> Option<Result<(), RequestRefusal>> {
        self.expire(now, service);
        self.pump(now, service);
        self.granted.remove(&request)
    }

    /// Forgets a request whose caller went away at the gate.
    pub(crate) fn cancel_admission(&mut self, request: RequestId) {
        self.granted.remove(&request);
        self.waiting.remove(&request);
    }

    fn expire(&mut self, now: Timestamp, service: &str) {
        let gate = self.gates.get_mut(service);
        for given_up in gate.map_or_else(Vec::new, |gate| gate.expire(now)) {
            if self.waiting.remove(&given_up.request).is_some() {
                self.granted.insert(given_up.request, Err(given_up.refusal));
            }
        }
    }

    /// Lets in the head; one at a time, so that its dispatch is counted before the next.
    fn pump(&mut self, now: Timestamp, service: &str) {
        let head = self.gates.get(service).and_then(AdmissionQueue::head);
        let Some(head) = head else {
            return;
        };
        let order = self.waiting.get(&head.request).cloned();
        let found = order.as_ref().map(|order| self.find(now, order));
        let Some(gate) = self.gates.get_mut(service) else {
            return;
        };
        let outcome = match found {
            Some(Ok(placement)) if placement.latency_forecast == LatencyForecast::LateUnderLoad => {
                gate.hold_head(now);
                return;
            }
            Some(Ok(_)) => Ok(()),
            Some(Err(refusal)) => Err(refusal),
            None => {
                gate.dispatch_head(now);
                return;
            }
        };
        gate.dispatch_head(now);
        self.waiting.remove(&head.request);
        self.granted.insert(head.request, outcome);
    }
}
