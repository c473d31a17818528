//! What is recorded, by whom. `docs/history.md` has the same as a table.

use plovercove_fencing::{LeaseName, Token};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Microseconds on the machine's monotonic clock.
pub type Time = u64;

/// Who writes a file.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// Something that routers act upon: db nodes, agents.
    Standin,
    /// Who asks routers.
    Client,
    /// Who subscribes to news.
    Listener,
    /// What stands between routers.
    Links,
    /// The rig that plays the trial.
    Rig,
    /// The log of a router under test: each of its lines is a claim.
    Router,
}

/// The first line of each file.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Head {
    /// The form of the file.
    pub history: u32,
    /// The process, by a name that no other of the trial has.
    pub process: String,
    /// What it is.
    pub kind: Kind,
}

/// Each further line.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Line {
    /// When it happened.
    pub at: Time,
    /// Whether it is what the router under test says, and not what was seen of it.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub claim: bool,
    /// What happened.
    pub what: Event,
}

/// What happened.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Event {
    /// A client asked.
    Asked(Asked),
    /// A client has an answer, or none by its patience.
    Answered(Answered),
    /// A node ran a statement.
    Ran(Ran),
    /// An owner's effect was let pass by whom it affected.
    Acted(Acted),
    /// An owner's effect was refused by whom it affected.
    Refused(Refused),
    /// A listener asked for a topic, or for the same from another zone.
    Subscribed(Subscription),
    /// A listener asked to hear no more of a topic.
    Left(Subscription),
    /// A listener was ended without a word.
    Gone(Gone),
    /// The list as a gateway holds it.
    Listed(Listed),
    /// The owner of a topic's duty told this news first.
    Published(Published),
    /// News reached a listener's socket.
    Came(Came),
    /// A listener's client handed news on.
    Told(Told),
    /// A listener's client said that something was missed.
    Missed(Missed),
    /// All rows that a source has for a question.
    Held(Held),
    /// What a source sent.
    Sent(Sent),
    /// The answer that was made of it.
    Merged(Merged),
    /// What the rig did.
    Fault(Fault),
    /// What the settings of this trial allow.
    Bounds(Bounds),
    /// A line of a router's log.
    Said(serde_json::Map<String, serde_json::Value>),
}

/// A request, at its beginning.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Asked {
    /// The request.
    pub id: String,
    /// Whose writes it must see.
    pub session: String,
    /// The router that was asked.
    pub of: String,
    /// The group of nodes that it is for.
    pub group: u64,
    /// Whether it is a write (`book-seat`).
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub write: bool,
    /// How stale a read may be (us); none: as stale as it likes.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub stale: Option<Time>,
}

/// How a request ended for who asked.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Fate {
    /// With its value.
    Served,
    /// Refused: it did not run, trying again is harmless.
    Refused,
    /// With an error, or the connection ended: it may have run.
    Failed,
    /// Not at all, by its patience and a little more.
    Unanswered,
    /// With the value of another request.
    Foreign,
}

/// The end of a request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Answered {
    /// The request.
    pub id: String,
    /// How it ended.
    pub fate: Fate,
}

/// A statement that ran.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Ran {
    /// The request.
    pub id: String,
    /// The node.
    pub node: String,
    /// Its group.
    pub group: u64,
    /// Whether it wrote.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub write: bool,
    /// The position that a write was given, or up to which a read saw writes; it rises within a group.
    pub position: u64,
}

/// An effect of a duty's owner on something outside of it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Acted {
    /// The duty.
    pub duty: LeaseName,
    /// The token that it carried; 0 where the affected is told none (a probe at a db node) and the rig knows none.
    pub token: Token,
    /// The process that acted, by name and life: `n4/1` is the second life of n4.
    pub owner: String,
    /// Who was affected.
    pub place: String,
    /// When it reached whom it affected.
    pub begin: Time,
    /// When it was done with.
    pub end: Time,
    /// Whether the affected looks at tokens.
    pub fenced: bool,
}

/// An effect that was refused.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Refused {
    /// The duty.
    pub duty: LeaseName,
    /// The token that it carried.
    pub token: Token,
    /// The process that wanted to act.
    pub owner: String,
    /// Who was to be affected.
    pub place: String,
    /// The newest that the affected had seen.
    pub known: Token,
}

/// A listener's wish.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Subscription {
    /// Who.
    pub subscriber: String,
    /// Its life: a restart has a higher one.
    pub life: u64,
    /// The subscriber's own counter, over all its topics.
    pub counter: u64,
    /// What it wants to hear of.
    pub topic: String,
    /// From the gateway of this zone.
    pub zone: String,
}

/// A listener that ended without leaving.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Gone {
    /// Who.
    pub subscriber: String,
    /// Which life of it.
    pub life: u64,
}

