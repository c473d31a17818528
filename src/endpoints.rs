//! The endpoint list: which nodes exist, which of them are draining, and when a node is forgotten.
//!
//! A draining or removed node gets no requests from the moment when this router learns of it. Its state is dropped only
//! once nothing is in flight there and no request refers to it. It has to be dropped then, because replaced nodes come
//! back under new names and the table would grow without bound.

use crate::api::{Endpoint, EndpointState, EndpointUpdate, Micros, NodeId, Time};
use crate::balancer::Balancer;
use crate::node::Node;
use std::collections::BTreeSet;

/// Time after its last answer at which a removed node is forgotten, if the settings let removed nodes be used.
const REMOVED_NODE_REMEMBERED: Micros = 60_000_000;
/// Minimum wait before a failed subscription to the list is renewed. A random wait of up to the same length is added.
const MIN_RESUBSCRIBE_BACKOFF: Micros = 500_000;

impl Node {
    /// Applies the state in the endpoint list. `removed_stay_open` says that removal from the list does not close a
    /// node.
    fn set_state(&mut self, state: EndpointState, removed_stay_open: bool, now: Time) {
        let closes = match state {
            EndpointState::Serving => {
                self.closed_at = None;
                false
            }
            EndpointState::Draining => true,
            EndpointState::Removed => !removed_stay_open,
        };
        if closes {
            self.closed_at.get_or_insert(now);
        }
        self.is_removed = state == EndpointState::Removed;
    }
}

impl Balancer {
    /// Applies an update from discovery.
    pub(crate) fn update_endpoints(&mut self, update: EndpointUpdate) {
        if let Some(locality) = &mut self.locality {
            locality.endpoints_changed(self.now, &update);
        }
        match update {
            EndpointUpdate::Failed => return self.schedule_resubscription(),
            EndpointUpdate::Changes(endpoints) => self.update_each(endpoints),
            EndpointUpdate::Full(endpoints) | EndpointUpdate::Restored(endpoints) => {
                self.remove_unlisted(&endpoints);
                self.update_each(endpoints);
            }
        }
        self.serving_count = self.nodes.values().filter(|node| node.is_open()).count();
        self.forget_removed_nodes();
    }

    /// Returns the number of known nodes, including removed ones that are still in use.
    pub fn known_node_count(&self) -> usize {
        self.nodes.len()
    }

    fn schedule_resubscription(&mut self) {
        let backoff = MIN_RESUBSCRIBE_BACKOFF + self.random.next() % MIN_RESUBSCRIBE_BACKOFF;
        let renews = self.settings.subscribe;
        self.resubscribe_at = renews.then_some(self.now + backoff);
    }

    fn remove_unlisted(&mut self, listed: &[Endpoint]) {
        let listed: BTreeSet<&NodeId> = listed.iter().map(|endpoint| &endpoint.node).collect();
        for (id, node) in &mut self.nodes {
            if !listed.contains(id) {
                node.set_state(
                    EndpointState::Removed,
                    self.settings.removed_nodes_stay_open,
                    self.now,
                );
            }
        }
    }

    fn update_each(&mut self, endpoints: Vec<Endpoint>) {
        for endpoint in endpoints {
            self.update_endpoint(endpoint);
        }
    }

    fn update_endpoint(&mut self, endpoint: Endpoint) {
        let (now, id) = (self.now, endpoint.node.clone());
        let router_count = self.settings.router_count;
        let node = self.nodes.entry(id.clone()).or_insert_with(|| {
            let mut new = Node::new(
                endpoint.clone(),
                self.settings.router_index,
                router_count,
                now,
            );
            // An unknown node that is listed as removed may have been drained and forgotten before.
            new.closed_at = (endpoint.state == EndpointState::Removed).then_some(now);
            new
        });
        if endpoint.started_at > node.endpoint.started_at {
            node.restart(router_count, now);
        }
        node.set_state(endpoint.state, self.settings.removed_nodes_stay_open, now);
        let is_serving = endpoint.state == EndpointState::Serving;
        let named_primary = endpoint.listed_as_primary && is_serving;
        let (old_group, new_group) = (node.endpoint.group, endpoint.group);
        node.endpoint = endpoint;
        if let Some(group) = self.groups.get_mut(&old_group) {
            group.members.remove(&id);
        }
        let group = self.groups.entry(new_group).or_default();
        group.members.insert(id.clone());
        if named_primary {
            group.list_names_primary(id);
        }
    }

    fn forget_removed_nodes(&mut self) {
        let now = self.now;
        let attempts = self.requests.values().flat_map(|request| &request.attempts);
        let attempted: BTreeSet<&NodeId> = attempts.map(|attempt| &attempt.node).collect();
        let is_in_use = |node: &Node| !node.in_flight.is_empty() || attempted.contains(node.id());
        let answers_still = |node: &Node| {
            node.is_open() && now < node.outlier.last_answer_at + REMOVED_NODE_REMEMBERED
        };
        self.nodes
            .retain(|_, node| !node.is_removed || answers_still(node) || is_in_use(node));
        self.monitored.retain(|id| self.nodes.contains_key(id));
        for group in self.groups.values_mut() {
            group.members.retain(|id| self.nodes.contains_key(id));
            let is_known = |id: &NodeId| self.nodes.contains_key(id);
            group.primary.take_if(|primary| !is_known(&primary.node));
        }
        // What its members have told of their roles outranks the list also if the whole group leaves it for a while.
        self.groups
            .retain(|_, group| !group.members.is_empty() || group.has_told_role);
    }
}
