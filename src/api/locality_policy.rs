//! The port through which a policy on zones stands beside the decisions.

use super::{AttemptEnd, EndpointUpdate, LogEvent, Micros, NodeId, RequestId, Time};

/// What [`LocalityPolicy`] is asked about: one request that is to be placed.
#[derive(Clone, Copy, Debug)]
pub struct RoutingQuery {
    /// The request.
    pub request: RequestId,
    /// Its class, by place in the settings.
    pub class: usize,
    /// Whether only the primary takes it.
    pub is_write: bool,
}

/// Says which zones a request may use now. It stands beside the module, which asks it of each node before it chooses,
/// and tells it what it sent and what came of it. Without one, zones matter as little as they do to the nodes' cost.
pub trait LocalityPolicy: std::any::Any {
    /// Discovery said something.
    fn endpoints_changed(&mut self, now: Time, update: &EndpointUpdate);
    /// How much of a node's weight counts for a request now, over 0; none: the request may not go there.
    fn weight_share(&mut self, now: Time, ask: &RoutingQuery, node: &NodeId) -> Option<f64>;
    /// An attempt was sent.
    fn attempt_sent(&mut self, now: Time, ask: &RoutingQuery, node: &NodeId);
    /// An attempt ended, so long after it was sent.
    fn attempt_ended(
        &mut self,
        now: Time,
        ask: &RoutingQuery,
        node: &NodeId,
        ending: AttemptEnd,
        elapsed: Micros,
    );
    /// When a request that is refused should come back, `most` from now at the latest.
    fn retry_after(&self, ask: &RoutingQuery, most: Micros) -> Micros;
    /// A line for the log, while there is one.
    fn next_log_event(&mut self) -> Option<LogEvent>;
    /// Whether it gives each cold node an allowance of its own. Where it does not, the module paces them as without it.
    fn paces_slow_start(&self) -> bool {
        true
    }
}
