//! The world in virtual time: one ordered heap of events, routers with the real core, nodes, the network, the list and
//! the clients.

use crate::Dice;
use crate::node::{Machine, Offer};
use crate::pressure::{Press, Pressure};
use crate::replication::Group;
use crate::report::{Report, Second, back};
use crate::rules::{Breaches, Rule};
use crate::spec::{Reads, Spec, SpecFault, Trouble, Variant, layout};
use crate::strict::Strict;
use hdrhistogram::Histogram;
use plovercove::{
    Demand, Ending, ListUpdate, Listed, NodeEntry, NodeId, Role, Settings, Span, Standing, Time,
};
use plovercove_core::{Answer, AttemptId, Backoff, Command, Core, Due, Key};
use plovercove_tiers::Tiers;
use rand::{RngExt, SeedableRng};
use rand_distr::{Distribution, Exp, LogNormal, Normal};
use slab::Slab;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, HashSet};
use std::sync::Arc;

/// Virtual time begins here, so that nothing of a run lies before the clock's zero.
const BEGIN: Time = 1_000_000_000;
/// Runs go on for so long after the last arrival.
const AFTER: Time = 8_000_000;
/// A router that restarts hears of the list in so long: least and most.
const LIST_CALL: (f64, f64) = (0.05, 0.3);
/// Pauses of a router whose call of the list failed, as the router's own: the first and the longest (us).
const CALL_PAUSES: (Span, Span) = (1_000_000, 8_000_000);
/// What the list has to tell counts as told after so long, whether it arrived or not.
const DEEMED: Span = 6_000_000;
/// Rounds of decisions on one event.
const ROUNDS: usize = 16;
/// A message that was lost comes again after so long.
const RESEND: Span = 200_000;
/// Sessions of each group.
const SESSIONS: usize = 64;
/// Different delays with which the list hears of the nodes of one trouble.
const NOTICES: usize = 4;

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
        ending: Ending,
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
        told: Option<Standing>,
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
    machine: Machine<u32>,
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
    core: Option<Core>,
    zone: usize,
    epoch: u32,
    wake: Option<Time>,
    /// First tries a second.
    rate: f64,
    /// The version of the list that it has heard.
    told: u32,
    /// It hears of each change so much later than the first.
    hears_after: Span,
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
    dice: Dice,
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
    initial: Vec<NodeEntry>,
    /// Changes that the list has made, by version, and those it has yet to hear of.
    changes: Vec<Vec<NodeEntry>>,
    pending: Vec<Vec<NodeEntry>>,
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
    events: u64,
}

/// Plays an experiment.
///
/// # Errors
/// Names the key that makes it impossible.
pub fn run(spec: &Spec, seed: u64) -> Result<Report, SpecFault> {
    spec.check()?;
    let mut world = World::new(spec, seed)?;
    world.play();
    Ok(world.report())
}

