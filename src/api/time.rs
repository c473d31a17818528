//! Units and identifiers.

use std::sync::Arc;

/// A moment on the router's clock, in microseconds. It never runs backwards.
pub type Time = u64;
/// A length of time in microseconds.
pub type Micros = u64;
/// A request, as the router numbers it.
pub type RequestId = u64;
/// A server's name, opaque to the module.
pub type NodeId = Arc<str>;
/// A replication group: one primary and its replicas.
pub type GroupId = u64;
