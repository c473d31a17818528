//! Memory pressure: which incomplete messages are dropped when the byte budget has little room.
//!
//! Clients that stop in the middle of long messages can spend the whole budget. If the clients that need room then were
//! closed, requests that had been sent whole would end without an answer. Instead the longest incomplete messages are
//! dropped until a quarter of the budget is left for complete requests. The session goes on: the rest of a dropped message is read without being kept, and a
//! query is rejected once its last byte has arrived. Complete messages are never dropped.

use super::Context;
use super::Front;
use super::client::{Client, Phase};
use super::exchange::MAX_MESSAGE_BYTES;
use super::read_ahead::CloseDetection;
use crate::net::budget::MIN_BUFFER_BYTES;
use crate::net::stream::{MAX_CHUNKS_PER_CALL, PeerState};
use plovercove_engine::Key;
use plovercove_pgwire::Version;
use plovercove_pgwire::messages::{self, code};
use tracing::debug;

/// Error text for a query that the byte budget has no room for.
pub(super) const MEMORY_SPENT_TEXT: &str = "too many statements are waiting";

/// A message whose bytes are dropped as they arrive.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct SkippedMessage {
    kind: u8,
    /// Number of bytes that have not arrived yet.
    bytes_left: usize,
}

impl Front {
    /// Drops incomplete messages, the longest first, until the byte budget has room or none of them is left.
    pub(super) fn relieve_memory(&mut self) {
        while self.context.budget.has_little_room() {
            let Some(key) = self.longest_incomplete_message() else {
                return;
            };
            if let Some(client) = self.clients.get_mut(key) {
                let dropped = client.stream.unread().len();
                debug!(
                    client = key.number(),
                    bytes = dropped,
                    "dropped an incomplete message"
                );
                client.drop_incomplete_message(&self.context);
            }
            self.mark(key);
        }
    }

    /// Returns the client with the longest incomplete message that is long enough to be dropped.
    fn longest_incomplete_message(&self) -> Option<Key> {
        let clients = self.clients.iter();
        let incomplete = clients.filter(|(_, client)| client.has_droppable_message());
        let longest = incomplete.max_by_key(|(_, client)| client.stream.unread().len());
        longest.map(|(key, _)| key)
    }
}

impl Client {
    /// Returns whether bytes are to be read so that the next message can be processed. Behind a message that is whole, only
    /// a bounded number of bytes is read, and none with little room in the budget.
    pub(super) fn needs_input(&self) -> bool {
        let has_work = || self.has_message_lengths() && self.has_whole_message();
        let is_bounded = self.stream.has_little_room() || self.has_read_far_ahead();
        self.may_begin_message() && !(is_bounded && has_work())
    }

    /// Returns whether the first unread message is complete, or malformed.
    fn has_whole_message(&self) -> bool {
        messages::parse_message(self.stream.unread(), MAX_MESSAGE_BYTES) != Ok(None)
    }

    /// Returns whether the first unread message is incomplete, and longer than what each client may buffer anyway.
    fn has_droppable_message(&self) -> bool {
        let unread = self.stream.unread();
        if unread.len() < MIN_BUFFER_BYTES || self.phase == Phase::Closing {
            return false;
        }
        if self.has_message_lengths() {
            return !self.has_whole_message();
        }
        // The bytes of a marked client have not been looked at yet.
        self.message_began_at.is_some() && !self.is_marked
    }

    /// Returns whether the next message starts with a type byte and its length.
    pub(super) fn has_message_lengths(&self) -> bool {
        let is_logged_in = matches!(self.phase, Phase::Ready | Phase::SkippingToSync);
        is_logged_in && self.version != Version::V2
    }

    /// Drops the bytes of the first message, which is incomplete. Without a length its end cannot be found, so the session
    /// ends then.
    fn drop_incomplete_message(&mut self, context: &Context) {
        let received = self.stream.unread().len();
        // Its bytes are read as they arrive, and so is a close behind them.
        self.close_detection = CloseDetection::Sees;
        let header = self.has_message_lengths().then(|| self.message_header());
        self.stream.consume(received);
        match header.flatten() {
            Some((kind, length)) => {
                self.skipped_message = Some(SkippedMessage {
                    kind,
                    bytes_left: length - received,
                });
            }
            None => {
                self.end_session(
                    &context.budget,
                    code::TOO_MANY_CONNECTIONS,
                    MEMORY_SPENT_TEXT,
                );
            }
        }
    }

    /// Returns the type of the first unread message, and its length with the type byte.
    fn message_header(&self) -> Option<(u8, usize)> {
        let [kind, b0, b1, b2, b3, ..] = *self.stream.unread() else {
            return None;
        };
        let length = u32::from_be_bytes([b0, b1, b2, b3]) as usize;
        Some((kind, length + 1))
    }

    /// Reads and drops bytes of the skipped message, and replies to it once its last byte has arrived.
    pub(super) fn skip_received(&mut self, context: &Context) -> PeerState {
        for _ in 0..MAX_CHUNKS_PER_CALL {
            let Some(skipped) = &mut self.skipped_message else {
                break;
            };
            match self.stream.skip(skipped.bytes_left) {
                Ok(0) => break,
                Ok(count) => skipped.bytes_left -= count,
                Err(peer) => return peer,
            }
            if skipped.bytes_left == 0 {
                let kind = skipped.kind;
                self.skipped_message = None;
                self.message_began_at = None;
                self.reply_to_skipped(context, kind);
            }
        }
        PeerState::Open
    }

    fn reply_to_skipped(&mut self, context: &Context, kind: u8) {
        let budget = &context.budget;
        match kind {
            b'Q' if self.phase == Phase::SkippingToSync => {}
            b'Q' => self.reply_error(budget, code::TOO_MANY_CONNECTIONS, MEMORY_SPENT_TEXT),
            _ => self.handle_other_message(budget, kind),
        }
    }
}
