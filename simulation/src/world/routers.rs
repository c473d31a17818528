//! The routers: each is the real core, told the time, its commands carried out.

use super::{BEGIN, Event, World, us};
use crate::spec::{SpecError, Variant};
use crate::strict::Strict;
use plovercove::{EndpointUpdate, LocalityPolicy, NodeId, NodeReport, Role};
use plovercove_engine::{Command, Deadline, Engine, FinalAnswer};
use plovercove_locality::ZoneFailover;

/// Rounds of decisions on one event.
const ROUNDS: usize = 16;

impl World<'_> {
    pub(super) fn boot(&mut self, router: usize) -> Result<(), SpecError> {
        let zone = self.routers[router].zone;
        let name = &self.spec.zones[zone].name;
        let (settings, epoch) = (self.settings[router].clone(), self.routers[router].epoch);
        let seed = self.seed ^ ((router as u64 + 1) << 20) ^ (u64::from(epoch) << 50);
        let zoning: Option<Box<dyn LocalityPolicy>> = match self.spec.variant {
            Variant::Flat => None,
            Variant::Strict => Some(Box::new(Strict::new(name))),
            Variant::ZoneFailover => {
                let tiers = ZoneFailover::new(self.spec.locality_rules(), &settings, seed);
                Some(Box::new(
                    tiers.map_err(|e| SpecError(format!("tiers.{e}")))?,
                ))
            }
        };
        let zoning = match &self.spec.peers {
            Some(peers) => Some(self.join(peers, router, zoning)?),
            None => zoning,
        };
        let engine = Engine::new(settings, seed);
        let mut engine = match zoning {
            Some(zoning) => engine.with_locality_policy(zoning),
            None => engine,
        };
        if self.now > BEGIN {
            self.routers[router].struck = Some(self.now);
        }
        // What it had last. It may be old.
        let told = self.routers[router].told;
        let known = self.list_at(told);
        let starts = known
            .iter()
            .filter_map(|e| Some((self.names[&e.node], e.started_at?)))
            .collect();
        engine.update_endpoints(EndpointUpdate::Restored(known));
        self.routers[router].engine = Some(engine);
        self.routers[router].closed.clear();
        self.routers[router].starts = starts;
        if self.now > BEGIN {
            self.call(router as u32);
        } else {
            let list = self.list_at(0);
            self.routers[router]
                .engine
                .as_mut()
                .expect("just made")
                .update_endpoints(EndpointUpdate::Full(list));
        }
        self.settle(router as u32);
        self.say(router as u32);
        Ok(())
    }

    pub(super) fn stop(&mut self, router: u32) {
        let now = self.now;
        let r = &mut self.routers[router as usize];
        if r.engine.take().is_none() {
            return;
        }
        r.epoch += 1;
        r.wake = None;
        (r.talk, r.struck) = (None, Some(now));
        let pools = std::mem::replace(&mut r.pools, vec![(0, 0); self.nodes.len()]);
        let attempts = std::mem::take(&mut r.attempts);
        for (node, (epoch, idle)) in self.nodes.iter_mut().zip(pools) {
            if node.epoch == epoch {
                node.connections = node.connections.saturating_sub(idle);
            }
        }
        let mut runs: Vec<u32> = attempts.into_values().collect();
        runs.sort_unstable();
        for run in runs {
            self.abandon(run);
        }
        let held: Vec<u32> = self
            .requests
            .iter()
            .filter(|(_, r)| r.awaiting.is_some() && r.router == router)
            .map(|(id, _)| id as u32)
            .collect();
        for id in held {
            let r = &mut self.requests[id as usize];
            (r.awaiting, r.key) = (None, None);
            self.unserved(id, false, None);
        }
    }

    pub(super) fn live(&mut self, router: u32, epoch: u32) -> Option<&mut Engine> {
        let r = &mut self.routers[router as usize];
        r.engine.as_mut().filter(|_| r.epoch == epoch)
    }

    pub(super) fn wake(&mut self, router: u32) {
        let now = self.now;
        let r = &mut self.routers[router as usize];
        if r.wake.is_none_or(|at| at > now) {
            return;
        }
        r.wake = None;
        let Some(engine) = &mut r.engine else { return };
        while let Some(due) = engine.deadlines.pop(now) {
            match due {
                Deadline::Wake => engine.wake(),
                Deadline::Attempt(id) => engine.attempt_timed_out(id, now),
                _ => {}
            }
        }
        self.settle(router);
    }

    /// Lets a router decide on what has come, and carries that out.
    pub(super) fn settle(&mut self, router: u32) {
        for _ in 0..ROUNDS {
            let now = self.now;
            let Some(engine) = &mut self.routers[router as usize].engine else {
                return;
            };
            let commands = engine.decide(now);
            if commands.is_empty() {
                break;
            }
            for command in commands {
                self.carry_out(router, command);
            }
        }
        let r = &mut self.routers[router as usize];
        let Some(next) = r.engine.as_ref().and_then(|c| c.deadlines.next()) else {
            return;
        };
        if r.wake.is_none_or(|at| next < at) {
            r.wake = Some(next);
            self.at(next, Event::Wake(router));
        }
    }

    pub(super) fn carry_out(&mut self, router: u32, command: Command) {
        match command {
            Command::Send {
                attempt,
                origin,
                node,
            } => self.send(router, attempt, origin, &node),
            Command::CancelAttempt { attempt, .. } => {
                if let Some(run) = self.routers[router as usize].attempts.remove(&attempt) {
                    self.abandon(run);
                }
            }
            Command::HealthCheck(node) => self.probe(router, &node),
            Command::CloseIdle(node) => {
                let Some(&node) = self.names.get(&node) else {
                    return;
                };
                let pool = &mut self.routers[router as usize].pools[node as usize];
                let known = &mut self.nodes[node as usize];
                if pool.0 == known.epoch {
                    known.connections = known.connections.saturating_sub(pool.1);
                }
                pool.1 = 0;
            }
            Command::Answer { origin, answer, .. } => {
                let id = origin.number() as u32;
                let second = (self.second() as usize).min(self.seconds.len() - 1);
                match answer {
                    FinalAnswer::Rejected(told) => {
                        self.seconds[second].refused += 1;
                        if self.answered(id, "refused") {
                            self.unserved(id, true, told);
                        }
                    }
                    FinalAnswer::Failed => {
                        self.seconds[second].failed += 1;
                        if self.answered(id, "failed") {
                            self.unserved(id, false, None);
                        }
                    }
                }
            }
        }
    }

    pub(super) fn routers_of(&self, zone: usize) -> Vec<u32> {
        (0..self.routers.len() as u32)
            .filter(|r| self.routers[*r as usize].zone == zone)
            .collect()
    }

    pub(super) fn probe(&mut self, router: u32, node: &NodeId) {
        self.counted.probes += 1;
        let Some(&node) = self.names.get(node) else {
            return;
        };
        let epoch = self.routers[router as usize].epoch;
        match self.out(router, node) {
            Some(wait) => self.at(
                self.now + wait,
                Event::ProbeAt {
                    router,
                    epoch,
                    node,
                },
            ),
            None => {
                let timeout = self.settings[router as usize].connect_timeout;
                self.at(
                    self.now + timeout,
                    Event::ProbeBack {
                        router,
                        epoch,
                        node,
                        told: None,
                    },
                );
            }
        }
    }

    pub(super) fn probe_at(&mut self, router: u32, epoch: u32, node: u32) {
        let known = &self.nodes[node as usize];
        let (group, member, up) = (known.group, known.member, known.up);
        // A report is as old as its last refresh.
        let old = us(self.uniform((0.0, 0.15)));
        let log = &mut self.groups[group].0;
        let role = if log.primary() == Some(member) {
            Role::Primary
        } else {
            Role::Replica
        };
        let position = Some(log.position(member, self.now).saturating_sub(old));
        let machine = &self.nodes[node as usize].machine;
        let (held, busy) = (
            machine.in_flight() as u32,
            (machine.utilization() * 1e3) as u32,
        );
        let told = up.then_some(NodeReport {
            position,
            role: Some(role),
            in_flight: Some(held),
            utilization_permille: Some(busy),
            age: 0,
        });
        if let Some(wait) = self.home(router, node) {
            self.at(
                self.now + wait,
                Event::ProbeBack {
                    router,
                    epoch,
                    node,
                    told,
                },
            );
        }
    }
}
