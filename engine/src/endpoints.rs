//! The endpoint list as it was last told. It counts from the moment when it was told, also before the decisions have heard
//! of it.

use plovercove::{Endpoint, EndpointState, EndpointUpdate, GroupId, NodeId};
use std::collections::{BTreeMap, BTreeSet};

/// Names that are remembered of nodes that were dropped from the list while they drained: many times a fleet's. Beyond them
/// the decisions still hold attempts back; only this router's own questions are not.
const MAX_DROPPED_DRAINING: usize = 4_096;

/// The endpoints that the list names, and what was dropped from it while it drained.
#[derive(Debug)]
pub(crate) struct EndpointRegistry {
    endpoints: BTreeMap<NodeId, Endpoint>,
    dropped_draining: BTreeSet<NodeId>,
    /// Leaving the list closes no node.
    removed_nodes_stay_open: bool,
    /// Discovery itself has spoken; before that all that is known is what was remembered.
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

    /// Takes what discovery told.
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

    /// The whole list, as an update for who has not heard it.
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

    /// The zone of a node that the list names.
    pub(crate) fn known_zone(&self, node: &NodeId) -> Option<&str> {
        self.endpoints
            .get(node)
            .map(|endpoint| endpoint.zone.as_str())
    }

    /// The zone of a node; empty where the list does not name it.
    pub(crate) fn zone_of(&self, node: &NodeId) -> &str {
        self.known_zone(node).unwrap_or("")
    }

    /// Whether anything may be sent to a node, by the list alone.
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

    /// Where leaving the list closes no node, one that drained stays closed all the same.
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
