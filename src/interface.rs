//! Plain types through which a router and the decision module talk: settings, events and actions.
//!
//! Nothing here decides anything. Times are whole microseconds on the router's own clock.

use std::sync::Arc;

/// A moment on the router's clock, in microseconds. It never runs backwards.
pub type Time = u64;
/// A length of time in microseconds.
pub type Span = u64;
/// A request, as the router numbers it.
pub type RequestId = u64;
/// A server's name, opaque to the module.
pub type NodeId = Arc<str>;
/// A replication group: one primary and its replicas.
pub type GroupId = u64;

/// Whether a request may take effect more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Repeats do no harm.
    Idempotent,
    /// Carries a key by which a set of nodes drops repeats for a while.
    Deduplicated,
    /// Must never run twice.
    AtMostOnce,
}

/// Which nodes drop a repeat of a deduplicated request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RepeatScope {
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
    Bounded(Span),
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
    pub aim: Span,
    /// The aim grows by this many times the work of the request.
    pub aim_stretch: f64,
    /// The client's whole patience, over all its tries.
    pub deadline: Span,
    /// The worth of one request.
    pub worth: f64,
    /// The share of the worth that a late answer still earns.
    pub late_worth: f64,
    /// Whether it may be repeated.
    pub effect: Effect,
    /// For deduplicated classes: who drops repeats.
    pub scope: RepeatScope,
    /// For deduplicated classes: for how long after the first send that may have run.
    pub window: Span,
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
    Refuse,
    /// It waits up to this long to catch up, then turns the read away.
    Wait(Span),
}

/// How the node list tells who is primary.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListRole {
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
    Probes,
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
    pub index: u32,
    /// How many routers there are.
    pub routers: u32,
    /// The zone this router stands in.
    pub zone: String,
    /// The classes; requests name them by their place here.
    pub classes: Vec<Class>,
    /// The tenants; requests name them by their place here. One that names none, or another, is never over a share.
    pub tenants: Vec<Tenant>,
    /// The worth of a request beyond its tenant's share, as a fraction.
    pub over_share_worth: f64,
    /// Whether worth counts by the unit of work instead of by the request.
    pub worth_by_work: bool,
    /// What replicas do with reads that they lag behind for.
    pub replica_check: ReplicaCheck,
    /// How the node list tells roles.
    pub list_role: ListRole,
    /// Where reports come from.
    pub reports: ReportSource,
    /// Whether requests carry the age of their session's last write. If not, the router remembers it.
    pub tokens_carried: bool,
    /// What list weights mean.
    pub weights: WeightMeaning,
    /// Whether list changes come only when asked for.
    pub subscribe: bool,
    /// Without a subscription the router counts as told of the list after this long.
    pub ask_every: Span,
    /// Whether probes are allowed.
    pub may_probe: bool,
    /// Whether attempts may be cancelled.
    pub may_cancel: bool,
    /// Whether two attempts of one request may be out at once. None is sent on purpose: a cancelled one may overlap.
    pub second_copies: bool,
    /// Whether advice on when to return reaches clients.
    pub retry_after: bool,
    /// The longest wait that a client follows.
    pub max_retry_after: Span,
    /// Attempts allowed for one request.
    pub max_attempts: u32,
    /// A connection that is not up after this long is given up.
    pub connect_timeout: Span,
    /// Idle connections are closed by themselves after this long.
    pub connection_idle: Span,
    /// The shortest time between two batches.
    pub tick: Span,
    /// Sends to a node that drains or is gone must stop within this time of the notice.
    pub drain_grace: Span,
    /// Only nodes listed as draining, not those dropped from the list, are closed to sends.
    pub dropped_stay_open: bool,
    /// A final answer still counts this long after the client's deadline.
    pub answer_grace: Span,
    /// A node starts with at least this share of its capacity.
    pub cold_share: f64,
    /// A node is warm at the latest this long after its start.
    pub cold_span: Span,
    /// A cold node falls over at this multiple of its present capacity ...
    pub overload_factor: f64,
    /// ... kept up for this long.
    pub overload_span: Span,
    /// What the operators charge for.
    pub prices: Prices,
}

