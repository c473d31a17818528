//! What the end of an attempt tells: of its request, of its node and of its class.
//!
//! Each concern learns in a step of its own, always in this order: the request and the locality policy, what the node says of
//! itself, its health, its speed and limit, the class's latency, the connection; last the request waits, or is over.

use crate::api::{Action, AttemptEnd, Micros, NodeId, NodeReport, RequestId};
use crate::balancer::Balancer;
use crate::concurrency_limit::Signal;
use crate::load;
use crate::node::{AttemptKey, InFlight};
use crate::request::{AttemptState, Request};

/// A node that turned work away as full, or cut a connection, gets nothing for this long. A connection refused sooner than
/// this was refused because the node's table of connections is full.
const FULL_NODE_BACKOFF: Micros = 30_000;

/// The end of one attempt, as the router tells it.
pub(crate) struct EndedAttempt {
    pub(crate) key: AttemptKey,
    pub(crate) end: AttemptEnd,
    /// Time since the send.
    pub(crate) elapsed: Micros,
    pub(crate) request_over: bool,
    /// What the answer says of the node: as new as the answer.
    pub(crate) answer_report: NodeReport,
    /// What a report carried along says of it: maybe older.
    pub(crate) load_report: NodeReport,
}

/// An ended attempt, with what its request says of it.
struct Observation {
    node: NodeId,
    class: usize,
    is_write: bool,
    end: AttemptEnd,
    elapsed: Micros,
}

impl Observation {
    /// The node was too busy to serve it.
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

/// Whether the node itself spoke.
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
    /// Takes the end of an attempt; one of a request or attempt that is not known says nothing.
    pub(crate) fn attempt_ended(&mut self, ended: EndedAttempt, actions: &mut Vec<Action>) {
        let Some(observation) = self.record_end(&ended) else {
            return;
        };
        if is_answer(ended.end) {
            self.observe_report(&observation.node, &ended.load_report, false, actions);
            self.observe_report(&observation.node, &ended.answer_report, true, actions);
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

    /// What a node says of itself, in an answer or in a report, which may be older.
    pub(crate) fn observe_report(
        &mut self,
        id: &NodeId,
        report: &NodeReport,
        is_answer: bool,
        actions: &mut Vec<Action>,
    ) {
        let (now, asked_at) = (self.now, load::asked_at(self.now, report.age));
        let Some(node) = self.nodes.get_mut(id) else {
            return;
        };
        node.reported_at = node.reported_at.max(asked_at);
        // A position from the future would let stale reads through.
        if let Some(position) = report.position.filter(|position| *position <= now) {
            node.position.observe(position, asked_at);
        }
        let newer = |_: &u32| node.external_load.is_superseded_by(asked_at);
        if let Some(in_flight) = report.in_flight.filter(newer) {
            let others = (f64::from(in_flight) - node.in_flight.len() as f64).max(0.0);
            node.external_load.set(others, asked_at);
            let group = self.groups.entry(node.endpoint.group).or_default();
            group.external_load.observe_member(now, others);
            self.cores.observe(in_flight, report);
        }
        self.observe_role(id, report, is_answer, actions);
    }

    /// Records the end with the request and the locality policy.
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

    /// What an attempt's end says of its node and its class.
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

    /// The node's slowness and the limit of what may be in flight there.
    fn observe_speed(&mut self, observation: &Observation) {
        let (now, sparse) = (self.now, self.has_sparse_view);
        let class_latency = self.classes[observation.class].latency;
        let node = self
            .nodes
            .get_mut(&observation.node)
            .expect("looked up before");
        // Routers that have few answers each would miss a jam that shows in lost attempts alone.
        let tells_speed = observation.is_served() || (sparse && observation.is_lost());
        if tells_speed && observation.end == AttemptEnd::Overloaded {
            node.slowness.observe_overload(now, sparse);
        } else if tells_speed {
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

    /// The latency of the class, and the work of one request as warm nodes without a queue show it.
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
        // Waits in vain count as well, or the mean would know only the quick answers of a jam.
        let ended_in_vain = matches!(
            observation.end,
            AttemptEnd::TimedOut | AttemptEnd::Cancelled
        );
        let waited_in_vain =
            ended_in_vain && elapsed_us > stats.latency && !node.outlier.is_ejected;
        if observation.is_served() || waited_in_vain {
            stats.observe(elapsed_us);
        }
    }

    /// Whether a connection to the node is open, and whether it may stay so.
    ///
    /// Hundreds of routers fill a node's table of connections; it then refuses one at once, and idle ones must go. Only to
    /// such a node: a dead one refuses at once too, and a slow handshake asks for the opposite.
    fn observe_connection(&mut self, observation: &Observation, actions: &mut Vec<Action>) {
        let now = self.now;
        let node = self
            .nodes
            .get_mut(&observation.node)
            .expect("looked up before");
        if observation.end == AttemptEnd::Unreachable {
            let refused_at_once = observation.elapsed < FULL_NODE_BACKOFF;
            let scarce_for = if refused_at_once {
                self.settings.connection_idle
            } else {
                0
            };
            node.connections_scarce_until = now + scarce_for;
        }
        node.is_connected = !matches!(
            observation.end,
            AttemptEnd::Unreachable | AttemptEnd::Reset | AttemptEnd::NeverSent
        );
        let is_idle = node.is_connected && node.in_flight.is_empty();
        if self.has_sparse_view && is_idle && now < node.connections_scarce_until {
            node.is_connected = false;
            actions.push(Action::CloseIdle(observation.node.clone()));
        }
    }

    /// Remembers a session's write, where clients carry no tokens.
    fn remember_write(
        &mut self,
        observation: &Observation,
        request: RequestId,
        answer: &NodeReport,
    ) {
        if !observation.is_write || self.settings.clients_carry_tokens {
            return;
        }
        let Some(session) = self.requests[&request].info.session.clone() else {
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

    /// A client that was answered later than others leave shows that not all do.
    fn observe_patience(&mut self, request: RequestId) {
        let request = &self.requests[&request];
        let departures = &mut self.classes[request.info.class].departures;
        let waited = (self.now - request.arrived_at) as f64;
        if request.is_open && waited > departures.mean_wait {
            departures.observe_patient_client();
        }
    }

    /// The request is over, waits for its next attempt, or goes on elsewhere. A waiting one is decided on later in this
    /// batch, since its client may leave in it.
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
