//! Listing of all registrations in the store.

use teaselglade_core::time::Timestamp;

use super::{ServerRegistration, StorePosition};

/// Listing of all registrations in the store.
#[derive(Debug, Clone, PartialEq)]
pub struct ServerListing {
    /// Time at which the listing was requested.
    pub requested_at: Timestamp,
    /// Position up to which the listing contains the store's records.
    pub end: StorePosition,
    /// Registrations of servers.
    pub registrations: Vec<ServerRegistration>,
    /// Names of servers whose entries cannot be read; what is known of them still holds.
    pub unreadable: Vec<String>,
}
