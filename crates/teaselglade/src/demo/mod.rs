//! Demo of a whole fleet in one process.
