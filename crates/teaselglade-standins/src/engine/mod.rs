//! Stand-in for a model engine: batching, prefix cache, load reports and orders.

mod cache_feed;
mod engine_batch;
mod engine_orders;
mod engine_profile;
mod engine_response;
mod engine_server;
mod prefix_cache;
mod token_text;

pub use engine_profile::EngineProfile;
pub use engine_server::{EngineServer, engine_router};
pub use token_text::{response_text, token_text};
