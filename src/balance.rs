//! Every decision of the router. Its types, events and actions: `src/api.rs`. The reasons, and the
//! departures from the published method: `docs/design.md`.

use crate::api::*;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

// The tuned values, one a line. Times are microseconds; shares, factors and logarithms have no unit.

const ALPHA: f64 = 0.8; // effect of similarity on load, the paper's alpha
const HISTORY: usize = 15; // reads remembered per node, the paper's n
const NEAR_TIE: f64 = 1.05; // scores within this factor of the least are a tie and go round-robin
const CROSSING: f64 = 0.3; // what crossing a zone adds to a read's cost, as a share of it: a nudge
const CONNECT: f64 = 0.3; // ... and opening a connection, where routers are many: tables fill
const KEEP_FRESH: f64 = 2.0; // a loose read costs so many times as much where the data is of use to others
const LONG: f64 = 4.0; // a class that takes so many times the least of all is long: it may hold the log up
const GAIN: f64 = 0.1; // weight of a new sample in running means: some ten samples of memory
const FIRST_LATENCY: f64 = 0.3; // first guess of a class's latency as a share of its aim
const SLOW_GAIN: f64 = 0.25; // weight of a sample of slowness where routers are many: samples are few
const FULL_SLOW: f64 = 5.0; // how slow a node counts that turned work away: past what any aim allows
const SLOW_RANGE: (f64, f64) = (0.5, 12.0); // bounds of slowness: one sample can't banish a node
const SLOW_FADE: f64 = 8e6; // slowness fades towards 1 with this time constant: nodes are tried again
const SILENCE: (f64, f64) = (9.0, 3.5); // waits, in mean latencies, that set a node aside; the most of one
const DOUBT: (Micros, Micros) = (60_000, 600_000); // in doubt a node must answer a probe, and a request, by then
const TRIAL: (Micros, Micros) = (500_000, 4_000_000); // first wait before a trial, the longest after doublings
const COMMON_CAUSE: f64 = 0.5; // the most of those in service set aside: beyond it the cause is common
const PATIENCE: (f64, Micros) = (16.0, 100_000); // mean latencies until a read times out, and the least: late
const LIMIT: (f64, f64, f64) = (24.0, 1.0, 200.0); // attempts out at a node: all routers' first, one's bounds
const LIMIT_AIM: f64 = 0.4; // a limit shrinks when an answer took more of its aim than this, else grows
const LIMIT_CUT: (f64, f64) = (0.93, 0.8); // by these factors: late answers; work lost or turned away
const CUT_GAP: Micros = 100_000; // least time between two cuts: a jam is one piece of news
const SPILL: f64 = 0.6; // share of the primary's limit open to reads that replicas have no room for
const FULL_PAUSE: Micros = 30_000; // a node that turned work away as full gets none for this long
const DENIED_PAUSE: Micros = 250_000; // a member that denied being primary is not asked again so soon
const DENIED_RANKS: Micros = 6_000_000; // its denial outranks the node list so long: lists are seconds late
const MARGIN_TICKS: u64 = 2; // ticks before the client's patience ends at which the final answer comes
const ANEW: Micros = 50_000; // a write that twice did not run goes again after this, doubled each time
const PROBE_GAP: Micros = 100_000; // least time between two probes of a node: reports are no newer
const PROBE_HOLD: Micros = 20_000; // a read waits so long for the report that may prove a replica fresh
const UNSURE: Micros = 1_000_000; // what a node said of its position is held for its present lag so long
const COLD_USE: f64 = 0.6; // of what a warm node would get, by chance a cold one has warm share times this
const COLD_WRITES: f64 = 3.0; // ... and so many times that of writes: they fill half of a warm primary
const TURNS: Micros = 4; // turns in the time that pushes a cold node over: any such time meets one more
const BY_TURNS: f64 = 96.0; // routers that go by turns, times the multiple of capacity that nodes fall at
const GOLDEN: f64 = 0.618_033_988_749_895; // golden ratio: its multiples spread evenly over the unit
const LEAVING: (f64, Micros) = (0.2, 3_000_000); // share of clients that leave early, and how long that counts
const HELD_FADE: (f64, f64) = (2e6, 5e6); // what a node holds fades towards the mean so, and that to nothing
const CROWDED: f64 = 2.0; // a node that is so many times as loaded as the mean makes another worth asking
const WAIT: f64 = 1.5; // a wait may be so many times what is foreseen: work is spread, reports are 0.2 s old
const GUEST: f64 = 1.6; // ... and for a read at the primary again: writes have no other place to go
const HELD_GAIN: f64 = 0.2; // weight of a report in the mean of its group
const BUSY: (f64, f64) = (0.2, 0.9); // reports of a node this busy tell its cores: idler ones are all noise
const CORES: f64 = 4.0; // requests a node works on at once, until reports tell; a cold one: half of that
const USED_FADE: f64 = 3e6; // requests of a tenant are counted with this time constant
const OVER_QUOTA: (f64, f64) = (0.25, 0.5); // what is over it may take so much of a limit, or of a wait
const DROPPED: Micros = 60_000_000; // a node off the list that stays open is forgotten so long after its answer
const LOOK_OVER: Micros = 20_000; // period of the look-over while anything is out or waiting
const TOKEN_SLACK: Micros = 1_000; // a carried token may be rounded by up to this

#[derive(Clone, Copy, Default, PartialEq, Eq)]
enum Fate {
    #[default]
    Out,
    NotRun,
    MayHaveRun,
}

#[derive(Default)]
struct Attempt {
    node: NodeId,
    sent: Time,
    fate: Fate,
    missed: bool, // it was turned away untouched
}

#[derive(Default)]
struct Request {
    what: RequestInfo,
    luck: f64,          // a uniform draw: the request passes gates whose level is above it
    came: Time,         // when it arrived
    born: Time, // the client's first try began no later than this, as far as the router can tell
    due: Time,  // the final answer is given by then
    need: Option<Time>, // a replica must have applied the log up to here
    attempts: Vec<Attempt>,
    open: bool,
    streaming: bool,
    worth: f64,   // the part of its class's worth that it earns: less over a quota
    barred: bool, // the nodes it wanted are shut to it
    asked: Option<(NodeId, Time)>, // the node asked on its behalf, and when
}

impl Request {
    fn at<'a>(&'a self, node: &'a Node) -> impl Iterator<Item = &'a Attempt> {
        self.attempts.iter().filter(|a| a.node == node.entry.node)
    }
}

#[derive(Default)]
struct Node {
    entry: Endpoint,
    closed: Option<Time>, // when this router was told that it drains or is gone
    gone: bool,           // no list names it any more
    position: Time,
    heard: Time, // when `position` was learned
    denied: Option<Time>,
    recent: VecDeque<(Arc<str>, usize)>,
    out: BTreeMap<(RequestId, u32), (Time, f64, f64)>, // attempts: when sent, cost and class mean as of then
    slow: f64,
    slow_at: Time,
    answered: Time,
    silence: f64, // mean latencies that ended attempts waited in vain since the last answer
    suspect: bool,
    limit: f64,
    cut_at: Time,
    trial_at: Time,
    trial_wait: Micros,
    full_until: Time,
    probed: Time, // when it was last probed, and when a probe of it last ended
    told: Time,
    linked: bool,        // a connection to it is open, as far as this router can tell
    crowded_until: Time, // until then connections to it are closed after use: its table was full
    held: (f64, Time),   // requests of other routers there by its last report, and when that came
    rank: u64, // its place in this router's own order: a hash of both, so that orders differ
    counts: Option<f64>, // how much of its weight counts for the request that is being placed
    spent: (Time, f64), // while it is cold: the turn of the last send, and the work sent in that (us)
}

