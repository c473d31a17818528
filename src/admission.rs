//! Admission: whether a node could still answer in time, what a waiting request is worth, and when one is given up.
//!
//! It guards against congestion collapse: what a full queue takes in is answered late, runs all the same, and its client
//! comes back for more. A request that can earn nothing any more is answered at once, so that its client need not wait.
//!
//! **Why was this request rejected?** One of these, in [`Balancer::gives_up`] and [`Balancer::answer_overdue_requests`]:
//! the nodes it could go to are closed to it ([`Request::is_shut_out`]), no answer could come in time
//! ([`Balancer::is_hopeless`]), no attempt is left ([`retry::is_exhausted`]), or its deadline has come. It is rejected where
//! trying again is harmless ([`retry::may_reject`]) and failed otherwise.

use crate::api::{Access, Action, Micros, RequestId, RequestInfo};
use crate::balancer::Balancer;
use crate::latency::INITIAL_SHARE_OF_OBJECTIVE;
use crate::node::Node;
use crate::request::{AttemptState, Request};
use crate::retry;

/// A wait may be so many times what is foreseen: work is spread unevenly, and reports are a fifth of a second old.
const WAIT_UNCERTAINTY: f64 = 1.5;
/// A read at the primary must promise so much more again: writes have no other place to go.
const READ_AT_PRIMARY_MARGIN: f64 = 1.6;
/// A request beyond its tenant's quota may use so much of a node's limit, ...
const OVER_QUOTA_SHARE_OF_LIMIT: f64 = 0.25;
/// ... and, where waits are foreseen, only so much of the time that is left.
const OVER_QUOTA_SHARE_OF_TIME: f64 = 0.5;
/// The final answer comes so many ticks before the client's patience ends.
const ANSWER_MARGIN_TICKS: u64 = 2;
/// A client leaves early when it goes before so many tenths of its patience are over.
const EARLY_DEPARTURE_TENTHS: u64 = 9;

impl Balancer {
    /// Takes in a request.
    pub(crate) fn admit_request(&mut self, info: RequestInfo) {
        let class = &self.settings.classes[info.class];
        let id = info.id;
        let deadline = self.now
            + info
                .time_left
                .saturating_sub(ANSWER_MARGIN_TICKS * self.settings.tick);
        let required_position = self.required_position(&info);
        // The objective counts from the client's first attempt. A marked retry is known by what less patience it has left.
        let longest_patience = &mut self.classes[info.class].longest_patience;
        *longest_patience = info.time_left.max(*longest_patience);
        let is_known_retry = info.is_retry && info.time_left < *longest_patience;
        let spent_on_earlier_attempts = if is_known_retry {
            class.deadline.saturating_sub(info.time_left)
        } else {
            0
        };
        let random_draw = self.random.next_unit();
        let quota_weight =
            self.tenant_usage
                .weight_of_request(&self.settings, self.now, info.tenant, random_draw);
        let request = Request {
            info,
            random_draw,
            arrived_at: self.now,
            first_attempt_at: self.now.saturating_sub(spent_on_earlier_attempts),
            deadline,
            required_position,
            attempts: Vec::new(),
            is_open: true,
            is_streaming: false,
            quota_weight,
            is_shut_out: false,
            position_check: None,
        };
        self.requests.insert(id, request);
        self.deadlines.insert((deadline, id));
        self.waiting.insert(id);
    }

    /// Whether a node would answer in time, as far as this router can tell. One that warms up needs room in its slow start,
    /// too; `candidates` is how many nodes the request could go to.
    ///
    /// A router that sees little of a node's load goes by the queue that the node reports; one that sees much goes by its
    /// own concurrency limit.
    pub(crate) fn admits(&self, request: &Request, node: &Node, candidates: f64) -> bool {
        let is_over_quota = request.quota_weight < 1.0 && self.may_reject(request);
        let has_capacity = if self.has_sparse_view {
            self.would_answer_in_time(request, node, is_over_quota)
        } else {
            !is_over_quota || node.has_room(self.now, OVER_QUOTA_SHARE_OF_LIMIT)
        };
        // A warming node that turned the request away gets it no second time: each counts towards pushing it over.
        has_capacity
            && (self.is_warm(node)
                || (!request.has_tried(node.id())
                    && self.slow_start_admits(request, node, candidates)))
    }

    fn would_answer_in_time(&self, request: &Request, node: &Node, is_over_quota: bool) -> bool {
        let class = &self.settings.classes[request.info.class];
        let is_primary = self.primary(request.group()) == Some(node.id());
        let is_read_at_primary = class.access != Access::Write && is_primary;
        let cores = self.cores.cores() * self.warm_share(node);
        let queue = (self.external_load(node) / cores).max(1.0);
        let slowness = node.slowness.at(self.now).max(1.0);
        let margin = if is_read_at_primary {
            READ_AT_PRIMARY_MARGIN
        } else {
            1.0
        };
        let wait = INITIAL_SHARE_OF_OBJECTIVE
            * class.latency_objective as f64
            * (queue * slowness)
            * WAIT_UNCERTAINTY
            * margin;
        let share_of_time = if is_over_quota {
            OVER_QUOTA_SHARE_OF_TIME
        } else {
            1.0
        };
        let earns_until = self.full_weight_until(request).min(request.deadline as f64);
        self.now as f64 + wait / share_of_time <= earns_until
    }

