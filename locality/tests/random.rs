//! Tiers under random events: whatever comes, they neither panic nor forget what must hold.

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
        prefer: Vec::new(),
    };
    Rules {
        home: String::new(),
        zones: ["a", "b", "c"].map(zone).to_vec(),
        spill: 0.4,
        cores: [("std".to_string(), 5.0)].into(),
        ramp: Default::default(),
        flap: Default::default(),
    }
}

fn entry(n: usize, state: EndpointState, started: Option<Time>) -> Endpoint {
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
    List(usize, u8, bool),
    Whole(u8),
    RoutingQuery(usize, bool),
    End(usize, u8, u64),
    Wait(u64),
    Reload(usize),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        (0..12usize, 0..3u8, any::<bool>()).prop_map(|(n, s, young)| Step::List(n, s, young)),
        (0..13u8).prop_map(Step::Whole),
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
    fn weights_are_sane_writes_go_everywhere_and_the_limit_holds(steps in prop::collection::vec(step(), 1..300)) {
        let mut tiers = ZoneFailover::new(rules(), &settings(), 5).expect("good rules");
        let mut now = 1_000_000_000;
        let all = (0..12).map(|n| entry(n, EndpointState::Serving, None)).collect();
        tiers.endpoints_changed(now, &EndpointUpdate::Full(all));
        let (mut request, mut spilled, begun) = (0, 0.0, now);
        for step in steps {
            match step {
                Step::List(n, state, young) => {
                    let state = [EndpointState::Serving, EndpointState::Draining, EndpointState::Removed][state as usize];
                    let started = young.then_some(now);
                    tiers.endpoints_changed(now, &EndpointUpdate::Changes(vec![entry(n, state, started)]));
                }
                Step::Whole(first) => {
                    let some = (first as usize..12).map(|n| entry(n, EndpointState::Serving, None)).collect();
                    tiers.endpoints_changed(now, &EndpointUpdate::Full(some));
                }
                Step::RoutingQuery(n, write) => {
                    request += 1;
                    let ask = RoutingQuery { request, class: (request % 2) as usize, is_write: write };
                    let node: NodeId = format!("s-{n}").into();
                    let counts = tiers.weight_share(now, &ask, &node);
                    if write {
                        prop_assert_eq!(counts, Some(1.0), "a write follows its primary");
                    }
                    if let Some(counts) = counts {
                        prop_assert!(counts > 0.0 && counts <= 2.0, "{}", counts);
                        tiers.attempt_sent(now, &ask, &node);
                        // Zone b has three nodes of five cores.
                        if n % 4 == 1 && !write {
                            spilled += 1.0;
                        }
                    }
                }
                Step::End(n, ending, elapsed) => {
                    let ask = RoutingQuery { request, class: n % 2, is_write: false };
                    tiers.attempt_ended(now, &ask, &format!("s-{n}").into(), ENDINGS[ending as usize], elapsed);
                }
                Step::Wait(span) => now += span,
                Step::Reload(turn) => {
                    let mut turned = rules();
                    turned.zones.rotate_left(turn);
                    let mut fresh = ZoneFailover::new(turned, &settings(), 5).expect("good rules");
                    fresh.inherit_state(&mut tiers);
                    tiers = fresh;
                }
            }
            let wait = tiers.retry_after(&RoutingQuery { request, class: 0, is_write: false }, 500_000);
            prop_assert!((100_000..=500_000).contains(&wait));
            for view in tiers.zone_statuses() {
                prop_assert!(view.ramp > 0.0 && view.ramp <= 1.0);
                prop_assert!(view.spill >= 0.0 && view.spill <= rules().spill * view.capacity.1 + 1e-9);
            }
            while tiers.next_log_event().is_some() {}
        }
        // No request costs less than a hundredth of a second here; the limit is 0.4 of 15 s of work a second, and
        // trials of a lost zone are beside it.
        let seconds = (now - begun) as f64 / 1e6;
        prop_assert!(spilled * 0.01 <= 0.4 * 15.0 * (seconds + 0.2) + 1.0 + seconds, "{} in {} s", spilled, seconds);
    }
}

#[test]
fn a_router_that_restarts_in_the_middle_of_a_ramp_does_not_begin_at_full() {
    // Danger: a rollout while a zone comes back cold would give the zone all its requests at once.
    let now = 1_000_000_000;
    let list = |started| {
        EndpointUpdate::Full(
            (0..12)
                .map(|n| entry(n, EndpointState::Serving, started))
                .collect(),
        )
    };
    let share = |started| {
        let mut tiers = ZoneFailover::new(rules(), &settings(), 5).expect("good rules");
        tiers.endpoints_changed(now, &list(started));
        tiers.zone_statuses()[0].ramp
    };
    assert_eq!(share(None), 1.0, "a zone that has long been up");
    assert!(
        share(Some(now - 2_000_000)) < 0.5,
        "a zone that started two seconds ago"
    );
}

