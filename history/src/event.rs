//! The events that processes record in a history. `docs/history.md` lists them as a table.

use plovercove_fencing::{LeaseName, Token};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Microseconds on the machine's monotonic clock.
pub type Time = u64;

/// The kind of process that writes a file.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ProcessKind {
    /// An emulated database node or agent, which routers act upon.
    #[serde(rename = "standin")]
    Emulator,
    /// A client that sends requests to routers.
    Client,
    /// A client that subscribes to topics.
    Listener,
    /// The emulated network between routers.
    #[serde(rename = "links")]
    Network,
    /// The process that runs the experiment.
    #[serde(rename = "rig")]
    Harness,
    /// The log of a router under test. Each of its lines is a claim.
    Router,
}

/// The first line of each file.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FileHeader {
    /// Version of the file format.
    #[serde(rename = "history")]
    pub format_version: u32,
    /// Name of the process, unique within the run.
    pub process: String,
    /// Kind of the process.
    pub kind: ProcessKind,
}

/// A line after the header: one event.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Line {
    /// Time of the event.
    #[serde(rename = "at")]
    pub time: Time,
    /// Whether the event is a statement of the router under test, and not an observation from outside.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub claim: bool,
    /// The event.
    #[serde(rename = "what")]
    pub event: Event,
}

/// What happened.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Event {
    /// A client sent a request.
    #[serde(rename = "asked")]
    RequestSent(RequestSent),
    /// A client received an answer, or stopped waiting for it.
    #[serde(rename = "answered")]
    RequestEnded(RequestEnded),
    /// A node ran a statement.
    #[serde(rename = "ran")]
    StatementRan(StatementRan),
    /// The target of a lease holder's effect accepted it.
    #[serde(rename = "acted")]
    EffectApplied(EffectApplied),
    /// The target of a lease holder's effect rejected it.
    #[serde(rename = "refused")]
    EffectRejected(EffectRejected),
    /// A listener subscribed to a topic, or moved its subscription to another zone.
    Subscribed(Subscription),
    /// A listener ended its subscription of a topic.
    #[serde(rename = "left")]
    Unsubscribed(Subscription),
    /// A listener was killed, without ending its subscriptions.
    #[serde(rename = "gone")]
    ListenerKilled(ListenerKilled),
    /// The subscription list of a gateway.
    #[serde(rename = "listed")]
    GatewayList(GatewayList),
    /// The holder of a topic's lease published an event of the topic.
    Published(Published),
    /// An event of a topic arrived at a listener's socket.
    #[serde(rename = "came")]
    Received(Received),
    /// A listener's client library passed an event of a topic to the application.
    #[serde(rename = "told")]
    Notified(Notified),
    /// A listener's client library reported that it missed events.
    #[serde(rename = "missed")]
    EventsMissed(EventsMissed),
    /// All rows that a source has for a query.
    #[serde(rename = "held")]
    SourceRows(SourceRows),
    /// The partial result that a source sent.
    #[serde(rename = "sent")]
    PartialSent(PartialSent),
    /// The answer that was merged from the partial results.
    #[serde(rename = "merged")]
    AnswerMerged(AnswerMerged),
    /// A fault that the harness injected.
    Fault(Fault),
    /// The bounds that follow from the settings of the run.
    Bounds(Bounds),
    /// A line of a router's log.
    #[serde(rename = "said")]
    RouterLog(serde_json::Map<String, serde_json::Value>),
}

/// The start of a request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RequestSent {
    /// Id of the request.
    pub id: String,
    /// Session of the request, which has to see the session's own writes.
    pub session: String,
    /// Name of the router that received the request.
    #[serde(rename = "of")]
    pub router: String,
    /// Group of nodes that the request is for.
    pub group: u64,
    /// Whether the request is a write (`book-seat`).
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub write: bool,
    /// Maximum staleness of a read (us); `None` allows any staleness.
    #[serde(default, rename = "stale", skip_serializing_if = "Option::is_none")]
    pub max_staleness: Option<Time>,
}

/// How a request ended for its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// The client received the value of the request.
    Served,
    /// The request was rejected: it did not run, and a retry is safe.
    #[serde(rename = "refused")]
    Rejected,
    /// The client received an error or the connection ended: the request may have run.
    Failed,
    /// The client received nothing until a short while after its timeout.
    Unanswered,
    /// The client received the value of another request.
    #[serde(rename = "foreign")]
    WrongValue,
}

