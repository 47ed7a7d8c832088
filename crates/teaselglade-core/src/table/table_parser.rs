//! Parser of the table from comma-separated values.

use std::collections::HashSet;
use std::time::Duration;

use csv::StringRecord;

use super::{
    OrganisationRow, Result, RoutingTable, ServiceKind, ServiceRow, TableError, TableFault,
};

/// Columns of the table, in the order in which `table show` writes them.
pub const COLUMNS: [&str; 16] = [
    "kind",
    "name",
    "weight",
    "requests_per_second",
    "tokens_per_second",
    "concurrency",
    "first_token_ms",
    "token_gap_ms",
    "classes",
    "zones",
    "cents_per_hour",
    "spend_cents_per_hour",
    "idempotent",
    "fenced",
    "min_servers",
    "cost_weight",
];

const DEFAULT_WEIGHT: f64 = 1.0;
const DEFAULT_COST_WEIGHT: f64 = 0.5;
const LIST_SEPARATOR: char = ';';
/// Longest target of a service; clocks cannot add just any duration.
const MAX_TARGET: Duration = Duration::from_hours(30 * 24);

/// Parses a table from comma-separated values and collects all its faults.
///
/// The `kind` of a row is `organisation`, `model` or `plain`. Empty fields take their defaults.
/// The entries of a list are separated by `;`.
///
/// # Errors
///
/// Returns all faults, each with its row, column and reason. No part of a faulty table is returned.
///
/// # Examples
///
/// ```
/// use teaselglade_core::table::parse_table;
///
/// let error = parse_table("kind,name,weight\norganisation,halloran,-1\n").unwrap_err();
/// assert_eq!(
///     error.to_string(),
///     "row 2, column `weight`: `-1` is no number above 0",
/// );
/// ```
pub fn parse_table(text: &str) -> Result<RoutingTable> {
    let mut parser = TableParser::default();
    let table = parser.parse(text);
    if parser.faults.is_empty() {
        return Ok(table);
    }
    Err(TableError {
        faults: parser.faults,
    })
}

/// Fields of one row, looked up by column name.
#[derive(Debug)]
struct RowFields<'a> {
    header: &'a [String],
    record: &'a StringRecord,
    row: u64,
}

impl<'a> RowFields<'a> {
    fn get(&self, column: &str) -> Option<&'a str> {
        let index = self.header.iter().position(|name| name == column)?;
        let field = self.record.get(index)?.trim();
        (!field.is_empty()).then_some(field)
    }
}

/// Table parser that collects all faults instead of stopping at the first.
#[derive(Debug, Default)]
struct TableParser {
    faults: Vec<TableFault>,
    /// Names of the rows so far; the flag is set for organisations.
    seen_names: HashSet<(bool, String)>,
}

impl TableParser {
    fn parse(&mut self, text: &str) -> RoutingTable {
        let mut table = RoutingTable::default();
        let mut reader = csv::ReaderBuilder::new()
            .flexible(true)
            .from_reader(text.as_bytes());
        let header = match reader.headers() {
            Ok(header) => header
                .iter()
                .map(|name| name.trim().to_owned())
                .collect::<Vec<_>>(),
            Err(error) => {
                self.record_fault(1, "kind", error.to_string());
                return table;
            }
        };
        self.check_header(&header);
        for result in reader.records() {
            match result {
                Ok(record) => self.parse_row(&header, &record, &mut table),
                Err(error) => {
                    let row = error.position().map_or(0, csv::Position::line);
                    self.record_fault(row, "kind", error.to_string());
                }
            }
        }
        table
    }

    fn check_header(&mut self, header: &[String]) {
        for name in header {
            if !COLUMNS.contains(&name.as_str()) {
                self.record_fault(1, name, "unknown column".to_owned());
            }
        }
        for name in ["kind", "name"] {
            if !header.iter().any(|column| column == name) {
                self.record_fault(1, name, "column is missing".to_owned());
            }
        }
    }

    fn parse_row(&mut self, header: &[String], record: &StringRecord, table: &mut RoutingTable) {
        let row = record.position().map_or(0, csv::Position::line);
        if record.len() > header.len() {
            let reason = format!("{} fields, but {} columns", record.len(), header.len());
            self.record_fault(row, "kind", reason);
            return;
        }
        let fields = RowFields {
            header,
            record,
            row,
        };
        match fields.get("kind") {
            Some("organisation") => {
                let parsed = self.parse_organisation(&fields);
                table.organisations.extend(parsed);
            }
            Some("model") => table
                .services
                .extend(self.parse_service(&fields, ServiceKind::Model)),
            Some("plain") => table
                .services
                .extend(self.parse_service(&fields, ServiceKind::Plain)),
            Some(other) => {
                let reason = format!("`{other}` is none of `organisation`, `model`, `plain`");
                self.record_fault(row, "kind", reason);
            }
            None => self.record_fault(row, "kind", "field is empty".to_owned()),
        }
    }

    fn parse_organisation(&mut self, fields: &RowFields<'_>) -> Option<OrganisationRow> {
        let name = self.parse_name(fields, true)?;
        Some(OrganisationRow {
            name,
            weight: self
                .parse_positive(fields, "weight")
                .unwrap_or(DEFAULT_WEIGHT),
            max_requests_per_second: self.parse_positive(fields, "requests_per_second"),
            max_tokens_per_second: self.parse_positive(fields, "tokens_per_second"),
            max_concurrency: self.parse_count(fields, "concurrency"),
            cost_weight: self
                .parse_fraction(fields, "cost_weight")
                .unwrap_or(DEFAULT_COST_WEIGHT),
        })
    }

