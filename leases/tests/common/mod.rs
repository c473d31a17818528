//! Routers with duties in virtual time: each with its own clock and disk, and whatever weather a test makes between them.
#![allow(dead_code, missing_docs, reason = "each test uses a part of it")]

use plovercove::{Micros, Time};
use plovercove_fencing::{LeaseName, Token};
use plovercove_leases::{
    Guard, LeaseEvent, LeaseManager, Member, PersistedState, Rules, VoterConfig, VoterSet,
    WantedLease,
};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::net::SocketAddr;

pub const S: Micros = 1_000_000;
pub const MS: Micros = 1_000;
/// Who was not heard for so long is not seen by others.
const UNSEEN: Micros = 4 * S;

#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Sample,
    See,
    Turn(usize, u64),
    Came {
        to: usize,
        incarnation: u64,
        from: usize,
        from_incarnation: u64,
        body: Vec<u8>,
        late: Micros,
    },
    Disk(usize, u64, Vec<u8>),
}

pub struct Node {
    pub manager: Option<LeaseManager>,
    pub incarnation: u64,
    pub frozen: bool,
    /// Its clock: true time times the rate, and so much more.
    pub rate: f64,
    pub offset: i64,
    pub disk: Option<Vec<u8>>,
    pub rules: Rules,
    held: Vec<(usize, u64, Vec<u8>, Micros)>,
    pub news: Vec<(Time, LeaseEvent)>,
}

/// What the network does to a body: none where it is lost, else after how long it comes, each time.
pub type Weather = Box<dyn FnMut(Time, usize, usize, &mut Pcg64Mcg) -> Vec<Micros>>;

pub struct Net {
    pub now: Time,
    pub nodes: Vec<Node>,
    pub wanted: Vec<WantedLease>,
    pub weather: Weather,
    /// Links that let nothing through, from and to.
    pub cut: Vec<Vec<bool>>,
    /// What cannot be, as it was seen.
    pub wrong: Vec<String>,
    /// Who acted for a duty with which token; the newest; when anybody acted last; the longest time without anybody.
    pub acts: BTreeMap<LeaseName, Acts>,
    /// How long a write to disk takes; none where it never ends.
    pub disk: Option<Micros>,
    pub rng: Pcg64Mcg,
    heard: Vec<Vec<Time>>,
    /// Whom each was told of last: who, and which life.
    told: Vec<Vec<(usize, u64)>>,
    heap: BinaryHeap<Reverse<(Time, u64, Event)>>,
    order: u64,
    zones: usize,
    /// Bodies and bytes that each has sent.
    pub sent: Vec<(u64, u64)>,
    /// Between two looks at who acts.
    pub every: Micros,
}

#[derive(Default, Clone)]
pub struct Acts {
    pub by: BTreeMap<Token, (usize, u64)>,
    pub newest: Token,
    pub last: Time,
    pub gap: Micros,
    /// Samples at which two acted.
    pub two: u64,
}

pub fn address(n: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, (n / 250) as u8, 1], 7_000 + (n % 250) as u16))
}

/// The router at this address.
fn number(address: SocketAddr) -> Option<usize> {
    let SocketAddr::V4(v4) = address else {
        return None;
    };
    Some(usize::from(v4.ip().octets()[2]) * 250 + usize::from(address.port()).checked_sub(7_000)?)
}

pub fn calm() -> Weather {
    Box::new(|_, _, _, rng| vec![500 + rng.random_range(0..1_500)])
}

/// Lost, twice, and late by up to 5 s, each with a chance.
pub fn rough(lost: f64, twice: f64, late: f64) -> Weather {
    Box::new(move |_, _, _, rng| {
        if rng.random::<f64>() < lost {
            return Vec::new();
        }
        let mut after = vec![500 + rng.random_range(0..1_500)];
        if rng.random::<f64>() < late {
            after[0] += rng.random_range(0..5 * S);
        }
        if rng.random::<f64>() < twice {
            after.push(after[0] + rng.random_range(0..5 * S));
        }
        after
    })
}

pub fn rules(voters: usize) -> Rules {
    let one = |n: usize| VoterConfig {
        name: format!("n{n}"),
        address: address(n),
    };
    Rules {
        installation: "test".into(),
        voters: VoterSet {
            generation: 1,
            members: (0..voters).map(one).collect(),
            previous: Vec::new(),
        },
        lease_ms: 3_000,
        retry_ms: 200,
        ..Rules::default()
    }
}

