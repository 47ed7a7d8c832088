//! Tests of the components of a serving host that need no sockets.

mod defences;
mod fleet_model;
mod journal;
mod large_news;
mod late_responses;
mod lease_timings;
mod news_spread;
mod open_requests;
mod part_crashes;
mod reports;
mod request_crashes;
mod rollout_reports;
mod rollouts;
mod server_limits;
mod speed_reports;
mod start_news;
