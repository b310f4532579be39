//! Size estimate and prefix hashes of a prompt.

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Number of bytes of prompt text counted as one token.
///
/// The node has no tokenizer. Memory is reserved from this estimate, so it must not exceed the
/// engines' own count; four bytes per token is typical of Latin text.
pub const BYTES_PER_TOKEN: usize = 4;

/// Bytes of prompt text in one block of the prefix cache (1024 tokens).
pub const BLOCK_BYTES: usize = 1024 * BYTES_PER_TOKEN;

/// Maximum number of blocks of a prompt that are hashed to find a cached prefix.
const MAX_BLOCKS: usize = 64;

/// Estimated number of tokens of a prompt, rounded up.
pub fn prompt_tokens(prompt: &str) -> u64 {
    prompt.len().div_ceil(BYTES_PER_TOKEN) as u64
}

/// Chained hashes of the prompt's leading blocks. Each covers the prefix up to the end of its
/// block, so equal hashes mean equal prefixes.
pub fn prefix_hashes(prompt: &str) -> Vec<u64> {
    let mut chain = 0;
    prompt
        .as_bytes()
        .chunks_exact(BLOCK_BYTES)
        .take(MAX_BLOCKS)
        .map(|block| {
            chain = xxh3_64_with_seed(block, chain);
            chain
        })
        .collect()
}

/// Hash of a whole prompt.
pub fn prompt_digest(prompt: &str) -> u64 {
    xxh3_64(prompt.as_bytes())
}
