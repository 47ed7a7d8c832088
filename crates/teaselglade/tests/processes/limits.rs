//! Enforcement of the table's limits at the callers' API.

use std::time::Duration;

use teaselglade_net::client::{HttpRequest, HttpResponse};
use teaselglade_standins::fleet::FleetPlan;
use teaselglade_wire::codec::from_json;
use teaselglade_wire::{ErrorBody, Verdict};

use super::harness::TestFleet;

const LIMITED_ROW: &str = "organisation,ennis-heirlooms,1,1,,100";
const DEFAULT_ROW: &str = "organisation,ennis-heirlooms,1,50,,100";
const CALLS: usize = 6;

fn limited_plan() -> FleetPlan {
    let mut plan = FleetPlan::corrib();
    assert!(plan.table.contains(DEFAULT_ROW));
    plan.table = plan.table.replace(DEFAULT_ROW, LIMITED_ROW);
    plan
}

async fn generate(fleet: &TestFleet, organisation: &str) -> HttpResponse {
    let body = "{\"prompt\":\"assess a ring\",\"max_tokens\":2,\"stream\":false}";
    let request = HttpRequest::post(
        fleet.callers()[0],
        "/v1/services/draft-fleet/generate",
        body,
    );
    let request = request.header("x-organisation", organisation);
    fleet.http.call(request).await.expect("a response")
}

#[tokio::test(flavor = "multi_thread")]
async fn requests_over_a_limit_are_refused_as_not_run_and_others_are_served() {
    let fleet = TestFleet::start(limited_plan(), 1).await;
    let mut refused = 0;
    for _ in 0..CALLS {
        let response = generate(&fleet, "ennis-heirlooms").await;
        if response.is_success() {
            continue;
        }
        refused += 1;
        let body = from_json::<ErrorBody>(&response.body).expect("an error body");
        assert_eq!(response.status, 429, "{body:?}");
        assert_eq!(body.verdict, Verdict::NotRun);
        assert_eq!(body.reason, "over_limit");
        let retry_after_ms = body.retry_after_ms.expect("a retry delay");
        assert!(Duration::from_millis(retry_after_ms) <= Duration::from_secs(2));
    }
    assert!(refused > 0);
    for _ in 0..CALLS {
        assert!(generate(&fleet, "halloran-dublin").await.is_success());
    }
}
