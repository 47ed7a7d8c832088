//! Benchmarks of placement events, limits and the fair queue of one entry host.

use std::sync::Arc;

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use teaselglade_core::id::{
    AttemptId, ClassKey, OrganisationKey, RequestId, ServerKey, ServiceKey, ZoneKey,
};
use teaselglade_core::port::ServerReport;
use teaselglade_core::time::Timestamp;
use teaselglade_placement::admission::{AdmissionRequest, FairQueue};
use teaselglade_placement::cost::{CostOptions, CostPolicy};
use teaselglade_placement::limit::{DemandSource, LimitRow, LimitedRequest, ShareLimiter};
use teaselglade_placement::policy::{PlacementEvent, PrefixChange, ServerPlacer};
use teaselglade_placement::server::ServerAttributes;

const NOW: Timestamp = Timestamp::from_millis(10_000);
const SERVER_COUNTS: [u32; 3] = [64, 300, 1_200];
const SOURCE_COUNTS: [u32; 3] = [8, 40, 390];
const QUEUE_LENGTHS: [u128; 3] = [10, 100, 1_000];

fn placer(servers: u32) -> ServerPlacer {
    let policy = CostPolicy::new(CostOptions::default());
    let mut placer = ServerPlacer::new(Box::new(policy));
    for _ in 0..servers {
        placer.add(ServerAttributes {
            service: ServiceKey::new(0),
            class: ClassKey::new(0),
            zone: ZoneKey::new(0),
            cents_per_hour: 40.0,
            reclaimable: true,
        });
    }
    placer
}

fn reported(server: u32) -> PlacementEvent {
    PlacementEvent::Reported {
        server: ServerKey::new(server),
        report: ServerReport {
            running: server % 13,
            waiting: 0,
            tokens_per_second: 200.0,
            token_gap_micros: 20_000,
            prefill_tokens_per_second: 5_000.0,
            kv_free: 0.5,
        },
    }
}

fn events(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("event");
    for servers in SERVER_COUNTS {
        let mut placer = placer(servers);
        let mut number = 0_u32;
        group.bench_function(BenchmarkId::new("report", servers), |bencher| {
            bencher.iter(|| {
                number += 1;
                placer.observe(NOW, &reported(number % servers));
            });
        });
        group.bench_function(BenchmarkId::new("cache event", servers), |bencher| {
            bencher.iter(|| {
                number += 1;
                let changed = PlacementEvent::CacheChanged {
                    server: ServerKey::new(number % servers),
                    sequence: u64::from(number),
                    change: PrefixChange::Stored,
                    prefix: u64::from(number / 8),
                };
                placer.observe(NOW, &changed);
            });
        });
        let prefix: Arc<[u64]> = (0..20).collect();
        group.bench_function(BenchmarkId::new("dispatch and end", servers), |bencher| {
            bencher.iter(|| {
                number += 1;
                let attempt = AttemptId::first(RequestId::from_bits(u128::from(number)));
                let dispatched = PlacementEvent::Dispatched {
                    attempt,
                    server: ServerKey::new(number % servers),
                    prefix: Arc::clone(&prefix),
                    prompt_tokens: 640,
                };
                placer.observe(NOW, &dispatched);
                placer.observe(NOW, &PlacementEvent::Ended { attempt });
                placer.observe(NOW, &reported(number % servers));
            });
        });
    }
    group.finish();
}

fn limits(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("limit");
    for sources in SOURCE_COUNTS {
        let mut limiter = ShareLimiter::default();
        let rows = (0..5).map(|number| LimitRow {
            row: LimitRow::organisation_row(&format!("o{number}")),
            requests: Some(1e9),
            tokens: None,
            concurrency: None,
        });
        limiter.set_rows(NOW, &rows.collect::<Vec<_>>());
        let message = limiter.demand_message(NOW);
        for source in 0..sources {
            limiter.receive(NOW, DemandSource::new(source), message.clone());
        }
        let request = LimitedRequest::new("o1", "s1", 100);
        group.bench_function(BenchmarkId::new("admit and reshare", sources), |bencher| {
            let mut now = NOW;
            bencher.iter(|| {
                now = now + std::time::Duration::from_millis(250);
                limiter.admit(now, &request)
            });
        });
    }
    group.finish();
}

fn queue(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("fair queue");
    for waiting in QUEUE_LENGTHS {
        let request = |id: u128| AdmissionRequest {
            request: RequestId::from_bits(id),
            organisation: OrganisationKey::new((id % 5) as u16),
            weight: 1.0,
            tokens: 100.0,
            latest_start: NOW,
        };
        let mut queue = FairQueue::default();
        (0..waiting).for_each(|id| queue.push(request(id)));
        group.bench_function(BenchmarkId::new("push and pop", waiting), |bencher| {
            bencher.iter(|| {
                queue.push(request(waiting));
                queue.pop()
            });
        });
    }
    group.finish();
}

criterion_group!(benches, events, limits, queue);
criterion_main!(benches);
