//! Updates the state of a request, its node and its class when an attempt ends.
//!
//! Each concern is updated in a step of its own, always in this order: the request and the locality policy, what the
//! node reports about itself, its health, its speed and concurrency limit, the latency of the class, the connection.
//! Finally the request waits for another attempt or is closed.

use crate::api::{Action, AttemptEnd, Micros, NodeId, NodeReport, RequestId};
use crate::balancer::Balancer;
use crate::concurrency_limit::Signal;
use crate::load;
use crate::node::{AttemptKey, InFlight};
use crate::primary::ReportOrigin;
use crate::request::{AttemptState, Request};

/// Time during which a node gets no requests after it rejected work because its queue was full, or broke a connection.
/// A connection that is refused within this time was refused because the node's connection table is full.
const FULL_NODE_BACKOFF: Micros = 30_000;

/// The end of one attempt, as the router reports it.
pub(crate) struct EndedAttempt {
    pub(crate) key: AttemptKey,
    pub(crate) end: AttemptEnd,
    /// Time between the send and the end of the attempt.
    pub(crate) elapsed: Micros,
    pub(crate) request_over: bool,
    /// What the answer reports about the node; as recent as the answer.
    pub(crate) answer_report: NodeReport,
    /// What a load report that came with the answer says about the node; it may be older than the answer.
    pub(crate) load_report: NodeReport,
}

/// An ended attempt, with the facts about its request that the updates need.
struct Observation {
    node: NodeId,
    class: usize,
    is_write: bool,
    end: AttemptEnd,
    elapsed: Micros,
}

impl Observation {
    /// Returns whether the node did not answer in time or rejected the attempt because its queue was full: it is
    /// presumably too busy.
    fn is_lost(&self) -> bool {
        matches!(self.end, AttemptEnd::TimedOut | AttemptEnd::Overloaded)
    }

    fn is_served(&self) -> bool {
        self.end == AttemptEnd::Success
    }

    fn elapsed_us(&self) -> f64 {
        self.elapsed as f64
    }
}

/// Returns whether the node itself answered.
fn is_answer(end: AttemptEnd) -> bool {
    matches!(
        end,
        AttemptEnd::Success
            | AttemptEnd::Failure
            | AttemptEnd::Misdirected
            | AttemptEnd::Overloaded
    )
}

impl Balancer {
    /// Handles the end of an attempt. The end of an unknown request or attempt is ignored.
    pub(crate) fn attempt_ended(&mut self, ended: EndedAttempt, actions: &mut Vec<Action>) {
        let Some(observation) = self.record_end(&ended) else {
            return;
        };
        if is_answer(ended.end) {
            let in_answer = ReportOrigin::Answer {
                sent_at: self.now.saturating_sub(ended.elapsed),
            };
            let node = &observation.node;
            self.observe_report(node, &ended.load_report, ReportOrigin::LoadReport, actions);
            self.observe_report(node, &ended.answer_report, in_answer, actions);
        }
        if observation.is_write && ended.end == AttemptEnd::Misdirected {
            let group = self.requests[&ended.key.request].group();
            self.forget_primary(group, &observation.node);
        }
        self.monitored.insert(observation.node.clone());
        self.observe_end(&observation, ended.key, actions);
        if observation.is_served() {
            self.remember_write(&observation, ended.key.request, &ended.answer_report);
            self.observe_patience(ended.key.request);
        }
        self.resume_or_close(&ended);
    }

    /// Records what a node reports about itself, either in an answer or in a load report, which may be older.
    pub(crate) fn observe_report(
        &mut self,
        id: &NodeId,
        report: &NodeReport,
        origin: ReportOrigin,
        actions: &mut Vec<Action>,
    ) {
        let (now, requested_at) = (self.now, load::requested_at(self.now, report.age));
        let Some(node) = self.nodes.get_mut(id) else {
            return;
        };
        node.reported_at = node.reported_at.max(requested_at);
        // A position from the future would let stale reads through, so it is ignored.
        if let Some(position) = report.position.filter(|position| *position <= now) {
            node.position.observe(position, requested_at);
        }
        let newer = |_: &u32| node.external_load.is_superseded_by(requested_at);
        if let Some(in_flight) = report.in_flight.filter(newer) {
            let others = (f64::from(in_flight) - node.in_flight.len() as f64).max(0.0);
            node.external_load.set(others, requested_at);
            let group = self.groups.entry(node.endpoint.group).or_default();
            group.external_load.observe_member(now, others);
            self.cores.observe(in_flight, report);
        }
        self.observe_role(id, report, origin, actions);
    }