#[derive(Default)]
struct Group {
    members: BTreeSet<NodeId>,
    primary: Option<(NodeId, Time)>, // as believed, and the time of the evidence (0: the list's word only)
    held: (f64, Time), // mean of what its members say they hold for other routers, and when one said it
}

#[derive(Default)]
struct ClassState {
    latency: f64,
    work: Option<f64>, // its latency at nodes without a queue, once such have answered
    longest_left: Micros, // the longest patience seen on a try: what first tries come with (us)
    leave: f64,        // when clients that do not wait as long as they say leave, in the mean (us)
    leaving: f64,      // their share among those that were not answered by then
    left_at: Time,     // when the last one left
}

/// The decisions of one router.
#[derive(Default)]
pub struct Balancer {
    cfg: Settings,
    now: Time,
    since: Option<Time>, // when this process began: what the last one sent in that turn it does not know
    random: u64,
    turn: u64, // counts reads placed, from the router's number: near-ties go by turns
    nodes: BTreeMap<NodeId, Node>,
    groups: BTreeMap<GroupId, Group>,
    requests: BTreeMap<RequestId, Request>,
    due: BTreeSet<(Time, RequestId)>,
    waiting: BTreeSet<RequestId>,
    busy: BTreeSet<NodeId>, // nodes with attempts out or just ended, or set aside: what a look-over visits
    thin: bool, // a router's share of a node's limit is under one request: chance takes the limit's place
    chance: bool, // cold nodes are spared by chance and reports, not by turns
    in_service: usize, // nodes in service by the list
    classes: Vec<ClassState>,
    old: Micros, // data older than this is of use only to reads that any data will do for
    used: (Vec<f64>, Time), // each tenant's requests of late, which fade, and when one came last
    cores: f64,  // how many requests a node works on at once, by what nodes say of themselves
    told: f64,   // how many reports said so
    written: BTreeMap<Arc<str>, Time>,
    wake: Option<Time>,
    resubscribe: Option<Time>,
    /// Says which zones a request may use now; where there is none, all of them.
    pub zoning: Option<Box<dyn LocalityPolicy>>,
}

impl Balancer {
    /// A router that has just started, with its settings and a seed for its random numbers.
    pub fn new(settings: Settings, seed: u64) -> Self {
        let first = |c: &Class| ClassState {
            latency: c.latency_objective as f64 * FIRST_LATENCY,
            ..ClassState::default()
        };
        let bound = |c: &Class| {
            if let Access::Bounded(bound) = c.access {
                Some(bound)
            } else {
                None
            }
        };
        Balancer {
            old: settings
                .classes
                .iter()
                .filter_map(bound)
                .max()
                .unwrap_or(UNSURE),
            classes: settings.classes.iter().map(first).collect(),
            random: seed | 1,
            turn: u64::from(settings.router_index),
            resubscribe: settings.subscribe.then_some(0),
            thin: LIMIT.0 < f64::from(settings.router_count),
            chance: LIMIT.0.max(BY_TURNS / settings.overload_factor)
                < f64::from(settings.router_count),
            used: (vec![0.0; settings.tenants.len()], 0),
            cores: CORES,
            cfg: settings,
            ..Balancer::default()
        }
    }

    /// Takes the events of one moment and says what to do.
    pub fn handle(&mut self, now: Time, events: Vec<Event>, actions: &mut Vec<Action>) {
        self.now = self.now.max(now);
        self.since.get_or_insert(self.now);
        for event in events {
            match event {
                Event::EndpointsChanged(update) => self.list(update),
                Event::RequestArrived(demand) => self.arrive(demand),
                Event::StreamStarted { request } => {
                    self.requests.get_mut(&request).into_iter().for_each(|r| {
                        r.streaming = true;
                        self.due.remove(&(r.due, request));
                    })
                }
                Event::AttemptEnded {
                    request,
                    attempt,
                    end: ending,
                    elapsed,
                    request_over: over,
                    answer_report: note,
                    load_report: report,
                } => self.outcome(
                    request,
                    attempt,
                    ending,
                    elapsed,
                    over,
                    (note, report),
                    actions,
                ),
                Event::ClientGone { request } => self.left(request),
                Event::HealthChecked {
                    node,
                    answered: true,
                    load_report: report,
                } => self.learn(&node, report, false, actions),
                Event::Timer | Event::HealthChecked { .. } | Event::Peer { .. } => {} // peers are not followed
            }
        }
        self.settle(actions);
    }

    // ---- the node list

    fn list(&mut self, update: EndpointUpdate) {
        self.zoning
            .iter_mut()
            .for_each(|z| z.endpoints_changed(self.now, &update));
        let (entries, full) = match update {
            EndpointUpdate::Changes(entries) => (entries, false),
            EndpointUpdate::Full(entries) | EndpointUpdate::Restored(entries) => (entries, true),
            EndpointUpdate::Failed => {
                let wait = TRIAL.0 + self.draw() % TRIAL.0;
                return self.resubscribe = self.cfg.subscribe.then_some(self.now + wait);
            }
        };
        if full {
            let named: BTreeSet<&NodeId> = entries.iter().map(|e| &e.node).collect();
            for (_, node) in self.nodes.iter_mut().filter(|(id, _)| !named.contains(id)) {
                node.closed = node
                    .closed
                    .or((!self.cfg.dropped_stay_open).then_some(self.now));
                node.gone = true;
            }
        }
        entries.into_iter().for_each(|entry| self.listed(entry));
        self.in_service = self.nodes.values().filter(|n| n.closed.is_none()).count();
        self.prune();
    }

    /// Loses nodes that are gone, once nothing is out there. Danger: day by day new ones take their places.
    fn prune(&mut self) {
        let known: BTreeSet<_> = self
            .requests
            .values()
            .flat_map(|r| &r.attempts)
            .map(|a| &a.node)
            .collect();
        let (now, used) = (self.now, |n: &Node| {
            !n.out.is_empty() || known.contains(&n.entry.node)
        });
        self.nodes.retain(|_, n| {
            !n.gone || (n.closed.is_none() && now < n.answered + DROPPED) || used(n)
        });
        self.busy.retain(|id| self.nodes.contains_key(id));
        for group in self.groups.values_mut() {
            group.members.retain(|id| self.nodes.contains_key(id));
            group
                .primary
                .take_if(|(id, _)| !self.nodes.contains_key(id));
        }
        self.groups.retain(|_, group| !group.members.is_empty());
    }

    fn listed(&mut self, entry: Endpoint) {
        let (now, id) = (self.now, entry.node.clone());
        let closed = (entry.state == EndpointState::Removed).then_some(now); // it may have drained and been forgotten
        let new = Node {
            heard: now,
            rank: rank(&id, self.cfg.router_index),
            closed,
            ..Node::default()
        };
        let node = self.nodes.entry(id.clone()).or_insert(new);
        if node.limit == 0.0 || entry.started_at > node.entry.started_at {
            node.restart(LIMIT.0 / f64::from(self.cfg.router_count.max(1)), now);
        }
        match entry.state {
            EndpointState::Serving => node.closed = None,
            EndpointState::Removed if self.cfg.dropped_stay_open => {}
            EndpointState::Draining | EndpointState::Removed => {
                node.closed.get_or_insert(now);
            }
        }
        node.gone = entry.state == EndpointState::Removed;
        let (old, new) = (node.entry.group, entry.group);
        let denied = node.denied.is_some_and(|at| now < at + DENIED_RANKS);
        let heads = entry.listed_as_primary && entry.state == EndpointState::Serving && !denied;
        node.entry = entry;
        self.groups
            .get_mut(&old)
            .map(|group| group.members.remove(&id));
        let group = self.groups.entry(new).or_default();
        group.members.insert(id.clone());
        heads.then(|| group.primary.get_or_insert((id, 0)));
    }