pub fn rules_without(guard: Option<Guard>) -> Rules {
    Rules {
        disabled_guard: guard,
        ..rules(3)
    }
}

pub fn wanted_leases(n: usize) -> Vec<WantedLease> {
    (0..n)
        .map(|n| WantedLease {
            lease: lease(n),
            zone: None,
        })
        .collect()
}

pub fn lease(n: usize) -> LeaseName {
    LeaseName::new(&format!("positions/{n}")).expect("a name")
}

impl Net {
    pub fn new(routers: usize, wanted: Vec<WantedLease>, seed: u64, rules: &Rules) -> Self {
        let mut net = Net {
            now: 1_000 * S,
            nodes: Vec::new(),
            wanted,
            weather: calm(),
            cut: vec![vec![false; routers]; routers],
            wrong: Vec::new(),
            acts: BTreeMap::new(),
            disk: Some(5 * MS),
            rng: Pcg64Mcg::seed_from_u64(seed),
            heard: vec![vec![0; routers]; routers],
            told: vec![Vec::new(); routers],
            heap: BinaryHeap::new(),
            order: 0,
            zones: 3,
            sent: vec![(0, 0); routers],
            every: 10 * MS,
        };
        for n in 0..routers {
            let offset = net.rng.random_range(0..1_000 * S) as i64;
            let drift = rules.drift * 0.99;
            let rate = 1.0 + net.rng.random_range(-drift..drift);
            net.nodes.push(Node {
                manager: None,
                incarnation: 0,
                frozen: false,
                rate,
                offset,
                disk: None,
                rules: rules.clone(),
                held: Vec::new(),
                news: Vec::new(),
            });
            net.start(n);
        }
        net.see();
        net.at(net.now, Event::Sample);
        net.at(net.now, Event::See);
        net
    }

    pub fn member(&self, n: usize) -> Member {
        Member {
            name: format!("n{n}"),
            zone: ["a", "b", "c"][n % self.zones].into(),
            address: address(n),
            incarnation: self.nodes[n].incarnation,
        }
    }

    fn at(&mut self, at: Time, event: Event) {
        self.order += 1;
        self.heap.push(Reverse((at, self.order, event)));
    }

    /// A node's own clock.
    pub fn clock(&self, n: usize) -> Time {
        let node = &self.nodes[n];
        ((self.now as f64 * node.rate) as i64 + node.offset) as Time
    }

    pub fn up(&self, n: usize) -> bool {
        self.nodes[n].manager.is_some()
    }

    pub fn start(&mut self, n: usize) {
        if self.up(n) {
            return;
        }
        self.nodes[n].incarnation = self.nodes[n].incarnation.max(self.now) + 1;
        let (me, now, seed) = (self.member(n), self.clock(n), self.rng.random());
        let node = &mut self.nodes[n];
        let kept = node
            .disk
            .as_ref()
            .and_then(|b| PersistedState::decode(b, &node.rules, &me.name).ok());
        let routers = self.cut.len() as u32;
        let mut manager = LeaseManager::new(node.rules.clone(), me, routers, now, seed, kept);
        manager.set_wanted(now, self.wanted.clone());
        (node.manager, node.frozen) = (Some(manager), false);
        self.told[n].clear();
        self.after(n);
    }

    pub fn kill(&mut self, n: usize) {
        let node = &mut self.nodes[n];
        (node.manager, node.frozen) = (None, false);
        node.held.clear();
    }

    pub fn freeze(&mut self, n: usize) {
        self.nodes[n].frozen = self.up(n);
    }

    /// It goes on, and the first that it does is what it was about to do.
    pub fn thaw(&mut self, n: usize) {
        if !self.nodes[n].frozen {
            return;
        }
        self.nodes[n].frozen = false;
        self.sample();
        let held = std::mem::take(&mut self.nodes[n].held);
        for (from, incarnation, body, late) in held {
            self.came(n, from, incarnation, &body, late);
        }
        self.turn(n);
    }

    /// A cut between two sets of routers, in both directions, or the end of it.
    pub fn part(&mut self, sides: &[&[usize]], on: bool) {
        for (a, one) in sides.iter().enumerate() {
            for other in sides
                .iter()
                .enumerate()
                .filter(|(b, _)| *b != a)
                .map(|(_, o)| o)
            {
                for (x, y) in one.iter().flat_map(|x| other.iter().map(move |y| (*x, *y))) {
                    self.cut[x][y] = on;
                }
            }
        }
    }

