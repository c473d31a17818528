//! Which member of a group is believed to be its primary.
//!
//! The newest evidence wins: an answer counts as of now, a report as of the position that it tells, the endpoint list only
//! where nothing else is known, since it is seconds late. It guards against two failures: a believed primary that changes
//! back and forth on old news, and writes that wait for a primary that nobody names.

use crate::api::{Action, GroupId, LogEvent, Micros, NodeId, NodeReport, Role, Time};
use crate::balancer::Balancer;
use crate::load::ExternalLoad;
use crate::node::Node;
use crate::request::Request;
use std::collections::BTreeSet;

/// A member that denied being primary is not asked again for so long.
const DENIAL_PAUSE: Micros = 250_000;
/// Its denial outranks the endpoint list for so long.
const DENIAL_OUTRANKS_LIST: Micros = 6_000_000;

/// Who is believed primary, and why.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct PrimaryBelief {
    pub(crate) node: NodeId,
    /// The time of the newest evidence; 0 where only the list says so.
    pub(crate) evidence_at: Time,
}

/// A replication group: its members and what is known of them together.
#[derive(Clone, Debug, Default)]
pub(crate) struct Group {
    pub(crate) members: BTreeSet<NodeId>,
    pub(crate) primary: Option<PrimaryBelief>,
    /// What its members hold for other routers, in the mean.
    pub(crate) external_load: ExternalLoad,
}

impl Group {
    /// The list names a primary. It counts only while nothing better is known.
    pub(crate) fn list_names_primary(&mut self, node: NodeId) {
        self.primary.get_or_insert(PrimaryBelief {
            node,
            evidence_at: 0,
        });
    }

    /// A node says that it is primary; true where it was not believed before.
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

    /// Whether a claim of this node is believed: the newest is, and so is any of the present primary.
    fn believes_claim(&self, node: &NodeId, evidence_at: Time) -> bool {
        self.primary
            .as_ref()
            .is_none_or(|old| evidence_at > old.evidence_at || old.node == *node)
    }

    /// It is not the primary, whoever is.
    pub(crate) fn forget_primary(&mut self, node: &NodeId) {
        self.primary.take_if(|primary| primary.node == *node);
    }
}

impl Node {
    /// It denied being primary so lately that the list's word to the contrary does not count.
    pub(crate) fn denial_outranks_list(&self, now: Time) -> bool {
        self.denied_primary_at
            .is_some_and(|at| now < at + DENIAL_OUTRANKS_LIST)
    }

    /// It denied being primary so lately that asking again is in vain.
    fn has_just_denied(&self, now: Time) -> bool {
        self.denied_primary_at
            .is_some_and(|at| now < at + DENIAL_PAUSE)
    }
}

impl Balancer {
    /// The node that is believed to be primary of a group.
    pub(crate) fn primary(&self, group: GroupId) -> Option<&NodeId> {
        let group = self.groups.get(&group)?;
        group.primary.as_ref().map(|primary| &primary.node)
    }

    /// This node is not the primary of its group any more, if it was.
    pub(crate) fn forget_primary(&mut self, group: GroupId, node: &NodeId) {
        if let Some(group) = self.groups.get_mut(&group) {
            group.forget_primary(node);
        }
    }

    /// What a node says of its role. An answer's word is as new as the answer; a report's as old as its position.
    pub(crate) fn observe_role(
        &mut self,
        id: &NodeId,
        report: &NodeReport,
        is_answer: bool,
        actions: &mut Vec<Action>,
    ) {
        let Some(node) = self.nodes.get_mut(id) else {
            return;
        };
        let Some(group) = self.groups.get_mut(&node.endpoint.group) else {
            return;
        };
        let told_position = report.position.filter(|position| *position <= self.now);
        let evidence_at = if is_answer {
            self.now
        } else {
            told_position.unwrap_or(0)
        };
        match report.role {
            Some(Role::Primary) if group.believes_claim(id, evidence_at) => {
                node.denied_primary_at = None;
                if group.observe_claim(id, evidence_at) {
                    let text = format!("group {}: primary is {id}", node.endpoint.group);
                    actions.push(Action::Log(LogEvent::for_node(id, LogEvent::PRIMARY, text)));
                }
            }
            Some(Role::Replica) => {
                let is_newer = |evidence: Time| is_answer || evidence_at > evidence;
                let unseated = group
                    .primary
                    .as_ref()
                    .is_some_and(|primary| primary.node == *id && is_newer(primary.evidence_at));
                if is_answer || unseated {
                    node.denied_primary_at = Some(self.now);
                }
                if unseated {
                    group.primary = None;
                }
            }
            Some(Role::Primary) | None => {}
        }
    }

    /// Where a write goes while no primary is known: one write at a time asks the members, the most advanced first. A member
    /// that is not primary turns it away untouched, so it costs nothing but the attempt.
    ///
    /// Returns the member to try, and one to ask for its report where routers are few enough to afford it.
    pub(crate) fn look_for_primary<'a>(
        &self,
        request: &Request,
        members: &[&'a Node],
    ) -> (Option<&'a Node>, Option<&'a Node>) {
        let to_ask = self.member_to_ask_for_role(members);
        let asks = |node: &&Node| {
            node.in_flight
                .keys()
                .any(|key| self.is_write_id(key.request))
        };
        if members.iter().any(asks) && !request.is_in_flight() {
            return (None, to_ask);
        }
        let to_try = members.iter().copied().filter(|node| {
            let is_ready = node.is_usable(self.now) || node.accepts_trial(self.now);
            is_ready && !node.has_just_denied(self.now)
        });
        let most_advanced = to_try.max_by_key(|node| node.position.applied_up_to);
        (most_advanced, to_ask)
    }

    /// Hundreds of routers that ask for a lost primary made a fifth of all health checks; there writes alone find it.
    fn member_to_ask_for_role<'a>(&self, members: &[&'a Node]) -> Option<&'a Node> {
        if self.has_sparse_view {
            return None;
        }
        let members = members.iter().copied().filter(|node| node.is_serving());
        let members = members.filter(|node| self.position_check_pays(node));
        members.min_by_key(|node| (node.checked_at, node.router_order))
    }
}
