//! Which servers an entry host works with.

mod server_subset;

pub use server_subset::{SUBSET_SERVERS, choose_subset, rendezvous_weight};
