//! Help texts, shell completions and the man page.

use super::tool_run::ToolRun;

#[test]
fn help_lists_every_command() {
    insta::assert_snapshot!(ToolRun::tool(&["--help"]).stdout);
}

#[test]
fn publish_help_lists_every_option() {
    insta::assert_snapshot!(ToolRun::tool(&["table", "publish", "--help"]).stdout);
}

#[test]
fn unknown_commands_are_rejected() {
    let run = ToolRun::tool(&["tables"]);
    assert_eq!(run.code, Some(2));
    assert!(
        run.stderr.contains("unrecognized subcommand 'tables'"),
        "{}",
        run.stderr
    );
}

#[test]
fn completions_and_man_page_are_printed() {
    assert!(
        ToolRun::tool(&["completions", "bash"])
            .stdout
            .contains("_teaselglade")
    );
    assert!(ToolRun::tool(&["man"]).stdout.contains(".TH teaselglade"));
}

#[test]
fn a_serving_host_that_does_not_answer_is_named() {
    let run = ToolRun::tool(&["quarantine", "list", "--host", "127.0.0.1:1"]);
    assert_eq!(run.code, Some(1));
    assert!(
        run.stderr.contains("no answer of host `127.0.0.1:1`"),
        "{}",
        run.stderr
    );
}
