//! What many routers come to together, in virtual time: each danger with the guard against it, and the guard taken away.

mod common;

use common::{BEGIN, Net, S, address, calm, dies, good, keys, lossy, zone};
use plovercove::{AttemptEnd, Endpoint, EndpointUpdate, Micros, NodeId, Time};
use plovercove_gossip::{
    Envelope, GossipEvent, Guard, Incarnation, Level, Observation, Part, Record, Rules,
    payload_kind,
};

fn nine(seed: u64) -> Net {
    Net::new(9, 3, seed, Rules::default())
}

/// The same with a guard taken away.
fn without(seed: u64, guard: Guard) -> Net {
    Net::new(
        9,
        3,
        seed,
        Rules {
            disabled_guard: Some(guard),
            ..Rules::default()
        },
    )
}

fn all(levels: &[Level], level: Level) -> bool {
    levels.iter().all(|l| *l == level)
}

#[test]
fn all_find_each_other_and_who_is_killed_is_missed_in_time() {
    for (routers, within) in [(3, 5), (30, 15)] {
        let mut net = Net::new(routers, 2, 1, Rules::default());
        let took = net.joined();
        assert!(took < within * S, "{routers} routers took {took} us");
        net.kill(1);
        let rules = net.rules.clone();
        // Each is probed by some other in nearly every period; three periods without is a rare chance.
        let bound = (4 * rules.probe_ms + rules.suspect_ms) * 1_000 + 2 * S;
        let missed = net.until(bound, |net| {
            net.seen().iter().all(|seen| *seen == routers - 1)
        });
        assert!(missed.is_some(), "{:?}", net.seen());
    }
}

#[test]
fn who_leaves_is_missed_at_once() {
    let mut net = nine(2);
    net.joined();
    let now = net.now;
    net.routers[4].peers.leave(now);
    for (to, bytes) in net.routers[4].peers.take_outgoing() {
        let to = (0..9).find(|n| address(*n) == to).expect("a router");
        net.inject(to, &bytes);
    }
    net.kill(4);
    let took = net.until(2 * S, |net| net.seen().iter().all(|seen| *seen == 8));
    assert!(took.is_some(), "{:?}", net.seen());
}

/// From the first failure until all act, where a fifth of all datagrams is lost.
fn act(mut net: Net) -> (Option<Micros>, Micros) {
    net.joined();
    net.run(5 * S);
    net.weather = lossy(0.2);
    net.fate = dies("s4", net.now);
    // Evidence is complete when two have failed twice, in two zones; each asks a node about once a second.
    let bound = net.rules.max_reaction_delay() + 3 * S;
    (
        net.until(bound, |net| all(&net.levels("s4"), Level::Ejected)),
        bound,
    )
}

#[test]
fn a_node_that_dies_is_out_for_all_in_time_though_a_fifth_is_lost() {
    for seed in 0..8 {
        let (took, bound) = act(nine(seed));
        assert!(took.is_some(), "seed {seed}: not by {bound} us");
    }
}

/// A node dies that only the routers of its zone go on to ask; of another zone one asked it twice, and all had answers of it.
fn dies_where_one_zone_asks(mut net: Net) -> Option<Micros> {
    net.joined();
    net.run(5 * S);
    let died_at = net.now;
    let is_near = |router: usize| zone(router) == zone(4);
    let mut asked_from_afar = 0;
    net.fate = Box::new(move |_, router, node, _| {
        if **node != *"s4" {
            return (AttemptEnd::Success, 5_000);
        }
        asked_from_afar += usize::from(router == 0);
        if is_near(router) || (router == 0 && asked_from_afar <= 2) {
            (AttemptEnd::TimedOut, 200_000)
        } else {
            (AttemptEnd::NeverSent, 1)
        }
    });
    let bound = net.rules.max_reaction_delay() + 3 * S;
    net.until(bound, |net| all(&net.levels("s4"), Level::Ejected))
        .map(|_| net.now - died_at)
}

#[test]
fn a_dead_node_is_out_though_the_only_one_outside_its_zone_that_met_it_had_answers_before() {
    for seed in 0..8 {
        let took = dies_where_one_zone_asks(nine(seed));
        assert!(took.is_some(), "seed {seed}: not by the bound");
    }
}

