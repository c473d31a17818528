//! Reachability of all database nodes from this router: whether the failures that it sees may be the fault of its own links.
//!
//! This prevents a router that is cut off from accusing healthy nodes. The attempts of such a router time out one after the
//! other. Until enough of them have, most nodes still count as serving, because they answered before the cut. Such an answer
//! does not prove that the links work now; an answer after the accused node began to fail does.

use plovercove::Time;

/// A router that sees at least this many nodes fail, and more than a third of all nodes that it sees, assumes a fault of its
/// own links.
const MIN_FAILURES_TO_SUSPECT_LINKS: usize = 3;
/// Number of other nodes that have to answer for each node that fails, before a router accuses one.
const ANSWERING_PER_FAILING: usize = 2;

/// Returns whether a router that sees `failing` of `nodes` nodes fail assumes a fault of its own links.
pub(crate) fn suspects_own_links(failing: usize, nodes: usize) -> bool {
    failing >= MIN_FAILURES_TO_SUSPECT_LINKS && 3 * failing > nodes
}

/// State of all nodes as one router sees them at one moment.
#[derive(Debug, Default)]
pub(crate) struct Reach {
    /// Number of nodes that fail.
    pub(crate) failing: usize,
    /// Number of nodes that answered more often than they failed, but failed at the last attempt.
    pub(crate) suspected: usize,
    /// Time of the last answer of each other node.
    pub(crate) last_answers: Vec<Time>,
}

impl Reach {
    /// Returns the number of nodes of which this router has observations.
    pub(crate) fn nodes(&self) -> usize {
        self.failing + self.suspected + self.last_answers.len()
    }

    /// Returns whether it is still open if a node that has failed since this time is at fault, or this router's own links.
    ///
    /// It is open if the router would have to assume a fault of its own links once the suspected nodes fail as well, and,
    /// if too few nodes have answered since then, also those that have not answered.
    pub(crate) fn is_uncertain_since(&self, since: Time) -> bool {
        if suspects_own_links(self.failing, self.nodes()) {
            return false;
        }
        let may_fail = self.failing + self.suspected;
        let answering = self.last_answers.iter().filter(|at| **at > since).count();
        let unanswered = if answering < ANSWERING_PER_FAILING * may_fail {
            self.last_answers.len() - answering
        } else {
            0
        };
        suspects_own_links(may_fail + unanswered, self.nodes())
    }
}

#[cfg(test)]
mod tests;
