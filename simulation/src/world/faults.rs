//! The start and end of the injected faults.

use super::{Event, World, us_from_s};
use crate::spec::FaultKind;
use plovercove::EndpointState;
use rand::RngExt;

impl World<'_> {
    pub(super) fn pick_nodes(&mut self, zone: Option<usize>, part: f64) -> Vec<u32> {
        let mut nodes: Vec<u32> = (0..self.nodes.len() as u32)
            .filter(|n| zone.is_none_or(|z| self.nodes[*n as usize].zone == z))
            .collect();
        let count = (nodes.len() as f64 * part).round() as usize;
        while nodes.len() > count {
            nodes.remove(self.rng.random_range(0..nodes.len()));
        }
        nodes
    }

    pub(super) fn zone_index(&self, name: &str) -> usize {
        self.spec
            .zones
            .iter()
            .position(|z| z.name == name)
            .expect("checked")
    }

    pub(super) fn begin_fault(&mut self, n: usize) {
        self.record_link_change(n);
        match self.spec.faults[n].what.clone() {
            FaultKind::ZoneDown { zone, part } => {
                let nodes = self.pick_nodes(Some(self.zone_index(&zone)), part);
                nodes.iter().for_each(|node| self.node_down(*node));
                self.announce_nodes(&nodes, EndpointState::Removed, self.spec.list.notice_s);
                self.nodes_of_fault[n] = nodes;
            }
            FaultKind::Drain { zone, part } | FaultKind::Replace { zone, part } => {
                let nodes = self.pick_nodes(Some(self.zone_index(&zone)), part);
                self.announce_nodes(&nodes, EndpointState::Draining, (0.0, 0.1));
                for node in &nodes {
                    let (group, member) = (
                        self.nodes[*node as usize].group,
                        self.nodes[*node as usize].member,
                    );
                    let now = self.now;
                    if self.groups[group].0.primary() == Some(member) {
                        self.groups[group].0.lose_primary(now);
                        let wait = self.uniform((0.31, 0.91));
                        self.schedule(now + us_from_s(wait), Event::ElectPrimary(group as u32));
                    }
                    self.groups[group].0.disconnect(member, now);
                }
                self.nodes_of_fault[n] = nodes;
            }
            FaultKind::BlackHole { zone, .. } => {
                let zone = self.zone_index(&zone);
                self.set_zone_cut(zone, true);
                for node in 0..self.nodes.len() {
                    if self.nodes[node].zone == zone {
                        self.leave_group(self.nodes[node].group, self.nodes[node].member);
                    }
                }
            }
            FaultKind::Cut { from, to } => {
                let (from, to) = (self.zone_index(&from), self.zone_index(&to));
                self.lost_to_node[from][to] += 1;
            }
            FaultKind::ListSilent { zone } => self.set_list_silence(&zone, true),
            FaultKind::RoutersDown { zone } => {
                let zone = self.zone_index(&zone);
                for router in self.routers_of(zone) {
                    self.stop_router(router);
                }
            }
            FaultKind::Rollout { down_s } => {
                let (at, until) = (self.spec.faults[n].at, self.spec.faults[n].until);
                let gap = (until - at) / self.routers.len() as f64;
                for router in 0..self.routers.len() as u32 {
                    let stop = self.now + us_from_s(gap * f64::from(router));
                    self.schedule(stop, Event::StopRouter(router));
                    self.schedule(stop + us_from_s(down_s), Event::StartRouter(router));
                }
            }
            FaultKind::Bad { part, errors } => {
                let nodes = self.pick_nodes(None, part);
                self.set_fault_period(&nodes, self.spec.faults[n].until);
                nodes
                    .iter()
                    .for_each(|node| self.failing_nodes[*node as usize] = Some(errors));
                self.nodes_of_fault[n] = nodes;
            }
            FaultKind::Slow { part, times } => {
                let nodes = self.pick_nodes(None, part);
                self.set_fault_period(&nodes, self.spec.faults[n].until);
                nodes
                    .iter()
                    .for_each(|node| self.nodes[*node as usize].machine.set_slowdown(times));
                self.nodes_of_fault[n] = nodes;
            }
        }
    }

    /// Records that links of a zone are cut or restored: for a while, routers may declare each other down, and the nodes of
    /// the zone count as faulty.
    fn record_link_change(&mut self, n: usize) {
        let zone = match &self.spec.faults[n].what {
            FaultKind::BlackHole { zone, .. } => zone,
            FaultKind::Cut { to, .. } => to,
            _ => return,
        };
        let zone = self.zone_index(zone);
        let nodes: Vec<u32> = (0..self.nodes.len() as u32)
            .filter(|n| self.nodes[*n as usize].zone == zone)
            .collect();
        let until = self.spec.faults[n].until;
        self.set_fault_period(&nodes, until);
        self.cut_at = Some(self.now);
    }

    pub(super) fn end_fault(&mut self, n: usize) {
        self.record_link_change(n);
        match self.spec.faults[n].what.clone() {
            FaultKind::ZoneDown { .. } => {
                let nodes = std::mem::take(&mut self.nodes_of_fault[n]);
                nodes.iter().for_each(|node| self.node_up(*node));
                let up: Vec<u32> = nodes
                    .into_iter()
                    .filter(|n| self.nodes[*n as usize].up)
                    .collect();
                self.announce_nodes(&up, EndpointState::Serving, self.spec.list.add_s);
            }
            FaultKind::Drain { .. } => {
                let nodes = std::mem::take(&mut self.nodes_of_fault[n]);
                for node in &nodes {
                    self.node_down(*node);
                    self.node_up(*node);
                }
                self.announce_nodes(&nodes, EndpointState::Serving, self.spec.list.add_s);
            }
            FaultKind::Replace { .. } => {
                for node in std::mem::take(&mut self.nodes_of_fault[n]) {
                    self.node_down(node);
                    let gone = self.list_entry(node, EndpointState::Removed);
                    self.replace_node_id(node);
                    self.node_up(node);
                    let after = self.uniform(self.spec.list.add_s);
                    let came = self.list_entry(node, EndpointState::Serving);
                    self.schedule_list_change(after, vec![gone, came]);
                }
            }
            FaultKind::BlackHole { zone, cold } => {
                let zone = self.zone_index(&zone);
                self.set_zone_cut(zone, false);
                let nodes: Vec<u32> = (0..self.nodes.len() as u32)
                    .filter(|n| self.nodes[*n as usize].zone == zone)
                    .collect();
                let now = self.now;
                for node in &nodes {
                    let known = &self.nodes[*node as usize];
                    self.groups[known.group].0.reconnect(known.member, now);
                    if cold {
                        self.node_down(*node);
                        self.node_up(*node);
                    }
                }
                if cold {
                    self.announce_nodes(&nodes, EndpointState::Serving, self.spec.list.add_s);
                }
            }
            FaultKind::Cut { from, to } => {
                let (from, to) = (self.zone_index(&from), self.zone_index(&to));
                self.lost_to_node[from][to] -= 1;
            }
            FaultKind::ListSilent { zone } => self.set_list_silence(&zone, false),
            FaultKind::RoutersDown { zone } => {
                let zone = self.zone_index(&zone);
                for router in self.routers_of(zone) {
                    self.schedule(self.now, Event::StartRouter(router));
                }
            }
            FaultKind::Rollout { .. } => {}
            FaultKind::Bad { .. } => {
                let nodes = std::mem::take(&mut self.nodes_of_fault[n]);
                nodes
                    .iter()
                    .for_each(|node| self.failing_nodes[*node as usize] = None);
            }
            FaultKind::Slow { .. } => {
                let nodes = std::mem::take(&mut self.nodes_of_fault[n]);
                nodes
                    .iter()
                    .for_each(|node| self.nodes[*node as usize].machine.set_slowdown(1.0));
            }
        }
    }
}
