//! What a datagram is made of: a version, the installation, a body and a tag that only holders of the key can make.

use crate::error::{Error, LEAST_KEY};
use crate::incarnation::Incarnation;
use serde::{Deserialize, Serialize};

/// No datagram is longer: it fits in one frame of every usual network, whatever tunnels it.
pub const MAX_DATAGRAM_BYTES: usize = 1_200;
/// The version of the frame. What a newer version adds comes as further kinds of parts, which are skipped.
const VERSION: u8 = 1;
const HEAD: usize = 5;
const TAG: usize = 32;
/// Parts of one datagram.
const PARTS: usize = 32;

/// Kinds of parts.
pub(crate) mod kind {
    pub const SWIM: u8 = 1;
    pub const RECORDS: u8 = 2;
    pub const DIGEST: u8 = 3;
    pub const WANT: u8 = 4;
    pub const ROLL: u8 = 5;
    pub const MEMBERS: u8 = 6;
}

/// Kinds of parts that belong to other crates: what came of them is kept for whoever asks ([`crate::Gossip::next_received_part`]).
pub mod payload_kind {
    /// Requests, votes and grants of duties.
    pub const LEASE: u8 = 16;
    /// Subscriptions, lists and news.
    pub const FANOUT: u8 = 17;
    /// Questions to the fleet and what gateways answer.
    pub const QUERY: u8 = 18;
    /// The least and greatest of them.
    pub const RANGE: std::ops::RangeInclusive<u8> = 16..=31;
}

/// Why a datagram is dropped.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, strum::IntoStaticStr, strum::VariantNames,
)]
pub enum DatagramFault {
    /// It is of another installation, or no datagram of routers at all.
    Foreign,
    /// It is of a version that is not spoken.
    Version,
    /// It was not made by a holder of the key, or was changed on its way.
    Tag,
    /// Its body is none.
    Malformed,
    /// It has been here before, or is so old that nobody can tell.
    Replayed,
    /// Its sender's life has ended.
    OldLife,
    /// Its sender is this router.
    Own,
    /// It brings more than may be held.
    TooMuch,
}

impl DatagramFault {
    /// In a word, for logs.
    pub fn label(self) -> &'static str {
        match self {
            DatagramFault::Foreign => "foreign",
            DatagramFault::Version => "version",
            DatagramFault::Tag => "tag",
            DatagramFault::Malformed => "malformed",
            DatagramFault::Replayed => "replayed",
            DatagramFault::OldLife => "old life",
            DatagramFault::Own => "own",
            DatagramFault::TooMuch => "too much",
        }
    }
}

impl DatagramFault {
    /// What an operator can do.
    pub fn help(self) -> &'static str {
        match self {
            DatagramFault::Foreign => {
                "see who sends here: another installation, or something that is no router; the port is for routers alone"
            }
            DatagramFault::Version => {
                "routers of a newer version are about; finish the update, and the count stops"
            }
            DatagramFault::Tag => {
                "give all routers the same key file; while the key changes, also_key_file holds the other one"
            }
            DatagramFault::Malformed => {
                "nobody can act on this one: send in both routers' versions and the log line"
            }
            DatagramFault::Replayed => {
                "a few are the network's doing; many mean that somebody records datagrams and sends them again"
            }
            DatagramFault::OldLife => {
                "nothing while a router restarts; if it goes on, two processes have one name or address"
            }
            DatagramFault::Own => {
                "take this router's own address out of seeds, and see that advertise is not another's"
            }
            DatagramFault::TooMuch => {
                "more routers talk than rules allow for: see that routers of other installations are kept apart"
            }
        }
    }
}

/// One part of a datagram.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Part {
    /// What it is; unknown kinds are skipped.
    pub kind: u8,
    /// Its content.
    pub body: Vec<u8>,
}

/// A datagram's body.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Envelope {
    /// Who sent it.
    pub from: Incarnation,
    /// Counts this life's datagrams.
    pub seq: u64,
    /// The sender's own clock (ms since the start of its process), compared only with others from it.
    pub clock_ms: u64,
    /// What it brings.
    pub parts: Vec<Part>,
}

/// The keys of an installation.
#[derive(Clone)]
pub struct Keys {
    installation: [u8; 4],
    ours: [u8; 32],
    /// Taken as well while the key is being changed.
    also: Option<[u8; 32]>,
}

impl Keys {
    /// The keys made of the content of key files.
    ///
    /// # Errors
    /// A key is too short.
    pub fn new(installation: &str, ours: &[u8], also: Option<&[u8]>) -> Result<Self, Error> {
        let key = |bytes: &[u8]| {
            if bytes.len() < LEAST_KEY {
                return Err(Error::ShortKey);
            }
            let context = format!("plovercove 2026-12 peers of {installation}");
            Ok(blake3::derive_key(&context, bytes))
        };
        let mut short = [0; 4];
        short.copy_from_slice(&blake3::hash(installation.as_bytes()).as_bytes()[..4]);
        Ok(Keys {
            installation: short,
            ours: key(ours)?,
            also: also.map(key).transpose()?,
        })
    }

    /// Makes a datagram; none where it would be too long.
    pub fn seal(&self, envelope: &Envelope) -> Option<Vec<u8>> {
        let mut out = vec![VERSION];
        out.extend_from_slice(&self.installation);
        let mut out = postcard::to_extend(envelope, out).ok()?;
        let tag = blake3::keyed_hash(&self.ours, &out);
        out.extend_from_slice(tag.as_bytes());
        (out.len() <= MAX_DATAGRAM_BYTES).then_some(out)
    }

    /// How much room parts have in a datagram of this life.
    pub fn room(from: &Incarnation) -> usize {
        // Numbers and lengths take ten bytes each at the most.
        MAX_DATAGRAM_BYTES
            - HEAD
            - TAG
            - (19 + 10 + 5 + from.name.len() + from.zone.len() + 4)
            - 10
            - 10
            - 2
    }

    /// Opens a datagram.
    ///
    /// # Errors
    /// Why it must be dropped.
    pub fn open(&self, bytes: &[u8], check: bool) -> Result<Envelope, DatagramFault> {
        if bytes.len() < HEAD + TAG
            || bytes.len() > MAX_DATAGRAM_BYTES
            || bytes[1..HEAD] != self.installation
        {
            return Err(DatagramFault::Foreign);
        }
        if bytes[0] != VERSION {
            return Err(DatagramFault::Version);
        }
        let (signed, tag) = bytes.split_at(bytes.len() - TAG);
        let mut told = [0; TAG];
        told.copy_from_slice(tag);
        let told = blake3::Hash::from_bytes(told);
        // Hashes are compared in a time that tells nothing of them.
        let good = |key: &[u8; 32]| blake3::keyed_hash(key, signed) == told;
        if check && !good(&self.ours) && !self.also.as_ref().is_some_and(good) {
            return Err(DatagramFault::Tag);
        }
        let envelope: Envelope =
            postcard::from_bytes(&signed[HEAD..]).map_err(|_| DatagramFault::Malformed)?;
        if envelope.parts.len() > PARTS || !envelope.from.fits() {
            return Err(DatagramFault::Malformed);
        }
        Ok(envelope)
    }
}

#[cfg(test)]
mod tests;
