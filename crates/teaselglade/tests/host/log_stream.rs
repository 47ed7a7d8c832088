//! Log of a serving host as a process: a reader that stops, and a filter that changes.

use std::io::{BufRead, BufReader};
use std::net::{IpAddr, SocketAddr};
use std::path::PathBuf;
use std::process::{Child, ChildStdout, Command, Stdio};
use std::time::Duration;

use futures::future::join_all;
use teaselglade_net::client::{HttpClient, HttpRequest};
use tempfile::TempDir;
use tokio::time::{sleep, timeout};

use super::fixture::{WAIT_TIMEOUT, build_request};
use super::host_settings::{next_host, settings_text};

/// Default port of the host's metrics.
const METRICS_PORT: u16 = 9_464;

/// Process of a host without a store; nothing reads its standard output at first.
struct HostProcess {
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
    fn start(filter: &str) -> Self {
        let (_, ip) = next_host();
        let folder = TempDir::new().expect("a folder");
        let settings = folder.path().join("edge.conf");
        // Nothing listens on port 9 of the host's own address.
        let settings_text = settings_text("edge-1", ip, SocketAddr::new(ip, 9), &[]);
        std::fs::write(
            &settings,
            format!("{settings_text}log.filter={filter}\nlog.queued_lines=5\n"),
        )
        .expect("written");
        let child = Command::new(env!("CARGO_BIN_EXE_teaselglade-host"))
            .arg("--settings")
            .arg(&settings)
            .stdout(Stdio::piped())
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

    /// Sends a request, which a host without a table refuses, and returns the status.
    async fn send_request(&self) -> Option<u16> {
        let callers = SocketAddr::new(self.ip, 8_221);
        let response = HttpClient::default()
            .call(build_request(callers, "GET", "/peek/1", ""))
            .await;
        response.ok().map(|response| response.status)
    }

    async fn wait_until_serving(&self) {
        let serving = async {
            while self.send_request().await.is_none() {
                sleep(Duration::from_millis(20)).await;
            }
        };
        timeout(WAIT_TIMEOUT, serving)
            .await
            .expect("the host responds");
    }

    async fn dropped_lines(&self) -> u64 {
        let address = SocketAddr::new(self.ip, METRICS_PORT);
        let method = "GET".parse().expect("a method");
        let response = HttpClient::default()
            .call(HttpRequest::new(method, address, "/metrics"))
            .await
            .expect("metrics");
        let text = String::from_utf8_lossy(&response.body).into_owned();
        let line = text
            .lines()
            .find(|line| line.contains("dropped_total{cause=\"slow_reader\"}"));
        let value = line.and_then(|line| line.split(' ').next_back());
        value.map_or(0, |value| value.parse().expect("a number"))
    }

    /// Changes the filter in the settings file and signals the host to reload it.
    fn reload(&self, filter: &str) {
        let new_text = format!("{}log.filter={filter}\n", self.settings_text);
        std::fs::write(&self.settings, new_text).expect("written");
        let pid = self.child.id().to_string();
        let sent = Command::new("kill").args(["-s", "HUP", &pid]).status();
        assert!(sent.expect("a signal").success());
    }

    fn take_lines(&mut self) -> BufReader<ChildStdout> {
        BufReader::new(self.child.stdout.take().expect("standard output"))
    }
}

/// At most five lines are queued; the pipe buffers some more.
#[tokio::test]
async fn a_stopped_log_reader_blocks_no_request_and_dropped_lines_are_counted() {
    let host = HostProcess::start("info");
    host.wait_until_serving().await;
    let drop_lines = async {
        while host.dropped_lines().await == 0 {
            let statuses = join_all((0..100).map(|_| host.send_request())).await;
            assert!(statuses.iter().all(|status| *status == Some(503)));
        }
    };
    timeout(WAIT_TIMEOUT, drop_lines)
        .await
        .expect("lines are dropped");
    for _ in 0..50 {
        assert_eq!(host.send_request().await, Some(503));
    }
}

#[tokio::test]
async fn a_reload_changes_which_lines_are_logged() {
    let mut host = HostProcess::start("error");
    host.wait_until_serving().await;
    let lines = host.take_lines();
    host.reload("not a filter=,=");
    host.reload("teaselglade=info,teaselglade_host=info");
    let first = tokio::task::spawn_blocking(move || lines.lines().next());
    let first = timeout(WAIT_TIMEOUT, first).await.expect("a line");
    let first = first.expect("read").expect("a line").expect("text");
    assert!(first.contains("\"event\":\"reloaded\""), "{first}");
    assert!(first.contains("teaselglade_host=info"), "{first}");
}
