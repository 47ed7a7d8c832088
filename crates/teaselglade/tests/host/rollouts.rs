//! `teaselglade rollouts` against the process of a host.

use std::process::Command;
use std::time::Duration;

use serde_json::{Value, json};
use teaselglade_net::client::{HttpClient, HttpRequest, HttpResponse};
use tokio::time::{sleep, timeout};

use super::fixture::{WAIT_TIMEOUT, config_record, server_record};
use super::host_process::HostProcess;
use super::server_standin::{Reply, ServerStandin, response_bytes};
use super::store_standin::StoreStandin;

/// Exit code while a version that was rolled back is shown.
const ROLLED_BACK: i32 = 7;
const TOO_MANY_REQUESTS: u16 = 429;

struct ToolAnswer {
    code: Option<i32>,
    stdout: String,
    stderr: String,
}

/// Runs `teaselglade rollouts`; asks again while the host bounds the rate.
async fn run_rollouts(admin: &str, arguments: &[&str]) -> ToolAnswer {
    loop {
        let mut command = Command::new(env!("CARGO_BIN_EXE_teaselglade"));
        command.args(["rollouts", "--admin", admin]).args(arguments);
        let run = tokio::task::spawn_blocking(move || command.output());
        let output = run.await.expect("not aborted").expect("the tool runs");
        let answer = ToolAnswer {
            code: output.status.code(),
            stdout: String::from_utf8_lossy(&output.stdout).into_owned(),
            stderr: String::from_utf8_lossy(&output.stderr).into_owned(),
        };
        if !answer.stderr.contains("too many explanations") {
            return answer;
        }
        sleep(Duration::from_millis(50)).await;
    }
}

async fn start_server(status: u16) -> ServerStandin {
    ServerStandin::start(move |request, _| Reply::KeepAlive(response_bytes(request, status, "ok")))
        .await
}

fn register(store: &StoreStandin, id: &str, version: &str, server: &ServerStandin) {
    let record = server_record("desk", server.address, 1);
    let mut record: Value = serde_json::from_str(&record).expect("a record");
    record["version"] = version.into();
    store.put("keyed.servers", id, &record.to_string());
}

/// Starts a host that knows an old server; returns it with its admin address.
async fn start_host(old: &ServerStandin) -> (StoreStandin, HostProcess, String) {
    let store = StoreStandin::start().await;
    store.put("keyed.op", "config", &config_record(1, 2).to_string());
    register(&store, "i-0", "v1", old);
    let bounds = "bounds.exposure_share=0.2\nbounds.exposure_slack=10\n";
    let host = HostProcess::start_with(Some(store.address), bounds);
    let has_server = |response: &HttpResponse| response.status == 200;
    host.call_until("/peek/1", has_server).await;
    let admin = format!("{}:9464", host.caller_address().ip());
    (store, host, admin)
}

async fn json_answer(admin: &str) -> (Option<i32>, Value) {
    let answer = run_rollouts(admin, &["--json"]).await;
    let list = serde_json::from_str(&answer.stdout).expect("JSON");
    (answer.code, list)
}

#[tokio::test]
async fn stage_exposure_evidence_and_verdict_are_printed_as_servers_see_them() {
    let (old, bad, worse) = (
        start_server(200).await,
        start_server(500).await,
        start_server(500).await,
    );
    let (store, host, admin) = start_host(&old).await;
    let none = run_rollouts(&admin, &[]).await;
    assert_eq!(none.code, Some(0), "{}", none.stderr);
    assert!(none.stdout.contains("no order is known"), "{}", none.stdout);
    register(&store, "i-8", "v2", &bad);
    register(&store, "i-9", "v2", &worse);
    let order = json!({"service": "desk", "target": "v2", "over_s": 30.0});
    store.put("keyed.op", "rollout/desk", &order.to_string());
    let running = async {
        loop {
            let (code, list) = json_answer(&admin).await;
            if let Some(shown) = list["rollouts"].get(0) {
                return (code, shown["view"].clone());
            }
        }
    };
    let (code, view) = timeout(WAIT_TIMEOUT, running).await.expect("the order");
    assert_eq!(code, Some(0));
    assert_eq!(view["order"]["target"], "v2");
    assert_eq!(view["order"]["over_ms"], 30_000);
    assert_eq!(view["stage"], "Trial");
    assert!(view["age_ms"].as_u64().is_some_and(|age| age < 30_000));
    let sent = async {
        loop {
            for _call in 0..20 {
                host.send_request().await;
            }
            let (code, list) = json_answer(&admin).await;
            if code == Some(ROLLED_BACK) {
                return list;
            }
        }
    };
    let list = timeout(WAIT_TIMEOUT, sent).await.expect("a verdict");
    let (shown, view) = (&list["rollouts"][0], &list["rollouts"][0]["view"]);
    assert_eq!(list["leads"], true);
    assert_eq!(view["stage"], "RolledBack");
    assert!(view["finding"]["statistic"].is_string(), "{view}");
    // What the host says is what the servers saw.
    let exposed = bad.requests().len() + worse.requests().len();
    assert_eq!(view["own_exposed"], exposed);
    assert_eq!(view["own"]["new_answers"], exposed);
    assert_eq!(view["own"]["new_failures"], exposed);
    let permitted = view["own_permitted"].as_f64().expect("a number");
    assert!(exposed as f64 <= permitted, "{view}");
    let shown_servers = shown["servers"].as_array().expect("servers");
    let names: Vec<&str> = shown_servers
        .iter()
        .filter_map(|s| s["server"].as_str())
        .collect();
    assert!(
        names.contains(&"i-8") && names.contains(&"i-9"),
        "{names:?}"
    );
    let text = run_rollouts(&admin, &[]).await;
    assert_eq!(text.code, Some(ROLLED_BACK));
    for part in ["desk to v2: rolled_back", "why: ", "permitted", "i-8"] {
        assert!(text.stdout.contains(part), "{part}: {}", text.stdout);
    }
}

#[tokio::test]
async fn a_host_that_does_not_answer_is_named_and_the_rate_is_bounded() {
    let old = start_server(200).await;
    let (_store, _host, admin) = start_host(&old).await;
    let unreachable = run_rollouts("127.0.0.1:9", &[]).await;
    assert_eq!(unreachable.code, Some(1), "{}", unreachable.stderr);
    assert!(unreachable.stderr.contains("127.0.0.1:9"));
    let address = admin.parse().expect("an address");
    let client = HttpClient::default();
    let mut refused = 0;
    for _call in 0..20 {
        let response = client.call(HttpRequest::get(address, "/rollouts")).await;
        refused += u32::from(response.expect("an answer").status == TOO_MANY_REQUESTS);
    }
    assert!(refused > 0);
}
