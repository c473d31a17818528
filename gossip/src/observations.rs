//! Observations of one router about each database node since the node's present start, and when to report them.

use crate::reach::Reach;
use crate::rules::{Guard, REPORT_INTERVAL_US, Rules};
use plovercove::{AttemptEnd, EndpointState, EndpointUpdate, Micros, NodeId, Time};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt;

/// Gain of the running means of latency and slowness, which corresponds to a memory of about ten samples.
const LATENCY_GAIN: f64 = 0.1;
/// Number of answers below which the slowness of a node is unknown.
const MIN_SLOWNESS_SAMPLES: u32 = 5;
/// Slowness compared with other nodes from which on a node is reported as slow.
const REPORTED_SLOWNESS: f64 = 3.0;
/// Number of accusers from which on further routers do not report that the node fails, since more reports would only cost
/// datagrams.
const ENOUGH_ACCUSERS: usize = 12;
/// Number of routers that report that a node serves, from which on further ones do not. It is higher than
/// [`ENOUGH_ACCUSERS`]: if a node is only busy, some of hundreds of routers always get nothing but a time-out from it, and
/// the routers that it serves have to be able to outvote them.
const ENOUGH_SUPPORTERS: usize = 24;
/// Maximum age of the failure behind a new accusation, and of the answer behind a report that the node serves. Older ones
/// say nothing about the present, but would be reported as if they were new.
const MAX_EVIDENCE_AGE_US: Micros = 2_000_000;
/// Number of failures in a row from which on earlier answers of the node do not count any more.
const FAILURES_THAT_VOID_ANSWERS: u32 = 2;
/// Decayed count from which on it still counts as one event.
const MIN_COUNT: f64 = 0.5;

/// Observation of one router about a node. The counts decay by half in a third of the lifetime of an observation.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Observation {
    /// Number of requests that the node answered, in tenths.
    pub answers: u16,
    /// Number of errors, in tenths.
    pub errors: u16,
    /// Number of time-outs and broken connections, in tenths.
    pub no_reply: u16,
    /// Number of connections that could not be established, in tenths.
    pub unreachable: u16,
    /// Number of writes that the node rejected because it is not the primary, in tenths.
    pub misdirected: u16,
    /// Latency of the node relative to other nodes, in tenths; 0 if there were too few answers to determine it.
    pub slowness_tenths: u16,
    /// Time for which the node had been failing or slow when this was reported, in tenths of a second.
    pub duration_tenths_s: u16,
    /// Number of nodes of which the observer has observations.
    pub nodes_seen: u16,
    /// Number of these nodes that fail.
    pub nodes_failing: u16,
}

impl Observation {
    /// Returns the number of failures of all kinds.
    pub fn failures(&self) -> f64 {
        f64::from(self.errors) / 10.0
            + f64::from(self.no_reply) / 10.0
            + f64::from(self.unreachable) / 10.0
    }

    /// Returns whether the node fails more often than it answers.
    pub fn fails(&self) -> bool {
        self.failures() >= MIN_COUNT && self.failures() >= f64::from(self.answers) / 10.0
    }

    /// Returns the observation with the failures of the previous report if those are more and the node still fails. Since
    /// counts decay, a further failure could otherwise make an accusation weaker.
    fn with_failures_of(self, reported: &Observation) -> Observation {
        if !self.fails() || reported.failures() <= self.failures() {
            return self;
        }
        Observation {
            errors: reported.errors,
            no_reply: reported.no_reply,
            unreachable: reported.unreachable,
            ..self
        }
    }

    /// Returns whether the node answers.
    pub fn serves(&self) -> bool {
        !self.fails() && f64::from(self.answers) / 10.0 >= MIN_COUNT
    }

    /// Returns whether the node is slow enough to be reported.
    pub(crate) fn is_slow(&self) -> bool {
        self.slowness().unwrap_or(1.0) >= REPORTED_SLOWNESS
    }

    /// Returns for how long the node had been failing or slow when this was reported (us).
    pub fn duration(&self) -> Micros {
        Micros::from(self.duration_tenths_s) * 100_000
    }

    /// Returns the latency of the node relative to other nodes, or `None` if there were too few answers to determine it.
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
    /// Start of the node's process, from the endpoint list.
    started: Option<Time>,
    decayed_at: Time,
    /// Answers, errors, attempts without a reply, failed connections and misdirected writes, decayed up to `decayed_at`.
    counts: [f64; 5],
    /// Running mean of the logarithm of the slowness.
    log_slowness: f64,
    samples: u32,
    /// The last report about the node, and its time.
    reported: Option<(Time, Observation)>,
    /// Time of the last answer.
    answered_at: Time,
    /// Time of the last failure.
    failed_at: Time,
    /// Number of failures since the last answer.
    failures_in_a_row: u32,
    /// Time since which enough other routers accuse the node for this router's observation to matter.
    contested_since: Option<Time>,
    /// Time since which the node fails or is slow.
    bad_since: Option<Time>,
    /// Time since which the node fails.
    failing_since: Option<Time>,
}

