//! Turns the actions of a shard's machine into calls to the log and to servers.

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
    most: u32,
    wait: Duration,
}

#[derive(Debug)]
struct WaitingCaller {
    order: Arc<PlainRequest>,
    tried: Vec<ServerKey>,
    deadline: Timestamp,
    answer: oneshot::Sender<CallResult>,
}

#[derive(Debug)]
struct DriverState {
    machine: ShardMachine,
    callers: HashMap<CallId, WaitingCaller>,
    used: Timestamp,
}

/// One shard's machine, its callers and its stream of the log.
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
            used: Timestamp::ZERO,
        };
        Self {
            stream: shard.stream(),
            state: Mutex::new(state),
        }
    }

    pub(super) fn touch(&self, now: Timestamp) {
        self.lock().used = now;
    }

    pub(super) fn is_drained(&self) -> bool {
        self.lock().machine.is_drained()
    }

    pub(super) fn can_discard(&self, now: Timestamp, limit: Duration) -> bool {
        let state = self.lock();
        state.machine.is_idle() && now.since(state.used) > limit
    }

    fn lock(&self) -> MutexGuard<'_, DriverState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Books a call that needs a claim and waits for its answer.
///
/// # Errors
///
/// Returns the refusal with its verdict where there is no answer.
pub(super) async fn book(
    host: &Arc<EntryHost>,
    call: KeyedCall,
    order: PlainRequest,
) -> PlainResult {
    let driver = host.shards.driver(ShardKey::of(&call.key), host.now());
    let booking = host.shards.new_call_id();
    let (answer, answered) = oneshot::channel();
    let caller = WaitingCaller {
        order: Arc::new(order),
        tried: Vec::new(),
        deadline: call.deadline,
        answer,
    };
    driver.lock().callers.insert(booking, caller);
    drive(
        host,
        &driver,
        ShardEvent::Submitted {
            call_id: booking,
            call,
        },
    );
    let result = answered.await.map_err(|_closed| lost_driver())?;
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
            max_records: most,
            wait,
        } => {
            tokio::spawn(read(host, driver, LogQuery { from, most, wait }));
        }
        ShardAction::Append { body } => {
            tokio::spawn(append(host, driver, body));
        }
        ShardAction::Dispatch {
            call_id: booking,
            attempt,
        } => {
            tokio::spawn(dispatch(host, driver, booking, attempt));
        }
        ShardAction::WakeAt(at) => {
            tokio::spawn(async move {
                sleep(at.since(host.now())).await;
                drive(&host, &driver, ShardEvent::Woken);
            });
        }
        ShardAction::Answer {
            call_id: booking,
            result,
        } => {
            if let Some(caller) = driver.lock().callers.remove(&booking) {
                // A caller that went away needs no answer; the outcome is in the log.
                let _gone = caller.answer.send(result);
            }
        }
    }
}

async fn read(host: Arc<EntryHost>, driver: Arc<ShardDriver>, query: LogQuery) {
    let log = &host.ports.log;
    let LogQuery { from, most, wait } = query;
    let result = log.read(&driver.stream, from, most, wait).await;
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

async fn dispatch(host: Arc<EntryHost>, driver: Arc<ShardDriver>, booking: CallId, attempt: u32) {
    let caller = driver.lock().callers.get(&booking).map(|caller| {
        let order = Arc::clone(&caller.order);
        (order, caller.tried.clone(), caller.deadline)
    });
    let Some((order, mut tried, deadline)) = caller else {
        return;
    };
    let result = run_attempt(&host, &order, attempt, &mut tried).await;
    if let Some(caller) = driver.lock().callers.get_mut(&booking) {
        caller.tried = tried;
    }
    let may_retry = match &result {
        Ok(_) => false,
        Err(error) => wait_for_retry(&host, &order, error, deadline, attempt).await,
    };
    let event = ShardEvent::Attempted {
        call_id: booking,
        result,
        may_retry,
    };
    drive(&host, &driver, event);
}

/// Waits for the delay of a permitted retry; a call that may have run gets none.
async fn wait_for_retry(
    host: &EntryHost,
    order: &PlainRequest,
    error: &AttemptError,
    deadline: Timestamp,
    attempt: u32,
) -> bool {
    if ExecutionVerdict::after_attempt(error.progress) != ExecutionVerdict::NotRun {
        return false;
    }
    let mut permit = ServicePermit::new(&host.budgets, &order.row.name);
    match permit.request_retry(host.now(), deadline, attempt) {
        PermitDecision::Granted { delay } => {
            sleep(delay).await;
            true
        }
        PermitDecision::Denied { .. } => false,
    }
}

/// Claim ids must never meet, so the seed comes from the operating system.
fn random_seed() -> [u8; 32] {
    let mut seed = [0; 32];
    seed[..16].copy_from_slice(Uuid::now_v7().as_bytes());
    seed[16..].copy_from_slice(Uuid::now_v7().as_bytes());
    seed
}

fn lost_driver() -> RequestRefusal {
    let verdict = ExecutionVerdict::MayHaveRun;
    RequestRefusal::with_verdict(verdict, RefusalReason::Internal, "the booking was lost")
}
