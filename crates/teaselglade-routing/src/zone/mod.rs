//! When requests leave the data centre of their callers.

mod crossing_ledger;
mod outflow_draw;
mod zone_director;
mod zone_filling;
mod zone_load;
mod zone_outflow;
mod zone_planner;
mod zone_prices;
mod zone_terms;

pub use crossing_ledger::CrossingLedger;
pub use outflow_draw::OutflowDraw;
pub use zone_director::{ZoneChoice, ZoneDirector, ZoneRequest};
pub use zone_filling::fill_zones;
pub use zone_load::{ServiceLoad, ZoneLoad};
pub use zone_outflow::{OutflowTarget, ZoneOutflow, ZoneReport};
pub use zone_planner::ZonePlanner;
pub use zone_prices::ZonePrices;
pub use zone_terms::ZoneTerms;
