//! Weighted fair queue over organisations.

use std::collections::{BTreeMap, VecDeque};

use teaselglade_core::id::OrganisationKey;
use teaselglade_core::time::Timestamp;

use super::AdmissionRequest;

#[derive(Debug, Clone, Copy)]
struct TaggedRequest {
    start_tag: f64,
    request: AdmissionRequest,
}

#[derive(Debug, Clone, Default)]
struct OrganisationFlow {
    last_finish_tag: f64,
    waiting: VecDeque<TaggedRequest>,
}

/// Weighted fair queue over organisations, ordered by start tags (start-time fair queueing).
///
/// An organisation with queued requests is served in proportion to its weight; one without
/// queued requests accumulates no credit.
///
/// # Examples
///
/// ```
/// use teaselglade_core::id::{OrganisationKey, RequestId};
/// use teaselglade_core::time::Timestamp;
/// use teaselglade_placement::admission::{AdmissionRequest, FairQueue};
///
/// let request = |id, organisation| AdmissionRequest {
///     request: RequestId::from_bits(id),
///     organisation: OrganisationKey::new(organisation),
///     weight: 1.0,
///     tokens: 100.0,
///     latest_start: Timestamp::from_millis(9),
/// };
/// let mut queue = FairQueue::default();
/// for id in 0..10 {
///     queue.push(request(id, 0));
/// }
/// queue.push(request(99, 1));
/// queue.pop();
/// assert_eq!(queue.pop().map(|next| next.request), Some(RequestId::from_bits(99)));
/// ```
#[derive(Debug, Clone, Default)]
pub struct FairQueue {
    virtual_time: f64,
    flows: BTreeMap<OrganisationKey, OrganisationFlow>,
    len: usize,
}

impl FairQueue {
    /// Appends a request to the queue of its organisation.
    pub fn push(&mut self, request: AdmissionRequest) {
        let flow = self.flows.entry(request.organisation).or_default();
        let start_tag = flow.last_finish_tag.max(self.virtual_time);
        flow.last_finish_tag = start_tag + request.tokens / request.weight;
        flow.waiting.push_back(TaggedRequest { start_tag, request });
        self.len += 1;
    }

    /// Returns the next request without removing it.
    #[must_use]
    pub fn head(&self) -> Option<AdmissionRequest> {
        self.next_flow()
            .and_then(|organisation| self.flows[&organisation].waiting.front())
            .map(|tagged| tagged.request)
    }

    /// Removes and returns the next request.
    pub fn pop(&mut self) -> Option<AdmissionRequest> {
        let organisation = self.next_flow()?;
        let flow = self.flows.get_mut(&organisation)?;
        let tagged = flow.waiting.pop_front()?;
        self.virtual_time = self.virtual_time.max(tagged.start_tag);
        self.len -= 1;
        Some(tagged.request)
    }

    /// Removes all requests whose latest start has passed.
    ///
    /// Their work is subtracted from the last finish tag of their organisation.
    pub fn expire(&mut self, now: Timestamp) -> Vec<AdmissionRequest> {
        let mut expired = Vec::new();
        for flow in self.flows.values_mut() {
            let is_late = |tagged: &TaggedRequest| tagged.request.latest_start < now;
            let (removed, remaining): (VecDeque<_>, VecDeque<_>) =
                flow.waiting.drain(..).partition(is_late);
            flow.waiting = remaining;
            for tagged in removed {
                flow.last_finish_tag -= tagged.request.tokens / tagged.request.weight;
                expired.push(tagged.request);
            }
        }
        self.len -= expired.len();
        expired
    }

    /// Returns how many requests would be served before a new one of this organisation.
    #[must_use]
    pub fn requests_ahead(&self, organisation: OrganisationKey) -> usize {
        let own = self.flows.get(&organisation);
        let own = own.map_or(0, |flow| flow.waiting.len());
        let flows = self.flows.iter();
        let others = flows.filter(|(other, _)| **other != organisation);
        let others = others.map(|(_, flow)| flow.waiting.len().min(own + 1));
        own + others.sum::<usize>()
    }

    /// Returns the number of queued requests.
    #[must_use]
    pub const fn len(&self) -> usize {
        self.len
    }

    /// Returns whether the queue is empty.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.len == 0
    }

    fn next_flow(&self) -> Option<OrganisationKey> {
        let flows = self.flows.iter();
        let heads = flows.filter_map(|(organisation, flow)| {
            let tagged = flow.waiting.front()?;
            Some((*organisation, tagged.start_tag))
        });
        heads
            .min_by(|a, b| a.1.total_cmp(&b.1))
            .map(|(organisation, _)| organisation)
    }
}
