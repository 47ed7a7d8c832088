//! Runs a serving host on the users' platform.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;

use clap::Parser;
use eyre::{Result, WrapErr};
use teaselglade_core::port::LogPort;
use teaselglade_host::host::ServingHost;
use teaselglade_host::journal::{LogFilter, start_log};
use teaselglade_host::port::{DutyPort, FeedPort};
use teaselglade_host::state::HostPorts;
use teaselglade_net::client::HttpClient;
use teaselglade_platform::{
    BootFile, CloudClient, PlatformMessages, SETTINGS_VARIABLE, StoreClient,
};
use tokio::signal::unix::{SignalKind, signal};
use tracing::{error, info, warn};

use super::daemon_program::FAULTY_SETTINGS;

/// Port of the counters where none is given.
const METRICS_PORT: u16 = 9_464;
/// Which lines are logged where nothing else is said.
const LOG_FILTER: &str = "info";

/// Serving host on the users' platform. SIGTERM stops it gracefully; SIGHUP reads the settings
/// file anew.
#[derive(Debug, Parser)]
#[command(name = "teaselglade-host", version)]
struct HostOptions {
    /// Settings file that the platform writes.
    #[arg(long, env = SETTINGS_VARIABLE)]
    settings: PathBuf,
    /// Port of the counters on the host's address.
    #[arg(long, default_value_t = METRICS_PORT)]
    metrics_port: u16,
    /// Which lines are logged, such as `info` or `teaselglade_host::peer=debug`; goes before
    /// `log.filter` of the settings file, and no reload changes it.
    #[arg(long)]
    log: Option<String>,
    /// Only check the settings file.
    #[arg(long)]
    check: bool,
}

/// Runs a serving host until SIGTERM or SIGINT stops it gracefully.
///
/// It returns 2 where the settings are faulty, and lists every fault on standard error.
#[must_use]
pub fn run_host() -> ExitCode {
    let options = HostOptions::parse();
    let boot = match BootFile::read(&options.settings) {
        Ok(boot) => boot,
        Err(error) => {
            eprintln!("teaselglade-host: {error}");
            return ExitCode::from(FAULTY_SETTINGS);
        }
    };
    if options.check {
        println!("{} is in order", options.settings.display());
        return ExitCode::SUCCESS;
    }
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let served = runtime
        .wrap_err("cannot start the runtime")
        .and_then(|runtime| runtime.block_on(serve(options, boot)));
    match served {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("teaselglade-host: {error:#}");
            ExitCode::FAILURE
        }
    }
}

async fn serve(options: HostOptions, boot: BootFile) -> Result<()> {
    let log = start_log(log_filter(&options, &boot), boot.host.log.queued_lines);
    let log = log.wrap_err("cannot read the log's filter")?;
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let mut reload = signal(SignalKind::hangup())?;
    let metrics = SocketAddr::new(boot.host.listen.callers.ip(), options.metrics_port);
    let ports = host_ports(&boot);
    let started = ServingHost::start(boot.host.clone(), ports, Some(metrics)).await;
    let host = started.inspect_err(|error| error!(event = "start_failed", error = %error))?;
    loop {
        tokio::select! {
            _signal = terminate.recv() => break,
            _signal = interrupt.recv() => break,
            _signal = reload.recv() => reread(&options, &boot, &host, &log.filter),
        }
    }
    host.stop().await;
    Ok(())
}

fn host_ports(boot: &BootFile) -> HostPorts {
    let caller = Arc::new(HttpClient::default());
    let store = Arc::new(StoreClient::new(Arc::clone(&caller), boot.store));
    let duties = &boot.host.duties;
    let has_duties = duties.reports_usage || duties.orders_servers;
    let cloud = boot.cloud.filter(|_| has_duties);
    HostPorts {
        messages: Arc::new(PlatformMessages),
        feeds: Arc::clone(&store) as Arc<dyn FeedPort>,
        log: store as Arc<dyn LogPort>,
        duties: cloud
            .map(|address| Arc::new(CloudClient::new(caller, address)) as Arc<dyn DutyPort>),
    }
}

/// Returns which lines are to be logged.
fn log_filter<'a>(options: &'a HostOptions, boot: &'a BootFile) -> &'a str {
    let given = options.log.as_deref().or(boot.host.log.filter.as_deref());
    given.unwrap_or(LOG_FILTER)
}

/// Reads the settings file anew; seeds and the log's filter are taken in, the rest needs a restart.
fn reread(options: &HostOptions, boot: &BootFile, host: &ServingHost, filter: &LogFilter) {
    let read = match BootFile::read(&options.settings) {
        Ok(read) => read,
        Err(faults) => {
            warn!(event = "reload_failed", error = %faults);
            return;
        }
    };
    let port = read.host.listen.peers.port();
    let seeds = read.host.seeds.iter();
    let seeds = seeds.map(|seed| SocketAddr::new(seed.ip(), port));
    host.state().lock_decisions().membership.add_seeds(seeds);
    let log = log_filter(options, &read);
    match filter.set(log) {
        Ok(is_set) => info!(event = "reloaded", changed = read != *boot, log, is_set),
        Err(error) => warn!(event = "reload_failed", log, error = %error),
    }
}
