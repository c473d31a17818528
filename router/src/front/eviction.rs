//! Eviction: which clients are closed when the slots for clients run out.
//!
//! Without eviction, clients that stay connected without sending requests would leave no slots for others. An evicted client
//! gives up its slot at once, but keeps its file descriptor while it lingers, until the client has closed its side.

use super::Front;
use super::client::Client;
use super::close_reason::CloseReason;
use crate::net::stream::PeerState;
use plovercove::{Micros, Time};
use plovercove_engine::{Deadline, Engine, Key};
use std::collections::BTreeSet;
use tracing::debug;

/// Idle clients may occupy one slot in this number of slots.
const IDLE_SLOTS_DIVISOR: usize = 3;
/// Maximum number of clients that are examined to evict one of them.
const MAX_EVICTION_CANDIDATES: usize = 8;
/// Linger time of a client that is closed between requests. With the longer linger time of other clients, those that never
/// close their side would delay the shutdown until the router is killed.
pub(super) const IDLE_LINGER_TIMEOUT: Micros = 300_000;
/// Time for which a client beyond the limit keeps its descriptor without having sent anything, although other connections
/// wait at the listener. It is short because one of those may be a cancel request: no later than 100 ms after the client
/// has sent it, the router has to stop sending the cancelled request to nodes.
pub(super) const MIN_TIME_BEYOND_LIMIT: Micros = 40_000;

/// Why a client may be evicted. The order of the variants is the order of eviction.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum EvictionKind {
    /// The client lingers: its session has ended, and its bytes are dropped until it closes.
    Lingering,
    /// The client has no slot and has not sent its first packet.
    Rejecting,
    /// The client lingers, and its last answer is still in the system's socket buffer.
    Delivering,
    /// The client has not sent a request yet.
    NoRequestYet,
    /// The client is between requests.
    Idle,
}

impl EvictionKind {
    const COUNT: usize = 5;

    /// Returns true if clients of this kind occupy no slot.
    fn is_beyond_limit(self) -> bool {
        self <= EvictionKind::Delivering
    }
}

/// A client's position in the eviction order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct EvictionRank {
    pub(super) kind: EvictionKind,
    /// Time of the client's last progress.
    pub(super) since: Time,
}

/// An entry of the eviction order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct EvictionEntry {
    pub(super) rank: EvictionRank,
    pub(super) client: Key,
}

/// The clients that may be evicted, in the order of eviction.
#[derive(Debug, Default)]
pub(super) struct EvictionOrder {
    entries: BTreeSet<EvictionEntry>,
    /// Number of clients of each kind.
    counts: [usize; EvictionKind::COUNT],
}

impl EvictionOrder {
    pub(super) fn first(&self) -> Option<EvictionEntry> {
        self.entries.first().copied()
    }

    /// Iterates from the first client of a kind on, through the later kinds too.
    pub(super) fn starting_at(&self, kind: EvictionKind) -> impl Iterator<Item = EvictionEntry> {
        let first = EvictionEntry {
            rank: EvictionRank { kind, since: 0 },
            client: Key::from_number(0),
        };
        self.entries.range(first..).copied()
    }

    pub(super) fn count(&self, kind: EvictionKind) -> usize {
        self.counts[kind as usize]
    }

    /// Returns the number of clients without a slot.
    pub(super) fn beyond_limit(&self) -> usize {
        self.count(EvictionKind::Lingering)
            + self.count(EvictionKind::Rejecting)
            + self.count(EvictionKind::Delivering)
    }

    fn replace(&mut self, client: Key, old: Option<EvictionRank>, new: Option<EvictionRank>) {
        if let Some(rank) = old {
            self.counts[rank.kind as usize] -= 1;
            self.entries.remove(&EvictionEntry { rank, client });
        }
        if let Some(rank) = new {
            self.counts[rank.kind as usize] += 1;
            self.entries.insert(EvictionEntry { rank, client });
        }
    }
}

impl Front {
    /// Returns the number of clients that occupy a slot: all but those beyond the limit.
    pub(super) fn slots_in_use(&self) -> usize {
        self.clients.len() - self.eviction_order.beyond_limit()
    }

    /// Updates a client's deadline and its position in the eviction order.
    pub(super) fn reschedule(&mut self, key: Key, engine: &mut Engine) {
        let Some(client) = self.clients.get_mut(key) else {
            return;
        };
        // A check that is too early schedules the next one when it falls due. Only a check that is too late has to be moved.
        let deadline = client.deadline(&self.context);
        let is_before_check =
            |deadline_at: Time| client.next_check.is_none_or(|check| deadline_at < check);
        if deadline.is_some_and(is_before_check) {
            let check = &mut client.next_check;
            engine.deadlines.set(check, Deadline::Client(key), deadline);
        }
        let new = client.current_eviction_rank();
        if new != client.eviction_rank {
            let old = std::mem::replace(&mut client.eviction_rank, new);
            let listener = client.listener;
            self.move_in_eviction_order(key, listener, old, new);
        }
    }

    fn move_in_eviction_order(
        &mut self,
        key: Key,
        listener: usize,
        old: Option<EvictionRank>,
        new: Option<EvictionRank>,
    ) {
        let is_beyond = |rank: Option<EvictionRank>| rank.is_some_and(|r| r.kind.is_beyond_limit());
        let listener = &mut self.context.listeners[listener];
        listener.slots_in_use += usize::from(is_beyond(old));
        listener.slots_in_use -= usize::from(is_beyond(new));
        self.eviction_order.replace(key, old, new);
    }

