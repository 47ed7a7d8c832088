//! Placement: leaving servers, costs, prefixes and subsets.

mod cost;
mod fixture;
mod learning;
mod leaving;
mod subset;
