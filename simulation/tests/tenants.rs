//! Tenants' quotas with hundreds of routers that exchange nothing and have uneven traffic.

use plovercove_simulation::{Report, Spec, run};

/// New requests per second at a load of 1: 24 nodes with 5 cores each, at a mean work of 77.04 ms.
const CAPACITY: f64 = 24.0 * 5.0 / 0.07704;

/// 300 routers, of which every fifth has four times the traffic of the others, and four tenants with equal shares.
fn spec(load: f64, quota: f64, flood: &str, worth: f64) -> Spec {
    let tenants: Vec<String> = (1..5)
        .map(|n| {
            let flood = if n == 1 { flood } else { "[]" };
            format!(r#"{{"name": "t{n}", "share": 1, "quota_per_s": {quota}, "flood": {flood}}}"#)
        })
        .collect();
    let text = format!(
        r#"{{"seconds": 16, "window": [5, 14], "zones": [{{"name": "a", "nodes": 12, "routers": 150}},
        {{"name": "b", "nodes": 12, "routers": 150}}], "clients": {{"load": {load}, "skew": 4.0,
        "over_share_worth": {worth}, "tenants": [{}]}}}}"#,
        tenants.join(", ")
    );
    serde_json::from_str(&text).expect("a good spec")
}

fn describe(report: &Report) -> String {
    let all = report
        .tenants
        .iter()
        .map(|p| format!("{} {:.3} of {}", p.name, p.share(), p.asked));
    format!(
        "seed {}, in time {:.4}: {}",
        report.seed,
        report.in_time,
        all.collect::<Vec<_>>().join(", ")
    )
}

#[test]
fn no_tenant_starves_beside_a_flood_through_three_hundred_uneven_routers() {
    for seed in 1..3 {
        // The quota is a third over the usual rate. One of four tenants sends ten times its usual requests.
        let quota = 0.6 * CAPACITY / 4.0 * 4.0 / 3.0;
        let run_with = |flood| run(&spec(0.6, quota, flood, 0.5), seed).expect("it runs");
        let (calm, flooded) = (run_with("[]"), run_with("[[5, 14, 10.0]]"));
        println!("{}\n{}", describe(&calm), describe(&flooded));
        for (before, beside) in calm.tenants.iter().zip(&flooded.tenants).skip(1) {
            assert!(
                beside.share() >= before.share() / 3.0,
                "{}",
                describe(&flooded)
            );
        }
    }
}

/// Each tenant uses exactly its quota, so that every fifth router sees several times its part of the quota. Requests that
/// are wrongly counted as over the quota must not reduce the service.
#[test]
fn quotas_cost_nothing_with_uneven_routers_and_no_flood() {
    for seed in 1..9 {
        let run_with =
            |worth| run(&spec(0.5, 0.5 * CAPACITY / 4.0, "[]", worth), seed).expect("it runs");
        let (with, without) = (run_with(0.5), run_with(1.0));
        println!("with {}\nwithout {}", describe(&with), describe(&without));
        assert!(
            (with.in_time - without.in_time).abs() <= 0.005,
            "{}\n{}",
            describe(&with),
            describe(&without)
        );
    }
}

/// Unused capacity is available to all: three times a tenant's quota is served if the nodes have capacity left.
#[test]
fn requests_over_a_quota_are_served_if_there_is_capacity() {
    for seed in 1..3 {
        let quota = 0.3 * CAPACITY / 4.0;
        let report = run(&spec(0.3, quota, "[[5, 14, 3.0]]", 0.5), seed).expect("it runs");
        println!("{}", describe(&report));
        for tenant in &report.tenants {
            assert!(tenant.share() >= 0.95, "{}", describe(&report));
        }
    }
}
