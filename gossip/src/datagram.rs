//! Format of a datagram: a version, the installation, a body, and a tag that only a holder of the key can create.

use crate::error::{Error, MIN_KEY_BYTES};
use crate::incarnation::Incarnation;
use serde::{Deserialize, Serialize};

/// Maximum length of a datagram. It fits in one frame of all common networks, also within a tunnel.
pub const MAX_DATAGRAM_BYTES: usize = 1_200;
/// Version of the format. Newer versions add kinds of parts, which older ones skip.
const VERSION: u8 = 1;
/// Length of the header: the version and the short hash of the installation's name.
const HEADER_BYTES: usize = 5;
const TAG_BYTES: usize = 32;
/// Maximum number of parts of one datagram.
const MAX_PARTS: usize = 32;

/// Kinds of parts that gossip itself uses.
pub(crate) mod part_kind {
    /// Message of the membership protocol.
    pub const SWIM: u8 = 1;
    /// Records.
    pub const RECORDS: u8 = 2;
    /// Digest of the sender's records.
    pub const DIGEST: u8 = 3;
    /// Names of records that the sender requests.
    pub const WANTED_RECORDS: u8 = 4;
    /// Checksums of the members that the sender knows.
    pub const MEMBER_CHECKSUMS: u8 = 5;
    /// Members that the sender knows.
    pub const MEMBERS: u8 = 6;
}

/// Kinds of parts that belong to other crates. Received ones wait to be taken by [`crate::Gossip::next_received_part`].
pub mod payload_kind {
    /// Requests, votes and grants of leases.
    pub const LEASE: u8 = 16;
    /// Subscriptions, endpoint lists and events of the fanout.
    pub const FANOUT: u8 = 17;
    /// Queries to all routers, and the answers of gateways.
    pub const QUERY: u8 = 18;
    /// Range of the kinds that belong to other crates.
    pub const RANGE: std::ops::RangeInclusive<u8> = 16..=31;
}

/// Reason for which a received datagram is dropped.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, strum::IntoStaticStr, strum::VariantNames,
)]
pub enum DatagramFault {
    /// It comes from another installation, or is no datagram of a router at all.
    Foreign,
    /// It has an unsupported version.
    Version,
    /// Its tag is wrong: its sender has another key, or it was changed on the way.
    Tag,
    /// Its body cannot be decoded.
    Malformed,
    /// It was received before, or is too old to determine that.
    Replayed,
    /// It comes from an earlier incarnation of its sender.
    OldLife,
    /// Its sender is this router.
    Own,
    /// Its sender is unknown, and there are too many members already.
    TooMuch,
}

impl DatagramFault {
    /// Returns the label of the fault in logs.
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
    /// Returns what an operator can do about the fault.
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
    /// Kind of the part. Unknown kinds are skipped.
    pub kind: u8,
    /// Content of the part.
    pub body: Vec<u8>,
}

/// Body of a datagram.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Envelope {
    /// Sender of the datagram.
    pub from: Incarnation,
    /// Sequence number of the datagram within the sender's incarnation.
    pub seq: u64,
    /// Clock of the sender (ms since the start of its process). It is compared only with other values of the same sender.
    pub clock_ms: u64,
    /// Parts of the datagram.
    pub parts: Vec<Part>,
}

/// Keys of an installation.
#[derive(Clone)]
pub struct Keys {
    installation: [u8; 4],
    current: [u8; 32],
    /// Second key that is accepted while the key is being changed.
    additional: Option<[u8; 32]>,
}

impl Keys {
    /// Derives the keys of an installation from the content of its key files.
    ///
    /// # Errors
    /// Returns an error if a key is too short.
    pub fn new(
        installation: &str,
        current: &[u8],
        additional: Option<&[u8]>,
    ) -> Result<Self, Error> {
        let derive = |bytes: &[u8]| {
            if bytes.len() < MIN_KEY_BYTES {
                return Err(Error::ShortKey);
            }
            let context = format!("plovercove 2026-12 peers of {installation}");
            Ok(blake3::derive_key(&context, bytes))
        };
        let mut installation_hash = [0; 4];
        installation_hash.copy_from_slice(&blake3::hash(installation.as_bytes()).as_bytes()[..4]);
        Ok(Keys {
            installation: installation_hash,
            current: derive(current)?,
            additional: additional.map(derive).transpose()?,
        })
    }

    /// Encodes and signs a datagram, or returns `None` if it would be too long.
    pub fn seal(&self, envelope: &Envelope) -> Option<Vec<u8>> {
        let mut out = vec![VERSION];
        out.extend_from_slice(&self.installation);
        let mut out = postcard::to_extend(envelope, out).ok()?;
        let tag = blake3::keyed_hash(&self.current, &out);
        out.extend_from_slice(tag.as_bytes());
        (out.len() <= MAX_DATAGRAM_BYTES).then_some(out)
    }

    /// Returns how many bytes the parts of a datagram of this sender may have.
    pub fn max_parts_bytes(from: &Incarnation) -> usize {
        // The subtracted bounds are, in this order: the header, the tag, the sender (address, start, renewals, and both names
        // with their lengths), the sequence number, the clock, and the number of parts. A number takes at most ten bytes.
        MAX_DATAGRAM_BYTES
            - HEADER_BYTES
            - TAG_BYTES
            - (19 + 10 + 5 + from.name.len() + from.zone.len() + 4)
            - 10
            - 10
            - 2
    }

    /// Verifies and decodes a datagram. `check_tag` is false only in tests that switch off the guard of the tag.
    ///
    /// # Errors
    /// Returns the reason for which the datagram has to be dropped.
    pub fn open(&self, bytes: &[u8], check_tag: bool) -> Result<Envelope, DatagramFault> {
        if bytes.len() < HEADER_BYTES + TAG_BYTES
            || bytes.len() > MAX_DATAGRAM_BYTES
            || bytes[1..HEADER_BYTES] != self.installation
        {
            return Err(DatagramFault::Foreign);
        }
        if bytes[0] != VERSION {
            return Err(DatagramFault::Version);
        }
        let (signed, tag) = bytes.split_at(bytes.len() - TAG_BYTES);
        let mut received = [0; TAG_BYTES];
        received.copy_from_slice(tag);
        let received = blake3::Hash::from_bytes(received);
        // The comparison of hashes takes constant time, so that its duration reveals nothing about them.
        let matches = |key: &[u8; 32]| blake3::keyed_hash(key, signed) == received;
        if check_tag && !matches(&self.current) && !self.additional.as_ref().is_some_and(matches) {
            return Err(DatagramFault::Tag);
        }
        let envelope: Envelope =
            postcard::from_bytes(&signed[HEADER_BYTES..]).map_err(|_| DatagramFault::Malformed)?;
        if envelope.parts.len() > MAX_PARTS || !envelope.from.has_valid_names() {
            return Err(DatagramFault::Malformed);
        }
        Ok(envelope)
    }
}

#[cfg(test)]
mod tests;
