//! Planned calls and injected faults of a run.

use std::time::Duration;

/// Outcome of one append to the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AppendOutcome {
    Written,
    WrittenResponseLost,
    WrittenLate(Duration),
    NotWrittenResponseLost,
    Refused,
}

/// Outcome of one attempt at the plain server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptOutcome {
    Runs(Duration),
    RunsResponseLost,
    LostBeforeServer,
    NotSent,
    RefusedByServer,
}

/// Probabilities of faults, each from 0 to 1.
#[derive(Debug, Clone, Copy, Default)]
pub struct FaultProbabilities {
    pub append: f64,
    pub read: f64,
    pub attempt: f64,
    pub hedge: f64,
}

/// Calls that one caller sends with one key.
#[derive(Debug, Clone, Copy)]
pub struct CallPlan {
    pub key: u32,
    pub host: usize,
    pub calls: u32,
    pub body: u32,
}
