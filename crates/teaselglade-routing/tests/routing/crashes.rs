//! Evidence on prompt parts that end servers.

use std::time::Duration;

use teaselglade_core::time::Timestamp;
use teaselglade_routing::crash::{
    ContainedRun, CrashLedger, CrashSubject, RequestSubjects, SubjectPermit, SubjectQuery,
    SubjectStanding,
};
use teaselglade_routing::engine::PromptShape;
use teaselglade_routing::registry::UpdateScope;

const FIRST: u64 = 1;
const BAD: u64 = 2;

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(3_600_000 + millis)
}

/// Returns a prompt with these parts and one of its own.
fn prompt(parts: &[u64]) -> PromptShape {
    let ids = parts.iter().copied().chain([999]);
    PromptShape::new(900, 40, ids.map(|id| (id, 300)))
}

fn query<'a>(organisation: &'a str, prompt: &'a PromptShape) -> SubjectQuery<'a> {
    SubjectQuery {
        organisation,
        subjects: RequestSubjects::from(prompt),
        is_repeat: false,
        may_try: false,
    }
}

/// Returns a ledger with one ended server a second for each of these prompts of one organisation.
fn ledger_of(prompts: &[&[u64]]) -> CrashLedger {
    let mut ledger = CrashLedger::default();
    for (number, parts) in (0..).zip(prompts) {
        ledger.record_end(at(1_000 * number), 100 + number, "kati", &prompt(parts));
    }
    ledger
}

fn is_refused(ledger: &mut CrashLedger, now: u64, organisation: &str, parts: &[u64]) -> bool {
    let prompt = prompt(parts);
    let permit = ledger.permit(at(now), &query(organisation, &prompt));
    if let SubjectPermit::Contained(run) = permit {
        ledger.record_contained_end(run.subject);
    }
    matches!(permit, SubjectPermit::Refused { .. })
}

fn permit_of(ledger: &mut CrashLedger, now: u64, parts: &[u64]) -> SubjectPermit {
    ledger.permit(at(now), &query("kati", &prompt(parts)))
}

#[test]
fn a_part_is_contained_after_two_ended_servers_and_refused_after_three() {
    let mut ledger = ledger_of(&[&[FIRST, BAD]]);
    assert_eq!(
        permit_of(&mut ledger, 500, &[FIRST, BAD]),
        SubjectPermit::Unrestricted
    );
    ledger.record_end(at(1_000), 101, "kati", &prompt(&[FIRST, BAD]));
    let contained = permit_of(&mut ledger, 1_500, &[5, BAD]);
    assert_eq!(
        contained,
        SubjectPermit::Contained(ContainedRun {
            subject: CrashSubject::Part(BAD),
            rank: 0,
            is_trial: false,
        })
    );
    ledger.record_contained_end(CrashSubject::Part(BAD));
    ledger.record_end(at(2_000), 102, "kati", &prompt(&[FIRST, BAD]));
    assert!(is_refused(&mut ledger, 2_500, "kati", &[5, BAD]));
}

#[test]
fn a_part_that_only_comes_along_stays_free() {
    let mut ledger = ledger_of(&[&[FIRST, BAD], &[FIRST, BAD], &[FIRST, BAD]]);
    assert!(is_refused(&mut ledger, 3_000, "kati", &[FIRST, BAD]));
    assert_eq!(
        permit_of(&mut ledger, 3_000, &[FIRST, 7]),
        SubjectPermit::Unrestricted
    );
}

#[test]
fn a_first_part_that_ends_servers_is_refused_whatever_follows_it() {
    let mut ledger = ledger_of(&[&[BAD, 7], &[BAD, 7], &[BAD, 8]]);
    assert!(is_refused(&mut ledger, 3_000, "kati", &[BAD, 9]));
    assert!(!is_refused(&mut ledger, 3_000, "kati", &[FIRST, 7]));
}

/// The part behind it comes along in the first three prompts, by accident.
#[test]
fn a_part_is_refused_after_two_more_servers_if_another_one_explained_the_first() {
    let prompts: [&[u64]; 5] = [&[BAD, 7], &[BAD, 7], &[BAD, 7], &[BAD, 8], &[BAD, 9]];
    let mut ledger = ledger_of(&prompts[..4]);
    assert!(!is_refused(&mut ledger, 4_000, "kati", &[BAD, 10]));
    ledger.record_end(at(4_000), 104, "kati", &prompt(prompts[4]));
    assert!(is_refused(&mut ledger, 4_500, "kati", &[BAD, 10]));
}

