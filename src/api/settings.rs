//! What a router is told once, at its start. Who reads it from a file is the crate `plovercove-settings`.

use super::Micros;

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
    pub removed_nodes_stay_open: bool,
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
            removed_nodes_stay_open: false,
            answer_grace: 0,
            slow_start_min_share: 1.0,
            slow_start_duration: 1,
            overload_factor: 1.0,
            overload_duration: 1_000_000,
            prices: Prices::default(),
        }
    }
}
