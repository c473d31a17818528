//! x
use plovercove_fleet::*;
fn main() {
    if std::env::var("LOGS").is_ok() {
        tracing_subscriber::fmt().with_writer(std::io::stderr).without_time().init();
    }

    let seeds: u64 = std::env::args().nth(1).map_or(1, |s| s.parse().unwrap());
    let kind = std::env::args().nth(2).unwrap_or("down".into());
    let load: f64 = std::env::args().nth(3).map_or(0.7, |s| s.parse().unwrap());
    let big = std::env::args().nth(4).is_some();
    let (n, r) = if big { (333, 100) } else { (12, 10) };
    let what = match kind.as_str() {
        "down" => vec![Trouble::ZoneDown { zone: "a".into(), part: 1.0 }],
        "half" => vec![Trouble::ZoneDown { zone: "a".into(), part: 0.5 }],
        "hole" => vec![Trouble::BlackHole { zone: "a".into(), cold: false }],
        "cut" => vec![Trouble::Cut { from: "a".into(), to: "b".into() }],
        _ => vec![],
    };
    let zone = |name: &str| ZoneSpec { name: name.into(), nodes: n, routers: r };
    for seed in 1..=seeds {
        for variant in [Variant::Flat, Variant::Strict, Variant::Tiers] {
            if std::env::var("ONLY").is_ok() && variant != Variant::Tiers {
                continue;
            }
            let mut spec: Spec = serde_json::from_str(r#"{"seconds": 60, "zones": []}"#).unwrap();
            spec.zones = vec![zone("a"), zone("b"), zone("c")];
            spec.clients.load = load;
            spec.variant = variant;
            spec.window = Some((15.0, 57.0));
            spec.faults = what.iter().map(|w| Fault { at: 15.0, until: 30.0, what: w.clone() }).collect();
            let at = std::time::Instant::now();
            let r = run(&spec, seed).unwrap();
            let t = at.elapsed().as_secs_f64();
            println!(
                "{:?} seed {seed}: in_time {:.3} window {:.3} local {:.3} spill {:.3} fallen {} loss {:?} return {:?} p50 {:.0} p99 {:.0} req {} att {} {:.0}/s",
                variant,
                r.in_time,
                r.window,
                r.local,
                r.spill_most,
                r.fallen,
                r.after_loss,
                r.after_return,
                r.p50_ms,
                r.p99_ms,
                r.requests,
                r.attempts,
                r.requests as f64 / t
            );
            for b in &r.breaches {
                println!("   {b:?}");
            }
            if std::env::var("SEC").is_ok() {
                for (n, s) in r.seconds.iter().enumerate() {
                    println!(
                        "   {n:3} {:.3} ref {} fail {} cap {:?} spill {:?}",
                        s.in_time / s.asked,
                        s.refused,
                        s.failed,
                        s.capacity.iter().map(|c| *c as i32).collect::<Vec<_>>(),
                        s.spilled
                            .iter()
                            .zip(&s.capacity)
                            .map(|(a, b)| (a / b * 100.0) as i32)
                            .collect::<Vec<_>>()
                    );
                }
            }
        }
    }
}
