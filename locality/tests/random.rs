//! Zone failover under random events: it does not panic, and its invariants hold.

use plovercove::*;
use plovercove_locality::{Rules, Zone, ZoneFailover};
use proptest::prelude::*;

fn settings() -> Settings {
    let class = |name: &str, worth| Class {
        name: name.into(),
        access: Access::Any,
        latency_objective: 300_000,
        objective_per_cost: 0.0,
        deadline: 1_200_000,
        priority_weight: worth,
        late_weight_share: 0.0,
        idempotency: Idempotency::Idempotent,
        dedup_scope: DedupScope::Group,
        dedup_window: 0,
        stream: false,
    };
    Settings {
        router_count: 6,
        zone: "a".into(),
        classes: vec![class("dear", 5.0), class("cheap", 1.0)],
        slow_start_min_share: 0.2,
        slow_start_duration: 10_000_000,
        ..Settings::default()
    }
}

fn rules() -> Rules {
    let zone = |name: &str| Zone {
        name: name.into(),
        routers: 2,
        preferred_tiers: Vec::new(),
    };
    Rules {
        home: String::new(),
        zones: ["a", "b", "c"].map(zone).to_vec(),
        max_spill_share: 0.4,
        capacity_by_machine_kind: [("std".to_string(), 5.0)].into(),
        ramp: Default::default(),
        flap: Default::default(),
    }
}

fn endpoint(n: usize, state: EndpointState, started: Option<Time>) -> Endpoint {
    Endpoint {
        node: format!("s-{n}").into(),
        zone: ["a", "b", "c", "elsewhere"][n % 4].into(),
        machine_kind: "std".into(),
        group: 1,
        state,
        weight: 1.0,
        started_at: started,
        ..Endpoint::default()
    }
}

#[derive(Clone, Debug)]
enum Step {
    ChangeEndpoint(usize, u8, bool),
    FullList(u8),
    RoutingQuery(usize, bool),
    End(usize, u8, u64),
    Wait(u64),
    Reload(usize),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        (0..12usize, 0..3u8, any::<bool>())
            .prop_map(|(n, s, young)| Step::ChangeEndpoint(n, s, young)),
        (0..13u8).prop_map(Step::FullList),
        (0..12usize, any::<bool>()).prop_map(|(n, write)| Step::RoutingQuery(n, write)),
        (0..12usize, 0..9u8, 0..2_000_000u64).prop_map(|(n, e, t)| Step::End(n, e, t)),
        (0..5_000_000u64).prop_map(Step::Wait),
        (0..3usize).prop_map(Step::Reload),
    ]
}

