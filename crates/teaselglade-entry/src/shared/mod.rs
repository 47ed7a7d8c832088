//! State shared by the entry hosts: active table, membership, reclaim notices.

mod active_table;
mod exchange_driver;
mod head_surveyor;
mod notice_poller;
mod peer_handlers;
mod shared_state;
mod table_follower;

pub(crate) use active_table::ActiveTable;
pub(crate) use exchange_driver::{apply_membership_event, run_gossip};
pub(crate) use head_surveyor::poll_head;
pub(crate) use notice_poller::poll_notices;
pub(crate) use peer_handlers::{
    GOSSIP_PATH, HEAD_PATH, TABLE_PATH, handle_gossip, handle_head_request, handle_table_request,
};
pub(crate) use shared_state::SharedState;
pub(crate) use table_follower::replay_table;
