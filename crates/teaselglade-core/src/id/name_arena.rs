//! Arena that gives names small keys.

use std::collections::HashMap;

/// Arena of names; a name's index never changes.
///
/// # Examples
///
/// ```
/// use teaselglade_core::id::NameArena;
///
/// let mut arena = NameArena::default();
/// let galway = arena.intern("galway");
/// assert_eq!(arena.intern("galway"), galway);
/// assert_eq!(arena.name(galway), Some("galway"));
/// assert_eq!(arena.find("sligo"), None);
/// ```
#[derive(Debug, Clone, Default)]
pub struct NameArena {
    names: Vec<String>,
    indexes: HashMap<String, usize>,
}

impl NameArena {
    /// Returns the index of `name`, which is added where it is new.
    pub fn intern(&mut self, name: &str) -> usize {
        if let Some(index) = self.indexes.get(name) {
            return *index;
        }
        let index = self.names.len();
        self.names.push(name.to_owned());
        self.indexes.insert(name.to_owned(), index);
        index
    }

    /// Returns the index of `name`, where it is known.
    #[must_use]
    pub fn find(&self, name: &str) -> Option<usize> {
        self.indexes.get(name).copied()
    }

    /// Returns the name at `index`.
    #[must_use]
    pub fn name(&self, index: usize) -> Option<&str> {
        self.names.get(index).map(String::as_str)
    }

    /// Returns how many names the arena holds.
    #[must_use]
    pub fn len(&self) -> usize {
        self.names.len()
    }

    /// Returns whether the arena holds no name.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.names.is_empty()
    }
}
