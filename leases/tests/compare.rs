//! Compares three ways to choose the holder of a lease on the same virtual network: the rendezvous hash over the visible
//! members, leases granted by a majority, and a replicated log. Measures the time with two acting holders, the time without
//! one, and the number of messages.
#![allow(missing_docs, reason = "a test")]

mod common;
mod replicated_log;

use common::{MS, Net, S, rules, wanted_leases};
use plovercove::{Micros, Time};
use plovercove_leases::{Placement, Rules};
use replicated_log::ReplicatedLog;

pub const ROUTERS: usize = 9;
const LEASES: usize = 12;
const STEP: Micros = 20 * MS;

#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    None,
    /// A holder is killed.
    Kill,
    /// A holder is stopped for 15 s and resumes.
    Stop,
    /// The network splits in two, and one side has a majority of the voters.
    TwoPartitions,
    /// The network splits in three, and no side has a majority.
    ThreePartitions,
}

/// Sums over all leases, and messages of all routers.
#[derive(Clone, Copy, Debug, Default)]
struct Measured {
    /// Time with more than one acting holder, summed over the leases.
    overlap_ms: u64,
    /// Time without an acting holder, summed over the leases.
    unheld_ms: u64,
    /// The longest time for which one lease had no acting holder.
    longest_gap_ms: u64,
    messages_per_s: u64,
}

/// A way to choose the holder of a lease.
trait Protocol {
    fn net(&mut self) -> &mut Net;
    fn run(&mut self, duration: Micros);
    /// Returns the nodes that act under a lease now.
    fn acting(&self, lease: usize) -> Vec<usize>;
    fn sent(&self) -> u64;
}

struct Leases(Net);

impl Protocol for Leases {
    fn net(&mut self) -> &mut Net {
        &mut self.0
    }
    fn run(&mut self, duration: Micros) {
        self.0.run(duration);
    }
    fn acting(&self, lease: usize) -> Vec<usize> {
        self.0.acting_holders(&common::lease(lease))
    }
    fn sent(&self) -> u64 {
        self.0.sent.iter().map(|s| s.0).sum()
    }
}

/// Each node computes the holder from the members that it sees, without any message.
struct RendezvousHash {
    net: Net,
    /// The nodes that act under each lease now.
    acting: Vec<Vec<usize>>,
}

