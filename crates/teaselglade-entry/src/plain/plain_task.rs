//! Carries one call to a plain server to its answer.

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

/// Result of one call.
pub(super) type PlainResult = Result<PlainAnswer, RequestRefusal>;

/// Carries a call to its answer, with a claim where the call needs one.
///
/// # Errors
///
/// Returns the refusal with its verdict where there is no answer.
pub(crate) async fn run_plain_call(host: &Arc<EntryHost>, order: PlainRequest) -> PlainResult {
    let key = order.claim_key().map_err(|error| error.refusal())?;
    host.budgets
        .with_budget(&order.row.name, RetryBudget::record_first_attempt);
    let Some(key) = key else {
        return run_unclaimed(host, &order).await;
    };
    let call = KeyedCall {
        key,
        digest: order.digest(),
        is_retry: order.repeated,
        deadline: order.deadline,
    };
    super::shard_driver::book(host, call, order).await
}

/// Sends one attempt to a server that was not tried before.
pub(super) async fn run_attempt(
    host: &EntryHost,
    order: &PlainRequest,
    number: u32,
    tried: &mut Vec<ServerKey>,
) -> Result<PlainAnswer, AttemptError> {
    let Some(server) = host.choose_server(&order.row, tried) else {
        let detail = format!("no server of {} is left to try", order.row.name);
        return Err(AttemptError::new(SendProgress::NotSent, detail));
    };
    tried.push(server.key);
    let result = host
        .ports
        .backend
        .call(server.address, order.attempt(number))
        .await;
    host.release_server(server.key);
    if result.is_err() {
        host.metrics.failed_attempts.inc();
    }
    result
}

async fn run_unclaimed(host: &EntryHost, order: &PlainRequest) -> PlainResult {
    let mut machine = PlainMachine::new(order.repeat(), order.deadline);
    let mut permit = ServicePermit::new(&host.budgets, &order.row.name);
    let mut tried = Vec::new();
    let mut event = PlainEvent::Started;
    loop {
        let actions = machine.on_event(host.now(), event, &mut permit);
        event = PlainEvent::Woken;
        for action in actions {
            match action {
                PlainAction::Dispatch { attempt } => {
                    let result = run_attempt(host, order, attempt, &mut tried).await;
                    event = PlainEvent::Attempted(result);
                }
                PlainAction::WakeAt(at) => sleep(at.since(host.now())).await,
                PlainAction::Answer(result) => return result,
            }
        }
    }
}
