//! Arena of interned names.

use std::collections::HashMap;

/// Arena of interned names; the index of a name never changes.
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
    /// Returns the index of `name`, adding the name if it is new.
    pub fn intern(&mut self, name: &str) -> usize {
        if let Some(index) = self.indexes.get(name) {
            return *index;
        }
        let index = self.names.len();
        self.names.push(name.to_owned());
        self.indexes.insert(name.to_owned(), index);
        index
    }

    /// Returns the index of `name`, or `None` if it is not in the arena.
    #[must_use]
    pub fn find(&self, name: &str) -> Option<usize> {
        self.indexes.get(name).copied()
    }

    /// Returns the name at `index`, or `None` if there is none.
    #[must_use]
    pub fn name(&self, index: usize) -> Option<&str> {
        self.names.get(index).map(String::as_str)
    }

    /// Returns the number of names in the arena.
    #[must_use]
    pub fn len(&self) -> usize {
        self.names.len()
    }

    /// Returns whether the arena contains no names.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.names.is_empty()
    }
}
