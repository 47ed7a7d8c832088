//! Prints the memory used by the state of one entry host, at several sizes.

use std::sync::Arc;

use teaselglade_core::id::{AttemptId, ClassKey, RequestId, ServerKey, ServiceKey, ZoneKey};
use teaselglade_core::time::Timestamp;
use teaselglade_placement::cost::{CostOptions, CostPolicy, PrefixIndex};
use teaselglade_placement::limit::{DemandSource, LimitRow, ShareLimiter};
use teaselglade_placement::policy::{PlacementEvent, ServerPlacer};
use teaselglade_placement::server::ServerAttributes;

const PAGE_BYTES: u64 = 4_096;
const NOW: Timestamp = Timestamp::from_millis(1_000);
const COPIES: usize = 20;

fn resident_bytes() -> u64 {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split_whitespace().nth(1);
    pages
        .and_then(|pages| pages.parse::<u64>().ok())
        .unwrap_or(0)
        * PAGE_BYTES
}

/// Builds several copies and prints the average bytes of one.
fn measure<T>(label: &str, size: usize, build: impl Fn(usize) -> T) {
    let before = resident_bytes();
    let copies = (0..COPIES).map(|_| build(size)).collect::<Vec<_>>();
    let bytes = resident_bytes().saturating_sub(before) / COPIES as u64;
    // The next measurement would reuse freed memory, so the copies are never freed.
    std::mem::forget(copies);
    println!("{label:<20} {size:>8} {bytes:>12} bytes");
}

fn servers(count: usize) -> ServerPlacer {
    let policy = CostPolicy::new(CostOptions::default());
    let mut placer = ServerPlacer::new(Box::new(policy));
    for _ in 0..count {
        placer.add(ServerAttributes {
            service: ServiceKey::new(0),
            class: ClassKey::new(0),
            zone: ZoneKey::new(0),
            cents_per_hour: 1.0,
            reclaimable: true,
        });
    }
    placer
}

fn attempts(count: usize) -> ServerPlacer {
    let mut placer = servers(64);
    for index in 0..count {
        let dispatched = PlacementEvent::Dispatched {
            attempt: AttemptId::first(RequestId::from_bits(index as u128)),
            server: ServerKey::new((index % 64) as u32),
            prefix: Arc::default(),
            prompt_tokens: 0,
        };
        placer.observe(NOW, &dispatched);
    }
    placer
}

fn blocks(count: usize) -> PrefixIndex {
    let mut index = PrefixIndex::default();
    for block in 0..count {
        index.record_cached(ServerKey::new((block % 64) as u32), &[block as u64]);
    }
    index
}

fn limits(count: usize) -> ShareLimiter {
    let mut limiter = ShareLimiter::default();
    let rows = (0..count).map(|number| LimitRow {
        row: LimitRow::organisation_row(&format!("organisation-{number}")),
        requests: Some(10.0),
        tokens: None,
        concurrency: None,
    });
    limiter.set_rows(NOW, &rows.collect::<Vec<_>>());
    limiter
}

fn sources(count: usize) -> ShareLimiter {
    let mut limiter = limits(32);
    let message = limits(32).demand_message(NOW);
    for source in 0..count {
        limiter.receive(NOW, DemandSource::new(source as u32), message.clone());
    }
    limiter
}

fn main() {
    for size in [300, 1_200, 4_800] {
        measure("servers", size, servers);
    }
    for size in [8_000, 30_000, 60_000] {
        measure("prefix blocks", size, blocks);
    }
    for size in [1_000, 4_000, 16_000] {
        measure("open attempts", size, attempts);
    }
    for size in [100, 1_000, 4_000] {
        measure("limits", size, limits);
    }
    for size in [24, 96, 390] {
        measure("demand sources", size, sources);
    }
}
