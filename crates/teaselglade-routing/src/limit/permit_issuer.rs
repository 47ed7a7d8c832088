//! Issues permits to send to limited servers.

use std::collections::HashMap;
use std::time::Duration;

use teaselglade_core::time::Timestamp;
use teaselglade_placement::limit::TokenBucket;

use super::{IssuedCount, PermitAnswer, PermitRequest, RequestLimit};

/// Fraction of a limit that is issued; the rest covers permits that two issuers count late.
const ISSUED_FRACTION: f64 = 0.95;
/// Least permits per second for a limited server.
///
/// Without them a server that named a limit of zero would never be asked again.
const MIN_RATE: f64 = 0.1;
/// Permits that may be saved up, beside [`BURST_WINDOW`].
const MIN_BURST: f64 = 2.0;
/// Permits that may be saved up, as time at the issued rate.
const BURST_WINDOW: Duration = Duration::from_millis(250);
/// Largest debt of a bucket, as time at the issued rate; it wears off within that time.
const MAX_DEBT: Duration = Duration::from_secs(2);
/// Time after its start in which a host issues nothing, as it may not know its peers yet.
const SETTLING_TIME: Duration = Duration::from_secs(2);
/// Least fraction of the known hosts that an issuer must see.
///
/// At most five groups of hosts that do not see one another issue, each for its share of the limit.
const MIN_SEEN_SHARE: f64 = 0.2;
/// Wait told to a host that asks one which may not issue.
const NOT_ISSUER_WAIT: Duration = Duration::from_millis(300);
/// Time without a permit after which a bucket is dropped.
const BUCKET_TTL: Duration = Duration::from_mins(1);

/// Time for which a repeated request gets the permit of the first one.
const REPEAT_TIME: Duration = Duration::from_secs(1);

/// How an issuing host stands in the fleet.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct IssuerView {
    /// Whether the host is among those that issue permits.
    pub may_issue: bool,
    /// Fraction of the known hosts that were seen recently, this one included.
    pub seen_share: f64,
}

#[derive(Debug, Clone)]
struct PermitBucket {
    bucket: TokenBucket,
    /// Permits issued by this host, less those given back.
    issued: u32,
    used_at: Timestamp,
}

/// Request that was granted, by its asker's name hash and its number.
type GrantedRequest = (u64, u64);

#[derive(Debug, Clone, Default)]
struct PeerIssue {
    started_at_us: u64,
    issued: HashMap<u64, u32>,
}

/// Issues permits to send to limited servers, on behalf of the whole fleet.
///
/// A bucket for each server holds the permits that may still be issued. It is filled at the
/// server's limit, times the share of the fleet that this host sees, and drained by what this host
/// and other issuers issue. Several hosts may thus issue for one server while they disagree on whose
/// turn it is; what one of them issued counts at the others with its next report.
///
/// # Examples
///
/// ```
/// use teaselglade_core::time::Timestamp;
/// use teaselglade_routing::limit::{IssuerView, PermitAnswer, PermitIssuer, RequestLimit};
/// use std::time::Duration;
///
/// let mut issuer = PermitIssuer::default();
/// let view = IssuerView { may_issue: true, seen_share: 1.0 };
/// let limit = RequestLimit::per_second(1.0);
/// issuer.prune(Timestamp::from_millis(1_000));
/// let first = issuer.issue(Timestamp::from_millis(9_000), 7, limit, view, Duration::ZERO);
/// assert!(matches!(first, PermitAnswer::Denied { .. }));
/// let later = issuer.issue(Timestamp::from_millis(10_100), 7, limit, view, Duration::ZERO);
/// assert_eq!(later, PermitAnswer::Granted { wait_ms: 0 });
/// ```
#[derive(Debug, Clone, Default)]
pub struct PermitIssuer {
    buckets: HashMap<u64, PermitBucket>,
    peers: HashMap<String, PeerIssue>,
    /// Recent grants to other hosts, whose answers may have been lost.
    granted: HashMap<GrantedRequest, Timestamp>,
    started_at: Option<Timestamp>,
}

impl PermitIssuer {
    /// Issues one permit for a server, or says when it is worth asking again.
    ///
    /// `max_wait` is the longest time for which the asking host can hold its request.
    pub fn issue(
        &mut self,
        now: Timestamp,
        server: u64,
        limit: RequestLimit,
        view: IssuerView,
        max_wait: Duration,
    ) -> PermitAnswer {
        if !view.may_issue || view.seen_share < MIN_SEEN_SHARE {
            return denied(NOT_ISSUER_WAIT);
        }
        let settled_at = self.started_at.unwrap_or(now) + SETTLING_TIME;
        let bucket = self.bucket(now, server);
        bucket.used_at = now;
        bucket.set_limit(now, limit, view.seen_share);
        let wait = bucket.wait(now);
        let settling = settled_at.since(now);
        if settling > Duration::ZERO || wait > max_wait {
            return denied(wait.max(settling));
        }
        bucket.bucket.take(1.0);
        bucket.issued += 1;
        PermitAnswer::Granted {
            wait_ms: millis(wait),
        }
    }

