//! The events that the router reports to the decisions, one batch for each turn of its event loop.

use super::{
    AttemptEnd, EndpointUpdate, GroupId, Micros, NodeId, NodeReport, RequestId, SessionId, Time,
};

/// A request from a client.
#[derive(Clone, Debug, Default)]
pub struct RequestInfo {
    /// The identifier of the request.
    pub id: RequestId,
    /// Index of its class in the settings.
    pub class: usize,
    /// Index of its tenant in the settings.
    pub tenant: Option<usize>,
    /// Its session, if it has one.
    pub session: Option<SessionId>,
    /// Time that the client still waits for an answer.
    pub time_left: Micros,
    /// Expected work on a standard core, if the client states it.
    pub cost_hint: Option<Micros>,
    /// The group that it is addressed to.
    pub group: GroupId,
    /// Time since the session's last write was committed, if there was one and the client states it.
    pub last_write_age: Option<Micros>,
    /// Whether the client marked it as a retry.
    pub is_retry: bool,
}

/// An event that the router reports to the decisions.
#[derive(Clone, Debug)]
pub enum Event {
    /// Discovery sent an update.
    EndpointsChanged(EndpointUpdate),
    /// A request arrived.
    RequestArrived(RequestInfo),
    /// A streamed answer began; from now on only the attempt that delivers it can finish the request.
    StreamStarted {
        /// The request.
        request: RequestId,
    },
    /// An attempt ended.
    AttemptEnded {
        /// The request.
        request: RequestId,
        /// The number of the attempt, counted from 0 in the order of sends.
        attempt: u32,
        /// How it ended.
        end: AttemptEnd,
        /// Time between the send and the end.
        elapsed: Micros,
        /// Whether the request needs no further attempt, because it has its final answer or its client has left.
        request_over: bool,
        /// What the answer itself reports about the node.
        answer_report: NodeReport,
        /// What a load report that came with the answer says about the node; as old as that report.
        load_report: NodeReport,
    },
    /// The client left, or its final answer is overdue; the request is over.
    ClientGone {
        /// The request.
        request: RequestId,
    },
    /// The router shuts down: all requests, also those that still arrive, have to get their final answers in time.
    ShutdownBegun {
        /// Time of the last final answer.
        answer_by: Time,
    },
    /// A timer expired.
    Timer,
    /// A health check ended.
    HealthChecked {
        /// The node.
        node: NodeId,
        /// Whether the node answered.
        answered: bool,
        /// What the node reported about itself.
        load_report: NodeReport,
    },
    /// A message from another router. The decisions ignore it, since routers share no state.
    Peer {
        /// The index of the sender.
        from: u32,
        /// The content of the message.
        payload: Vec<u8>,
    },
}
