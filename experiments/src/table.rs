//! Formats the results of simulated experiments as Markdown tables.

use crate::experiment::{Experiment, Outcome};
use plovercove_simulation::{Report, Variant};
use std::fmt::Write as _;

/// Returns the reports of one case and variant.
fn reports_of<'a>(outcomes: &'a [Outcome], case: &str, variant: Variant) -> Vec<&'a Report> {
    let matches = |o: &&Outcome| o.case == case && o.report.variant == variant;
    outcomes.iter().filter(matches).map(|o| &o.report).collect()
}

fn mean(values: impl Iterator<Item = f64>) -> f64 {
    let (sum, count) = values.fold((0.0, 0.0), |(sum, count), v| (sum + v, count + 1.0));
    if count > 0.0 { sum / count } else { f64::NAN }
}

/// Formats median and maximum of the times, such as `4/9`. Runs without a time are left out, and the number of runs that
/// have one is appended if not all do.
fn format_times(values: &[Option<f64>]) -> String {
    let mut known: Vec<f64> = values.iter().copied().flatten().collect();
    if known.is_empty() {
        return "-".into();
    }
    known.sort_by(f64::total_cmp);
    let text = format!(
        "{:.0}/{:.0}",
        known[known.len() / 2],
        known[known.len() - 1]
    );
    if known.len() == values.len() {
        text
    } else {
        format!("{text} ({} of {})", known.len(), values.len())
    }
}

fn variant_name(variant: Variant) -> &'static str {
    match variant {
        Variant::ZoneFailover => "tiers",
        Variant::Flat => "flat",
        Variant::Strict => "strict",
    }
}

/// Appends a table on the gossip between routers, if a report has data on it.
fn write_gossip_table(out: &mut String, experiment: &Experiment, outcomes: &[Outcome]) {
    if outcomes.iter().all(|o| o.report.talked.is_none()) {
        return;
    }
    let _ = writeln!(
        out,
        "| case | attempts to bad nodes | probes | taken out | wrongly | false downs | all out after (s, median/longest) | datagrams, bytes a second and router |"
    );
    let _ = writeln!(out, "| --- | --- | --- | --- | --- | --- | --- | --- |");
    for (case, spec) in &experiment.cases {
        let runs: Vec<&Report> = outcomes
            .iter()
            .filter(|o| o.case == *case)
            .map(|o| &o.report)
            .collect();
        let routers = spec.zones.iter().map(|z| z.routers).sum::<usize>() as f64;
        let talked = || runs.iter().filter_map(|r| r.talked.as_ref());
        let rate = |sent: fn(&plovercove_simulation::GossipStats) -> u64| {
            mean(talked().map(|t| sent(t) as f64 / routers / (spec.seconds + 8.0)))
        };
        let sum = |count: fn(&plovercove_simulation::GossipStats) -> u64| {
            talked().map(count).sum::<u64>()
        };
        let _ = writeln!(
            out,
            "| {case} | {:.0} | {:.0} | {} | {} | {} | {} | {:.1}, {:.0} |",
            mean(runs.iter().map(|r| r.to_bad as f64)),
            mean(runs.iter().map(|r| r.probes as f64)),
            sum(|t| t.outs),
            sum(|t| t.wrong_outs),
            sum(|t| t.false_downs),
            format_times(&talked().map(|t| t.all_out).collect::<Vec<_>>()),
            rate(|t| t.sent.0),
            rate(|t| t.sent.1),
        );
    }
    let _ = writeln!(out);
}

