//! Token counts and prefix parts of a prompt whose text stays opaque.

/// Prompt tokens that an engine prefills in the part of its time that one output token takes.
///
/// Such as a step of 4 ms, shared by 50 requests, at 100 prompt tokens a millisecond.
const OUTPUT_TOKEN_WORK: f64 = 8.0;
const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0100_0000_01b3;

teaselglade_core::value_type! {
    /// One prefix part of a prompt.
    #[derive(Copy)]
    pub struct PromptPart {
        /// Id of this part, whatever parts are before it.
        pub id: u64,
        /// Hash over the ids of this part and of all parts before it.
        #[serde(rename = "chain")]
        pub prefix_hash: u64,
        /// Number of tokens in this part.
        pub tokens: u32,
    }
}

teaselglade_core::value_type! {
    /// Token counts and prefix parts of a prompt whose text stays opaque.
    #[derive(Default)]
    pub struct PromptShape {
        /// Number of tokens in the prompt.
        pub prompt_tokens: u32,
        /// Maximum number of tokens in the response.
        pub output_tokens: u32,
        /// Prefix parts in order. The last one is specific to the request or its session.
        pub parts: Vec<PromptPart>,
    }
}

impl PromptShape {
    /// Creates a shape from token counts and the parts' ids and token counts.
    ///
    /// # Examples
    ///
    /// ```
    /// use teaselglade_routing::engine::PromptShape;
    ///
    /// let one = PromptShape::new(1_460, 80, [(7, 800), (8, 660)]);
    /// let other = PromptShape::new(1_500, 80, [(7, 800), (9, 700)]);
    /// assert_eq!(one.parts[0], other.parts[0]);
    /// assert_ne!(one.parts[1].prefix_hash, other.parts[1].prefix_hash);
    /// ```
    #[must_use]
    pub fn new(
        prompt_tokens: u32,
        output_tokens: u32,
        parts: impl IntoIterator<Item = (u64, u32)>,
    ) -> Self {
        let mut prefix_hash = FNV_OFFSET;
        let parts = parts.into_iter().map(|(id, tokens)| {
            for byte in id.to_le_bytes() {
                prefix_hash = (prefix_hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME);
            }
            PromptPart {
                id,
                prefix_hash,
                tokens,
            }
        });
        Self {
            prompt_tokens,
            output_tokens,
            parts: parts.collect(),
        }
    }

    /// Returns the number of tokens that other prompts share: all parts but the last.
    ///
    /// A prompt with a single part shares it.
    #[must_use]
    pub fn shared_tokens(&self) -> u32 {
        let shared = self.parts.len().saturating_sub(1).max(1);
        self.parts.iter().take(shared).map(|part| part.tokens).sum()
    }

    /// Returns the work that the prompt asks of an engine, in prompt tokens.
    ///
    /// Parts that other prompts share count as cached. Output tokens count by the slot time that they
    /// take, so that all hosts use the same unit.
    ///
    /// # Examples
    ///
    /// ```
    /// use teaselglade_routing::engine::PromptShape;
    ///
    /// let prompt = PromptShape::new(17_000, 100, [(7, 13_000), (8, 4_000)]);
    /// assert_eq!(prompt.work(), 4_000.0 + 800.0);
    /// ```
    #[must_use]
    pub fn work(&self) -> f64 {
        let shared = if self.parts.len() > 1 {
            self.shared_tokens()
        } else {
            0
        };
        let own_tokens = self.prompt_tokens.saturating_sub(shared);
        f64::from(own_tokens) + f64::from(self.output_tokens) * OUTPUT_TOKEN_WORK
    }

    /// Returns the ids of the parts that other prompts may share: all but the last.
    pub fn shared_ids(&self) -> impl Iterator<Item = u64> {
        let shared = self.parts.len().saturating_sub(1);
        self.parts.iter().take(shared).map(|part| part.id)
    }

    /// Returns the sum of prompt tokens and output tokens.
    #[must_use]
    pub const fn total_tokens(&self) -> u32 {
        self.prompt_tokens.saturating_add(self.output_tokens)
    }
}
