//! Process of a serving host.

use std::io::{BufRead, BufReader, Read};
use std::net::{IpAddr, SocketAddr};
use std::path::PathBuf;
use std::process::{Child, ChildStdout, Command, Stdio};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use serde_json::Value;
use teaselglade_net::client::{HttpClient, HttpRequest, HttpResponse};
use tempfile::TempDir;
use tokio::time::{sleep, timeout};

use super::fixture::{WAIT_TIMEOUT, build_request};
use super::host_settings::{next_host, settings_text};

/// Default port of the host's metrics.
const METRICS_PORT: u16 = 9_464;
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Process of a host; nothing reads its standard output at first.
pub struct HostProcess {
    child: Child,
    settings: PathBuf,
    settings_text: String,
    ip: IpAddr,
    _folder: TempDir,
}

impl Drop for HostProcess {
    fn drop(&mut self) {
        // The process may have exited already.
        let _ended = self.child.kill();
        let _status = self.child.wait();
    }
}

impl HostProcess {
    /// Starts a host without a store.
    pub fn start(filter: &str) -> Self {
        let log = format!("log.filter={filter}\nlog.queued_lines=5\n");
        Self::start_with(None, &log)
    }

    /// Starts a host with further settings, whose lines replace earlier ones of the same name.
    pub fn start_with(store: Option<SocketAddr>, further: &str) -> Self {
        let (_, ip) = next_host();
        let folder = TempDir::new().expect("a folder");
        let settings = folder.path().join("edge.conf");
        // Nothing listens on port 9 of the host's own address.
        let store = store.unwrap_or(SocketAddr::new(ip, 9));
        let text = settings_text("edge-1", ip, store, &[]);
        let names: Vec<&str> = further
            .lines()
            .filter_map(|line| line.split('=').next())
            .collect();
        let kept = text
            .lines()
            .filter(|line| !names.iter().any(|name| line.starts_with(name)));
        let settings_text = kept.chain([""]).collect::<Vec<_>>().join("\n");
        std::fs::write(&settings, format!("{settings_text}{further}")).expect("written");
        let child = Command::new(env!("CARGO_BIN_EXE_teaselglade-host"))
            .arg("--settings")
            .arg(&settings)
            .stdout(Stdio::piped())
            .stderr(Stdio::piped())
            .spawn()
            .expect("the host starts");
        Self {
            child,
            settings,
            settings_text,
            ip,
            _folder: folder,
        }
    }

    pub fn caller_address(&self) -> SocketAddr {
        SocketAddr::new(self.ip, 8_221)
    }

    /// Sends a request and returns the status; a host without a table refuses it.
    pub async fn send_request(&self) -> Option<u16> {
        let response = HttpClient::default()
            .call(build_request(self.caller_address(), "GET", "/peek/1", ""))
            .await;
        response.ok().map(|response| response.status)
    }

    pub async fn wait_until_serving(&self) {
        let serving = async {
            while self.send_request().await.is_none() {
                sleep(POLL_INTERVAL).await;
            }
        };
        timeout(WAIT_TIMEOUT, serving)
            .await
            .expect("the host responds");
    }

    /// Returns the metrics in the Prometheus text format.
    pub async fn metrics(&self) -> String {
        let address = SocketAddr::new(self.ip, METRICS_PORT);
        let method = "GET".parse().expect("a method");
        let response = HttpClient::default()
            .call(HttpRequest::new(method, address, "/metrics"))
            .await
            .expect("metrics");
        String::from_utf8_lossy(&response.body).into_owned()
    }

    pub async fn dropped_lines(&self) -> u64 {
        let text = self.metrics().await;
        let line = text
            .lines()
            .find(|line| line.contains("dropped_total{cause=\"slow_reader\"}"));
        let value = line.and_then(|line| line.split(' ').next_back());
        value.map_or(0, |value| value.parse().expect("a number"))
    }

