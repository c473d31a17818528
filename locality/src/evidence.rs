//! What this router's own traffic and the node list say of each zone.
//!
//! One bad node, a lost zone, a link that is lost on this side only, half a zone lost and overload everywhere look alike
//! in a single failed request. They differ in what else answers:
//!
//! | seen | called |
//! | --- | --- |
//! | failures at one node, answers from others of its zone | nothing here: the decision module sets the node aside |
//! | the list names under a quarter of the zone's capacity | [`Cause::Gone`] |
//! | several failures in a row at two nodes or more, no answer from any of the zone | [`Cause::Dark`] |
//! | the same, and the list, which has spoken since, still names the zone as serving | [`Cause::Link`] |
//! | the same in every zone that was tried | [`Cause::Common`]: going elsewhere helps nobody |
//! | slow answers, here and elsewhere | strain in common: none is spilled for it |

use plovercove::{AttemptEnd, Micros, NodeId, Time};

/// Failures in a row, no answer of the zone between them, that make it dark.
const DARK_FAILS: u32 = 4;
/// ... and they must lie so far apart, or one burst on one reset would do.
const DARK_SPAN: Micros = 200_000;
/// A zone with under this share of its capacity listed as serving is gone.
const GONE: f64 = 0.25;
/// A list is so late at the most: what it says after that stands for the present.
const LIST_LATE: Micros = 6_000_000;
/// Strain is counted over about so long.
const MEMORY: f64 = 1e6;
/// From this share of slow answers on, of so many, a zone is strained.
const STRAINED: (f64, f64) = (0.3, 6.0);

/// What is held to be the matter with a zone.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Cause {
    /// Nothing.
    #[default]
    Well,
    /// The list names hardly any of its nodes as serving.
    Gone,
    /// Nothing of it answers; the list may not know yet.
    Dark,
    /// Nothing of it answers here, though the list holds it for serving: the link is lost, on this side at least.
    Link,
    /// Nothing answers anywhere: the cause is common, or this router's own.
    Common,
}

/// How an attempt went, as far as the zone is concerned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sign {
    /// Answered in time.
    Good,
    /// It answers, but slowly, or turns work away.
    Slow,
    /// No answer.
    Silent,
    /// It says nothing of the node.
    Nothing,
}

/// What an ending says. `in_time` is until when an answer counts as good; `usual` how long the class takes.
pub fn sign(ending: AttemptEnd, elapsed: Micros, in_time: Micros, usual: Micros) -> Sign {
    match ending {
        AttemptEnd::Success if elapsed <= in_time => Sign::Good,
        AttemptEnd::Success | AttemptEnd::Overloaded => Sign::Slow,
        // It answers; with what, is not the zone's affair.
        AttemptEnd::Failure | AttemptEnd::Misdirected => Sign::Good,
        AttemptEnd::Unreachable | AttemptEnd::Reset | AttemptEnd::TimedOut => Sign::Silent,
        // Taken back after a long wait; one that was taken back soon says nothing.
        AttemptEnd::Cancelled if elapsed > usual.saturating_mul(3) => Sign::Silent,
        AttemptEnd::Cancelled | AttemptEnd::NeverSent => Sign::Nothing,
    }
}

/// What has been seen of one zone.
#[derive(Clone, Debug, Default)]
pub struct Seen {
    /// Failures since the last answer, the first's time, and up to two nodes they were at.
    fails: u32,
    since: Time,
    nodes: [Option<NodeId>; 2],
    answered: Option<Time>,
    tried: Option<Time>,
    good: f64,
    slow: f64,
    faded: Time,
}

impl Seen {
    /// Takes one sign in.
    pub fn take(&mut self, now: Time, node: &NodeId, sign: Sign) {
        self.fade(now);
        match sign {
            Sign::Good => self.good += 1.0,
            Sign::Slow => self.slow += 1.0,
            Sign::Silent => {
                self.tried = Some(now);
                if self.fails == 0 {
                    (self.since, self.nodes) = (now, [None, None]);
                }
                self.fails = self.fails.saturating_add(1);
                let [first, second] = &mut self.nodes;
                match (&first, &second) {
                    (None, _) => *first = Some(node.clone()),
                    (Some(known), None) if known != node => *second = Some(node.clone()),
                    _ => {}
                }
                return;
            }
            Sign::Nothing => return,
        }
        (self.fails, self.answered, self.tried) = (0, Some(now), Some(now));
    }

