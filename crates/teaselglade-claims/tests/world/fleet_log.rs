//! The fleet's log and its faults.

use std::time::Duration;

use rand::Rng as _;
use teaselglade_claims::shard::ShardEvent;
use teaselglade_core::port::LogError;

use super::fleet::HOP;
use super::task::{HostRun, LogQuery};
use super::{AppendFate, Fleet, Task};

const LOG_TIMEOUT: Duration = Duration::from_millis(1_500);

impl Fleet {
    pub(super) fn append(&mut self, run: HostRun, body: bytes::Bytes, fate: AppendFate) {
        let unknown = || {
            Err(LogError::Unknown {
                detail: "answer lost".to_owned(),
            })
        };
        let refused = Err(LogError::Refused {
            detail: "out".to_owned(),
        });
        let fate = if self.log.out {
            AppendFate::Refused
        } else {
            fate
        };
        let mut after = HOP;
        let result = match fate {
            AppendFate::Refused => refused,
            AppendFate::Lands => Ok(self.land_now(body)),
            AppendFate::LandsAnswerLost => {
                self.land_now(body);
                unknown()
            }
            AppendFate::LandsLate(late) => {
                self.at(self.now + late, Task::Land(body));
                after = late.min(LOG_TIMEOUT);
                unknown()
            }
            AppendFate::NeverLandsAnswerLost => {
                after = LOG_TIMEOUT;
                unknown()
            }
        };
        self.at(
            self.now + after,
            Task::Deliver(run, ShardEvent::Appended(result)),
        );
    }

    pub(super) fn land(&mut self, body: bytes::Bytes) {
        self.land_now(body);
    }

    fn land_now(&mut self, body: bytes::Bytes) -> u64 {
        let offset = self.log.append(self.now, body);
        for (run, query) in std::mem::take(&mut self.log.polls) {
            self.serve(run, query);
        }
        offset
    }

    pub(super) fn set_log_out(&mut self, out: bool) {
        self.log.out = out;
        if !out {
            return;
        }
        for (run, _) in std::mem::take(&mut self.log.polls) {
            self.fail_read(run);
        }
    }

    fn fail_read(&mut self, run: HostRun) {
        let error = LogError::Refused {
            detail: "out".to_owned(),
        };
        let after = self.now + HOP;
        self.at(after, Task::Deliver(run, ShardEvent::Read(Err(error))));
    }

    pub(super) fn read(&mut self, run: HostRun, query: LogQuery) {
        if self.log.out || self.random.random_bool(self.chances.read) {
            self.fail_read(run);
        } else if query.from < self.log.end() || query.wait.is_zero() {
            self.serve(run, query);
        } else {
            self.log.polls.push((run, query));
            self.at(self.now + query.wait, Task::EndPoll(run));
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
        self.at(
            self.now + HOP,
            Task::Deliver(run, ShardEvent::Read(Ok(page))),
        );
    }

    pub(super) fn append_fate(&mut self) -> AppendFate {
        if let Some(fate) = self.forced_appends.pop_front() {
            return fate;
        }
        if !self.random.random_bool(self.chances.append) {
            return AppendFate::Lands;
        }
        let late = Duration::from_millis(self.random.random_range(1..8_000));
        match self.random.random_range(0..4) {
            0 => AppendFate::LandsAnswerLost,
            1 => AppendFate::NeverLandsAnswerLost,
            2 => AppendFate::Refused,
            _ => AppendFate::LandsLate(late),
        }
    }
}