    /// How many nodes are known.
    pub fn known_nodes(&self) -> usize {
        self.nodes.len()
    }

    // ---- roles and freshness

    /// What a node says of itself. A note is as new as its answer; a report may be old.
    fn learn(&mut self, id: &NodeId, said: NodeReport, is_note: bool, actions: &mut Vec<Action>) {
        let (now, asked) = (self.now, self.now.saturating_sub(said.age));
        let Some(node) = self.nodes.get_mut(id) else {
            return;
        };
        node.told = node.told.max(asked); // what another asked for is no newer than its question
        let position = said.position.filter(|p| *p <= now); // one from the future lets stale reads through
        // A position that stands still is news too: without it a stalled replica would seem to keep its lag.
        if let Some(p) = position.filter(|p| *p >= node.position) {
            (node.position, node.heard) = (p, node.heard.max(asked));
        }
        let at = if is_note { now } else { position.unwrap_or(0) };
        if let Some(held) = said.in_flight.filter(|_| asked >= node.held.1) {
            let others = (f64::from(held) - node.out.len() as f64).max(0.0);
            node.held = (others, asked);
            let (usual, heard) = &mut self.groups.entry(node.entry.group).or_default().held;
            *usual *= fade(now, *heard, HELD_FADE.1);
            (*usual, *heard) = (*usual + HELD_GAIN * (others - *usual), now);
            let busy = f64::from(said.utilization_permille.unwrap_or(0)) / 1e3;
            if (BUSY.0..BUSY.1).contains(&busy) && held > 0 {
                self.told += 1.0; // the first ones count for more: a router among hundreds hears few
                self.cores +=
                    GAIN.max(1.0 / (self.told + 1.0)) * (f64::from(held) / busy - self.cores);
            }
        }
        let Some(group) = self.groups.get_mut(&node.entry.group) else {
            return;
        };
        match said.role {
            Some(Role::Primary)
                if group
                    .primary
                    .as_ref()
                    .is_none_or(|(p, t)| at > *t || p == id) =>
            {
                let (old, since) = group.primary.take().unzip();
                if old.as_ref() != Some(id) {
                    let line = format!("group {}: primary is {id}", node.entry.group);
                    actions.push(Action::Log(LogEvent::of_node(id, "primary", line)));
                }
                node.denied = None;
                group.primary = Some((id.clone(), at.max(since.unwrap_or(0))));
            }
            Some(Role::Replica) => {
                let unseated = group
                    .primary
                    .as_ref()
                    .is_some_and(|(p, t)| p == id && (is_note || at > *t));
                node.denied = (is_note || unseated).then_some(now).or(node.denied);
                group.primary.take_if(|_| unseated);
            }
            _ => {}
        }
    }

    fn primary(&self, group: GroupId) -> Option<&NodeId> {
        self.groups.get(&group)?.primary.as_ref().map(|(id, _)| id)
    }

    /// Whether a replica's data will do for a read: proved where it must be, expected where the node checks.
    fn fresh(&self, now: Time, node: &Node, r: &Request) -> bool {
        let need = match self.cfg.classes[r.what.class].access {
            Access::Write => return false,
            Access::Any => return true,
            Access::Bounded(bound) => (now + self.cfg.tick).saturating_sub(bound), // a tick is its grain
            Access::OwnWrites | Access::Latest => r.need.unwrap_or(0),
        };
        let slack = match self.cfg.replica_check {
            ReplicaCheck::None => return node.position >= need,
            ReplicaCheck::Reject => 0,
            ReplicaCheck::Wait(most) => most / 2,
        };
        // The lag is assumed to hold still. An unheard replica may try, but a cold one has an old copy.
        let expected = node.position + now.saturating_sub(node.heard) + slack;
        if node.position == 0 {
            self.warm_share(node) >= 1.0
        } else {
            expected >= need
        }
    }

    /// Whether a send that waited for a connection may go out now: list, roles or data may have changed.
    pub fn still_fits(&self, now: Time, request: RequestId, node: &NodeId) -> bool {
        let (Some(r), Some(node)) = (self.requests.get(&request), self.nodes.get(node)) else {
            return false;
        };
        let head = self.primary(r.what.group) == Some(&node.entry.node);
        node.closed.is_none() && (self.is_write(request) || head || self.fresh(now, node, r))
    }

    // ---- placement

    /// SF: how much of the read's statement and objects the node's recent reads share.
    fn similarity(node: &Node, what: &RequestInfo) -> f64 {
        // A read without a key names no object and no identity, so it resembles nothing.
        let Some(key) = &what.session else { return 0.0 };
        let same = node
            .recent
            .iter()
            .any(|(k, class)| k == key && *class == what.class);
        let object = node.recent.iter().any(|(k, _)| k == key);
        (f64::from(u8::from(same)) + f64::from(u8::from(object))) / 2.0
    }

    fn cost(&self, node: &Node, r: &Request) -> f64 {
        // No discount for a node that swallowed an answer of this request: it would be chosen over and over.
        let retried = r.at(node).any(|a| a.fate != Fate::NotRun);
        let sf = if retried {
            0.0
        } else {
            Self::similarity(node, &r.what)
        };
        (1.0 - ALPHA * sf) * self.classes[r.what.class].latency
    }

    /// What a member of a group holds. Danger: a jam that keeps requests out also keeps its own end unheard.
    fn usual(&self, group: GroupId) -> f64 {
        self.groups
            .get(&group)
            .map_or(0.0, |g| g.held.0 * fade(self.now, g.held.1, HELD_FADE.1))
    }

    /// What other routers have out at a node, in requests: by its last report, which ages, else the mean.
    fn others(&self, node: &Node) -> f64 {
        let usual = self.usual(node.entry.group);
        let told = fade(self.now, node.held.1, HELD_FADE.0);
        if self.thin {
            usual + (node.held.0 - usual) * told
        } else {
            0.0
        }
    }

    /// W: list weight, observed relative speed and the warm share.
    fn weight(&self, node: &Node) -> f64 {
        let listed = if self.cfg.weight_meaning == WeightMeaning::None {
            1.0
        } else {
            node.entry.weight.max(0.01)
        };
        listed / node.slowness(self.now) * self.warm_share(node) * node.counts.unwrap_or(1.0)
    }

    fn warm_share(&self, node: &Node) -> f64 {
        let Some(started) = node.entry.started_at else {
            return 1.0;
        };
        let age =
            self.now.saturating_sub(started) as f64 / self.cfg.slow_start_duration.max(1) as f64;
        (self.cfg.slow_start_min_share + (1.0 - self.cfg.slow_start_min_share) * age)
            .clamp(0.01, 1.0)
    }

    /// When the present turn at a cold node began: all routers cut its time alike, from its start on.
    fn turn(&self, node: &Node) -> Time {
        let (started, span) = (
            node.entry.started_at.unwrap_or(0),
            (self.cfg.overload_duration / TURNS).max(1),
        );
        started + self.now.saturating_sub(started) / span * span
    }

    /// Whether a cold node, which falls over when pushed, may have a request: where the router's part of what
    /// it bears in a turn covers it; a part under one is one in so many turns, at a point of its own.
    /// Danger: chance bounds no burst. But hundreds find no request in their turns: they go by it.
    fn has_turn(&self, r: &Request, node: &Node, peers: f64) -> bool {
        let (turn, warm, known) = (
            self.turn(node),
            self.warm_share(node),
            &self.classes[r.what.class],
        );
        let cores = if self.told > 0.0 {
            self.cores
        } else {
            CORES / 2.0
        };
        let (all, span) = (
            f64::from(self.cfg.router_count.max(1)),
            self.cfg.overload_duration.max(1) as f64,
        );
        let part = self.cfg.overload_factor * warm * cores * span / (TURNS + 1) as f64 / all;
        let own = f64::from(self.cfg.router_index) / all
            + rank(&node.entry.node, 0) as f64 / u64::MAX as f64;
        let point = (own + turn as f64 / span * TURNS as f64 * GOLDEN).fract();
        let spent = if node.spent.0 == turn {
            node.spent.1
        } else {
            0.0
        };
        let fits =
            self.since <= Some(turn) && spent + point * known.work.unwrap_or(known.latency) <= part;
        let fits = if self.chance {
            r.luck <= warm * COLD_USE * peers
        } else {
            fits
        };
        fits || warm >= 1.0 || matches!(&self.zoning, Some(z) if z.paces_slow_start()) // zones bring allowances
    }

