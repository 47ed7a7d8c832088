//! News of servers in messages that fit small datagrams.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::rendezvous_weight;
use crate::registry::{ServerDeparture, ServerRegistration, StorePosition, encoded_len};

/// Most bytes of changes in one part.
///
/// With its head a part fits one packet of a usual link, so that a loss takes one part and not, as
/// of a datagram in dozens of packets, nearly always the whole.
const PART_BYTES: usize = 1_200;
/// Bytes of a departure beside its name and numbers: heads of texts and lists, and a flag.
const DEPARTURE_BYTES: usize = 8;
/// Bytes of a registration beside its texts and numbers: heads, flags, and its address.
const REGISTRATION_BYTES: usize = 70;

/// Number of a round of news, and which changes it holds if they do not all fit.
///
/// # Examples
///
/// ```
/// use teaselglade_routing::gossip::NewsTurn;
///
/// let turn = NewsTurn::new(3, 1).most_parts(40);
/// assert_ne!(turn, NewsTurn::new(3, 1));
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct NewsTurn {
    round: u64,
    turn: u64,
    most_parts: usize,
}

impl NewsTurn {
    /// Most parts of a round in a large fleet: some 350 departures.
    ///
    /// What does not fit is told in the next turns, so that an aggregator sends each host no more
    /// than 36 KB a second of news, however many servers change at once.
    const LARGE_FLEET_PARTS: usize = 12;

    /// Creates the number of a round; several rounds, for several receivers, may have one turn.
    #[must_use]
    pub const fn new(round: u64, turn: u64) -> Self {
        Self {
            round,
            turn,
            most_parts: Self::LARGE_FLEET_PARTS,
        }
    }

    /// Sets the most parts of the round, at least 1.
    #[must_use]
    pub const fn most_parts(mut self, most_parts: usize) -> Self {
        self.most_parts = most_parts;
        self
    }
}

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
        let mut packer = NewsPacker {
            part: Self {
                sender: sender.to_owned(),
                round: turn.round,
                part: 0,
                parts: 1,
                update_age_ms: update_age.map(|age| age.as_millis() as u64),
                departures: Vec::new(),
                updates: Vec::new(),
            },
            bytes: 0,
            full: Vec::new(),
            most_parts: turn.most_parts,
        };
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

/// Parts of a round that is being split.
struct NewsPacker {
    part: ServerNews,
    /// Bytes of changes in the part.
    bytes: usize,
    full: Vec<ServerNews>,
    most_parts: usize,
}

impl NewsPacker {
    /// Starts another part if a change of this size does not fit; returns whether there is room.
    fn make_room(&mut self, bytes: usize) -> bool {
        if self.bytes > 0 && self.bytes + bytes > PART_BYTES {
            if self.full.len() + 1 >= self.most_parts {
                return false;
            }
            let next = ServerNews {
                departures: Vec::new(),
                updates: Vec::new(),
                ..self.part.clone()
            };
            self.full.push(std::mem::replace(&mut self.part, next));
            self.bytes = 0;
        }
        self.bytes += bytes;
        true
    }
}

/// Orders changes that do not all fit differently in each turn, so that none is always left out.
fn in_turn<T>(
    mut changes: Vec<T>,
    turn: NewsTurn,
    id: impl Fn(&T) -> &str,
    bytes: impl Fn(&T) -> usize,
) -> Vec<T> {
    let total: usize = changes.iter().map(bytes).sum();
    // Changes of a fifth of a part and less leave less than that of each part empty.
    if total > PART_BYTES * 4 / 5 * turn.most_parts {
        let turn = turn.turn.to_string();
        changes.sort_by_cached_key(|change| rendezvous_weight(&turn, id(change)));
    }
    changes
}

fn departure_bytes(departure: &ServerDeparture) -> usize {
    let positions = [departure.registered_at, departure.removed_at];
    let positions = positions.map(StorePosition::encoded_len);
    let numbers = [departure.started_at_ms, departure.heartbeat].map(encoded_len);
    let sizes = positions.into_iter().chain(numbers);
    departure.id.len() + DEPARTURE_BYTES + sizes.sum::<usize>()
}

fn registration_bytes(registration: &ServerRegistration) -> usize {
    let texts = [
        &registration.id,
        &registration.service,
        &registration.zone,
        &registration.version,
    ];
    let texts = texts.into_iter().map(String::len).sum::<usize>();
    let numbers = [registration.started_at_ms, registration.heartbeat].map(encoded_len);
    let numbers = numbers.into_iter().sum::<usize>() + registration.position.encoded_len();
    texts + numbers + REGISTRATION_BYTES
}
