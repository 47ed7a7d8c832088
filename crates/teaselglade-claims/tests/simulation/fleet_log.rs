//! Log of the simulated fleet and its faults.

use std::time::Duration;

use rand::Rng as _;
use teaselglade_claims::shard::ShardEvent;
use teaselglade_core::port::LogError;

use super::fleet::NETWORK_DELAY;
use super::task::{HostRun, LogQuery};
use super::{AppendOutcome, Fleet, Task};

const LOG_TIMEOUT: Duration = Duration::from_millis(1_500);

impl Fleet {
    pub(super) fn append(&mut self, run: HostRun, body: bytes::Bytes, outcome: AppendOutcome) {
        let unknown = || {
            Err(LogError::Unknown {
                detail: "response lost".to_owned(),
            })
        };
        let refused = Err(LogError::Refused {
            detail: "the log is down".to_owned(),
        });
        let outcome = if self.log.is_down {
            AppendOutcome::Refused
        } else {
            outcome
        };
        let mut delay = NETWORK_DELAY;
        let result = match outcome {
            AppendOutcome::Refused => refused,
            AppendOutcome::Written => Ok(self.write_now(body)),
            AppendOutcome::WrittenResponseLost => {
                self.write_now(body);
                unknown()
            }
            AppendOutcome::WrittenLate(late) => {
                self.schedule(self.now + late, Task::Write(body));
                delay = late.min(LOG_TIMEOUT);
                unknown()
            }
            AppendOutcome::NotWrittenResponseLost => {
                delay = LOG_TIMEOUT;
                unknown()
            }
        };
        self.schedule(
            self.now + delay,
            Task::Deliver(run, ShardEvent::Appended(result)),
        );
    }

    pub(super) fn write(&mut self, body: bytes::Bytes) {
        self.write_now(body);
    }

    fn write_now(&mut self, body: bytes::Bytes) -> u64 {
        let offset = self.log.append(self.now, body);
        for (run, query) in std::mem::take(&mut self.log.polls) {
            self.serve(run, query);
        }
        offset
    }

    pub(super) fn set_log_outage(&mut self, is_down: bool) {
        self.log.is_down = is_down;
        if !is_down {
            return;
        }
        for (run, _) in std::mem::take(&mut self.log.polls) {
            self.fail_read(run);
        }
    }

    fn fail_read(&mut self, run: HostRun) {
        let error = LogError::Refused {
            detail: "the log is down".to_owned(),
        };
        let at = self.now + NETWORK_DELAY;
        self.schedule(at, Task::Deliver(run, ShardEvent::Read(Err(error))));
    }

    pub(super) fn read(&mut self, run: HostRun, query: LogQuery) {
        if self.log.is_down || self.random.random_bool(self.probabilities.read) {
            self.fail_read(run);
        } else if query.from < self.log.end() || query.wait.is_zero() {
            self.serve(run, query);
        } else {
            self.log.polls.push((run, query));
            self.schedule(self.now + query.wait, Task::EndPoll(run));
        }
    }

    pub(super) fn end_poll(&mut self, run: HostRun) {
        let polls = std::mem::take(&mut self.log.polls);
        let (ended, kept) = polls.into_iter().partition(|(poll, _)| *poll == run);
        self.log.polls = kept;
        for (run, query) in Vec::<(HostRun, LogQuery)>::into_iter(ended) {
            self.serve(run, query);
        }
    }

    fn serve(&mut self, run: HostRun, query: LogQuery) {
        let page = self.log.page(self.now, query);
        self.schedule(
            self.now + NETWORK_DELAY,
            Task::Deliver(run, ShardEvent::Read(Ok(page))),
        );
    }

    pub(super) fn next_append_outcome(&mut self) -> AppendOutcome {
        if let Some(outcome) = self.forced_appends.pop_front() {
            return outcome;
        }
        if !self.random.random_bool(self.probabilities.append) {
            return AppendOutcome::Written;
        }
        let late = Duration::from_millis(self.random.random_range(1..8_000));
        match self.random.random_range(0..4) {
            0 => AppendOutcome::WrittenResponseLost,
            1 => AppendOutcome::NotWrittenResponseLost,
            2 => AppendOutcome::Refused,
            _ => AppendOutcome::WrittenLate(late),
        }
    }
}
