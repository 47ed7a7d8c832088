//! Macros that add the common derives to arena keys and value types.

/// Declares a small `Copy` key that indexes an arena.
///
/// # Examples
///
/// ```
/// teaselglade_core::arena_key! {
///     /// Key of a shelf.
///     pub struct ShelfKey(u16);
/// }
/// assert_eq!(ShelfKey::new(3).index(), 3);
/// ```
#[macro_export]
macro_rules! arena_key {
    ($(#[$meta:meta])* $vis:vis struct $name:ident($int:ty);) => {
        $(#[$meta])*
        #[derive(
            Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default,
            ::serde::Serialize, ::serde::Deserialize,
        )]
        #[serde(transparent)]
        $vis struct $name($int);

        impl $name {
            /// Creates the key of the arena entry at `index`.
            #[must_use]
            $vis const fn new(index: $int) -> Self {
                Self(index)
            }

            /// Returns the index of the entry in the arena.
            #[must_use]
            $vis const fn index(self) -> usize {
                self.0 as usize
            }
        }
    };
}

/// Adds the derives of a comparable, serialisable value to a type.
///
/// Enums are also `Copy`, ordered and hashable; their variants are serialised in snake case.
///
/// # Examples
///
/// ```
/// teaselglade_core::value_type! {
///     /// A price.
///     pub struct UnitPrice {
///         /// Price in euro cents.
///         pub cents: u32,
///     }
/// }
/// let price = UnitPrice { cents: 3 };
/// assert_eq!(price.clone(), price);
/// ```
#[macro_export]
macro_rules! value_type {
    ($(#[$meta:meta])* $vis:vis struct $($rest:tt)*) => {
        #[derive(Debug, Clone, PartialEq, ::serde::Serialize, ::serde::Deserialize)]
        $(#[$meta])*
        $vis struct $($rest)*
    };
    ($(#[$meta:meta])* $vis:vis enum $($rest:tt)*) => {
        #[derive(
            Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash,
            ::serde::Serialize, ::serde::Deserialize,
        )]
        #[serde(rename_all = "snake_case")]
        $(#[$meta])*
        $vis enum $($rest)*
    };
}
