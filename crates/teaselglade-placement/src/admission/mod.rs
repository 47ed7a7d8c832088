//! Which requests are dispatched, wait or are refused under load.

mod admission_gate;
mod fair_queue;
mod gate_request;

pub use admission_gate::{AdmissionGate, GateRefusal, GateVerdict};
pub use fair_queue::FairQueue;
pub use gate_request::GateRequest;
