//! Permit to send one request to a limited server.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use teaselglade_core::id::ServerKey;
use teaselglade_routing::gossip::{PeerMessage, name_hash};
use teaselglade_routing::limit::{LimitNotice, PermitAnswer, PermitMessage, PermitRequest};
use tokio::time::{sleep, timeout};

use crate::state::{HostState, PermitStep};

/// Longest time to wait for the answer of the host that issues permits.
const MAX_ANSWER_TIME: Duration = Duration::from_millis(150);
/// Shortest time to wait for that answer: a few round trips between data centres.
const MIN_ANSWER_TIME: Duration = Duration::from_millis(20);
/// Number of times that one request for a permit is sent before it counts as unanswered.
const ASKS: u32 = 3;
/// Time for which a host that did not answer is not asked, and its servers get no requests.
const UNANSWERED_WAIT: Duration = Duration::from_millis(300);
/// Shortest time without requests after a denial, so that each one moves a request elsewhere.
const MIN_DENIED_TIME: Duration = Duration::from_millis(20);

/// Denial of a permit; the server is left out of placements for a while.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PermitDenied;

/// Permit to send one request to a limited server; given back if the request is not sent.
#[derive(Debug)]
pub struct SendPermit {
    host: Arc<HostState>,
    server: u64,
    /// Address of the host that issued the permit, which may be this one.
    issuer: SocketAddr,
    is_used: bool,
}

impl SendPermit {
    /// Sets whether the request was sent; one that may have arrived counts as sent.
    pub const fn set_used(&mut self, is_used: bool) {
        self.is_used = is_used;
    }
}

impl Drop for SendPermit {
    fn drop(&mut self) {
        if !self.is_used {
            give_back(&self.host, self.issuer, self.server);
        }
    }
}

/// Requests a permit to send one request to a limited server.
///
/// `time_left` is the time within which an answer of the server is wanted; `max_wait` is how long
/// the request may wait for its turn.
///
/// # Errors
///
/// Returns [`PermitDenied`] if none is granted or no answer arrives; the registry then leaves the
/// server out of placements until it is worth asking again.
pub async fn request_permit(
    host: &Arc<HostState>,
    server: ServerKey,
    time_left: Duration,
    max_wait: Duration,
) -> Result<SendPermit, PermitDenied> {
    let step = {
        let now = host.now();
        let mut decisions = host.lock_decisions();
        decisions.begin_permit(now, server, max_wait)
    };
    let (incarnation, issuer, answer) = match step {
        PermitStep::Decided {
            incarnation,
            answer,
        } => (incarnation, host.own_address().address, answer),
        PermitStep::Ask {
            incarnation,
            issuer,
            notice,
        } => {
            if host.permits.is_silent(host.now(), issuer) {
                host.deny_permit(server, UNANSWERED_WAIT);
                return Err(PermitDenied);
            }
            let answer_time = (time_left / 4).clamp(MIN_ANSWER_TIME, MAX_ANSWER_TIME);
            let Some(answer) = ask(host, issuer, notice, max_wait, answer_time).await else {
                host.metrics.advice.count_permit("unanswered");
                let until = host.now() + UNANSWERED_WAIT;
                host.permits.record_silence(issuer, until);
                host.deny_permit(server, UNANSWERED_WAIT);
                return Err(PermitDenied);
            };
            (incarnation, issuer, answer)
        }
    };
    match answer {
        PermitAnswer::Granted { wait_ms } => {
            host.metrics.advice.count_permit("granted");
            let permit = SendPermit {
                host: Arc::clone(host),
                server: incarnation,
                issuer,
                is_used: false,
            };
            if wait_ms > 0 {
                sleep(Duration::from_millis(wait_ms)).await;
            }
            Ok(permit)
        }
        PermitAnswer::Denied { wait_ms } => {
            host.metrics.advice.count_permit("denied");
            let wait = Duration::from_millis(wait_ms).max(MIN_DENIED_TIME);
            host.deny_permit(server, wait);
            Err(PermitDenied)
        }
    }
}

/// Asks another host for a permit, again if an answer may be lost; `None` if none arrives in time.
async fn ask(
    host: &HostState,
    issuer: SocketAddr,
    notice: LimitNotice,
    max_wait: Duration,
    answer_time: Duration,
) -> Option<PermitAnswer> {
    let (number, mut receiver) = host.permits.open();
    let request = PermitRequest {
        asker: name_hash(&host.settings.name),
        number,
        notice,
        max_wait_ms: max_wait.as_millis() as u64,
    };
    let mut answer = None;
    for _ in 0..ASKS {
        let message = PeerMessage::Permit(PermitMessage::Ask(request.clone()));
        host.permits.post(issuer, message);
        if let Ok(received) = timeout(answer_time / ASKS, &mut receiver).await {
            answer = received.ok();
            break;
        }
    }
    host.permits.close(number);
    answer
}

/// Gives a permit back to the host that issued it, by a message also if that is this one.
///
/// A permit may be dropped while the decision state is locked, which therefore is not locked here.
pub(crate) fn give_back(host: &HostState, issuer: SocketAddr, server: u64) {
    host.metrics.advice.count_permit("given_back");
    let message = PeerMessage::Permit(PermitMessage::GiveBack { server });
    host.permits.post(issuer, message);
}
