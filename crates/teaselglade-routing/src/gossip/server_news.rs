//! News of servers in messages that fit small datagrams.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::NewsTurn;
use super::news_packer::{NewsPacker, departure_bytes, in_turn, registration_bytes};
use crate::registry::{ServerDeparture, ServerRegistration};

/// Part of the changes of servers that a host knows, sent before its digest.
///
/// All parts of one round together hold the changes that a digest would hold. A receiver applies
/// each part at once, and claims the age of the sender's data when it has all of the round.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use teaselglade_routing::gossip::{NewsTurn, ServerNews};
///
/// let age = Duration::from_millis(100);
/// let round = ServerNews::split("edge-1", NewsTurn::new(1, 1), Some(age), Vec::new(), Vec::new());
/// assert_eq!(round.len(), 1);
/// assert_eq!(round[0].update_age(), Some(age));
/// ```
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ServerNews {
    /// Name of the sender.
    #[serde(rename = "host")]
    pub sender: String,
    /// Number of the round, which the sender increases.
    pub round: u64,
    /// Number of the part within the round, from 0.
    pub part: u8,
    /// Number of parts of the round.
    pub parts: u8,
    /// Age of the sender's registration data in milliseconds.
    ///
    /// Without one the round proves nothing of its age: not all changes fit, or it is unknown.
    #[serde(rename = "news_age_ms")]
    pub update_age_ms: Option<u64>,
    /// Server departures.
    pub departures: Vec<ServerDeparture>,
    /// Registrations that changed.
    #[serde(rename = "news")]
    pub updates: Vec<ServerRegistration>,
}

impl ServerNews {
    /// Splits changes into the parts of one round; there is always one.
    ///
    /// Departures come first. Of changes that do not all fit, rounds of later turns hold others.
    #[must_use]
    pub fn split(
        sender: &str,
        turn: NewsTurn,
        update_age: Option<Duration>,
        departures: Vec<ServerDeparture>,
        updates: Vec<ServerRegistration>,
    ) -> Vec<Self> {
        let first = Self {
            sender: sender.to_owned(),
            round: turn.round,
            part: 0,
            parts: 1,
            update_age_ms: update_age.map(|age| age.as_millis() as u64),
            departures: Vec::new(),
            updates: Vec::new(),
        };
        let mut packer = NewsPacker::new(first, turn.most_parts);
        let departures = in_turn(departures, turn, |change| &change.id, departure_bytes);
        let mut fits = departures.into_iter().all(|departure| {
            let has_room = packer.make_room(departure_bytes(&departure));
            if has_room {
                packer.part.departures.push(departure);
            }
            has_room
        });
        let updates = in_turn(updates, turn, |change| &change.id, registration_bytes);
        fits &= updates.into_iter().all(|registration| {
            let has_room = packer.make_room(registration_bytes(&registration));
            if has_room {
                packer.part.updates.push(registration);
            }
            has_room
        });
        let mut parts = packer.full;
        parts.push(packer.part);
        let count = parts.len() as u8;
        for (number, part) in (0..).zip(&mut parts) {
            (part.part, part.parts) = (number, count);
            part.update_age_ms = part.update_age_ms.filter(|_| fits);
        }
        parts
    }

    /// Returns the age of the registration data that a receiver of the whole round may claim.
    #[must_use]
    pub fn update_age(&self) -> Option<Duration> {
        self.update_age_ms.map(Duration::from_millis)
    }

    /// Returns whether the part names no change.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.departures.is_empty() && self.updates.is_empty()
    }
}
