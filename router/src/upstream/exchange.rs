//! What happens on one connection: login, the request's bytes, its reply, and the ways in which it can end.
//!
//! Until its last byte is written a request never ran; after that it may have, whatever becomes of the connection.

use super::connection::{BackendKey, Job, RunningJob, State};
use super::reply::{self, Reply};
use super::watch::{QueryAnswer, QueryOutcome};
use super::{ServedRequest, Upstream};
use crate::net::stream::PeerState;
use plovercove::{AttemptEnd, NodeId, NodeReport, Time};
use plovercove_engine::{Engine, Key};
use plovercove_pgwire::login::{Credentials, Login, LoginError};
use plovercove_pgwire::messages::{self, Message, code};
use plovercove_pgwire::reply::InvalidReply;
use tracing::{debug, warn};

/// The most bytes that are read ahead on a connection.
pub(super) const MAX_READ_BYTES: usize = reply::MAX_ROW_BYTES + 64 * 1024;
/// Why a copy into a table is broken off.
const COPY_UNSUPPORTED: &[u8] = b"COPY FROM STDIN is not supported by the router";
/// So many bytes of a message that cannot be followed are logged.
const MAX_LOGGED_BYTES: usize = 48;

/// What one message of a node comes to.
enum Progress {
    /// More is to come.
    GoesOn,
    /// The connection is ready for its next job.
    Ready { is_reusable: bool },
    /// The node does not let this router in.
    LoginRefused(LoginError),
}

impl State {
    /// Takes a message; what is to be said at once goes to `answer`.
    fn take(
        &mut self,
        message: &Message<'_>,
        credentials: &Credentials,
        answer: &mut Vec<u8>,
    ) -> Result<Progress, InvalidReply> {
        match self {
            State::Busy(running) => running.take(message, answer),
            State::LoggingIn(login) => take_login(login, message, credentials, answer),
            State::Connecting | State::Cancelling(_) | State::Idle => Err(InvalidReply),
        }
    }
}

impl RunningJob {
    fn take(
        &mut self,
        message: &Message<'_>,
        answer: &mut Vec<u8>,
    ) -> Result<Progress, InvalidReply> {
        if message.kind == b'Z' {
            let is_reusable = self.reply.ready(message.body)?;
            return Ok(Progress::Ready { is_reusable });
        }
        let waits_for_data = self.reply.take(message, self.job.wants_report())?;
        if waits_for_data {
            messages::put(answer, b'f', |out| {
                messages::put_text(out, COPY_UNSUPPORTED)
            });
        }
        Ok(Progress::GoesOn)
    }
}

fn take_login(
    login: &mut Login,
    message: &Message<'_>,
    credentials: &Credentials,
    answer: &mut Vec<u8>,
) -> Result<Progress, InvalidReply> {
    match login.read_message(credentials, message, answer) {
        Ok(true) => Ok(Progress::Ready { is_reusable: true }),
        Ok(false) => Ok(Progress::GoesOn),
        Err(LoginError::Malformed) => Err(InvalidReply),
        Err(why) => Ok(Progress::LoginRefused(why)),
    }
}

