//! The nodes: how they run requests, crash and restart, and how their groups elect primaries.

use super::{Event, World, us_from_s};
use crate::cold_load::{ColdRequest, LoadPeak};
use crate::node::Offer;
use crate::rules::Rule;
use crate::spec::Reads;
use plovercove::{AttemptEnd, EndpointState, Micros, Time};
use rand::RngExt;

/// After this time (us), routers are considered to know of a node's start even if the list has not reached them.
const LIST_DELIVERY_BOUND_US: Micros = 6_000_000;

impl World<'_> {
    pub(super) fn attempt_at_node(&mut self, id: u32) {
        let sent_attempt = &self.sent_attempts[id as usize];
        let (node, epoch, class, work) = (
            sent_attempt.node,
            sent_attempt.node_epoch,
            sent_attempt.class,
            sent_attempt.work,
        );
        let node_state = &mut self.nodes[node as usize];
        if !node_state.up || node_state.epoch != epoch {
            return self.send_reply(id, AttemptEnd::Reset);
        }
        let (group, member) = (node_state.group, node_state.member);
        let is_primary = self.groups[group].0.primary() == Some(member);
        if self.spec.classes[class as usize].reads == Reads::Write && !is_primary {
            return self.send_reply(id, AttemptEnd::Misdirected);
        }
        let cold = node_state.machine.warmth(self.now) < 1.0;
        if cold {
            let started = node_state.machine.started_at();
            let from_informed = self.routers[sent_attempt.router as usize]
                .known_starts
                .get(&node)
                .copied()
                == started
                || started.is_some_and(|at| self.now > at + LIST_DELIVERY_BOUND_US);
            let is_write = self.spec.classes[class as usize].reads == Reads::Write;
            let request = ColdRequest {
                at: self.now,
                work,
                from_informed,
                is_write,
                is_further_attempt: sent_attempt.attempt.number > 0,
            };
            self.cold_loads.add(node, request);
        }
        if self.failing_nodes[node as usize] == Some(None) {
            return self.lose_silently(id);
        }
        let offered = node_state.machine.offer(self.now, id, work);
        let pressure = node_state.machine.cold_load_share();
        let (largest, informed) = &mut self.totals.cold;
        if cold && pressure > informed.pressure {
            let peak = LoadPeak {
                pressure,
                shares: self.cold_loads.shares(node),
            };
            if peak.shares.are_mostly_informed() {
                *informed = peak;
            }
            if pressure > largest.pressure {
                *largest = peak;
            }
        }
        match offered {
            Offer::Runs(until) => self.start_work(id, until),
            Offer::Queued => self.sent_attempts[id as usize].at_node = true,
            Offer::Rejected => self.send_reply(id, AttemptEnd::Overloaded),
            Offer::Crashes => {
                self.totals.fallen += 1;
                let (name, second) = (node_state.id.clone(), self.now_s());
                let shares = self.cold_loads.shares(node);
                // If most of the load came from routers that could not know of the start, only the crash is counted.
                if shares.are_mostly_informed() {
                    self.breaches.add(Rule::PushedOver, second, || {
                        format!("node {name}: {shares}")
                    });
                }
                self.node_down(node);
                self.send_reply(id, AttemptEnd::Reset);
            }
        }
    }

    /// A node starts to run a request. The answer has the position that the node has at this time.
    pub(super) fn start_work(&mut self, id: u32, until: Time) {
        let sent_attempt = &self.sent_attempts[id as usize];
        let (node, class) = (sent_attempt.node as usize, sent_attempt.class as usize);
        let (group, member) = (self.nodes[node].group, self.nodes[node].member);
        let log = &mut self.groups[group].0;
        let position = log.position(member, self.now);
        let is_primary = log.primary() == Some(member);
        if self.spec.classes[class].blocks && !is_primary {
            log.pause_apply(member, self.now, until);
        }
        let by_primary = is_primary || self.nodes[node].was_primary;
        let sent_attempt = &mut self.sent_attempts[id as usize];
        (
            sent_attempt.position,
            sent_attempt.by_primary,
            sent_attempt.at_node,
        ) = (position, by_primary, true);
        let (node, epoch) = (sent_attempt.node, sent_attempt.node_epoch);
        self.schedule(
            until,
            Event::WorkDone {
                node,
                epoch,
                sent_attempt: id,
            },
        );
    }

    pub(super) fn work_done(&mut self, node: u32, epoch: u32, id: u32) {
        let node_state = &mut self.nodes[node as usize];
        if node_state.epoch != epoch {
            return;
        }
        if let Some((next, until)) = node_state.machine.finish_request(self.now) {
            self.start_work(next, until);
        }
        let (group, member) = (
            self.nodes[node as usize].group,
            self.nodes[node as usize].member,
        );
        let (request, class) = (
            self.sent_attempts[id as usize].request,
            self.sent_attempts[id as usize].class,
        );
        let write = self.spec.classes[class as usize].reads == Reads::Write;
        let errors = self.failing_nodes[node as usize]
            .flatten()
            .unwrap_or(self.spec.node.errors);
        let failed = self.rng.random::<f64>() < errors;
        let log = &mut self.groups[group].0;
        if write && log.primary() != Some(member) {
            return self.send_reply(id, AttemptEnd::Failure);
        }
        if write {
            log.commit(self.now);
            let r = &mut self.requests[request as usize];
            r.executions += 1;
            if r.executions > 1 {
                let second = self.now_s();
                self.breaches
                    .add(Rule::RanTwice, second, || format!("request {request}"));
            }
        }
        self.send_reply(
            id,
            if failed {
                AttemptEnd::Failure
            } else {
                AttemptEnd::Success
            },
        );
    }

    pub(super) fn node_down(&mut self, node: u32) {
        let node_state = &mut self.nodes[node as usize];
        if !node_state.up {
            return;
        }
        (node_state.up, node_state.epoch, node_state.connections) =
            (false, node_state.epoch + 1, 0);
        self.fault_periods[node as usize] = Some((self.now, Time::MAX / 2));
        drop(node_state.machine.stop());
        let (group, member) = (node_state.group, node_state.member);
        let lost: Vec<u32> = self
            .sent_attempts
            .iter()
            .filter(|(_, r)| r.node == node && r.at_node)
            .map(|(id, _)| id as u32)
            .collect();
        for sent_attempt in lost {
            self.send_reply(sent_attempt, AttemptEnd::Reset);
        }
        self.leave_group(group, member);
    }

    /// Replaces a node by another one with a new name.
    pub(super) fn replace_node_id(&mut self, node: u32) {
        let node_state = &mut self.nodes[node as usize];
        node_state.id = format!("s-{node:04}-{}", node_state.epoch).into();
        self.node_by_id.insert(node_state.id.clone(), node);
    }

    /// Disconnects a member from its group. If it is the primary, an election follows after the detection time.
    pub(super) fn leave_group(&mut self, group: usize, member: usize) {
        let now = self.now;
        let log = &mut self.groups[group].0;
        if log.primary() == Some(member) {
            log.lose_primary(now);
            let (detect, elect) = (
                self.spec.replication.detect_s,
                self.spec.replication.elect_s,
            );
            let wait = self.uniform(detect) + self.uniform(elect);
            self.schedule(now + us_from_s(wait), Event::ElectPrimary(group as u32));
        }
        self.groups[group].0.disconnect(member, now);
    }

    pub(super) fn node_up(&mut self, node: u32) {
        let now = self.now;
        let node_state = &mut self.nodes[node as usize];
        if node_state.up || node_state.machine.has_crashed() {
            return;
        }
        (node_state.up, node_state.epoch) = (true, node_state.epoch + 1);
        node_state.machine.restart(now);
        self.cold_loads.clear(node);
        // Routers may eject the node until all of them know of the restart.
        self.fault_periods[node as usize] = Some((now, now + LIST_DELIVERY_BOUND_US));
        let (group, member) = (node_state.group, node_state.member);
        self.groups[group].0.reconnect(member, now);
        if self.groups[group].0.primary().is_none() {
            self.schedule(now + us_from_s(1.0), Event::ElectPrimary(group as u32));
        }
    }

    pub(super) fn elect_primary(&mut self, group: usize) {
        let (log, members) = &mut self.groups[group];
        if log.primary().is_some() {
            return;
        }
        let able: Vec<usize> = (0..members.len())
            .filter(|m| {
                let node = &self.nodes[members[*m]];
                node.up && self.lost_to_node[node.zone][node.zone] == 0
            })
            .collect();
        match log.elect(&able, self.now) {
            Some(winner) => {
                let node = members[winner];
                self.nodes[node].was_primary = true;
                let nodes: Vec<u32> = members
                    .iter()
                    .map(|n| *n as u32)
                    .filter(|n| self.nodes[*n as usize].up)
                    .collect();
                let entries = nodes
                    .into_iter()
                    .map(|n| self.list_entry(n, EndpointState::Serving))
                    .collect();
                let after = self.uniform(self.spec.list.role_s);
                self.schedule_list_change(after, entries);
            }
            None => self.schedule(self.now + us_from_s(1.0), Event::ElectPrimary(group as u32)),
        }
    }
}
