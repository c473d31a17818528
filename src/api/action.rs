//! What the decisions ask of the router, to be carried out in the order given.

use super::{Micros, NodeId, RequestId};

/// What the module asks of the router.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start an attempt.
    Send {
        /// The request.
        request: RequestId,
        /// The node.
        node: NodeId,
        /// Stop waiting after this long.
        timeout: Micros,
    },
    /// Stop waiting for an attempt.
    Cancel {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: u32,
    },
    /// Final answer: refused; trying again is harmless.
    Reject {
        /// The request.
        request: RequestId,
        /// When to come back.
        retry_after: Option<Micros>,
    },
    /// Final answer: failed; nothing is promised.
    Fail {
        /// The request.
        request: RequestId,
    },
    /// Wake the module after this long.
    Wake(Micros),
    /// Ask a node for its report.
    HealthCheck(NodeId),
    /// Close this router's idle connections to a node.
    CloseIdle(NodeId),
    /// Subscribe to list changes.
    Subscribe,
    /// A line for the log.
    Log(LogEvent),
}

/// What a line of the log says, and of whom.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LogEvent {
    /// The node, where it is of one.
    pub node: Option<NodeId>,
    /// The zone, where it is of one.
    pub zone: Option<String>,
    /// What came about, in a word or two that programs can look for.
    pub reason: &'static str,
    /// The line for people.
    pub text: String,
}

impl LogEvent {
    /// The reason of a node's ejection by outlier detection.
    pub const EJECTED: &'static str = "ejected";
    /// The reason of an ejected node's return.
    pub const ANSWERS_AGAIN: &'static str = "answers again";
    /// The reason of a change of a group's primary.
    pub const PRIMARY: &'static str = "primary";

    /// What came about at a node.
    pub fn for_node(node: &NodeId, reason: &'static str, text: String) -> Self {
        LogEvent {
            node: Some(node.clone()),
            reason,
            text,
            ..LogEvent::default()
        }
    }

    /// What came about in a zone.
    pub fn for_zone(zone: &str, reason: &'static str, what: &str) -> Self {
        LogEvent {
            zone: Some(zone.into()),
            reason,
            text: format!("zone {zone}: {what}"),
            ..LogEvent::default()
        }
    }
}
