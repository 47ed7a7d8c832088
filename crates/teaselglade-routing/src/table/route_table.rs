//! One version of the routing table, indexed for lookups.

use std::collections::HashMap;

use teaselglade_core::verdict::RefusalReason;

use super::{OrganisationSpec, RouteSpec, ServiceSpec, TableSpec};

/// Sender of a request according to the routing table.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Caller<'a> {
    /// Sender without a known key, on a public route or in a table without organisations.
    Anonymous,
    /// Sender with a key of this organisation.
    Organisation(&'a OrganisationSpec),
}

/// One version of the routing table, indexed for lookups.
///
/// # Examples
///
/// ```
/// use teaselglade_routing::table::{RouteTable, TableSpec};
///
/// let table = RouteTable::new(TableSpec::default());
/// assert!(table.route("shop.example", "/repairs/1").is_none());
/// ```
#[derive(Debug, Clone, Default)]
pub struct RouteTable {
    spec: TableSpec,
    /// Index of each route in `spec`, by host and then by path prefix.
    by_host: HashMap<String, HashMap<String, usize>>,
    /// Index of each organisation in `spec`, by API key.
    by_key: HashMap<String, usize>,
}

impl RouteTable {
    /// Creates the index of one version of the table.
    #[must_use]
    pub fn new(spec: TableSpec) -> Self {
        let mut by_host: HashMap<String, HashMap<String, usize>> = HashMap::new();
        for (index, route) in spec.routes.iter().enumerate() {
            let prefixes = by_host.entry(route.host.clone()).or_default();
            prefixes.insert(route.path_prefix.clone(), index);
        }
        let organisations = spec.organisations.iter().enumerate();
        let keys = organisations.flat_map(|(index, organisation)| {
            organisation
                .keys
                .iter()
                .map(move |key| (key.clone(), index))
        });
        let by_key = keys.collect();
        Self {
            spec,
            by_host,
            by_key,
        }
    }

    /// Returns the version number of the table.
    #[must_use]
    pub const fn version(&self) -> u64 {
        self.spec.version
    }

    /// Returns the table as published.
    #[must_use]
    pub const fn spec(&self) -> &TableSpec {
        &self.spec
    }

    /// Returns the route with the longest matching prefix of `path`. The path must have no query.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&RouteSpec> {
        let prefixes = self.by_host.get(host)?;
        let slashes = path.rmatch_indices('/').map(|(index, _)| index);
        let mut matching = slashes.filter_map(|index| prefixes.get(&path[..=index]));
        matching.next().map(|index| &self.spec.routes[*index])
    }

    /// Returns the service with this name.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&ServiceSpec> {
        self.spec
            .services
            .iter()
            .find(|service| service.name == name)
    }

    /// Returns the sender of a request with this API key on this route.
    ///
    /// # Errors
    ///
    /// Returns [`RefusalReason::UnknownOrganisation`] if the route needs a key and `key` is missing
    /// or unknown.
    pub fn caller(
        &self,
        route: &RouteSpec,
        key: Option<&str>,
    ) -> Result<Caller<'_>, RefusalReason> {
        let organisation = key.and_then(|key| self.by_key.get(key));
        match organisation {
            Some(index) => Ok(Caller::Organisation(&self.spec.organisations[*index])),
            None if route.public || self.spec.organisations.is_empty() => Ok(Caller::Anonymous),
            None => Err(RefusalReason::UnknownOrganisation),
        }
    }
}
