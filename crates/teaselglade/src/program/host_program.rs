//! Program that runs a serving host on the platform.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;

use clap::Parser;
use eyre::{Result, WrapErr};
use teaselglade_core::port::LogPort;
use teaselglade_host::host::ServingHost;
use teaselglade_host::journal::{LogFilter, reserve_last_lines, start_log};
use teaselglade_host::port::{DutyPort, FeedPort};
use teaselglade_host::state::HostPorts;
use teaselglade_net::client::HttpClient;
use teaselglade_platform::{
    BootError, BootFile, CloudClient, PlatformMessages, SETTINGS_VARIABLE, StoreClient,
};
use tracing::{error, info, warn};

use super::daemon_program::INVALID_SETTINGS_EXIT_CODE;
use super::signal_stream::{ProcessSignal, SignalStream};

/// Default port of the metrics.
const DEFAULT_METRICS_PORT: u16 = 9_464;
/// Log filter if neither the command line nor the settings file names one.
const DEFAULT_LOG_FILTER: &str = "info";

/// Serving host on the platform. SIGTERM stops it gracefully; SIGHUP reloads the settings file.
#[derive(Debug, Parser)]
#[command(name = "teaselglade-host", version)]
struct HostOptions {
    /// Settings file that the platform writes.
    #[arg(long, env = SETTINGS_VARIABLE)]
    settings: PathBuf,
    /// Port of the counters on the host's address.
    #[arg(long, default_value_t = DEFAULT_METRICS_PORT)]
    metrics_port: u16,
    /// Filter of the log lines, such as `info` or `teaselglade_host::peer=debug`; takes precedence
    /// over `log.filter` of the settings file and is not changed by a reload.
    #[arg(long)]
    log: Option<String>,
    /// Time that a request and its answer need between data centres, in milliseconds; takes
    /// precedence over `between_zones.trip_ms` of the settings file.
    #[arg(long)]
    zone_trip_ms: Option<u64>,
    /// Lateness in milliseconds that a kilobyte between data centres is worth; takes precedence over
    /// `between_zones.ms_per_kb` of the settings file.
    #[arg(long, value_parser = parse_byte_cost)]
    zone_ms_per_kb: Option<f64>,
    /// Only check the settings file.
    #[arg(long)]
    check: bool,
}

/// Runs a serving host until SIGTERM or SIGINT stops it gracefully.
///
/// If the settings are invalid, the program lists every fault on standard error and returns exit
/// code 2.
#[must_use]
pub fn run_host() -> ExitCode {
    let options = HostOptions::parse();
    let boot = match read_settings(&options) {
        Ok(boot) => boot,
        Err(error) => {
            eprintln!("teaselglade-host: {error}");
            return ExitCode::from(INVALID_SETTINGS_EXIT_CODE);
        }
    };
    if options.check {
        println!("{} is in order", options.settings.display());
        return ExitCode::SUCCESS;
    }
    match run(&options, &boot) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("teaselglade-host: {error:#}");
            ExitCode::FAILURE
        }
    }
}

/// Reads the settings file; prices of the command line take precedence over its own.
fn read_settings(options: &HostOptions) -> Result<BootFile, BootError> {
    let mut boot = BootFile::read(&options.settings)?;
    let prices = &mut boot.host.zone_prices;
    let trip = options.zone_trip_ms.map(Duration::from_millis);
    prices.trip = trip.unwrap_or(prices.trip);
    let byte_cost = options.zone_ms_per_kb;
    prices.byte_cost_ms_per_kb = byte_cost.unwrap_or(prices.byte_cost_ms_per_kb);
    Ok(boot)
}

/// Parses a price of bytes, which is finite and not negative.
fn parse_byte_cost(text: &str) -> Result<f64, String> {
    let cost: f64 = text.parse().map_err(|error| format!("{error}"))?;
    if cost.is_finite() && cost >= 0.0 {
        return Ok(cost);
    }
    Err("expected a finite number, 0 or above".to_owned())
}

