//! Outlier vote: the verdicts on nodes, as a pure function of the fresh opinions of all routers.
//!
//! Routers with the same records and the same endpoint list reach the same verdicts, so no leader is needed.

use crate::observations::Observation;
use crate::reach::suspects_own_links;
use crate::rules::{Guard, Rules};
use plovercove::{GroupId, Micros, NodeId};
use std::collections::{BTreeMap, BTreeSet};

/// Slowness from which on a node gets reduced weight.
const REDUCED_WEIGHT_SLOWNESS: f64 = 3.0;
/// Slowness from which on a replica is ejected.
const EJECTION_SLOWNESS: f64 = 8.0;
/// Share of the observers that have to find a node bad for reduced weight.
const REDUCED_WEIGHT_SHARE: f64 = 0.4;
/// Share of the observers that have to find a node bad for its ejection.
const EJECTION_SHARE: f64 = 0.6;
/// Number of members of a group for each one that may be ejected.
const MEMBERS_PER_EJECTION: usize = 3;

/// Level at which a node takes part.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Level {
    /// The node is fully in service.
    #[default]
    InService,
    /// The node has reduced weight.
    ReducedWeight,
    /// The node is ejected. It gets only requests that no other node can serve, and trial requests of a few routers.
    Ejected,
}

impl Level {
    /// Returns the label of the level in logs.
    pub fn label(self) -> &'static str {
        match self {
            Level::InService => "in",
            Level::ReducedWeight => "doubted",
            Level::Ejected => "out",
        }
    }
}

/// Node about which the routers vote.
#[derive(Clone, Debug)]
pub struct Subject {
    /// Name of the node.
    pub node: NodeId,
    /// Group of the node.
    pub group: GroupId,
    /// Whether the endpoint list has the node as the primary of its group.
    pub primary: bool,
}

/// Opinion of one observer about one node. Observers and zones are numbered; only the equality of two numbers has a meaning.
#[derive(Clone, Copy, Debug)]
pub struct Opinion {
    /// Number of the observer.
    pub observer: u32,
    /// Number of the observer's zone.
    pub zone: u32,
    /// The observation.
    pub observation: Observation,
    /// Age of the opinion.
    pub age: Micros,
}

/// Verdict on a node, and its evidence.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Verdict {
    /// Level of the node.
    pub level: Level,
    /// Number of observers that find the node bad.
    pub observers: usize,
    /// Age of the oldest opinion behind the verdict.
    pub oldest: Micros,
    /// Label of the reason for the verdict, in logs.
    pub why: &'static str,
}

impl Opinion {
    /// Returns whether the opinion is against the node.
    pub(crate) fn accuses(&self) -> bool {
        self.observation.fails() || self.observation.is_slow()
    }
}

/// Returns these opinions without the accusations that were outvoted by later opinions.
///
/// A router that a node serves stops repeating this report once the accusations are outvoted and old, and the report counts
/// for a shorter time than an accusation. Without this step, an accusation that all other routers contradicted would win as
/// soon as their reports stop counting.
pub(crate) fn without_outvoted<'a>(
    opinions: impl Iterator<Item = &'a Opinion>,
) -> Vec<&'a Opinion> {
    let mut opinions: Vec<&Opinion> = opinions.collect();
    // The latest opinions come first. Among opinions of the same age, accusations come last.
    opinions.sort_by_key(|opinion| (opinion.age, opinion.accuses(), opinion.observer));
    let (mut accusing, mut serving) = (0, 0);
    opinions.retain(|opinion| {
        if !opinion.accuses() {
            serving += u32::from(opinion.observation.serves());
            return true;
        }
        let share = f64::from(accusing + 1) / f64::from(accusing + 1 + serving);
        let is_upheld = share >= REDUCED_WEIGHT_SHARE;
        accusing += u32::from(is_upheld);
        is_upheld
    });
    opinions
}

