//! Cost of zone failover in a decision: one request is placed and answered with 1,000 nodes, without and with the policy.

use criterion::{Criterion, criterion_group, criterion_main};
use plovercove::*;
use plovercove_locality::{Rules, Zone, ZoneFailover};

const NODES: u64 = 1_000;
const MEMBERS: u64 = 6;

fn settings() -> Settings {
    let class = Class {
        name: "look".into(),
        access: Access::Any,
        latency_objective: 300_000,
        objective_per_cost: 0.0,
        deadline: 1_200_000,
        priority_weight: 1.0,
        late_weight_share: 0.0,
        idempotency: Idempotency::Idempotent,
        dedup_scope: DedupScope::Group,
        dedup_window: 0,
        stream: false,
    };
    Settings {
        router_count: 300,
        zone: "a".into(),
        classes: vec![class],
        ..Settings::default()
    }
}

fn balancer(with_zone_failover: bool) -> Balancer {
    let settings = settings();
    let zone = |name: &str| Zone {
        name: name.into(),
        routers: 100,
        preferred_tiers: Vec::new(),
    };
    let rules = Rules {
        home: String::new(),
        zones: ["a", "b", "c"].map(zone).to_vec(),
        max_spill_share: 0.4,
        capacity_by_machine_kind: [("std".to_string(), 5.0)].into(),
        ramp: Default::default(),
        flap: Default::default(),
    };
    let mut balancer = Balancer::new(settings.clone(), 7);
    if with_zone_failover {
        balancer.locality = Some(Box::new(
            ZoneFailover::new(rules, &settings, 7).expect("good rules"),
        ));
    }
    let endpoint = |n: u64| Endpoint {
        node: format!("s-{n:04}").into(),
        zone: ["a", "b", "c"][(n % 3) as usize].into(),
        machine_kind: "std".into(),
        listed_as_primary: n.is_multiple_of(MEMBERS),
        group: n / MEMBERS,
        weight: 1.0,
        ..Endpoint::default()
    };
    let list = EndpointUpdate::Full((0..NODES).map(endpoint).collect());
    balancer.handle(
        1_000_000,
        vec![Event::EndpointsChanged(list)],
        &mut Vec::new(),
    );
    balancer
}

fn decision(c: &mut Criterion) {
    let mut group = c.benchmark_group("place and answer, 1000 nodes");
    for (name, with_zone_failover) in [("flat", false), ("tiers", true)] {
        let (mut balancer, mut now, mut id) = (balancer(with_zone_failover), 1_000_000, 0);
        let mut actions = Vec::new();
        group.bench_function(name, |b| {
            b.iter(|| {
                (now, id) = (now + 1_000, id + 1);
                let request = RequestInfo {
                    id,
                    time_left: 1_000_000,
                    group: id % (NODES / MEMBERS),
                    ..RequestInfo::default()
                };
                balancer.handle(now, vec![Event::RequestArrived(request)], &mut actions);
                assert!(
                    actions.iter().any(|a| matches!(a, Action::Send { .. })),
                    "not placed: {actions:?}"
                );
                actions.clear();
                let outcome = Event::AttemptEnded {
                    request: id,
                    attempt: 0,
                    end: AttemptEnd::Success,
                    elapsed: 50_000,
                    request_over: true,
                    answer_report: NodeReport::default(),
                    load_report: NodeReport::default(),
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
