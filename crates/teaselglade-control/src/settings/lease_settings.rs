//! Durations of the lease in the settings.

use teaselglade_settings::SettingsObject;
use teaselglade_state::lease::LeaseTimings;

/// Reads the durations of the lease; absent ones keep their default.
///
/// Rejects durations under which two hosts could act at once, a holder could never act, or a
/// renewal could come too late.
pub(super) fn read_timings(lease: &SettingsObject<'_>) -> LeaseTimings {
    let default = LeaseTimings::default();
    let duration = |name, default| lease.opt_millis(name).unwrap_or(default);
    let timings = LeaseTimings {
        term: duration("term_ms", default.term),
        margin: duration("margin_ms", default.margin),
        renew_interval: duration("renew_ms", default.renew_interval),
        takeover_wait: duration("takeover_ms", default.takeover_wait),
        takeover_jitter: duration("jitter_ms", default.takeover_jitter),
        read_interval: duration("read_ms", default.read_interval),
        resolve_interval: duration("resolve_ms", default.resolve_interval),
    };
    if timings.takeover_wait <= timings.term {
        lease.reject("takeover_ms", "must be longer than `term_ms`");
    }
    if timings.margin >= timings.term {
        lease.reject("margin_ms", "must be shorter than `term_ms`");
    }
    if timings.renew_interval + timings.margin >= timings.term {
        lease.reject(
            "renew_ms",
            "must leave time for a renewal before the term ends",
        );
    }
    timings
}
