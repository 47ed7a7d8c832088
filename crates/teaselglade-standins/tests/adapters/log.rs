//! Log client against the stand-in log.

use std::time::Duration;

use bytes::Bytes;
use teaselglade_core::port::{LogError, LogPort, StreamName};
use teaselglade_net::platform::LogClient;
use teaselglade_standins::log::{LogLimits, log_router};

use super::support::{new_client, serve, set_faults};

const READ_WAIT: Duration = Duration::from_secs(5);

fn body(text: &'static str) -> Bytes {
    Bytes::from_static(text.as_bytes())
}

#[tokio::test]
async fn records_are_read_in_offset_order() {
    let client = LogClient::new(new_client(), serve(log_router(LogLimits::default())).await);
    let stream = StreamName::table();
    assert_eq!(client.append(&stream, body("a")).await, Ok(0));
    assert_eq!(client.append(&stream, body("b")).await, Ok(1));
    let page = client
        .read(&stream, 0, 10, Duration::ZERO)
        .await
        .expect("a page");
    let bodies = page
        .records
        .iter()
        .map(|record| record.body.clone())
        .collect::<Vec<_>>();
    assert_eq!((page.first, page.end), (0, 2));
    assert_eq!(bodies, [body("a"), body("b")]);
}

#[tokio::test]
async fn reads_wait_for_the_next_append() {
    let client = LogClient::new(new_client(), serve(log_router(LogLimits::default())).await);
    let stream = StreamName::audit();
    let (page, appended) = tokio::join!(
        client.read(&stream, 0, 10, READ_WAIT),
        client.append(&stream, body("a"))
    );
    assert_eq!(appended, Ok(0));
    assert_eq!(page.expect("a page").records.len(), 1);
}

#[tokio::test]
async fn appends_with_a_lost_response_are_unknown_and_take_effect() {
    let address = serve(log_router(LogLimits::default())).await;
    let client = LogClient::new(new_client(), address);
    let stream = StreamName::claims(1);
    set_faults(address, "{\"lose_answers\":1}").await;
    let lost = client.append(&stream, body("a")).await;
    assert!(matches!(lost, Err(LogError::Unknown { .. })), "{lost:?}");
    let page = client
        .read(&stream, 0, 10, Duration::ZERO)
        .await
        .expect("a page");
    assert_eq!(page.end, 1);
}

#[tokio::test]
async fn appends_during_an_outage_are_refused_without_effect() {
    let address = serve(log_router(LogLimits::default())).await;
    let client = LogClient::new(new_client(), address);
    let stream = StreamName::claims(2);
    set_faults(address, "{\"down\":true}").await;
    let refused = client.append(&stream, body("a")).await;
    assert!(
        matches!(refused, Err(LogError::Refused { .. })),
        "{refused:?}"
    );
    set_faults(address, "{}").await;
    let page = client
        .read(&stream, 0, 10, Duration::ZERO)
        .await
        .expect("a page");
    assert_eq!(page.end, 0);
}

#[tokio::test]
async fn appends_over_the_limit_are_refused() {
    let limits = LogLimits {
        appends_per_second: 3,
        ..LogLimits::default()
    };
    let client = LogClient::new(new_client(), serve(log_router(limits)).await);
    let stream = StreamName::audit();
    let mut refused_appends = 0;
    for _ in 0..8 {
        let result = client.append(&stream, body("a")).await;
        refused_appends += u32::from(matches!(result, Err(LogError::Refused { .. })));
    }
    assert!(
        refused_appends > 0,
        "a limit of 3 appends per second must refuse some of 8 immediate appends"
    );
}

#[tokio::test]
async fn new_connections_work_while_old_ones_are_silent() {
    let address = serve(log_router(LogLimits::default())).await;
    let client = LogClient::new(new_client(), address);
    let stream = StreamName::claims(3);
    assert_eq!(client.append(&stream, body("a")).await, Ok(0));
    set_faults(address, "{\"silence\":true}").await;
    let silent = client.append(&stream, body("b")).await;
    assert!(
        matches!(silent, Err(LogError::Unknown { .. })),
        "{silent:?}"
    );
    assert_eq!(client.append(&stream, body("c")).await, Ok(1));
}