/// Runs the host; the log outlives the runtime, whose open requests are logged when it drops them.
fn run(options: &HostOptions, boot: &BootFile) -> Result<()> {
    let log = start_log(log_filter(options, boot), boot.host.log.queued_lines);
    let log = log.wrap_err("cannot parse the log filter")?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let runtime = runtime.wrap_err("cannot start the runtime")?;
    let result = runtime.block_on(serve(options, boot, &log.filter));
    drop(runtime);
    drop(log);
    result
}

async fn serve(options: &HostOptions, boot: &BootFile, filter: &LogFilter) -> Result<()> {
    let mut signals = SignalStream::new()?;
    let metrics = SocketAddr::new(boot.host.listen.callers.ip(), options.metrics_port);
    let ports = host_ports(boot);
    let started = ServingHost::start(boot.host.clone(), ports, Some(metrics)).await;
    let host = started.inspect_err(|error| error!(event = "start_failed", error = %error))?;
    let signal_age = loop {
        let signal = signals.next().await;
        let age = signals.stop_age();
        if signal != ProcessSignal::Reload {
            reserve_last_lines();
        }
        info!(
            event = "signal",
            signal = signal.name(),
            is_stopping = false
        );
        if signal != ProcessSignal::Reload {
            break age;
        }
        reload_settings(options, boot, &host, filter);
    };
    let state = host.state();
    state.begin_shutdown(state.now().before(signal_age));
    stop_host(host, signals).await;
    Ok(())
}

/// Stops the host and logs signals that arrive meanwhile, which change nothing.
async fn stop_host(host: ServingHost, mut signals: SignalStream) {
    let stopped = host.stop();
    tokio::pin!(stopped);
    loop {
        tokio::select! {
            () = &mut stopped => return,
            signal = signals.next() => {
                warn!(event = "signal", signal = signal.name(), is_stopping = true);
            }
        }
    }
}

fn host_ports(boot: &BootFile) -> HostPorts {
    let http = Arc::new(HttpClient::default());
    let store = Arc::new(StoreClient::new(Arc::clone(&http), boot.store));
    let duties = &boot.host.duties;
    let has_duties = duties.reports_usage || duties.orders_servers;
    let cloud = boot.cloud.filter(|_| has_duties);
    HostPorts {
        messages: Arc::new(PlatformMessages),
        feeds: Arc::clone(&store) as Arc<dyn FeedPort>,
        log: store as Arc<dyn LogPort>,
        duties: cloud.map(|address| Arc::new(CloudClient::new(http, address)) as Arc<dyn DutyPort>),
    }
}

/// Returns the log filter; the command line takes precedence over the settings file.
fn log_filter<'a>(options: &'a HostOptions, boot: &'a BootFile) -> &'a str {
    let filter = options.log.as_deref().or(boot.host.log.filter.as_deref());
    filter.unwrap_or(DEFAULT_LOG_FILTER)
}

/// Reads the settings file again and applies its seeds and log filter.
///
/// Other settings take effect after a restart only.
fn reload_settings(options: &HostOptions, boot: &BootFile, host: &ServingHost, filter: &LogFilter) {
    let reloaded = match read_settings(options) {
        Ok(reloaded) => reloaded,
        Err(faults) => {
            warn!(event = "reload_failed", error = %faults);
            return;
        }
    };
    let port = reloaded.host.listen.peers.port();
    let seeds = reloaded.host.seeds.iter();
    let seeds = seeds.map(|seed| SocketAddr::new(seed.ip(), port));
    host.state().lock_decisions().membership.add_seeds(seeds);
    let log = log_filter(options, &reloaded);
    match filter.set(log) {
        Ok(is_set) => info!(event = "reloaded", changed = reloaded != *boot, log, is_set),
        Err(error) => warn!(event = "reload_failed", log, error = %error),
    }
}