#[test]
fn two_parts_that_end_servers_are_both_refused() {
    let mut ledger = ledger_of(&[
        &[FIRST, BAD],
        &[FIRST, 3],
        &[FIRST, BAD],
        &[FIRST, 3],
        &[FIRST, BAD],
        &[FIRST, 3],
    ]);
    ledger.record_event(at(6_000), 200, &prompt(&[FIRST, 7]));
    assert!(is_refused(&mut ledger, 6_100, "kati", &[FIRST, BAD]));
    assert!(is_refused(&mut ledger, 6_100, "kati", &[FIRST, 3]));
    assert!(!is_refused(&mut ledger, 6_100, "kati", &[FIRST, 7]));
}

#[test]
fn an_event_clears_every_shared_part_of_its_prompt() {
    let mut ledger = ledger_of(&[&[FIRST, BAD], &[FIRST, BAD]]);
    ledger.record_event(at(1_500), 200, &prompt(&[FIRST, 7]));
    ledger.record_end(at(2_000), 102, "kati", &prompt(&[FIRST, 8]));
    assert_eq!(
        permit_of(&mut ledger, 2_500, &[FIRST, 7]),
        SubjectPermit::Unrestricted
    );
    assert!(matches!(
        permit_of(&mut ledger, 2_500, &[BAD]),
        SubjectPermit::Contained { .. }
    ));
}

#[test]
fn the_last_part_is_never_blamed() {
    let mut ledger = CrashLedger::default();
    for number in 0..5 {
        let prompt = PromptShape::new(300, 40, [(BAD, 300)]);
        ledger.record_end(at(1_000 * number), 100 + number, "kati", &prompt);
    }
    assert_eq!(
        permit_of(&mut ledger, 6_000, &[BAD]),
        SubjectPermit::Unrestricted
    );
}

#[test]
fn servers_that_end_together_count_as_one() {
    let mut ledger = CrashLedger::default();
    for number in 0..6 {
        ledger.record_end(
            at(10 * number),
            100 + number,
            "kati",
            &prompt(&[FIRST, BAD]),
        );
    }
    assert_eq!(
        permit_of(&mut ledger, 500, &[FIRST, BAD]),
        SubjectPermit::Unrestricted
    );
}

/// The news of its end came from a host whose connections to it were refused for another reason.
#[test]
fn a_server_that_answers_later_has_not_ended() {
    let mut ledger = ledger_of(&[&[BAD], &[BAD], &[BAD]]);
    assert!(is_refused(&mut ledger, 2_500, "kati", &[BAD]));
    // A response that was on its way when the server ended proves nothing.
    ledger.record_event(at(2_050), 102, &prompt(&[7]));
    assert!(is_refused(&mut ledger, 2_600, "kati", &[BAD]));
    ledger.confirm_responses(at(2_650), |_server| true);
    ledger.confirm_responses(at(7_100), |_server| true);
    assert!(is_refused(&mut ledger, 7_150, "kati", &[BAD]));
    // It may also have started anew, of which this host hears within five seconds.
    ledger.record_event(at(7_200), 102, &prompt(&[7]));
    ledger.confirm_responses(at(12_100), |_server| true);
    assert!(is_refused(&mut ledger, 12_150, "kati", &[BAD]));
    ledger.confirm_responses(at(12_200), |server| server == 102);
    assert!(!is_refused(&mut ledger, 12_300, "kati", &[BAD]));
}

#[test]
fn an_organisation_cannot_have_the_parts_of_another_refused() {
    let shared_by_victim = 50;
    let mut ledger = CrashLedger::default();
    for number in 0..4 {
        let prompt = prompt(&[shared_by_victim]);
        ledger.record_end(at(1_000 * number), 100 + number, "attacker", &prompt);
    }
    assert!(is_refused(
        &mut ledger,
        4_000,
        "attacker",
        &[shared_by_victim]
    ));
    assert!(!is_refused(
        &mut ledger,
        4_000,
        "victim",
        &[shared_by_victim]
    ));
}

