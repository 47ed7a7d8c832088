//! Prints a comparison of all policies: `policies FLEET SEED...`.
//!
//! The environment variable `LOAD` scales the offered load.

use teaselglade_bench::{BenchPlan, FleetChoice, run_bench};

fn main() {
    let mut args = std::env::args().skip(1);
    let fleet = args.next().and_then(|name| name.parse().ok());
    let load = std::env::var("LOAD")
        .ok()
        .and_then(|text| text.parse().ok());
    let seeds = args
        .filter_map(|seed| seed.parse().ok())
        .collect::<Vec<_>>();
    let plan = BenchPlan::new(fleet.unwrap_or(FleetChoice::Corrib))
        .seeds(seeds)
        .load(load.unwrap_or(1.0));
    println!("{}", run_bench(&plan));
}
