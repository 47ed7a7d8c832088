//! News that this host still passes on.

use teaselglade_core::id::HostName;

/// How often this host passes on one piece of news.
const SENDS_PER_RUMOUR: u8 = 10;

/// How often this host passes it on where peers tell it too.
const SENDS_DESPITE_REPETITION: u8 = 4;

/// What a rumour is about, most urgent first.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum RumourTopic {
    Table,
    Notice(HostName),
    Member(HostName),
}

#[derive(Debug, Clone)]
struct Rumour {
    topic: RumourTopic,
    sends_left: u8,
}

/// News that this host still passes on, each piece a bounded number of times.
#[derive(Debug, Clone, Default)]
pub(super) struct RumourQueue {
    rumours: Vec<Rumour>,
}

impl RumourQueue {
    pub(super) fn is_empty(&self) -> bool {
        self.rumours.is_empty()
    }

    /// Starts to pass on news; news on a topic that is passed on already starts anew.
    pub(super) fn start(&mut self, topic: RumourTopic) {
        self.rumours.retain(|rumour| rumour.topic != topic);
        self.rumours.push(Rumour {
            topic,
            sends_left: SENDS_PER_RUMOUR,
        });
    }

    /// Notes that a peer told what this host passes on; its own sends are needed less.
    pub(super) fn hear_again(&mut self, topic: &RumourTopic) {
        let known = self
            .rumours
            .iter_mut()
            .find(|rumour| rumour.topic == *topic);
        let known = known.filter(|rumour| rumour.sends_left > SENDS_DESPITE_REPETITION);
        if let Some(rumour) = known {
            rumour.sends_left -= 1;
        }
    }

    /// Returns the topics of the next message, least sent first, and counts them as sent.
    ///
    /// Topics that the receiver told itself are left out.
    pub(super) fn take(&mut self, most: usize, told: &[RumourTopic]) -> Vec<RumourTopic> {
        self.rumours.sort_by_key(|rumour| {
            let is_member = matches!(rumour.topic, RumourTopic::Member(_));
            (is_member, u8::MAX - rumour.sends_left)
        });
        let new_to_receiver = self
            .rumours
            .iter_mut()
            .filter(|rumour| !told.contains(&rumour.topic));
        let topics = new_to_receiver.take(most).map(|rumour| {
            rumour.sends_left -= 1;
            rumour.topic.clone()
        });
        let topics = topics.collect();
        self.rumours.retain(|rumour| rumour.sends_left > 0);
        topics
    }
}
