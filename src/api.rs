//! Plain types through which a router and the decision module talk: settings, events and actions.
//!
//! Nothing here decides anything. Times are whole microseconds on the router's own clock.

use std::sync::Arc;

/// A moment on the router's clock, in microseconds. It never runs backwards.
pub type Time = u64;
/// A length of time in microseconds.
pub type Micros = u64;
/// A request, as the router numbers it.
pub type RequestId = u64;
/// A server's name, opaque to the module.
pub type NodeId = Arc<str>;
/// A replication group: one primary and its replicas.
pub type GroupId = u64;

/// Whether a request may take effect more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// Repeats do no harm.
    Idempotent,
    /// Carries a key by which a set of nodes drops repeats for a while.
    Deduplicated,
    /// Must never run twice.
    AtMostOnce,
}

/// Which nodes drop a repeat of a deduplicated request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DedupScope {
    /// All nodes.
    All,
    /// Nodes in the zone of the first attempt's node.
    Zone,
    /// Nodes in the request's group.
    Group,
}

/// What data a class of requests needs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Access {
    /// Only the primary takes it.
    Write,
    /// A read that must see every commit made before it arrived.
    Latest,
    /// A read that must see what its session has written.
    OwnWrites,
    /// A read of data no older than this when it is sent.
    Bounded(Micros),
    /// A read that any member may answer.
    Any,
}

/// One class of requests.
#[derive(Clone, Debug)]
pub struct Class {
    /// Its name, for log lines only.
    pub name: String,
    /// What data it needs.
    pub access: Access,
    /// Answered within this time it earns its full worth.
    pub latency_objective: Micros,
    /// The aim grows by this many times the work of the request.
    pub objective_per_cost: f64,
    /// The client's whole patience, over all its tries.
    pub deadline: Micros,
    /// The worth of one request.
    pub priority_weight: f64,
    /// The share of the worth that a late answer still earns.
    pub late_weight_share: f64,
    /// Whether it may be repeated.
    pub idempotency: Idempotency,
    /// For deduplicated classes: who drops repeats.
    pub dedup_scope: DedupScope,
    /// For deduplicated classes: for how long after the first send that may have run.
    pub dedup_window: Micros,
    /// Whether answers are streamed.
    pub stream: bool,
}

/// A customer with an agreed share of the service.
#[derive(Clone, Debug)]
pub struct Tenant {
    /// Its name, for log lines only.
    pub name: String,
    /// Requests a second, over all routers, that earn full worth: 0 where none does, infinite where no share is agreed.
    pub quota_per_s: f64,
}

/// What a replica does with a read that it lags too far behind for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReplicaCheck {
    /// It answers from what it has: only the router guards freshness.
    None,
    /// It turns the read away at once.
    Reject,
    /// It waits up to this long to catch up, then turns the read away.
    Wait(Micros),
}

/// How the node list tells who is primary.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RoleSource {
    /// Seconds late.
    Late,
    /// As it was at the start, for ever.
    Initial,
    /// Not at all.
    None,
}

/// Where nodes' own reports come from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportSource {
    /// With outcomes and probe results.
    Answers,
    /// With probe results only.
    HealthChecks,
    /// There are none.
    None,
}

/// What a node's list weight means.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WeightMeaning {
    /// Nothing; it is always 1.
    None,
    /// The registered size, exactly or roughly.
    Size,
    /// The size divided by one more than the requests held a core, some time ago.
    Live,
}

/// Prices charged against the worth earned, each per unit of its own rate.
#[derive(Clone, Copy, Debug, Default)]
pub struct Prices {
    /// Attempts that cross zones, per first try.
    pub cross_zone: f64,
    /// Node work that answered nothing, as a share of the work offered.
    pub waste: f64,
    /// Probes per first try.
    pub probe: f64,
    /// Peer messages of 256 bytes, per first try.
    pub peer: f64,
    /// Worth that ended unserved after its aim, as a share of the worth offered.
    pub late_fail: f64,
}

