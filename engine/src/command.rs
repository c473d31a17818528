//! The commands of the engine to the parts that own sockets.

use crate::Key;
use plovercove::{Micros, NodeId};

/// Identifies one attempt of one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptId {
    /// The request.
    pub request: Key,
    /// The number of the attempt, counted from 0.
    pub number: u32,
}

/// A decision, to be carried out in the order given.
#[derive(Debug)]
pub enum Command {
    /// Send an attempt for a request of this client.
    Send {
        /// The attempt.
        attempt: AttemptId,
        /// The client's key, as given in [`crate::Engine::begin_request`].
        origin: Key,
        /// The node to send it to.
        node: NodeId,
    },
    /// Stop an attempt. Its answer must not reach the client.
    CancelAttempt {
        /// The attempt.
        attempt: AttemptId,
        /// The node that it was sent to.
        node: NodeId,
    },
    /// Poll a node for its load report.
    HealthCheck(NodeId),
    /// Close the idle connections to a node.
    CloseIdle(NodeId),
    /// Give a request its final answer.
    Answer {
        /// The request.
        request: Key,
        /// The client's key.
        origin: Key,
        /// The answer.
        answer: FinalAnswer,
    },
}

/// A final answer that the router gives itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FinalAnswer {
    /// A retry is harmless, after the given delay (us) if there is one.
    Rejected(Option<Micros>),
    /// Nothing is promised about the effect of the request.
    Failed,
}
