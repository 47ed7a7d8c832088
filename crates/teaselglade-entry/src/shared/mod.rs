//! State that the entry hosts share: the table in force, membership, notices.

mod exchange_driver;
mod head_surveyor;
mod notice_follower;
mod peer_answers;
mod shared_state;
mod table_follower;
mod table_in_force;

pub(crate) use exchange_driver::{run_exchange, tell_membership};
pub(crate) use head_surveyor::survey_head;
pub(crate) use notice_follower::follow_notices;
pub(crate) use peer_answers::{
    EXCHANGE_PATH, HEAD_PATH, TABLE_PATH, answer_exchange, answer_head, answer_table,
};
pub(crate) use shared_state::SharedState;
pub(crate) use table_follower::follow_table;
pub(crate) use table_in_force::TableInForce;
