//! One client's connection: the phase of its session, its pending answers, and its deadlines.

use super::Context;
use super::close_reason::CloseReason;
use super::eviction::{EvictionKind, EvictionRank};
use super::listener::ListenerConfig;
use super::memory_pressure::SkippedMessage;
use super::read_ahead::CloseDetection;
use super::request_ids::RememberedId;
use crate::net::budget::{Budget, Buffer};
use crate::net::stream::Stream;
use crate::statement_labels::{Statement, code};
use plovercove::{Micros, Time};
use plovercove_engine::Key;
use plovercove_pgwire::Version;
use plovercove_pgwire::encoder::Encoder;
use plovercove_pgwire::session::Session;
use plovercove_pgwire::startup::Startup;
use std::collections::VecDeque;
use std::net::IpAddr;
use std::rc::Rc;
use tracing::debug;

/// Maximum number of unanswered queries of one connection; further ones wait.
const MAX_PIPELINED_QUERIES: usize = 16;
/// Maximum number of unsent bytes to a client; above it, no further queries of the client are begun.
const MAX_UNSENT_BYTES: usize = 256 * 1024;
/// The same while the byte budget has little room: a client that does not read its answers is not read from.
const MAX_UNSENT_BYTES_WITH_LITTLE_ROOM: usize = 1;
/// Time for which answers may stay unread, in the router or in the system's socket buffer.
const UNREAD_ANSWER_TIMEOUT: Micros = 2_500_000;
/// Time between two checks whether the last answer to a lingering client has left the system's socket buffer.
const DELIVERY_CHECK_INTERVAL: Micros = 50_000;
/// Number of protocol errors in a row from which a session ends.
const MAX_PROTOCOL_ERRORS: u32 = 8;
/// Maximum number of bytes that a lingering client may still send. Closing a socket with unread bytes resets the
/// connection, which may destroy the last answer on its way.
const MAX_LINGER_BYTES: usize = 256 * 1024;
/// Error text for a client for which no slot is free.
pub(super) const TOO_MANY_CONNECTIONS_TEXT: &str = "too many connections";
/// Error text for a client that is evicted before its first request.
const CLOSED_BEFORE_REQUEST_TEXT: &str = "closed before a request came";

/// The phase of a session.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Phase {
    /// The startup or the authentication is not complete.
    LoggingIn,
    /// No slot is free for this client. It receives an error once its first packet has arrived.
    Rejecting,
    /// The client may send queries.
    Ready,
    /// The client used the extended query protocol and received an error; its messages are skipped until Sync.
    SkippingToSync,
    /// No further messages are begun; the connection closes once all answers have been sent.
    Closing,
}

/// A request that has been handed to the engine.
pub(super) struct ForwardedRequest {
    pub(super) request: Key,
    pub(super) statement: Rc<Statement>,
    pub(super) is_write: bool,
    pub(super) id: RememberedId,
}

/// A pending answer to a client. Answers are sent in the order of the requests.
pub(super) struct Pending {
    pub(super) request: Option<ForwardedRequest>,
    pub(super) answer: Option<Buffer>,
}

/// A lingering close: the router has closed its side, and reads and drops what the client sends until it closes too.
#[derive(Clone, Copy, Debug)]
pub(super) struct Linger {
    /// Time of the next check, or of the end if the last answer has been delivered by then.
    check_at: Time,
    /// Time at which the connection is closed even if the last answer is still in the system's socket buffer.
    give_up_at: Time,
    /// Number of bytes that the client may still send.
    pub(super) bytes_left: usize,
    /// Whether the last answer is still in the system's socket buffer. If the connection were closed now, any byte that the
    /// client sends would reset it, and the answer would be lost.
    is_delivering: bool,
}

impl Linger {
    /// Ends the lingering close by this time, unless the last answer is not delivered by then.
    pub(super) fn end_by(&mut self, end: Time) {
        self.check_at = self.check_at.min(end);
    }

    fn eviction_kind(&self) -> EvictionKind {
        if self.is_delivering {
            EvictionKind::Delivering
        } else {
            EvictionKind::Lingering
        }
    }
}

