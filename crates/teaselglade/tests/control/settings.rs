//! Checks of the control daemon's settings file.

use std::fs;
use std::process::Command;

use tempfile::TempDir;

const INVALID_SETTINGS: &str = r#"{
    "host": "galway-e1", // the zone is missing
    "cluster": "corrib",
    "control": "127.0.0.1",
    "log": "127.0.0.1:9001",
    "host_list": "127.0.0.1:9002",
    "cloud": "127.0.0.1:9003",
    "weights": "127.0.0.1:9004",
    "offers": [{ "zone": "galway", "class": "l4", "purchase": "cheap", "cents_per_hour": 0 }],
    "lease": { "term_ms": 5000, "takeover_ms": 4000 },
    "retention": 5
}"#;

#[test]
fn every_fault_is_listed_with_file_line_and_field() {
    let folder = TempDir::new().expect("a folder");
    let path = folder.path().join("control.jsonc");
    fs::write(&path, INVALID_SETTINGS).expect("the file is written");
    let mut command = Command::new(env!("CARGO_BIN_EXE_teaselglade-control"));
    command.arg("--check").arg("--config").arg(&path);
    let output = command.output().expect("the daemon runs");
    assert_eq!(output.status.code(), Some(2));
    let text = String::from_utf8_lossy(&output.stderr).into_owned();
    let folder = folder.path().display().to_string();
    insta::assert_snapshot!(text.replace(&folder, "FOLDER"));
}
