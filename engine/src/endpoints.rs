//! The endpoint list of the last update. It applies from the moment when the update arrives, which may be before the
//! decisions have handled it.

use plovercove::{Endpoint, EndpointState, EndpointUpdate, GroupId, NodeId};
use std::collections::{BTreeMap, BTreeSet};

/// Maximum number of node names kept of nodes that were dropped from the list while draining; many times the size of a
/// fleet. Beyond it, only the router's own queries reach such a node: the decisions still send it no attempts.
const MAX_DROPPED_DRAINING: usize = 4_096;

/// The endpoints that the list names, and the nodes that were dropped from it while draining.
#[derive(Debug)]
pub(crate) struct EndpointRegistry {
    endpoints: BTreeMap<NodeId, Endpoint>,
    dropped_draining: BTreeSet<NodeId>,
    /// Whether nodes removed from the list still take requests.
    removed_nodes_stay_open: bool,
    /// Whether discovery has sent a list. Before that only the stored list of an earlier process is known.
    is_confirmed: bool,
}

impl EndpointRegistry {
    pub(crate) fn new(removed_nodes_stay_open: bool) -> Self {
        EndpointRegistry {
            endpoints: BTreeMap::new(),
            dropped_draining: BTreeSet::new(),
            removed_nodes_stay_open,
            is_confirmed: false,
        }
    }

    /// Applies an update from discovery.
    pub(crate) fn update(&mut self, update: &EndpointUpdate) {
        match update {
            EndpointUpdate::Changes(endpoints) => {
                self.is_confirmed = true;
                self.update_each(endpoints);
            }
            EndpointUpdate::Full(endpoints) => {
                self.is_confirmed = true;
                self.drop_unlisted(endpoints);
                self.update_each(endpoints);
            }
            EndpointUpdate::Restored(endpoints) => {
                self.drop_unlisted(endpoints);
                self.update_each(endpoints);
            }
            EndpointUpdate::Failed => {}
        }
    }

    /// Returns the complete list, as an update for a locality policy that has not received it.
    pub(crate) fn snapshot(&self) -> EndpointUpdate {
        let endpoints = self.endpoints.values().cloned().collect();
        if self.is_confirmed {
            EndpointUpdate::Full(endpoints)
        } else {
            EndpointUpdate::Restored(endpoints)
        }
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = &Endpoint> {
        self.endpoints.values()
    }

    pub(crate) fn has_group(&self, group: GroupId) -> bool {
        self.endpoints
            .values()
            .any(|endpoint| endpoint.group == group)
    }

    /// Returns the zone of a node that the list names.
    pub(crate) fn known_zone(&self, node: &NodeId) -> Option<&str> {
        self.endpoints
            .get(node)
            .map(|endpoint| endpoint.zone.as_str())
    }

    /// Returns the zone of a node, or an empty text if the list does not name the node.
    pub(crate) fn zone_of(&self, node: &NodeId) -> &str {
        self.known_zone(node).unwrap_or("")
    }

    /// Returns whether anything may be sent to a node, according to the list alone.
    pub(crate) fn is_open(&self, node: &NodeId) -> bool {
        match self.endpoints.get(node) {
            Some(endpoint) => endpoint.state == EndpointState::Serving,
            None => self.removed_nodes_stay_open && !self.dropped_draining.contains(node),
        }
    }

    fn update_each(&mut self, endpoints: &[Endpoint]) {
        for endpoint in endpoints {
            if endpoint.state == EndpointState::Removed {
                self.drop_endpoint(&endpoint.node);
            } else {
                self.dropped_draining.remove(&endpoint.node);
                self.endpoints
                    .insert(endpoint.node.clone(), endpoint.clone());
            }
        }
    }

    fn drop_unlisted(&mut self, listed: &[Endpoint]) {
        let listed: BTreeSet<&NodeId> = listed.iter().map(|endpoint| &endpoint.node).collect();
        let known = self.endpoints.keys();
        let unlisted: Vec<NodeId> = known.filter(|id| !listed.contains(id)).cloned().collect();
        for node in &unlisted {
            self.drop_endpoint(node);
        }
    }

    /// Removes an endpoint. A node that was draining stays closed, even if nodes removed from the list still take
    /// requests.
    fn drop_endpoint(&mut self, node: &NodeId) {
        let Some(endpoint) = self.endpoints.remove(node) else {
            return;
        };
        if endpoint.state != EndpointState::Draining || !self.removed_nodes_stay_open {
            return;
        }
        self.dropped_draining.insert(node.clone());
        if self.dropped_draining.len() > MAX_DROPPED_DRAINING {
            self.dropped_draining.pop_first();
        }
    }
}