#[test]
fn a_part_of_many_organisations_is_refused_to_all_after_five_servers() {
    let mut ledger = CrashLedger::default();
    let mut ended = 0;
    for (number, organisation) in (0..).zip(["a", "b", "c", "d", "e", "f", "a", "b"]) {
        if !is_refused(&mut ledger, 1_000 * number, organisation, &[FIRST, BAD]) {
            let prompt = prompt(&[FIRST, BAD]);
            ledger.record_end(at(1_000 * number + 500), number, organisation, &prompt);
            ended += 1;
        }
    }
    assert!(ended <= 5, "{ended}");
}

#[test]
fn a_contained_part_runs_once_at_a_time_and_is_not_repeated() {
    let mut ledger = ledger_of(&[&[BAD], &[BAD]]);
    let bad = prompt(&[BAD]);
    let repeat = SubjectQuery {
        is_repeat: true,
        ..query("kati", &bad)
    };
    assert!(matches!(
        ledger.permit(at(1_100), &repeat),
        SubjectPermit::Refused { .. }
    ));
    assert!(matches!(
        permit_of(&mut ledger, 1_100, &[BAD]),
        SubjectPermit::Contained(ContainedRun { rank: 0, .. })
    ));
    assert!(matches!(
        permit_of(&mut ledger, 1_200, &[BAD]),
        SubjectPermit::Refused { .. }
    ));
    // An engine that is stuck says nothing of the part: the next attempt goes to another one.
    assert!(matches!(
        permit_of(&mut ledger, 2_300, &[BAD]),
        SubjectPermit::Contained(ContainedRun { rank: 1, .. })
    ));
}

#[test]
fn one_host_tries_a_quarantined_part_three_times_at_growing_intervals() {
    let mut ledger = ledger_of(&[&[BAD], &[BAD], &[BAD]]);
    let bad = prompt(&[BAD]);
    let leader = SubjectQuery {
        may_try: true,
        ..query("kati", &bad)
    };
    let mut trials = Vec::new();
    for second in 3..8_000 {
        let now = at(second * 1_000);
        assert!(
            is_refused(&mut ledger, second * 1_000, "kati", &[BAD]),
            "{second}"
        );
        if let SubjectPermit::Contained(run) = ledger.permit(now, &leader) {
            ledger.record_end(now, 1_000 + second, "kati", &bad);
            ledger.record_contained_end(run.subject);
            trials.push(second);
        }
        ledger.prune(now);
    }
    assert_eq!(trials, [62, 302, 1_262]);
}

#[test]
fn a_quarantine_lapses_when_no_more_requests_come() {
    let mut ledger = ledger_of(&[&[BAD], &[BAD], &[BAD]]);
    assert!(is_refused(&mut ledger, 60_000, "kati", &[BAD]));
    ledger.prune(at(600_000));
    assert_eq!(ledger.count_with(SubjectStanding::Quarantined), 1);
    ledger.prune(at(661_000));
    assert_eq!(ledger.count_with(SubjectStanding::Quarantined), 0);
    assert!(!is_refused(&mut ledger, 661_000, "kati", &[BAD]));
}

/// Ages are older than the message says when it arrives; the delays must not add up.
#[test]
fn messages_that_go_round_do_not_prolong_a_quarantine() {
    let (mut one, mut other) = (ledger_of(&[&[BAD], &[BAD], &[BAD]]), CrashLedger::default());
    for round in 0..7_000_u64 {
        let sent_at = 3_000 + round * 100;
        let evidence = one.evidence(at(sent_at), UpdateScope::All);
        other.merge(at(sent_at + 40), &evidence);
        let evidence = other.evidence(at(sent_at + 50), UpdateScope::All);
        one.merge(at(sent_at + 90), &evidence);
        one.prune(at(sent_at + 90));
        other.prune(at(sent_at + 90));
    }
    assert_eq!(one.count_with(SubjectStanding::Quarantined), 0);
    assert_eq!(other.count_with(SubjectStanding::Quarantined), 0);
}

#[test]
fn a_refutation_reaches_a_host_that_sends_the_evidence_again() {
    let mut one = ledger_of(&[&[BAD], &[BAD], &[BAD]]);
    let mut other = CrashLedger::default();
    other.merge(at(2_100), &one.evidence(at(2_100), UpdateScope::All));
    one.record_event(at(2_200), 300, &prompt(&[BAD]));
    // The digests of the next seconds are lost.
    let stale = other.evidence(at(20_000), UpdateScope::All);
    one.merge(at(20_000), &stale);
    assert_eq!(one.count_with(SubjectStanding::Quarantined), 0);
    other.merge(at(20_200), &one.evidence(at(20_200), UpdateScope::All));
    assert_eq!(other.count_with(SubjectStanding::Quarantined), 0);
}

