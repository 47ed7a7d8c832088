//! Names and incarnation numbers of hosts.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Name that the platform gives to an entry host or a backend server host.
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
    /// Creates a host name.
    pub fn new(name: impl Into<String>) -> Self {
        Self(name.into())
    }

    /// Returns the name as a string slice.
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

/// Incarnation number of a host.
///
/// A host that replaces another under the same name has a higher number.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct HostIncarnation(pub u64);