impl Default for Settings {
    /// A lone router of a small site where nodes check reads and everything optional is off.
    fn default() -> Self {
        Settings {
            index: 0,
            routers: 1,
            zone: String::new(),
            classes: Vec::new(),
            tenants: Vec::new(),
            over_share_worth: 1.0,
            worth_by_work: false,
            replica_check: ReplicaCheck::Refuse,
            list_role: ListRole::Late,
            reports: ReportSource::None,
            tokens_carried: true,
            weights: WeightMeaning::Size,
            subscribe: false,
            ask_every: 0,
            may_probe: false,
            may_cancel: false,
            second_copies: false,
            retry_after: false,
            max_retry_after: 0,
            max_attempts: 4,
            connect_timeout: 250_000,
            connection_idle: 60_000_000,
            tick: 1_000,
            drain_grace: 1_000_000,
            dropped_stay_open: false,
            answer_grace: 0,
            cold_share: 1.0,
            cold_span: 1,
            overload_factor: 1.0,
            overload_span: 1_000_000,
            prices: Prices::default(),
        }
    }
}

/// What the list says of a node's state.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Listed {
    /// It takes requests.
    #[default]
    Serving,
    /// It finishes its work; send nothing new.
    Draining,
    /// It is removed.
    Gone,
}

/// One entry of the node list.
#[derive(Clone, Debug, Default)]
pub struct NodeEntry {
    /// The node.
    pub node: NodeId,
    /// The zone it stands in.
    pub zone: String,
    /// Its kind of machine.
    pub kind: String,
    /// Whether the list holds it for the primary of its group.
    pub primary: bool,
    /// Its group.
    pub group: GroupId,
    /// Its state.
    pub state: Listed,
    /// Its weight against other nodes.
    pub weight: f64,
    /// When it last started; `None` for long ago.
    pub started: Option<Time>,
}

/// A message from discovery.
#[derive(Clone, Debug)]
pub enum ListUpdate {
    /// These entries changed.
    Changes(Vec<NodeEntry>),
    /// The complete list: what is missing from it is gone.
    Full(Vec<NodeEntry>),
    /// The list as this router last held it before it was restarted; maybe out of date.
    Restored(Vec<NodeEntry>),
    /// A subscription or a call failed; the last list stays in force.
    Failed,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
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
    Broken,
    /// Cancelled; it may have run.
    Cancelled,
    /// Never sent.
    Void,
    /// Turned away untouched: a write at a replica, or a read that the node lags behind for.
    Missed,
}

