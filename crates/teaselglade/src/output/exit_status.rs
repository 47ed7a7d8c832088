//! Exit codes of the tool.

use std::process::ExitCode;

/// Result of a command, which sets the tool's exit code.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExitStatus {
    /// 0: the command succeeded.
    Success,
    /// 1: the command failed, for instance because the log does not respond.
    Failed,
    /// 2: the command line, the settings or the table is invalid.
    InvalidInput,
    /// 3: the publication was rejected.
    Rejected,
    /// 4: the result of the publication is not known yet.
    Unresolved,
    /// 5: the demo violated one of its guarantees.
    GuaranteeViolated,
    /// 6: no server would take the request now.
    NotPlaced,
    /// 7: a version that is shown was rolled back.
    RolledBack,
}

impl From<ExitStatus> for ExitCode {
    fn from(status: ExitStatus) -> Self {
        match status {
            ExitStatus::Success => Self::SUCCESS,
            ExitStatus::Failed => Self::FAILURE,
            ExitStatus::InvalidInput => Self::from(2),
            ExitStatus::Rejected => Self::from(3),
            ExitStatus::Unresolved => Self::from(4),
            ExitStatus::GuaranteeViolated => Self::from(5),
            ExitStatus::NotPlaced => Self::from(6),
            ExitStatus::RolledBack => Self::from(7),
        }
    }
}
