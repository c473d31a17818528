//! Owners by a replicated log: the leader of the three deciders writes who owns what, and renews it by writing. An owner outside
//! the log needs a lease all the same, which counts from when its ask was sent.

use crate::ROUTERS;
use crate::common::{MS, Net, address};
use plovercove::{Micros, Time};
use plovercove_leases::{Placement, Rules};
use raft::prelude::{Config, Message};
use raft::storage::MemStorage;
use raft::{RawNode, StateRole};
use std::cmp::Reverse;
use std::collections::BTreeMap;

/// A tick of the log's clock: heartbeats each 2, elections after 10 to 20.
const TICK: Micros = 100 * MS;
/// One way through the network.
const WAY: Micros = MS;
const SAMPLE: Micros = 5 * MS;

enum Sent {
    Log(Box<Message>),
    /// A router asks for all that it should own, at this time.
    Ask {
        from: usize,
        at: Time,
        duties: Vec<usize>,
    },
    /// It is written that this router owns these, by its ask of this time.
    Yes {
        at: Time,
        duties: Vec<usize>,
    },
}

/// What the log says of a duty: who owns it, and until when by each decider's clock since it read that.
type Owned = BTreeMap<usize, (usize, Time)>;

pub struct Logged {
    pub net: Net,
    pub sent: u64,
    rules: Rules,
    duties: usize,
    nodes: Vec<RawNode<MemStorage>>,
    owned: Vec<Owned>,
    /// For each router: until when it owns what.
    holds: Vec<BTreeMap<usize, Time>>,
    under_way: Vec<(Time, usize, usize, Sent)>,
    next_tick: Time,
    next_ask: Vec<Time>,
}

impl Logged {
    pub fn new(net: Net, duties: usize, rules: &Rules) -> Self {
        let node = |id: u64| {
            let storage = MemStorage::new_with_conf_state((vec![1, 2, 3], vec![]));
            let config = Config {
                id,
                election_tick: 10,
                heartbeat_tick: 2,
                check_quorum: true,
                pre_vote: true,
                ..Config::default()
            };
            let quiet = slog::Logger::root(slog::Discard, slog::o!());
            RawNode::new(&config, storage, &quiet).expect("a node")
        };
        let now = net.now;
        Logged {
            net,
            sent: 0,
            rules: rules.clone(),
            duties,
            nodes: (1..=3).map(node).collect(),
            owned: vec![Owned::new(); 3],
            holds: vec![BTreeMap::new(); ROUTERS],
            under_way: Vec::new(),
            next_tick: now,
            next_ask: (0..ROUTERS as u64).map(|n| now + n * 100 * MS).collect(),
        }
    }

    fn runs(&self, n: usize) -> bool {
        self.net.up(n) && !self.net.nodes[n].frozen
    }

    pub fn acting(&self, lease: usize) -> Vec<usize> {
        let now = self.net.now;
        let acts = |n: &usize| {
            self.runs(*n) && self.holds[*n].get(&lease).is_some_and(|until| now < *until)
        };
        (0..ROUTERS).filter(acts).collect()
    }

    fn send(&mut self, from: usize, to: usize, what: Sent) {
        if from != to {
            self.sent += 1;
        }
        if from == to || !self.net.cut[from][to] {
            let way = if from == to { 0 } else { WAY };
            self.under_way.push((self.net.now + way, from, to, what));
        }
    }

    pub fn run(&mut self, span: Micros) {
        let until = self.net.now + span;
        while self.net.now < until {
            // The network's own routers run beside, for what membership sees.
            self.net.run(SAMPLE.min(until - self.net.now));
            let now = self.net.now;
            if now >= self.next_tick {
                self.next_tick = now + TICK;
                (0..3)
                    .filter(|n| self.runs(*n))
                    .collect::<Vec<_>>()
                    .into_iter()
                    .for_each(|n| {
                        self.nodes[n].tick();
                    });
            }
            (0..ROUTERS).for_each(|n| self.ask(n));
            // What takes less than a step goes through within it, so that a round of the log is not slowed down.
            for _ in 0..8 {
                self.deliver();
                (0..3).for_each(|n| self.ready(n));
            }
        }
    }