    /// Until when an answer earns the full weight (us).
    fn full_weight_until(&self, request: &Request) -> f64 {
        let class = &self.settings.classes[request.info.class];
        let cost = request.info.cost_hint.unwrap_or(0) as f64;
        (request.first_attempt_at + class.latency_objective) as f64
            + class.objective_per_cost * cost
    }

    /// What a waiting request may still earn for each microsecond of its cost.
    pub(crate) fn value(&self, request: &Request) -> f64 {
        let class = &self.settings.classes[request.info.class];
        let latency = self.classes[request.info.class].latency;
        let in_time = self.now as f64 + latency <= self.full_weight_until(request);
        let share = if in_time {
            1.0
        } else {
            class.late_weight_share
        };
        class.priority_weight * request.quota_weight * share / latency
    }

    /// Whether a waiting request cannot earn anything any more: its answer would come too late, or its client be gone.
    fn is_hopeless(&self, request: &Request) -> bool {
        let class = &self.settings.classes[request.info.class];
        let stats = &self.classes[request.info.class];
        let deadline = request.deadline as f64;
        let mut earns_until = if class.late_weight_share > 0.0 {
            deadline
        } else {
            self.full_weight_until(request).min(deadline)
        };
        if let Some(wait) = stats.departures.expected_wait(self.now) {
            earns_until = earns_until.min(request.arrived_at as f64 + wait);
        }
        self.now as f64 + stats.latency > earns_until
    }

    /// Whether a request that waits for a node is given up.
    pub(crate) fn gives_up(&self, request: &Request) -> bool {
        request.is_shut_out
            || self.is_hopeless(request)
            || retry::is_exhausted(&self.settings, request)
    }

    /// Gives their final answer to requests whose deadline has come.
    pub(crate) fn answer_overdue_requests(&mut self, actions: &mut Vec<Action>) {
        while let Some(&(deadline, id)) = self.deadlines.first() {
            if deadline > self.now {
                break;
            }
            self.deadlines.pop_first();
            self.reject_or_fail(id, actions);
        }
    }

    /// The final answer, at once: rejected where trying again is harmless, failed otherwise.
    pub(crate) fn reject_or_fail(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get(&id).filter(|r| r.awaits_answer()) else {
            return;
        };
        actions.push(if self.may_reject(request) {
            Action::Reject {
                request: id,
                retry_after: self.retry_after(request),
            }
        } else {
            Action::Fail { request: id }
        });
        if self.settings.cancel_allowed {
            let attempts = (0u32..).zip(&request.attempts);
            let in_flight = attempts.filter(|(_, a)| a.state == AttemptState::InFlight);
            actions.extend(in_flight.map(|(attempt, _)| Action::Cancel {
                request: id,
                attempt,
            }));
        }
        self.close_request(id);
    }

    /// When a rejected client should come back, where clients are told.
    fn retry_after(&self, request: &Request) -> Option<Micros> {
        if !self.settings.retry_after_allowed {
            return None;
        }
        let longest = self.settings.max_retry_after;
        Some(match &self.locality {
            Some(locality) => locality.retry_after(&self.routing_query(request), longest),
            None => longest / 2,
        })
    }

    pub(crate) fn may_reject(&self, request: &Request) -> bool {
        retry::may_reject(&self.settings.classes[request.info.class], request)
    }

    /// The client has gone. Where clients leave long before the time that they name, that is learned from it.
    pub(crate) fn client_gone(&mut self, id: RequestId) {
        if let Some(request) = self.requests.get(&id).filter(|r| r.is_open) {
            let waited = self.now.saturating_sub(request.arrived_at);
            if waited < request.info.time_left / 10 * EARLY_DEPARTURE_TENTHS {
                let stats = &mut self.classes[request.info.class];
                stats.departures.observe(self.now, waited);
            }
        }
        self.close_request(id);
    }

    /// The request is over; it is forgotten once its last attempt has ended.
    pub(crate) fn close_request(&mut self, id: RequestId) {
        self.waiting.remove(&id);
        if let Some(request) = self.requests.get_mut(&id) {
            request.is_open = false;
            self.deadlines.remove(&(request.deadline, id));
        }
        self.forget_if_done(id);
    }

    pub(crate) fn forget_if_done(&mut self, id: RequestId) {
        if self.requests.get(&id).is_some_and(Request::is_done) {
            self.requests.remove(&id);
        }
    }
}
