//! Which db nodes reach this router, all taken together: whether what it sees fail may be the fault of its own links.
//!
//! It guards against a router that is cut off and accuses healthy nodes. Its attempts time out one after the other, and until
//! enough of them have, most nodes still count as serving, by answers from before the cut. Such an answer is no evidence that
//! a link works now; one that came after the accused node began to fail is.

use plovercove::Time;

/// A router that sees so many nodes fail, and more than a third of those it sees, has a broken link of its own.
const MIN_BLAMED_FAILURES: usize = 3;
/// An accuser was answered by so many other nodes for each that fails.
const ANSWERING_PER_FAILING: usize = 2;

/// Whether a router for which so many of so many nodes fail blames its own links.
pub(crate) fn blames_itself(failing: usize, nodes: usize) -> bool {
    failing >= MIN_BLAMED_FAILURES && 3 * failing > nodes
}

/// What one router sees of all nodes at one moment.
#[derive(Debug, Default)]
pub(crate) struct Reach {
    /// Nodes that fail.
    pub(crate) failing: usize,
    /// Nodes that answered more than they failed, but not at the last attempt.
    pub(crate) suspected: usize,
    /// When each of the others answered last.
    pub(crate) last_answers: Vec<Time>,
}

impl Reach {
    /// Of how many nodes this router saw anything.
    pub(crate) fn nodes(&self) -> usize {
        self.failing + self.suspected + self.last_answers.len()
    }

    /// Whether this router cannot tell yet if a node that fails since then is at fault, or its own links: it has to blame
    /// itself if those that it suspects fail as well, or, where too few have answered since, those that have not.
    pub(crate) fn is_uncertain_since(&self, since: Time) -> bool {
        if blames_itself(self.failing, self.nodes()) {
            return false;
        }
        let may_fail = self.failing + self.suspected;
        let answering = self.last_answers.iter().filter(|at| **at > since).count();
        let silent = if answering < ANSWERING_PER_FAILING * may_fail {
            self.last_answers.len() - answering
        } else {
            0
        };
        blames_itself(may_fail + silent, self.nodes())
    }
}

#[cfg(test)]
mod tests;