/// A client's connection and session.
pub(super) struct Client {
    pub(super) stream: Stream,
    /// Number of the listener that accepted the connection.
    pub(super) listener: usize,
    pub(super) address: IpAddr,
    pub(super) phase: Phase,
    /// State of the startup, until the client is logged in.
    pub(super) startup: Option<Box<Startup>>,
    pub(super) version: Version,
    pub(super) session: Session,
    /// The id of the client's cancel key.
    pub(super) cancel_id: Option<u32>,
    /// Time of the last answer to a write. It is used for clients without labels, which do not send the position themselves.
    pub(super) last_write_at: Option<Time>,
    pub(super) idle_timeout: Micros,
    pub(super) pending: VecDeque<Pending>,
    /// Time at which a message was last read or bytes were last sent.
    pub(super) last_progress_at: Time,
    /// Time of the first byte of an incomplete message.
    pub(super) message_began_at: Option<Time>,
    /// Time from the first byte of a message to its last.
    pub(super) message_timeout: Micros,
    /// The incomplete message whose bytes are dropped.
    pub(super) skipped_message: Option<SkippedMessage>,
    /// Whether nothing more is read from the client, because the router shuts down.
    pub(super) is_input_closed: bool,
    /// Maximum number of bytes that are read ahead.
    pub(super) max_read_ahead_bytes: usize,
    pub(super) close_detection: CloseDetection,
    pub(super) linger: Option<Linger>,
    /// Whether a sound request of the client has been received. On a listener with default labels, it is true from the login on.
    pub(super) has_requested: bool,
    /// Time by which the first request must be complete.
    pub(super) first_request_deadline: Time,
    /// Number of protocol errors since the last request.
    pub(super) protocol_errors: u32,
    /// Time of the next check of the client's deadline.
    pub(super) next_check: Option<Time>,
    /// Position in the eviction order, if the client may be evicted.
    pub(super) eviction_rank: Option<EvictionRank>,
    /// Whether the client is on the list of clients to be pumped.
    pub(super) is_marked: bool,
}

impl Client {
    /// Returns a client that has just connected to a listener and has to log in at once, until its timeouts are set.
    pub(super) fn new(
        stream: Stream,
        listener: usize,
        address: IpAddr,
        config: &ListenerConfig,
        now: Time,
    ) -> Self {
        Client {
            stream,
            listener,
            address,
            phase: Phase::LoggingIn,
            startup: Some(Box::default()),
            version: Version::V30,
            session: Session::new(config.formats),
            cancel_id: None,
            last_write_at: None,
            idle_timeout: config.idle_timeout,
            pending: VecDeque::new(),
            last_progress_at: now,
            message_began_at: None,
            message_timeout: 0,
            skipped_message: None,
            is_input_closed: false,
            max_read_ahead_bytes: 0,
            close_detection: CloseDetection::Sees,
            linger: None,
            has_requested: false,
            first_request_deadline: now,
            protocol_errors: 0,
            next_check: None,
            eviction_rank: None,
            is_marked: false,
        }
    }

    /// Returns true if no answer is pending or unsent, and no message is incomplete or unread.
    pub(super) fn is_idle(&self) -> bool {
        self.has_nothing_pending() && !self.has_partial_input()
    }

    /// Returns true if bytes have been received that are not processed yet.
    pub(super) fn has_partial_input(&self) -> bool {
        self.skipped_message.is_some() || !self.stream.unread().is_empty()
    }

    /// Returns true if bytes have been received that are not processed yet, here or in the system's socket buffer.
    fn has_input_waiting(&self) -> bool {
        self.has_partial_input() || !self.stream.is_quiet()
    }

    /// Returns true if no answer is pending or unsent.
    pub(super) fn has_nothing_pending(&self) -> bool {
        self.pending.is_empty() && self.stream.unsent() == 0
    }

    pub(super) fn is_lingering(&self) -> bool {
        self.linger.is_some()
    }

    /// Returns true if the shutdown may close the connection: it is between requests, or its input is closed and everything
    /// that was read from it is answered.
    pub(super) fn may_close_for_shutdown(&self) -> bool {
        let is_between_requests = self.has_requested && self.is_idle();
        let is_finished = self.is_input_closed && self.has_nothing_pending();
        self.phase != Phase::Closing && (is_between_requests || is_finished)
    }

    /// Returns the time at which the client is closed or checked, in its present state.
    pub(super) fn deadline(&self, context: &Context) -> Option<Time> {
        let deadlines = [self.session_deadline(context), self.refusal_time()];
        deadlines.into_iter().flatten().min()
    }

    /// Returns the deadline of the session. It is `None` while requests are pending, since the engine has deadlines for
    /// those.
    fn session_deadline(&self, context: &Context) -> Option<Time> {
        if self.stream.unsent() > 0 {
            let give_up_at = self.last_progress_at + UNREAD_ANSWER_TIMEOUT;
            let shutdown_give_up_at = context
                .shutdown
                .map(|schedule| schedule.close_by + UNREAD_ANSWER_TIMEOUT);
            return Some(give_up_at.min(shutdown_give_up_at.unwrap_or(Time::MAX)));
        }
        if !self.pending.is_empty() {
            return None;
        }
        if let Some(linger) = self.linger {
            return Some(linger.check_at);
        }
        let deadline = match self.message_began_at {
            _ if !self.has_requested => self.first_request_deadline,
            Some(began_at) => began_at + self.message_timeout,
            None => self.last_progress_at + self.idle_timeout,
        };
        Some(context.before_last_answers(deadline))
    }

    /// Returns the rank in the eviction order, or `None` if the client must not be evicted.
    pub(super) fn current_eviction_rank(&self) -> Option<EvictionRank> {
        if !self.has_nothing_pending() {
            return None;
        }
        let kind = match self.phase {
            Phase::Closing => self.linger?.eviction_kind(),
            Phase::Rejecting => EvictionKind::Rejecting,
            _ if !self.has_requested => EvictionKind::NoRequestYet,
            _ if self.is_idle() => EvictionKind::Idle,
            _ => return None,
        };
        Some(EvictionRank {
            kind,
            since: self.last_progress_at,
        })
    }

