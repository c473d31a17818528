//! The review: what this router tells of nodes, the verdicts that follow from what all told, and how each is acted on.
//!
//! It guards against two failures: a node that fails at some routers and is found out by each for itself, at the price of many
//! failed attempts; and a node that goes in and out of service because verdicts follow each other too quickly (flapping).

use crate::event::GossipEvent;
use crate::gossip::Gossip;
use crate::observations::PeerEvidence;
use crate::observer::Observer;
use crate::outlier_vote::{Level, Opinion, Subject, Verdict, decide_verdicts, without_outvoted};
use crate::records::{Record, subject};
use crate::rules::{Guard, Rules};
use plovercove::{Micros, NodeId, Time};
use std::collections::BTreeSet;

/// Routers that try a node that is out, on behalf of all: two could both be behind one bad link.
const TRIAL_ROUTERS: usize = 3;
/// A node that comes back is doubted for so long, and twice as long each time that it did so of late.
const PROBATION: Micros = 4_000_000;
/// The pause doubles so often at the most.
const MAX_PROBATION_DOUBLINGS: u32 = 4;
/// Returns of a node that count, at the most.
const MAX_FLAPS: f64 = 4.0;
/// Half of a return is forgotten after this.
const FLAP_HALF_LIFE_US: f64 = 60e6;

/// How often a node has come back into service of late.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Flaps {
    returns: f64,
    updated_at: Time,
    /// Doubted until then, though nothing is said against it any more.
    probation_until: Time,
}

impl Flaps {
    /// It comes back now.
    fn observe_return(&mut self, now: Time) {
        let half_lives = now.saturating_sub(self.updated_at) as f64 / FLAP_HALF_LIFE_US;
        self.returns = (self.returns * 0.5_f64.powf(half_lives) + 1.0).min(MAX_FLAPS);
        self.updated_at = now;
        let doublings = self.returns.round() as u32 - 1;
        self.probation_until = now + PROBATION * (1 << doublings.min(MAX_PROBATION_DOUBLINGS));
    }

    fn is_on_probation(&self, now: Time) -> bool {
        now < self.probation_until
    }

    fn is_forgotten(&self, now: Time) -> bool {
        now.saturating_sub(self.updated_at) >= (MAX_FLAPS * FLAP_HALF_LIFE_US) as Micros
    }
}

/// A node that serves, with what is said of it.
type Case = (Subject, Vec<Opinion>);

impl Gossip {
    /// Tells what is worth telling, and judges by all that is known.
    pub(crate) fn review(&mut self, now: Time, observer: &mut Observer) {
        self.store.fade(now);
        let cases = self.cases(now, observer);
        self.tell_observations(now, observer, &cases);
        let verdicts = decide_verdicts(&self.rules, &cases, self.zones_seen());
        // Who comes back in does so before another goes out: not for a moment are more out than a group can spare.
        let known = self.verdicts.keys().chain(verdicts.keys()).cloned();
        let known: BTreeSet<NodeId> = known.collect();
        let is_out = |node: &NodeId| {
            verdicts
                .get(node)
                .is_some_and(|v| v.level == Level::Ejected)
        };
        let (out, rest): (Vec<NodeId>, Vec<NodeId>) = known.into_iter().partition(is_out);
        for node in rest.into_iter().chain(out) {
            let verdict = verdicts.get(&node).cloned().unwrap_or_default();
            self.apply_verdict(now, observer, &node, verdict);
        }
        self.verdicts = verdicts;
        self.flaps
            .retain(|node, flaps| observer.is_listed(node) && !flaps.is_forgotten(now));
        self.release_unjudged(now, observer);
    }

    /// Nodes that have proved themselves, and levels of nodes that nobody speaks of any more.
    fn release_unjudged(&mut self, now: Time, observer: &mut Observer) {
        let levels = observer.levels().keys();
        let unjudged = levels.filter(|node| !self.verdicts.contains_key(*node));
        let unjudged: Vec<NodeId> = unjudged.cloned().collect();
        for node in unjudged {
            self.apply_verdict(now, observer, &node, Verdict::default());
        }
    }

    /// Zones with a router that is seen, this one's among them.
    fn zones_seen(&self) -> usize {
        let members = self.members.active().values();
        let zones = members.map(|member| member.zone.as_str());
        let zones: BTreeSet<&str> = zones.chain([self.me.zone.as_str()]).collect();
        zones.len()
    }

