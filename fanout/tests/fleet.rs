//! Scenarios with several gateways, publishers and subscribers in virtual time. Each scenario shows that a guard
//! prevents a failure, and that the failure occurs when the guard is switched off.

mod common;

use common::{Network, SECOND, address, lossy_conditions, normal_conditions, partitioned};
use plovercove::Micros;
use plovercove_fanout::{Guard, Rules, SubscriptionEvent};
use plovercove_fencing::Token;

fn rules_without(guard: Guard) -> Rules {
    Rules {
        disabled_guard: Some(guard),
        ..Rules::default()
    }
}

/// Creates a network with ten subscribers in each zone, with three topics each.
fn network_of_thirty(seed: u64, rules: Rules) -> Network {
    let mut network = Network::new(seed, rules);
    for n in 0..30 {
        let node_topic = format!("nodes/{}", n % 4);
        network.add_client(
            &format!("r{n}"),
            n % 3,
            &["positions/1", "role/1", &node_topic],
        );
    }
    network
}

fn run_until_correct(network: &mut Network) {
    let took = network.run_until(20 * SECOND, Network::lists_are_correct);
    assert!(took.is_some(), "{:?}", network.list_differences());
}

/// Returns the host of a subscriber.
fn host(n: usize) -> usize {
    n + 3
}

#[test]
fn items_reach_all_subscribers_once_and_in_order() {
    let mut network = network_of_thirty(1, Rules::default());
    let publisher = network.add_publisher();
    network.notify_lease_holders();
    run_until_correct(&mut network);
    for n in 0..50u8 {
        network.publish(publisher, "role/1", Token(1), &[n]);
        network.publish(publisher, "positions/1", Token(1), &[n]);
        network.run_for(SECOND / 5);
    }
    network.run_for(5 * SECOND);
    for n in 0..30 {
        assert_eq!(network.event_fault(host(n)), None);
        let states = network.hosts[host(n)].events.iter().filter(
            |(_, event)| matches!(event, SubscriptionEvent::Item { topic, .. } if topic.name() == "role/1"),
        );
        assert_eq!(states.count(), 50);
        assert_eq!(
            network
                .client(host(n))
                .last_received(&common::topic("positions/1")),
            Some((Token(1), 50))
        );
    }
}

/// Separates zone a's gateway from the others for a minute, in which subscribers move, leave, restart and join. Returns
/// how long after the partition the lists were correct, the bound for that time, whether the lists were still correct
/// ten seconds later, and the differences at the bound.
fn partition(seed: u64, rules: Rules) -> (Option<Micros>, Micros, bool, Vec<String>) {
    let mut network = network_of_thirty(seed, rules);
    run_until_correct(&mut network);
    network.conditions = partitioned(|from, to| from == 0 && (to == 1 || to == 2));
    network.run_for(5 * SECOND);
    // Subscriber n is in zone n modulo 3. Subscribers 0 and 3 move, 6 and 4 leave and stop, 9 moves away and back.
    network.move_client(host(0), 1);
    network.move_client(host(3), 2);
    network.move_client(host(9), 1);
    for n in [6, 4] {
        network.with_client(host(n), |client, now| client.leave(now));
    }
    network.run_for(10 * SECOND);
    assert!(network.client(host(6)).is_confirmed() && network.client(host(4)).is_confirmed());
    network.kill(host(6));
    network.kill(host(4));
    network.move_client(host(9), 0);
    // A new incarnation of a name on the other side of the partition, and a new name.
    network.add_client("r12", 2, &["owners"]);
    network.add_client("new", 0, &["owners", "role/1"]);
    network.run_for(45 * SECOND);
    let bound = network.rules.convergence_bound(30, 3);
    network.conditions = normal_conditions();
    let took = network.run_until(bound, Network::lists_are_correct);
    let differences = network.list_differences();
    network.run_for(10 * SECOND);
    (took, bound, network.lists_are_correct(), differences)
}

#[test]
fn lists_are_correct_after_a_partition_with_moves_and_leaves() {
    for seed in 0..10 {
        let (took, bound, stays_correct, differences) = partition(seed, Rules::default());
        assert!(
            took.is_some() && stays_correct,
            "seed {seed}: lists are wrong after {bound} us: {differences:?}"
        );
    }
}

