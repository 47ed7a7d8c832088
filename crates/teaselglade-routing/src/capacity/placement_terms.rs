//! Terms under which one request is placed.

use std::time::Duration;

use super::RequestRank;
use crate::rollout::VersionScope;
use crate::zone::ZoneTerms;

/// Terms under which one request is placed, from the decisions made before placement.
///
/// # Examples
///
/// ```
/// use teaselglade_routing::capacity::{PlacementTerms, RequestRank};
///
/// let terms = PlacementTerms { zone: "galway", ..PlacementTerms::default() };
/// assert_eq!(terms.rank, RequestRank::new(0));
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct PlacementTerms<'a> {
    /// Zone of the host that places the request; empty if it is unknown.
    pub zone: &'a str,
    /// Urgency of the request.
    pub rank: RequestRank,
    /// Servers that may be used, by the version they run.
    pub versions: VersionScope<'a>,
    /// Longest wait before the request's own prefill; `None` leaves it to the target.
    pub queue_limit: Option<Duration>,
    /// What the zone decision says of the request; by default zones are disregarded.
    pub zones: ZoneTerms<'a>,
}
