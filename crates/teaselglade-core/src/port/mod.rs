//! Ports: traits of the external services that the system uses.

mod attempt_error;
mod backend_port;
mod clock_port;
mod cloud_port;
mod engine_port;
mod host_list_port;
mod log_port;
mod peer_port;
mod weight_port;

pub use attempt_error::AttemptError;
pub use backend_port::{
    BackendPort, CacheChange, CacheChanges, EngineEvent, EngineStream, EventStream, GenerateCall,
    KvTransfer, PlainAnswer, PlainCall, ServerReport,
};
pub use clock_port::ClockPort;
pub use cloud_port::{
    CloudError, CloudHost, CloudPort, HostOrder, HostPurchase, HostState, ReclaimNotice,
};
pub use engine_port::{EngineError, EngineGoal, EnginePort, EngineStatus};
pub use host_list_port::{HostListPort, ListedHost, ListedRole};
pub use log_port::{LogError, LogPage, LogPort, LogRecord, StreamName};
pub use peer_port::{PeerError, PeerPort};
pub use weight_port::WeightPort;

/// Future returned by the methods of a port.
pub type PortFuture<'a, T> = futures::future::BoxFuture<'a, T>;
