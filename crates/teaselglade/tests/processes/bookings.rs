//! Bookings while entry hosts die or sleep and the log fails.

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
const ORGANISATION: &str = "halloran-galway";
const SERVICE: &str = "ticket-desk";
const PATIENCE: Duration = Duration::from_secs(8);
const MAX_CALLS: usize = 30;

/// What a caller learned of one call.
#[derive(Debug, Clone, PartialEq, Eq)]
enum Told {
    Answered,
    Refused(Verdict),
    Nothing,
}

fn new_key() -> String {
    uuid::Uuid::now_v7().to_string()
}

async fn book(fleet: &TestFleet, entry: usize, key: &str, repeated: bool) -> Told {
    let entry = fleet.callers()[entry];
    let path = format!("/v1/services/{SERVICE}/call/book");
    let mut call = HttpRequest::post(entry, path, "deposit")
        .header("x-organisation", ORGANISATION)
        .header("idempotency-key", key)
        .head_timeout(PATIENCE);
    if !repeated {
        call = call.header("x-idempotent-first", "true");
    }
    let answer = fleet.caller.call(call).await;
    answer.map_or(Told::Nothing, |answer| told(&answer))
}

fn told(answer: &HttpResponse) -> Told {
    if answer.is_success() {
        return Told::Answered;
    }
    let body = from_json::<ErrorBody>(&answer.body).expect("an error body");
    Told::Refused(body.verdict)
}

async fn plain_server(fleet: &TestFleet) -> SocketAddr {
    let servers = fleet.servers(SERVICE).await;
    servers[0].address.parse().expect("an address")
}

/// Returns how often the plain servers ran the key, by their own count.
async fn executions(fleet: &TestFleet, key: &str) -> u32 {
    let server = plain_server(fleet).await;
    let answer = fleet.call(HttpRequest::get(server, "/executions")).await;
    let counts = from_json::<ExecutionCounts>(&answer.body).expect("counts");
    counts.keyed.get(key).copied().unwrap_or(0)
}

/// Waits until a claim of the key is in the log.
async fn wait_for_claim(fleet: &TestFleet, key: &str) {
    let key = key.parse().expect("a key");
    let shard = ShardKey::of(&ScopedKey::new(ORGANISATION, SERVICE, key));
    let stream = shard.stream();
    let path = format!("/streams/{}/records?from=0&wait_ms=8000", stream.as_str());
    let call = HttpRequest::get(fleet.platform.log, path).head_timeout(PATIENCE);
    let answer = fleet.call(call).await;
    let entries = from_json::<LogEntries>(&answer.body).expect("records");
    assert!(!entries.records.is_empty(), "no claim in the log");
}

async fn slow_servers(fleet: &TestFleet, millis: u64) {
    for server in fleet.servers(SERVICE).await {
        let address = server.address.parse().expect("an address");
        let faults = format!("{{\"slow_ms\":{millis}}}");
        fleet.set_faults(address, &faults).await;
    }
}

