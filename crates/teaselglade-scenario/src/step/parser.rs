//! Reads the steps of a scenario.

use std::time::Duration;

use super::ScenarioStep;
use crate::{Result, ScenarioError};

const UNITS: [(&str, f64); 4] = [("us", 1e-6), ("ms", 1e-3), ("s", 1.0), ("m", 60.0)];

/// Reads the steps of a scenario, in the order of the file.
///
/// # Errors
///
/// Fails at the first malformed line and where a step is earlier than the one before.
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
    let told = lines.filter(|(_, line)| !line.is_empty() && !line.starts_with('#'));
    let steps = told
        .map(|(line, text)| parse_step(line, text))
        .collect::<Result<Vec<_>>>()?;
    check_order(&steps)?;
    Ok(steps)
}

pub(super) fn parse_span(text: &str) -> Option<Duration> {
    let digits = text.trim_end_matches(|c: char| c.is_ascii_alphabetic());
    let number = digits.parse::<f64>().ok().filter(|number| *number >= 0.0)?;
    let unit = &text[digits.len()..];
    let (_, seconds) = UNITS.iter().find(|(name, _)| *name == unit)?;
    Duration::try_from_secs_f64(number * seconds).ok()
}

fn parse_step(line: usize, text: &str) -> Result<ScenarioStep> {
    let fault = |reason: &str| ScenarioError {
        line,
        reason: reason.to_owned(),
    };
    let mut parts = text.split_whitespace();
    if parts.next() != Some("at") {
        return Err(fault("a step starts with `at`"));
    }
    let span = parts.next().and_then(parse_span);
    let at = span.ok_or_else(|| fault("behind `at` comes a span, such as `20ms`"))?;
    let verb = parts.next().ok_or_else(|| fault("the verb is missing"))?;
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
    let early = steps.windows(2).find(|pair| pair[1].at < pair[0].at);
    match early {
        Some(pair) => Err(pair[1].fault("the step is earlier than the one before")),
        None => Ok(()),
    }
}
