//! Filter on entries of the audit trail.

use teaselglade_wire::{AuditAction, AuditEntry};

/// Filter on entries of the audit trail; an empty filter matches all entries.
///
/// # Examples
///
/// ```
/// use teaselglade_state::audit::AuditFilter;
/// use teaselglade_wire::{AuditAction, AuditEntry};
///
/// let entry = AuditEntry {
///     actor: "galway-e1".to_owned(),
///     action: AuditAction::HostOrdered,
///     subject: "host/draft-fleet/3/1".to_owned(),
///     from: None,
///     to: Some("galway l4 reclaimable".to_owned()),
///     at_ms: 5_000,
///     number: Some(7),
/// };
/// let filter = AuditFilter::default().subject("draft-fleet").since_ms(4_000);
/// assert!(filter.matches(&entry));
/// assert!(!filter.number(8).matches(&entry));
/// ```
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct AuditFilter {
    actor: Option<String>,
    action: Option<AuditAction>,
    subject: Option<String>,
    since_ms: Option<u64>,
    until_ms: Option<u64>,
    number: Option<u64>,
}

impl AuditFilter {
    /// Matches only entries of this actor.
    #[must_use]
    pub fn actor(mut self, actor: impl Into<String>) -> Self {
        self.actor = Some(actor.into());
        self
    }

    /// Matches only entries with this action.
    #[must_use]
    pub const fn action(mut self, action: AuditAction) -> Self {
        self.action = Some(action);
        self
    }

    /// Matches only entries whose subject contains this text.
    #[must_use]
    pub fn subject(mut self, text: impl Into<String>) -> Self {
        self.subject = Some(text.into());
        self
    }

    /// Matches only entries made at or after this time, in milliseconds since the epoch.
    #[must_use]
    pub const fn since_ms(mut self, millis: u64) -> Self {
        self.since_ms = Some(millis);
        self
    }

    /// Matches only entries made before this time, in milliseconds since the epoch.
    #[must_use]
    pub const fn until_ms(mut self, millis: u64) -> Self {
        self.until_ms = Some(millis);
        self
    }

    /// Matches only entries with this fencing number or table version.
    #[must_use]
    pub const fn number(mut self, number: u64) -> Self {
        self.number = Some(number);
        self
    }

    /// Returns whether the filter matches `entry`.
    #[must_use]
    pub fn matches(&self, entry: &AuditEntry) -> bool {
        let actor = self.actor.as_ref().is_none_or(|a| *a == entry.actor);
        let action = self.action.is_none_or(|a| a == entry.action);
        let subject = self.subject.as_ref();
        let subject = subject.is_none_or(|text| entry.subject.contains(text.as_str()));
        let since = self.since_ms.is_none_or(|since| entry.at_ms >= since);
        let until = self.until_ms.is_none_or(|until| entry.at_ms < until);
        let number = self.number.is_none_or(|n| entry.number == Some(n));
        actor && action && subject && since && until && number
    }
}
