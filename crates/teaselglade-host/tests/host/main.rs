//! Tests of the components of a serving host that need no sockets.

mod journal;
mod lease_timings;
mod news_spread;
mod reports;
