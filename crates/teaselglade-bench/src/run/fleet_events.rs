//! Hosts of a run: reports, notices, stops and replacements.

use std::time::Duration;

use rand::Rng;
use teaselglade_core::id::ServerKey;
use teaselglade_core::time::Timestamp;
use teaselglade_placement::policy::PlacementEvent;

use super::bench_event::{BenchEvent, ServerFeedback};
use super::bench_run::{BenchRun, SAMPLE_INTERVAL};
use super::request_state::AttemptState;

const REPORT_LAG_SECONDS: (f64, f64) = (0.3, 1.2);
const LOST_NOTES: f64 = 0.05;
const LEARN_DELAY: Duration = Duration::from_millis(150);
const LOSS_DETECTION: Duration = Duration::from_millis(100);
const NOTICE_SECONDS: (f64, f64) = (5.0, 20.0);
const REPLACE_DELAY: Duration = Duration::from_secs(90);
const REPLACE_REFUSED: f64 = 0.5;

impl BenchRun {
    pub(super) fn sample(&mut self, now: Timestamp, server: usize) {
        let state = &mut self.servers[server];
        if !state.is_up {
            return;
        }
        let feedback = ServerFeedback {
            server,
            report: state.engine.report(),
            notes: state.engine.take_notes(),
        };
        let lag = self
            .random
            .random_range(REPORT_LAG_SECONDS.0..REPORT_LAG_SECONDS.1);
        let read = now + Duration::from_secs_f64(lag);
        self.queue.push(read, BenchEvent::Feedback(feedback));
        self.queue
            .push(now + SAMPLE_INTERVAL, BenchEvent::Sample { server });
    }

    pub(super) fn read_feedback(&mut self, now: Timestamp, feedback: &ServerFeedback) {
        if !self.servers[feedback.server].is_up {
            return;
        }
        let server = ServerKey::new(feedback.server as u32);
        let reported = PlacementEvent::Reported {
            server,
            report: feedback.report.clone(),
        };
        self.tell_all(now, &reported);
        for note in &feedback.notes {
            if self.random.random::<f64>() < LOST_NOTES {
                continue;
            }
            let changed = PlacementEvent::CacheChanged {
                server,
                sequence: note.sequence,
                change: note.change,
                prefix: note.prefix,
            };
            self.tell_all(now, &changed);
        }
    }

    pub(super) fn notice(&mut self, now: Timestamp, server: usize) {
        if !self.servers[server].is_up || now > self.end {
            return;
        }
        let seconds = self.random.random_range(NOTICE_SECONDS.0..NOTICE_SECONDS.1);
        let deadline = now + Duration::from_secs_f64(seconds);
        let learn = BenchEvent::Learn { server, deadline };
        self.queue.push(now + LEARN_DELAY, learn);
        self.queue.push(deadline, BenchEvent::Stop { server });
    }

    pub(super) fn stop(&mut self, now: Timestamp, index: usize) {
        let server = &mut self.servers[index];
        if !server.is_up {
            return;
        }
        server.is_up = false;
        server.meter.stop(now);
        let cut = server.engine.cut();
        for (ticket, computed) in cut {
            self.lose(now, ticket, computed);
        }
        let gone = PlacementEvent::Gone {
            server: ServerKey::new(index as u32),
        };
        self.tell_all(now, &gone);
        self.queue
            .push(now + REPLACE_DELAY, BenchEvent::Replace { server: index });
    }

    pub(super) fn lose(&mut self, now: Timestamp, ticket: usize, computed: u32) {
        let AttemptState {
            request, attempt, ..
        } = self.attempts[ticket];
        self.attempts[ticket].is_open = false;
        self.tell(now, request, &PlacementEvent::Ended { attempt });
        let state = &mut self.requests[request];
        state.lost_tokens = computed;
        state.attempt = attempt.next();
        self.tally.lost_attempts += 1;
        self.queue
            .push(now + LOSS_DETECTION, BenchEvent::Place { request });
    }

    pub(super) fn replace(&mut self, now: Timestamp, server: usize) {
        if self.random.random::<f64>() < REPLACE_REFUSED {
            self.queue
                .push(now + REPLACE_DELAY, BenchEvent::Replace { server });
            return;
        }
        let plan = self.servers[server].plan.clone();
        self.add_server(now, plan);
    }
}
