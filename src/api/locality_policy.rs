//! The interface of a policy that decides which zones a request may use.

use super::{AttemptEnd, EndpointUpdate, LogEvent, Micros, NodeId, RequestId, Time};

/// The part of a request that a [`LocalityPolicy`] needs.
#[derive(Clone, Copy, Debug)]
pub struct RoutingQuery {
    /// The request.
    pub request: RequestId,
    /// Index of its class in the settings.
    pub class: usize,
    /// Whether only the primary can execute it.
    pub is_write: bool,
}

/// Decides which zones a request may use now. The balancer queries it for each node before it selects one, and reports
/// to it which attempts were sent and how they ended. Without a policy, zones matter only through the cost of crossing
/// them.
pub trait LocalityPolicy: std::any::Any {
    /// Handles an update from discovery.
    fn endpoints_changed(&mut self, now: Time, update: &EndpointUpdate);
    /// Returns the share of a node's weight that counts for a request now, which is over 0. `None` means that the
    /// request may not use the node.
    fn weight_share(&mut self, now: Time, query: &RoutingQuery, node: &NodeId) -> Option<f64>;
    /// Records that an attempt was sent.
    fn attempt_sent(&mut self, now: Time, query: &RoutingQuery, node: &NodeId);
    /// Records that an attempt ended, `elapsed` after it was sent.
    fn attempt_ended(
        &mut self,
        now: Time,
        query: &RoutingQuery,
        node: &NodeId,
        end: AttemptEnd,
        elapsed: Micros,
    );
    /// Returns the advised delay before the client of a rejected request retries, at most `max_wait`.
    fn retry_after(&self, query: &RoutingQuery, max_wait: Micros) -> Micros;
    /// Returns the next log line, or `None` if there are no more.
    fn next_log_event(&mut self) -> Option<LogEvent>;
    /// Returns whether the policy itself limits the load of each warming node. If not, the balancer does it, as it does
    /// without a policy.
    fn paces_slow_start(&self) -> bool {
        true
    }
}
