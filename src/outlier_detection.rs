//! Outlier detection: nodes that take work and answer nothing are ejected, and tried again at growing intervals.
//!
//! It guards against a node that accepts requests and never answers: its queue looks short, so it would get ever more. A
//! node is judged by how long its attempts have waited in vain, in mean latencies, since its last answer. A busy node looks
//! silent too, since requests in one queue are late together; where health checks are allowed it must leave one of those
//! unanswered as well. When most nodes look bad the cause is common (a jam, this router's own link), and no more are ejected.

use crate::api::{Action, Idempotency, LogEvent, Micros, NodeId, Time};
use crate::balancer::Balancer;
use crate::health_check::MIN_TIME_BETWEEN_CHECKS;
use crate::node::{InFlight, Node};

/// Waits in vain, in mean latencies, that eject a node.
const EJECTION_WAITS: f64 = 9.0;
/// The most that a single attempt adds to them, so that a few lost answers eject nobody.
const MAX_WAITS_PER_ATTEMPT: f64 = 3.5;
/// A node that answered within this time is asked for a report before it is ejected.
const BENEFIT_OF_DOUBT: Micros = 600_000;
/// It must have answered that health check by then.
const HEALTH_CHECK_TIMEOUT: Micros = 60_000;
/// Wait before the first trial of an ejected node; it doubles with each that fails.
pub(crate) const FIRST_TRIAL_BACKOFF: Micros = 500_000;
/// The longest wait between two trials.
const MAX_TRIAL_BACKOFF: Micros = 4_000_000;
/// The largest share of the nodes in service that may be ejected at once. One always may.
const MAX_EJECTED_SHARE: f64 = 0.5;

/// What outlier detection knows of one node.
#[derive(Clone, Debug)]
pub(crate) struct OutlierState {
    pub(crate) last_answer_at: Time,
    /// How long attempts that have ended waited in vain since the last answer, in mean latencies.
    waits_in_vain: f64,
    pub(crate) is_ejected: bool,
    trial_at: Time,
    trial_backoff: Micros,
}

impl OutlierState {
    /// A node that nothing is held against.
    pub(crate) fn new(now: Time) -> Self {
        OutlierState {
            last_answer_at: now,
            waits_in_vain: 0.0,
            is_ejected: false,
            trial_at: 0,
            trial_backoff: FIRST_TRIAL_BACKOFF,
        }
    }

    /// Its process is a new one.
    pub(crate) fn restart(&mut self, now: Time) {
        self.is_ejected = false;
        self.answered(now);
    }

    /// It answered, so it is alive.
    fn answered(&mut self, now: Time) {
        self.waits_in_vain = 0.0;
        self.last_answer_at = now;
        self.trial_backoff = FIRST_TRIAL_BACKOFF;
    }

    /// An attempt ended without an answer after so many mean latencies.
    pub(crate) fn observe_wait(&mut self, mean_latencies: f64) {
        self.waits_in_vain += mean_latencies.min(MAX_WAITS_PER_ATTEMPT);
    }

    /// A connection broke or could not be made: as bad as the longest wait.
    pub(crate) fn observe_broken_connection(&mut self) {
        self.waits_in_vain += MAX_WAITS_PER_ATTEMPT;
    }

    /// A trial failed, or the node is ejected now: the next trial is due later than the one before.
    pub(crate) fn back_off(&mut self, now: Time) {
        self.trial_at = now + self.trial_backoff;
        self.trial_backoff = (self.trial_backoff * 2).min(MAX_TRIAL_BACKOFF);
    }

    /// It is ejected, and the wait before its next trial is over.
    pub(crate) fn trial_is_due(&self, now: Time) -> bool {
        self.is_ejected && now >= self.trial_at
    }

    /// How long one attempt in flight has waited since the last answer, in mean latencies.
    fn wait_since_answer(&self, attempt: &InFlight, now: Time) -> f64 {
        let waited = |until: Time| {
            let elapsed = until.saturating_sub(attempt.sent_at) as f64;
            (elapsed / attempt.expected_latency.max(1.0)).min(MAX_WAITS_PER_ATTEMPT)
        };
        waited(now) - waited(self.last_answer_at)
    }
}

