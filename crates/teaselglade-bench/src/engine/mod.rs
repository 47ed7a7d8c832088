//! Timing model of an inference engine.

mod engine_class;
mod engine_model;
mod prefix_cache;

pub use engine_class::EngineClass;
pub use engine_model::{EngineAttempt, EngineModel, GeneratedToken, StepResult};
pub use prefix_cache::{CacheEvent, PrefixCache};
