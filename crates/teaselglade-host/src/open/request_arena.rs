//! Arena of open requests.

use super::OpenRequest;

/// Key of an open request; a key of a request that has ended finds nothing.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct RequestKey {
    index: u32,
    generation: u32,
}

#[derive(Debug, Default)]
struct RequestSlot {
    generation: u32,
    request: Option<OpenRequest>,
}

/// Open requests by key; the slots of ended requests are used again.
///
/// # Examples
///
/// ```
/// use teaselglade_core::time::Timestamp;
/// use teaselglade_host::open::{OpenRequest, RequestArena};
///
/// let mut arena = RequestArena::default();
/// let key = arena.insert(OpenRequest::new("9c41".to_owned(), Timestamp::ZERO));
/// assert_eq!(arena.iter().count(), 1);
/// arena.remove(key);
/// assert!(arena.get_mut(key).is_none());
/// ```
#[derive(Debug, Default)]
pub struct RequestArena {
    slots: Vec<RequestSlot>,
    free: Vec<u32>,
}

impl RequestArena {
    /// Adds a request and returns its key.
    pub fn insert(&mut self, request: OpenRequest) -> RequestKey {
        let index = self.free.pop().unwrap_or_else(|| {
            self.slots.push(RequestSlot::default());
            self.slots.len() as u32 - 1
        });
        let slot = &mut self.slots[index as usize];
        slot.request = Some(request);
        RequestKey {
            index,
            generation: slot.generation,
        }
    }

    /// Returns the request, unless it has ended.
    pub fn get_mut(&mut self, key: RequestKey) -> Option<&mut OpenRequest> {
        let slot = self.slots.get_mut(key.index as usize)?;
        let is_current = slot.generation == key.generation;
        slot.request.as_mut().filter(|_| is_current)
    }

    /// Removes a request and returns it, unless it has ended before.
    pub fn remove(&mut self, key: RequestKey) -> Option<OpenRequest> {
        self.get_mut(key)?;
        let slot = &mut self.slots[key.index as usize];
        slot.generation = slot.generation.wrapping_add(1);
        self.free.push(key.index);
        slot.request.take()
    }

    /// Returns the open requests.
    pub fn iter(&self) -> impl Iterator<Item = &OpenRequest> {
        self.slots.iter().filter_map(|slot| slot.request.as_ref())
    }

    /// Returns the number of open requests.
    #[must_use]
    pub const fn len(&self) -> usize {
        self.slots.len() - self.free.len()
    }

    /// Returns whether no request is open.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
