//! Urgency of a request.

/// Urgency of a request; the lowest number is the most urgent.
///
/// # Examples
///
/// ```
/// use teaselglade_routing::capacity::RequestRank;
///
/// assert_eq!(RequestRank::of(None, 2), RequestRank::new(2));
/// assert!(RequestRank::of(Some(0), 2) < RequestRank::of(None, 1));
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct RequestRank(u8);

impl RequestRank {
    /// Creates a rank; 0 is the most urgent.
    #[must_use]
    pub const fn new(rank: u8) -> Self {
        Self(rank)
    }

    /// Returns the rank of a request by its organisation's priority, else by its route's.
    #[must_use]
    pub fn of(organisation_priority: Option<u8>, route_priority: u8) -> Self {
        Self(organisation_priority.unwrap_or(route_priority))
    }

    /// Returns the rank as a number; 0 is the most urgent.
    #[must_use]
    pub const fn get(self) -> u8 {
        self.0
    }
}