/// Calls again at the given hosts in turn until there is an answer; checks every "not run".
async fn book_until_answered(fleet: &TestFleet, entries: &[usize], key: &str, mut repeated: bool) {
    for entry in entries.iter().cycle().take(MAX_CALLS) {
        let told = book(fleet, *entry, key, repeated).await;
        match told {
            Told::Answered => return,
            Told::Refused(Verdict::NotRun) => assert_eq!(executions(fleet, key).await, 0),
            Told::Refused(_) | Told::Nothing => repeated = true,
        }
        sleep(Duration::from_millis(500)).await;
    }
    panic!("no answer after {MAX_CALLS} calls");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_booking_whose_host_is_killed_never_runs_again() {
    let mut fleet = TestFleet::start(FleetPlan::corrib(), ENTRIES).await;
    slow_servers(&fleet, 3_000).await;
    let key = new_key();
    let killed = async {
        wait_for_claim(&fleet, &key).await;
        fleet.entries[0].process.signal("KILL");
    };
    let (first, ()) = tokio::join!(book(&fleet, 0, &key, false), killed);
    assert_eq!(first, Told::Nothing);
    fleet.entries[0].process.kill();
    slow_servers(&fleet, 0).await;
    for entry in [1, 2] {
        let second = book(&fleet, entry, &key, true).await;
        assert_eq!(second, Told::Refused(Verdict::MayHaveRun));
    }
    assert!(executions(&fleet, &key).await <= 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_claimer_that_wakes_late_does_not_run_its_key() {
    let fleet = TestFleet::start(FleetPlan::corrib(), ENTRIES).await;
    let key = new_key();
    fleet
        .set_faults(fleet.platform.log, "{\"slow_ms\":400}")
        .await;
    let meanwhile = async {
        // The first read takes 400 ms; the claim is on its way for another 400 ms.
        sleep(Duration::from_millis(600)).await;
        fleet.entries[0].process.signal("STOP");
        sleep(Duration::from_millis(400)).await;
        fleet.set_faults(fleet.platform.log, "{}").await;
        let second = book(&fleet, 1, &key, true).await;
        fleet.entries[0].process.signal("CONT");
        second
    };
    let (first, second) = tokio::join!(book(&fleet, 0, &key, false), meanwhile);
    assert_ne!(second, Told::Refused(Verdict::NotRun));
    let answers = [first, second]
        .iter()
        .filter(|told| **told == Told::Answered)
        .count();
    assert!(executions(&fleet, &key).await as usize >= answers.min(1));
    book_until_answered(&fleet, &[2, 1], &key, true).await;
    assert_eq!(executions(&fleet, &key).await, 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_booking_is_refused_while_the_log_is_out_and_runs_later() {
    let fleet = TestFleet::start(FleetPlan::corrib(), ENTRIES).await;
    let key = new_key();
    fleet
        .set_faults(fleet.platform.log, "{\"down\":true}")
        .await;
    for entry in 0..ENTRIES {
        let told = book(&fleet, entry, &key, false).await;
        assert_eq!(told, Told::Refused(Verdict::NotRun));
        let told = book(&fleet, entry, &key, true).await;
        assert_eq!(told, Told::Refused(Verdict::MayHaveRun));
    }
    fleet.set_faults(fleet.platform.log, "{}").await;
    assert_eq!(executions(&fleet, &key).await, 0);
    book_until_answered(&fleet, &[0, 1, 2], &key, false).await;
    book_until_answered(&fleet, &[1, 2], &key, true).await;
    assert_eq!(executions(&fleet, &key).await, 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_key_that_ran_is_never_told_not_run_while_the_log_is_out() {
    let fleet = TestFleet::start(FleetPlan::corrib(), ENTRIES).await;
    let key = new_key();
    assert_eq!(book(&fleet, 0, &key, false).await, Told::Answered);
    fleet
        .set_faults(fleet.platform.log, "{\"down\":true}")
        .await;
    for entry in 1..ENTRIES {
        // The caller repeats its key as it is, without a word on repeats.
        let told = book(&fleet, entry, &key, true).await;
        assert_eq!(told, Told::Refused(Verdict::MayHaveRun));
    }
    fleet.set_faults(fleet.platform.log, "{}").await;
    book_until_answered(&fleet, &[1, 2], &key, true).await;
    assert_eq!(executions(&fleet, &key).await, 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn lost_answers_of_the_log_lead_to_one_run() {
    let fleet = TestFleet::start(FleetPlan::corrib(), ENTRIES).await;
    for late_effect in [0, 700] {
        for lost in 1..=3 {
            let key = new_key();
            fleet
                .set_faults(fleet.platform.log, "{\"slow_ms\":200}")
                .await;
            let losing = async {
                // The first read is under way; the append and the next read lose their answers.
                sleep(Duration::from_millis(100)).await;
                let faults = format!(
                    "{{\"slow_ms\":200,\"lose_answers\":{lost},\"late_effect_ms\":{late_effect}}}"
                );
                fleet.set_faults(fleet.platform.log, &faults).await;
            };
            let call = book_until_answered(&fleet, &[0, 1, 2], &key, false);
            tokio::join!(call, losing);
            assert_eq!(executions(&fleet, &key).await, 1);
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_planned_stop_lets_a_booking_end_and_keeps_its_outcome() {
    let mut fleet = TestFleet::start(FleetPlan::corrib(), ENTRIES).await;
    slow_servers(&fleet, 1_500).await;
    let key = new_key();
    let stop = async {
        wait_for_claim(&fleet, &key).await;
        for _ in 0..3 {
            fleet.entries[0].process.signal("TERM");
        }
    };
    let (first, ()) = tokio::join!(book(&fleet, 0, &key, false), stop);
    assert_eq!(first, Told::Answered);
    assert!(
        fleet.entries[0].process.wait(),
        "the daemon ends with success"
    );
    slow_servers(&fleet, 0).await;
    assert_eq!(book(&fleet, 1, &key, true).await, Told::Answered);
    assert_eq!(executions(&fleet, &key).await, 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn bookings_go_on_when_open_connections_go_silent() {
    let fleet = TestFleet::start(FleetPlan::corrib(), 1).await;
    let warm = (0..8).map(|_| async {
        let key = new_key();
        assert_eq!(book(&fleet, 0, &key, false).await, Told::Answered);
    });
    futures::future::join_all(warm).await;
    fleet
        .set_faults(fleet.platform.log, "{\"silence\":true}")
        .await;
    for server in fleet.servers(SERVICE).await {
        let address = server.address.parse().expect("an address");
        fleet.set_faults(address, "{\"silence\":true}").await;
    }
    let mut unanswered = 0;
    for _ in 0..8 {
        let key = new_key();
        let told = book(&fleet, 0, &key, false).await;
        let runs = executions(&fleet, &key).await;
        assert_eq!(runs, u32::from(told == Told::Answered), "{told:?}");
        unanswered += u32::from(told != Told::Answered);
    }
    // One call finds the silence towards the log, one towards the servers.
    assert!(
        unanswered <= 2,
        "{unanswered} of 8 bookings went unanswered"
    );
}