/// What a router is told once, at its start.
#[derive(Clone, Debug)]
pub struct Settings {
    /// This router's number among its peers, from 0.
    pub router_index: u32,
    /// How many routers there are.
    pub router_count: u32,
    /// The zone this router stands in.
    pub zone: String,
    /// The classes; requests name them by their place here.
    pub classes: Vec<Class>,
    /// The tenants; requests name them by their place here. One that names none, or another, is never over a share.
    pub tenants: Vec<Tenant>,
    /// The worth of a request beyond its tenant's share, as a fraction.
    pub over_quota_weight: f64,
    /// Whether worth counts by the unit of work instead of by the request.
    pub weight_per_work: bool,
    /// What replicas do with reads that they lag behind for.
    pub replica_check: ReplicaCheck,
    /// How the node list tells roles.
    pub role_source: RoleSource,
    /// Where reports come from.
    pub reports: ReportSource,
    /// Whether requests carry the age of their session's last write. If not, the router remembers it.
    pub clients_carry_tokens: bool,
    /// What list weights mean.
    pub weight_meaning: WeightMeaning,
    /// Whether list changes come only when asked for.
    pub subscribe: bool,
    /// Without a subscription the router counts as told of the list after this long.
    pub poll_interval: Micros,
    /// Whether probes are allowed.
    pub health_checks_allowed: bool,
    /// Whether attempts may be cancelled.
    pub cancel_allowed: bool,
    /// Whether two attempts of one request may be out at once. None is sent on purpose: a cancelled one may overlap.
    pub hedging_allowed: bool,
    /// Whether advice on when to return reaches clients.
    pub retry_after_allowed: bool,
    /// The longest wait that a client follows.
    pub max_retry_after: Micros,
    /// Attempts allowed for one request.
    pub max_attempts: u32,
    /// A connection that is not up after this long is given up.
    pub connect_timeout: Micros,
    /// Idle connections are closed by themselves after this long.
    pub connection_idle: Micros,
    /// The shortest time between two batches.
    pub tick: Micros,
    /// Sends to a node that drains or is gone must stop within this time of the notice.
    pub drain_grace: Micros,
    /// Only nodes listed as draining, not those dropped from the list, are closed to sends.
    pub dropped_stay_open: bool,
    /// A final answer still counts this long after the client's deadline.
    pub answer_grace: Micros,
    /// A node starts with at least this share of its capacity.
    pub slow_start_min_share: f64,
    /// A node is warm at the latest this long after its start.
    pub slow_start_duration: Micros,
    /// A cold node falls over at this multiple of its present capacity ...
    pub overload_factor: f64,
    /// ... kept up for this long.
    pub overload_duration: Micros,
    /// What the operators charge for.
    pub prices: Prices,
}

impl Default for Settings {
    /// A lone router of a small site where nodes check reads and everything optional is off.
    fn default() -> Self {
        Settings {
            router_index: 0,
            router_count: 1,
            zone: String::new(),
            classes: Vec::new(),
            tenants: Vec::new(),
            over_quota_weight: 1.0,
            weight_per_work: false,
            replica_check: ReplicaCheck::Reject,
            role_source: RoleSource::Late,
            reports: ReportSource::None,
            clients_carry_tokens: true,
            weight_meaning: WeightMeaning::Size,
            subscribe: false,
            poll_interval: 0,
            health_checks_allowed: false,
            cancel_allowed: false,
            hedging_allowed: false,
            retry_after_allowed: false,
            max_retry_after: 0,
            max_attempts: 4,
            connect_timeout: 250_000,
            connection_idle: 60_000_000,
            tick: 1_000,
            drain_grace: 1_000_000,
            dropped_stay_open: false,
            answer_grace: 0,
            slow_start_min_share: 1.0,
            slow_start_duration: 1,
            overload_factor: 1.0,
            overload_duration: 1_000_000,
            prices: Prices::default(),
        }
    }
}

/// What the list says of a node's state.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum EndpointState {
    /// It takes requests.
    #[default]
    Serving,
    /// It finishes its work; send nothing new.
    Draining,
    /// It is removed.
    Removed,
}

