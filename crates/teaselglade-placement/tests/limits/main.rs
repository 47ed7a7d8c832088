//! Tests of limits, fair queueing and admission.

mod admission_queue;
mod fairness;
mod shares;
