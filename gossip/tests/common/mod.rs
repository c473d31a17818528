//! Simulated routers in virtual time. The test decides how links deliver datagrams and how attempts end.
#![allow(
    dead_code,
    missing_docs,
    reason = "each test uses only a part of this module"
)]

use plovercove::{
    AttemptEnd, Endpoint, EndpointUpdate, LocalityPolicy, Micros, NodeId, RoutingQuery, Settings,
    Time,
};
use plovercove_gossip::{Gossip, GossipEvent, Incarnation, Keys, Level, Observer, Rules};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::net::SocketAddr;

pub const S: Micros = 1_000_000;
pub const BEGIN: Time = 1_000_000 * S;
/// Time between two requests of one router.
const REQUEST_INTERVAL: Micros = S / 10;
pub const KEY: &[u8] = b"a key that only tests know of";

#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Turn(usize),
    DatagramArrived {
        to: usize,
        incarnation: u32,
        bytes: Vec<u8>,
    },
    Request(usize),
}

pub struct Router {
    pub gossip: Gossip,
    pub observer: Observer,
    pub up: bool,
    pub stalled: bool,
    incarnation: u32,
    /// Datagrams that arrived during a stall.
    buffered: Vec<Vec<u8>>,
    /// Events of the router, each with its time.
    pub events: Vec<(Time, GossipEvent)>,
}

/// Delivery of a datagram over the network: the delay of each copy that arrives, or none if the datagram is lost.
pub type Link = Box<dyn FnMut(Time, usize, usize, &mut Pcg64Mcg) -> Vec<Micros>>;
/// End of an attempt of a router at a node, and its duration.
pub type AttemptResult =
    Box<dyn FnMut(Time, usize, &NodeId, &mut Pcg64Mcg) -> (AttemptEnd, Micros)>;

/// Makes a corrupted copy of a datagram, which is delivered in addition to it.
pub type Corruption = Box<dyn FnMut(&[u8], &mut Pcg64Mcg) -> Vec<u8>>;

pub struct Net {
    pub corruption: Option<Corruption>,
    /// Number of corrupted copies.
    pub corrupted: u64,
    pub now: Time,
    pub routers: Vec<Router>,
    pub rules: Rules,
    pub nodes: Vec<Endpoint>,
    pub link: Link,
    pub attempt_result: AttemptResult,
    pub rng: Pcg64Mcg,
    /// Number of attempts that did not succeed, by node.
    pub failed_attempts: HashMap<NodeId, u64>,
    queue: BinaryHeap<Reverse<(Time, u64, Event)>>,
    /// Sequence number of the last event, which orders events of the same time.
    event_seq: u64,
    zone: fn(usize) -> &'static str,
    /// Whether datagrams to a stalled router are lost because its buffers are full.
    pub drops_while_stalled: bool,
    /// Whether routers get requests.
    pub sends_requests: bool,
}

pub fn address(n: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, (n / 250) as u8, 1], 7_000 + (n % 250) as u16))
}

pub fn zone(n: usize) -> &'static str {
    ["a", "b", "c"][n % 3]
}

pub fn keys(key: &[u8]) -> Keys {
    Keys::new("test", key, None).expect("long enough")
}

pub fn fast_link() -> Link {
    Box::new(|_, _, _, rng| vec![500 + rng.random_range(0..1_500)])
}

/// Returns a link that loses each datagram with this probability.
pub fn lossy_link(loss: f64) -> Link {
    Box::new(move |_, _, _, rng| {
        if rng.random::<f64>() < loss {
            Vec::new()
        } else {
            vec![500 + rng.random_range(0..1_500)]
        }
    })
}

pub fn all_succeed() -> AttemptResult {
    Box::new(|_, _, _, _| (AttemptEnd::Success, 5_000))
}

/// Returns results by which attempts at this node time out from this time on, and all others succeed.
pub fn node_fails(name: &'static str, from: Time) -> AttemptResult {
    Box::new(move |now, _, node, _| {
        if **node == *name && now >= from {
            (AttemptEnd::TimedOut, 200_000)
        } else {
            (AttemptEnd::Success, 5_000)
        }
    })
}

impl Net {
    pub fn new(routers: usize, groups: usize, seed: u64, rules: Rules) -> Self {
        Self::with_zones(zone, routers, groups, seed, rules)
    }