impl Ending {
    /// In a word or two, for logs.
    pub fn word(self) -> &'static str {
        match self {
            Ending::Success => "served",
            Ending::Failure => "error",
            Ending::Overloaded => "turned away",
            Ending::TimedOut => "timed out",
            Ending::Unreachable => "unreachable",
            Ending::Broken => "reset",
            Ending::Cancelled => "cancelled",
            Ending::Void => "never sent",
            Ending::Missed => "missed",
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
pub struct Standing {
    /// A moment up to which it has applied every commit.
    pub position: Option<Time>,
    /// Its role.
    pub role: Option<Role>,
    /// How many requests it holds, those of all routers together.
    pub held: Option<u32>,
    /// How busy its cores are, in thousandths.
    pub busy: Option<u32>,
    /// How long ago it was asked, where another router asked: that, and the longest time its word was under way. 0 where
    /// this router asked itself.
    pub age: Span,
}

/// A request from a client.
#[derive(Clone, Debug, Default)]
pub struct Demand {
    /// Its number.
    pub id: RequestId,
    /// Its class, by place in the settings.
    pub class: usize,
    /// Its tenant, by place in the settings.
    pub tenant: Option<usize>,
    /// Its session, where it has one.
    pub session: Option<Arc<str>>,
    /// How long the client waits for this try.
    pub left: Span,
    /// Expected work on a standard core, where told.
    pub cost_hint: Option<Span>,
    /// The group it is for.
    pub group: GroupId,
    /// How long ago the session's last write was committed, where told and where there is one.
    pub write_age: Option<Span>,
    /// Whether the client marked it as a repeat.
    pub repeat: bool,
}

/// What the router reports to the module.
#[derive(Clone, Debug)]
pub enum Event {
    /// Discovery says something.
    List(ListUpdate),
    /// A request arrived.
    Request(Demand),
    /// A streamed answer began; the request now belongs to that attempt.
    Started {
        /// The request.
        request: RequestId,
    },
    /// An attempt ended.
    Outcome {
        /// The request.
        request: RequestId,
        /// The attempt, counted from 0 in the order of sends.
        attempt: u32,
        /// How it ended.
        ending: Ending,
        /// Time since the send.
        elapsed: Span,
        /// Whether the request is over.
        over: bool,
        /// What the answer's note says of the node.
        note: Standing,
        /// What the report carried along says of the node; as old as the report.
        report: Standing,
    },
    /// The client left, or an answer is overdue; the request is over.
    Abandoned {
        /// The request.
        request: RequestId,
    },
    /// A timer fell due.
    Timer,
    /// A probe ended.
    Probed {
        /// The node.
        node: NodeId,
        /// Whether it answered.
        answered: bool,
        /// What it said of itself.
        report: Standing,
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
        timeout: Span,
    },
    /// Stop waiting for an attempt.
    Cancel {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: u32,
    },
    /// Final answer: refused; trying again is harmless.
    Refuse {
        /// The request.
        request: RequestId,
        /// When to come back.
        retry_after: Option<Span>,
    },
    /// Final answer: failed; nothing is promised.
    Fail {
        /// The request.
        request: RequestId,
    },
    /// Wake the module after this long.
    Wake(Span),
    /// Ask a node for its report.
    Probe(NodeId),
    /// Close this router's idle connections to a node.
    Close(NodeId),
    /// Subscribe to list changes.
    Subscribe,
    /// A line for the log.
    Log(News),
}

/// What a line of the log says, and of whom.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct News {
    /// The node, where it is of one.
    pub node: Option<NodeId>,
    /// The zone, where it is of one.
    pub zone: Option<String>,
    /// What came about, in a word or two that programs can look for.
    pub reason: &'static str,
    /// The line for people.
    pub text: String,
}

impl News {
    /// News of a node.
    pub fn of(node: &NodeId, reason: &'static str, text: String) -> Self {
        News {
            node: Some(node.clone()),
            reason,
            text,
            ..News::default()
        }
    }

    /// News of a zone.
    pub fn of_zone(zone: &str, reason: &'static str, what: &str) -> Self {
        News {
            zone: Some(zone.into()),
            reason,
            text: format!("zone {zone}: {what}"),
            ..News::default()
        }
    }
}

/// What [`Zoning`] is asked about: one request that is to be placed.
#[derive(Clone, Copy, Debug)]
pub struct Ask {
    /// The request.
    pub request: RequestId,
    /// Its class, by place in the settings.
    pub class: usize,
    /// Whether only the primary takes it.
    pub write: bool,
}

/// Says which zones a request may use now. It stands beside the module, which asks it of each node before it chooses,
/// and tells it what it sent and what came of it. Without one, zones matter as little as they do to the nodes' cost.
pub trait Zoning: std::any::Any {
    /// Discovery said something.
    fn listed(&mut self, now: Time, update: &ListUpdate);
    /// How much of a node's weight counts for a request now, over 0; none: the request may not go there.
    fn counts(&mut self, now: Time, ask: &Ask, node: &NodeId) -> Option<f64>;
    /// An attempt was sent.
    fn sent(&mut self, now: Time, ask: &Ask, node: &NodeId);
    /// An attempt ended, so long after it was sent.
    fn ended(&mut self, now: Time, ask: &Ask, node: &NodeId, ending: Ending, elapsed: Span);
    /// When a request that is refused should come back, `most` from now at the latest.
    fn come_back(&self, ask: &Ask, most: Span) -> Span;
    /// A line for the log, while there is one.
    fn news(&mut self) -> Option<News>;
    /// Whether it gives each cold node an allowance of its own. Where it does not, the module paces them as without it.
    fn paces(&self) -> bool {
        true
    }
}
