//! Keeps the quarantined subjects in the store.

use std::sync::Arc;
use std::time::Duration;

use teaselglade_routing::crash::{CrashSubject, SubjectEvidence};
use tokio::time::sleep;
use tracing::{info, warn};

use super::QuarantineRecord;
use crate::state::HostState;

/// Interval between checks whether the quarantined subjects changed.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// What of the evidence is worth a write: the subject, the servers that ended, and the trials.
type SubjectState = (CrashSubject, Vec<u64>, u32);

/// Writes the quarantined subjects to the store when they change, while this host is the leader.
///
/// The hosts exchange them as well; only the restart of all hosts at once needs the record. Runs
/// until the task is aborted.
pub async fn keep_quarantine(host: Arc<HostState>) {
    let generations = host.ports.feeds.history_generation();
    let mut written = (0, Vec::new());
    loop {
        sleep(CHECK_INTERVAL).await;
        let now = host.now();
        let evidence = {
            let decisions = host.lock_decisions();
            if !decisions.membership.is_leader() {
                continue;
            }
            decisions.crash_ledger.quarantined(now)
        };
        // A store that returned from an older copy may have lost the record.
        let generation = if evidence.is_empty() {
            0
        } else {
            *generations.borrow()
        };
        let current = (generation, evidence.iter().map(subject_state).collect());
        if current != written && publish(&host, evidence).await {
            written = current;
        }
    }
}

fn subject_state(evidence: &SubjectEvidence) -> SubjectState {
    let ends = evidence.ends.iter().filter(|end| !end.is_refuted);
    let incarnations = ends.map(|end| end.incarnation).collect();
    (evidence.subject, incarnations, evidence.trials)
}

/// Writes the record; returns whether the store has it.
async fn publish(host: &HostState, evidence: Vec<SubjectEvidence>) -> bool {
    let subjects = evidence.len();
    let record = QuarantineRecord::new(HostState::wall_time(), evidence);
    let record = match record.encode() {
        Ok(record) => record,
        Err(error) => {
            warn!(event = "quarantine_not_written", error = %error);
            return false;
        }
    };
    let published = host.ports.feeds.publish_quarantine(record).await;
    host.record_result("publish_quarantine", &published);
    if published.is_ok() {
        info!(event = "quarantine_written", parts = subjects);
    }
    published.is_ok()
}