impl Upstream {
    /// The poller has something to say of a connection.
    pub fn event(&mut self, key: Key, now: Time, engine: &mut Engine) {
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

    /// A connection has been coming up, asked or idle for long enough.
    pub fn connection_expired(&mut self, key: Key, now: Time, engine: &mut Engine) {
        let Some(connection) = self.connections.get_mut(key) else {
            return;
        };
        connection.deadline = None;
        self.connection_broke(key, now, engine);
    }

    pub(super) fn write(&mut self, key: Key, now: Time, engine: &mut Engine) {
        let Some(connection) = self.connections.get_mut(key) else {
            return;
        };
        // The system may have held all of it back until now: then it begins now.
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

    /// Reads what has come. What came before the end still counts.
    fn read(&mut self, key: Key, now: Time, engine: &mut Engine) {
        let Some(connection) = self.connections.get_mut(key) else {
            return;
        };
        let peer = connection.stream.fill();
        let has_spoken = peer != PeerState::Open || !connection.stream.unread().is_empty();
        // Bytes on a connection that nothing waits for belong to no request, and the next one would get them.
        if matches!(connection.state, State::Idle) && has_spoken {
            debug!(node = %connection.node, "an idle connection ends");
            self.drop_connection(key, engine);
            return;
        }
        while self.read_message(key, now, engine) {}
        match peer {
            PeerState::Open => {}
            PeerState::Closed | PeerState::Reset => self.connection_broke(key, now, engine),
            PeerState::OverBudget => self.spoilt(key, now, engine),
        }
    }

    /// Takes one message in; false where none is whole, or the connection has ended.
    fn read_message(&mut self, key: Key, now: Time, engine: &mut Engine) -> bool {
        let Some(connection) = self.connections.get_mut(key) else {
            return false;
        };
        let unread = connection.stream.unread();
        let Some(kind) = unread.first() else {
            return false;
        };
        let most = reply::max_message_bytes(*kind);
        let message = match most.map(|most| messages::parse_message(unread, most)) {
            Some(Ok(Some(message))) => message,
            Some(Ok(None)) => return false,
            Some(Err(messages::Malformed)) | None => {
                self.spoilt(key, now, engine);
                return false;
            }
        };
        let length = message.raw.len();
        let mut answer = Vec::new();
        let credentials = &self.options.credentials;
        let taken = connection.state.take(&message, credentials, &mut answer);
        let Ok(progress) = taken else {
            self.spoilt(key, now, engine);
            return false;
        };
        connection.stream.consume(length);
        if let Progress::LoginRefused(why) = progress {
            self.login_refused(key, &why, now, engine);
            return false;
        }
        if !answer.is_empty() {
            connection
                .stream
                .queue_output(|out| out.append(&mut answer));
            self.write(key, now, engine);
        }
        if let Progress::Ready { is_reusable } = progress {
            self.connection_ready(key, is_reusable, now, engine);
        }
        true
    }

    fn login_refused(&mut self, key: Key, why: &LoginError, now: Time, engine: &mut Engine) {
        let Some(connection) = self.connections.get(key) else {
            return;
        };
        let node = connection.node.clone();
        let is_full = matches!(why, LoginError::Server(code) if code == code::TOO_MANY_CONNECTIONS);
        let end = if is_full {
            AttemptEnd::Overloaded
        } else {
            warn!(%node, reason = "login", help = why.help(), "{why}");
            AttemptEnd::Unreachable
        };
        self.drop_connection(key, engine);
        self.connection_failed(&node, end, now, engine);
    }

    /// A connection is ready: it has come up, or its reply is whole.
    fn connection_ready(&mut self, key: Key, is_reusable: bool, now: Time, engine: &mut Engine) {
        let Some(connection) = self.connections.get_mut(key) else {
            return;
        };
        // What answers before the request has left whole answers something else, a copy of the last answer say.
        if matches!(&connection.state, State::Busy(running) if !running.is_written) {
            return self.spoilt(key, now, engine);
        }
        let id = connection.node.clone();
        match std::mem::replace(&mut connection.state, State::Idle) {
            State::LoggingIn(login) => {
                connection.backend_key = login
                    .cancel_key()
                    .cloned()
                    .map(|(process, secret)| BackendKey { process, secret });
                if let Some(pool) = self.pools.get_mut(&id) {
                    pool.coming_up -= 1;
                }
            }
            State::Busy(running) => {
                // One that says more than belongs to its answer would give it to the next request.
                let says_more = !connection.stream.unread().is_empty();
                let may_stay = is_reusable && !says_more && self.is_in_place(key);
                self.finish(running.job, running.reply, &id, now, engine);
                if !may_stay {
                    debug!(node = %id, "a connection that says too much ends");
                    self.drop_connection(key, engine);
                    return;
                }
            }
            State::Connecting | State::Cancelling(_) | State::Idle => {}
        }
        self.next_job(key, &id, now, engine);
    }

    /// A connection ended from the other side, or was waited for long enough.
    fn connection_broke(&mut self, key: Key, now: Time, engine: &mut Engine) {
        // Unless the node said what became of the request before it closed, nobody knows.
        let end = |reply: &Reply| (!reply.tells()).then_some(AttemptEnd::Reset);
        self.end_connection(key, end, now, engine);
    }

    /// What came on a connection is not to be followed. The node is there and answers, so it is not at fault as one that
    /// breaks connections is; the request may have run, and whatever came with the answer tells nothing.
    fn spoilt(&mut self, key: Key, now: Time, engine: &mut Engine) {
        if let Some(connection) = self.connections.get(key) {
            let unread = connection.stream.unread();
            let head = unread[..unread.len().min(MAX_LOGGED_BYTES)].escape_ascii();
            warn!(node = %connection.node, %head, "a message that cannot be followed");
        }
        self.end_connection(key, |_| Some(AttemptEnd::Failure), now, engine);
    }

    /// Ends a connection and what was under way on it. `end` says how a job that was written ended; none where its reply tells.
    fn end_connection(
        &mut self,
        key: Key,
        end: impl FnOnce(&Reply) -> Option<AttemptEnd>,
        now: Time,
        engine: &mut Engine,
    ) {
        let Some(connection) = self.connections.get(key) else {
            return;
        };
        let node = connection.node.clone();
        let was_coming_up = connection.is_coming_up();
        let running = self.drop_connection(key, engine);
        if was_coming_up {
            return self.connection_failed(&node, AttemptEnd::Unreachable, now, engine);
        }
        let Some(running) = running else {
            return;
        };
        if !running.is_written {
            return self.fail(running.job, &node, AttemptEnd::Unreachable, now, engine);
        }
        match end(&running.reply) {
            Some(end) => self.fail(running.job, &node, end, now, engine),
            None => self.finish(running.job, running.reply, &node, now, engine),
        }
    }

    /// A job ended without an answer.
    pub(super) fn fail(
        &mut self,
        job: Job,
        node: &NodeId,
        end: AttemptEnd,
        now: Time,
        engine: &mut Engine,
    ) {
        let nothing = NodeReport::default();
        match job {
            Job::Attempt { id, .. } => {
                engine.attempt_ended(now, id, end, nothing, nothing);
            }
            Job::HealthCheck { .. } => engine.health_check_ended(node.clone(), None),
            Job::Watch { .. } => self.query_outcomes.push(QueryOutcome {
                node: node.clone(),
                answer: None,
            }),
        }
    }

    /// A job ended with an answer.
    fn finish(&mut self, job: Job, reply: Reply, node: &NodeId, now: Time, engine: &mut Engine) {
        let end = reply.end();
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
            Job::HealthCheck { asked_at } => {
                let took = now.saturating_sub(asked_at);
                debug!(%node, took, ?reply.load_report, "health check answered");
                engine.health_check_ended(node.clone(), report);
            }
            Job::Watch { asked_at, .. } => {
                if report.is_some() {
                    engine.health_check_ended(node.clone(), report);
                }
                self.query_outcomes.push(QueryOutcome {
                    node: node.clone(),
                    answer: report.map(|report| QueryAnswer { asked_at, report }),
                });
            }
        }
    }
}
