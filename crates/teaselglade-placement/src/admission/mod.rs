//! Admission control: queues or refuses requests under load.

mod admission_queue;
mod admission_request;
mod fair_queue;

pub use admission_queue::{AdmissionDecision, AdmissionQueue, ExpiredRequest};
pub use admission_request::AdmissionRequest;
pub use fair_queue::FairQueue;
