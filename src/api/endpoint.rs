//! The endpoint list, as discovery tells it.

use super::{GroupId, NodeId, Time};

/// What the list says of a node's state.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum EndpointState {
    /// It takes requests.
    #[default]
    Serving,
    /// It finishes its work; send nothing new.
    Draining,
    /// It is removed.
    Removed,
}

/// One entry of the node list.
#[derive(Clone, Debug, Default)]
pub struct Endpoint {
    /// The node.
    pub node: NodeId,
    /// The zone it stands in.
    pub zone: String,
    /// Its kind of machine.
    pub machine_kind: String,
    /// Whether the list holds it for the primary of its group.
    pub listed_as_primary: bool,
    /// Its group.
    pub group: GroupId,
    /// Its state.
    pub state: EndpointState,
    /// Its weight against other nodes.
    pub weight: f64,
    /// When it last started; `None` for long ago.
    pub started_at: Option<Time>,
}

/// A message from discovery.
#[derive(Clone, Debug)]
pub enum EndpointUpdate {
    /// These entries changed.
    Changes(Vec<Endpoint>),
    /// The complete list: what is missing from it is gone.
    Full(Vec<Endpoint>),
    /// The list as this router last held it before it was restarted; maybe out of date.
    Restored(Vec<Endpoint>),
    /// A subscription or a call failed; the last list stays in force.
    Failed,
}
