//! Message with the demand of one source.

use super::LimitId;

/// Maximum number of demands in one message.
///
/// Receivers count a limit that is omitted as zero demand, so they leave its host only an equal
/// part of the unused limit.
pub const MAX_DEMANDS: usize = 32;

teaselglade_core::value_type! {
    /// Demand on one limit, as sent between entry hosts.
    #[derive(Copy)]
    pub struct LimitDemand {
        /// The limit.
        pub limit: LimitId,
        /// Amount requested by callers, in the limit's unit.
        pub demand: f32,
    }
}

teaselglade_core::value_type! {
    /// Demand of one source, carried in the membership's gossip messages.
    #[derive(Default)]
    pub struct DemandMessage {
        /// Sequence number of the message; receivers ignore messages that are not newer.
        pub number: u64,
        /// Number of entry hosts that the message covers.
        pub hosts: u32,
        /// The largest demands, at most [`MAX_DEMANDS`].
        #[serde(rename = "shares")]
        pub demands: Vec<LimitDemand>,
    }
}

impl DemandMessage {
    /// Creates the message of one host from its [`MAX_DEMANDS`] largest demands.
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

    /// Aggregates messages, such as those of one data centre, into one.
    ///
    /// # Examples
    ///
    /// ```
    /// use teaselglade_placement::limit::{DemandMessage, LimitDemand, LimitId, LimitMeasure};
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
        let entry = self.demands.iter().find(|entry| entry.limit == limit);
        entry.map_or(0.0, |entry| f64::from(entry.demand))
    }

    fn add(&mut self, added: LimitDemand) {
        let known = self
            .demands
            .iter_mut()
            .find(|known| known.limit == added.limit);
        match known {
            Some(known) => known.demand += added.demand,
            None => self.demands.push(added),
        }
    }
}
