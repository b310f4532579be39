//! Generates prompts of a given length.

use azuresaddle_core::prompt::BYTES_PER_TOKEN;

/// Text that prompts are filled with.
const FILLER: &str =
    "the flat on the second floor has an old meter and a slow leak in the kitchen. ";

/// Makes a prompt of `tokens` tokens. Equal seeds give equal prompts; different seeds give
/// prompts that differ within the first bytes.
pub fn make_prompt(tokens: u64, seed: u64) -> String {
    let bytes = tokens as usize * BYTES_PER_TOKEN;
    let mut prompt = format!("{seed:016x} ");
    prompt.reserve(bytes);
    while prompt.len() < bytes {
        prompt.push_str(FILLER);
    }
    prompt.truncate(bytes.max(1));
    prompt
}
