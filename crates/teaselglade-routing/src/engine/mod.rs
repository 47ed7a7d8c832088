//! Placement of streams on model engines.

mod engine_candidate;
mod engine_choice;
mod engine_explanation;
mod engine_load;
mod engine_loads;
mod engine_placer;
mod engine_room;
mod engine_speed;
mod load_turns;
mod prefix_locations;
mod prompt_shape;
mod slot_pace;
mod stale_choice;

pub(crate) use engine_candidate::preference_of;
pub use engine_explanation::{EngineExplanation, EngineOption};
pub use engine_load::{CachedPart, EngineLoad};
pub use engine_placer::{EnginePlacer, EngineQuery, EngineReservation, ReservationId};
pub use engine_speed::EngineSpeed;
pub use load_turns::ToldLoads;
pub use prefix_locations::PrefixLocations;
pub use prompt_shape::{PromptPart, PromptShape};
pub use slot_pace::SlotPace;

use teaselglade_core::verdict::RequestRefusal;

/// Result of a placement; the error is the refusal that the caller gets.
pub type Result<T> = std::result::Result<T, RequestRefusal>;
