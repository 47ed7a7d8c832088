//! Signals that a host process handles, and how long ago they may have been sent.

use std::io;
use std::time::Duration;

use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::time::{Instant, Interval, MissedTickBehavior, interval};

/// Interval between checks that no signal has come; it bounds the error of a signal's age.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

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
///
/// A busy or throttled process receives them late, but the platform counts from the sending.
#[derive(Debug)]
pub(super) struct SignalStream {
    terminate: Signal,
    interrupt: Signal,
    reload: Signal,
    checks: Interval,
    /// Time up to which no stop signal had come.
    quiet_until: Instant,
}

impl SignalStream {
    /// Replaces the default actions of the signals, which end the process.
    ///
    /// # Errors
    ///
    /// Returns an error if a handler cannot be installed.
    pub(super) fn new() -> io::Result<Self> {
        let reload = signal(SignalKind::hangup())?;
        let terminate = signal(SignalKind::terminate())?;
        let interrupt = signal(SignalKind::interrupt())?;
        let mut checks = interval(CHECK_INTERVAL);
        checks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        Ok(Self {
            terminate,
            interrupt,
            reload,
            checks,
            quiet_until: Instant::now(),
        })
    }

    /// Waits for the next signal; a stop comes before a reload.
    pub(super) async fn next(&mut self) -> ProcessSignal {
        loop {
            tokio::select! {
                biased;
                _signal = self.terminate.recv() => return ProcessSignal::Terminate,
                _signal = self.interrupt.recv() => return ProcessSignal::Interrupt,
                // The timer fires after signals that came before it were received.
                checked_at = self.checks.tick() => self.quiet_until = checked_at,
                _signal = self.reload.recv() => return ProcessSignal::Reload,
            }
        }
    }

    /// Returns the greatest age of the stop signal that was received just now.
    pub(super) fn stop_age(&self) -> Duration {
        self.quiet_until.elapsed()
    }
}
