//! Reads a client's messages and writes its answers, in order and within bounds for one turn of the event loop.

use super::Context;
use super::client::{Client, Phase};
use crate::net::budget::Budget;
use crate::net::stream::PeerState;
use plovercove::Time;
use plovercove_engine::{Engine, Key};
use plovercove_pgwire::Version;
use plovercove_pgwire::messages::{self, Malformed, code};

/// Maximum length of a message. It has room for a statement with a value as long as the longest that a node may return, in
/// hex digits.
pub(super) const MAX_MESSAGE_BYTES: usize = 4 * 1024 * 1024;
/// Maximum number of messages that are read from one client in a turn of the event loop. Without it, a client that sends at
/// full speed would extend the turn for as long as its input lasts.
const MAX_MESSAGES_PER_TURN: u32 = 32;
/// Error text for clients that use the extended query protocol.
const ONLY_SIMPLE_QUERIES_TEXT: &str = "only simple queries are supported";

/// What an exchange left to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Exchanged {
    /// Whether all queued bytes have been written.
    pub(super) is_all_sent: bool,
    /// Whether messages are left to process in the next turn.
    pub(super) has_more: bool,
}

impl Client {
    /// Reads the bytes that a client has sent, and detects whether it has closed the connection. If it has, its login messages
    /// are processed at once, because a client that sends a cancel request may close without waiting for the router.
    pub(super) fn receive(&mut self, context: &mut Context, key: Key, now: Time) -> PeerState {
        let peer = match self.skipped_message {
            Some(_) if self.is_input_closed => PeerState::Open,
            Some(_) => self.skip_received(context),
            None => self.fill(now),
        };
        if peer != PeerState::Open {
            let is_logging_in =
                |client: &Client| client.startup.is_some() && client.phase != Phase::Closing;
            while is_logging_in(self) && self.advance_login(context, key, now) {}
        }
        peer
    }

    /// Queues the answers that are next in order, processes messages while there is room, and writes.
    ///
    /// # Errors
    ///
    /// Returns the state of the peer if it has closed the connection.
    pub(super) fn exchange(
        &mut self,
        context: &mut Context,
        key: Key,
        now: Time,
        engine: &mut Engine,
    ) -> Result<Exchanged, PeerState> {
        let mut messages_left = MAX_MESSAGES_PER_TURN;
        loop {
            self.write_answers_in_order();
            self.look_for_close(now)?;
            if messages_left > 0 && self.read_message(context, key, now, engine) {
                self.last_progress_at = now;
                self.message_began_at = None;
                messages_left -= 1;
                continue;
            }
            let (unsent_before, had_room) = (self.stream.unsent(), self.may_begin_message());
            let is_all_sent = self.stream.flush()?;
            if self.stream.unsent() < unsent_before {
                self.last_progress_at = now;
            }
            // If unsent answers had filled the buffer, there is room for more messages now.
            let made_room = is_all_sent && unsent_before > 0 && !had_room;
            if messages_left > 0 && made_room {
                continue;
            }
            let has_unread = self.may_begin_message() && !self.stream.unread().is_empty();
            return Ok(Exchanged {
                is_all_sent,
                has_more: messages_left == 0 && has_unread,
            });
        }
    }

    fn write_answers_in_order(&mut self) {
        while let Some(answer) = self.pending.front_mut().and_then(|p| p.answer.take()) {
            self.stream
                .queue_output(|out| out.extend_from_slice(&answer));
            self.pending.pop_front();
        }
    }

    /// Processes one message. Returns false if no message is complete or there is no room for its answer.
    fn read_message(
        &mut self,
        context: &mut Context,
        key: Key,
        now: Time,
        engine: &mut Engine,
    ) -> bool {
        if !self.may_begin_message() {
            return false;
        }
        match self.phase {
            Phase::Closing => false,
            Phase::LoggingIn | Phase::Rejecting => self.advance_login(context, key, now),
            Phase::Ready if self.version == Version::V2 => {
                self.read_v2_message(context, key, now, engine)
            }
            Phase::Ready | Phase::SkippingToSync => self.read_v3_message(context, key, now, engine),
        }
    }

