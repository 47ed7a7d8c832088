//! Tests of the exchange between entry hosts.

mod hardening;
mod liveness;
mod merging;
mod spreading;
mod virtual_fleet;
