//! Subset of servers that an entry host dispatches to.

mod server_subset;

pub use server_subset::{SUBSET_SERVERS, choose_subset, rendezvous_weight};
