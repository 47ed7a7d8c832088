//! Counts of one policy.

use std::time::Duration;

use hdrhistogram::Histogram;

const HIGHEST_MICROS: u64 = 600_000_000;
const SIGNIFICANT_DIGITS: u8 = 3;

/// How a request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestOutcome {
    /// The whole answer came.
    Whole {
        /// Whether both targets were met.
        on_target: bool,
    },
    /// The request was refused as "not run".
    Refused,
}

/// Requests that arrived in one second of a run.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct SecondTally {
    /// Requests that arrived.
    pub offered: u32,
    /// Those that got a whole answer within both targets.
    pub on_target: u32,
}

/// Counts of one policy.
#[derive(Debug, Clone)]
pub struct PolicyTally {
    /// Requests that ended, refused ones included.
    pub offered: u64,
    /// Requests with a whole answer.
    pub whole: u64,
    /// Requests with a whole answer within both targets.
    pub on_target: u64,
    /// Requests that were refused.
    pub refused: u64,
    /// Requests that had not ended when the run did.
    pub unfinished: u64,
    /// Attempts that a reclaim cut.
    pub lost_attempts: u64,
    /// Prompt tokens computed, all in all.
    pub computed_tokens: u64,
    /// Tokens computed again after a loss.
    pub recomputed_tokens: u64,
    /// Price of the hosts while they were held, in euro cents.
    pub held_cents: f64,
    /// Price of the hosts while they ran requests, in euro cents.
    pub busy_cents: f64,
    /// Price of the whole fleet over the run, in euro cents.
    pub whole_fleet_cents: f64,
    /// Requests of the last run by the second of their arrival.
    pub seconds: Vec<SecondTally>,
    /// Times to the first token, in microseconds.
    pub first_tokens: Histogram<u64>,
    /// Times between two tokens, in microseconds.
    pub gaps: Histogram<u64>,
}

impl Default for PolicyTally {
    fn default() -> Self {
        Self {
            offered: 0,
            whole: 0,
            on_target: 0,
            refused: 0,
            unfinished: 0,
            lost_attempts: 0,
            computed_tokens: 0,
            recomputed_tokens: 0,
            held_cents: 0.0,
            busy_cents: 0.0,
            whole_fleet_cents: 0.0,
            seconds: Vec::new(),
            first_tokens: histogram(),
            gaps: histogram(),
        }
    }
}

impl PolicyTally {
    /// Adds the counts of another run.
    pub fn add(&mut self, other: &Self) {
        self.offered += other.offered;
        self.whole += other.whole;
        self.on_target += other.on_target;
        self.refused += other.refused;
        self.unfinished += other.unfinished;
        self.lost_attempts += other.lost_attempts;
        self.computed_tokens += other.computed_tokens;
        self.recomputed_tokens += other.recomputed_tokens;
        self.held_cents += other.held_cents;
        self.busy_cents += other.busy_cents;
        self.whole_fleet_cents += other.whole_fleet_cents;
        self.seconds.clone_from(&other.seconds);
        merge(&mut self.first_tokens, &other.first_tokens);
        merge(&mut self.gaps, &other.gaps);
    }

    /// Counts the end of a request that arrived `arrived` after the start.
    pub fn add_outcome(&mut self, arrived: Duration, outcome: RequestOutcome) {
        self.offered += 1;
        let second = arrived.as_secs() as usize;
        if self.seconds.len() <= second {
            self.seconds.resize(second + 1, SecondTally::default());
        }
        self.seconds[second].offered += 1;
        let on_target = matches!(outcome, RequestOutcome::Whole { on_target: true });
        self.seconds[second].on_target += u32::from(on_target);
        match outcome {
            RequestOutcome::Whole { on_target } => {
                self.whole += 1;
                self.on_target += u64::from(on_target);
            }
            RequestOutcome::Refused => self.refused += 1,
        }
    }

    /// Counts a first token.
    pub fn add_first_token(&mut self, span: Duration) {
        self.first_tokens.saturating_record(micros(span));
    }

    /// Counts the time between two tokens.
    pub fn add_gap(&mut self, span: Duration) {
        self.gaps.saturating_record(micros(span));
    }
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, HIGHEST_MICROS, SIGNIFICANT_DIGITS)
        .expect("the bounds are constants that the histogram takes")
}

fn merge(into: &mut Histogram<u64>, from: &Histogram<u64>) {
    into.add(from)
        .expect("both histograms have the same bounds");
}

fn micros(span: Duration) -> u64 {
    u64::try_from(span.as_micros()).unwrap_or(u64::MAX)
}
