//! The watch of a group: the router that holds the group's lease queries the nodes and publishes their status to the other
//! routers. This module schedules the queries, collects the answers and encodes the published items.

use crate::upstream::QueryAnswer;
use plovercove::{GroupId, Micros, NodeId, NodeReport, Role, Time};
use plovercove_fencing::Token;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Time after the first answer within which further answers go into the same item (us), so that a group needs one datagram
/// and not one for each node.
const BATCH_INTERVAL_US: Micros = 20_000;
/// Time after which an unanswered query counts as lost with its connection, and the node is queried again (us). Longer than
/// any connection timeout.
const QUERY_LOST_AFTER_US: Micros = 5_000_000;
/// Maximum size of an item (bytes), which fits in one datagram. Nodes that do not fit come first in the next item.
const MAX_ITEM_BYTES: usize = plovercove_fanout::MAX_ITEM_BYTES;

/// The status of one node, as published to the other routers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct NodeStatus {
    /// The node.
    pub node: String,
    /// The start time of the incarnation that reported the status, as given by the endpoint list.
    pub started: Option<Time>,
    /// The node's log position: it has applied every commit up to this time.
    pub position: Option<Time>,
    /// Whether the node is the primary.
    pub is_primary: Option<bool>,
    /// Number of requests in flight at the node.
    pub in_flight: Option<u32>,
    /// Utilization in thousandths.
    pub utilization_permille: Option<u32>,
    /// Time since the node was queried (us), at the time of publication.
    pub age: Micros,
}

impl NodeStatus {
    /// Converts to a report at a router that received the status `transit` after publication (us).
    pub fn to_report(&self, transit: Micros) -> NodeReport {
        NodeReport {
            position: self.position,
            role: self.is_primary.map(|is_primary| {
                if is_primary {
                    Role::Primary
                } else {
                    Role::Replica
                }
            }),
            in_flight: self.in_flight,
            utilization_permille: self.utilization_permille,
            age: self.age.saturating_add(transit),
        }
    }
}

/// Decodes an item. Returns `None` if it is malformed. The item came in a datagram, which bounds its size.
pub fn decode_item(item: &[u8]) -> Option<Vec<NodeStatus>> {
    let (statuses, rest) = postcard::take_from_bytes::<Vec<NodeStatus>>(item).ok()?;
    rest.is_empty().then_some(statuses)
}

/// The last answer of a node.
struct Answer {
    queried_at: Time,
    started: Option<Time>,
    report: NodeReport,
    /// Time of the last publication, or 0.
    published_at: Time,
}

/// A group that this router watches.
struct HeldWatch {
    token: Token,
    /// Time of the next queries.
    next_query: Time,
    /// Nodes that have not answered their query, with the time of the query.
    unanswered: BTreeMap<NodeId, Time>,
    answers: BTreeMap<NodeId, Answer>,
    /// Time at which collected answers are published.
    publish_at: Option<Time>,
}

/// The groups whose watch this router holds.
pub struct Watches {
    interval: Micros,
    groups: BTreeMap<GroupId, HeldWatch>,
}

impl Watches {
    /// Creates an empty set of watches that query nodes at this interval (us).
    pub fn new(interval: Micros) -> Self {
        Watches {
            interval,
            groups: BTreeMap::new(),
        }
    }

    /// Sets the watches that this router holds, with their tokens. Returns the groups whose watch ended.
    ///
    /// A new watch starts its queries at once. This does not overload nodes, because a node has one group and a group has one
    /// lease holder.
    pub fn set_held(&mut self, now: Time, held: &BTreeMap<GroupId, Token>) -> Vec<GroupId> {
        let ended: Vec<GroupId> = self
            .groups
            .iter()
            .filter(|(group, w)| held.get(group) != Some(&w.token))
            .map(|(group, _)| *group)
            .collect();
        ended
            .iter()
            .for_each(|group| drop(self.groups.remove(group)));
        for (group, token) in held {
            self.groups.entry(*group).or_insert_with(|| HeldWatch {
                token: *token,
                next_query: now,
                unanswered: BTreeMap::new(),
                answers: BTreeMap::new(),
                publish_at: None,
            });
        }
        ended
    }

