//! Times of the lease in the settings.

use teaselglade_settings::SettingsObject;
use teaselglade_state::lease::LeaseTimings;

/// Reads the lease's times; those that are absent keep their default.
pub(super) fn read_terms(lease: &SettingsObject<'_>) -> LeaseTimings {
    let default = LeaseTimings::default();
    let span = |name, default| lease.opt_millis(name).unwrap_or(default);
    let terms = LeaseTimings {
        term: span("term_ms", default.term),
        margin: span("margin_ms", default.margin),
        renew_interval: span("renew_ms", default.renew_interval),
        takeover_wait: span("takeover_ms", default.takeover_wait),
        takeover_jitter: span("jitter_ms", default.takeover_jitter),
        read_interval: span("read_ms", default.read_interval),
        resolve_interval: span("resolve_ms", default.resolve_interval),
    };
    if terms.takeover_wait <= terms.term {
        lease.reject("takeover_ms", "must be longer than `term_ms`");
    }
    if terms.margin >= terms.term {
        lease.reject("margin_ms", "must be shorter than `term_ms`");
    }
    if terms.renew_interval + terms.margin >= terms.term {
        lease.reject(
            "renew_ms",
            "must leave time for a renewal before the term ends",
        );
    }
    terms
}
