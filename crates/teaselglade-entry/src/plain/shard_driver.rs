//! Driver of one claim shard, which performs its machine's actions on log and servers.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use teaselglade_claims::call::{CallId, CallResult, KeyedCall};
use teaselglade_claims::key::ShardKey;
use teaselglade_claims::plain::{PermitDecision, RetryPermit};
use teaselglade_claims::shard::{ClaimOptions, ShardAction, ShardEvent, ShardMachine};
use teaselglade_core::id::ServerKey;
use teaselglade_core::port::{AttemptError, PlainAnswer, StreamName};
use teaselglade_core::time::Timestamp;
use teaselglade_core::verdict::{ExecutionVerdict, RefusalReason, RequestRefusal};
use tokio::sync::oneshot;
use tokio::time::sleep;
use uuid::Uuid;

use super::PlainRequest;
use super::plain_task::{PlainResult, run_attempt};
use super::service_permit::ServicePermit;
use crate::host::EntryHost;

const REPLAYED_HEADER: &str = "x-idempotent-replayed";

#[derive(Debug, Clone, Copy)]
struct LogQuery {
    from: u64,
    max_records: u32,
    wait: Duration,
}

#[derive(Debug)]
struct PendingCaller {
    request: Arc<PlainRequest>,
    tried: Vec<ServerKey>,
    deadline: Timestamp,
    sender: oneshot::Sender<CallResult>,
}

#[derive(Debug)]
struct DriverState {
    machine: ShardMachine,
    callers: HashMap<CallId, PendingCaller>,
    last_used: Timestamp,
}

/// Holds a shard's machine, its pending callers and the name of its log stream.
#[derive(Debug)]
pub(super) struct ShardDriver {
    stream: StreamName,
    state: Mutex<DriverState>,
}

impl ShardDriver {
    pub(super) fn new(shard: ShardKey) -> Self {
        let state = DriverState {
            machine: ShardMachine::new(ClaimOptions::default(), random_seed()),
            callers: HashMap::new(),
            last_used: Timestamp::ZERO,
        };
        Self {
            stream: shard.stream(),
            state: Mutex::new(state),
        }
    }

    pub(super) fn touch(&self, now: Timestamp) {
        self.lock().last_used = now;
    }

    pub(super) fn is_drained(&self) -> bool {
        self.lock().machine.is_drained()
    }

    pub(super) fn can_discard(&self, now: Timestamp, limit: Duration) -> bool {
        let state = self.lock();
        state.machine.is_idle() && now.since(state.last_used) > limit
    }

