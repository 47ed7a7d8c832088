//! Ports through which a host uses the platform.

use std::sync::Arc;

use teaselglade_core::port::LogPort;

use crate::port::{DutyPort, FeedPort, MessagePort};

/// Ports through which a host uses the platform.
#[derive(Debug, Clone)]
pub struct HostPorts {
    /// Reads and writes the headers of requests and responses.
    pub messages: Arc<dyn MessagePort>,
    /// Reads what operators, servers and hosts publish.
    pub feeds: Arc<dyn FeedPort>,
    /// Reads and appends to the log streams of this system.
    pub log: Arc<dyn LogPort>,
    /// Performs leader duties; `None` if the platform requires none.
    pub duties: Option<Arc<dyn DutyPort>>,
}
