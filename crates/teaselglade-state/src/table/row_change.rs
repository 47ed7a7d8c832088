//! Changes between two tables, by row.

use std::collections::BTreeMap;
use std::fmt;

/// One row that differs between two tables.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RowChange {
    /// The row is new.
    Added {
        /// Text of the row.
        row: String,
    },
    /// The row is gone.
    Removed {
        /// Text of the row.
        row: String,
    },
    /// The row is other than before.
    Changed {
        /// Text before.
        from: String,
        /// Text now.
        to: String,
    },
}

impl fmt::Display for RowChange {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Added { row } => write!(f, "+ {row}"),
            Self::Removed { row } => write!(f, "- {row}"),
            Self::Changed { from, to } => write!(f, "- {from}\n+ {to}"),
        }
    }
}

/// Returns the rows that differ, in the order of kind and name.
///
/// # Examples
///
/// ```
/// use teaselglade_state::table::table_changes;
///
/// let before = "kind,name,weight\norganisation,halloran,1\n";
/// let after = "kind,name,weight\norganisation,halloran,3\n";
/// let changes = table_changes(before, after);
/// assert_eq!(changes[0].to_string(), "- organisation,halloran,1\n+ organisation,halloran,3");
/// ```
#[must_use]
pub fn table_changes(before: &str, after: &str) -> Vec<RowChange> {
    let old = rows_by_name(before);
    let new = rows_by_name(after);
    let mut changes = Vec::new();
    for (key, row) in &old {
        match new.get(key) {
            None => changes.push(RowChange::Removed {
                row: (*row).to_owned(),
            }),
            Some(now) if now != row => changes.push(RowChange::Changed {
                from: (*row).to_owned(),
                to: (*now).to_owned(),
            }),
            Some(_) => {}
        }
    }
    let added = new.iter().filter(|(key, _)| !old.contains_key(*key));
    changes.extend(added.map(|(_, row)| RowChange::Added {
        row: (*row).to_owned(),
    }));
    changes
}

/// Rows by their first two fields; where these are not kind and name the diff is by line.
fn rows_by_name(csv: &str) -> BTreeMap<String, &str> {
    csv.lines()
        .map(str::trim)
        .filter(|line| !line.is_empty())
        .map(|line| {
            let key = line.splitn(3, ',').take(2).collect::<Vec<_>>().join(",");
            (key, line)
        })
        .collect()
}
