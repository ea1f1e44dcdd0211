//! Body bytes that depend on the request they belong to.

use std::fmt::Write;

use sha2::{Digest, Sha256};

/// Deterministic byte sequence of one request; another request has another sequence.
#[derive(Clone, Debug)]
pub struct BodyPattern {
    seed: u64,
    offset: u64,
}

impl BodyPattern {
    /// Creates the sequence of the request with `run_id`.
    pub fn new(run_id: &str) -> Self {
        let digest = Sha256::digest(run_id.as_bytes());
        let mut seed = [0; 8];
        seed.copy_from_slice(&digest[..8]);
        Self { seed: u64::from_le_bytes(seed), offset: 0 }
    }

    /// Writes the next bytes of the sequence.
    pub fn fill(&mut self, mut output: &mut [u8]) {
        while !output.is_empty() {
            let word = mix(self.seed.wrapping_add(self.offset / 8)).to_le_bytes();
            let rest = &word[(self.offset % 8) as usize..];
            let count = rest.len().min(output.len());
            output[..count].copy_from_slice(&rest[..count]);
            self.offset += count as u64;
            output = &mut output[count..];
        }
    }

    /// Compares `input` with the next bytes of the sequence.
    pub fn matches(&mut self, input: &[u8]) -> bool {
        let mut expected = vec![0; input.len()];
        self.fill(&mut expected);
        expected == input
    }
}

/// Finalizer of the SplitMix64 generator.
fn mix(value: u64) -> u64 {
    let value = value.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}

/// Formats bytes as lower-case hexadecimal digits.
pub fn hex_text(bytes: &[u8]) -> String {
    let mut text = String::with_capacity(bytes.len() * 2);
    for byte in bytes {
        let _ = write!(text, "{byte:02x}");
    }
    text
}
