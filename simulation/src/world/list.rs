//! The node list: what it hears of, when it changes, and when each router hears of that.

use super::{Event, World, us};
use plovercove::{Endpoint, EndpointState, EndpointUpdate, NodeId};
use rand::RngExt;
use std::collections::HashSet;

/// A router that restarts hears of the list in so long: least and most.
const LIST_CALL: (f64, f64) = (0.05, 0.3);
/// Different delays with which the list hears of the nodes of one trouble.
const NOTICES: usize = 4;

impl World<'_> {
    pub(super) fn list_at(&self, version: u32) -> Vec<Endpoint> {
        let mut list = self.initial.clone();
        for entry in self.changes[..=version as usize].iter().flatten() {
            list[self.names[&entry.node] as usize] = entry.clone();
        }
        list.retain(|e| e.state != EndpointState::Removed);
        list
    }

    /// The list will hear of this after so long.
    pub(super) fn will_change(&mut self, after: f64, entries: Vec<Endpoint>) {
        self.pending.push(entries);
        let number = self.pending.len() as u32 - 1;
        self.at(self.now + us(after), Event::Change(number));
    }

    /// A router asks for all that it has missed. The service takes its calls in turn.
    pub(super) fn call(&mut self, router: u32) {
        let (rate, most) = (self.spec.list.calls_per_s, us(self.spec.list.call_wait_s));
        let turn = self.calls_until.max(self.now);
        if rate > 0.0 && turn > self.now + most {
            let r = &mut self.routers[router as usize];
            let (again, epoch) = (r.pauses.record_failure(self.now + most), r.epoch);
            return self.at(again, Event::Call { router, epoch });
        }
        if rate > 0.0 {
            self.calls_until = turn + us(1.0 / rate);
        }
        self.routers[router as usize].pauses.record_success();
        let wait = self.uniform(LIST_CALL);
        self.at(
            turn + us(wait),
            Event::Tell {
                router,
                version: u32::MAX,
            },
        );
    }

    pub(super) fn change(&mut self, number: u32) {
        self.changes
            .push(std::mem::take(&mut self.pending[number as usize]));
        self.version = self.changes.len() as u32 - 1;
        let version = self.version;
        for router in 0..self.routers.len() as u32 {
            // Each hears all changes as much later, so that they come in order.
            let wait = self.routers[router as usize].hears_after;
            if self.spec.list.calls_per_s > 0.0 {
                // Its watch is answered in turn, as a call of all that it has missed.
                let epoch = self.routers[router as usize].epoch;
                self.at(self.now + wait, Event::Call { router, epoch });
            } else {
                self.at(self.now + wait, Event::Tell { router, version });
            }
        }
    }

    pub(super) fn tell(&mut self, router: u32, version: u32) {
        let whole = version == u32::MAX;
        let r = &self.routers[router as usize];
        if r.silent > 0 || r.engine.is_none() || (!whole && version <= r.told) {
            return;
        }
        let update = if !whole && version == r.told + 1 {
            EndpointUpdate::Changes(self.changes[version as usize].clone())
        } else {
            EndpointUpdate::Full(self.list_at(self.version))
        };
        let told = if matches!(update, EndpointUpdate::Full(_)) {
            self.version
        } else {
            version
        };
        let now = self.now;
        let r = &mut self.routers[router as usize];
        r.told = told;
        if let EndpointUpdate::Changes(all)
        | EndpointUpdate::Full(all)
        | EndpointUpdate::Restored(all) = &update
        {
            let started = all
                .iter()
                .filter_map(|e| Some((self.names[&e.node], e.started_at?)));
            r.starts.extend(started);
        }
        match &update {
            EndpointUpdate::Changes(entries) => {
                for entry in entries {
                    if entry.state == EndpointState::Serving {
                        r.closed.remove(&entry.node);
                    } else {
                        r.closed.entry(entry.node.clone()).or_insert(now);
                    }
                }
            }
            EndpointUpdate::Full(entries) | EndpointUpdate::Restored(entries) => {
                let serving = entries
                    .iter()
                    .filter(|e| e.state == EndpointState::Serving)
                    .map(|e| &e.node);
                let serving: HashSet<&NodeId> = serving.collect();
                for name in self.names.keys() {
                    if serving.contains(name) {
                        r.closed.remove(name);
                    } else {
                        r.closed.entry(name.clone()).or_insert(now);
                    }
                }
            }
            EndpointUpdate::Failed => {}
        }
        if let Some(engine) = &mut r.engine {
            engine.update_endpoints(update);
        }
        self.settle(router);
    }

    pub(super) fn entry(&self, node: u32, state: EndpointState) -> Endpoint {
        let known = &self.nodes[node as usize];
        let primary = self.groups[known.group].0.primary() == Some(known.member);
        Endpoint {
            node: known.id.clone(),
            state,
            listed_as_primary: primary,
            started_at: known.machine.started_at(),
            ..self.initial[node as usize].clone()
        }
    }

    /// Tells the list of these nodes, in a few portions.
    pub(super) fn list_nodes(&mut self, nodes: &[u32], state: EndpointState, delays: (f64, f64)) {
        let mut portions: Vec<Vec<u32>> = vec![Vec::new(); NOTICES];
        for node in nodes {
            portions[self.rng.random_range(0..NOTICES)].push(*node);
        }
        for portion in portions.into_iter().filter(|p| !p.is_empty()) {
            let after = self.uniform(delays);
            let entries = portion.into_iter().map(|n| self.entry(n, state)).collect();
            self.will_change(after, entries);
        }
    }

    pub(super) fn silence(&mut self, zone: &str, on: bool) {
        let routers: Vec<u32> = (0..self.routers.len() as u32)
            .filter(|r| {
                zone.is_empty() || self.spec.zones[self.routers[*r as usize].zone].name == zone
            })
            .collect();
        for router in routers {
            let silent = &mut self.routers[router as usize].silent;
            *silent = if on {
                *silent + 1
            } else {
                silent.saturating_sub(1)
            };
            if !on {
                self.call(router);
            }
        }
    }
}
