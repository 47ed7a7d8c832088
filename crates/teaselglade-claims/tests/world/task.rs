//! What is due at some time.

use std::time::Duration;

use bytes::Bytes;
use teaselglade_claims::shard::{ShardAction, ShardEvent};

use super::{AppendFate, CallPlan};

/// One run of one host; what was meant for an earlier run is lost.
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
    Append(HostRun, Bytes, AppendFate),
    Land(Bytes),
    Read(HostRun, LogQuery),
    EndPoll(HostRun),
    Execute(u64),
    Crash(usize),
    Pause(usize),
    /// A pause in which the host's clock stands still as well.
    Suspend(usize),
    Resume(usize),
    LogOut(bool),
}