    fn parse_service(&mut self, fields: &RowFields<'_>, kind: ServiceKind) -> Option<ServiceRow> {
        let name = self.parse_name(fields, false)?;
        let first_token_target = self.parse_millis(fields, "first_token_ms");
        if first_token_target.is_none() && fields.get("first_token_ms").is_none() {
            self.record_fault(
                fields.row,
                "first_token_ms",
                "a service needs a target".to_owned(),
            );
        }
        let token_gap_target = self.parse_millis(fields, "token_gap_ms");
        if kind == ServiceKind::Model && fields.get("token_gap_ms").is_none() {
            self.record_fault(
                fields.row,
                "token_gap_ms",
                "a model service needs a target".to_owned(),
            );
        }
        Some(ServiceRow {
            name,
            kind,
            weight: self
                .parse_positive(fields, "weight")
                .unwrap_or(DEFAULT_WEIGHT),
            max_requests_per_second: self.parse_positive(fields, "requests_per_second"),
            max_tokens_per_second: self.parse_positive(fields, "tokens_per_second"),
            max_concurrency: self.parse_count(fields, "concurrency"),
            first_token_target: first_token_target.unwrap_or_default(),
            token_gap_target,
            classes: parse_list(fields, "classes"),
            zones: parse_list(fields, "zones"),
            max_cents_per_hour: self.parse_positive(fields, "cents_per_hour"),
            max_spend_cents_per_hour: self.parse_positive(fields, "spend_cents_per_hour"),
            idempotent: self
                .parse_flag(fields, "idempotent")
                .unwrap_or(kind == ServiceKind::Model),
            fenced: self.parse_flag(fields, "fenced").unwrap_or(false),
            min_servers: self.parse_count(fields, "min_servers").unwrap_or(0),
        })
    }

    fn parse_name(&mut self, fields: &RowFields<'_>, is_organisation: bool) -> Option<String> {
        let Some(name) = fields.get("name") else {
            self.record_fault(fields.row, "name", "field is empty".to_owned());
            return None;
        };
        if !name
            .chars()
            .all(|c| c.is_ascii_alphanumeric() || c == '-' || c == '_')
        {
            let reason = format!("`{name}` has characters other than letters, digits, `-` and `_`");
            self.record_fault(fields.row, "name", reason);
        }
        if !self.seen_names.insert((is_organisation, name.to_owned())) {
            self.record_fault(fields.row, "name", format!("`{name}` has a row already"));
        }
        Some(name.to_owned())
    }

    fn parse_positive(&mut self, fields: &RowFields<'_>, column: &str) -> Option<f64> {
        let is_valid = |value: &f64| value.is_finite() && *value > 0.0;
        self.parse_number(fields, column, is_valid, "is no number above 0")
    }

    fn parse_fraction(&mut self, fields: &RowFields<'_>, column: &str) -> Option<f64> {
        let is_valid = |value: &f64| (0.0..=1.0).contains(value);
        self.parse_number(fields, column, is_valid, "is no number from 0 to 1")
    }

    fn parse_number(
        &mut self,
        fields: &RowFields<'_>,
        column: &str,
        is_valid: impl Fn(&f64) -> bool,
        reason: &str,
    ) -> Option<f64> {
        let field = fields.get(column)?;
        let value = field.parse::<f64>().ok().filter(is_valid);
        if value.is_none() {
            self.record_fault(fields.row, column, format!("`{field}` {reason}"));
        }
        value
    }

    fn parse_count(&mut self, fields: &RowFields<'_>, column: &str) -> Option<u32> {
        let field = fields.get(column)?;
        let value = field.parse::<u32>().ok();
        if value.is_none() {
            self.record_fault(fields.row, column, format!("`{field}` is no whole number"));
        }
        value
    }

    fn parse_millis(&mut self, fields: &RowFields<'_>, column: &str) -> Option<Duration> {
        let seconds = self.parse_positive(fields, column)? / 1_000.0;
        if seconds > MAX_TARGET.as_secs_f64() {
            let field = fields.get(column).unwrap_or_default();
            self.record_fault(fields.row, column, format!("`{field}` is over 30 days"));
            return None;
        }
        Some(Duration::from_secs_f64(seconds))
    }

    fn parse_flag(&mut self, fields: &RowFields<'_>, column: &str) -> Option<bool> {
        let field = fields.get(column)?;
        match field {
            "yes" => Some(true),
            "no" => Some(false),
            _ => {
                self.record_fault(
                    fields.row,
                    column,
                    format!("`{field}` is neither `yes` nor `no`"),
                );
                None
            }
        }
    }

    fn record_fault(&mut self, row: u64, column: &str, reason: String) {
        self.faults.push(TableFault {
            row,
            column: column.to_owned(),
            reason,
        });
    }
}

fn parse_list(fields: &RowFields<'_>, column: &str) -> Vec<String> {
    let entries = fields.get(column).unwrap_or_default().split(LIST_SEPARATOR);
    entries
        .map(str::trim)
        .filter(|entry| !entry.is_empty())
        .map(str::to_owned)
        .collect()
}