impl Protocol for RendezvousHash {
    fn net(&mut self) -> &mut Net {
        &mut self.net
    }
    fn run(&mut self, duration: Micros) {
        self.net.run(duration);
        self.acting = vec![Vec::new(); LEASES];
        for n in (0..ROUTERS).filter(|n| self.net.is_up(*n) && !self.net.nodes[*n].is_stopped) {
            let placement = Placement::new(&self.net.wanted, &self.net.members_seen_by(n));
            for (lease, acting) in self.acting.iter_mut().enumerate() {
                if placement.preferred_holder(&common::lease(lease)) == Some(common::address(n)) {
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

impl Protocol for ReplicatedLog {
    fn net(&mut self) -> &mut Net {
        &mut self.net
    }
    fn run(&mut self, duration: Micros) {
        ReplicatedLog::run(self, duration);
    }
    fn acting(&self, lease: usize) -> Vec<usize> {
        ReplicatedLog::acting(self, lease)
    }
    fn sent(&self) -> u64 {
        self.sent
    }
}

/// Runs the protocol and samples the acting holders. `last` keeps the time of the latest action under each lease.
fn measure(
    protocol: &mut dyn Protocol,
    duration: Micros,
    last: &mut [Option<Time>],
    measured: &mut Measured,
) {
    let end = protocol.net().now + duration;
    while protocol.net().now < end {
        protocol.run(STEP);
        let now = protocol.net().now;
        for (lease, last) in last.iter_mut().enumerate() {
            let acting = protocol.acting(lease).len();
            measured.overlap_ms += if acting > 1 { STEP / MS } else { 0 };
            measured.unheld_ms += if acting == 0 { STEP / MS } else { 0 };
            measured.longest_gap_ms = measured
                .longest_gap_ms
                .max(last.map_or(0, |acted_at| (now - acted_at).saturating_sub(STEP) / MS));
            if acting > 0 {
                *last = Some(now);
            }
        }
    }
}

/// Runs a protocol with a fault of 15 s, and measures until 15 s after it.
fn run_scenario(protocol: &mut dyn Protocol, fault: Fault) -> Measured {
    protocol.run(40 * S);
    let mut last = vec![None; LEASES];
    measure(protocol, S, &mut last, &mut Measured::default());
    let (mut measured, sent, begin) = (Measured::default(), protocol.sent(), protocol.net().now);
    let holder = (0..LEASES)
        .flat_map(|lease| protocol.acting(lease))
        .find(|n| *n > 4)
        .expect("a holder that does not vote");
    match fault {
        Fault::None => {}
        Fault::Kill => protocol.net().kill(holder),
        Fault::Stop => protocol.net().stop(holder),
        Fault::TwoPartitions => protocol
            .net()
            .partition(&[&[0, 1, 3, 4, 5], &[2, 6, 7, 8]], true),
        Fault::ThreePartitions => protocol
            .net()
            .partition(&[&[0, 3, 4], &[1, 5, 6], &[2, 7, 8]], true),
    }
    measure(protocol, 15 * S, &mut last, &mut measured);
    protocol.net().resume(holder);
    protocol.net().heal();
    measure(protocol, 15 * S, &mut last, &mut measured);
    let duration = (protocol.net().now - begin) / S;
    measured.messages_per_s = (protocol.sent() - sent) / duration;
    measured
}

/// Returns the worst of three runs with different seeds, for each measure separately.
fn worst_of_seeds<W: Protocol>(fault: Fault, make: impl Fn(u64) -> W) -> Measured {
    (20..23).fold(Measured::default(), |worst, seed| {
        let measured = run_scenario(&mut make(seed), fault);
        Measured {
            overlap_ms: worst.overlap_ms.max(measured.overlap_ms),
            unheld_ms: worst.unheld_ms.max(measured.unheld_ms),
            longest_gap_ms: worst.longest_gap_ms.max(measured.longest_gap_ms),
            messages_per_s: worst.messages_per_s.max(measured.messages_per_s),
        }
    })
}

#[test]
fn compare_three_protocols_under_the_same_faults() {
    let rules: Rules = rules(3);
    for fault in [
        Fault::None,
        Fault::Kill,
        Fault::Stop,
        Fault::TwoPartitions,
        Fault::ThreePartitions,
    ] {
        let net = |seed| Net::new(ROUTERS, wanted_leases(LEASES), seed, &rules);
        let hash = worst_of_seeds(fault, |seed| RendezvousHash {
            net: net(seed),
            acting: Vec::new(),
        });
        let lease = worst_of_seeds(fault, |seed| Leases(net(seed)));
        let five = worst_of_seeds(fault, |seed| {
            Leases(Net::new(
                ROUTERS,
                wanted_leases(LEASES),
                seed,
                &common::rules(5),
            ))
        });
        let log = worst_of_seeds(fault, |seed| ReplicatedLog::new(net(seed), LEASES, &rules));
        println!(
            "{fault:?}: hash {hash:?}\n  leases {lease:?}\n  leases, 5 voters {five:?}\n  log {log:?}"
        );
        assert_eq!(
            (lease.overlap_ms, five.overlap_ms, log.overlap_ms),
            (0, 0, 0),
            "a lease has one acting holder"
        );
        match fault {
            Fault::None => assert_eq!(
                (
                    hash.longest_gap_ms,
                    lease.longest_gap_ms,
                    five.longest_gap_ms,
                    log.longest_gap_ms
                ),
                (0, 0, 0, 0)
            ),
            Fault::Kill => {
                assert!(
                    lease.longest_gap_ms.max(five.longest_gap_ms)
                        <= rules.max_gap_after_kill() / MS,
                    "{lease:?} {five:?}"
                );
            }
            Fault::Stop => {}
            Fault::TwoPartitions | Fault::ThreePartitions => {
                assert!(hash.overlap_ms > 0, "each side has its own holder")
            }
        }
    }
}