    /// Whether a node would answer in time, as far as hundreds of routers can tell; a cold one needs a turn.
    fn admitted(&self, r: &Request, node: &Node, peers: f64) -> bool {
        let (class, warm) = (&self.cfg.classes[r.what.class], self.warm_share(node));
        // Danger: what a full queue takes in is late, runs on all the same, and its client comes back.
        let crowd =
            (self.others(node) / (self.cores * warm)).max(1.0) * node.slowness(self.now).max(1.0);
        let guest =
            class.access != Access::Write && self.primary(r.what.group) == Some(&node.entry.node);
        let wait = FIRST_LATENCY
            * class.latency_objective as f64
            * crowd
            * WAIT
            * if guest { GUEST } else { 1.0 };
        // What is over its tenant's quota leaves room to what is within: where none is left it is refused.
        let (room, late) = if r.worth < 1.0 && self.may_refuse(r) {
            OVER_QUOTA
        } else {
            (1.0, 1.0)
        };
        let in_time = self.now as f64 + wait / late <= self.aim_end(r).min(r.due as f64);
        let open = if self.thin {
            in_time
        } else {
            room == 1.0 || self.has_room(node, room)
        };
        // Danger: a cold node's refusals were sent to it over and over, which counts towards pushing it over.
        open && (warm >= 1.0 || (r.at(node).next().is_none() && self.has_turn(r, node, peers)))
    }

    /// Whether a node may get an attempt now, whatever its data.
    fn usable(&self, node: &Node) -> bool {
        node.closed.is_none()
            && !node.suspect
            && self.now >= node.full_until
            && self.has_room(node, 1.0)
    }

    fn has_room(&self, node: &Node, share: f64) -> bool {
        (node.live(self.now).count() as f64) < (node.limit * share).max(1.0)
    }

    /// One trial at a time for a suspect node.
    fn on_trial(&self, node: &Node) -> bool {
        let idle = node.live(self.now).next().is_none();
        node.closed.is_none() && node.suspect && idle && self.now >= node.trial_at
    }

    /// Where a request goes now, if anywhere. What chance kept out of nodes it wanted is marked as barred.
    fn choose(&mut self, id: RequestId, actions: &mut Vec<Action>) -> Option<NodeId> {
        let shut = self.consult(id);
        let (node, kept, ask) = self.search(id);
        let r = &self.requests[&id];
        // Where nothing else proves a replica fresh, or none near, it waits for the report it asked for.
        let counts = |n: &NodeId| self.nodes.get(n).and_then(|n| n.counts).unwrap_or(1.0);
        let head = self.primary(r.what.group);
        let worse = |than: &NodeId| {
            node.as_ref()
                .is_none_or(|n| counts(n) < counts(than) || Some(n) == head)
        };
        let pending = r.asked.as_ref().is_some_and(|(asked, at)| {
            let unheard = self.nodes.get(asked).is_some_and(|n| n.told < *at);
            unheard && self.now < at + PROBE_HOLD && worse(asked)
        });
        let proof = self.cfg.replica_check == ReplicaCheck::None && !self.is_write(id);
        let hold = proof && (pending || (r.asked.is_none() && ask.as_ref().is_some_and(worse)));
        let r = self.requests.get_mut(&id).expect("placed requests exist");
        // Danger: reads that wait for the word of a warm replica were refused for a cold one beside it.
        r.barred = !hold && ask.is_none() && (kept || (shut && node.is_none()));
        if let Some(asked) = ask {
            r.asked.get_or_insert((asked.clone(), self.now));
            self.nodes.get_mut(&asked).expect("listed").probed = self.now;
            actions.push(Action::HealthCheck(asked));
        }
        node.filter(|_| !hold)
    }

    /// Asks how much each member counts for a request; true where all are shut to it and no room can come up.
    fn consult(&mut self, id: RequestId) -> bool {
        let (r, Some(zoning)) = (&self.requests[&id], &mut self.zoning) else {
            return false;
        };
        let (ask, mut shut) = (ask(&self.cfg, r), true);
        for member in self
            .groups
            .get(&r.what.group)
            .iter()
            .flat_map(|g| &g.members)
        {
            let node = self.nodes.get_mut(member).expect("listed");
            node.counts = zoning.weight_share(self.now, &ask, member);
            shut &= node.counts.is_none() || node.closed.is_some();
        }
        shut
    }

    /// Where a request may go, whether nodes that it wants are shut to it, and whom to ask for a position.
    fn search(&self, id: RequestId) -> (Option<NodeId>, bool, Option<NodeId>) {
        let r = &self.requests[&id];
        let Some(group) = self.groups.get(&r.what.group) else {
            return Default::default();
        };
        let primary = group.primary.as_ref().map(|(id, _)| id);
        let access = self.cfg.classes[r.what.class].access;
        let may = |n: &&Node| (self.zoning.is_none() || n.counts.is_some()) && self.may_send(r, n);
        let members = group
            .members
            .iter()
            .filter_map(|m| self.nodes.get(m))
            .filter(may);
        let able = |n: &&Node| n.closed.is_none() && !n.suspect && self.fresh(self.now, n, r);
        let able = members.clone().filter(able).count().max(1) as f64;
        let peers = if access == Access::Write {
            COLD_WRITES
        } else {
            able
        };
        let (all, kept): (Vec<&Node>, Vec<&Node>) =
            members.partition(|n| self.admitted(r, n, peers));
        let wanted = |n: &&Node| (Some(&n.entry.node) == primary) == (access == Access::Write);
        // Nobody but a cold primary takes writes, so they wait for their turn at it.
        let waits =
            |n: &Node| access == Access::Write && !self.chance && !self.has_turn(r, n, peers);
        let kept = kept.iter().any(|n| wanted(n) && !waits(n));
        let head = all
            .iter()
            .copied()
            .find(|n| Some(&n.entry.node) == primary && self.usable(n));
        let (node, ask) = match access {
            Access::Write if primary.is_some() => (head, None),
            Access::Write => self.scout(r, &all),
            Access::Latest => (head.or_else(|| self.most_advanced(r, &all)), None),
            _ => {
                let other =
                    |n: &&Node| Some(&n.entry.node) != primary && !r.at(n).any(|a| a.missed);
                let replicas: Vec<&Node> = all.iter().copied().filter(other).collect();
                self.read(r, &replicas, head)
            }
        };
        // Danger: a dead primary refuses at once: all attempts are used up long before there is a new one.
        let pause = if r.attempts.len() < 2 {
            0
        } else {
            ANEW << r.attempts.len().min(6)
        };
        let rested = r.attempts.last().is_none_or(|a| self.now >= a.sent + pause);
        let unasked = |n: &&Node| primary.is_some() && r.at(n).next().is_none();
        let node = node.filter(|n| access != Access::Write || rested || unasked(n));
        (
            node.map(|n| n.entry.node.clone()),
            kept,
            ask.map(|n| n.entry.node.clone()),
        )
    }