#[test]
fn new_rules_in_service_keep_what_was_learned() {
    // Danger: an operator who reloads in the middle of trouble would lift every penalty and fill every allowance.
    let (lost, mut now) = (|n: &usize| !n.is_multiple_of(4), 1_000_000_000);
    let all = |keep: fn(&usize) -> bool| {
        EndpointUpdate::Full(
            (0..12)
                .filter(keep)
                .map(|n| entry(n, EndpointState::Serving, None))
                .collect(),
        )
    };
    let mut tiers = ZoneFailover::new(rules(), &settings(), 5).expect("good rules");
    for _ in 0..4 {
        tiers.endpoints_changed(now, &all(|_| true));
        now += 1_000_000;
        tiers.endpoints_changed(now, &all(lost));
        now += 1_000_000;
    }
    tiers.endpoints_changed(now, &all(|_| true));
    // The allowance of zone b is spent.
    let (ask, node): (_, NodeId) = (
        |request| RoutingQuery {
            request,
            class: 0,
            is_write: false,
        },
        "s-1".into(),
    );
    let spend = |tiers: &mut ZoneFailover, now| {
        (0..1_000)
            .filter(|n| {
                tiers
                    .weight_share(now, &ask(*n), &node)
                    .map(|_| tiers.attempt_sent(now, &ask(*n), &node))
                    .is_some()
            })
            .count()
    };
    now += 1_000_000;
    assert!(spend(&mut tiers, now) > 0, "zone b had something to give");
    let before = tiers.zone_statuses();
    assert!(before[0].suppressed && before[0].ramp < 1.0, "{before:?}");
    let mut turned = Rules {
        spill: 0.2,
        ..rules()
    };
    turned.zones.rotate_left(1);
    turned.zones.pop();
    turned.zones.push(Zone {
        name: "a".into(),
        routers: 2,
        prefer: vec![vec!["b".into()]],
    });
    let mut fresh = ZoneFailover::new(turned, &settings(), 5).expect("good rules");
    fresh.inherit_state(&mut tiers);
    assert_eq!(spend(&mut fresh, now), 0, "what was spent stays spent");
    let after = fresh.zone_statuses();
    let of = |view: &[plovercove_locality::ZoneStatus], zone: &str| {
        view.iter()
            .find(|v| v.zone == zone)
            .cloned()
            .expect("known")
    };
    let (a, c) = (of(&after, "a"), of(&after, "c"));
    assert_eq!(
        (a.suppressed, a.ramp, a.capacity),
        (true, before[0].ramp, before[0].capacity)
    );
    assert_eq!(
        (of(&after, "b").tier, c.tier),
        (1, 2),
        "the new rules' order"
    );
    now += 200_000;
    fresh.weight_share(now, &ask(2_000), &node);
    assert!(
        of(&fresh.zone_statuses(), "b").spill < before[1].spill * 0.6,
        "the new limit"
    );
}

#[test]
fn what_is_worth_least_is_refused_first() {
    let mut tiers = ZoneFailover::new(rules(), &settings(), 5).expect("good rules");
    let now = 1_000_000_000;
    // Home is gone; the next zones remain.
    let rest = (0..12)
        .filter(|n| n % 4 != 0)
        .map(|n| entry(n, EndpointState::Serving, None))
        .collect();
    tiers.endpoints_changed(
        now,
        &EndpointUpdate::Full(
            (0..12)
                .map(|n| entry(n, EndpointState::Serving, None))
                .collect(),
        ),
    );
    tiers.endpoints_changed(now, &EndpointUpdate::Full(rest));
    let mut went = [0, 0];
    for n in 0..4_000u64 {
        let at = now + n * 2_000;
        let class = (n % 2) as usize;
        let ask = RoutingQuery {
            request: n,
            class,
            is_write: false,
        };
        let node: NodeId = "s-1".into();
        if tiers.weight_share(at, &ask, &node).is_some() {
            tiers.attempt_sent(at, &ask, &node);
            went[class] += 1;
        }
    }
    assert!(
        went[0] > went[1] * 2,
        "dear {} and cheap {}",
        went[0],
        went[1]
    );
    assert!(went[0] + went[1] < 4_000, "there is a limit");
}
