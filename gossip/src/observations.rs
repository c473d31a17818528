//! What one router saw of each db node's present life, and when that is worth telling the others.

use crate::reach::Reach;
use crate::rules::{Guard, HOLD, Rules};
use plovercove::{AttemptEnd, EndpointState, EndpointUpdate, Micros, NodeId, Time};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt;

/// A sample of slowness counts for so much in a running mean: some ten samples of memory.
const GAIN: f64 = 0.1;
/// Answers before a node's slowness says anything.
const SAMPLES: u32 = 5;
/// Slower than others by so many times is worth telling.
const SLOW: f64 = 3.0;
/// Once so many accuse a node, and once so many say that it serves, who has not done so yet need not: it would only cost all
/// of them datagrams. Of a node that is merely busy, whom hundreds of routers meet rarely, some always know nothing but a
/// time-out: those it serves must be able to outvote them.
const ENOUGH: (usize, usize) = (12, 24);
/// Who accuses must have seen the node fail within this time, and who answers an accusation must have been answered by it: what it
/// did before says nothing, and would be told as if it were new.
const FRESH: Micros = 2_000_000;
/// Failures in a row after which what a node answered before them says nothing more of it.
const FAILURES_IN_A_ROW: u32 = 2;
/// So much of a faded count is still one sight.
const SIGHT: f64 = 0.5;

/// What a router saw of a node: counts that fade by half in a third of the evidence's life.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Observation {
    /// Requests that it answered, in tenths.
    pub answers: u16,
    /// Errors, in tenths.
    pub errors: u16,
    /// Time-outs and connections that broke, in tenths.
    pub no_reply: u16,
    /// Connections that did not come up, in tenths.
    pub unreachable: u16,
    /// Writes that it turned away as no primary, in tenths.
    pub misdirected: u16,
    /// How many times slower than other nodes it answers, in tenths; 0 where too few were seen.
    pub slowness_tenths: u16,
    /// For how long it has been so, failing or slow, when this was told, in tenths of a second.
    pub duration_tenths_s: u16,
    /// Of how many nodes the router saw anything ...
    pub nodes_seen: u16,
    /// ... and how many of them fail.
    pub nodes_failing: u16,
}

impl Observation {
    /// Failures of all kinds.
    pub fn failures(&self) -> f64 {
        f64::from(self.errors) / 10.0
            + f64::from(self.no_reply) / 10.0
            + f64::from(self.unreachable) / 10.0
    }

    /// Whether it fails more than it answers.
    pub fn fails(&self) -> bool {
        self.failures() >= SIGHT && self.failures() >= f64::from(self.answers) / 10.0
    }

    /// With the failures of what was told before, where those were more and the node fails still: counts fade, and a further
    /// failure must not make an accusation weaker.
    fn with_failures_of(self, told: &Observation) -> Observation {
        if !self.fails() || told.failures() <= self.failures() {
            return self;
        }
        Observation {
            errors: told.errors,
            no_reply: told.no_reply,
            unreachable: told.unreachable,
            ..self
        }
    }

    /// Whether it answers.
    pub fn serves(&self) -> bool {
        !self.fails() && f64::from(self.answers) / 10.0 >= SIGHT
    }

    /// Whether it is slow enough to be worth telling.
    pub(crate) fn is_slow(&self) -> bool {
        self.slowness().unwrap_or(1.0) >= SLOW
    }

    /// For how long it had been so when this was told (us).
    pub fn duration(&self) -> Micros {
        Micros::from(self.duration_tenths_s) * 100_000
    }

    /// How many times slower than others it answers; none where too few were seen.
    pub fn slowness(&self) -> Option<f64> {
        (self.slowness_tenths > 0).then_some(f64::from(self.slowness_tenths) / 10.0)
    }
}

impl fmt::Display for Observation {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            out,
            "{:.1} failures, {:.1} answers, slowness {:.1}, for {:.1} s; {} of {} nodes fail",
            self.failures(),
            f64::from(self.answers) / 10.0,
            self.slowness().unwrap_or(0.0),
            f64::from(self.duration_tenths_s) / 10.0,
            self.nodes_failing,
            self.nodes_seen
        )
    }
}

#[derive(Default)]
struct Node {
    started: Option<Time>,
    at: Time,
    /// Answers, errors, silences, refused connections, denials; faded up to `at`.
    counts: [f64; 5],
    /// Running mean of the logarithm of its slowness.
    slow: f64,
    samples: u32,
    told: Option<(Time, Observation)>,
    /// When it answered last.
    answered: Time,
    /// When it failed last.
    failed: Time,
    /// Failures since it answered last.
    failures_in_a_row: u32,
    /// Since when enough others accuse it that it matters what this router saw.
    contested: Option<Time>,
    /// Since when it fails or is slow.
    since: Option<Time>,
    /// Since when it fails.
    failing_since: Option<Time>,
}

