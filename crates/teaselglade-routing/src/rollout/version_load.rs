//! Load that a new version's servers are tried under.

/// Share of a server's slots that it carries at least on a trial under load.
///
/// Placement by cached prompt parts fills single servers beyond it, however many others are idle.
const TRIED_SLOTS: f64 = 0.5;
/// Load above which further servers join a trial, relative to the one that is wanted.
const LOAD_EXCESS: f64 = 1.5;

/// Load that a new version's servers are tried under, from what the old ones carry.
///
/// A placement that follows cached prompt parts loads a few servers far more than the mean. A
/// fault of a version under load is looked for at the load of such a server.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub(super) struct VersionLoad {
    readings: u32,
    /// Sum over readings of the open requests at all servers.
    requests: f64,
    /// Sum over readings of the open requests at the busiest server.
    busiest: f64,
}

impl VersionLoad {
    /// Records the open requests at each old server; readings without any do not count.
    pub(super) fn record(&mut self, loads: impl Iterator<Item = f64>) {
        let (requests, busiest) = loads.fold((0.0, 0.0), |(sum, most): (f64, f64), load| {
            (sum + load, most.max(load))
        });
        if requests > 0.0 {
            self.readings += 1;
            self.requests += requests;
            self.busiest += busiest;
        }
    }

    /// Returns how many servers of some slots a share of the requests fills to the load of a trial.
    ///
    /// That load is what the busiest old server carries, and half of the slots at least. `open` is
    /// the number of requests that the new servers have: busy engines take longer, so that they may
    /// have more than the share. Returns `None` while no load is known.
    pub(super) fn servers_for(&self, share: f64, open: f64, slots: f64) -> Option<usize> {
        if self.readings == 0 {
            return None;
        }
        let readings = f64::from(self.readings);
        let wanted = (self.busiest / readings).max(slots * TRIED_SLOTS);
        let by_share = (share * self.requests / readings / wanted) as usize;
        Some(by_share.max((open / (wanted * LOAD_EXCESS)) as usize))
    }
}
