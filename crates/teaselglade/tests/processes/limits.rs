//! Limits of the table at the callers' API.

use std::time::Duration;

use teaselglade_net::client::{HttpRequest, HttpResponse};
use teaselglade_standins::fleet::FleetPlan;
use teaselglade_wire::codec::from_json;
use teaselglade_wire::{ErrorBody, Verdict};

use super::harness::TestFleet;

const LIMITED: &str = "organisation,ennis-heirlooms,1,1,,100";
const UNLIMITED: &str = "organisation,ennis-heirlooms,1,50,,100";
const CALLS: usize = 6;

fn limited_plan() -> FleetPlan {
    let mut plan = FleetPlan::corrib();
    assert!(plan.table.contains(UNLIMITED));
    plan.table = plan.table.replace(UNLIMITED, LIMITED);
    plan
}

async fn generate(fleet: &TestFleet, organisation: &str) -> HttpResponse {
    let body = "{\"prompt\":\"assess a ring\",\"max_tokens\":2,\"stream\":false}";
    let call = HttpRequest::post(
        fleet.callers()[0],
        "/v1/services/draft-fleet/generate",
        body,
    );
    let call = call.header("x-organisation", organisation);
    fleet.caller.call(call).await.expect("an answer")
}

#[tokio::test(flavor = "multi_thread")]
async fn requests_over_a_limit_are_refused_as_not_run_and_others_are_served() {
    let fleet = TestFleet::start(limited_plan(), 1).await;
    let mut refused = 0;
    for _ in 0..CALLS {
        let answer = generate(&fleet, "ennis-heirlooms").await;
        if answer.is_success() {
            continue;
        }
        refused += 1;
        let body = from_json::<ErrorBody>(&answer.body).expect("an error body");
        assert_eq!(answer.status, 429, "{body:?}");
        assert_eq!(body.verdict, Verdict::NotRun);
        assert_eq!(body.reason, "over_limit");
        let wait = body.retry_after_ms.expect("when to come back");
        assert!(Duration::from_millis(wait) <= Duration::from_secs(2));
    }
    assert!(refused > 0);
    for _ in 0..CALLS {
        assert!(generate(&fleet, "halloran-dublin").await.is_success());
    }
}
