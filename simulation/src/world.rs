//! The world in virtual time: one ordered heap of events, routers with the real core, nodes, the network, the list and
//! the clients.

mod clients;
mod faults;
mod links;
mod list;
mod nodes;
mod routers;
mod summary;
mod talk;

pub use talk::GossipStats;

use crate::SimRng;
use crate::node::NodeModel;
use crate::pressure::{LoadPeak, Pressure};
use crate::replication::Group;
use crate::report::{Report, Second, ServedShare};
use crate::rules::{Breaches, Rule};
use crate::spec::{Spec, SpecError, layout};
use hdrhistogram::Histogram;
use plovercove::{AttemptEnd, Endpoint, EndpointState, Micros, NodeId, NodeReport, Settings, Time};
use plovercove_engine::{AttemptId, Backoff, Engine, Key};
use rand::{RngExt, SeedableRng};
use rand_distr::{Distribution, LogNormal, Normal};
use slab::Slab;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::sync::Arc;

/// Virtual time begins here, so that nothing of a run lies before the clock's zero.
const BEGIN: Time = 1_000_000_000;
/// Runs go on for so long after the last arrival.
const AFTER: Time = 8_000_000;
/// Pauses of a router whose call of the list failed, as the router's own: the first and the longest (us).
const CALL_PAUSES: (Micros, Micros) = (1_000_000, 8_000_000);
/// Sessions of each group.
const SESSIONS: usize = 64;

fn us(seconds: f64) -> Time {
    (seconds * 1e6) as Time
}

#[derive(Clone, Copy, Debug)]
enum Event {
    /// A client of this router asks something new.
    Arrive(u32),
    /// A client tries again.
    Retry(u32),
    /// A connection is up, and what is sent on it arrives.
    Up(u32),
    AtNode(u32),
    /// A node is done with a request.
    Done {
        node: u32,
        epoch: u32,
        run: u32,
    },
    /// What came of an attempt reaches its router.
    Back {
        run: u32,
        ending: AttemptEnd,
    },
    Wake(u32),
    ProbeAt {
        router: u32,
        epoch: u32,
        node: u32,
    },
    ProbeBack {
        router: u32,
        epoch: u32,
        node: u32,
        told: Option<NodeReport>,
    },
    /// The list changes; a router hears of it.
    Change(u32),
    Tell {
        router: u32,
        version: u32,
    },
    /// A router asks the list for what it has missed.
    Call {
        router: u32,
        epoch: u32,
    },
    Begin(u32),
    End(u32),
    Elect(u32),
    Stop(u32),
    Start(u32),
    /// Something of a router's talk with others is due, or a datagram arrives.
    Talk {
        router: u32,
        epoch: u32,
    },
    Datagram {
        router: u32,
        epoch: u32,
        slot: u32,
    },
    Tick,
}

struct Item(Time, u64, Event);

impl PartialEq for Item {
    fn eq(&self, other: &Self) -> bool {
        (self.0, self.1) == (other.0, other.1)
    }
}
impl Eq for Item {}
impl PartialOrd for Item {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for Item {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.0, self.1).cmp(&(other.0, other.1))
    }
}

struct Node {
    id: NodeId,
    machine: NodeModel<u32>,
    zone: usize,
    group: usize,
    member: usize,
    /// It counts process starts and ends.
    epoch: u32,
    up: bool,
    connections: u32,
    headed: bool,
}

struct Router {
    engine: Option<Engine>,
    zone: usize,
    epoch: u32,
    wake: Option<Time>,
    /// First tries a second.
    rate: f64,
    /// The version of the list that it has heard.
    told: u32,
    /// It hears of each change so much later than the first.
    hears_after: Micros,
    silent: u32,
    /// Idle connections to each node, and the epoch of the node they were made in.
    pools: Vec<(u32, u32)>,
    /// When it was told that a node drains or is gone.
    closed: HashMap<NodeId, Time>,
    /// Its pauses after calls of the list that failed.
    pauses: Backoff,
    /// When each node started, as far as it was told.
    starts: HashMap<u32, Time>,
    attempts: HashMap<AttemptId, u32>,
    talk: Option<talk::Talk>,
    /// When it was last stopped or started.
    struck: Option<Time>,
}

struct Run {
    router: u32,
    router_epoch: u32,
    attempt: AttemptId,
    node: u32,
    node_epoch: u32,
    request: u32,
    class: u32,
    work: f64,
    sent: Time,
    given_up: bool,
    /// The position of the data it was answered from, and whether by a primary, present or past.
    position: Time,
    by_head: bool,
    at_node: bool,
}

