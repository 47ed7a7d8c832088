//! Why an attempt was started.

teaselglade_core::value_type! {
    /// Why an attempt was started.
    pub enum AttemptCause {
        /// It is the first one.
        First,
        /// The server of the one before is leaving.
        Reclaim,
        /// The one before failed or was cut.
        Fault,
        /// The one before made no progress on an open connection.
        #[serde(rename = "silence")]
        Timeout,
        /// The entry host of the one before is leaving.
        Handover,
    }
}

impl AttemptCause {
    /// Every cause, in the order of declaration.
    pub const ALL: [Self; 5] = [
        Self::First,
        Self::Reclaim,
        Self::Fault,
        Self::Timeout,
        Self::Handover,
    ];

    /// Returns whether the attempt is paid for from the retry budget.
    ///
    /// Announced departures bound their attempts themselves: one per request and notice.
    #[must_use]
    pub const fn needs_budget(self) -> bool {
        matches!(self, Self::Fault | Self::Timeout)
    }

    /// Returns the name that metrics use.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::First => "first",
            Self::Reclaim => "reclaim",
            Self::Fault => "fault",
            Self::Timeout => "silence",
            Self::Handover => "handover",
        }
    }
}