    /// The ordinary path: least E / W among the replicas fresh enough; and whom to ask for its position.
    fn read<'a>(
        &self,
        r: &Request,
        replicas: &[&'a Node],
        head: Option<&'a Node>,
    ) -> (Option<&'a Node>, Option<&'a Node>) {
        let on_trial =
            |n: &&&Node| self.on_trial(n) && r.attempts.is_empty() && self.fresh(self.now, n, r);
        if let Some(trial) = replicas.iter().find(on_trial) {
            return (Some(trial), None);
        }
        let rests = |n: &Node| self.thin && self.now < n.full_until;
        let serving = replicas
            .iter()
            .filter(|n| n.closed.is_none() && !n.suspect && !rests(n));
        let (fresh, behind): (Vec<&Node>, Vec<&Node>) =
            serving.partition(|n| self.fresh(self.now, n, r));
        // Hundreds of routers pay for each other's probes, so there one is asked only when the answer may win
        // a read its first replica. A few ask whenever one falls out: else all crowd on the one last asked.
        let far = |n: &&Node| n.counts.is_some_and(|counts| counts < 1.0);
        let most = CROWDED * (self.usual(r.what.group) + 1.0);
        let good = |n: &&Node| {
            !far(n) && self.usable(n) && (self.others(n) + 1.0) / self.weight(n) <= most
        };
        let needed =
            !self.thin || self.cfg.replica_check != ReplicaCheck::None || !fresh.iter().any(good);
        let ask = behind
            .into_iter()
            .filter(|n| needed && self.worth_asking(n));
        // Danger: those never asked tie, and in one common order all routers would crowd on the same node.
        let ask = ask.min_by_key(|n| (far(n), n.probed, n.rank));
        // Danger: spread over all replicas, long reads keep the log from being applied anywhere.
        let loose = self.cfg.classes[r.what.class].access == Access::Any;
        let old = |n: &Node| self.now.saturating_sub(n.position) > self.old;
        let mut order: Vec<&Node> = if loose { fresh.clone() } else { Vec::new() };
        order.sort_by_key(|n| n.position);
        let least = self
            .classes
            .iter()
            .map(|c| c.latency)
            .fold(f64::INFINITY, f64::min);
        let long = self.classes[r.what.class].latency >= least * LONG;
        let dearer = |n: &Node| match order.iter().position(|o| o.entry.node == n.entry.node) {
            Some(place) if long => 1.0 + place as f64, // so a few take them all
            Some(_) if !old(n) => KEEP_FRESH,
            _ => 1.0,
        };
        let score = |n: &'a Node| {
            let load: f64 = n.live(self.now).map(|o| o.1).sum();
            let trip = if n.entry.zone == self.cfg.zone {
                0.0
            } else {
                CROSSING
            };
            let fresh_link = if self.thin && !n.linked { CONNECT } else { 0.0 };
            let cost = self.cost(n, r) + (trip + fresh_link) * self.classes[r.what.class].latency;
            let load = load + self.others(n) * self.classes[r.what.class].latency;
            ((load + cost) * dearer(n) / self.weight(n), n)
        };
        let scored: Vec<(f64, &Node)> = fresh
            .iter()
            .copied()
            .filter(|n| self.usable(n))
            .map(score)
            .collect();
        let least = scored.iter().map(|s| s.0).fold(f64::INFINITY, f64::min);
        let tied: Vec<&Node> = scored
            .into_iter()
            .filter(|s| s.0 <= least * NEAR_TIE)
            .map(|s| s.1)
            .collect();
        let node = match tied.len() {
            // Where fresh replicas exist but are full, the primary keeps room for its writes.
            0 if !fresh.is_empty() => head.filter(|n| self.has_room(n, SPILL)),
            0 => head.or_else(|| self.most_advanced(r, replicas)),
            all => Some(tied[((self.turn + 1) % all as u64) as usize]),
        };
        (node, ask)
    }

    /// The last resort where nodes check reads; not one whose last word proves it too far behind to serve.
    fn most_advanced<'a>(&self, r: &Request, nodes: &[&'a Node]) -> Option<&'a Node> {
        let able = |n: &&&Node| {
            self.usable(n) && !r.at(n).any(|a| a.missed) && self.now > n.heard + UNSURE
        };
        let checked = self.cfg.replica_check != ReplicaCheck::None;
        nodes
            .iter()
            .filter(|_| checked)
            .filter(able)
            .max_by_key(|n| n.position)
            .copied()
    }

    /// A probe pays when the node may have moved on since its last word: a lag takes as long to make good.
    fn worth_asking(&self, node: &Node) -> bool {
        let lag = if node.position == 0 {
            0
        } else {
            node.heard.saturating_sub(node.position)
        };
        self.cfg.health_checks_allowed
            && self.cfg.reports != ReportSource::None
            && self.now >= node.probed + PROBE_GAP
            && (node.position == 0 || self.now >= node.heard + lag.max(PROBE_GAP))
    }

    /// With no primary known one write at a time asks the members, most advanced first; a miss never ran, and
    /// costs nothing. Danger: hundreds of routers that probed for it besides made a fifth of all probes.
    fn scout<'a>(&self, r: &Request, all: &[&'a Node]) -> (Option<&'a Node>, Option<&'a Node>) {
        let lost = all
            .iter()
            .filter(|n| n.closed.is_none() && !n.suspect && self.worth_asking(n));
        let ask = lost
            .filter(|_| !self.thin)
            .min_by_key(|n| (n.probed, n.rank))
            .copied();
        let scouting = |n: &&Node| n.out.keys().any(|(q, _)| self.is_write(*q));
        if all.iter().any(scouting) && r.attempts.iter().all(|a| a.fate != Fate::Out) {
            return (None, ask);
        }
        let asked = |n: &&&Node| n.denied.is_some_and(|at| self.now < at + DENIED_PAUSE);
        let able = all
            .iter()
            .filter(|n| (self.usable(n) || self.on_trial(n)) && !asked(n));
        (able.max_by_key(|n| n.position).copied(), ask)
    }

    fn is_write(&self, id: RequestId) -> bool {
        self.requests
            .get(&id)
            .is_some_and(|r| self.cfg.classes[r.what.class].access == Access::Write)
    }

    /// Whether the rules allow this request another attempt, at this node. Guards against double effects.
    fn may_send(&self, r: &Request, node: &Node) -> bool {
        let class = &self.cfg.classes[r.what.class];
        let single = self.cfg.hedging_allowed || r.attempts.iter().all(|a| a.fate != Fate::Out);
        if !r.open || r.streaming || !single || r.attempts.len() as u32 >= self.cfg.max_attempts {
            return false;
        }
        let mut risky = r
            .attempts
            .iter()
            .filter(|a| a.fate != Fate::NotRun)
            .peekable();
        let Some(first) = risky.peek() else {
            return true;
        };
        // Two ticks are kept so that the window can't close between the decision and the send.
        let within = self.now + 2 * self.cfg.tick < first.sent + class.dedup_window;
        let mut near = risky.map(|a| self.nodes[&a.node].entry.zone == node.entry.zone);
        let apart =
            class.idempotency == Idempotency::Deduplicated && class.dedup_scope == DedupScope::Zone;
        class.idempotency == Idempotency::Idempotent
            || (class.idempotency == Idempotency::Deduplicated
                && within
                && (!apart || near.all(|same| same)))
    }

    /// Whether a refusal, which promises that a repeat is harmless, is still true.
    fn may_refuse(&self, r: &Request) -> bool {
        let class = &self.cfg.classes[r.what.class];
        r.attempts.iter().all(|a| a.fate == Fate::NotRun)
            || class.idempotency == Idempotency::Idempotent
            || (class.idempotency == Idempotency::Deduplicated
                && class.dedup_scope == DedupScope::All)
    }

    fn arrive(&mut self, what: RequestInfo) {
        let (class, id) = (&self.cfg.classes[what.class], what.id);
        let due = self.now + what.time_left.saturating_sub(MARGIN_TICKS * self.cfg.tick);
        let carried = what
            .last_write_age
            .map(|age| self.now.saturating_sub(age) + TOKEN_SLACK);
        let need = match class.access {
            Access::Latest => Some(self.now),
            Access::OwnWrites if self.cfg.clients_carry_tokens => carried,
            Access::OwnWrites => what
                .session
                .as_ref()
                .and_then(|s| self.written.get(s).copied()),
            _ => None,
        };
        // The aim counts from the client's first try. A marked repeat is known by what less it has left.
        let longest = &mut self.classes[what.class].longest_left;
        *longest = what.time_left.max(*longest);
        let known = what.is_retry && what.time_left < *longest;
        let born = self.now.saturating_sub(if known {
            class.deadline.saturating_sub(what.time_left)
        } else {
            0
        });
        let luck = (self.draw() >> 11) as f64 / (1u64 << 53) as f64;
        let (came, worth) = (self.now, self.quota_worth(what.tenant, luck));
        let r = Request {
            what,
            luck,
            worth,
            came,
            born,
            due,
            need,
            open: true,
            ..Request::default()
        };
        self.requests.insert(id, r);
        self.due.insert((due, id));
        self.waiting.insert(id);
    }

    /// The part of its worth that a request earns: as many of a tenant's are over its quota as exceed it.
    /// Routers see uneven parts of the traffic, so a quota's part of all use here counts where that is more.
    fn quota_worth(&mut self, tenant: Option<usize>, luck: f64) -> f64 {
        let (cfg, (used, at)) = (&self.cfg, &mut self.used);
        let Some(tenant) = tenant.filter(|t| *t < used.len()) else {
            return 1.0;
        };
        let left = fade(self.now, std::mem::replace(at, self.now), USED_FADE);
        used.iter_mut().for_each(|u| *u *= left);
        used[tenant] += 1.0;
        let (quota, all) = (
            cfg.tenants[tenant].quota_per_s,
            cfg.tenants.iter().map(|t| t.quota_per_s),
        );
        let part = quota * USED_FADE / 1e6 / f64::from(cfg.router_count.max(1));
        let part = part.max(quota / all.sum::<f64>() * used.iter().sum::<f64>());
        // What chance may bring is no flood, least of all where a router has seen little.
        let flood = used[tenant] > part + 2.0 * part.sqrt() + 2.0;
        if flood && luck > part / used[tenant] {
            cfg.over_quota_weight
        } else {
            1.0
        }
    }

    fn place(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let (now, left) = (self.now, self.requests[&id].due.saturating_sub(self.now));
        let Some(node_id) = self.choose(id, actions).filter(|_| left >= self.cfg.tick) else {
            return;
        };
        let (r, node, write) = (
            &self.requests[&id],
            &self.nodes[&node_id],
            self.is_write(id),
        );
        let (known, slowness, turn) = (
            &self.classes[r.what.class],
            node.slowness(now),
            self.turn(node),
        );
        let patience = ((known.latency * PATIENCE.0 * slowness.min(2.0)) as Micros).max(PATIENCE.1);
        let timeout = if write { left } else { patience.min(left) };
        let (cost, work) = (self.cost(node, r), known.work.unwrap_or(known.latency));
        let node = self.nodes.get_mut(&node_id).expect("chosen from the map");
        node.spent = (
            turn,
            work + if node.spent.0 == turn {
                node.spent.1
            } else {
                0.0
            },
        );
        let r = self.requests.get_mut(&id).expect("placed requests exist");
        self.busy.insert(node_id.clone());
        self.waiting.remove(&id);
        node.out.insert(
            (id, r.attempts.len() as u32),
            (now, cost, known.latency * slowness),
        );
        if let Some(key) = r.what.session.as_ref().filter(|_| !write) {
            node.recent.push_back((key.clone(), r.what.class));
            node.recent
                .drain(..node.recent.len().saturating_sub(HISTORY));
        }
        self.turn += u64::from(!write);
        r.attempts.push(Attempt {
            node: node_id.clone(),
            sent: now,
            ..Attempt::default()
        });
        self.zoning
            .iter_mut()
            .for_each(|z| z.attempt_sent(now, &ask(&self.cfg, r), &node_id));
        actions.push(Action::Send {
            request: id,
            node: node_id,
            timeout,
        });
    }

    #[allow(clippy::too_many_arguments)]
    fn outcome(
        &mut self,
        id: RequestId,
        attempt: u32,
        ending: AttemptEnd,
        elapsed: Micros,
        over: bool,
        (note, report): (NodeReport, NodeReport),
        actions: &mut Vec<Action>,
    ) {
        let Some(r) = self.requests.get_mut(&id) else {
            return;
        };
        let Some(a) = r.attempts.get_mut(attempt as usize) else {
            return;
        };
        let (node_id, class) = (a.node.clone(), r.what.class);
        a.missed = ending == AttemptEnd::Misdirected;
        let harmless = a.missed
            || matches!(
                ending,
                AttemptEnd::Overloaded | AttemptEnd::Unreachable | AttemptEnd::NeverSent
            );
        a.fate = if harmless {
            Fate::NotRun
        } else {
            Fate::MayHaveRun
        };
        let (group, session, ask) = (r.what.group, r.what.session.clone(), ask(&self.cfg, r));
        self.zoning
            .iter_mut()
            .for_each(|z| z.attempt_ended(self.now, &ask, &node_id, ending, elapsed));
        if matches!(
            ending,
            AttemptEnd::Success
                | AttemptEnd::Failure
                | AttemptEnd::Misdirected
                | AttemptEnd::Overloaded
        ) {
            self.learn(&node_id, report, false, actions);
            self.learn(&node_id, note, true, actions);
        }
        let write = self.is_write(id);
        (write && ending == AttemptEnd::Misdirected).then(|| self.unseat(group, &node_id));
        self.busy.insert(node_id.clone());
        self.attempt_ended(
            &node_id,
            (id, attempt),
            class,
            write,
            (ending, elapsed),
            actions,
        );
        let remembered = write && ending == AttemptEnd::Success && !self.cfg.clients_carry_tokens;
        if let Some(key) = session.filter(|_| remembered) {
            let seen = self.written.entry(key).or_default();
            *seen = note.position.unwrap_or(self.now).max(*seen);
            // What every node in service has applied needs no token any more.
            if self.written.len().is_multiple_of(1024) {
                let all_have = self
                    .nodes
                    .values()
                    .filter(|n| n.closed.is_none())
                    .map(|n| n.position)
                    .min();
                self.written.retain(|_, at| Some(*at) > all_have);
            }
        }
        let r = self.requests.get_mut(&id).expect("looked up above");
        let known = &mut self.classes[class];
        if r.open && ending == AttemptEnd::Success && (self.now - r.came) as f64 > known.leave {
            known.leaving -= GAIN / 2.0 * known.leaving;
        }
        let idle = r.open && !r.attempts.iter().any(|a| a.fate == Fate::Out);
        match over || ending == AttemptEnd::Success {
            true => self.close(id),
            false if idle => drop(self.waiting.insert(id)), // decided later: the client may leave
            false => self.forget(id),
        }
    }

    /// What an attempt's end says of its node and its class.
    fn attempt_ended(
        &mut self,
        id: &NodeId,
        attempt: (RequestId, u32),
        class: usize,
        write: bool,
        (ending, elapsed): (AttemptEnd, Micros),
        actions: &mut Vec<Action>,
    ) {
        let now = self.now;
        let Some(node) = self.nodes.get_mut(id) else {
            return;
        };
        let charged = node
            .out
            .remove(&attempt)
            .map_or(1.0, |(_, _, mean)| mean.max(1.0));
        let (
            waited,
            ClassState {
                latency: mean,
                work,
                ..
            },
        ) = (elapsed as f64, &mut self.classes[class]);
        if matches!(
            ending,
            AttemptEnd::Success
                | AttemptEnd::Failure
                | AttemptEnd::Misdirected
                | AttemptEnd::Overloaded
        ) {
            node.heal(now, actions);
        }
        match ending {
            AttemptEnd::Misdirected if write => node.denied = Some(now),
            AttemptEnd::Overloaded => node.full_until = now + FULL_PAUSE,
            AttemptEnd::TimedOut | AttemptEnd::Reset | AttemptEnd::Unreachable if node.suspect => {
                node.wait_on(now)
            }
            AttemptEnd::TimedOut => node.silence += (waited / charged).min(SILENCE.1),
            AttemptEnd::Reset | AttemptEnd::Unreachable => {
                (node.full_until, node.silence) = (now + FULL_PAUSE, node.silence + SILENCE.1);
            }
            _ => {}
        }
        let lost = matches!(ending, AttemptEnd::TimedOut | AttemptEnd::Overloaded);
        // Danger: a jam that shows in time-outs alone is not seen by routers that have few answers each.
        if ending == AttemptEnd::Success || (self.thin && lost) {
            let ratio = if ending == AttemptEnd::Overloaded {
                FULL_SLOW
            } else {
                waited / mean.max(1.0)
            };
            node.slow_sample(now, ratio, if self.thin { SLOW_GAIN } else { GAIN });
        }
        if ending == AttemptEnd::Success || lost {
            let late =
                lost || waited > LIMIT_AIM * self.cfg.classes[class].latency_objective as f64;
            node.adapt(
                now,
                late.then_some(if lost { LIMIT_CUT.1 } else { LIMIT_CUT.0 }),
            );
        }
        let warm = node
            .entry
            .started_at
            .is_none_or(|at| now >= at + self.cfg.slow_start_duration);
        if ending == AttemptEnd::Success && warm && node.out.len() as f64 + node.held.0 < self.cores
        {
            let work = work.get_or_insert(*mean);
            *work += GAIN / 2.0 * (waited - *work);
        }
        // Waits in vain count as well, or the mean would know only the quick answers of a jam.
        let vain = matches!(ending, AttemptEnd::TimedOut | AttemptEnd::Cancelled)
            && waited > *mean
            && !node.suspect;
        *mean += if ending == AttemptEnd::Success || vain {
            GAIN * (waited - *mean) / 2.0
        } else {
            0.0
        };
        // Danger: hundreds of routers fill a node's table; it refuses one at once. Idle connections must go,
        // and only to it: a dead node refuses at once, too. A slow handshake asks for the opposite.
        if ending == AttemptEnd::Unreachable {
            node.crowded_until = if elapsed < FULL_PAUSE {
                now + self.cfg.connection_idle
            } else {
                now
            };
        }
        node.linked = !matches!(
            ending,
            AttemptEnd::Unreachable | AttemptEnd::Reset | AttemptEnd::NeverSent
        );
        if self.thin && node.linked && node.out.is_empty() && now < node.crowded_until {
            node.linked = false;
            actions.push(Action::CloseIdle(id.clone()));
        }
    }

    fn unseat(&mut self, group: GroupId, node: &NodeId) {
        self.groups
            .get_mut(&group)
            .and_then(|g| g.primary.take_if(|(p, _)| p == node));
    }

    /// The client has gone. Danger: where clients leave long before the time that they name, work for them is
    /// lost, and they come back for more; so it is learned when they do.
    fn left(&mut self, id: RequestId) {
        if let Some(r) = self.requests.get(&id).filter(|r| r.open) {
            let (age, known) = (
                self.now.saturating_sub(r.came),
                &mut self.classes[r.what.class],
            );
            if age < r.what.time_left / 10 * 9 {
                let first = self.now > known.left_at + LEAVING.1;
                known.leave += if first { 1.0 } else { GAIN } * (age as f64 - known.leave);
                (known.leaving, known.left_at) =
                    (known.leaving + GAIN / 2.0 * (1.0 - known.leaving), self.now);
            }
        }
        self.close(id);
    }

    /// The request is over; it is forgotten once its last attempt has ended.
    fn close(&mut self, id: RequestId) {
        self.waiting.remove(&id);
        if let Some(r) = self.requests.get_mut(&id) {
            r.open = false;
            self.due.remove(&(r.due, id));
        }
        self.forget(id);
    }

    fn forget(&mut self, id: RequestId) {
        let done = |r: &Request| !r.open && r.attempts.iter().all(|a| a.fate != Fate::Out);
        self.requests
            .get(&id)
            .is_some_and(done)
            .then(|| self.requests.remove(&id));
    }

    /// The final answer, at once: refused where that is true, failed otherwise.
    fn give_up(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(r) = self.requests.get(&id).filter(|r| r.open && !r.streaming) else {
            return;
        };
        let (most, ask) = (self.cfg.max_retry_after, ask(&self.cfg, r));
        let wait = || {
            self.zoning
                .as_ref()
                .map_or(most / 2, |z| z.retry_after(&ask, most))
        };
        let refusal = || Action::Reject {
            request: id,
            retry_after: self.cfg.retry_after_allowed.then(wait),
        };
        actions.push(if self.may_refuse(r) {
            refusal()
        } else {
            Action::Fail { request: id }
        });
        let out = |(_, a): &(usize, &Attempt)| self.cfg.cancel_allowed && a.fate == Fate::Out;
        let cancel = |(place, _)| Action::Cancel {
            request: id,
            attempt: place as u32,
        };
        actions.extend(r.attempts.iter().enumerate().filter(out).map(cancel));
        self.close(id);
    }

    /// Until when an answer earns the full worth.
    fn aim_end(&self, r: &Request) -> f64 {
        let class = &self.cfg.classes[r.what.class];
        (r.born + class.latency_objective) as f64
            + class.objective_per_cost * r.what.cost_hint.unwrap_or(0) as f64
    }

    /// A waiting request that no node may get any more: kept back it would only hold up its client.
    fn spent(&self, r: &Request) -> bool {
        let effect = self.cfg.classes[r.what.class].idempotency;
        let may_have_run = r.attempts.iter().any(|a| a.fate != Fate::NotRun);
        r.attempts.len() as u32 >= self.cfg.max_attempts
            || (effect == Idempotency::AtMostOnce && may_have_run)
    }

    /// A waiting request that can't make its aim any more, and would earn nothing late.
    fn hopeless(&self, r: &Request) -> bool {
        let late = self.cfg.classes[r.what.class].late_weight_share;
        let end = if late > 0.0 {
            r.due as f64
        } else {
            self.aim_end(r).min(r.due as f64)
        };
        let known = &self.classes[r.what.class];
        let leaves = known.leaving > LEAVING.0 && self.now < known.left_at + LEAVING.1;
        let end = if leaves {
            end.min(r.came as f64 + known.leave)
        } else {
            end
        };
        self.now as f64 + known.latency > end
    }

    /// What a waiting request may still earn per unit of its cost.
    fn value(&self, r: &Request) -> f64 {
        let (class, latency) = (
            &self.cfg.classes[r.what.class],
            self.classes[r.what.class].latency,
        );
        let on_time = self.now as f64 + latency <= self.aim_end(r);
        class.priority_weight
            * r.worth
            * if on_time {
                1.0
            } else {
                class.late_weight_share
            }
            / latency
    }

    fn settle(&mut self, actions: &mut Vec<Action>) {
        actions.extend(
            self.resubscribe
                .take_if(|at| *at <= self.now)
                .map(|_| Action::Subscribe),
        );
        self.watch(actions);
        while let Some((_, id)) = self.due.first().copied().filter(|(at, _)| *at <= self.now) {
            self.due.pop_first();
            self.give_up(id, actions);
        }
        let mut queue: Vec<RequestId> = self.waiting.iter().copied().collect();
        let rank = |r: &Request| (std::cmp::Reverse(self.value(r).to_bits()), r.born); // then the oldest
        queue.sort_by_cached_key(|id| (rank(&self.requests[id]), *id));
        for id in queue {
            self.place(id, actions);
            let r = &self.requests[&id];
            if self.waiting.contains(&id) && (r.barred || self.hopeless(r) || self.spent(r)) {
                self.give_up(id, actions);
            }
        }
        actions
            .extend(std::iter::from_fn(|| self.zoning.as_mut()?.next_log_event()).map(Action::Log));
        self.arm(actions);
    }

    fn arm(&mut self, actions: &mut Vec<Action>) {
        let busy = (!self.requests.is_empty()).then_some(self.now + LOOK_OVER);
        let next = self.due.first().map(|d| d.0).into_iter().chain(busy);
        let Some(at) = next.chain(self.resubscribe).min() else {
            return;
        };
        if self.wake.is_none_or(|w| w <= self.now || at < w) {
            self.wake = Some(at.max(self.now + 1));
            actions.push(Action::Wake(at.saturating_sub(self.now).max(1)));
        }
    }

    /// Finds nodes that take work and answer nothing, whatever the cause, and takes work back from them.
    fn watch(&mut self, actions: &mut Vec<Action>) {
        let now = self.now;
        // All in service are the measure. If most look bad the cause is common (a jam, this router's link).
        let most = (self.in_service as f64 * COMMON_CAUSE).max(1.0);
        let aside = |id: &&NodeId| self.nodes[*id].suspect && self.nodes[*id].closed.is_none();
        let mut bad = self.busy.iter().filter(aside).count() as f64;
        let mut silent = Vec::new();
        for id in &self.busy {
            let node = self.nodes.get_mut(id).expect("sent to");
            let sum: f64 = node.out.values().map(|o| node.waited_in_vain(o, now)).sum();
            if !node.suspect && sum + node.silence >= SILENCE.0 && bad + 1.0 <= most {
                // Danger: requests in one queue are late together: a busy node looks silent, and runs on.
                if self.cfg.health_checks_allowed && now < node.answered + DOUBT.1 {
                    let vouched = node.told >= node.probed;
                    if vouched && now >= node.told + PROBE_GAP {
                        node.probed = now;
                        actions.push(Action::HealthCheck(id.clone()));
                    }
                    if vouched || now < node.probed + DOUBT.0 {
                        continue;
                    }
                }
                (bad, node.suspect) = (bad + 1.0, true);
                node.wait_on(now);
                let (out, idle) = (node.out.len(), now.saturating_sub(node.answered) / 1_000);
                let line =
                    format!("node {id}: silent, set aside; {out} out, no answer for {idle} ms");
                actions.push(Action::Log(LogEvent::of_node(id, "silent", line)));
                silent.push(id.clone());
            }
        }
        self.busy
            .retain(|id| self.nodes[id].suspect || !self.nodes[id].out.is_empty());
        for id in silent {
            self.unseat(self.nodes[&id].entry.group, &id);
            for &(request, attempt) in self.nodes[&id]
                .out
                .keys()
                .filter(|_| self.cfg.cancel_allowed)
            {
                // An unsafe request can't be sent again after a cancel, so it stays where it is.
                let again = |r: &Request| {
                    self.cfg.classes[r.what.class].idempotency != Idempotency::AtMostOnce
                };
                if self
                    .requests
                    .get(&request)
                    .is_some_and(|r| r.open && !r.streaming && again(r))
                {
                    actions.push(Action::Cancel { request, attempt });
                }
            }
        }
    }

    /// The next random number (xorshift*), from the seed alone.
    fn draw(&mut self) -> u64 {
        self.random ^= self.random << 13;
        self.random ^= self.random >> 7;
        self.random ^= self.random << 17;
        self.random.wrapping_mul(0x2545_f491_4f6c_dd1d)
    }
}

