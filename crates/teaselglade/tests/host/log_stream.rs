//! The log of a host that runs as a process: its reader stops, its filter changes.

use std::io::{BufRead, BufReader};
use std::net::{IpAddr, SocketAddr};
use std::path::PathBuf;
use std::process::{Child, ChildStdout, Command, Stdio};
use std::time::Duration;

use futures::future::join_all;
use teaselglade_net::client::{HttpClient, HttpRequest};
use tempfile::TempDir;
use tokio::time::{sleep, timeout};

use super::fixture::{WAIT_TIMEOUT, call};
use super::host_settings::{next_host, settings_text};

const METRICS_PORT: u16 = 9_464;

/// A host without a store, as a process, whose standard output nobody reads.
struct LoneHost {
    child: Child,
    settings: PathBuf,
    text: String,
    ip: IpAddr,
    _folder: TempDir,
}

impl Drop for LoneHost {
    fn drop(&mut self) {
        // A process that ended by itself needs no kill.
        let _ended = self.child.kill();
        let _status = self.child.wait();
    }
}

impl LoneHost {
    fn start(filter: &str) -> Self {
        let (_, ip) = next_host();
        let folder = TempDir::new().expect("a folder");
        let settings = folder.path().join("edge.conf");
        // Nothing listens at port 9 of the host's own address.
        let text = settings_text("edge-1", ip, SocketAddr::new(ip, 9), &[]);
        std::fs::write(
            &settings,
            format!("{text}log.filter={filter}\nlog.queued_lines=5\n"),
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
            text,
            ip,
            _folder: folder,
        }
    }

    /// Sends a request; a host without a table refuses it.
    async fn ask(&self) -> Option<u16> {
        let callers = SocketAddr::new(self.ip, 8_221);
        let asked = HttpClient::default()
            .call(call(callers, "GET", "/peek/1", ""))
            .await;
        asked.ok().map(|answer| answer.status)
    }

    async fn until_it_answers(&self) {
        let answers = async {
            while self.ask().await.is_none() {
                sleep(Duration::from_millis(20)).await;
            }
        };
        timeout(WAIT_TIMEOUT, answers)
            .await
            .expect("the host answers");
    }

    async fn dropped_lines(&self) -> u64 {
        let address = SocketAddr::new(self.ip, METRICS_PORT);
        let method = "GET".parse().expect("a method");
        let got = HttpClient::default()
            .call(HttpRequest::new(method, address, "/metrics"))
            .await
            .expect("counters");
        let text = String::from_utf8_lossy(&got.body).into_owned();
        let line = text
            .lines()
            .find(|line| line.contains("dropped_total{cause=\"slow_reader\"}"));
        let value = line.and_then(|line| line.split(' ').next_back());
        value.map_or(0, |value| value.parse().expect("a number"))
    }

    /// Changes the filter in the settings file and has it read anew.
    fn reload(&self, filter: &str) {
        let text = format!("{}log.filter={filter}\n", self.text);
        std::fs::write(&self.settings, text).expect("written");
        let pid = self.child.id().to_string();
        let sent = Command::new("kill").args(["-s", "HUP", &pid]).status();
        assert!(sent.expect("a signal").success());
    }

    fn lines(&mut self) -> BufReader<ChildStdout> {
        BufReader::new(self.child.stdout.take().expect("standard output"))
    }
}

/// Five lines wait at most; the pipe takes some more.
#[tokio::test]
async fn a_reader_that_stops_holds_nothing_up_and_what_is_dropped_is_counted() {
    let host = LoneHost::start("info");
    host.until_it_answers().await;
    let dropping = async {
        while host.dropped_lines().await == 0 {
            let answers = join_all((0..100).map(|_| host.ask())).await;
            assert!(answers.iter().all(|status| *status == Some(503)));
        }
    };
    timeout(WAIT_TIMEOUT, dropping)
        .await
        .expect("lines are dropped");
    for _ in 0..50 {
        assert_eq!(host.ask().await, Some(503));
    }
}

#[tokio::test]
async fn a_reload_changes_which_lines_are_logged() {
    let mut host = LoneHost::start("error");
    host.until_it_answers().await;
    let lines = host.lines();
    host.reload("not a filter=,=");
    host.reload("teaselglade=info,teaselglade_host=info");
    let first = tokio::task::spawn_blocking(move || lines.lines().next());
    let first = timeout(WAIT_TIMEOUT, first).await.expect("a line");
    let first = first.expect("read").expect("a line").expect("text");
    assert!(first.contains("\"event\":\"reloaded\""), "{first}");
    assert!(first.contains("teaselglade_host=info"), "{first}");
}
