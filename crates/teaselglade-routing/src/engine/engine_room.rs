//! Work that the engines of a service prove to do.

use super::EnginePlacer;
use crate::registry::ServerRegistry;

impl EnginePlacer {
    /// Returns the prompt tokens a second that the engines taking work prove to prefill.
    ///
    /// It is the sum over the engines of one zone, or of all zones if `zone` is `None`.
    ///
    /// # Examples
    ///
    /// ```
    /// use teaselglade_routing::engine::EnginePlacer;
    /// use teaselglade_routing::registry::ServerRegistry;
    ///
    /// let placer = EnginePlacer::new(1);
    /// assert_eq!(placer.room(&ServerRegistry::default(), "draft-fleet", None), 0.0);
    /// ```
    #[must_use]
    pub fn room(&self, registry: &ServerRegistry, service: &str, zone: Option<&str>) -> f64 {
        let engines = registry.of_service(service);
        let engines =
            engines.filter(|(_, engine)| zone.is_none_or(|zone| engine.registration.zone == zone));
        let speeds = engines.map(|(key, _)| self.ledger().speed(key));
        speeds.sum::<f64>() * self.speed(service).tokens_per_second()
    }

    /// Returns the mean lasting speed of a service's engines; 1 where they are alike.
    #[must_use]
    pub fn mean_speed(&self, registry: &ServerRegistry, service: &str) -> f64 {
        let engines = registry.of_service(service);
        self.ledger().mean_speed(engines.map(|(key, _)| key))
    }
}
