//! Tests of the membership gossip between entry hosts.

mod dissemination;
mod hardening;
mod liveness;
mod merging;
mod virtual_fleet;
