//! Arena of the other entry hosts.

use std::collections::HashMap;

use teaselglade_core::id::{HostKey, HostName};
use teaselglade_core::time::Timestamp;

use super::slice_digest::{name_hash, slice_of, stable_hash};
use super::{MemberEntry, MemberLiveness};

/// Entry of another host, with this host's observations of it.
#[derive(Debug, Clone)]
pub(super) struct MemberSlot {
    pub(super) entry: MemberEntry,
    pub(super) changed_at: Timestamp,
    pub(super) missed_calls: u32,
    name_hash: u64,
    entry_hash: u64,
}

/// Arena of the entry hosts other than this one, addressed by name or by key.
#[derive(Debug, Clone, Default)]
pub(super) struct MemberArena {
    slots: Vec<Option<MemberSlot>>,
    keys: HashMap<HostName, HostKey>,
}

impl MemberArena {
    pub(super) fn len(&self) -> usize {
        self.keys.len()
    }

    pub(super) fn find(&self, name: &HostName) -> Option<HostKey> {
        self.keys.get(name).copied()
    }

    pub(super) fn get(&self, key: HostKey) -> Option<&MemberSlot> {
        self.slots.get(key.index())?.as_ref()
    }

    pub(super) fn get_mut(&mut self, key: HostKey) -> Option<&mut MemberSlot> {
        self.slots.get_mut(key.index())?.as_mut()
    }

    pub(super) fn entry(&self, name: &HostName) -> Option<&MemberEntry> {
        Some(&self.get(self.find(name)?)?.entry)
    }

    pub(super) fn keys(&self) -> impl Iterator<Item = HostKey> {
        let indexes = 0..self.slots.len() as u32;
        indexes
            .map(HostKey::new)
            .filter(|key| self.get(*key).is_some())
    }

    pub(super) fn slots(&self) -> impl Iterator<Item = &MemberSlot> {
        self.slots.iter().flatten()
    }

    /// Inserts an entry or replaces the host's older one, and resets its missed calls.
    pub(super) fn upsert(&mut self, now: Timestamp, entry: MemberEntry) -> HostKey {
        let key = match self.find(&entry.name) {
            Some(key) => key,
            None => self.add_key(entry.name.clone()),
        };
        self.slots[key.index()] = Some(MemberSlot {
            name_hash: name_hash(&entry.name),
            entry_hash: entry_hash(&entry),
            changed_at: now,
            missed_calls: 0,
            entry,
        });
        key
    }

    /// Removes a member and frees its slot for reuse.
    pub(super) fn remove(&mut self, key: HostKey) {
        let slot = self.slots.get_mut(key.index()).and_then(Option::take);
        if let Some(slot) = slot {
            self.keys.remove(&slot.entry.name);
        }
    }

    pub(super) fn in_slice(&self, index: u16, slices: u16) -> impl Iterator<Item = &MemberSlot> {
        self.slots()
            .filter(move |slot| slice_of(slot.name_hash, slices) == index)
    }

    /// Returns the digest of a slice.
    ///
    /// Failed members are left out, since hosts remove them at different times.
    pub(super) fn digest(&self, index: u16, slices: u16) -> u64 {
        self.in_slice(index, slices)
            .filter(|slot| slot.entry.is_reachable())
            .fold(0, |digest, slot| digest ^ slot.entry_hash)
    }

    /// Allocates a key for a new host, in a free slot if there is one.
    fn add_key(&mut self, name: HostName) -> HostKey {
        let free = self.slots.iter().position(Option::is_none);
        let index = free.unwrap_or_else(|| {
            self.slots.push(None);
            self.slots.len() - 1
        });
        let key = HostKey::new(index as u32);
        self.keys.insert(name, key);
        key
    }
}

/// Hashes the name and rank of an entry; the address and the data centre are left out.
pub(super) fn entry_hash(entry: &MemberEntry) -> u64 {
    let liveness = match entry.liveness {
        MemberLiveness::Alive => 0,
        MemberLiveness::Suspect => 1,
        MemberLiveness::Failed => 2,
    };
    stable_hash(&[
        entry.name.as_str().as_bytes(),
        &entry.incarnation.0.to_le_bytes(),
        &entry.sequence.to_le_bytes(),
        &[liveness],
    ])
}
