//! Keyed calls while entry hosts are killed or frozen and the log fails.

use std::net::SocketAddr;
use std::time::Duration;

use teaselglade_claims::key::{ScopedKey, ShardKey};
use teaselglade_net::client::{HttpRequest, HttpResponse};
use teaselglade_standins::fleet::FleetPlan;
use teaselglade_standins::plain::ExecutionCounts;
use teaselglade_wire::codec::from_json;
use teaselglade_wire::{ErrorBody, LogEntries, Verdict};
use tokio::time::sleep;

use super::harness::TestFleet;

const ENTRIES: usize = 3;
pub const ORGANISATION: &str = "halloran-galway";
pub const SERVICE: &str = "ticket-desk";
const CALL_TIMEOUT: Duration = Duration::from_secs(8);
const MAX_CALLS: usize = 30;

/// Result of one call, as its caller saw it.
#[derive(Debug, Clone, PartialEq, Eq)]
enum CallOutcome {
    Succeeded,
    Refused(Verdict),
    NoResponse,
}

pub fn new_key() -> String {
    uuid::Uuid::now_v7().to_string()
}

async fn send_keyed_call(
    fleet: &TestFleet,
    entry: usize,
    key: &str,
    is_retry: bool,
) -> CallOutcome {
    let entry = fleet.callers()[entry];
    let path = format!("/v1/services/{SERVICE}/call/book");
    let mut request = HttpRequest::post(entry, path, "deposit")
        .header("x-organisation", ORGANISATION)
        .header("idempotency-key", key)
        .head_timeout(CALL_TIMEOUT);
    if !is_retry {
        request = request.header("x-idempotent-first", "true");
    }
    let response = fleet.http.call(request).await;
    response.map_or(CallOutcome::NoResponse, |response| call_outcome(&response))
}

fn call_outcome(response: &HttpResponse) -> CallOutcome {
    if response.is_success() {
        return CallOutcome::Succeeded;
    }
    let body = from_json::<ErrorBody>(&response.body).expect("an error body");
    CallOutcome::Refused(body.verdict)
}

async fn plain_server(fleet: &TestFleet) -> SocketAddr {
    let servers = fleet.servers(SERVICE).await;
    servers[0].address.parse().expect("an address")
}

/// Returns how often the plain servers ran the call with a key, by their own count.
pub async fn executions(fleet: &TestFleet, key: &str) -> u32 {
    let server = plain_server(fleet).await;
    let response = fleet.call(HttpRequest::get(server, "/executions")).await;
    let counts = from_json::<ExecutionCounts>(&response.body).expect("counts");
    counts.keyed.get(key).copied().unwrap_or(0)
}

/// Waits until the log holds a claim of a key.
async fn wait_for_claim(fleet: &TestFleet, key: &str) {
    let key = key.parse().expect("a key");
    let shard = ShardKey::of(&ScopedKey::new(ORGANISATION, SERVICE, key));
    let stream = shard.stream();
    let path = format!("/streams/{}/records?from=0&wait_ms=8000", stream.as_str());
    let request = HttpRequest::get(fleet.platform.log, path).head_timeout(CALL_TIMEOUT);
    let response = fleet.call(request).await;
    let entries = from_json::<LogEntries>(&response.body).expect("records");
    assert!(!entries.records.is_empty(), "the log holds no claim");
}

async fn delay_servers(fleet: &TestFleet, millis: u64) {
    for server in fleet.servers(SERVICE).await {
        let address = server.address.parse().expect("an address");
        let faults = format!("{{\"slow_ms\":{millis}}}");
        fleet.set_faults(address, &faults).await;
    }
}

