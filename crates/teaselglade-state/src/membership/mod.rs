//! Membership of the entry hosts, maintained by gossip between them.
//!
//! Membership is only a hint: a wrong entry costs time, never correctness. The size of a message
//! is bounded, and the number of messages per host does not depend on the size of the fleet.

mod failure_detection;
mod gossip_merge;
mod gossip_message;
mod gossip_queue;
mod host_list_merge;
mod leaving_notice;
mod list_poll_interval;
mod member_arena;
mod member_entry;
mod membership_counts;
mod membership_event;
mod membership_machine;
mod membership_settings;
mod message_check;
mod notice_set;
mod peer_selection;
mod send_budget;
mod slice_digest;

pub use leaving_notice::LeavingNotice;
pub use list_poll_interval::list_poll_interval;
pub use member_entry::{MemberEntry, MemberLiveness};
pub use membership_counts::MembershipCounts;
pub use membership_event::{MembershipAction, MembershipEvent};
pub use membership_machine::MembershipMachine;
pub use membership_settings::MembershipSettings;
pub use message_check::{
    MAX_DEMAND_BYTES, MAX_MESSAGE_BYTES, MessageRefusal, OLDEST_PROTOCOL_VERSION, PROTOCOL_VERSION,
};