#[test]
fn without_tombstones_order_or_repair_the_lists_are_wrong() {
    for guard in [Guard::Tombstone, Guard::Order, Guard::Repair] {
        let caught = (0..5).any(|seed| {
            let (took, _, stays_correct, _) = partition(seed, rules_without(guard));
            took.is_none() || !stays_correct
        });
        assert!(
            caught,
            "{guard:?}: the check does not notice the disabled guard"
        );
    }
}

/// Kills a subscriber that has not unsubscribed. Returns whether it is still listed after its lease.
fn stays_listed_after_death(rules: Rules) -> bool {
    let mut network = network_of_thirty(3, rules);
    run_until_correct(&mut network);
    network.kill(host(5));
    let lease = network.rules.subscriber_lease(10);
    network
        .run_until(lease + 2 * SECOND, Network::lists_are_correct)
        .is_none()
}

#[test]
fn a_subscriber_that_does_not_renew_expires() {
    assert!(!stays_listed_after_death(Rules::default()));
    assert!(
        stays_listed_after_death(rules_without(Guard::Expiry)),
        "the check does not notice the disabled guard"
    );
}

/// Stops zone a's gateway for a minute, during which another router acquires its lease; then the former gateway
/// resumes. Returns whether the lists stay correct afterwards, how many proposed entries the new gateway took, how
/// often another gateway rejected the former one, and the network.
fn resume_former_gateway(rules: Rules) -> (bool, u64, u64, Network) {
    let mut network = network_of_thirty(4, rules);
    let publisher = network.add_publisher();
    let standby = network.add_gateway(0);
    network.notify_lease_holders();
    run_until_correct(&mut network);
    network.publish(publisher, "role/1", Token(1), b"before");
    network.stop(0);
    network.run_for(SECOND);
    network.lease_holders[0] = (standby, Token(2));
    // One subscriber is not notified of the new gateway, and subscribes at the former one.
    network.with_client(host(3), |client, _| {
        client
            .subscribe(&common::topic("owners"))
            .expect("fewer topics than the maximum")
    });
    for n in (0..network.hosts.len()).filter(|n| *n != 0 && *n != host(3)) {
        network.notify_lease_holders_to(n);
    }
    network.run_for(60 * SECOND);
    network.resume(0);
    network.run_for(SECOND / 2);
    network.notify_lease_holders_to(0);
    network.run_for(SECOND / 2);
    let (proposed, rejected) = (
        network.gateway(standby).counts().requests,
        network.gateway(1).counts().refused,
    );
    network.notify_lease_holders_to(host(3));
    network.run_for(10 * SECOND);
    let mut lists_stay_correct = true;
    for _ in 0..40 {
        lists_stay_correct &= network.lists_are_correct();
        network.run_for(SECOND / 10);
    }
    (lists_stay_correct, proposed, rejected, network)
}

#[test]
fn a_former_gateway_that_resumes_is_rejected_and_its_entries_are_proposed() {
    let (lists_stay_correct, proposed, rejected, network) = resume_former_gateway(Rules::default());
    assert!(lists_stay_correct, "{:?}", network.list_differences());
    assert!(
        proposed > 0 && rejected > 0,
        "proposed {proposed}, rejected {rejected}"
    );
    assert!(!network.gateway(0).holds_lease());
    assert!(
        resume_former_gateway(rules_without(Guard::Fence)).2 == 0,
        "the check does not notice the disabled guard"
    );
}

/// Stops the publisher of a watch and lets another one take over; then the former one resumes and continues to publish.
/// Returns whether the numbers of any subscriber went back.
fn former_publisher_reverses_events(rules: Rules) -> bool {
    let mut network = network_of_thirty(5, rules);
    let (old, new) = (network.add_publisher(), network.add_publisher());
    network.notify_lease_holders();
    run_until_correct(&mut network);
    for n in 0..20u8 {
        network.publish(old, "role/1", Token(1), &[n]);
    }
    network.run_for(2 * SECOND);
    network.stop(old);
    for n in 0..5u8 {
        network.publish(new, "role/1", Token(2), &[n]);
        network.run_for(SECOND / 5);
    }
    network.resume(old);
    for n in 0..5u8 {
        network.publish(old, "role/1", Token(1), &[n]);
        network.publish(new, "role/1", Token(2), &[n]);
        network.run_for(SECOND);
    }
    (0..30).any(|n| network.event_fault(host(n)).is_some())
}

