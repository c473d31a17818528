//! The state of one router's decisions, and the order in which it handles one batch of events.

use crate::api::{
    Access, Action, Event, GroupId, LocalityPolicy, Micros, NodeId, RequestId, RoutingQuery,
    Settings, Time,
};
use crate::attempt_outcome::EndedAttempt;
use crate::concurrency_limit::INITIAL_FLEET_LIMIT;
use crate::freshness::{SessionWrites, stale_age};
use crate::health_check;
use crate::latency::ClassStats;
use crate::load::CoreEstimate;
use crate::node::{AttemptKey, Node};
use crate::primary::{Group, ReportOrigin};
use crate::quota::TenantUsage;
use crate::random::Random;
use crate::request::Request;
use crate::retry;
use crate::slow_start::{self, SlotInputs};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

/// Time after which the balancer reviews all requests again, as long as any request waits or is in flight.
const REVIEW_INTERVAL: Micros = 20_000;

/// The routing decisions of one router.
///
/// It does no I/O and reads no clock: [`Balancer::handle`] takes the events of one moment and returns the actions to
/// carry out. The same code runs in the router, in the simulator's adapter and in the model of the fleet.
pub struct Balancer {
    pub(crate) settings: Settings,
    pub(crate) now: Time,
    /// Time at which this process handled its first batch.
    pub(crate) started_at: Option<Time>,
    pub(crate) random: Random,
    /// Number of reads sent, starting from the router's index. It decides between near ties.
    pub(crate) reads_placed: u64,
    pub(crate) nodes: BTreeMap<NodeId, Node>,
    pub(crate) groups: BTreeMap<GroupId, Group>,
    pub(crate) requests: BTreeMap<RequestId, Request>,
    /// Deadlines for the final answers of open requests.
    pub(crate) deadlines: BTreeSet<(Time, RequestId)>,
    /// Time of the last final answer, once the router shuts down.
    pub(crate) answer_by: Option<Time>,
    /// Requests that wait to be sent to a node.
    pub(crate) waiting: BTreeSet<RequestId>,
    /// Nodes that outlier detection checks: nodes that have attempts in flight or had one that just ended, and ejected
    /// nodes.
    pub(crate) monitored: BTreeSet<NodeId>,
    /// Whether this router's share of a node's initial concurrency limit is under one request. Such a router sees too
    /// little of a node to judge it by its own requests, and relies on the load reports of nodes.
    pub(crate) has_sparse_view: bool,
    /// Whether slow start admits requests by a random draw instead of by time slots.
    pub(crate) has_random_slow_start: bool,
    /// Number of nodes that may get requests according to the endpoint list.
    pub(crate) serving_count: usize,
    /// Statistics of each class, in the order of the settings.
    pub(crate) classes: Vec<ClassStats>,
    /// Age beyond which data is of use only to reads that accept data of any age.
    pub(crate) stale_age: Micros,
    pub(crate) tenant_usage: TenantUsage,
    pub(crate) cores: CoreEstimate,
    pub(crate) session_writes: SessionWrites,
    wake_at: Option<Time>,
    pub(crate) resubscribe_at: Option<Time>,
    /// Decides which zones a request may use now. Without a policy it may use all of them.
    pub locality: Option<Box<dyn LocalityPolicy>>,
}

impl Balancer {
    /// Creates the state of a router that has just started, from its settings and the seed of its random numbers.
    pub fn new(settings: Settings, seed: u64) -> Self {
        Balancer {
            now: 0,
            started_at: None,
            random: Random::new(seed),
            reads_placed: u64::from(settings.router_index),
            nodes: BTreeMap::new(),
            groups: BTreeMap::new(),
            requests: BTreeMap::new(),
            deadlines: BTreeSet::new(),
            answer_by: None,
            waiting: BTreeSet::new(),
            monitored: BTreeSet::new(),
            has_sparse_view: INITIAL_FLEET_LIMIT < f64::from(settings.router_count),
            has_random_slow_start: slow_start::uses_random_draw(&settings),
            serving_count: 0,
            classes: settings.classes.iter().map(ClassStats::new).collect(),
            stale_age: stale_age(&settings),
            tenant_usage: TenantUsage::new(settings.tenants.len()),
            cores: CoreEstimate::default(),
            session_writes: SessionWrites::default(),
            wake_at: None,
            resubscribe_at: settings.subscribe.then_some(0),
            locality: None,
            settings,
        }
    }

    /// Handles the events of one moment and appends the actions to carry out.
    ///
    /// `now` is that moment (us). If it is earlier than in the last call, the time of the last call counts. The actions
    /// have to be carried out in the order in which they are appended.
    pub fn handle(&mut self, now: Time, events: Vec<Event>, actions: &mut Vec<Action>) {
        self.now = self.now.max(now);
        self.started_at.get_or_insert(self.now);
        for event in events {
            self.apply_event(event, actions);
        }
        self.renew_subscription(actions);
        self.eject_silent_nodes(actions);
        self.answer_overdue_requests(actions);
        self.place_waiting_requests(actions);
        self.log_locality_events(actions);
        self.schedule_wake(actions);
    }

