//! Outlier detection: nodes that accept work and do not answer are ejected, and tried again at growing intervals.
//!
//! It guards against a node that accepts requests and never answers: its queue looks short, so it would get ever more.
//! A node is judged by the time that its attempts have waited without an answer since its last answer, in mean
//! latencies. A busy node looks silent too, since the requests in one queue are late together; if health checks are
//! allowed, the node must leave one of them unanswered as well. If most nodes look silent the cause is common (an
//! overload, or this router's own network link), and no more nodes are ejected.

use crate::api::{Action, Idempotency, LogEvent, Micros, NodeId, Time};
use crate::balancer::Balancer;
use crate::health_check::MIN_TIME_BETWEEN_CHECKS;
use crate::node::{InFlight, Node};

/// Sum of unanswered waits, in mean latencies, at which a node is ejected.
const EJECTION_WAITS: f64 = 9.0;
/// Maximum that a single attempt adds to this sum, so that a few lost answers do not eject a node.
const MAX_WAITS_PER_ATTEMPT: f64 = 3.5;
/// A node whose last answer is more recent than this is ejected only after a health check has failed.
const CHECKED_BEFORE_EJECTION_WITHIN: Micros = 600_000;
/// Time within which the node must answer that health check.
const HEALTH_CHECK_TIMEOUT: Micros = 60_000;
/// Wait before the first trial of an ejected node; it doubles with each failed trial.
pub(crate) const FIRST_TRIAL_BACKOFF: Micros = 500_000;
/// Maximum wait between two trials.
const MAX_TRIAL_BACKOFF: Micros = 4_000_000;
/// Maximum share of the nodes in service that may be ejected at once. One node may always be ejected.
const MAX_EJECTED_SHARE: f64 = 0.5;

/// The state of outlier detection for one node.
#[derive(Clone, Debug)]
pub(crate) struct OutlierState {
    pub(crate) last_answer_at: Time,
    /// Sum of the unanswered waits of ended attempts since the last answer, in mean latencies.
    unanswered_waits: f64,
    pub(crate) is_ejected: bool,
    trial_at: Time,
    trial_backoff: Micros,
}

impl OutlierState {
    /// Creates the state of a node without failures.
    pub(crate) fn new(now: Time) -> Self {
        OutlierState {
            last_answer_at: now,
            unanswered_waits: 0.0,
            is_ejected: false,
            trial_at: 0,
            trial_backoff: FIRST_TRIAL_BACKOFF,
        }
    }

    /// Resets the state because the node's process has restarted.
    pub(crate) fn restart(&mut self, now: Time) {
        self.is_ejected = false;
        self.clear_failures(now);
    }

    /// Clears the recorded failures after an answer.
    fn clear_failures(&mut self, now: Time) {
        self.unanswered_waits = 0.0;
        self.last_answer_at = now;
        self.trial_backoff = FIRST_TRIAL_BACKOFF;
    }

    /// Records an attempt that ended without an answer after this many mean latencies.
    pub(crate) fn observe_wait(&mut self, mean_latencies: f64) {
        self.unanswered_waits += mean_latencies.min(MAX_WAITS_PER_ATTEMPT);
    }

    /// Records a connection that broke or could not be opened. It counts as much as the longest wait.
    pub(crate) fn observe_broken_connection(&mut self) {
        self.unanswered_waits += MAX_WAITS_PER_ATTEMPT;
    }

    /// Schedules the next trial after an ejection or a failed trial, and doubles the wait before the one after it.
    pub(crate) fn back_off(&mut self, now: Time) {
        self.trial_at = now + self.trial_backoff;
        self.trial_backoff = (self.trial_backoff * 2).min(MAX_TRIAL_BACKOFF);
    }

    /// Returns whether the node is ejected and its next trial is due.
    pub(crate) fn trial_is_due(&self, now: Time) -> bool {
        self.is_ejected && now >= self.trial_at
    }

    /// Returns the time that an attempt in flight has waited since the last answer, in mean latencies.
    fn wait_since_answer(&self, attempt: &InFlight, now: Time) -> f64 {
        let waited = |until: Time| {
            let elapsed = until.saturating_sub(attempt.sent_at) as f64;
            (elapsed / attempt.expected_latency.max(1.0)).min(MAX_WAITS_PER_ATTEMPT)
        };
        waited(now) - waited(self.last_answer_at)
    }
}

impl Node {
    /// Records an answer: it clears all recorded failures and ends an ejection.
    pub(crate) fn observe_answer(&mut self, now: Time, actions: &mut Vec<Action>) {
        self.outlier.clear_failures(now);
        if std::mem::take(&mut self.outlier.is_ejected) {
            let text = format!("node {}: answers again", self.id());
            actions.push(Action::Log(LogEvent::for_node(
                self.id(),
                LogEvent::ANSWERS_AGAIN,
                text,
            )));
        }
    }

    /// Returns whether the node's attempts have waited so long without an answer that it counts as silent.
    fn is_silent(&self, now: Time) -> bool {
        let waits: f64 = self
            .in_flight
            .values()
            .map(|attempt| self.outlier.wait_since_answer(attempt, now))
            .sum();
        waits + self.outlier.unanswered_waits >= EJECTION_WAITS
    }

    /// Returns whether the ejection has to wait for the answer to a health check. Sends the health check unless one is
    /// already in flight.
    fn awaits_check_before_ejection(&mut self, now: Time, actions: &mut Vec<Action>) -> bool {
        if now >= self.outlier.last_answer_at + CHECKED_BEFORE_EJECTION_WITHIN {
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
    /// Ejects nodes that no longer answer, and cancels those of their attempts that may be sent elsewhere.
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
            if !may_eject || !node.is_silent(self.now) {
                continue;
            }
            if self.settings.health_checks_allowed
                && node.awaits_check_before_ejection(self.now, actions)
            {
                continue;
            }
            node.eject(self.now, actions);
            ejected_count += 1;
            ejected.push(id.clone());
        }
        ejected
    }

    /// Cancels the attempts in flight at a node that may be sent elsewhere. Attempts of requests that must not run
    /// twice stay, since after a cancellation they could not be sent again.
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
