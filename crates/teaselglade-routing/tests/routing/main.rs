//! Tests of the decisions on routed requests.

mod attempts;
mod engines;
mod events;
mod fixture;
mod membership;
mod plains;
mod planner;
mod quotas;
mod registry;
mod routes;
mod usage;
