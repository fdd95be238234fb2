//! Deterministic text: tokens of an answer, prompt tokens and their blocks.

use xxhash_rust::xxh3;

/// Bytes of a prompt that count as one token.
const TOKEN_BYTES: usize = 4;
/// Prompt tokens that the prefix cache handles as a unit.
pub const BLOCK_TOKENS: usize = 16;

/// Syllables of answers. Some exceed ASCII, so that a split within a character is noticed.
const SYLLABLES: [&str; 16] = [
    "ba", "sil", "fi", "eld", "nyɛ", "kɔ", "te", "ma", "osu", "lo", "ri", "gɔ", "na", "wa", "ku",
    "sé",
];

/// Seed of every answer to `prompt` by `model`.
pub fn seed(model: &str, prompt: &str) -> u64 {
    xxh3::xxh3_64_with_seed(prompt.as_bytes(), xxh3::xxh3_64(model.as_bytes()))
}

/// Token number `position` of the answer with `seed`. Starts with a space.
pub fn token(seed: u64, position: u32) -> String {
    let hash = xxh3::xxh3_64_with_seed(&position.to_le_bytes(), seed);
    let syllable = |shift: u32| SYLLABLES[(hash >> shift) as usize % SYLLABLES.len()];
    format!(" {}{}", syllable(0), syllable(8))
}

/// The whole answer of `tokens` tokens to `prompt` by `model`.
pub fn answer(model: &str, prompt: &str, tokens: u32) -> String {
    let seed = seed(model, prompt);
    (0..tokens).map(|position| token(seed, position)).collect()
}

/// Prompt that corresponds to the messages of a chat, as pairs of role and content.
pub fn chat_prompt<'a>(messages: impl IntoIterator<Item = (&'a str, &'a str)>) -> String {
    messages.into_iter().map(|(role, content)| format!("{role}: {content}\n")).collect()
}

/// Number of tokens of a prompt.
pub fn prompt_tokens(prompt: &str) -> u32 {
    u32::try_from(prompt.len().div_ceil(TOKEN_BYTES)).unwrap_or(u32::MAX)
}

/// Hashes of the complete blocks of a prompt; each covers the prompt from its start.
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
