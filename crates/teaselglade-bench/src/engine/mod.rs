//! Timing model of a model engine.

mod engine_class;
mod engine_model;
mod prefix_cache;

pub use engine_class::EngineClass;
pub use engine_model::{EngineModel, EngineWork, StepResult, TokenMark};
pub use prefix_cache::{CacheNote, PrefixCache};