    fn read_v3_message(
        &mut self,
        context: &mut Context,
        key: Key,
        now: Time,
        engine: &mut Engine,
    ) -> bool {
        let message = match messages::parse_message(self.stream.unread(), MAX_MESSAGE_BYTES) {
            Ok(Some(message)) => message,
            Ok(None) => return false,
            Err(Malformed) => {
                let text = "a message has an impossible length";
                self.end_session(&context.budget, code::PROTOCOL_VIOLATION, text);
                return true;
            }
        };
        let (message_type, length) = (message.kind, message.raw.len());
        let query =
            (message_type == b'Q').then(|| message.body.strip_suffix(&[0]).map(<[u8]>::to_vec));
        self.stream.consume(length);
        match query {
            Some(_) if self.phase == Phase::SkippingToSync => {}
            Some(Some(text)) if text.contains(&0) => {
                let text = "the query has a zero byte in it";
                self.reply_protocol_error(&context.budget, code::PROTOCOL_VIOLATION, text);
            }
            Some(Some(text)) => self.read_query(context, key, text, now, engine),
            Some(None) => {
                let text = "the query does not end";
                self.reply_protocol_error(&context.budget, code::PROTOCOL_VIOLATION, text);
            }
            None => self.handle_other_message(&context.budget, message_type),
        }
        true
    }

    /// Handles a message that is not a query. Its body does not matter.
    pub(super) fn handle_other_message(&mut self, budget: &Budget, message_type: u8) {
        match message_type {
            b'X' => self.phase = Phase::Closing,
            b'S' => {
                self.phase = Phase::Ready;
                self.queue_reply(budget, messages::put_ready);
            }
            _ if self.phase == Phase::SkippingToSync => {}
            b'F' => {
                let text = "function calls are not supported";
                self.reply_protocol_error(budget, code::FEATURE_NOT_SUPPORTED, text);
            }
            b'P' | b'B' | b'D' | b'E' | b'C' | b'H' => {
                self.protocol_errors += 1;
                self.queue_reply(budget, |out| {
                    messages::put_error(
                        out,
                        false,
                        code::FEATURE_NOT_SUPPORTED,
                        ONLY_SIMPLE_QUERIES_TEXT,
                        None,
                    );
                });
                self.phase = Phase::SkippingToSync;
            }
            // Copy data that arrives after an error is ignored, as servers do.
            b'd' | b'c' | b'f' => {}
            _ => self.end_session(
                budget,
                code::PROTOCOL_VIOLATION,
                "a message of an unknown kind",
            ),
        }
    }

    fn read_v2_message(
        &mut self,
        context: &mut Context,
        key: Key,
        now: Time,
        engine: &mut Engine,
    ) -> bool {
        let Some((&message_type, rest)) = self.stream.unread().split_first() else {
            return false;
        };
        match message_type {
            b'Q' => {
                let Some(end) = rest.iter().position(|byte| *byte == 0) else {
                    let is_too_long = rest.len() > MAX_MESSAGE_BYTES;
                    if is_too_long {
                        let text = "the query is too long";
                        self.end_session(&context.budget, code::PROTOCOL_VIOLATION, text);
                    }
                    return is_too_long;
                };
                let text = rest[..end].to_vec();
                self.stream.consume(end + 2);
                self.read_query(context, key, text, now, engine);
            }
            b'X' => self.phase = Phase::Closing,
            b'F' => match messages::v2_function_call_length(rest, MAX_MESSAGE_BYTES) {
                Ok(None) => return false,
                Ok(Some(length)) => {
                    self.stream.consume(length + 1);
                    let text = "function calls are not supported";
                    self.reply_protocol_error(&context.budget, code::FEATURE_NOT_SUPPORTED, text);
                }
                Err(Malformed) => {
                    let text = "a malformed function call";
                    self.end_session(&context.budget, code::PROTOCOL_VIOLATION, text);
                }
            },
            _ => {
                let text = "a message of an unknown kind";
                self.end_session(&context.budget, code::PROTOCOL_VIOLATION, text);
            }
        }
        true
    }

    fn read_query(
        &mut self,
        context: &mut Context,
        key: Key,
        text: Vec<u8>,
        now: Time,
        engine: &mut Engine,
    ) {
        match String::from_utf8(text) {
            Ok(text) => self.handle_query(context, key, &text, now, engine),
            Err(_) => {
                let text = "the query is not UTF-8";
                self.reply_protocol_error(&context.budget, code::PROTOCOL_VIOLATION, text);
            }
        }
    }
}
