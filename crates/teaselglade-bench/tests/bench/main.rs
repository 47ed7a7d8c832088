//! Engine model, reproducibility and required targets of the benchmark.

mod engine;
mod targets;
