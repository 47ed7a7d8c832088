//! Platform stand-ins and daemons of the demo.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::Duration;

use eyre::{Result, eyre};
use log::LevelFilter;
use teaselglade_control::{ControlDaemon, ControlSettings};
use teaselglade_core::port::HostPurchase;
use teaselglade_entry::{EntryDaemon, EntrySettings};
use teaselglade_net::logging::LogFormat;
use teaselglade_standins::fleet::{
    FleetPlan, FleetPorts, ON_DEMAND_FACTOR, StandInFleet, class_cents_per_hour,
};
use teaselglade_standins::log::LogLimits;
use teaselglade_state::control::HostOffer;
use teaselglade_state::lease::LeaseTimings;
use teaselglade_state::table::PublishOutcome;
use teaselglade_wire::{HostEntry, HostRole};
use tokio::time::sleep;

use crate::operation::{FleetStatus, PublishRequest, TableClient};

/// Loopback address; port 0 selects a free port.
const LOOPBACK: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);
const READY_POLL_INTERVAL: Duration = Duration::from_millis(50);
const MAX_READY_POLLS: u32 = 200;
const ENTRY_CENTS_PER_HOUR: f64 = 2.0;
const DRAIN_TIMEOUT: Duration = Duration::from_secs(30);
const LOG_RETENTION: Duration = Duration::from_hours(24);
/// Host classes that the control daemons may order.
const ORDERABLE_CLASSES: [&str; 4] = ["old", "mid", "new", "plain"];

/// Platform stand-ins and daemons of the demo.
#[derive(Debug)]
pub(super) struct DemoFleet {
    pub(super) standins: StandInFleet,
    entries: Vec<EntryDaemon>,
    controls: Vec<ControlDaemon>,
}

impl DemoFleet {
    /// Starts the stand-ins and daemons, publishes the table and waits until all entry hosts are
    /// ready.
    pub(super) async fn start(plan: &FleetPlan, entries: usize) -> Result<Self> {
        let ports = FleetPorts::default();
        let standins = StandInFleet::start(plan, ports, LogLimits::default()).await?;
        publish(plan, &standins).await?;
        let mut fleet = Self {
            standins,
            entries: Vec::new(),
            controls: Vec::new(),
        };
        for index in 0..entries {
            fleet.start_entry(plan, index).await?;
            fleet.start_control(plan, index).await?;
        }
        fleet.wait_ready(plan).await?;
        Ok(fleet)
    }

    /// Returns the callers' addresses of the entry daemons.
    pub(super) fn callers(&self) -> Vec<SocketAddr> {
        self.entries
            .iter()
            .map(|entry| entry.addresses().callers)
            .collect()
    }

    /// Stops the daemons gracefully, then the stand-ins.
    pub(super) async fn stop(self) {
        for control in self.controls {
            control.stop().await;
        }
        for entry in self.entries {
            entry.stop().await;
        }
        self.standins.abort();
    }

    async fn start_entry(&mut self, plan: &FleetPlan, index: usize) -> Result<()> {
        let zone = plan.zones[index % plan.zones.len()].clone();
        let host = format!("{zone}-entry-{index}");
        let platform = self.standins.addresses;
        let settings = EntrySettings {
            host: host.clone(),
            zone: zone.clone(),
            cluster: plan.name.clone(),
            callers: LOOPBACK,
            peers: LOOPBACK,
            log: platform.log,
            host_list: platform.host_list,
            cloud: Some(platform.cloud),
            drain_timeout: DRAIN_TIMEOUT,
            log_format: LogFormat::Text,
            log_level: LevelFilter::Warn,
        };
        let daemon = EntryDaemon::start(settings).await?;
        self.standins.registry.put(HostEntry {
            name: host,
            incarnation: 1,
            role: HostRole::Entry,
            address: daemon.addresses().peers.to_string(),
            zone,
            class: "entry".to_owned(),
            service: String::new(),
            cents_per_hour: ENTRY_CENTS_PER_HOUR,
            reclaimable: true,
            leaving: false,
        });
        self.entries.push(daemon);
        Ok(())
    }

    async fn start_control(&mut self, plan: &FleetPlan, index: usize) -> Result<()> {
        let zone = plan.zones[index % plan.zones.len()].clone();
        let platform = self.standins.addresses;
        let settings = ControlSettings {
            host: format!("{zone}-entry-{index}"),
            zone,
            cluster: plan.name.clone(),
            control: LOOPBACK,
            log: platform.log,
            host_list: platform.host_list,
            cloud: platform.cloud,
            weights: platform.weights,
            offers: host_offers(plan),
            profiles: Vec::new(),
            lease: LeaseTimings::default(),
            retention: LOG_RETENTION,
            log_format: LogFormat::Text,
            log_level: LevelFilter::Warn,
        };
        self.controls.push(ControlDaemon::start(settings).await?);
        Ok(())
    }

    async fn wait_ready(&self, plan: &FleetPlan) -> Result<()> {
        for _ in 0..MAX_READY_POLLS {
            let fleet = FleetStatus::fetch(self.standins.addresses.host_list).await?;
            let statuses = fleet.hosts.iter().filter_map(|host| host.status.as_ref());
            let knows_all = |servers: u32| servers as usize == plan.servers.len();
            let ready = statuses.filter(|status| status.ready && knows_all(status.servers));
            if ready.count() == self.entries.len() {
                return Ok(());
            }
            sleep(READY_POLL_INTERVAL).await;
        }
        Err(eyre!("the entry daemons did not become ready"))
    }
}

async fn publish(plan: &FleetPlan, standins: &StandInFleet) -> Result<()> {
    let client = TableClient::new(standins.addresses.log, &plan.name);
    let author = "demo".to_owned();
    let request = PublishRequest {
        base: None,
        author,
        csv: plan.table.clone(),
    };
    match client.publish(request).await? {
        PublishOutcome::Accepted { .. } => Ok(()),
        other => Err(eyre!("the table was not accepted: {other:?}")),
    }
}

fn host_offers(plan: &FleetPlan) -> Vec<HostOffer> {
    let mut offers = Vec::new();
    for zone in &plan.zones {
        for class in ORDERABLE_CLASSES {
            let cents = class_cents_per_hour(class);
            let offer = |purchase: HostPurchase, cents_per_hour: f64| HostOffer {
                zone: zone.clone(),
                class: class.to_owned(),
                purchase,
                cents_per_hour,
            };
            offers.push(offer(HostPurchase::Reclaimable, cents));
            offers.push(offer(HostPurchase::OnDemand, cents * ON_DEMAND_FACTOR));
        }
    }
    offers
}
