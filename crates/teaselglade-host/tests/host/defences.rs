//! Defences of a host's decisions that the tests of its models pass without; see `docs/PROOFS.md`.

use teaselglade_core::id::ServerKey;
use teaselglade_core::time::Timestamp;
use teaselglade_core::verdict::RefusalReason;
use teaselglade_host::quarantine::QuarantineRecord;
use teaselglade_host::state::DecisionState;
use teaselglade_routing::crash::{
    CrashLedger, RequestContent, RequestHash, RequestSubjects, SubjectEvidence,
};
use teaselglade_routing::registry::{RegistrationState, ServerRegistration, StorePosition};

use super::fleet_model::{ModelHost, at};

fn subjects() -> RequestSubjects<'static> {
    RequestSubjects::from(request())
}

fn request() -> RequestHash {
    RequestHash::of(&RequestContent {
        method: "POST",
        host: "shop.example",
        target: "/book/7",
        organisation: "kati",
        body: b"fork oil",
        prompt: None,
    })
}

fn register(
    decisions: &mut DecisionState,
    now: Timestamp,
    id: &str,
    started_at_ms: u64,
) -> ServerKey {
    let registration = ServerRegistration {
        id: id.to_owned(),
        started_at_ms,
        heartbeat: 1,
        service: "desk".to_owned(),
        address: "127.0.0.1:8080".parse().expect("an address"),
        zone: "galway".to_owned(),
        slots: Some(6),
        state: RegistrationState::Ready,
        reclaimable: true,
        version: String::new(),
        position: StorePosition::default(),
    };
    let key = decisions.registry.apply_registration(now, registration);
    key.expect("a server")
}

#[test]
fn the_end_of_a_server_that_leaves_is_no_evidence() {
    let mut decisions = ModelHost::new(0, 1).decisions;
    let leaving = register(&mut decisions, at(0), "i-1", 10);
    decisions.registry.record_own_departure(at(100), leaving);
    decisions.record_server_end(at(200), leaving, "kati", subjects());
    assert!(!decisions.crash_ledger.is_suspect(request()));
    let other = register(&mut decisions, at(0), "i-2", 10);
    decisions.record_server_end(at(300), other, "kati", subjects());
    assert!(decisions.crash_ledger.is_suspect(request()));
}

/// A server answers another request after the news of its end; it may have started anew.
#[test]
fn a_response_speaks_for_a_server_that_is_registered_with_the_same_start_later() {
    for returns_anew in [false, true] {
        let mut decisions = ModelHost::new(0, 1).decisions;
        let key = register(&mut decisions, at(0), "i-1", 10);
        decisions.record_server_end(at(1_000), key, "kati", subjects());
        let other = RequestHash::of(&RequestContent {
            method: "GET",
            host: "shop.example",
            target: "/peek/7",
            organisation: "kati",
            body: b"",
            prompt: None,
        });
        decisions.record_answer(at(2_500), key, RequestSubjects::from(other));
        if returns_anew {
            register(&mut decisions, at(3_000), "i-1", 11);
        }
        for now in (2_500..9_000).step_by(200) {
            decisions.confirm_responses(at(now));
        }
        let is_suspect = decisions.crash_ledger.is_suspect(request());
        assert_eq!(is_suspect, returns_anew);
    }
}

/// One that does not lead refuses while a trial is due.
#[test]
fn only_the_leader_tries_a_quarantined_request() {
    let mut decisions = ModelHost::new(0, 1).decisions;
    for (number, id) in (1..).zip(["i-1", "i-2", "i-3"]) {
        let key = register(&mut decisions, at(0), id, 10);
        decisions.record_server_end(at(number * 1_000), key, "kati", subjects());
    }
    decisions.crash_ledger.prune(at(90_000));
    assert!(!decisions.membership.is_leader());
    let permit = decisions.permit_attempt(at(90_000), "kati", subjects(), 1);
    let reason = permit.err().map(|refusal| refusal.reason);
    assert_eq!(reason, Some(RefusalReason::Quarantined));
}

#[test]
fn evidence_from_the_store_is_as_old_as_its_record() {
    let mut ledger = CrashLedger::default();
    for server in 1..=3 {
        ledger.record_end(at(server * 1_000), server, "kati", subjects());
    }
    ledger.prune(at(6_000));
    let evidence = ledger.quarantined(at(6_000));
    let record = QuarantineRecord::new(at(6_000), evidence.clone());
    let ages = |evidence: &[SubjectEvidence]| {
        let ends = evidence.iter().flat_map(|evidence| &evidence.ends);
        ends.map(|end| end.age_ms).collect::<Vec<_>>()
    };
    let later = record.evidence_at(at(66_000));
    let expected: Vec<u64> = ages(&evidence).iter().map(|age| age + 60_000).collect();
    assert_eq!(ages(&later), expected);
    assert_eq!(later[0].request_age_ms, evidence[0].request_age_ms + 60_000);
}
