//! Login, request and reply on a connection, and the ways in which it can end.
//!
//! A request cannot have run before its last byte is written. After that it may have run, however the connection ends.

use super::connection::{BackendKey, Job, State};
use super::reply;
use super::running_job::{JobProgress, RunningJob};
use super::watch::{QueryAnswer, QueryOutcome};
use super::{ServedRequest, Upstream};
use crate::net::stream::PeerState;
use plovercove::{AttemptEnd, NodeId, NodeReport, Time};
use plovercove_engine::{Engine, Key};
use plovercove_pgwire::login::{Credentials, Login, LoginError};
use plovercove_pgwire::messages::{self, Message, code};
use plovercove_pgwire::reply::InvalidReply;
use tracing::{debug, warn};

/// Maximum number of bytes buffered from a node on a connection.
pub(super) const MAX_READ_BYTES: usize = reply::MAX_ROW_BYTES + 64 * 1024;
/// Maximum number of logged bytes of an invalid message.
const MAX_LOGGED_BYTES: usize = 48;

/// The progress of a connection after a message.
enum Progress {
    /// More messages are expected.
    Continue,
    /// The connection is ready for its next job.
    Ready {
        is_reusable: bool,
        /// Whether a copy of the last reply was dropped.
        has_dropped_copy: bool,
    },
    /// The node rejected the login.
    LoginRejected(LoginError),
}

impl From<JobProgress> for Progress {
    fn from(progress: JobProgress) -> Self {
        match progress {
            JobProgress::Continue => Progress::Continue,
            JobProgress::Complete {
                is_reusable,
                has_dropped_copy,
            } => Progress::Ready {
                is_reusable,
                has_dropped_copy,
            },
        }
    }
}

impl State {
    /// Handles a message. A direct answer to it is appended to `answer`.
    fn read_message(
        &mut self,
        message: &Message<'_>,
        credentials: &Credentials,
        answer: &mut Vec<u8>,
    ) -> Result<Progress, InvalidReply> {
        match self {
            State::Busy(running) => running.read_message(message, answer).map(Progress::from),
            State::LoggingIn(login) => read_login_message(login, message, credentials, answer),
            State::Connecting | State::Cancelling(_) | State::Idle => Err(InvalidReply),
        }
    }
}

fn read_login_message(
    login: &mut Login,
    message: &Message<'_>,
    credentials: &Credentials,
    answer: &mut Vec<u8>,
) -> Result<Progress, InvalidReply> {
    match login.read_message(credentials, message, answer) {
        Ok(true) => Ok(Progress::Ready {
            is_reusable: true,
            has_dropped_copy: false,
        }),
        Ok(false) => Ok(Progress::Continue),
        Err(LoginError::Malformed) => Err(InvalidReply),
        Err(error) => Ok(Progress::LoginRejected(error)),
    }
}

impl Upstream {
    /// Handles a poller event of a connection.
    pub fn handle_event(&mut self, key: Key, now: Time, engine: &mut Engine) {
        let Some(connection) = self.connections.get_mut(key) else {
            return;
        };
        if matches!(connection.state, State::Connecting | State::Cancelling(_)) {
            if !connection.stream.is_connected() {
                return self.connection_broke(key, now, engine);
            }
            match &mut connection.state {
                State::Cancelling(packet) => {
                    connection.stream.queue_output(|out| out.append(packet))
                }
                state => {
                    let credentials = &self.options.credentials;
                    let login = connection
                        .stream
                        .queue_output(|out| Login::start(credentials, out));
                    *state = State::LoggingIn(Box::new(login));
                }
            }
        }
        if connection.stream.unsent() > 0 {
            self.write(key, now, engine);
        }
        self.read(key, now, engine);
    }

    /// Handles the deadline of a connection: a timeout of the connection attempt, the login or a health check, or the end of
    /// the idle time.
    pub fn connection_expired(&mut self, key: Key, now: Time, engine: &mut Engine) {
        let Some(connection) = self.connections.get_mut(key) else {
            return;
        };
        connection.deadline = None;
        self.connection_broke(key, now, engine);
    }