struct Request {
    router: u32,
    class: u32,
    tenant: Option<usize>,
    group: u32,
    session: u32,
    born: Time,
    need: Option<Time>,
    tries: u32,
    /// The try that is under way: its final answer is owed by then.
    awaiting: Option<Time>,
    key: Option<Key>,
    ran: u32,
    over: bool,
    /// Runs and scheduled retries that still name it.
    holds: u32,
}

/// Up to which draw from 0 to 1 each group is asked for; empty where all are alike.
fn popular(groups: usize, skew: f64) -> Vec<f64> {
    if skew == 0.0 {
        return Vec::new();
    }
    let weights: Vec<f64> = (1..=groups).map(|n| (n as f64).powf(-skew)).collect();
    let all: f64 = weights.iter().sum();
    let sums = weights.iter().scan(0.0, |sum, weight| {
        *sum += weight / all;
        Some(*sum)
    });
    sums.collect()
}

struct World<'a> {
    spec: &'a Spec,
    rng: SimRng,
    now: Time,
    end: Time,
    heap: BinaryHeap<Reverse<Item>>,
    order: u64,
    nodes: Vec<Node>,
    names: HashMap<NodeId, u32>,
    groups: Vec<(Group, Vec<usize>)>,
    routers: Vec<Router>,
    runs: Slab<Run>,
    requests: Slab<Request>,
    /// Messages from routers of a zone to nodes of another are lost, and the other way.
    to_node: Vec<Vec<u32>>,
    to_router: Vec<Vec<u32>>,
    trips: Vec<Vec<f64>>,
    initial: Vec<Endpoint>,
    /// Changes that the list has made, by version, and those it has yet to hear of.
    changes: Vec<Vec<Endpoint>>,
    pending: Vec<Vec<Endpoint>>,
    version: u32,
    /// When the list's service is through with the calls that wait.
    calls_until: Time,
    picked: Vec<Vec<u32>>,
    sessions: Vec<Vec<Arc<str>>>,
    settings: Vec<Settings>,
    shares: Vec<f64>,
    /// Up to which draw each group is asked for, where they are not alike.
    popular: Vec<f64>,
    works: Vec<LogNormal<f64>>,
    /// Datagrams between routers that are under way.
    datagrams: Slab<Vec<u8>>,
    /// From and until when each node has a fault.
    faulty: Vec<Option<(Time, Time)>>,
    /// Which nodes are silent, or which share of their answers are errors.
    bad: Vec<Option<Option<f64>>>,
    /// When links between zones were last cut.
    cut_at: Option<Time>,
    talked: GossipStats,
    /// Links between routers draw from dice of their own: the rest of a run is the same with talk and without.
    gossip_rng: SimRng,
    spill_limit: f64,
    seed: u64,
    // what is counted
    seconds: Vec<Second>,
    latencies: Histogram<u64>,
    breaches: Breaches,
    pressure: Pressure,
    first_fault: Time,
    counted: Counts,
}

#[derive(Default)]
struct Counts {
    requests: u64,
    attempts: u64,
    asked: f64,
    in_time: f64,
    window: (f64, f64),
    local: (u64, u64),
    fallen: u32,
    /// The most that came to a cold node, and the most that came from routers that knew.
    cold: (LoadPeak, LoadPeak),
    probes: u64,
    to_bad: u64,
    events: u64,
    classes: Vec<ServedShare>,
    tenants: Vec<ServedShare>,
}

/// Plays an experiment.
///
/// # Errors
/// Names the key that makes it impossible.
pub fn run(spec: &Spec, seed: u64) -> Result<Report, SpecError> {
    spec.check()?;
    let mut world = World::new(spec, seed)?;
    world.play();
    Ok(world.report())
}

