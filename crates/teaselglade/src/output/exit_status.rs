//! Exit codes of the tool.

use std::process::ExitCode;

/// Exit codes of the tool.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExitStatus {
    /// 0: done.
    Done,
    /// 1: the call failed, for instance because the log cannot be reached.
    Failed,
    /// 2: the command line, the settings or the table is faulty.
    Faulty,
    /// 3: the log decided against the publication.
    Rejected,
    /// 4: whether the publication is accepted is not known yet.
    Unresolved,
    /// 5: a promise did not hold in the demo.
    Broken,
}

impl From<ExitStatus> for ExitCode {
    fn from(status: ExitStatus) -> Self {
        match status {
            ExitStatus::Done => Self::SUCCESS,
            ExitStatus::Failed => Self::FAILURE,
            ExitStatus::Faulty => Self::from(2),
            ExitStatus::Rejected => Self::from(3),
            ExitStatus::Unresolved => Self::from(4),
            ExitStatus::Broken => Self::from(5),
        }
    }
}
