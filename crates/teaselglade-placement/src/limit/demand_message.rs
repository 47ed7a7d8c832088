//! What one source tells of its demand.

use super::LimitId;

/// Most demands in one message; rows beyond it count by their host's equal demand.
pub const MAX_DEMANDS: usize = 32;

teaselglade_core::value_type! {
    /// Demand on one limit.
    #[derive(Copy)]
    pub struct LimitDemand {
        /// The limit.
        pub limit: LimitId,
        /// What is asked for, in the limit's unit.
        pub demand: f32,
    }
}

teaselglade_core::value_type! {
    /// What one source tells of its demand; it rides on the membership's messages.
    #[derive(Default)]
    pub struct DemandMessage {
        /// Number of the message; an older one is ignored.
        pub number: u64,
        /// Entry hosts that the message speaks for.
        pub hosts: u32,
        /// The largest demands, at most [`MAX_DEMANDS`].
        #[serde(rename = "shares")]
        pub demands: Vec<LimitDemand>,
    }
}

impl DemandMessage {
    /// Makes the message of one host, which keeps only the largest demands.
    #[must_use]
    pub fn from_host(number: u64, mut demands: Vec<LimitDemand>) -> Self {
        demands.sort_by(|a, b| b.demand.total_cmp(&a.demand));
        demands.truncate(MAX_DEMANDS);
        Self {
            number,
            hosts: 1,
            demands,
        }
    }

    /// Sums messages, such as those of one data centre, into one.
    ///
    /// # Examples
    ///
    /// ```
    /// use teaselglade_placement::limit::{LimitDemand, LimitId, LimitMeasure, DemandMessage};
    ///
    /// let limit = LimitId::new("service/till-desk", LimitMeasure::Requests);
    /// let host = DemandMessage::from_host(1, vec![LimitDemand { limit, demand: 2.0 }]);
    /// let sum = DemandMessage::sum(9, [&host, &host]);
    /// assert_eq!((sum.hosts, sum.demands[0].demand), (2, 4.0));
    /// ```
    #[must_use]
    pub fn sum<'a>(number: u64, messages: impl IntoIterator<Item = &'a Self>) -> Self {
        let mut sum = Self {
            number,
            ..Self::default()
        };
        for message in messages {
            sum.hosts += message.hosts;
            message.demands.iter().for_each(|demand| sum.add(*demand));
        }
        sum.demands.sort_by(|a, b| b.demand.total_cmp(&a.demand));
        sum.demands.truncate(MAX_DEMANDS);
        sum
    }

    pub(super) fn demand(&self, limit: LimitId) -> f64 {
        let demand = self.demands.iter().find(|demand| demand.limit == limit);
        demand.map_or(0.0, |demand| f64::from(demand.demand))
    }

    fn add(&mut self, demand: LimitDemand) {
        let known = self
            .demands
            .iter_mut()
            .find(|known| known.limit == demand.limit);
        match known {
            Some(known) => known.demand += demand.demand,
            None => self.demands.push(demand),
        }
    }
}