/// The end of a request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RequestEnded {
    /// Id of the request.
    pub id: String,
    /// How the request ended.
    #[serde(rename = "fate")]
    pub outcome: Outcome,
}

/// A statement that a node ran.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StatementRan {
    /// Id of the request.
    pub id: String,
    /// Name of the node.
    pub node: String,
    /// Group of the node.
    pub group: u64,
    /// Whether the statement is a write.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub write: bool,
    /// Log position of a write, or the position up to which a read saw writes. Positions rise within a group.
    pub position: u64,
}

/// An effect of a lease holder on a process outside of it, which the process accepted.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EffectApplied {
    /// Name of the lease.
    #[serde(rename = "duty")]
    pub lease: LeaseName,
    /// Fencing token of the effect. It is 0 if the effect carries no token (a probe at a database node) and the harness
    /// does not know the token either.
    pub token: Token,
    /// The lease holder, as name and incarnation of the process: `n4/1` is the second incarnation of n4.
    #[serde(rename = "owner")]
    pub holder: String,
    /// The process that the effect acted upon.
    #[serde(rename = "place")]
    pub target: String,
    /// Time at which the effect reached the target.
    pub begin: Time,
    /// Time at which the target had completed the effect.
    pub end: Time,
    /// Whether the target checks fencing tokens.
    pub fenced: bool,
}

/// An effect of a lease holder that its target rejected.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EffectRejected {
    /// Name of the lease.
    #[serde(rename = "duty")]
    pub lease: LeaseName,
    /// Fencing token of the effect.
    pub token: Token,
    /// The process that tried to act.
    #[serde(rename = "owner")]
    pub holder: String,
    /// The process that the effect was meant to act upon.
    #[serde(rename = "place")]
    pub target: String,
    /// The newest token that the target had seen.
    #[serde(rename = "known")]
    pub newest_known_token: Token,
}

/// A change of a listener's subscription.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Subscription {
    /// Name of the subscriber.
    pub subscriber: String,
    /// Incarnation of the subscriber; a restart raises it.
    #[serde(rename = "life")]
    pub incarnation: u64,
    /// Number of the change, which the subscriber counts over all its topics.
    pub counter: u64,
    /// The topic.
    pub topic: String,
    /// Zone of the gateway that serves the subscription.
    pub zone: String,
}

/// The end of a listener that did not end its subscriptions.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ListenerKilled {
    /// Name of the subscriber.
    pub subscriber: String,
    /// Incarnation of the subscriber.
    #[serde(rename = "life")]
    pub incarnation: u64,
}

/// An entry of a gateway's subscription list.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ListEntry {
    /// Name of the subscriber.
    pub subscriber: String,
    /// The topic.
    pub topic: String,
    /// Incarnation of the subscriber.
    #[serde(rename = "life")]
    pub incarnation: u64,
    /// Zone of the gateway that serves the subscription.
    pub zone: String,
}

/// The subscription list of a gateway.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GatewayList {
    /// Name of the gateway.
    pub gateway: String,
    /// All entries of its list.
    pub entries: Vec<ListEntry>,
}

/// An event of a topic at its publisher.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Published {
    /// The topic.
    pub topic: String,
    /// Fencing token of the publisher.
    pub token: Token,
    /// Number of the event under this token, from 1.
    pub number: u64,
}

/// An event of a topic at a listener's socket.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Received {
    /// Name of the subscriber.
    pub subscriber: String,
    /// Name of the gateway that sent it.
    pub gateway: String,
    /// The topic.
    pub topic: String,
    /// Fencing token of the publisher.
    pub token: Token,
    /// Number of the event under this token.
    pub number: u64,
}

/// An event of a topic that a listener's client library passed to the application.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Notified {
    /// Name of the subscriber.
    pub subscriber: String,
    /// Incarnation of the subscriber.
    #[serde(rename = "life")]
    pub incarnation: u64,
    /// The topic.
    pub topic: String,
    /// Fencing token of the publisher.
    pub token: Token,
    /// Number of the event under this token.
    pub number: u64,
    /// Number of older events that this one replaces: of events with positions only the newest is sent.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub collapsed: u64,
}

fn is_zero(number: &u64) -> bool {
    *number == 0
}

/// A notification of a listener that it missed events and has to query the current state.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EventsMissed {
    /// Name of the subscriber.
    pub subscriber: String,
    /// Incarnation of the subscriber.
    #[serde(rename = "life")]
    pub incarnation: u64,
    /// The topic.
    pub topic: String,
}

