//! Which hosts there are, as entry hosts tell one another.
//!
//! Everything here is a hint: a wrong hint costs time, never correctness. Messages are bounded,
//! and their number per node does not depend on the size of the fleet.

mod exchange_merge;
mod exchange_message;
mod failure_watch;
mod host_list_merge;
mod leaving_notice;
mod list_pace;
mod member_arena;
mod member_entry;
mod membership_counts;
mod membership_machine;
mod membership_message;
mod membership_settings;
mod message_check;
mod notice_set;
mod peer_choice;
mod rumour_queue;
mod send_budget;
mod slice_digest;

pub use leaving_notice::LeavingNotice;
pub use list_pace::list_poll_interval;
pub use member_entry::{MemberEntry, MemberLiveness};
pub use membership_counts::MembershipCounts;
pub use membership_machine::MembershipMachine;
pub use membership_message::{MembershipAction, MembershipEvent};
pub use membership_settings::MembershipSettings;
pub use message_check::{
    MAX_DEMAND_BYTES, MAX_MESSAGE_BYTES, MessageRefusal, OLDEST_PROTOCOL, PROTOCOL,
};
