//! Runs the platform stand-ins of one fleet as a process, for tests and the demo only.

use std::time::Duration;

use clap::Parser;
use eyre::{Result, eyre};
use log::LevelFilter;
use teaselglade_net::logging::{LogFormat, start_logging};
use teaselglade_standins::fleet::{FleetPlan, FleetPorts, StandInFleet};
use teaselglade_standins::log::LogLimits;

#[global_allocator]
static ALLOCATOR: mimalloc::MiMalloc = mimalloc::MiMalloc;

/// Stand-ins for log, host list, cloud API, weight store and backend servers.
///
/// Prints the addresses of the first four as one JSON line once all listen.
#[derive(Debug, Parser)]
#[command(version)]
struct Options {
    /// Fleet to stand in for: `corrib` or `dragons-sleeve`.
    #[arg(long, default_value = "corrib")]
    fleet: String,
    /// Only print the fleet's table.
    #[arg(long)]
    print_table: bool,
    /// Port of the log; 0 takes any free one.
    #[arg(long, default_value_t = 0)]
    log_port: u16,
    /// Port of the host list; 0 takes any free one.
    #[arg(long, default_value_t = 0)]
    host_list_port: u16,
    /// Port of the cloud API; 0 takes any free one.
    #[arg(long, default_value_t = 0)]
    cloud_port: u16,
    /// Port of the weight store; 0 takes any free one.
    #[arg(long, default_value_t = 0)]
    weights_port: u16,
    /// How long the log keeps records, in seconds.
    #[arg(long, default_value_t = 86_400)]
    retention_seconds: u64,
    /// Maximum number of appends a second that the log accepts.
    #[arg(long, default_value_t = 400)]
    appends_per_second: u32,
}

#[tokio::main]
async fn main() -> Result<()> {
    let options = Options::parse();
    start_logging(LogFormat::Text, LevelFilter::Info);
    let plan = FleetPlan::from_name(&options.fleet);
    let plan = plan.ok_or_else(|| {
        eyre!(
            "unknown fleet `{}`; expected `corrib` or `dragons-sleeve`",
            options.fleet
        )
    })?;
    if options.print_table {
        print!("{}", plan.table);
        return Ok(());
    }
    let ports = FleetPorts {
        log: options.log_port,
        host_list: options.host_list_port,
        cloud: options.cloud_port,
        weights: options.weights_port,
    };
    let limits = LogLimits {
        retention: Duration::from_secs(options.retention_seconds),
        appends_per_second: options.appends_per_second,
    };
    let fleet = StandInFleet::start(&plan, ports, limits).await?;
    println!("{}", serde_json::to_string(&fleet.addresses)?);
    tokio::signal::ctrl_c().await?;
    fleet.abort();
    Ok(())
}
