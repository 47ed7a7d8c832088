//! Hardware that a table row permits.

use teaselglade_core::id::{ClassKey, ZoneKey};

use crate::server::ServerAttributes;

/// Hardware that a table row permits, as keys; the default permits all.
///
/// # Examples
///
/// ```
/// use teaselglade_core::id::{ClassKey, ServiceKey, ZoneKey};
/// use teaselglade_placement::policy::HardwareConstraints;
/// use teaselglade_placement::server::ServerAttributes;
///
/// let facts = ServerAttributes {
///     service: ServiceKey::new(0),
///     class: ClassKey::new(1),
///     zone: ZoneKey::new(0),
///     cents_per_hour: 40.0,
///     reclaimable: true,
/// };
/// let constraints = HardwareConstraints {
///     max_cents_per_hour: Some(30.0),
///     ..HardwareConstraints::default()
/// };
/// assert!(HardwareConstraints::default().allows(&facts));
/// assert!(!constraints.allows(&facts));
/// ```
#[derive(Debug, Clone, Default, PartialEq)]
pub struct HardwareConstraints {
    /// Permitted hardware classes; empty permits all.
    pub classes: Vec<ClassKey>,
    /// Permitted zones; empty permits all.
    pub zones: Vec<ZoneKey>,
    /// Highest price of a host, in euro cents an hour; none for no ceiling.
    pub max_cents_per_hour: Option<f64>,
}

impl HardwareConstraints {
    /// Returns whether a server with these facts may be used.
    #[must_use]
    pub fn allows(&self, facts: &ServerAttributes) -> bool {
        let class_permitted = self.classes.is_empty() || self.classes.contains(&facts.class);
        let zone_permitted = self.zones.is_empty() || self.zones.contains(&facts.zone);
        let price_permitted = self
            .max_cents_per_hour
            .is_none_or(|most| facts.cents_per_hour <= most);
        class_permitted && zone_permitted && price_permitted
    }
}
