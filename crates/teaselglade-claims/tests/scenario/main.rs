//! Scripted scenarios of keyed calls and claims.

#[path = "../simulation/mod.rs"]
mod simulation;

use std::fmt::Display;
use std::path::Path;
use std::time::Duration;

use teaselglade_claims::shard::ClaimOptions;
use teaselglade_scenario::{ScenarioStep, parse_scenario};

use crate::simulation::{
    AppendOutcome, AttemptOutcome, CallPlan, FaultProbabilities, Fleet, Task, check,
};

const HOSTS: usize = 3;
const SETTLE_TIME: Duration = Duration::from_mins(1);

#[expect(
    clippy::needless_pass_by_value,
    reason = "the harness passes the text by value"
)]
fn run_scenario(path: &Path, text: String) -> datatest_stable::Result<()> {
    let options = ClaimOptions::default();
    let mut fleet = Fleet::new(HOSTS, options, FaultProbabilities::default(), 7)
        .with_retention(options.window.min_retention());
    let start = fleet.now;
    for step in parse_scenario(&text)? {
        fleet.run_until(start + step.at);
        run_step(&mut fleet, &step)?;
    }
    fleet.run_until(fleet.now + SETTLE_TIME);
    let breaches = check(&fleet.calls);
    let executions = fleet.calls.iter().map(|call| call.executed.len());
    fleet.trace.push(format!(
        "executions={} appends={} breaches={breaches:?}",
        executions.sum::<usize>(),
        fleet.appends()
    ));
    let name = path
        .file_stem()
        .map_or_else(String::new, |stem| stem.to_string_lossy().into());
    let mut settings = insta::Settings::clone_current();
    settings.set_prepend_module_to_snapshot(false);
    settings.set_omit_expression(true);
    settings.bind(|| insta::assert_snapshot!(name, fleet.trace.join("\n")));
    if breaches.is_empty() {
        return Ok(());
    }
    Err(format!("{breaches:?}").into())
}

fn run_step(fleet: &mut Fleet, step: &ScenarioStep) -> datatest_stable::Result<()> {
    let now = fleet.now;
    let duration = |name| step.opt_duration(name).map(Option::unwrap_or_default);
    match step.verb.as_str() {
        "call" => {
            let key = step.value("key")?;
            let plan = CallPlan {
                key,
                host: step.value("host")?,
                calls: 1,
                body: step.opt_value("body")?.unwrap_or(key),
            };
            fleet.schedule(now, Task::Send(plan));
        }
        "crash" => fleet.schedule(now, Task::Crash(step.value("host")?)),
        "pause" => fleet.schedule(now, Task::Pause(step.value("host")?)),
        "clock" => fleet.set_skew(
            step.value("host")?,
            -(duration("behind")?.as_millis() as i64),
        ),
        "suspend" => fleet.schedule(now, Task::Suspend(step.value("host")?)),
        "resume" => fleet.schedule(now, Task::Resume(step.value("host")?)),
        "log" => fleet.schedule(now, Task::LogOutage(step.word(0)? == "out")),
        "append" => fleet.forced_appends.push_back(match step.word(0)? {
            "lands" => AppendOutcome::Written,
            "answer-lost" => AppendOutcome::WrittenResponseLost,
            "lost" => AppendOutcome::NotWrittenResponseLost,
            "late" => AppendOutcome::WrittenLate(duration("for")?),
            other => return unknown(step, other),
        }),
        "attempt" => fleet.forced_attempts.push_back(match step.word(0)? {
            "runs" => AttemptOutcome::Runs(duration("for")?),
            "answer-lost" => AttemptOutcome::RunsResponseLost,
            "not-sent" => AttemptOutcome::NotSent,
            "refused" => AttemptOutcome::RefusedByServer,
            other => return unknown(step, other),
        }),
        other => return unknown(step, other),
    }
    Ok(())
}

fn unknown(step: &ScenarioStep, word: impl Display) -> datatest_stable::Result<()> {
    Err(step.fault(format!("`{word}` is unknown")).into())
}

datatest_stable::harness! {
    { test = run_scenario, root = "tests/scenarios", pattern = r"\.scenario$" },
}
