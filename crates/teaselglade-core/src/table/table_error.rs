//! Faults of a table, all listed at once.

use std::fmt;

/// One fault of a table.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TableFault {
    /// Line of the file, from 1.
    pub row: u64,
    /// Name of the column.
    pub column: String,
    /// What is wrong and what is expected.
    pub reason: String,
}

impl fmt::Display for TableFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "row {}, column `{}`: {}",
            self.row, self.column, self.reason
        )
    }
}

/// Every fault found in a table.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TableError {
    /// The faults, in the order of the file.
    pub faults: Vec<TableFault>,
}

impl fmt::Display for TableError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, fault) in self.faults.iter().enumerate() {
            if index > 0 {
                writeln!(f)?;
            }
            fault.fmt(f)?;
        }
        Ok(())
    }
}

impl std::error::Error for TableError {}
