//! Entry point of the `curranthollow` binary.

fn main() {}