impl Node {
    /// It answered: whatever was held against it is forgotten.
    pub(crate) fn observe_answer(&mut self, now: Time, actions: &mut Vec<Action>) {
        self.outlier.answered(now);
        if std::mem::take(&mut self.outlier.is_ejected) {
            let text = format!("node {}: answers again", self.id());
            actions.push(Action::Log(LogEvent::for_node(
                self.id(),
                LogEvent::ANSWERS_AGAIN,
                text,
            )));
        }
    }

    /// Whether its attempts have waited for so long that it looks silent.
    fn looks_silent(&self, now: Time) -> bool {
        let waits: f64 = self
            .in_flight
            .values()
            .map(|attempt| self.outlier.wait_since_answer(attempt, now))
            .sum();
        waits + self.outlier.waits_in_vain >= EJECTION_WAITS
    }

    /// Whether it is given time to answer a health check first; asks for one where none is under way.
    fn has_benefit_of_doubt(&mut self, now: Time, actions: &mut Vec<Action>) -> bool {
        if now >= self.outlier.last_answer_at + BENEFIT_OF_DOUBT {
            return false;
        }
        let last_check_answered = self.reported_at >= self.checked_at;
        if last_check_answered && now >= self.reported_at + MIN_TIME_BETWEEN_CHECKS {
            self.checked_at = now;
            actions.push(Action::HealthCheck(self.id().clone()));
        }
        last_check_answered || now < self.checked_at + HEALTH_CHECK_TIMEOUT
    }

    fn eject(&mut self, now: Time, actions: &mut Vec<Action>) {
        self.outlier.is_ejected = true;
        self.outlier.back_off(now);
        let silent_ms = now.saturating_sub(self.outlier.last_answer_at) / 1_000;
        let text = format!(
            "node {}: silent, ejected; {} in flight, no answer for {silent_ms} ms",
            self.id(),
            self.in_flight.len()
        );
        actions.push(Action::Log(LogEvent::for_node(
            self.id(),
            LogEvent::EJECTED,
            text,
        )));
    }
}

impl Balancer {
    /// Ejects nodes that have fallen silent and takes back from them what may be sent elsewhere.
    pub(crate) fn eject_silent_nodes(&mut self, actions: &mut Vec<Action>) {
        let ejected = self.find_silent_nodes(actions);
        self.monitored.retain(|id| {
            let node = &self.nodes[id];
            node.outlier.is_ejected || !node.in_flight.is_empty()
        });
        for id in &ejected {
            self.forget_primary(self.nodes[id].endpoint.group, id);
            self.cancel_retryable_attempts(id, actions);
        }
    }

    fn find_silent_nodes(&mut self, actions: &mut Vec<Action>) -> Vec<NodeId> {
        let max_ejected = (self.serving_count as f64 * MAX_EJECTED_SHARE).max(1.0);
        let is_ejected = |id: &&NodeId| {
            let node = &self.nodes[*id];
            node.outlier.is_ejected && node.is_open()
        };
        let mut ejected_count = self.monitored.iter().filter(is_ejected).count();
        let mut ejected = Vec::new();
        for id in &self.monitored {
            let node = self.nodes.get_mut(id).expect("monitored nodes are known");
            let may_eject = !node.outlier.is_ejected && (ejected_count + 1) as f64 <= max_ejected;
            if !may_eject || !node.looks_silent(self.now) {
                continue;
            }
            if self.settings.health_checks_allowed && node.has_benefit_of_doubt(self.now, actions) {
                continue;
            }
            node.eject(self.now, actions);
            ejected_count += 1;
            ejected.push(id.clone());
        }
        ejected
    }

    /// Cancels what is in flight at a node and may run elsewhere. What must not run twice stays where it is: after a cancel
    /// it could not be sent again.
    fn cancel_retryable_attempts(&self, node: &NodeId, actions: &mut Vec<Action>) {
        if !self.settings.cancel_allowed {
            return;
        }
        for key in self.nodes[node].in_flight.keys() {
            let Some(request) = self.requests.get(&key.request) else {
                continue;
            };
            let class = &self.settings.classes[request.info.class];
            if request.awaits_answer() && class.idempotency != Idempotency::AtMostOnce {
                actions.push(Action::Cancel {
                    request: key.request,
                    attempt: key.attempt,
                });
            }
        }
    }
}
