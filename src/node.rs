//! What one router knows of one database node. Each concern keeps its own state in its own type.

use crate::api::{Endpoint, NodeId, RequestId, Time};
use crate::concurrency_limit::ConcurrencyLimit;
use crate::freshness::ReplicationPosition;
use crate::latency::{Slowness, may_still_answer};
use crate::load::ExternalLoad;
use crate::outlier_detection::OutlierState;
use crate::random::salted_hash;
use crate::replica_selection::RecentReads;
use crate::slow_start::TurnSpending;
use std::collections::BTreeMap;

/// One attempt of one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct AttemptKey {
    pub(crate) request: RequestId,
    pub(crate) attempt: u32,
}

/// An attempt that a node has not ended, with what was expected of it when it was sent.
#[derive(Clone, Copy, Debug)]
pub(crate) struct InFlight {
    pub(crate) sent_at: Time,
    /// Its cost after the discount for similarity (us).
    pub(crate) cost: f64,
    /// Mean latency of its class at this node (us).
    pub(crate) expected_latency: f64,
}

/// A database node, as one router sees it.
#[derive(Clone, Debug)]
pub(crate) struct Node {
    /// Its entry in the endpoint list.
    pub(crate) endpoint: Endpoint,
    /// When this router was told that it drains or is removed; none while it may get requests.
    pub(crate) closed_at: Option<Time>,
    /// No list names it any more.
    pub(crate) is_removed: bool,
    pub(crate) position: ReplicationPosition,
    /// When it denied being primary.
    pub(crate) denied_primary_at: Option<Time>,
    pub(crate) recent_reads: RecentReads,
    pub(crate) in_flight: BTreeMap<AttemptKey, InFlight>,
    pub(crate) slowness: Slowness,
    pub(crate) outlier: OutlierState,
    pub(crate) limit: ConcurrencyLimit,
    /// It turned work away as full, or cut a connection: it gets nothing until then.
    pub(crate) backoff_until: Time,
    /// When this router last asked it for a report.
    pub(crate) checked_at: Time,
    /// When the newest report was asked for, by whomever.
    pub(crate) reported_at: Time,
    /// A connection to it is open, as far as the decisions can tell.
    pub(crate) is_connected: bool,
    /// Its table of connections was full: until then connections to it are closed after use.
    pub(crate) connections_scarce_until: Time,
    pub(crate) external_load: ExternalLoad,
    /// Its place in this router's own order of nodes, which differs from router to router.
    pub(crate) router_order: u64,
    /// How much of its weight counts for the request that is being placed, by the locality policy; none: closed to it.
    pub(crate) locality_share: Option<f64>,
    pub(crate) turn_spending: TurnSpending,
}

impl Node {
    /// A node that a list names for the first time.
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
            connections_scarce_until: now,
            external_load: ExternalLoad::default(),
            locality_share: None,
            turn_spending: TurnSpending::default(),
        }
    }

    /// Its process is a new one: what the old one had cached, and what was held against it, is gone.
    pub(crate) fn restart(&mut self, router_count: u32, now: Time) {
        self.recent_reads = RecentReads::default();
        self.outlier.restart(now);
        self.slowness = Slowness::new(now);
        self.limit.reset(router_count);
        self.connections_scarce_until = now;
    }

    pub(crate) fn id(&self) -> &NodeId {
        &self.endpoint.node
    }

    /// It may get requests, as far as the endpoint list goes.
    pub(crate) fn is_open(&self) -> bool {
        self.closed_at.is_none()
    }

    /// It is open and not ejected.
    pub(crate) fn is_serving(&self) -> bool {
        self.is_open() && !self.outlier.is_ejected
    }

    /// Attempts that may still be answered.
    pub(crate) fn live_attempts(&self, now: Time) -> impl Iterator<Item = &InFlight> {
        self.in_flight
            .values()
            .filter(move |a| may_still_answer(now, a.sent_at, a.expected_latency))
    }

    /// Whether another attempt fits within a share of its concurrency limit.
    pub(crate) fn has_room(&self, now: Time, share_of_limit: f64) -> bool {
        let in_flight = self.live_attempts(now).count();
        self.limit.has_room(in_flight, share_of_limit)
    }

    /// Whether it may get an attempt now, whatever its data.
    pub(crate) fn is_usable(&self, now: Time) -> bool {
        self.is_serving() && now >= self.backoff_until && self.has_room(now, 1.0)
    }

    /// It is ejected, and one half-open trial may go to it now.
    pub(crate) fn accepts_trial(&self, now: Time) -> bool {
        let is_idle = self.live_attempts(now).next().is_none();
        self.is_open() && self.outlier.trial_is_due(now) && is_idle
    }
}
