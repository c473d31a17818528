//! Tenants' shares in a fleet: hundreds of routers that share nothing and see uneven parts of the traffic.

use plovercove_simulation::{Report, Spec, run};

/// First tries a second at a load of 1: 24 nodes with 5 cores each, at a mean work of 77.04 ms.
const CAPACITY: f64 = 24.0 * 5.0 / 0.07704;

/// 300 routers, of which one in five sees four times as much as the others, and four tenants with as much each.
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

fn told(report: &Report) -> String {
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
fn beside_a_flood_through_three_hundred_uneven_routers_no_tenant_starves() {
    for seed in 1..3 {
        // A third more than each usually asks for is within its share. One of four comes ten times as often.
        let quota = 0.6 * CAPACITY / 4.0 * 4.0 / 3.0;
        let play = |flood| run(&spec(0.6, quota, flood, 0.5), seed).expect("it runs");
        let (calm, flooded) = (play("[]"), play("[[5, 14, 10.0]]"));
        println!("{}\n{}", told(&calm), told(&flooded));
        for (before, beside) in calm.tenants.iter().zip(&flooded.tenants).skip(1) {
            assert!(beside.share() >= before.share() / 3.0, "{}", told(&flooded));
        }
    }
}

/// Each uses just its share, so that one router in five sees several times its part of the quota.
#[test]
fn where_nobody_floods_uneven_routers_lose_nothing_by_shares() {
    for seed in 1..9 {
        let play =
            |worth| run(&spec(0.5, 0.5 * CAPACITY / 4.0, "[]", worth), seed).expect("it runs");
        let (with, without) = (play(0.5), play(1.0));
        println!("with {}\nwithout {}", told(&with), told(&without));
        assert!(
            (with.in_time - without.in_time).abs() <= 0.005,
            "{}\n{}",
            told(&with),
            told(&without)
        );
    }
}

/// What others leave is lent: three times its share is served where there is room.
#[test]
fn what_is_over_a_share_is_served_where_there_is_room() {
    for seed in 1..3 {
        let quota = 0.3 * CAPACITY / 4.0;
        let report = run(&spec(0.3, quota, "[[5, 14, 3.0]]", 0.5), seed).expect("it runs");
        println!("{}", told(&report));
        for tenant in &report.tenants {
            assert!(tenant.share() >= 0.95, "{}", told(&report));
        }
    }
}
