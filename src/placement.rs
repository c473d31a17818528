//! Placement: how one request gets to one node, in phases.
//!
//! 1. The locality policy says how much of each member's weight counts ([`Balancer::apply_locality_policy`]).
//! 2. The retry rules leave the nodes that may get an attempt ([`crate::retry`]).
//! 3. Admission leaves the nodes that would answer in time and, while they warm up, have room ([`crate::admission`]).
//! 4. A write goes to the primary, a read to a replica or the primary ([`crate::replica_selection`]).
//! 5. A read that needs a report to prove a replica fresh waits a moment for that report.
//! 6. The attempt is recorded and sent.

use crate::api::{Access, Action, NodeId, ReplicaCheck, RequestId};
use crate::balancer::Balancer;
use crate::health_check::MAX_WAIT_FOR_REPORT;
use crate::latency;
use crate::node::{AttemptKey, InFlight, Node};
use crate::replica_selection::Selection;
use crate::request::{Attempt, PositionCheck, Request};
use crate::retry;
use crate::slow_start;

/// The result of a search for a node.
#[derive(Default)]
struct SearchResult {
    node: Option<NodeId>,
    /// Whether a node of the intended kind does not admit the request now.
    is_denied_admission: bool,
    position_check: Option<NodeId>,
}

impl Balancer {
    /// Sends a waiting request to a node, if a node admits it.
    pub(crate) fn place_request(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let time_left = self.requests[&id].deadline.saturating_sub(self.now);
        let node = self.choose_node(id, actions);
        if let Some(node) = node.filter(|_| time_left >= self.settings.tick) {
            self.send(id, node, actions);
        }
    }

    /// Returns the node that a request goes to now, if there is one, and starts the position check that the search asks
    /// for.
    fn choose_node(&mut self, id: RequestId, actions: &mut Vec<Action>) -> Option<NodeId> {
        let is_closed_by_locality = self.apply_locality_policy(id);
        let found = self.search_nodes(&self.requests[&id]);
        let waits = self.waits_for_report(&self.requests[&id], &found);
        let request = self.requests.get_mut(&id).expect("placed requests exist");
        // A request that waits for the report of a warm replica must not be rejected because a warming replica denies
        // it.
        request.is_denied = !waits
            && found.position_check.is_none()
            && (found.is_denied_admission || (is_closed_by_locality && found.node.is_none()));
        if let Some(node) = found.position_check {
            self.check_position(id, node, actions);
        }
        found.node.filter(|_| !waits)
    }

    /// Stores, for each member of the group, the share of its weight that the locality policy allows for a request.
    /// Returns true if the policy exists and closes all members to it.
    fn apply_locality_policy(&mut self, id: RequestId) -> bool {
        let query = self.routing_query(&self.requests[&id]);
        let Some(locality) = &mut self.locality else {
            return false;
        };
        let group = self.groups.get(&self.requests[&id].group());
        let mut all_closed = true;
        for member in group.into_iter().flat_map(|group| &group.members) {
            let node = self.nodes.get_mut(member).expect("members are known");
            node.locality_share = locality.weight_share(self.now, &query, member);
            all_closed &= node.locality_share.is_none() || !node.is_open();
        }
        all_closed
    }

    /// Searches for a node: returns the node that the request may go to, whether nodes of the intended kind deny it,
    /// and the node to poll for its position.
    fn search_nodes(&self, request: &Request) -> SearchResult {
        let Some(group) = self.groups.get(&request.group()) else {
            return SearchResult::default();
        };
        let members = group
            .members
            .iter()
            .filter_map(|member| self.nodes.get(member));
        let allowed: Vec<&Node> = self.allowed_nodes(request, members);
        let candidates = self.count_candidates(request, &allowed);
        let (admitting, denying): (Vec<&Node>, Vec<&Node>) = allowed
            .into_iter()
            .partition(|node| self.admits(request, node, candidates));
        let selection = self.select_node(request, &admitting);
        let may_send_now = |node: &&Node| self.may_send_now(request, node);
        SearchResult {
            node: selection
                .node
                .filter(may_send_now)
                .map(|node| node.id().clone()),
            is_denied_admission: denying.iter().any(|node| {
                self.is_intended_kind(request, node)
                    && !self.waits_for_slot(request, node, candidates)
            }),
            position_check: selection.position_check.map(|node| node.id().clone()),
        }
    }

