//! Random numbers and hashes that depend on the seed and the settings alone.

/// A pseudo-random number generator (xorshift*).
#[derive(Debug)]
pub(crate) struct Random {
    state: u64,
}

impl Random {
    /// Creates a generator. Seeds that differ only in the lowest bit give the same sequence.
    pub(crate) fn new(seed: u64) -> Self {
        Random { state: seed | 1 }
    }

    /// Returns the next number, over the whole range.
    pub(crate) fn next(&mut self) -> u64 {
        self.state ^= self.state << 13;
        self.state ^= self.state >> 7;
        self.state ^= self.state << 17;
        self.state.wrapping_mul(0x2545_f491_4f6c_dd1d)
    }

    /// Returns the next number, at least 0 and less than 1.
    pub(crate) fn next_unit(&mut self) -> f64 {
        (self.next() >> 11) as f64 / (1u64 << 53) as f64
    }
}

/// Hashes a name with a salt, to order names differently for each salt (FNV-1a, then mixed).
pub(crate) fn salted_hash(name: &str, salt: u32) -> u64 {
    let step = |hash: u64, byte: u8| (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
    let bytes = salt.to_le_bytes().into_iter().chain(name.bytes());
    let hash = bytes.fold(0xcbf2_9ce4_8422_2325, step);
    (hash ^ (hash >> 32)).wrapping_mul(0x9e37_79b9_7f4a_7c15)
}
