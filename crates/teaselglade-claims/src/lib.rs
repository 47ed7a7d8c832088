//! Decisions that keep non-idempotent calls at most once.