/// An entry of a list.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Entry {
    /// Who.
    pub subscriber: String,
    /// What of.
    pub topic: String,
    /// Its life.
    pub life: u64,
    /// From which zone's gateway.
    pub zone: String,
}

/// A gateway's list.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Listed {
    /// The gateway.
    pub gateway: String,
    /// All that it holds.
    pub entries: Vec<Entry>,
}

/// News at its origin.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Published {
    /// What of.
    pub topic: String,
    /// The owner's token.
    pub token: Token,
    /// Its number within the token, from 1.
    pub number: u64,
}

/// News at a listener's socket.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Came {
    /// Whose socket.
    pub subscriber: String,
    /// From which gateway.
    pub gateway: String,
    /// What of.
    pub topic: String,
    /// The owner's token.
    pub token: Token,
    /// Its number.
    pub number: u64,
}

/// News as a listener's client hands it on.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Told {
    /// To whom.
    pub subscriber: String,
    /// Which life of it.
    pub life: u64,
    /// What of.
    pub topic: String,
    /// The owner's token.
    pub token: Token,
    /// Its number.
    pub number: u64,
    /// How many older ones it stands for: positions collapse to the newest.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub collapsed: u64,
}

fn is_zero(n: &u64) -> bool {
    *n == 0
}

/// A listener was told that it must ask anew.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Missed {
    /// Who.
    pub subscriber: String,
    /// Which life of it.
    pub life: u64,
    /// What of.
    pub topic: String,
}

/// A row, by column. Only null, booleans, numbers and text.
pub type Row = BTreeMap<String, serde_json::Value>;

/// A source's rows.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Held {
    /// The question.
    pub question: String,
    /// The source.
    pub source: String,
    /// All that it has.
    pub rows: Vec<Row>,
}

/// A partial result.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Sent {
    /// The question.
    pub question: String,
    /// The source.
    pub source: String,
    /// What it sent of its rows.
    pub rows: Vec<Row>,
}

/// One key of an order.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SortKey {
    /// The column.
    pub column: String,
    /// The greatest first.
    #[serde(default)]
    pub down: bool,
    /// Rows without the column come first.
    #[serde(default)]
    pub absent_first: bool,
}

/// Which of several rows with one key stays.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Keep {
    /// The first by order.
    #[default]
    First,
    /// The one with the greatest value of this column (position, token).
    Highest(String),
    /// The one with the least.
    Lowest(String),
    /// The first, with the sum of all in this column.
    Sum(String),
    /// The first, with the number of rows in this column.
    Count(String),
}

/// The rules of a merge, as the checker plays them.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Plain {
    /// The order; the source is the last resort.
    pub sort: Vec<SortKey>,
    /// Rows that are alike in these columns are one; none: all rows stay.
    pub key: Vec<String>,
    /// Which of them stays.
    pub keep: Keep,
    /// So many rows are passed over.
    pub offset: usize,
    /// So many are told at the most.
    pub limit: Option<usize>,
}

/// A row of an answer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MergedRow {
    /// The row.
    pub row: Row,
    /// Whether the answer says that it certainly belongs where it stands.
    #[serde(default)]
    pub certain: bool,
    /// The least that a sum can be, where the answer says so.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub low: Option<f64>,
    /// The most.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub high: Option<f64>,
}

/// An answer made of several sources.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Merged {
    /// The question.
    pub question: String,
    /// By which rules.
    pub rules: Plain,
    /// Sources that were asked.
    pub expected: Vec<String>,
    /// Those whose rows are in it.
    pub from: Vec<String>,
    /// Those that it says are missing.
    pub missing: Vec<String>,
    /// Its rows.
    pub rows: Vec<MergedRow>,
    /// No row that those sources held back comes before this one; none: it says that they held nothing back.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub unseen: Option<Row>,
}

/// Something that the rig did.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// What.
    pub what: String,
    /// To whom.
    pub whom: Vec<String>,
    /// Whether it strikes processes: who asks one may be left without an answer.
    pub blow: bool,
    /// From when.
    pub begin: Time,
    /// Until when.
    pub end: Time,
}

/// What the settings of a trial allow (us). The formulas stand in the pages of the parts; the rig records what comes out.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Bounds {
    /// Effects of two owners overlap at the most so long, where nobody looks at tokens.
    pub overlap: Time,
    /// After the last fault and the last change of subscriptions lists are equal.
    pub heal: Time,
    /// A subscription ends so long after its last renewal.
    pub expire: Time,
    /// After that a listener has news, or was told that it missed some.
    pub tell: Time,
    /// Who asks a process that was struck may be left without an answer until so long afterwards.
    pub recover: Time,
}
