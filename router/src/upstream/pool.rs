//! The pools: which connection a job gets, when one more is dialled, and when one is given back.
//!
//! Each node has a pool. A job takes an idle connection, or waits for one that is dialled for it; where no connection may be
//! opened any more, the one that has been idle for longest, at whatever node, gives way.

use super::Upstream;
use super::connection::{Connection, Job, RunningJob, State};
use super::exchange::MAX_READ_BYTES;
use super::reply::Reply;
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

/// By this a node is asked for its report.
pub(super) const REPORT_QUERY: &str = "SHOW pressure";

/// The connections to one node, and the jobs that wait for one.
#[derive(Default)]
pub(super) struct Pool {
    pub(super) address: Option<SocketAddr>,
    pub(super) idle: Vec<Key>,
    /// Jobs without a connection.
    pub(super) waiting: VecDeque<Job>,
    /// Connections that are coming up.
    pub(super) coming_up: usize,
    /// No list names the node any more.
    pub(super) is_removed: bool,
}

impl Pool {
    /// More jobs wait than connections are coming up for them.
    fn lacks_connections(&self) -> bool {
        self.waiting.len() > self.coming_up
    }
}

impl Upstream {
    /// Gives a job a connection, or lets it wait for one.
    pub(super) fn start(&mut self, job: Job, id: &NodeId, now: Time, engine: &mut Engine) {
        while let Some(key) = self.pools.get_mut(id).and_then(|pool| pool.idle.pop()) {
            if !self.is_quiet(key) {
                self.drop_connection(key, engine);
                continue;
            }
            if let Err(job) = self.occupy(key, job, now, engine) {
                if let Some(pool) = self.pools.get_mut(id) {
                    pool.idle.push(key);
                }
                self.fail(job, id, AttemptEnd::NeverSent, now, engine);
            }
            return;
        }
        // What ends unsent is held against nobody, and a node whose address nobody told would be chosen again.
        let Some(pool) = self.pools.get_mut(id) else {
            return self.fail(job, id, AttemptEnd::Unreachable, now, engine);
        };
        pool.waiting.push_back(job);
        if pool.lacks_connections() && self.dial(id, now, engine).is_err() {
            self.connection_failed(id, AttemptEnd::Unreachable, now, engine);
        }
    }

    /// Gives a connection that is free to the next job, or keeps it.
    pub(super) fn next_job(&mut self, key: Key, id: &NodeId, now: Time, engine: &mut Engine) {
        while let Some(job) = self
            .pools
            .get_mut(id)
            .and_then(|pool| pool.waiting.pop_front())
        {
            // A node may close after an answer, and what is written to it then ends as a reset.
            if !self.is_quiet(key) {
                if let Some(pool) = self.pools.get_mut(id) {
                    pool.waiting.push_front(job);
                }
                self.drop_connection(key, engine);
                return self.connection_failed(id, AttemptEnd::Unreachable, now, engine);
            }
            match self.occupy(key, job, now, engine) {
                Ok(()) => return,
                Err(job) => self.fail(job, id, AttemptEnd::NeverSent, now, engine),
            }
        }
        let pool = self.pools.get_mut(id);
        let connection = self.connections.get_mut(key);
        if let (Some(pool), Some(connection)) = (pool, connection) {
            pool.idle.push(key);
            connection.idle_since = now;
            let deadline = Some(now + self.idle_timeout);
            set_deadline(connection, key, deadline, engine);
        }
    }

    /// Dials for what waits at a node and has no connection coming up for it any more.
    pub(super) fn redial(&mut self, node: &NodeId, now: Time, engine: &mut Engine) {
        while self.pools.get(node).is_some_and(Pool::lacks_connections) {
            if self.dial(node, now, engine).is_err() {
                self.connection_failed(node, AttemptEnd::Unreachable, now, engine);
            }
        }
    }