    /// Creates a network in which `zone` determines the zone of each router.
    pub fn with_zones(
        zone: fn(usize) -> &'static str,
        routers: usize,
        groups: usize,
        seed: u64,
        mut rules: Rules,
    ) -> Self {
        rules.installation = "test".into();
        rules.routers = routers as u32;
        if rules.seeds.is_empty() {
            rules.seeds = (0..3.min(routers)).map(address).collect();
        }
        let endpoint = |n: usize| Endpoint {
            node: format!("s{n}").into(),
            group: (n / 3) as u64 + 1,
            listed_as_primary: n.is_multiple_of(3),
            weight: 1.0,
            ..Endpoint::default()
        };
        let mut net = Net {
            corruption: None,
            corrupted: 0,
            now: BEGIN,
            routers: Vec::new(),
            nodes: (0..groups * 3).map(endpoint).collect(),
            link: fast_link(),
            attempt_result: all_succeed(),
            rng: Pcg64Mcg::seed_from_u64(seed),
            failed_attempts: HashMap::new(),
            queue: BinaryHeap::new(),
            event_seq: 0,
            sends_requests: true,
            drops_while_stalled: false,
            zone,
            rules,
        };
        for n in 0..routers {
            let router = net.boot(n, 0, seed);
            net.routers.push(router);
            net.schedule(BEGIN + n as u64, Event::Turn(n));
            net.schedule(BEGIN + n as u64 * 331, Event::Request(n));
        }
        net
    }

    fn boot(&self, n: usize, incarnation: u32, seed: u64) -> Router {
        let rules = &self.rules;
        let me = Incarnation {
            address: address(n),
            boot: self.now + 1,
            renewals: 0,
            name: format!("n{n}"),
            zone: (self.zone)(n).into(),
        };
        let gossip = Gossip::new(
            rules.clone(),
            keys(KEY),
            me,
            self.now,
            seed ^ (n as u64) << 8 ^ u64::from(incarnation),
        );
        let settings = Settings {
            classes: vec![plovercove::Class {
                name: "look".into(),
                access: plovercove::Access::Any,
                latency_objective: S,
                objective_per_cost: 0.0,
                deadline: S,
                priority_weight: 1.0,
                late_weight_share: 0.0,
                idempotency: plovercove::Idempotency::Idempotent,
                dedup_scope: plovercove::DedupScope::All,
                dedup_window: 0,
                stream: false,
            }],
            ..Settings::default()
        };
        let mut observer = Observer::new(rules, &settings, None);
        observer.endpoints_changed(self.now, &EndpointUpdate::Full(self.nodes.clone()));
        Router {
            gossip,
            observer,
            up: true,
            stalled: false,
            incarnation,
            buffered: Vec::new(),
            events: Vec::new(),
        }
    }

    fn schedule(&mut self, time: Time, event: Event) {
        self.event_seq += 1;
        self.queue.push(Reverse((time, self.event_seq, event)));
    }

    pub fn kill(&mut self, n: usize) {
        self.routers[n].up = false;
    }

    pub fn start(&mut self, n: usize) {
        let (incarnation, events) = (
            self.routers[n].incarnation + 1,
            std::mem::take(&mut self.routers[n].events),
        );
        let fresh = self.boot(n, incarnation, 77);
        self.routers[n] = Router { events, ..fresh };
        self.schedule(self.now, Event::Turn(n));
    }

    pub fn stall(&mut self, n: usize) {
        self.routers[n].stalled = true;
    }

    /// Ends the stall of a router. The datagrams that arrived meanwhile are read first, as in the event loop.
    pub fn resume(&mut self, n: usize) {
        self.routers[n].stalled = false;
        for bytes in std::mem::take(&mut self.routers[n].buffered) {
            self.routers[n].gossip.receive(self.now, &bytes);
        }
        self.turn(n);
    }

    /// Delivers a datagram to a router directly.
    pub fn inject(&mut self, n: usize, bytes: &[u8]) {
        self.routers[n].gossip.receive(self.now, bytes);
    }

    pub fn run(&mut self, duration: Micros) {
        let end = self.now + duration;
        while let Some(Reverse((at, _, _))) = self.queue.peek()
            && *at <= end
        {
            let Some(Reverse((at, _, event))) = self.queue.pop() else {
                break;
            };
            self.now = self.now.max(at);
            match event {
                Event::Turn(n) => {
                    if self.routers[n].up
                        && !self.routers[n].stalled
                        && self.routers[n].gossip.next_deadline() <= self.now
                    {
                        self.turn(n);
                    }
                }
                Event::DatagramArrived {
                    to,
                    incarnation,
                    bytes,
                } => {
                    let router = &mut self.routers[to];
                    if router.up && router.incarnation == incarnation && router.stalled {
                        if !self.drops_while_stalled {
                            router.buffered.push(bytes);
                        }
                    } else if router.up && router.incarnation == incarnation {
                        router.gossip.receive(self.now, &bytes);
                        self.send(to);
                    }
                }
                Event::Request(n) => {
                    if self.sends_requests {
                        self.send_request(n);
                    }
                    self.schedule(self.now + REQUEST_INTERVAL, Event::Request(n));
                }
            }
        }
        self.now = end;
    }

