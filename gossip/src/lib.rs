//! Gossip between routers: membership, observations of database nodes, and verdicts on them.
//!
//! Membership is SWIM with suspicion; a member is an [`Incarnation`]. Each router publishes its observations of the database
//! nodes as records, which are gossiped and repaired. All routers derive the same verdicts from them
//! ([`decide_verdicts`], a pure function of the fresh records).
//!
//! The crate does no I/O and reads no clock. The event loop of the router, the simulation and the tests pass in datagrams
//! and the time, and take datagrams, verdicts and events out. A router without a `peers` block in its settings does not use
//! this crate.

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

/// Converts milliseconds to microseconds.
fn ms_to_us(ms: u64) -> plovercove::Micros {
    ms * 1_000
}

/// Returns a uniform pseudo-random number that every router derives equally from the same words.
fn shared_draw(words: &[&[u8]]) -> u64 {
    let mut hasher = blake3::Hasher::new();
    for word in words {
        hasher.update(&(word.len() as u64).to_le_bytes());
        hasher.update(word);
    }
    let mut first = [0; 8];
    first.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
    u64::from_le_bytes(first)
}
