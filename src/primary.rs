//! Which member of a group this router takes for its primary.
//!
//! The newest evidence wins: an answer counts as of now, and a report as of the position that it states. The endpoint
//! list counts only until a member of the group has told its role, since it is seconds late or shows the roles of the
//! start. This prevents three failures: stale reads at a former
//! primary that the list still names, a presumed primary that changes back and forth on outdated reports, and writes
//! that wait for a primary that no list names.

use crate::api::{Action, GroupId, LogEvent, Micros, NodeId, NodeReport, Role, Time};
use crate::balancer::Balancer;
use crate::load::ExternalLoad;
use crate::node::Node;
use crate::request::Request;
use std::collections::BTreeSet;

/// Time during which a member that denied being primary gets no further writes as a presumed primary.
const DENIAL_PAUSE: Micros = 250_000;
/// How a node's report about itself reached this router.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ReportOrigin {
    /// In the answer to an attempt that was sent at this time.
    Answer { sent_at: Time },
    /// In a load report, which is as old as the position that it states.
    LoadReport,
}

/// The node that is presumed to be primary, and the time of the evidence for it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct PrimaryBelief {
    pub(crate) node: NodeId,
    /// The time of the newest evidence; 0 if the endpoint list is the only evidence.
    pub(crate) evidence_at: Time,
}

/// A replication group: its members, and the state that they share.
#[derive(Clone, Debug, Default)]
pub(crate) struct Group {
    pub(crate) members: BTreeSet<NodeId>,
    pub(crate) primary: Option<PrimaryBelief>,
    /// Whether a member has told its role. It stays true if members leave the list and return.
    pub(crate) has_told_role: bool,
    /// Mean number of requests that its members have in flight for other routers.
    pub(crate) external_load: ExternalLoad,
}

impl Group {
    /// Records the primary that the endpoint list names. It counts only if no member has told its role.
    pub(crate) fn list_names_primary(&mut self, node: NodeId) {
        if self.has_told_role {
            return;
        }
        self.primary.get_or_insert(PrimaryBelief {
            node,
            evidence_at: 0,
        });
    }

    /// Records that a node claims to be primary. Returns true if it was not the presumed primary before.
    fn observe_claim(&mut self, node: &NodeId, evidence_at: Time) -> bool {
        let old = self.primary.take();
        let is_new = old.as_ref().is_none_or(|old| old.node != *node);
        let old_evidence_at = old.map_or(0, |old| old.evidence_at);
        self.primary = Some(PrimaryBelief {
            node: node.clone(),
            evidence_at: evidence_at.max(old_evidence_at),
        });
        is_new
    }

    /// Returns whether a node's claim to be primary is accepted: the newest claim is, and so is any claim of the
    /// presumed primary.
    fn accepts_claim(&self, node: &NodeId, evidence_at: Time) -> bool {
        self.primary
            .as_ref()
            .is_none_or(|old| evidence_at > old.evidence_at || old.node == *node)
    }

    /// Forgets the presumed primary if it is this node.
    pub(crate) fn forget_primary(&mut self, node: &NodeId) {
        self.primary.take_if(|primary| primary.node == *node);
    }
}

impl Node {
    /// Returns whether a claim to be primary that was made at this time or later is newer than the node's last denial.
    fn claims_since_denial(&self, claimed_since: Time) -> bool {
        self.denied_primary_at
            .is_none_or(|denied_at| claimed_since >= denied_at)
    }

    /// Returns whether the node denied being primary so recently that another write would only be rejected.
    fn has_recently_denied(&self, now: Time) -> bool {
        self.denied_primary_at
            .is_some_and(|at| now < at + DENIAL_PAUSE)
    }
}

impl Balancer {
    /// Returns the presumed primary of a group.
    pub(crate) fn primary(&self, group: GroupId) -> Option<&NodeId> {
        let group = self.groups.get(&group)?;
        group.primary.as_ref().map(|primary| &primary.node)
    }

    /// Forgets the presumed primary of a group if it is this node.
    pub(crate) fn forget_primary(&mut self, group: GroupId, node: &NodeId) {
        if let Some(group) = self.groups.get_mut(&group) {
            group.forget_primary(node);
        }
    }

