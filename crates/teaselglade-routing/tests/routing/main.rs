//! Tests of the decisions on routed requests.

mod attempts;
mod engines;
mod events;
mod fixture;
mod fleet;
mod plains;
mod planner;
mod quotas;
mod roster;
mod routes;
mod usage;
