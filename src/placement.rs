//! Placement: the way of one request to one node, as a list of phases.
//!
//! 1. The locality policy says how much of each member counts ([`Balancer::ask_locality`]).
//! 2. The rules on repeats leave the nodes that may get an attempt ([`crate::retry`]).
//! 3. Admission leaves those that would answer in time and, while they warm up, have room ([`crate::admission`]).
//! 4. By what it reads or writes, the request goes to the primary or to a replica ([`crate::replica_selection`]).
//! 5. A read that only a report can prove a replica fresh for waits for that report for a moment.
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

/// What a search among the nodes comes to.
#[derive(Default)]
struct SearchResult {
    node: Option<NodeId>,
    /// Some node that the request could go to does not admit it now.
    is_denied_admission: bool,
    position_check: Option<NodeId>,
}

impl Balancer {
    /// Sends a waiting request to a node, if one will have it.
    pub(crate) fn place(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let time_left = self.requests[&id].deadline.saturating_sub(self.now);
        let node = self.choose_node(id, actions);
        if let Some(node) = node.filter(|_| time_left >= self.settings.tick) {
            self.send(id, node, actions);
        }
    }

    /// Where a request goes now, if anywhere.
    fn choose_node(&mut self, id: RequestId, actions: &mut Vec<Action>) -> Option<NodeId> {
        let is_closed_by_locality = self.ask_locality(id);
        let found = self.search(&self.requests[&id]);
        let waits = self.waits_for_report(&self.requests[&id], &found);
        let request = self.requests.get_mut(&id).expect("placed requests exist");
        // A request that waits for the word of a warm replica must not be shed for a warming one beside it.
        request.is_shut_out = !waits
            && found.position_check.is_none()
            && (found.is_denied_admission || (is_closed_by_locality && found.node.is_none()));
        if let Some(node) = found.position_check {
            self.check_position(id, node, actions);
        }
        found.node.filter(|_| !waits)
    }

    /// Asks the locality policy how much each member counts for a request; true where all are closed to it.
    fn ask_locality(&mut self, id: RequestId) -> bool {
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

    /// Where a request may go, whether nodes that it could go to do not admit it, and whom to ask for a position.
    fn search(&self, request: &Request) -> SearchResult {
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
        let selection = self.select(request, &admitting);
        let may_send_now = |node: &&Node| self.may_send_now(request, node);
        SearchResult {
            node: selection
                .node
                .filter(may_send_now)
                .map(|node| node.id().clone()),
            is_denied_admission: denying.iter().any(|node| {
                self.is_wanted(request, node) && !self.waits_for_turn(request, node, candidates)
            }),
            position_check: selection.position_check.map(|node| node.id().clone()),
        }
    }

    /// Nodes that the locality policy and the rules on repeats leave.
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

    /// How many nodes a request could go to, as slow start by chance counts them.
    fn count_candidates(&self, request: &Request, allowed: &[&Node]) -> f64 {
        if self.is_write(request) {
            return slow_start::WRITE_CANDIDATES_BY_CHANCE;
        }
        let could_serve =
            |node: &&&Node| node.is_serving() && self.is_fresh_enough(self.now, node, request);
        let count = allowed.iter().filter(could_serve).count();
        count.max(1) as f64
    }

    /// The choice by what the request reads or writes.
    fn select<'a>(&self, request: &Request, admitting: &[&'a Node]) -> Selection<'a> {
        let known_primary = self.primary(request.group());
        let is_primary = |node: &&Node| Some(node.id()) == known_primary;
        let primary = admitting
            .iter()
            .copied()
            .find(|node| is_primary(node) && node.is_usable(self.now));
        match self.settings.classes[request.info.class].access {
            Access::Write if known_primary.is_some() => Selection::of(primary),
            Access::Write => {
                let (node, position_check) = self.look_for_primary(request, admitting);
                Selection {
                    node,
                    position_check,
                }
            }
            Access::Latest => {
                Selection::of(primary.or_else(|| self.most_advanced(request, admitting)))
            }
            Access::OwnWrites | Access::Bounded(_) | Access::Any => {
                let may_serve =
                    |node: &&Node| !is_primary(node) && !request.was_misdirected_to(node.id());
                let replicas: Vec<&Node> = admitting.iter().copied().filter(may_serve).collect();
                self.select_replica(request, &replicas, primary)
            }
        }
    }

    /// A write pauses between attempts, except at a known primary that has not had it yet.
    fn may_send_now(&self, request: &Request, node: &Node) -> bool {
        let has_primary = self.primary(request.group()).is_some();
        !self.is_write(request)
            || retry::write_backoff_is_over(request, self.now)
            || (has_primary && !request.has_tried(node.id()))
    }

    /// Whether it is the kind of node that the request is for: the primary for writes, a replica for reads.
    fn is_wanted(&self, request: &Request, node: &Node) -> bool {
        let is_primary = Some(node.id()) == self.primary(request.group());
        is_primary == self.is_write(request)
    }

    /// Nobody but a warming primary takes writes, so they wait for their turn at it.
    fn waits_for_turn(&self, request: &Request, node: &Node, candidates: f64) -> bool {
        self.is_write(request)
            && !self.slow_start_by_chance
            && !self.slow_start_admits(request, node, candidates)
    }

    /// Where only a report proves a replica fresh, a read waits for the one that it asked for, unless it has something as
    /// good already.
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
                    .is_some_and(|node| node.reported_at < check.asked_at);
                let has_time = self.now < check.asked_at + MAX_WAIT_FOR_REPORT;
                is_unanswered && has_time && self.is_worse(request, found, &check.node)
            }
            None => {
                let to_ask = found.position_check.as_ref();
                to_ask.is_some_and(|node| self.is_worse(request, found, node))
            }
        }
    }

    /// Whether what was found is nothing, the primary, or in a less preferred zone than another node.
    fn is_worse(&self, request: &Request, found: &SearchResult, than: &NodeId) -> bool {
        let share = |node: &NodeId| {
            let node = self.nodes.get(node);
            node.and_then(|node| node.locality_share).unwrap_or(1.0)
        };
        found.node.as_ref().is_none_or(|node| {
            share(node) < share(than) || Some(node) == self.primary(request.group())
        })
    }

    /// Asks a node for its position on behalf of a request.
    fn check_position(&mut self, id: RequestId, node: NodeId, actions: &mut Vec<Action>) {
        let asked_at = self.now;
        let request = self.requests.get_mut(&id).expect("placed requests exist");
        request.position_check.get_or_insert(PositionCheck {
            node: node.clone(),
            asked_at,
        });
        let checked = self.nodes.get_mut(&node).expect("members are known");
        checked.checked_at = asked_at;
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
        let (work, turn) = (stats.work(), self.slow_start_turn(node));
        let query = self.routing_query(request);
        let request = self.requests.get_mut(&id).expect("placed requests exist");
        let node = self.nodes.get_mut(&node_id).expect("members are known");
        let attempt = request.attempts.len() as u32;
        node.turn_spending.spend(turn, work);
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
