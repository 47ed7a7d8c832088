//! Limits of servers as one host knows them.

use std::collections::HashMap;
use std::time::Duration;

use teaselglade_core::time::Timestamp;

use super::{LimitChange, LimitNotice, LimitSource, LimitWord, RequestLimit};

/// Time for which a change is told with every report: several, because some are lost.
const CHANGE_REPORT_TIME: Duration = Duration::from_millis(1_500);
/// Time for which the end of a limit is told.
const END_REPORT_TIME: Duration = Duration::from_secs(10);
/// Number of reports of which one names a limit that is no longer new, for hosts that start.
const REPEAT_REPORTS: u64 = 5;
/// Least difference by which another host's response counts as newer than this host's.
///
/// Ages of responses are off by the time of the messages that carry them.
const MIN_PEER_LEAD: Duration = Duration::from_millis(100);
/// Time after which a limit of an unknown server is dropped; its registration may be on the way.
const UNKNOWN_SERVER_TTL: Duration = Duration::from_secs(30);

#[derive(Debug, Clone, Copy)]
struct LimitRecord {
    limit: Option<RequestLimit>,
    /// Time at which the request of the newest response was sent.
    sent_at: Timestamp,
    /// Time at which the last response that named a limit arrived.
    named_at: Timestamp,
    /// Time at which this host learned of the last change.
    changed_at: Timestamp,
    /// Whether a response to this host said so.
    is_own: bool,
}

/// Limits of servers as one host knows them, from responses and from other hosts.
///
/// Responses are ordered by the time at which their requests were sent, as those of long streams
/// begin late. A limit ends with a response without one whose request was sent after the last
/// response that named it had arrived.
///
/// # Examples
///
/// ```
/// use teaselglade_core::time::Timestamp;
/// use teaselglade_routing::limit::{LimitLedger, LimitWord, RequestLimit};
///
/// let mut ledger = LimitLedger::default();
/// let limit = RequestLimit::per_second(2.0);
/// let (sent_at, now) = (Timestamp::from_millis(10), Timestamp::from_millis(30));
/// assert!(ledger.record_response(now, 7, sent_at, LimitWord::Named(limit)).is_some());
/// assert_eq!(ledger.limit(7), Some(limit));
/// ```
#[derive(Debug, Clone, Default)]
pub struct LimitLedger {
    records: HashMap<u64, LimitRecord>,
}

impl LimitLedger {
    /// Returns whether no server is known to be limited.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Returns the limit of a server, given by its incarnation hash.
    #[must_use]
    pub fn limit(&self, server: u64) -> Option<RequestLimit> {
        self.records.get(&server)?.limit
    }

    /// Returns the number of limited servers.
    #[must_use]
    pub fn limited_servers(&self) -> usize {
        let records = self.records.values();
        records.filter(|record| record.limit.is_some()).count()
    }

    /// Records what a response to this host says of its server's limit.
    ///
    /// `sent_at` is the time at which its request was sent. Returns the change, if any.
    pub fn record_response(
        &mut self,
        now: Timestamp,
        server: u64,
        sent_at: Timestamp,
        word: LimitWord,
    ) -> Option<LimitChange> {
        let known = self.records.get(&server).copied();
        let (limit, named_at) = match (word, known) {
            (LimitWord::Named(_), Some(known)) if sent_at < known.sent_at => {
                // An older word on the value still shows that the server was limited until now.
                let named_at = known.limit.map_or(known.named_at, |_| now);
                self.records
                    .insert(server, LimitRecord { named_at, ..known });
                return None;
            }
            (LimitWord::Named(limit), _) => (Some(limit), now),
            (LimitWord::Absent, Some(known)) if known.ends_with(sent_at) => (None, known.named_at),
            (LimitWord::Absent | LimitWord::Unreadable, _) => return None,
        };
        self.replace(
            now,
            server,
            LimitRecord {
                limit,
                sent_at,
                named_at,
                changed_at: now,
                is_own: true,
            },
        )
    }

    /// Merges what another host knows; returns the changes.
    pub fn merge(&mut self, now: Timestamp, notices: &[LimitNotice]) -> Vec<LimitChange> {
        let changes = notices.iter().filter_map(|notice| {
            let sent_at = now.before(Duration::from_millis(notice.sent_age_ms));
            let named_at = now.before(Duration::from_millis(notice.named_age_ms));
            let known = self.records.get(&notice.server);
            if known.is_none() && notice.limit.is_none() {
                return None;
            }
            if known.is_some_and(|known| sent_at < known.sent_at + MIN_PEER_LEAD) {
                return None;
            }
            self.replace(
                now,
                notice.server,
                LimitRecord {
                    limit: notice.limit,
                    sent_at,
                    named_at,
                    changed_at: now,
                    is_own: false,
                },
            )
        });
        changes.collect()
    }

    /// Returns what this host knows of one server, for a request for a permit.
    #[must_use]
    pub fn notice(&self, now: Timestamp, server: u64) -> Option<LimitNotice> {
        let record = self.records.get(&server)?;
        Some(record.notice(now, server))
    }

    /// Returns what this host tells others with its report of this number.
    ///
    /// Changes are told in every report for a while, and limits that hold in every fifth one.
    /// With `own_only`, what other hosts told this one is left out.
    #[must_use]
    pub fn notices(&self, now: Timestamp, number: u64, own_only: bool) -> Vec<LimitNotice> {
        let due = self.records.iter().filter(|(server, record)| {
            let age = now.since(record.changed_at);
            let is_repeated = server.wrapping_add(number).is_multiple_of(REPEAT_REPORTS);
            let is_told = record.limit.is_some() || age < END_REPORT_TIME;
            (record.is_own || !own_only) && is_told && (age < CHANGE_REPORT_TIME || is_repeated)
        });
        due.map(|(server, record)| record.notice(now, *server))
            .collect()
    }

    /// Drops ended limits that are no longer told, and limits of servers that are gone.
    pub fn prune(&mut self, now: Timestamp, is_known: impl Fn(u64) -> bool) {
        self.records.retain(|server, record| {
            let is_told = record.limit.is_some() || now.since(record.changed_at) < END_REPORT_TIME;
            let is_fresh = now.since(record.changed_at) < UNKNOWN_SERVER_TTL;
            is_told && (is_fresh || is_known(*server))
        });
    }

    fn replace(
        &mut self,
        now: Timestamp,
        server: u64,
        mut record: LimitRecord,
    ) -> Option<LimitChange> {
        let known = self.records.get(&server).copied();
        let before = known.and_then(|known| known.limit);
        let is_change = before != record.limit;
        if let Some(known) = known.filter(|_| !is_change) {
            record.changed_at = known.changed_at;
        }
        self.records.insert(server, record);
        is_change.then(|| LimitChange {
            server,
            before,
            after: record.limit,
            source: if record.is_own {
                LimitSource::Response
            } else {
                LimitSource::Peer
            },
            age: now.since(record.sent_at),
        })
    }
}

impl LimitRecord {
    /// Returns whether a response without a limit, to a request sent then, ends the limit.
    fn ends_with(&self, sent_at: Timestamp) -> bool {
        self.limit.is_some() && sent_at > self.named_at
    }

    fn notice(&self, now: Timestamp, server: u64) -> LimitNotice {
        LimitNotice {
            server,
            limit: self.limit,
            sent_age_ms: now.since(self.sent_at).as_millis() as u64,
            named_age_ms: now.since(self.named_at).as_millis() as u64,
        }
    }
}