    /// Records what a node reports about its role. In an answer the role is as recent as the answer; in a load report
    /// it is as old as the position. A claim to be primary may have been made as early as its attempt was sent: an
    /// answer that a primary had begun may arrive behind its denial.
    pub(crate) fn observe_role(
        &mut self,
        id: &NodeId,
        report: &NodeReport,
        origin: ReportOrigin,
        actions: &mut Vec<Action>,
    ) {
        let Some(node) = self.nodes.get_mut(id) else {
            return;
        };
        let Some(group) = self.groups.get_mut(&node.endpoint.group) else {
            return;
        };
        let reported_position = report.position.filter(|position| *position <= self.now);
        let (evidence_at, claimed_since) = match origin {
            ReportOrigin::Answer { sent_at } => (self.now, sent_at),
            ReportOrigin::LoadReport => {
                let reported_at = reported_position.unwrap_or(0);
                (reported_at, reported_at)
            }
        };
        let is_answer = origin != ReportOrigin::LoadReport;
        group.has_told_role |= report.role.is_some();
        let is_newest_claim =
            node.claims_since_denial(claimed_since) && group.accepts_claim(id, evidence_at);
        match report.role {
            Some(Role::Primary) if is_newest_claim => {
                node.denied_primary_at = None;
                if group.observe_claim(id, evidence_at) {
                    let text = format!("group {}: primary is {id}", node.endpoint.group);
                    actions.push(Action::Log(LogEvent::for_node(id, LogEvent::PRIMARY, text)));
                }
            }
            Some(Role::Replica) => {
                let is_newer = |evidence: Time| is_answer || evidence_at > evidence;
                let is_demoted = group
                    .primary
                    .as_ref()
                    .is_some_and(|primary| primary.node == *id && is_newer(primary.evidence_at));
                if is_answer || is_demoted {
                    node.denied_primary_at = Some(self.now);
                }
                if is_demoted {
                    group.primary = None;
                }
            }
            Some(Role::Primary) | None => {}
        }
    }

    /// Finds the primary of a group in which none is known. One write at a time is sent to a member, the most advanced
    /// first. A member that is not primary rejects the write without executing it, so the only cost is the attempt.
    ///
    /// Returns the member to try, and a member to poll for its role. Hundreds of routers would poll too often, so
    /// routers with a sparse view poll none.
    pub(crate) fn find_primary<'a>(
        &self,
        request: &Request,
        members: &[&'a Node],
    ) -> (Option<&'a Node>, Option<&'a Node>) {
        let to_check = self.find_member_to_check(members);
        let has_write_in_flight = |node: &&Node| {
            node.in_flight
                .keys()
                .any(|key| self.is_write_id(key.request))
        };
        if members.iter().any(has_write_in_flight) && !request.is_in_flight() {
            return (None, to_check);
        }
        let to_try = members.iter().copied().filter(|node| {
            let is_ready = node.is_usable(self.now) || node.accepts_trial(self.now);
            is_ready && !node.has_recently_denied(self.now)
        });
        let most_advanced = to_try.max_by_key(|node| node.position.applied_up_to);
        (most_advanced, to_check)
    }

    /// Returns the member to poll for its role on behalf of a read that only the primary can serve. No write may come that
    /// finds the primary. With a sparse view, such a read polls once.
    pub(crate) fn find_member_to_check_for_read<'a>(
        &self,
        request: &Request,
        members: &[&'a Node],
    ) -> Option<&'a Node> {
        if self.has_sparse_view && request.position_check.is_some() {
            return None;
        }
        self.least_recently_checked(members)
    }

    /// Returns the member to poll for its role on behalf of a write. With a sparse view it is `None`: when hundreds of
    /// routers polled for a lost primary, these polls were a fifth of all health checks. Writes alone find the primary
    /// there.
    fn find_member_to_check<'a>(&self, members: &[&'a Node]) -> Option<&'a Node> {
        if self.has_sparse_view {
            return None;
        }
        self.least_recently_checked(members)
    }

    fn least_recently_checked<'a>(&self, members: &[&'a Node]) -> Option<&'a Node> {
        let members = members.iter().copied().filter(|node| node.is_serving());
        let members = members.filter(|node| self.position_check_pays(node));
        members.min_by_key(|node| (node.checked_at, node.router_order))
    }
}