    /// Each router asks all deciders for what it should own by the hash, once in each renewal.
    fn ask(&mut self, n: usize) {
        let now = self.net.now;
        if now < self.next_ask[n] || !self.runs(n) {
            return;
        }
        self.next_ask[n] = now + self.rules.renew_interval();
        let placed = Placement::new(&self.net.wanted, &self.net.seen(n));
        let mine = |d: &usize| {
            placed.preferred_holder(&crate::common::lease(*d)) == Some(address(n))
                || self.holds[n].contains_key(d)
        };
        let duties: Vec<usize> = (0..self.duties).filter(mine).collect();
        self.holds[n].retain(|_, until| *until > now);
        for voter in 0..3 {
            self.send(
                n,
                voter,
                Sent::Ask {
                    from: n,
                    at: now,
                    duties: duties.clone(),
                },
            );
        }
    }

    fn deliver(&mut self) {
        self.under_way.sort_by_key(|(at, ..)| Reverse(*at));
        let due = self.net.now + SAMPLE;
        let mut came = Vec::new();
        while self.under_way.last().is_some_and(|(at, ..)| *at <= due) {
            came.extend(self.under_way.pop());
        }
        for (_, _, to, what) in came {
            if !self.runs(to) {
                continue;
            }
            match what {
                Sent::Log(message) => drop(self.nodes[to].step(*message)),
                Sent::Ask { from, at, duties }
                    if self.nodes[to].raft.state == StateRole::Leader =>
                {
                    let now = self.net.now;
                    let free = |d: &usize| {
                        self.owned[to]
                            .get(d)
                            .is_none_or(|(by, until)| *by == from || *until <= now)
                    };
                    for lease in duties.into_iter().filter(free) {
                        let entry = format!("{lease} {from} {at}");
                        drop(self.nodes[to].propose(Vec::new(), entry.into_bytes()));
                    }
                }
                Sent::Ask { .. } => {}
                Sent::Yes { at, duties } => {
                    let until = at + self.rules.lease_at_holder();
                    let holds = &mut self.holds[to];
                    for lease in duties {
                        let old = holds.entry(lease).or_default();
                        *old = until.max(*old);
                    }
                }
            }
        }
    }

    /// Takes out what a node of the log has to say, and what is written.
    fn ready(&mut self, n: usize) {
        if !self.runs(n) || !self.nodes[n].has_ready() {
            return;
        }
        let node = &mut self.nodes[n];
        let mut ready = node.ready();
        let mut messages = ready.take_messages();
        let mut written = ready.take_committed_entries();
        node.mut_store().wl().append(ready.entries()).expect("kept");
        if let Some(hard) = ready.hs() {
            node.mut_store().wl().set_hardstate(hard.clone());
        }
        messages.extend(ready.take_persisted_messages());
        let mut light = node.advance(ready);
        messages.extend(light.take_messages());
        written.extend(light.take_committed_entries());
        node.advance_apply();
        let leads = node.raft.state == StateRole::Leader;
        for message in messages {
            let to = message.to as usize - 1;
            self.send(n, to, Sent::Log(Box::new(message)));
        }
        let now = self.net.now;
        let mut yes: BTreeMap<(usize, Time), Vec<usize>> = BTreeMap::new();
        for entry in written {
            let text = String::from_utf8_lossy(&entry.data).into_owned();
            let words: Vec<u64> = text.split(' ').filter_map(|w| w.parse().ok()).collect();
            let [lease, by, at] = words[..] else { continue };
            let (lease, by) = (lease as usize, by as usize);
            // What a former leader wrote may come after another's: it counts only where the duty was free by then.
            let free = self.owned[n]
                .get(&lease)
                .is_none_or(|(owner, until)| *owner == by || *until <= at);
            if free {
                self.owned[n].insert(
                    lease,
                    (by, now + self.rules.lease_at_voter(self.rules.lease_ms)),
                );
                yes.entry((by, at)).or_default().push(lease);
            }
        }
        for ((by, at), duties) in yes.into_iter().filter(|_| leads) {
            self.send(n, by, Sent::Yes { at, duties });
        }
    }
}
