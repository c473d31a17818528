//! Replica selection: the cost-weighted choice among the replicas that are fresh enough (C-DBRD).
//!
//! A read goes where its estimated cost, discounted by its similarity to what the replica has lately served, plus the load
//! already there is least against the replica's weight. Near ties take turns, from a start set by the router's number, so
//! that routers do not move in step. `docs/design.md` names the source and the departures from it.
//!
//! **Why was this read sent to the primary?** See [`Balancer::select_replica`]: no replica is fresh enough, or those that
//! are have no room and the primary has.

use crate::api::{Access, Micros, ReplicaCheck, RequestInfo, WeightMeaning};
use crate::balancer::Balancer;
use crate::node::Node;
use crate::request::Request;
use std::collections::VecDeque;
use std::sync::Arc;

/// Reads remembered for each node; the paper's n.
const RECENT_READS: usize = 15;
/// Effect of similarity on cost; the paper's alpha.
const SIMILARITY_WEIGHT: f64 = 0.8;
/// Scores within this factor of the least are a tie.
const NEAR_TIE_FACTOR: f64 = 1.05;
/// What crossing a zone adds to a read's cost, as a share of its class's latency.
const CROSS_ZONE_COST: f64 = 0.3;
/// What opening a connection adds, likewise, where routers are many: nodes' tables of connections fill.
const NEW_CONNECTION_COST: f64 = 0.3;
/// A read that any data will do for costs so many times as much where the data is of use to others.
const FRESH_DATA_FACTOR: f64 = 2.0;
/// A class is long when it takes so many times the least latency of all: where it runs it may hold up replication.
const LONG_CLASS_FACTOR: f64 = 4.0;
/// A replica so many times as loaded as the mean makes it worth finding another.
const CROWDED_FACTOR: f64 = 2.0;
/// Share of the primary's limit that is open to reads for which replicas have no room.
const SPILL_SHARE_OF_PRIMARY: f64 = 0.6;
/// A node whose last word put it too far behind is not tried blindly for so long.
const LAST_WORD_TRUSTED: Micros = 1_000_000;
/// List weights are never taken for less.
const MIN_LISTED_WEIGHT: f64 = 0.01;

/// One read that a node has served.
#[derive(Clone, Debug)]
struct RecentRead {
    session: Arc<str>,
    class: usize,
}

/// The reads that a node has lately got, the newest last: what its caches hold.
#[derive(Clone, Debug, Default)]
pub(crate) struct RecentReads {
    reads: VecDeque<RecentRead>,
}

impl RecentReads {
    /// A read is sent to the node. One without a session names no object and is not remembered.
    pub(crate) fn push(&mut self, info: &RequestInfo) {
        let Some(session) = &info.session else {
            return;
        };
        self.reads.push_back(RecentRead {
            session: session.clone(),
            class: info.class,
        });
        let excess = self.reads.len().saturating_sub(RECENT_READS);
        self.reads.drain(..excess);
    }

    /// How much of a read's statement and objects the recent reads share, from 0 to 1: half for its session, half for the
    /// same class with it. A read without a session resembles nothing.
    fn similarity(&self, info: &RequestInfo) -> f64 {
        let Some(session) = &info.session else {
            return 0.0;
        };
        let same_session = |read: &&RecentRead| read.session == *session;
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

/// What the choice among replicas comes to.
#[derive(Default)]
pub(crate) struct Selection<'a> {
    /// Where the read goes, if anywhere.
    pub(crate) node: Option<&'a Node>,
    /// A replica to ask for its position, since it may turn out fresh enough.
    pub(crate) position_check: Option<&'a Node>,
}

impl<'a> Selection<'a> {
    pub(crate) fn of(node: Option<&'a Node>) -> Self {
        Selection {
            node,
            position_check: None,
        }
    }
}

impl Balancer {
    /// Selects a replica for a read. `replicas` are those that admit it, `primary` the primary where it does and has room.
    pub(crate) fn select_replica<'a>(
        &self,
        request: &Request,
        replicas: &[&'a Node],
        primary: Option<&'a Node>,
    ) -> Selection<'a> {
        if let Some(on_trial) = self.replica_on_trial(request, replicas) {
            return Selection::of(Some(on_trial));
        }
        let serving = replicas
            .iter()
            .copied()
            .filter(|node| self.is_selectable(node));
        let (fresh, behind): (Vec<&Node>, Vec<&Node>) =
            serving.partition(|node| self.is_fresh_enough(self.now, node, request));
        let position_check = self.replica_to_ask(request, &fresh, &behind);
        let tied = self.cheapest(request, &fresh);
        let node = match tied.len() {
            // Where fresh replicas exist but are full, the primary keeps room for its writes.
            0 if !fresh.is_empty() => {
                primary.filter(|node| node.has_room(self.now, SPILL_SHARE_OF_PRIMARY))
            }
            0 => primary.or_else(|| self.most_advanced(request, replicas)),
            ties => Some(tied[((self.reads_placed + 1) % ties as u64) as usize]),
        };
        Selection {
            node,
            position_check,
        }
    }

