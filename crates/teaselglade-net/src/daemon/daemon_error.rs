//! Failure to start a daemon.

use std::{fmt, io};

/// Failure to start a daemon.
#[derive(Debug)]
pub enum DaemonError {
    /// An address cannot be bound.
    Bind(io::Error),
    /// A metric cannot be registered, for example because its name is taken.
    Metrics(prometheus::Error),
}

impl fmt::Display for DaemonError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Bind(error) => write!(f, "cannot listen: {error}"),
            Self::Metrics(error) => write!(f, "cannot register metrics: {error}"),
        }
    }
}

impl std::error::Error for DaemonError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            Self::Bind(error) => Some(error),
            Self::Metrics(error) => Some(error),
        }
    }
}

impl From<io::Error> for DaemonError {
    fn from(error: io::Error) -> Self {
        Self::Bind(error)
    }
}

impl From<prometheus::Error> for DaemonError {
    fn from(error: prometheus::Error) -> Self {
        Self::Metrics(error)
    }
}
