//! Evidence on whole requests under which servers end.

use proptest::prelude::*;
use teaselglade_core::time::Timestamp;
use teaselglade_routing::crash::{
    ContainedRun, CrashLedger, CrashSubject, RequestContent, RequestHash, RequestSubjects,
    SubjectEvidence, SubjectPermit, SubjectQuery, SubjectStanding,
};
use teaselglade_routing::engine::PromptShape;
use teaselglade_routing::registry::UpdateScope;

const CONTENT: RequestContent<'static> = RequestContent {
    method: "POST",
    host: "shop.example",
    target: "/book/7?bench=2",
    organisation: "kati",
    body: b"fork oil",
    prompt: None,
};

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(3_600_000 + millis)
}

fn hash_of(body: &str) -> RequestHash {
    RequestHash::of(&RequestContent {
        body: body.as_bytes(),
        ..CONTENT
    })
}

fn subjects_of(body: &str) -> RequestSubjects<'static> {
    RequestSubjects::from(hash_of(body))
}

fn permit_at_leader(ledger: &mut CrashLedger, now: u64, body: &str) -> SubjectPermit {
    permit(ledger, now, subjects_of(body), true)
}

fn permit(
    ledger: &mut CrashLedger,
    now: u64,
    subjects: RequestSubjects<'_>,
    may_try: bool,
) -> SubjectPermit {
    let query = SubjectQuery {
        organisation: "kati",
        subjects,
        is_repeat: false,
        may_try,
    };
    ledger.prune(at(now));
    ledger.permit(at(now), &query)
}

fn is_refused(ledger: &mut CrashLedger, now: u64, body: &str) -> bool {
    let permit = permit(ledger, now, subjects_of(body), false);
    if let SubjectPermit::Contained(run) = permit {
        ledger.record_contained_end(run.subject);
    }
    matches!(permit, SubjectPermit::Refused { .. })
}

/// Records ends of servers under requests, given as time, server and body.
fn ledger_of(ends: &[(u64, u64, &str)]) -> CrashLedger {
    let mut ledger = CrashLedger::default();
    for (time, server, body) in ends {
        ledger.record_end(at(*time), *server, "kati", subjects_of(body));
    }
    ledger
}

fn standing(ledger: &CrashLedger, now: u64, body: &str) -> SubjectStanding {
    let subject = CrashSubject::Request(hash_of(body)).to_string();
    let reports = ledger.reports(at(now)).into_iter();
    let mut found = reports.filter(|report| report.subject == subject);
    found
        .next()
        .map_or(SubjectStanding::Clear, |report| report.standing)
}

#[test]
fn every_part_of_the_content_tells_requests_apart() {
    let prompt = PromptShape::new(900, 40, [(1, 400), (2, 300)]);
    let others = [
        RequestContent {
            method: "PUT",
            ..CONTENT
        },
        RequestContent {
            host: "shop.exampl",
            ..CONTENT
        },
        RequestContent {
            target: "/book/7?bench=3",
            ..CONTENT
        },
        RequestContent {
            organisation: "rafo",
            ..CONTENT
        },
        RequestContent {
            body: b"fork oi",
            ..CONTENT
        },
        RequestContent {
            prompt: Some(&prompt),
            ..CONTENT
        },
        // The same bytes, divided in another way.
        RequestContent {
            organisation: "katif",
            body: b"ork oil",
            ..CONTENT
        },
    ];
    for other in others {
        assert_ne!(
            RequestHash::of(&CONTENT),
            RequestHash::of(&other),
            "{other:?}"
        );
    }
}

#[test]
fn subjects_are_read_as_they_are_written() {
    let subjects = [
        CrashSubject::Part(0x5c1e),
        CrashSubject::Request(hash_of("a")),
    ];
    for subject in subjects {
        assert_eq!(subject.to_string().parse(), Ok(subject));
    }
    for text in ["", "request-", "request-5c1e", "parts", "request-é"] {
        assert!(text.parse::<CrashSubject>().is_err(), "{text}");
    }
}

#[test]
fn a_request_runs_alone_after_two_ended_servers_and_is_refused_after_three() {
    let mut ledger = ledger_of(&[(0, 1, "bad")]);
    let unrestricted = permit(&mut ledger, 10, subjects_of("bad"), false);
    assert_eq!(unrestricted, SubjectPermit::Unrestricted);
    assert!(ledger.is_suspect(hash_of("bad")));
    ledger.record_end(at(500), 2, "kati", subjects_of("bad"));
    let run = ContainedRun {
        subject: CrashSubject::Request(hash_of("bad")),
        rank: 0,
        is_trial: false,
    };
    let contained = permit(&mut ledger, 600, subjects_of("bad"), false);
    assert_eq!(contained, SubjectPermit::Contained(run));
    assert!(is_refused(&mut ledger, 650, "bad"), "one at a time");
    ledger.record_end(at(700), 3, "kati", subjects_of("bad"));
    ledger.record_contained_end(run.subject);
    for now in (700..60_000).step_by(100) {
        assert!(is_refused(&mut ledger, now, "bad"), "{now}");
        assert!(!is_refused(&mut ledger, now, "sound"), "{now}");
    }
}

