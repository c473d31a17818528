//! The baseline `strict`: the home zone first, others where home has no room or no fresh replica. No limit, no ramp.

use plovercove::{
    AttemptEnd, EndpointState, EndpointUpdate, LocalityPolicy, LogEvent, Micros, NodeId,
    RoutingQuery, Time,
};
use std::collections::BTreeSet;

/// So little counts a node of another zone: whatever the load at home, it goes first while it has room.
const FAR: f64 = 1e-6;

/// Preference without limit or ramp.
pub struct Strict {
    zone: String,
    home: BTreeSet<NodeId>,
}

impl Strict {
    /// For a router of this zone.
    pub fn new(zone: &str) -> Self {
        Strict {
            zone: zone.to_string(),
            home: BTreeSet::new(),
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
            self.home.clear();
        }
        for entry in all {
            if entry.zone == self.zone && entry.state != EndpointState::Removed {
                self.home.insert(entry.node.clone());
            } else {
                self.home.remove(&entry.node);
            }
        }
    }

    fn weight_share(&mut self, _: Time, _: &RoutingQuery, node: &NodeId) -> Option<f64> {
        Some(if self.home.contains(node) { 1.0 } else { FAR })
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
