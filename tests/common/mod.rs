//! Shared by the tests: small settings, and a harness that records actions. No database node is modelled.
#![allow(dead_code)]

use plovercove::*;

pub const T0: Time = 1_000_000_000;
pub const MS: Micros = 1_000;

pub fn class(name: &str, access: Access, idempotency: Idempotency) -> Class {
    Class {
        name: name.into(),
        access,
        latency_objective: 300 * MS,
        objective_per_cost: 0.0,
        deadline: 1_000 * MS,
        priority_weight: 1.0,
        late_weight_share: 0.5,
        idempotency,
        dedup_scope: DedupScope::Group,
        dedup_window: 1_000 * MS,
        stream: false,
    }
}

pub const ANY: usize = 0;
pub const BOUNDED: usize = 1;
pub const OWN_WRITES: usize = 2;
pub const LATEST: usize = 3;
pub const DEDUPLICATED: usize = 4;
pub const AT_MOST_ONCE: usize = 5;

pub fn settings() -> Settings {
    Settings {
        classes: vec![
            class("any", Access::Any, Idempotency::Idempotent),
            class(
                "bounded",
                Access::Bounded(500 * MS),
                Idempotency::Idempotent,
            ),
            class("own writes", Access::OwnWrites, Idempotency::Idempotent),
            class("latest", Access::Latest, Idempotency::Idempotent),
            class("deduplicated", Access::Write, Idempotency::Deduplicated),
            class("at most once", Access::Write, Idempotency::AtMostOnce),
        ],
        zone: "here".into(),
        cancel_allowed: true,
        max_attempts: 6,
        tick: 5 * MS,
        drain_grace: 250 * MS,
        answer_grace: 20 * MS,
        slow_start_min_share: 0.2,
        slow_start_duration: 15_000 * MS,
        overload_factor: 2.5,
        overload_duration: 1_000 * MS,
        ..Settings::default()
    }
}

pub fn endpoint(name: &str, listed_as_primary: bool) -> Endpoint {
    Endpoint {
        node: name.into(),
        zone: "here".into(),
        machine_kind: "std".into(),
        listed_as_primary,
        group: 1,
        state: EndpointState::Serving,
        weight: 1.0,
        started_at: None,
    }
}

pub fn request_info(id: RequestId, class: usize) -> RequestInfo {
    RequestInfo {
        id,
        class,
        tenant: None,
        session: None,
        time_left: 800 * MS,
        cost_hint: None,
        group: 1,
        last_write_age: None,
        is_retry: false,
    }
}

pub fn node_report(role: Role, position: Time) -> NodeReport {
    NodeReport {
        position: Some(position),
        role: Some(role),
        ..NodeReport::default()
    }
}

/// A balancer with a clock, and the actions of its last batch.
pub struct Harness {
    pub balancer: Balancer,
    pub now: Time,
    pub actions: Vec<Action>,
}

impl Harness {
    /// Creates a balancer that knows the primary `p` and the replicas `r1` and `r2` of group 1.
    pub fn new(settings: Settings) -> Self {
        Self::with_endpoints(
            settings,
            vec![
                endpoint("p", true),
                endpoint("r1", false),
                endpoint("r2", false),
            ],
        )
    }

    /// Creates a balancer that knows these endpoints.
    pub fn with_endpoints(settings: Settings, endpoints: Vec<Endpoint>) -> Self {
        let mut harness = Harness {
            balancer: Balancer::new(settings, 7),
            now: T0,
            actions: Vec::new(),
        };
        harness.handle_event(Event::EndpointsChanged(EndpointUpdate::Full(endpoints)));
        harness
    }

    pub fn handle_event(&mut self, event: Event) -> &Vec<Action> {
        self.handle_batch(vec![event])
    }

    pub fn handle_batch(&mut self, events: Vec<Event>) -> &Vec<Action> {
        self.actions.clear();
        self.balancer.handle(self.now, events, &mut self.actions);
        &self.actions
    }

    pub fn advance(&mut self, duration: Micros) -> &Vec<Action> {
        self.now += duration;
        self.handle_event(Event::Timer)
    }

    /// Passes a request to the balancer. Returns the node that it was sent to at once, if any.
    pub fn send_request(&mut self, info: RequestInfo) -> Option<String> {
        let id = info.id;
        self.handle_event(Event::RequestArrived(info));
        self.sent_to(id)
    }

    /// Returns the node that the last batch sent a request to, if any.
    pub fn sent_to(&self, id: RequestId) -> Option<String> {
        self.actions.iter().find_map(|a| match a {
            Action::Send { request, node, .. } if *request == id => Some(node.to_string()),
            _ => None,
        })
    }

    pub fn end_attempt(
        &mut self,
        request: RequestId,
        attempt: u32,
        end: AttemptEnd,
        answer_report: NodeReport,
    ) -> &Vec<Action> {
        self.handle_event(Event::AttemptEnded {
            request,
            attempt,
            end,
            elapsed: 40 * MS,
            request_over: end == AttemptEnd::Success,
            answer_report,
            load_report: NodeReport::default(),
        })
    }

    pub fn is_rejected(&self, id: RequestId) -> bool {
        self.actions
            .iter()
            .any(|a| matches!(a, Action::Reject { request, .. } if *request == id))
    }

    pub fn has_failed(&self, id: RequestId) -> bool {
        self.actions.contains(&Action::Fail { request: id })
    }
}
