//! Many routers in virtual time. Each test shows that a guard prevents a failure, and most show that the failure occurs with
//! the guard disabled.

mod common;

use common::{BEGIN, Net, S, address, all_succeed, fast_link, keys, lossy_link, node_fails, zone};
use plovercove::{AttemptEnd, Endpoint, EndpointUpdate, Micros, NodeId, Time};
use plovercove_gossip::{
    Envelope, GossipEvent, Guard, Incarnation, Level, Observation, Part, Record, Rules,
    payload_kind,
};

/// Returns nine routers and three groups of nodes.
fn nine_routers(seed: u64) -> Net {
    Net::new(9, 3, seed, Rules::default())
}

/// Returns the same network with a guard disabled.
fn without_guard(seed: u64, guard: Guard) -> Net {
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

fn all_have(levels: &[Level], level: Level) -> bool {
    levels.iter().all(|l| *l == level)
}

#[test]
fn members_find_each_other_and_detect_a_killed_one_in_time() {
    for (routers, within) in [(3, 5), (30, 15)] {
        let mut net = Net::new(routers, 2, 1, Rules::default());
        let took = net.run_until_joined();
        assert!(took < within * S, "{routers} routers took {took} us");
        net.kill(1);
        let rules = net.rules.clone();
        // Each member is probed by another one in nearly every period. Three periods without a probe are rare.
        let bound = (4 * rules.probe_ms + rules.suspect_ms) * 1_000 + 2 * S;
        let missed = net.run_until(bound, |net| {
            net.member_counts().iter().all(|seen| *seen == routers - 1)
        });
        assert!(missed.is_some(), "{:?}", net.member_counts());
    }
}

#[test]
fn leaving_member_is_down_at_once() {
    let mut net = nine_routers(2);
    net.run_until_joined();
    let now = net.now;
    net.routers[4].gossip.leave(now);
    for (to, bytes) in net.routers[4].gossip.take_outgoing() {
        let to = (0..9).find(|n| address(*n) == to).expect("a router");
        net.inject(to, &bytes);
    }
    net.kill(4);
    let took = net.run_until(2 * S, |net| {
        net.member_counts().iter().all(|seen| *seen == 8)
    });
    assert!(took.is_some(), "{:?}", net.member_counts());
}

/// Returns the time from the first failure of a node until all routers eject it while a fifth of the datagrams is lost, and
/// the bound on it.
fn time_to_eject(mut net: Net) -> (Option<Micros>, Micros) {
    net.run_until_joined();
    net.run(5 * S);
    net.link = lossy_link(0.2);
    net.attempt_result = node_fails("s4", net.now);
    // The evidence is complete when two routers in two zones have seen two failures each. Each router sends a request to a
    // node about once per second.
    let bound = net.rules.max_reaction_delay() + 3 * S;
    (
        net.run_until(bound, |net| all_have(&net.levels("s4"), Level::Ejected)),
        bound,
    )
}

#[test]
fn failed_node_is_ejected_by_all_in_time_despite_datagram_loss() {
    for seed in 0..8 {
        let (took, bound) = time_to_eject(nine_routers(seed));
        assert!(took.is_some(), "seed {seed}: not within {bound} us");
    }
}

/// Returns the time until all routers eject a failed node to which only the routers of its zone keep sending requests. One
/// router of another zone sent it two requests. All routers had answers of the node before.
fn time_to_eject_with_requests_of_one_zone(mut net: Net) -> Option<Micros> {
    net.run_until_joined();
    net.run(5 * S);
    let failed_at = net.now;
    let is_near = |router: usize| zone(router) == zone(4);
    let mut requests_from_other_zone = 0;
    net.attempt_result = Box::new(move |_, router, node, _| {
        if **node != *"s4" {
            return (AttemptEnd::Success, 5_000);
        }
        requests_from_other_zone += usize::from(router == 0);
        if is_near(router) || (router == 0 && requests_from_other_zone <= 2) {
            (AttemptEnd::TimedOut, 200_000)
        } else {
            (AttemptEnd::NeverSent, 1)
        }
    });
    let bound = net.rules.max_reaction_delay() + 3 * S;
    net.run_until(bound, |net| all_have(&net.levels("s4"), Level::Ejected))
        .map(|_| net.now - failed_at)
}

#[test]
fn failed_node_is_ejected_if_the_only_observer_outside_its_zone_had_answers_before() {
    for seed in 0..8 {
        let took = time_to_eject_with_requests_of_one_zone(nine_routers(seed));
        assert!(took.is_some(), "seed {seed}: not within the bound");
    }
}

/// Returns for how long any router acts on the last observation of a node, while routers are stalled, cut off and killed, and
/// the bound on it.
fn longest_use_of_evidence(mut net: Net) -> (Micros, Micros) {
    net.run_until_joined();
    net.attempt_result = node_fails("s4", net.now);
    assert!(
        net.run_until(20 * S, |net| all_have(&net.levels("s4"), Level::Ejected))
            .is_some(),
        "the node is ejected first"
    );
    let last = net.now;
    net.sends_requests = false;
    net.kill(8);
    net.link = Box::new(|_, from, to, _| {
        if (from < 4) == (to < 4) {
            vec![900]
        } else {
            Vec::new()
        }
    });
    net.stall(2);
    net.run(10 * S);
    net.resume(2);
    net.run_until(30 * S, |net| !net.levels("s4").contains(&Level::Ejected));
    (net.now - last, net.rules.max_evidence_age())
}

#[test]
fn evidence_expires_by_age() {
    for seed in 0..4 {
        let (acted, bound) = longest_use_of_evidence(nine_routers(seed));
        assert!(acted <= bound, "seed {seed}: {acted} us of {bound}");
    }
    let (acted, bound) = longest_use_of_evidence(without_guard(0, Guard::Age));
    assert!(
        acted > bound,
        "the check passes without the guard: {acted} us of {bound}"
    );
}

/// Cuts routers 0 to 4 off from 5 to 8 for some minutes. On one side a node fails, and on the other side another node
/// restarts. Returns how long the routers need to find each other afterwards, and the bound on it.
fn partition(mut net: Net, minutes: u64) -> (Option<Micros>, Micros) {
    net.run_until_joined();
    net.link = Box::new(|_, from, to, _| {
        if (from < 5) == (to < 5) {
            vec![900]
        } else {
            Vec::new()
        }
    });
    net.run(30 * S);
    let cut = net.member_counts();
    assert!(
        cut[..5].iter().all(|n| *n == 5) && cut[5..].iter().all(|n| *n == 4),
        "{cut:?}"
    );
    net.attempt_result = Box::new(|_, router, node, _| {
        if router < 5 && **node == *"s4" {
            (AttemptEnd::TimedOut, 200_000)
        } else {
            (AttemptEnd::Success, 5_000)
        }
    });
    let restarted = Endpoint {
        started_at: Some(net.now),
        ..net.nodes[7].clone()
    };
    for n in 5..9 {
        let now = net.now;
        plovercove::LocalityPolicy::endpoints_changed(
            &mut net.routers[n].observer,
            now,
            &EndpointUpdate::Changes(vec![restarted.clone()]),
        );
    }
    net.run(30 * S + (minutes - 1) * 60 * S);
    net.link = fast_link();
    net.attempt_result = all_succeed();
    let bound = net.rules.max_convergence_delay();
    let took = net.run_until(bound, |net| net.member_counts().iter().all(|n| *n == 9));
    (took, bound)
}

#[test]
fn members_find_each_other_after_a_long_partition() {
    for seed in 0..4 {
        let (took, bound) = partition(nine_routers(seed), 1);
        assert!(took.is_some(), "seed {seed}: not within {bound} us");
    }
    // The second partition is longer than the SWIM implementation remembers members that are down.
    let (took, bound) = partition(nine_routers(5), 12);
    assert!(took.is_some(), "not within {bound} us");
}

/// Restarts 22 of 66 routers at once while a fifth of the datagrams is lost. Returns the time until all routers see all
/// others.
fn time_to_rejoin(mut net: Net) -> Option<Micros> {
    net.run_until_joined();
    net.run(10 * S);
    net.link = lossy_link(0.2);
    (0..22).for_each(|n| net.kill(n));
    net.run(S);
    (0..22).for_each(|n| net.start(n));
    net.run_until(60 * S, |net| {
        net.member_counts().iter().all(|seen| *seen == 66)
    })
}

#[test]
fn repair_delivers_missed_rejoins() {
    let longest = |disabled_guard: Option<Guard>| {
        let rules = || Rules {
            disabled_guard,
            ..Rules::default()
        };
        (0..4)
            .map(|seed| time_to_rejoin(Net::new(66, 2, seed, rules())).unwrap_or(60 * S))
            .max()
            .unwrap_or(0)
    };
    let (with_repair, without_repair) = (longest(None), longest(Some(Guard::Repair)));
    let bound = Rules {
        routers: 66,
        ..Rules::default()
    }
    .max_convergence_delay();
    eprintln!("{with_repair} us, {without_repair} us without repair");
    assert!(
        with_repair <= bound && with_repair * 3 / 2 < without_repair,
        "{with_repair} us of {bound}, {without_repair} us without repair"
    );
}

/// Starts a router after all observations were sent and no router sends more. Returns the time until it has the records of the
/// others.
fn time_to_catch_up(mut net: Net) -> Option<Micros> {
    net.run_until_joined();
    net.kill(8);
    net.attempt_result = node_fails("s4", net.now);
    let is_ejected = |net: &Net| all_have(&net.levels("s4"), Level::Ejected);
    assert!(
        net.run_until(20 * S, is_ejected).is_some(),
        "the node is ejected first"
    );
    net.sends_requests = false;
    net.run(5 * S);
    net.start(8);
    net.run_until(8 * S, is_ejected)
}

#[test]
fn late_member_gets_earlier_records() {
    // With the last two seeds, an accusation is repeated after a further failure just when all observations were sent.
    for seed in (0..4).chain([176, 184]) {
        assert!(
            time_to_catch_up(nine_routers(seed)).is_some(),
            "seed {seed}"
        );
    }
    assert!(
        time_to_catch_up(without_guard(0, Guard::Repair)).is_none(),
        "the check passes without the guard"
    );
}

/// Kills the only seed during a partition. Returns the time until the other routers see each other afterwards.
fn time_to_rejoin_without_seed(mut net: Net) -> Option<Micros> {
    net.run_until_joined();
    net.link = Box::new(|_, from, to, _| {
        if (from < 5) == (to < 5) {
            vec![900]
        } else {
            Vec::new()
        }
    });
    net.run(12 * 60 * S);
    net.kill(0);
    net.link = fast_link();
    let bound = net.rules.max_convergence_delay();
    net.run_until(bound, |net| net.member_counts().iter().all(|n| *n == 8))
}

#[test]
fn former_members_are_contacted_again() {
    let rules = || Rules {
        seeds: vec![address(0)],
        ..Rules::default()
    };
    assert!(time_to_rejoin_without_seed(Net::new(9, 3, 1, rules())).is_some());
    let without_guard = time_to_rejoin_without_seed(Net::new(
        9,
        3,
        1,
        Rules {
            disabled_guard: Some(Guard::Forgotten),
            ..rules()
        },
    ));
    assert!(
        without_guard.is_none(),
        "the check passes without the guard"
    );
}

/// Returns the number of ejections if router 0 alone reports that nodes fail, again and again.
fn ejections_by_one_wrong_router(mut net: Net) -> usize {
    net.run_until_joined();
    net.attempt_result = Box::new(|_, router, node, _| {
        match (router, &**node) {
            (0, "s1" | "s4") => (AttemptEnd::TimedOut, 200_000),
            // The other routers have no recent observations of these nodes.
            (_, "s1" | "s4") => (AttemptEnd::Overloaded, 1),
            _ => (AttemptEnd::Success, 5_000),
        }
    });
    net.run(60 * S);
    net.ejections().len()
}

#[test]
fn one_wrong_router_ejects_no_node() {
    for seed in 0..4 {
        assert_eq!(
            ejections_by_one_wrong_router(nine_routers(seed)),
            0,
            "seed {seed}"
        );
        assert_eq!(
            ejections_by_one_wrong_router(Net::with_zones(|_| "a", 9, 3, seed, Rules::default())),
            0,
            "seed {seed}, all in one zone"
        );
    }
    let rules = Rules {
        disabled_guard: Some(Guard::Observers),
        ..Rules::default()
    };
    assert!(
        ejections_by_one_wrong_router(Net::with_zones(|_| "a", 9, 3, 0, rules)) > 0,
        "the check passes without the guard"
    );
}

/// Returns the number of ejections if the routers of one zone cannot reach the node s4 because of their link.
fn ejections_by_one_zone(mut net: Net) -> usize {
    net.run_until_joined();
    net.attempt_result = Box::new(|_, router, node, _| {
        match (zone(router), &**node) {
            ("a", "s4") => (AttemptEnd::Unreachable, 200_000),
            // The other routers have no recent observations of the node, so they do not outvote the accusers.
            (_, "s4") => (AttemptEnd::Overloaded, 1),
            _ => (AttemptEnd::Success, 5_000),
        }
    });
    net.run(60 * S);
    net.ejections().len()
}

#[test]
fn routers_behind_one_bad_link_eject_no_node() {
    for seed in 0..4 {
        assert_eq!(ejections_by_one_zone(nine_routers(seed)), 0, "seed {seed}");
    }
    assert!(
        ejections_by_one_zone(without_guard(0, Guard::OneZone)) > 0,
        "the check passes without the guard"
    );
}

/// Returns the number of ejections if two routers in two zones are cut off from most nodes.
fn ejections_by_routers_cut_off(mut net: Net) -> usize {
    net.run_until_joined();
    net.attempt_result = Box::new(|_, router, node, _| {
        if router < 2 && **node != *"s0" && **node != *"s3" {
            (AttemptEnd::Unreachable, 200_000)
        } else if router >= 2 && **node == *"s4" {
            // The other routers have no recent observations of the node.
            (AttemptEnd::Overloaded, 1)
        } else {
            (AttemptEnd::Success, 5_000)
        }
    });
    net.run(60 * S);
    net.ejections().len()
}

#[test]
fn routers_that_see_most_nodes_fail_eject_no_node() {
    for seed in 0..4 {
        assert_eq!(
            ejections_by_routers_cut_off(nine_routers(seed)),
            0,
            "seed {seed}"
        );
    }
    assert!(
        ejections_by_routers_cut_off(without_guard(0, Guard::Blame)) > 0,
        "the check passes without the guard"
    );
}

/// Returns the number of ejections if two routers in two zones are cut off from all nodes but one.
///
/// Attempts at the three nodes with the fewest requests time out first. Attempts at the other nodes stay pending for so long
/// that the answers of these nodes from before the cut still count.
fn ejections_while_attempts_are_pending(mut net: Net) -> usize {
    let gets_few_requests = |node: &NodeId| ["s1", "s5", "s7"].contains(&&**node);
    let no_result_yet = (AttemptEnd::Overloaded, 1);
    net.run_until_joined();
    net.attempt_result = Box::new(move |_, router, node, _| {
        if gets_few_requests(node) || router >= 2 {
            no_result_yet
        } else {
            (AttemptEnd::Success, 5_000)
        }
    });
    net.run(10 * S);
    let cut_at = net.now;
    net.attempt_result = Box::new(move |now, router, node, _| match &**node {
        "s0" => (AttemptEnd::Success, 5_000),
        _ if router >= 2 => no_result_yet,
        _ if gets_few_requests(node) || now > cut_at + 6 * S => (AttemptEnd::TimedOut, 900_000),
        _ => no_result_yet,
    });
    net.run(30 * S);
    net.ejections().len()
}

#[test]
fn routers_that_are_cut_off_with_attempts_pending_accuse_no_node() {
    for seed in 0..8 {
        let ejections = ejections_while_attempts_are_pending(nine_routers(seed));
        assert_eq!(ejections, 0, "seed {seed}");
    }
    assert!(
        ejections_while_attempts_are_pending(without_guard(0, Guard::Blame)) > 0,
        "the check passes without the guard"
    );
}

/// Returns the number of members that a stalled router reports as down.
///
/// Another router is cut off from all others for 3 s and is suspected. When it is connected again, the first router stalls
/// for longer than a suspicion lasts, and its full buffers drop the datagrams that would refute the suspicion.
fn members_reported_down_after_a_stall(mut net: Net) -> usize {
    net.run_until_joined();
    net.drops_while_stalled = true;
    for _ in 0..3 {
        net.link = Box::new(|_, from, to, _| {
            if from == 5 || to == 5 {
                Vec::new()
            } else {
                vec![900]
            }
        });
        net.run(3 * S);
        net.link = fast_link();
        net.stall(3);
        net.run(8 * S);
        net.resume(3);
        net.run(10 * S);
    }
    assert!(
        net.member_counts().iter().all(|n| *n == 9),
        "{:?}",
        net.member_counts()
    );
    net.routers[3]
        .events
        .iter()
        .filter(|(_, event)| matches!(event, GossipEvent::MemberDown(_)))
        .count()
}

#[test]
fn stalled_router_does_not_report_members_down() {
    let with_guard: usize = (0..6)
        .map(|seed| members_reported_down_after_a_stall(nine_routers(seed)))
        .sum();
    let without: usize = (0..6)
        .map(|seed| members_reported_down_after_a_stall(without_guard(seed, Guard::Stopped)))
        .sum();
    eprintln!("{with_guard} with the guard, {without} without it");
    assert!(
        with_guard * 4 < without,
        "{with_guard} with the guard, {without} without it"
    );
}

#[test]
fn members_find_each_other_after_seven_in_ten_restart() {
    let mut net = Net::new(30, 2, 3, Rules::default());
    net.run_until_joined();
    (0..21).for_each(|n| net.kill(n));
    net.run(2 * S);
    (0..21).for_each(|n| net.start(n));
    let took = net.run_until_joined();
    assert!(took < net.rules.max_convergence_delay(), "{took} us");
}

#[test]
fn seeds_that_are_down_at_the_start_are_contacted_again() {
    let mut net = nine_routers(4);
    (0..3).for_each(|n| net.kill(n));
    net.run(20 * S);
    (0..3).for_each(|n| net.start(n));
    assert!(net.run_until_joined() < net.rules.max_convergence_delay());
}

#[test]
fn late_datagrams_age_their_records_and_duplicates_do_not_count() {
    let mut net = nine_routers(6);
    net.run_until_joined();
    // A fifth of all datagrams takes 5 s, and a tenth arrives twice.
    net.link = Box::new(|_, _, _, rng| {
        use rand::RngExt;
        let delay = if rng.random::<f64>() < 0.2 { 5 * S } else { 0 };
        let is_duplicated = rng.random::<f64>() < 0.1;
        std::iter::repeat_n(900 + delay, 1 + usize::from(is_duplicated)).collect()
    });
    net.attempt_result = node_fails("s4", net.now);
    assert!(
        net.run_until(20 * S, |net| all_have(&net.levels("s4"), Level::Ejected))
            .is_some()
    );
    net.attempt_result = all_succeed();
    let recovered_at = net.now;
    net.run_until(60 * S, |net| !net.levels("s4").contains(&Level::Ejected));
    assert!(
        net.now - recovered_at <= net.rules.max_evidence_age(),
        "{} us",
        net.now - recovered_at
    );
    assert!(
        net.member_counts().iter().all(|n| *n == 9),
        "{:?}",
        net.member_counts()
    );
    net.run(10 * S);
    let counts = net.routers[0].gossip.counts();
    assert!(
        counts.late > 0 && counts.dropped.get("replayed").is_some_and(|n| *n > 0),
        "{counts:?}"
    );
}

/// Sends datagrams with another key, in the names of routers that do not exist, which accuse a node, and also their first
/// halves. Returns the number of events about them, of dropped datagrams and of ejections.
fn flood_with_another_key(mut net: Net) -> (usize, u64, usize) {
    net.run_until_joined();
    // The routers have no recent observations of the node, so they would not outvote the accusations.
    net.sends_requests = false;
    net.run(30 * S);
    let foreign = keys(b"another key, that of a stranger");
    let observation = Observation {
        no_reply: 50,
        nodes_seen: 9,
        nodes_failing: 1,
        ..Observation::default()
    };
    for seq in 1..=100 {
        for (attacker, zone) in [("x1", "a"), ("x2", "b"), ("x3", "c")] {
            let sender = address(40 + usize::from(attacker.as_bytes()[1]));
            let from = Incarnation {
                address: sender,
                boot: BEGIN,
                renewals: 0,
                name: attacker.into(),
                zone: zone.into(),
            };
            let record = Record::from_observation(&from, seq, &"s4".into(), None, &observation)
                .expect("small");
            let parts = record.to_part().into_iter().collect();
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
    let events = net.routers[0]
        .events
        .iter()
        .filter(|(_, event)| matches!(event, GossipEvent::Dropped(..)))
        .count();
    (
        events,
        net.routers[0].gossip.counts().dropped.values().sum(),
        net.ejections().len(),
    )
}

#[test]
fn datagrams_with_another_key_change_nothing_and_are_logged_rarely() {
    let (events, dropped, ejections) = flood_with_another_key(nine_routers(7));
    assert!(
        dropped >= 600 && (1..=3).contains(&events) && ejections == 0,
        "{events} events about {dropped} datagrams, {ejections} ejections"
    );
    assert!(
        flood_with_another_key(without_guard(7, Guard::Tag)).2 > 0,
        "the check passes without the guard"
    );
}

#[test]
fn repeated_restarts_within_the_suspicion_time_lose_no_member() {
    let mut net = nine_routers(8);
    net.run_until_joined();
    for _ in 0..3 {
        net.kill(5);
        net.run(S);
        net.start(5);
    }
    assert!(net.run_until_joined() < 10 * S);
}

#[test]
fn probation_of_a_flapping_node_grows() {
    let mut net = nine_routers(9);
    net.run_until_joined();
    let start = net.now;
    // The node fails for 10 s and serves for 20 s, again and again.
    net.attempt_result = Box::new(move |now: Time, _, node, _| {
        if **node == *"s4" && (now - start) % (30 * S) < 10 * S {
            (AttemptEnd::TimedOut, 200_000)
        } else {
            (AttemptEnd::Success, 5_000)
        }
    });
    net.run(120 * S);
    let levels_at = |n: usize| {
        let levels = net.routers[n]
            .events
            .iter()
            .filter_map(|(at, event)| match event {
                GossipEvent::Verdict { verdict, .. } => Some((*at, verdict.level)),
                _ => None,
            });
        levels.collect::<Vec<_>>()
    };
    // Duration of the probation after each return.
    let levels = levels_at(0);
    let probations: Vec<Micros> = levels
        .windows(2)
        .filter(|w| w[0].1 == Level::ReducedWeight && w[1].1 == Level::InService)
        .map(|w| w[1].0 - w[0].0)
        .collect();
    assert!(
        probations.len() >= 2 && probations.last() > probations.first(),
        "{levels:?}"
    );
}

#[test]
fn sent_datagrams_stay_within_budget_and_hardly_grow_with_the_fleet() {
    let mut rates = Vec::new();
    for routers in [3, 30, 300] {
        let mut net = Net::new(routers, 8, 1, Rules::default());
        net.attempt_result = Box::new(|_, _, _, _| (AttemptEnd::Success, 5_000));
        net.run_until_joined();
        net.run(5 * S);
        let before: Vec<_> = net
            .routers
            .iter()
            .map(|router| router.gossip.counts().sent)
            .collect();
        net.attempt_result = node_fails("s4", net.now);
        net.run(10 * S);
        let after: Vec<_> = net
            .routers
            .iter()
            .map(|router| router.gossip.counts().sent)
            .collect();
        let rates_of_routers = before
            .iter()
            .zip(&after)
            .map(|(b, a)| ((a.0 - b.0) as f64 / 10.0, (a.1 - b.1) as f64 / 10.0));
        let max = rates_of_routers
            .clone()
            .fold((0.0, 0.0), |m: (f64, f64), e| (m.0.max(e.0), m.1.max(e.1)));
        let mean = rates_of_routers.fold((0.0, 0.0), |m, e| {
            (m.0 + e.0 / routers as f64, m.1 + e.1 / routers as f64)
        });
        eprintln!(
            "{routers} routers: {mean:.1?} datagrams and bytes per second on average, {max:.1?} at most"
        );
        assert!(
            max.0 <= f64::from(net.rules.datagrams_per_s)
                && max.1 <= f64::from(net.rules.bytes_per_s)
        );
        let out = net.run_until(20 * S, |net| all_have(&net.levels("s4"), Level::Ejected));
        assert!(out.is_some(), "{routers}: {:?}", net.levels("s4"));
        rates.push(mean.0);
    }
    assert!(rates[2] < rates[0] * 10.0, "{rates:?}");
}

#[test]
fn parts_of_other_crates_arrive_and_untaken_ones_are_bounded() {
    let mut net = nine_routers(9);
    net.run_until_joined();
    let now = net.now;
    let send = |net: &mut Net, kind, body: Vec<u8>| {
        assert!(
            net.routers[0].gossip.send_part(now, address(1), kind, body)
                == payload_kind::RANGE.contains(&kind)
        );
        for (to, bytes) in net.routers[0].gossip.take_outgoing() {
            let to = (0..9).find(|n| address(*n) == to).expect("a router");
            net.inject(to, &bytes);
        }
    };
    send(&mut net, payload_kind::LEASE, vec![1, 2, 3]);
    let received = net.routers[1]
        .gossip
        .next_received_part()
        .expect("the part arrives");
    assert_eq!(
        (
            received.from.name,
            received.kind,
            received.body,
            received.late
        ),
        ("n0".into(), payload_kind::LEASE, vec![1, 2, 3], 0)
    );
    // A kind that gossip itself uses cannot be sent this way.
    send(&mut net, 2, vec![1]);
    assert_eq!(net.routers[1].gossip.next_received_part(), None);
    // If the parts are not taken, only a bounded number waits.
    for n in 0..2_000u32 {
        let envelope = Envelope {
            from: net.routers[0].gossip.identity().clone(),
            seq: 1_000_000 + u64::from(n),
            clock_ms: 1,
            parts: vec![Part {
                kind: payload_kind::FANOUT,
                body: n.to_le_bytes().to_vec(),
            }],
        };
        let bytes = keys(common::KEY).seal(&envelope).expect("small");
        net.inject(1, &bytes);
    }
    let waiting: Vec<_> =
        std::iter::from_fn(|| net.routers[1].gossip.next_received_part()).collect();
    assert_eq!(
        (waiting.len(), waiting.last().map(|part| part.body.clone())),
        (512, Some(1_999u32.to_le_bytes().to_vec()))
    );
}