#[test]
fn a_flood_of_parts_never_displaces_a_quarantine() {
    let mut ledger = ledger_of(&[&[BAD], &[BAD], &[BAD]]);
    for number in 0..40 {
        let parts: Vec<u64> = (0..400).map(|part| 10_000 + number * 400 + part).collect();
        ledger.record_end(
            at(5_000 + number * 100),
            500 + number,
            "flood",
            &prompt(&parts),
        );
        ledger.prune(at(5_000 + number * 100));
    }
    assert!(is_refused(&mut ledger, 9_500, "kati", &[BAD]));
    let digest = ledger.evidence(at(9_500), UpdateScope::All);
    assert!(digest.len() <= 24);
    assert!(
        digest
            .iter()
            .any(|evidence| evidence.subject == CrashSubject::Part(BAD))
    );
}

#[test]
fn the_retry_delay_of_a_quarantined_part_ends_with_the_next_trial() {
    let mut ledger = ledger_of(&[&[BAD], &[BAD], &[BAD]]);
    let permit = permit_of(&mut ledger, 12_000, &[BAD]);
    let retry_after = Duration::from_secs(50);
    assert_eq!(
        permit,
        SubjectPermit::Refused {
            subject: CrashSubject::Part(BAD),
            retry_after
        }
    );
}

/// In a large fleet a host passes on only what it found itself.
#[test]
fn own_evidence_is_passed_on_although_a_peer_tells_of_the_same_part() {
    let mut one = ledger_of(&[&[BAD]]);
    let mut other = CrashLedger::default();
    other.record_end(at(500), 300, "kati", &prompt(&[BAD]));
    one.merge(at(1_100), &other.evidence(at(1_090), UpdateScope::All));
    let passed_on = one.evidence(at(1_200), UpdateScope::Local);
    let ends = passed_on.iter().flat_map(|evidence| &evidence.ends);
    assert!(ends.into_iter().any(|end| end.incarnation == 100));
}

#[test]
fn a_lifted_part_leaves_no_blame_on_the_parts_that_came_along() {
    let mut ledger = ledger_of(&[&[FIRST, BAD], &[FIRST, BAD], &[FIRST, BAD]]);
    assert!(!ledger.lift(at(2_900), CrashSubject::Part(77)));
    assert!(ledger.lift(at(3_000), CrashSubject::Part(BAD)));
    for part in [FIRST, BAD] {
        assert_eq!(
            permit_of(&mut ledger, 3_100, &[part]),
            SubjectPermit::Unrestricted
        );
    }
}

/// News of ends arrive after the event that shows that the part is sound.
#[test]
fn an_event_refutes_earlier_ends_of_which_the_host_hears_later() {
    let ended = ledger_of(&[&[FIRST], &[FIRST], &[FIRST]]);
    let mut host = CrashLedger::default();
    host.record_event(at(2_300), 900, &prompt(&[FIRST, 7]));
    host.merge(at(2_600), &ended.evidence(at(2_500), UpdateScope::All));
    assert_eq!(host.count_with(SubjectStanding::Quarantined), 0);
    // An event before the end shows nothing.
    let mut host = CrashLedger::default();
    host.record_event(at(1_500), 900, &prompt(&[FIRST, 7]));
    host.merge(at(2_600), &ended.evidence(at(2_500), UpdateScope::All));
    assert_eq!(host.count_with(SubjectStanding::Clear), 1);
    let mut host = CrashLedger::default();
    host.merge(at(2_600), &ended.evidence(at(2_500), UpdateScope::All));
    assert_eq!(host.count_with(SubjectStanding::Quarantined), 1);
}

/// The part with the higher id is quarantined for another organisation only.
#[test]
fn a_quarantine_that_binds_counts_beside_one_that_does_not() {
    let mut ledger = ledger_of(&[&[BAD], &[BAD], &[BAD]]);
    for number in 0..3 {
        let prompt = prompt(&[77]);
        ledger.record_end(at(4_000 + 1_000 * number), 200 + number, "other", &prompt);
    }
    assert!(is_refused(&mut ledger, 7_000, "kati", &[77, BAD]));
    assert!(!is_refused(&mut ledger, 7_000, "kati", &[77]));
}
