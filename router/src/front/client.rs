//! One client's connection: where its session stands, what is owed to it, and how long it is waited for.

use super::eviction::{EvictionKind, EvictionRank};
use crate::net::budget::{Budget, Buffer, Reservation};
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

/// Queries of one connection that may be unanswered before no more are begun.
const MAX_PIPELINED_QUERIES: usize = 16;
/// Bytes that may be unsent to a client before no more of its queries are begun.
pub(super) const MAX_UNSENT_BYTES: usize = 256 * 1024;
/// Bytes of one connection that are read beyond what may be begun, so that its end is seen behind them: some thousand
/// queries. With its end unseen, what waits would be sent on for nobody. A client that sends more floods; its end is seen
/// when its answers have made room.
pub(super) const MAX_READ_AHEAD_BYTES: usize = 256 * 1024;
/// How long answers may lie unread, here or in the system's buffer.
const UNREAD_ANSWER_TIMEOUT: Micros = 2_500_000;
/// Between two looks at whether a lingering client's answer has left the system's buffer.
const DELIVERY_CHECK_INTERVAL: Micros = 50_000;
/// Errors of protocol in a row that end a session.
const MAX_PROTOCOL_ERRORS: u32 = 8;
/// Bytes that a lingering client may still send. A close with bytes unread resets the connection, which may destroy the last
/// answer on its way.
const MAX_LINGER_BYTES: usize = 256 * 1024;
/// What a client is told that there is no place for.
pub(super) const TOO_MANY_CONNECTIONS: &str = "too many connections";
/// What one is told that must go and has not asked for anything.
const CLOSED_BEFORE_REQUEST: &str = "closed before a request came";

/// Where a session stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Phase {
    /// The first packet has not come, or the proof of who it is.
    LoggingIn,
    /// There is no place for this client: it is told so once its first packet has come.
    Rejecting,
    /// Its queries are taken.
    Ready,
    /// After an error in the extended protocol all is skipped until Sync.
    SkippingToSync,
    /// Nothing more is read; it closes once all is answered and sent.
    Closing,
}

/// A request that the engine has taken on.
pub(super) struct ForwardedRequest {
    pub(super) request: Key,
    pub(super) statement: Rc<Statement>,
    pub(super) is_write: bool,
    /// The statement's bytes in the budget, for as long as it is held.
    pub(super) _reservation: Reservation,
}

/// One thing that is owed to a client, in order.
pub(super) struct Pending {
    pub(super) request: Option<ForwardedRequest>,
    pub(super) answer: Option<Buffer>,
}

/// A close that waits for the other side's (lingering close): what it still sends is read and dropped.
#[derive(Clone, Copy, Debug)]
pub(super) struct Linger {
    pub(super) until: Time,
    /// It ends then, also with an answer in the system's buffer.
    give_up_at: Time,
    pub(super) bytes_left: usize,
    /// Its last answer lies in the system's buffer still. Closed now, the connection would be reset by whatever the client
    /// sends, and the answer would go with it.
    is_delivering: bool,
}

impl Linger {
    fn eviction_kind(&self) -> EvictionKind {
        if self.is_delivering {
            EvictionKind::Delivering
        } else {
            EvictionKind::Lingering
        }
    }
}

/// A client.
pub(super) struct Client {
    pub(super) stream: Stream,
    /// The listener that it came by, by number.
    pub(super) listener: usize,
    pub(super) address: IpAddr,
    pub(super) phase: Phase,
    /// Its startup, until it is logged in.
    pub(super) startup: Option<Box<Startup>>,
    pub(super) version: Version,
    pub(super) session: Session,
    /// The number of its cancel key.
    pub(super) cancel_id: Option<u32>,
    /// When a write of its was last answered; only where the router itself must remember.
    pub(super) last_write_at: Option<Time>,
    pub(super) idle_timeout: Micros,
    pub(super) pending: VecDeque<Pending>,
    /// When bytes last moved on, either way.
    pub(super) last_progress_at: Time,
    /// When the message that is under way began.
    pub(super) message_began_at: Option<Time>,
    /// From the first byte of a message to its last.
    pub(super) message_timeout: Micros,
    pub(super) linger: Option<Linger>,
    /// A request of its has been taken on.
    pub(super) has_requested: bool,
    /// Its first request must have come whole by then.
    pub(super) first_request_deadline: Time,
    /// Since its last request.
    pub(super) protocol_errors: u32,
    /// When it is looked over next.
    pub(super) next_check: Option<Time>,
    /// Its place among those that could be closed.
    pub(super) eviction_rank: Option<EvictionRank>,
    /// It is on the list of those to be pumped.
    pub(super) is_marked: bool,
}

impl Client {
    /// Nothing is owed to it and nothing of it is unread.
    pub(super) fn is_idle(&self) -> bool {
        self.is_settled() && self.stream.unread().is_empty()
    }