    /// Changes the filter in the settings file and signals the host to reload it.
    pub fn reload(&self, filter: &str) {
        let new_text = format!("{}log.filter={filter}\n", self.settings_text);
        std::fs::write(&self.settings, new_text).expect("written");
        self.signal("HUP");
    }

    /// Sends a signal, named without `SIG`.
    pub fn signal(&self, name: &str) {
        let pid = self.child.id().to_string();
        let sent = Command::new("kill").args(["-s", name, &pid]).status();
        assert!(sent.expect("a signal").success());
    }

    pub fn take_lines(&mut self) -> BufReader<ChildStdout> {
        BufReader::new(self.child.stdout.take().expect("standard output"))
    }

    /// Reads standard output from now on.
    pub fn follow_lines(&mut self) -> FollowedLines {
        let lines = FollowedLines::default();
        let (followed, output) = (lines.clone(), self.take_lines());
        std::thread::spawn(move || {
            for line in output.lines().map_while(Result::ok) {
                followed.lock().push(line);
            }
            *followed
                .is_whole
                .lock()
                .unwrap_or_else(PoisonError::into_inner) = true;
        });
        lines
    }

    /// Sends plain calls until the response meets the condition.
    pub async fn call_until(&self, path: &str, condition: impl Fn(&HttpResponse) -> bool) {
        let is_met = async {
            loop {
                let request = build_request(self.caller_address(), "POST", path, "");
                let response = HttpClient::default().call(request).await;
                if response.is_ok_and(|response| condition(&response)) {
                    return;
                }
                sleep(POLL_INTERVAL).await;
            }
        };
        timeout(WAIT_TIMEOUT, is_met)
            .await
            .expect("the condition is met");
    }

    /// Waits until the process has exited; returns its exit code.
    pub async fn exit_code(&mut self) -> Option<i32> {
        let ended = async {
            loop {
                if let Some(status) = self.child.try_wait().expect("a status") {
                    return status.code();
                }
                sleep(POLL_INTERVAL).await;
            }
        };
        timeout(WAIT_TIMEOUT, ended).await.expect("the host exits")
    }

    /// Waits until the process has exited; returns what it wrote to standard error.
    pub async fn wait_for_exit(&mut self) -> String {
        let exited = async {
            while self.child.try_wait().expect("a status").is_none() {
                sleep(POLL_INTERVAL).await;
            }
        };
        timeout(WAIT_TIMEOUT, exited).await.expect("the host exits");
        let mut text = String::new();
        let mut errors = self.child.stderr.take().expect("standard error");
        errors.read_to_string(&mut text).expect("text");
        text
    }
}

/// Log lines of a process so far.
#[derive(Clone, Default)]
pub struct FollowedLines {
    lines: Arc<Mutex<Vec<String>>>,
    is_whole: Arc<Mutex<bool>>,
}

impl FollowedLines {
    fn lock(&self) -> std::sync::MutexGuard<'_, Vec<String>> {
        self.lines.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the text of all lines so far.
    pub fn text(&self) -> String {
        self.lock().join("\n")
    }

    /// Returns the lines with an event, in order.
    pub fn with_event(&self, event: &str) -> Vec<Value> {
        let lines = self.lock();
        let lines = lines
            .iter()
            .filter_map(|line| serde_json::from_str(line).ok());
        lines
            .filter(|line: &Value| line["event"] == event)
            .collect()
    }

    /// Waits until `count` lines with an event were written.
    pub async fn wait_for(&self, event: &str, count: usize) {
        let written = async {
            while self.with_event(event).len() < count {
                sleep(POLL_INTERVAL).await;
            }
        };
        let result = timeout(WAIT_TIMEOUT, written).await;
        assert!(result.is_ok(), "no `{event}` in:\n{}", self.text());
    }

    /// Waits until standard output has ended.
    pub async fn wait_for_end(&self) {
        let ended = async {
            while !*self.is_whole.lock().unwrap_or_else(PoisonError::into_inner) {
                sleep(POLL_INTERVAL).await;
            }
        };
        timeout(WAIT_TIMEOUT, ended).await.expect("the output ends");
    }
}
