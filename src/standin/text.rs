//! Completions of the engine stand-in, a pure function of prompt and version.

use std::hash::{DefaultHasher, Hash, Hasher};

use crate::unit::Target;

/// Tokens that completions are made of.
const WORDS: [&str; 12] = [
    "roast ", "seat ", "green ", "batch ", "order ", "parent ", "bag ", "place ", "cool ",
    "start ", "note ", "ship ",
];

/// Token that marks a poor completion, for the rating stand-in.
pub const POOR: &str = "perhaps ";

/// Length of the shortest completion, in tokens.
const MIN_TOKENS: u32 = 4;

/// A complete answer of a model.
#[derive(Clone, Debug)]
pub struct Completion {
    /// Text of the answer, one string per token.
    pub tokens: Vec<&'static str>,
    /// True if the rating service is to reject it.
    pub is_poor: bool,
    /// Confidence that the engine reports, 0 to 1; on average lower for poor answers.
    pub confidence: f64,
}

/// Hashes to a number from 0 to below 1.
fn unit_hash(seed: u64, salt: u64) -> f64 {
    let mut hasher = DefaultHasher::new();
    (seed, salt).hash(&mut hasher);
    (hasher.finish() >> 11) as f64 / (1u64 << 53) as f64
}

/// Returns the answer of `target` to `prompt`, of at most `longest` tokens but no fewer than four.
///
/// A share `quality` of all prompts gets a good answer.
pub fn complete(prompt: &str, target: &Target, quality: f64, longest: u32) -> Completion {
    let mut hasher = DefaultHasher::new();
    prompt.hash(&mut hasher);
    target.hash(&mut hasher);
    let seed = hasher.finish();
    let is_poor = unit_hash(seed, 1) >= quality;
    let length = MIN_TOKENS.max((f64::from(longest) * (0.5 + 0.5 * unit_hash(seed, 2))) as u32);
    let word = |i: u32| WORDS[(unit_hash(seed, 3 + u64::from(i)) * WORDS.len() as f64) as usize];
    let mut tokens: Vec<&'static str> = (0..length).map(word).collect();
    if is_poor {
        tokens[(length / 2) as usize] = POOR;
    }
    let spread = unit_hash(seed, 0);
    let confidence = if is_poor { spread * spread * 0.9 } else { 1.0 - spread * spread * 0.6 };
    Completion { tokens, is_poor, confidence }
}

/// Returns the digest of a text that is recorded in histories, 16 hex digits.
pub fn digest(text: &str) -> String {
    crate::config::digest(text.as_bytes())[..16].to_owned()
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn an_answer_is_the_same_wherever_it_is_made() {
        let target: Target = "m@v1".parse().unwrap();
        let one = complete("hello", &target, 0.9, 50);
        let two = complete("hello", &target, 0.9, 50);
        assert_eq!(one.tokens, two.tokens);
        assert!(one.tokens.len() >= 25);
    }

    #[test]
    fn poor_answers_come_as_often_as_the_quality_says() {
        let target: Target = "m@v1".parse().unwrap();
        let poor = (0..2000).filter(|i| complete(&i.to_string(), &target, 0.9, 8).is_poor).count();
        assert!((150..250).contains(&poor), "{poor}");
    }
}