impl<'a> World<'a> {
    fn new(spec: &'a Spec, seed: u64) -> Result<Self, SpecError> {
        let mut rng = SimRng::seed_from_u64(seed);
        let dealt = layout(spec);
        let rate = spec.request_rate();
        let shares: f64 = spec.classes.iter().map(|c| c.share).sum();
        let apply = spec.replication.apply_use
            / (rate * spec.write_share() / dealt.groups.len() as f64).max(1e-9);
        let speed = Normal::new(1.0, spec.node.speed_spread.max(1e-9)).expect("finite");
        let mut nodes: Vec<Node> = dealt
            .placements
            .iter()
            .enumerate()
            .map(|(n, (zone, group, member))| Node {
                id: format!("s-{n:04}").into(),
                machine: NodeModel::new(
                    spec.node.clone(),
                    speed.sample(&mut rng).clamp(0.5, 1.5),
                    spec.mean_work_s(),
                ),
                zone: *zone,
                group: *group,
                member: *member,
                epoch: 0,
                up: true,
                connections: 0,
                headed: false,
            })
            .collect();
        let ship = us(spec.replication.ship_ms / 1e3);
        let heads = dealt.primaries;
        let groups: Vec<(Group, Vec<usize>)> = dealt
            .groups
            .into_iter()
            .zip(&heads)
            .map(|(m, head)| (Group::new(m.len(), *head, ship, us(apply)), m))
            .collect();
        for ((_, members), head) in groups.iter().zip(&heads) {
            nodes[members[*head]].headed = true;
        }
        let entry = |node: &Node| Endpoint {
            node: node.id.clone(),
            zone: spec.zones[node.zone].name.clone(),
            machine_kind: "std".into(),
            listed_as_primary: node.headed,
            group: node.group as u64 + 1,
            state: EndpointState::Serving,
            weight: 1.0,
            started_at: None,
        };
        let initial: Vec<Endpoint> = nodes.iter().map(entry).collect();
        let zones = spec.zones.len();
        let mut trips = vec![vec![spec.net.cross_ms * 1e3; zones]; zones];
        for (zone, row) in trips.iter_mut().enumerate() {
            row[zone] = spec.net.same_ms * 1e3;
        }
        let place = |name: &String| spec.zones.iter().position(|z| &z.name == name);
        for (a, b, ms) in &spec.net.pairs {
            let (Some(a), Some(b)) = (place(a), place(b)) else {
                return Err(SpecError(format!("net.pairs: {a:?} or {b:?} is no zone")));
            };
            (trips[a][b], trips[b][a]) = (ms * 1e3, ms * 1e3);
        }
        let names = nodes
            .iter()
            .zip(0..)
            .map(|(n, at)| (n.id.clone(), at))
            .collect();
        let all_nodes = nodes.len();
        let mut routers = Vec::new();
        for (zone, told) in spec.zones.iter().enumerate() {
            let part = rate * told.nodes as f64 / all_nodes as f64;
            // One router in five carries more where traffic is uneven.
            let weight = |n: usize| {
                if n.is_multiple_of(5) {
                    spec.clients.skew.max(1e-3)
                } else {
                    1.0
                }
            };
            let sum: f64 = (0..told.routers).map(weight).sum();
            for n in 0..told.routers {
                routers.push(Router {
                    engine: None,
                    zone,
                    epoch: 0,
                    wake: None,
                    rate: part * weight(n) / sum,
                    told: 0,
                    hears_after: us(rng.random::<f64>() * spec.list.spread_s),
                    silent: 0,
                    pools: vec![(0, 0); all_nodes],
                    closed: HashMap::new(),
                    pauses: Backoff::new(CALL_PAUSES.0, CALL_PAUSES.1, seed ^ routers.len() as u64),
                    starts: HashMap::new(),
                    attempts: HashMap::new(),
                    talk: None,
                    struck: None,
                });
            }
        }
        let settings = routers
            .iter()
            .enumerate()
            .map(|(n, r)| spec.router_settings(n, &spec.zones[r.zone].name));
        let work = |c: &crate::spec::ClassSpec| {
            let sigma2 = (1.0 + c.spread * c.spread).ln();
            let mu = (c.work_ms / 1e3).ln() - sigma2 / 2.0;
            LogNormal::new(mu, sigma2.sqrt()).expect("finite")
        };
        let part = |name: &String| ServedShare {
            name: name.clone(),
            ..ServedShare::default()
        };
        let session = |g: usize, s: usize| Arc::from(format!("u{g}-{s}"));
        let seconds = spec.seconds.ceil() as usize + 1;
        let popular = popular(groups.len(), spec.clients.group_skew);
        let mut world = World {
            settings: settings.collect(),
            rng,
            now: BEGIN,
            end: BEGIN + us(spec.seconds),
            heap: BinaryHeap::new(),
            order: 0,
            names,
            sessions: (0..groups.len())
                .map(|g| (0..SESSIONS).map(|s| session(g, s)).collect())
                .collect(),
            groups,
            routers,
            runs: Slab::new(),
            requests: Slab::new(),
            to_node: vec![vec![0; zones]; zones],
            to_router: vec![vec![0; zones]; zones],
            trips,
            initial,
            changes: vec![Vec::new()],
            pending: Vec::new(),
            version: 0,
            calls_until: BEGIN,
            picked: vec![Vec::new(); spec.faults.len()],
            popular,
            shares: spec.classes.iter().map(|c| c.share / shares).collect(),
            works: spec.classes.iter().map(work).collect(),
            datagrams: Slab::new(),
            faulty: vec![None; all_nodes],
            bad: vec![None; all_nodes],
            cut_at: None,
            talked: GossipStats::default(),
            gossip_rng: SimRng::seed_from_u64(seed ^ 0x7a1c),
            spill_limit: spec.locality_rules().max_spill_share,
            seed,
            seconds: vec![
                Second {
                    capacity: vec![0.0; zones],
                    spilled: vec![0.0; zones],
                    ..Second::default()
                };
                seconds
            ],
            latencies: Histogram::new_with_max(60_000_000, 3).expect("a range"),
            breaches: Breaches::default(),
            pressure: Pressure::new(us(spec.node.fall_s)),
            first_fault: BEGIN
                + us(spec
                    .faults
                    .iter()
                    .map(|f| f.at)
                    .fold(spec.seconds, f64::min)),
            counted: Counts {
                classes: spec.classes.iter().map(|c| part(&c.name)).collect(),
                tenants: spec.clients.tenants.iter().map(|t| part(&t.name)).collect(),
                ..Counts::default()
            },
            nodes,
            spec,
        };
        for router in 0..world.routers.len() {
            world.boot(router)?;
            world.next_arrival(router as u32);
        }
        for (n, fault) in spec.faults.iter().enumerate() {
            world.at(BEGIN + us(fault.at), Event::Begin(n as u32));
            world.at(BEGIN + us(fault.until), Event::End(n as u32));
        }
        world.at(BEGIN + 1_000_000 - 1, Event::Tick);
        Ok(world)
    }

