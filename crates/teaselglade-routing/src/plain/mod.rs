//! Placement of plain calls.

mod plain_explanation;
mod plain_placer;

pub use plain_explanation::{PlainExplanation, PlainOption};
pub use plain_placer::{PlainPlacer, PlainQuery, ServerLoad};
