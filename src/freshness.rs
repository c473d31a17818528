//! Freshness: which replica may serve which read.
//!
//! It prevents stale reads: reads that miss what their own session wrote, or whose data is older than their class
//! allows. A replica's position is the time up to which it has applied the primary's log. If nodes check reads
//! themselves, the router may extrapolate a position, and a mistake costs one attempt. If they do not, only a reported
//! position counts.

use crate::api::{
    Access, Micros, NodeId, ReplicaCheck, RequestId, RequestInfo, SessionId, Settings, Time,
};
use crate::balancer::Balancer;
use crate::node::Node;
use crate::request::Request;
use std::collections::BTreeMap;

/// Maximum rounding error of the age of a session's last write, as the client states it.
const TOKEN_ROUNDING: Micros = 1_000;
/// Age beyond which data is of use only to reads that accept data of any age, if no class has bounded staleness.
const DEFAULT_STALE_AGE: Micros = 1_000_000;
/// The table of sessions' writes is pruned when it has doubled since the last time, from this size on.
const MIN_SESSIONS_TO_PRUNE: usize = 1_024;
/// Maximum number of sessions whose writes are remembered.
const MAX_SESSIONS: usize = 65_536;

/// The position up to which a node has applied the primary's log, as far as this router knows.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ReplicationPosition {
    /// Every commit up to this time is applied; 0 while no position has been reported.
    pub(crate) applied_up_to: Time,
    /// Time at which this position was requested.
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

    /// Returns the lag at the time of the last report, or `None` if no position has been reported.
    pub(crate) fn last_lag(&self) -> Option<Micros> {
        (!self.is_unknown()).then(|| self.updated_at.saturating_sub(self.applied_up_to))
    }

    /// Records a reported position. An unchanged position is recorded too: otherwise a stalled replica would seem to
    /// keep its lag.
    pub(crate) fn observe(&mut self, applied_up_to: Time, requested_at: Time) {
        if applied_up_to >= self.applied_up_to {
            self.applied_up_to = applied_up_to;
            self.updated_at = self.updated_at.max(requested_at);
        }
    }

    /// Returns the expected position now, on the assumption that the lag is unchanged.
    fn extrapolated(&self, now: Time) -> Time {
        self.applied_up_to + now.saturating_sub(self.updated_at)
    }
}

/// Returns the age beyond which data is of use only to reads that accept data of any age.
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

/// The last write of each session. It is used if clients carry no session tokens.
///
/// Entries are forgotten once all open nodes have applied them, and the oldest ones also if there are too many. A node that
/// joins later may have older data, so the newest forgotten commit is kept: a session without an entry may have written up
/// to it.
#[derive(Debug, Default)]
pub(crate) struct SessionWrites {
    committed_at: BTreeMap<SessionId, Time>,
    newest_forgotten: Option<Time>,
    /// Number of entries at which the table is pruned next, unless it is below [`MIN_SESSIONS_TO_PRUNE`].
    prune_at: usize,
}

impl SessionWrites {
    /// Returns the position up to which a session may have written, or `None` if it has certainly not written.
    fn last_write_of(&self, session: SessionId) -> Option<Time> {
        let remembered = self.committed_at.get(&session).copied();
        remembered.max(self.newest_forgotten)
    }

    pub(crate) fn len(&self) -> usize {
        self.committed_at.len()
    }

    /// Records the position of a session's write. `applied_everywhere` returns the position that all open nodes have
    /// applied: writes up to it are forgotten when the table is pruned.
    pub(crate) fn remember(
        &mut self,
        session: SessionId,
        committed_at: Time,
        applied_everywhere: impl FnOnce() -> Option<Time>,
    ) {
        let last = self.committed_at.entry(session).or_default();
        *last = committed_at.max(*last);
        if self.committed_at.len() >= self.prune_at.max(MIN_SESSIONS_TO_PRUNE) {
            self.prune(applied_everywhere());
        }
    }

    fn prune(&mut self, applied_everywhere: Option<Time>) {
        self.forget_up_to(applied_everywhere);
        // A node that has told no position must not keep every entry.
        if self.committed_at.len() > MAX_SESSIONS / 2 {
            self.forget_older_half();
        }
        self.prune_at = 2 * self.committed_at.len();
    }

    fn forget_older_half(&mut self) {
        let mut commits: Vec<Time> = self.committed_at.values().copied().collect();
        let middle = commits.len() / 2;
        let (_, median, _) = commits.select_nth_unstable(middle);
        self.forget_up_to(Some(*median));
    }

    fn forget_up_to(&mut self, position: Option<Time>) {
        let newest_forgotten = &mut self.newest_forgotten;
        self.committed_at.retain(|_, committed_at| {
            let is_kept = Some(*committed_at) > position;
            if !is_kept {
                *newest_forgotten = (*newest_forgotten).max(Some(*committed_at));
            }
            is_kept
        });
    }
}

impl Balancer {
    /// Returns the position that a replica must have reached to serve a request. It is `None` if any replica will do,
    /// or if the age of its data decides.
    pub(crate) fn required_position(&self, info: &RequestInfo) -> Option<Time> {
        match self.settings.classes[info.class].access {
            Access::Latest => Some(self.now),
            Access::OwnWrites => {
                let stated = info
                    .last_write_age
                    .map(|age| self.now.saturating_sub(age) + TOKEN_ROUNDING);
                stated.max(self.remembered_write(info))
            }
            Access::Write | Access::Bounded(_) | Access::Any => None,
        }
    }

    /// Returns the number of sessions whose writes are remembered.
    pub fn remembered_session_count(&self) -> usize {
        self.session_writes.len()
    }

    /// Returns the position up to which the request's session may have written, if the router remembers sessions' writes.
    fn remembered_write(&self, info: &RequestInfo) -> Option<Time> {
        self.session_writes.last_write_of(info.session?)
    }

    /// Returns whether a replica's data is fresh enough for a read. The position must be proved if nodes do not check
    /// reads; if they do, an expected position is enough.
    pub(crate) fn is_fresh_enough(&self, now: Time, node: &Node, request: &Request) -> bool {
        let required = match self.settings.classes[request.info.class].access {
            Access::Write => return false,
            Access::Any => return true,
            // Ages are stated in whole ticks, so the data may be up to a tick older than stated.
            Access::Bounded(bound) => (now + self.settings.tick).saturating_sub(bound),
            Access::OwnWrites | Access::Latest => request.required_position.unwrap_or(0),
        };
        // A node that waits for its log is relied on to catch up by half of its longest wait.
        let node_waits = match self.settings.replica_check {
            ReplicaCheck::None => return node.position.applied_up_to >= required,
            ReplicaCheck::Reject => 0,
            ReplicaCheck::Wait(max_wait) => max_wait / 2,
        };
        // A replica that has not reported yet may be tried, except while it warms up: then its data is old.
        if node.position.is_unknown() {
            return self.warm_share(node) >= 1.0;
        }
        node.position.extrapolated(now) + node_waits >= required
    }

    /// Returns whether an attempt that waited for its connection may still be sent: the endpoint list, the roles or the
    /// data may have changed in the meantime.
    ///
    /// `now` is the time of the first byte (us); `request` and `node` are those of the attempt.
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
