//! Row-by-row differences between two tables.

use std::collections::BTreeMap;
use std::fmt;

/// Difference in one row between two tables.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RowChange {
    /// The row is only in the newer table.
    Added {
        /// Text of the row.
        row: String,
    },
    /// The row is only in the older table.
    Removed {
        /// Text of the row.
        row: String,
    },
    /// The row is in both tables with different text.
    Changed {
        /// Text in the older table.
        from: String,
        /// Text in the newer table.
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

/// Returns the rows that differ between two tables.
///
/// Removed and changed rows come first, then added ones, each ordered by kind and name.
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
    let old = rows_by_key(before);
    let new = rows_by_key(after);
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

/// Indexes rows by their first two fields, which are the kind and the name in a valid table.
///
/// Other text is compared by the first two fields of each line.
fn rows_by_key(csv: &str) -> BTreeMap<String, &str> {
    csv.lines()
        .map(str::trim)
        .filter(|line| !line.is_empty())
        .map(|line| {
            let key = line.splitn(3, ',').take(2).collect::<Vec<_>>().join(",");
            (key, line)
        })
        .collect()
}