    /// Returns the groups whose nodes are to be queried now, with the tokens of their leases.
    pub fn take_due(&mut self, now: Time) -> Vec<(GroupId, Token)> {
        let mut due = Vec::new();
        for (group, watch) in self.groups.iter_mut().filter(|(_, w)| w.next_query <= now) {
            // After a stall, queries continue from now; missed ones are not made up for.
            watch.next_query = now + self.interval;
            due.push((*group, watch.token));
        }
        due
    }

    /// Records a query of a node. Returns false if the node must not be queried, because an earlier query is unanswered.
    pub fn begin_query(&mut self, now: Time, group: GroupId, node: &NodeId) -> bool {
        let Some(watch) = self.groups.get_mut(&group) else {
            return false;
        };
        if watch
            .unanswered
            .get(node)
            .is_some_and(|queried_at| now < queried_at + QUERY_LOST_AFTER_US)
        {
            return false;
        }
        watch.unanswered.insert(node.clone(), now);
        true
    }

    /// Records the end of a query, with or without an answer.
    pub fn end_query(
        &mut self,
        now: Time,
        group: GroupId,
        node: &NodeId,
        started: Option<Time>,
        answer: Option<QueryAnswer>,
    ) {
        let Some(watch) = self.groups.get_mut(&group) else {
            return;
        };
        watch.unanswered.remove(node);
        let Some(answer) = answer else { return };
        let published_at = watch.answers.get(node).map_or(0, |a| a.published_at);
        watch.answers.insert(
            node.clone(),
            Answer {
                queried_at: answer.queried_at,
                started,
                report: answer.report,
                published_at,
            },
        );
        watch.publish_at = Some(watch.publish_at.unwrap_or(now + BATCH_INTERVAL_US));
        if watch.unanswered.is_empty() {
            watch.publish_at = Some(now);
        }
    }

    /// Returns the items to publish now, at most one for each group.
    pub fn take_items(&mut self, now: Time) -> Vec<(GroupId, Token, Vec<u8>)> {
        let mut items = Vec::new();
        for (group, watch) in &mut self.groups {
            if watch.publish_at.take_if(|at| *at <= now).is_none() {
                continue;
            }
            // Old answers belong to nodes that have left or do not answer any more.
            let oldest = now.saturating_sub(4 * self.interval + QUERY_LOST_AFTER_US);
            watch.answers.retain(|_, a| a.queried_at >= oldest);
            if let Some(item) = encode_item(now, &mut watch.answers) {
                items.push((*group, watch.token, item));
            }
        }
        items
    }

    /// Returns the time of the next query or publication, or `Time::MAX`.
    pub fn next_deadline(&self) -> Time {
        let deadlines = self
            .groups
            .values()
            .map(|w| w.next_query.min(w.publish_at.unwrap_or(Time::MAX)));
        deadlines.min().unwrap_or(Time::MAX)
    }
}

/// Encodes as many nodes as fit, those whose last publication is oldest first.
fn encode_item(now: Time, answers: &mut BTreeMap<NodeId, Answer>) -> Option<Vec<u8>> {
    let mut order: Vec<(Time, NodeId)> = answers
        .iter()
        .map(|(node, a)| (a.published_at, node.clone()))
        .collect();
    order.sort();
    let mut statuses: Vec<NodeStatus> = Vec::new();
    let mut bytes = 2;
    for (_, node) in order {
        let Some(answer) = answers.get_mut(&node) else {
            continue;
        };
        let status = NodeStatus {
            node: node.to_string(),
            started: answer.started,
            position: answer.report.position,
            is_primary: answer.report.role.map(|role| role == Role::Primary),
            in_flight: answer.report.in_flight,
            utilization_permille: answer.report.utilization_permille,
            age: now.saturating_sub(answer.queried_at),
        };
        let length = postcard::to_allocvec(&status).map_or(usize::MAX, |b| b.len());
        if bytes + length > MAX_ITEM_BYTES {
            break;
        }
        bytes += length;
        answer.published_at = now;
        statuses.push(status);
    }
    (!statuses.is_empty())
        .then(|| postcard::to_allocvec(&statuses).ok())
        .flatten()
}

#[cfg(test)]
mod tests;
