//! Graceful shutdown: listeners close once all connections that wait at them have been accepted, idle clients are closed,
//! and accepted requests are completed. The schedule bounds each of these steps.

use super::Context;
use super::Front;
use super::accept::{Backlog, LISTEN_BACKLOG, MAX_ACCEPTS_PER_TURN};
use super::client::Client;
use super::close_reason::CloseReason;
use crate::net::stream::PeerState;
use crate::shutdown::ShutdownSchedule;
use plovercove::{Micros, Time};
use plovercove_engine::{Engine, Key};
use tracing::debug;

/// Time from accepting a connection until its first request, during the shutdown or if no slot is free. It is long enough
/// that a connection accepted just before its listener closes is not closed while its request is on the way. It is short
/// enough that a few silent connections beyond the limit do not keep others from receiving their errors.
pub(super) const FIRST_REQUEST_TIMEOUT_DRAINING: Micros = 300_000;
/// Time from the first byte of a message to its last, during the shutdown. It is short, so that an incomplete message does
/// not delay the shutdown until the router is killed.
pub(super) const MESSAGE_TIMEOUT_DRAINING: Micros = 300_000;
/// Linger time of a client whose session has ended.
const LINGER_TIMEOUT: Micros = 1_000_000;

impl Front {
    /// Starts the shutdown: closes the listeners and all idle clients. The other clients are closed once their answers are
    /// sent, or their first request has not arrived in time.
    pub fn drain(&mut self, schedule: ShutdownSchedule, now: Time, engine: &mut Engine) {
        self.context.shutdown.get_or_insert(schedule);
        self.close_listeners(now, engine);
        for key in self.client_keys() {
            self.drain_client(key, now, engine);
        }
    }

    /// Reads nothing more from clients. Messages that were read completely are still answered, and each connection closes
    /// once its answers are sent.
    pub fn stop_reading(&mut self, now: Time, engine: &mut Engine) {
        for key in self.client_keys() {
            let client = self.clients.get_mut(key).filter(|c| !c.is_lingering());
            let Some(client) = client else {
                continue;
            };
            debug!(
                client = key.number(),
                pending = client.pending.len(),
                unread = client.stream.unread().len(),
                unsent = client.stream.unsent(),
                "nothing more is read from a client"
            );
            client.is_input_closed = true;
            self.mark(key);
        }
        self.pump(now, engine);
    }

    fn client_keys(&self) -> Vec<Key> {
        self.clients.iter().map(|(key, _)| key).collect()
    }

    /// Returns true if the shutdown that [`Front::drain`] started is complete: no client is connected, and no listener is
    /// open.
    pub fn is_drained(&self) -> bool {
        let mut listeners = self.context.listeners.iter();
        self.context.is_draining()
            && self.clients.is_empty()
            && listeners.all(|listener| listener.socket.is_none())
    }

    /// Closes the listeners once all connections that wait at them have been accepted, since the system resets those that
    /// still wait when a listener is closed.
    pub(super) fn close_listeners(&mut self, now: Time, engine: &mut Engine) {
        let give_up_at = now + FIRST_REQUEST_TIMEOUT_DRAINING;
        let give_up_at = self.context.before_last_answers(give_up_at);
        let give_up_at = *self.accept_until.get_or_insert(give_up_at);
        let rounds = LISTEN_BACKLOG as u32 / MAX_ACCEPTS_PER_TURN;
        let backlog = (0..=rounds)
            .map(|_| self.accept_from_all(now, engine))
            .find(|backlog| *backlog != Backlog::Waiting);
        // After a pause, `resume_accepting` calls this function again.
        if backlog == Some(Backlog::Paused) && now < give_up_at {
            return;
        }
        for listener in &mut self.context.listeners {
            listener.socket = None;
        }
    }

    /// Shortens the timeouts of a client for the shutdown, or evicts it if it is idle.
    fn drain_client(&mut self, key: Key, now: Time, engine: &mut Engine) {
        let Some(client) = self.clients.get_mut(key) else {
            return;
        };
        // A lingering client is not evicted: a second eviction would close it with unread bytes.
        if let Some(linger) = &mut client.linger {
            linger.end_by(self.context.linger_end(now, LINGER_TIMEOUT));
            return self.reschedule(key, engine);
        }
        client.message_timeout = MESSAGE_TIMEOUT_DRAINING;
        if !client.has_requested {
            let draining_deadline = now + FIRST_REQUEST_TIMEOUT_DRAINING;
            client.first_request_deadline = client.first_request_deadline.min(draining_deadline);
        } else if client.is_idle() {
            self.evict(key, CloseReason::Shutdown, now, engine);
            return;
        }
        self.reschedule(key, engine);
    }
}

impl Client {
    /// Performs the lingering close of a client to which everything has been sent: closes the router's side, and reads and
    /// drops what the client sends. Returns true once the connection can be closed.
    pub(super) fn advance_linger(&mut self, context: &mut Context, key: Key, now: Time) -> bool {
        if !self.is_lingering() {
            let until = context.linger_end(now, LINGER_TIMEOUT);
            self.begin_linger(key, CloseReason::SessionEnded, now, until);
        }
        if let Some(peer) = self.read_late_cancel(context) {
            return peer != PeerState::Open;
        }
        let Some(linger) = &mut self.linger else {
            return true;
        };
        match self.stream.discard() {
            Ok(bytes) => {
                linger.bytes_left = linger.bytes_left.saturating_sub(bytes);
                linger.bytes_left == 0
            }
            Err(_) => true,
        }
    }
}