#[test]
fn a_former_lease_holder_of_a_watch_is_rejected() {
    assert!(!former_publisher_reverses_events(Rules::default()));
    assert!(
        former_publisher_reverses_events(rules_without(Guard::Fence)),
        "the check does not notice the disabled guard"
    );
}

/// Loses a fifth of the datagrams, duplicates a fifth and delays some. Returns what is wrong with a subscriber's
/// events, or whether any subscriber did not get the last number in time.
fn find_unfilled_gap(seed: u64, rules: Rules) -> Option<String> {
    let mut network = network_of_thirty(seed, rules);
    let publisher = network.add_publisher();
    network.notify_lease_holders();
    run_until_correct(&mut network);
    network.conditions = lossy_conditions(0.2);
    for n in 0..60u8 {
        network.publish(publisher, "role/1", Token(1), &[n]);
        network.publish(publisher, "positions/1", Token(1), &[n]);
        network.run_for(SECOND / 4);
    }
    let has_last = |network: &Network, n: usize| {
        ["role/1", "positions/1"].iter().all(|t| {
            network.client(host(n)).last_received(&common::topic(t)) == Some((Token(1), 60))
        })
    };
    let all_have_last = |network: &Network| (0..30).all(|n| has_last(network, n));
    let took = network.run_until(network.rules.staleness_bound(10), all_have_last);
    if took.is_none() {
        return Some("not all subscribers received the last number".into());
    }
    (0..30).find_map(|n| network.event_fault(host(n)))
}

#[test]
fn gaps_are_filled_or_reported() {
    for seed in 0..10 {
        assert_eq!(
            find_unfilled_gap(seed, Rules::default()),
            None,
            "seed {seed}"
        );
    }
    assert!(
        find_unfilled_gap(0, rules_without(Guard::Gap)).is_some(),
        "the check does not notice the disabled guard"
    );
}

/// A subscriber subscribes, unsubscribes, subscribes again and unsubscribes again. The second subscription is delayed
/// by a minute. Returns whether the lists are wrong at its arrival, before a renewal could correct them.
fn delayed_declaration_revives(seed: u64, rules: Rules) -> bool {
    let mut network = network_of_thirty(seed, rules);
    run_until_correct(&mut network);
    let topic = common::topic("owners");
    for conditions in [
        normal_conditions(),
        Box::new(|_, from, _, _| vec![if from == host(0) { 60 * SECOND } else { 1_000 }]),
    ] {
        network.conditions = conditions;
        network.with_client(host(0), |client, _| {
            client
                .subscribe(&topic)
                .expect("fewer topics than the maximum")
        });
        network.run_for(SECOND / 20);
        network.conditions = normal_conditions();
        network.with_client(host(0), |client, _| client.unsubscribe(&topic));
        network.run_for(SECOND);
        run_until_correct(&mut network);
    }
    network
        .run_until(60 * SECOND, |network| !network.lists_are_correct())
        .is_some()
}

#[test]
fn a_delayed_declaration_does_not_undo_a_later_unsubscription() {
    for seed in 0..10 {
        assert!(
            !delayed_declaration_revives(seed, Rules::default()),
            "seed {seed}: the subscription was revived"
        );
    }
    assert!(
        (0..10).any(|seed| delayed_declaration_revives(seed, rules_without(Guard::Order))),
        "the check does not notice the disabled guard"
    );
}

/// Stops a subscriber and loses its datagrams while many items are published. Returns the number of positions and of
/// changes of state that it gets afterwards, whether it was notified that it missed some, and how many items its
/// gateway retained.
fn stall_subscriber(rules: Rules) -> (usize, usize, bool, u64) {
    let mut network = network_of_thirty(6, rules);
    let publisher = network.add_publisher();
    network.notify_lease_holders();
    run_until_correct(&mut network);
    network.publish(publisher, "role/1", Token(1), &[0]);
    network.run_for(SECOND);
    network.drops_when_stopped = true;
    let before = network.hosts[host(0)].events.len();
    network.stop(host(0));
    for n in 0..200u8 {
        network.publish(publisher, "role/1", Token(1), &[n]);
        network.publish(publisher, "positions/1", Token(1), &[n]);
        network.run_for(SECOND / 10);
    }
    network.resume(host(0));
    network.run_for(25 * SECOND);
    assert_eq!(network.event_fault(host(0)), None);
    let count = |topic: &str| {
        let is_of_topic = |event: &SubscriptionEvent| matches!(event, SubscriptionEvent::Item { topic: t, .. } if t.name() == topic);
        network.hosts[host(0)].events[before..]
            .iter()
            .filter(|(_, event)| is_of_topic(event))
            .count()
    };
    let is_missed = |event: &SubscriptionEvent| matches!(event, SubscriptionEvent::Missed { topic, .. } if topic.name() == "role/1");
    let missed = network.hosts[host(0)].events[before..]
        .iter()
        .any(|(_, event)| is_missed(event));
    (
        count("positions/1"),
        count("role/1"),
        missed,
        network.gateway(0).counts().held,
    )
}