impl Node {
    fn fade(&mut self, now: Time, half: f64) {
        let passed = now.saturating_sub(self.at) as f64;
        let factor = 0.5_f64.powf(passed / half);
        self.counts.iter_mut().for_each(|count| *count *= factor);
        self.at = now;
    }

    /// Whether it failed since it was told last: an accusation told again without that would outlive its evidence.
    fn has_failed_since_told(&self) -> bool {
        self.told.is_none_or(|(told_at, _)| self.failed > told_at)
    }

    /// Whether what it fails at may be the fault of this router's own links. An accusation that goes on needs answers of
    /// others since it was told last.
    fn is_uncertain(&self, reach: &Reach) -> bool {
        let told_at = self.told.filter(|(_, told)| told.fails()).map(|(at, _)| at);
        let since = self.failing_since.max(told_at);
        since.is_some_and(|since| reach.is_uncertain_since(since))
    }

    fn seen(&self, now: Time, half: f64) -> Observation {
        let factor = 0.5_f64.powf(now.saturating_sub(self.at) as f64 / half);
        let tenths = |count: f64| (count * factor * 10.0).round().min(65_535.0) as u16;
        let [answers, errors, silent, unreachable, misdirected] = self.counts.map(tenths);
        let answers = if self.failures_in_a_row < FAILURES_IN_A_ROW {
            answers
        } else {
            0
        };
        let slow = if self.samples >= SAMPLES {
            (self.slow.exp() * 10.0).round().clamp(1.0, 60_000.0) as u16
        } else {
            0
        };
        Observation {
            answers,
            errors,
            no_reply: silent,
            unreachable,
            misdirected,
            slowness_tenths: slow,
            ..Observation::default()
        }
    }
}

/// What the others say of a node.
#[derive(Clone, Copy, Debug, Default)]
pub struct PeerEvidence {
    /// How many accuse it.
    pub accusers: usize,
    /// How many say that it serves.
    pub supporters: usize,
    /// Whether one more accuser could take it out.
    pub contested: bool,
    /// How long this router waits before it says that it serves: another may say so first.
    pub wait: Micros,
}

/// What a router saw.
#[derive(Default)]
pub struct Observations {
    nodes: BTreeMap<NodeId, Node>,
    /// Running mean of the logarithm of the time of an answer (us) by class; a slow node among few hardly moves it.
    usual: Vec<f64>,
    half: f64,
    /// Until then failures may be this router's own: it was stopped.
    doubts: Time,
}

impl Observations {
    /// A ledger for so many classes.
    pub fn new(rules: &Rules, classes: usize) -> Self {
        let half = rules.evidence_lifetime() as f64 / 3.0;
        Observations {
            nodes: BTreeMap::new(),
            usual: vec![0.0; classes],
            half,
            doubts: 0,
        }
    }

    /// The list said something. Another start of a node is another life: what was seen of the old one is over.
    pub fn listed(&mut self, update: &EndpointUpdate) {
        let (entries, whole) = match update {
            EndpointUpdate::Changes(entries) => (entries, false),
            EndpointUpdate::Full(entries) | EndpointUpdate::Restored(entries) => (entries, true),
            EndpointUpdate::Failed => return,
        };
        if whole {
            self.nodes
                .retain(|id, _| entries.iter().any(|e| e.node == *id));
        }
        for entry in entries {
            if entry.state == EndpointState::Removed {
                self.nodes.remove(&entry.node);
                continue;
            }
            let node = self.nodes.entry(entry.node.clone()).or_default();
            if node.started != entry.started_at {
                *node = Node {
                    started: entry.started_at,
                    ..Node::default()
                };
            }
        }
    }

    /// This router stood still until now: what ended badly meanwhile says nothing of the nodes.
    pub fn awoke(&mut self, now: Time, doubts: Micros) {
        self.doubts = now + doubts;
    }

