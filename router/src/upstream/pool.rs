//! The connection pools: assign connections to jobs, open connections and close them.
//!
//! Each node has a pool. A job takes an idle connection, or waits for one that is opened for it. At the limit on
//! connections, the one that has been idle longest at any node is closed to make room.

use super::Upstream;
use super::connection::{Connection, Job, State};
use super::exchange::MAX_READ_BYTES;
use super::reply::Reply;
use super::running_job::RunningJob;
use crate::clock;
use crate::net::stream::Stream;
use crate::net::{EventSource, begin_connect, poll_key};
use plovercove::{AttemptEnd, NodeId, Time};
use plovercove_engine::{Deadline, Engine, Key};
use plovercove_pgwire::messages;
use plovercove_pgwire::reply::Shape;
use plovercove_poller::Interest;
use std::collections::VecDeque;
use std::io::{self, ErrorKind};
use std::net::SocketAddr;

/// The statement that requests a node's load report.
pub(super) const REPORT_QUERY: &str = "SHOW pressure";

/// The connections to one node, and its waiting jobs.
#[derive(Default)]
pub(super) struct Pool {
    pub(super) address: Option<SocketAddr>,
    pub(super) idle: Vec<Key>,
    /// Jobs that wait for a connection.
    pub(super) waiting: VecDeque<Job>,
    /// Number of connections that are connecting or logging in.
    pub(super) connecting: usize,
    /// Whether the node has been removed from the endpoint list.
    pub(super) is_removed: bool,
}

impl Pool {
    /// Returns whether more jobs wait than connections are being opened.
    fn lacks_connections(&self) -> bool {
        self.waiting.len() > self.connecting
    }
}

impl Upstream {
    /// Assigns an idle connection to a job, or queues the job and opens a connection.
    pub(super) fn start(&mut self, job: Job, node: &NodeId, now: Time, engine: &mut Engine) {
        while let Some(key) = self.pools.get_mut(node).and_then(|pool| pool.idle.pop()) {
            if !self.is_quiet(key) {
                self.drop_connection(key, engine);
                continue;
            }
            if let Err(job) = self.assign(key, job, now, engine) {
                if let Some(pool) = self.pools.get_mut(node) {
                    pool.idle.push(key);
                }
                self.fail(job, node, AttemptEnd::NeverSent, now, engine);
            }
            return;
        }
        // A node without an address counts as unreachable. With `NeverSent`, which does not count against a node, the engine
        // would choose it again and again.
        let Some(pool) = self.pools.get_mut(node) else {
            return self.fail(job, node, AttemptEnd::Unreachable, now, engine);
        };
        pool.waiting.push_back(job);
        if pool.lacks_connections() && self.open(node, now, engine).is_err() {
            self.connection_failed(node, AttemptEnd::Unreachable, now, engine);
        }
    }

    /// Assigns a free connection to the next waiting job, or returns it to the pool.
    pub(super) fn next_job(&mut self, key: Key, node: &NodeId, now: Time, engine: &mut Engine) {
        while let Some(job) = self
            .pools
            .get_mut(node)
            .and_then(|pool| pool.waiting.pop_front())
        {
            // A node may close the connection after a reply. A request written to it then would end as a reset.
            if !self.is_quiet(key) {
                if let Some(pool) = self.pools.get_mut(node) {
                    pool.waiting.push_front(job);
                }
                self.drop_connection(key, engine);
                return self.connection_failed(node, AttemptEnd::Unreachable, now, engine);
            }
            match self.assign(key, job, now, engine) {
                Ok(()) => return,
                Err(job) => self.fail(job, node, AttemptEnd::NeverSent, now, engine),
            }
        }
        let pool = self.pools.get_mut(node);
        let connection = self.connections.get_mut(key);
        if let (Some(pool), Some(connection)) = (pool, connection) {
            pool.idle.push(key);
            connection.idle_since = now;
            let deadline = Some(now + self.idle_timeout);
            set_deadline(connection, key, deadline, engine);
        }
    }

    /// Opens connections for waiting jobs that have none being opened for them.
    pub(super) fn open_missing(&mut self, node: &NodeId, now: Time, engine: &mut Engine) {
        while self.pools.get(node).is_some_and(Pool::lacks_connections) {
            if self.open(node, now, engine).is_err() {
                self.connection_failed(node, AttemptEnd::Unreachable, now, engine);
            }
        }
    }

    /// Handles a connection that could not be opened: fails the job that has waited longest, unless enough other connections
    /// are being opened.
    pub(super) fn connection_failed(
        &mut self,
        node: &NodeId,
        end: AttemptEnd,
        now: Time,
        engine: &mut Engine,
    ) {
        let Some(pool) = self
            .pools
            .get_mut(node)
            .filter(|pool| pool.lacks_connections())
        else {
            return;
        };
        if let Some(job) = pool.waiting.pop_front() {
            self.fail(job, node, end, now, engine);
        }
    }

    /// Closes the idle connections to a node.
    pub fn close_idle(&mut self, node: &NodeId, engine: &mut Engine) {
        let pool = self.pools.get_mut(node);
        let idle = pool.map(|pool| std::mem::take(&mut pool.idle));
        for key in idle.unwrap_or_default() {
            self.drop_connection(key, engine);
        }
    }

