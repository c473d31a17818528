//! What the engine asks of the parts that own sockets.

use crate::Key;
use plovercove::{Micros, NodeId};

/// One attempt of one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptId {
    /// The request.
    pub request: Key,
    /// The attempt, counted from 0.
    pub number: u32,
}

/// What was decided, to be carried out in the order given.
#[derive(Debug)]
pub enum Command {
    /// Start an attempt for a request of this client.
    Send {
        /// The attempt.
        attempt: AttemptId,
        /// The client, as the front named it.
        origin: Key,
        /// Where it goes.
        node: NodeId,
    },
    /// Stop an attempt: its answer must reach nobody.
    CancelAttempt {
        /// The attempt.
        attempt: AttemptId,
        /// Where it went.
        node: NodeId,
    },
    /// Ask a node for its report.
    HealthCheck(NodeId),
    /// Close the idle connections to a node.
    CloseIdle(NodeId),
    /// Give a request its final answer.
    Answer {
        /// The request.
        request: Key,
        /// Its client.
        origin: Key,
        /// What it is told.
        answer: FinalAnswer,
    },
}

/// A final answer that no node made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FinalAnswer {
    /// Trying again is harmless, after this long (us) where told.
    Rejected(Option<Micros>),
    /// Nothing is promised.
    Failed,
}