    /// Writes queued bytes to a connection. Drops a job that has not started if it may not start any more.
    pub(super) fn write(&mut self, key: Key, now: Time, engine: &mut Engine) {
        let Some(connection) = self.connections.get_mut(key) else {
            return;
        };
        // If no byte of the job has been sent yet, it starts now, and is checked once more.
        if let State::Busy(running) = &connection.state
            && !running.is_written
            && connection.stream.is_output_untouched()
            && !running.job.may_begin(&connection.node, now, engine)
        {
            let node = connection.node.clone();
            if let Some(running) = self.drop_connection(key, engine) {
                self.fail(running.job, &node, AttemptEnd::NeverSent, now, engine);
            }
            return;
        }
        let Ok(is_all_sent) = connection.stream.flush() else {
            return self.connection_broke(key, now, engine);
        };
        if let State::Busy(running) = &mut connection.state
            && is_all_sent
            && !std::mem::replace(&mut running.is_written, true)
            && let Job::Attempt { id, .. } = &running.job
        {
            engine.attempt_written(*id);
        }
        connection.stream.set_read_interest(true);
    }

    /// Reads received bytes. Messages that arrived before the end of the connection are still handled.
    fn read(&mut self, key: Key, now: Time, engine: &mut Engine) {
        let Some(connection) = self.connections.get_mut(key) else {
            return;
        };
        let peer = connection.stream.fill();
        let has_input_or_ended = peer != PeerState::Open || !connection.stream.unread().is_empty();
        // Bytes on an idle connection belong to no request, and the next request would get them.
        if matches!(connection.state, State::Idle) && has_input_or_ended {
            debug!(node = %connection.node, "closing an idle connection that received bytes or ended");
            self.drop_connection(key, engine);
            return;
        }
        while self.read_message(key, now, engine) {}
        match peer {
            PeerState::Open => {}
            PeerState::Closed | PeerState::Reset => self.connection_broke(key, now, engine),
            PeerState::OverBudget => self.invalid_message(key, now, engine),
        }
    }

    /// Handles one message. Returns false if none is complete or the connection has ended.
    fn read_message(&mut self, key: Key, now: Time, engine: &mut Engine) -> bool {
        let Some(connection) = self.connections.get_mut(key) else {
            return false;
        };
        let unread = connection.stream.unread();
        let Some(kind) = unread.first() else {
            return false;
        };
        let max_bytes = reply::max_message_bytes(*kind);
        let message = match max_bytes.map(|max_bytes| messages::parse_message(unread, max_bytes)) {
            Some(Ok(Some(message))) => message,
            Some(Ok(None)) => return false,
            Some(Err(messages::Malformed)) | None => {
                self.invalid_message(key, now, engine);
                return false;
            }
        };
        let length = message.raw.len();
        let mut answer = Vec::new();
        let credentials = &self.options.credentials;
        let progress = connection
            .state
            .read_message(&message, credentials, &mut answer);
        let Ok(progress) = progress else {
            self.invalid_message(key, now, engine);
            return false;
        };
        connection.stream.consume(length);
        if let Progress::LoginRejected(error) = progress {
            self.login_rejected(key, &error, now, engine);
            return false;
        }
        if !answer.is_empty() {
            connection
                .stream
                .queue_output(|out| out.append(&mut answer));
            self.write(key, now, engine);
        }
        if let Progress::Ready {
            is_reusable,
            has_dropped_copy,
        } = progress
        {
            if has_dropped_copy {
                self.log_dropped_copy(key);
            }
            self.connection_ready(key, is_reusable, now, engine);
        }
        true
    }

    /// Closes a connection whose login the node rejected, and fails a waiting job. An overloaded node is not a fault to log.
    fn login_rejected(&mut self, key: Key, error: &LoginError, now: Time, engine: &mut Engine) {
        let Some(connection) = self.connections.get(key) else {
            return;
        };
        let node = connection.node.clone();
        let is_full =
            matches!(error, LoginError::Server(code) if code == code::TOO_MANY_CONNECTIONS);
        let end = if is_full {
            AttemptEnd::Overloaded
        } else {
            warn!(%node, reason = "login", help = error.help(), "{error}");
            AttemptEnd::Unreachable
        };
        self.drop_connection(key, engine);
        self.connection_failed(&node, end, now, engine);
    }

    fn log_dropped_copy(&self, key: Key) {
        if let Some(connection) = self.connections.get(key) {
            warn!(node = %connection.node, "dropped a second copy of a reply");
        }
    }

