//! Search for the entry host that holds a stream.

use teaselglade_core::id::{HostName, RequestId};
use teaselglade_core::verdict::{ExecutionVerdict, RefusalReason, RequestRefusal};

use super::{owner_hint, rank_peers};

/// Peers in the order of the hash that are asked at once.
const FIRST_RANKS: usize = 3;
/// Peers that are asked at once after the first ones.
const LATER_RANKS: usize = 8;
/// Most peers that one search asks.
const MOST_ASKED: usize = 64;

/// What a peer says of a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HolderAnswer {
    /// The peer holds the stream.
    Holds {
        /// Generation of its record.
        generation: u16,
        /// Line of its copy.
        copy_id: u16,
    },
    /// The peer does not hold the stream.
    NotHeld,
    /// The peer did not answer.
    Unknown,
}

/// What the adapter of a search has to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SearchAction {
    /// Ask a peer whether it holds the stream.
    Query {
        /// The peer.
        peer: HostName,
    },
    /// Pass the caller on to the holder.
    Found {
        /// The holder.
        peer: HostName,
    },
    /// Tell the caller that nobody holds the stream.
    NotFound {
        /// The answer.
        refusal: RequestRefusal,
    },
}

/// Search for the entry host that holds a stream.
///
/// The host that made the request's id and the first hosts in rendezvous order are asked first,
/// then others in bounded groups. Of several copies the one whose
/// tokens the caller has is taken, otherwise the one with the highest generation.
///
/// # Examples
///
/// ```
/// use teaselglade_core::id::{HostName, RequestId};
/// use teaselglade_request::handover::{HolderAnswer, HolderSearch, SearchAction};
///
/// let peer = HostName::new("sligo-e1");
/// let (mut search, asked) = HolderSearch::start(RequestId::from_bits(7), 0, &[peer.clone()]);
/// assert_eq!(asked, [SearchAction::Query { peer: peer.clone() }]);
/// let actions = search.on_answer(&peer, HolderAnswer::Holds { generation: 1, copy_id: 1 });
/// assert_eq!(actions, [SearchAction::Found { peer }]);
/// ```
#[derive(Debug, Clone)]
pub struct HolderSearch {
    rest: Vec<HostName>,
    open: Vec<HostName>,
    copy_id: u16,
    best: Option<((bool, u16), HostName)>,
    has_unknown: bool,
    is_done: bool,
}

impl HolderSearch {
    /// Starts a search among the known peers, leaving ones included.
    ///
    /// `line` is the line of the caller's last token.
    #[must_use]
    pub fn start(
        request: RequestId,
        copy_id: u16,
        peers: &[HostName],
    ) -> (Self, Vec<SearchAction>) {
        let mut rest = rank_peers(request, peers, peers.len());
        let hint = request.to_bits() as u32;
        let owner = rest.iter().position(|peer| owner_hint(peer) == hint);
        if let Some(index) = owner {
            rest[..=index].rotate_right(1);
        }
        rest.truncate(MOST_ASKED);
        let mut search = Self {
            rest,
            open: Vec::new(),
            copy_id,
            best: None,
            has_unknown: false,
            is_done: false,
        };
        let first = FIRST_RANKS + usize::from(owner.is_some());
        let actions = search.ask(first);
        (search, actions)
    }

    /// Takes a peer's answer and returns what has to be done.
    pub fn on_answer(&mut self, peer: &HostName, answer: HolderAnswer) -> Vec<SearchAction> {
        let Some(index) = self.open.iter().position(|open| open == peer) else {
            return Vec::new();
        };
        self.open.swap_remove(index);
        match answer {
            HolderAnswer::Holds {
                generation,
                copy_id,
            } => {
                self.record_holder((copy_id == self.copy_id, generation), peer);
            }
            HolderAnswer::NotHeld => {}
            HolderAnswer::Unknown => self.has_unknown = true,
        }
        if self.is_done || !self.open.is_empty() {
            return Vec::new();
        }
        if let Some((_, peer)) = self.best.take() {
            self.is_done = true;
            return vec![SearchAction::Found { peer }];
        }
        self.ask(LATER_RANKS)
    }

    fn record_holder(&mut self, rank: (bool, u16), peer: &HostName) {
        let is_better = self.best.as_ref().is_none_or(|(best, _)| rank > *best);
        if is_better {
            self.best = Some((rank, peer.clone()));
        }
    }

    fn ask(&mut self, most: usize) -> Vec<SearchAction> {
        let count = most.min(self.rest.len());
        self.open = self.rest.drain(..count).collect();
        if self.open.is_empty() {
            self.is_done = true;
            let refusal = self.refusal();
            return vec![SearchAction::NotFound { refusal }];
        }
        let peers = self.open.iter().cloned();
        peers.map(|peer| SearchAction::Query { peer }).collect()
    }

    /// The request's record is lost or out of reach, so nobody can know how far it got.
    fn refusal(&self) -> RequestRefusal {
        let verdict = ExecutionVerdict::MayHaveRun;
        if self.has_unknown {
            let detail = "a host that may hold the stream did not answer";
            let refusal = RequestRefusal::with_verdict(verdict, RefusalReason::NotReady, detail);
            return refusal.retry_after(std::time::Duration::from_secs(1));
        }
        let detail = "no host holds the stream; send the request again";
        RequestRefusal::with_verdict(verdict, RefusalReason::UnknownRequest, detail)
    }
}
