//! Starts and stops the programs of one test fleet.

use std::fs;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use hyper::Method;
use teaselglade::operation::{PublishRequest, TableClient};
use teaselglade_entry::DaemonAddresses;
use teaselglade_net::client::{HttpClient, HttpRequest, HttpResponse};
use teaselglade_standins::fleet::{FleetAddresses, FleetPlan};
use teaselglade_state::table::PublishOutcome;
use teaselglade_wire::codec::{from_json, to_json};
use teaselglade_wire::{HostEntries, HostEntry, HostRole, HostStatus};
use tempfile::TempDir;
use tokio::time::sleep;

const POLL_INTERVAL: Duration = Duration::from_millis(25);
const DEFAULT_DRAIN_TIMEOUT: Duration = Duration::from_secs(30);
const MAX_POLLS: u32 = 800;

/// Process of one program; killed on drop.
#[derive(Debug)]
pub struct TestProcess {
    child: Child,
}

impl TestProcess {
    /// Starts a program and returns its process and its first line of output.
    pub fn start(program: &str, arguments: &[&str]) -> (Self, String) {
        let mut command = Command::new(program);
        command
            .args(arguments)
            .stdout(Stdio::piped())
            .stderr(Stdio::null());
        let mut child = command.spawn().expect("the program starts");
        let stdout = child.stdout.take().expect("standard output is piped");
        let mut line = String::new();
        BufReader::new(stdout)
            .read_line(&mut line)
            .expect("the program prints a line");
        (Self { child }, line)
    }

    /// Sends a signal by name, such as `STOP`, to this process only.
    pub fn signal(&self, name: &str) {
        let pid = self.id().to_string();
        let status = Command::new("kill").args(["-s", name, &pid]).status();
        assert!(
            status.expect("kill runs").success(),
            "signal {name} to {pid}"
        );
        if name == "STOP" {
            // On a busy machine a process runs on for milliseconds after the signal.
            while !is_stopped(&pid) {
                std::thread::yield_now();
            }
        }
    }

    /// Returns the id of the process.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Kills the process at once.
    pub fn kill(&mut self) {
        // The process may have exited already.
        let _ended = self.child.kill();
        let _status = self.child.wait();
    }

    /// Returns whether the process has exited.
    pub fn has_exited(&self) -> bool {
        let stat = fs::read_to_string(format!("/proc/{}/stat", self.id())).unwrap_or_default();
        let state = stat
            .rsplit(") ")
            .next()
            .and_then(|rest| rest.chars().next());
        matches!(state, None | Some('Z' | 'X'))
    }

    /// Waits for the process to exit and returns whether it succeeded.
    pub fn wait(&mut self) -> bool {
        self.child.wait().is_ok_and(|status| status.success())
    }
}

impl Drop for TestProcess {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Process of one entry daemon.
#[derive(Debug)]
pub struct EntryProcess {
    /// Process of the daemon.
    pub process: TestProcess,
    /// Name of the host.
    pub host: String,
    /// Addresses that the daemon listens on.
    pub addresses: DaemonAddresses,
}

/// Stand-ins and entry daemons of one fleet.
#[derive(Debug)]
pub struct TestFleet {
    /// Plan of the fleet.
    pub plan: FleetPlan,
    /// Addresses of the platform stand-ins.
    pub platform: FleetAddresses,
    /// Entry daemons.
    pub entries: Vec<EntryProcess>,
    /// Maximum duration of a graceful stop.
    pub drain_timeout: Duration,
    /// HTTP client for requests to stand-ins and daemons.
    pub http: HttpClient,
    /// Folder for settings files.
    pub folder: TempDir,
    _standins: TestProcess,
}

impl TestFleet {
    /// Starts the stand-ins, publishes the table and starts `entries` ready entry daemons.
    pub async fn start(plan: FleetPlan, entries: usize) -> Self {
        Self::start_with_drain(plan, entries, DEFAULT_DRAIN_TIMEOUT).await
    }

    /// Starts a fleet whose entry daemons take at most `drain_timeout` for a graceful stop.
    pub async fn start_with_drain(
        plan: FleetPlan,
        entries: usize,
        drain_timeout: Duration,
    ) -> Self {
        let program = env!("CARGO_BIN_EXE_teaselglade-standins");
        let (standins, line) = TestProcess::start(program, &["--fleet", &plan.name]);
        let platform = from_json::<FleetAddresses>(line.as_bytes()).expect("addresses");
        let mut fleet = Self {
            plan,
            platform,
            entries: Vec::new(),
            http: HttpClient::default(),
            drain_timeout,
            folder: TempDir::new().expect("a folder for settings"),
            _standins: standins,
        };
        fleet.publish_table().await;
        for index in 0..entries {
            fleet.start_entry(index).await;
        }
        fleet.wait_ready().await;
        fleet
    }

