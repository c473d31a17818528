//! The upstream: a pool of PostgreSQL connections to each node, with one request at a time on each connection. It executes
//! attempts and reports how they end.
//!
//! | module | what it does |
//! | --- | --- |
//! | `pool` | assigns connections to jobs, opens and closes connections |
//! | `connection` | the state of a connection and its job |
//! | `exchange` | login, request, reply and the end of a connection |
//! | `running_job` | a job on a connection, and whether its reply is a copy of the last one |
//! | `reply` | checks a reply and reads the node's report |
//! | `cancellation` | cancels attempts |
//! | `locations` | applies the endpoint list |
//! | `watch` | queries of nodes under the lease of a group's watch |

mod cancellation;
mod connection;
mod exchange;
mod locations;
mod pool;
pub mod reply;
mod running_job;
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

/// Idle connections are closed after the node's idle timeout divided by this. A request that crosses with the node's close
/// would end as a reset.
const IDLE_TIMEOUT_DIVISOR: u64 = 2;

/// A completed request with its reply.
pub struct ServedRequest {
    /// The client.
    pub origin: Key,
    /// The request.
    pub request: Key,
    /// The reply to forward.
    pub reply: Buffer,
}

/// The connection pools of all nodes.
pub struct Upstream {
    poll: Poll,
    budget: Budget,
    pools: BTreeMap<NodeId, Pool>,
    connections: Table<Connection>,
    /// The connections of the attempts that have one.
    running_attempts: HashMap<AttemptId, Key>,
    max_connections: usize,
    connect_timeout: Micros,
    idle_timeout: Micros,
    options: ConnectOptions,
    cancels_in_flight: usize,
    served: Vec<ServedRequest>,
    query_outcomes: Vec<QueryOutcome>,
}

impl Upstream {
    /// Creates the pools without connections. `node_idle_timeout` is the time after which nodes close idle connections (us).
    pub fn new(
        poll: &Poll,
        budget: &Budget,
        options: ConnectOptions,
        max_connections: usize,
        connect_timeout: Micros,
        node_idle_timeout: Micros,
    ) -> Self {
        Upstream {
            poll: poll.clone(),
            budget: budget.clone(),
            pools: BTreeMap::new(),
            connections: Table::new(),
            running_attempts: HashMap::new(),
            max_connections,
            connect_timeout,
            idle_timeout: node_idle_timeout / IDLE_TIMEOUT_DIVISOR,
            options,
            cancels_in_flight: 0,
            served: Vec::new(),
            query_outcomes: Vec::new(),
        }
    }

    /// Changes the login for new connections, and whether cancel requests are sent.
    pub fn change_options(&mut self, options: ConnectOptions) {
        self.options = options;
    }

    /// Takes the completed requests.
    pub fn take_served(&mut self) -> Vec<ServedRequest> {
        std::mem::take(&mut self.served)
    }

    /// Takes the outcomes of queries.
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
        let statement = Some(statement);
        self.start(Job::Attempt { id, statement }, node, now, engine);
    }

    /// Starts a health check, which requests a node's report.
    pub fn check_health(&mut self, node: &NodeId, now: Time, engine: &mut Engine) {
        self.start(Job::HealthCheck { queried_at: now }, node, now, engine);
    }

    /// Starts a query for a node's report under the lease of a group's watch.
    pub fn query(&mut self, query: NodeQuery, now: Time, engine: &mut Engine) {
        let lease_check = query.lease_check;
        let job = Job::Watch {
            queried_at: now,
            lease_check,
        };
        self.start(job, &query.node, now, engine);
    }
}

#[cfg(test)]
mod tests;
