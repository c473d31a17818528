//! Replica selection: the cost-weighted choice among the replicas that are fresh enough (C-DBRD).
//!
//! Each replica has a score: the estimated cost of the read, discounted by its similarity to the recent reads of the
//! replica, plus the load already there, divided by the replica's weight. A read goes to the lowest score. Near ties
//! are resolved round robin, starting from the router's index, so that routers do not choose in step. `docs/design.md`
//! names the source and the differences from it.
//!
//! **Why was this read sent to the primary?** See [`Balancer::select_replica`]: no replica is fresh enough, or the
//! fresh replicas have no room and the primary has.

use crate::api::{Access, Micros, ReplicaCheck, RequestInfo, SessionId, WeightMeaning};
use crate::balancer::Balancer;
use crate::node::Node;
use crate::request::Request;
use std::collections::VecDeque;

/// Number of recent reads kept for each node (n in the paper).
const RECENT_READS: usize = 15;
/// Weight of similarity in the cost (alpha in the paper).
const SIMILARITY_WEIGHT: f64 = 0.8;
/// Factor within which scores count as tied with the lowest.
const NEAR_TIE_FACTOR: f64 = 1.05;
/// Cost of crossing a zone, as a share of the latency of the read's class.
const CROSS_ZONE_COST: f64 = 0.3;
/// Cost of opening a connection, as a share of the same latency, for routers with a sparse view: the connections of
/// many routers fill the nodes' connection tables.
const NEW_CONNECTION_COST: f64 = 0.3;
/// Factor on the cost of a read that accepts data of any age, at replicas whose data is fresh enough for other reads.
const FRESH_DATA_FACTOR: f64 = 2.0;
/// Factor over the lowest class latency from which a class counts as long. Long reads may delay replication where they
/// run.
const LONG_CLASS_FACTOR: f64 = 4.0;
/// Factor over the mean load from which a replica counts as crowded, so that polling another one is worthwhile.
const CROWDED_FACTOR: f64 = 2.0;
/// Share of the primary's concurrency limit that is open to reads for which the replicas have no room.
const SPILL_SHARE_OF_PRIMARY: f64 = 0.6;
/// Time after a report of its position during which a node that lags too far behind is not tried as the last resort.
const LAST_REPORT_TRUSTED: Micros = 1_000_000;
/// Lower bound of the weights in the endpoint list.
const MIN_LISTED_WEIGHT: f64 = 0.01;

/// A read that a node has recently served.
#[derive(Clone, Debug)]
struct RecentRead {
    session: SessionId,
    class: usize,
}

/// The reads that a node has recently received, the newest last. They estimate what its caches hold.
#[derive(Clone, Debug, Default)]
pub(crate) struct RecentReads {
    reads: VecDeque<RecentRead>,
}

impl RecentReads {
    /// Records a read that is sent to the node. A read without a session names no object and is not recorded.
    pub(crate) fn push(&mut self, info: &RequestInfo) {
        let Some(session) = info.session else {
            return;
        };
        self.reads.push_back(RecentRead {
            session,
            class: info.class,
        });
        let excess = self.reads.len().saturating_sub(RECENT_READS);
        self.reads.drain(..excess);
    }

    /// Returns the similarity of a read to the recent reads, from 0 to 1: one half if a recent read has the same
    /// session, and the other half if one has the same session and class. A read without a session has similarity 0.
    fn similarity(&self, info: &RequestInfo) -> f64 {
        let Some(session) = info.session else {
            return 0.0;
        };
        let same_session = |read: &&RecentRead| read.session == session;
        let same_object = self.reads.iter().any(|read| same_session(&read));
        let same_statement = self
            .reads
            .iter()
            .filter(same_session)
            .any(|read| read.class == info.class);
        let matches = u8::from(same_object) + u8::from(same_statement);
        f64::from(matches) / 2.0
    }
}

/// The result of the choice among replicas.
#[derive(Default)]
pub(crate) struct Selection<'a> {
    /// The node that the read goes to, if there is one.
    pub(crate) node: Option<&'a Node>,
    /// A replica to poll for its position, since it may turn out to be fresh enough.
    pub(crate) position_check: Option<&'a Node>,
}

impl<'a> Selection<'a> {
    pub(crate) fn send_to(node: Option<&'a Node>) -> Self {
        Selection {
            node,
            position_check: None,
        }
    }
}

