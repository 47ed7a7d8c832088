//! Weighted fair queue of organisations.

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
    last_finish: f64,
    waiting: VecDeque<TaggedRequest>,
}

/// Weighted fair queue of organisations, by start tags.
///
/// Each organisation gets service in proportion to its weight while it waits; one that has nothing
/// waiting gathers no credit.
///
/// # Examples
///
/// ```
/// use teaselglade_core::id::{OrganisationKey, RequestId};
/// use teaselglade_core::time::Timestamp;
/// use teaselglade_placement::admission::{FairQueue, AdmissionRequest};
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
    waiting: usize,
}

impl FairQueue {
    /// Adds a request behind those of its organisation.
    pub fn push(&mut self, request: AdmissionRequest) {
        let flow = self.flows.entry(request.organisation).or_default();
        let start_tag = flow.last_finish.max(self.virtual_time);
        flow.last_finish = start_tag + request.tokens / request.weight;
        flow.waiting.push_back(TaggedRequest { start_tag, request });
        self.waiting += 1;
    }

    /// Returns the request that is next.
    #[must_use]
    pub fn head(&self) -> Option<AdmissionRequest> {
        self.next_flow()
            .and_then(|organisation| self.flows[&organisation].waiting.front())
            .map(|tagged| tagged.request)
    }

    /// Takes the request that is next.
    pub fn pop(&mut self) -> Option<AdmissionRequest> {
        let organisation = self.next_flow()?;
        let flow = self.flows.get_mut(&organisation)?;
        let tagged = flow.waiting.pop_front()?;
        self.virtual_time = self.virtual_time.max(tagged.start_tag);
        self.waiting -= 1;
        Some(tagged.request)
    }

    /// Takes all requests whose latest start has passed, and gives their share back.
    pub fn expire(&mut self, now: Timestamp) -> Vec<AdmissionRequest> {
        let mut expired = Vec::new();
        for flow in self.flows.values_mut() {
            let late = |tagged: &TaggedRequest| tagged.request.latest_start < now;
            let (gone, kept): (VecDeque<_>, VecDeque<_>) = flow.waiting.drain(..).partition(late);
            flow.waiting = kept;
            for tagged in gone {
                flow.last_finish -= tagged.request.tokens / tagged.request.weight;
                expired.push(tagged.request);
            }
        }
        self.waiting -= expired.len();
        expired
    }

    /// Returns how many requests a new one of this organisation would wait for.
    #[must_use]
    pub fn ahead(&self, organisation: OrganisationKey) -> usize {
        let own = self.flows.get(&organisation);
        let own = own.map_or(0, |flow| flow.waiting.len());
        let flows = self.flows.iter();
        let others = flows.filter(|(other, _)| **other != organisation);
        let others = others.map(|(_, flow)| flow.waiting.len().min(own + 1));
        own + others.sum::<usize>()
    }

    /// Returns how many requests wait.
    #[must_use]
    pub const fn len(&self) -> usize {
        self.waiting
    }

    /// Returns whether no request waits.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.waiting == 0
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
