//! Backend client against stand-in engines.

use std::net::SocketAddr;
use std::sync::Arc;

use futures::{StreamExt, TryStreamExt};
use teaselglade_core::id::{AttemptId, RequestId};
use teaselglade_core::port::{BackendPort, EngineEvent, GenerateCall, KvTransfer};
use teaselglade_core::verdict::SendProgress;
use teaselglade_net::backend::BackendClient;
use teaselglade_net::client::HttpRequest;
use teaselglade_standins::engine::{EngineProfile, EngineServer, engine_router, token_text};

use super::support::{new_client, serve, set_faults};

const PROMPT: &str = "assess a ring";

async fn start_engine() -> SocketAddr {
    let profile = EngineProfile {
        step_micros: 2_000,
        ..EngineProfile::for_class("new")
    };
    let engine = EngineServer::new(profile);
    tokio::spawn(Arc::clone(&engine).run());
    serve(engine_router(&engine)).await
}

fn call(number: u32, delivered: u32, max_tokens: u32) -> GenerateCall {
    GenerateCall {
        attempt: AttemptId {
            request: RequestId::from_bits(7),
            number,
        },
        prompt: PROMPT.to_owned(),
        max_tokens,
        delivered: (0..delivered)
            .map(|index| token_text(PROMPT, index))
            .collect(),
        adapter: None,
        priority: 0,
        kv_handle: None,
    }
}

fn tokens(events: &[EngineEvent]) -> Vec<(u32, String)> {
    let token = |event: &EngineEvent| match event {
        EngineEvent::Token { index, text, .. } => Some((*index, text.clone())),
        _ => None,
    };
    events.iter().filter_map(token).collect()
}

fn expected(from: u32, to: u32) -> Vec<(u32, String)> {
    (from..to)
        .map(|index| (index, token_text(PROMPT, index)))
        .collect()
}

#[tokio::test]
async fn responses_start_continue_and_end() {
    let engine = start_engine().await;
    let client = BackendClient::new(new_client());
    let stream = client
        .generate(engine, call(1, 0, 5))
        .await
        .expect("a stream");
    let events = stream.events.try_collect::<Vec<_>>().await.expect("frames");
    assert_eq!(tokens(&events), expected(0, 5));
    assert!(matches!(
        events.last(),
        Some(EngineEvent::End { total: 5, .. })
    ));
    let stream = client
        .generate(engine, call(2, 3, 5))
        .await
        .expect("a stream");
    let events = stream.events.try_collect::<Vec<_>>().await.expect("frames");
    assert_eq!(tokens(&events), expected(3, 5));
}

#[tokio::test]
async fn a_moved_kv_cache_leaves_no_tokens_to_recompute() {
    let (source, target) = (start_engine().await, start_engine().await);
    let client = BackendClient::new(new_client());
    let mut stream = client
        .generate(source, call(1, 0, 5_000))
        .await
        .expect("a stream");
    let first = stream
        .events
        .next()
        .await
        .expect("a frame")
        .expect("no error");
    assert!(matches!(
        first,
        EngineEvent::Started {
            cached_tokens: 0,
            ..
        }
    ));
    let second = stream
        .events
        .next()
        .await
        .expect("a frame")
        .expect("no error");
    assert!(matches!(second, EngineEvent::Token { index: 0, .. }));
    let attempt = call(1, 0, 1).attempt;
    let handle = client
        .move_kv(source, KvTransfer { attempt, target })
        .await
        .expect("a handle");
    let moved = GenerateCall {
        kv_handle: Some(handle),
        ..call(2, 1, 3)
    };
    let stream = client.generate(target, moved).await.expect("a stream");
    let events = stream.events.try_collect::<Vec<_>>().await.expect("frames");
    assert!(
        matches!(
            events[0],
            EngineEvent::Started {
                computed_tokens: 0,
                ..
            }
        ),
        "{events:?}"
    );
    assert_eq!(tokens(&events), expected(1, 3));
}

#[tokio::test]
async fn errors_report_how_far_the_request_got() {
    let engine = start_engine().await;
    let client = BackendClient::new(new_client());
    let unreachable = SocketAddr::from(([127, 0, 0, 1], 9));
    let error = client
        .generate(unreachable, call(1, 0, 1))
        .await
        .expect_err("an error");
    assert_eq!(error.progress, SendProgress::NotSent);
    let order = "{\"number\":1,\"drain\":true,\"adapters\":[]}";
    let response = new_client()
        .call(HttpRequest::post(engine, "/orders", order))
        .await;
    assert_eq!(response.expect("a response").status, 200);
    let error = client
        .generate(engine, call(1, 0, 1))
        .await
        .expect_err("an error");
    assert_eq!(error.progress, SendProgress::RefusedBeforeRunning);
    set_faults(engine, "{\"down\":true}").await;
    let error = client
        .generate(engine, call(1, 0, 1))
        .await
        .expect_err("an error");
    assert_eq!(error.progress, SendProgress::RefusedBeforeRunning);
}
