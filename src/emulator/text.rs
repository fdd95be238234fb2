//! Deterministic answers, and the division of prompts into tokens and blocks.

use xxhash_rust::xxh3;

/// Number of prompt bytes that count as one token.
const TOKEN_BYTES: usize = 4;
/// Number of prompt tokens in one block of the prefix cache.
pub const BLOCK_TOKENS: usize = 16;

/// Syllables of answers. Some are not ASCII, to detect code that splits within a character.
const SYLLABLES: [&str; 16] = [
    "ba", "sil", "fi", "eld", "nyɛ", "kɔ", "te", "ma", "osu", "lo", "ri", "gɔ", "na", "wa", "ku",
    "sé",
];

/// Returns the seed that determines the answer to `prompt` by `model`.
pub fn seed(model: &str, prompt: &str) -> u64 {
    xxh3::xxh3_64_with_seed(prompt.as_bytes(), xxh3::xxh3_64(model.as_bytes()))
}

/// Returns the token at `position` of the answer with `seed`. It starts with a space.
pub fn token(seed: u64, position: u32) -> String {
    let hash = xxh3::xxh3_64_with_seed(&position.to_le_bytes(), seed);
    let syllable = |shift: u32| SYLLABLES[(hash >> shift) as usize % SYLLABLES.len()];
    format!(" {}{}", syllable(0), syllable(8))
}

/// Returns the first `tokens` tokens of the answer to `prompt` by `model`.
pub fn answer(model: &str, prompt: &str, tokens: u32) -> String {
    let seed = seed(model, prompt);
    (0..tokens).map(|position| token(seed, position)).collect()
}

/// Returns the prompt for the messages of a chat, given as pairs of role and content.
pub fn chat_prompt<'a>(messages: impl IntoIterator<Item = (&'a str, &'a str)>) -> String {
    messages.into_iter().map(|(role, content)| format!("{role}: {content}\n")).collect()
}

/// Returns the number of tokens in a prompt.
pub fn prompt_tokens(prompt: &str) -> u32 {
    u32::try_from(prompt.len().div_ceil(TOKEN_BYTES)).unwrap_or(u32::MAX)
}

/// Returns a hash for each complete block of a prompt. Each hash covers the model and the prompt up
/// to the block's end.
pub fn blocks(model: &str, prompt: &str) -> Vec<u64> {
    let mut hash = xxh3::xxh3_64(model.as_bytes());
    let chunks = prompt.as_bytes().chunks_exact(BLOCK_TOKENS * TOKEN_BYTES);
    chunks
        .map(|chunk| {
            hash = xxh3::xxh3_64_with_seed(chunk, hash);
            hash
        })
        .collect()
}
