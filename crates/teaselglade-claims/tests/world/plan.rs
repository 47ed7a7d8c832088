//! What a run is made of.

use std::time::Duration;

/// What becomes of one append.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AppendFate {
    Lands,
    LandsAnswerLost,
    LandsLate(Duration),
    NeverLandsAnswerLost,
    Refused,
}

/// What becomes of one attempt at the plain server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptFate {
    Runs(Duration),
    RunsAnswerLost,
    LostBeforeServer,
    NotSent,
    RefusedByServer,
}

/// Chances of faults, each from 0 to 1.
#[derive(Debug, Clone, Copy, Default)]
pub struct FaultChances {
    pub append: f64,
    pub read: f64,
    pub attempt: f64,
    pub hedge: f64,
}

/// One caller with one key.
#[derive(Debug, Clone, Copy)]
pub struct CallPlan {
    pub key: u32,
    pub host: usize,
    pub calls: u32,
    pub body: u32,
}
