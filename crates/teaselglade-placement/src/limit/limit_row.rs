//! Limits of one row of the routing table.

use teaselglade_core::table::{OrganisationRow, ServiceRow};

use super::{LimitId, LimitMeasure};

/// Limits of one row of the routing table.
///
/// # Examples
///
/// ```
/// use teaselglade_core::table::parse_table;
/// use teaselglade_placement::limit::LimitRow;
///
/// let text = "kind,name,requests_per_second\norganisation,halloran,20\n";
/// let table = parse_table(text)?;
/// let row = LimitRow::from_organisation(&table.organisations[0]);
/// assert_eq!(row.limits().count(), 1);
/// # Ok::<(), teaselglade_core::table::TableError>(())
/// ```
#[derive(Debug, Clone, PartialEq)]
pub struct LimitRow {
    /// Kind and name of the row, such as `service/till-desk`.
    pub row: String,
    /// Maximum requests per second; `None` for no limit.
    pub requests: Option<f64>,
    /// Maximum generated tokens per second; `None` for no limit.
    pub tokens: Option<f64>,
    /// Maximum concurrent requests; `None` for no limit.
    pub concurrency: Option<f64>,
}

impl LimitRow {
    /// Returns the limits of an organisation.
    #[must_use]
    pub fn from_organisation(row: &OrganisationRow) -> Self {
        Self {
            row: Self::organisation_row(&row.name),
            requests: row.max_requests_per_second,
            tokens: row.max_tokens_per_second,
            concurrency: row.max_concurrency.map(f64::from),
        }
    }

    /// Returns the limits of a service.
    #[must_use]
    pub fn from_service(row: &ServiceRow) -> Self {
        Self {
            row: Self::service_row(&row.name),
            requests: row.max_requests_per_second,
            tokens: row.max_tokens_per_second,
            concurrency: row.max_concurrency.map(f64::from),
        }
    }

    /// Returns the row name of an organisation.
    #[must_use]
    pub fn organisation_row(name: &str) -> String {
        format!("organisation/{name}")
    }

    /// Returns the row name of a service.
    #[must_use]
    pub fn service_row(name: &str) -> String {
        format!("service/{name}")
    }

    /// Returns the limits that the row sets, in the unit of each measure.
    pub fn limits(&self) -> impl Iterator<Item = (LimitMeasure, f64)> {
        let limits = [
            (LimitMeasure::Requests, self.requests),
            (LimitMeasure::Tokens, self.tokens),
            (LimitMeasure::Concurrency, self.concurrency),
        ];
        let limits = limits.into_iter();
        limits.filter_map(|(measure, limit)| limit.map(|limit| (measure, limit)))
    }

    pub(super) fn id(&self, measure: LimitMeasure) -> LimitId {
        LimitId::new(&self.row, measure)
    }
}
