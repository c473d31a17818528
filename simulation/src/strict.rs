//! The baseline policy `strict`: a router uses its own zone first, and other zones if its own has no capacity left or no
//! replica that is fresh enough. There is no spill limit and no recovery ramp.

use plovercove::{
    AttemptEnd, EndpointState, EndpointUpdate, LocalityPolicy, LogEvent, Micros, NodeId,
    RoutingQuery, Time,
};
use std::collections::BTreeSet;

/// Weight of a node in another zone. It is so small that any node of the own zone with capacity left is preferred.
const OTHER_ZONE_WEIGHT: f64 = 1e-6;

/// A locality policy that prefers the own zone, without limit or ramp.
pub struct Strict {
    zone: String,
    own_zone_nodes: BTreeSet<NodeId>,
}

impl Strict {
    /// Creates the policy for a router of this zone.
    pub fn new(zone: &str) -> Self {
        Strict {
            zone: zone.to_string(),
            own_zone_nodes: BTreeSet::new(),
        }
    }
}

impl LocalityPolicy for Strict {
    fn endpoints_changed(&mut self, _: Time, update: &EndpointUpdate) {
        let (EndpointUpdate::Changes(all)
        | EndpointUpdate::Full(all)
        | EndpointUpdate::Restored(all)) = update
        else {
            return;
        };
        if !matches!(update, EndpointUpdate::Changes(_)) {
            self.own_zone_nodes.clear();
        }
        for entry in all {
            if entry.zone == self.zone && entry.state != EndpointState::Removed {
                self.own_zone_nodes.insert(entry.node.clone());
            } else {
                self.own_zone_nodes.remove(&entry.node);
            }
        }
    }

    fn weight_share(&mut self, _: Time, _: &RoutingQuery, node: &NodeId) -> Option<f64> {
        Some(if self.own_zone_nodes.contains(node) {
            1.0
        } else {
            OTHER_ZONE_WEIGHT
        })
    }

    fn attempt_sent(&mut self, _: Time, _: &RoutingQuery, _: &NodeId) {}

    fn attempt_ended(&mut self, _: Time, _: &RoutingQuery, _: &NodeId, _: AttemptEnd, _: Micros) {}

    fn retry_after(&self, _: &RoutingQuery, most: Micros) -> Micros {
        most / 2
    }

    fn next_log_event(&mut self) -> Option<LogEvent> {
        None
    }
}
