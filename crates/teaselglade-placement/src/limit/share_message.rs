//! What one source tells of its demand.

use super::LimitId;

/// Most demands in one message; rows beyond it count by their host's equal share.
pub const MAX_SHARES: usize = 32;

teaselglade_core::value_type! {
    /// Demand on one limit.
    #[derive(Copy)]
    pub struct DemandShare {
        /// The limit.
        pub limit: LimitId,
        /// What is asked for, in the limit's unit.
        pub demand: f32,
    }
}

teaselglade_core::value_type! {
    /// What one source tells of its demand; it rides on the membership's messages.
    #[derive(Default)]
    pub struct ShareMessage {
        /// Number of the message; an older one is ignored.
        pub number: u64,
        /// Entry hosts that the message speaks for.
        pub hosts: u32,
        /// The largest demands, at most [`MAX_SHARES`].
        pub shares: Vec<DemandShare>,
    }
}

impl ShareMessage {
    /// Makes the message of one host, which keeps only the largest demands.
    #[must_use]
    pub fn of_host(number: u64, mut shares: Vec<DemandShare>) -> Self {
        shares.sort_by(|a, b| b.demand.total_cmp(&a.demand));
        shares.truncate(MAX_SHARES);
        Self {
            number,
            hosts: 1,
            shares,
        }
    }

    /// Sums messages, such as those of one data centre, into one.
    ///
    /// # Examples
    ///
    /// ```
    /// use teaselglade_placement::limit::{DemandShare, LimitId, LimitMeasure, ShareMessage};
    ///
    /// let limit = LimitId::new("service/till-desk", LimitMeasure::Requests);
    /// let host = ShareMessage::of_host(1, vec![DemandShare { limit, demand: 2.0 }]);
    /// let sum = ShareMessage::sum(9, [&host, &host]);
    /// assert_eq!((sum.hosts, sum.shares[0].demand), (2, 4.0));
    /// ```
    #[must_use]
    pub fn sum<'a>(number: u64, messages: impl IntoIterator<Item = &'a Self>) -> Self {
        let mut sum = Self {
            number,
            ..Self::default()
        };
        for message in messages {
            sum.hosts += message.hosts;
            message.shares.iter().for_each(|share| sum.add(*share));
        }
        sum.shares.sort_by(|a, b| b.demand.total_cmp(&a.demand));
        sum.shares.truncate(MAX_SHARES);
        sum
    }

    pub(super) fn demand(&self, limit: LimitId) -> f64 {
        let share = self.shares.iter().find(|share| share.limit == limit);
        share.map_or(0.0, |share| f64::from(share.demand))
    }

    fn add(&mut self, share: DemandShare) {
        let known = self
            .shares
            .iter_mut()
            .find(|known| known.limit == share.limit);
        match known {
            Some(known) => known.demand += share.demand,
            None => self.shares.push(share),
        }
    }
}
