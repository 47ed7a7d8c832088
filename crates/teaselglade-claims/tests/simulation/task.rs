//! Scheduled tasks of the simulation.

use std::time::Duration;

use bytes::Bytes;
use teaselglade_claims::shard::{ShardAction, ShardEvent};

use super::{AppendOutcome, CallPlan};

/// Process run of a host; tasks for an earlier run are dropped.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HostRun {
    pub host: usize,
    pub run: u32,
}

/// One read of the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LogQuery {
    pub from: u64,
    pub max_records: u32,
    pub wait: Duration,
}

#[derive(Debug, Clone)]
pub enum Task {
    Send(CallPlan),
    CallerTimeout(u64),
    Deliver(HostRun, ShardEvent),
    Perform(HostRun, ShardAction),
    Append(HostRun, Bytes, AppendOutcome),
    Write(Bytes),
    Read(HostRun, LogQuery),
    EndPoll(HostRun),
    Execute(u64),
    Crash(usize),
    Pause(usize),
    /// A pause during which the host's clock stops as well.
    Suspend(usize),
    Resume(usize),
    LogOutage(bool),
}
