//! Handover of streams between entry hosts, and search for a stream's holder.

mod handover_limits;
mod handover_machine;
mod holder_search;
mod peer_rank;

pub use handover_limits::HandoverLimits;
pub use handover_machine::{HandoverAction, HandoverEvent, HandoverMachine, PeerReply};
pub use holder_search::{HolderAnswer, HolderSearch, SearchAction};
pub use peer_rank::{owner_hint, rank_peers};
