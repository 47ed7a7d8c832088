//! Placement of plain calls.

mod plain_placer;

pub use plain_placer::{PlainPlacer, PlainQuery, ServerLoad};
