//! The upstream: a pool of PostgreSQL connections to each node, one request at a time on every connection. It carries out
//! attempts and reports how they end.
//!
//! | module | what it does |
//! | --- | --- |
//! | `pool` | which connection a job gets, when one more is dialled |
//! | `connection` | one connection and the job that it carries |
//! | `exchange` | login, request and reply on a connection, and how it ends |
//! | `reply` | the check of a reply, and what a node says of itself |
//! | `cancellation` | stopping attempts |
//! | `locations` | where nodes are, by the endpoint list |
//! | `watch` | questions on behalf of the fleet |

mod cancellation;
mod connection;
mod exchange;
mod locations;
mod pool;
pub mod reply;
mod watch;

pub use connection::ConnectOptions;
pub use watch::{LeaseCheck, NodeQuery, QueryAnswer, QueryOutcome};

use crate::net::budget::{Budget, Buffer};
use crate::statement_labels::Statement;
use connection::{Connection, Job};
use plovercove::{Micros, NodeId, Time};
use plovercove_engine::{AttemptId, Engine, Key, Table};
use plovercove_poller::Poll;
use pool::Pool;
use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;

/// Idle connections are retired after this part of the time at which the node closes them: a request that crosses the
/// node's close ends as a reset.
const RETIRE_AFTER_DIVISOR: u64 = 2;

/// A request with the reply that is its final answer.
pub struct ServedRequest {
    /// The client.
    pub origin: Key,
    /// The request.
    pub request: Key,
    /// What to pass on.
    pub reply: Buffer,
}

/// The pools of all nodes.
pub struct Upstream {
    poll: Poll,
    budget: Budget,
    pools: BTreeMap<NodeId, Pool>,
    connections: Table<Connection>,
    /// Where the attempts that have a connection run.
    running_attempts: HashMap<AttemptId, Key>,
    max_connections: usize,
    connect_timeout: Micros,
    idle_timeout: Micros,
    options: ConnectOptions,
    cancels_under_way: usize,
    served: Vec<ServedRequest>,
    query_outcomes: Vec<QueryOutcome>,
}

impl Upstream {
    /// Pools without connections, for so many at the most. `node_closes_after` is when nodes close idle connections (us).
    pub fn new(
        poll: &Poll,
        budget: &Budget,
        options: ConnectOptions,
        max_connections: usize,
        connect_timeout: Micros,
        node_closes_after: Micros,
    ) -> Self {
        Upstream {
            poll: poll.clone(),
            budget: budget.clone(),
            pools: BTreeMap::new(),
            connections: Table::new(),
            running_attempts: HashMap::new(),
            max_connections,
            connect_timeout,
            idle_timeout: node_closes_after / RETIRE_AFTER_DIVISOR,
            options,
            cancels_under_way: 0,
            served: Vec::new(),
            query_outcomes: Vec::new(),
        }
    }

    /// From now on it logs in so.
    pub fn change_options(&mut self, options: ConnectOptions) {
        self.options = options;
    }

    /// The final answers that have come since the last call.
    pub fn take_served(&mut self) -> Vec<ServedRequest> {
        std::mem::take(&mut self.served)
    }

    /// What became of the fleet's questions since the last call.
    pub fn take_query_outcomes(&mut self) -> Vec<QueryOutcome> {
        std::mem::take(&mut self.query_outcomes)
    }

    /// Starts an attempt.
    pub fn send(
        &mut self,
        id: AttemptId,
        statement: Rc<Statement>,
        node: &NodeId,
        now: Time,
        engine: &mut Engine,
    ) {
        self.start(Job::Attempt { id, statement }, node, now, engine);
    }

    /// Asks a node for its report.
    pub fn check_health(&mut self, node: &NodeId, now: Time, engine: &mut Engine) {
        self.start(Job::HealthCheck { asked_at: now }, node, now, engine);
    }

    /// Asks a node for its report, for the fleet.
    pub fn query(&mut self, query: NodeQuery, now: Time, engine: &mut Engine) {
        let lease_check = query.lease_check;
        let job = Job::Watch {
            asked_at: now,
            lease_check,
        };
        self.start(job, &query.node, now, engine);
    }
}

#[cfg(test)]
mod tests;
