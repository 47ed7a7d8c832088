//! A shutdown signal that the process notices late.

use std::net::{IpAddr, SocketAddr};
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use teaselglade_net::client::{HttpClient, HttpResponse};
use tempfile::TempDir;
use tokio::time::{sleep, timeout};

use super::fixture::{TestCluster, WAIT_TIMEOUT, build_request, stream_request};
use super::host_settings::{next_host, settings_text};
use super::server_standin::{Reply, ServerStandin, response_bytes, stream_response};

/// Time that the process is frozen with the signal pending; the grace period is 8 s.
const FREEZE: Duration = Duration::from_millis(3_500);

/// Process of a host.
struct HostProcess {
    child: Child,
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
    fn start(store: SocketAddr) -> Self {
        let (_, ip) = next_host();
        let folder = TempDir::new().expect("a folder");
        let settings = folder.path().join("edge.conf");
        std::fs::write(&settings, settings_text("edge-1", ip, store, &[])).expect("written");
        let child = Command::new(env!("CARGO_BIN_EXE_teaselglade-host"))
            .arg("--settings")
            .arg(&settings)
            .stdout(Stdio::null())
            .spawn()
            .expect("the host starts");
        Self {
            child,
            ip,
            _folder: folder,
        }
    }

    fn callers(&self) -> SocketAddr {
        SocketAddr::new(self.ip, 8_221)
    }

    fn signal(&self, name: &str) {
        let pid = self.child.id().to_string();
        let sent = Command::new("kill").args(["-s", name, &pid]).status();
        assert!(sent.expect("a signal").success());
    }

    /// Sends plain calls until the response meets the condition.
    async fn call_until(&self, path: &str, condition: impl Fn(&HttpResponse) -> bool) {
        let is_met = async {
            loop {
                let request = build_request(self.callers(), "POST", path, "");
                let response = HttpClient::default().call(request).await;
                if response.is_ok_and(|response| condition(&response)) {
                    return;
                }
                sleep(Duration::from_millis(10)).await;
            }
        };
        timeout(WAIT_TIMEOUT, is_met)
            .await
            .expect("the condition is met");
    }
}

/// Counted from the notice instead of the signal, the host would pass the stream on and be killed.
#[tokio::test]
async fn a_stream_that_would_be_cut_is_refused_after_a_late_signal() {
    let engine =
        ServerStandin::start(|request, _| Reply::Stall(stream_response(request, 1..=1, false)))
            .await;
    let desk =
        ServerStandin::start(|request, _| Reply::KeepAlive(response_bytes(request, 200, "done")))
            .await;
    let mut cluster = TestCluster::start(&[("engine", &engine), ("desk", &desk)]).await;
    let host = HostProcess::start(cluster.store.address);
    cluster.caller_address = host.callers();
    host.call_until("/book/1", |response| response.status == 200)
        .await;
    host.signal("STOP");
    host.signal("TERM");
    sleep(FREEZE).await;
    host.signal("CONT");
    host.call_until("/none/1", |response| {
        response.header("connection") == Some("close")
    })
    .await;
    let refused = cluster.request_stream("once", 8_000).await;
    assert!(refused.starts_with("HTTP/1.1 503"), "{refused}");
    for part in ["retry-after: ", "connection: close", "\"not_run\""] {
        assert!(refused.contains(part), "{refused}");
    }
    assert!(engine.requests().is_empty());
    let served = cluster.send_raw(&stream_request("book", 1_000)).await;
    assert!(served.starts_with("HTTP/1.1 200"), "{served}");
    assert!(served.ends_with("done"), "{served}");
}
