//! Host events of a run: samples, reclaim notices, stops and replacements.

use std::time::Duration;

use rand::Rng;
use teaselglade_core::id::ServerKey;
use teaselglade_core::time::Timestamp;
use teaselglade_placement::policy::PlacementEvent;

use super::bench_event::{BenchEvent, ServerSample};
use super::bench_run::{BenchRun, SAMPLE_INTERVAL};
use super::request_state::AttemptState;

/// Range of the delay until the entry hosts receive a sample.
const REPORT_DELAY_SECONDS: (f64, f64) = (0.3, 1.2);
/// Fraction of the cache events that are lost.
const CACHE_EVENT_LOSS_RATE: f64 = 0.05;
/// Delay until the entry hosts receive a reclaim notice.
const NOTICE_DELAY: Duration = Duration::from_millis(150);
/// Delay until an entry host detects that an attempt failed.
const LOSS_DETECTION_DELAY: Duration = Duration::from_millis(100);
/// Range of the time between a reclaim notice and the stop of the host.
const NOTICE_PERIOD_SECONDS: (f64, f64) = (5.0, 20.0);
/// Delay until a replacement is requested, and between requests.
const REPLACEMENT_DELAY: Duration = Duration::from_secs(90);
/// Fraction of the replacement requests that the platform refuses.
const REPLACEMENT_REFUSAL_RATE: f64 = 0.5;

impl BenchRun {
    pub(super) fn sample_server(&mut self, now: Timestamp, server: usize) {
        let state = &mut self.servers[server];
        if !state.is_up {
            return;
        }
        let sample = ServerSample {
            server,
            report: state.engine.report(),
            cache_events: state.engine.take_cache_events(),
        };
        let delay = self
            .random
            .random_range(REPORT_DELAY_SECONDS.0..REPORT_DELAY_SECONDS.1);
        let received_at = now + Duration::from_secs_f64(delay);
        self.queue
            .push(received_at, BenchEvent::SampleReceived(sample));
        self.queue
            .push(now + SAMPLE_INTERVAL, BenchEvent::Sample { server });
    }

    pub(super) fn receive_sample(&mut self, now: Timestamp, sample: &ServerSample) {
        if !self.servers[sample.server].is_up {
            return;
        }
        let server = ServerKey::new(sample.server as u32);
        let reported = PlacementEvent::Reported {
            server,
            report: sample.report.clone(),
        };
        self.notify_all(now, &reported);
        for event in &sample.cache_events {
            if self.random.random::<f64>() < CACHE_EVENT_LOSS_RATE {
                continue;
            }
            let changed = PlacementEvent::CacheChanged {
                server,
                sequence: event.sequence,
                change: event.change,
                prefix: event.prefix,
            };
            self.notify_all(now, &changed);
        }
    }

    pub(super) fn announce_reclaim(&mut self, now: Timestamp, server: usize) {
        if !self.servers[server].is_up || now > self.end {
            return;
        }
        let seconds = self
            .random
            .random_range(NOTICE_PERIOD_SECONDS.0..NOTICE_PERIOD_SECONDS.1);
        let deadline = now + Duration::from_secs_f64(seconds);
        let notice = BenchEvent::NoticeReceived { server, deadline };
        self.queue.push(now + NOTICE_DELAY, notice);
        self.queue.push(deadline, BenchEvent::Stop { server });
    }

    pub(super) fn stop_server(&mut self, now: Timestamp, index: usize) {
        let server = &mut self.servers[index];
        if !server.is_up {
            return;
        }
        server.is_up = false;
        server.meter.stop(now);
        let aborted_attempts = server.engine.abort_all();
        for (attempt_index, computed_tokens) in aborted_attempts {
            self.fail_attempt(now, attempt_index, computed_tokens);
        }
        let gone = PlacementEvent::Gone {
            server: ServerKey::new(index as u32),
        };
        self.notify_all(now, &gone);
        self.queue.push(
            now + REPLACEMENT_DELAY,
            BenchEvent::Replace { server: index },
        );
    }

    pub(super) fn fail_attempt(
        &mut self,
        now: Timestamp,
        attempt_index: usize,
        computed_tokens: u32,
    ) {
        let AttemptState {
            request, attempt, ..
        } = self.attempts[attempt_index];
        self.attempts[attempt_index].is_active = false;
        self.notify_entry_host(now, request, &PlacementEvent::Ended { attempt });
        let state = &mut self.requests[request];
        state.lost_tokens = computed_tokens;
        state.attempt = attempt.next();
        self.stats.lost_attempts += 1;
        self.queue
            .push(now + LOSS_DETECTION_DELAY, BenchEvent::Place { request });
    }

    pub(super) fn replace_server(&mut self, now: Timestamp, server: usize) {
        if self.random.random::<f64>() < REPLACEMENT_REFUSAL_RATE {
            self.queue
                .push(now + REPLACEMENT_DELAY, BenchEvent::Replace { server });
            return;
        }
        let plan = self.servers[server].plan.clone();
        self.add_server(now, plan);
    }
}