impl<'a> World<'a> {
    fn new(spec: &'a Spec, seed: u64) -> Result<Self, SpecFault> {
        let mut dice = Dice::seed_from_u64(seed);
        let dealt = layout(spec);
        let rate = spec.rate();
        let shares: f64 = spec.classes.iter().map(|c| c.share).sum();
        let apply =
            spec.replication.apply_use / (rate * spec.write_share() / dealt.groups.len() as f64).max(1e-9);
        let speed = Normal::new(1.0, spec.node.speed_spread.max(1e-9)).expect("finite");
        let mut nodes: Vec<Node> = dealt
            .places
            .iter()
            .enumerate()
            .map(|(n, (zone, group, member))| Node {
                id: format!("s-{n:04}").into(),
                machine: Machine::new(spec.node.clone(), speed.sample(&mut dice).clamp(0.5, 1.5)),
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
        let heads = dealt.heads;
        let groups: Vec<(Group, Vec<usize>)> = dealt
            .groups
            .into_iter()
            .zip(&heads)
            .map(|(m, head)| (Group::new(m.len(), *head, ship, us(apply)), m))
            .collect();
        for ((_, members), head) in groups.iter().zip(&heads) {
            nodes[members[*head]].headed = true;
        }
        let entry = |node: &Node| NodeEntry {
            node: node.id.clone(),
            zone: spec.zones[node.zone].name.clone(),
            kind: "std".into(),
            primary: node.headed,
            group: node.group as u64 + 1,
            state: Listed::Serving,
            weight: 1.0,
            started: None,
        };
        let initial: Vec<NodeEntry> = nodes.iter().map(entry).collect();
        let zones = spec.zones.len();
        let mut trips = vec![vec![spec.net.cross_ms * 1e3; zones]; zones];
        for (zone, row) in trips.iter_mut().enumerate() {
            row[zone] = spec.net.same_ms * 1e3;
        }
        let place = |name: &String| spec.zones.iter().position(|z| &z.name == name);
        for (a, b, ms) in &spec.net.pairs {
            let (Some(a), Some(b)) = (place(a), place(b)) else {
                return Err(SpecFault(format!("net.pairs: {a:?} or {b:?} is no zone")));
            };
            (trips[a][b], trips[b][a]) = (ms * 1e3, ms * 1e3);
        }
        let names = nodes.iter().zip(0..).map(|(n, at)| (n.id.clone(), at)).collect();
        let all_nodes = nodes.len();
        let mut routers = Vec::new();
        for (zone, told) in spec.zones.iter().enumerate() {
            let part = rate * told.nodes as f64 / all_nodes as f64;
            // One router in five carries more where traffic is uneven.
            let weight = |n: usize| if n.is_multiple_of(5) { spec.clients.skew.max(1e-3) } else { 1.0 };
            let sum: f64 = (0..told.routers).map(weight).sum();
            for n in 0..told.routers {
                routers.push(Router {
                    core: None,
                    zone,
                    epoch: 0,
                    wake: None,
                    rate: part * weight(n) / sum,
                    told: 0,
                    hears_after: us(dice.random::<f64>() * spec.list.spread_s),
                    silent: 0,
                    pools: vec![(0, 0); all_nodes],
                    closed: HashMap::new(),
                    pauses: Backoff::new(CALL_PAUSES.0, CALL_PAUSES.1, seed ^ routers.len() as u64),
                    starts: HashMap::new(),
                    attempts: HashMap::new(),
                });
            }
        }
        let settings = routers.iter().enumerate().map(|(n, r)| spec.settings(n, &spec.zones[r.zone].name));
        let work = |c: &crate::spec::ClassSpec| {
            let sigma2 = (1.0 + c.spread * c.spread).ln();
            let mu = (c.work_ms / 1e3).ln() - sigma2 / 2.0;
            LogNormal::new(mu, sigma2.sqrt()).expect("finite")
        };
        let session = |g: usize, s: usize| Arc::from(format!("u{g}-{s}"));
        let seconds = spec.seconds.ceil() as usize + 1;
        let popular = popular(groups.len(), spec.clients.group_skew);
        let mut world = World {
            settings: settings.collect(),
            dice,
            now: BEGIN,
            end: BEGIN + us(spec.seconds),
            heap: BinaryHeap::new(),
            order: 0,
            names,
            sessions: (0..groups.len()).map(|g| (0..SESSIONS).map(|s| session(g, s)).collect()).collect(),
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
            spill_limit: spec.rules().spill,
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
            first_fault: BEGIN + us(spec.faults.iter().map(|f| f.at).fold(spec.seconds, f64::min)),
            counted: Counts::default(),
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

    // ---- time

    fn at(&mut self, at: Time, event: Event) {
        self.order += 1;
        self.heap.push(Reverse(Item(at.max(self.now), self.order, event)));
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
        let late =
            self.requests.iter().filter(|(_, r)| r.awaiting.is_some_and(|due| due + 100_000 < now)).count();
        for _ in 0..late {
            self.breaches.add(Rule::NoAnswer, self.spec.seconds, || "still unanswered at the end".into());
        }
    }

    fn second(&self) -> f64 {
        (self.now - BEGIN) as f64 / 1e6
    }

    fn uniform(&mut self, (low, high): (f64, f64)) -> f64 {
        low + (high - low) * self.dice.random::<f64>()
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
            Event::ProbeAt { router, epoch, node } => self.probe_at(router, epoch, node),
            Event::ProbeBack { router, epoch, node, told } => {
                let id = self.nodes[node as usize].id.clone();
                if let Some(core) = self.live(router, epoch) {
                    core.probed(id, told);
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
            Event::Tick => self.tick(),
        }
    }

    fn tick(&mut self) {
        let second = ((self.now - BEGIN) / 1_000_000) as usize;
        let cut: Vec<bool> = (0..self.spec.zones.len()).map(|z| self.to_node[z][z] > 0).collect();
        if let Some(told) = self.seconds.get_mut(second) {
            for node in self.nodes.iter().filter(|n| n.up && !cut[n.zone]) {
                told.capacity[node.zone] += node.machine.capacity(self.now);
            }
            self.at(self.now + 1_000_000, Event::Tick);
        }
    }

    // ---- clients

    fn next_arrival(&mut self, router: u32) {
        let second = self.second();
        let bursts = self.spec.clients.bursts.iter().filter(|b| (b.0..b.1).contains(&second));
        let rate = self.routers[router as usize].rate * bursts.map(|b| b.2).product::<f64>();
        if rate <= 0.0 {
            return;
        }
        let gap = Exp::new(rate).expect("positive").sample(&mut self.dice);
        if self.now + us(gap) < self.end {
            self.at(self.now + us(gap), Event::Arrive(router));
        }
    }

    fn arrive(&mut self, router: u32) {
        self.next_arrival(router);
        let mut draw = self.dice.random::<f64>();
        let class = self.shares.iter().position(|share| {
            draw -= share;
            draw < 0.0
        });
        let class = class.unwrap_or(self.shares.len() - 1);
        let group = if self.popular.is_empty() {
            self.dice.random_range(0..self.groups.len())
        } else {
            let draw = self.dice.random::<f64>();
            self.popular.iter().position(|up_to| draw < *up_to).unwrap_or(self.groups.len() - 1)
        };
        let session = self.dice.random_range(0..SESSIONS) as u32;
        let follows = self.spec.classes[class].reads == Reads::Session
            && self.dice.random::<f64>() < self.spec.clients.follows_write;
        let need = follows.then(|| {
            let gap = Exp::new(1e3 / self.spec.clients.gap_ms).expect("positive").sample(&mut self.dice);
            self.groups[group].0.commit_before(self.now.saturating_sub(us(gap)))
        });
        let worth = self.spec.classes[class].worth;
        let second = self.second();
        self.seconds[second as usize].asked += worth;
        self.counted.requests += 1;
        self.counted.asked += worth;
        if self.spec.window.is_some_and(|(from, to)| (from..to).contains(&second)) {
            self.counted.window.0 += worth;
        }
        let request = self.requests.insert(Request {
            router,
            class: class as u32,
            group: group as u32,
            session,
            born: self.now,
            need: need.flatten(),
            tries: 0,
            awaiting: None,
            key: None,
            ran: 0,
            over: false,
            holds: 0,
        });
        self.attempt(request as u32);
    }

    /// A client's try. Where its router is down, it goes to another.
    fn attempt(&mut self, id: u32) {
        let class = self.requests[id as usize].class as usize;
        let told = &self.spec.classes[class];
        let patience = self.uniform((self.spec.clients.patience, 1.0));
        let deadline = told.deadline_ms * 1_000;
        let r = &self.requests[id as usize];
        let left = ((deadline as f64 * patience) as Span).min((r.born + deadline).saturating_sub(self.now));
        let mut router = r.router;
        if self.routers[router as usize].core.is_none() {
            let up: Vec<u32> =
                (0..self.routers.len() as u32).filter(|n| self.routers[*n as usize].core.is_some()).collect();
            if up.is_empty() || left < 20_000 {
                return self.lose(id);
            }
            router = up[self.dice.random_range(0..up.len())];
        }
        if left < 20_000 {
            return self.lose(id);
        }
        let r = &mut self.requests[id as usize];
        r.tries += 1;
        r.awaiting = Some(self.now + left);
        r.router = router;
        let reads = told.reads;
        let keyed = matches!(reads, Reads::Session | Reads::Write);
        let demand = Demand {
            class,
            session: keyed.then(|| self.sessions[r.group as usize][r.session as usize].clone()),
            left,
            group: u64::from(r.group) + 1,
            write_age: r.need.map(|at| self.now - at),
            ..Demand::default()
        };
        let core = self.routers[router as usize].core.as_mut().expect("chosen among those that run");
        let key = core.request(Key::from_number(u64::from(id)), demand);
        self.requests[id as usize].key = Some(key);
        self.settle(router);
    }

    /// A client was answered without a value, or lost its router.
    fn unserved(&mut self, id: u32, harmless: bool, told: Option<Span>) {
        let r = &self.requests[id as usize];
        let safe = harmless || self.spec.classes[r.class as usize].reads != Reads::Write;
        if !safe || r.tries > self.spec.clients.retries {
            return self.lose(id);
        }
        let usual = self.spec.clients.backoff_ms * 1e3;
        let spread = self.uniform((0.5, 1.5));
        let follows = self.dice.random::<f64>() < self.spec.clients.follow;
        let wait = match told {
            Some(told) if follows => told as f64,
            _ => usual * spread,
        };
        self.requests[id as usize].holds += 1;
        self.at(self.now + wait as Time, Event::Retry(id));
    }

    fn lose(&mut self, id: u32) {
        self.requests[id as usize].over = true;
        self.release(id);
    }

    /// The one place where a request's slot is given back.
    fn release(&mut self, id: u32) {
        let r = &self.requests[id as usize];
        if r.over && r.holds == 0 {
            self.requests.remove(id as usize);
        }
    }

    /// A final answer: exactly one, in time.
    fn answered(&mut self, id: u32, what: &'static str) -> bool {
        let second = self.second();
        let Some(r) = self.requests.get_mut(id as usize) else {
            self.breaches.add(Rule::SecondAnswer, second, || format!("{what} for a request that is over"));
            return false;
        };
        let Some(due) = r.awaiting.take() else {
            self.breaches.add(Rule::SecondAnswer, second, || format!("{what} once more"));
            return false;
        };
        r.key = None;
        if self.now > due + 100_000 {
            let late = (self.now - due) / 1_000;
            self.breaches.add(Rule::NoAnswer, second, || format!("{what} {late} ms late"));
        }
        true
    }

    fn served(&mut self, id: u32) {
        if !self.answered(id, "served") {
            return;
        }
        let r = &mut self.requests[id as usize];
        r.over = true;
        let class = &self.spec.classes[r.class as usize];
        let took = self.now - r.born;
        let worth = class.worth * if took <= class.aim_ms * 1_000 { 1.0 } else { class.late };
        let born = (r.born - BEGIN) as f64 / 1e6;
        let _ = self.latencies.record(took.max(1));
        self.counted.in_time += worth;
        self.seconds[born as usize].in_time += worth;
        if self.spec.window.is_some_and(|(from, to)| (from..to).contains(&born)) {
            self.counted.window.1 += worth;
        }
        self.release(id);
    }

    // ---- routers

    fn boot(&mut self, router: usize) -> Result<(), SpecFault> {
        let zone = self.routers[router].zone;
        let name = &self.spec.zones[zone].name;
        let (settings, epoch) = (self.settings[router].clone(), self.routers[router].epoch);
        let seed = self.seed ^ ((router as u64 + 1) << 20) ^ (u64::from(epoch) << 50);
        let core = Core::new(settings.clone(), seed);
        let mut core = match self.spec.variant {
            Variant::Flat => core,
            Variant::Strict => core.zoned(Box::new(Strict::new(name))),
            Variant::Tiers => {
                let tiers = Tiers::new(self.spec.rules(), &settings, seed);
                core.zoned(Box::new(tiers.map_err(|e| SpecFault(format!("tiers.{e}")))?))
            }
        };
        // What it had last. It may be old.
        let told = self.routers[router].told;
        let known = self.list_at(told);
        let starts = known.iter().filter_map(|e| Some((self.names[&e.node], e.started?))).collect();
        core.list(ListUpdate::Restored(known));
        self.routers[router].core = Some(core);
        self.routers[router].closed.clear();
        self.routers[router].starts = starts;
        if self.now > BEGIN {
            self.call(router as u32);
        } else {
            let list = self.list_at(0);
            self.routers[router].core.as_mut().expect("just made").list(ListUpdate::Full(list));
        }
        self.settle(router as u32);
        Ok(())
    }

    fn stop(&mut self, router: u32) {
        let r = &mut self.routers[router as usize];
        if r.core.take().is_none() {
            return;
        }
        r.epoch += 1;
        r.wake = None;
        let pools = std::mem::replace(&mut r.pools, vec![(0, 0); self.nodes.len()]);
        let attempts = std::mem::take(&mut r.attempts);
        for (node, (epoch, idle)) in self.nodes.iter_mut().zip(pools) {
            if node.epoch == epoch {
                node.connections = node.connections.saturating_sub(idle);
            }
        }
        let mut runs: Vec<u32> = attempts.into_values().collect();
        runs.sort_unstable();
        for run in runs {
            self.abandon(run);
        }
        let held: Vec<u32> = self
            .requests
            .iter()
            .filter(|(_, r)| r.awaiting.is_some() && r.router == router)
            .map(|(id, _)| id as u32)
            .collect();
        for id in held {
            let r = &mut self.requests[id as usize];
            (r.awaiting, r.key) = (None, None);
            self.unserved(id, false, None);
        }
    }

    fn live(&mut self, router: u32, epoch: u32) -> Option<&mut Core> {
        let r = &mut self.routers[router as usize];
        r.core.as_mut().filter(|_| r.epoch == epoch)
    }

    fn wake(&mut self, router: u32) {
        let now = self.now;
        let r = &mut self.routers[router as usize];
        if r.wake.is_none_or(|at| at > now) {
            return;
        }
        r.wake = None;
        let Some(core) = &mut r.core else { return };
        while let Some(due) = core.deadlines.pop(now) {
            match due {
                Due::Wake => core.wake(),
                Due::Attempt(id) => core.timed_out(id, now),
                _ => {}
            }
        }
        self.settle(router);
    }

    /// Lets a router decide on what has come, and carries that out.
    fn settle(&mut self, router: u32) {
        for _ in 0..ROUNDS {
            let now = self.now;
            let Some(core) = &mut self.routers[router as usize].core else { return };
            let commands = core.decide(now);
            if commands.is_empty() {
                break;
            }
            for command in commands {
                self.carry_out(router, command);
            }
        }
        let r = &mut self.routers[router as usize];
        let Some(next) = r.core.as_ref().and_then(|c| c.deadlines.next()) else { return };
        if r.wake.is_none_or(|at| next < at) {
            r.wake = Some(next);
            self.at(next, Event::Wake(router));
        }
    }

    fn carry_out(&mut self, router: u32, command: Command) {
        match command {
            Command::Send { attempt, origin, node } => self.send(router, attempt, origin, &node),
            Command::GiveUp { attempt, .. } => {
                if let Some(run) = self.routers[router as usize].attempts.remove(&attempt) {
                    self.abandon(run);
                }
            }
            Command::Probe(node) => self.probe(router, &node),
            Command::CloseIdle(node) => {
                let Some(&node) = self.names.get(&node) else { return };
                let pool = &mut self.routers[router as usize].pools[node as usize];
                let known = &mut self.nodes[node as usize];
                if pool.0 == known.epoch {
                    known.connections = known.connections.saturating_sub(pool.1);
                }
                pool.1 = 0;
            }
            Command::Answer { origin, answer, .. } => {
                let id = origin.number() as u32;
                let second = (self.second() as usize).min(self.seconds.len() - 1);
                match answer {
                    Answer::Refused(told) => {
                        self.seconds[second].refused += 1;
                        if self.answered(id, "refused") {
                            self.unserved(id, true, told);
                        }
                    }
                    Answer::Failed => {
                        self.seconds[second].failed += 1;
                        if self.answered(id, "failed") {
                            self.unserved(id, false, None);
                        }
                    }
                }
            }
        }
    }

    // ---- attempts and the network

    /// The time of one message between these zones; none where it is lost for good.
    fn trip(&mut self, from: usize, to: usize, lost: bool) -> Option<Span> {
        if lost {
            return None;
        }
        let base = self.trips[from][to] * self.uniform((0.85, 1.25));
        let again = if self.spec.net.loss > 0.0 && self.dice.random::<f64>() < self.spec.net.loss {
            RESEND
        } else {
            0
        };
        Some(base as Span + again)
    }

    fn out(&mut self, router: u32, node: u32) -> Option<Span> {
        let (from, to) = (self.routers[router as usize].zone, self.nodes[node as usize].zone);
        let lost = self.to_node[from][to] > 0;
        self.trip(from, to, lost)
    }

    fn home(&mut self, router: u32, node: u32) -> Option<Span> {
        let (to, from) = (self.routers[router as usize].zone, self.nodes[node as usize].zone);
        let lost = self.to_router[from][to] > 0;
        self.trip(from, to, lost)
    }

    fn send(&mut self, router: u32, attempt: AttemptId, origin: Key, node: &NodeId) {
        let (name, node) = (node, self.names[node]);
        let id = origin.number() as u32;
        let second = self.second();
        let class = self.requests[id as usize].class;
        let (from, to) = (self.routers[router as usize].zone, self.nodes[node as usize].zone);
        self.counted.attempts += 1;
        let grace = self.settings[router as usize].drain_grace;
        if self.routers[router as usize].closed.get(name).is_some_and(|told| self.now > told + grace) {
            self.breaches.add(Rule::Drain, second, || format!("router {router} to node {name}"));
        }
        if attempt.number >= self.settings[router as usize].max_attempts {
            self.breaches.add(Rule::Attempts, second, || format!("attempt {}", attempt.number));
        }
        let spec = &self.spec.classes[class as usize];
        if spec.reads != Reads::Write {
            if from != to
                && let Some(s) = self.seconds.get_mut(second as usize)
            {
                s.spilled[to] += spec.work_ms / 1e3;
            }
            let known = &self.nodes[node as usize];
            let replica = self.groups[known.group].0.primary() != Some(known.member);
            if replica && self.now < self.first_fault && second >= 2.0 {
                self.counted.local.0 += u64::from(from == to);
                self.counted.local.1 += 1;
            }
        }
        let work = self.works[class as usize].sample(&mut self.dice);
        self.requests[id as usize].holds += 1;
        let (router_epoch, node_epoch) =
            (self.routers[router as usize].epoch, self.nodes[node as usize].epoch);
        let run = self.runs.insert(Run {
            router,
            router_epoch,
            attempt,
            node,
            node_epoch,
            request: id,
            class,
            work,
            sent: self.now,
            given_up: false,
            position: 0,
            by_head: false,
            at_node: false,
        }) as u32;
        self.routers[router as usize].attempts.insert(attempt, run);
        let pool = &mut self.routers[router as usize].pools[node as usize];
        if pool.0 != node_epoch {
            *pool = (node_epoch, 0);
        }
        if pool.1 > 0 && self.nodes[node as usize].id == *name {
            pool.1 -= 1;
            return self.write(run);
        }
        // A connection must come up first: there and back, and there.
        let known = &self.nodes[node as usize];
        // At the address of a machine that was replaced nobody is.
        let (up, full) = (known.up && known.id == *name, known.connections >= self.spec.node.connections);
        let wait = match (self.out(router, node), self.home(router, node)) {
            (Some(out), Some(home)) => Some(out + home),
            _ => None,
        };
        match wait {
            None => {
                let timeout = self.settings[router as usize].connect_timeout;
                self.at(self.now + timeout, Event::Back { run, ending: Ending::Unreachable });
            }
            Some(wait) if !up || full => {
                self.at(self.now + wait, Event::Back { run, ending: Ending::Unreachable });
            }
            Some(wait) => {
                self.nodes[node as usize].connections += 1;
                self.at(self.now + wait + us(self.spec.net.handshake_ms / 1e3), Event::Up(run));
            }
        }
    }

    /// The last byte of an attempt is written.
    fn write(&mut self, run: u32) {
        let r = &mut self.runs[run as usize];
        r.sent = self.now;
        let (router, node, attempt) = (r.router, r.node, r.attempt);
        if let Some(core) = &mut self.routers[router as usize].core {
            core.written(attempt);
        }
        match self.out(router, node) {
            Some(wait) => self.at(self.now + wait, Event::AtNode(run)),
            None => self.vanish(run),
        }
    }

    fn up(&mut self, run: u32) {
        let r = &self.runs[run as usize];
        let (router, epoch, node, attempt) = (r.router, r.router_epoch, r.node, r.attempt);
        if r.given_up {
            return self.forget(run);
        }
        if self.nodes[node as usize].epoch != r.node_epoch {
            return self.back(run, Ending::Unreachable);
        }
        let now = self.now;
        let Some(core) = self.live(router, epoch) else { return self.forget(run) };
        if core.still_fits(attempt, now) {
            self.write(run);
        } else {
            self.back(run, Ending::Void);
        }
    }

    /// What was written never arrives, or its answer does not; nothing tells the router.
    fn vanish(&mut self, run: u32) {
        let r = &self.runs[run as usize];
        let (router, attempt, given_up) = (r.router, r.attempt, r.given_up);
        if !given_up {
            self.routers[router as usize].attempts.remove(&attempt);
        }
        self.forget(run);
    }

    /// The one place where a run's slot is given back.
    fn forget(&mut self, run: u32) {
        let run = self.runs.remove(run as usize);
        self.requests[run.request as usize].holds -= 1;
        self.release(run.request);
    }

    /// Its router closes its connection: the answer reaches nobody. What the node does goes on.
    fn abandon(&mut self, run: u32) {
        let r = &mut self.runs[run as usize];
        r.given_up = true;
        let node = &mut self.nodes[r.node as usize];
        if node.epoch == r.node_epoch {
            node.connections = node.connections.saturating_sub(1);
        }
    }

    fn at_node(&mut self, id: u32) {
        let run = &self.runs[id as usize];
        let (node, epoch, class, work) = (run.node, run.node_epoch, run.class, run.work);
        let known = &mut self.nodes[node as usize];
        if !known.up || known.epoch != epoch {
            return self.reply(id, Ending::Broken);
        }
        let (group, member) = (known.group, known.member);
        let head = self.groups[group].0.primary() == Some(member);
        if self.spec.classes[class as usize].reads == Reads::Write && !head {
            return self.reply(id, Ending::Missed);
        }
        if known.machine.warmth(self.now) < 1.0 {
            let started = known.machine.started();
            let told = self.routers[run.router as usize].starts.get(&node).copied() == started
                || started.is_some_and(|at| self.now > at + DEEMED);
            let write = self.spec.classes[class as usize].reads == Reads::Write;
            let press = Press { at: self.now, work, told, write, again: run.attempt.number > 0 };
            self.pressure.add(node, press);
        }
        match known.machine.offer(self.now, id, work) {
            Offer::Runs(until) => self.begins(id, until),
            Offer::Waits => self.runs[id as usize].at_node = true,
            Offer::Full => self.reply(id, Ending::Overloaded),
            Offer::Falls => {
                self.counted.fallen += 1;
                let (name, second) = (known.id.clone(), self.second());
                let shares = self.pressure.shares(node);
                // Where most of it came from routers that could not know, the rule is not theirs; the node is counted.
                if shares.theirs() {
                    self.breaches.add(Rule::PushedOver, second, || format!("node {name}: {shares}"));
                }
                self.node_down(node);
                self.reply(id, Ending::Broken);
            }
        }
    }

    /// A node begins with a request: this is the data it is answered from.
    fn begins(&mut self, id: u32, until: Time) {
        let run = &self.runs[id as usize];
        let (node, class) = (run.node as usize, run.class as usize);
        let (group, member) = (self.nodes[node].group, self.nodes[node].member);
        let log = &mut self.groups[group].0;
        let position = log.position(member, self.now);
        let head = log.primary() == Some(member);
        if self.spec.classes[class].blocks && !head {
            log.block(member, self.now, until);
        }
        let by_head = head || self.nodes[node].headed;
        let run = &mut self.runs[id as usize];
        (run.position, run.by_head, run.at_node) = (position, by_head, true);
        let (node, epoch) = (run.node, run.node_epoch);
        self.at(until, Event::Done { node, epoch, run: id });
    }

    fn done(&mut self, node: u32, epoch: u32, id: u32) {
        let known = &mut self.nodes[node as usize];
        if known.epoch != epoch {
            return;
        }
        if let Some((next, until)) = known.machine.done(self.now) {
            self.begins(next, until);
        }
        let (group, member) = (self.nodes[node as usize].group, self.nodes[node as usize].member);
        let (request, class) = (self.runs[id as usize].request, self.runs[id as usize].class);
        let write = self.spec.classes[class as usize].reads == Reads::Write;
        let failed = self.dice.random::<f64>() < self.spec.node.errors;
        let log = &mut self.groups[group].0;
        if write && log.primary() != Some(member) {
            return self.reply(id, Ending::Failure);
        }
        if write {
            log.commit(self.now);
            let r = &mut self.requests[request as usize];
            r.ran += 1;
            if r.ran > 1 {
                let second = self.second();
                self.breaches.add(Rule::RanTwice, second, || format!("request {request}"));
            }
        }
        self.reply(id, if failed { Ending::Failure } else { Ending::Success });
    }

    fn reply(&mut self, run: u32, ending: Ending) {
        let r = &mut self.runs[run as usize];
        r.at_node = false;
        let (router, node) = (r.router, r.node);
        match self.home(router, node) {
            Some(wait) => self.at(self.now + wait, Event::Back { run, ending }),
            None => self.vanish(run),
        }
    }

    fn back(&mut self, id: u32, ending: Ending) {
        let run = &self.runs[id as usize];
        if run.given_up {
            return self.forget(id);
        }
        let (router, epoch, node, attempt, request) =
            (run.router, run.router_epoch, run.node, run.attempt, run.request);
        let (position, by_head, sent, class) = (run.position, run.by_head, run.sent, run.class as usize);
        let known = &mut self.nodes[node as usize];
        let (group, member) = (known.group, known.member);
        let kept = matches!(
            ending,
            Ending::Success | Ending::Failure | Ending::Missed | Ending::Overloaded | Ending::Void
        );
        if known.epoch == run.node_epoch {
            let pool = &mut self.routers[router as usize].pools[node as usize];
            if kept {
                *pool = (known.epoch, if pool.0 == known.epoch { pool.1 + 1 } else { 1 });
            } else if ending == Ending::Broken {
                known.connections = known.connections.saturating_sub(1);
            }
        }
        let head = self.groups[group].0.primary() == Some(member);
        let write = self.spec.classes[class].reads == Reads::Write;
        let answers = matches!(ending, Ending::Success | Ending::Missed | Ending::Failure);
        let note = Standing {
            role: answers.then_some(if head { Role::Primary } else { Role::Replica }),
            position: (write && ending == Ending::Success).then_some(self.now),
            ..Standing::default()
        };
        self.routers[router as usize].attempts.remove(&attempt);
        let now = self.now;
        let Some(core) = self.live(router, epoch) else { return self.forget(id) };
        let served = core.ended(now, attempt, ending, note, Standing::default());
        if served.is_some() {
            let need = match self.spec.classes[class].reads {
                Reads::Bounded(ms) => sent.saturating_sub(ms * 1_000),
                Reads::Session => self.requests[request as usize].need.unwrap_or(0),
                Reads::Any | Reads::Write => 0,
            };
            if position < need && !by_head && !write {
                let (second, old) = (self.second(), (need - position) / 1_000);
                self.breaches.add(Rule::Stale, second, || format!("{old} ms too old, node {node}"));
            }
            self.served(request);
        }
        self.forget(id);
        self.settle(router);
    }

    // ---- probes

    fn probe(&mut self, router: u32, node: &NodeId) {
        let Some(&node) = self.names.get(node) else { return };
        let epoch = self.routers[router as usize].epoch;
        match self.out(router, node) {
            Some(wait) => self.at(self.now + wait, Event::ProbeAt { router, epoch, node }),
            None => {
                let timeout = self.settings[router as usize].connect_timeout;
                self.at(self.now + timeout, Event::ProbeBack { router, epoch, node, told: None });
            }
        }
    }

    fn probe_at(&mut self, router: u32, epoch: u32, node: u32) {
        let known = &self.nodes[node as usize];
        let (group, member, up) = (known.group, known.member, known.up);
        // A report is as old as its last refresh.
        let old = us(self.uniform((0.0, 0.15)));
        let log = &mut self.groups[group].0;
        let role = if log.primary() == Some(member) { Role::Primary } else { Role::Replica };
        let position = Some(log.position(member, self.now).saturating_sub(old));
        let machine = &self.nodes[node as usize].machine;
        let (held, busy) = (machine.held() as u32, (machine.busy() * 1e3) as u32);
        let told = up.then_some(Standing { position, role: Some(role), held: Some(held), busy: Some(busy) });
        if let Some(wait) = self.home(router, node) {
            self.at(self.now + wait, Event::ProbeBack { router, epoch, node, told });
        }
    }

    // ---- the list

    fn list_at(&self, version: u32) -> Vec<NodeEntry> {
        let mut list = self.initial.clone();
        for entry in self.changes[..=version as usize].iter().flatten() {
            list[self.names[&entry.node] as usize] = entry.clone();
        }
        list.retain(|e| e.state != Listed::Gone);
        list
    }

    /// The list will hear of this after so long.
    fn will_change(&mut self, after: f64, entries: Vec<NodeEntry>) {
        self.pending.push(entries);
        let number = self.pending.len() as u32 - 1;
        self.at(self.now + us(after), Event::Change(number));
    }

    /// A router asks for all that it has missed. The service takes its calls in turn.
    fn call(&mut self, router: u32) {
        let (rate, most) = (self.spec.list.calls_per_s, us(self.spec.list.call_wait_s));
        let turn = self.calls_until.max(self.now);
        if rate > 0.0 && turn > self.now + most {
            let r = &mut self.routers[router as usize];
            let (again, epoch) = (r.pauses.failed(self.now + most), r.epoch);
            return self.at(again, Event::Call { router, epoch });
        }
        if rate > 0.0 {
            self.calls_until = turn + us(1.0 / rate);
        }
        self.routers[router as usize].pauses.answered();
        let wait = self.uniform(LIST_CALL);
        self.at(turn + us(wait), Event::Tell { router, version: u32::MAX });
    }

    fn change(&mut self, number: u32) {
        self.changes.push(std::mem::take(&mut self.pending[number as usize]));
        self.version = self.changes.len() as u32 - 1;
        let version = self.version;
        for router in 0..self.routers.len() as u32 {
            // Each hears all changes as much later, so that they come in order.
            let wait = self.routers[router as usize].hears_after;
            if self.spec.list.calls_per_s > 0.0 {
                // Its watch is answered in turn, as a call of all that it has missed.
                let epoch = self.routers[router as usize].epoch;
                self.at(self.now + wait, Event::Call { router, epoch });
            } else {
                self.at(self.now + wait, Event::Tell { router, version });
            }
        }
    }

    fn tell(&mut self, router: u32, version: u32) {
        let whole = version == u32::MAX;
        let r = &self.routers[router as usize];
        if r.silent > 0 || r.core.is_none() || (!whole && version <= r.told) {
            return;
        }
        let update = if !whole && version == r.told + 1 {
            ListUpdate::Changes(self.changes[version as usize].clone())
        } else {
            ListUpdate::Full(self.list_at(self.version))
        };
        let told = if matches!(update, ListUpdate::Full(_)) { self.version } else { version };
        let now = self.now;
        let r = &mut self.routers[router as usize];
        r.told = told;
        if let ListUpdate::Changes(all) | ListUpdate::Full(all) | ListUpdate::Restored(all) = &update {
            let started = all.iter().filter_map(|e| Some((self.names[&e.node], e.started?)));
            r.starts.extend(started);
        }
        match &update {
            ListUpdate::Changes(entries) => {
                for entry in entries {
                    if entry.state == Listed::Serving {
                        r.closed.remove(&entry.node);
                    } else {
                        r.closed.entry(entry.node.clone()).or_insert(now);
                    }
                }
            }
            ListUpdate::Full(entries) | ListUpdate::Restored(entries) => {
                let serving = entries.iter().filter(|e| e.state == Listed::Serving).map(|e| &e.node);
                let serving: HashSet<&NodeId> = serving.collect();
                for name in self.names.keys() {
                    if serving.contains(name) {
                        r.closed.remove(name);
                    } else {
                        r.closed.entry(name.clone()).or_insert(now);
                    }
                }
            }
            ListUpdate::Failed => {}
        }
        if let Some(core) = &mut r.core {
            core.list(update);
        }
        self.settle(router);
    }

    fn entry(&self, node: u32, state: Listed) -> NodeEntry {
        let known = &self.nodes[node as usize];
        let primary = self.groups[known.group].0.primary() == Some(known.member);
        NodeEntry {
            node: known.id.clone(),
            state,
            primary,
            started: known.machine.started(),
            ..self.initial[node as usize].clone()
        }
    }

    /// Tells the list of these nodes, in a few portions.
    fn list_nodes(&mut self, nodes: &[u32], state: Listed, delays: (f64, f64)) {
        let mut portions: Vec<Vec<u32>> = vec![Vec::new(); NOTICES];
        for node in nodes {
            portions[self.dice.random_range(0..NOTICES)].push(*node);
        }
        for portion in portions.into_iter().filter(|p| !p.is_empty()) {
            let after = self.uniform(delays);
            let entries = portion.into_iter().map(|n| self.entry(n, state)).collect();
            self.will_change(after, entries);
        }
    }

    // ---- what goes wrong

    fn node_down(&mut self, node: u32) {
        let known = &mut self.nodes[node as usize];
        if !known.up {
            return;
        }
        (known.up, known.epoch, known.connections) = (false, known.epoch + 1, 0);
        drop(known.machine.stop());
        let (group, member) = (known.group, known.member);
        let lost: Vec<u32> =
            self.runs.iter().filter(|(_, r)| r.node == node && r.at_node).map(|(id, _)| id as u32).collect();
        for run in lost {
            self.reply(run, Ending::Broken);
        }
        self.leaves(group, member);
    }

    /// Another machine has a node's place, under a name of its own.
    fn rename(&mut self, node: u32) {
        let known = &mut self.nodes[node as usize];
        known.id = format!("s-{node:04}-{}", known.epoch).into();
        self.names.insert(known.id.clone(), node);
    }

    /// A member is out of its group: a primary is replaced in time, a replica gets no log.
    fn leaves(&mut self, group: usize, member: usize) {
        let now = self.now;
        let log = &mut self.groups[group].0;
        if log.primary() == Some(member) {
            log.lose_primary(now);
            let (detect, elect) = (self.spec.replication.detect_s, self.spec.replication.elect_s);
            let wait = self.uniform(detect) + self.uniform(elect);
            self.at(now + us(wait), Event::Elect(group as u32));
        }
        self.groups[group].0.sever(member, now);
    }

    fn node_up(&mut self, node: u32) {
        let now = self.now;
        let known = &mut self.nodes[node as usize];
        if known.up || known.machine.fallen() {
            return;
        }
        (known.up, known.epoch) = (true, known.epoch + 1);
        known.machine.restart(now);
        self.pressure.clear(node);
        let (group, member) = (known.group, known.member);
        self.groups[group].0.rejoin(member, now);
        if self.groups[group].0.primary().is_none() {
            self.at(now + us(1.0), Event::Elect(group as u32));
        }
    }

    fn elect(&mut self, group: usize) {
        let (log, members) = &mut self.groups[group];
        if log.primary().is_some() {
            return;
        }
        let able: Vec<usize> = (0..members.len())
            .filter(|m| {
                let node = &self.nodes[members[*m]];
                node.up && self.to_node[node.zone][node.zone] == 0
            })
            .collect();
        match log.elect(&able, self.now) {
            Some(winner) => {
                let node = members[winner];
                self.nodes[node].headed = true;
                let nodes: Vec<u32> =
                    members.iter().map(|n| *n as u32).filter(|n| self.nodes[*n as usize].up).collect();
                let entries = nodes.into_iter().map(|n| self.entry(n, Listed::Serving)).collect();
                let after = self.uniform(self.spec.list.role_s);
                self.will_change(after, entries);
            }
            None => self.at(self.now + us(1.0), Event::Elect(group as u32)),
        }
    }

    fn pick(&mut self, zone: Option<usize>, part: f64) -> Vec<u32> {
        let mut nodes: Vec<u32> = (0..self.nodes.len() as u32)
            .filter(|n| zone.is_none_or(|z| self.nodes[*n as usize].zone == z))
            .collect();
        let count = (nodes.len() as f64 * part).round() as usize;
        while nodes.len() > count {
            nodes.remove(self.dice.random_range(0..nodes.len()));
        }
        nodes
    }

    fn place(&self, name: &str) -> usize {
        self.spec.zones.iter().position(|z| z.name == name).expect("checked")
    }

    fn begin(&mut self, n: usize) {
        match self.spec.faults[n].what.clone() {
            Trouble::ZoneDown { zone, part } => {
                let nodes = self.pick(Some(self.place(&zone)), part);
                nodes.iter().for_each(|node| self.node_down(*node));
                self.list_nodes(&nodes, Listed::Gone, self.spec.list.notice_s);
                self.picked[n] = nodes;
            }
            Trouble::Drain { zone, part } | Trouble::Replace { zone, part } => {
                let nodes = self.pick(Some(self.place(&zone)), part);
                self.list_nodes(&nodes, Listed::Draining, (0.0, 0.1));
                for node in &nodes {
                    let (group, member) =
                        (self.nodes[*node as usize].group, self.nodes[*node as usize].member);
                    let now = self.now;
                    if self.groups[group].0.primary() == Some(member) {
                        self.groups[group].0.lose_primary(now);
                        let wait = self.uniform((0.31, 0.91));
                        self.at(now + us(wait), Event::Elect(group as u32));
                    }
                    self.groups[group].0.sever(member, now);
                }
                self.picked[n] = nodes;
            }
            Trouble::BlackHole { zone, .. } => {
                let zone = self.place(&zone);
                self.cut_zone(zone, true);
                for node in 0..self.nodes.len() {
                    if self.nodes[node].zone == zone {
                        self.leaves(self.nodes[node].group, self.nodes[node].member);
                    }
                }
            }
            Trouble::Cut { from, to } => {
                let (from, to) = (self.place(&from), self.place(&to));
                self.to_node[from][to] += 1;
            }
            Trouble::ListSilent { zone } => self.silence(&zone, true),
            Trouble::RoutersDown { zone } => {
                let zone = self.place(&zone);
                for router in self.routers_of(zone) {
                    self.stop(router);
                }
            }
            Trouble::Rollout { down_s } => {
                let (at, until) = (self.spec.faults[n].at, self.spec.faults[n].until);
                let gap = (until - at) / self.routers.len() as f64;
                for router in 0..self.routers.len() as u32 {
                    let stop = self.now + us(gap * f64::from(router));
                    self.at(stop, Event::Stop(router));
                    self.at(stop + us(down_s), Event::Start(router));
                }
            }
            Trouble::Slow { part, times } => {
                let nodes = self.pick(None, part);
                nodes.iter().for_each(|node| self.nodes[*node as usize].machine.slow(times));
                self.picked[n] = nodes;
            }
        }
    }

    fn finish(&mut self, n: usize) {
        match self.spec.faults[n].what.clone() {
            Trouble::ZoneDown { .. } => {
                let nodes = std::mem::take(&mut self.picked[n]);
                nodes.iter().for_each(|node| self.node_up(*node));
                let up: Vec<u32> = nodes.into_iter().filter(|n| self.nodes[*n as usize].up).collect();
                self.list_nodes(&up, Listed::Serving, self.spec.list.add_s);
            }
            Trouble::Drain { .. } => {
                let nodes = std::mem::take(&mut self.picked[n]);
                for node in &nodes {
                    self.node_down(*node);
                    self.node_up(*node);
                }
                self.list_nodes(&nodes, Listed::Serving, self.spec.list.add_s);
            }
            Trouble::Replace { .. } => {
                for node in std::mem::take(&mut self.picked[n]) {
                    self.node_down(node);
                    let gone = self.entry(node, Listed::Gone);
                    self.rename(node);
                    self.node_up(node);
                    let after = self.uniform(self.spec.list.add_s);
                    let came = self.entry(node, Listed::Serving);
                    self.will_change(after, vec![gone, came]);
                }
            }
            Trouble::BlackHole { zone, cold } => {
                let zone = self.place(&zone);
                self.cut_zone(zone, false);
                let nodes: Vec<u32> =
                    (0..self.nodes.len() as u32).filter(|n| self.nodes[*n as usize].zone == zone).collect();
                let now = self.now;
                for node in &nodes {
                    let known = &self.nodes[*node as usize];
                    self.groups[known.group].0.rejoin(known.member, now);
                    if cold {
                        self.node_down(*node);
                        self.node_up(*node);
                    }
                }
                if cold {
                    self.list_nodes(&nodes, Listed::Serving, self.spec.list.add_s);
                }
            }
            Trouble::Cut { from, to } => {
                let (from, to) = (self.place(&from), self.place(&to));
                self.to_node[from][to] -= 1;
            }
            Trouble::ListSilent { zone } => self.silence(&zone, false),
            Trouble::RoutersDown { zone } => {
                let zone = self.place(&zone);
                for router in self.routers_of(zone) {
                    self.at(self.now, Event::Start(router));
                }
            }
            Trouble::Rollout { .. } => {}
            Trouble::Slow { .. } => {
                let nodes = std::mem::take(&mut self.picked[n]);
                nodes.iter().for_each(|node| self.nodes[*node as usize].machine.slow(1.0));
            }
        }
    }

    fn routers_of(&self, zone: usize) -> Vec<u32> {
        (0..self.routers.len() as u32).filter(|r| self.routers[*r as usize].zone == zone).collect()
    }

    fn cut_zone(&mut self, zone: usize, on: bool) {
        for other in 0..self.spec.zones.len() {
            for lost in [&mut self.to_node[other][zone], &mut self.to_router[zone][other]] {
                *lost = if on { *lost + 1 } else { lost.saturating_sub(1) };
            }
        }
    }

    fn silence(&mut self, zone: &str, on: bool) {
        let routers: Vec<u32> = (0..self.routers.len() as u32)
            .filter(|r| zone.is_empty() || self.spec.zones[self.routers[*r as usize].zone].name == zone)
            .collect();
        for router in routers {
            let silent = &mut self.routers[router as usize].silent;
            *silent = if on { *silent + 1 } else { silent.saturating_sub(1) };
            if !on {
                self.call(router);
            }
        }
    }

    // ---- the report

    fn report(mut self) -> Report {
        let share = |(all, good): (f64, f64)| if all > 0.0 { good / all } else { 1.0 };
        let limit = self.spill_limit;
        let mut most = 0.0_f64;
        for s in &self.seconds[..self.spec.seconds as usize] {
            for (spilled, capacity) in s.spilled.iter().zip(&s.capacity) {
                // What is sent to a zone that has nothing left reaches nobody.
                if *capacity > 0.0 {
                    most = most.max(spilled / capacity);
                }
            }
        }
        let seconds = std::mem::take(&mut self.seconds);
        let first = self.spec.faults.iter().map(|f| f.at).fold(f64::INFINITY, f64::min);
        let last = self.spec.faults.iter().map(|f| f.until).fold(0.0, f64::max);
        let (mut after_loss, mut after_return) = (None, None);
        if first.is_finite() && first >= 3.0 {
            let calm: (f64, f64) = seconds[2..first as usize]
                .iter()
                .fold((0.0, 0.0), |sum, s| (sum.0 + s.asked, sum.1 + s.in_time));
            let calm_share = share(calm);
            let capacity = |n: usize| seconds[n].capacity.iter().sum::<f64>();
            let full = capacity(first as usize - 1);
            // What is left can do so much of what is asked for.
            let allows = |n: usize| (capacity(n) / full / self.spec.clients.load).min(1.0);
            after_loss = back(&seconds, first, last, |n| 0.95 * calm_share * allows(n));
            after_return = back(&seconds, last, self.spec.seconds, |_| 0.95 * calm_share);
        }
        Report {
            name: self.spec.name.clone(),
            variant: self.spec.variant,
            seed: self.seed,
            requests: self.counted.requests,
            attempts: self.counted.attempts,
            in_time: share((self.counted.asked, self.counted.in_time)),
            window: share(self.counted.window),
            local: share((self.counted.local.1 as f64, self.counted.local.0 as f64)),
            spill_over: most - limit,
            spill_most: most,
            fallen: self.counted.fallen,
            after_loss,
            after_return,
            p50_ms: self.latencies.value_at_quantile(0.5) as f64 / 1e3,
            p99_ms: self.latencies.value_at_quantile(0.99) as f64 / 1e3,
            breaches: self.breaches.0,
            events: self.counted.events,
            seconds,
        }
    }
}
