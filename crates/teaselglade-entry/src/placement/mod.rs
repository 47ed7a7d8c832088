//! Placement of requests at backend servers, with limits and admission.

mod admission_calls;
mod admission_permit;
mod demand_gossip;
mod key_map;
mod placement_controller;
mod placement_request;
mod server_poller;

pub(crate) use admission_permit::{AdmissionPermit, admit, admit_plain};
pub(crate) use placement_controller::PlacementController;
pub(crate) use placement_request::PlacementRequest;
pub(crate) use server_poller::poll_servers;