    /// An attempt ended.
    pub fn ended(
        &mut self,
        now: Time,
        class: usize,
        write: bool,
        id: &NodeId,
        ending: AttemptEnd,
        elapsed: Micros,
    ) {
        let place = match ending {
            AttemptEnd::Success => 0,
            AttemptEnd::Misdirected if write => 4,
            AttemptEnd::Misdirected => 0,
            AttemptEnd::Failure => 1,
            AttemptEnd::TimedOut | AttemptEnd::Reset => 2,
            AttemptEnd::Unreachable => 3,
            AttemptEnd::Overloaded | AttemptEnd::Cancelled | AttemptEnd::NeverSent => return,
        };
        if now < self.doubts && (1..=3).contains(&place) {
            return;
        }
        let half = self.half;
        let Some(node) = self.nodes.get_mut(id) else {
            return;
        };
        node.fade(now, half);
        node.counts[place] += 1.0;
        match place {
            0 => {
                node.answered = now;
                node.failures_in_a_row = 0;
            }
            1..=3 => {
                node.failed = now;
                node.failures_in_a_row = node.failures_in_a_row.saturating_add(1);
            }
            _ => {}
        }
        if ending == AttemptEnd::Success
            && let Some(usual) = self.usual.get_mut(class)
        {
            let took = (elapsed.max(1) as f64).ln();
            *usual = if *usual == 0.0 {
                took
            } else {
                *usual + GAIN * (took - *usual)
            };
            node.slow += GAIN.max(1.0 / f64::from(node.samples + 1)) * (took - *usual - node.slow);
            node.samples += 1;
        }
    }

    /// How all nodes stand, by what was seen of each.
    fn reach(&self, seen: &[(NodeId, Observation)]) -> Reach {
        let mut reach = Reach::default();
        for (id, seen) in seen {
            let Some(node) = self.nodes.get(id) else {
                continue;
            };
            if seen.fails() {
                reach.failing += 1;
            } else if seen.serves() && node.failed > node.answered {
                reach.suspected += 1;
            } else if seen.serves() {
                reach.last_answers.push(node.answered);
            }
        }
        reach
    }

    /// What is worth telling now: a node that begins or goes on to fail, or that is slow, and what this router saw of one
    /// that others accuse; `others` tells how many others accuse it, and how many say that it serves. Each with its node, that node's start, and what was seen.
    pub fn news(
        &mut self,
        now: Time,
        rules: &Rules,
        others: impl Fn(&NodeId) -> PeerEvidence,
    ) -> Vec<(NodeId, Option<Time>, Observation)> {
        let (half, incarnation) = (self.half, rules.evidence_lifetime());
        let seen: Vec<(NodeId, Observation)> = self
            .nodes
            .iter()
            .map(|(id, n)| (id.clone(), n.seen(now, half)))
            .collect();
        let reach = self.reach(&seen);
        let mut news = Vec::new();
        for (id, seen) in seen {
            let Some(node) = self.nodes.get_mut(&id) else {
                continue;
            };
            let since = node
                .told
                .map_or(Micros::MAX, |(at, _)| now.saturating_sub(at));
            let told = node
                .told
                .map(|(_, told)| told)
                .filter(|_| since <= incarnation)
                .unwrap_or_default();
            let slow = seen.is_slow();
            let bad = seen.fails() || slow;
            node.since = node.since.or(Some(now)).filter(|_| bad);
            node.failing_since = node.failing_since.or(Some(now)).filter(|_| seen.fails());
            if since < HOLD {
                continue;
            }
            let stale = since >= incarnation / 3;
            let worth = if seen.fails() {
                let has_grown = seen.failures() >= told.failures() + 0.9;
                if told.fails() && !has_grown {
                    stale && node.has_failed_since_told()
                } else if node.failed + FRESH < now
                    || (rules.on(Guard::Blame) && node.is_uncertain(&reach))
                {
                    false
                } else {
                    told.fails() || others(&id).accusers < ENOUGH.0
                }
            } else if seen.serves() {
                let was = told.is_slow();
                let others = others(&id);
                node.contested = node.contested.or(Some(now)).filter(|_| others.contested);
                let turn = node
                    .contested
                    .is_some_and(|since| now >= since + others.wait);
                let answers = turn && others.supporters < ENOUGH.1 && node.answered + FRESH >= now;
                told.fails() || slow != was || (stale && (slow || answers))
            } else {
                false
            };
            if worth {
                let lasted = node
                    .since
                    .map_or(0, |from| now.saturating_sub(from) / 100_000)
                    .min(65_535) as u16;
                let seen = Observation {
                    nodes_seen: reach.nodes().min(65_535) as u16,
                    nodes_failing: reach.failing.min(65_535) as u16,
                    duration_tenths_s: lasted,
                    ..seen
                };
                let seen = seen.with_failures_of(&told);
                node.told = Some((now, seen));
                news.push((id, node.started, seen));
            }
        }
        news
    }
}

#[cfg(test)]
mod tests;
