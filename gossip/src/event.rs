//! What a router's gossip tells its surroundings: events for the log, parts for other crates, counts and a snapshot.

use crate::datagram::DatagramFault;
use crate::incarnation::Incarnation;
use crate::observations::Observation;
use crate::outlier_vote::{Level, Verdict};
use plovercove::{Micros, NodeId};
use serde::Serialize;
use std::collections::BTreeMap;
use std::fmt;

/// What came about, for the log.
#[derive(Clone, Debug, PartialEq)]
pub enum GossipEvent {
    /// A router is there.
    MemberUp(Incarnation),
    /// A router is gone: it left, or says nothing.
    MemberDown(Incarnation),
    /// How many are there, this one among them, of how many there should be.
    MemberCount {
        /// Seen.
        seen: usize,
        /// By the settings.
        expected: u32,
    },
    /// Two routers have one name.
    DuplicateName(Incarnation, Incarnation),
    /// The others took this router for gone.
    Rejoined(Incarnation),
    /// Another router holds this one's address.
    AddressTaken,
    /// This router stood still for so long.
    Stalled(Micros),
    /// Datagrams that were dropped since this was told last.
    Dropped(DatagramFault, u64),
    /// The verdict on a node changed.
    Verdict {
        /// The node.
        node: NodeId,
        /// What was held of it.
        previous: Level,
        /// What is.
        verdict: Verdict,
        /// Whether this router tries it for all.
        runs_trials: bool,
        /// What was said of the node at that moment.
        reports: Vec<ObserverReport>,
    },
    /// This router tells the others what it saw of a node.
    Observed {
        /// The node.
        node: NodeId,
        /// What it saw.
        observation: Observation,
    },
}

/// What one router says of a node, with the names that operators know.
#[derive(Clone, Debug, PartialEq)]
pub struct ObserverReport {
    /// Who says it.
    pub observer: String,
    /// The zone it stands in.
    pub zone: String,
    /// What it saw.
    pub observation: Observation,
    /// How long ago it said so.
    pub age: Micros,
}

impl fmt::Display for ObserverReport {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        let ObserverReport {
            observer,
            zone,
            observation,
            age,
        } = self;
        write!(
            out,
            "{observer} of zone {zone}, {} ms ago: {observation}",
            age / 1_000
        )
    }
}

/// A part that came for another crate.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReceivedPart {
    /// Who sent it; the tag vouches for a holder of the key, not for the name.
    pub from: Incarnation,
    /// What it is, of [`payload_kind`](crate::payload_kind).
    pub kind: u8,
    /// Its content.
    pub body: Vec<u8>,
    /// How much longer it was under way than the fastest datagram of its sender, where that is worth counting.
    pub late: Micros,
}

/// What was counted since the start.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Counts {
    /// Datagrams and bytes sent.
    pub sent: (u64, u64),
    /// Datagrams and bytes that came and were good.
    #[serde(rename = "came")]
    pub received: (u64, u64),
    /// Datagrams that the budget kept from being sent.
    #[serde(rename = "held_back")]
    pub over_budget: u64,
    /// Datagrams that were dropped, by reason.
    pub dropped: BTreeMap<&'static str, u64>,
    /// Records of kinds that are not known.
    #[serde(rename = "unknown")]
    pub unknown_records: u64,
    /// Datagrams that were long under way.
    pub late: u64,
    /// Messages of membership that made no sense.
    #[serde(rename = "odd")]
    pub invalid_messages: u64,
}

/// What a router believes, for people.
#[derive(Clone, Debug, Serialize)]
pub struct Snapshot {
    /// This router.
    pub me: String,
    /// Routers that are seen, this one among them.
    pub seen: usize,
    /// Routers that there should be.
    #[serde(rename = "should")]
    pub expected: u32,
    /// Their names.
    pub members: Vec<String>,
    /// Records held.
    pub records: usize,
    /// Nodes that are not in, with level and the age of the evidence (ms).
    pub levels: Vec<(String, &'static str, u64)>,
    /// What was counted.
    pub counts: Counts,
}
