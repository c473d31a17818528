//! The state that one router keeps about one database node. Each concern keeps its part in a type of its own module.

use crate::api::{Endpoint, NodeId, RequestId, Time};
use crate::concurrency_limit::ConcurrencyLimit;
use crate::freshness::ReplicationPosition;
use crate::latency::{Slowness, may_still_answer};
use crate::load::ExternalLoad;
use crate::outlier_detection::OutlierState;
use crate::random::salted_hash;
use crate::replica_selection::RecentReads;
use crate::slow_start::SlotSpending;
use std::collections::BTreeMap;

/// Identifies one attempt of one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct AttemptKey {
    pub(crate) request: RequestId,
    pub(crate) attempt: u32,
}

/// An attempt in flight at a node, with the estimates made when it was sent.
#[derive(Clone, Copy, Debug)]
pub(crate) struct InFlight {
    pub(crate) sent_at: Time,
    /// Its estimated cost after the discount for similarity (us).
    pub(crate) cost: f64,
    /// Mean latency of its class at this node (us).
    pub(crate) expected_latency: f64,
}

/// A database node, as one router sees it.
#[derive(Clone, Debug)]
pub(crate) struct Node {
    /// Its entry in the endpoint list.
    pub(crate) endpoint: Endpoint,
    /// Time at which this router learned that the node is draining or removed; `None` while it may get requests.
    pub(crate) closed_at: Option<Time>,
    /// Whether the endpoint list no longer names the node.
    pub(crate) is_removed: bool,
    pub(crate) position: ReplicationPosition,
    /// Time at which the node last denied being primary.
    pub(crate) denied_primary_at: Option<Time>,
    pub(crate) recent_reads: RecentReads,
    pub(crate) in_flight: BTreeMap<AttemptKey, InFlight>,
    pub(crate) slowness: Slowness,
    pub(crate) outlier: OutlierState,
    pub(crate) limit: ConcurrencyLimit,
    /// Time until which the node gets no requests, because its queue was full or it broke a connection.
    pub(crate) backoff_until: Time,
    /// Time at which this router last polled the node for its load report.
    pub(crate) checked_at: Time,
    /// Time at which the newest load report was requested, by any router.
    pub(crate) reported_at: Time,
    /// Whether a connection to the node is open, as far as the decisions know.
    pub(crate) is_connected: bool,
    /// Time until which connections to the node are closed after use, because its connection table was full.
    pub(crate) close_after_use_until: Time,
    pub(crate) external_load: ExternalLoad,
    /// Sort key in this router's own order of nodes, which differs from router to router.
    pub(crate) router_order: u64,
    /// The share of the node's weight that the locality policy allows for the request that is being placed; `None` if
    /// the request may not use the node.
    pub(crate) locality_share: Option<f64>,
    pub(crate) slot_spending: SlotSpending,
}

impl Node {
    /// Creates the state of a node that is listed for the first time.
    pub(crate) fn new(endpoint: Endpoint, router_index: u32, router_count: u32, now: Time) -> Self {
        Node {
            router_order: salted_hash(&endpoint.node, router_index),
            endpoint,
            closed_at: None,
            is_removed: false,
            position: ReplicationPosition::unknown(now),
            denied_primary_at: None,
            recent_reads: RecentReads::default(),
            in_flight: BTreeMap::new(),
            slowness: Slowness::new(now),
            outlier: OutlierState::new(now),
            limit: ConcurrencyLimit::new(router_count),
            backoff_until: 0,
            checked_at: 0,
            reported_at: 0,
            is_connected: false,
            close_after_use_until: now,
            external_load: ExternalLoad::default(),
            locality_share: None,
            slot_spending: SlotSpending::default(),
        }
    }

    /// Resets what depends on the node's process, which has restarted: its caches, outlier state, slowness and limits.
    pub(crate) fn restart(&mut self, router_count: u32, now: Time) {
        self.recent_reads = RecentReads::default();
        self.outlier.restart(now);
        self.slowness = Slowness::new(now);
        self.limit.reset(router_count);
        self.close_after_use_until = now;
    }

    pub(crate) fn id(&self) -> &NodeId {
        &self.endpoint.node
    }

    /// Returns whether the node may get requests according to the endpoint list.
    pub(crate) fn is_open(&self) -> bool {
        self.closed_at.is_none()
    }

    /// Returns whether the node is open and not ejected.
    pub(crate) fn is_serving(&self) -> bool {
        self.is_open() && !self.outlier.is_ejected
    }

    /// Returns the attempts in flight that may still be answered.
    pub(crate) fn live_attempts(&self, now: Time) -> impl Iterator<Item = &InFlight> {
        self.in_flight
            .values()
            .filter(move |a| may_still_answer(now, a.sent_at, a.expected_latency))
    }

    /// Returns whether another attempt fits within a share of the node's concurrency limit.
    pub(crate) fn has_room(&self, now: Time, share_of_limit: f64) -> bool {
        let in_flight = self.live_attempts(now).count();
        self.limit.has_room(in_flight, share_of_limit)
    }

    /// Returns whether the node may get an attempt now, regardless of its data.
    pub(crate) fn is_usable(&self, now: Time) -> bool {
        self.is_serving() && now >= self.backoff_until && self.has_room(now, 1.0)
    }

    /// Returns whether the node is ejected and may get one half-open trial now.
    pub(crate) fn accepts_trial(&self, now: Time) -> bool {
        let is_idle = self.live_attempts(now).next().is_none();
        self.is_open() && self.outlier.trial_is_due(now) && is_idle
    }
}
