//! Is this node bad, for all of us? A pure function of the fresh opinions: routers with the same records and the same
//! list come to the same verdicts, and nobody has to lead.

use crate::observations::Observation;
use crate::reach::blames_itself;
use crate::rules::{Guard, Rules};
use plovercove::{GroupId, Micros, NodeId};
use std::collections::{BTreeMap, BTreeSet};

/// A node is doubted where others answer so many times faster, and a replica is out at so many.
const SLOW: (f64, f64) = (3.0, 8.0);
/// Of those who saw a node of late, so many must find it bad: for less weight, and for none.
const SHARE: (f64, f64) = (0.4, 0.6);
/// At most one of so many members of a group is out.
const THIRD: usize = 3;

/// What the verdict on a node is.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Level {
    /// It takes part.
    #[default]
    InService,
    /// It counts for less.
    ReducedWeight,
    /// It gets nothing but what only it can do, and trials by a few.
    Ejected,
}

impl Level {
    /// In a word, for logs.
    pub fn label(self) -> &'static str {
        match self {
            Level::InService => "in",
            Level::ReducedWeight => "doubted",
            Level::Ejected => "out",
        }
    }
}

/// A node that is judged.
#[derive(Clone, Debug)]
pub struct Subject {
    /// The node.
    pub node: NodeId,
    /// Its group.
    pub group: GroupId,
    /// Whether the list holds it for its group's primary.
    pub primary: bool,
}

/// What one observer says of one node. Observers and zones go by numbers; only whether two are the same matters.
#[derive(Clone, Copy, Debug)]
pub struct Opinion {
    /// Who says it.
    pub observer: u32,
    /// The zone it stands in.
    pub zone: u32,
    /// What it saw.
    pub seen: Observation,
    /// How long ago it said so.
    pub age: Micros,
}

/// A verdict, and what it rests on.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Verdict {
    /// The level.
    pub level: Level,
    /// Observers that find the node bad.
    pub observers: usize,
    /// The age of the oldest evidence that it rests on.
    pub oldest: Micros,
    /// What decided, in a word or two.
    pub why: &'static str,
}

impl Opinion {
    /// Whether it speaks against the node.
    pub(crate) fn accuses(&self) -> bool {
        self.seen.fails() || self.seen.is_slow()
    }
}

/// These opinions without the accusations that were outvoted by what was said since.
///
/// Who is served says so once, and is believed for a shorter time than an accusation lives. Without this an accusation that
/// all others contradicted would win as soon as they are believed no more.
pub(crate) fn without_outvoted<'a>(
    opinions: impl Iterator<Item = &'a Opinion>,
) -> Vec<&'a Opinion> {
    let mut opinions: Vec<&Opinion> = opinions.collect();
    // The latest first; of two that spoke at once, who is served.
    opinions.sort_by_key(|opinion| (opinion.age, opinion.accuses(), opinion.observer));
    let (mut accusing, mut serving) = (0, 0);
    opinions.retain(|opinion| {
        if !opinion.accuses() {
            serving += u32::from(opinion.seen.serves());
            return true;
        }
        let share = f64::from(accusing + 1) / f64::from(accusing + 1 + serving);
        let stands = share >= SHARE.0;
        accusing += u32::from(stands);
        stands
    });
    opinions
}