impl Balancer {
    /// Selects a replica for a read. `replicas` are the replicas that admit it. `primary` is the primary, if it admits
    /// the read and has room.
    pub(crate) fn select_replica<'a>(
        &self,
        request: &Request,
        replicas: &[&'a Node],
        primary: Option<&'a Node>,
    ) -> Selection<'a> {
        if let Some(trial_replica) = self.find_replica_for_trial(request, replicas) {
            return Selection::send_to(Some(trial_replica));
        }
        let serving = replicas
            .iter()
            .copied()
            .filter(|node| self.is_selectable(node));
        let (fresh, behind): (Vec<&Node>, Vec<&Node>) =
            serving.partition(|node| self.is_fresh_enough(self.now, node, request));
        let position_check = self.find_replica_to_check(request, &fresh, &behind);
        let tied = self.find_cheapest(request, &fresh);
        let node = match tied.len() {
            // If fresh replicas exist but are full, the primary keeps room for its writes.
            0 if !fresh.is_empty() => {
                primary.filter(|node| node.has_room(self.now, SPILL_SHARE_OF_PRIMARY))
            }
            0 => primary.or_else(|| self.find_most_advanced(request, replicas)),
            ties => Some(tied[((self.reads_placed + 1) % ties as u64) as usize]),
        };
        Selection {
            node,
            position_check,
        }
    }

    /// Returns the last resort if nodes check reads themselves: the most advanced node, except nodes whose position was
    /// reported within [`LAST_REPORT_TRUSTED`]. The caller has found no node that is known to be fresh enough, so a
    /// position that recent shows that its node is too far behind.
    pub(crate) fn find_most_advanced<'a>(
        &self,
        request: &Request,
        nodes: &[&'a Node],
    ) -> Option<&'a Node> {
        if self.settings.replica_check == ReplicaCheck::None {
            return None;
        }
        let may_have_caught_up =
            |node: &Node| self.now > node.position.updated_at + LAST_REPORT_TRUSTED;
        let candidates = nodes.iter().copied().filter(|node| {
            node.is_usable(self.now)
                && !request.was_misdirected_to(node.id())
                && may_have_caught_up(node)
        });
        candidates.max_by_key(|node| node.position.applied_up_to)
    }

    /// Returns the cost of a read at a node (us). A node that may have executed an earlier attempt of this read gets no
    /// discount: if it loses answers it would be chosen over and over.
    pub(crate) fn cost(&self, node: &Node, request: &Request) -> f64 {
        let similarity = if request.may_have_executed_at(node.id()) {
            0.0
        } else {
            node.recent_reads.similarity(&request.info)
        };
        (1.0 - SIMILARITY_WEIGHT * similarity) * self.classes[request.info.class].latency
    }

    /// Returns an ejected replica that is due for a trial, which this read may be.
    fn find_replica_for_trial<'a>(
        &self,
        request: &Request,
        replicas: &[&'a Node],
    ) -> Option<&'a Node> {
        if !request.attempts.is_empty() {
            return None;
        }
        replicas.iter().copied().find(|node| {
            node.accepts_trial(self.now) && self.is_fresh_enough(self.now, node, request)
        })
    }

    /// Returns whether a node can be selected. With a sparse view, a node that has just rejected work is not selected
    /// at all.
    fn is_selectable(&self, node: &Node) -> bool {
        let backs_off = self.has_sparse_view && self.now < node.backoff_until;
        node.is_serving() && !backs_off
    }

    /// Returns the lagging replica to poll for its position, if polling is worthwhile. A few routers poll whenever a
    /// replica is no longer fresh, or all reads would crowd on the replica that was polled last. With a sparse view a
    /// router polls only if the answer may give the read its first uncrowded replica, since the nodes have to answer
    /// the polls of hundreds of routers.
    fn find_replica_to_check<'a>(
        &self,
        request: &Request,
        fresh: &[&Node],
        behind: &[&'a Node],
    ) -> Option<&'a Node> {
        let nodes_check = self.settings.replica_check != ReplicaCheck::None;
        let needed = !self.has_sparse_view
            || nodes_check
            || !fresh.iter().any(|node| self.is_uncrowded(request, node));
        if !needed {
            return None;
        }
        let checkable = behind
            .iter()
            .copied()
            .filter(|node| self.position_check_pays(node));
        // Nodes that were never polled tie. Each router breaks ties by an order of its own; in a common order all
        // routers would crowd on the same node.
        checkable.min_by_key(|node| (is_remote(node), node.checked_at, node.router_order))
    }

    /// Returns whether the node is usable, not remote, and not much more loaded than the mean.
    fn is_uncrowded(&self, request: &Request, node: &Node) -> bool {
        let max_load = CROWDED_FACTOR * (self.mean_external_load(request.group()) + 1.0);
        !is_remote(node)
            && node.is_usable(self.now)
            && (self.external_load(node) + 1.0) / self.weight(node) <= max_load
    }

    /// Returns the nodes whose score is within a near tie of the lowest.
    fn find_cheapest<'a>(&self, request: &Request, fresh: &[&'a Node]) -> Vec<&'a Node> {
        let spreading = FreshnessSpreading::new(self, request, fresh);
        let usable = fresh
            .iter()
            .copied()
            .filter(|node| node.is_usable(self.now));
        let scored: Vec<(f64, &Node)> = usable
            .map(|node| {
                (
                    self.score(request, node, spreading.factor(self, node)),
                    node,
                )
            })
            .collect();
        let lowest = scored
            .iter()
            .map(|(score, _)| *score)
            .fold(f64::INFINITY, f64::min);
        let is_tied = |(score, _): &(f64, &Node)| *score <= lowest * NEAR_TIE_FACTOR;
        let tied = scored.into_iter().filter(is_tied);
        tied.map(|(_, node)| node).collect()
    }

    /// Returns the score of a node, load plus cost divided by weight. Lower is better.
    fn score(&self, request: &Request, node: &Node, spreading_factor: f64) -> f64 {
        let latency = self.classes[request.info.class].latency;
        let own_load: f64 = node
            .live_attempts(self.now)
            .map(|attempt| attempt.cost)
            .sum();
        let load = own_load + self.external_load(node) * latency;
        let crosses_zone = node.endpoint.zone != self.settings.zone;
        let crossing = if crosses_zone { CROSS_ZONE_COST } else { 0.0 };
        let needs_connection = self.has_sparse_view && !node.is_connected;
        let connecting = if needs_connection {
            NEW_CONNECTION_COST
        } else {
            0.0
        };
        let cost = self.cost(node, request) + (crossing + connecting) * latency;
        (load + cost) * spreading_factor / self.weight(node)
    }

    /// Returns a node's effective weight: its listed weight divided by its slowness, times its warm share and the share
    /// that the locality policy allows.
    fn weight(&self, node: &Node) -> f64 {
        let listed = if self.settings.weight_meaning == WeightMeaning::None {
            1.0
        } else {
            node.endpoint.weight.max(MIN_LISTED_WEIGHT)
        };
        listed / node.slowness.at(self.now)
            * self.warm_share(node)
            * node.locality_share.unwrap_or(1.0)
    }
}

