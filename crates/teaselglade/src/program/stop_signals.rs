//! Signals that stop the serving host or make it reload its settings.

use std::io;
use std::time::Duration;

use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::time::{Instant, Interval, MissedTickBehavior, interval};

/// Interval between checks that no signal has come; it bounds the error of a signal's age.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Signal that the serving host acts on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum HostSignal {
    /// Stop; the signal was sent this long ago at most.
    Stop {
        /// Greatest age of the signal.
        age: Duration,
    },
    /// Read the settings file again.
    Reload,
}

/// Receives signals and tells how long ago they were sent at most.
///
/// A busy or throttled process receives them late, but the platform counts from the sending.
#[derive(Debug)]
pub(super) struct StopSignals {
    terminate: Signal,
    interrupt: Signal,
    hangup: Signal,
    checks: Interval,
    /// Time up to which no stop signal had come.
    quiet_until: Instant,
}

impl StopSignals {
    /// Replaces the default actions of the signals, which end the process.
    ///
    /// # Errors
    ///
    /// Fails if a handler cannot be installed.
    pub(super) fn register() -> io::Result<Self> {
        let hangup = signal(SignalKind::hangup())?;
        let terminate = signal(SignalKind::terminate())?;
        let interrupt = signal(SignalKind::interrupt())?;
        let mut checks = interval(CHECK_INTERVAL);
        checks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        Ok(Self {
            terminate,
            interrupt,
            hangup,
            checks,
            quiet_until: Instant::now(),
        })
    }

    /// Waits for the next signal; a stop comes before a reload.
    pub(super) async fn next(&mut self) -> HostSignal {
        loop {
            tokio::select! {
                biased;
                _signal = self.terminate.recv() => return self.stop(),
                _signal = self.interrupt.recv() => return self.stop(),
                // The timer fires after signals that came before it were received.
                checked_at = self.checks.tick() => self.quiet_until = checked_at,
                _signal = self.hangup.recv() => return HostSignal::Reload,
            }
        }
    }

    fn stop(&self) -> HostSignal {
        let age = self.quiet_until.elapsed();
        HostSignal::Stop { age }
    }
}