    /// A connection did not come up: the job that waited longest fails, where no other is coming up for it.
    pub(super) fn connection_failed(
        &mut self,
        id: &NodeId,
        end: AttemptEnd,
        now: Time,
        engine: &mut Engine,
    ) {
        let Some(pool) = self
            .pools
            .get_mut(id)
            .filter(|pool| pool.lacks_connections())
        else {
            return;
        };
        if let Some(job) = pool.waiting.pop_front() {
            self.fail(job, id, end, now, engine);
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

    /// Ends what is idle or coming up at a node, which is not where it was.
    pub(super) fn disconnect(&mut self, node: &NodeId, engine: &mut Engine) {
        self.close_idle(node, engine);
        let connections = self.connections.iter();
        let coming_up = connections.filter(|(_, c)| c.node == *node && c.is_coming_up());
        let coming_up: Vec<Key> = coming_up.map(|(key, _)| key).collect();
        for key in coming_up {
            self.drop_connection(key, engine);
        }
    }

    /// The one place where a connection to a node is given back. Returns the job that it carried.
    pub(super) fn drop_connection(&mut self, key: Key, engine: &mut Engine) -> Option<RunningJob> {
        let mut connection = self.connections.remove(key)?;
        set_deadline(&mut connection, key, None, engine);
        let pool = self.pools.get_mut(&connection.node);
        match connection.state {
            State::Cancelling(_) => self.cancels_under_way -= 1,
            State::Connecting | State::LoggingIn(_) => pool?.coming_up -= 1,
            State::Idle => pool?.idle.retain(|idle| *idle != key),
            State::Busy(running) => {
                if let Job::Attempt { id, .. } = &running.job {
                    self.running_attempts.remove(id);
                }
                return Some(running);
            }
        }
        None
    }

    /// Opens a connection in this state, where there is room for it or an idle one gives way.
    pub(super) fn connect(
        &mut self,
        id: &NodeId,
        state: State,
        now: Time,
        engine: &mut Engine,
    ) -> io::Result<()> {
        if self.connections.len() >= self.max_connections {
            let longest_idle = self.longest_idle().ok_or(ErrorKind::QuotaExceeded)?;
            self.drop_connection(longest_idle, engine);
        }
        let pool = self.pools.get(id);
        let address = pool.and_then(|pool| pool.address);
        let address = address.ok_or(ErrorKind::NotFound)?;
        let socket = begin_connect(address)?;
        let (poll, budget) = (&self.poll, &self.budget);
        let key = self.connections.insert_with(|key| {
            let key = poll_key(EventSource::Node, Some(key));
            let stream = Stream::new(poll, budget, socket, key, Interest::Write, MAX_READ_BYTES)?;
            Ok::<_, io::Error>(Connection {
                stream,
                node: id.clone(),
                address,
                state,
                deadline: None,
                idle_since: now,
                backend_key: None,
            })
        })?;
        if let Some(connection) = self.connections.get_mut(key) {
            let deadline = Some(now + self.connect_timeout);
            set_deadline(connection, key, deadline, engine);
        }
        Ok(())
    }

    /// Puts a job on a connection that is ready; gives it back where it may not begin.
    fn occupy(&mut self, key: Key, job: Job, now: Time, engine: &mut Engine) -> Result<(), Job> {
        let Some(connection) = self.connections.get_mut(key) else {
            return Err(job);
        };
        if !job.may_begin(&connection.node, now, engine) {
            return Err(job);
        }
        let (shape, deadline) = match &job {
            Job::Attempt { id, statement } => {
                self.running_attempts.insert(*id, key);
                let time_left = engine.attempt_time_left(*id, now);
                let patience_ms = clock::to_ms(time_left).max(1);
                connection
                    .stream
                    .queue_output(|out| statement.append_query(out, patience_ms));
                (statement.shape, None)
            }
            Job::HealthCheck { .. } | Job::Watch { .. } => {
                // So short a question leaves at once on a connection that is free.
                let stream = &mut connection.stream;
                stream.queue_output(|out| messages::put_query(out, REPORT_QUERY));
                (Shape::OneValue, Some(now + self.connect_timeout))
            }
        };
        set_deadline(connection, key, deadline, engine);
        connection.state = State::Busy(RunningJob {
            job,
            reply: Reply::new(&self.budget, shape),
            is_written: false,
        });
        self.write(key, now, engine);
        Ok(())
    }

    fn dial(&mut self, id: &NodeId, now: Time, engine: &mut Engine) -> io::Result<()> {
        self.connect(id, State::Connecting, now, engine)?;
        let pool = self.pools.get_mut(id).ok_or(ErrorKind::NotFound)?;
        pool.coming_up += 1;
        Ok(())
    }

    fn longest_idle(&self) -> Option<Key> {
        let connections = self.connections.iter();
        let idle = connections.filter(|(_, c)| matches!(c.state, State::Idle));
        let longest = idle.min_by_key(|(_, connection)| connection.idle_since);
        longest.map(|(key, _)| key)
    }

    /// Whether nothing has come on a connection that is free, not even its end.
    fn is_quiet(&self, key: Key) -> bool {
        let connection = self.connections.get(key);
        connection.is_some_and(|connection| connection.stream.is_quiet())
    }
}

/// Sets or takes off the deadline of a connection.
fn set_deadline(
    connection: &mut Connection,
    key: Key,
    deadline: Option<Time>,
    engine: &mut Engine,
) {
    let present = &mut connection.deadline;
    engine
        .deadlines
        .set(present, Deadline::Backend(key), deadline);
}
