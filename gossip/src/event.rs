//! Output of gossip: events for the log, received parts for other crates, counters and a snapshot.

use crate::datagram::DatagramFault;
use crate::incarnation::Incarnation;
use crate::observations::Observation;
use crate::outlier_vote::{Level, Verdict};
use plovercove::{Micros, NodeId};
use serde::Serialize;
use std::collections::BTreeMap;
use std::fmt;

/// Event of gossip, for the log.
#[derive(Clone, Debug, PartialEq)]
pub enum GossipEvent {
    /// A member is up.
    MemberUp(Incarnation),
    /// A member is down: it left, or does not answer.
    MemberDown(Incarnation),
    /// The number of members that are up changed.
    MemberCount {
        /// Number of members that are up, including this router.
        seen: usize,
        /// Expected number of routers, from the settings.
        expected: u32,
    },
    /// Two routers have the same name.
    DuplicateName(Incarnation, Incarnation),
    /// The other members considered this router down, and it rejoined with this identity.
    Rejoined(Incarnation),
    /// Another router, which started later, uses this one's address.
    AddressTaken,
    /// This router was stalled for this time.
    Stalled(Micros),
    /// Number of datagrams that were dropped for this reason since the last such event.
    Dropped(DatagramFault, u64),
    /// The verdict on a node changed.
    Verdict {
        /// Name of the node.
        node: NodeId,
        /// Level of the node before.
        previous: Level,
        /// New verdict.
        verdict: Verdict,
        /// Whether this router is one of those that send trial requests to the ejected node.
        runs_trials: bool,
        /// The reports of all observers about the node at that moment.
        reports: Vec<ObserverReport>,
    },
    /// This router publishes an observation of a node.
    Observed {
        /// Name of the node.
        node: NodeId,
        /// The observation.
        observation: Observation,
    },
}

/// Report of one observer about a node, with names instead of numbers.
#[derive(Clone, Debug, PartialEq)]
pub struct ObserverReport {
    /// Name of the observer.
    pub observer: String,
    /// Zone of the observer.
    pub zone: String,
    /// The observation.
    pub observation: Observation,
    /// Age of the report.
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

/// Received part that belongs to another crate.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReceivedPart {
    /// Sender of the part. The tag of the datagram proves only that the sender has the key, not its name.
    pub from: Incarnation,
    /// Kind of the part, one of [`payload_kind`](crate::payload_kind).
    pub kind: u8,
    /// Content of the part.
    pub body: Vec<u8>,
    /// Delay of the datagram compared with the fastest of its sender, or 0 if it does not count as late.
    pub late: Micros,
}

/// Counters since the start.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Counts {
    /// Number of datagrams and bytes sent.
    pub sent: (u64, u64),
    /// Number of valid datagrams received, and of their bytes.
    #[serde(rename = "came")]
    pub received: (u64, u64),
    /// Number of datagrams that were not sent because the budget was used up.
    #[serde(rename = "held_back")]
    pub over_budget: u64,
    /// Number of received datagrams that were dropped, by reason.
    pub dropped: BTreeMap<&'static str, u64>,
    /// Number of records of unknown kinds.
    #[serde(rename = "unknown")]
    pub unknown_records: u64,
    /// Number of late datagrams.
    pub late: u64,
    /// Number of invalid membership messages.
    #[serde(rename = "odd")]
    pub invalid_messages: u64,
}

/// Snapshot of a router's view of members and nodes, for the log.
#[derive(Clone, Debug, Serialize)]
pub struct Snapshot {
    /// Identity of this router.
    pub me: String,
    /// Number of members that are up, including this router.
    pub seen: usize,
    /// Expected number of routers.
    #[serde(rename = "should")]
    pub expected: u32,
    /// Names of the other members.
    pub members: Vec<String>,
    /// Number of stored records.
    pub records: usize,
    /// Nodes that are not fully in service, each with the label of its level and the age of the oldest evidence (ms).
    pub levels: Vec<(String, &'static str, u64)>,
    /// Counters since the start.
    pub counts: Counts,
}