    /// All nodes that serve, each with what is said of its present start: what was said of another start was said of
    /// another machine.
    fn cases(&self, now: Time, observer: &Observer) -> Vec<Case> {
        let mut opinions = self.store.opinions(now);
        let nothing_said = opinions.is_empty();
        let mut opinions_of = |node: &Subject, started: Option<Time>| {
            if nothing_said {
                return None;
            }
            let number = self.store.number(&subject(&node.node, started))?;
            opinions.remove(&number)
        };
        observer
            .serving()
            .map(|(node, started)| {
                let opinions = opinions_of(node, started).unwrap_or_default();
                (node.clone(), opinions)
            })
            .collect()
    }

    /// Tells what this router saw, where that is news to the others.
    fn tell_observations(&mut self, now: Time, observer: &mut Observer, cases: &[Case]) {
        let me = self.store.number(&self.me.name);
        let rules = &self.rules;
        let name = self.me.name.as_bytes();
        let evidence = |node: &NodeId| {
            let case = cases.iter().find(|(subject, _)| subject.node == *node);
            let opinions = case.map_or(&[][..], |(_, opinions)| opinions);
            let of_others = opinions.iter().filter(|o| Some(o.observer) != me);
            let random_draw = crate::draw(&[node.as_bytes(), name]) as f64 / u64::MAX as f64;
            peer_evidence(rules, of_others, random_draw)
        };
        let told = observer.observations.news(now, rules, evidence);
        for (node, started, observation) in told {
            self.records += 1;
            let record =
                Record::from_observation(&self.me, self.records, &node, started, &observation);
            if let Some(record) = record {
                self.store.put(now, record, 0);
                self.tell(GossipEvent::Observed { node, observation });
            }
        }
    }

    /// Acts on a verdict.
    fn apply_verdict(
        &mut self,
        now: Time,
        observer: &mut Observer,
        node: &NodeId,
        mut verdict: Verdict,
    ) {
        let was = observer.level(node);
        if was == Level::Ejected && verdict.level != Level::Ejected {
            let flaps = self.flaps.entry(node.clone()).or_default();
            flaps.observe_return(now);
        }
        let flaps = self.flaps.get(node).filter(|_| self.rules.on(Guard::Flap));
        let is_on_probation = flaps.is_some_and(|flaps| flaps.is_on_probation(now));
        if verdict.level == Level::InService && is_on_probation {
            verdict.level = Level::ReducedWeight;
            verdict.why = "has to prove itself";
        }
        let level = verdict.level;
        let tries = level == Level::Ejected && self.tries(node);
        let trial_interval = self.rules.evidence_lifetime() / 8;
        observer.set(now, node, level, tries.then_some(trial_interval));
        if was != level {
            let subject = subject(node, observer.started_at(node));
            let testimonies = self.store.testimonies(now, &subject);
            self.tell(GossipEvent::Verdict {
                node: node.clone(),
                previous: was,
                verdict,
                runs_trials: tries,
                reports: testimonies,
            });
        }
    }

    /// Whether this router is one of the few that try a node: chosen alike by all who see the same routers, and taken
    /// over when one of them goes.
    fn tries(&self, node: &NodeId) -> bool {
        let rank = |name: &str| crate::draw(&[b"tries", node.as_bytes(), name.as_bytes()]);
        let own_rank = rank(&self.me.name);
        let members = self.members.active().values();
        let ahead = members.filter(|member| rank(&member.name) > own_rank);
        ahead.take(TRIAL_ROUTERS).count() < TRIAL_ROUTERS
    }
}

/// What the others say of a node, as far as it matters to whether this router speaks too. `random_draw` spreads the routers
/// over the time in which they may.
fn peer_evidence<'a>(
    rules: &Rules,
    opinions: impl Iterator<Item = &'a Opinion> + Clone,
    random_draw: f64,
) -> PeerEvidence {
    let is_fresh = |o: &&Opinion| o.age <= rules.fresh();
    // Those that were outvoted count here while they are fresh: more accusers than may be outvoted must not speak.
    let fresh_accusers = opinions.clone().filter(|o| o.accuses()).filter(is_fresh);
    let standing = without_outvoted(opinions);
    let accusations = standing.iter().copied().filter(|o| o.accuses());
    let failures = accusations.clone();
    let failures: f64 = failures.map(|o| o.seen.failures().min(rules.each())).sum();
    let slow = standing.iter().filter(|o| o.seen.is_slow()).count();
    let old_accusers = accusations.filter(|o| !is_fresh(o));
    let accusers = fresh_accusers.count() + old_accusers.count();
    let supporters = standing.iter().copied().filter(|o| !o.accuses());
    let supporters = supporters.filter(is_fresh);
    let is_substantial = failures * 2.0 >= f64::from(rules.failures) || slow >= 2;
    PeerEvidence {
        accusers,
        supporters: supporters.count(),
        contested: accusers >= 2 && is_substantial,
        wait: (random_draw * rules.settle() as f64 / 2.0) as Micros,
    }
}
