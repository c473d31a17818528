//! Queries of nodes for the lease tasks, under the lease of a group's watch.

use plovercove::{NodeId, NodeReport, Time};
use std::rc::Rc;

/// Returns whether this router still holds the lease. Called with a fresh clock just before a query is sent.
pub type LeaseCheck = Rc<dyn Fn() -> bool>;

/// A query to a node.
pub struct NodeQuery {
    /// The node.
    pub node: NodeId,
    /// Checks whether the query may still be sent.
    pub lease_check: LeaseCheck,
}

/// The outcome of a query.
pub struct QueryOutcome {
    /// The node.
    pub node: NodeId,
    /// The answer, or `None` if the node did not answer.
    pub answer: Option<QueryAnswer>,
}

/// A node's answer to a query.
#[derive(Clone, Copy, Debug)]
pub struct QueryAnswer {
    /// The time of the query.
    pub queried_at: Time,
    /// The node's report.
    pub report: NodeReport,
}
