//! Decides when a silent attempt gets a standby, and which of the two goes on.

use super::{AttemptRole, MoveEvent, NextStep};

/// What a stream's relay does after an event of its attempts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MoveAction {
    /// Reads on.
    ReadOn,
    /// Reads on and reports again if the silence lasts.
    CheckAgain,
    /// Starts a standby at another server, and takes a retry from the budget if `takes_retry`.
    StartStandby {
        /// Whether no granted retry is left over from a standby that reached no server.
        takes_retry: bool,
    },
    /// Drops the standby; the primary goes on.
    DropStandby,
    /// Drops the primary for its silence; the standby goes on in its place.
    DropPrimary,
    /// Puts the standby in the place of the primary, which failed.
    PromoteStandby,
    /// No attempt is open any more.
    EndAttempt,
}

/// Decides when a silent attempt gets a standby, and which of the two goes on.
///
/// Silence alone ends no attempt: an engine with a queue is silent too. A primary is given up for its
/// silence only after the standby has brought the next event; a standby that fails leaves it alone.
///
/// # Examples
///
/// ```
/// use teaselglade_routing::attempt::{AttemptRole, MoveAction, MoveDecider, MoveEvent, NextStep};
///
/// let mut decider = MoveDecider::default();
/// let action = decider.on_event(MoveEvent::SilenceLasted);
/// assert_eq!(action, MoveAction::StartStandby { takes_retry: true });
/// decider.on_event(MoveEvent::StandbyStarted);
/// let rejected = MoveEvent::Failed(AttemptRole::Standby, NextStep::RetryWithinBudget);
/// assert_eq!(decider.on_event(rejected), MoveAction::CheckAgain);
/// let progressed = MoveEvent::Progressed(AttemptRole::Primary);
/// assert_eq!(decider.on_event(progressed), MoveAction::ReadOn);
/// ```
#[derive(Debug, Clone, Default)]
pub struct MoveDecider {
    has_standby: bool,
    /// Whether a retry was granted that no server has received.
    has_unused_retry: bool,
}

impl MoveDecider {
    /// Returns the action after an event.
    pub fn on_event(&mut self, event: MoveEvent) -> MoveAction {
        match event {
            MoveEvent::SilenceLasted if self.has_standby => MoveAction::ReadOn,
            MoveEvent::SilenceLasted => self.start_standby(),
            MoveEvent::StandbyStarted => {
                (self.has_standby, self.has_unused_retry) = (true, true);
                MoveAction::ReadOn
            }
            MoveEvent::StandbyDenied => MoveAction::CheckAgain,
            MoveEvent::Progressed(AttemptRole::Primary) | MoveEvent::DeadlinePassed => {
                self.end_standby(MoveAction::DropStandby, MoveAction::ReadOn)
            }
            MoveEvent::Progressed(AttemptRole::Standby) => {
                self.end_standby(MoveAction::DropPrimary, MoveAction::ReadOn)
            }
            MoveEvent::Failed(AttemptRole::Primary, _next) => {
                self.end_standby(MoveAction::PromoteStandby, MoveAction::EndAttempt)
            }
            MoveEvent::Failed(AttemptRole::Standby, next) => {
                self.has_standby = false;
                self.has_unused_retry = next == NextStep::Reconnect;
                match next {
                    NextStep::Reconnect => self.start_standby(),
                    NextStep::RetryWithinBudget => MoveAction::CheckAgain,
                    NextStep::GiveUp(_verdict) => MoveAction::ReadOn,
                }
            }
        }
    }

    const fn start_standby(&self) -> MoveAction {
        MoveAction::StartStandby {
            takes_retry: !self.has_unused_retry,
        }
    }

    /// Ends the state of the standby, if there is one, and returns the action for either case.
    const fn end_standby(&mut self, with_standby: MoveAction, without: MoveAction) -> MoveAction {
        if !self.has_standby {
            return without;
        }
        (self.has_standby, self.has_unused_retry) = (false, false);
        with_standby
    }
}
