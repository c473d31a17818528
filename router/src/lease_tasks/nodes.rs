//! The part of the endpoint list that the lease tasks need.

use super::watch::NodeStatus;
use plovercove::{EndpointState, GroupId, NodeId, Time};
use plovercove_engine::Engine;
use std::collections::{BTreeMap, BTreeSet};

struct ListedNode {
    group: GroupId,
    is_serving: bool,
    started: Option<Time>,
}

/// The nodes of the endpoint list.
#[derive(Default)]
pub struct Nodes {
    listed: BTreeMap<NodeId, ListedNode>,
    zones: BTreeSet<String>,
}

impl Nodes {
    /// Copies the nodes of the engine's current list.
    pub fn from_engine(engine: &Engine) -> Self {
        let mut nodes = Nodes::default();
        for entry in engine.endpoints() {
            let is_serving = entry.state == EndpointState::Serving;
            let listed = ListedNode {
                group: entry.group,
                is_serving,
                started: entry.started_at,
            };
            nodes.listed.insert(entry.node.clone(), listed);
            if !nodes.zones.contains(&entry.zone) {
                nodes.zones.insert(entry.zone.clone());
            }
        }
        nodes
    }

    /// Returns the groups of the nodes.
    pub fn groups(&self) -> BTreeSet<GroupId> {
        self.listed.values().map(|listed| listed.group).collect()
    }

    /// Returns the zones of the nodes.
    pub fn zones(&self) -> &BTreeSet<String> {
        &self.zones
    }

    /// Returns the nodes of a group that may be queried.
    pub fn serving(&self, group: GroupId) -> impl Iterator<Item = &NodeId> {
        self.listed
            .iter()
            .filter(move |(_, listed)| listed.group == group && listed.is_serving)
            .map(|(node, _)| node)
    }

    /// Returns the group of a node and the start time of its incarnation.
    pub fn group_and_start(&self, node: &NodeId) -> Option<(GroupId, Option<Time>)> {
        self.listed
            .get(node)
            .map(|listed| (listed.group, listed.started))
    }

    /// Returns the node that a status report of this group is about, and whether the report is about the incarnation in the
    /// list. Returns `None` if the list does not name the node.
    ///
    /// A node that was restarted under its name is cold. A report of its previous incarnation would make it look idle and up
    /// to date.
    pub fn find_reported(&self, group: GroupId, status: &NodeStatus) -> Option<(&NodeId, bool)> {
        let (node, listed) = self.listed.get_key_value(status.node.as_str())?;
        Some((
            node,
            listed.group == group && listed.started == status.started,
        ))
    }
}

#[cfg(test)]
mod tests;