#[test]
fn a_stalled_subscriber_gets_the_newest_position_and_is_notified_of_missed_items() {
    let rules = Rules::default();
    let (positions, states, missed, retained) = stall_subscriber(rules.clone());
    assert!(positions <= 2, "{positions} positions");
    assert!(
        states <= rules.retained_items && missed,
        "{states} states, missed {missed}"
    );
    assert!(
        retained <= rules.retained_items as u64 + 1,
        "{retained} retained"
    );
    assert!(
        stall_subscriber(rules_without(Guard::Collapse)).0 > 2,
        "the check does not notice the disabled guard"
    );
    assert!(
        stall_subscriber(rules_without(Guard::Queue)).3 > rules.retained_items as u64 + 1,
        "the check does not notice the disabled guard"
    );
}

/// Cuts off 500 listeners of one zone from their gateway for a minute. Returns the maximum number of datagrams per
/// second that arrive at the gateway afterwards, and whether the lists are correct within a lease.
fn renew_after_partition(rules: Rules) -> (usize, bool) {
    let mut network = Network::new(7, rules);
    for n in 0..500 {
        network.add_client(&format!("l{n}"), 0, &["role/1"]);
    }
    let took = network.run_until(60 * SECOND, Network::lists_are_correct);
    if took.is_none() && network.rules.disabled_guard.is_none() {
        panic!("{:?}", network.list_differences());
    }
    network.conditions = partitioned(|from, _| from == 0);
    network.run_for(60 * SECOND);
    network.conditions = normal_conditions();
    network.arrivals.clear();
    let from = network.now;
    network.run_for(network.rules.subscriber_lease(500));
    let arrivals = &network.arrivals[&0];
    let max_datagrams = (0..60)
        .map(|s| {
            arrivals
                .iter()
                .filter(|at| (**at - from) / SECOND == s)
                .count()
        })
        .max();
    (max_datagrams.unwrap_or(0), network.lists_are_correct())
}

#[test]
fn renewals_after_a_partition_do_not_come_in_a_burst() {
    let (max_datagrams, equal) = renew_after_partition(Rules::default());
    println!("500 listeners: {max_datagrams} datagrams in the busiest second after the partition");
    assert!(equal);
    // All subscriptions have expired, so each listener renews and declares its topics again within half a renewal
    // interval of 18.75 s, which is 107 datagrams per second. The bound adds three standard deviations (three times the
    // square root).
    let bound = 107 + 31;
    assert!(max_datagrams <= bound, "{max_datagrams} in one second");
    let (max_datagrams, _) = renew_after_partition(rules_without(Guard::Jitter));
    println!("without jitter: {max_datagrams}");
    assert!(
        max_datagrams > 2 * bound,
        "the check does not notice the disabled guard"
    );
}

/// Cuts off zone c for longer than ended subscriptions are remembered. Returns whether an ended subscription is
/// revived.
fn revives_after_long_absence(rules: Rules) -> bool {
    let rules = Rules {
        renew_ms: 2_000,
        compare_ms: 200,
        forget_ms: 20_000,
        ..rules
    };
    let mut network = network_of_thirty(8, rules);
    run_until_correct(&mut network);
    network.conditions = partitioned(|from, to| from == 2 && to < 2);
    network.run_for(SECOND);
    network.with_client(host(0), |client, now| client.leave(now));
    network.run_for(3 * SECOND);
    network.kill(host(0));
    network.run_for(60 * SECOND);
    network.conditions = normal_conditions();
    let ended_name = "r0".to_string();
    let revived = network.run_until(5 * SECOND, |network| {
        (0..3).any(|n| {
            network
                .gateway_list(n)
                .iter()
                .any(|(name, ..)| *name == ended_name)
        })
    });
    if revived.is_none() {
        run_until_correct(&mut network);
    }
    revived.is_some()
}

