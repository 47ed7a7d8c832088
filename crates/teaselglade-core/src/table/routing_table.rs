//! Rows of one version of the table.

use super::{OrganisationRow, ServiceRow};

crate::value_type! {
    /// All rows of the table.
    ///
    /// # Examples
    ///
    /// ```
    /// use teaselglade_core::table::parse_table;
    ///
    /// let text = "kind,name,weight\norganisation,halloran,3\n";
    /// let table = parse_table(text)?;
    /// assert!(table.organisation("halloran").is_some());
    /// # Ok::<(), teaselglade_core::table::TableError>(())
    /// ```
    #[derive(Default)]
    pub struct RoutingTable {
        /// Rows of organisations, in file order.
        pub organisations: Vec<OrganisationRow>,
        /// Rows of services, in file order.
        pub services: Vec<ServiceRow>,
    }
}

impl RoutingTable {
    /// Returns the row of an organisation, if the table has one.
    #[must_use]
    pub fn organisation(&self, name: &str) -> Option<&OrganisationRow> {
        self.organisations.iter().find(|row| row.name == name)
    }

    /// Returns the row of a service, if the table has one.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&ServiceRow> {
        self.services.iter().find(|row| row.name == name)
    }
}
