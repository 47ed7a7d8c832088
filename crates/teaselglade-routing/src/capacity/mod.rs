//! What the decisions on one request share: its rank, its zone and the room of its service.

mod placement_terms;
mod request_rank;

pub use placement_terms::PlacementTerms;
pub use request_rank::RequestRank;
