//! Prints goodput and recovery under overload: `overload FLEET SEED...`.

use teaselglade_bench::{FleetChoice, PolicyChoice, run_overload};

fn main() {
    let mut args = std::env::args().skip(1);
    let fleet = args.next().and_then(|name| name.parse().ok());
    let fleet = fleet.unwrap_or(FleetChoice::Corrib);
    for seed in args.filter_map(|seed| seed.parse().ok()) {
        for policy in [PolicyChoice::CostWithAdmission, PolicyChoice::Cost] {
            println!("seed {seed}: {:?}", run_overload(fleet, policy, seed));
        }
    }
}
