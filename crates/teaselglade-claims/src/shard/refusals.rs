//! Refusals and replayed responses of keyed calls.

use std::time::Duration;

use teaselglade_core::verdict::{ExecutionVerdict, RefusalReason, RequestRefusal};

use crate::call::{CallAnswer, CallResult, KeyedCall};
use crate::key::{KeyError, RequestDigest};
use crate::record::ClaimOutcome;

/// Returns the verdict on a call that was not dispatched under its key by this host.
///
/// A retry may have run through an earlier call that this host cannot see.
pub(super) const fn unclaimed_verdict(call: &KeyedCall) -> ExecutionVerdict {
    if call.is_retry {
        ExecutionVerdict::MayHaveRun
    } else {
        ExecutionVerdict::NotRun
    }
}

pub(super) fn log_unavailable(call: &KeyedCall, retry_after: Duration) -> RequestRefusal {
    let detail = "the call needs a claim in the log";
    let verdict = unclaimed_verdict(call);
    RequestRefusal::with_verdict(verdict, RefusalReason::LogUnavailable, detail)
        .retry_after(retry_after)
}

/// Returns the refusal of a call whose key is outside its window.
pub(super) fn invalid_key(call: &KeyedCall, error: &KeyError) -> RequestRefusal {
    let mut refusal = error.refusal();
    refusal.verdict = refusal.verdict.and(unclaimed_verdict(call));
    refusal
}

pub(super) fn unsettled(retry_after: Duration) -> RequestRefusal {
    let detail = "an earlier call with this key is not settled; ask again with the same key";
    let verdict = ExecutionVerdict::MayHaveRun;
    RequestRefusal::with_verdict(verdict, RefusalReason::DeadlineExceeded, detail)
        .retry_after(retry_after)
}

pub(super) fn key_reused() -> RequestRefusal {
    let detail = "use a new key for a new request";
    RequestRefusal::not_run(RefusalReason::KeyReused, detail)
}

pub(super) fn attempt_failed(verdict: ExecutionVerdict, detail: String) -> RequestRefusal {
    RequestRefusal::with_verdict(verdict, RefusalReason::AttemptFailed, detail)
}

/// Returns the response to a call whose key is already settled.
pub(super) fn replay(
    call: &KeyedCall,
    digest: RequestDigest,
    outcome: &ClaimOutcome,
) -> CallResult {
    if call.digest != digest {
        return Err(key_reused());
    }
    match outcome {
        ClaimOutcome::Answered(answer) => Ok(CallAnswer {
            status: answer.status,
            headers: answer.headers.clone(),
            body: answer.body.clone(),
            replayed: true,
        }),
        ClaimOutcome::Ran { status } => Err(RequestRefusal::with_verdict(
            outcome.verdict(),
            RefusalReason::TooLarge,
            format!("the call ran with status {status}; its answer was too large to keep"),
        )),
        ClaimOutcome::MayHaveRun | ClaimOutcome::NotRun => Err(attempt_failed(
            ExecutionVerdict::MayHaveRun,
            "an earlier call with this key failed on its way".to_owned(),
        )),
    }
}