/// Retries a call at the given hosts in turn until it succeeds; checks every `not_run` verdict.
async fn retry_until_success(fleet: &TestFleet, entries: &[usize], key: &str, mut is_retry: bool) {
    for entry in entries.iter().cycle().take(MAX_CALLS) {
        let outcome = send_keyed_call(fleet, *entry, key, is_retry).await;
        match outcome {
            CallOutcome::Succeeded => return,
            CallOutcome::Refused(Verdict::NotRun) => assert_eq!(executions(fleet, key).await, 0),
            CallOutcome::Refused(_) | CallOutcome::NoResponse => is_retry = true,
        }
        sleep(Duration::from_millis(500)).await;
    }
    panic!("no success after {MAX_CALLS} calls");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_keyed_call_whose_host_is_killed_never_runs_again() {
    let mut fleet = TestFleet::start(FleetPlan::corrib(), ENTRIES).await;
    delay_servers(&fleet, 3_000).await;
    let key = new_key();
    let kill = async {
        wait_for_claim(&fleet, &key).await;
        fleet.entries[0].process.signal("KILL");
    };
    let (first, ()) = tokio::join!(send_keyed_call(&fleet, 0, &key, false), kill);
    assert_eq!(first, CallOutcome::NoResponse);
    fleet.entries[0].process.kill();
    delay_servers(&fleet, 0).await;
    for entry in [1, 2] {
        let second = send_keyed_call(&fleet, entry, &key, true).await;
        assert_eq!(second, CallOutcome::Refused(Verdict::MayHaveRun));
    }
    assert!(executions(&fleet, &key).await <= 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_claiming_host_that_resumes_late_causes_no_second_run() {
    let fleet = TestFleet::start(FleetPlan::corrib(), ENTRIES).await;
    let key = new_key();
    fleet
        .set_faults(fleet.platform.log, "{\"slow_ms\":400}")
        .await;
    let freeze_and_retry = async {
        // The first read takes 400 ms; the append of the claim takes another 400 ms.
        sleep(Duration::from_millis(600)).await;
        fleet.entries[0].process.signal("STOP");
        sleep(Duration::from_millis(400)).await;
        fleet.set_faults(fleet.platform.log, "{}").await;
        let second = send_keyed_call(&fleet, 1, &key, true).await;
        fleet.entries[0].process.signal("CONT");
        second
    };
    let (first, second) = tokio::join!(send_keyed_call(&fleet, 0, &key, false), freeze_and_retry);
    assert_ne!(second, CallOutcome::Refused(Verdict::NotRun));
    let success_count = [first, second]
        .iter()
        .filter(|outcome| **outcome == CallOutcome::Succeeded)
        .count();
    assert!(executions(&fleet, &key).await as usize >= success_count.min(1));
    retry_until_success(&fleet, &[2, 1], &key, true).await;
    assert_eq!(executions(&fleet, &key).await, 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_keyed_call_is_refused_during_a_log_outage_and_runs_later() {
    let fleet = TestFleet::start(FleetPlan::corrib(), ENTRIES).await;
    let key = new_key();
    fleet
        .set_faults(fleet.platform.log, "{\"down\":true}")
        .await;
    for entry in 0..ENTRIES {
        let outcome = send_keyed_call(&fleet, entry, &key, false).await;
        assert_eq!(outcome, CallOutcome::Refused(Verdict::NotRun));
        let outcome = send_keyed_call(&fleet, entry, &key, true).await;
        assert_eq!(outcome, CallOutcome::Refused(Verdict::MayHaveRun));
    }
    fleet.set_faults(fleet.platform.log, "{}").await;
    assert_eq!(executions(&fleet, &key).await, 0);
    retry_until_success(&fleet, &[0, 1, 2], &key, false).await;
    retry_until_success(&fleet, &[1, 2], &key, true).await;
    assert_eq!(executions(&fleet, &key).await, 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_key_that_ran_never_gets_the_verdict_not_run_during_a_log_outage() {
    let fleet = TestFleet::start(FleetPlan::corrib(), ENTRIES).await;
    let key = new_key();
    assert_eq!(
        send_keyed_call(&fleet, 0, &key, false).await,
        CallOutcome::Succeeded
    );
    fleet
        .set_faults(fleet.platform.log, "{\"down\":true}")
        .await;
    for entry in 1..ENTRIES {
        // The caller retries with the same key and does not mark the call as the first.
        let outcome = send_keyed_call(&fleet, entry, &key, true).await;
        assert_eq!(outcome, CallOutcome::Refused(Verdict::MayHaveRun));
    }
    fleet.set_faults(fleet.platform.log, "{}").await;
    retry_until_success(&fleet, &[1, 2], &key, true).await;
    assert_eq!(executions(&fleet, &key).await, 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn lost_log_responses_lead_to_one_run() {
    let fleet = TestFleet::start(FleetPlan::corrib(), ENTRIES).await;
    for late_effect in [0, 700] {
        for lost_responses in 1..=3 {
            let key = new_key();
            fleet
                .set_faults(fleet.platform.log, "{\"slow_ms\":200}")
                .await;
            let lose_responses = async {
                // The first read is in progress; the append and the next read lose their responses.
                sleep(Duration::from_millis(100)).await;
                let faults = format!(
                    "{{\"slow_ms\":200,\"lose_answers\":{lost_responses},\"late_effect_ms\":{late_effect}}}"
                );
                fleet.set_faults(fleet.platform.log, &faults).await;
            };
            let call = retry_until_success(&fleet, &[0, 1, 2], &key, false);
            tokio::join!(call, lose_responses);
            assert_eq!(executions(&fleet, &key).await, 1);
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_graceful_stop_completes_a_keyed_call_and_keeps_its_outcome() {
    let mut fleet = TestFleet::start(FleetPlan::corrib(), ENTRIES).await;
    delay_servers(&fleet, 1_500).await;
    let key = new_key();
    let stop = async {
        wait_for_claim(&fleet, &key).await;
        for _ in 0..3 {
            fleet.entries[0].process.signal("TERM");
        }
    };
    let (first, ()) = tokio::join!(send_keyed_call(&fleet, 0, &key, false), stop);
    assert_eq!(first, CallOutcome::Succeeded);
    assert!(
        fleet.entries[0].process.wait(),
        "the daemon exits successfully"
    );
    delay_servers(&fleet, 0).await;
    assert_eq!(
        send_keyed_call(&fleet, 1, &key, true).await,
        CallOutcome::Succeeded
    );
    assert_eq!(executions(&fleet, &key).await, 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn keyed_calls_continue_when_open_connections_stop_responding() {
    let fleet = TestFleet::start(FleetPlan::corrib(), 1).await;
    let warm_up = (0..8).map(|_| async {
        let key = new_key();
        assert_eq!(
            send_keyed_call(&fleet, 0, &key, false).await,
            CallOutcome::Succeeded
        );
    });
    futures::future::join_all(warm_up).await;
    fleet
        .set_faults(fleet.platform.log, "{\"silence\":true}")
        .await;
    for server in fleet.servers(SERVICE).await {
        let address = server.address.parse().expect("an address");
        fleet.set_faults(address, "{\"silence\":true}").await;
    }
    let mut failed_calls = 0;
    for _ in 0..8 {
        let key = new_key();
        let outcome = send_keyed_call(&fleet, 0, &key, false).await;
        let runs = executions(&fleet, &key).await;
        assert_eq!(
            runs,
            u32::from(outcome == CallOutcome::Succeeded),
            "{outcome:?}"
        );
        failed_calls += u32::from(outcome != CallOutcome::Succeeded);
    }
    // One call detects the dead connection to the log, and one the dead connections to the servers.
    assert!(failed_calls <= 2, "{failed_calls} of 8 keyed calls failed");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_server_that_takes_longer_than_five_seconds_answers_a_caller_that_waits() {
    let fleet = TestFleet::start(FleetPlan::corrib(), 1).await;
    delay_servers(&fleet, 6_000).await;
    let path = format!("/v1/services/{SERVICE}/call/book");
    let request = HttpRequest::post(fleet.callers()[0], path, "deposit")
        .header("x-organisation", ORGANISATION)
        .header("idempotency-key", new_key())
        .header("x-idempotent-first", "true")
        .header("x-deadline-ms", "30000")
        .head_timeout(Duration::from_secs(30));
    let response = fleet.http.call(request).await.expect("a response");
    assert_eq!(call_outcome(&response), CallOutcome::Succeeded);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_patient_call_on_a_dead_connection_delays_others_for_five_seconds_at_most() {
    let fleet = TestFleet::start(FleetPlan::corrib(), 1).await;
    let warm_up = (0..8).map(|_| async {
        let key = new_key();
        assert_eq!(
            send_keyed_call(&fleet, 0, &key, false).await,
            CallOutcome::Succeeded
        );
    });
    futures::future::join_all(warm_up).await;
    for server in fleet.servers(SERVICE).await {
        let address = server.address.parse().expect("an address");
        fleet.set_faults(address, "{\"silence\":true}").await;
    }
    let path = format!("/v1/services/{SERVICE}/call/book");
    let patient = HttpRequest::post(fleet.callers()[0], path, "deposit")
        .header("x-organisation", ORGANISATION)
        .header("idempotency-key", new_key())
        .header("x-idempotent-first", "true")
        .header("x-deadline-ms", "12000")
        .head_timeout(Duration::from_secs(14));
    let others = async {
        tokio::time::sleep(Duration::from_millis(5_500)).await;
        for _ in 0..8 {
            let started_at = std::time::Instant::now();
            let outcome = send_keyed_call(&fleet, 0, &new_key(), false).await;
            assert_eq!(outcome, CallOutcome::Succeeded);
            assert!(started_at.elapsed() < Duration::from_secs(2));
        }
    };
    let (patient, ()) = tokio::join!(fleet.http.call(patient), others);
    // Its server may have run it, or not have read it; the caller is told that nothing is known.
    assert!(!patient.expect("a response").is_success());
}