impl Node {
    fn decay(&mut self, now: Time, half_life: f64) {
        let passed = now.saturating_sub(self.decayed_at) as f64;
        let factor = 0.5_f64.powf(passed / half_life);
        self.counts.iter_mut().for_each(|count| *count *= factor);
        self.decayed_at = now;
    }

    /// Returns whether the node failed since the last report. An accusation that is repeated without a new failure would
    /// outlive its evidence.
    fn has_failed_since_report(&self) -> bool {
        self.reported
            .is_none_or(|(reported_at, _)| self.failed_at > reported_at)
    }

    /// Returns whether the failures of the node may be the fault of this router's own links. A repeated accusation needs
    /// answers of other nodes since the last report.
    fn is_uncertain(&self, reach: &Reach) -> bool {
        let reported_at = self
            .reported
            .filter(|(_, reported)| reported.fails())
            .map(|(at, _)| at);
        let since = self.failing_since.max(reported_at);
        since.is_some_and(|since| reach.is_uncertain_since(since))
    }

    /// Returns the present observation of the node.
    fn observe(&self, now: Time, half_life: f64) -> Observation {
        let factor = 0.5_f64.powf(now.saturating_sub(self.decayed_at) as f64 / half_life);
        let tenths = |count: f64| (count * factor * 10.0).round().min(65_535.0) as u16;
        let [answers, errors, no_reply, unreachable, misdirected] = self.counts.map(tenths);
        let answers = if self.failures_in_a_row < FAILURES_THAT_VOID_ANSWERS {
            answers
        } else {
            0
        };
        let slowness_tenths = if self.samples >= MIN_SLOWNESS_SAMPLES {
            (self.log_slowness.exp() * 10.0)
                .round()
                .clamp(1.0, 60_000.0) as u16
        } else {
            0
        };
        Observation {
            answers,
            errors,
            no_reply,
            unreachable,
            misdirected,
            slowness_tenths,
            ..Observation::default()
        }
    }
}

/// Summary of the reports of the other routers about a node.
#[derive(Clone, Copy, Debug, Default)]
pub struct PeerEvidence {
    /// Number of routers that accuse the node.
    pub accusers: usize,
    /// Number of routers that report that the node serves.
    pub supporters: usize,
    /// Whether one more accuser could eject the node.
    pub contested: bool,
    /// Time that this router waits before it reports that the node serves, since others may do so first.
    pub wait: Micros,
}

/// Observations of one router about all nodes.
#[derive(Default)]
pub struct Observations {
    nodes: BTreeMap<NodeId, Node>,
    /// Running mean of the logarithm of the latency (us) by class. A single slow node hardly changes it.
    mean_log_latencies: Vec<f64>,
    /// Time in which the counts decay by half (us).
    half_life: f64,
    /// Time until which failures do not count, since a stall of this router may have caused them.
    ignores_failures_until: Time,
}

impl Observations {
    /// Creates the observations of a router with this number of classes.
    pub fn new(rules: &Rules, classes: usize) -> Self {
        let half_life = rules.evidence_lifetime() as f64 / 3.0;
        Observations {
            nodes: BTreeMap::new(),
            mean_log_latencies: vec![0.0; classes],
            half_life,
            ignores_failures_until: 0,
        }
    }

