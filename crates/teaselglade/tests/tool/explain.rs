//! `explain`: from a failed request's id to its cause, three kinds.

use std::path::Path;

use super::tool_run::ToolRun;

fn explain(id: &str) -> ToolRun {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/tool/logs");
    let file = |name: &str| folder.join(name).display().to_string();
    let (galway, sligo) = (file("edge-galway-1.log"), file("edge-sligo-1.log"));
    ToolRun::tool(&["explain", id, &galway, &sligo])
}

#[test]
fn a_refusal_stands_beside_the_dependency_that_was_lost() {
    insta::assert_snapshot!(explain("7b088156e9b2d22d").stdout);
}

#[test]
fn a_cut_stream_stands_beside_what_became_of_its_server() {
    insta::assert_snapshot!(explain("894bea37576962ae").stdout);
}

#[test]
fn a_booking_that_may_have_run_shows_its_only_attempt() {
    let story = explain("e8579fd3fee65372").stdout;
    assert!(!story.contains("leaving"), "a minute later, and no cause");
    insta::assert_snapshot!(story);
}

#[test]
fn a_request_whose_lines_were_summed_up_is_found() {
    let story = explain("0002").stdout;
    assert!(story.contains("lines_summed_up cause=refused"), "{story}");
}

#[test]
fn an_id_that_nobody_wrote_of_is_told() {
    let run = explain("ffff");
    assert_eq!(run.code, Some(1));
    assert!(run.stderr.contains("no line names ffff"), "{}", run.stderr);
}
