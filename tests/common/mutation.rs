//! Mutation of valid messages by seed, shared by the tests of malformed input.

/// Replaces, inserts, removes or repeats some bytes.
pub fn mutate(random: &mut fastrand::Rng, valid: &[u8]) -> Vec<u8> {
    let mut bytes = valid.to_vec();
    for _ in 0..random.usize(1..6) {
        let position = random.usize(..bytes.len());
        match random.u8(..4) {
            0 => bytes[position] = random.u8(..),
            1 => bytes.truncate(position.max(1)),
            2 => bytes.insert(position, random.u8(..)),
            _ => bytes.extend_from_within(position..),
        }
    }
    bytes
}
