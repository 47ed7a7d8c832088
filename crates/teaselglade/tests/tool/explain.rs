//! `explain`: the log lines of a failed request and its cause, for three kinds of failure.

use std::path::Path;

use super::tool_run::ToolRun;

fn explain(id: &str) -> ToolRun {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/tool/logs");
    let file = |name: &str| folder.join(name).display().to_string();
    let (galway, sligo) = (file("edge-galway-1.log"), file("edge-sligo-1.log"));
    ToolRun::tool(&["explain", id, &galway, &sligo])
}

#[test]
fn a_refusal_is_shown_with_the_lost_dependency() {
    insta::assert_snapshot!(explain("7b088156e9b2d22d").stdout);
}

#[test]
fn a_truncated_stream_is_shown_with_the_state_change_of_its_server() {
    insta::assert_snapshot!(explain("894bea37576962ae").stdout);
}

#[test]
fn a_plain_call_that_may_have_run_is_shown_with_its_only_attempt() {
    let timeline = explain("e8579fd3fee65372").stdout;
    assert!(
        !timeline.contains("leaving"),
        "an event a minute later is no cause"
    );
    insta::assert_snapshot!(timeline);
}

#[test]
fn a_request_in_a_summary_line_is_found() {
    let timeline = explain("0002").stdout;
    assert!(
        timeline.contains("lines_summed_up cause=refused"),
        "{timeline}"
    );
}

#[test]
fn an_id_without_log_lines_is_reported() {
    let run = explain("ffff");
    assert_eq!(run.code, Some(1));
    assert!(run.stderr.contains("no line names ffff"), "{}", run.stderr);
}

#[test]
fn a_stream_cut_by_the_end_of_its_engine_is_shown_with_the_attempt_that_ended_it() {
    let timeline = explain("51aa0000000000aa").stdout;
    assert!(!timeline.contains("i-78"), "another server is no cause");
    insta::assert_snapshot!(timeline);
}

#[test]
fn a_request_in_hand_at_the_end_of_a_process_is_shown_with_the_stop() {
    let timeline = explain("30d10000000000ab").stdout;
    assert!(!timeline.contains("30d10000000000cd"), "{timeline}");
    insta::assert_snapshot!(timeline);
}
