//! Process of a serving host that reads a store.

use std::net::{IpAddr, SocketAddr};
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use teaselglade_net::client::{HttpClient, HttpResponse};
use tempfile::TempDir;
use tokio::time::{sleep, timeout};

use super::fixture::{WAIT_TIMEOUT, build_request};
use super::host_settings::{next_host, settings_text};

/// Process of a host.
pub struct HostProcess {
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
    pub fn start(store: SocketAddr) -> Self {
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

    pub fn callers(&self) -> SocketAddr {
        SocketAddr::new(self.ip, 8_221)
    }

    /// Sends a signal, given by name such as `TERM`.
    pub fn signal(&self, name: &str) {
        let pid = self.child.id().to_string();
        let sent = Command::new("kill").args(["-s", name, &pid]).status();
        assert!(sent.expect("a signal").success());
    }

    /// Sends plain calls until the response meets the condition.
    pub async fn call_until(&self, path: &str, condition: impl Fn(&HttpResponse) -> bool) {
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

    /// Waits until the process has ended; returns its exit code.
    pub async fn exit_code(&mut self) -> Option<i32> {
        let ended = async {
            loop {
                if let Some(status) = self.child.try_wait().expect("a status") {
                    return status.code();
                }
                sleep(Duration::from_millis(10)).await;
            }
        };
        timeout(WAIT_TIMEOUT, ended).await.expect("the host ends")
    }
}
