//! Options of the `bench` command.

use std::path::PathBuf;

use clap::Args;

/// Options of `bench`.
#[derive(Debug, Clone, Args)]
pub struct BenchOptions {
    /// Fleet to run: `corrib` or `dragons-sleeve`.
    #[arg(long, default_value = "corrib")]
    pub fleet: String,
    /// Seed of a run; repeat the option to combine several runs.
    #[arg(long = "seed", default_values_t = [6])]
    pub seeds: Vec<u64>,
    /// Virtual time of one run, in seconds.
    #[arg(long, default_value_t = 900)]
    pub seconds: u64,
    /// Factor on the offered load.
    #[arg(long, default_value_t = 1.0)]
    pub load: f64,
    /// File to write a plot to.
    #[arg(long)]
    pub svg: Option<PathBuf>,
}
