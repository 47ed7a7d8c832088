//! Placement of streams on model engines.

mod cache_map;
mod candidate;
mod engine_load;
mod engine_placer;
mod engine_speed;
mod prompt_shape;

pub use cache_map::CacheMap;
pub use engine_load::{EngineLoad, PlacedPrompt};
pub use engine_placer::{EnginePlacer, EngineQuery, EngineSeat, EngineTicket};
pub use engine_speed::EngineSpeed;
pub use prompt_shape::{PromptPart, PromptShape};

use teaselglade_core::verdict::RequestRefusal;

/// Result of a placement.
pub type Result<T> = std::result::Result<T, RequestRefusal>;