    /// Closes the idle and the connecting connections to a node whose address is no longer valid.
    pub(super) fn disconnect(&mut self, node: &NodeId, engine: &mut Engine) {
        self.close_idle(node, engine);
        let connections = self.connections.iter();
        let connecting = connections.filter(|(_, c)| c.node == *node && c.is_connecting());
        let connecting: Vec<Key> = connecting.map(|(key, _)| key).collect();
        for key in connecting {
            self.drop_connection(key, engine);
        }
    }

    /// Closes a connection. Every close of a connection to a node goes through here. Returns the job that it carried.
    pub(super) fn drop_connection(&mut self, key: Key, engine: &mut Engine) -> Option<RunningJob> {
        let mut connection = self.connections.remove(key)?;
        set_deadline(&mut connection, key, None, engine);
        let pool = self.pools.get_mut(&connection.node);
        match connection.state {
            State::Cancelling(_) => self.cancels_in_flight -= 1,
            State::Connecting | State::LoggingIn(_) => pool?.connecting -= 1,
            State::Idle => pool?.idle.retain(|idle| *idle != key),
            State::Busy(running) => {
                if let Job::Attempt { id, .. } = &running.job {
                    self.running_attempts.remove(id);
                }
                return Some(*running);
            }
        }
        None
    }

    /// Opens a connection in this state. At the limit on connections, closes the one that has been idle longest.
    pub(super) fn connect(
        &mut self,
        node: &NodeId,
        state: State,
        now: Time,
        engine: &mut Engine,
    ) -> io::Result<()> {
        if self.connections.len() >= self.max_connections {
            let longest_idle = self.longest_idle().ok_or(ErrorKind::QuotaExceeded)?;
            self.drop_connection(longest_idle, engine);
        }
        let pool = self.pools.get(node);
        let address = pool.and_then(|pool| pool.address);
        let address = address.ok_or(ErrorKind::NotFound)?;
        let socket = begin_connect(address)?;
        let (poll, budget) = (&self.poll, &self.budget);
        let key = self.connections.insert_with(|key| {
            let key = poll_key(EventSource::Node, Some(key));
            let stream = Stream::new(poll, budget, socket, key, Interest::Write, MAX_READ_BYTES)?;
            Ok::<_, io::Error>(Connection {
                stream,
                node: node.clone(),
                address,
                state,
                deadline: None,
                idle_since: now,
                last_reply: None,
                backend_key: None,
            })
        })?;
        if let Some(connection) = self.connections.get_mut(key) {
            let deadline = Some(now + self.connect_timeout);
            set_deadline(connection, key, deadline, engine);
        }
        Ok(())
    }

    /// Starts a job on a ready connection. Returns the job if it may not start.
    fn assign(
        &mut self,
        key: Key,
        mut job: Job,
        now: Time,
        engine: &mut Engine,
    ) -> Result<(), Job> {
        let Some(connection) = self.connections.get_mut(key) else {
            return Err(job);
        };
        if !job.may_begin(&connection.node, now, engine) {
            return Err(job);
        }
        let (shape, deadline) = match &mut job {
            Job::Attempt { id, statement } => {
                let Some(statement) = statement.take() else {
                    return Err(job);
                };
                self.running_attempts.insert(*id, key);
                let time_left = engine.attempt_time_left(*id, now);
                let timeout_ms = clock::to_ms(time_left).max(1);
                connection
                    .stream
                    .queue_output(|out| statement.append_query(out, timeout_ms));
                (statement.shape, None)
            }
            Job::HealthCheck { .. } | Job::Watch { .. } => {
                // The query is short enough to be written at once on a free connection.
                let stream = &mut connection.stream;
                stream.queue_output(|out| messages::put_query(out, REPORT_QUERY));
                (Shape::OneValue, Some(now + self.connect_timeout))
            }
        };
        set_deadline(connection, key, deadline, engine);
        let reply = Reply::new(&self.budget, shape);
        let running = RunningJob::new(job, reply, connection.last_reply);
        connection.state = State::Busy(Box::new(running));
        self.write(key, now, engine);
        Ok(())
    }

    /// Opens a connection for the jobs that wait at a node.
    fn open(&mut self, node: &NodeId, now: Time, engine: &mut Engine) -> io::Result<()> {
        self.connect(node, State::Connecting, now, engine)?;
        let pool = self.pools.get_mut(node).ok_or(ErrorKind::NotFound)?;
        pool.connecting += 1;
        Ok(())
    }

    /// Returns the connection that has been idle longest, at any node.
    fn longest_idle(&self) -> Option<Key> {
        let connections = self.connections.iter();
        let idle = connections.filter(|(_, c)| matches!(c.state, State::Idle));
        let oldest = idle.min_by_key(|(_, connection)| connection.idle_since);
        oldest.map(|(key, _)| key)
    }

    /// Returns whether a free connection has received nothing, not even its end.
    fn is_quiet(&self, key: Key) -> bool {
        let connection = self.connections.get(key);
        connection.is_some_and(|connection| connection.stream.is_quiet())
    }
}

/// Sets or clears the deadline of a connection.
fn set_deadline(
    connection: &mut Connection,
    key: Key,
    deadline: Option<Time>,
    engine: &mut Engine,
) {
    let current = &mut connection.deadline;
    engine
        .deadlines
        .set(current, Deadline::Backend(key), deadline);
}
