//! Signals that a host process handles.

use std::io;

use tokio::signal::unix::{Signal, SignalKind, signal};

/// Signal that a host process handles.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ProcessSignal {
    /// SIGTERM, which stops the process gracefully.
    Terminate,
    /// SIGINT, which stops it as well.
    Interrupt,
    /// SIGHUP, which reloads the settings.
    Reload,
}

impl ProcessSignal {
    /// Returns the name of the signal in log lines.
    pub(super) const fn name(self) -> &'static str {
        match self {
            Self::Terminate => "SIGTERM",
            Self::Interrupt => "SIGINT",
            Self::Reload => "SIGHUP",
        }
    }
}

/// Signals to this process; equal ones that arrive at the same time count once.
#[derive(Debug)]
pub(super) struct SignalStream {
    terminate: Signal,
    interrupt: Signal,
    reload: Signal,
}

impl SignalStream {
    /// Starts to handle the signals.
    ///
    /// # Errors
    ///
    /// Returns an error if a handler cannot be installed.
    pub(super) fn new() -> io::Result<Self> {
        Ok(Self {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
            reload: signal(SignalKind::hangup())?,
        })
    }

    /// Waits for the next signal.
    pub(super) async fn next(&mut self) -> ProcessSignal {
        tokio::select! {
            _signal = self.terminate.recv() => ProcessSignal::Terminate,
            _signal = self.interrupt.recv() => ProcessSignal::Interrupt,
            _signal = self.reload.recv() => ProcessSignal::Reload,
        }
    }
}
