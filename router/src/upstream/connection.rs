//! The connections to nodes, their states and their jobs.

use super::reply::Fingerprint;
use super::running_job::RunningJob;
use super::watch::LeaseCheck;
use crate::net::stream::Stream;
use crate::statement_labels::Statement;
use plovercove::{NodeId, Time};
use plovercove_engine::{AttemptId, Engine};
use plovercove_pgwire::Version;
use plovercove_pgwire::login::{Credentials, Login};
use std::net::SocketAddr;
use std::rc::Rc;

/// The work that needs a connection.
pub(super) enum Job {
    /// An attempt of a request.
    Attempt {
        id: AttemptId,
        /// The statement, until it has been queued on a connection. An attempt may be in flight for long after its client has
        /// left, and would keep the statement's memory.
        statement: Option<Rc<Statement>>,
    },
    /// A health check of this router.
    HealthCheck { queried_at: Time },
    /// A query under the lease of a group's watch. The lease is checked once more before the query is sent.
    Watch {
        queried_at: Time,
        lease_check: LeaseCheck,
    },
}

impl Job {
    /// Returns whether the job may start at this node. Called just before its first byte is sent.
    pub(super) fn may_begin(&self, node: &NodeId, now: Time, engine: &Engine) -> bool {
        match self {
            Job::Attempt { id, .. } => engine.may_send(Some(*id), node, now),
            Job::HealthCheck { .. } => engine.may_send(None, node, now),
            // The router may have lost the lease while the job waited for a connection.
            Job::Watch { lease_check, .. } => engine.may_send(None, node, now) && lease_check(),
        }
    }

    /// Returns whether the reply is a node report.
    pub(super) fn wants_report(&self) -> bool {
        !matches!(self, Job::Attempt { .. })
    }
}

/// The state of a connection.
pub(super) enum State {
    /// The connection attempt is in progress.
    Connecting,
    /// The login is in progress.
    LoggingIn(Box<Login>),
    /// The connection only carries a cancel request for a job on another connection.
    Cancelling(Vec<u8>),
    /// The connection is ready for a job.
    Idle,
    /// The connection carries a job.
    Busy(Box<RunningJob>),
}

/// The key that a cancel request must contain.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct BackendKey {
    pub(super) process: u32,
    pub(super) secret: Vec<u8>,
}

/// A connection to a node.
pub(super) struct Connection {
    pub(super) stream: Stream,
    pub(super) node: NodeId,
    /// The address of the node when the connection was opened.
    pub(super) address: SocketAddr,
    pub(super) state: State,
    pub(super) deadline: Option<Time>,
    pub(super) idle_since: Time,
    /// The fingerprint of the last reply on this connection.
    pub(super) last_reply: Option<Fingerprint>,
    pub(super) backend_key: Option<BackendKey>,
}

impl Connection {
    /// Returns whether the connection attempt or the login is in progress.
    pub(super) fn is_connecting(&self) -> bool {
        matches!(self.state, State::Connecting | State::LoggingIn(_))
    }

    /// Returns whether the job may have started at the node.
    pub(super) fn has_written_job(&self) -> bool {
        matches!(&self.state, State::Busy(running) if running.is_written)
    }
}

/// The router's login to its nodes, and whether it sends cancel requests.
#[derive(Clone, Debug)]
pub struct ConnectOptions {
    /// The login.
    pub credentials: Credentials,
    /// Whether cancel requests are sent.
    pub sends_cancels: bool,
}

impl ConnectOptions {
    /// Returns the options for the platform's nodes: a fixed user without a password, and no cancel requests.
    pub fn platform() -> Self {
        let credentials = Credentials {
            user: "worker".into(),
            database: "catalog".into(),
            password: None,
            may_send_clear_text: false,
            version: Version::V30,
            skip_authentication: true,
        };
        ConnectOptions {
            credentials,
            sends_cancels: false,
        }
    }
}
