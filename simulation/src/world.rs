//! The simulated world in virtual time: a queue of events ordered by time, routers with the real engine, nodes, the
//! network, the endpoint list and the clients.

mod clients;
mod faults;
mod gossip;
mod links;
mod list;
mod nodes;
mod routers;
mod summary;

pub use gossip::GossipStats;

use crate::SimRng;
use crate::cold_load::{ColdLoads, LoadPeak};
use crate::node::NodeModel;
use crate::replication::Group;
use crate::report::{Report, Second, ServedShare};
use crate::rules::{Breaches, Rule};
use crate::spec::{Spec, SpecError, layout};
use hdrhistogram::Histogram;
use plovercove::{
    AttemptEnd, Endpoint, EndpointState, Micros, NodeId, NodeReport, SessionId, Settings, Time,
};
use plovercove_engine::{AttemptId, Backoff, Engine, Key};
use rand::{RngExt, SeedableRng};
use rand_distr::{Distribution, LogNormal, Normal};
use slab::Slab;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};

/// Virtual time starts at this value, so that no computed time is before zero.
const START_TIME: Time = 1_000_000_000;
/// Time (us) for which a run continues after the last arrival, so that open requests can end.
const TAIL_US: Time = 8_000_000;
/// First backoff (us) after a failed call of the list service, the same as in the router.
const MIN_CALL_BACKOFF_US: Micros = 1_000_000;
/// Maximum backoff (us) after a failed call of the list service, the same as in the router.
const MAX_CALL_BACKOFF_US: Micros = 8_000_000;
/// Number of client sessions of each group.
const SESSIONS_PER_GROUP: usize = 64;

fn us_from_s(seconds: f64) -> Time {
    (seconds * 1e6) as Time
}

#[derive(Clone, Copy, Debug)]
enum Event {
    /// A client of this router sends a new request.
    RequestArrived(u32),
    /// A client retries a request.
    ClientRetry(u32),
    /// A new connection is established.
    ConnectionUp(u32),
    /// An attempt reaches its node.
    AttemptAtNode(u32),
    /// A node has finished a request.
    WorkDone {
        node: u32,
        epoch: u32,
        sent_attempt: u32,
    },
    /// The reply to an attempt, or its failure, reaches the router.
    ReplyArrived {
        sent_attempt: u32,
        ending: AttemptEnd,
    },
    /// A deadline of a router expires.
    WakeRouter(u32),
    /// A health check reaches its node.
    HealthCheckAtNode {
        router: u32,
        epoch: u32,
        node: u32,
    },
    /// The answer to a health check, or its timeout, reaches the router.
    HealthCheckEnded {
        router: u32,
        epoch: u32,
        node: u32,
        load_report: Option<NodeReport>,
    },
    /// The endpoint list changes.
    ListChanged(u32),
    /// A router receives a version of the list; `u32::MAX` stands for the current list.
    DeliverList {
        router: u32,
        version: u32,
    },
    /// A router calls the list service for the current list.
    CallListService {
        router: u32,
        epoch: u32,
    },
    BeginFault(u32),
    EndFault(u32),
    ElectPrimary(u32),
    StopRouter(u32),
    StartRouter(u32),
    /// A timer of a router's gossip expires.
    GossipDue {
        router: u32,
        epoch: u32,
    },
    /// A gossip datagram reaches a router.
    DatagramArrived {
        router: u32,
        epoch: u32,
        slot: u32,
    },
    /// The end of a second, at which the capacity of each zone is recorded.
    RecordCapacity,
}

/// An event with its time and its sequence number, which orders events of the same time.
struct QueuedEvent(Time, u64, Event);