/// How long anyone acts on what was seen of a node last, while routers are stopped, cut off and killed and nobody sees more.
fn oldest(mut net: Net) -> (Micros, Micros) {
    net.joined();
    net.fate = dies("s4", net.now);
    assert!(
        net.until(20 * S, |net| all(&net.levels("s4"), Level::Ejected))
            .is_some(),
        "it is taken out first"
    );
    let last = net.now;
    net.asks = false;
    net.kill(8);
    net.weather = Box::new(|_, from, to, _| {
        if (from < 4) == (to < 4) {
            vec![900]
        } else {
            Vec::new()
        }
    });
    net.stop(2);
    net.run(10 * S);
    net.go_on(2);
    net.until(30 * S, |net| !net.levels("s4").contains(&Level::Ejected));
    (net.now - last, net.rules.max_evidence_age())
}

#[test]
fn evidence_ends_by_its_age_whatever_happens_in_between() {
    for seed in 0..4 {
        let (acted, bound) = oldest(nine(seed));
        assert!(acted <= bound, "seed {seed}: {acted} us of {bound}");
    }
    let (acted, bound) = oldest(without(0, Guard::Age));
    assert!(
        acted > bound,
        "the check catches nothing: {acted} us of {bound}"
    );
}

/// Routers 0 to 4 are cut off from 5 to 8 for a minute; a node dies on one side and another starts again on the other.
fn partition(mut net: Net, minutes: u64) -> (Option<Micros>, Micros) {
    net.joined();
    net.weather = Box::new(|_, from, to, _| {
        if (from < 5) == (to < 5) {
            vec![900]
        } else {
            Vec::new()
        }
    });
    net.run(30 * S);
    let cut = net.seen();
    assert!(
        cut[..5].iter().all(|n| *n == 5) && cut[5..].iter().all(|n| *n == 4),
        "{cut:?}"
    );
    net.fate = Box::new(|_, router, node, _| {
        if router < 5 && **node == *"s4" {
            (AttemptEnd::TimedOut, 200_000)
        } else {
            (AttemptEnd::Success, 5_000)
        }
    });
    let again = Endpoint {
        started_at: Some(net.now),
        ..net.nodes[7].clone()
    };
    for n in 5..9 {
        let now = net.now;
        plovercove::LocalityPolicy::endpoints_changed(
            &mut net.routers[n].observer,
            now,
            &EndpointUpdate::Changes(vec![again.clone()]),
        );
    }
    net.run(30 * S + (minutes - 1) * 60 * S);
    net.weather = calm();
    net.fate = good();
    let bound = net.rules.max_convergence_delay();
    let took = net.until(bound, |net| net.seen().iter().all(|n| *n == 9));
    (took, bound)
}

#[test]
fn two_halves_find_each_other_after_a_long_partition() {
    for seed in 0..4 {
        let (took, bound) = partition(nine(seed), 1);
        assert!(took.is_some(), "seed {seed}: not by {bound} us");
    }
    // Longer than SWIM itself remembers who is down.
    let (took, bound) = partition(nine(5), 12);
    assert!(took.is_some(), "not by {bound} us");
}

/// Twenty-two of sixty-six restart at once while a fifth of the datagrams is lost: how long until all see all?
fn storm(mut net: Net) -> Option<Micros> {
    net.joined();
    net.run(10 * S);
    net.weather = lossy(0.2);
    (0..22).for_each(|n| net.kill(n));
    net.run(S);
    (0..22).for_each(|n| net.start(n));
    net.until(60 * S, |net| net.seen().iter().all(|seen| *seen == 66))
}

#[test]
fn who_missed_that_others_came_back_is_told() {
    let longest = |without: Option<Guard>| {
        let rules = || Rules {
            disabled_guard: without,
            ..Rules::default()
        };
        (0..4)
            .map(|seed| storm(Net::new(66, 2, seed, rules())).unwrap_or(60 * S))
            .max()
            .unwrap_or(0)
    };
    let (with, alone) = (longest(None), longest(Some(Guard::Repair)));
    let bound = Rules {
        routers: 66,
        ..Rules::default()
    }
    .max_convergence_delay();
    eprintln!("{with} us, {alone} us without repair");
    assert!(
        with <= bound && with * 3 / 2 < alone,
        "{with} us of {bound}, {alone} us without repair"
    );
}