    /// Returns true if a client beyond the limit may be closed to free its descriptor for a waiting connection: it has been
    /// sent its error, or has had its minimum time to send its first packet or to receive its last answer.
    pub(super) fn may_close_beyond_limit(&self, now: Time) -> bool {
        self.eviction_order
            .first()
            .is_some_and(|entry| match entry.rank.kind {
                EvictionKind::Lingering => true,
                EvictionKind::Rejecting => entry.rank.since + MIN_TIME_BEYOND_LIMIT <= now,
                EvictionKind::Delivering => entry.rank.since + IDLE_LINGER_TIMEOUT <= now,
                EvictionKind::NoRequestYet | EvictionKind::Idle => false,
            })
    }

    /// Closes the first client beyond the limit.
    pub(super) fn close_beyond_limit(&mut self, now: Time, engine: &mut Engine) {
        let Some(first) = self.eviction_order.first() else {
            return;
        };
        if first.rank.kind == EvictionKind::Rejecting && !self.prepare_eviction(first.client, now) {
            // Its first packet has just arrived; it may be a cancel request, so it is processed before the close.
            self.pump(now, engine);
            if let Some(client) = self.clients.get_mut(first.client) {
                client.send_close_notice();
            }
        }
        self.close(first.client, CloseReason::DescriptorNeeded, engine);
    }

    /// Evicts the clients that have been idle longest, if there are too many idle ones.
    pub(super) fn evict_excess_idle(&mut self, now: Time, engine: &mut Engine) {
        let max_idle = self.max_clients / IDLE_SLOTS_DIVISOR;
        let excess = self
            .eviction_order
            .count(EvictionKind::Idle)
            .saturating_sub(max_idle);
        let idle = self.eviction_order.starting_at(EvictionKind::Idle);
        let oldest: Vec<Key> = idle.take(excess).map(|entry| entry.client).collect();
        for key in oldest {
            self.evict(key, CloseReason::SlotNeeded, now, engine);
        }
    }

    /// Evicts one client to free its slot. A client from which bytes have just arrived stays, and the next one is tried.
    pub(super) fn evict_one(&mut self, now: Time, engine: &mut Engine) {
        let candidates = self.eviction_order.starting_at(EvictionKind::NoRequestYet);
        let candidates: Vec<Key> = candidates
            .take(MAX_EVICTION_CANDIDATES)
            .map(|entry| entry.client)
            .collect();
        for key in candidates {
            if self.evict(key, CloseReason::SlotNeeded, now, engine) {
                return;
            }
        }
    }

    /// Evicts a client between requests, unless bytes have just arrived from it. Returns true if it was evicted. It loses its
    /// slot and lingers: if it were closed at once, bytes that cross the close would reset the connection and destroy an
    /// answer on its way.
    pub(super) fn evict(
        &mut self,
        key: Key,
        reason: CloseReason,
        now: Time,
        engine: &mut Engine,
    ) -> bool {
        if !self.prepare_eviction(key, now) {
            return false;
        }
        let Some(client) = self.clients.get_mut(key) else {
            return false;
        };
        if client.is_lingering() || client.stream.unsent() > 0 {
            self.close(key, reason, engine);
            return true;
        }
        let until = self.context.linger_end(now, IDLE_LINGER_TIMEOUT);
        client.begin_linger(key, reason, now, until);
        self.mark(key);
        self.reschedule(key, engine);
        true
    }

    /// Prepares the close of a client between requests. Returns false if new bytes have arrived from it and it has not closed
    /// its side; then it must not be closed. A client that has not sent a request receives an error.
    fn prepare_eviction(&mut self, key: Key, now: Time) -> bool {
        let Some(client) = self.clients.get_mut(key) else {
            return false;
        };
        if !client.is_lingering() && client.has_new_bytes(&mut self.context, key, now) {
            self.mark(key);
            return false;
        }
        client.send_close_notice();
        true
    }

    /// Closes a client's connection. All other functions close connections through this one.
    pub(super) fn close(&mut self, key: Key, reason: CloseReason, engine: &mut Engine) {
        let Some(mut client) = self.clients.remove(key) else {
            return;
        };
        if client.is_lingering() {
            // Bytes that have arrived since the last read would reset the connection, so they are read first. Nothing can be
            // done about those that arrive later.
            client.read_late_cancel(&mut self.context);
            let _ = client.stream.discard();
        }
        let unanswered = client.pending.iter().filter(|p| p.request.is_some());
        debug!(
            client = key.number(),
            reason = reason.label(),
            unanswered = unanswered.count(),
            unsent = client.stream.unsent(),
            "connection of a client ended"
        );
        let check = &mut client.next_check;
        engine.deadlines.set(check, Deadline::Client(key), None);
        self.move_in_eviction_order(key, client.listener, client.eviction_rank.take(), None);
        let listener = &mut self.context.listeners[client.listener];
        listener.slots_in_use -= 1;
        if let Some(id) = client.cancel_id {
            listener.cancel_keys.remove(id);
        }
        for forwarded in client.pending.into_iter().filter_map(|p| p.request) {
            engine.client_gone(forwarded.request);
        }
    }
}

impl Client {
    /// Checks before a close whether bytes have arrived, since a request in the system's socket buffer would be lost. Bytes
    /// that were read earlier in this turn and are not processed yet count too.
    fn has_new_bytes(&mut self, context: &mut super::Context, key: Key, now: Time) -> bool {
        let unread_before = self.stream.unread().len();
        if self.is_marked && unread_before > 0 {
            return true;
        }
        let peer = self.receive(context, key, now);
        let has_answer = !self.has_nothing_pending();
        peer == PeerState::Open && (has_answer || self.stream.unread().len() > unread_before)
    }
}