/// Both attempts of two callers end four servers within a moment.
#[test]
fn servers_that_end_together_under_one_request_are_no_reason_to_refuse_it_but_only_one_host_tries()
{
    let mut ledger = ledger_of(&[
        (0, 1, "bad"),
        (20, 2, "bad"),
        (40, 3, "bad"),
        (60, 4, "bad"),
    ]);
    assert_eq!(standing(&ledger, 100, "bad"), SubjectStanding::Contained);
    for now in (100..3_000).step_by(100) {
        assert!(is_refused(&mut ledger, now, "bad"), "{now}");
    }
    assert_eq!(standing(&ledger, 3_000, "bad"), SubjectStanding::Contained);
    let trial = permit_at_leader(&mut ledger, 3_000, "bad");
    let SubjectPermit::Contained(run) = trial else {
        panic!("no trial: {trial:?}");
    };
    assert!(run.is_trial);
    ledger.record_end(at(3_050), 5, "kati", subjects_of("bad"));
    ledger.record_contained_end(run.subject);
    ledger.prune(at(5_000));
    assert_eq!(
        standing(&ledger, 5_000, "bad"),
        SubjectStanding::Quarantined
    );
}

#[test]
fn trials_of_a_request_are_three_whatever_its_standing() {
    let mut ledger = ledger_of(&[(0, 1, "bad"), (20, 2, "bad"), (40, 3, "bad")]);
    let mut trials = Vec::new();
    for now in (100..7_000_000).step_by(500) {
        if let SubjectPermit::Contained(run) = permit_at_leader(&mut ledger, now, "bad") {
            trials.push(now);
            ledger.record_end(at(now), 1_000 + now, "kati", subjects_of("bad"));
            ledger.record_contained_end(run.subject);
        }
    }
    assert_eq!(trials.len(), 3, "{trials:?}");
}

/// A sound call ran on the same three servers, sent again by its caller each time.
#[test]
fn two_requests_on_the_same_ended_servers_are_told_apart_by_the_next_one() {
    let pairs = [1, 2, 3].map(|server| (server * 1_000, server));
    let ends = pairs.map(|(time, server)| [(time, server, "bad"), (time, server, "sound")]);
    let mut ledger = ledger_of(&ends.concat());
    ledger.prune(at(6_000));
    for body in ["bad", "sound"] {
        assert_eq!(standing(&ledger, 6_000, body), SubjectStanding::Contained);
    }
    ledger.record_event(at(6_000), 9, subjects_of("sound"));
    ledger.prune(at(6_000));
    assert_eq!(standing(&ledger, 6_000, "sound"), SubjectStanding::Clear);
    assert_eq!(
        standing(&ledger, 6_000, "bad"),
        SubjectStanding::Quarantined
    );
}

#[test]
fn a_request_that_lost_two_servers_to_another_one_goes_free_once_that_is_refused() {
    let ends = [
        (0, 1, "bad"),
        (0, 1, "sound"),
        (1_000, 2, "bad"),
        (1_000, 2, "sound"),
        (2_000, 3, "bad"),
        (3_000, 4, "bad"),
    ];
    let mut ledger = ledger_of(&ends);
    ledger.prune(at(5_000));
    assert_eq!(
        standing(&ledger, 5_000, "bad"),
        SubjectStanding::Quarantined
    );
    assert_eq!(standing(&ledger, 5_000, "sound"), SubjectStanding::Clear);
}

/// Three servers end; they are back under their names and addresses before their new start is known.
#[test]
fn servers_that_return_at_once_refute_no_end_of_their_last_start() {
    let mut ledger = ledger_of(&[(0, 1, "bad"), (300, 2, "bad"), (600, 3, "bad")]);
    for server in 1..=3 {
        ledger.record_event(at(1_800), server, subjects_of("sound"));
    }
    ledger.prune(at(2_500));
    assert_eq!(
        standing(&ledger, 2_500, "bad"),
        SubjectStanding::Quarantined
    );
    // Their new start is known; what the last one seemed to do is no evidence any more.
    ledger.confirm_responses(at(3_000), |_server| false);
    ledger.confirm_responses(at(20_000), |_server| true);
    ledger.prune(at(20_000));
    assert_eq!(
        standing(&ledger, 20_000, "bad"),
        SubjectStanding::Quarantined
    );
}