    /// Handles an update of the endpoint list. If a node has another start, its old observations are dropped.
    pub fn update_endpoints(&mut self, update: &EndpointUpdate) {
        let (entries, is_full) = match update {
            EndpointUpdate::Changes(entries) => (entries, false),
            EndpointUpdate::Full(entries) | EndpointUpdate::Restored(entries) => (entries, true),
            EndpointUpdate::Failed => return,
        };
        if is_full {
            self.nodes
                .retain(|id, _| entries.iter().any(|entry| entry.node == *id));
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

    /// Notes that this router was stalled until now. Failures within the next `ignore_for` say nothing about the nodes.
    pub fn note_stall(&mut self, now: Time, ignore_for: Micros) {
        self.ignores_failures_until = now + ignore_for;
    }

    /// Records the end of an attempt.
    pub fn record_end(
        &mut self,
        now: Time,
        class: usize,
        is_write: bool,
        id: &NodeId,
        ending: AttemptEnd,
        elapsed: Micros,
    ) {
        let counter = match ending {
            AttemptEnd::Success => 0,
            AttemptEnd::Misdirected if is_write => 4,
            AttemptEnd::Misdirected => 0,
            AttemptEnd::Failure => 1,
            AttemptEnd::TimedOut | AttemptEnd::Reset => 2,
            AttemptEnd::Unreachable => 3,
            AttemptEnd::Overloaded | AttemptEnd::Cancelled | AttemptEnd::NeverSent => return,
        };
        if now < self.ignores_failures_until && (1..=3).contains(&counter) {
            return;
        }
        let half_life = self.half_life;
        let Some(node) = self.nodes.get_mut(id) else {
            return;
        };
        node.decay(now, half_life);
        node.counts[counter] += 1.0;
        match counter {
            0 => {
                node.answered_at = now;
                node.failures_in_a_row = 0;
            }
            1..=3 => {
                node.failed_at = now;
                node.failures_in_a_row = node.failures_in_a_row.saturating_add(1);
            }
            _ => {}
        }
        if ending == AttemptEnd::Success
            && let Some(mean_log_latency) = self.mean_log_latencies.get_mut(class)
        {
            let log_latency = (elapsed.max(1) as f64).ln();
            *mean_log_latency = if *mean_log_latency == 0.0 {
                log_latency
            } else {
                *mean_log_latency + LATENCY_GAIN * (log_latency - *mean_log_latency)
            };
            node.log_slowness += LATENCY_GAIN.max(1.0 / f64::from(node.samples + 1))
                * (log_latency - *mean_log_latency - node.log_slowness);
            node.samples += 1;
        }
    }

    /// Returns the reachability of all nodes.
    fn reach(&self, observations: &[(NodeId, Observation)]) -> Reach {
        let mut reach = Reach::default();
        for (id, observation) in observations {
            let Some(node) = self.nodes.get(id) else {
                continue;
            };
            if observation.fails() {
                reach.failing += 1;
            } else if observation.serves() && node.failed_at > node.answered_at {
                reach.suspected += 1;
            } else if observation.serves() {
                reach.last_answers.push(node.answered_at);
            }
        }
        reach
    }

    /// Returns the observations to report now, each with the node and its start.
    ///
    /// A node is reported if it begins or continues to fail, if it is slow, or if others accuse it although it serves this
    /// router. `others` returns a summary of the reports of the other routers.
    pub fn take_reports(
        &mut self,
        now: Time,
        rules: &Rules,
        others: impl Fn(&NodeId) -> PeerEvidence,
    ) -> Vec<(NodeId, Option<Time>, Observation)> {
        let (half_life, lifetime) = (self.half_life, rules.evidence_lifetime());
        let observations: Vec<(NodeId, Observation)> = self
            .nodes
            .iter()
            .map(|(id, node)| (id.clone(), node.observe(now, half_life)))
            .collect();
        let reach = self.reach(&observations);
        let mut reports = Vec::new();
        for (id, observation) in observations {
            let Some(node) = self.nodes.get_mut(&id) else {
                continue;
            };
            let since_report = node
                .reported
                .map_or(Micros::MAX, |(at, _)| now.saturating_sub(at));
            let reported = node
                .reported
                .map(|(_, reported)| reported)
                .filter(|_| since_report <= lifetime)
                .unwrap_or_default();
            let is_slow = observation.is_slow();
            let is_bad = observation.fails() || is_slow;
            node.bad_since = node.bad_since.or(Some(now)).filter(|_| is_bad);
            node.failing_since = node
                .failing_since
                .or(Some(now))
                .filter(|_| observation.fails());
            if since_report < REPORT_INTERVAL_US {
                continue;
            }
            let is_old_report = since_report >= lifetime / 3;
            let is_due = if observation.fails() {
                let has_grown = observation.failures() >= reported.failures() + 0.9;
                if reported.fails() && !has_grown {
                    is_old_report && node.has_failed_since_report()
                } else if node.failed_at + MAX_EVIDENCE_AGE_US < now
                    || (rules.is_enabled(Guard::Blame) && node.is_uncertain(&reach))
                {
                    false
                } else {
                    reported.fails() || others(&id).accusers < ENOUGH_ACCUSERS
                }
            } else if observation.serves() {
                let was_slow = reported.is_slow();
                let others = others(&id);
                node.contested_since = node
                    .contested_since
                    .or(Some(now))
                    .filter(|_| others.contested);
                let has_waited = node
                    .contested_since
                    .is_some_and(|since| now >= since + others.wait);
                let supports = has_waited
                    && others.supporters < ENOUGH_SUPPORTERS
                    && node.answered_at + MAX_EVIDENCE_AGE_US >= now;
                reported.fails() || is_slow != was_slow || (is_old_report && (is_slow || supports))
            } else {
                false
            };
            if is_due {
                let duration_tenths_s = node
                    .bad_since
                    .map_or(0, |from| now.saturating_sub(from) / 100_000)
                    .min(65_535) as u16;
                let observation = Observation {
                    nodes_seen: reach.nodes().min(65_535) as u16,
                    nodes_failing: reach.failing.min(65_535) as u16,
                    duration_tenths_s,
                    ..observation
                };
                let observation = observation.with_failures_of(&reported);
                node.reported = Some((now, observation));
                reports.push((id, node.started, observation));
            }
        }
        reports
    }
}

#[cfg(test)]
mod tests;
