//! Claims in a shard whose earlier records exceeded the log's retention.

use std::time::Duration;

use teaselglade_claims::call::{CallId, KeyedCall};
use teaselglade_claims::key::{RequestDigest, ScopedKey};
use teaselglade_claims::shard::{ClaimOptions, ShardAction, ShardEvent, ShardMachine};
use teaselglade_core::port::{LogPage, LogRecord};

/// Guards against a second execution when the log has dropped another host's earlier claim.
///
/// It can happen if this host's clock stands still while retention removes the earlier claim.
#[test]
fn a_claim_after_lost_records_is_withdrawn() {
    let key = "0193a1b2-0000-7000-8000-000000000001"
        .parse()
        .expect("a key");
    let key = ScopedKey::new("corrib", "ticket-desk", key);
    let now = key.key.created();
    let call = KeyedCall {
        digest: RequestDigest::of("POST", "/tickets", b"ring"),
        is_retry: false,
        deadline: now + Duration::from_secs(5),
        key,
    };
    let call_id = CallId::new(0);
    let mut machine = ShardMachine::new(ClaimOptions::default(), [7; 32]);
    machine.on_event(now, ShardEvent::Submitted { call_id, call });
    let empty = LogPage {
        first: 0,
        end: 0,
        records: Vec::new(),
    };
    let actions = machine.on_event(now, ShardEvent::Read(Ok(empty)));
    let ShardAction::Append { body } = &actions[0] else {
        panic!("expected an append, got {actions:?}");
    };
    let own = LogRecord {
        offset: 1,
        appended: now,
        body: body.clone(),
    };
    machine.on_event(now, ShardEvent::Appended(Ok(1)));
    let after_loss = LogPage {
        first: 1,
        end: 2,
        records: vec![own],
    };
    let actions = machine.on_event(now, ShardEvent::Read(Ok(after_loss)));
    let is_dispatch = |action: &ShardAction| matches!(action, ShardAction::Dispatch { .. });
    assert!(!actions.iter().any(is_dispatch), "{actions:?}");
    assert_eq!(machine.counters().withdrawals, 1);
}
