//! Tests of placement: leaving servers, costs, estimates and subsets.

mod cost;
mod estimates;
mod fixture;
mod leaving;
mod subset;
