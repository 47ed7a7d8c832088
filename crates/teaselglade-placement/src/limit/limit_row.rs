//! Limits of one row of the table.

use teaselglade_core::table::{OrganisationRow, ServiceRow};

use super::{LimitId, LimitMeasure};

/// Limits of one row of the table.
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
    /// Most requests a second; none for no limit.
    pub requests: Option<f64>,
    /// Most generated tokens a second; none for no limit.
    pub tokens: Option<f64>,
    /// Most requests in progress at a time; none for no limit.
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

    /// Returns the limits that the row sets.
    pub fn limits(&self) -> impl Iterator<Item = (LimitMeasure, f64)> {
        let measures = [
            (LimitMeasure::Requests, self.requests),
            (LimitMeasure::Tokens, self.tokens),
            (LimitMeasure::Concurrency, self.concurrency),
        ];
        let set = measures.into_iter();
        set.filter_map(|(measure, limit)| limit.map(|limit| (measure, limit)))
    }

    pub(super) fn id(&self, measure: LimitMeasure) -> LimitId {
        LimitId::new(&self.row, measure)
    }
}
