//! Departure of this entry host, announced by a reclaim notice or the host list.

use std::sync::atomic::{AtomicBool, Ordering};

use teaselglade_core::id::HostIncarnation;
use teaselglade_core::port::ListedHost;
use teaselglade_core::time::Timestamp;

use crate::host::EntryHost;

/// Starts to leave if a notice applies to this host.
///
/// The host then refuses new requests and hands its streams over before the deadline. A notice
/// for an earlier incarnation of this host is ignored.
pub(crate) fn leave_on_notice(host: &EntryHost, incarnation: HostIncarnation, deadline: Timestamp) {
    let listed = own_entry(host, |own| own.incarnation);
    if listed.is_some_and(|listed| listed <= incarnation) {
        start_leaving(host, deadline);
    }
}

/// Starts to leave once the host list shows this host as leaving.
///
/// Only a change from not leaving counts, since a list that lags may show an earlier incarnation.
pub(crate) fn leave_on_host_list(host: &EntryHost, deadline: Timestamp) {
    let Some(is_leaving) = own_entry(host, |own| own.leaving) else {
        return;
    };
    if !is_leaving {
        host.own_listing.was_active.store(true, Ordering::Release);
        return;
    }
    if host.own_listing.was_active.load(Ordering::Acquire) && !host.is_draining() {
        start_leaving(host, deadline);
    }
}

/// Records whether the host list has shown this host as not leaving.
#[derive(Debug, Default)]
pub(crate) struct OwnListing {
    was_active: AtomicBool,
}

fn start_leaving(host: &EntryHost, deadline: Timestamp) {
    if !host.is_draining() {
        log::info!("entry host {} is leaving", host.settings.host);
    }
    host.start_draining();
    host.streams.announce_shutdown(deadline);
}

/// Reads the entry of this host, identified by name and address.
fn own_entry<T>(host: &EntryHost, read: impl Fn(&ListedHost) -> T) -> Option<T> {
    let directory = host.directory();
    let settings = &host.settings;
    let mut listed = directory.entry_hosts().iter();
    let own = listed
        .find(|listed| listed.name.as_str() == settings.host && listed.address == settings.peers);
    own.map(read)
}