    fn apply_event(&mut self, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::EndpointsChanged(update) => self.update_endpoints(update),
            Event::RequestArrived(info) => self.admit_request(info),
            Event::StreamStarted { request } => self.stream_started(request),
            Event::AttemptEnded {
                request,
                attempt,
                end,
                elapsed,
                request_over,
                answer_report,
                load_report,
            } => {
                let ended = EndedAttempt {
                    key: AttemptKey { request, attempt },
                    end,
                    elapsed,
                    request_over,
                    answer_report,
                    load_report,
                };
                self.attempt_ended(ended, actions);
            }
            Event::ClientGone { request } => self.client_gone(request),
            Event::ShutdownBegun { answer_by } => self.begin_shutdown(answer_by),
            Event::HealthChecked {
                node,
                answered: true,
                load_report,
            } => self.observe_report(&node, &load_report, ReportOrigin::LoadReport, actions),
            // Routers share no state, so messages from peers are ignored.
            Event::Timer | Event::HealthChecked { .. } | Event::Peer { .. } => {}
        }
    }

    /// Marks a request as streaming: one attempt now delivers its answer, and no deadline of the router ends it.
    fn stream_started(&mut self, id: RequestId) {
        if let Some(request) = self.requests.get_mut(&id) {
            request.is_streaming = true;
            self.deadlines.remove(&(request.deadline, id));
        }
    }

    fn renew_subscription(&mut self, actions: &mut Vec<Action>) {
        if self.resubscribe_at.take_if(|at| *at <= self.now).is_some() {
            actions.push(Action::Subscribe);
        }
    }

    /// Sends waiting requests to nodes, the most valuable first, and gives up those that no node may get any more.
    fn place_waiting_requests(&mut self, actions: &mut Vec<Action>) {
        let mut queue: Vec<RequestId> = self.waiting.iter().copied().collect();
        queue.sort_by_cached_key(|id| {
            let request = &self.requests[id];
            let most_valuable_first = Reverse(self.value(request).to_bits());
            (most_valuable_first, request.first_attempt_at, *id)
        });
        for id in queue {
            self.place_request(id, actions);
            if self.waiting.contains(&id) && self.should_give_up(&self.requests[&id]) {
                self.reject_or_fail(id, actions);
            }
        }
    }

    fn log_locality_events(&mut self, actions: &mut Vec<Action>) {
        let Some(locality) = &mut self.locality else {
            return;
        };
        while let Some(event) = locality.next_log_event() {
            actions.push(Action::Log(event));
        }
    }

    /// Requests a wake-up at the next deadline, review or subscription, whichever comes first.
    fn schedule_wake(&mut self, actions: &mut Vec<Action>) {
        let deadline = self.deadlines.first().map(|(at, _)| *at);
        let review = (!self.requests.is_empty()).then_some(self.now + REVIEW_INTERVAL);
        let wakes = [deadline, review, self.resubscribe_at];
        let Some(next) = wakes.into_iter().flatten().min() else {
            return;
        };
        let is_earlier = |wake_at: Time| wake_at <= self.now || next < wake_at;
        if self.wake_at.is_none_or(is_earlier) {
            self.wake_at = Some(next.max(self.now + 1));
            actions.push(Action::Wake(next.saturating_sub(self.now).max(1)));
        }
    }
}

/// Helpers that derive the inputs of the rules from the state.
impl Balancer {
    pub(crate) fn is_write(&self, request: &Request) -> bool {
        retry::is_write(&self.settings, request)
    }

    /// Returns whether the request with this identifier is known and is a write.
    pub(crate) fn is_write_id(&self, id: RequestId) -> bool {
        self.requests
            .get(&id)
            .is_some_and(|request| self.is_write(request))
    }

    /// Returns the part of a request that the locality policy needs.
    pub(crate) fn routing_query(&self, request: &Request) -> RoutingQuery {
        RoutingQuery {
            request: request.id(),
            class: request.info.class,
            is_write: self.settings.classes[request.info.class].access == Access::Write,
        }
    }

    /// Returns the mean number of requests that a member of a group has in flight for other routers.
    pub(crate) fn mean_external_load(&self, group: GroupId) -> f64 {
        let group = self.groups.get(&group);
        group.map_or(0.0, |group| group.external_load.group_mean(self.now))
    }

    /// Returns the number of requests that other routers have in flight at a node. It is 0 unless this router has a
    /// sparse view: a few routers each know enough from their own requests.
    pub(crate) fn external_load(&self, node: &Node) -> f64 {
        if !self.has_sparse_view {
            return 0.0;
        }
        let group_mean = self.mean_external_load(node.endpoint.group);
        node.external_load.expected(self.now, group_mean)
    }

    pub(crate) fn position_check_pays(&self, node: &Node) -> bool {
        health_check::position_check_pays(&self.settings, node, self.now)
    }

    /// Returns the share of its full capacity that a node has reached by now.
    pub(crate) fn warm_share(&self, node: &Node) -> f64 {
        slow_start::warm_share(&self.settings, node.endpoint.started_at, self.now)
    }

    pub(crate) fn is_warm(&self, node: &Node) -> bool {
        self.warm_share(node) >= 1.0
    }

    pub(crate) fn slow_start_slot(&self, node: &Node) -> Time {
        slow_start::slot_start(&self.settings, node.endpoint.started_at, self.now)
    }

    /// Returns whether a warming node may get a request now. `candidates` is the number of nodes that the request could
    /// go to. If the locality policy paces slow start itself, it alone decides.
    pub(crate) fn slow_start_admits(
        &self,
        request: &Request,
        node: &Node,
        candidates: f64,
    ) -> bool {
        let warm_share = self.warm_share(node);
        let paced_elsewhere = || self.locality.as_ref().is_some_and(|l| l.paces_slow_start());
        if warm_share >= 1.0 || paced_elsewhere() {
            return true;
        }
        if self.has_random_slow_start {
            return slow_start::passes_random_draw(request.random_draw, warm_share, candidates);
        }
        let slot = self.slow_start_slot(node);
        let inputs = SlotInputs {
            node: node.id(),
            slot,
            warm_share,
            cores: self.cores.cautious_cores(),
            spent_us: node.slot_spending.in_slot(slot),
            work_us: self.classes[request.info.class].work(),
            router_started_at: self.started_at,
        };
        slow_start::fits_slot(&self.settings, &inputs)
    }
}
