//! The baseline `strict`: the home zone first, others where home has no room or no fresh replica. No limit, no ramp.

use plovercove::{Ask, Ending, ListUpdate, Listed, News, NodeId, Span, Time, Zoning};
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

impl Zoning for Strict {
    fn listed(&mut self, _: Time, update: &ListUpdate) {
        let (ListUpdate::Changes(all) | ListUpdate::Full(all) | ListUpdate::Restored(all)) = update
        else {
            return;
        };
        if !matches!(update, ListUpdate::Changes(_)) {
            self.home.clear();
        }
        for entry in all {
            if entry.zone == self.zone && entry.state != Listed::Gone {
                self.home.insert(entry.node.clone());
            } else {
                self.home.remove(&entry.node);
            }
        }
    }

    fn counts(&mut self, _: Time, _: &Ask, node: &NodeId) -> Option<f64> {
        Some(if self.home.contains(node) { 1.0 } else { FAR })
    }

    fn sent(&mut self, _: Time, _: &Ask, _: &NodeId) {}

    fn ended(&mut self, _: Time, _: &Ask, _: &NodeId, _: Ending, _: Span) {}

    fn come_back(&self, _: &Ask, most: Span) -> Span {
        most / 2
    }

    fn news(&mut self) -> Option<News> {
        None
    }
}
