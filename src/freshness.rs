//! Freshness: which replica may serve which read.
//!
//! It guards against stale reads: one that misses what its own session wrote, or that is older than its class allows. A
//! replica's position is the moment up to which it has applied the primary's log. Where nodes check reads themselves, a
//! position may be extrapolated and a mistake costs one attempt; where they do not, only a position that was told counts.

use crate::api::{Access, Micros, NodeId, ReplicaCheck, RequestId, RequestInfo, Settings, Time};
use crate::balancer::Balancer;
use crate::node::Node;
use crate::request::Request;
use std::collections::BTreeMap;
use std::sync::Arc;

/// A session's token may have been rounded by up to this.
const TOKEN_ROUNDING: Micros = 1_000;
/// Where no class is bounded, data older than this is of use only to reads that any data will do for.
const DEFAULT_STALE_AGE: Micros = 1_000_000;
/// The table of sessions' writes is pruned when its size is a multiple of this.
const PRUNE_EVERY_SESSIONS: usize = 1_024;

/// How far a node has applied the primary's log, as far as this router was told.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ReplicationPosition {
    /// Every commit up to here is applied; 0 while nothing was told.
    pub(crate) applied_up_to: Time,
    /// When that was learned.
    pub(crate) updated_at: Time,
}

impl ReplicationPosition {
    pub(crate) fn unknown(now: Time) -> Self {
        ReplicationPosition {
            applied_up_to: 0,
            updated_at: now,
        }
    }

    pub(crate) fn is_unknown(&self) -> bool {
        self.applied_up_to == 0
    }

    /// How far behind it was at its last word; none while nothing was told.
    pub(crate) fn last_lag(&self) -> Option<Micros> {
        (!self.is_unknown()).then(|| self.updated_at.saturating_sub(self.applied_up_to))
    }

    /// A position was told. One that stands still counts too: otherwise a replica that is stuck would seem to keep its lag.
    pub(crate) fn observe(&mut self, applied_up_to: Time, asked_at: Time) {
        if applied_up_to >= self.applied_up_to {
            self.applied_up_to = applied_up_to;
            self.updated_at = self.updated_at.max(asked_at);
        }
    }

    /// The position by now, if the lag holds still.
    fn extrapolated(&self, now: Time) -> Time {
        self.applied_up_to + now.saturating_sub(self.updated_at)
    }
}

/// The age beyond which data is of use only to reads that any data will do for.
pub(crate) fn stale_age(settings: &Settings) -> Micros {
    let bound = |access: Access| match access {
        Access::Bounded(bound) => Some(bound),
        _ => None,
    };
    let bounds = settings
        .classes
        .iter()
        .filter_map(|class| bound(class.access));
    bounds.max().unwrap_or(DEFAULT_STALE_AGE)
}

/// The last write of each session, where clients carry no tokens and the router must remember.
#[derive(Debug, Default)]
pub(crate) struct SessionWrites {
    committed_at: BTreeMap<Arc<str>, Time>,
}

impl SessionWrites {
    fn last_of(&self, session: &str) -> Option<Time> {
        self.committed_at.get(session).copied()
    }

    /// A write of a session was answered. `applied_everywhere` is what all open nodes have applied: what is no newer needs
    /// no token any more. It is worked out only when the table is pruned.
    pub(crate) fn remember(
        &mut self,
        session: Arc<str>,
        committed_at: Time,
        applied_everywhere: impl FnOnce() -> Option<Time>,
    ) {
        let last = self.committed_at.entry(session).or_default();
        *last = committed_at.max(*last);
        if self.committed_at.len().is_multiple_of(PRUNE_EVERY_SESSIONS) {
            let applied = applied_everywhere();
            self.committed_at.retain(|_, at| Some(*at) > applied);
        }
    }
}

impl Balancer {
    /// The position that a replica must have reached to serve a request; none where any will do, or its age decides.
    pub(crate) fn required_position(&self, info: &RequestInfo) -> Option<Time> {
        match self.settings.classes[info.class].access {
            Access::Latest => Some(self.now),
            Access::OwnWrites if self.settings.clients_carry_tokens => info
                .last_write_age
                .map(|age| self.now.saturating_sub(age) + TOKEN_ROUNDING),
            Access::OwnWrites => {
                let session = info.session.as_ref()?;
                self.session_writes.last_of(session)
            }
            Access::Write | Access::Bounded(_) | Access::Any => None,
        }
    }

    /// Whether a replica's data will do for a read: proved where nodes check nothing, expected where they do.
    pub(crate) fn is_fresh_enough(&self, now: Time, node: &Node, request: &Request) -> bool {
        let required = match self.settings.classes[request.info.class].access {
            Access::Write => return false,
            Access::Any => return true,
            // Ages are told in whole ticks.
            Access::Bounded(bound) => (now + self.settings.tick).saturating_sub(bound),
            Access::OwnWrites | Access::Latest => request.required_position.unwrap_or(0),
        };
        let node_waits = match self.settings.replica_check {
            ReplicaCheck::None => return node.position.applied_up_to >= required,
            ReplicaCheck::Reject => 0,
            ReplicaCheck::Wait(most) => most / 2,
        };
        // A replica that was not heard of yet may be tried, but one that warms up has an old copy.
        if node.position.is_unknown() {
            return self.warm_share(node) >= 1.0;
        }
        node.position.extrapolated(now) + node_waits >= required
    }

    /// Whether a send that waited for its connection may still leave: list, roles or data may have changed by then.
    ///
    /// `now` is the moment of the first byte (us), `request` and `node` those of the send.
    pub fn is_send_still_valid(&self, now: Time, request: RequestId, node: &NodeId) -> bool {
        let (Some(request), Some(node)) = (self.requests.get(&request), self.nodes.get(node))
        else {
            return false;
        };
        let is_primary = self.primary(request.group()) == Some(node.id());
        let has_the_data =
            self.is_write(request) || is_primary || self.is_fresh_enough(now, node, request);
        node.is_open() && has_the_data
    }
}
