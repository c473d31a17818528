//! What the router tells the decisions: one batch of events for each turn of its loop.

use super::{AttemptEnd, EndpointUpdate, GroupId, Micros, NodeId, NodeReport, RequestId};
use std::sync::Arc;

/// A request from a client.
#[derive(Clone, Debug, Default)]
pub struct RequestInfo {
    /// Its number.
    pub id: RequestId,
    /// Its class, by place in the settings.
    pub class: usize,
    /// Its tenant, by place in the settings.
    pub tenant: Option<usize>,
    /// Its session, where it has one.
    pub session: Option<Arc<str>>,
    /// How long the client waits for this try.
    pub time_left: Micros,
    /// Expected work on a standard core, where told.
    pub cost_hint: Option<Micros>,
    /// The group it is for.
    pub group: GroupId,
    /// How long ago the session's last write was committed, where told and where there is one.
    pub last_write_age: Option<Micros>,
    /// Whether the client marked it as a repeat.
    pub is_retry: bool,
}

/// What the router reports to the module.
#[derive(Clone, Debug)]
pub enum Event {
    /// Discovery says something.
    EndpointsChanged(EndpointUpdate),
    /// A request arrived.
    RequestArrived(RequestInfo),
    /// A streamed answer began; the request now belongs to that attempt.
    StreamStarted {
        /// The request.
        request: RequestId,
    },
    /// An attempt ended.
    AttemptEnded {
        /// The request.
        request: RequestId,
        /// The attempt, counted from 0 in the order of sends.
        attempt: u32,
        /// How it ended.
        end: AttemptEnd,
        /// Time since the send.
        elapsed: Micros,
        /// Whether the request is over.
        request_over: bool,
        /// What the answer's note says of the node.
        answer_report: NodeReport,
        /// What the report carried along says of the node; as old as the report.
        load_report: NodeReport,
    },
    /// The client left, or an answer is overdue; the request is over.
    ClientGone {
        /// The request.
        request: RequestId,
    },
    /// A timer fell due.
    Timer,
    /// A probe ended.
    HealthChecked {
        /// The node.
        node: NodeId,
        /// Whether it answered.
        answered: bool,
        /// What it said of itself.
        load_report: NodeReport,
    },
    /// A message from a peer. The module follows none: routers share nothing.
    Peer {
        /// The sender's number.
        from: u32,
        /// The bytes.
        payload: Vec<u8>,
    },
}
