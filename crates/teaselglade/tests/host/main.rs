//! Tests of the serving host's log: it explains failed requests, and a stopped reader blocks
//! no request.

#[path = "../../../../platform/tests/platform/fixture.rs"]
mod fixture;
#[path = "../../../../platform/tests/platform/host_settings.rs"]
mod host_settings;
#[path = "../../../../platform/tests/platform/server_standin.rs"]
#[expect(dead_code, reason = "these tests need a part of the stand-in")]
mod server_standin;
#[path = "../../../../platform/tests/platform/store_standin.rs"]
#[expect(dead_code, reason = "these tests need a part of the stand-in")]
mod store_standin;

mod answer_ends;
mod captured_log;
mod explained;
mod host_process;
mod log_stream;
mod placements;
mod rollouts;
mod signals;
mod stop_log;
