//! What the tests share: small settings and a recorder of actions. No server is modelled.
#![allow(dead_code)]

use plovercove::*;

pub const T0: Time = 1_000_000_000;
pub const MS: Micros = 1_000;

pub fn class(name: &str, access: Access, effect: Idempotency) -> Class {
    Class {
        name: name.into(),
        access,
        latency_objective: 300 * MS,
        objective_per_cost: 0.0,
        deadline: 1_000 * MS,
        priority_weight: 1.0,
        late_weight_share: 0.5,
        idempotency: effect,
        dedup_scope: DedupScope::Group,
        dedup_window: 1_000 * MS,
        stream: false,
    }
}

pub const ANY: usize = 0;
pub const BOUNDED: usize = 1;
pub const SESSION: usize = 2;
pub const LATEST: usize = 3;
pub const KEYED: usize = 4;
pub const UNSAFE: usize = 5;

pub fn settings() -> Settings {
    Settings {
        classes: vec![
            class("any", Access::Any, Idempotency::Idempotent),
            class(
                "bounded",
                Access::Bounded(500 * MS),
                Idempotency::Idempotent,
            ),
            class("session", Access::OwnWrites, Idempotency::Idempotent),
            class("latest", Access::Latest, Idempotency::Idempotent),
            class("keyed", Access::Write, Idempotency::Deduplicated),
            class("unsafe", Access::Write, Idempotency::AtMostOnce),
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

pub fn entry(name: &str, primary: bool) -> Endpoint {
    Endpoint {
        node: name.into(),
        zone: "here".into(),
        machine_kind: "std".into(),
        listed_as_primary: primary,
        group: 1,
        state: EndpointState::Serving,
        weight: 1.0,
        started_at: None,
    }
}

pub fn demand(id: RequestId, class: usize) -> RequestInfo {
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

pub fn says(role: Role, position: Time) -> NodeReport {
    NodeReport {
        position: Some(position),
        role: Some(role),
        ..NodeReport::default()
    }
}

/// One balancer with the actions of its last batch.
pub struct Rig {
    pub balancer: Balancer,
    pub now: Time,
    pub actions: Vec<Action>,
}

impl Rig {
    /// A primary `p` and replicas `r1`, `r2` in group 1.
    pub fn new(settings: Settings) -> Self {
        Self::with(
            settings,
            vec![entry("p", true), entry("r1", false), entry("r2", false)],
        )
    }

    pub fn with(settings: Settings, entries: Vec<Endpoint>) -> Self {
        let mut rig = Rig {
            balancer: Balancer::new(settings, 7),
            now: T0,
            actions: Vec::new(),
        };
        rig.event(Event::EndpointsChanged(EndpointUpdate::Full(entries)));
        rig
    }

    pub fn event(&mut self, event: Event) -> &Vec<Action> {
        self.batch(vec![event])
    }

    pub fn batch(&mut self, events: Vec<Event>) -> &Vec<Action> {
        self.actions.clear();
        self.balancer.handle(self.now, events, &mut self.actions);
        &self.actions
    }

    pub fn later(&mut self, span: Micros) -> &Vec<Action> {
        self.now += span;
        self.event(Event::Timer)
    }

    /// Sends a request in and tells where it went.
    pub fn request(&mut self, demand: RequestInfo) -> Option<String> {
        let id = demand.id;
        self.event(Event::RequestArrived(demand));
        self.sent(id)
    }

    /// Where the last batch sent a request.
    pub fn sent(&self, id: RequestId) -> Option<String> {
        self.actions.iter().find_map(|a| match a {
            Action::Send { request, node, .. } if *request == id => Some(node.to_string()),
            _ => None,
        })
    }

    pub fn ends(
        &mut self,
        request: RequestId,
        attempt: u32,
        ending: AttemptEnd,
        note: NodeReport,
    ) -> &Vec<Action> {
        self.event(Event::AttemptEnded {
            request,
            attempt,
            end: ending,
            elapsed: 40 * MS,
            request_over: ending == AttemptEnd::Success,
            answer_report: note,
            load_report: NodeReport::default(),
        })
    }

    pub fn refused(&self, id: RequestId) -> bool {
        self.actions
            .iter()
            .any(|a| matches!(a, Action::Reject { request, .. } if *request == id))
    }

    pub fn failed(&self, id: RequestId) -> bool {
        self.actions.contains(&Action::Fail { request: id })
    }
}
