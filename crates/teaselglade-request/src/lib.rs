//! Decisions about the life of one request.
