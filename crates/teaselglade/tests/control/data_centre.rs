//! Test data centre with stand-ins in the test's process and control daemons as processes.

use std::fs;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::Arc;
use std::time::Duration;

use teaselglade_control::DaemonAddresses;
use teaselglade_core::port::{LogPort, StreamName};
use teaselglade_net::client::{HttpClient, HttpRequest};
use teaselglade_net::platform::LogClient;
use teaselglade_standins::fault::FaultSettings;
use teaselglade_standins::fleet::{FleetPlan, FleetPorts, StandInFleet};
use teaselglade_standins::log::LogLimits;
use teaselglade_state::audit::{AuditFilter, AuditLine, AuditReader};
use teaselglade_state::table::encode_record;
use teaselglade_wire::codec::{from_json, to_json};
use teaselglade_wire::{CloudState, HostEntry, HostRole, TablePublication, TableRecord};
use tempfile::TempDir;
use tokio::time::sleep;

pub const SERVICE: &str = "draft-fleet";

const POLL_INTERVAL: Duration = Duration::from_millis(50);
const MAX_POLLS: u32 = 1_200;
const TABLE_HEADER: &str = "kind,name,first_token_ms,token_gap_ms,fenced,min_servers\n";

/// Process of one control daemon; killed on drop.
#[derive(Debug)]
pub struct ControlProcess {
    child: Child,
    address: SocketAddr,
    http: Arc<HttpClient>,
}

impl ControlProcess {
    /// Returns the address of the operator routes.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sends a signal by name, such as `STOP`, to this process only.
    pub fn signal(&self, name: &str) {
        let pid = self.child.id().to_string();
        let status = Command::new("kill").args(["-s", name, &pid]).status();
        assert!(
            status.expect("kill runs").success(),
            "signal {name} to {pid}"
        );
    }

    /// Waits for the process to exit without blocking the stand-ins.
    pub async fn wait(&mut self) -> ExitStatus {
        for _poll in 0..MAX_POLLS {
            if let Some(status) = self.child.try_wait().expect("a child process") {
                return status;
            }
            sleep(POLL_INTERVAL).await;
        }
        panic!("the process did not exit");
    }

    /// Returns the value of a metric, or 0 if it has none yet.
    pub async fn metric(&self, name: &str) -> u64 {
        let text = self.read_metrics().await;
        let mut lines = text.lines().filter_map(|line| line.rsplit_once(' '));
        let line = lines.find(|(line_name, _)| *line_name == name);
        line.and_then(|(_, value)| value.parse().ok())
            .unwrap_or_default()
    }

    /// Returns the metrics; a call that fails is repeated, as it says nothing of their values.
    async fn read_metrics(&self) -> String {
        for _poll in 0..MAX_POLLS {
            let request = HttpRequest::get(self.address, "/metrics");
            match self.http.call(request).await {
                Ok(response) if response.is_success() => {
                    return String::from_utf8_lossy(&response.body).into_owned();
                }
                failed => println!("no metrics of {}: {failed:?}", self.address),
            }
            sleep(POLL_INTERVAL).await;
        }
        panic!("{} reports no metrics", self.address);
    }

    /// Returns the number of host orders sent.
    pub async fn sent_orders(&self) -> u64 {
        let metric_name = |outcome| {
            format!(r#"teaselglade_control_calls_total{{call="order_host",outcome="{outcome}"}}"#)
        };
        self.metric(&metric_name("ok")).await + self.metric(&metric_name("failed")).await
    }

    /// Waits until the process holds the lease.
    pub async fn wait_for_lease(&self) {
        self.wait_for_metric("teaselglade_lease_held", 1).await;
    }

    /// Waits until a metric reaches `value`.
    pub async fn wait_for_metric(&self, name: &str, value: u64) {
        for _poll in 0..MAX_POLLS {
            if self.metric(name).await >= value {
                return;
            }
            sleep(POLL_INTERVAL).await;
        }
        panic!("{name} did not reach {value}");
    }
}

impl Drop for ControlProcess {
    fn drop(&mut self) {
        // The process may have exited already.
        let _ended = self.child.kill();
        let _status = self.child.wait();
    }
}

/// Data centre with one cluster named `test`.
#[derive(Debug)]
pub struct DataCentre {
    pub standins: StandInFleet,
    folder: TempDir,
    log: LogClient,
    http: Arc<HttpClient>,
    version: u64,
}

impl DataCentre {
    /// Starts the stand-ins and publishes a table with a minimum of `servers` servers.
    pub async fn start(servers: u32) -> Self {
        let plan = FleetPlan {
            name: "test".to_owned(),
            zones: vec!["galway".to_owned()],
            servers: Vec::new(),
            table: String::new(),
        };
        let limits = LogLimits::default();
        let standins = StandInFleet::start(&plan, FleetPorts::default(), limits).await;
        let standins = standins.expect("the stand-ins start");
        standins.registry.put(HostEntry {
            name: "galway-e1".to_owned(),
            incarnation: 1,
            role: HostRole::Entry,
            address: "127.0.0.1:1".to_owned(),
            zone: "galway".to_owned(),
            class: "small".to_owned(),
            service: String::new(),
            cents_per_hour: 1.0,
            reclaimable: false,
            leaving: false,
        });
        let http = Arc::new(HttpClient::default());
        let log = LogClient::new(Arc::clone(&http), standins.addresses.log);
        let mut centre = Self {
            standins,
            folder: TempDir::new().expect("a folder for settings"),
            log,
            http,
            version: 0,
        };
        centre.publish(servers).await;
        centre
    }

