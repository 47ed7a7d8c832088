//! Hardware that a table row permits.

use teaselglade_core::id::{ClassKey, ZoneKey};

use crate::server::ServerFacts;

/// Hardware that a table row permits, as keys; the default permits all.
///
/// # Examples
///
/// ```
/// use teaselglade_core::id::{ClassKey, ServiceKey, ZoneKey};
/// use teaselglade_placement::policy::HardwarePermit;
/// use teaselglade_placement::server::ServerFacts;
///
/// let facts = ServerFacts {
///     service: ServiceKey::new(0),
///     class: ClassKey::new(1),
///     zone: ZoneKey::new(0),
///     cents_per_hour: 40.0,
///     reclaimable: true,
/// };
/// let permit = HardwarePermit {
///     max_cents_per_hour: Some(30.0),
///     ..HardwarePermit::default()
/// };
/// assert!(HardwarePermit::default().permits(&facts));
/// assert!(!permit.permits(&facts));
/// ```
#[derive(Debug, Clone, Default, PartialEq)]
pub struct HardwarePermit {
    /// Permitted hardware classes; empty permits all.
    pub classes: Vec<ClassKey>,
    /// Permitted zones; empty permits all.
    pub zones: Vec<ZoneKey>,
    /// Highest price of a host, in euro cents an hour; none for no ceiling.
    pub max_cents_per_hour: Option<f64>,
}

impl HardwarePermit {
    /// Returns whether a server with these facts may be used.
    #[must_use]
    pub fn permits(&self, facts: &ServerFacts) -> bool {
        let class_permitted = self.classes.is_empty() || self.classes.contains(&facts.class);
        let zone_permitted = self.zones.is_empty() || self.zones.contains(&facts.zone);
        let price_permitted = self
            .max_cents_per_hour
            .is_none_or(|most| facts.cents_per_hour <= most);
        class_permitted && zone_permitted && price_permitted
    }
}
