//! How attempts end, and what nodes say of themselves.

use super::{Micros, Time};

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
    /// Whether an attempt that ended so may have had an effect.
    pub fn may_have_executed(self) -> bool {
        match self {
            AttemptEnd::Overloaded
            | AttemptEnd::Unreachable
            | AttemptEnd::NeverSent
            | AttemptEnd::Misdirected => false,
            AttemptEnd::Success
            | AttemptEnd::Failure
            | AttemptEnd::TimedOut
            | AttemptEnd::Reset
            | AttemptEnd::Cancelled => true,
        }
    }

    /// In a word or two, for logs.
    pub fn label(self) -> &'static str {
        match self {
            AttemptEnd::Success => "served",
            AttemptEnd::Failure => "error",
            AttemptEnd::Overloaded => "overloaded",
            AttemptEnd::TimedOut => "timed out",
            AttemptEnd::Unreachable => "unreachable",
            AttemptEnd::Reset => "reset",
            AttemptEnd::Cancelled => "cancelled",
            AttemptEnd::NeverSent => "never sent",
            AttemptEnd::Misdirected => "misdirected",
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
