//! Control daemon.
