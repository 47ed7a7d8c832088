//! `table` commands against a log stand-in.

use std::fs;

use teaselglade_standins::fleet::{FleetPlan, FleetPorts, StandInFleet};
use teaselglade_standins::log::LogLimits;
use tempfile::TempDir;

use super::tool_run::ToolRun;

const INVALID_TABLE: &str = "\
kind,name,weight,first_token_ms,colour
organisation,halloran,-1,,
model,draft-fleet,1,soon,
organisation,halloran,1,,
shop,galway,1,,
";

fn write_file(folder: &TempDir, name: &str, text: &str) -> String {
    let path = folder.path().join(name);
    fs::write(&path, text).expect("the file is written");
    path.display().to_string()
}

#[test]
fn check_lists_every_fault_with_row_column_and_reason() {
    let folder = TempDir::new().expect("a folder");
    let file = write_file(&folder, "table.csv", INVALID_TABLE);
    let run = ToolRun::tool(&["table", "check", &file]);
    insta::assert_snapshot!(run.snapshot(&folder.path().display().to_string()));
    let run = ToolRun::tool(&["table", "check", "--json", &file]);
    insta::assert_snapshot!(run.snapshot(&folder.path().display().to_string()));
}

/// Guards against programs that end on a table whose durations no clock holds.
#[test]
fn check_names_durations_that_are_too_long() {
    let folder = TempDir::new().expect("a folder");
    let table = "kind,name,first_token_ms,token_gap_ms\n\
                 model,draft-fleet,2592000000,40\n\
                 model,quote-fleet,2592000001,1e22\n\
                 plain,ticket-desk,1e300,\n";
    let file = write_file(&folder, "table.csv", table);
    let run = ToolRun::tool(&["table", "check", &file]);
    insta::assert_snapshot!(run.snapshot(&folder.path().display().to_string()));
}

#[tokio::test(flavor = "multi_thread")]
async fn concurrent_publications_have_one_winner_and_a_clear_rejection() {
    let plan = FleetPlan {
        servers: Vec::new(),
        ..FleetPlan::corrib()
    };
    let standins = StandInFleet::start(&plan, FleetPorts::default(), LogLimits::default()).await;
    let log = standins
        .as_ref()
        .expect("the stand-ins start")
        .addresses
        .log
        .to_string();
    let folder = TempDir::new().expect("a folder");
    let first = write_file(&folder, "first.csv", &plan.table);
    let second = write_file(
        &folder,
        "second.csv",
        &plan.table.replace("claddagh-rings,1", "claddagh-rings,2"),
    );
    let platform = ["--log", &log, "--cluster", "corrib"];
    let publish = |file: &str, author: &str, base: &str| {
        let arguments = ["table", "publish", file, "--author", author, "--base", base];
        ToolRun::tool(&[&arguments[..], &platform[..]].concat())
    };
    let accepted = publish(&first, "aoife", "0");
    assert_eq!(
        (accepted.code, accepted.stdout.as_str()),
        (Some(0), "accepted as version 1\n")
    );
    let rejected = publish(&second, "brendan", "0");
    insta::assert_snapshot!(rejected.snapshot(&folder.path().display().to_string()));
    let later = publish(&second, "brendan", "1");
    assert_eq!(
        (later.code, later.stdout.as_str()),
        (Some(0), "accepted as version 2\n")
    );
    let shown = ToolRun::tool(&[&["table", "show"][..], &platform[..]].concat());
    assert!(
        shown.stdout.starts_with("# version 2 by brendan\n"),
        "{}",
        shown.stdout
    );
    let history = ToolRun::tool(&[&["table", "history", "--json"][..], &platform[..]].concat());
    assert!(
        history.stdout.contains("accepted as version 2"),
        "{}",
        history.stdout
    );
    let filter = ["audit", "--actor", "brendan", "--action", "table_published"];
    let audit = ToolRun::tool(&[&filter[..], &platform[..]].concat());
    assert_eq!(
        audit.stdout.lines().count(),
        1,
        "{}{}",
        audit.stdout,
        audit.stderr
    );
    assert!(
        audit.stdout.contains("version 1 -> version 2"),
        "{}",
        audit.stdout
    );
}

#[test]
fn an_unreachable_log_is_reported() {
    let arguments = [
        "table",
        "show",
        "--log",
        "127.0.0.1:9",
        "--cluster",
        "corrib",
    ];
    let run = ToolRun::tool(&arguments);
    assert_eq!(run.code, Some(1));
    assert!(
        run.stderr
            .starts_with("teaselglade: the log refused the call"),
        "{}",
        run.stderr
    );
}