/// A router starts after all has been said and nobody says more: does it learn what the others know?
fn late_comer(mut net: Net) -> Option<Micros> {
    net.joined();
    net.kill(8);
    net.fate = dies("s4", net.now);
    let out = |net: &Net| all(&net.levels("s4"), Level::Ejected);
    assert!(net.until(20 * S, out).is_some(), "it is taken out first");
    net.asks = false;
    net.run(5 * S);
    net.start(8);
    net.until(8 * S, out)
}

#[test]
fn who_comes_late_is_told_what_was_said_before() {
    // In the last two an accusation is told again, after a further failure, just when all was said.
    for seed in (0..4).chain([176, 184]) {
        assert!(late_comer(nine(seed)).is_some(), "seed {seed}");
    }
    assert!(
        late_comer(without(0, Guard::Repair)).is_none(),
        "the check catches nothing"
    );
}

/// The only seed dies during a partition: who is there to be called?
fn seedless(mut net: Net) -> Option<Micros> {
    net.joined();
    net.weather = Box::new(|_, from, to, _| {
        if (from < 5) == (to < 5) {
            vec![900]
        } else {
            Vec::new()
        }
    });
    net.run(12 * 60 * S);
    net.kill(0);
    net.weather = calm();
    let bound = net.rules.max_convergence_delay();
    net.until(bound, |net| net.seen().iter().all(|n| *n == 8))
}

#[test]
fn who_was_forgotten_is_tried_again() {
    let rules = || Rules {
        seeds: vec![address(0)],
        ..Rules::default()
    };
    assert!(seedless(Net::new(9, 3, 1, rules())).is_some());
    let lost = seedless(Net::new(
        9,
        3,
        1,
        Rules {
            disabled_guard: Some(Guard::Forgotten),
            ..rules()
        },
    ));
    assert!(lost.is_none(), "the check catches nothing");
}

/// Router 0 says of every node that it fails, and of some that they do so a thousand times.
fn liar(mut net: Net) -> usize {
    net.joined();
    net.fate = Box::new(|_, router, node, _| {
        match (router, &**node) {
            (0, "s1" | "s4") => (AttemptEnd::TimedOut, 200_000),
            // Nobody else has seen anything of them of late.
            (_, "s1" | "s4") => (AttemptEnd::Overloaded, 1),
            _ => (AttemptEnd::Success, 5_000),
        }
    });
    net.run(60 * S);
    net.outs().len()
}

#[test]
fn one_router_that_is_wrong_in_all_it_says_takes_no_node_out() {
    for seed in 0..4 {
        assert_eq!(liar(nine(seed)), 0, "seed {seed}");
        assert_eq!(
            liar(Net::within(|_| "a", 9, 3, seed, Rules::default())),
            0,
            "seed {seed}, all in one zone"
        );
    }
    let believed = Rules {
        disabled_guard: Some(Guard::Observers),
        ..Rules::default()
    };
    assert!(
        liar(Net::within(|_| "a", 9, 3, 0, believed)) > 0,
        "the check catches nothing"
    );
}

/// The routers of one zone cannot reach s4: their link, not the node.
fn one_zone(mut net: Net) -> usize {
    net.joined();
    net.fate = Box::new(|_, router, node, _| {
        match (zone(router), &**node) {
            ("a", "s4") => (AttemptEnd::Unreachable, 200_000),
            // The others have seen nothing of it of late, so that nobody outvotes them.
            (_, "s4") => (AttemptEnd::Overloaded, 1),
            _ => (AttemptEnd::Success, 5_000),
        }
    });
    net.run(60 * S);
    net.outs().len()
}

#[test]
fn routers_behind_one_bad_link_take_no_node_out() {
    for seed in 0..4 {
        assert_eq!(one_zone(nine(seed)), 0, "seed {seed}");
    }
    assert!(
        one_zone(without(0, Guard::OneZone)) > 0,
        "the check catches nothing"
    );
}

