//! Counts and latencies of one policy.

use std::time::Duration;

use hdrhistogram::Histogram;

const MAX_LATENCY_MICROS: u64 = 600_000_000;
const SIGNIFICANT_DIGITS: u8 = 3;

/// Outcome of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestOutcome {
    /// All output tokens were delivered.
    Completed {
        /// Whether both latency targets were met.
        on_target: bool,
    },
    /// The request was refused without being run.
    Refused,
}

/// Requests that arrived in one second of a run.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct SecondStats {
    /// Requests that arrived.
    pub offered: u32,
    /// Requests that completed within both latency targets.
    pub on_target: u32,
}

/// Counts and latencies of one policy.
#[derive(Debug, Clone)]
pub struct PolicyStats {
    /// Requests that ended, refused ones included.
    pub offered: u64,
    /// Requests that completed.
    pub completed: u64,
    /// Requests that completed within both latency targets.
    pub on_target: u64,
    /// Requests that were refused.
    pub refused: u64,
    /// Requests that had not ended at the end of the run.
    pub unfinished: u64,
    /// Attempts that failed because their host was reclaimed.
    pub lost_attempts: u64,
    /// Prompt tokens that were computed in total.
    pub computed_tokens: u64,
    /// Tokens that were computed again after a loss.
    pub recomputed_tokens: u64,
    /// Price of the hosts until they were released, in euro cents.
    pub billed_cents: f64,
    /// Price of the hosts while they ran requests, in euro cents.
    pub busy_cents: f64,
    /// Price of the whole fleet over the run, in euro cents.
    pub whole_fleet_cents: f64,
    /// Requests of the last run, by the second of their arrival.
    pub seconds: Vec<SecondStats>,
    /// Times to the first token, in microseconds.
    pub first_tokens: Histogram<u64>,
    /// Times between two tokens, in microseconds.
    pub token_gaps: Histogram<u64>,
}

impl Default for PolicyStats {
    fn default() -> Self {
        Self {
            offered: 0,
            completed: 0,
            on_target: 0,
            refused: 0,
            unfinished: 0,
            lost_attempts: 0,
            computed_tokens: 0,
            recomputed_tokens: 0,
            billed_cents: 0.0,
            busy_cents: 0.0,
            whole_fleet_cents: 0.0,
            seconds: Vec::new(),
            first_tokens: latency_histogram(),
            token_gaps: latency_histogram(),
        }
    }
}

impl PolicyStats {
    /// Adds the counts of another run.
    pub fn add(&mut self, other: &Self) {
        self.offered += other.offered;
        self.completed += other.completed;
        self.on_target += other.on_target;
        self.refused += other.refused;
        self.unfinished += other.unfinished;
        self.lost_attempts += other.lost_attempts;
        self.computed_tokens += other.computed_tokens;
        self.recomputed_tokens += other.recomputed_tokens;
        self.billed_cents += other.billed_cents;
        self.busy_cents += other.busy_cents;
        self.whole_fleet_cents += other.whole_fleet_cents;
        self.seconds.clone_from(&other.seconds);
        merge(&mut self.first_tokens, &other.first_tokens);
        merge(&mut self.token_gaps, &other.token_gaps);
    }

    /// Records the outcome of a request that arrived `arrival` after the start.
    pub fn record_outcome(&mut self, arrival: Duration, outcome: RequestOutcome) {
        self.offered += 1;
        let second = arrival.as_secs() as usize;
        if self.seconds.len() <= second {
            self.seconds.resize(second + 1, SecondStats::default());
        }
        self.seconds[second].offered += 1;
        let on_target = matches!(outcome, RequestOutcome::Completed { on_target: true });
        self.seconds[second].on_target += u32::from(on_target);
        match outcome {
            RequestOutcome::Completed { on_target } => {
                self.completed += 1;
                self.on_target += u64::from(on_target);
            }
            RequestOutcome::Refused => self.refused += 1,
        }
    }

    /// Records the time from arrival to the first token.
    pub fn record_first_token(&mut self, latency: Duration) {
        self.first_tokens.saturating_record(as_micros(latency));
    }

    /// Records the time between two tokens.
    pub fn record_token_gap(&mut self, latency: Duration) {
        self.token_gaps.saturating_record(as_micros(latency));
    }
}

fn latency_histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, MAX_LATENCY_MICROS, SIGNIFICANT_DIGITS)
        .expect("constant bounds are valid")
}

fn merge(into: &mut Histogram<u64>, from: &Histogram<u64>) {
    into.add(from)
        .expect("both histograms have the same bounds");
}

fn as_micros(latency: Duration) -> u64 {
    u64::try_from(latency.as_micros()).unwrap_or(u64::MAX)
}