    /// Handles a connection that is ready for its next job, after the login or a complete reply.
    fn connection_ready(&mut self, key: Key, is_reusable: bool, now: Time, engine: &mut Engine) {
        let Some(connection) = self.connections.get_mut(key) else {
            return;
        };
        // A reply before the request is completely written belongs to something else, such as a copy of the last reply.
        if matches!(&connection.state, State::Busy(running) if !running.is_written) {
            return self.invalid_message(key, now, engine);
        }
        let id = connection.node.clone();
        match std::mem::replace(&mut connection.state, State::Idle) {
            State::LoggingIn(login) => {
                connection.backend_key = login
                    .cancel_key()
                    .cloned()
                    .map(|(process, secret)| BackendKey { process, secret });
                if let Some(pool) = self.pools.get_mut(&id) {
                    pool.connecting -= 1;
                }
            }
            State::Busy(running) => {
                // Bytes after the end of the reply would go to the next request.
                let has_extra_bytes = !connection.stream.unread().is_empty();
                connection.last_reply = running.last_reply;
                let may_reuse =
                    is_reusable && !has_extra_bytes && self.leads_to_current_address(key);
                self.finish(*running, &id, now, engine);
                if !may_reuse {
                    debug!(node = %id, "closing a connection that cannot be reused");
                    self.drop_connection(key, engine);
                    return;
                }
            }
            State::Connecting | State::Cancelling(_) | State::Idle => {}
        }
        self.next_job(key, &id, now, engine);
    }

    /// Handles a connection that the node closed, that broke or that timed out.
    fn connection_broke(&mut self, key: Key, now: Time, engine: &mut Engine) {
        // The outcome is unknown unless the node reported it before the connection ended.
        self.end_connection(key, RunningJob::end_without_ready, now, engine);
    }

    /// Closes a connection with an invalid message. The attempt ends as a failure and not as a reset, since the node is up and
    /// answers. The request may have run, and the reports in its reply are ignored.
    fn invalid_message(&mut self, key: Key, now: Time, engine: &mut Engine) {
        if let Some(connection) = self.connections.get(key) {
            let unread = connection.stream.unread();
            let head = unread[..unread.len().min(MAX_LOGGED_BYTES)].escape_ascii();
            warn!(node = %connection.node, %head, "a message that cannot be followed");
        }
        self.end_connection(key, |_| Some(AttemptEnd::Failure), now, engine);
    }

    /// Closes a connection and ends its job. `end` returns how a written job ended, or `None` if its reply has the outcome.
    fn end_connection(
        &mut self,
        key: Key,
        end: impl FnOnce(&RunningJob) -> Option<AttemptEnd>,
        now: Time,
        engine: &mut Engine,
    ) {
        let Some(connection) = self.connections.get(key) else {
            return;
        };
        let node = connection.node.clone();
        let was_connecting = connection.is_connecting();
        let running = self.drop_connection(key, engine);
        if was_connecting {
            return self.connection_failed(&node, AttemptEnd::Unreachable, now, engine);
        }
        let Some(running) = running else {
            return;
        };
        if !running.is_written {
            return self.fail(running.job, &node, AttemptEnd::Unreachable, now, engine);
        }
        match end(&running) {
            Some(end) => self.fail(running.job, &node, end, now, engine),
            None => self.finish(running, &node, now, engine),
        }
    }

    /// Ends a job without an answer.
    pub(super) fn fail(
        &mut self,
        job: Job,
        node: &NodeId,
        end: AttemptEnd,
        now: Time,
        engine: &mut Engine,
    ) {
        let no_report = NodeReport::default();
        match job {
            Job::Attempt { id, .. } => {
                engine.attempt_ended(now, id, end, no_report, no_report);
            }
            Job::HealthCheck { .. } => engine.health_check_ended(node.clone(), None),
            Job::Watch { .. } => self.query_outcomes.push(QueryOutcome {
                node: node.clone(),
                answer: None,
            }),
        }
    }

    /// Ends a job with an answer.
    fn finish(&mut self, running: RunningJob, node: &NodeId, now: Time, engine: &mut Engine) {
        let (job, reply) = running.into_job_and_reply();
        let end = reply.attempt_end();
        let report = (end == AttemptEnd::Success).then_some(reply.load_report);
        match job {
            Job::Attempt { id, .. } => {
                self.running_attempts.remove(&id);
                let (answer_report, load_report) = (reply.answer_report, reply.load_report);
                let origin = engine.attempt_ended(now, id, end, answer_report, load_report);
                if let Some(origin) = origin {
                    self.served.push(ServedRequest {
                        origin,
                        request: id.request,
                        reply: reply.body,
                    });
                }
            }
            Job::HealthCheck { queried_at } => {
                let duration = now.saturating_sub(queried_at);
                debug!(%node, took = duration, ?reply.load_report, "health check answered");
                engine.health_check_ended(node.clone(), report);
            }
            Job::Watch { queried_at, .. } => {
                if report.is_some() {
                    engine.health_check_ended(node.clone(), report);
                }
                self.query_outcomes.push(QueryOutcome {
                    node: node.clone(),
                    answer: report.map(|report| QueryAnswer { queried_at, report }),
                });
            }
        }
    }
}