    /// Records the end of an attempt in its request and in the locality policy.
    fn record_end(&mut self, ended: &EndedAttempt) -> Option<Observation> {
        let request = self.requests.get_mut(&ended.key.request)?;
        let attempt = request.attempts.get_mut(ended.key.attempt as usize)?;
        attempt.misdirected = ended.end == AttemptEnd::Misdirected;
        attempt.state = if ended.end.may_have_executed() {
            AttemptState::MayHaveExecuted
        } else {
            AttemptState::NotExecuted
        };
        let node = attempt.node.clone();
        let request = &self.requests[&ended.key.request];
        let query = self.routing_query(request);
        let observation = Observation {
            node,
            class: request.info.class,
            is_write: self.is_write(request),
            end: ended.end,
            elapsed: ended.elapsed,
        };
        if let Some(locality) = &mut self.locality {
            let node = &observation.node;
            locality.attempt_ended(self.now, &query, node, ended.end, ended.elapsed);
        }
        Some(observation)
    }

    /// Updates what is known of the node and the class of an ended attempt.
    fn observe_end(
        &mut self,
        observation: &Observation,
        key: AttemptKey,
        actions: &mut Vec<Action>,
    ) {
        let Some(node) = self.nodes.get_mut(&observation.node) else {
            return;
        };
        let in_flight = node.in_flight.remove(&key);
        self.observe_health(observation, in_flight, actions);
        self.observe_speed(observation);
        self.observe_latency(observation);
        self.observe_connection(observation, actions);
    }

    fn observe_health(
        &mut self,
        observation: &Observation,
        in_flight: Option<InFlight>,
        actions: &mut Vec<Action>,
    ) {
        let now = self.now;
        let node = self
            .nodes
            .get_mut(&observation.node)
            .expect("looked up before");
        if is_answer(observation.end) {
            node.observe_answer(now, actions);
        }
        match observation.end {
            AttemptEnd::Misdirected if observation.is_write => node.denied_primary_at = Some(now),
            AttemptEnd::Overloaded => node.backoff_until = now + FULL_NODE_BACKOFF,
            AttemptEnd::TimedOut | AttemptEnd::Reset | AttemptEnd::Unreachable
                if node.outlier.is_ejected =>
            {
                node.outlier.back_off(now);
            }
            AttemptEnd::TimedOut => {
                let expected = in_flight.map_or(1.0, |a| a.expected_latency.max(1.0));
                node.outlier
                    .observe_wait(observation.elapsed_us() / expected);
            }
            AttemptEnd::Reset | AttemptEnd::Unreachable => {
                node.backoff_until = now + FULL_NODE_BACKOFF;
                node.outlier.observe_broken_connection();
            }
            AttemptEnd::Success
            | AttemptEnd::Failure
            | AttemptEnd::Misdirected
            | AttemptEnd::Cancelled
            | AttemptEnd::NeverSent => {}
        }
    }

    /// Updates the node's slowness and its concurrency limit.
    fn observe_speed(&mut self, observation: &Observation) {
        let (now, sparse) = (self.now, self.has_sparse_view);
        let class_latency = self.classes[observation.class].latency;
        let node = self
            .nodes
            .get_mut(&observation.node)
            .expect("looked up before");
        // A router with a sparse view has few answers from each node, and would miss an overload that shows only in
        // lost attempts.
        let shows_speed = observation.is_served() || (sparse && observation.is_lost());
        if shows_speed && observation.end == AttemptEnd::Overloaded {
            node.slowness.observe_overload(now, sparse);
        } else if shows_speed {
            let ratio = observation.elapsed_us() / class_latency.max(1.0);
            node.slowness.observe(now, ratio, sparse);
        }
        let signal = if observation.is_lost() {
            Signal::Lost
        } else if observation.is_served() {
            let class = &self.settings.classes[observation.class];
            Signal::of_answer(observation.elapsed, class.latency_objective)
        } else {
            return;
        };
        node.limit.observe(now, signal, node.in_flight.len());
    }

