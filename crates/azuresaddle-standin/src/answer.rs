//! Answers derived from their prompts, so that a caller can verify that it received its own.

use azuresaddle_core::prompt::prompt_digest;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Minimum length of an answer in tokens, unless the request's limit is lower.
const MIN_TOKENS: u64 = 8;

/// The answer to one prompt, the same from every stand-in engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Answer {
    digest: u64,
    tokens: u64,
}

impl Answer {
    /// The answer to a prompt, at most `max_tokens` long.
    pub fn new(prompt: &str, max_tokens: u64) -> Self {
        let digest = prompt_digest(prompt);
        let span = max_tokens.saturating_sub(MIN_TOKENS) + 1;
        let tokens = (MIN_TOKENS + digest % span).min(max_tokens);
        Self { digest, tokens }
    }

    /// Digest of the prompt.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// Number of tokens.
    pub fn tokens(&self) -> u64 {
        self.tokens
    }

    /// Text of one token.
    pub fn token(&self, index: u64) -> String {
        let hash = xxh3_64_with_seed(&index.to_le_bytes(), self.digest);
        format!("{:06x} ", hash & 0xff_ffff)
    }
}
