//! What the zone decision tells the placers of one request.

use std::time::Duration;

/// What the zone decision tells the placers of one request.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use teaselglade_routing::zone::ZoneTerms;
///
/// let terms = ZoneTerms { crossing: Duration::from_millis(9), leaves_to: None };
/// assert_eq!(terms.cost("galway", "sligo"), Duration::from_millis(9));
/// assert_eq!(terms.cost("galway", "galway"), Duration::ZERO);
/// assert_eq!(ZoneTerms::default().cost("galway", "sligo"), Duration::ZERO);
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct ZoneTerms<'a> {
    /// Cost of a server outside the wanted zone; zero disregards zones.
    pub crossing: Duration,
    /// Zone in which the request shall run instead of its own, if any.
    pub leaves_to: Option<&'a str>,
}

impl<'a> ZoneTerms<'a> {
    /// Terms that disregard zones.
    pub const NONE: Self = Self {
        crossing: Duration::ZERO,
        leaves_to: None,
    };

    /// Returns the zone whose servers come first, for a host in zone `home`.
    #[must_use]
    pub fn wanted_zone(&self, home: &'a str) -> Option<&'a str> {
        let is_active = !self.crossing.is_zero();
        is_active.then(|| self.leaves_to.unwrap_or(home))
    }

    /// Returns the cost of a server in `zone` for a host in zone `home`.
    #[must_use]
    pub fn cost(&self, home: &str, zone: &str) -> Duration {
        if zone == self.leaves_to.unwrap_or(home) {
            Duration::ZERO
        } else {
            self.crossing
        }
    }
}
