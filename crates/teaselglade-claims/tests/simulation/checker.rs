//! Checks the at-most-once guarantees against the observed calls and executions.

use std::collections::BTreeMap;

use teaselglade_core::time::Timestamp;
use teaselglade_core::verdict::{ExecutionVerdict, RefusalReason};

use super::CallRecord;

/// Returns every breach of an at-most-once guarantee.
pub fn check(calls: &[CallRecord]) -> Vec<String> {
    let mut by_key = BTreeMap::<u32, Vec<&CallRecord>>::new();
    for call in calls {
        by_key.entry(call.plan.key).or_default().push(call);
    }
    let breaches = by_key
        .into_iter()
        .flat_map(|(key, calls)| check_key(key, &calls));
    breaches.collect()
}

fn check_key(key: u32, calls: &[&CallRecord]) -> Vec<String> {
    let mut breaches = Vec::new();
    let executions = calls.iter().map(|call| call.executed.len()).sum::<usize>();
    if executions > 1 {
        breaches.push(format!("key {key} ran {executions} times"));
    }
    for call in calls {
        match &call.answered {
            Some((_, Ok(answer))) if answer.body != format!("ticket for key {key}") => {
                breaches.push(format!("key {key} got {:?}", answer.body));
            }
            Some((_, Ok(_))) if executions == 0 => {
                breaches.push(format!("key {key} was answered, but never ran"));
            }
            Some((at, Err(refusal))) if refusal.verdict == ExecutionVerdict::NotRun => {
                let reused = refusal.reason == RefusalReason::KeyReused;
                if !call.executed.is_empty() {
                    breaches.push(format!("key {key} ran by a call answered `not run`"));
                }
                if !reused && ran_earlier(call, *at, calls) {
                    breaches.push(format!("key {key} had run when a call said `not run`"));
                }
            }
            _ => {}
        }
    }
    breaches
}

/// Returns whether a call sent before this one ran by the time of its answer.
fn ran_earlier(call: &CallRecord, at: Timestamp, calls: &[&CallRecord]) -> bool {
    let earlier = calls.iter().filter(|other| other.sent < call.sent);
    earlier
        .flat_map(|other| &other.executed)
        .any(|ran| *ran <= at)
}