impl PartialEq for QueuedEvent {
    fn eq(&self, other: &Self) -> bool {
        (self.0, self.1) == (other.0, other.1)
    }
}
impl Eq for QueuedEvent {}
impl PartialOrd for QueuedEvent {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for QueuedEvent {
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
    /// Number of starts and ends of its process.
    epoch: u32,
    up: bool,
    connections: u32,
    was_primary: bool,
}

struct Router {
    engine: Option<Engine>,
    zone: usize,
    epoch: u32,
    wake: Option<Time>,
    /// New requests per second.
    rate: f64,
    /// The version of the endpoint list that it has.
    list_version: u32,
    /// Delay (us) until it receives a change of the list.
    list_delay: Micros,
    list_silenced: u32,
    /// For each node, the epoch in which its connections were opened, and the number of idle connections.
    pools: Vec<(u32, u32)>,
    /// When it received that a node is draining or removed.
    out_of_service_since: HashMap<NodeId, Time>,
    /// Its backoff after failed calls of the list service.
    list_backoff: Backoff,
    /// The start times of nodes that it knows from the list.
    known_starts: HashMap<u32, Time>,
    attempts: HashMap<AttemptId, u32>,
    gossip: Option<gossip::GossipState>,
    /// When it was last stopped or restarted.
    last_restart: Option<Time>,
}

/// An attempt from its sending until the router or the network has dropped it.
struct SentAttempt {
    router: u32,
    router_epoch: u32,
    attempt: AttemptId,
    node: u32,
    node_epoch: u32,
    request: u32,
    class: u32,
    work: f64,
    sent: Time,
    is_cancelled: bool,
    /// The position of the data that the node read, and whether the node is or was a primary.
    position: Time,
    by_primary: bool,
    at_node: bool,
}

struct Request {
    router: u32,
    class: u32,
    tenant: Option<usize>,
    group: u32,
    session: u32,
    arrived_at: Time,
    required_position: Option<Time>,
    tries: u32,
    /// The deadline for the final answer to the current try.
    answer_due: Option<Time>,
    key: Option<Key>,
    executions: u32,
    over: bool,
    /// Number of attempts and scheduled retries that refer to this request.
    references: u32,
}

/// Returns the cumulative traffic shares of the groups: a random draw from 0 to 1 selects the first group with a larger
/// value. Empty if all groups have the same traffic.
fn group_draw_bounds(groups: usize, skew: f64) -> Vec<f64> {
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
    heap: BinaryHeap<Reverse<QueuedEvent>>,
    order: u64,
    nodes: Vec<Node>,
    node_by_id: HashMap<NodeId, u32>,
    groups: Vec<(Group, Vec<usize>)>,
    routers: Vec<Router>,
    sent_attempts: Slab<SentAttempt>,
    requests: Slab<Request>,
    /// `[router zone][node zone]`: number of active faults that drop messages from routers to nodes, and the other way.
    lost_to_node: Vec<Vec<u32>>,
    lost_to_router: Vec<Vec<u32>>,
    mean_delays_us: Vec<Vec<f64>>,
    initial_list: Vec<Endpoint>,
    /// Changes of the list by version, and changes that will be made later.
    changes: Vec<Vec<Endpoint>>,
    pending_changes: Vec<Vec<Endpoint>>,
    version: u32,
    /// When the list service has answered all queued calls.
    list_busy_until: Time,
    nodes_of_fault: Vec<Vec<u32>>,
    sessions: Vec<Vec<SessionId>>,
    settings: Vec<Settings>,
    shares: Vec<f64>,
    /// Cumulative traffic shares of the groups, see [`group_draw_bounds`].
    group_draw_bounds: Vec<f64>,
    class_work: Vec<LogNormal<f64>>,
    /// Gossip datagrams in flight.
    datagrams: Slab<Vec<u8>>,
    /// Start and end of each node's last fault.
    fault_periods: Vec<Option<(Time, Time)>>,
    /// Nodes with a `Bad` fault: `Some(None)` does not answer, `Some(Some(share))` answers this share with errors.
    failing_nodes: Vec<Option<Option<f64>>>,
    /// When links between zones were last cut or restored.
    cut_at: Option<Time>,
    gossip_stats: GossipStats,
    /// Separate generator for the links between routers, so that gossip does not change the other random draws of a run.
    gossip_rng: SimRng,
    spill_limit: f64,
    seed: u64,
    // Figures for the report.
    seconds: Vec<Second>,
    latencies: Histogram<u64>,
    breaches: Breaches,
    cold_loads: ColdLoads,
    first_fault: Time,
    totals: Totals,
}

/// Sums over the whole run, for the report.
#[derive(Default)]
struct Totals {
    requests: u64,
    attempts: u64,
    asked: f64,
    in_time: f64,
    window: (f64, f64),
    local: (u64, u64),
    fallen: u32,
    /// The largest load of a cold node, and the largest load that came mostly from routers that knew of its start.
    cold: (LoadPeak, LoadPeak),
    probes: u64,
    to_bad: u64,
    events: u64,
    classes: Vec<ServedShare>,
    tenants: Vec<ServedShare>,
}

/// Runs an experiment.
///
/// # Errors
/// Names the invalid key.
pub fn run(spec: &Spec, seed: u64) -> Result<Report, SpecError> {
    spec.check()?;
    let mut world = World::new(spec, seed)?;
    world.run_to_end();
    Ok(world.report())
}

impl<'a> World<'a> {
    fn new(spec: &'a Spec, seed: u64) -> Result<Self, SpecError> {
        let mut rng = SimRng::seed_from_u64(seed);
        let layout = layout(spec);
        let rate = spec.request_rate();
        let shares: f64 = spec.classes.iter().map(|c| c.share).sum();
        let apply = spec.replication.apply_use
            / (rate * spec.write_share() / layout.groups.len() as f64).max(1e-9);
        let speed = Normal::new(1.0, spec.node.speed_spread.max(1e-9)).expect("finite");
        let mut nodes: Vec<Node> = layout
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
                was_primary: false,
            })
            .collect();
        let ship = us_from_s(spec.replication.ship_ms / 1e3);
        let heads = layout.primaries;
        let groups: Vec<(Group, Vec<usize>)> = layout
            .groups
            .into_iter()
            .zip(&heads)
            .map(|(m, head)| (Group::new(m.len(), *head, ship, us_from_s(apply)), m))
            .collect();
        for ((_, members), head) in groups.iter().zip(&heads) {
            nodes[members[*head]].was_primary = true;
        }
        let entry = |node: &Node| Endpoint {
            node: node.id.clone(),
            zone: spec.zones[node.zone].name.clone(),
            machine_kind: "std".into(),
            listed_as_primary: node.was_primary,
            group: node.group as u64 + 1,
            state: EndpointState::Serving,
            weight: 1.0,
            started_at: None,
        };
        let initial_list: Vec<Endpoint> = nodes.iter().map(entry).collect();
        let zones = spec.zones.len();
        let mut mean_delays_us = vec![vec![spec.net.cross_ms * 1e3; zones]; zones];
        for (zone, row) in mean_delays_us.iter_mut().enumerate() {
            row[zone] = spec.net.same_ms * 1e3;
        }
        let zone_index = |name: &String| spec.zones.iter().position(|z| &z.name == name);
        for (a, b, ms) in &spec.net.pairs {
            let (Some(a), Some(b)) = (zone_index(a), zone_index(b)) else {
                return Err(SpecError(format!("net.pairs: {a:?} or {b:?} is no zone")));
            };
            (mean_delays_us[a][b], mean_delays_us[b][a]) = (ms * 1e3, ms * 1e3);
        }
        let node_by_id = nodes
            .iter()
            .zip(0..)
            .map(|(n, at)| (n.id.clone(), at))
            .collect();
        let all_nodes = nodes.len();
        let mut routers = Vec::new();
        for (zone, zone_spec) in spec.zones.iter().enumerate() {
            let part = rate * zone_spec.nodes as f64 / all_nodes as f64;
            // Every fifth router gets more traffic if `skew` is over 1.
            let weight = |n: usize| {
                if n.is_multiple_of(5) {
                    spec.clients.skew.max(1e-3)
                } else {
                    1.0
                }
            };
            let sum: f64 = (0..zone_spec.routers).map(weight).sum();
            for n in 0..zone_spec.routers {
                routers.push(Router {
                    engine: None,
                    zone,
                    epoch: 0,
                    wake: None,
                    rate: part * weight(n) / sum,
                    list_version: 0,
                    list_delay: us_from_s(rng.random::<f64>() * spec.list.spread_s),
                    list_silenced: 0,
                    pools: vec![(0, 0); all_nodes],
                    out_of_service_since: HashMap::new(),
                    list_backoff: Backoff::new(
                        MIN_CALL_BACKOFF_US,
                        MAX_CALL_BACKOFF_US,
                        seed ^ routers.len() as u64,
                    ),
                    known_starts: HashMap::new(),
                    attempts: HashMap::new(),
                    gossip: None,
                    last_restart: None,
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
        let session = |g: usize, s: usize| SessionId::from(format!("u{g}-{s}"));
        let seconds = spec.seconds.ceil() as usize + 1;
        let group_draw_bounds = group_draw_bounds(groups.len(), spec.clients.group_skew);
        let mut world = World {
            settings: settings.collect(),
            rng,
            now: START_TIME,
            end: START_TIME + us_from_s(spec.seconds),
            heap: BinaryHeap::new(),
            order: 0,
            node_by_id,
            sessions: (0..groups.len())
                .map(|g| (0..SESSIONS_PER_GROUP).map(|s| session(g, s)).collect())
                .collect(),
            groups,
            routers,
            sent_attempts: Slab::new(),
            requests: Slab::new(),
            lost_to_node: vec![vec![0; zones]; zones],
            lost_to_router: vec![vec![0; zones]; zones],
            mean_delays_us,
            initial_list,
            changes: vec![Vec::new()],
            pending_changes: Vec::new(),
            version: 0,
            list_busy_until: START_TIME,
            nodes_of_fault: vec![Vec::new(); spec.faults.len()],
            group_draw_bounds,
            shares: spec.classes.iter().map(|c| c.share / shares).collect(),
            class_work: spec.classes.iter().map(work).collect(),
            datagrams: Slab::new(),
            fault_periods: vec![None; all_nodes],
            failing_nodes: vec![None; all_nodes],
            cut_at: None,
            gossip_stats: GossipStats::default(),
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
            cold_loads: ColdLoads::new(us_from_s(spec.node.fall_s)),
            first_fault: START_TIME
                + us_from_s(
                    spec.faults
                        .iter()
                        .map(|f| f.at)
                        .fold(spec.seconds, f64::min),
                ),
            totals: Totals {
                classes: spec.classes.iter().map(|c| part(&c.name)).collect(),
                tenants: spec.clients.tenants.iter().map(|t| part(&t.name)).collect(),
                ..Totals::default()
            },
            nodes,
            spec,
        };
        for router in 0..world.routers.len() {
            world.start_router(router)?;
            world.schedule_arrival(router as u32);
        }
        for (n, fault) in spec.faults.iter().enumerate() {
            world.schedule(
                START_TIME + us_from_s(fault.at),
                Event::BeginFault(n as u32),
            );
            world.schedule(
                START_TIME + us_from_s(fault.until),
                Event::EndFault(n as u32),
            );
        }
        world.schedule(START_TIME + 1_000_000 - 1, Event::RecordCapacity);
        Ok(world)
    }

    fn schedule(&mut self, at: Time, event: Event) {
        self.order += 1;
        self.heap
            .push(Reverse(QueuedEvent(at.max(self.now), self.order, event)));
    }

    fn run_to_end(&mut self) {
        while let Some(Reverse(QueuedEvent(at, _, event))) = self.heap.pop() {
            if at > self.end + TAIL_US {
                break;
            }
            self.now = at;
            self.totals.events += 1;
            self.handle_event(event);
        }
        // Requests whose answer is overdue at the end were never answered.
        let now = self.now;
        let late = self
            .requests
            .iter()
            .filter(|(_, r)| r.answer_due.is_some_and(|due| due + 100_000 < now))
            .count();
        for _ in 0..late {
            self.breaches.add(Rule::NoAnswer, self.spec.seconds, || {
                "still unanswered at the end".into()
            });
        }
    }

    fn now_s(&self) -> f64 {
        (self.now - START_TIME) as f64 / 1e6
    }

    fn uniform(&mut self, (low, high): (f64, f64)) -> f64 {
        low + (high - low) * self.rng.random::<f64>()
    }

    fn handle_event(&mut self, event: Event) {
        match event {
            Event::RequestArrived(router) => self.request_arrived(router),
            Event::ClientRetry(request) => {
                self.requests[request as usize].references -= 1;
                self.client_try(request);
            }
            Event::ConnectionUp(sent_attempt) => self.connection_up(sent_attempt),
            Event::AttemptAtNode(sent_attempt) => self.attempt_at_node(sent_attempt),
            Event::WorkDone {
                node,
                epoch,
                sent_attempt,
            } => self.work_done(node, epoch, sent_attempt),
            Event::ReplyArrived {
                sent_attempt,
                ending,
            } => self.reply_arrived(sent_attempt, ending),
            Event::WakeRouter(router) => self.wake_router(router),
            Event::HealthCheckAtNode {
                router,
                epoch,
                node,
            } => self.health_check_at_node(router, epoch, node),
            Event::HealthCheckEnded {
                router,
                epoch,
                node,
                load_report,
            } => {
                let id = self.nodes[node as usize].id.clone();
                if let Some(engine) = self.engine_of_epoch(router, epoch) {
                    engine.health_check_ended(id, load_report);
                    self.drive_engine(router);
                }
            }
            Event::ListChanged(version) => self.apply_list_change(version),
            Event::DeliverList { router, version } => self.deliver_list(router, version),
            Event::CallListService { router, epoch } => {
                if self.routers[router as usize].epoch == epoch {
                    self.call_list_service(router);
                }
            }
            Event::BeginFault(fault) => self.begin_fault(fault as usize),
            Event::EndFault(fault) => self.end_fault(fault as usize),
            Event::ElectPrimary(group) => self.elect_primary(group as usize),
            Event::StopRouter(router) => self.stop_router(router),
            Event::StartRouter(router) => {
                // The same rules were valid at the start of the run.
                let _ = self.start_router(router as usize);
            }
            Event::GossipDue { router, epoch } => self.gossip_due(router, epoch),
            Event::DatagramArrived {
                router,
                epoch,
                slot,
            } => self.datagram_arrived(router, epoch, slot),
            Event::RecordCapacity => self.record_capacity(),
        }
    }

    fn record_capacity(&mut self) {
        let second = ((self.now - START_TIME) / 1_000_000) as usize;
        let cut: Vec<bool> = (0..self.spec.zones.len())
            .map(|z| self.lost_to_node[z][z] > 0)
            .collect();
        if let Some(figures) = self.seconds.get_mut(second) {
            for node in self.nodes.iter().filter(|n| n.up && !cut[n.zone]) {
                figures.capacity[node.zone] += node.machine.capacity(self.now);
            }
            self.schedule(self.now + 1_000_000, Event::RecordCapacity);
        }
    }
}
