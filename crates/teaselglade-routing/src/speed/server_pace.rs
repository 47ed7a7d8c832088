//! Word of a server on how long work takes there at the moment.

/// Lowest and highest ratio that a server's word may state, so that an absurd one is bounded.
const RATIO_RANGE: (f64, f64) = (0.5, 4.0);

/// Time that work takes on a server's machine at the moment, as a ratio to its usual time.
///
/// # Examples
///
/// ```
/// use teaselglade_routing::speed::ServerPace;
///
/// assert_eq!(ServerPace::from_percent(250).unwrap().ratio(), 2.5);
/// assert_eq!(ServerPace::from_percent(1_000_000).unwrap().ratio(), 4.0);
/// assert!(ServerPace::from_percent(0).is_none());
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ServerPace {
    percent: u32,
}

impl ServerPace {
    /// Returns the pace of a stated percentage; `None` for 0, which no machine can keep.
    #[must_use]
    pub const fn from_percent(percent: u32) -> Option<Self> {
        if percent == 0 {
            return None;
        }
        Some(Self { percent })
    }

    /// Returns the bounded ratio of the time that work takes to its usual time.
    #[must_use]
    pub fn ratio(self) -> f64 {
        (f64::from(self.percent) / 100.0).clamp(RATIO_RANGE.0, RATIO_RANGE.1)
    }
}
