//! The actions that the decisions request from the router, to be carried out in the order given.

use super::{Micros, NodeId, RequestId};

/// An action that the decisions request from the router.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send an attempt of a request to a node.
    Send {
        /// The request.
        request: RequestId,
        /// The node.
        node: NodeId,
        /// Time after which the attempt times out.
        timeout: Micros,
    },
    /// Cancel an attempt.
    Cancel {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: u32,
    },
    /// Give the final answer that the request is rejected; a retry is harmless.
    Reject {
        /// The request.
        request: RequestId,
        /// Advised delay before the client retries.
        retry_after: Option<Micros>,
    },
    /// Give the final answer that the request has failed; nothing is promised about its effect.
    Fail {
        /// The request.
        request: RequestId,
    },
    /// Call [`crate::Balancer::handle`] again after this time.
    Wake(Micros),
    /// Poll a node for its load report.
    HealthCheck(NodeId),
    /// Close this router's idle connections to a node.
    CloseIdle(NodeId),
    /// Subscribe to changes of the endpoint list.
    Subscribe,
    /// Write a log line.
    Log(LogEvent),
}

/// The content of a log line.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LogEvent {
    /// The node that the line is about, if any.
    pub node: Option<NodeId>,
    /// The zone that the line is about, if any.
    pub zone: Option<String>,
    /// What happened, as a short fixed text that programs can search for.
    pub reason: &'static str,
    /// The text for human readers.
    pub text: String,
}

impl LogEvent {
    /// The reason logged when outlier detection ejects a node.
    pub const EJECTED: &'static str = "ejected";
    /// The reason logged when an ejected node answers again.
    pub const ANSWERS_AGAIN: &'static str = "answers again";
    /// The reason logged when the primary of a group changes.
    pub const PRIMARY: &'static str = "primary";

    /// Creates a log line about a node.
    pub fn for_node(node: &NodeId, reason: &'static str, text: String) -> Self {
        LogEvent {
            node: Some(node.clone()),
            reason,
            text,
            ..LogEvent::default()
        }
    }

    /// Creates a log line about a zone.
    pub fn for_zone(zone: &str, reason: &'static str, what: &str) -> Self {
        LogEvent {
            zone: Some(zone.into()),
            reason,
            text: format!("zone {zone}: {what}"),
            ..LogEvent::default()
        }
    }
}