/// Two routers in two zones are cut off from most nodes.
fn blind(mut net: Net) -> usize {
    net.joined();
    net.fate = Box::new(|_, router, node, _| {
        if router < 2 && **node != *"s0" && **node != *"s3" {
            (AttemptEnd::Unreachable, 200_000)
        } else if router >= 2 && **node == *"s4" {
            // The others have seen nothing of it of late.
            (AttemptEnd::Overloaded, 1)
        } else {
            (AttemptEnd::Success, 5_000)
        }
    });
    net.run(60 * S);
    net.outs().len()
}

#[test]
fn routers_that_see_most_nodes_fail_blame_themselves() {
    for seed in 0..4 {
        assert_eq!(blind(nine(seed)), 0, "seed {seed}");
    }
    assert!(
        blind(without(0, Guard::Blame)) > 0,
        "the check catches nothing"
    );
}

/// Two routers in two zones are cut off from all nodes but one. The three that they ask least time out first; attempts at the
/// others are under way for so long that their answers from before the cut still count.
fn cut_off_while_attempts_wait(mut net: Net) -> usize {
    let is_rarely_asked = |node: &NodeId| ["s1", "s5", "s7"].contains(&&**node);
    let nothing_yet = (AttemptEnd::Overloaded, 1);
    net.joined();
    net.fate = Box::new(move |_, router, node, _| {
        if is_rarely_asked(node) || router >= 2 {
            nothing_yet
        } else {
            (AttemptEnd::Success, 5_000)
        }
    });
    net.run(10 * S);
    let cut_at = net.now;
    net.fate = Box::new(move |now, router, node, _| match &**node {
        "s0" => (AttemptEnd::Success, 5_000),
        _ if router >= 2 => nothing_yet,
        _ if is_rarely_asked(node) || now > cut_at + 6 * S => (AttemptEnd::TimedOut, 900_000),
        _ => nothing_yet,
    });
    net.run(30 * S);
    net.outs().len()
}

#[test]
fn routers_that_most_nodes_have_not_answered_since_accuse_none() {
    for seed in 0..8 {
        let outs = cut_off_while_attempts_wait(nine(seed));
        assert_eq!(outs, 0, "seed {seed}");
    }
    assert!(
        cut_off_while_attempts_wait(without(0, Guard::Blame)) > 0,
        "the check catches nothing"
    );
}

/// A router is cut off from all for 3 s, and so suspected. It is back just when another router is stopped, for longer than
/// suspicions last, with its buffers full: does that one take it for gone when it wakes?
fn stopped(mut net: Net) -> usize {
    net.joined();
    net.full = true;
    for _ in 0..3 {
        net.weather = Box::new(|_, from, to, _| {
            if from == 5 || to == 5 {
                Vec::new()
            } else {
                vec![900]
            }
        });
        net.run(3 * S);
        net.weather = calm();
        net.stop(3);
        net.run(8 * S);
        net.go_on(3);
        net.run(10 * S);
    }
    assert!(net.seen().iter().all(|n| *n == 9), "{:?}", net.seen());
    net.routers[3]
        .news
        .iter()
        .filter(|(_, news)| matches!(news, GossipEvent::MemberDown(_)))
        .count()
}

#[test]
fn a_router_that_was_stopped_doubts_itself_and_comes_back() {
    let with: usize = (0..6).map(|seed| stopped(nine(seed))).sum();
    let caught: usize = (0..6)
        .map(|seed| stopped(without(seed, Guard::Stopped)))
        .sum();
    eprintln!("{with} with the guard, {caught} without it");
    assert!(
        with * 4 < caught,
        "{with} with the guard, {caught} without it"
    );
}

#[test]
fn seven_in_ten_killed_and_back_at_once_find_each_other() {
    let mut net = Net::new(30, 2, 3, Rules::default());
    net.joined();
    (0..21).for_each(|n| net.kill(n));
    net.run(2 * S);
    (0..21).for_each(|n| net.start(n));
    let took = net.joined();
    assert!(took < net.rules.max_convergence_delay(), "{took} us");
}

#[test]
fn seeds_that_are_all_down_at_the_start_are_asked_again() {
    let mut net = nine(4);
    (0..3).for_each(|n| net.kill(n));
    net.run(20 * S);
    (0..3).for_each(|n| net.start(n));
    assert!(net.joined() < net.rules.max_convergence_delay());
}