/// Steers reads that accept data of any age away from fresh replicas, which other reads need. Long reads go to the few
/// replicas that are furthest behind: spread over all replicas, they would delay the log everywhere.
struct FreshnessSpreading<'a> {
    /// The fresh replicas, the furthest behind first; empty if the read does not accept data of any age.
    by_position: Vec<&'a Node>,
    is_long: bool,
}

impl<'a> FreshnessSpreading<'a> {
    fn new(balancer: &Balancer, request: &Request, fresh: &[&'a Node]) -> Self {
        let takes_any = balancer.settings.classes[request.info.class].access == Access::Any;
        let mut by_position = if takes_any {
            fresh.to_vec()
        } else {
            Vec::new()
        };
        by_position.sort_by_key(|node| node.position.applied_up_to);
        let latencies = balancer.classes.iter().map(|class| class.latency);
        let lowest = latencies.fold(f64::INFINITY, f64::min);
        let latency = balancer.classes[request.info.class].latency;
        FreshnessSpreading {
            by_position,
            is_long: latency >= lowest * LONG_CLASS_FACTOR,
        }
    }

    /// Returns the factor on the cost of a read at this node.
    fn factor(&self, balancer: &Balancer, node: &Node) -> f64 {
        let index = self
            .by_position
            .iter()
            .position(|other| other.id() == node.id());
        let age = balancer.now.saturating_sub(node.position.applied_up_to);
        match index {
            Some(index) if self.is_long => 1.0 + index as f64,
            Some(_) if age <= balancer.stale_age => FRESH_DATA_FACTOR,
            _ => 1.0,
        }
    }
}

/// Returns whether the locality policy allows only a part of the node's weight, because it is in a less preferred zone.
fn is_remote(node: &Node) -> bool {
    node.locality_share.is_some_and(|share| share < 1.0)
}