    /// The last resort where nodes check reads themselves: the most advanced, but none whose last word proves it too far
    /// behind to serve.
    pub(crate) fn most_advanced<'a>(
        &self,
        request: &Request,
        nodes: &[&'a Node],
    ) -> Option<&'a Node> {
        if self.settings.replica_check == ReplicaCheck::None {
            return None;
        }
        let may_have_caught_up =
            |node: &Node| self.now > node.position.updated_at + LAST_WORD_TRUSTED;
        let candidates = nodes.iter().copied().filter(|node| {
            node.is_usable(self.now)
                && !request.was_misdirected_to(node.id())
                && may_have_caught_up(node)
        });
        candidates.max_by_key(|node| node.position.applied_up_to)
    }

    /// The cost of a read at a node (us). There is no discount at a node that may have swallowed an answer of it: it would
    /// be chosen over and over.
    pub(crate) fn cost(&self, node: &Node, request: &Request) -> f64 {
        let similarity = if request.may_have_executed_at(node.id()) {
            0.0
        } else {
            node.recent_reads.similarity(&request.info)
        };
        (1.0 - SIMILARITY_WEIGHT * similarity) * self.classes[request.info.class].latency
    }

    /// An ejected replica whose trial this read may be.
    fn replica_on_trial<'a>(&self, request: &Request, replicas: &[&'a Node]) -> Option<&'a Node> {
        if !request.attempts.is_empty() {
            return None;
        }
        replicas.iter().copied().find(|node| {
            node.accepts_trial(self.now) && self.is_fresh_enough(self.now, node, request)
        })
    }

    /// Where routers are many, a node that has just turned work away is left alone altogether.
    fn is_selectable(&self, node: &Node) -> bool {
        let backs_off = self.has_sparse_view && self.now < node.backoff_until;
        node.is_serving() && !backs_off
    }

    /// The replica behind to ask for its position, if that pays. A few routers ask whenever one falls out of freshness, or
    /// all reads would crowd on the one asked last; hundreds pay for each other's questions, and ask only when the answer
    /// may win a read its first good replica.
    fn replica_to_ask<'a>(
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
        let askable = behind
            .iter()
            .copied()
            .filter(|node| self.position_check_pays(node));
        // Nodes never asked tie. In one common order all routers would crowd on the same one, so each has its own.
        askable.min_by_key(|node| (is_remote(node), node.checked_at, node.router_order))
    }

    /// Near, usable, and not much more loaded than the mean.
    fn is_uncrowded(&self, request: &Request, node: &Node) -> bool {
        let most = CROWDED_FACTOR * (self.mean_external_load(request.group()) + 1.0);
        !is_remote(node)
            && node.is_usable(self.now)
            && (self.external_load(node) + 1.0) / self.weight(node) <= most
    }

    /// Those whose score is within a near tie of the least.
    fn cheapest<'a>(&self, request: &Request, fresh: &[&'a Node]) -> Vec<&'a Node> {
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
        let least = scored
            .iter()
            .map(|(score, _)| *score)
            .fold(f64::INFINITY, f64::min);
        let is_tied = |(score, _): &(f64, &Node)| *score <= least * NEAR_TIE_FACTOR;
        let tied = scored.into_iter().filter(is_tied);
        tied.map(|(_, node)| node).collect()
    }

    /// Load and cost against weight: the less the better.
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

    /// A node's weight: the list's, over its observed slowness, times its warm share and what locality leaves of it.
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

/// A read that any data will do for leaves fresh replicas to those that need them, and a long one goes to the few that are
/// furthest behind: spread over all, long reads would keep the log from being applied anywhere.
struct FreshnessSpreading<'a> {
    /// The fresh replicas, the furthest behind first; empty where the read is not of that kind.
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
        let least = latencies.fold(f64::INFINITY, f64::min);
        let latency = balancer.classes[request.info.class].latency;
        FreshnessSpreading {
            by_position,
            is_long: latency >= least * LONG_CLASS_FACTOR,
        }
    }

    /// How many times its cost a read counts at this node.
    fn factor(&self, balancer: &Balancer, node: &Node) -> f64 {
        let place = self
            .by_position
            .iter()
            .position(|other| other.id() == node.id());
        let age = balancer.now.saturating_sub(node.position.applied_up_to);
        match place {
            Some(place) if self.is_long => 1.0 + place as f64,
            Some(_) if age <= balancer.stale_age => FRESH_DATA_FACTOR,
            _ => 1.0,
        }
    }
}

/// The locality policy lets only a part of it count: it stands in a less preferred zone.
fn is_remote(node: &Node) -> bool {
    node.locality_share.is_some_and(|share| share < 1.0)
}
