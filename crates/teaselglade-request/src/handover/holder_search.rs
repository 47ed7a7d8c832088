//! Search for the entry host that holds a stream.

use teaselglade_core::id::{HostName, RequestId};
use teaselglade_core::verdict::{ExecutionVerdict, RefusalReason, RequestRefusal};

use super::{owner_hint, rank_peers};

/// Peers in rendezvous order that the first batch queries, besides the host that made the id.
const FIRST_BATCH_SIZE: usize = 3;
/// Peers that each later batch queries.
const LATER_BATCH_SIZE: usize = 8;
/// Limit of peers that one search queries.
const MAX_QUERIED_PEERS: usize = 64;

/// States whether a peer holds a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HolderAnswer {
    /// The peer holds the stream.
    Holds {
        /// Generation of the stream's record.
        generation: u16,
        /// Id of the peer's copy of the stream.
        copy_id: u16,
    },
    /// The peer does not hold the stream.
    NotHeld,
    /// The peer did not respond.
    Unknown,
}

/// Requests a step from the adapter of a search.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SearchAction {
    /// Query a peer whether it holds the stream.
    Query {
        /// Peer to query.
        peer: HostName,
    },
    /// Relay the caller's stream from the holder.
    Found {
        /// Peer that holds the stream.
        peer: HostName,
    },
    /// Refuse the caller, since no queried peer holds the stream.
    NotFound {
        /// Refusal to send.
        refusal: RequestRefusal,
    },
}

/// Searches for the entry host that holds a stream.
///
/// The host that created the request's id and the first hosts in rendezvous order are queried
/// first, then others in bounded batches. Of several copies in a batch, the one that sent the
/// caller's last token is chosen, otherwise the one with the highest generation.
///
/// # Examples
///
/// ```
/// use teaselglade_core::id::{HostName, RequestId};
/// use teaselglade_request::handover::{HolderAnswer, HolderSearch, SearchAction};
///
/// let peer = HostName::new("sligo-e1");
/// let (mut search, queries) = HolderSearch::start(RequestId::from_bits(7), 0, &[peer.clone()]);
/// assert_eq!(queries, [SearchAction::Query { peer: peer.clone() }]);
/// let actions = search.on_answer(&peer, HolderAnswer::Holds { generation: 1, copy_id: 1 });
/// assert_eq!(actions, [SearchAction::Found { peer }]);
/// ```
#[derive(Debug, Clone)]
pub struct HolderSearch {
    candidates: Vec<HostName>,
    pending: Vec<HostName>,
    copy_id: u16,
    best: Option<((bool, u16), HostName)>,
    has_unreachable: bool,
    is_done: bool,
}

impl HolderSearch {
    /// Starts a search among the known peers, including leaving ones.
    ///
    /// `copy_id` is the id of the copy that sent the caller's last token.
    #[must_use]
    pub fn start(
        request: RequestId,
        copy_id: u16,
        peers: &[HostName],
    ) -> (Self, Vec<SearchAction>) {
        let mut candidates = rank_peers(request, peers, peers.len());
        let hint = request.to_bits() as u32;
        let owner = candidates.iter().position(|peer| owner_hint(peer) == hint);
        if let Some(index) = owner {
            candidates[..=index].rotate_right(1);
        }
        candidates.truncate(MAX_QUERIED_PEERS);
        let mut search = Self {
            candidates,
            pending: Vec::new(),
            copy_id,
            best: None,
            has_unreachable: false,
            is_done: false,
        };
        let first_batch = FIRST_BATCH_SIZE + usize::from(owner.is_some());
        let actions = search.query_next(first_batch);
        (search, actions)
    }

    /// Applies a peer's answer and returns the resulting actions.
    pub fn on_answer(&mut self, peer: &HostName, answer: HolderAnswer) -> Vec<SearchAction> {
        let Some(index) = self.pending.iter().position(|pending| pending == peer) else {
            return Vec::new();
        };
        self.pending.swap_remove(index);
        match answer {
            HolderAnswer::Holds {
                generation,
                copy_id,
            } => {
                self.record_holder((copy_id == self.copy_id, generation), peer);
            }
            HolderAnswer::NotHeld => {}
            HolderAnswer::Unknown => self.has_unreachable = true,
        }
        if self.is_done || !self.pending.is_empty() {
            return Vec::new();
        }
        if let Some((_, peer)) = self.best.take() {
            self.is_done = true;
            return vec![SearchAction::Found { peer }];
        }
        self.query_next(LATER_BATCH_SIZE)
    }

    fn record_holder(&mut self, rank: (bool, u16), peer: &HostName) {
        let is_better = self.best.as_ref().is_none_or(|(best, _)| rank > *best);
        if is_better {
            self.best = Some((rank, peer.clone()));
        }
    }

    fn query_next(&mut self, batch_size: usize) -> Vec<SearchAction> {
        let count = batch_size.min(self.candidates.len());
        self.pending = self.candidates.drain(..count).collect();
        if self.pending.is_empty() {
            self.is_done = true;
            let refusal = self.refusal();
            return vec![SearchAction::NotFound { refusal }];
        }
        let peers = self.pending.iter().cloned();
        peers.map(|peer| SearchAction::Query { peer }).collect()
    }

    /// Returns the refusal of a request that may have run, since its record is lost or unreachable.
    fn refusal(&self) -> RequestRefusal {
        let verdict = ExecutionVerdict::MayHaveRun;
        if self.has_unreachable {
            let detail = "a host that may hold the stream did not answer";
            let refusal = RequestRefusal::with_verdict(verdict, RefusalReason::NotReady, detail);
            return refusal.retry_after(std::time::Duration::from_secs(1));
        }
        let detail = "no host holds the stream; send the request again";
        RequestRefusal::with_verdict(verdict, RefusalReason::UnknownRequest, detail)
    }
}