/// A node's place in the order of the router with this number (FNV-1a, then mixed).
fn rank(id: &str, router: u32) -> u64 {
    let step = |h: u64, b: u8| (h ^ u64::from(b)).wrapping_mul(0x0100_0000_01b3);
    let hash = router
        .to_le_bytes()
        .into_iter()
        .chain(id.bytes())
        .fold(0xcbf2_9ce4_8422_2325, step);
    (hash ^ (hash >> 32)).wrapping_mul(0x9e37_79b9_7f4a_7c15)
}

/// What is left by now of what was learned then, with this time constant.
fn fade(now: Time, then: Time, constant: f64) -> f64 {
    (-(now.saturating_sub(then) as f64) / constant).exp()
}

fn ask(cfg: &Settings, r: &Request) -> RoutingQuery {
    let (request, class) = (r.what.id, r.what.class);
    RoutingQuery {
        request,
        class,
        is_write: cfg.classes[class].access == Access::Write,
    }
}

impl Node {
    /// A new process: what it had cached, and what was held against the old one, is gone.
    fn restart(&mut self, limit: f64, now: Time) {
        self.recent.clear();
        (
            self.suspect,
            self.silence,
            self.answered,
            self.crowded_until,
        ) = (false, 0.0, now, now);
        (self.slow, self.slow_at, self.trial_wait, self.limit) = (1.0, now, TRIAL.0, limit);
    }