    /// Publishes a table with a minimum of `servers` servers.
    pub async fn publish(&mut self, servers: u32) {
        let publication = TablePublication {
            author: "test".to_owned(),
            base: self.version,
            cluster: "test".to_owned(),
            csv: format!("{TABLE_HEADER}model,{SERVICE},360,47,yes,{servers}\n"),
            id: format!("p{}", self.version),
            published_ms: 0,
        };
        self.version += 1;
        let body = encode_record(&TableRecord::Publication(publication));
        let body = body.expect("the record is encoded");
        let offset = self.log.append(&StreamName::table(), body).await;
        offset.expect("the log accepts the table");
    }

    /// Starts a control daemon.
    pub fn start_control(&self, host: &str) -> ControlProcess {
        let platform = &self.standins.addresses;
        let text = format!(
            r#"{{
                "host": "{host}", "zone": "galway", "cluster": "test", "control": "127.0.0.1:0",
                "log": "{}", "host_list": "{}", "cloud": "{}", "weights": "{}",
                "offers": [{{
                    "zone": "galway", "class": "mid", "purchase": "reclaimable",
                    "cents_per_hour": 60
                }}],
                "lease": {{ // a fifth of the usual times
                    "term_ms": 3000, "margin_ms": 600, "renew_ms": 800, "takeover_ms": 4000,
                    "jitter_ms": 400, "read_ms": 500, "resolve_ms": 200
                }}
            }}"#,
            platform.log, platform.host_list, platform.cloud, platform.weights
        );
        let path = self.folder.path().join(format!("{host}.jsonc"));
        fs::write(&path, text).expect("the settings are written");
        let mut command = Command::new(env!("CARGO_BIN_EXE_teaselglade-control"));
        command.arg("--config").arg(&path);
        command.stdout(Stdio::piped()).stderr(Stdio::null());
        let mut child = command.spawn().expect("the daemon starts");
        let stdout = child.stdout.take().expect("standard output is piped");
        let mut line = String::new();
        let read = BufReader::new(stdout).read_line(&mut line);
        read.expect("the daemon prints its address");
        let addresses = from_json::<DaemonAddresses>(line.as_bytes()).expect("an address");
        ControlProcess {
            child,
            address: addresses.control,
            http: Arc::clone(&self.http),
        }
    }

    /// Sets the faults of the cloud API.
    pub async fn set_cloud_faults(&self, faults: &FaultSettings) {
        self.set_faults(self.standins.addresses.cloud, faults).await;
    }

    /// Sets the faults of the log.
    pub async fn set_log_faults(&self, faults: &FaultSettings) {
        self.set_faults(self.standins.addresses.log, faults).await;
    }

    async fn set_faults(&self, standin: SocketAddr, faults: &FaultSettings) {
        let body = to_json(faults).expect("the faults are encoded");
        let response = self.http.call(HttpRequest::post(standin, "/faults", body));
        let response = response.await.expect("the stand-in responds");
        assert!(response.is_success());
    }

    /// Returns the number of hosts started so far.
    pub fn started_hosts(&self) -> usize {
        self.standins.cloud.hosts().len()
    }

    /// Waits until `count` hosts run.
    pub async fn wait_for_hosts(&self, count: usize) {
        for _poll in 0..MAX_POLLS {
            let hosts = self.standins.cloud.hosts();
            let running = hosts
                .iter()
                .filter(|host| host.state == CloudState::Running);
            if running.count() >= count {
                return;
            }
            sleep(POLL_INTERVAL).await;
        }
        panic!(
            "{count} hosts did not start: {:?}",
            self.standins.cloud.hosts()
        );
    }

    /// Reads the audit trail.
    pub async fn read_audit_trail(&self) -> Vec<AuditLine> {
        let mut reader = AuditReader::new(AuditFilter::default());
        let stream = StreamName::audit();
        let page = self.log.read(&stream, 0, 1_000, Duration::ZERO).await;
        reader.on_page(&page.expect("the log responds"))
    }
}
