//! Deterministic tokens that engines generate.

use std::collections::hash_map::DefaultHasher;
use std::hash::{Hash, Hasher};

/// Returns the token at `index` of the response to `prompt`.
///
/// All engines generate the same tokens, so a response can continue at another engine.
///
/// # Examples
///
/// ```
/// use teaselglade_standins::engine::token_text;
///
/// assert_eq!(token_text("a ring", 3), token_text("a ring", 3));
/// assert_ne!(token_text("a ring", 3), token_text("a chain", 3));
/// ```
#[must_use]
pub fn token_text(prompt: &str, index: u32) -> String {
    let mut hasher = DefaultHasher::new();
    (prompt, index).hash(&mut hasher);
    format!("w{:06x} ", hasher.finish() & 0xff_ffff)
}

/// Returns the complete response of `tokens` tokens to `prompt`.
#[must_use]
pub fn response_text(prompt: &str, tokens: u32) -> String {
    (0..tokens).map(|index| token_text(prompt, index)).collect()
}
