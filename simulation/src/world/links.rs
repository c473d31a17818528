//! The links between routers and nodes: connections, attempts in flight and lost messages.

use super::{Event, SentAttempt, World, us_from_s};
use crate::rules::Rule;
use crate::spec::Reads;
use plovercove::{AttemptEnd, Micros, NodeId, NodeReport, Role};
use plovercove_engine::{AttemptId, Key};
use rand::RngExt;
use rand_distr::Distribution;

/// Additional delay (us) of a message that is lost once and retransmitted.
const RETRANSMIT_DELAY_US: Micros = 200_000;

impl World<'_> {
    /// Returns the delay of a message between these zones, or `None` if the link is cut.
    pub(super) fn message_delay(&mut self, from: usize, to: usize, lost: bool) -> Option<Micros> {
        if lost {
            return None;
        }
        let base = self.mean_delays_us[from][to] * self.uniform((0.85, 1.25));
        let again = if self.spec.net.loss > 0.0 && self.rng.random::<f64>() < self.spec.net.loss {
            RETRANSMIT_DELAY_US
        } else {
            0
        };
        Some(base as Micros + again)
    }

    pub(super) fn delay_to_node(&mut self, router: u32, node: u32) -> Option<Micros> {
        let (from, to) = (
            self.routers[router as usize].zone,
            self.nodes[node as usize].zone,
        );
        let lost = self.lost_to_node[from][to] > 0;
        self.message_delay(from, to, lost)
    }

    pub(super) fn delay_to_router(&mut self, router: u32, node: u32) -> Option<Micros> {
        let (to, from) = (
            self.routers[router as usize].zone,
            self.nodes[node as usize].zone,
        );
        let lost = self.lost_to_router[from][to] > 0;
        self.message_delay(from, to, lost)
    }

    pub(super) fn send_attempt(
        &mut self,
        router: u32,
        attempt: AttemptId,
        origin: Key,
        node: &NodeId,
    ) {
        let (name, node) = (node, self.node_by_id[node]);
        let id = origin.number() as u32;
        let second = self.now_s();
        let class = self.requests[id as usize].class;
        let (from, to) = (
            self.routers[router as usize].zone,
            self.nodes[node as usize].zone,
        );
        self.totals.attempts += 1;
        self.totals.to_bad += u64::from(self.failing_nodes[node as usize].is_some());
        let grace = self.settings[router as usize].drain_grace;
        if self.routers[router as usize]
            .out_of_service_since
            .get(name)
            .is_some_and(|since| self.now > since + grace)
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
            let node_state = &self.nodes[node as usize];
            let replica = self.groups[node_state.group].0.primary() != Some(node_state.member);
            if replica && self.now < self.first_fault && second >= 2.0 {
                self.totals.local.0 += u64::from(from == to);
                self.totals.local.1 += 1;
            }
        }
        let work = self.class_work[class as usize].sample(&mut self.rng);
        self.requests[id as usize].references += 1;
        let (router_epoch, node_epoch) = (
            self.routers[router as usize].epoch,
            self.nodes[node as usize].epoch,
        );
        let sent_attempt = self.sent_attempts.insert(SentAttempt {
            router,
            router_epoch,
            attempt,
            node,
            node_epoch,
            request: id,
            class,
            work,
            sent: self.now,
            is_cancelled: false,
            position: 0,
            by_primary: false,
            at_node: false,
        }) as u32;
        self.routers[router as usize]
            .attempts
            .insert(attempt, sent_attempt);
        let pool = &mut self.routers[router as usize].pools[node as usize];
        if pool.0 != node_epoch {
            *pool = (node_epoch, 0);
        }
        if pool.1 > 0 && self.nodes[node as usize].id == *name {
            pool.1 -= 1;
            return self.write_attempt(sent_attempt);
        }
        // Opening a connection takes a round trip and the handshake.
        let node_state = &self.nodes[node as usize];
        // A node that was replaced no longer listens at its address.
        let (up, full) = (
            node_state.up && node_state.id == *name,
            node_state.connections >= self.spec.node.connections,
        );
        let wait = match (
            self.delay_to_node(router, node),
            self.delay_to_router(router, node),
        ) {
            (Some(out), Some(home)) => Some(out + home),
            _ => None,
        };
        match wait {
            None => {
                let timeout = self.settings[router as usize].connect_timeout;
                self.schedule(
                    self.now + timeout,
                    Event::ReplyArrived {
                        sent_attempt,
                        ending: AttemptEnd::Unreachable,
                    },
                );
            }
            Some(wait) if !up || full => {
                self.schedule(
                    self.now + wait,
                    Event::ReplyArrived {
                        sent_attempt,
                        ending: AttemptEnd::Unreachable,
                    },
                );
            }
            Some(wait) => {
                self.nodes[node as usize].connections += 1;
                self.schedule(
                    self.now + wait + us_from_s(self.spec.net.handshake_ms / 1e3),
                    Event::ConnectionUp(sent_attempt),
                );
            }
        }
    }

    /// Marks an attempt as completely written and sends it to the node.
    pub(super) fn write_attempt(&mut self, sent_attempt: u32) {
        let r = &mut self.sent_attempts[sent_attempt as usize];
        r.sent = self.now;
        let (router, node, attempt) = (r.router, r.node, r.attempt);
        if let Some(engine) = &mut self.routers[router as usize].engine {
            engine.attempt_written(attempt);
        }
        match self.delay_to_node(router, node) {
            Some(wait) => self.schedule(self.now + wait, Event::AttemptAtNode(sent_attempt)),
            None => self.lose_silently(sent_attempt),
        }
    }

    pub(super) fn connection_up(&mut self, sent_attempt: u32) {
        let r = &self.sent_attempts[sent_attempt as usize];
        let (router, epoch, node, attempt) = (r.router, r.router_epoch, r.node, r.attempt);
        if r.is_cancelled {
            return self.remove_attempt(sent_attempt);
        }
        if self.nodes[node as usize].epoch != r.node_epoch {
            return self.reply_arrived(sent_attempt, AttemptEnd::Unreachable);
        }
        let now = self.now;
        let Some(engine) = self.engine_of_epoch(router, epoch) else {
            return self.remove_attempt(sent_attempt);
        };
        if engine.may_still_send(attempt, now) {
            self.write_attempt(sent_attempt);
        } else {
            self.reply_arrived(sent_attempt, AttemptEnd::NeverSent);
        }
    }

    /// Loses an attempt or its reply. The router receives no event.
    pub(super) fn lose_silently(&mut self, sent_attempt: u32) {
        let r = &self.sent_attempts[sent_attempt as usize];
        let (router, attempt, given_up) = (r.router, r.attempt, r.is_cancelled);
        if !given_up {
            self.routers[router as usize].attempts.remove(&attempt);
        }
        self.remove_attempt(sent_attempt);
    }

    /// Removes an attempt. No other function removes attempts.
    pub(super) fn remove_attempt(&mut self, sent_attempt: u32) {
        let sent_attempt = self.sent_attempts.remove(sent_attempt as usize);
        self.requests[sent_attempt.request as usize].references -= 1;
        self.release_request(sent_attempt.request);
    }

    /// Closes the connection of an attempt: the router ignores its reply, and the node continues the work.
    pub(super) fn cancel_attempt(&mut self, sent_attempt: u32) {
        let r = &mut self.sent_attempts[sent_attempt as usize];
        r.is_cancelled = true;
        let node = &mut self.nodes[r.node as usize];
        if node.epoch == r.node_epoch {
            node.connections = node.connections.saturating_sub(1);
        }
    }

    pub(super) fn send_reply(&mut self, sent_attempt: u32, ending: AttemptEnd) {
        let r = &mut self.sent_attempts[sent_attempt as usize];
        r.at_node = false;
        let (router, node) = (r.router, r.node);
        match self.delay_to_router(router, node) {
            Some(wait) => self.schedule(
                self.now + wait,
                Event::ReplyArrived {
                    sent_attempt,
                    ending,
                },
            ),
            None => self.lose_silently(sent_attempt),
        }
    }

    pub(super) fn reply_arrived(&mut self, id: u32, ending: AttemptEnd) {
        let sent_attempt = &self.sent_attempts[id as usize];
        if sent_attempt.is_cancelled {
            return self.remove_attempt(id);
        }
        let (router, epoch, node, attempt, request) = (
            sent_attempt.router,
            sent_attempt.router_epoch,
            sent_attempt.node,
            sent_attempt.attempt,
            sent_attempt.request,
        );
        let (position, by_head, sent, class) = (
            sent_attempt.position,
            sent_attempt.by_primary,
            sent_attempt.sent,
            sent_attempt.class as usize,
        );
        let node_state = &mut self.nodes[node as usize];
        let (group, member) = (node_state.group, node_state.member);
        let keeps_connection = matches!(
            ending,
            AttemptEnd::Success
                | AttemptEnd::Failure
                | AttemptEnd::Misdirected
                | AttemptEnd::Overloaded
                | AttemptEnd::NeverSent
        );
        if node_state.epoch == sent_attempt.node_epoch {
            let pool = &mut self.routers[router as usize].pools[node as usize];
            if keeps_connection {
                *pool = (
                    node_state.epoch,
                    if pool.0 == node_state.epoch {
                        pool.1 + 1
                    } else {
                        1
                    },
                );
            } else if ending == AttemptEnd::Reset {
                node_state.connections = node_state.connections.saturating_sub(1);
            }
        }
        let is_primary = self.groups[group].0.primary() == Some(member);
        let write = self.spec.classes[class].reads == Reads::Write;
        let answers = matches!(
            ending,
            AttemptEnd::Success | AttemptEnd::Misdirected | AttemptEnd::Failure
        );
        let answer_report = NodeReport {
            role: answers.then_some(if is_primary {
                Role::Primary
            } else {
                Role::Replica
            }),
            position: (write && ending == AttemptEnd::Success).then_some(self.now),
            ..NodeReport::default()
        };
        self.routers[router as usize].attempts.remove(&attempt);
        let now = self.now;
        let Some(engine) = self.engine_of_epoch(router, epoch) else {
            return self.remove_attempt(id);
        };
        let served =
            engine.attempt_ended(now, attempt, ending, answer_report, NodeReport::default());
        if served.is_some() {
            let need = match self.spec.classes[class].reads {
                Reads::Bounded(ms) => sent.saturating_sub(ms * 1_000),
                Reads::Session => self.requests[request as usize]
                    .required_position
                    .unwrap_or(0),
                Reads::Any | Reads::Write => 0,
            };
            if position < need && !by_head && !write {
                let (second, old) = (self.now_s(), (need - position) / 1_000);
                self.breaches.add(Rule::Stale, second, || {
                    format!("{old} ms too old, node {node}")
                });
            }
            self.request_served(request);
        }
        self.remove_attempt(id);
        self.drive_engine(router);
    }

    pub(super) fn set_zone_cut(&mut self, zone: usize, on: bool) {
        for other in 0..self.spec.zones.len() {
            for lost in [
                &mut self.lost_to_node[other][zone],
                &mut self.lost_to_router[zone][other],
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
