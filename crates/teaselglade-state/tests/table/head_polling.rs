//! A host that starts during an outage of the log serves the highest version or none.

use proptest::prelude::*;
use teaselglade_core::id::HostName;
use teaselglade_state::table::{HeadPoll, PollVerdict};
use teaselglade_wire::TableHead;

const CLUSTER: &str = "halloran";

fn head(version: u64, known: bool) -> TableHead {
    TableHead {
        cluster: CLUSTER.to_owned(),
        version,
        through: version,
        known,
    }
}

proptest! {
    /// A quorum of more than half of the hosts overlaps with any half that has the version.
    #[test]
    fn version_active_at_half_of_the_hosts_is_never_missed(
        hosts in prop::collection::vec((any::<bool>(), any::<bool>(), any::<bool>()), 1..9),
    ) {
        let names = (0..hosts.len()).map(|index| HostName::new(format!("e{index}")));
        let names = names.collect::<Vec<_>>();
        let mut poll = HeadPoll::new(CLUSTER, names.clone());
        for (name, (is_new, is_known, answers)) in names.iter().zip(&hosts) {
            let version = if *is_new { 2 } else { 1 };
            if *answers {
                poll.on_answer(name, &head(version, *is_known));
            } else {
                poll.on_failure(name);
            }
        }
        let active = hosts.iter().filter(|(is_new, is_known, _)| *is_new && *is_known).count();
        if let PollVerdict::Quorum { version, .. } = poll.verdict()
            && active * 2 >= hosts.len()
        {
            prop_assert_eq!(version, 2);
        }
    }
}

#[test]
fn hosts_of_other_clusters_or_without_a_known_head_do_not_count() {
    let names = ["e1", "e2", "e3"].map(HostName::new);
    let mut poll = HeadPoll::new(CLUSTER, names.clone());
    poll.on_answer(&names[0], &head(5, true));
    poll.on_answer(&names[1], &head(9, false));
    let other_cluster = TableHead {
        cluster: "dragons-sleeve".to_owned(),
        ..head(9, true)
    };
    poll.on_answer(&names[2], &other_cluster);
    let verdict = PollVerdict::NoQuorum {
        answered: 1,
        needed: 2,
    };
    assert_eq!(poll.verdict(), verdict);
}
