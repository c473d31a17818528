//! One request: what is known of it, and what became of its attempts.

use crate::api::{GroupId, NodeId, RequestId, RequestInfo, Time};

/// Whether an attempt may have had an effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AttemptState {
    /// Sent, and not ended.
    InFlight,
    /// Ended, and certainly without an effect.
    NotExecuted,
    /// Ended, and it may have had its effect.
    MayHaveExecuted,
}

/// One attempt of a request at a node.
#[derive(Clone, Debug)]
pub(crate) struct Attempt {
    pub(crate) node: NodeId,
    pub(crate) sent_at: Time,
    pub(crate) state: AttemptState,
    /// The node turned it away untouched: it is not the primary, or lags too far behind.
    pub(crate) misdirected: bool,
}

impl Attempt {
    /// An attempt that leaves now.
    pub(crate) fn sent(node: NodeId, now: Time) -> Self {
        Attempt {
            node,
            sent_at: now,
            state: AttemptState::InFlight,
            misdirected: false,
        }
    }

    /// It is in flight or may have had its effect.
    pub(crate) fn may_take_effect(&self) -> bool {
        self.state != AttemptState::NotExecuted
    }
}

/// A node that was asked for its position on behalf of a request.
#[derive(Clone, Debug)]
pub(crate) struct PositionCheck {
    pub(crate) node: NodeId,
    pub(crate) asked_at: Time,
}

/// A request that is owed an answer, or has attempts in flight.
#[derive(Clone, Debug)]
pub(crate) struct Request {
    pub(crate) info: RequestInfo,
    /// A uniform draw: the request passes gates of chance whose level is above it.
    pub(crate) random_draw: f64,
    pub(crate) arrived_at: Time,
    /// The client's first attempt began no later than this, as far as the router can tell.
    pub(crate) first_attempt_at: Time,
    /// The final answer is given by then.
    pub(crate) deadline: Time,
    /// A replica must have applied the log up to here.
    pub(crate) required_position: Option<Time>,
    pub(crate) attempts: Vec<Attempt>,
    /// It is owed a final answer.
    pub(crate) is_open: bool,
    /// Its answer is being streamed.
    pub(crate) is_streaming: bool,
    /// The part of its class's weight that it earns: less than 1 beyond a tenant's quota.
    pub(crate) quota_weight: f64,
    /// Nodes that it could go to are closed to it for now, by admission or by locality.
    pub(crate) is_shut_out: bool,
    pub(crate) position_check: Option<PositionCheck>,
}

impl Request {
    pub(crate) fn id(&self) -> RequestId {
        self.info.id
    }

    pub(crate) fn group(&self) -> GroupId {
        self.info.group
    }

    /// Its attempts at one node.
    pub(crate) fn attempts_at(&self, node: &NodeId) -> impl Iterator<Item = &Attempt> {
        self.attempts.iter().filter(move |a| a.node == *node)
    }

    /// It has been sent to this node before.
    pub(crate) fn has_tried(&self, node: &NodeId) -> bool {
        self.attempts_at(node).next().is_some()
    }

    /// This node turned it away untouched.
    pub(crate) fn was_misdirected_to(&self, node: &NodeId) -> bool {
        self.attempts_at(node).any(|a| a.misdirected)
    }

    /// This node may have swallowed an answer of its.
    pub(crate) fn may_have_executed_at(&self, node: &NodeId) -> bool {
        self.attempts_at(node).any(Attempt::may_take_effect)
    }

    /// An attempt has been sent and has not ended.
    pub(crate) fn is_in_flight(&self) -> bool {
        let in_flight = |a: &Attempt| a.state == AttemptState::InFlight;
        self.attempts.iter().any(in_flight)
    }

    /// Some attempt is in flight or may have had its effect.
    pub(crate) fn may_take_effect(&self) -> bool {
        self.attempts.iter().any(Attempt::may_take_effect)
    }

    /// Its final answer can still be worded here.
    pub(crate) fn awaits_answer(&self) -> bool {
        self.is_open && !self.is_streaming
    }

    /// Nothing is owed and nothing is in flight.
    pub(crate) fn is_done(&self) -> bool {
        !self.is_open && !self.is_in_flight()
    }
}
