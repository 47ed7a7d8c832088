//! Runs calls to plain servers.

use std::sync::Arc;

use teaselglade_claims::call::KeyedCall;
use teaselglade_claims::plain::{PlainAction, PlainEvent, PlainMachine};
use teaselglade_core::id::ServerKey;
use teaselglade_core::port::{AttemptError, PlainAnswer};
use teaselglade_core::verdict::{RequestRefusal, SendProgress};
use teaselglade_request::retry::RetryBudget;
use tokio::time::sleep;

use super::PlainRequest;
use super::service_permit::ServicePermit;
use crate::host::EntryHost;

/// Result of a call.
pub(super) type PlainResult = Result<PlainAnswer, RequestRefusal>;

/// Runs a call until it has a response or is refused.
///
/// A call that needs a claim runs under one.
///
/// # Errors
///
/// Returns a refusal with its verdict if there is no response.
pub(crate) async fn run_plain_call(host: &Arc<EntryHost>, request: PlainRequest) -> PlainResult {
    let key = request.claim_key().map_err(|error| error.refusal())?;
    host.retry_budgets
        .with_budget(&request.row.name, RetryBudget::record_first_attempt);
    let Some(key) = key else {
        return run_unclaimed(host, &request).await;
    };
    let call = KeyedCall {
        key,
        digest: request.digest(),
        is_retry: request.is_retry,
        deadline: request.deadline,
    };
    super::shard_driver::submit_call(host, call, request).await
}

/// Sends one attempt to an untried server and adds the server to `tried`.
pub(super) async fn run_attempt(
    host: &EntryHost,
    request: &PlainRequest,
    number: u32,
    tried: &mut Vec<ServerKey>,
) -> Result<PlainAnswer, AttemptError> {
    let Some(server) = host.choose_server(&request.row, tried) else {
        let detail = format!("no server of {} is left to try", request.row.name);
        return Err(AttemptError::new(SendProgress::NotSent, detail));
    };
    tried.push(server.key);
    let result = host
        .ports
        .backend
        .call(server.address, request.attempt(host.now(), number))
        .await;
    host.release_server(server.key);
    if result.is_err() {
        host.metrics.failed_attempts.inc();
    }
    result
}

async fn run_unclaimed(host: &EntryHost, request: &PlainRequest) -> PlainResult {
    let mut machine = PlainMachine::new(request.retry_safety(), request.deadline);
    let mut permit = ServicePermit::new(&host.retry_budgets, &request.row.name);
    let mut tried = Vec::new();
    let mut event = PlainEvent::Started;
    loop {
        let actions = machine.on_event(host.now(), event, &mut permit);
        event = PlainEvent::Woken;
        for action in actions {
            match action {
                PlainAction::Dispatch { attempt } => {
                    let result = run_attempt(host, request, attempt, &mut tried).await;
                    event = PlainEvent::Attempted(result);
                }
                PlainAction::WakeAt(at) => sleep(at.since(host.now())).await,
                PlainAction::Answer(result) => return result,
            }
        }
    }
}
