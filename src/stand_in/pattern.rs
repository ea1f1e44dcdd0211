//! Response body contents that are unique to a request.

use std::fmt::Write;

use sha2::{Digest, Sha256};

/// Pseudo-random byte sequence, determined by the run id of a request.
#[derive(Clone, Debug)]
pub struct BodyPattern {
    seed: u64,
    offset: u64,
}

impl BodyPattern {
    /// Creates the byte sequence for `run_id`.
    pub fn new(run_id: &str) -> Self {
        let digest = Sha256::digest(run_id.as_bytes());
        let mut seed = [0; 8];
        seed.copy_from_slice(&digest[..8]);
        Self { seed: u64::from_le_bytes(seed), offset: 0 }
    }

    /// Fills `output` with the next bytes of the sequence.
    pub fn fill(&mut self, mut output: &mut [u8]) {
        while !output.is_empty() {
            let word = split_mix_64(self.seed.wrapping_add(self.offset / 8)).to_le_bytes();
            let remaining = &word[(self.offset % 8) as usize..];
            let count = remaining.len().min(output.len());
            output[..count].copy_from_slice(&remaining[..count]);
            self.offset += count as u64;
            output = &mut output[count..];
        }
    }

    /// Returns whether `input` equals the next bytes of the sequence.
    pub fn matches(&mut self, input: &[u8]) -> bool {
        let mut expected = vec![0; input.len()];
        self.fill(&mut expected);
        expected == input
    }
}

/// Computes one output of the SplitMix64 generator.
fn split_mix_64(value: u64) -> u64 {
    let value = value.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}

/// Formats bytes as lowercase hexadecimal digits.
pub fn hex_text(bytes: &[u8]) -> String {
    let mut text = String::with_capacity(bytes.len() * 2);
    for byte in bytes {
        let _ = write!(text, "{byte:02x}");
    }
    text
}
