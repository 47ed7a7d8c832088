//! Cause of an attempt.

teaselglade_core::value_type! {
    /// States why an attempt was started.
    pub enum AttemptCause {
        /// It is the first attempt of the request.
        First,
        /// The server of the previous attempt is being reclaimed or is draining.
        Reclaim,
        /// The previous attempt failed or its stream was truncated.
        Fault,
        /// The previous attempt made no progress on an open connection.
        #[serde(rename = "silence")]
        Timeout,
        /// The entry host of the previous attempt is leaving.
        Handover,
    }
}

impl AttemptCause {
    /// All causes, in the order of declaration.
    pub const ALL: [Self; 5] = [
        Self::First,
        Self::Reclaim,
        Self::Fault,
        Self::Timeout,
        Self::Handover,
    ];

    /// Returns whether the attempt needs a permit of the retry budget.
    ///
    /// Announced departures need none, since they cause at most one attempt per request and notice.
    #[must_use]
    pub const fn needs_budget(self) -> bool {
        matches!(self, Self::Fault | Self::Timeout)
    }

    /// Returns the name of the cause in metrics.
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