    fn fade(&mut self, now: Time) {
        let left = (-(now.saturating_sub(self.faded) as f64) / MEMORY).exp();
        (self.good, self.slow, self.faded) = (self.good * left, self.slow * left, now);
    }

    /// Several failures in a row at several nodes, or at all where there is one, and no answer from any of the zone.
    pub fn dark(&self, now: Time, nodes: usize) -> bool {
        let places = self.nodes.iter().flatten().count();
        self.fails >= DARK_FAILS && places >= nodes.clamp(1, 2) && now >= self.since + DARK_SPAN
    }

    /// When it last answered.
    pub fn answered(&self) -> Option<Time> {
        self.answered
    }

    /// Whether it answered in the last so many microseconds.
    pub fn heard_within(&self, now: Time, span: Micros) -> bool {
        self.fails == 0 && self.answered.is_some_and(|at| now < at + span)
    }

    /// Whether many of its answers are slow; none where too few came to tell.
    pub fn strained(&self) -> Option<bool> {
        let all = self.good + self.slow;
        (all >= STRAINED.1).then(|| self.slow / all >= STRAINED.0)
    }
}

/// One zone as [`judge`] takes it.
#[derive(Clone, Copy, Debug)]
pub struct Zone<'a> {
    /// What has been seen of it.
    pub seen: &'a Seen,
    /// Its nodes that the list names as serving.
    pub serving: usize,
    /// Their share of the capacity that it has had of late.
    pub alive: f64,
}

/// What is the matter with each zone. `told` is when the list last said anything.
pub fn judge(now: Time, zones: &[Zone<'_>], told: Time, causes: &mut Vec<Cause>) {
    causes.clear();
    causes.extend(zones.iter().map(|zone| {
        if zone.serving == 0 || zone.alive < GONE {
            Cause::Gone
        } else if !zone.seen.dark(now, zone.serving) {
            Cause::Well
        } else if told > zone.seen.since + LIST_LATE {
            Cause::Link
        } else {
            Cause::Dark
        }
    }));
    // If whatever was tried is dark, and it was more than one, the zones are not the cause. What was never tried, or
    // last answered before the others failed, proves nothing either way.
    let silent = |c: &Cause| matches!(c, Cause::Dark | Cause::Link);
    let dark = causes.iter().filter(|c| silent(c)).count();
    let began = zones
        .iter()
        .zip(&*causes)
        .filter(|(_, c)| silent(c))
        .map(|(z, _)| z.seen.since)
        .min();
    let answering = zones.iter().zip(&*causes).any(|(z, c)| {
        *c == Cause::Well
            && z.seen
                .answered
                .is_some_and(|at| began.is_some_and(|began| at >= began))
    });
    let untried = zones
        .iter()
        .zip(&*causes)
        .any(|(z, c)| *c == Cause::Well && !z.seen.tried_since(began));
    if dark > 1 && !answering && !untried {
        causes
            .iter_mut()
            .filter(|c| silent(c))
            .for_each(|c| *c = Cause::Common);
    }
}

impl Seen {
    fn tried_since(&self, began: Option<Time>) -> bool {
        self.tried
            .is_some_and(|at| began.is_some_and(|began| at >= began))
    }
}

/// Whether strain at home is shared by the other zones, as far as anything is known of them.
pub fn strain_in_common<'a>(others: impl Iterator<Item = &'a Seen>) -> bool {
    let (mut strained, mut known) = (0, 0);
    for told in others.filter_map(Seen::strained) {
        known += 1;
        strained += usize::from(told);
    }
    known > 0 && strained * 2 > known
}

#[cfg(test)]
mod tests;
