//! Checks of lease holders: each lease is a register whose value is a fencing token that only rises.
//!
//! **Linearizability without a search.** An effect is an operation that lasts from `begin` to `end` and shows its
//! token. A history of such operations is linearizable, with tokens that never fall, if and only if no operation ends
//! before another one begins that shows a lower token. The condition is clearly necessary. It is also sufficient: draw
//! an edge from A to B if A ends before B begins, and also if the token of A is lower than that of B. If the condition
//! holds, tokens never fall along any edge. A cycle would thus consist only of edges of time, which form no cycle. Any
//! order along the edges is a linearization. One pass in the order of time is therefore enough, whereas a search over
//! orders takes exponential time in the worst case.

use crate::report::{ReportBuilder, RunContext};
use crate::{EffectApplied, EffectRejected, Event, LineRef};
use plovercove_fencing::{LeaseName, Token};
use std::collections::{BTreeMap, HashMap, HashSet};

/// An accepted effect with its line.
type Effect<'a> = (LineRef<'a>, &'a EffectApplied);

pub(crate) fn check(run: &RunContext<'_>, report: &mut ReportBuilder) {
    let mut leases: BTreeMap<&LeaseName, Vec<Effect<'_>>> = BTreeMap::new();
    let mut rejections: Vec<(LineRef<'_>, &EffectRejected)> = Vec::new();
    for line_ref in run.history.lines().filter(|line_ref| !line_ref.line.claim) {
        match &line_ref.line.event {
            Event::EffectApplied(effect) => leases
                .entry(&effect.lease)
                .or_default()
                .push((line_ref, effect)),
            Event::EffectRejected(rejected) => rejections.push((line_ref, rejected)),
            _ => {}
        }
    }
    report.counts.effects = leases.values().map(Vec::len).sum();
    report.counts.rejected_effects = rejections.len();
    for (lease, effects) in &mut leases {
        effects.sort_by_key(|(_, effect)| (effect.begin, effect.end));
        check_token_holders(report, lease, effects);
        check_token_order(report, lease, effects);
        check_overlap(run, report, lease, effects);
    }
    for (line_ref, rejected) in rejections {
        if rejected.token >= rejected.newest_known_token && rejected.token != Token::NONE {
            let description = format!(
                "{} rejected {} of {}, although the newest token that it knew was {}",
                rejected.target, rejected.token, rejected.holder, rejected.newest_known_token
            );
            report.add("refused", rejected.lease.as_str(), description, &[line_ref]);
        }
    }
}

/// Checks that a token belongs to one lease holder, and that no effect with the token 0 passes a target that checks
/// tokens.
fn check_token_holders(report: &mut ReportBuilder, lease: &LeaseName, effects: &[Effect<'_>]) {
    let mut holders: HashMap<Token, Effect<'_>> = HashMap::new();
    for (line_ref, effect) in effects {
        if effect.fenced && effect.token == Token::NONE {
            let description = format!(
                "{} accepted an effect of {} without a token",
                effect.target, effect.holder
            );
            report.add("token-none", lease.as_str(), description, &[*line_ref]);
        }
        if effect.token == Token::NONE {
            continue;
        }
        let (first, known) = holders.entry(effect.token).or_insert((*line_ref, effect));
        if known.holder != effect.holder {
            let description = format!(
                "{} belongs to both {} and {}",
                effect.token, known.holder, effect.holder
            );
            report.add(
                "token-twice",
                lease.as_str(),
                description,
                &[*first, *line_ref],
            );
        }
    }
}

/// Checks that the effects that each target with a check of tokens accepts are linearizable: no effect with an older
/// token begins after an effect with a newer token has ended at the target.
fn check_token_order(report: &mut ReportBuilder, lease: &LeaseName, effects: &[Effect<'_>]) {
    let mut targets: BTreeMap<&str, Vec<Effect<'_>>> = BTreeMap::new();
    for effect in effects.iter().filter(|(_, effect)| effect.fenced) {
        targets.entry(&effect.1.target).or_default().push(*effect);
    }
    for (target, effects) in targets {
        let mut ends: Vec<Effect<'_>> = effects.clone();
        ends.sort_by_key(|(_, effect)| effect.end);
        let (mut ended_count, mut newest) = (0, None::<Effect<'_>>);
        for (line_ref, effect) in effects {
            while let Some(ended) = ends
                .get(ended_count)
                .filter(|(_, other)| other.end < effect.begin)
            {
                // Among equal tokens the latest effect is used, so that the cited lines cover a short time.
                if newest.is_none_or(|(_, newer)| newer.token <= ended.1.token) {
                    newest = Some(*ended);
                }
                ended_count += 1;
            }
            if let Some((before, newer)) = newest.filter(|(_, newer)| newer.token > effect.token) {
                let description = format!(
                    "{target} accepted {} of {} after {} of {}",
                    effect.token, effect.holder, newer.token, newer.holder
                );
                report.add(
                    "token-fell",
                    lease.as_str(),
                    description,
                    &[before, line_ref],
                );
            }
        }
    }
}

/// Checks that at most one lease holder acts at a time over all targets, apart from the allowed overlap: no effect with
/// a token ends later than the overlap after the first effect of another lease holder with a newer token.
fn check_overlap(
    run: &RunContext<'_>,
    report: &mut ReportBuilder,
    lease: &LeaseName,
    effects: &[Effect<'_>],
) {
    let max_overlap = run.bounds.max_overlap;
    let mut seen_tokens: HashSet<Token> = HashSet::new();
    // The first effect of each token in the order of time, and with it the effect with the newest token so far.
    let mut first_effects: Vec<(Effect<'_>, Effect<'_>)> = Vec::new();
    for effect in effects
        .iter()
        .filter(|(_, effect)| effect.token != Token::NONE)
    {
        if seen_tokens.insert(effect.1.token) {
            let newest = first_effects
                .last()
                .map(|(_, newer)| *newer)
                .filter(|(_, newer)| newer.token > effect.1.token);
            first_effects.push((*effect, newest.unwrap_or(*effect)));
        }
    }
    for (line_ref, effect) in effects
        .iter()
        .filter(|(_, effect)| effect.token != Token::NONE)
    {
        let until = effect.end.saturating_sub(max_overlap);
        let before =
            &first_effects[..first_effects.partition_point(|((_, first), _)| first.begin < until)];
        let Some((_, newest)) = before
            .last()
            .filter(|(_, newer)| newer.1.token > effect.token)
        else {
            continue;
        };
        // The newest token may belong to the same lease holder; then that of another one may lie in between.
        let other = Some(*newest)
            .filter(|(_, newer)| newer.holder != effect.holder)
            .or_else(|| {
                let firsts = before.iter().rev().map(|(first, _)| *first);
                firsts
                    .into_iter()
                    .find(|(_, other)| other.token > effect.token && other.holder != effect.holder)
            });
        if let Some((first, newer)) = other {
            let duration = (effect.end - newer.begin) as f64 / 1e6;
            let description = format!(
                "{} of {} acts on {} {duration:.6} s after",
                effect.token, effect.holder, effect.target
            );
            let description = format!(
                "{description} the first effect of {} of {}",
                newer.token, newer.holder
            );
            report.add(
                "two-owners",
                lease.as_str(),
                format!("{description}; the allowed overlap is {max_overlap} us"),
                &[first, *line_ref],
            );
        }
    }
    // Effects without a token do not show whether a lease holder returned or never stopped, so only effects that
    // overlap in time are a violation. It is enough to keep, for the last two lease holders, the effect that ends last.
    let mut last: [Option<Effect<'_>>; 2] = [None, None];
    for (line_ref, effect) in effects
        .iter()
        .filter(|(_, effect)| effect.token == Token::NONE)
    {
        for (other_line, other) in last
            .iter()
            .flatten()
            .filter(|(_, other)| other.holder != effect.holder)
        {
            let shared = other.end.min(effect.end).saturating_sub(effect.begin);
            if shared > max_overlap {
                let description = format!(
                    "{} and {} act at the same time for {shared} us",
                    other.holder, effect.holder
                );
                report.add(
                    "two-owners",
                    lease.as_str(),
                    format!("{description}; the allowed overlap is {max_overlap} us"),
                    &[*other_line, *line_ref],
                );
            }
        }
        let own_slot = last
            .iter()
            .position(|kept| kept.is_some_and(|(_, other)| other.holder == effect.holder));
        let slot = own_slot.unwrap_or_else(|| {
            usize::from(
                last[0].map_or(0, |(_, other)| other.end)
                    > last[1].map_or(0, |(_, other)| other.end),
            )
        });
        if last[slot].is_none_or(|(_, other)| other.end <= effect.end) {
            last[slot] = Some((*line_ref, effect));
        }
    }
}
