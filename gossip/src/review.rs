//! Review: publishes this router's observations, decides the verdicts by the records of all routers, and applies them.
//!
//! Without common verdicts, each router would detect a failed node for itself, at the cost of many failed attempts. The
//! probation prevents flapping, in which a node goes in and out of service because verdicts follow each other too quickly.

use crate::event::GossipEvent;
use crate::gossip::Gossip;
use crate::observations::PeerEvidence;
use crate::observer::Observer;
use crate::outlier_vote::{Level, Opinion, Subject, Verdict, decide_verdicts, without_outvoted};
use crate::records::{Record, subject_of};
use crate::rules::{Guard, Rules};
use plovercove::{Micros, NodeId, Time};
use std::collections::BTreeSet;

/// Number of routers that send trial requests to an ejected node on behalf of all. Two could both be behind the same bad link.
const TRIAL_ROUTERS: usize = 3;
/// Time for which a node that comes back has reduced weight. It doubles with each recent return.
const PROBATION_US: Micros = 4_000_000;
/// Maximum number of doublings of the probation.
const MAX_PROBATION_DOUBLINGS: u32 = 4;
/// Maximum count of the returns of a node.
const MAX_RETURNS: f64 = 4.0;
/// Half-life of the count of returns.
const FLAP_HALF_LIFE_US: f64 = 60e6;

/// Recent returns of a node to service, and its probation.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Flaps {
    returns: f64,
    updated_at: Time,
    /// Time until which the node keeps reduced weight although no opinion is against it any more.
    probation_until: Time,
}

impl Flaps {
    /// Records that the node comes back now.
    fn record_return(&mut self, now: Time) {
        let half_lives = now.saturating_sub(self.updated_at) as f64 / FLAP_HALF_LIFE_US;
        self.returns = (self.returns * 0.5_f64.powf(half_lives) + 1.0).min(MAX_RETURNS);
        self.updated_at = now;
        let doublings = self.returns.round() as u32 - 1;
        self.probation_until = now + PROBATION_US * (1 << doublings.min(MAX_PROBATION_DOUBLINGS));
    }

    fn is_on_probation(&self, now: Time) -> bool {
        now < self.probation_until
    }

    fn is_forgotten(&self, now: Time) -> bool {
        now.saturating_sub(self.updated_at) >= (MAX_RETURNS * FLAP_HALF_LIFE_US) as Micros
    }
}

/// Node that serves, with the opinions about it.
type Case = (Subject, Vec<Opinion>);

impl Gossip {
    /// Publishes this router's observations, decides the verdicts by all records, and applies them.
    pub(crate) fn review(&mut self, now: Time, observer: &mut Observer) {
        self.store.remove_expired(now);
        let cases = self.cases(now, observer);
        self.publish_observations(now, observer, &cases);
        let verdicts = decide_verdicts(&self.rules, &cases, self.zone_count());
        // Nodes come back before others are ejected, so that never more nodes are out than a group can spare.
        let known = self.verdicts.keys().chain(verdicts.keys()).cloned();
        let known: BTreeSet<NodeId> = known.collect();
        let is_ejected = |node: &NodeId| {
            verdicts
                .get(node)
                .is_some_and(|verdict| verdict.level == Level::Ejected)
        };
        let (ejected, rest): (Vec<NodeId>, Vec<NodeId>) = known.into_iter().partition(is_ejected);
        for node in rest.into_iter().chain(ejected) {
            let verdict = verdicts.get(&node).cloned().unwrap_or_default();
            self.apply_verdict(now, observer, &node, verdict);
        }
        self.verdicts = verdicts;
        self.flaps
            .retain(|node, flaps| observer.is_listed(node) && !flaps.is_forgotten(now));
        self.release_nodes_without_verdict(now, observer);
    }

    /// Restores nodes whose probation has ended, and nodes without any opinion.
    fn release_nodes_without_verdict(&mut self, now: Time, observer: &mut Observer) {
        let levels = observer.levels().keys();
        let without_verdict = levels.filter(|node| !self.verdicts.contains_key(*node));
        let without_verdict: Vec<NodeId> = without_verdict.cloned().collect();
        for node in without_verdict {
            self.apply_verdict(now, observer, &node, Verdict::default());
        }
    }

    /// Returns the number of zones with a member that is up, including this router's zone.
    fn zone_count(&self) -> usize {
        let members = self.members.active().values();
        let zones = members.map(|member| member.zone.as_str());
        let zones: BTreeSet<&str> = zones.chain([self.me.zone.as_str()]).collect();
        zones.len()
    }

