//! Times of the lease for the platform's bounds.

use std::time::Duration;

use teaselglade_host::duty::lease_terms;
use teaselglade_host::settings::DutyBounds;

#[test]
fn a_holder_stops_within_the_bound_and_a_rival_waits_longer() {
    for lease in [1_000, 3_000, 10_000].map(Duration::from_millis) {
        let terms = lease_terms(&DutyBounds {
            reports_usage: true,
            orders_servers: true,
            usage_window: Duration::from_secs(5),
            usage_due_within: Duration::from_secs(10),
            lease,
        });
        assert!(terms.term <= lease);
        assert!(terms.takeover_wait > terms.term);
        assert!(terms.renew_interval * 2 < terms.term.checked_sub(terms.margin).unwrap());
    }
}
