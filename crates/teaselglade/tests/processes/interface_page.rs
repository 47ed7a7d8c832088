//! Runs the examples of the page on the callers' API, `docs/INTERFACE.md`.

use std::fs;
use std::path::Path;
use std::process::Command;

use teaselglade_standins::fleet::FleetPlan;

use super::harness::TestFleet;

/// Example of the page: a shell script and the texts that its output must contain.
#[derive(Debug)]
struct PageExample {
    script: String,
    expected_texts: Vec<String>,
}

fn read_examples(page: &str) -> Vec<PageExample> {
    let blocks = page.split("```").skip(1).step_by(2);
    let blocks = blocks
        .filter_map(|block| block.split_once('\n'))
        .collect::<Vec<_>>();
    let pairs = blocks
        .windows(2)
        .filter(|pair| pair[0].0 == "sh" && pair[1].0 == "text");
    let examples = pairs.map(|pair| PageExample {
        script: pair[0].1.to_owned(),
        expected_texts: pair[1].1.lines().map(str::to_owned).collect(),
    });
    examples.collect()
}

#[tokio::test(flavor = "multi_thread")]
async fn every_example_prints_what_the_page_shows() {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/INTERFACE.md");
    let page = fs::read_to_string(path).expect("the page is there");
    let examples = read_examples(&page);
    assert_eq!(examples.len(), page.matches("```sh").count());
    let fleet = TestFleet::start(FleetPlan::corrib(), 1).await;
    for example in examples {
        let entry = fleet.callers()[0].to_string();
        let mut command = Command::new("sh");
        command.args(["-euc", &example.script]).env("ENTRY", entry);
        let output = command.output().expect("the shell runs");
        let text = String::from_utf8_lossy(&output.stdout);
        let errors = String::from_utf8_lossy(&output.stderr);
        for expected in &example.expected_texts {
            assert!(
                text.contains(expected),
                "{expected}\n{}\n{text}\n{errors}",
                example.script
            );
        }
    }
}
