//! Admission control: whether a node can still answer a request in time, what a waiting request is worth, and when the
//! router gives a request up.
//!
//! It prevents congestion collapse. A request that joins a full queue is answered too late, still costs the node its
//! work, and its client then sends it again. A request whose answer can no longer be of use is therefore answered at
//! once, so that its client need not wait.
//!
//! **Why was this request rejected?** For one of these reasons, which [`Balancer::should_give_up`] and
//! [`Balancer::answer_overdue_requests`] check: the nodes that it could go to do not admit it ([`Request::is_denied`]),
//! no answer can come in time ([`Balancer::is_too_late`]), no attempt is left ([`retry::is_exhausted`]), or its
//! deadline has passed. The request is rejected if a retry by the client is harmless ([`retry::may_reject`]), and
//! failed otherwise.

use crate::api::{Access, Action, Micros, RequestId, RequestInfo, Time};
use crate::balancer::Balancer;
use crate::latency::INITIAL_SHARE_OF_OBJECTIVE;
use crate::node::Node;
use crate::request::{AttemptState, Request};
use crate::retry;

/// Factor by which the estimated wait is raised: work is spread unevenly over nodes, and load reports are a fifth of a
/// second old.
const WAIT_UNCERTAINTY: f64 = 1.5;
/// Factor by which the estimated wait is raised again for a read at the primary, because writes can go nowhere else.
const READ_AT_PRIMARY_MARGIN: f64 = 1.6;
/// Share of a node's concurrency limit that is open to requests beyond their tenant's quota.
const OVER_QUOTA_SHARE_OF_LIMIT: f64 = 0.25;
/// Share of the remaining time within which a request beyond its tenant's quota has to be answered, if the router
/// estimates waits.
const OVER_QUOTA_SHARE_OF_TIME: f64 = 0.5;
/// Number of ticks before the client's timeout at which the router gives its final answer.
const ANSWER_MARGIN_TICKS: u64 = 2;
/// A client that leaves before this many tenths of its announced time are over counts as an early departure.
const EARLY_DEPARTURE_TENTHS: u64 = 9;

impl Balancer {
    /// Admits a new request to the queue of waiting requests.
    pub(crate) fn admit_request(&mut self, info: RequestInfo) {
        let class = &self.settings.classes[info.class];
        let id = info.id;
        let answer_margin = ANSWER_MARGIN_TICKS * self.settings.tick;
        let client_deadline = self.now + info.time_left.saturating_sub(answer_margin);
        let deadline = client_deadline.min(self.answer_by.unwrap_or(Time::MAX));
        let required_position = self.required_position(&info);
        // The latency objective counts from the client's first attempt. A request marked as a retry is recognised as
        // one if it has less time left than first attempts have.
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
            is_denied: false,
            position_check: None,
        };
        self.requests.insert(id, request);
        self.deadlines.insert((deadline, id));
        self.waiting.insert(id);
    }

    /// Returns whether a node would answer in time, as far as this router can tell. A node that is warming up must also
    /// have room in its slow start. `candidates` is the number of nodes that the request could go to.
    ///
    /// A router with a sparse view relies on the queue length that the node reports. A router that sees much of the
    /// node's load itself relies on its own concurrency limit.
    pub(crate) fn admits(&self, request: &Request, node: &Node, candidates: f64) -> bool {
        let is_over_quota = request.quota_weight < 1.0 && self.may_reject(request);
        let has_capacity = if self.has_sparse_view {
            self.would_answer_in_time(request, node, is_over_quota)
        } else {
            !is_over_quota || node.has_room(self.now, OVER_QUOTA_SHARE_OF_LIMIT)
        };
        // A warming node that rejected this request does not get it a second time: each rejection adds to the load that
        // can overload the node.
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

    /// Returns the time (us) until which an answer earns the full priority weight.
    fn full_weight_until(&self, request: &Request) -> f64 {
        let class = &self.settings.classes[request.info.class];
        let cost = request.info.cost_hint.unwrap_or(0) as f64;
        (request.first_attempt_at + class.latency_objective) as f64
            + class.objective_per_cost * cost
    }

    /// Returns the weight that a waiting request can still earn for each microsecond of its cost.
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

    /// Returns whether an answer would come too late to earn any weight, or after the client has left.
    fn is_too_late(&self, request: &Request) -> bool {
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

    /// Returns whether the router gives up a request that waits for a node.
    pub(crate) fn should_give_up(&self, request: &Request) -> bool {
        request.is_denied
            || self.is_too_late(request)
            || retry::is_exhausted(&self.settings, request)
    }

    /// Sends the final answer of each request whose deadline has passed.
    pub(crate) fn answer_overdue_requests(&mut self, actions: &mut Vec<Action>) {
        while let Some(&(deadline, id)) = self.deadlines.first() {
            if deadline > self.now {
                break;
            }
            self.deadlines.pop_first();
            self.reject_or_fail(id, actions);
        }
    }

    /// Answers a request at once: with a rejection if a retry is harmless, with a failure otherwise.
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

    /// Returns the advised delay before a rejected client retries, or `None` if clients do not receive such advice.
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

    /// Closes a request whose client has left. Clients that leave long before the time that they announced are
    /// recorded, so that later requests of the class are expected to leave early too.
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

    /// Closes a request. Its entry is removed once its last attempt has ended.
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
