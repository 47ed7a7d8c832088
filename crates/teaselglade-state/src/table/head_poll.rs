//! Poll of the peers for the table's head while the log is unavailable.

use std::collections::BTreeMap;

use teaselglade_core::id::HostName;
use teaselglade_wire::TableHead;

/// Result of a poll so far.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PollVerdict {
    /// Some hosts have not answered yet.
    Pending,
    /// More than half of the hosts reported a known head; `host` has the highest version.
    Quorum {
        /// Host to fetch the table from.
        host: HostName,
        /// Highest version active at a host that answered.
        version: u64,
    },
    /// Too few hosts reported a known head to rule out a higher version.
    NoQuorum {
        /// Number of hosts that reported a known head.
        answered: usize,
        /// Number of hosts that must report one.
        needed: usize,
    },
}

/// Reply of one host; `Unknown` stands for a failed call as well.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum HostReply {
    Outstanding,
    Known { version: u64, through: u64 },
    Unknown,
}

/// Poll of the listed entry hosts by a host that starts while the log is unavailable.
///
/// A quorum needs known heads from more than half of the hosts, so it never misses a version
/// that is active on half of them. Hosts that do not know the head themselves do not count.
///
/// # Examples
///
/// ```
/// use teaselglade_core::id::HostName;
/// use teaselglade_state::table::{HeadPoll, PollVerdict};
///
/// let peer = HostName::new("galway-e2");
/// let mut poll = HeadPoll::new("halloran", [peer.clone()]);
/// assert_eq!(poll.verdict(), PollVerdict::Pending);
/// poll.on_failure(&peer);
/// assert_eq!(poll.verdict(), PollVerdict::NoQuorum { answered: 0, needed: 1 });
/// ```
#[derive(Debug, Clone)]
pub struct HeadPoll {
    cluster: String,
    replies: BTreeMap<HostName, HostReply>,
}

impl HeadPoll {
    /// Creates a poll of the other listed entry hosts.
    #[must_use]
    pub fn new(cluster: impl Into<String>, hosts: impl IntoIterator<Item = HostName>) -> Self {
        let hosts = hosts.into_iter();
        Self {
            cluster: cluster.into(),
            replies: hosts.map(|host| (host, HostReply::Outstanding)).collect(),
        }
    }

    /// Returns the hosts that have not answered yet.
    pub fn outstanding(&self) -> impl Iterator<Item = &HostName> {
        let is_outstanding = |reply: &HostReply| *reply == HostReply::Outstanding;
        let replies = self.replies.iter();
        replies.filter_map(move |(host, reply)| is_outstanding(reply).then_some(host))
    }

    /// Records a host's answer.
    ///
    /// A head of another cluster, or one that the host does not know itself, counts as unknown.
    pub fn on_answer(&mut self, host: &HostName, head: &TableHead) {
        let is_usable = head.known && head.cluster == self.cluster;
        let reply = if is_usable {
            HostReply::Known {
                version: head.version,
                through: head.through,
            }
        } else {
            HostReply::Unknown
        };
        self.record(host, reply);
    }

    /// Records that a host did not answer.
    pub fn on_failure(&mut self, host: &HostName) {
        self.record(host, HostReply::Unknown);
    }

    /// Returns the result so far, which is final once no answer is outstanding.
    #[must_use]
    pub fn verdict(&self) -> PollVerdict {
        if self.outstanding().next().is_some() {
            return PollVerdict::Pending;
        }
        let needed = self.replies.len() / 2 + 1;
        let known = || self.replies.iter().filter_map(known_head);
        let answered = known().count();
        match known().max_by_key(|(_, version, through)| (*version, *through)) {
            Some((host, version, _)) if answered >= needed => PollVerdict::Quorum {
                host: host.clone(),
                version,
            },
            _ => PollVerdict::NoQuorum { answered, needed },
        }
    }

    fn record(&mut self, host: &HostName, reply: HostReply) {
        if let Some(slot) = self.replies.get_mut(host) {
            *slot = reply;
        }
    }
}

/// Returns host, version and offset of a known head.
fn known_head<'a>(entry: (&'a HostName, &HostReply)) -> Option<(&'a HostName, u64, u64)> {
    match *entry.1 {
        HostReply::Known { version, through } => Some((entry.0, version, through)),
        HostReply::Outstanding | HostReply::Unknown => None,
    }
}
