//! Rules of the operators' acceptance test that need many routers: no class and no tenant starves.

use plovercove_simulation::{Report, ServedShare, Spec, run};

fn spec(more: &str) -> Spec {
    let text = format!(
        r#"{{"seconds": 18, "window": [6, 16], "zones": [{{"name": "a", "nodes": 6, "routers": 4}}, {{"name": "b", "nodes": 6, "routers": 4}}],
        "clients": {more}}}"#
    );
    serde_json::from_str(&text).expect("a good spec")
}

fn least_served(parts: &[ServedShare]) -> &ServedShare {
    let all: u64 = parts.iter().map(|part| part.asked).sum();
    // The rule covers only classes with at least a twentieth of the requests.
    let counts = parts.iter().filter(|part| part.asked * 20 >= all);
    counts
        .min_by(|a, b| a.share().total_cmp(&b.share()))
        .expect("some class counts")
}

fn describe(report: &Report, parts: &[ServedShare]) -> String {
    let all = parts
        .iter()
        .map(|p| format!("{} {:.2} of {}", p.name, p.share(), p.asked));
    format!(
        "seed {}, in time {:.2}: {}",
        report.seed,
        report.window,
        all.collect::<Vec<_>>().join(", ")
    )
}

#[test]
fn no_class_with_a_twentieth_of_the_requests_starves_in_a_burst() {
    for seed in 1..3 {
        let report =
            run(&spec(r#"{"load": 0.7, "bursts": [[6, 16, 2.0]]}"#), seed).expect("it runs");
        println!("{}", describe(&report, &report.classes));
        let class = least_served(&report.classes);
        let all = report
            .classes
            .iter()
            .fold((0, 0), |n, c| (n.0 + c.asked, n.1 + c.in_time));
        // The class must get at least half of the share of all requests. In the burst the least class has 0.65 of it.
        let floor = all.1 as f64 / all.0 as f64 / 2.0;
        assert!(
            class.share() >= floor,
            "{}",
            describe(&report, &report.classes)
        );
    }
}

/// Four tenants with equal shares. The first sends ten times its usual requests for 10 s.
const TENANTS: &str = r#"{"load": 0.6, "tenants": [
    {"name": "t1", "share": 1, "quota_per_s": 400, "flood": FLOOD}, {"name": "t2", "share": 1, "quota_per_s": 400},
    {"name": "t3", "share": 1, "quota_per_s": 400}, {"name": "t4", "share": 1, "quota_per_s": 400}]}"#;

#[test]
fn no_tenant_within_its_share_starves_beside_one_that_floods() {
    for seed in 1..3 {
        let calm = run(&spec(&TENANTS.replace("FLOOD", "[]")), seed).expect("it runs");
        let flooded =
            run(&spec(&TENANTS.replace("FLOOD", "[[6, 16, 10.0]]")), seed).expect("it runs");
        println!(
            "{}\n{}",
            describe(&calm, &calm.tenants),
            describe(&flooded, &flooded.tenants)
        );
        for (before, beside) in calm.tenants.iter().zip(&flooded.tenants).skip(1) {
            assert!(
                beside.share() >= before.share() / 3.0,
                "{}",
                describe(&flooded, &flooded.tenants)
            );
        }
    }
}