    /// Issues one permit to another host; a repeated request gets the same permit again.
    ///
    /// `limit` is the limit of the request's server, and `view` how this host stands.
    pub fn answer(
        &mut self,
        now: Timestamp,
        request: &PermitRequest,
        limit: RequestLimit,
        view: IssuerView,
    ) -> PermitAnswer {
        let granted = (request.asker, request.number);
        if let Some(turn_at) = self.granted.get(&granted) {
            let wait_ms = millis(turn_at.since(now));
            return PermitAnswer::Granted { wait_ms };
        }
        let server = request.notice.server;
        let max_wait = Duration::from_millis(request.max_wait_ms);
        let answer = self.issue(now, server, limit, view, max_wait);
        if let PermitAnswer::Granted { wait_ms } = answer {
            let turn_at = now + Duration::from_millis(wait_ms);
            self.granted.insert(granted, turn_at);
        }
        answer
    }

    /// Takes back a permit whose request was not sent.
    pub fn take_back(&mut self, server: u64) {
        if let Some(bucket) = self.buckets.get_mut(&server)
            && bucket.issued > 0
        {
            bucket.issued -= 1;
            bucket.bucket.take(-1.0);
        }
    }

    /// Counts the permits that another host issued since its last report.
    pub fn receive_issued(
        &mut self,
        now: Timestamp,
        peer: &str,
        started_at_us: u64,
        issued: &[IssuedCount],
    ) {
        let known = self.peers.get(peer);
        let known = known.filter(|known| known.started_at_us == started_at_us);
        let known = known.cloned().unwrap_or_default();
        for count in issued {
            // Permits of a first report were issued at unknown times, most of them long ago.
            let before = known.issued.get(&count.server).copied();
            let before = before.unwrap_or(count.permits);
            let bucket = self.bucket(now, count.server);
            bucket
                .bucket
                .take(f64::from(count.permits) - f64::from(before));
            bucket.bucket.limit_debt(MAX_DEBT);
        }
        let issued = issued.iter().map(|count| (count.server, count.permits));
        let record = PeerIssue {
            started_at_us,
            issued: issued.collect(),
        };
        self.peers.insert(peer.to_owned(), record);
    }

    /// Returns the permits that this host issued, for its peers.
    #[must_use]
    pub fn issued(&self) -> Vec<IssuedCount> {
        let counts = self.buckets.iter().map(|(server, bucket)| IssuedCount {
            server: *server,
            permits: bucket.issued,
        });
        counts.filter(|count| count.permits > 0).collect()
    }

    /// Removes a peer that is gone.
    pub fn remove_peer(&mut self, peer: &str) {
        self.peers.remove(peer);
    }

    /// Drops buckets that were not used for a minute; the first call starts the settling time.
    pub fn prune(&mut self, now: Timestamp) {
        self.started_at.get_or_insert(now);
        self.granted
            .retain(|_, turn_at| now.since(*turn_at) < REPEAT_TIME);
        self.buckets
            .retain(|_, bucket| now.since(bucket.used_at) < BUCKET_TTL);
    }

    fn bucket(&mut self, now: Timestamp, server: u64) -> &mut PermitBucket {
        self.buckets.entry(server).or_insert_with(|| PermitBucket {
            bucket: TokenBucket::empty().burst(MIN_BURST, BURST_WINDOW),
            issued: 0,
            used_at: now,
        })
    }
}

impl PermitBucket {
    fn set_limit(&mut self, now: Timestamp, limit: RequestLimit, share: f64) {
        let rate = (limit.rate() * ISSUED_FRACTION).max(MIN_RATE);
        self.bucket.set_rate(now, rate * share.min(1.0));
    }

    /// Returns the time until one more permit may be issued.
    fn wait(&mut self, now: Timestamp) -> Duration {
        if self.bucket.has(now, 1.0) {
            Duration::ZERO
        } else {
            self.bucket.wait(1.0)
        }
    }
}

fn denied(wait: Duration) -> PermitAnswer {
    PermitAnswer::Denied {
        wait_ms: millis(wait),
    }
}

/// Returns whole milliseconds, rounded up so that a wait is never too short.
fn millis(wait: Duration) -> u64 {
    wait.as_micros().div_ceil(1_000) as u64
}