    /// Returns the nodes that the locality policy and the retry rules allow.
    fn allowed_nodes<'a>(
        &self,
        request: &Request,
        members: impl Iterator<Item = &'a Node>,
    ) -> Vec<&'a Node> {
        if !retry::allows_attempt(&self.settings, request) {
            return Vec::new();
        }
        let zone_of_attempt = |attempt: &Attempt| self.nodes[&attempt.node].endpoint.zone.as_str();
        let is_allowed = |node: &&Node| {
            let is_in_reach = self.locality.is_none() || node.locality_share.is_some();
            is_in_reach
                && retry::allows_attempt_at(
                    &self.settings,
                    request,
                    node,
                    self.now,
                    zone_of_attempt,
                )
        };
        members.filter(is_allowed).collect()
    }

    /// Returns the number of nodes that a request could go to, as random slow start counts them.
    fn count_candidates(&self, request: &Request, allowed: &[&Node]) -> f64 {
        if self.is_write(request) {
            return slow_start::RANDOM_WRITE_CANDIDATES;
        }
        let could_serve =
            |node: &&&Node| node.is_serving() && self.is_fresh_enough(self.now, node, request);
        let count = allowed.iter().filter(could_serve).count();
        count.max(1) as f64
    }

    /// Selects a node by the data that the class of the request reads or writes.
    fn select_node<'a>(&self, request: &Request, admitting: &[&'a Node]) -> Selection<'a> {
        let known_primary = self.primary(request.group());
        let is_primary = |node: &&Node| Some(node.id()) == known_primary;
        let primary = admitting
            .iter()
            .copied()
            .find(|node| is_primary(node) && node.is_usable(self.now));
        match self.settings.classes[request.info.class].access {
            Access::Write if known_primary.is_some() => Selection::send_to(primary),
            Access::Write => {
                let (node, position_check) = self.find_primary(request, admitting);
                Selection {
                    node,
                    position_check,
                }
            }
            Access::Latest if known_primary.is_some() => {
                Selection::send_to(primary.or_else(|| self.find_most_advanced(request, admitting)))
            }
            Access::Latest => Selection {
                node: self.find_most_advanced(request, admitting),
                position_check: self.find_member_to_check_for_read(request, admitting),
            },
            Access::OwnWrites | Access::Bounded(_) | Access::Any => {
                let may_serve =
                    |node: &&Node| !is_primary(node) && !request.was_misdirected_to(node.id());
                let replicas: Vec<&Node> = admitting.iter().copied().filter(may_serve).collect();
                self.select_replica(request, &replicas, primary)
            }
        }
    }

    /// Returns whether a request may be sent to a node now. A write waits between attempts, except for its first
    /// attempt at a known primary.
    fn may_send_now(&self, request: &Request, node: &Node) -> bool {
        let has_primary = self.primary(request.group()).is_some();
        !self.is_write(request)
            || retry::write_backoff_is_over(request, self.now)
            || (has_primary && !request.has_tried(node.id()))
    }

    /// Returns whether the node is of the kind that the request is intended for: the primary for writes, a replica for
    /// reads.
    fn is_intended_kind(&self, request: &Request, node: &Node) -> bool {
        let is_primary = Some(node.id()) == self.primary(request.group());
        is_primary == self.is_write(request)
    }

    /// Returns whether a write waits for its time slot at a warming primary. It is not rejected, since no other node
    /// takes writes.
    fn waits_for_slot(&self, request: &Request, node: &Node, candidates: f64) -> bool {
        self.is_write(request)
            && !self.has_random_slow_start
            && !self.slow_start_admits(request, node, candidates)
    }

    /// Returns whether a read waits for the report that it requested. It does so if only a report can prove a replica
    /// fresh and the search found nothing equally good.
    fn waits_for_report(&self, request: &Request, found: &SearchResult) -> bool {
        let needs_proof =
            self.settings.replica_check == ReplicaCheck::None && !self.is_write(request);
        if !needs_proof {
            return false;
        }
        match &request.position_check {
            Some(check) => {
                let is_unanswered = self
                    .nodes
                    .get(&check.node)
                    .is_some_and(|node| node.reported_at < check.requested_at);
                let has_time = self.now < check.requested_at + MAX_WAIT_FOR_REPORT;
                is_unanswered && has_time && self.is_worse(request, found, &check.node)
            }
            None => {
                let to_check = found.position_check.as_ref();
                to_check.is_some_and(|node| self.is_worse(request, found, node))
            }
        }
    }

    /// Returns whether the search found nothing, the primary, or a node in a less preferred zone than another node's.
    fn is_worse(&self, request: &Request, found: &SearchResult, than: &NodeId) -> bool {
        let share = |node: &NodeId| {
            let node = self.nodes.get(node);
            node.and_then(|node| node.locality_share).unwrap_or(1.0)
        };
        found.node.as_ref().is_none_or(|node| {
            share(node) < share(than) || Some(node) == self.primary(request.group())
        })
    }

    /// Polls a node for its position on behalf of a request.
    fn check_position(&mut self, id: RequestId, node: NodeId, actions: &mut Vec<Action>) {
        let requested_at = self.now;
        let request = self.requests.get_mut(&id).expect("placed requests exist");
        request.position_check.get_or_insert(PositionCheck {
            node: node.clone(),
            requested_at,
        });
        let checked = self.nodes.get_mut(&node).expect("members are known");
        checked.checked_at = requested_at;
        actions.push(Action::HealthCheck(node));
    }

    /// Records an attempt and sends it.
    fn send(&mut self, id: RequestId, node_id: NodeId, actions: &mut Vec<Action>) {
        let now = self.now;
        let request = &self.requests[&id];
        let node = &self.nodes[&node_id];
        let is_write = self.is_write(request);
        let stats = &self.classes[request.info.class];
        let slowness = node.slowness.at(now);
        let time_left = request.deadline.saturating_sub(now);
        let timeout = if is_write {
            time_left
        } else {
            latency::read_timeout(stats.latency, slowness).min(time_left)
        };
        let in_flight = InFlight {
            sent_at: now,
            cost: self.cost(node, request),
            expected_latency: stats.latency * slowness,
        };
        let (work, slot) = (stats.work(), self.slow_start_slot(node));
        let query = self.routing_query(request);
        let request = self.requests.get_mut(&id).expect("placed requests exist");
        let node = self.nodes.get_mut(&node_id).expect("members are known");
        let attempt = request.attempts.len() as u32;
        node.slot_spending.spend(slot, work);
        node.in_flight.insert(
            AttemptKey {
                request: id,
                attempt,
            },
            in_flight,
        );
        if !is_write {
            node.recent_reads.push(&request.info);
            self.reads_placed += 1;
        }
        request.attempts.push(Attempt::sent(node_id.clone(), now));
        self.monitored.insert(node_id.clone());
        self.waiting.remove(&id);
        if let Some(locality) = &mut self.locality {
            locality.attempt_sent(now, &query, &node_id);
        }
        actions.push(Action::Send {
            request: id,
            node: node_id,
            timeout,
        });
    }
}
