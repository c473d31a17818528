//! Questions that this router asks nodes on behalf of the fleet, as the owner of a group's watch.

use plovercove::{NodeId, NodeReport, Time};
use std::rc::Rc;

/// The last look at the clock and the lease before a question leaves.
pub type LeaseCheck = Rc<dyn Fn() -> bool>;

/// A question to a node.
pub struct NodeQuery {
    /// The node.
    pub node: NodeId,
    /// Whether it may leave now.
    pub lease_check: LeaseCheck,
}

/// What became of a question.
pub struct QueryOutcome {
    /// The node.
    pub node: NodeId,
    /// What it said; none where it did not answer.
    pub answer: Option<QueryAnswer>,
}

/// A node's answer to a question.
#[derive(Clone, Copy, Debug)]
pub struct QueryAnswer {
    /// When it was asked.
    pub asked_at: Time,
    /// What it said of itself.
    pub report: NodeReport,
}
