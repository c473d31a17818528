//! The ends of attempts, and the reports of nodes about themselves.

use super::{Micros, Time};

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// Served.
    Success,
    /// The node returned an error; the attempt may have been executed.
    Failure,
    /// Rejected without being executed: the node's queue is full, or the node is draining.
    Overloaded,
    /// No answer arrived in time; the attempt may have been executed, or still be running.
    TimedOut,
    /// No connection could be opened; the attempt was never executed.
    Unreachable,
    /// The connection broke; the attempt may have been executed.
    Reset,
    /// Cancelled; the attempt may have been executed.
    Cancelled,
    /// The attempt was never sent.
    NeverSent,
    /// Rejected without being executed: a write at a replica, or a read for which the node lags too far behind.
    Misdirected,
}

impl AttemptEnd {
    /// Returns whether an attempt that ended like this may have been executed.
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

    /// Returns a short name for logs.
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
    /// The node executes the group's writes.
    Primary,
    /// The node applies the primary's log.
    Replica,
}

/// What a node reports about itself in an answer or in a load report.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct NodeReport {
    /// Time up to which the node has applied every commit.
    pub position: Option<Time>,
    /// The node's role.
    pub role: Option<Role>,
    /// Number of requests in flight at the node, from all routers together.
    pub in_flight: Option<u32>,
    /// Utilization of the node's cores, in thousandths.
    pub utilization_permille: Option<u32>,
    /// Age of the report if another router requested it: the time since that request, including the longest possible
    /// transit time of its message. 0 if this router requested the report itself.
    pub age: Micros,
}
