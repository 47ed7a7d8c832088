//! Names of hosts and their incarnations.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Name of a host as the platform gives it, for entry hosts and backend server hosts alike.
///
/// # Examples
///
/// ```
/// use teaselglade_core::id::HostName;
///
/// assert_eq!(HostName::new("galway-e1").as_str(), "galway-e1");
/// ```
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct HostName(String);

impl HostName {
    /// Makes a host name.
    pub fn new(name: impl Into<String>) -> Self {
        Self(name.into())
    }

    /// Returns the name as text.
    #[must_use]
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for HostName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// Start number of a host; a host that is replaced under its name gets a higher one.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct HostIncarnation(pub u64);