const ENDINGS: [AttemptEnd; 9] = [
    AttemptEnd::Success,
    AttemptEnd::Failure,
    AttemptEnd::Overloaded,
    AttemptEnd::TimedOut,
    AttemptEnd::Unreachable,
    AttemptEnd::Reset,
    AttemptEnd::Cancelled,
    AttemptEnd::NeverSent,
    AttemptEnd::Misdirected,
];

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, failure_persistence: None, rng_seed: proptest::test_runner::RngSeed::Fixed(11), ..ProptestConfig::default() })]

    #[test]
    fn weights_are_in_range_writes_are_always_allowed_and_the_spill_limit_holds(steps in prop::collection::vec(step(), 1..300)) {
        let mut zone_failover = ZoneFailover::new(rules(), &settings(), 5).expect("good rules");
        let mut now = 1_000_000_000;
        let all = (0..12).map(|n| endpoint(n, EndpointState::Serving, None)).collect();
        zone_failover.endpoints_changed(now, &EndpointUpdate::Full(all));
        let (mut request, mut spilled, start) = (0, 0.0, now);
        for step in steps {
            match step {
                Step::ChangeEndpoint(n, state, young) => {
                    let state = [EndpointState::Serving, EndpointState::Draining, EndpointState::Removed][state as usize];
                    let started = young.then_some(now);
                    zone_failover.endpoints_changed(now, &EndpointUpdate::Changes(vec![endpoint(n, state, started)]));
                }
                Step::FullList(first) => {
                    let endpoints = (first as usize..12).map(|n| endpoint(n, EndpointState::Serving, None)).collect();
                    zone_failover.endpoints_changed(now, &EndpointUpdate::Full(endpoints));
                }
                Step::RoutingQuery(n, write) => {
                    request += 1;
                    let query = RoutingQuery { request, class: (request % 2) as usize, is_write: write };
                    let node: NodeId = format!("s-{n}").into();
                    let share = zone_failover.weight_share(now, &query, &node);
                    if write {
                        prop_assert_eq!(share, Some(1.0), "a write follows its primary");
                    }
                    if let Some(share) = share {
                        prop_assert!(share > 0.0 && share <= 2.0, "{}", share);
                        zone_failover.attempt_sent(now, &query, &node);
                        // Zone b has three nodes, each with a capacity of five seconds of work per second.
                        if n % 4 == 1 && !write {
                            spilled += 1.0;
                        }
                    }
                }
                Step::End(n, ending, elapsed) => {
                    let query = RoutingQuery { request, class: n % 2, is_write: false };
                    zone_failover.attempt_ended(now, &query, &format!("s-{n}").into(), ENDINGS[ending as usize], elapsed);
                }
                Step::Wait(duration) => now += duration,
                Step::Reload(rotation) => {
                    let mut rotated = rules();
                    rotated.zones.rotate_left(rotation);
                    let mut fresh = ZoneFailover::new(rotated, &settings(), 5).expect("good rules");
                    fresh.inherit_state(&mut zone_failover);
                    zone_failover = fresh;
                }
            }
            let wait = zone_failover.retry_after(&RoutingQuery { request, class: 0, is_write: false }, 500_000);
            prop_assert!((100_000..=500_000).contains(&wait));
            for status in zone_failover.zone_statuses() {
                prop_assert!(status.ramp_share > 0.0 && status.ramp_share <= 1.0);
                prop_assert!(status.spill_rate >= 0.0 && status.spill_rate <= rules().max_spill_share * status.known_capacity + 1e-9);
            }
            while zone_failover.next_log_event().is_some() {}
        }
        // No request costs less than 0.01 s here. The limit is 0.4 of 15 seconds of work per second; trial requests to a
        // lost zone come on top of it.
        let seconds = (now - start) as f64 / 1e6;
        prop_assert!(spilled * 0.01 <= 0.4 * 15.0 * (seconds + 0.2) + 1.0 + seconds, "{} in {} s", spilled, seconds);
    }
}

#[test]
fn router_that_starts_while_a_zone_recovers_begins_with_a_ramp() {
    // Otherwise a rollout of routers while a zone recovers would send the cold zone all its requests at once.
    let now = 1_000_000_000;
    let list = |started| {
        EndpointUpdate::Full(
            (0..12)
                .map(|n| endpoint(n, EndpointState::Serving, started))
                .collect(),
        )
    };
    let share = |started| {
        let mut zone_failover = ZoneFailover::new(rules(), &settings(), 5).expect("good rules");
        zone_failover.endpoints_changed(now, &list(started));
        zone_failover.zone_statuses()[0].ramp_share
    };
    assert_eq!(share(None), 1.0, "a zone that has been up for long");
    assert!(
        share(Some(now - 2_000_000)) < 0.5,
        "a zone that started two seconds ago"
    );
}