    pub fn heal(&mut self) {
        self.cut.iter_mut().flatten().for_each(|c| *c = false);
    }

    pub fn with<T>(
        &mut self,
        n: usize,
        act: impl FnOnce(&mut LeaseManager, Time) -> T,
    ) -> Option<T> {
        let now = self.clock(n);
        let done = self.nodes[n].manager.as_mut().map(|d| act(d, now));
        self.after(n);
        done
    }

    fn turn(&mut self, n: usize) {
        self.with(n, |d, now| d.turn(now));
    }

    fn came(&mut self, n: usize, from: usize, incarnation: u64, body: &[u8], late: Micros) {
        let member = Member {
            incarnation,
            ..self.member(from)
        };
        self.with(n, |d, now| d.receive(now, &member, body, late));
    }

    /// Takes out what a node has to say.
    fn after(&mut self, n: usize) {
        let (incarnation, clock, rate) =
            (self.nodes[n].incarnation, self.clock(n), self.nodes[n].rate);
        let Some(manager) = &mut self.nodes[n].manager else {
            return;
        };
        let (out, next, file) = (
            manager.take_outbox(),
            manager.next_turn(),
            manager.take_pending_write(),
        );
        let news: Vec<LeaseEvent> = std::iter::from_fn(|| manager.take_event()).collect();
        let now = self.now;
        self.nodes[n]
            .news
            .extend(news.into_iter().map(|news| (now, news)));
        for (to, body) in out {
            let Some(to) = number(to).filter(|n| *n < self.nodes.len()) else {
                continue;
            };
            let (bodies, bytes) = self.sent[n];
            self.sent[n] = (bodies + 1, bytes + body.len() as u64);
            if self.cut[n][to] {
                continue;
            }
            for after in (self.weather)(now, n, to, &mut self.rng) {
                let late = after.saturating_sub(500);
                let came = Event::Came {
                    to,
                    incarnation: self.nodes[to].incarnation,
                    from: n,
                    from_incarnation: incarnation,
                    body: body.clone(),
                    late,
                };
                self.at(now + after, came);
            }
        }
        if let (Some(file), Some(takes)) = (file, self.disk) {
            self.at(now + takes, Event::Disk(n, incarnation, file));
        }
        if next < Time::MAX {
            let wait = (next.saturating_sub(clock) as f64 / rate) as Micros + 1;
            self.at(now + wait, Event::Turn(n, incarnation));
        }
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
            let acts = |net: &Net, n: usize, incarnation: u64| {
                net.nodes[n].incarnation == incarnation && !net.nodes[n].frozen
            };
            match event {
                Event::Sample => {
                    self.sample();
                    self.at(self.now + self.every, Event::Sample);
                }
                Event::See => {
                    self.see();
                    self.at(self.now + S / 2, Event::See);
                }
                Event::Turn(n, incarnation) if acts(self, n, incarnation) => {
                    let now = self.clock(n);
                    if self.nodes[n]
                        .manager
                        .as_ref()
                        .is_some_and(|d| d.next_turn() <= now)
                    {
                        self.turn(n);
                    }
                }
                Event::Came {
                    to,
                    incarnation,
                    from,
                    from_incarnation,
                    body,
                    late,
                } => {
                    if acts(self, to, incarnation) {
                        self.came(to, from, from_incarnation, &body, late);
                    } else if self.nodes[to].incarnation == incarnation && self.up(to) {
                        self.nodes[to]
                            .held
                            .push((from, from_incarnation, body, late));
                    }
                }
                Event::Disk(n, incarnation, file)
                    if self.nodes[n].incarnation == incarnation && self.up(n) =>
                {
                    self.nodes[n].disk = Some(file);
                    if !self.nodes[n].frozen {
                        self.with(n, |d, now| d.complete_write(now));
                    }
                }
                _ => {}
            }
        }
        self.now = until;
    }

    /// Whom a router was told of last.
    pub fn seen(&self, n: usize) -> Vec<Member> {
        let known = |(m, incarnation): &(usize, u64)| Member {
            incarnation: *incarnation,
            ..self.member(*m)
        };
        self.told[n].iter().map(known).collect()
    }

    /// What membership would have told by now.
    fn see(&mut self) {
        for a in 0..self.nodes.len() {
            for b in 0..self.nodes.len() {
                let alive = self.up(b) && !self.nodes[b].frozen;
                if alive && !self.cut[a][b] && !self.cut[b][a] {
                    self.heard[a][b] = self.now;
                }
            }
        }
        for a in 0..self.nodes.len() {
            if self.nodes[a].frozen || !self.up(a) {
                continue;
            }
            let seen =
                |b: &usize| self.heard[a][*b] + UNSEEN > self.now && self.nodes[*b].incarnation > 0;
            let lives: Vec<(usize, u64)> = (0..self.nodes.len())
                .filter(seen)
                .map(|b| (b, self.nodes[b].incarnation))
                .collect();
            if lives == self.told[a] {
                continue;
            }
            let members: Vec<Member> = lives.iter().map(|(b, _)| self.member(*b)).collect();
            self.told[a] = lives;
            self.with(a, |d, now| d.set_members(now, members));
        }
    }

    /// Who acts at this moment of true time.
    fn sample(&mut self) {
        for n in 0..self.nodes.len() {
            if self.nodes[n].frozen {
                continue;
            }
            let (now, incarnation) = (self.clock(n), self.nodes[n].incarnation);
            let Some(manager) = &self.nodes[n].manager else {
                continue;
            };
            let owned: Vec<(LeaseName, Token)> = manager
                .held_leases(now)
                .map(|(d, t)| (d.clone(), t))
                .collect();
            for (lease, token) in owned {
                self.act(n, incarnation, lease, token);
            }
        }
    }

    fn act(&mut self, n: usize, incarnation: u64, lease: LeaseName, token: Token) {
        let now = self.now;
        let acts = self.acts.entry(lease.clone()).or_default();
        let other = *acts.by.entry(token).or_insert((n, incarnation));
        let mut wrong = Vec::new();
        if other != (n, incarnation) {
            wrong.push(format!("{lease} {token}: n{n} and n{} have it", other.0));
        }
        if token < acts.newest {
            acts.two += 1;
            wrong.push(format!(
                "{lease}: n{n} acts with {token} after {} acted with {}",
                acts.by[&acts.newest].0, acts.newest
            ));
        }
        acts.newest = acts.newest.max(token);
        if acts.last > 0 {
            acts.gap = acts.gap.max(now - acts.last);
        }
        acts.last = now;
        if self.wrong.len() < 20 {
            self.wrong
                .extend(wrong.into_iter().map(|w| format!("{now}: {w}")));
        }
    }

    /// Which nodes own a duty now.
    pub fn owners(&self, lease: &LeaseName) -> Vec<usize> {
        let owns = |n: &usize| {
            let now = self.clock(*n);
            !self.nodes[*n].frozen
                && self.nodes[*n]
                    .manager
                    .as_ref()
                    .is_some_and(|d| d.may_act(now, lease).is_some())
        };
        (0..self.nodes.len()).filter(owns).collect()
    }

    pub fn owner(&self, n: usize) -> usize {
        self.owners(&lease(n))
            .first()
            .copied()
            .unwrap_or_else(|| panic!("nobody owns {n}"))
    }

    /// Runs until a condition holds; how long that took.
    pub fn until(&mut self, within: Micros, mut holds: impl FnMut(&Net) -> bool) -> Option<Micros> {
        let from = self.now;
        while self.now < from + within {
            if holds(self) {
                return Some(self.now - from);
            }
            self.run(self.every);
        }
        holds(self).then(|| self.now - from)
    }

    /// Runs until each duty has its owner.
    pub fn settled(&mut self) -> Micros {
        let took = self.until(60 * S, Net::all_owned);
        took.unwrap_or_else(|| panic!("not all are owned: {:?}", self.unowned()))
    }

    pub fn all_owned(&self) -> bool {
        self.wanted.iter().all(|w| self.owners(&w.lease).len() == 1)
    }

    pub fn unowned(&self) -> Vec<&LeaseName> {
        self.wanted
            .iter()
            .map(|w| &w.lease)
            .filter(|d| self.owners(d).is_empty())
            .collect()
    }

    pub fn sound(&self) {
        assert!(self.wrong.is_empty(), "{:#?}", self.wrong);
    }

    pub fn clear_gaps(&mut self) {
        self.acts.values_mut().for_each(|a| a.gap = 0);
    }

    pub fn gap(&self) -> Micros {
        self.acts.values().map(|a| a.gap).max().unwrap_or(0)
    }
}
