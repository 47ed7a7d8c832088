//! Faults found in a table, reported together.

use std::fmt;

/// Fault found in a table.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TableFault {
    /// Line of the file, from 1, or 0 if unknown.
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

/// Error that lists every fault found in a table.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TableError {
    /// Faults, in file order.
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
