//! Limits, fairness and admission.

mod fairness;
mod gate;
mod shares;
