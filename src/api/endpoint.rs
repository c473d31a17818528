//! The endpoint list, as discovery reports it.

use super::{GroupId, NodeId, Time};

/// The state of a node in the endpoint list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum EndpointState {
    /// The node takes requests.
    #[default]
    Serving,
    /// The node finishes its work and gets no new requests.
    Draining,
    /// The node is removed.
    Removed,
}

/// One entry of the endpoint list.
#[derive(Clone, Debug, Default)]
pub struct Endpoint {
    /// The node.
    pub node: NodeId,
    /// The zone of the node.
    pub zone: String,
    /// The machine kind of the node.
    pub machine_kind: String,
    /// Whether the list names the node as the primary of its group.
    pub listed_as_primary: bool,
    /// The group of the node.
    pub group: GroupId,
    /// The state of the node.
    pub state: EndpointState,
    /// The weight of the node relative to other nodes.
    pub weight: f64,
    /// Time of the last start of the node; `None` if it started long ago.
    pub started_at: Option<Time>,
}

/// An update from discovery.
#[derive(Clone, Debug)]
pub enum EndpointUpdate {
    /// These entries changed.
    Changes(Vec<Endpoint>),
    /// The complete list; nodes missing from it are removed.
    Full(Vec<Endpoint>),
    /// The list that this router had stored before it was restarted; it may be out of date.
    Restored(Vec<Endpoint>),
    /// A subscription or a poll failed; the last list stays valid.
    Failed,
}
