//! Read-ahead: how the router sees that a client has closed its connection behind requests that it cannot begin yet.
//!
//! The close stands behind the bytes that were sent before it. If those stay in the system's buffer, requests are begun for a
//! client that has gone. So the router reads on behind the messages in progress, up to a limit for each client. If more is
//! waiting there, the client may have gone without a sign: whole requests are then refused instead of begun, which makes room to
//! read on, until nothing is left unread or the close is found.

use super::client::{Client, Phase};
use crate::net::budget::{Budget, Buffer};
use crate::net::stream::{Peeked, PeerState};
use plovercove::{Micros, Time};
use plovercove_pgwire::messages;

/// Number of bytes that may be read ahead from each client, whatever the size of its messages.
const MIN_READ_AHEAD_BYTES: usize = 256 * 1024;
/// Number of messages that may be read ahead beyond that, so that a client that sends many long ones at once is served. It is
/// limited, because all of them are answered in a moment when the router shuts down.
const MAX_READ_AHEAD_MESSAGES: usize = 4_096;
/// Upper limit of the bytes that are read ahead from one client, as a part of the byte budget.
const READ_AHEAD_BUDGET_DIVISOR: usize = 8;
/// Time for which bytes may wait unread before requests of their client are refused. No attempt may begin more than 100 ms after
/// a client has closed.
const MAX_UNREAD_TIME: Micros = 50_000;

/// Whether the router would see that the client closes its connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CloseDetection {
    /// Everything that had arrived has been read, or is being read.
    Sees,
    /// Bytes may wait unread in the system's buffer since this time.
    BlindSince(Time),
    /// Bytes have waited unread for too long: requests are refused until all is read.
    Refusing,
}

impl CloseDetection {
    /// Records that bytes wait unread.
    fn bytes_wait(&mut self, now: Time) {
        *self = match *self {
            CloseDetection::Sees => CloseDetection::BlindSince(now),
            CloseDetection::BlindSince(since) if since + MAX_UNREAD_TIME <= now => {
                CloseDetection::Refusing
            }
            unchanged => unchanged,
        };
    }
}

/// Returns the maximum number of bytes that are read ahead from one client.
pub(super) fn max_read_ahead_bytes(budget: &Budget) -> usize {
    let share = budget.limit() / READ_AHEAD_BUDGET_DIVISOR;
    share.max(MIN_READ_AHEAD_BYTES)
}

impl Client {
    /// Returns whether as much has been read ahead from the client as the router keeps.
    pub(super) fn has_read_far_ahead(&self) -> bool {
        let unread = self.stream.unread();
        unread.len() >= MIN_READ_AHEAD_BYTES
            && (unread.len() >= self.max_read_ahead_bytes
                || !self.has_message_lengths()
                || messages::split(unread)
                    .nth(MAX_READ_AHEAD_MESSAGES - 1)
                    .is_some())
    }

    /// Returns whether requests of the client are refused, because it may have closed the connection.
    pub(super) fn refuses_requests(&self) -> bool {
        self.close_detection == CloseDetection::Refusing
    }

    /// Returns the last pending answer, if requests are refused and the answer to the next one may share its buffer.
    pub(super) fn waiting_refusals(&mut self) -> Option<&mut Buffer> {
        if !self.refuses_requests() {
            return None;
        }
        self.pending.back_mut()?.answer.as_mut()
    }

    /// Returns whether one more answer may wait for its turn behind those in progress, if its request is refused.
    pub(super) fn has_room_for_refusal(&self) -> bool {
        let last_answer = self.pending.back().and_then(|last| last.answer.as_ref());
        let waiting_bytes = last_answer.map_or(0, |answer| answer.len());
        self.refuses_requests()
            && waiting_bytes < self.max_read_ahead_bytes
            && !self.stream.has_little_room()
    }

    /// Returns whether the poller has to report what arrives: bytes that are wanted, or the first that cannot be read.
    pub(super) fn watches_input(&self) -> bool {
        let is_open = !self.is_input_closed && self.phase != Phase::Closing;
        self.wants_input() || (is_open && self.close_detection == CloseDetection::Sees)
    }

    /// Returns the time at which requests of the client are refused if bytes still wait unread.
    pub(super) fn refusal_time(&self) -> Option<Time> {
        match self.close_detection {
            CloseDetection::BlindSince(since) => Some(since + MAX_UNREAD_TIME),
            CloseDetection::Sees | CloseDetection::Refusing => None,
        }
    }

    /// Reads the bytes that have arrived, also those behind the messages that may be processed now. If a close were detected
    /// only in the next turn, requests would be begun for a client that closed the connection while the event loop was busy.
    pub(super) fn fill(&mut self, now: Time) -> PeerState {
        // The bytes of a lingering client are dropped in `advance_linger`.
        if self.is_lingering() {
            return PeerState::Open;
        }
        while self.wants_input() {
            let unread_before = self.stream.unread().len();
            match self.stream.fill() {
                PeerState::Open if self.stream.unread().len() > unread_before => {
                    // The rest is read in the next turn, so that no client holds the loop or the memory.
                    if self.stream.unread().len() >= MIN_READ_AHEAD_BYTES {
                        break;
                    }
                }
                // Over the budget, the bytes stay in the system's buffer until `relieve_memory` has made room, or drops
                // this message.
                PeerState::Open | PeerState::OverBudget => break,
                peer => return peer,
            }
        }
        self.update_close_detection(now)
    }

    /// Reads on if bytes may wait unread, and refuses the requests of the client if they have waited for too long.
    ///
    /// # Errors
    ///
    /// Returns the state of the peer if it has closed the connection.
    pub(super) fn look_for_close(&mut self, now: Time) -> Result<(), PeerState> {
        if self.close_detection == CloseDetection::Sees {
            return Ok(());
        }
        match self.fill(now) {
            PeerState::Open => Ok(()),
            peer => Err(peer),
        }
    }

    /// Updates whether the router would see a close, after the bytes that there is room for have been read.
    fn update_close_detection(&mut self, now: Time) -> PeerState {
        let reads_nothing = self.phase == Phase::Closing || self.is_input_closed;
        if reads_nothing {
            self.close_detection = CloseDetection::Sees;
            return PeerState::Open;
        }
        // With room to read, the poller reports what is left.
        if self.close_detection == CloseDetection::Sees && self.wants_input() {
            return PeerState::Open;
        }
        match self.stream.peek() {
            Peeked::Nothing => self.close_detection = CloseDetection::Sees,
            Peeked::Bytes => self.close_detection.bytes_wait(now),
            Peeked::End(peer) => return peer,
        }
        PeerState::Open
    }
}
