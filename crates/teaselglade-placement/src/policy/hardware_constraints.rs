//! Constraints of a table row on the hardware.

use teaselglade_core::id::{ClassKey, ZoneKey};

use crate::server::ServerAttributes;

/// Constraints of a table row on the hardware of its servers.
///
/// The default allows all hardware.
///
/// # Examples
///
/// ```
/// use teaselglade_core::id::{ClassKey, ServiceKey, ZoneKey};
/// use teaselglade_placement::policy::HardwareConstraints;
/// use teaselglade_placement::server::ServerAttributes;
///
/// let attributes = ServerAttributes {
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
/// assert!(HardwareConstraints::default().allows(&attributes));
/// assert!(!constraints.allows(&attributes));
/// ```
#[derive(Debug, Clone, Default, PartialEq)]
pub struct HardwareConstraints {
    /// Allowed hardware classes; empty allows all.
    pub classes: Vec<ClassKey>,
    /// Allowed zones; empty allows all.
    pub zones: Vec<ZoneKey>,
    /// Maximum price of a host, in euro cents per hour; `None` for no maximum.
    pub max_cents_per_hour: Option<f64>,
}

impl HardwareConstraints {
    /// Returns whether a server with these attributes may be used.
    #[must_use]
    pub fn allows(&self, attributes: &ServerAttributes) -> bool {
        let class_allowed = self.classes.is_empty() || self.classes.contains(&attributes.class);
        let zone_allowed = self.zones.is_empty() || self.zones.contains(&attributes.zone);
        let price_allowed = self
            .max_cents_per_hour
            .is_none_or(|maximum| attributes.cents_per_hour <= maximum);
        class_allowed && zone_allowed && price_allowed
    }
}
