//! Stage of an open request.

/// Stage that an open request has reached.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum RequestStage {
    /// The caller is still sending the body.
    ReadingBody,
    /// No server has answered yet.
    AwaitingServer,
    /// The attempt of a stream ended after events were forwarded; another one has no event yet.
    Resuming,
    /// Events of a stream arrive.
    Streaming,
    /// The response is complete but not yet handed to the connection.
    Writing,
}

impl RequestStage {
    /// All stages, in the order in which requests pass them.
    pub const ALL: [Self; 5] = [
        Self::ReadingBody,
        Self::AwaitingServer,
        Self::Resuming,
        Self::Streaming,
        Self::Writing,
    ];

    /// Returns the name of the stage in log lines.
    ///
    /// # Examples
    ///
    /// ```
    /// use teaselglade_host::open::RequestStage;
    ///
    /// assert_eq!(RequestStage::ReadingBody.name(), "reading_body");
    /// ```
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::ReadingBody => "reading_body",
            Self::AwaitingServer => "awaiting_server",
            Self::Resuming => "resuming",
            Self::Streaming => "streaming",
            Self::Writing => "writing",
        }
    }
}