/// Formats the table of all cases and variants, followed by the violated rules.
pub fn summary(experiment: &Experiment, outcomes: &[Outcome]) -> String {
    let mut out = String::new();
    let _ = writeln!(
        out,
        "| case | variant | worth in time: whole | loss and return, mean | worst | local | spill, most | fallen | back after loss (s, median/longest) | after return | p99 (ms) | rules broken |"
    );
    let _ = writeln!(
        out,
        "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |"
    );
    for (case, _) in &experiment.cases {
        for variant in &experiment.variants {
            let runs = reports_of(outcomes, case, *variant);
            let worst = runs.iter().map(|r| r.window).fold(f64::INFINITY, f64::min);
            let spill = runs.iter().map(|r| r.spill_most).fold(0.0, f64::max);
            let broken: u64 = runs.iter().flat_map(|r| &r.breaches).map(|b| b.times).sum();
            let _ = writeln!(
                out,
                "| {case} | {} | {:.3} | {:.3} | {:.3} | {:.3} | {:.3} | {} | {} | {} | {:.0} | {} |",
                variant_name(*variant),
                mean(runs.iter().map(|r| r.in_time)),
                mean(runs.iter().map(|r| r.window)),
                worst,
                mean(runs.iter().map(|r| r.local)),
                spill,
                runs.iter().map(|r| r.fallen).sum::<u32>(),
                format_times(&runs.iter().map(|r| r.after_loss).collect::<Vec<_>>()),
                format_times(&runs.iter().map(|r| r.after_return).collect::<Vec<_>>()),
                mean(runs.iter().map(|r| r.p99_ms)),
                broken,
            );
        }
    }
    let _ = writeln!(out);
    write_comparison(&mut out, experiment, outcomes);
    write_gossip_table(&mut out, experiment, outcomes);
    for o in outcomes {
        for b in &o.report.breaches {
            let (at, what) = &b.first;
            let _ = writeln!(
                out,
                "{} {} seed {}: {:?} broken {} times, first at {at:.2} s: {what}",
                o.case,
                variant_name(o.report.variant),
                o.report.seed,
                b.rule,
                b.times
            );
        }
    }
    let (wall, requests): (f64, u64) = outcomes.iter().fold((0.0, 0), |sum, o| {
        (sum.0 + o.wall, sum.1 + o.report.requests)
    });
    let events: u64 = outcomes.iter().map(|o| o.report.events).sum();
    let _ = writeln!(
        out,
        "{} runs, {requests} requests, {events} events; {:.0} requests a second of one core's time",
        outcomes.len(),
        requests as f64 / wall.max(1e-9)
    );
    out
}

/// Appends a comparison, paired by seed, of zone failover with the better of the other variants.
fn write_comparison(out: &mut String, experiment: &Experiment, outcomes: &[Outcome]) {
    let others: Vec<Variant> = experiment
        .variants
        .iter()
        .copied()
        .filter(|v| *v != Variant::ZoneFailover)
        .collect();
    if others.is_empty() || !experiment.variants.contains(&Variant::ZoneFailover) {
        return;
    }
    let _ = writeln!(
        out,
        "Tiers against the better baseline, in loss and return (paired by seed):\n"
    );
    for (case, _) in &experiment.cases {
        let tiers = reports_of(outcomes, case, Variant::ZoneFailover);
        let means = others
            .iter()
            .map(|v| mean(reports_of(outcomes, case, *v).iter().map(|r| r.window)));
        let best = means.fold(f64::NEG_INFINITY, f64::max);
        let gain = |r: &&Report| {
            let same = |v: &Variant| {
                reports_of(outcomes, case, *v)
                    .iter()
                    .find(|o| o.seed == r.seed)
                    .map_or(f64::NEG_INFINITY, |o| o.window)
            };
            r.window - others.iter().map(same).fold(f64::NEG_INFINITY, f64::max)
        };
        let gains: Vec<f64> = tiers.iter().map(gain).collect();
        let difference = mean(tiers.iter().map(|r| r.window)) - best;
        // Twice the standard error: the mean of the paired gains is known to about this precision.
        let average = mean(gains.iter().copied());
        let spread =
            (mean(gains.iter().map(|g| (g - average).powi(2))) / gains.len().max(2) as f64).sqrt()
                * 2.0;
        let rating = if difference.abs() < spread {
            "within noise"
        } else if difference > 0.0 {
            "better"
        } else {
            "worse"
        };
        let _ = writeln!(
            out,
            "- {case}: {difference:+.3} against the better mean ({rating}, +/- {spread:.3}); on the worst seed {:+.3} against the better of that seed",
            gains.iter().copied().fold(f64::INFINITY, f64::min)
        );
    }
    let _ = writeln!(out);
}

/// Formats the figures of each second of each run.
pub fn seconds(outcomes: &[Outcome]) -> String {
    let mut out = String::new();
    for o in outcomes {
        let _ = writeln!(
            out,
            "\n{} {} seed {}",
            o.case,
            variant_name(o.report.variant),
            o.report.seed
        );
        let _ = writeln!(
            out,
            "second  in time  refused  failed  capacity by zone, spilled there (% of it)"
        );
        for (n, s) in o
            .report
            .seconds
            .iter()
            .enumerate()
            .filter(|(_, s)| s.asked > 0.0)
        {
            let _ = write!(
                out,
                "{n:6}  {:7.3}  {:7}  {:6} ",
                s.in_time / s.asked,
                s.refused,
                s.failed
            );
            for (capacity, spilled) in s.capacity.iter().zip(&s.spilled) {
                let share = if *capacity > 0.0 {
                    spilled / capacity * 100.0
                } else {
                    0.0
                };
                let _ = write!(out, "  {capacity:5.0} {share:3.0}%");
            }
            let _ = writeln!(out);
        }
    }
    out
}