#[test]
fn a_gateway_cut_off_for_long_revives_no_ended_subscription() {
    assert!(!revives_after_long_absence(Rules::default()));
    assert!(
        revives_after_long_absence(rules_without(Guard::Away)),
        "the check does not notice the disabled guard"
    );
}

/// Moves a subscriber while the new gateway cannot notify the old one. Returns how long both deliver to it, and the
/// bound.
fn measure_duplicate_delivery(rules: Rules) -> (Micros, Micros) {
    let mut network = network_of_thirty(9, rules);
    let publisher = network.add_publisher();
    network.notify_lease_holders();
    run_until_correct(&mut network);
    network.conditions = partitioned(|from, to| from == 0 && (to == 1 || to == 2));
    network.move_client(host(0), 1);
    network
        .run_until(20 * SECOND, |network| {
            network.client(host(0)).is_confirmed()
        })
        .expect("the subscriber moves");
    let (from, mut last, mut before) = (
        network.now,
        network.now,
        network.client(host(0)).counts().elsewhere,
    );
    for n in 0..200u8 {
        network.publish(publisher, "role/1", Token(1), &[n]);
        network.run_for(SECOND / 5);
        let duplicates = network.client(host(0)).counts().elsewhere;
        if duplicates > before {
            (last, before) = (network.now, duplicates);
        }
    }
    assert_eq!(network.event_fault(host(0)), None);
    (
        last - from,
        network.rules.duplicate_delivery_bound(10, true),
    )
}

#[test]
fn duplicate_delivery_after_a_move_ends_within_the_bound() {
    let (took, bound) = measure_duplicate_delivery(Rules::default());
    assert!(took <= bound, "{took} us of {bound}");
    let (took, bound) = measure_duplicate_delivery(rules_without(Guard::Moved));
    assert!(
        took > bound,
        "the check does not notice the disabled guard: {took} us of {bound}"
    );
    let bound = Rules::default().duplicate_delivery_bound(10, false);
    assert!(took <= bound, "{took} us of {bound}");
}

#[test]
fn a_gateway_that_dies_during_a_comparison_leaves_no_wrong_entries() {
    for seed in 0..5 {
        let mut network = network_of_thirty(
            seed,
            Rules {
                bytes_per_s: 6_000,
                ..Rules::default()
            },
        );
        network
            .run_until(60 * SECOND, Network::lists_are_correct)
            .expect("the lists become correct");
        network.conditions = partitioned(|from, to| from == 0 && (to == 1 || to == 2));
        for n in 30..130 {
            network.add_client(
                &format!("r{n}"),
                n % 3,
                &["positions/1", "role/1", "owners"],
            );
        }
        network.run_for(30 * SECOND);
        network.conditions = normal_conditions();
        network.run_for(SECOND * (1 + seed) / 2);
        network.kill(0);
        let standby = network.add_gateway(0);
        network.lease_holders[0] = (standby, Token(2));
        network.run_for(2 * SECOND);
        network.notify_lease_holders();
        let took = network.run_until(60 * SECOND, Network::lists_are_correct);
        assert!(
            took.is_some(),
            "seed {seed}: {:?}",
            network.list_differences()
        );
        network.run_for(network.rules.subscriber_lease(150) + SECOND);
        assert!(
            network.lists_are_correct(),
            "seed {seed}: {:?}",
            network.list_differences()
        );
    }
}

#[test]
fn a_silent_gateway_is_reported() {
    let mut network = network_of_thirty(10, Rules::default());
    run_until_correct(&mut network);
    network.conditions = partitioned(|from, _| from == 0);
    network.run_for(40 * SECOND);
    let is_silent = |n: usize| {
        network.hosts[host(n)]
            .events
            .iter()
            .any(|(_, event)| matches!(event, SubscriptionEvent::GatewaySilent { .. }))
    };
    assert!(is_silent(0) && !is_silent(1));
    assert_eq!(address(0), network.gateway(0).address());
}