#[test]
fn what_is_late_is_old_and_what_was_here_before_counts_no_more() {
    let mut net = nine(6);
    net.joined();
    // A fifth of all datagrams takes 5 s, and a tenth comes twice.
    net.weather = Box::new(|_, _, _, dice| {
        use rand::RngExt;
        let late = if dice.random::<f64>() < 0.2 { 5 * S } else { 0 };
        let again = dice.random::<f64>() < 0.1;
        std::iter::repeat_n(900 + late, 1 + usize::from(again)).collect()
    });
    net.fate = dies("s4", net.now);
    assert!(
        net.until(20 * S, |net| all(&net.levels("s4"), Level::Ejected))
            .is_some()
    );
    net.fate = good();
    let well = net.now;
    net.until(60 * S, |net| !net.levels("s4").contains(&Level::Ejected));
    assert!(
        net.now - well <= net.rules.max_evidence_age(),
        "{} us",
        net.now - well
    );
    assert!(net.seen().iter().all(|n| *n == 9), "{:?}", net.seen());
    net.run(10 * S);
    let counts = net.routers[0].peers.counts();
    assert!(
        counts.late > 0 && counts.dropped.get("replayed").is_some_and(|n| *n > 0),
        "{counts:?}"
    );
}

/// Strangers with another key accuse a node, in the names of routers that do not exist, and send half datagrams.
fn flood(mut net: Net) -> (usize, u64, usize) {
    net.joined();
    // Nobody has seen anything of the node of late, so that nobody outvotes them.
    net.asks = false;
    net.run(30 * S);
    let foreign = keys(b"another key, that of a stranger");
    let seen = Observation {
        no_reply: 50,
        nodes_seen: 9,
        nodes_failing: 1,
        ..Observation::default()
    };
    for seq in 1..=100 {
        for (evil, zone) in [("x1", "a"), ("x2", "b"), ("x3", "c")] {
            let at = address(40 + usize::from(evil.as_bytes()[1]));
            let from = Incarnation {
                address: at,
                boot: BEGIN,
                renewals: 0,
                name: evil.into(),
                zone: zone.into(),
            };
            let record =
                Record::from_observation(&from, seq, &"s4".into(), None, &seen).expect("small");
            let parts = record.part().into_iter().collect();
            let sealed = foreign
                .seal(&Envelope {
                    from,
                    seq,
                    clock_ms: seq * 20,
                    parts,
                })
                .expect("small");
            for n in 0..9 {
                net.inject(n, &sealed);
                net.inject(n, &sealed[..sealed.len() / 2]);
            }
        }
        net.run(S / 50);
    }
    net.run(2 * S);
    let told = net.routers[0]
        .news
        .iter()
        .filter(|(_, news)| matches!(news, GossipEvent::Dropped(..)))
        .count();
    (
        told,
        net.routers[0].peers.counts().dropped.values().sum(),
        net.outs().len(),
    )
}

#[test]
fn a_flood_of_strangers_changes_nothing_and_is_told_in_a_line() {
    let (told, dropped, outs) = flood(nine(7));
    assert!(
        dropped >= 600 && (1..=3).contains(&told) && outs == 0,
        "{told} lines of {dropped}, {outs} outs"
    );
    assert!(
        flood(without(7, Guard::Tag)).2 > 0,
        "the check catches nothing"
    );
}

#[test]
fn a_restart_within_the_suspicion_time_three_times_over_is_no_loss() {
    let mut net = nine(8);
    net.joined();
    for _ in 0..3 {
        net.kill(5);
        net.run(S);
        net.start(5);
    }
    assert!(net.joined() < 10 * S);
}

#[test]
fn a_node_that_is_bad_again_and_again_has_to_prove_more_each_time() {
    let mut net = nine(9);
    net.joined();
    let begun = net.now;
    // Bad for 10 s, good for 20 s.
    net.fate = Box::new(move |now: Time, _, node, _| {
        if **node == *"s4" && (now - begun) % (30 * S) < 10 * S {
            (AttemptEnd::TimedOut, 200_000)
        } else {
            (AttemptEnd::Success, 5_000)
        }
    });
    net.run(120 * S);
    let at = |n: usize| {
        let told = net.routers[n]
            .news
            .iter()
            .filter_map(|(at, news)| match news {
                GossipEvent::Verdict { verdict, .. } => Some((*at, verdict.level)),
                _ => None,
            });
        told.collect::<Vec<_>>()
    };
    // How long it was doubted after each return.
    let told = at(0);
    let proofs: Vec<Micros> = told
        .windows(2)
        .filter(|w| w[0].1 == Level::ReducedWeight && w[1].1 == Level::InService)
        .map(|w| w[1].0 - w[0].0)
        .collect();
    assert!(
        proofs.len() >= 2 && proofs.last() > proofs.first(),
        "{told:?}"
    );
}