    /// It answered, so it is alive.
    fn heal(&mut self, now: Time, actions: &mut Vec<Action>) {
        (self.silence, self.answered, self.trial_wait) = (0.0, now, TRIAL.0);
        if std::mem::take(&mut self.suspect) {
            let line = format!("node {}: answers again", self.entry.node);
            actions.push(Action::Log(LogEvent::of_node(
                &self.entry.node,
                "answers again",
                line,
            )));
        }
    }

    /// The limit on what is out grows while answers come in time and shrinks when they don't.
    fn adapt(&mut self, now: Time, factor: Option<f64>) {
        match factor {
            None if self.out.len() as f64 + 1.0 >= self.limit / 2.0 => {
                self.limit += 1.0 / self.limit
            }
            Some(cut) if now >= self.cut_at + CUT_GAP => {
                (self.limit, self.cut_at) =
                    (self.limit.min(self.out.len() as f64 + 1.0) * cut, now);
            }
            _ => {}
        }
        self.limit = self.limit.clamp(LIMIT.1, LIMIT.2);
    }

    /// Attempts that may still be answered. One out for very long holds no place: its answer may be lost.
    fn live(&self, now: Time) -> impl Iterator<Item = &(Time, f64, f64)> {
        self.out
            .values()
            .filter(move |o| (now.saturating_sub(o.0) as f64) < PATIENCE.0 * o.2)
    }

    /// Each wait counts once, up to a bound: else a few lost answers condemn a node that answers.
    fn waited_in_vain(&self, &(sent, _, mean): &(Time, f64, f64), now: Time) -> f64 {
        let part = |until: Time| (until.saturating_sub(sent) as f64 / mean.max(1.0)).min(SILENCE.1);
        part(now) - part(self.answered)
    }

    /// The next trial is due later than the one before.
    fn wait_on(&mut self, now: Time) {
        (self.trial_at, self.trial_wait) =
            (now + self.trial_wait, (self.trial_wait * 2).min(TRIAL.1));
    }

    fn slowness(&self, now: Time) -> f64 {
        1.0 + (self.slow - 1.0) * fade(now, self.slow_at, SLOW_FADE)
    }

    fn slow_sample(&mut self, now: Time, ratio: f64, gain: f64) {
        let old = self.slowness(now);
        (self.slow, self.slow_at) = (
            (old + gain * (ratio - old)).clamp(SLOW_RANGE.0, SLOW_RANGE.1),
            now,
        );
    }
}
