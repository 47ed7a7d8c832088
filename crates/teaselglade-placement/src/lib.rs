//! Decisions on placement, limits and admission.
