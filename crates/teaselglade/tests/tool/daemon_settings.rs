//! Checks of the entry daemon's settings file.

use std::fs;

use tempfile::TempDir;

use super::tool_run::ToolRun;

const INVALID_SETTINGS: &str = r#"{
    "host": "galway-e1", // the zone is missing
    "cluster": 7,
    "callers": "127.0.0.1",
    "peers": "127.0.0.1:8081",
    "log": "127.0.0.1:9001",
    "host_list": "127.0.0.1:9002",
    "log_format": "xml",
    "drain": 5
}"#;

fn check(text: &str) -> (ToolRun, String) {
    let folder = TempDir::new().expect("a folder");
    let path = folder.path().join("entry.jsonc");
    fs::write(&path, text).expect("the file is written");
    let path = path.display().to_string();
    let program = env!("CARGO_BIN_EXE_teaselglade-entry");
    let run = ToolRun::run_program(program, &["--check", "--config", &path]);
    (run, folder.path().display().to_string())
}

#[test]
fn every_fault_is_listed_with_file_line_and_field() {
    let (run, folder) = check(INVALID_SETTINGS);
    assert_eq!(run.code, Some(2));
    insta::assert_snapshot!(run.snapshot(&folder));
}

#[test]
fn broken_syntax_is_reported_with_its_line() {
    let (run, folder) = check("{\n  \"host\": ]\n}");
    assert_eq!(run.code, Some(2));
    insta::assert_snapshot!(run.snapshot(&folder));
}
