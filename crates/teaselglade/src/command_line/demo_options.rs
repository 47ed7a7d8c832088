//! Options of the `demo` command.

use clap::Args;

/// Options of `demo`.
#[derive(Debug, Clone, Args)]
pub struct DemoOptions {
    /// Fleet to run: `corrib` or `dragons-sleeve`.
    #[arg(long, default_value = "corrib")]
    pub fleet: String,
    /// How long callers send requests, in seconds.
    #[arg(long, default_value_t = 16)]
    pub seconds: u64,
    /// Seed of the callers' requests.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Model requests a second.
    #[arg(long, default_value_t = 20.0)]
    pub rate: f64,
    /// Entry daemons.
    #[arg(long, default_value_t = 4)]
    pub entries: usize,
}