/// Returns the verdict on one node by the opinions about it, and for how long it has been bad.
///
/// The opinions of the observers in `distrusted` do not count, since their own links may be at fault.
fn verdict_on(
    rules: &Rules,
    subject: &Subject,
    opinions: &[Opinion],
    zones: usize,
    distrusted: &BTreeSet<u32>,
) -> (Verdict, Micros) {
    let settle_time = rules.settle_time();
    // Reports that the node serves count only while they are fresh. Routers repeat them, and older ones would protect a node
    // that has failed since.
    let counts = |o: &&Opinion| o.accuses() || o.age <= rules.support_lifetime();
    let is_trusted = |o: &&Opinion| !distrusted.contains(&o.observer);
    let upheld = without_outvoted(opinions.iter().filter(is_trusted)).into_iter();
    let counted: Vec<&Opinion> = upheld.filter(counts).collect();
    // The node that has been bad for longest ranks as the worst, so that the choice of the node that a group cannot spare
    // does not change from one review to the next.
    let bad_for = |bad: &[&Opinion]| {
        bad.iter()
            .map(|o| o.age + o.observation.duration())
            .max()
            .unwrap_or(0)
    };
    let verdict = |bad: &[&Opinion], level: Level, why: &'static str| Verdict {
        level,
        observers: bad.len(),
        oldest: bad.iter().map(|o| o.age).max().unwrap_or(0),
        why,
    };
    let are_in_several_zones = |bad: &[&Opinion]| {
        let observer_zones: BTreeSet<u32> = bad.iter().map(|o| o.zone).collect();
        !rules.is_enabled(Guard::OneZone) || zones < 2 || observer_zones.len() >= 2
    };
    let are_enough_observers =
        |bad: &[&Opinion]| !rules.is_enabled(Guard::Observers) || bad.len() >= 2;
    let share = |bad: &[&Opinion]| bad.len() as f64 / counted.len().max(1) as f64;
    let bad: Vec<&Opinion> = counted
        .iter()
        .copied()
        .filter(|o| o.observation.fails())
        .collect();
    let max_per_observer = if rules.is_enabled(Guard::Observers) {
        rules.max_failures_per_observer()
    } else {
        f64::INFINITY
    };
    // An accusation counts after the routers that the node serves had time to report that.
    let is_settled = |o: &&&Opinion| o.age + o.observation.duration() >= settle_time;
    let failures: f64 = bad
        .iter()
        .filter(is_settled)
        .map(|o| o.observation.failures().min(max_per_observer))
        .sum();
    let needed_failures = f64::from(rules.failures) - 0.5;
    if are_enough_observers(&bad)
        && failures >= needed_failures
        && share(&bad) >= REDUCED_WEIGHT_SHARE
    {
        if !are_in_several_zones(&bad) {
            return (verdict(&bad, Level::InService, "one zone"), 0);
        }
        let level = if share(&bad) >= EJECTION_SHARE {
            Level::Ejected
        } else {
            Level::ReducedWeight
        };
        return (verdict(&bad, level, "fails"), bad_for(&bad));
    }
    let slower_than = |factor: f64| {
        counted
            .iter()
            .copied()
            .filter(|o| {
                o.observation
                    .slowness()
                    .is_some_and(|slowness| slowness >= factor)
            })
            .collect::<Vec<_>>()
    };
    for (factor, level) in [
        (EJECTION_SLOWNESS, Level::Ejected),
        (REDUCED_WEIGHT_SLOWNESS, Level::ReducedWeight),
    ] {
        let slow = slower_than(factor);
        let is_old = slow
            .iter()
            .any(|o| o.age + o.observation.duration() >= settle_time);
        if are_enough_observers(&slow)
            && !slow.is_empty()
            && is_old
            && share(&slow) >= EJECTION_SHARE
            && are_in_several_zones(&slow)
        {
            let is_spared = subject.primary && rules.is_enabled(Guard::Primary);
            return (
                verdict(
                    &slow,
                    if is_spared {
                        Level::ReducedWeight
                    } else {
                        level
                    },
                    "slow",
                ),
                bad_for(&slow),
            );
        }
    }
    (Verdict::default(), 0)
}

/// Returns the verdicts on nodes. `cases` are all nodes that serve, each with the opinions about it; `zones` is the number of
/// zones with routers.
pub fn decide_verdicts(
    rules: &Rules,
    cases: &[(Subject, Vec<Opinion>)],
    zones: usize,
) -> BTreeMap<NodeId, Verdict> {
    // Finds the observers that see many nodes fail, whose own links may be at fault. Their greatest reported numbers count:
    // the first reports are too early to include all failures, and the last ones come when the router has stopped trying.
    // The number of nodes that an observer accuses counts as well, since it may not have seen all of them fail at the same
    // time.
    let mut nodes_by_observer: BTreeMap<u32, (u16, u16, u16)> = BTreeMap::new();
    for opinion in cases
        .iter()
        .flat_map(|(_, opinions)| opinions)
        .filter(|_| rules.is_enabled(Guard::Blame))
    {
        let (failing, nodes, accused) = nodes_by_observer.entry(opinion.observer).or_default();
        *failing = (*failing).max(opinion.observation.nodes_failing);
        *nodes = (*nodes).max(opinion.observation.nodes_seen);
        *accused += u16::from(opinion.observation.fails());
    }
    let sees_many_fail = |(failing, nodes, accused): (u16, u16, u16)| {
        suspects_own_links(usize::from(failing.max(accused)), usize::from(nodes))
    };
    let distrusted: BTreeSet<u32> = nodes_by_observer
        .into_iter()
        .filter(|(_, counts)| sees_many_fail(*counts))
        .map(|(observer, _)| observer)
        .collect();
    let mut verdicts = BTreeMap::new();
    let mut ejected: BTreeMap<GroupId, Vec<(Micros, NodeId)>> = BTreeMap::new();
    for (subject, opinions) in cases.iter().filter(|(_, opinions)| !opinions.is_empty()) {
        let (verdict, bad_for) = verdict_on(rules, subject, opinions, zones, &distrusted);
        if verdict.level == Level::Ejected {
            ejected
                .entry(subject.group)
                .or_default()
                .push((bad_for, subject.node.clone()));
        }
        if verdict != Verdict::default() {
            verdicts.insert(subject.node.clone(), verdict);
        }
    }
    for (group, mut nodes) in ejected {
        let members = cases
            .iter()
            .filter(|(subject, _)| subject.group == group)
            .count();
        let allowed = if rules.is_enabled(Guard::Third) {
            members / MEMBERS_PER_EJECTION
        } else {
            members
        };
        // The worst come first. The name decides between equal ones, so that all routers decide alike.
        nodes.sort_by(|a, b| b.0.cmp(&a.0).then_with(|| a.1.cmp(&b.1)));
        for (_, node) in nodes.into_iter().skip(allowed) {
            verdicts.entry(node).and_modify(|verdict| {
                (verdict.level, verdict.why) = (Level::ReducedWeight, "no more of its group")
            });
        }
    }
    verdicts
}

#[cfg(test)]
mod tests;
