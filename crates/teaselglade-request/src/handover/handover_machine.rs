//! State machine of the handovers of a leaving entry host.

use std::collections::{BTreeMap, VecDeque};

use teaselglade_core::id::{HostName, RequestId};
use teaselglade_core::time::Timestamp;

use super::{HandoverLimits, rank_peers};

teaselglade_core::value_type! {
    /// States the result of one offer.
    pub enum PeerReply {
        /// The peer accepted the record.
        Accepted,
        /// The peer did not accept the record.
        Refused,
        /// It is unknown whether the peer holds the record.
        Unknown,
    }
}

/// Reports an event to the handover machine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum HandoverEvent {
    /// A stream's record is ready to be offered to peers.
    Offered {
        /// Request of the stream.
        request: RequestId,
        /// Generation of the record.
        generation: u16,
    },
    /// The set of live peers changed.
    PeersChanged {
        /// Live peers, without those that are leaving.
        peers: Vec<HostName>,
    },
    /// An offer was answered or failed.
    Replied {
        /// Request of the record.
        request: RequestId,
        /// Peer that received the offer.
        peer: HostName,
        /// Result of the offer.
        reply: PeerReply,
    },
}

/// Requests a step from the adapter of the handover machine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum HandoverAction {
    /// Offer the record to a peer.
    Send {
        /// Request of the record.
        request: RequestId,
        /// Peer to send to.
        peer: HostName,
        /// Generation to write into the record.
        generation: u16,
    },
    /// Report to the stream that a peer accepted its record.
    Done {
        /// Request of the stream.
        request: RequestId,
    },
    /// Report to the stream that no peer confirmed that it accepted the record.
    Failed {
        /// Request of the stream.
        request: RequestId,
        /// Generation above that of every copy that a peer may hold.
        generation: u16,
    },
}

/// Tracks the offers of one record.
#[derive(Debug, Clone)]
struct RecordOffer {
    /// Peers left to try, the current one first.
    peers: VecDeque<HostName>,
    /// Offers to the current peer.
    offers: u32,
    generation: u16,
}

/// Offers the records of a leaving entry host to peers.
///
/// An offer whose reply is lost is repeated, since accepting a record is idempotent. The next peer
/// gets a higher generation, so that of two copies the later one is valid.
///
/// # Examples
///
/// ```
/// use teaselglade_core::id::{HostName, RequestId};
/// use teaselglade_core::time::Timestamp;
/// use teaselglade_request::handover::{
///     HandoverAction, HandoverEvent, HandoverLimits, HandoverMachine,
/// };
///
/// let peers = vec![HostName::new("sligo-e1")];
/// let mut machine = HandoverMachine::new(HandoverLimits::default(), peers);
/// let offered = HandoverEvent::Offered { request: RequestId::from_bits(7), generation: 1 };
/// let actions = machine.on_event(Timestamp::ZERO, offered);
/// assert!(matches!(actions[0], HandoverAction::Send { .. }));
/// ```
#[derive(Debug, Clone)]
pub struct HandoverMachine {
    limits: HandoverLimits,
    peers: Vec<HostName>,
    waiting: VecDeque<(RequestId, u16)>,
    in_flight: BTreeMap<RequestId, RecordOffer>,
}

impl HandoverMachine {
    /// Creates a machine with the given live peers.
    #[must_use]
    pub const fn new(limits: HandoverLimits, peers: Vec<HostName>) -> Self {
        Self {
            limits,
            peers,
            waiting: VecDeque::new(),
            in_flight: BTreeMap::new(),
        }
    }

    /// Applies an event and returns the resulting actions in order.
    pub fn on_event(&mut self, _now: Timestamp, event: HandoverEvent) -> Vec<HandoverAction> {
        let mut actions = match event {
            HandoverEvent::Offered {
                request,
                generation,
            } => {
                self.waiting.push_back((request, generation));
                Vec::new()
            }
            HandoverEvent::PeersChanged { peers } => {
                self.peers = peers;
                Vec::new()
            }
            HandoverEvent::Replied {
                request,
                peer,
                reply,
            } => self.on_reply(request, &peer, reply),
        };
        while self.in_flight.len() < self.limits.max_in_flight {
            let Some((request, generation)) = self.waiting.pop_front() else {
                break;
            };
            actions.push(self.start_offer(request, generation));
        }
        actions
    }

    /// Returns whether the handover of every record ended.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.waiting.is_empty() && self.in_flight.is_empty()
    }

    fn start_offer(&mut self, request: RequestId, generation: u16) -> HandoverAction {
        let ranked = rank_peers(request, &self.peers, self.limits.max_peers);
        let mut peers = VecDeque::from(ranked);
        let Some(peer) = peers.pop_front() else {
            return HandoverAction::Failed {
                request,
                generation,
            };
        };
        peers.push_front(peer.clone());
        let offer = RecordOffer {
            peers,
            offers: 1,
            generation,
        };
        self.in_flight.insert(request, offer);
        HandoverAction::Send {
            request,
            peer,
            generation,
        }
    }

    fn on_reply(
        &mut self,
        request: RequestId,
        peer: &HostName,
        reply: PeerReply,
    ) -> Vec<HandoverAction> {
        let Some(offer) = self.in_flight.get_mut(&request) else {
            return Vec::new();
        };
        if offer.peers.front() != Some(peer) {
            return Vec::new();
        }
        if reply == PeerReply::Accepted {
            self.in_flight.remove(&request);
            return vec![HandoverAction::Done { request }];
        }
        if reply == PeerReply::Unknown && offer.offers < self.limits.offers_per_peer {
            offer.offers += 1;
        } else {
            offer.peers.pop_front();
            offer.offers = 1;
            offer.generation = offer.generation.saturating_add(1);
        }
        let generation = offer.generation;
        if let Some(peer) = offer.peers.front().cloned() {
            return vec![HandoverAction::Send {
                request,
                peer,
                generation,
            }];
        }
        self.in_flight.remove(&request);
        vec![HandoverAction::Failed {
            request,
            generation,
        }]
    }
}
