//! Places: who is closed when there are more clients than the router has room for.
//!
//! It guards against clients that hold connections and ask for nothing: they would leave no place for those that do. Those
//! that go first are told so and hold their descriptor, but no place, until the other side has closed.

use super::Front;
use super::client::Client;
use crate::net::stream::PeerState;
use plovercove::{Micros, Time};
use plovercove_engine::{Deadline, Engine, Key};
use std::collections::BTreeSet;

/// One place in so many may be held by clients between requests.
const IDLE_PLACES_DIVISOR: usize = 3;
/// Clients that are looked at for one that gives up its place.
const MAX_EVICTION_LOOKS: usize = 8;
/// A client that is closed between requests lingers for so long. With the time of others, clients that never close would
/// hold up the router's end until it is killed.
pub(super) const IDLE_LINGER_TIMEOUT: Micros = 300_000;
/// One beyond the limit that has said nothing keeps its descriptor for so long though another waits at the listener. A
/// cancel that waits there must not be heard too late: its request may be sent on for no longer than 100 ms.
pub(super) const MIN_TIME_BEYOND_LIMIT: Micros = 40_000;

/// Why a client could be closed, in the order in which they are when places run out.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum EvictionKind {
    /// Told to go, and only read until it does.
    Lingering,
    /// Beyond the limit, and it has not said who it is.
    Rejecting,
    /// Told to go, and its last answer has not left the system's buffer.
    Delivering,
    /// It has asked for nothing yet.
    NoRequestYet,
    /// Between requests.
    Idle,
}

impl EvictionKind {
    const COUNT: usize = 5;

    /// It holds no place any more, or none yet.
    fn is_beyond_limit(self) -> bool {
        self <= EvictionKind::Delivering
    }
}

/// A client's place in the order of eviction.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct EvictionRank {
    pub(super) kind: EvictionKind,
    /// When bytes last moved on.
    pub(super) since: Time,
}

/// A client in the order of eviction.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct EvictionEntry {
    pub(super) rank: EvictionRank,
    pub(super) client: Key,
}

/// The clients that could be closed, in the order in which they would be.
#[derive(Debug, Default)]
pub(super) struct EvictionOrder {
    entries: BTreeSet<EvictionEntry>,
    /// How many there are of each kind.
    counts: [usize; EvictionKind::COUNT],
}

impl EvictionOrder {
    pub(super) fn first(&self) -> Option<EvictionEntry> {
        self.entries.first().copied()
    }

    /// From the first of a kind on, those of later kinds behind.
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

    /// How many hold no place.
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
    /// How many clients hold a place: all but those beyond the limit.
    pub(super) fn placed_clients(&self) -> usize {
        self.clients.len() - self.eviction_order.beyond_limit()
    }

