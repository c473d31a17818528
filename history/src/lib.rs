//! Recorded histories of what many processes sent, received and did, and checkers that report violated rules after the
//! run.
//!
//! Each process that observes a router from outside (emulators, clients, listeners, the emulated network, the harness
//! of the experiment) writes one file of JSON lines. A line with a statement of the router under test itself is marked
//! as a claim. A history is a folder of such files. [`check_history`] reads no clock and contacts no process.
//!
//! All times are microseconds on the monotonic clock of the one machine that runs all processes, so that events of
//! several processes can be put in the order in which they happened. Histories of several machines are not supported.

mod error;
mod event;
mod file;
mod lease_holders;
mod merged_answers;
mod report;
mod requests;
mod subscriptions;

pub use error::Error;
pub use event::{
    AnswerMerged, Bounds, EffectApplied, EffectRejected, Event, EventsMissed, Fault, FileHeader,
    GatewayList, KeepRule, Line, ListEntry, ListenerKilled, MergeRules, MergedRow, Notified,
    Outcome, PartialSent, ProcessKind, Published, Received, RequestEnded, RequestSent, Row,
    SortKey, SourceRows, StatementRan, Subscription, Time,
};
pub use file::{File, History, LineRef, Writer, now};
pub use merged_answers::merge_rows;
pub use report::{CitedLine, Counts, Finding, Report, check_history};
