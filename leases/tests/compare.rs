//! Three ways to agree on who does a duty, played on the same virtual network: the rendezvous hash over the members that are
//! seen, leases of a majority, and a replicated log. What is measured: time with two owners, time without one, messages.
#![allow(missing_docs, reason = "a test")]

mod common;
mod replicated_log;

use common::{MS, Net, S, rules, wanted_leases};
use plovercove::{Micros, Time};
use plovercove_leases::{Placement, Rules};
use replicated_log::Logged;

pub const ROUTERS: usize = 9;
const DUTIES: usize = 12;
const STEP: Micros = 20 * MS;

#[derive(Clone, Copy, Debug, PartialEq)]
enum Trouble {
    Calm,
    /// The first owner of all is killed.
    Kill,
    /// It is stopped for 15 s, and goes on.
    Stop,
    /// One side has a majority of the deciders.
    Two,
    /// No side has.
    Three,
}

/// Of all duties together (router-milliseconds), and messages of all routers in a second.
#[derive(Clone, Copy, Debug, Default)]
struct Seen {
    two: u64,
    none: u64,
    /// The longest time that one duty had nobody (ms).
    gap: u64,
    messages: u64,
}

/// One way to agree.
trait Way {
    fn net(&mut self) -> &mut Net;
    fn run(&mut self, span: Micros);
    /// Who acts for a duty now.
    fn acting(&self, lease: usize) -> Vec<usize>;
    fn sent(&self) -> u64;
}

struct Leases(Net);

impl Way for Leases {
    fn net(&mut self) -> &mut Net {
        &mut self.0
    }
    fn run(&mut self, span: Micros) {
        self.0.run(span);
    }
    fn acting(&self, lease: usize) -> Vec<usize> {
        self.0.owners(&common::lease(lease))
    }
    fn sent(&self) -> u64 {
        self.0.sent.iter().map(|s| s.0).sum()
    }
}

/// Who is seen decides, and nobody is asked. The members are those that the network's membership tells.
struct Hashed {
    net: Net,
    /// For each duty who acts now.
    acting: Vec<Vec<usize>>,
}

impl Way for Hashed {
    fn net(&mut self) -> &mut Net {
        &mut self.net
    }
    fn run(&mut self, span: Micros) {
        self.net.run(span);
        self.acting = vec![Vec::new(); DUTIES];
        for n in (0..ROUTERS).filter(|n| self.net.up(*n) && !self.net.nodes[*n].frozen) {
            let placed = Placement::new(&self.net.wanted, &self.net.seen(n));
            for (lease, acting) in self.acting.iter_mut().enumerate() {
                if placed.preferred_holder(&common::lease(lease)) == Some(common::address(n)) {
                    acting.push(n);
                }
            }
        }
    }
    fn acting(&self, lease: usize) -> Vec<usize> {
        self.acting[lease].clone()
    }
    fn sent(&self) -> u64 {
        0
    }
}

impl Way for Logged {
    fn net(&mut self) -> &mut Net {
        &mut self.net
    }
    fn run(&mut self, span: Micros) {
        Logged::run(self, span);
    }
    fn acting(&self, lease: usize) -> Vec<usize> {
        Logged::acting(self, lease)
    }
    fn sent(&self) -> u64 {
        self.sent
    }
}

fn watch(way: &mut dyn Way, span: Micros, last: &mut [Option<Time>], seen: &mut Seen) {
    let until = way.net().now + span;
    while way.net().now < until {
        way.run(STEP);
        let now = way.net().now;
        for (lease, last) in last.iter_mut().enumerate() {
            let acting = way.acting(lease).len();
            seen.two += if acting > 1 { STEP / MS } else { 0 };
            seen.none += if acting == 0 { STEP / MS } else { 0 };
            seen.gap = seen
                .gap
                .max(last.map_or(0, |at| (now - at).saturating_sub(STEP) / MS));
            if acting > 0 {
                *last = Some(now);
            }
        }
    }
}

fn play(way: &mut dyn Way, trouble: Trouble) -> Seen {
    way.run(40 * S);
    let mut last = vec![None; DUTIES];
    watch(way, S, &mut last, &mut Seen::default());
    let (mut seen, sent, begin) = (Seen::default(), way.sent(), way.net().now);
    let owner = (0..DUTIES)
        .flat_map(|d| way.acting(d))
        .find(|n| *n > 4)
        .expect("an owner that decides nothing");
    match trouble {
        Trouble::Calm => {}
        Trouble::Kill => way.net().kill(owner),
        Trouble::Stop => way.net().freeze(owner),
        Trouble::Two => way.net().part(&[&[0, 1, 3, 4, 5], &[2, 6, 7, 8]], true),
        Trouble::Three => way.net().part(&[&[0, 3, 4], &[1, 5, 6], &[2, 7, 8]], true),
    }
    watch(way, 15 * S, &mut last, &mut seen);
    way.net().thaw(owner);
    way.net().heal();
    watch(way, 15 * S, &mut last, &mut seen);
    let span = (way.net().now - begin) / S;
    seen.messages = (way.sent() - sent) / span;
    seen
}

/// The worst of several, each from its own seed.
fn worst<W: Way>(trouble: Trouble, make: impl Fn(u64) -> W) -> Seen {
    (20..23).fold(Seen::default(), |worst, seed| {
        let seen = play(&mut make(seed), trouble);
        Seen {
            two: worst.two.max(seen.two),
            none: worst.none.max(seen.none),
            gap: worst.gap.max(seen.gap),
            messages: worst.messages.max(seen.messages),
        }
    })
}

#[test]
fn three_ways_in_the_same_weather() {
    let rules: Rules = rules(3);
    for trouble in [
        Trouble::Calm,
        Trouble::Kill,
        Trouble::Stop,
        Trouble::Two,
        Trouble::Three,
    ] {
        let net = |seed| Net::new(ROUTERS, wanted_leases(DUTIES), seed, &rules);
        let hash = worst(trouble, |seed| Hashed {
            net: net(seed),
            acting: Vec::new(),
        });
        let lease = worst(trouble, |seed| Leases(net(seed)));
        let five = worst(trouble, |seed| {
            Leases(Net::new(
                ROUTERS,
                wanted_leases(DUTIES),
                seed,
                &common::rules(5),
            ))
        });
        let log = worst(trouble, |seed| Logged::new(net(seed), DUTIES, &rules));
        println!(
            "{trouble:?}: hash {hash:?}\n  leases {lease:?}\n  leases, 5 deciders {five:?}\n  log {log:?}"
        );
        assert_eq!(
            (lease.two, five.two, log.two),
            (0, 0, 0),
            "an owner by a lease is alone"
        );
        match trouble {
            Trouble::Calm => assert_eq!((hash.gap, lease.gap, five.gap, log.gap), (0, 0, 0, 0)),
            Trouble::Kill => {
                assert!(
                    lease.gap.max(five.gap) <= rules.max_gap_after_kill() / MS,
                    "{lease:?} {five:?}"
                );
            }
            Trouble::Stop => {}
            Trouble::Two | Trouble::Three => assert!(hash.two > 0, "each side has its own owner"),
        }
    }
}
