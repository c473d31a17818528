//! Units and identifiers.

use std::sync::Arc;

/// A time on the router's clock, in microseconds. The clock never runs backwards.
pub type Time = u64;
/// A duration in microseconds.
pub type Micros = u64;
/// The router's identifier of a request.
pub type RequestId = u64;
/// The name of a database node, which has no meaning to the decisions.
pub type NodeId = Arc<str>;
/// The identifier of a replication group, which is one primary and its replicas.
pub type GroupId = u64;
