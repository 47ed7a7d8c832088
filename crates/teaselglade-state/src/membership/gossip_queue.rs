//! Queue of the updates that this host still gossips.

use teaselglade_core::id::HostName;

/// Number of sends of an item that no peer sends back.
const MAX_SENDS_PER_ITEM: u8 = 10;

/// Number of remaining sends below which duplicates from peers do not reduce them.
const MIN_SENDS_PER_ITEM: u8 = 4;

/// Subject of a gossip item, most urgent first.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum GossipTopic {
    Table,
    Notice(HostName),
    Member(HostName),
}

#[derive(Debug, Clone)]
struct GossipItem {
    topic: GossipTopic,
    sends_left: u8,
}

/// Updates that this host still gossips, each a bounded number of times.
#[derive(Debug, Clone, Default)]
pub(super) struct GossipQueue {
    items: Vec<GossipItem>,
}

impl GossipQueue {
    pub(super) fn is_empty(&self) -> bool {
        self.items.is_empty()
    }

    /// Queues a topic; one that is already queued gets its full number of sends again.
    pub(super) fn enqueue(&mut self, topic: GossipTopic) {
        self.items.retain(|item| item.topic != topic);
        self.items.push(GossipItem {
            topic,
            sends_left: MAX_SENDS_PER_ITEM,
        });
    }

    /// Records that a peer sent a queued topic too, which makes a send of this host redundant.
    pub(super) fn record_duplicate(&mut self, topic: &GossipTopic) {
        let queued = self.items.iter_mut().find(|item| item.topic == *topic);
        let queued = queued.filter(|item| item.sends_left > MIN_SENDS_PER_ITEM);
        if let Some(item) = queued {
            item.sends_left -= 1;
        }
    }

    /// Returns the topics of the next message and counts them as sent.
    ///
    /// The table and notices come before members, then the least sent ones come first. Topics
    /// that the receiver already knows are left out.
    pub(super) fn take_batch(
        &mut self,
        max_items: usize,
        known_topics: &[GossipTopic],
    ) -> Vec<GossipTopic> {
        self.items.sort_by_key(|item| {
            let is_member = matches!(item.topic, GossipTopic::Member(_));
            (is_member, u8::MAX - item.sends_left)
        });
        let unknown_to_receiver = self
            .items
            .iter_mut()
            .filter(|item| !known_topics.contains(&item.topic));
        let topics = unknown_to_receiver.take(max_items).map(|item| {
            item.sends_left -= 1;
            item.topic.clone()
        });
        let topics = topics.collect();
        self.items.retain(|item| item.sends_left > 0);
        topics
    }
}
