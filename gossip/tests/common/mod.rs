//! Routers among their peers in virtual time, with whatever weather a test makes between them.
#![allow(dead_code, missing_docs, reason = "each test uses a part of it")]

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
/// Between two requests of one router.
const EVERY: Micros = S / 10;
pub const KEY: &[u8] = b"a key that only tests know of";

#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Turn(usize),
    Came {
        to: usize,
        incarnation: u32,
        bytes: Vec<u8>,
    },
    RoutingQuery(usize),
}

pub struct Router {
    pub peers: Gossip,
    pub observer: Observer,
    pub up: bool,
    pub stopped: bool,
    incarnation: u32,
    /// What came while it stood still.
    held: Vec<Vec<u8>>,
    /// What it said, and when.
    pub news: Vec<(Time, GossipEvent)>,
}

/// What the network does to a datagram: none where it is lost, else how often it comes and after how long.
pub type Weather = Box<dyn FnMut(Time, usize, usize, &mut Pcg64Mcg) -> Vec<Micros>>;
/// What comes of a request of a router at a node.
pub type Fate = Box<dyn FnMut(Time, usize, &NodeId, &mut Pcg64Mcg) -> (AttemptEnd, Micros)>;

/// What comes beside each datagram, made of it: where it goes, and its bytes.
pub type Spoils = Box<dyn FnMut(&[u8], &mut Pcg64Mcg) -> Vec<u8>>;

pub struct Net {
    pub spoils: Option<Spoils>,
    /// How many of those there were.
    pub spoilt: u64,
    pub now: Time,
    pub routers: Vec<Router>,
    pub rules: Rules,
    pub nodes: Vec<Endpoint>,
    pub weather: Weather,
    pub fate: Fate,
    pub dice: Pcg64Mcg,
    /// Attempts that a bad end came of, by node.
    pub lost: HashMap<NodeId, u64>,
    heap: BinaryHeap<Reverse<(Time, u64, Event)>>,
    order: u64,
    zone: fn(usize) -> &'static str,
    /// Whether what comes to a router that stands still is lost: its buffers are full.
    pub full: bool,
    /// Whether routers are asked anything.
    pub asks: bool,
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

pub fn calm() -> Weather {
    Box::new(|_, _, _, dice| vec![500 + dice.random_range(0..1_500)])
}

/// Each datagram is lost with this chance.
pub fn lossy(loss: f64) -> Weather {
    Box::new(move |_, _, _, dice| {
        if dice.random::<f64>() < loss {
            Vec::new()
        } else {
            vec![500 + dice.random_range(0..1_500)]
        }
    })
}

pub fn good() -> Fate {
    Box::new(|_, _, _, _| (AttemptEnd::Success, 5_000))
}

/// Nodes of this name never answer from then on.
pub fn dies(name: &'static str, from: Time) -> Fate {
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
        Self::within(zone, routers, groups, seed, rules)
    }