    /// Starts another entry daemon and adds it to the host list.
    pub async fn start_entry(&mut self, index: usize) {
        let zone = self.plan.zones[index % self.plan.zones.len()].clone();
        let host = format!("{zone}-entry-{index}");
        let path = self.folder.path().join(format!("{host}.jsonc"));
        let settings = format!(
            "{{ \"host\": \"{host}\", \"zone\": \"{zone}\", \"cluster\": \"{}\", // one host\n\
             \"callers\": \"127.0.0.1:0\", \"peers\": \"127.0.0.1:0\",\n\
             \"log\": \"{}\", \"host_list\": \"{}\", \"cloud\": \"{}\",\n\
             \"drain_ms\": {} }}",
            self.plan.name,
            self.platform.log,
            self.platform.host_list,
            self.platform.cloud,
            self.drain_timeout.as_millis(),
        );
        fs::write(&path, settings).expect("the settings are written");
        let program = env!("CARGO_BIN_EXE_teaselglade-entry");
        let path = path.display().to_string();
        let (process, line) = TestProcess::start(program, &["--config", &path]);
        let addresses = from_json::<DaemonAddresses>(line.as_bytes()).expect("addresses");
        let entry = HostEntry {
            name: host.clone(),
            incarnation: 1,
            role: HostRole::Entry,
            address: addresses.peers.to_string(),
            zone,
            class: "entry".to_owned(),
            service: String::new(),
            cents_per_hour: 2.0,
            reclaimable: true,
            leaving: false,
        };
        let body = to_json(&entry).expect("the host is encoded");
        self.call(HttpRequest::new(Method::PUT, self.platform.host_list, "/hosts").body(body))
            .await;
        self.entries.push(EntryProcess {
            process,
            host,
            addresses,
        });
    }

    /// Starts a control daemon in the plan's first data centre.
    pub fn start_control(&self, index: usize) -> TestProcess {
        let zone = &self.plan.zones[0];
        let host = format!("{zone}-control-{index}");
        let path = self.folder.path().join(format!("{host}.jsonc"));
        let platform = &self.platform;
        let settings = format!(
            "{{ \"host\": \"{host}\", \"zone\": \"{zone}\", \"cluster\": \"{}\",\n\
             \"control\": \"127.0.0.1:0\", \"log\": \"{}\", \"host_list\": \"{}\",\n\
             \"cloud\": \"{}\", \"weights\": \"{}\", \"offers\": [\n\
             {{ \"zone\": \"{zone}\", \"class\": \"mid\", \"purchase\": \"reclaimable\",\n\
             \"cents_per_hour\": 90 }}] }}",
            self.plan.name, platform.log, platform.host_list, platform.cloud, platform.weights,
        );
        fs::write(&path, settings).expect("the settings are written");
        let program = env!("CARGO_BIN_EXE_teaselglade-control");
        let path = path.display().to_string();
        let (process, _addresses) = TestProcess::start(program, &["--config", &path]);
        process
    }

    /// Returns the addresses on which the entry daemons accept callers.
    pub fn callers(&self) -> Vec<SocketAddr> {
        self.entries
            .iter()
            .map(|entry| entry.addresses.callers)
            .collect()
    }

    /// Publishes the plan's table.
    pub async fn publish_table(&self) {
        let client = TableClient::new(self.platform.log, &self.plan.name);
        let csv = self.plan.table.clone();
        let request = PublishRequest {
            base: None,
            author: "test".to_owned(),
            csv,
        };
        let outcome = client.publish(request).await.expect("the log responds");
        assert!(
            matches!(outcome, PublishOutcome::Accepted { .. }),
            "{outcome:?}"
        );
    }

    /// Sets the faults of a stand-in, as JSON.
    pub async fn set_faults(&self, address: SocketAddr, faults: &str) {
        self.call(HttpRequest::post(address, "/faults", faults.to_owned()))
            .await;
    }

    /// Returns the backend servers of a service, from the host list.
    pub async fn servers(&self, service: &str) -> Vec<HostEntry> {
        let response = self
            .call(HttpRequest::get(self.platform.host_list, "/hosts"))
            .await;
        let hosts = from_json::<HostEntries>(&response.body)
            .expect("the host list")
            .hosts;
        hosts
            .into_iter()
            .filter(|host| host.service == service)
            .collect()
    }

    /// Returns the status of an entry daemon.
    pub async fn status(&self, entry: &EntryProcess) -> HostStatus {
        let response = self
            .call(HttpRequest::get(entry.addresses.peers, "/status"))
            .await;
        from_json(&response.body).expect("the status")
    }

    /// Waits until every entry daemon is ready and knows every backend server.
    pub async fn wait_ready(&self) {
        for entry in &self.entries {
            let mut polls = 0;
            loop {
                let status = self.status(entry).await;
                if status.ready && status.servers as usize == self.plan.servers.len() {
                    break;
                }
                polls += 1;
                assert!(polls < MAX_POLLS, "{} is not ready: {status:?}", entry.host);
                sleep(POLL_INTERVAL).await;
            }
        }
    }

    /// Sends a request that must succeed.
    pub async fn call(&self, request: HttpRequest) -> HttpResponse {
        let response = self.http.call(request).await.expect("a response");
        assert!(response.is_success(), "status {}", response.status);
        response
    }
}

/// Returns whether no thread of a process is running; an exited process counts as stopped.
fn is_stopped(pid: &str) -> bool {
    let Ok(threads) = fs::read_dir(format!("/proc/{pid}/task")) else {
        return true;
    };
    threads.flatten().all(|thread| {
        let stat = fs::read_to_string(thread.path().join("stat")).unwrap_or_default();
        let state = stat
            .rsplit(") ")
            .next()
            .and_then(|rest| rest.chars().next());
        state.is_none_or(|state| matches!(state, 'T' | 't' | 'Z' | 'X'))
    })
}