/// One entry of the node list.
#[derive(Clone, Debug, Default)]
pub struct Endpoint {
    /// The node.
    pub node: NodeId,
    /// The zone it stands in.
    pub zone: String,
    /// Its kind of machine.
    pub machine_kind: String,
    /// Whether the list holds it for the primary of its group.
    pub listed_as_primary: bool,
    /// Its group.
    pub group: GroupId,
    /// Its state.
    pub state: EndpointState,
    /// Its weight against other nodes.
    pub weight: f64,
    /// When it last started; `None` for long ago.
    pub started_at: Option<Time>,
}

/// A message from discovery.
#[derive(Clone, Debug)]
pub enum EndpointUpdate {
    /// These entries changed.
    Changes(Vec<Endpoint>),
    /// The complete list: what is missing from it is gone.
    Full(Vec<Endpoint>),
    /// The list as this router last held it before it was restarted; maybe out of date.
    Restored(Vec<Endpoint>),
    /// A subscription or a call failed; the last list stays in force.
    Failed,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// Served.
    Success,
    /// The node returned an error; it may have had an effect.
    Failure,
    /// Sent back unseen: the queue is full, or the node drains.
    Overloaded,
    /// No answer in time; it may have run or be running.
    TimedOut,
    /// No connection could be made; it never ran.
    Unreachable,
    /// The connection broke; it may have run.
    Reset,
    /// Cancelled; it may have run.
    Cancelled,
    /// Never sent.
    NeverSent,
    /// Turned away untouched: a write at a replica, or a read that the node lags behind for.
    Misdirected,
}

impl AttemptEnd {
    /// In a word or two, for logs.
    pub fn label(self) -> &'static str {
        match self {
            AttemptEnd::Success => "served",
            AttemptEnd::Failure => "error",
            AttemptEnd::Overloaded => "turned away",
            AttemptEnd::TimedOut => "timed out",
            AttemptEnd::Unreachable => "unreachable",
            AttemptEnd::Reset => "reset",
            AttemptEnd::Cancelled => "cancelled",
            AttemptEnd::NeverSent => "never sent",
            AttemptEnd::Misdirected => "missed",
        }
    }
}

/// A node's role.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// It takes the group's writes.
    Primary,
    /// It follows the primary's log.
    Replica,
}

/// What a node says of itself in an answer or a report.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct NodeReport {
    /// A moment up to which it has applied every commit.
    pub position: Option<Time>,
    /// Its role.
    pub role: Option<Role>,
    /// How many requests it holds, those of all routers together.
    pub in_flight: Option<u32>,
    /// How busy its cores are, in thousandths.
    pub utilization_permille: Option<u32>,
    /// How long ago it was asked, where another router asked: that, and the longest time its word was under way. 0 where
    /// this router asked itself.
    pub age: Micros,
}

/// A request from a client.
#[derive(Clone, Debug, Default)]
pub struct RequestInfo {
    /// Its number.
    pub id: RequestId,
    /// Its class, by place in the settings.
    pub class: usize,
    /// Its tenant, by place in the settings.
    pub tenant: Option<usize>,
    /// Its session, where it has one.
    pub session: Option<Arc<str>>,
    /// How long the client waits for this try.
    pub time_left: Micros,
    /// Expected work on a standard core, where told.
    pub cost_hint: Option<Micros>,
    /// The group it is for.
    pub group: GroupId,
    /// How long ago the session's last write was committed, where told and where there is one.
    pub last_write_age: Option<Micros>,
    /// Whether the client marked it as a repeat.
    pub is_retry: bool,
}

/// What the router reports to the module.
#[derive(Clone, Debug)]
pub enum Event {
    /// Discovery says something.
    EndpointsChanged(EndpointUpdate),
    /// A request arrived.
    RequestArrived(RequestInfo),
    /// A streamed answer began; the request now belongs to that attempt.
    StreamStarted {
        /// The request.
        request: RequestId,
    },
    /// An attempt ended.
    AttemptEnded {
        /// The request.
        request: RequestId,
        /// The attempt, counted from 0 in the order of sends.
        attempt: u32,
        /// How it ended.
        end: AttemptEnd,
        /// Time since the send.
        elapsed: Micros,
        /// Whether the request is over.
        request_over: bool,
        /// What the answer's note says of the node.
        answer_report: NodeReport,
        /// What the report carried along says of the node; as old as the report.
        load_report: NodeReport,
    },
    /// The client left, or an answer is overdue; the request is over.
    ClientGone {
        /// The request.
        request: RequestId,
    },
    /// A timer fell due.
    Timer,
    /// A probe ended.
    HealthChecked {
        /// The node.
        node: NodeId,
        /// Whether it answered.
        answered: bool,
        /// What it said of itself.
        load_report: NodeReport,
    },
    /// A message from a peer. The module follows none: routers share nothing.
    Peer {
        /// The sender's number.
        from: u32,
        /// The bytes.
        payload: Vec<u8>,
    },
}