    /// Routers that stand in these zones.
    pub fn within(
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
        let entry = |n: usize| Endpoint {
            node: format!("s{n}").into(),
            group: (n / 3) as u64 + 1,
            listed_as_primary: n.is_multiple_of(3),
            weight: 1.0,
            ..Endpoint::default()
        };
        let mut net = Net {
            spoils: None,
            spoilt: 0,
            now: BEGIN,
            routers: Vec::new(),
            nodes: (0..groups * 3).map(entry).collect(),
            weather: calm(),
            fate: good(),
            dice: Pcg64Mcg::seed_from_u64(seed),
            lost: HashMap::new(),
            heap: BinaryHeap::new(),
            order: 0,
            asks: true,
            full: false,
            zone,
            rules,
        };
        for n in 0..routers {
            let router = net.boot(n, 0, seed);
            net.routers.push(router);
            net.at(BEGIN + n as u64, Event::Turn(n));
            net.at(BEGIN + n as u64 * 331, Event::RoutingQuery(n));
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
        let peers = Gossip::new(
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
            peers,
            observer,
            up: true,
            stopped: false,
            incarnation,
            held: Vec::new(),
            news: Vec::new(),
        }
    }

    fn at(&mut self, at: Time, event: Event) {
        self.order += 1;
        self.heap.push(Reverse((at, self.order, event)));
    }

    pub fn kill(&mut self, n: usize) {
        self.routers[n].up = false;
    }

    pub fn start(&mut self, n: usize) {
        let (incarnation, news) = (
            self.routers[n].incarnation + 1,
            std::mem::take(&mut self.routers[n].news),
        );
        let fresh = self.boot(n, incarnation, 77);
        self.routers[n] = Router { news, ..fresh };
        self.at(self.now, Event::Turn(n));
    }

    pub fn stop(&mut self, n: usize) {
        self.routers[n].stopped = true;
    }

    /// It goes on: what came meanwhile is read first, as the loop does.
    pub fn go_on(&mut self, n: usize) {
        self.routers[n].stopped = false;
        for bytes in std::mem::take(&mut self.routers[n].held) {
            self.routers[n].peers.receive(self.now, &bytes);
        }
        self.turn(n);
    }

    /// Hands a datagram to a router as it is.
    pub fn inject(&mut self, n: usize, bytes: &[u8]) {
        self.routers[n].peers.receive(self.now, bytes);
    }

    pub fn run(&mut self, span: Micros) {
        let until = self.now + span;
        while let Some(Reverse((at, _, _))) = self.heap.peek()
            && *at <= until
        {
            let Some(Reverse((at, _, event))) = self.heap.pop() else {
                break;
            };
            self.now = self.now.max(at);
            match event {
                Event::Turn(n) => {
                    if self.routers[n].up
                        && !self.routers[n].stopped
                        && self.routers[n].peers.next_deadline() <= self.now
                    {
                        self.turn(n);
                    }
                }
                Event::Came {
                    to,
                    incarnation,
                    bytes,
                } => {
                    let router = &mut self.routers[to];
                    if router.up && router.incarnation == incarnation && router.stopped {
                        if !self.full {
                            router.held.push(bytes);
                        }
                    } else if router.up && router.incarnation == incarnation {
                        router.peers.receive(self.now, &bytes);
                        self.send(to);
                    }
                }
                Event::RoutingQuery(n) => {
                    if self.asks {
                        self.ask(n);
                    }
                    self.at(self.now + EVERY, Event::RoutingQuery(n));
                }
            }
        }
        self.now = until;
    }

    fn turn(&mut self, n: usize) {
        let now = self.now;
        let router = &mut self.routers[n];
        router.peers.turn(now, &mut router.observer);
        self.send(n);
    }

    fn send(&mut self, n: usize) {
        let out = self.routers[n].peers.take_outgoing();
        while let Some(news) = self.routers[n].peers.next_event() {
            self.routers[n].news.push((self.now, news));
        }
        for (to, bytes) in out {
            let Some(to) = (0..self.routers.len()).find(|n| address(*n) == to) else {
                continue;
            };
            if let Some(spoils) = &mut self.spoils {
                let (incarnation, bytes) =
                    (self.routers[to].incarnation, spoils(&bytes, &mut self.dice));
                self.spoilt += 1;
                self.at(
                    self.now + 400,
                    Event::Came {
                        to,
                        incarnation,
                        bytes,
                    },
                );
            }
            for after in (self.weather)(self.now, n, to, &mut self.dice) {
                let incarnation = self.routers[to].incarnation;
                self.at(
                    self.now + after,
                    Event::Came {
                        to,
                        incarnation,
                        bytes: bytes.clone(),
                    },
                );
            }
        }
        let next = self.routers[n].peers.next_deadline();
        if next < Time::MAX {
            self.at(next.max(self.now + 1), Event::Turn(n));
        }
    }

    /// A request to one of the nodes that count for it, drawn at random.
    fn ask(&mut self, n: usize) {
        let router = &mut self.routers[n];
        if !router.up || router.stopped || self.nodes.is_empty() {
            return;
        }
        let ask = RoutingQuery {
            request: 1,
            class: 0,
            is_write: false,
        };
        let now = self.now;
        let group = self.dice.random_range(0..self.nodes.len()) / 3 + 1;
        let able: Vec<NodeId> = self
            .nodes
            .iter()
            .filter(|e| e.group == group as u64)
            .filter(|e| router.observer.weight_share(now, &ask, &e.node).is_some())
            .map(|e| e.node.clone())
            .collect();
        if able.is_empty() {
            return;
        }
        let node = able[self.dice.random_range(0..able.len())].clone();
        router.observer.attempt_sent(now, &ask, &node);
        let (ending, elapsed) = (self.fate)(now, n, &node, &mut self.dice);
        if ending != AttemptEnd::Success {
            *self.lost.entry(node.clone()).or_default() += 1;
        }
        self.routers[n]
            .observer
            .attempt_ended(now, &ask, &node, ending, elapsed);
    }

    pub fn list(&mut self, update: &EndpointUpdate) {
        for router in &mut self.routers {
            router.observer.endpoints_changed(self.now, update);
        }
    }

    pub fn seen(&self) -> Vec<usize> {
        self.routers
            .iter()
            .filter(|r| r.up)
            .map(|r| r.peers.seen_count())
            .collect()
    }

    /// The level of a node at every router that is up.
    pub fn levels(&self, node: &str) -> Vec<Level> {
        self.routers
            .iter()
            .filter(|r| r.up)
            .map(|r| r.observer.level(&node.into()))
            .collect()
    }

    /// Runs until a condition holds; how long that took.
    pub fn until(&mut self, within: Micros, mut holds: impl FnMut(&Net) -> bool) -> Option<Micros> {
        let from = self.now;
        while self.now < from + within {
            if holds(self) {
                return Some(self.now - from);
            }
            self.run(S / 50);
        }
        holds(self).then(|| self.now - from)
    }

    /// Runs until all that are up see each other.
    pub fn joined(&mut self) -> Micros {
        let took = self.until(60 * S, |net| {
            let seen = net.seen();
            seen.iter().all(|n| *n == seen.len())
        });
        took.unwrap_or_else(|| panic!("they do not find each other: {:?}", self.seen()))
    }

    /// Every verdict that took a node out: when, at which router, on which node.
    pub fn outs(&self) -> Vec<(Time, usize, String)> {
        let of = |(n, r): (usize, &Router)| {
            let told = r.news.iter().filter_map(move |(at, news)| match news {
                GossipEvent::Verdict { node, verdict, .. } if verdict.level == Level::Ejected => {
                    Some((*at, n, node.to_string()))
                }
                _ => None,
            });
            told.collect::<Vec<_>>()
        };
        self.routers.iter().enumerate().flat_map(of).collect()
    }
}