/// One node as all see it.
fn weigh(
    rules: &Rules,
    subject: &Subject,
    opinions: &[Opinion],
    zones: usize,
    blind: &BTreeSet<u32>,
) -> (Verdict, Micros) {
    let settle = rules.settle();
    // Danger: a node that dies would be held up by what it did before: who is answered by it says so again and again.
    let counts = |o: &&Opinion| o.accuses() || o.age <= rules.fresh();
    let sees = |o: &&Opinion| !blind.contains(&o.observer);
    let standing = without_outvoted(opinions.iter().filter(sees)).into_iter();
    let told: Vec<&Opinion> = standing.filter(counts).collect();
    // What is bad for longer stays the worse: whom a group cannot spare must not change from one review to the next.
    let lasted = |bad: &[&Opinion]| {
        bad.iter()
            .map(|o| o.age + o.seen.duration())
            .max()
            .unwrap_or(0)
    };
    let verdict = |bad: &[&Opinion], level: Level, why: &'static str| Verdict {
        level,
        observers: bad.len(),
        oldest: bad.iter().map(|o| o.age).max().unwrap_or(0),
        why,
    };
    let spread = |bad: &[&Opinion]| {
        let seen: BTreeSet<u32> = bad.iter().map(|o| o.zone).collect();
        !rules.on(Guard::OneZone) || zones < 2 || seen.len() >= 2
    };
    let enough = |bad: &[&Opinion]| !rules.on(Guard::Observers) || bad.len() >= 2;
    let share = |bad: &[&Opinion]| bad.len() as f64 / told.len().max(1) as f64;
    let bad: Vec<&Opinion> = told.iter().copied().filter(|o| o.seen.fails()).collect();
    let each = if rules.on(Guard::Observers) {
        rules.each()
    } else {
        f64::INFINITY
    };
    // An accusation counts once those who saw the node serve had time to say so.
    let settled = |o: &&&Opinion| o.age + o.seen.duration() >= settle;
    let failures: f64 = bad
        .iter()
        .filter(settled)
        .map(|o| o.seen.failures().min(each))
        .sum();
    let need = f64::from(rules.failures) - 0.5;
    if enough(&bad) && failures >= need && share(&bad) >= SHARE.0 {
        if !spread(&bad) {
            return (verdict(&bad, Level::InService, "one zone"), 0);
        }
        let level = if share(&bad) >= SHARE.1 {
            Level::Ejected
        } else {
            Level::ReducedWeight
        };
        return (verdict(&bad, level, "fails"), lasted(&bad));
    }
    let slower = |by: f64| {
        told.iter()
            .copied()
            .filter(|o| o.seen.slowness().is_some_and(|s| s >= by))
            .collect::<Vec<_>>()
    };
    for (by, level) in [(SLOW.1, Level::Ejected), (SLOW.0, Level::ReducedWeight)] {
        let slow = slower(by);
        let old = slow.iter().any(|o| o.age + o.seen.duration() >= settle);
        if enough(&slow) && !slow.is_empty() && old && share(&slow) >= SHARE.1 && spread(&slow) {
            let spared = subject.primary && rules.on(Guard::Primary);
            return (
                verdict(
                    &slow,
                    if spared { Level::ReducedWeight } else { level },
                    "slow",
                ),
                lasted(&slow),
            );
        }
    }
    (Verdict::default(), 0)
}

/// The verdicts on these nodes, all that serve, each with the fresh opinions on it. `zones` is in how many zones routers
/// stand.
pub fn decide_verdicts(
    rules: &Rules,
    cases: &[(Subject, Vec<Opinion>)],
    zones: usize,
) -> BTreeMap<NodeId, Verdict> {
    // Who sees most nodes fail: by the most that it told of, since what it says first it says before it can know, and what
    // it says last when it has stopped trying; and by how many it accuses, which it need not have seen fail at once.
    let mut sights: BTreeMap<u32, (u16, u16, u16)> = BTreeMap::new();
    for opinion in cases
        .iter()
        .flat_map(|(_, told)| told)
        .filter(|_| rules.on(Guard::Blame))
    {
        let (failing, nodes, accused) = sights.entry(opinion.observer).or_default();
        *failing = (*failing).max(opinion.seen.nodes_failing);
        *nodes = (*nodes).max(opinion.seen.nodes_seen);
        *accused += u16::from(opinion.seen.fails());
    }
    let blames = |(failing, nodes, accused): (u16, u16, u16)| {
        blames_itself(usize::from(failing.max(accused)), usize::from(nodes))
    };
    let blind: BTreeSet<u32> = sights
        .into_iter()
        .filter(|(_, s)| blames(*s))
        .map(|(o, _)| o)
        .collect();
    let mut verdicts = BTreeMap::new();
    let mut out: BTreeMap<GroupId, Vec<(Micros, NodeId)>> = BTreeMap::new();
    for (subject, told) in cases.iter().filter(|(_, told)| !told.is_empty()) {
        let (verdict, weight) = weigh(rules, subject, told, zones, &blind);
        if verdict.level == Level::Ejected {
            out.entry(subject.group)
                .or_default()
                .push((weight, subject.node.clone()));
        }
        if verdict != Verdict::default() {
            verdicts.insert(subject.node.clone(), verdict);
        }
    }
    for (group, mut nodes) in out {
        let members = cases.iter().filter(|(s, _)| s.group == group).count();
        let allowed = if rules.on(Guard::Third) {
            members / THIRD
        } else {
            members
        };
        // The worst first; the name decides between equals, so that all decide alike.
        nodes.sort_by(|a, b| b.0.cmp(&a.0).then_with(|| a.1.cmp(&b.1)));
        for (_, node) in nodes.into_iter().skip(allowed) {
            verdicts
                .entry(node)
                .and_modify(|v| (v.level, v.why) = (Level::ReducedWeight, "no more of its group"));
        }
    }
    verdicts
}

#[cfg(test)]
mod tests;
