//! What a retry takes from its budget.

const FULL_THOUSANDTHS: u32 = 1_000;
const LEAST_THOUSANDTHS: u32 = 50;

/// What a retry takes from its budget, as the part of the request's work that it does again.
///
/// # Examples
///
/// ```
/// use teaselglade_request::retry::RetryCost;
///
/// assert_eq!(RetryCost::of_work(30, 100), RetryCost::of_work(3, 10));
/// assert_eq!(RetryCost::of_work(200, 100), RetryCost::FULL);
/// assert!(RetryCost::of_work(0, 100).as_f64() > 0.0);
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct RetryCost(u32);

impl RetryCost {
    /// Cost of a retry that does all the work again.
    pub const FULL: Self = Self(FULL_THOUSANDTHS);

    /// Returns the cost of a retry that repeats `repeated` of `whole` units of work.
    ///
    /// No retry is free: the least cost is a twentieth.
    #[must_use]
    pub fn of_work(repeated: u64, whole: u64) -> Self {
        let part = repeated.saturating_mul(u64::from(FULL_THOUSANDTHS)) / whole.max(1);
        let part = part.min(u64::from(FULL_THOUSANDTHS)) as u32;
        Self(part.max(LEAST_THOUSANDTHS))
    }

    /// Returns the cost as a part of a whole request's.
    #[must_use]
    pub fn as_f64(self) -> f64 {
        f64::from(self.0) / f64::from(FULL_THOUSANDTHS)
    }
}
