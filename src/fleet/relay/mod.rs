//! Long bodies on their way through an entry: pace on the line, memory, and how long relays take.

pub mod held_bytes;
pub mod line;
pub mod times;
