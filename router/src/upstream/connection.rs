//! One connection to a node: what it carries, and what it may be used for next.

use super::reply::Reply;
use super::watch::LeaseCheck;
use crate::net::stream::Stream;
use crate::statement_labels::Statement;
use plovercove::{NodeId, Time};
use plovercove_engine::{AttemptId, Engine};
use plovercove_pgwire::Version;
use plovercove_pgwire::login::{Credentials, Login};
use std::net::SocketAddr;
use std::rc::Rc;

/// What a connection is wanted for.
pub(super) enum Job {
    /// An attempt of a request.
    Attempt {
        id: AttemptId,
        statement: Rc<Statement>,
    },
    /// A question of this router's own.
    HealthCheck { asked_at: Time },
    /// The same for the fleet, by the owner of the group's watch, who looks once more before it leaves.
    Watch {
        asked_at: Time,
        lease_check: LeaseCheck,
    },
}

impl Job {
    /// Whether it may begin at this node now, when its first byte is about to leave.
    pub(super) fn may_begin(&self, node: &NodeId, now: Time, engine: &Engine) -> bool {
        match self {
            Job::Attempt { id, .. } => engine.may_send(Some(*id), node, now),
            Job::HealthCheck { .. } => engine.may_send(None, node, now),
            // Its router may have lost the watch since it asked for a connection.
            Job::Watch { lease_check, .. } => engine.may_send(None, node, now) && lease_check(),
        }
    }

    /// Whether its answer is a node's report.
    pub(super) fn wants_report(&self) -> bool {
        !matches!(self, Job::Attempt { .. })
    }
}

/// A job on a connection.
pub(super) struct RunningJob {
    pub(super) job: Job,
    pub(super) reply: Reply,
    /// Its last byte has been written.
    pub(super) is_written: bool,
}

/// What a connection does.
pub(super) enum State {
    /// It is coming up.
    Connecting,
    /// Connected; the node has not said that it is ready.
    LoggingIn(Box<Login>),
    /// It carries nothing but the wish that another connection's work be stopped.
    Cancelling(Vec<u8>),
    /// It is ready for a job.
    Idle,
    /// It carries a job.
    Busy(RunningJob),
}

/// What a cancel must show.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct BackendKey {
    pub(super) process: u32,
    pub(super) secret: Vec<u8>,
}

/// A connection to a node.
pub(super) struct Connection {
    pub(super) stream: Stream,
    pub(super) node: NodeId,
    /// Where the node was when it was dialled.
    pub(super) address: SocketAddr,
    pub(super) state: State,
    pub(super) deadline: Option<Time>,
    pub(super) idle_since: Time,
    pub(super) backend_key: Option<BackendKey>,
}

impl Connection {
    /// It is not ready yet.
    pub(super) fn is_coming_up(&self) -> bool {
        matches!(self.state, State::Connecting | State::LoggingIn(_))
    }

    /// Its job may have begun at the node.
    pub(super) fn has_written_job(&self) -> bool {
        matches!(&self.state, State::Busy(running) if running.is_written)
    }
}

/// Who the router is to its nodes, and whether it asks them to stop what nobody waits for.
#[derive(Clone, Debug)]
pub struct ConnectOptions {
    /// The login.
    pub credentials: Credentials,
    /// Whether they are asked to stop.
    pub cancels: bool,
}

impl ConnectOptions {
    /// The platform's: one user, who is welcome without a password, and no cancels.
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
            cancels: false,
        }
    }
}