    /// Returns the encoder for the client's version and formats.
    pub(super) fn encoder(&self) -> Encoder {
        Encoder {
            version: self.version,
            formats: self.session.formats,
        }
    }

    fn has_room(&self) -> bool {
        let max_unsent = match self.stream.has_little_room() {
            true => MAX_UNSENT_BYTES_WITH_LITTLE_ROOM,
            false => MAX_UNSENT_BYTES,
        };
        let may_wait = self.pending.len() < MAX_PIPELINED_QUERIES || self.has_room_for_refusal();
        may_wait && self.stream.unsent() < max_unsent
    }

    /// Returns true if the next message of the client may be processed.
    pub(super) fn may_begin_message(&self) -> bool {
        self.phase != Phase::Closing && self.has_room()
    }

    /// Returns true if the client's bytes are to be read: to process them, to drop them, or to detect its close.
    pub(super) fn wants_input(&self) -> bool {
        let may_read_ahead = || self.stream.may_read_ahead() && !self.has_read_far_ahead();
        let may_read = || !self.is_input_closed && (self.needs_input() || may_read_ahead());
        self.is_lingering() || may_read()
    }

    /// Queues an answer of the router's own.
    pub(super) fn queue_reply(&mut self, budget: &Budget, write: impl FnOnce(&mut Vec<u8>)) {
        if let Some(previous) = self.waiting_refusals() {
            previous.write(write);
            return;
        }
        let mut answer = budget.buffer();
        answer.write(write);
        self.pending.push_back(Pending {
            request: None,
            answer: Some(answer),
        });
    }

    /// Queues an error that does not count against the client.
    pub(super) fn reply_error(&mut self, budget: &Budget, code: &str, text: &str) {
        let encoder = self.encoder();
        self.queue_reply(budget, |out| {
            encoder.put_error(false, code, text, None, out);
            encoder.put_ready(out);
        });
    }

    /// Queues a protocol error of the client. Too many such errors in a row end the session, but only once nothing has been
    /// received behind them: a request that was sent whole there has to be answered.
    pub(super) fn reply_protocol_error(&mut self, budget: &Budget, code: &str, text: &str) {
        self.protocol_errors = self.protocol_errors.saturating_add(1);
        if self.protocol_errors >= MAX_PROTOCOL_ERRORS && !self.has_input_waiting() {
            self.end_session(budget, code, text);
        } else {
            self.reply_error(budget, code, text);
        }
    }

    /// Queues an error that ends the session.
    pub(super) fn end_session(&mut self, budget: &Budget, code: &str, text: &str) {
        let encoder = self.encoder();
        self.queue_reply(budget, |out| encoder.put_error(true, code, text, None, out));
        self.phase = Phase::Closing;
    }

    /// Starts a lingering close: no further message is processed, the router's side of the connection is closed, and the
    /// client's bytes are read and dropped until `until`.
    pub(super) fn begin_linger(&mut self, key: Key, reason: CloseReason, now: Time, until: Time) {
        debug!(
            client = key.number(),
            reason = reason.label(),
            "session of a client ended"
        );
        self.phase = Phase::Closing;
        self.skipped_message = None;
        self.close_detection = CloseDetection::Sees;
        self.linger = Some(Linger {
            check_at: until,
            give_up_at: until.max(now + UNREAD_ANSWER_TIMEOUT),
            bytes_left: MAX_LINGER_BYTES,
            is_delivering: self.stream.is_delivering(),
        });
        self.last_progress_at = now;
        self.stream.shut_down_write();
    }

    /// Extends the linger time that is over if the last answer has not left the system's socket buffer. Returns false if the
    /// connection has to be closed.
    pub(super) fn extend_linger(&mut self, now: Time) -> bool {
        let Some(linger) = &mut self.linger else {
            return false;
        };
        linger.is_delivering = self.stream.is_delivering();
        linger.check_at = linger.give_up_at.min(now + DELIVERY_CHECK_INTERVAL);
        linger.is_delivering && now < linger.give_up_at
    }

    /// Sends an error to a client that is closed before its first request. Without it, the client would not know whether
    /// reconnecting is safe.
    pub(super) fn send_close_notice(&mut self) {
        if self.has_requested || self.phase == Phase::Closing || self.stream.unsent() > 0 {
            return;
        }
        let text = if self.phase == Phase::Rejecting {
            TOO_MANY_CONNECTIONS_TEXT
        } else {
            CLOSED_BEFORE_REQUEST_TEXT
        };
        let encoder = self.encoder();
        self.stream.queue_output(|out| {
            encoder.put_error(true, code::TOO_MANY_CONNECTIONS, text, None, out)
        });
        // If the error cannot be sent, the client has already closed the connection.
        let _ = self.stream.flush();
    }
}
