//! The nodes: what they run, how they fall and come back, and who is their group's primary.

use super::{Event, World, us};
use crate::node::Offer;
use crate::pressure::{LoadPeak, Press};
use crate::rules::Rule;
use crate::spec::Reads;
use plovercove::{AttemptEnd, EndpointState, Micros, Time};
use rand::RngExt;

/// What the list has to tell counts as told after so long, whether it arrived or not.
const DEEMED: Micros = 6_000_000;

impl World<'_> {
    pub(super) fn at_node(&mut self, id: u32) {
        let run = &self.runs[id as usize];
        let (node, epoch, class, work) = (run.node, run.node_epoch, run.class, run.work);
        let known = &mut self.nodes[node as usize];
        if !known.up || known.epoch != epoch {
            return self.reply(id, AttemptEnd::Reset);
        }
        let (group, member) = (known.group, known.member);
        let head = self.groups[group].0.primary() == Some(member);
        if self.spec.classes[class as usize].reads == Reads::Write && !head {
            return self.reply(id, AttemptEnd::Misdirected);
        }
        let cold = known.machine.warmth(self.now) < 1.0;
        if cold {
            let started = known.machine.started_at();
            let told = self.routers[run.router as usize].starts.get(&node).copied() == started
                || started.is_some_and(|at| self.now > at + DEEMED);
            let write = self.spec.classes[class as usize].reads == Reads::Write;
            let press = Press {
                at: self.now,
                work,
                told,
                write,
                again: run.attempt.number > 0,
            };
            self.pressure.add(node, press);
        }
        if self.bad[node as usize] == Some(None) {
            return self.vanish(id);
        }
        let offered = known.machine.offer(self.now, id, work);
        let pressure = known.machine.cold_load_share();
        let (most, theirs) = &mut self.counted.cold;
        if cold && pressure > theirs.pressure {
            let peak = LoadPeak {
                pressure,
                shares: self.pressure.shares(node),
            };
            if peak.shares.are_mostly_informed() {
                *theirs = peak;
            }
            if pressure > most.pressure {
                *most = peak;
            }
        }
        match offered {
            Offer::Runs(until) => self.begins(id, until),
            Offer::Queued => self.runs[id as usize].at_node = true,
            Offer::Rejected => self.reply(id, AttemptEnd::Overloaded),
            Offer::Crashes => {
                self.counted.fallen += 1;
                let (name, second) = (known.id.clone(), self.second());
                let shares = self.pressure.shares(node);
                // Where most of it came from routers that could not know, the rule is not theirs; the node is counted.
                if shares.are_mostly_informed() {
                    self.breaches.add(Rule::PushedOver, second, || {
                        format!("node {name}: {shares}")
                    });
                }
                self.node_down(node);
                self.reply(id, AttemptEnd::Reset);
            }
        }
    }

    /// A node begins with a request: this is the data it is answered from.
    pub(super) fn begins(&mut self, id: u32, until: Time) {
        let run = &self.runs[id as usize];
        let (node, class) = (run.node as usize, run.class as usize);
        let (group, member) = (self.nodes[node].group, self.nodes[node].member);
        let log = &mut self.groups[group].0;
        let position = log.position(member, self.now);
        let head = log.primary() == Some(member);
        if self.spec.classes[class].blocks && !head {
            log.pause_apply(member, self.now, until);
        }
        let by_head = head || self.nodes[node].headed;
        let run = &mut self.runs[id as usize];
        (run.position, run.by_head, run.at_node) = (position, by_head, true);
        let (node, epoch) = (run.node, run.node_epoch);
        self.at(
            until,
            Event::Done {
                node,
                epoch,
                run: id,
            },
        );
    }

    pub(super) fn done(&mut self, node: u32, epoch: u32, id: u32) {
        let known = &mut self.nodes[node as usize];
        if known.epoch != epoch {
            return;
        }
        if let Some((next, until)) = known.machine.finish_request(self.now) {
            self.begins(next, until);
        }
        let (group, member) = (
            self.nodes[node as usize].group,
            self.nodes[node as usize].member,
        );
        let (request, class) = (self.runs[id as usize].request, self.runs[id as usize].class);
        let write = self.spec.classes[class as usize].reads == Reads::Write;
        let errors = self.bad[node as usize]
            .flatten()
            .unwrap_or(self.spec.node.errors);
        let failed = self.rng.random::<f64>() < errors;
        let log = &mut self.groups[group].0;
        if write && log.primary() != Some(member) {
            return self.reply(id, AttemptEnd::Failure);
        }
        if write {
            log.commit(self.now);
            let r = &mut self.requests[request as usize];
            r.ran += 1;
            if r.ran > 1 {
                let second = self.second();
                self.breaches
                    .add(Rule::RanTwice, second, || format!("request {request}"));
            }
        }
        self.reply(
            id,
            if failed {
                AttemptEnd::Failure
            } else {
                AttemptEnd::Success
            },
        );
    }

    pub(super) fn node_down(&mut self, node: u32) {
        let known = &mut self.nodes[node as usize];
        if !known.up {
            return;
        }
        (known.up, known.epoch, known.connections) = (false, known.epoch + 1, 0);
        self.faulty[node as usize] = Some((self.now, Time::MAX / 2));
        drop(known.machine.stop());
        let (group, member) = (known.group, known.member);
        let lost: Vec<u32> = self
            .runs
            .iter()
            .filter(|(_, r)| r.node == node && r.at_node)
            .map(|(id, _)| id as u32)
            .collect();
        for run in lost {
            self.reply(run, AttemptEnd::Reset);
        }
        self.leaves(group, member);
    }

    /// Another machine has a node's place, under a name of its own.
    pub(super) fn rename(&mut self, node: u32) {
        let known = &mut self.nodes[node as usize];
        known.id = format!("s-{node:04}-{}", known.epoch).into();
        self.names.insert(known.id.clone(), node);
    }

    /// A member is out of its group: a primary is replaced in time, a replica gets no log.
    pub(super) fn leaves(&mut self, group: usize, member: usize) {
        let now = self.now;
        let log = &mut self.groups[group].0;
        if log.primary() == Some(member) {
            log.lose_primary(now);
            let (detect, elect) = (
                self.spec.replication.detect_s,
                self.spec.replication.elect_s,
            );
            let wait = self.uniform(detect) + self.uniform(elect);
            self.at(now + us(wait), Event::Elect(group as u32));
        }
        self.groups[group].0.disconnect(member, now);
    }

    pub(super) fn node_up(&mut self, node: u32) {
        let now = self.now;
        let known = &mut self.nodes[node as usize];
        if known.up || known.machine.has_crashed() {
            return;
        }
        (known.up, known.epoch) = (true, known.epoch + 1);
        known.machine.restart(now);
        self.pressure.clear(node);
        // Until all have heard that it is another start.
        self.faulty[node as usize] = Some((now, now + DEEMED));
        let (group, member) = (known.group, known.member);
        self.groups[group].0.reconnect(member, now);
        if self.groups[group].0.primary().is_none() {
            self.at(now + us(1.0), Event::Elect(group as u32));
        }
    }

    pub(super) fn elect(&mut self, group: usize) {
        let (log, members) = &mut self.groups[group];
        if log.primary().is_some() {
            return;
        }
        let able: Vec<usize> = (0..members.len())
            .filter(|m| {
                let node = &self.nodes[members[*m]];
                node.up && self.to_node[node.zone][node.zone] == 0
            })
            .collect();
        match log.elect(&able, self.now) {
            Some(winner) => {
                let node = members[winner];
                self.nodes[node].headed = true;
                let nodes: Vec<u32> = members
                    .iter()
                    .map(|n| *n as u32)
                    .filter(|n| self.nodes[*n as usize].up)
                    .collect();
                let entries = nodes
                    .into_iter()
                    .map(|n| self.entry(n, EndpointState::Serving))
                    .collect();
                let after = self.uniform(self.spec.list.role_s);
                self.will_change(after, entries);
            }
            None => self.at(self.now + us(1.0), Event::Elect(group as u32)),
        }
    }
}
