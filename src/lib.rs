//! The routing decisions of plovercove: which node gets a request, when it is retried, and when it is shed.
//!
//! There is no I/O and no clock in this crate. A router reports [`Event`]s to a [`Balancer`] and carries out the
//! [`Action`]s that it returns; a simulator and the tests drive the same code. `docs/architecture.md` shows the
//! surrounding parts, and `docs/design.md` gives the reasons.
//!
//! | module | content |
//! | --- | --- |
//! | `balancer` | the state, and the order in which one batch of events is handled |
//! | `placement` | how one request gets to one node, phase by phase |
//! | `attempt_outcome` | the updates when an attempt ends |
//! | `endpoints` | the endpoint list, draining, and when a node is forgotten |
//! | `primary` | which member is presumed primary, and how a primary is found |
//! | `freshness` | which replica may serve which read |
//! | `replica_selection` | the cost-weighted choice among replicas |
//! | `admission` | whether an answer can come in time; load shedding; the final answer |
//! | `shutdown` | the time by which a router that shuts down answers all requests |
//! | `quota` | tenants' quotas |
//! | `retry` | which further attempt is allowed, and what may be promised to the client |
//! | `slow_start` | how many requests a warming node may get |
//! | `concurrency_limit` | how many requests may be in flight at a node |
//! | `outlier_detection` | silent nodes: ejection and half-open trials |
//! | `health_check` | when a node is polled for its load report |
//! | `latency`, `load` | estimates of latency and of load |
//! | `node`, `request` | the state kept for each node and each request |
//! | `api` | settings, events and actions |

mod admission;
mod api;
mod attempt_outcome;
mod balancer;
mod concurrency_limit;
mod decay;
mod endpoints;
mod freshness;
mod health_check;
mod latency;
mod load;
mod node;
mod outlier_detection;
mod placement;
mod primary;
mod quota;
mod random;
mod replica_selection;
mod request;
mod retry;
mod shutdown;
mod slow_start;

pub use api::*;
pub use balancer::Balancer;
