//! Measures applying a shard's records, running keyed calls, and the size of encoded records.

use std::hint::black_box;
use std::time::Duration;

use criterion::{BenchmarkId, Criterion, Throughput, criterion_group, criterion_main};
use teaselglade_claims::call::{CallId, KeyedCall};
use teaselglade_claims::key::{KeyWindow, RequestDigest, ScopedKey};
use teaselglade_claims::record::{ClaimId, ClaimOutcome, ClaimRecord, ShardRecord, encode_batch};
use teaselglade_claims::shard::{ClaimOptions, ShardAction, ShardEvent, ShardMachine};
use teaselglade_claims::view::ShardView;
use teaselglade_core::port::{LogPage, LogRecord, PlainAnswer};
use teaselglade_core::time::Timestamp;

const CALL_COUNTS: [u32; 3] = [100, 1_000, 10_000];
const ANSWER: &str = "{\"method\":\"POST\",\"path\":\"/book\",\"ticket\":\"CB-20261203-000147\",\
                      \"state\":\"booked\",\"shop\":\"galway\",\"deposit_cents\":2500}";

fn scoped_key(number: u32) -> ScopedKey {
    let text = format!("0193a1b2-0000-7000-8000-{number:012x}");
    let key = text.parse().expect("a key");
    ScopedKey::new("halloran-galway", "ticket-desk", key)
}

fn answer() -> PlainAnswer {
    PlainAnswer {
        status: 200,
        headers: vec![("content-type".to_owned(), "application/json".to_owned())],
        body: ANSWER.into(),
    }
}

fn records(calls: u32) -> Vec<LogRecord> {
    let entries = (0..calls).flat_map(|number| {
        let claim = ClaimRecord {
            key: scoped_key(number),
            claim: ClaimId::from_bits(u128::from(number)),
            digest: RequestDigest::of("POST", "/book", b"deposit"),
        };
        let settle = claim.settle(ClaimOutcome::from_answer(&answer()));
        [ShardRecord::Claim(claim), ShardRecord::Settle(settle)]
    });
    let bodies = entries.map(|entry| encode_batch(&[entry]).expect("encodes"));
    let records = bodies.zip(0..).map(|(body, offset)| LogRecord {
        offset,
        appended: scoped_key(0).key.created(),
        body,
    });
    records.collect()
}

fn page(records: Vec<LogRecord>) -> LogPage {
    LogPage {
        first: 0,
        end: records.len() as u64,
        records,
    }
}

fn apply_records(bench: &mut Criterion) {
    let sample = records(1);
    println!(
        "bytes: claim {}, settle {}",
        sample[0].body.len(),
        sample[1].body.len()
    );
    let mut group = bench.benchmark_group("fold");
    for calls in CALL_COUNTS {
        let page = page(records(calls));
        group.throughput(Throughput::Elements(u64::from(calls)));
        group.bench_with_input(BenchmarkId::from_parameter(calls), &page, |bench, page| {
            bench.iter(|| {
                let mut view = ShardView::new(KeyWindow::default());
                view.apply_page(black_box(page));
                view
            });
        });
    }
    group.finish();
}

fn run_call(machine: &mut ShardMachine, now: Timestamp, number: u32, log: &mut Vec<LogRecord>) {
    let call_id = CallId::new(u64::from(number));
    let call = KeyedCall {
        key: scoped_key(number),
        digest: RequestDigest::of("POST", "/book", b"deposit"),
        is_retry: false,
        deadline: now + Duration::from_secs(5),
    };
    let mut events = vec![ShardEvent::Submitted { call_id, call }];
    while let Some(event) = events.pop() {
        for action in machine.on_event(now, event) {
            match action {
                ShardAction::Append { body } => {
                    let offset = log.len() as u64;
                    log.push(LogRecord {
                        offset,
                        appended: now,
                        body,
                    });
                    events.push(ShardEvent::Appended(Ok(offset)));
                }
                ShardAction::Read { from, .. } => {
                    let page = LogPage {
                        first: 0,
                        end: log.len() as u64,
                        records: log[from as usize..].to_vec(),
                    };
                    events.insert(0, ShardEvent::Read(Ok(page)));
                }
                ShardAction::Dispatch { call_id, .. } => events.push(ShardEvent::Attempted {
                    call_id,
                    result: Ok(answer()),
                    may_retry: false,
                }),
                ShardAction::Answer { .. } | ShardAction::WakeAt(_) => {}
            }
        }
    }
}

fn run_calls(bench: &mut Criterion) {
    let now = scoped_key(0).key.created();
    let mut group = bench.benchmark_group("book");
    for calls in CALL_COUNTS {
        group.throughput(Throughput::Elements(u64::from(calls)));
        group.bench_function(BenchmarkId::from_parameter(calls), |bench| {
            bench.iter(|| {
                let mut machine = ShardMachine::new(ClaimOptions::default(), [7; 32]);
                let mut log = Vec::new();
                for number in 0..calls {
                    run_call(&mut machine, now, number, &mut log);
                }
                assert_eq!(machine.counters().dispatches, u64::from(calls));
                machine
            });
        });
    }
    group.finish();
}

criterion_group! {
    name = benches;
    config = Criterion::default().sample_size(10).measurement_time(Duration::from_secs(2));
    targets = apply_records, run_calls
}
criterion_main!(benches);
