//! Whatever a datagram holds, signed or not: nothing panics, nothing grows without bound, each is counted.

mod common;

use common::{BEGIN, Net, S, address, keys};
use plovercove_gossip::{Envelope, Incarnation, Observation, Part, Record, Rules};
use proptest::prelude::*;
use rand::RngExt;

fn incarnation(port: usize, boot: u64) -> Incarnation {
    Incarnation {
        address: address(port),
        boot: BEGIN + boot,
        renewals: 0,
        name: format!("x{port}"),
        zone: "z".into(),
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(400))]

    #[test]
    fn whatever_holders_of_the_key_send_is_taken_or_counted(
        datagrams in prop::collection::vec(
            (20usize..26, 0u64..3, any::<u64>(), any::<u64>(),
             prop::collection::vec((0u8..7, prop::collection::vec(any::<u8>(), 0..200)), 0..5)), 1..20)
    ) {
        let ours = keys(common::KEY);
        let mut net = Net::new(1, 1, 1, Rules::default());
        let mut sent = 0;
        for (port, boot, seq, clock_ms, parts) in datagrams {
            let parts = parts.into_iter().map(|(kind, body)| Part { kind, body }).collect();
            let Some(sealed) = ours.seal(&Envelope { from: incarnation(port, boot), seq, clock_ms, parts }) else { continue };
            sent += 1;
            net.inject(0, &sealed);
            net.run(S / 100);
        }
        let counts = net.routers[0].peers.counts();
        prop_assert_eq!(counts.received.0 + counts.dropped.values().sum::<u64>(), sent);
    }
}

#[test]
fn changed_datagrams_of_a_real_fleet_are_dropped_and_the_fleet_goes_on() {
    // A corpus that is real: every datagram of a fleet, some of them with bytes changed, cut off or doubled on their way.
    let mut net = Net::new(6, 2, 11, Rules::default());
    net.joined();
    let before: u64 = net
        .routers
        .iter()
        .map(|r| r.peers.counts().dropped.values().sum::<u64>())
        .sum();
    net.spoils = Some(Box::new(|bytes, dice| {
        let mut spoilt = bytes.to_vec();
        match dice.random_range(0..4) {
            0 => spoilt.truncate(dice.random_range(0..bytes.len())),
            1 => spoilt.extend_from_slice(bytes),
            _ => {
                let at = dice.random_range(0..bytes.len());
                spoilt[at] ^= 1 << dice.random_range(0..8);
            }
        }
        spoilt
    }));
    net.run(20 * S);
    net.spoils = None;
    net.run(S);
    let after: u64 = net
        .routers
        .iter()
        .map(|r| r.peers.counts().dropped.values().sum::<u64>())
        .sum();
    assert!(
        net.spoilt > 100 && after - before == net.spoilt,
        "{} changed, {} dropped",
        net.spoilt,
        after - before
    );
    assert!(net.seen().iter().all(|n| *n == 6), "{:?}", net.seen());
}

#[test]
fn what_a_newer_version_adds_is_skipped_and_the_rest_is_taken() {
    // Danger: in a rolling upgrade the first router of the new version would make all the old ones drop what it says.
    let ours = keys(common::KEY);
    let mut net = Net::new(1, 1, 1, Rules::default());
    let seen = Observation {
        no_reply: 30,
        nodes_seen: 9,
        nodes_failing: 1,
        ..Observation::default()
    };
    let record =
        Record::from_observation(&incarnation(20, 1), 1, &"s1".into(), None, &seen).expect("small");
    let newer = Record {
        kind: 99,
        subject: "something else".into(),
        body: vec![7; 40],
        ..record.clone()
    };
    let parts = [newer, record]
        .iter()
        .filter_map(Record::part)
        .collect::<Vec<_>>();
    let body = parts.iter().flat_map(|p| p.body.clone()).collect();
    let parts = vec![
        Part {
            kind: 200,
            body: vec![1; 30],
        },
        Part {
            kind: parts[0].kind,
            body,
        },
    ];
    let sealed = ours
        .seal(&Envelope {
            from: incarnation(20, 1),
            seq: 1,
            clock_ms: 1,
            parts,
        })
        .expect("small");
    net.inject(0, &sealed);
    let router = &net.routers[0];
    assert_eq!(
        (
            router.peers.counts().unknown_records,
            router.peers.snapshot(&router.observer).records
        ),
        (1, 1)
    );
    assert_eq!(router.peers.counts().received.0, 1, "it is no fault");
}