/// A host answers the content before it hears of ends under it.
#[test]
fn an_answer_clears_a_request_also_before_the_evidence_arrives() {
    let ends = [(0, 1, "hot"), (500, 2, "hot"), (900, 3, "hot")];
    let other = ledger_of(&ends);
    let mut ledger = CrashLedger::default();
    ledger.record_event(at(950), 9, subjects_of("hot"));
    ledger.merge(at(1_100), &other.evidence(at(1_100), UpdateScope::All));
    ledger.prune(at(4_000));
    assert_eq!(standing(&ledger, 4_000, "hot"), SubjectStanding::Clear);
    assert!(!ledger.is_suspect(hash_of("hot")));
}

#[test]
fn a_stream_that_ends_servers_as_a_whole_leaves_no_blame_on_its_parts() {
    let prompt = PromptShape::new(900, 40, [(1, 400), (2, 300), (3, 200)]);
    let whole = RequestSubjects {
        request: Some(hash_of("bad")),
        prompt: Some(&prompt),
    };
    let mut ledger = CrashLedger::default();
    for second in 1..=3 {
        ledger.record_end(at(second * 1_000), second, "kati", whole);
        let parts = permit(&mut ledger, second * 1_000 + 10, (&prompt).into(), false);
        assert_eq!(parts, SubjectPermit::Unrestricted, "{second}");
    }
    let refused = permit(&mut ledger, 6_000, whole, false);
    assert!(matches!(
        refused,
        SubjectPermit::Refused {
            subject: CrashSubject::Request(_),
            ..
        }
    ));
    let parts = permit(&mut ledger, 6_000, (&prompt).into(), false);
    assert_eq!(parts, SubjectPermit::Unrestricted);
}

#[test]
fn a_part_of_unlike_requests_is_blamed_and_the_requests_are_not() {
    let prompt = PromptShape::new(900, 40, [(1, 400), (2, 300), (3, 200)]);
    let mut ledger = CrashLedger::default();
    for (second, body) in [(1, "a"), (2, "b"), (3, "c")] {
        let subjects = RequestSubjects {
            request: Some(hash_of(body)),
            prompt: Some(&prompt),
        };
        ledger.record_end(at(second * 1_000), second, "kati", subjects);
    }
    let reports = ledger.reports(at(3_100));
    let blamed: Vec<&str> = reports
        .iter()
        .map(|report| report.subject.as_str())
        .collect();
    assert_eq!(blamed, ["2"]);
}

/// Hosts of earlier builds wrote ids of parts only.
#[test]
fn evidence_on_parts_keeps_its_form() {
    let prompt = PromptShape::new(900, 40, [(7, 400), (2, 300)]);
    let mut ledger = CrashLedger::default();
    ledger.record_end(at(0), 1, "kati", &prompt);
    let evidence = ledger.evidence(at(0), UpdateScope::All);
    assert_eq!(evidence[0].subject, CrashSubject::Part(7));
    let other = ledger_of(&[(0, 1, "bad")]).evidence(at(0), UpdateScope::All);
    assert_ne!(evidence, other);
}

proptest! {
    /// Whatever the order and number of messages, hosts agree on who is blamed.
    #[test]
    fn hosts_agree_whatever_order_the_evidence_arrives_in(
        ends in prop::collection::vec((0_u64..6, 0_u64..8, 0_usize..3), 1..20),
        seed in 0_usize..20,
    ) {
        let bodies = ["bad", "sound", "other"];
        let named: Vec<(u64, u64, &str)> = ends
            .iter()
            .map(|(time, server, body)| (time * 400, *server, bodies[*body]))
            .collect();
        let all = ledger_of(&named);
        let evidence = all.evidence(at(3_000), UpdateScope::All);
        let mut one = CrashLedger::default();
        one.merge(at(3_000), &evidence);
        let mut other = CrashLedger::default();
        let mut shuffled: Vec<SubjectEvidence> = evidence.clone();
        let start = seed.min(shuffled.len());
        shuffled.rotate_left(start);
        for part in shuffled.iter().chain(&evidence) {
            other.merge(at(3_000), std::slice::from_ref(part));
        }
        for ledger in [&mut one, &mut other] {
            ledger.prune(at(6_000));
        }
        for body in bodies {
            prop_assert_eq!(standing(&one, 6_000, body), standing(&other, 6_000, body));
        }
    }
}