    /// Brings a client's deadline and its place in the order of eviction up to date.
    pub(super) fn reschedule(&mut self, key: Key, engine: &mut Engine) {
        let Some(client) = self.clients.get_mut(key) else {
            return;
        };
        // A check that is too early finds the next when it falls due; only one that is too late must be moved at once.
        let deadline = client.deadline();
        let is_too_late = |at: Time| client.next_check.is_none_or(|check| at < check);
        if deadline.is_some_and(is_too_late) {
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
        listener.placed_clients += usize::from(is_beyond(old));
        listener.placed_clients -= usize::from(is_beyond(new));
        self.eviction_order.replace(key, old, new);
    }

    /// Whether one of those beyond the limit may give up its descriptor to one that waits at a listener: it has been told,
    /// or has had its time to say who it is.
    pub(super) fn may_displace(&self, now: Time) -> bool {
        self.eviction_order
            .first()
            .is_some_and(|entry| match entry.rank.kind {
                EvictionKind::Lingering => true,
                EvictionKind::Rejecting => entry.rank.since + MIN_TIME_BEYOND_LIMIT <= now,
                EvictionKind::Delivering => entry.rank.since + IDLE_LINGER_TIMEOUT <= now,
                EvictionKind::NoRequestYet | EvictionKind::Idle => false,
            })
    }

    /// Closes the first of those beyond the limit.
    pub(super) fn displace(&mut self, now: Time, engine: &mut Engine) {
        let Some(first) = self.eviction_order.first() else {
            return;
        };
        if first.rank.kind == EvictionKind::Rejecting && !self.may_evict(first.client, now) {
            // It has just spoken: it may want a cancel.
            self.pump(now, engine);
            if let Some(client) = self.clients.get_mut(first.client) {
                client.announce_close();
            }
        }
        self.close(first.client, engine);
    }

    /// Closes the clients that have been idle for longest, where too many are.
    pub(super) fn evict_excess_idle(&mut self, now: Time, engine: &mut Engine) {
        let most = self.max_clients / IDLE_PLACES_DIVISOR;
        let excess = self
            .eviction_order
            .count(EvictionKind::Idle)
            .saturating_sub(most);
        let idle = self.eviction_order.starting_at(EvictionKind::Idle);
        let oldest: Vec<Key> = idle.take(excess).map(|entry| entry.client).collect();
        for key in oldest {
            self.evict(key, now, engine);
        }
    }

    /// Makes room for one more client. One that has just spoken stays, and the next one goes.
    pub(super) fn evict_one(&mut self, now: Time, engine: &mut Engine) {
        let placed = self.eviction_order.starting_at(EvictionKind::NoRequestYet);
        let first: Vec<Key> = placed
            .take(MAX_EVICTION_LOOKS)
            .map(|entry| entry.client)
            .collect();
        for key in first {
            if self.evict(key, now, engine) {
                return;
            }
        }
    }

    /// Ends a client between requests, unless something has just come; whether it did. It keeps its descriptor while it
    /// lingers, and no place: closed at once, what crosses the close would reset the connection, and take an answer on its
    /// way with it.
    pub(super) fn evict(&mut self, key: Key, now: Time, engine: &mut Engine) -> bool {
        if !self.may_evict(key, now) {
            return false;
        }
        let Some(client) = self.clients.get_mut(key) else {
            return false;
        };
        if client.is_lingering() || client.stream.unsent() > 0 {
            self.close(key, engine);
            return true;
        }
        client.begin_linger(now, IDLE_LINGER_TIMEOUT);
        self.mark(key);
        self.reschedule(key, engine);
        true
    }

    /// Whether a client between requests may be ended: nothing has just come, or its end behind it. One that has not asked
    /// is told.
    fn may_evict(&mut self, key: Key, now: Time) -> bool {
        let Some(client) = self.clients.get_mut(key) else {
            return false;
        };
        if !client.is_lingering() && client.has_just_spoken(&mut self.context, key, now) {
            self.mark(key);
            return false;
        }
        client.announce_close();
        true
    }

    /// The one place where a client's connection is given back.
    pub(super) fn close(&mut self, key: Key, engine: &mut Engine) {
        let Some(mut client) = self.clients.remove(key) else {
            return;
        };
        if client.is_lingering() {
            // What has come since the last look would reset the connection. The rest of it is the other side's.
            client.hear_late_cancel(&mut self.context);
            let _ = client.stream.discard();
        }
        let check = &mut client.next_check;
        engine.deadlines.set(check, Deadline::Client(key), None);
        self.move_in_eviction_order(key, client.listener, client.eviction_rank.take(), None);
        let listener = &mut self.context.listeners[client.listener];
        listener.placed_clients -= 1;
        if let Some(id) = client.cancel_id {
            listener.cancel_keys.remove(id);
        }
        for forwarded in client.pending.into_iter().filter_map(|p| p.request) {
            engine.client_gone(forwarded.request);
        }
    }
}

impl Client {
    /// A last look before it is closed: a request that is unread in the system's buffer would be lost. One that this turn has
    /// heard already says nothing more, and must not be closed with its request unread.
    fn has_just_spoken(&mut self, context: &mut super::Context, key: Key, now: Time) -> bool {
        let unread_before = self.stream.unread().len();
        if self.is_marked && unread_before > 0 {
            return true;
        }
        let peer = self.receive(context, key, now);
        peer == PeerState::Open && self.stream.unread().len() > unread_before
    }
}