    /// Nothing is owed to it.
    fn is_settled(&self) -> bool {
        self.pending.is_empty() && self.stream.unsent() == 0
    }

    pub(super) fn is_lingering(&self) -> bool {
        self.linger.is_some()
    }

    /// How long it is waited for as things stand; what has been taken on has deadlines of its own.
    pub(super) fn deadline(&self) -> Option<Time> {
        if self.stream.unsent() > 0 {
            return Some(self.last_progress_at + UNREAD_ANSWER_TIMEOUT);
        }
        if !self.pending.is_empty() {
            return None;
        }
        if let Some(linger) = self.linger {
            return Some(linger.until);
        }
        if !self.has_requested {
            return Some(self.first_request_deadline);
        }
        Some(match self.message_began_at {
            Some(began_at) => began_at + self.message_timeout,
            None => self.last_progress_at + self.idle_timeout,
        })
    }

    /// Where it stands among those that could be closed, if it could.
    pub(super) fn current_eviction_rank(&self) -> Option<EvictionRank> {
        if !self.is_settled() {
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

    /// How it is spoken to.
    pub(super) fn encoder(&self) -> Encoder {
        Encoder {
            version: self.version,
            formats: self.session.formats,
        }
    }

    fn has_room(&self) -> bool {
        self.pending.len() < MAX_PIPELINED_QUERIES && self.stream.unsent() < MAX_UNSENT_BYTES
    }

    /// Whether what it sends next may be begun.
    pub(super) fn may_begin_message(&self) -> bool {
        self.phase != Phase::Closing && self.has_room()
    }

    /// Whether its bytes are waited for: to be begun, to be dropped, or for the end that may come behind them.
    pub(super) fn wants_input(&self) -> bool {
        let may_read_ahead = || {
            let is_short = self.stream.unread().len() < MAX_READ_AHEAD_BYTES;
            is_short && self.stream.may_read_ahead()
        };
        self.is_lingering() || self.may_begin_message() || may_read_ahead()
    }

    /// Owes an answer that the router words itself.
    pub(super) fn queue_reply(&mut self, budget: &Budget, write: impl FnOnce(&mut Vec<u8>)) {
        let mut answer = budget.buffer();
        answer.write(write);
        self.pending.push_back(Pending {
            request: None,
            answer: Some(answer),
        });
    }

    /// An error that says nothing against the client.
    pub(super) fn reply_error(&mut self, budget: &Budget, code: &str, text: &str) {
        let encoder = self.encoder();
        self.queue_reply(budget, |out| {
            encoder.put_error(false, code, text, None, out);
            encoder.put_ready(out);
        });
    }

    /// An error of the client's that leaves the session standing, unless it is one of many in a row.
    pub(super) fn reply_protocol_error(&mut self, budget: &Budget, code: &str, text: &str) {
        self.protocol_errors += 1;
        if self.protocol_errors >= MAX_PROTOCOL_ERRORS {
            self.end_session(budget, code, text);
        } else {
            self.reply_error(budget, code, text);
        }
    }

    /// An error that ends the session.
    pub(super) fn end_session(&mut self, budget: &Budget, code: &str, text: &str) {
        let encoder = self.encoder();
        self.queue_reply(budget, |out| encoder.put_error(true, code, text, None, out));
        self.phase = Phase::Closing;
    }

    /// From now on nothing that it sends is begun; our end is closed, and the other is read until then.
    pub(super) fn begin_linger(&mut self, now: Time, timeout: Micros) {
        self.phase = Phase::Closing;
        self.linger = Some(Linger {
            until: now + timeout,
            give_up_at: now + timeout.max(UNREAD_ANSWER_TIMEOUT),
            bytes_left: MAX_LINGER_BYTES,
            is_delivering: self.stream.is_delivering(),
        });
        self.last_progress_at = now;
        self.stream.shut_down_write();
    }

    /// The time of a lingering client is up: whether it lingers on, since its answer has not left the system's buffer.
    pub(super) fn lingers_on(&mut self, now: Time) -> bool {
        let Some(linger) = &mut self.linger else {
            return false;
        };
        linger.is_delivering = self.stream.is_delivering();
        linger.until = linger.give_up_at.min(now + DELIVERY_CHECK_INTERVAL);
        linger.is_delivering && now < linger.give_up_at
    }

    /// Tells one that is closed before it has asked: without a word it would not know whether coming again is harmless.
    pub(super) fn announce_close(&mut self) {
        if self.has_requested || self.phase == Phase::Closing || self.stream.unsent() > 0 {
            return;
        }
        let text = if self.phase == Phase::Rejecting {
            TOO_MANY_CONNECTIONS
        } else {
            CLOSED_BEFORE_REQUEST
        };
        let encoder = self.encoder();
        self.stream.queue_output(|out| {
            encoder.put_error(true, code::TOO_MANY_CONNECTIONS, text, None, out)
        });
        // One that cannot be told has gone.
        let _ = self.stream.flush();
    }
}
