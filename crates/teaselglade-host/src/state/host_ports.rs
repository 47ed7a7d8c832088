//! The ports that a host works with.

use std::sync::Arc;

use teaselglade_core::port::LogPort;

use crate::port::{DutyPort, FeedPort, MessagePort};

/// The ports that a host works with.
#[derive(Debug, Clone)]
pub struct HostPorts {
    /// Headers of requests and answers.
    pub messages: Arc<dyn MessagePort>,
    /// What operators and servers publish.
    pub feeds: Arc<dyn FeedPort>,
    /// Streams of this system's own.
    pub log: Arc<dyn LogPort>,
    /// Duties of one host at a time; none where the platform asks for none.
    pub duties: Option<Arc<dyn DutyPort>>,
}
