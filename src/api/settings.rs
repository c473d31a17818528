//! The settings of a router, which it gets once at its start. The crate `plovercove-settings` reads them from a file.

use super::Micros;

/// Whether a request may be executed more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// Repeated execution is harmless.
    Idempotent,
    /// The request carries a key by which a set of nodes discards repeats for a limited time.
    Deduplicated,
    /// The request must never be executed twice.
    AtMostOnce,
}

/// Which nodes discard a repeat of a deduplicated request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DedupScope {
    /// All nodes.
    All,
    /// The nodes in the zone of the first attempt's node.
    Zone,
    /// The nodes in the request's group.
    Group,
}

/// The data that a class of requests needs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Access {
    /// A write, which only the primary executes.
    Write,
    /// A read that must see every commit made before it arrived.
    Latest,
    /// A read that must see what its session has written.
    OwnWrites,
    /// A read of data that is no older than this when the read is sent.
    Bounded(Micros),
    /// A read that any member of the group may answer.
    Any,
}

/// One class of requests.
#[derive(Clone, Debug)]
pub struct Class {
    /// Its name, for log lines only.
    pub name: String,
    /// The data that it needs.
    pub access: Access,
    /// Time within which an answer earns the full priority weight.
    pub latency_objective: Micros,
    /// Factor on the work of a request by which its latency objective grows.
    pub objective_per_cost: f64,
    /// Time that a client waits in total, over all its attempts.
    pub deadline: Micros,
    /// Weight of one request.
    pub priority_weight: f64,
    /// Share of the weight that a late answer still earns.
    pub late_weight_share: f64,
    /// Whether it may be executed more than once.
    pub idempotency: Idempotency,
    /// For deduplicated classes: the nodes that discard repeats.
    pub dedup_scope: DedupScope,
    /// For deduplicated classes: time after the first attempt that may have been executed, during which repeats are
    /// discarded.
    pub dedup_window: Micros,
    /// Whether answers are streamed.
    pub stream: bool,
}

/// A customer with an agreed quota.
#[derive(Clone, Debug)]
pub struct Tenant {
    /// Its name, for log lines only.
    pub name: String,
    /// Requests a second, over all routers, that earn full weight: 0 if none does, infinite if no quota is agreed.
    pub quota_per_s: f64,
}

/// What a replica does with a read for which it lags too far behind.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReplicaCheck {
    /// It answers from the data that it has; only the router guards freshness.
    None,
    /// It rejects the read at once.
    Reject,
    /// It waits up to this long to catch up, and then rejects the read.
    Wait(Micros),
}

/// How the endpoint list names primaries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RoleSource {
    /// The list names the current primary, seconds late.
    Late,
    /// The list names the primary at the start and never changes it.
    Initial,
    /// The list names no primary.
    None,
}

/// The source of nodes' load reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportSource {
    /// Reports come with answers and with health checks.
    Answers,
    /// Reports come with health checks only.
    HealthChecks,
    /// There are no reports.
    None,
}

/// The meaning of a node's weight in the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WeightMeaning {
    /// It has no meaning and is always 1.
    None,
    /// It is the registered size of the node, exactly or roughly.
    Size,
    /// It is the size divided by one more than the requests in flight for each core, some time ago.
    Live,
}

/// Prices that the operators subtract from the weight earned. Each price is for one unit of the rate that its field
/// names.
#[derive(Clone, Copy, Debug, Default)]
pub struct Prices {
    /// Price of attempts that cross zones, per first attempt.
    pub cross_zone: f64,
    /// Price of node work that led to no answer, as a share of the work offered.
    pub waste: f64,
    /// Price of health checks, per first attempt.
    pub probe: f64,
    /// Price of messages of 256 bytes between routers, per first attempt.
    pub peer: f64,
    /// Price of weight that ended unserved after its latency objective, as a share of the weight offered.
    pub late_fail: f64,
}

/// The settings of a router.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Index of this router among all routers, from 0.
    pub router_index: u32,
    /// Number of routers.
    pub router_count: u32,
    /// The zone of this router.
    pub zone: String,
    /// The classes; requests refer to them by index.
    pub classes: Vec<Class>,
    /// The tenants; requests refer to them by index. A request without a tenant, or with an unknown one, is never
    /// beyond a quota.
    pub tenants: Vec<Tenant>,
    /// Share of its weight that a request beyond its tenant's quota earns.
    pub over_quota_weight: f64,
    /// Whether weight counts per unit of work instead of per request.
    pub weight_per_work: bool,
    /// What replicas do with reads for which they lag too far behind.
    pub replica_check: ReplicaCheck,
    /// How the endpoint list names primaries.
    pub role_source: RoleSource,
    /// The source of load reports.
    pub reports: ReportSource,
    /// Whether requests carry the age of their session's last write. If not, the router remembers that write.
    pub clients_carry_tokens: bool,
    /// The meaning of weights in the endpoint list.
    pub weight_meaning: WeightMeaning,
    /// Whether the router has to subscribe to get changes of the endpoint list.
    pub subscribe: bool,
    /// Time after which a router without a subscription is expected to know a change of the endpoint list.
    pub poll_interval: Micros,
    /// Whether health checks are allowed.
    pub health_checks_allowed: bool,
    /// Whether attempts may be cancelled.
    pub cancel_allowed: bool,
    /// Whether two attempts of one request may be in flight at once. The router never hedges on purpose, but a
    /// cancelled attempt may overlap the next one.
    pub hedging_allowed: bool,
    /// Whether clients receive advice on when to retry.
    pub retry_after_allowed: bool,
    /// Longest advised delay that a client follows.
    pub max_retry_after: Micros,
    /// Maximum number of attempts of one request.
    pub max_attempts: u32,
    /// Time after which an attempt to open a connection is given up.
    pub connect_timeout: Micros,
    /// Time after which idle connections are closed.
    pub connection_idle: Micros,
    /// Minimum time between two batches of events.
    pub tick: Micros,
    /// Time after the notice within which sends to a draining or removed node must stop.
    pub drain_grace: Micros,
    /// Whether nodes removed from the list still take requests, so that only draining closes a node.
    pub removed_nodes_stay_open: bool,
    /// Time after the client's deadline during which a final answer still counts.
    pub answer_grace: Micros,
    /// Share of its capacity that a node has at least when it starts.
    pub slow_start_min_share: f64,
    /// Time after its start by which a node is warm at the latest.
    pub slow_start_duration: Micros,
    /// Multiple of its present capacity at which a warming node fails, if the load lasts for `overload_duration`.
    pub overload_factor: f64,
    /// Time for which a warming node bears a load of `overload_factor` times its present capacity before it fails.
    pub overload_duration: Micros,
    /// The prices that the operators charge.
    pub prices: Prices,
}

impl Default for Settings {
    /// The settings of a single router at a small site, in which nodes check reads and all optional features are off.
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
