//! What the list says of nodes, as far as the fleet's work needs it.

use super::watch::Word;
use plovercove::{EndpointState, GroupId, NodeId, Time};
use plovercove_engine::Engine;
use std::collections::{BTreeMap, BTreeSet};

struct Known {
    group: GroupId,
    serving: bool,
    started: Option<Time>,
}

/// The nodes of the list.
#[derive(Default)]
pub struct Nodes {
    known: BTreeMap<NodeId, Known>,
    zones: BTreeSet<String>,
}

impl Nodes {
    /// As the list has them now.
    pub fn of(engine: &Engine) -> Self {
        let mut nodes = Nodes::default();
        for entry in engine.endpoints() {
            let serving = entry.state == EndpointState::Serving;
            let known = Known {
                group: entry.group,
                serving,
                started: entry.started_at,
            };
            nodes.known.insert(entry.node.clone(), known);
            if !nodes.zones.contains(&entry.zone) {
                nodes.zones.insert(entry.zone.clone());
            }
        }
        nodes
    }

    /// Their groups.
    pub fn groups(&self) -> BTreeSet<GroupId> {
        self.known.values().map(|known| known.group).collect()
    }

    /// Their zones.
    pub fn zones(&self) -> &BTreeSet<String> {
        &self.zones
    }

    /// Those of a group that may be asked.
    pub fn serving(&self, group: GroupId) -> impl Iterator<Item = &NodeId> {
        self.known
            .iter()
            .filter(move |(_, known)| known.group == group && known.serving)
            .map(|(node, _)| node)
    }

    /// The group of a node, and when it started.
    pub fn place(&self, node: &NodeId) -> Option<(GroupId, Option<Time>)> {
        self.known
            .get(node)
            .map(|known| (known.group, known.started))
    }

    /// The node that a word of this group is of, and whether it is of the life that the list names; none where the list
    /// does not name it. Against: a node restarted under its name is cold, and what its last life said would make it look
    /// like one that knows all and is idle.
    pub fn meant(&self, group: GroupId, word: &Word) -> Option<(&NodeId, bool)> {
        let (node, known) = self.known.get_key_value(word.node.as_str())?;
        Some((node, known.group == group && known.started == word.started))
    }
}

#[cfg(test)]
mod tests;