    fn at(&mut self, at: Time, event: Event) {
        self.order += 1;
        self.heap
            .push(Reverse(Item(at.max(self.now), self.order, event)));
    }

    fn play(&mut self) {
        while let Some(Reverse(Item(at, _, event))) = self.heap.pop() {
            if at > self.end + AFTER {
                break;
            }
            self.now = at;
            self.counted.events += 1;
            self.handle(event);
        }
        // Whatever is owed by now was never answered.
        let now = self.now;
        let late = self
            .requests
            .iter()
            .filter(|(_, r)| r.awaiting.is_some_and(|due| due + 100_000 < now))
            .count();
        for _ in 0..late {
            self.breaches.add(Rule::NoAnswer, self.spec.seconds, || {
                "still unanswered at the end".into()
            });
        }
    }

    fn second(&self) -> f64 {
        (self.now - BEGIN) as f64 / 1e6
    }

    fn uniform(&mut self, (low, high): (f64, f64)) -> f64 {
        low + (high - low) * self.rng.random::<f64>()
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive(router) => self.arrive(router),
            Event::Retry(request) => {
                self.requests[request as usize].holds -= 1;
                self.attempt(request);
            }
            Event::Up(run) => self.up(run),
            Event::AtNode(run) => self.at_node(run),
            Event::Done { node, epoch, run } => self.done(node, epoch, run),
            Event::Back { run, ending } => self.back(run, ending),
            Event::Wake(router) => self.wake(router),
            Event::ProbeAt {
                router,
                epoch,
                node,
            } => self.probe_at(router, epoch, node),
            Event::ProbeBack {
                router,
                epoch,
                node,
                told,
            } => {
                let id = self.nodes[node as usize].id.clone();
                if let Some(engine) = self.live(router, epoch) {
                    engine.health_check_ended(id, told);
                    self.settle(router);
                }
            }
            Event::Change(version) => self.change(version),
            Event::Tell { router, version } => self.tell(router, version),
            Event::Call { router, epoch } => {
                if self.routers[router as usize].epoch == epoch {
                    self.call(router);
                }
            }
            Event::Begin(fault) => self.begin(fault as usize),
            Event::End(fault) => self.finish(fault as usize),
            Event::Elect(group) => self.elect(group as usize),
            Event::Stop(router) => self.stop(router),
            Event::Start(router) => {
                // The rules were good when the run began.
                let _ = self.boot(router as usize);
            }
            Event::Talk { router, epoch } => self.talk(router, epoch),
            Event::Datagram {
                router,
                epoch,
                slot,
            } => self.datagram(router, epoch, slot),
            Event::Tick => self.tick(),
        }
    }

    fn tick(&mut self) {
        let second = ((self.now - BEGIN) / 1_000_000) as usize;
        let cut: Vec<bool> = (0..self.spec.zones.len())
            .map(|z| self.to_node[z][z] > 0)
            .collect();
        if let Some(told) = self.seconds.get_mut(second) {
            for node in self.nodes.iter().filter(|n| n.up && !cut[n.zone]) {
                told.capacity[node.zone] += node.machine.capacity(self.now);
            }
            self.at(self.now + 1_000_000, Event::Tick);
        }
    }
}
