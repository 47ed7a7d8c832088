//! Departure of this entry host.

use std::sync::atomic::{AtomicBool, Ordering};

use teaselglade_core::id::HostIncarnation;
use teaselglade_core::port::ListedHost;
use teaselglade_core::time::Timestamp;

use crate::host::EntryHost;

/// Takes nothing new and hands the streams over in time, where this host is told to leave.
///
/// A notice for an earlier start of the host is passed over.
pub(crate) fn leave_on_notice(host: &EntryHost, incarnation: HostIncarnation, deadline: Timestamp) {
    let listed = own_entry(host, |own| own.incarnation);
    if listed.is_some_and(|listed| listed <= incarnation) {
        leave(host, deadline);
    }
}

/// Does the same where the host list begins to show this host as leaving.
///
/// A list that lags may still show an earlier start of the host; so only a change counts.
pub(crate) fn leave_on_host_list(host: &EntryHost, deadline: Timestamp) {
    let Some(is_leaving) = own_entry(host, |own| own.leaving) else {
        return;
    };
    if !is_leaving {
        host.listing.was_open.store(true, Ordering::Release);
        return;
    }
    if host.listing.was_open.load(Ordering::Acquire) && !host.is_draining() {
        leave(host, deadline);
    }
}

/// What the host list said of this host.
#[derive(Debug, Default)]
pub(crate) struct OwnListing {
    was_open: AtomicBool,
}

fn leave(host: &EntryHost, deadline: Timestamp) {
    if !host.is_draining() {
        log::info!("entry host {} is leaving", host.settings.host);
    }
    host.start_draining();
    host.streams.announce_shutdown(deadline);
}

/// Reads the entry of this start of the host, which has its address.
fn own_entry<T>(host: &EntryHost, read: impl Fn(&ListedHost) -> T) -> Option<T> {
    let directory = host.directory();
    let settings = &host.settings;
    let mut listed = directory.entry_hosts().iter();
    let own = listed
        .find(|listed| listed.name.as_str() == settings.host && listed.address == settings.peers);
    own.map(read)
}