/// What the module asks of the router.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start an attempt.
    Send {
        /// The request.
        request: RequestId,
        /// The node.
        node: NodeId,
        /// Stop waiting after this long.
        timeout: Micros,
    },
    /// Stop waiting for an attempt.
    Cancel {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: u32,
    },
    /// Final answer: refused; trying again is harmless.
    Reject {
        /// The request.
        request: RequestId,
        /// When to come back.
        retry_after: Option<Micros>,
    },
    /// Final answer: failed; nothing is promised.
    Fail {
        /// The request.
        request: RequestId,
    },
    /// Wake the module after this long.
    Wake(Micros),
    /// Ask a node for its report.
    HealthCheck(NodeId),
    /// Close this router's idle connections to a node.
    CloseIdle(NodeId),
    /// Subscribe to list changes.
    Subscribe,
    /// A line for the log.
    Log(LogEvent),
}

/// What a line of the log says, and of whom.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LogEvent {
    /// The node, where it is of one.
    pub node: Option<NodeId>,
    /// The zone, where it is of one.
    pub zone: Option<String>,
    /// What came about, in a word or two that programs can look for.
    pub reason: &'static str,
    /// The line for people.
    pub text: String,
}

impl LogEvent {
    /// News of a node.
    pub fn of_node(node: &NodeId, reason: &'static str, text: String) -> Self {
        LogEvent {
            node: Some(node.clone()),
            reason,
            text,
            ..LogEvent::default()
        }
    }

    /// News of a zone.
    pub fn of_zone(zone: &str, reason: &'static str, what: &str) -> Self {
        LogEvent {
            zone: Some(zone.into()),
            reason,
            text: format!("zone {zone}: {what}"),
            ..LogEvent::default()
        }
    }
}

/// What [`LocalityPolicy`] is asked about: one request that is to be placed.
#[derive(Clone, Copy, Debug)]
pub struct RoutingQuery {
    /// The request.
    pub request: RequestId,
    /// Its class, by place in the settings.
    pub class: usize,
    /// Whether only the primary takes it.
    pub is_write: bool,
}

/// Says which zones a request may use now. It stands beside the module, which asks it of each node before it chooses,
/// and tells it what it sent and what came of it. Without one, zones matter as little as they do to the nodes' cost.
pub trait LocalityPolicy: std::any::Any {
    /// Discovery said something.
    fn endpoints_changed(&mut self, now: Time, update: &EndpointUpdate);
    /// How much of a node's weight counts for a request now, over 0; none: the request may not go there.
    fn weight_share(&mut self, now: Time, ask: &RoutingQuery, node: &NodeId) -> Option<f64>;
    /// An attempt was sent.
    fn attempt_sent(&mut self, now: Time, ask: &RoutingQuery, node: &NodeId);
    /// An attempt ended, so long after it was sent.
    fn attempt_ended(
        &mut self,
        now: Time,
        ask: &RoutingQuery,
        node: &NodeId,
        ending: AttemptEnd,
        elapsed: Micros,
    );
    /// When a request that is refused should come back, `most` from now at the latest.
    fn retry_after(&self, ask: &RoutingQuery, most: Micros) -> Micros;
    /// A line for the log, while there is one.
    fn next_log_event(&mut self) -> Option<LogEvent>;
    /// Whether it gives each cold node an allowance of its own. Where it does not, the module paces them as without it.
    fn paces_slow_start(&self) -> bool {
        true
    }
}
