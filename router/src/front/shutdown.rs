//! Graceful shutdown: listeners close once all who wait at them are taken in, idle clients linger, what has been taken on is
//! finished.

use super::Context;
use super::Front;
use super::accept::{Backlog, LISTEN_BACKLOG, MAX_ACCEPTS_PER_TURN};
use super::client::Client;
use crate::net::stream::PeerState;
use plovercove::{Micros, Time};
use plovercove_engine::{Engine, Key};

/// From connecting until the first request, for one that came at the end or for which there is no place. A connection that
/// was taken in just before the listener closed must not be closed with its request on the way; and a few that say nothing,
/// beyond the limit, must not keep all others from being told.
pub(super) const FIRST_REQUEST_TIMEOUT_DRAINING: Micros = 300_000;
/// From the first byte of a message to its last, while the router finishes: one half-sent message must not hold up its end
/// until it is killed.
pub(super) const MESSAGE_TIMEOUT_DRAINING: Micros = 300_000;
/// A client whose session was ended lingers for so long.
const LINGER_TIMEOUT: Micros = 1_000_000;

impl Front {
    /// Closes the listeners and all idle clients; the others are closed once they are answered, or have not asked in time.
    pub fn drain(&mut self, now: Time, engine: &mut Engine) {
        self.is_draining = true;
        self.close_listeners(now, engine);
        let all: Vec<Key> = self.clients.iter().map(|(key, _)| key).collect();
        for key in all {
            self.drain_client(key, now, engine);
        }
    }

    /// Whether all that [`Front::drain`] began is over: nobody is connected, and nobody can come.
    pub fn is_drained(&self) -> bool {
        let mut listeners = self.context.listeners.iter();
        self.is_draining
            && self.clients.is_empty()
            && listeners.all(|listener| listener.socket.is_none())
    }

    /// Closes the listeners, once all who wait at them have been taken in: the system resets those whom a closed listener
    /// leaves waiting.
    pub(super) fn close_listeners(&mut self, now: Time, engine: &mut Engine) {
        let give_up_at = now + FIRST_REQUEST_TIMEOUT_DRAINING;
        let give_up_at = *self.accept_until.get_or_insert(give_up_at);
        let rounds = LISTEN_BACKLOG as u32 / MAX_ACCEPTS_PER_TURN;
        let backlog = (0..=rounds)
            .map(|_| self.accept_from_all(now, engine))
            .find(|backlog| *backlog != Backlog::Waiting);
        // Where accepting pauses it goes on here.
        if backlog == Some(Backlog::Paused) && now < give_up_at {
            return;
        }
        for listener in &mut self.context.listeners {
            listener.socket = None;
        }
    }

    fn drain_client(&mut self, key: Key, now: Time, engine: &mut Engine) {
        // Told once more to end, one that lingers would be closed with bytes unread.
        let client = self.clients.get_mut(key).filter(|c| !c.is_lingering());
        let Some(client) = client else {
            return;
        };
        client.message_timeout = MESSAGE_TIMEOUT_DRAINING;
        if !client.has_requested {
            let soon = now + FIRST_REQUEST_TIMEOUT_DRAINING;
            client.first_request_deadline = client.first_request_deadline.min(soon);
        } else if client.is_idle() {
            self.evict(key, now, engine);
            return;
        }
        self.reschedule(key, engine);
    }
}

impl Client {
    /// All has been said to a client that is to go: our end is closed and the other read; true once that is over.
    pub(super) fn linger_is_over(&mut self, context: &mut Context, now: Time) -> bool {
        if !self.is_lingering() {
            self.begin_linger(now, LINGER_TIMEOUT);
        }
        if let Some(peer) = self.hear_late_cancel(context) {
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
