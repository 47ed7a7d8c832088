//! Sizes of the reports by which hosts share lasting speeds.

use teaselglade_routing::gossip::PeerMessage;
use teaselglade_routing::speed::{SpeedNotice, SpeedReport};

/// Returns a report whose notices have the longest encoding.
fn report(samples: usize, estimates: usize) -> SpeedReport {
    let notice = SpeedNotice {
        server: u64::MAX,
        step: i8::MIN,
        weight: u8::MAX,
    };
    SpeedReport {
        samples: vec![notice; samples],
        estimates: vec![notice; estimates],
    }
}

#[test]
fn reports_keep_to_their_share_of_the_links() {
    let encoded = |engines, plain| {
        let message = PeerMessage::Speeds { engines, plain };
        rmp_serde::to_vec(&message).expect("a message").len()
    };
    // The limits of docs/design/capacity.md.
    let host = encoded(report(8, 8), report(8, 8));
    let aggregate = encoded(report(0, 140), report(0, 0));
    assert!(host <= 512, "{host} bytes");
    assert!(aggregate <= 2_048, "{aggregate} bytes");
}
