//! Requests in hand when a daemon stops or gets a signal that is not meant to stop it.

use std::time::Duration;

use teaselglade_standins::fleet::FleetPlan;
use tokio::time::sleep;

use super::harness::TestFleet;
use super::stream_load::StreamLoad;

const LOAD: StreamLoad = StreamLoad {
    streams: 8,
    tokens: 120,
};
/// Time after which the streams are in progress.
const FAULT_DELAY: Duration = Duration::from_millis(400);

#[tokio::test(flavor = "multi_thread")]
async fn a_hang_up_signal_ends_no_stream() {
    let mut fleet = TestFleet::start(FleetPlan::dragons_sleeve(), 1).await;
    let signals = async {
        sleep(FAULT_DELAY).await;
        fleet.entries[0].process.signal("HUP");
        fleet.entries[0].process.signal("HUP");
        fleet.entries[0].process.signal("TERM");
        fleet.entries[0].process.signal("HUP");
    };
    let (reports, ()) = tokio::join!(LOAD.run(&fleet), signals);
    LOAD.assert_complete(&reports);
    assert!(reports.iter().all(|report| report.resumes == 0));
    assert!(
        fleet.entries[0].process.wait(),
        "the daemon exits successfully"
    );
}