    fn lock(&self) -> MutexGuard<'_, DriverState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Submits a call that needs a claim and waits for its outcome.
///
/// # Errors
///
/// Returns a refusal with its verdict if there is no response.
pub(super) async fn submit_call(
    host: &Arc<EntryHost>,
    call: KeyedCall,
    request: PlainRequest,
) -> PlainResult {
    let driver = host.shards.driver(ShardKey::of(&call.key), host.now());
    let call_id = host.shards.new_call_id();
    let (sender, receiver) = oneshot::channel();
    let caller = PendingCaller {
        request: Arc::new(request),
        tried: Vec::new(),
        deadline: call.deadline,
        sender,
    };
    driver.lock().callers.insert(call_id, caller);
    drive(host, &driver, ShardEvent::Submitted { call_id, call });
    let result = receiver.await.map_err(|_closed| lost_call_refusal())?;
    result.map(|answer| {
        let mut headers = answer.headers;
        if answer.replayed {
            headers.push((REPLAYED_HEADER.to_owned(), "true".to_owned()));
        }
        PlainAnswer {
            status: answer.status,
            headers,
            body: answer.body,
        }
    })
}

fn drive(host: &Arc<EntryHost>, driver: &Arc<ShardDriver>, event: ShardEvent) {
    let actions = driver.lock().machine.on_event(host.now(), event);
    for action in actions {
        perform_action(host, driver, action);
    }
}

fn perform_action(host: &Arc<EntryHost>, driver: &Arc<ShardDriver>, action: ShardAction) {
    let (host, driver) = (Arc::clone(host), Arc::clone(driver));
    match action {
        ShardAction::Read {
            from,
            max_records,
            wait,
        } => {
            tokio::spawn(read(
                host,
                driver,
                LogQuery {
                    from,
                    max_records,
                    wait,
                },
            ));
        }
        ShardAction::Append { body } => {
            tokio::spawn(append(host, driver, body));
        }
        ShardAction::Dispatch { call_id, attempt } => {
            tokio::spawn(dispatch(host, driver, call_id, attempt));
        }
        ShardAction::WakeAt(at) => {
            tokio::spawn(async move {
                sleep(at.since(host.now())).await;
                drive(&host, &driver, ShardEvent::Woken);
            });
        }
        ShardAction::Answer { call_id, result } => {
            if let Some(caller) = driver.lock().callers.remove(&call_id) {
                // A caller that disconnected needs no response; the outcome is in the log.
                let _disconnected = caller.sender.send(result);
            }
        }
    }
}

async fn read(host: Arc<EntryHost>, driver: Arc<ShardDriver>, query: LogQuery) {
    let log = &host.ports.log;
    let LogQuery {
        from,
        max_records,
        wait,
    } = query;
    let result = log.read(&driver.stream, from, max_records, wait).await;
    if result.is_err() {
        host.metrics.log_failures.inc();
    }
    drive(&host, &driver, ShardEvent::Read(result));
}

async fn append(host: Arc<EntryHost>, driver: Arc<ShardDriver>, body: Bytes) {
    let result = host.ports.log.append(&driver.stream, body).await;
    if result.is_err() {
        host.metrics.log_failures.inc();
    }
    drive(&host, &driver, ShardEvent::Appended(result));
}

async fn dispatch(host: Arc<EntryHost>, driver: Arc<ShardDriver>, call_id: CallId, attempt: u32) {
    let caller = driver.lock().callers.get(&call_id).map(|caller| {
        let request = Arc::clone(&caller.request);
        (request, caller.tried.clone(), caller.deadline)
    });
    let Some((request, mut tried, deadline)) = caller else {
        return;
    };
    let result = run_attempt(&host, &request, attempt, &mut tried).await;
    if let Some(caller) = driver.lock().callers.get_mut(&call_id) {
        caller.tried = tried;
    }
    let may_retry = match &result {
        Ok(_) => false,
        Err(error) => wait_for_retry(&host, &request, error, deadline, attempt).await,
    };
    let event = ShardEvent::Attempted {
        call_id,
        result,
        may_retry,
    };
    drive(&host, &driver, event);
}

/// Requests a retry and waits for its delay; returns whether the call may be retried.
///
/// A call that may have run is not retried.
async fn wait_for_retry(
    host: &EntryHost,
    request: &PlainRequest,
    error: &AttemptError,
    deadline: Timestamp,
    attempt: u32,
) -> bool {
    if ExecutionVerdict::after_attempt(error.progress) != ExecutionVerdict::NotRun {
        return false;
    }
    let mut permit = ServicePermit::new(&host.retry_budgets, &request.row.name);
    match permit.request_retry(host.now(), deadline, attempt) {
        PermitDecision::Granted { delay } => {
            sleep(delay).await;
            true
        }
        PermitDecision::Denied { .. } => false,
    }
}

/// Returns a seed from the operating system, since claim ids must be unique across hosts.
fn random_seed() -> [u8; 32] {
    let mut seed = [0; 32];
    seed[..16].copy_from_slice(Uuid::now_v7().as_bytes());
    seed[16..].copy_from_slice(Uuid::now_v7().as_bytes());
    seed
}

fn lost_call_refusal() -> RequestRefusal {
    let verdict = ExecutionVerdict::MayHaveRun;
    RequestRefusal::with_verdict(verdict, RefusalReason::Internal, "the booking was lost")
}
