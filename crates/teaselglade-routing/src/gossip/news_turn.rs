//! Number of a round of news of servers.

/// Number of a round of news, and which changes it holds if they do not all fit.
///
/// # Examples
///
/// ```
/// use teaselglade_routing::gossip::NewsTurn;
///
/// let turn = NewsTurn::new(3, 1).most_parts(40);
/// assert_ne!(turn, NewsTurn::new(3, 1));
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct NewsTurn {
    pub(super) round: u64,
    pub(super) turn: u64,
    pub(super) most_parts: usize,
}

impl NewsTurn {
    /// Most parts of a round in a large fleet: some 350 departures.
    ///
    /// What does not fit is told in the next turns, so that an aggregator sends each host no more
    /// than 36 KB a second of news, however many servers change at once.
    const LARGE_FLEET_PARTS: usize = 12;

    /// Creates the number of a round; several rounds, for several receivers, may have one turn.
    #[must_use]
    pub const fn new(round: u64, turn: u64) -> Self {
        Self {
            round,
            turn,
            most_parts: Self::LARGE_FLEET_PARTS,
        }
    }

    /// Sets the most parts of the round, at least 1.
    #[must_use]
    pub const fn most_parts(mut self, most_parts: usize) -> Self {
        self.most_parts = most_parts;
        self
    }
}
