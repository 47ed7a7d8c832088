//! `teaselglade where` against the process of a host.

use std::process::Command;
use std::time::Duration;

use serde_json::Value;
use teaselglade_net::client::HttpResponse;
use tokio::time::sleep;

use super::fixture::{config_record, server_record};
use super::host_process::HostProcess;
use super::server_standin::{Reply, ServerStandin, response_bytes};
use super::store_standin::StoreStandin;

/// Exit code of a command line or query that is wrong.
const INVALID_INPUT: i32 = 2;
/// Exit code of a request that no server would take.
const NOT_PLACED: i32 = 6;

struct ToolAnswer {
    code: Option<i32>,
    stdout: String,
    stderr: String,
}

/// Runs `teaselglade where`; asks again while the host bounds the rate.
async fn run_where(admin: &str, arguments: &[&str]) -> ToolAnswer {
    loop {
        let mut command = Command::new(env!("CARGO_BIN_EXE_teaselglade"));
        command.args(["where", "--admin", admin]).args(arguments);
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

/// Starts a host that knows one plain server, and returns it with its admin address.
async fn start_host(desk: &ServerStandin) -> (StoreStandin, HostProcess, String) {
    let store = StoreStandin::start().await;
    store.put("keyed.op", "config", &config_record(1, 2).to_string());
    let record = server_record("desk", desk.address, 1);
    store.put("keyed.servers", "i-0", &record);
    let host = HostProcess::start_with(Some(store.address), "");
    let has_server = |response: &HttpResponse| response.status == 200;
    host.call_until("/peek/1", has_server).await;
    let admin = format!("{}:9464", host.caller_address().ip());
    (store, host, admin)
}

#[tokio::test]
async fn the_server_the_sums_and_the_ages_are_printed_and_nothing_is_counted() {
    let desk =
        ServerStandin::start(|request, _| Reply::KeepAlive(response_bytes(request, 200, "ok")))
            .await;
    let (_store, host, admin) = start_host(&desk).await;
    let before = host.metrics().await;
    let request = ["shop.example", "/peek/1", "--organisation", "halloran"];
    let answer = run_where(&admin, &[&request[..], &["--json"]].concat()).await;
    assert_eq!(answer.code, Some(0), "{}", answer.stderr);
    let report: Value = serde_json::from_str(&answer.stdout).expect("JSON");
    assert_eq!(report["server"], "i-0");
    assert_eq!(report["service"], "desk");
    assert_eq!(report["organisation"], "halloran");
    assert_eq!(report["options"][0]["zone"], "galway");
    assert!(report["ages"]["registrations_ms"].is_u64());
    let text = run_where(&admin, &request).await;
    assert!(text.stdout.starts_with("i-0 of desk\n"), "{}", text.stdout);
    assert!(
        text.stdout.contains("age of registrations"),
        "{}",
        text.stdout
    );
    let counted = |metrics: &str| -> Vec<String> {
        let names = ["teaselglade_answers_total", "teaselglade_refusals_total"];
        let is_counted = |line: &&str| names.iter().any(|name| line.starts_with(name));
        metrics
            .lines()
            .filter(is_counted)
            .map(str::to_owned)
            .collect()
    };
    assert_eq!(counted(&before), counted(&host.metrics().await));
}

#[tokio::test]
async fn bad_input_and_refusals_have_their_own_exit_codes() {
    let desk =
        ServerStandin::start(|request, _| Reply::KeepAlive(response_bytes(request, 200, "ok")))
            .await;
    let (_store, _host, admin) = start_host(&desk).await;
    let cases: [(&[&str], i32, &str); 8] = [
        (
            &["shop.example", "/nowhere/1"],
            INVALID_INPUT,
            "no route for `shop.example/nowhere/1`",
        ),
        (
            &["shop.example", "/peek/1"],
            INVALID_INPUT,
            "needs an organisation",
        ),
        (
            &["shop.example", "/peek/1", "--organisation", "nobody"],
            INVALID_INPUT,
            "no organisation of the table",
        ),
        (
            &[
                "shop.example",
                "/peek/1",
                "--organisation",
                "k-1",
                "--service",
                "other",
            ],
            INVALID_INPUT,
            "has no service `other`",
        ),
        (
            &["shop.example", "/draft/1", "--tokens", "900"],
            INVALID_INPUT,
            "as in 1460,80",
        ),
        (
            &[
                "shop.example",
                "/draft/1",
                "--tokens",
                "900,40",
                "--parts",
                "zz:9",
            ],
            INVALID_INPUT,
            "an id in hexadecimal",
        ),
        (&["shop.example"], INVALID_INPUT, "<PATH>"),
        (
            &[
                "shop.example",
                "/draft/1",
                "--organisation",
                "k-1",
                "--tokens",
                "900,40",
            ],
            NOT_PLACED,
            "",
        ),
    ];
    for (arguments, code, message) in cases {
        let answer = run_where(&admin, arguments).await;
        assert_eq!(answer.code, Some(code), "{arguments:?}: {}", answer.stderr);
        assert!(
            answer.stderr.contains(message),
            "{arguments:?}: {}",
            answer.stderr
        );
        if code == NOT_PLACED {
            assert!(
                answer.stdout.contains("no engine takes work"),
                "{}",
                answer.stdout
            );
        }
    }
    let unreachable = run_where("127.0.0.1:9", &["shop.example", "/peek/1"]).await;
    assert_eq!(unreachable.code, Some(1), "{}", unreachable.stderr);
    assert!(
        unreachable.stderr.contains("127.0.0.1:9"),
        "{}",
        unreachable.stderr
    );
}
