//! The bench: its engine model, its repeatability and the stated targets on short runs.

mod engine;
mod targets;
