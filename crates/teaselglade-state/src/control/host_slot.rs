//! Slot of a host in a service, from which the idempotency token of its order is derived.

use std::fmt;

const TOKEN_PREFIX: &str = "teaselglade";

/// Slot of a host in a service, with the generation of hosts in that slot.
///
/// The idempotency token of an order depends on the slot alone. A repeated order for the slot, even
/// by another process after a lost response, is therefore the same order.
///
/// # Examples
///
/// ```
/// use teaselglade_state::control::HostSlot;
///
/// let slot = HostSlot::new("draft-fleet", 3, 1);
/// assert_eq!(slot.token(), "teaselglade/draft-fleet/3/1");
/// assert_eq!(HostSlot::parse(&slot.token()), Some(slot));
/// ```
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct HostSlot {
    /// Service of the host.
    pub service: String,
    /// Slot number, from 0.
    pub slot: u32,
    /// Generation of the host in the slot, from 1.
    pub generation: u32,
}

impl HostSlot {
    /// Creates a slot of a service.
    pub fn new(service: impl Into<String>, slot: u32, generation: u32) -> Self {
        Self {
            service: service.into(),
            slot,
            generation,
        }
    }

    /// Returns the idempotency token of the slot's order.
    #[must_use]
    pub fn token(&self) -> String {
        self.to_string()
    }

    /// Parses a token; returns `None` if this system did not generate it.
    #[must_use]
    pub fn parse(token: &str) -> Option<Self> {
        let mut parts = token.split('/');
        if parts.next() != Some(TOKEN_PREFIX) {
            return None;
        }
        let service = parts.next()?;
        let slot = parts.next()?.parse().ok()?;
        let generation = parts.next()?.parse().ok()?;
        parts
            .next()
            .is_none()
            .then(|| Self::new(service, slot, generation))
    }
}

impl fmt::Display for HostSlot {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            service,
            slot,
            generation,
        } = self;
        write!(f, "{TOKEN_PREFIX}/{service}/{slot}/{generation}")
    }
}
