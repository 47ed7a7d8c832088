//! State that the entry hosts share: the table in force.

mod table_follower;
mod table_in_force;

pub(crate) use table_follower::follow_table;
pub(crate) use table_in_force::TableInForce;
