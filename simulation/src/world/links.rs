//! The links between routers and nodes: connections, attempts under way, and what is lost.

use super::{Event, Run, World, us};
use crate::rules::Rule;
use crate::spec::Reads;
use plovercove::{AttemptEnd, Micros, NodeId, NodeReport, Role};
use plovercove_engine::{AttemptId, Key};
use rand::RngExt;
use rand_distr::Distribution;

/// A message that was lost comes again after so long.
const RESEND: Micros = 200_000;

impl World<'_> {
    /// The time of one message between these zones; none where it is lost for good.
    pub(super) fn trip(&mut self, from: usize, to: usize, lost: bool) -> Option<Micros> {
        if lost {
            return None;
        }
        let base = self.trips[from][to] * self.uniform((0.85, 1.25));
        let again = if self.spec.net.loss > 0.0 && self.rng.random::<f64>() < self.spec.net.loss {
            RESEND
        } else {
            0
        };
        Some(base as Micros + again)
    }

    pub(super) fn out(&mut self, router: u32, node: u32) -> Option<Micros> {
        let (from, to) = (
            self.routers[router as usize].zone,
            self.nodes[node as usize].zone,
        );
        let lost = self.to_node[from][to] > 0;
        self.trip(from, to, lost)
    }

    pub(super) fn home(&mut self, router: u32, node: u32) -> Option<Micros> {
        let (to, from) = (
            self.routers[router as usize].zone,
            self.nodes[node as usize].zone,
        );
        let lost = self.to_router[from][to] > 0;
        self.trip(from, to, lost)
    }

    pub(super) fn send(&mut self, router: u32, attempt: AttemptId, origin: Key, node: &NodeId) {
        let (name, node) = (node, self.names[node]);
        let id = origin.number() as u32;
        let second = self.second();
        let class = self.requests[id as usize].class;
        let (from, to) = (
            self.routers[router as usize].zone,
            self.nodes[node as usize].zone,
        );
        self.counted.attempts += 1;
        self.counted.to_bad += u64::from(self.bad[node as usize].is_some());
        let grace = self.settings[router as usize].drain_grace;
        if self.routers[router as usize]
            .closed
            .get(name)
            .is_some_and(|told| self.now > told + grace)
        {
            self.breaches.add(Rule::Drain, second, || {
                format!("router {router} to node {name}")
            });
        }
        if attempt.number >= self.settings[router as usize].max_attempts {
            self.breaches.add(Rule::Attempts, second, || {
                format!("attempt {}", attempt.number)
            });
        }
        let spec = &self.spec.classes[class as usize];
        if spec.reads != Reads::Write {
            if from != to
                && let Some(s) = self.seconds.get_mut(second as usize)
            {
                s.spilled[to] += spec.work_ms / 1e3;
            }
            let known = &self.nodes[node as usize];
            let replica = self.groups[known.group].0.primary() != Some(known.member);
            if replica && self.now < self.first_fault && second >= 2.0 {
                self.counted.local.0 += u64::from(from == to);
                self.counted.local.1 += 1;
            }
        }
        let work = self.works[class as usize].sample(&mut self.rng);
        self.requests[id as usize].holds += 1;
        let (router_epoch, node_epoch) = (
            self.routers[router as usize].epoch,
            self.nodes[node as usize].epoch,
        );
        let run = self.runs.insert(Run {
            router,
            router_epoch,
            attempt,
            node,
            node_epoch,
            request: id,
            class,
            work,
            sent: self.now,
            given_up: false,
            position: 0,
            by_head: false,
            at_node: false,
        }) as u32;
        self.routers[router as usize].attempts.insert(attempt, run);
        let pool = &mut self.routers[router as usize].pools[node as usize];
        if pool.0 != node_epoch {
            *pool = (node_epoch, 0);
        }
        if pool.1 > 0 && self.nodes[node as usize].id == *name {
            pool.1 -= 1;
            return self.write(run);
        }
        // A connection must come up first: there and back, and there.
        let known = &self.nodes[node as usize];
        // At the address of a machine that was replaced nobody is.
        let (up, full) = (
            known.up && known.id == *name,
            known.connections >= self.spec.node.connections,
        );
        let wait = match (self.out(router, node), self.home(router, node)) {
            (Some(out), Some(home)) => Some(out + home),
            _ => None,
        };
        match wait {
            None => {
                let timeout = self.settings[router as usize].connect_timeout;
                self.at(
                    self.now + timeout,
                    Event::Back {
                        run,
                        ending: AttemptEnd::Unreachable,
                    },
                );
            }
            Some(wait) if !up || full => {
                self.at(
                    self.now + wait,
                    Event::Back {
                        run,
                        ending: AttemptEnd::Unreachable,
                    },
                );
            }
            Some(wait) => {
                self.nodes[node as usize].connections += 1;
                self.at(
                    self.now + wait + us(self.spec.net.handshake_ms / 1e3),
                    Event::Up(run),
                );
            }
        }
    }

    /// The last byte of an attempt is written.
    pub(super) fn write(&mut self, run: u32) {
        let r = &mut self.runs[run as usize];
        r.sent = self.now;
        let (router, node, attempt) = (r.router, r.node, r.attempt);
        if let Some(engine) = &mut self.routers[router as usize].engine {
            engine.attempt_written(attempt);
        }
        match self.out(router, node) {
            Some(wait) => self.at(self.now + wait, Event::AtNode(run)),
            None => self.vanish(run),
        }
    }

    pub(super) fn up(&mut self, run: u32) {
        let r = &self.runs[run as usize];
        let (router, epoch, node, attempt) = (r.router, r.router_epoch, r.node, r.attempt);
        if r.given_up {
            return self.forget(run);
        }
        if self.nodes[node as usize].epoch != r.node_epoch {
            return self.back(run, AttemptEnd::Unreachable);
        }
        let now = self.now;
        let Some(engine) = self.live(router, epoch) else {
            return self.forget(run);
        };
        if engine.may_still_send(attempt, now) {
            self.write(run);
        } else {
            self.back(run, AttemptEnd::NeverSent);
        }
    }

    /// What was written never arrives, or its answer does not; nothing tells the router.
    pub(super) fn vanish(&mut self, run: u32) {
        let r = &self.runs[run as usize];
        let (router, attempt, given_up) = (r.router, r.attempt, r.given_up);
        if !given_up {
            self.routers[router as usize].attempts.remove(&attempt);
        }
        self.forget(run);
    }

    /// The one place where a run's slot is given back.
    pub(super) fn forget(&mut self, run: u32) {
        let run = self.runs.remove(run as usize);
        self.requests[run.request as usize].holds -= 1;
        self.release(run.request);
    }

    /// Its router closes its connection: the answer reaches nobody. What the node does goes on.
    pub(super) fn abandon(&mut self, run: u32) {
        let r = &mut self.runs[run as usize];
        r.given_up = true;
        let node = &mut self.nodes[r.node as usize];
        if node.epoch == r.node_epoch {
            node.connections = node.connections.saturating_sub(1);
        }
    }

    pub(super) fn reply(&mut self, run: u32, ending: AttemptEnd) {
        let r = &mut self.runs[run as usize];
        r.at_node = false;
        let (router, node) = (r.router, r.node);
        match self.home(router, node) {
            Some(wait) => self.at(self.now + wait, Event::Back { run, ending }),
            None => self.vanish(run),
        }
    }

    pub(super) fn back(&mut self, id: u32, ending: AttemptEnd) {
        let run = &self.runs[id as usize];
        if run.given_up {
            return self.forget(id);
        }
        let (router, epoch, node, attempt, request) = (
            run.router,
            run.router_epoch,
            run.node,
            run.attempt,
            run.request,
        );
        let (position, by_head, sent, class) =
            (run.position, run.by_head, run.sent, run.class as usize);
        let known = &mut self.nodes[node as usize];
        let (group, member) = (known.group, known.member);
        let kept = matches!(
            ending,
            AttemptEnd::Success
                | AttemptEnd::Failure
                | AttemptEnd::Misdirected
                | AttemptEnd::Overloaded
                | AttemptEnd::NeverSent
        );
        if known.epoch == run.node_epoch {
            let pool = &mut self.routers[router as usize].pools[node as usize];
            if kept {
                *pool = (
                    known.epoch,
                    if pool.0 == known.epoch { pool.1 + 1 } else { 1 },
                );
            } else if ending == AttemptEnd::Reset {
                known.connections = known.connections.saturating_sub(1);
            }
        }
        let head = self.groups[group].0.primary() == Some(member);
        let write = self.spec.classes[class].reads == Reads::Write;
        let answers = matches!(
            ending,
            AttemptEnd::Success | AttemptEnd::Misdirected | AttemptEnd::Failure
        );
        let note = NodeReport {
            role: answers.then_some(if head { Role::Primary } else { Role::Replica }),
            position: (write && ending == AttemptEnd::Success).then_some(self.now),
            ..NodeReport::default()
        };
        self.routers[router as usize].attempts.remove(&attempt);
        let now = self.now;
        let Some(engine) = self.live(router, epoch) else {
            return self.forget(id);
        };
        let served = engine.attempt_ended(now, attempt, ending, note, NodeReport::default());
        if served.is_some() {
            let need = match self.spec.classes[class].reads {
                Reads::Bounded(ms) => sent.saturating_sub(ms * 1_000),
                Reads::Session => self.requests[request as usize].need.unwrap_or(0),
                Reads::Any | Reads::Write => 0,
            };
            if position < need && !by_head && !write {
                let (second, old) = (self.second(), (need - position) / 1_000);
                self.breaches.add(Rule::Stale, second, || {
                    format!("{old} ms too old, node {node}")
                });
            }
            self.served(request);
        }
        self.forget(id);
        self.settle(router);
    }

    pub(super) fn cut_zone(&mut self, zone: usize, on: bool) {
        for other in 0..self.spec.zones.len() {
            for lost in [
                &mut self.to_node[other][zone],
                &mut self.to_router[zone][other],
            ] {
                *lost = if on {
                    *lost + 1
                } else {
                    lost.saturating_sub(1)
                };
            }
        }
    }
}
