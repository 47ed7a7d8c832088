//! Tests of the decisions on routed requests.

mod attempts;
mod autoscaler;
mod crashes;
mod engines;
mod events;
mod fixture;
mod limits;
mod membership;
mod moves;
mod plains;
mod quota_rush;
mod quotas;
mod registry;
mod request_crashes;
mod rollout_load;
mod rollouts;
mod routes;
mod server_news;
mod shares;
mod shutdown;
mod slots;
mod speeds;
mod table_spread;
mod usage;
mod zone_placement;
mod zones;
