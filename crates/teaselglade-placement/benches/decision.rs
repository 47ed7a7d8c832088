//! Benchmark of one placement decision, per policy and number of servers.

use std::hint::black_box;
use std::time::Duration;

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use teaselglade_core::id::{
    AttemptId, ClassKey, OrganisationKey, RequestId, ServerKey, ServiceKey, ZoneKey,
};
use teaselglade_core::port::ServerReport;
use teaselglade_core::time::Timestamp;
use teaselglade_placement::baseline::{LeastLoad, PrefixAffinity, RoundRobin};
use teaselglade_placement::cost::{CostOptions, CostPolicy};
use teaselglade_placement::policy::{
    PlacementEvent, PlacementPolicy, PlacementQuery, ServerPlacer,
};
use teaselglade_placement::server::ServerAttributes;

const SERVER_COUNTS: [u32; 4] = [32, 300, 600, 1_200];
const NOW: Timestamp = Timestamp::from_millis(10_000);
const SERVICE: ServiceKey = ServiceKey::new(0);

fn policies() -> [(&'static str, Box<dyn PlacementPolicy>); 4] {
    [
        ("round robin", Box::new(RoundRobin::default())),
        ("least load", Box::new(LeastLoad::default())),
        ("prefix affinity", Box::new(PrefixAffinity::default())),
        ("cost", Box::new(CostPolicy::new(CostOptions::default()))),
    ]
}

fn placer(policy: Box<dyn PlacementPolicy>, servers: u32) -> ServerPlacer {
    let mut placer = ServerPlacer::new(policy);
    for index in 0..servers {
        let server = placer.add(ServerAttributes {
            service: SERVICE,
            class: ClassKey::new((index % 3) as u16),
            zone: ZoneKey::new((index % 16) as u16),
            cents_per_hour: 30.0 + f64::from(index % 7) * 10.0,
            reclaimable: index % 5 < 3,
        });
        observe_server(&mut placer, server);
    }
    placer
}

fn observe_server(placer: &mut ServerPlacer, server: ServerKey) {
    let index = server.index() as u32;
    let report = ServerReport {
        running: index % 13,
        waiting: 0,
        tokens_per_second: 200.0,
        token_gap_micros: 20_000 + u64::from(index % 13) * 900,
        prefill_tokens_per_second: 5_000.0,
        kv_free: 0.5,
    };
    placer.observe(NOW, &PlacementEvent::Reported { server, report });
    let dispatched = PlacementEvent::Dispatched {
        attempt: AttemptId::first(RequestId::from_bits(u128::from(index))),
        server,
        prefix: prefix(index % 40),
        prompt_tokens: 640,
    };
    placer.observe(NOW, &dispatched);
}

fn prefix(conversation: u32) -> std::sync::Arc<[u64]> {
    let shared = (0..10_u64).chain((0..10).map(|block| u64::from(conversation) * 1_000 + block));
    shared.collect()
}

fn decide(criterion: &mut Criterion) {
    let query = PlacementQuery::new(SERVICE, OrganisationKey::new(0))
        .prompt(640, prefix(7))
        .answer_tokens(200)
        .targets(Duration::from_millis(360), Some(Duration::from_millis(47)));
    let mut group = criterion.benchmark_group("decision");
    for servers in SERVER_COUNTS {
        for (name, policy) in policies() {
            let mut placer = placer(policy, servers);
            group.bench_function(BenchmarkId::new(name, servers), |bencher| {
                bencher.iter(|| placer.place(NOW, black_box(&query)));
            });
        }
    }
    group.finish();
}

criterion_group!(benches, decide);
criterion_main!(benches);
