//! Servers that a placement may use, by the version they run.

use std::sync::Arc;

use teaselglade_core::id::ServerKey;

use crate::registry::RegisteredServer;

/// Servers that a placement may use, by the version they run; versions are given by their hashes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum VersionScope<'a> {
    /// All versions.
    #[default]
    Any,
    /// All versions but one.
    Without(u64),
    /// All versions but some.
    WithoutAll(&'a [u64]),
    /// One version.
    Only(u64),
    /// Some versions.
    OneOf(&'a [u64]),
    /// Some servers.
    Among(&'a [ServerKey]),
}

impl VersionScope<'_> {
    /// Returns whether a server may be used.
    #[must_use]
    pub fn allows(&self, key: ServerKey, server: &RegisteredServer) -> bool {
        let version = server.version_hash();
        match self {
            Self::Any => true,
            Self::Without(excluded) => version != *excluded,
            Self::WithoutAll(excluded) => !excluded.contains(&version),
            Self::Only(wanted) => version == *wanted,
            Self::OneOf(versions) => versions.contains(&version),
            Self::Among(servers) => servers.contains(&key),
        }
    }
}

/// Versions that one attempt may use, as decided at its start.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub enum VersionChoice {
    /// All versions.
    #[default]
    Any,
    /// All versions but the target of an order, whatever is left.
    Without(u64),
    /// All versions but the target of an order whose verdict is not read yet, else all.
    Held(u64),
    /// All versions but the target of an order and others that were not completed.
    WithoutAll(Arc<[u64]>),
    /// Servers on trial, else another choice; credit for one request is taken.
    Trial(Arc<[ServerKey]>, Box<Self>),
    /// Some servers of the target of an order, else another choice.
    Part(Arc<[ServerKey]>, Box<Self>),
    /// The target of an order, else another choice.
    Target(u64, Box<Self>),
    /// The versions in service, else all but some that were not completed.
    Settled(Arc<[u64]>, Arc<[u64]>),
}

impl VersionChoice {
    /// Returns the scope in which the attempt is placed first.
    #[must_use]
    pub fn scope(&self) -> VersionScope<'_> {
        match self {
            Self::Any => VersionScope::Any,
            Self::Without(target) | Self::Held(target) => VersionScope::Without(*target),
            Self::WithoutAll(excluded) => VersionScope::WithoutAll(excluded),
            Self::Trial(servers, _) | Self::Part(servers, _) => VersionScope::Among(servers),
            Self::Target(target, _) => VersionScope::Only(*target),
            Self::Settled(versions, _) => VersionScope::OneOf(versions),
        }
    }

    /// Returns the choice for an attempt that found no server in the first scope, if there is one.
    #[must_use]
    pub fn fallback(&self) -> Option<Self> {
        match self {
            Self::Any | Self::Without(_) | Self::WithoutAll(_) => None,
            Self::Trial(_, old) | Self::Part(_, old) | Self::Target(_, old) => {
                Some(Self::clone(old))
            }
            Self::Held(_) => Some(Self::Any),
            Self::Settled(_, barred) if barred.is_empty() => Some(Self::Any),
            Self::Settled(_, barred) => Some(Self::WithoutAll(Arc::clone(barred))),
        }
    }

    /// Returns whether credit for one request on trial was taken.
    #[must_use]
    pub const fn is_trial(&self) -> bool {
        matches!(self, Self::Trial(..))
    }

    /// Returns whether only a part of the traffic goes to the first scope.
    #[must_use]
    pub const fn is_partial(&self) -> bool {
        matches!(self, Self::Trial(..) | Self::Part(..))
    }

    /// Returns whether a server may be used in any scope.
    #[must_use]
    pub fn allows(&self, key: ServerKey, server: &RegisteredServer) -> bool {
        self.scope().allows(key, server)
            || self
                .fallback()
                .is_some_and(|fallback| fallback.allows(key, server))
    }
}
