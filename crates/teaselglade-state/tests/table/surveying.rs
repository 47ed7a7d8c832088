//! A host that starts during an outage serves the highest version or none.

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
    /// A version in force at half of the listed hosts or more is never missed.
    #[test]
    fn version_in_force_at_half_is_never_missed(
        hosts in prop::collection::vec((any::<bool>(), any::<bool>(), any::<bool>()), 1..9),
    ) {
        let names = (0..hosts.len()).map(|index| HostName::new(format!("e{index}")));
        let names = names.collect::<Vec<_>>();
        let mut survey = HeadPoll::new(CLUSTER, names.clone());
        for (name, (is_new, is_known, answers)) in names.iter().zip(&hosts) {
            let version = if *is_new { 2 } else { 1 };
            if *answers {
                survey.on_answer(name, &head(version, *is_known));
            } else {
                survey.on_failure(name);
            }
        }
        let in_force = hosts.iter().filter(|(is_new, is_known, _)| *is_new && *is_known).count();
        if let PollVerdict::Quorum { version, .. } = survey.verdict()
            && in_force * 2 >= hosts.len()
        {
            prop_assert_eq!(version, 2);
        }
    }
}

#[test]
fn foreign_and_unknowing_hosts_do_not_count() {
    let names = ["e1", "e2", "e3"].map(HostName::new);
    let mut survey = HeadPoll::new(CLUSTER, names.clone());
    survey.on_answer(&names[0], &head(5, true));
    survey.on_answer(&names[1], &head(9, false));
    let foreign = TableHead {
        cluster: "dragons-sleeve".to_owned(),
        ..head(9, true)
    };
    survey.on_answer(&names[2], &foreign);
    let verdict = PollVerdict::NoQuorum {
        answered: 1,
        needed: 2,
    };
    assert_eq!(survey.verdict(), verdict);
}
