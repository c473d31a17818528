//! The endpoint list: when it changes, and when each router receives the changes.

use super::{Event, World, us_from_s};
use plovercove::{Endpoint, EndpointState, EndpointUpdate, NodeId};
use rand::RngExt;
use std::collections::HashSet;

/// Minimum and maximum time (s) until a call of the list service is answered.
const LIST_CALL_DELAY_S: (f64, f64) = (0.05, 0.3);
/// Maximum number of batches in which the list notices the nodes of one fault, each after a delay that is drawn for it.
const MAX_NOTICE_BATCHES: usize = 4;

impl World<'_> {
    pub(super) fn list_at_version(&self, version: u32) -> Vec<Endpoint> {
        let mut list = self.initial_list.clone();
        for entry in self.changes[..=version as usize].iter().flatten() {
            list[self.node_by_id[&entry.node] as usize] = entry.clone();
        }
        list.retain(|e| e.state != EndpointState::Removed);
        list
    }

    /// Schedules a change of the list after this time (s).
    pub(super) fn schedule_list_change(&mut self, after: f64, entries: Vec<Endpoint>) {
        self.pending_changes.push(entries);
        let number = self.pending_changes.len() as u32 - 1;
        self.schedule(self.now + us_from_s(after), Event::ListChanged(number));
    }

    /// Calls the list service for the current list. The service answers calls one after another.
    pub(super) fn call_list_service(&mut self, router: u32) {
        let (rate, most) = (
            self.spec.list.calls_per_s,
            us_from_s(self.spec.list.call_wait_s),
        );
        let turn = self.list_busy_until.max(self.now);
        if rate > 0.0 && turn > self.now + most {
            let r = &mut self.routers[router as usize];
            let (again, epoch) = (r.list_backoff.record_failure(self.now + most), r.epoch);
            return self.schedule(again, Event::CallListService { router, epoch });
        }
        if rate > 0.0 {
            self.list_busy_until = turn + us_from_s(1.0 / rate);
        }
        self.routers[router as usize].list_backoff.record_success();
        let wait = self.uniform(LIST_CALL_DELAY_S);
        self.schedule(
            turn + us_from_s(wait),
            Event::DeliverList {
                router,
                version: u32::MAX,
            },
        );
    }

    pub(super) fn apply_list_change(&mut self, number: u32) {
        self.changes
            .push(std::mem::take(&mut self.pending_changes[number as usize]));
        self.version = self.changes.len() as u32 - 1;
        let version = self.version;
        for router in 0..self.routers.len() as u32 {
            // A router receives all changes with the same delay, so that they arrive in order.
            let wait = self.routers[router as usize].list_delay;
            if self.spec.list.calls_per_s > 0.0 {
                // With a limited service, the answer to a watch is queued like a call for the current list.
                let epoch = self.routers[router as usize].epoch;
                self.schedule(self.now + wait, Event::CallListService { router, epoch });
            } else {
                self.schedule(self.now + wait, Event::DeliverList { router, version });
            }
        }
    }

    pub(super) fn deliver_list(&mut self, router: u32, version: u32) {
        let is_full = version == u32::MAX;
        let r = &self.routers[router as usize];
        if r.list_silenced > 0 || r.engine.is_none() || (!is_full && version <= r.list_version) {
            return;
        }
        let update = if !is_full && version == r.list_version + 1 {
            EndpointUpdate::Changes(self.changes[version as usize].clone())
        } else {
            EndpointUpdate::Full(self.list_at_version(self.version))
        };
        let new_version = if matches!(update, EndpointUpdate::Full(_)) {
            self.version
        } else {
            version
        };
        let now = self.now;
        let r = &mut self.routers[router as usize];
        r.list_version = new_version;
        if let EndpointUpdate::Changes(all)
        | EndpointUpdate::Full(all)
        | EndpointUpdate::Restored(all) = &update
        {
            let started = all
                .iter()
                .filter_map(|e| Some((self.node_by_id[&e.node], e.started_at?)));
            r.known_starts.extend(started);
        }
        match &update {
            EndpointUpdate::Changes(entries) => {
                for entry in entries {
                    if entry.state == EndpointState::Serving {
                        r.out_of_service_since.remove(&entry.node);
                    } else {
                        r.out_of_service_since
                            .entry(entry.node.clone())
                            .or_insert(now);
                    }
                }
            }
            EndpointUpdate::Full(entries) | EndpointUpdate::Restored(entries) => {
                let serving = entries
                    .iter()
                    .filter(|e| e.state == EndpointState::Serving)
                    .map(|e| &e.node);
                let serving: HashSet<&NodeId> = serving.collect();
                for name in self.node_by_id.keys() {
                    if serving.contains(name) {
                        r.out_of_service_since.remove(name);
                    } else {
                        r.out_of_service_since.entry(name.clone()).or_insert(now);
                    }
                }
            }
            EndpointUpdate::Failed => {}
        }
        if let Some(engine) = &mut r.engine {
            engine.update_endpoints(update);
        }
        self.drive_engine(router);
    }

    pub(super) fn list_entry(&self, node: u32, state: EndpointState) -> Endpoint {
        let node_state = &self.nodes[node as usize];
        let primary = self.groups[node_state.group].0.primary() == Some(node_state.member);
        Endpoint {
            node: node_state.id.clone(),
            state,
            listed_as_primary: primary,
            started_at: node_state.machine.started_at(),
            ..self.initial_list[node as usize].clone()
        }
    }

    /// Schedules list changes of these nodes in up to `MAX_NOTICE_BATCHES` batches.
    pub(super) fn announce_nodes(
        &mut self,
        nodes: &[u32],
        state: EndpointState,
        delays: (f64, f64),
    ) {
        let mut portions: Vec<Vec<u32>> = vec![Vec::new(); MAX_NOTICE_BATCHES];
        for node in nodes {
            portions[self.rng.random_range(0..MAX_NOTICE_BATCHES)].push(*node);
        }
        for portion in portions.into_iter().filter(|p| !p.is_empty()) {
            let after = self.uniform(delays);
            let entries = portion
                .into_iter()
                .map(|n| self.list_entry(n, state))
                .collect();
            self.schedule_list_change(after, entries);
        }
    }

    pub(super) fn set_list_silence(&mut self, zone: &str, on: bool) {
        let routers: Vec<u32> = (0..self.routers.len() as u32)
            .filter(|r| {
                zone.is_empty() || self.spec.zones[self.routers[*r as usize].zone].name == zone
            })
            .collect();
        for router in routers {
            let silent = &mut self.routers[router as usize].list_silenced;
            *silent = if on {
                *silent + 1
            } else {
                silent.saturating_sub(1)
            };
            if !on {
                self.call_list_service(router);
            }
        }
    }
}