#[test]
fn what_a_router_sends_stays_within_its_budget_and_hardly_grows_with_the_fleet() {
    let mut rates = Vec::new();
    for routers in [3, 30, 300] {
        let mut net = Net::new(routers, 8, 1, Rules::default());
        net.fate = Box::new(|_, _, _, _| (AttemptEnd::Success, 5_000));
        net.joined();
        net.run(5 * S);
        let before: Vec<_> = net.routers.iter().map(|r| r.peers.counts().sent).collect();
        net.fate = dies("s4", net.now);
        net.run(10 * S);
        let after: Vec<_> = net.routers.iter().map(|r| r.peers.counts().sent).collect();
        let each = before
            .iter()
            .zip(&after)
            .map(|(b, a)| ((a.0 - b.0) as f64 / 10.0, (a.1 - b.1) as f64 / 10.0));
        let most = each
            .clone()
            .fold((0.0, 0.0), |m: (f64, f64), e| (m.0.max(e.0), m.1.max(e.1)));
        let mean = each.fold((0.0, 0.0), |m, e| {
            (m.0 + e.0 / routers as f64, m.1 + e.1 / routers as f64)
        });
        eprintln!(
            "{routers} routers: {mean:.1?} datagrams and bytes a second each, {most:.1?} at the most"
        );
        assert!(
            most.0 <= f64::from(net.rules.datagrams_per_s)
                && most.1 <= f64::from(net.rules.bytes_per_s)
        );
        let out = net.until(20 * S, |net| all(&net.levels("s4"), Level::Ejected));
        assert!(out.is_some(), "{routers}: {:?}", net.levels("s4"));
        rates.push(mean.0);
    }
    assert!(rates[2] < rates[0] * 10.0, "{rates:?}");
}

#[test]
fn parts_of_other_crates_arrive_by_kind_and_those_that_nobody_takes_are_bounded() {
    let mut net = nine(9);
    net.joined();
    let now = net.now;
    let post = |net: &mut Net, kind, body: Vec<u8>| {
        assert!(
            net.routers[0].peers.send_part(now, address(1), kind, body)
                == payload_kind::RANGE.contains(&kind)
        );
        for (to, bytes) in net.routers[0].peers.take_outgoing() {
            let to = (0..9).find(|n| address(*n) == to).expect("a router");
            net.inject(to, &bytes);
        }
    };
    post(&mut net, payload_kind::LEASE, vec![1, 2, 3]);
    let came = net.routers[1].peers.next_received_part().expect("it came");
    assert_eq!(
        (came.from.name, came.kind, came.body, came.late),
        ("n0".into(), payload_kind::LEASE, vec![1, 2, 3], 0)
    );
    // A kind of peers' own cannot be sent in their name.
    post(&mut net, 2, vec![1]);
    assert_eq!(net.routers[1].peers.next_received_part(), None);
    // Whoever does not ask for them holds no more than one bound of them.
    for n in 0..2_000u32 {
        let told = Envelope {
            from: net.routers[0].peers.identity().clone(),
            seq: 1_000_000 + u64::from(n),
            clock_ms: 1,
            parts: vec![Part {
                kind: payload_kind::FANOUT,
                body: n.to_le_bytes().to_vec(),
            }],
        };
        let bytes = keys(common::KEY).seal(&told).expect("small");
        net.inject(1, &bytes);
    }
    let left: Vec<_> = std::iter::from_fn(|| net.routers[1].peers.next_received_part()).collect();
    assert_eq!(
        (left.len(), left.last().map(|a| a.body.clone())),
        (512, Some(1_999u32.to_le_bytes().to_vec()))
    );
}
