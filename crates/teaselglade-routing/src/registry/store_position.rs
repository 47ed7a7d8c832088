//! Position of a record in the store.

use serde::{Deserialize, Serialize};

/// Position of a record in the store, ordered across returns from older copies.
///
/// It is unknown by default, as in messages of hosts of earlier builds; an unknown position is
/// lower than all others.
///
/// # Examples
///
/// ```
/// use teaselglade_routing::registry::StorePosition;
///
/// let position = StorePosition::of_record(1, 40);
/// assert!(position < StorePosition::of_record(1, 41));
/// assert!(position < StorePosition::of_record(2, 0));
/// assert!(!StorePosition::default().is_known());
/// ```
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct StorePosition {
    era: u64,
    /// Offset after the record; 0 if the position is unknown.
    end: u64,
}

impl StorePosition {
    /// Returns the number of bytes of the position in a message between hosts.
    pub(crate) fn encoded_len(self) -> usize {
        1 + encoded_len(self.era) + encoded_len(self.end)
    }

    /// Returns the position of the record at an offset of one era of the store.
    ///
    /// # Examples
    ///
    /// ```
    /// use teaselglade_routing::registry::StorePosition;
    ///
    /// assert_eq!(StorePosition::of_record(0, 4), StorePosition::before_offset(0, 5));
    /// ```
    #[must_use]
    pub const fn of_record(era: u64, offset: u64) -> Self {
        Self::before_offset(era, offset + 1)
    }

    /// Returns the position of the last record before an offset of one era of the store.
    ///
    /// No record lies before offset 0, so that position is unknown in every era.
    ///
    /// # Examples
    ///
    /// ```
    /// use teaselglade_routing::registry::StorePosition;
    ///
    /// let listing = StorePosition::before_offset(0, 5);
    /// assert!(listing < StorePosition::of_record(0, 5));
    /// assert_eq!(StorePosition::before_offset(2, 0), StorePosition::default());
    /// ```
    #[must_use]
    pub const fn before_offset(era: u64, offset: u64) -> Self {
        let era = if offset == 0 { 0 } else { era };
        Self { era, end: offset }
    }

    /// Returns whether the position is known.
    #[must_use]
    pub const fn is_known(self) -> bool {
        self.end > 0
    }

    /// Returns whether the position is of a later era than another one.
    pub(super) const fn is_of_later_era(self, other: Self) -> bool {
        self.era > other.era
    }

    /// Returns whether the position lies behind another one in the log, whatever their eras.
    pub(super) const fn has_higher_offset(self, other: Self) -> bool {
        self.end > other.end
    }
}

/// Returns the number of bytes of a number in a message between hosts.
pub(crate) const fn encoded_len(number: u64) -> usize {
    match number {
        0..=0x7f => 1,
        0x80..=0xff => 2,
        0x100..=0xffff => 3,
        0x1_0000..=0xffff_ffff => 5,
        _ => 9,
    }
}
