//! Routers that know each other. Who is there ([`Life`], by SWIM with suspicion), what each saw of the db nodes (records
//! that are gossiped and repaired), and what follows for all ([`judge`], a pure function of fresh records).
//!
//! Nothing here does I/O or reads a clock: the router's loop, the model's virtual time and the tests hand in datagrams
//! and the time, and take datagrams, levels and news out. Without a `peers` block none of it exists.

mod error;
mod ledger;
mod life;
mod members;
mod peers;
mod records;
mod replay;
mod rules;
mod verdict;
mod wire;
mod witness;

pub use error::Error;
pub use ledger::{Ledger, Others, Seen};
pub use life::Life;
pub use peers::{Arrived, Belief, Counts, Datagram, News, Peers};
pub use records::{Record, Store};
pub use replay::Replays;
pub use rules::{Guard, Rules};
pub use verdict::{Level, Opinion, Subject, Verdict, judge};
pub use wire::{Envelope, Fault, Keys, MOST, Part, carried};
pub use witness::Witness;

/// Milliseconds as the module's spans.
fn ms(ms: u64) -> plovercove::Micros {
    ms * 1_000
}

/// An even draw in 0 to 1 that all routers make alike for the same words.
fn draw(words: &[&[u8]]) -> u64 {
    let mut hasher = blake3::Hasher::new();
    for word in words {
        hasher.update(&(word.len() as u64).to_le_bytes());
        hasher.update(word);
    }
    let mut first = [0; 8];
    first.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
    u64::from_le_bytes(first)
}