    /// Updates the mean latency of the class, and the work of one request, which is the latency at warm nodes without a
    /// queue.
    fn observe_latency(&mut self, observation: &Observation) {
        let node = &self.nodes[&observation.node];
        let elapsed_us = observation.elapsed_us();
        let stats = &mut self.classes[observation.class];
        let is_past_slow_start = node
            .endpoint
            .started_at
            .is_none_or(|at| self.now >= at + self.settings.slow_start_duration);
        let present = node.in_flight.len() as f64 + node.external_load.reported();
        if observation.is_served() && is_past_slow_start && present < self.cores.cores() {
            stats.observe_queueless(elapsed_us);
        }
        // Unanswered waits count too: during an overload only the quick answers come back, and the mean would fall.
        let ended_unanswered = matches!(
            observation.end,
            AttemptEnd::TimedOut | AttemptEnd::Cancelled
        );
        let waited_unanswered =
            ended_unanswered && elapsed_us > stats.latency && !node.outlier.is_ejected;
        if observation.is_served() || waited_unanswered {
            stats.observe(elapsed_us);
        }
    }

    /// Updates whether a connection to the node is open, and closes idle connections if the node's connection table is
    /// full.
    ///
    /// The connections of hundreds of routers fill a node's connection table. The node then refuses new connections at
    /// once, and idle ones have to be closed. Connections to other nodes stay open: a dead node refuses at once too,
    /// and slow handshakes are a reason to keep connections.
    fn observe_connection(&mut self, observation: &Observation, actions: &mut Vec<Action>) {
        let now = self.now;
        let node = self
            .nodes
            .get_mut(&observation.node)
            .expect("looked up before");
        if observation.end == AttemptEnd::Unreachable {
            let refused_at_once = observation.elapsed < FULL_NODE_BACKOFF;
            let close_after_use_for = if refused_at_once {
                self.settings.connection_idle
            } else {
                0
            };
            node.close_after_use_until = now + close_after_use_for;
        }
        node.is_connected = !matches!(
            observation.end,
            AttemptEnd::Unreachable | AttemptEnd::Reset | AttemptEnd::NeverSent
        );
        let is_idle = node.is_connected && node.in_flight.is_empty();
        if self.has_sparse_view && is_idle && now < node.close_after_use_until {
            node.is_connected = false;
            actions.push(Action::CloseIdle(observation.node.clone()));
        }
    }

    /// Records the position of a session's write, if clients carry no session tokens.
    fn remember_write(
        &mut self,
        observation: &Observation,
        request: RequestId,
        answer: &NodeReport,
    ) {
        if !observation.is_write || self.settings.clients_carry_tokens {
            return;
        }
        let Some(session) = self.requests[&request].info.session else {
            return;
        };
        let committed_at = answer.position.unwrap_or(self.now);
        let applied_everywhere = || {
            let open = self.nodes.values().filter(|node| node.is_open());
            open.map(|node| node.position.applied_up_to).min()
        };
        self.session_writes
            .remember(session, committed_at, applied_everywhere);
    }

    /// Records that a client was still waiting at a time when others of its class would have left.
    fn observe_patience(&mut self, request: RequestId) {
        let request = &self.requests[&request];
        let departures = &mut self.classes[request.info.class].departures;
        let waited = (self.now - request.arrived_at) as f64;
        if request.is_open && waited > departures.mean_wait {
            departures.observe_patient_client();
        }
    }

    /// Closes the request, queues it for another attempt, or leaves it to an attempt that is still in flight. A queued
    /// request is placed later in this batch, since its client may leave in the same batch.
    fn resume_or_close(&mut self, ended: &EndedAttempt) {
        let id = ended.key.request;
        let waits = |request: &Request| request.is_open && !request.is_in_flight();
        if ended.request_over || ended.end == AttemptEnd::Success {
            self.close_request(id);
        } else if waits(&self.requests[&id]) {
            self.waiting.insert(id);
        } else {
            self.forget_if_done(id);
        }
    }
}
