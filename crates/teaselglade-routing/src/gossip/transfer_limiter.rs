//! Limit on the bandwidth that a host spends on tables for its peers.

use std::time::Duration;

use teaselglade_core::time::Timestamp;

/// Fraction of a host's link that transfers to peers may use.
const LINK_SHARE: f64 = 0.5;
/// Time that the transfers in progress may take at most when another one is accepted.
///
/// It bounds how long transfers that share the link delay one another.
const MAX_BACKLOG: Duration = Duration::from_millis(150);

/// Limits the bandwidth that a host spends on tables for its peers.
///
/// A new version makes many hosts ask the few that have it at the same moment. All of them at once
/// would fill the link, so that no transfer ends in time and digests are lost.
///
/// # Examples
///
/// ```
/// use teaselglade_core::time::Timestamp;
/// use teaselglade_routing::gossip::TransferLimiter;
///
/// let mut limiter = TransferLimiter::new(Some(1_000_000.0));
/// assert!(limiter.try_start(Timestamp::ZERO, 200_000).is_ok());
/// let busy = limiter.try_start(Timestamp::ZERO, 200_000);
/// assert!(busy.is_err_and(|delay| delay.as_millis() == 250));
/// ```
#[derive(Debug)]
pub struct TransferLimiter {
    /// Bandwidth for transfers, or `None` if the link is not limited.
    bytes_per_second: Option<f64>,
    /// Time at which the accepted transfers end.
    busy_until: Timestamp,
}

impl TransferLimiter {
    /// Creates a limiter for a link of the given bandwidth; `None` accepts all transfers.
    #[must_use]
    pub fn new(link_bytes_per_second: Option<f64>) -> Self {
        Self {
            bytes_per_second: link_bytes_per_second.map(|bandwidth| bandwidth * LINK_SHARE),
            busy_until: Timestamp::ZERO,
        }
    }

    /// Accepts a transfer of `bytes` if the link has room for it.
    ///
    /// # Errors
    ///
    /// Returns the time after which it has room.
    pub fn try_start(&mut self, now: Timestamp, bytes: usize) -> Result<(), Duration> {
        let Some(bytes_per_second) = self.bytes_per_second else {
            return Ok(());
        };
        let accepts_at = self.busy_until.before(MAX_BACKLOG);
        if accepts_at > now {
            return Err(accepts_at.since(now));
        }
        let duration = Duration::from_secs_f64(bytes as f64 / bytes_per_second);
        self.busy_until = self.busy_until.max(now) + duration;
        Ok(())
    }
}
