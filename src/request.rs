//! One request and the state of its attempts.

use crate::api::{GroupId, NodeId, RequestId, RequestInfo, Time};

/// Whether an attempt is in flight, and whether it may have been executed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AttemptState {
    /// It was sent and has not ended.
    InFlight,
    /// It ended and was certainly not executed.
    NotExecuted,
    /// It ended and may have been executed.
    MayHaveExecuted,
}

/// One attempt of a request at a node.
#[derive(Clone, Debug)]
pub(crate) struct Attempt {
    pub(crate) node: NodeId,
    pub(crate) sent_at: Time,
    pub(crate) state: AttemptState,
    /// Whether the node rejected it without executing it, because the node is not the primary or lags too far behind.
    pub(crate) misdirected: bool,
}

impl Attempt {
    /// Creates an attempt that is sent now.
    pub(crate) fn sent(node: NodeId, now: Time) -> Self {
        Attempt {
            node,
            sent_at: now,
            state: AttemptState::InFlight,
            misdirected: false,
        }
    }

    /// Returns whether it is in flight or may have been executed.
    pub(crate) fn may_take_effect(&self) -> bool {
        self.state != AttemptState::NotExecuted
    }
}

/// A node that was polled for its position on behalf of a request.
#[derive(Clone, Debug)]
pub(crate) struct PositionCheck {
    pub(crate) node: NodeId,
    pub(crate) requested_at: Time,
}

/// A request that has no final answer yet, or has attempts in flight.
#[derive(Clone, Debug)]
pub(crate) struct Request {
    pub(crate) info: RequestInfo,
    /// A uniform random draw between 0 and 1. The request passes a random admission check if the check's probability is
    /// above it.
    pub(crate) random_draw: f64,
    pub(crate) arrived_at: Time,
    /// Latest time at which the client's first attempt can have begun, as far as the router knows.
    pub(crate) first_attempt_at: Time,
    /// Time by which the final answer is given.
    pub(crate) deadline: Time,
    /// Position up to which a replica must have applied the log.
    pub(crate) required_position: Option<Time>,
    pub(crate) attempts: Vec<Attempt>,
    /// Whether it still has to get a final answer.
    pub(crate) is_open: bool,
    /// Whether its answer is being streamed.
    pub(crate) is_streaming: bool,
    /// The share of its class's priority weight that it earns; less than 1 for requests beyond a tenant's quota.
    pub(crate) quota_weight: f64,
    /// Whether admission or the locality policy denies it, for now, the nodes that it could go to.
    pub(crate) is_denied: bool,
    pub(crate) position_check: Option<PositionCheck>,
}

impl Request {
    pub(crate) fn id(&self) -> RequestId {
        self.info.id
    }

    pub(crate) fn group(&self) -> GroupId {
        self.info.group
    }

    /// Returns its attempts at one node.
    pub(crate) fn attempts_at(&self, node: &NodeId) -> impl Iterator<Item = &Attempt> {
        self.attempts.iter().filter(move |a| a.node == *node)
    }

    /// Returns whether it has been sent to this node before.
    pub(crate) fn has_tried(&self, node: &NodeId) -> bool {
        self.attempts_at(node).next().is_some()
    }

    /// Returns whether this node rejected it as misdirected.
    pub(crate) fn was_misdirected_to(&self, node: &NodeId) -> bool {
        self.attempts_at(node).any(|a| a.misdirected)
    }

    /// Returns whether this node may have executed one of its attempts without an answer arriving.
    pub(crate) fn may_have_executed_at(&self, node: &NodeId) -> bool {
        self.attempts_at(node).any(Attempt::may_take_effect)
    }

    /// Returns whether an attempt has been sent and has not ended.
    pub(crate) fn is_in_flight(&self) -> bool {
        let in_flight = |a: &Attempt| a.state == AttemptState::InFlight;
        self.attempts.iter().any(in_flight)
    }

    /// Returns whether any attempt is in flight or may have been executed.
    pub(crate) fn may_take_effect(&self) -> bool {
        self.attempts.iter().any(Attempt::may_take_effect)
    }

    /// Returns whether the router can still give its final answer.
    pub(crate) fn awaits_answer(&self) -> bool {
        self.is_open && !self.is_streaming
    }

    /// Returns whether it is closed and has no attempt in flight.
    pub(crate) fn is_done(&self) -> bool {
        !self.is_open && !self.is_in_flight()
    }
}
