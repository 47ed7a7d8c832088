//! Splits news of servers into parts that fit small datagrams.

use super::{NewsTurn, ServerNews, rendezvous_weight};
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

/// Parts of a round that is being split.
pub(super) struct NewsPacker {
    pub(super) part: ServerNews,
    /// Bytes of changes in the part.
    bytes: usize,
    pub(super) full: Vec<ServerNews>,
    most_parts: usize,
}

impl NewsPacker {
    /// Creates a packer that begins with this part.
    pub(super) const fn new(part: ServerNews, most_parts: usize) -> Self {
        Self {
            part,
            bytes: 0,
            full: Vec::new(),
            most_parts,
        }
    }

    /// Starts another part if a change of this size does not fit; returns whether there is room.
    pub(super) fn make_room(&mut self, bytes: usize) -> bool {
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
pub(super) fn in_turn<T>(
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

pub(super) fn departure_bytes(departure: &ServerDeparture) -> usize {
    let positions = [departure.registered_at, departure.removed_at];
    let positions = positions.map(StorePosition::encoded_len);
    let numbers = [departure.started_at_ms, departure.heartbeat].map(encoded_len);
    let sizes = positions.into_iter().chain(numbers);
    departure.id.len() + DEPARTURE_BYTES + sizes.sum::<usize>()
}

pub(super) fn registration_bytes(registration: &ServerRegistration) -> usize {
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