    /// Returns all nodes that serve, each with the opinions about its present start. Opinions about another start are about
    /// another process.
    fn cases(&self, now: Time, observer: &Observer) -> Vec<Case> {
        let mut opinions = self.store.opinions(now);
        let has_no_opinions = opinions.is_empty();
        let mut opinions_of = |node: &Subject, started: Option<Time>| {
            if has_no_opinions {
                return None;
            }
            let number = self.store.number(&subject_of(&node.node, started))?;
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

    /// Publishes this router's observations that are due to be reported.
    fn publish_observations(&mut self, now: Time, observer: &mut Observer, cases: &[Case]) {
        let own_number = self.store.number(&self.me.name);
        let rules = &self.rules;
        let name = self.me.name.as_bytes();
        let evidence = |node: &NodeId| {
            let case = cases.iter().find(|(subject, _)| subject.node == *node);
            let opinions = case.map_or(&[][..], |(_, opinions)| opinions);
            let of_others = opinions.iter().filter(|o| Some(o.observer) != own_number);
            let random_draw = crate::shared_draw(&[node.as_bytes(), name]) as f64 / u64::MAX as f64;
            peer_evidence(rules, of_others, random_draw)
        };
        let reports = observer.observations.take_reports(now, rules, evidence);
        for (node, started, observation) in reports {
            self.record_seq += 1;
            let record =
                Record::from_observation(&self.me, self.record_seq, &node, started, &observation);
            if let Some(record) = record {
                self.store.insert(now, record, 0);
                self.push_event(GossipEvent::Observed { node, observation });
            }
        }
    }

    /// Applies a verdict to a node.
    fn apply_verdict(
        &mut self,
        now: Time,
        observer: &mut Observer,
        node: &NodeId,
        mut verdict: Verdict,
    ) {
        let previous = observer.level(node);
        if previous == Level::Ejected && verdict.level != Level::Ejected {
            let flaps = self.flaps.entry(node.clone()).or_default();
            flaps.record_return(now);
        }
        let flaps = self
            .flaps
            .get(node)
            .filter(|_| self.rules.is_enabled(Guard::Flap));
        let is_on_probation = flaps.is_some_and(|flaps| flaps.is_on_probation(now));
        if verdict.level == Level::InService && is_on_probation {
            verdict.level = Level::ReducedWeight;
            verdict.why = "has to prove itself";
        }
        let level = verdict.level;
        let runs_trials = level == Level::Ejected && self.runs_trials_of(node);
        let trial_interval = self.rules.evidence_lifetime() / 8;
        observer.set_level(now, node, level, runs_trials.then_some(trial_interval));
        if previous != level {
            let subject = subject_of(node, observer.started_at(node));
            let reports = self.store.reports(now, &subject);
            self.push_event(GossipEvent::Verdict {
                node: node.clone(),
                previous,
                verdict,
                runs_trials,
                reports,
            });
        }
    }

    /// Returns whether this router is one of the few that send trial requests to a node. All routers that see the same
    /// members choose the same ones, and another takes over when one of them goes down.
    fn runs_trials_of(&self, node: &NodeId) -> bool {
        let rank = |name: &str| crate::shared_draw(&[b"tries", node.as_bytes(), name.as_bytes()]);
        let own_rank = rank(&self.me.name);
        let members = self.members.active().values();
        let ahead = members.filter(|member| rank(&member.name) > own_rank);
        ahead.take(TRIAL_ROUTERS).count() < TRIAL_ROUTERS
    }
}

/// Summarizes the reports of the other routers about a node, by which this router decides whether to report too.
/// `random_draw` distributes the reports of the routers over time.
fn peer_evidence<'a>(
    rules: &Rules,
    opinions: impl Iterator<Item = &'a Opinion> + Clone,
    random_draw: f64,
) -> PeerEvidence {
    let is_fresh = |o: &&Opinion| o.age <= rules.support_lifetime();
    // Outvoted accusations count here while they are fresh, so that no more accusers report than supporters can outvote.
    let fresh_accusers = opinions.clone().filter(|o| o.accuses()).filter(is_fresh);
    let upheld = without_outvoted(opinions);
    let accusations = upheld.iter().copied().filter(|o| o.accuses());
    let failures = accusations.clone();
    let failures: f64 = failures
        .map(|o| {
            o.observation
                .failures()
                .min(rules.max_failures_per_observer())
        })
        .sum();
    let slow = upheld.iter().filter(|o| o.observation.is_slow()).count();
    let old_accusers = accusations.filter(|o| !is_fresh(o));
    let accusers = fresh_accusers.count() + old_accusers.count();
    let supporters = upheld.iter().copied().filter(|o| !o.accuses());
    let supporters = supporters.filter(is_fresh);
    let is_substantial = failures * 2.0 >= f64::from(rules.failures) || slow >= 2;
    PeerEvidence {
        accusers,
        supporters: supporters.count(),
        contested: accusers >= 2 && is_substantial,
        wait: (random_draw * rules.settle_time() as f64 / 2.0) as Micros,
    }
}
