//! Programs of the control daemon, the entry daemon and the serving host.

mod control_program;
mod daemon_options;
mod daemon_program;
mod entry_program;
mod host_program;
mod signal_stream;

pub use control_program::ControlProgram;
pub use daemon_program::{DaemonProgram, run_daemon};
pub use entry_program::EntryProgram;
pub use host_program::run_host;
