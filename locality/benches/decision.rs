//! What tiers add to a decision: one request placed and answered, with 1,000 nodes known, without tiers and with them.

use criterion::{Criterion, criterion_group, criterion_main};
use plovercove::*;
use plovercove_locality::{Rules, Tiers, Zone};

const NODES: u64 = 1_000;
const MEMBERS: u64 = 6;

fn settings() -> Settings {
    let class = Class {
        name: "look".into(),
        access: Access::Any,
        aim: 300_000,
        aim_stretch: 0.0,
        deadline: 1_200_000,
        worth: 1.0,
        late_worth: 0.0,
        effect: Effect::Idempotent,
        scope: RepeatScope::Group,
        window: 0,
        stream: false,
    };
    Settings {
        routers: 300,
        zone: "a".into(),
        classes: vec![class],
        ..Settings::default()
    }
}

fn balancer(tiers: bool) -> Balancer {
    let settings = settings();
    let zone = |name: &str| Zone {
        name: name.into(),
        routers: 100,
        prefer: Vec::new(),
    };
    let rules = Rules {
        home: String::new(),
        zones: ["a", "b", "c"].map(zone).to_vec(),
        spill: 0.4,
        cores: [("std".to_string(), 5.0)].into(),
        ramp: Default::default(),
        flap: Default::default(),
    };
    let mut balancer = Balancer::new(settings.clone(), 7);
    if tiers {
        balancer.zoning = Some(Box::new(
            Tiers::new(rules, &settings, 7).expect("good rules"),
        ));
    }
    let entry = |n: u64| NodeEntry {
        node: format!("s-{n:04}").into(),
        zone: ["a", "b", "c"][(n % 3) as usize].into(),
        kind: "std".into(),
        primary: n.is_multiple_of(MEMBERS),
        group: n / MEMBERS,
        weight: 1.0,
        ..NodeEntry::default()
    };
    let list = ListUpdate::Full((0..NODES).map(entry).collect());
    balancer.handle(1_000_000, vec![Event::List(list)], &mut Vec::new());
    balancer
}

fn decision(c: &mut Criterion) {
    let mut group = c.benchmark_group("place and answer, 1000 nodes");
    for (name, tiers) in [("flat", false), ("tiers", true)] {
        let (mut balancer, mut now, mut id) = (balancer(tiers), 1_000_000, 0);
        let mut actions = Vec::new();
        group.bench_function(name, |b| {
            b.iter(|| {
                (now, id) = (now + 1_000, id + 1);
                let demand = Demand {
                    id,
                    left: 1_000_000,
                    group: id % (NODES / MEMBERS),
                    ..Demand::default()
                };
                balancer.handle(now, vec![Event::Request(demand)], &mut actions);
                assert!(
                    actions.iter().any(|a| matches!(a, Action::Send { .. })),
                    "not placed: {actions:?}"
                );
                actions.clear();
                let outcome = Event::Outcome {
                    request: id,
                    attempt: 0,
                    ending: Ending::Success,
                    elapsed: 50_000,
                    over: true,
                    note: Standing::default(),
                    report: Standing::default(),
                };
                balancer.handle(now + 500, vec![outcome], &mut actions);
                actions.clear();
            });
        });
    }
    group.finish();
}

criterion_group! { name = benches; config = Criterion::default().sample_size(50); targets = decision }
criterion_main!(benches);