#[test]
fn reloaded_rules_keep_the_learned_state() {
    // Otherwise a reload during a fault would reset every penalty and fill every allowance.
    let (without_zone_a, mut now) = (|n: &usize| !n.is_multiple_of(4), 1_000_000_000);
    let list = |keep: fn(&usize) -> bool| {
        EndpointUpdate::Full(
            (0..12)
                .filter(keep)
                .map(|n| endpoint(n, EndpointState::Serving, None))
                .collect(),
        )
    };
    let mut zone_failover = ZoneFailover::new(rules(), &settings(), 5).expect("good rules");
    for _ in 0..4 {
        zone_failover.endpoints_changed(now, &list(|_| true));
        now += 1_000_000;
        zone_failover.endpoints_changed(now, &list(without_zone_a));
        now += 1_000_000;
    }
    zone_failover.endpoints_changed(now, &list(|_| true));
    // Spends the allowance of zone b.
    let (query, node): (_, NodeId) = (
        |request| RoutingQuery {
            request,
            class: 0,
            is_write: false,
        },
        "s-1".into(),
    );
    let spend = |zone_failover: &mut ZoneFailover, now| {
        (0..1_000)
            .filter(|n| {
                zone_failover
                    .weight_share(now, &query(*n), &node)
                    .map(|_| zone_failover.attempt_sent(now, &query(*n), &node))
                    .is_some()
            })
            .count()
    };
    now += 1_000_000;
    assert!(spend(&mut zone_failover, now) > 0, "zone b admits requests");
    let before = zone_failover.zone_statuses();
    assert!(
        before[0].suppressed && before[0].ramp_share < 1.0,
        "{before:?}"
    );
    let mut changed = Rules {
        max_spill_share: 0.2,
        ..rules()
    };
    changed.zones.rotate_left(1);
    changed.zones.pop();
    changed.zones.push(Zone {
        name: "a".into(),
        routers: 2,
        preferred_tiers: vec![vec!["b".into()]],
    });
    let mut fresh = ZoneFailover::new(changed, &settings(), 5).expect("good rules");
    fresh.inherit_state(&mut zone_failover);
    assert_eq!(spend(&mut fresh, now), 0, "the allowance stays spent");
    let after = fresh.zone_statuses();
    let status_of = |statuses: &[plovercove_locality::ZoneStatus], zone: &str| {
        statuses
            .iter()
            .find(|status| status.zone == zone)
            .cloned()
            .expect("the zone is known")
    };
    let (a, c) = (status_of(&after, "a"), status_of(&after, "c"));
    assert_eq!(
        (
            a.suppressed,
            a.ramp_share,
            a.answering_capacity,
            a.known_capacity
        ),
        (
            true,
            before[0].ramp_share,
            before[0].answering_capacity,
            before[0].known_capacity
        )
    );
    assert_eq!(
        (status_of(&after, "b").tier, c.tier),
        (1, 2),
        "the order of the new rules"
    );
    now += 200_000;
    fresh.weight_share(now, &query(2_000), &node);
    assert!(
        status_of(&fresh.zone_statuses(), "b").spill_rate < before[1].spill_rate * 0.6,
        "the new limit applies"
    );
}

#[test]
fn classes_of_least_worth_are_rejected_first() {
    let mut zone_failover = ZoneFailover::new(rules(), &settings(), 5).expect("good rules");
    let now = 1_000_000_000;
    // The home zone is lost; the other zones remain.
    let other_zones = (0..12)
        .filter(|n| n % 4 != 0)
        .map(|n| endpoint(n, EndpointState::Serving, None))
        .collect();
    zone_failover.endpoints_changed(
        now,
        &EndpointUpdate::Full(
            (0..12)
                .map(|n| endpoint(n, EndpointState::Serving, None))
                .collect(),
        ),
    );
    zone_failover.endpoints_changed(now, &EndpointUpdate::Full(other_zones));
    let mut sent = [0, 0];
    for n in 0..4_000u64 {
        let time = now + n * 2_000;
        let class = (n % 2) as usize;
        let query = RoutingQuery {
            request: n,
            class,
            is_write: false,
        };
        let node: NodeId = "s-1".into();
        if zone_failover.weight_share(time, &query, &node).is_some() {
            zone_failover.attempt_sent(time, &query, &node);
            sent[class] += 1;
        }
    }
    assert!(
        sent[0] > sent[1] * 2,
        "dear {} and cheap {}",
        sent[0],
        sent[1]
    );
    assert!(sent[0] + sent[1] < 4_000, "the limit rejects some requests");
}
