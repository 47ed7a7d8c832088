//! Measures the memory and processor time of open streams, for `docs/CAPACITY.md`.

use std::fs;
use std::time::Duration;

use teaselglade_core::id::{AttemptId, RequestId, ServerKey};
use teaselglade_core::port::EngineEvent;
use teaselglade_core::time::Timestamp;
use teaselglade_request::stream::{
    StreamAction, StreamEvent, StreamLimits, StreamMachine, StreamRequest,
};

const STREAM_COUNTS: [u32; 3] = [1_000, 5_000, 20_000];
const TOKENS_PER_STREAM: u32 = 480;
const PROMPT_BYTES: usize = 2_000;
const PAGE_BYTES: u64 = 4_096;

fn main() {
    println!("streams tokens bytes/stream ns/token");
    for count in STREAM_COUNTS {
        let before = resident_bytes();
        let mut machines = (0..count).map(open_stream).collect::<Vec<_>>();
        let elapsed = run_tokens(&mut machines);
        let bytes = resident_bytes().saturating_sub(before);
        let events = u64::from(count) * u64::from(TOKENS_PER_STREAM);
        let nanos = elapsed.as_nanos() as u64 / events;
        println!(
            "{count} {TOKENS_PER_STREAM} {} {nanos}",
            bytes / u64::from(count)
        );
        // Freed pages would be reused and lower the measured memory of the next size.
        std::mem::forget(machines);
    }
}

fn open_stream(index: u32) -> (StreamMachine, AttemptId) {
    let request = StreamRequest {
        id: RequestId::from_bits(u128::from(index) + 1),
        organisation: "corrib".to_owned(),
        service: "draft-fleet".to_owned(),
        prompt: "p".repeat(PROMPT_BYTES),
        max_tokens: TOKENS_PER_STREAM * 2,
        adapter: None,
        priority: 0,
        deadline: Timestamp::from_millis(3_600_000),
    };
    let attempt = AttemptId::first(request.id);
    let mut machine = StreamMachine::new(request, StreamLimits::default());
    let now = Timestamp::ZERO;
    let actions = machine.on_event(now, StreamEvent::Admitted { prefer: None });
    if let Some(StreamAction::Place { operation_id, .. }) = actions.first() {
        let server = ServerKey::new(index % 1_200);
        machine.on_event(
            now,
            StreamEvent::Placed {
                operation_id: *operation_id,
                server,
            },
        );
    }
    (machine, attempt)
}

fn run_tokens(machines: &mut [(StreamMachine, AttemptId)]) -> Duration {
    let start = processor_time();
    for index in 0..TOKENS_PER_STREAM {
        let now = Timestamp::from_millis(u64::from(index) * 47);
        for (machine, attempt) in machines.iter_mut() {
            let text = format!("w{index:06} ");
            let token = EngineEvent::Token {
                attempt: *attempt,
                index,
                text,
            };
            let actions = machine.on_event(now, StreamEvent::Frame(token));
            assert!(!actions.is_empty(), "a token must be delivered");
        }
    }
    processor_time().saturating_sub(start)
}

/// Returns the processor time of this thread, independent of other load on the machine.
fn processor_time() -> Duration {
    let text = fs::read_to_string("/proc/self/schedstat").unwrap_or_default();
    let nanos = text.split_whitespace().next();
    Duration::from_nanos(nanos.and_then(|nanos| nanos.parse().ok()).unwrap_or(0))
}

fn resident_bytes() -> u64 {
    let text = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split_whitespace().nth(1);
    pages
        .and_then(|pages| pages.parse::<u64>().ok())
        .unwrap_or(0)
        * PAGE_BYTES
}
