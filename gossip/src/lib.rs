//! Routers that know each other. Who is there ([`Incarnation`], by SWIM with suspicion), what each saw of the db nodes (records
//! that are gossiped and repaired), and what follows for all ([`decide_verdicts`], a pure function of fresh records).
//!
//! Nothing here does I/O or reads a clock: the router's loop, the model's virtual time and the tests hand in datagrams
//! and the time, and take datagrams, levels and news out. Without a `peers` block none of it exists.

mod budget;
mod datagram;
mod error;
mod event;
mod gossip;
mod incarnation;
mod members;
mod observations;
mod observer;
mod outlier_vote;
mod reach;
mod records;
mod replay;
mod review;
mod rules;

pub use datagram::{DatagramFault, Envelope, Keys, MAX_DATAGRAM_BYTES, Part, payload_kind};
pub use error::Error;
pub use event::{Counts, GossipEvent, ObserverReport, ReceivedPart, Snapshot};
pub use gossip::{Datagram, Gossip};
pub use incarnation::Incarnation;
pub use observations::{Observation, Observations, PeerEvidence};
pub use observer::Observer;
pub use outlier_vote::{Level, Opinion, Subject, Verdict, decide_verdicts};
pub use records::{Record, RecordStore};
pub use replay::ReplayGuard;
pub use rules::{Guard, Rules};

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
