//! Policy runs on virtual time.
