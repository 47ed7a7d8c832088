//! Parses the steps of a scenario.

use std::time::Duration;

use super::ScenarioStep;
use crate::{Result, ScenarioError};

const UNIT_SECONDS: [(&str, f64); 4] = [("us", 1e-6), ("ms", 1e-3), ("s", 1.0), ("m", 60.0)];

/// Parses the steps of a scenario, in the order of the file.
///
/// # Errors
///
/// Fails at the first malformed line, or if a step is earlier than the one before it.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use teaselglade_scenario::parse_scenario;
///
/// let steps = parse_scenario("# a caller\nat 5ms call k1 service=till-desk\n")?;
/// assert_eq!(steps[0].at, Duration::from_millis(5));
/// assert_eq!(steps[0].word(0)?, "k1");
/// assert_eq!(steps[0].value::<String>("service")?, "till-desk");
/// # Ok::<(), teaselglade_scenario::ScenarioError>(())
/// ```
pub fn parse_scenario(text: &str) -> Result<Vec<ScenarioStep>> {
    let lines = text
        .lines()
        .enumerate()
        .map(|(index, line)| (index + 1, line.trim()));
    let step_lines = lines.filter(|(_, line)| !line.is_empty() && !line.starts_with('#'));
    let steps = step_lines
        .map(|(line, text)| parse_step(line, text))
        .collect::<Result<Vec<_>>>()?;
    check_order(&steps)?;
    Ok(steps)
}

pub(super) fn parse_duration(text: &str) -> Option<Duration> {
    let digits = text.trim_end_matches(|c: char| c.is_ascii_alphabetic());
    let number = digits.parse::<f64>().ok().filter(|number| *number >= 0.0)?;
    let unit = &text[digits.len()..];
    let (_, seconds) = UNIT_SECONDS.iter().find(|(name, _)| *name == unit)?;
    Duration::try_from_secs_f64(number * seconds).ok()
}

fn parse_step(line: usize, text: &str) -> Result<ScenarioStep> {
    let error = |reason: &str| ScenarioError {
        line,
        reason: reason.to_owned(),
    };
    let mut parts = text.split_whitespace();
    if parts.next() != Some("at") {
        return Err(error("expected the step to start with `at`"));
    }
    let time = parts.next().and_then(parse_duration);
    let at = time.ok_or_else(|| error("expected a time after `at`, such as `20ms`"))?;
    let verb = parts
        .next()
        .ok_or_else(|| error("expected a verb after the time"))?;
    let (named, words): (Vec<_>, Vec<_>) = parts.partition(|part| part.contains('='));
    let named = named.into_iter().filter_map(|part| part.split_once('='));
    Ok(ScenarioStep {
        line,
        at,
        verb: verb.to_owned(),
        words: words.into_iter().map(str::to_owned).collect(),
        named: named
            .map(|(name, value)| (name.to_owned(), value.to_owned()))
            .collect(),
    })
}

fn check_order(steps: &[ScenarioStep]) -> Result<()> {
    let out_of_order = steps.windows(2).find(|pair| pair[1].at < pair[0].at);
    match out_of_order {
        Some(pair) => Err(pair[1].fault("the step is earlier than the one before it")),
        None => Ok(()),
    }
}
