//! The routers: each runs the real engine with the virtual time, and the simulation executes its commands.

use super::{Event, START_TIME, World, us_from_s};
use crate::spec::{SpecError, Variant};
use crate::strict::Strict;
use plovercove::{EndpointUpdate, LocalityPolicy, NodeId, NodeReport, Role};
use plovercove_engine::{Command, Deadline, Engine, FinalAnswer};
use plovercove_locality::ZoneFailover;

/// Maximum number of decision rounds after one event.
const MAX_DECISION_ROUNDS: usize = 16;

impl World<'_> {
    pub(super) fn start_router(&mut self, router: usize) -> Result<(), SpecError> {
        let zone = self.routers[router].zone;
        let name = &self.spec.zones[zone].name;
        let (settings, epoch) = (self.settings[router].clone(), self.routers[router].epoch);
        let seed = self.seed ^ ((router as u64 + 1) << 20) ^ (u64::from(epoch) << 50);
        let locality_policy: Option<Box<dyn LocalityPolicy>> = match self.spec.variant {
            Variant::Flat => None,
            Variant::Strict => Some(Box::new(Strict::new(name))),
            Variant::ZoneFailover => {
                let tiers = ZoneFailover::new(self.spec.locality_rules(), &settings, seed);
                Some(Box::new(
                    tiers.map_err(|e| SpecError(format!("tiers.{e}")))?,
                ))
            }
        };
        let locality_policy = match &self.spec.peers {
            Some(peers) => Some(self.start_gossip(peers, router, locality_policy)?),
            None => locality_policy,
        };
        let engine = Engine::new(settings, seed);
        let mut engine = match locality_policy {
            Some(locality_policy) => engine.with_locality_policy(locality_policy),
            None => engine,
        };
        if self.now > START_TIME {
            self.routers[router].last_restart = Some(self.now);
        }
        // The last list that the router had before the restart. It may be outdated.
        let version = self.routers[router].list_version;
        let restored = self.list_at_version(version);
        let starts = restored
            .iter()
            .filter_map(|e| Some((self.node_by_id[&e.node], e.started_at?)))
            .collect();
        engine.update_endpoints(EndpointUpdate::Restored(restored));
        self.routers[router].engine = Some(engine);
        self.routers[router].out_of_service_since.clear();
        self.routers[router].known_starts = starts;
        if self.now > START_TIME {
            self.call_list_service(router as u32);
        } else {
            let list = self.list_at_version(0);
            self.routers[router]
                .engine
                .as_mut()
                .expect("just made")
                .update_endpoints(EndpointUpdate::Full(list));
        }
        self.drive_engine(router as u32);
        self.flush_gossip(router as u32);
        Ok(())
    }

    pub(super) fn stop_router(&mut self, router: u32) {
        let now = self.now;
        let state = &mut self.routers[router as usize];
        if state.engine.take().is_none() {
            return;
        }
        state.epoch += 1;
        state.wake = None;
        (state.gossip, state.last_restart) = (None, Some(now));
        let pools = std::mem::replace(&mut state.pools, vec![(0, 0); self.nodes.len()]);
        let attempts = std::mem::take(&mut state.attempts);
        for (node, (epoch, idle)) in self.nodes.iter_mut().zip(pools) {
            if node.epoch == epoch {
                node.connections = node.connections.saturating_sub(idle);
            }
        }
        let mut sent_attempts: Vec<u32> = attempts.into_values().collect();
        sent_attempts.sort_unstable();
        for sent_attempt in sent_attempts {
            self.cancel_attempt(sent_attempt);
        }
        let open_requests: Vec<u32> = self
            .requests
            .iter()
            .filter(|(_, state)| state.answer_due.is_some() && state.router == router)
            .map(|(id, _)| id as u32)
            .collect();
        for id in open_requests {
            let state = &mut self.requests[id as usize];
            (state.answer_due, state.key) = (None, None);
            self.retry_or_give_up(id, false, None);
        }
    }

    pub(super) fn engine_of_epoch(&mut self, router: u32, epoch: u32) -> Option<&mut Engine> {
        let state = &mut self.routers[router as usize];
        state.engine.as_mut().filter(|_| state.epoch == epoch)
    }

    pub(super) fn wake_router(&mut self, router: u32) {
        let now = self.now;
        let state = &mut self.routers[router as usize];
        if state.wake.is_none_or(|at| at > now) {
            return;
        }
        state.wake = None;
        let Some(engine) = &mut state.engine else {
            return;
        };
        while let Some(due) = engine.deadlines.pop(now) {
            match due {
                Deadline::Wake => engine.wake(),
                Deadline::Attempt(id) => engine.attempt_timed_out(id, now),
                _ => {}
            }
        }
        self.drive_engine(router);
    }

    /// Lets a router decide on its new inputs and executes the commands.
    pub(super) fn drive_engine(&mut self, router: u32) {
        for _ in 0..MAX_DECISION_ROUNDS {
            let now = self.now;
            let Some(engine) = &mut self.routers[router as usize].engine else {
                return;
            };
            let commands = engine.decide(now);
            if commands.is_empty() {
                break;
            }
            for command in commands {
                self.execute_command(router, command);
            }
        }
        let state = &mut self.routers[router as usize];
        let Some(next) = state.engine.as_ref().and_then(|c| c.deadlines.next()) else {
            return;
        };
        if state.wake.is_none_or(|at| next < at) {
            state.wake = Some(next);
            self.schedule(next, Event::WakeRouter(router));
        }
    }

    pub(super) fn execute_command(&mut self, router: u32, command: Command) {
        match command {
            Command::Send {
                attempt,
                origin,
                node,
            } => self.send_attempt(router, attempt, origin, &node),
            Command::CancelAttempt { attempt, .. } => {
                if let Some(sent_attempt) = self.routers[router as usize].attempts.remove(&attempt)
                {
                    self.cancel_attempt(sent_attempt);
                }
            }
            Command::HealthCheck(node) => self.start_health_check(router, &node),
            Command::CloseIdle(node) => {
                let Some(&node) = self.node_by_id.get(&node) else {
                    return;
                };
                let pool = &mut self.routers[router as usize].pools[node as usize];
                let node_state = &mut self.nodes[node as usize];
                if pool.0 == node_state.epoch {
                    node_state.connections = node_state.connections.saturating_sub(pool.1);
                }
                pool.1 = 0;
            }
            Command::Answer { origin, answer, .. } => {
                let id = origin.number() as u32;
                let second = (self.now_s() as usize).min(self.seconds.len() - 1);
                match answer {
                    FinalAnswer::Rejected(retry_after) => {
                        self.seconds[second].refused += 1;
                        if self.take_final_answer(id, "refused") {
                            self.retry_or_give_up(id, true, retry_after);
                        }
                    }
                    FinalAnswer::Failed => {
                        self.seconds[second].failed += 1;
                        if self.take_final_answer(id, "failed") {
                            self.retry_or_give_up(id, false, None);
                        }
                    }
                }
            }
        }
    }

    pub(super) fn routers_of(&self, zone: usize) -> Vec<u32> {
        (0..self.routers.len() as u32)
            .filter(|state| self.routers[*state as usize].zone == zone)
            .collect()
    }

    pub(super) fn start_health_check(&mut self, router: u32, node: &NodeId) {
        self.totals.probes += 1;
        let Some(&node) = self.node_by_id.get(node) else {
            return;
        };
        let epoch = self.routers[router as usize].epoch;
        match self.delay_to_node(router, node) {
            Some(wait) => self.schedule(
                self.now + wait,
                Event::HealthCheckAtNode {
                    router,
                    epoch,
                    node,
                },
            ),
            None => {
                let timeout = self.settings[router as usize].connect_timeout;
                self.schedule(
                    self.now + timeout,
                    Event::HealthCheckEnded {
                        router,
                        epoch,
                        node,
                        load_report: None,
                    },
                );
            }
        }
    }

    pub(super) fn health_check_at_node(&mut self, router: u32, epoch: u32, node: u32) {
        let node_state = &self.nodes[node as usize];
        let (group, member, up) = (node_state.group, node_state.member, node_state.up);
        // A node's report was refreshed up to 0.15 s ago.
        let report_age = us_from_s(self.uniform((0.0, 0.15)));
        let log = &mut self.groups[group].0;
        let role = if log.primary() == Some(member) {
            Role::Primary
        } else {
            Role::Replica
        };
        let position = Some(log.position(member, self.now).saturating_sub(report_age));
        let machine = &self.nodes[node as usize].machine;
        let (in_flight, utilization_permille) = (
            machine.in_flight() as u32,
            (machine.utilization() * 1e3) as u32,
        );
        let load_report = up.then_some(NodeReport {
            position,
            role: Some(role),
            in_flight: Some(in_flight),
            utilization_permille: Some(utilization_permille),
            age: 0,
        });
        if let Some(wait) = self.delay_to_router(router, node) {
            self.schedule(
                self.now + wait,
                Event::HealthCheckEnded {
                    router,
                    epoch,
                    node,
                    load_report,
                },
            );
        }
    }
}