    fn turn(&mut self, n: usize) {
        let now = self.now;
        let router = &mut self.routers[n];
        router.gossip.turn(now, &mut router.observer);
        self.send(n);
    }

    fn send(&mut self, n: usize) {
        let out = self.routers[n].gossip.take_outgoing();
        while let Some(event) = self.routers[n].gossip.next_event() {
            self.routers[n].events.push((self.now, event));
        }
        for (to, bytes) in out {
            let Some(to) = (0..self.routers.len()).find(|n| address(*n) == to) else {
                continue;
            };
            if let Some(corrupt) = &mut self.corruption {
                let (incarnation, bytes) =
                    (self.routers[to].incarnation, corrupt(&bytes, &mut self.rng));
                self.corrupted += 1;
                self.schedule(
                    self.now + 400,
                    Event::DatagramArrived {
                        to,
                        incarnation,
                        bytes,
                    },
                );
            }
            for delay in (self.link)(self.now, n, to, &mut self.rng) {
                let incarnation = self.routers[to].incarnation;
                self.schedule(
                    self.now + delay,
                    Event::DatagramArrived {
                        to,
                        incarnation,
                        bytes: bytes.clone(),
                    },
                );
            }
        }
        let next = self.routers[n].gossip.next_deadline();
        if next < Time::MAX {
            self.schedule(next.max(self.now + 1), Event::Turn(n));
        }
    }

    /// Sends a request of a router to a node that is drawn from those that its policy allows.
    fn send_request(&mut self, n: usize) {
        let router = &mut self.routers[n];
        if !router.up || router.stalled || self.nodes.is_empty() {
            return;
        }
        let query = RoutingQuery {
            request: 1,
            class: 0,
            is_write: false,
        };
        let now = self.now;
        let group = self.rng.random_range(0..self.nodes.len()) / 3 + 1;
        let allowed: Vec<NodeId> = self
            .nodes
            .iter()
            .filter(|e| e.group == group as u64)
            .filter(|e| router.observer.weight_share(now, &query, &e.node).is_some())
            .map(|e| e.node.clone())
            .collect();
        if allowed.is_empty() {
            return;
        }
        let node = allowed[self.rng.random_range(0..allowed.len())].clone();
        router.observer.attempt_sent(now, &query, &node);
        let (ending, elapsed) = (self.attempt_result)(now, n, &node, &mut self.rng);
        if ending != AttemptEnd::Success {
            *self.failed_attempts.entry(node.clone()).or_default() += 1;
        }
        self.routers[n]
            .observer
            .attempt_ended(now, &query, &node, ending, elapsed);
    }

    pub fn update_endpoints(&mut self, update: &EndpointUpdate) {
        for router in &mut self.routers {
            router.observer.endpoints_changed(self.now, update);
        }
    }

    /// Returns the number of members that each router that is up sees.
    pub fn member_counts(&self) -> Vec<usize> {
        self.routers
            .iter()
            .filter(|router| router.up)
            .map(|router| router.gossip.member_count())
            .collect()
    }

    /// Returns the level of a node at each router that is up.
    pub fn levels(&self, node: &str) -> Vec<Level> {
        self.routers
            .iter()
            .filter(|router| router.up)
            .map(|router| router.observer.level(&node.into()))
            .collect()
    }

    /// Runs until a condition holds, and returns how long that took, or `None` if it does not hold in time.
    pub fn run_until(
        &mut self,
        within: Micros,
        mut holds: impl FnMut(&Net) -> bool,
    ) -> Option<Micros> {
        let from = self.now;
        while self.now < from + within {
            if holds(self) {
                return Some(self.now - from);
            }
            self.run(S / 50);
        }
        holds(self).then(|| self.now - from)
    }

    /// Runs until all routers that are up see each other, and returns how long that took.
    pub fn run_until_joined(&mut self) -> Micros {
        let took = self.run_until(60 * S, |net| {
            let seen = net.member_counts();
            seen.iter().all(|n| *n == seen.len())
        });
        took.unwrap_or_else(|| {
            panic!(
                "the routers do not find each other: {:?}",
                self.member_counts()
            )
        })
    }

    /// Returns every ejection: its time, the router and the node.
    pub fn ejections(&self) -> Vec<(Time, usize, String)> {
        let ejections_at = |(n, r): (usize, &Router)| {
            let ejections = r.events.iter().filter_map(move |(at, event)| match event {
                GossipEvent::Verdict { node, verdict, .. } if verdict.level == Level::Ejected => {
                    Some((*at, n, node.to_string()))
                }
                _ => None,
            });
            ejections.collect::<Vec<_>>()
        };
        self.routers
            .iter()
            .enumerate()
            .flat_map(ejections_at)
            .collect()
    }
}
