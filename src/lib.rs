//! The routing decisions of plovercove: which node gets a request, when it is tried again, and when it is shed.
//!
//! There is no I/O and no clock here. A router reports [`Event`]s to a [`Balancer`] and carries out the [`Action`]s that it
//! returns; a simulator and the tests drive the same code. `docs/architecture.md` shows what stands round it, and
//! `docs/design.md` gives the reasons.
//!
//! | module | the rule it holds |
//! | --- | --- |
//! | `balancer` | the state, and the order in which one batch of events is handled |
//! | `placement` | the way of one request to one node, phase by phase |
//! | `attempt_outcome` | what the end of an attempt tells |
//! | `endpoints` | the endpoint list, draining, and when a node is forgotten |
//! | `primary` | who is believed primary, and how one is looked for |
//! | `freshness` | which replica may serve which read |
//! | `replica_selection` | the cost-weighted choice among replicas |
//! | `admission` | whether an answer can come in time; shedding; the final answer |
//! | `quota` | tenants' quotas |
//! | `retry` | which further attempt is allowed, and what may be promised |
//! | `slow_start` | what a warming node may get |
//! | `concurrency_limit` | what may be in flight at a node |
//! | `outlier_detection` | silent nodes: ejection and half-open trials |
//! | `health_check` | when a node is asked for its report |
//! | `latency`, `load` | what is learned of time and of load |
//! | `node`, `request` | what is known of each |
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
mod slow_start;

pub use api::*;
pub use balancer::Balancer;