/// A row, by name of column. Values are null, booleans, numbers or text.
pub type Row = BTreeMap<String, serde_json::Value>;

/// All rows of a source for a query.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SourceRows {
    /// Id of the query.
    #[serde(rename = "question")]
    pub query: String,
    /// Name of the source.
    pub source: String,
    /// All its rows.
    pub rows: Vec<Row>,
}

/// A partial result that a source sent.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PartialSent {
    /// Id of the query.
    #[serde(rename = "question")]
    pub query: String,
    /// Name of the source.
    pub source: String,
    /// The rows that it sent.
    pub rows: Vec<Row>,
}

/// One column to sort by.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SortKey {
    /// Name of the column.
    pub column: String,
    /// Whether the greatest value comes first.
    #[serde(default, rename = "down")]
    pub descending: bool,
    /// Whether rows without the column come first.
    #[serde(default)]
    pub absent_first: bool,
}

/// Which of several rows with one key is kept.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum KeepRule {
    /// The first row in sort order.
    #[default]
    First,
    /// The row with the greatest value of this column (a position or a token).
    Highest(String),
    /// The row with the least value of this column.
    Lowest(String),
    /// The first row, with the sum over all rows in this column.
    Sum(String),
    /// The first row, with the number of rows in this column.
    Count(String),
}

/// The rules of a merge, as the checker applies them.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct MergeRules {
    /// Columns to sort by. Rows that are equal in them are ordered by their source.
    pub sort: Vec<SortKey>,
    /// Columns of the key. Rows with equal keys are reduced to one row; if there are no columns, all rows are kept.
    pub key: Vec<String>,
    /// Which row of a key is kept.
    pub keep: KeepRule,
    /// Number of rows to skip.
    pub offset: usize,
    /// Maximum number of rows.
    pub limit: Option<usize>,
}

/// A row of a merged answer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MergedRow {
    /// The row.
    pub row: Row,
    /// Whether the answer states that the position of the row is certain.
    #[serde(default)]
    pub certain: bool,
    /// Lower bound of a sum, if the answer states one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub low: Option<f64>,
    /// Upper bound of a sum, if the answer states one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub high: Option<f64>,
}

/// An answer merged from the partial results of several sources.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AnswerMerged {
    /// Id of the query.
    #[serde(rename = "question")]
    pub query: String,
    /// Rules of the merge.
    pub rules: MergeRules,
    /// Names of the sources that were queried.
    pub expected: Vec<String>,
    /// Names of the sources whose rows the answer includes.
    #[serde(rename = "from")]
    pub included: Vec<String>,
    /// Names of the sources that the answer reports as missing.
    pub missing: Vec<String>,
    /// The rows of the answer.
    pub rows: Vec<MergedRow>,
    /// No row that the included sources withheld sorts before this one. `None`: the answer states that they withheld no
    /// rows.
    #[serde(default, rename = "unseen", skip_serializing_if = "Option::is_none")]
    pub withheld_bound: Option<Row>,
}

/// A fault that the harness injected.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// Name of the fault.
    #[serde(rename = "what")]
    pub name: String,
    /// Names of the affected processes.
    #[serde(rename = "whom")]
    pub processes: Vec<String>,
    /// Whether the fault affects the processes themselves, so that their clients may receive no answer.
    #[serde(rename = "blow")]
    pub hits_processes: bool,
    /// Time at which the fault began.
    pub begin: Time,
    /// Time at which the fault ended.
    pub end: Time,
}

/// The bounds that follow from the settings of a run (us). The documentation of each part has the formulas; the harness
/// records the results.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Bounds {
    /// Maximum time for which effects of two lease holders overlap on targets that do not check fencing tokens.
    #[serde(rename = "overlap")]
    pub max_overlap: Time,
    /// Maximum time after the last fault and the last change of a subscription until the lists of all gateways are
    /// equal.
    #[serde(rename = "heal")]
    pub max_heal_time: Time,
    /// Time after its last renewal at which a subscription expires.
    #[serde(rename = "expire")]
    pub subscription_age: Time,
    /// Maximum time after [`Bounds::max_heal_time`] is over, or after a later publication or subscription, until a
    /// listener has received the newest event of a topic or the notification that it missed events.
    #[serde(rename = "tell")]
    pub max_notify_time: Time,
    /// Time after a fault for which clients of an affected process may receive no answer.
    #[serde(rename = "recover")]
    pub max_recovery_time: Time,
}
