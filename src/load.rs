//! What other routers have in flight at a node, and how many requests a node works on at once.
//!
//! Where routers are many, each sees next to nothing of a node's load itself. Nodes tell it in their reports; between
//! reports the figure fades towards the mean of the group.

use crate::api::{Micros, NodeReport, Time};
use crate::decay;
use crate::latency::SAMPLE_WEIGHT;

/// A node's last report fades towards its group's mean with this time constant.
const REPORT_TIME_CONSTANT_US: f64 = 2e6;
/// A group's mean fades towards nothing with this one. Without it, a jam that keeps requests out would never be heard to
/// have ended: requests are shed for good, while every node is idle.
const GROUP_MEAN_TIME_CONSTANT_US: f64 = 5e6;
/// Weight of a report in the mean of its group.
const GROUP_MEAN_WEIGHT: f64 = 0.2;
/// Only reports of nodes at least this busy (in thousandths) tell their cores: of idler ones all is noise.
const MIN_TELLING_UTILIZATION: f64 = 0.2;
/// Only reports of nodes less busy than this do: beyond it requests queue.
const MAX_TELLING_UTILIZATION: f64 = 0.9;
/// Requests a node works on at once, until reports tell.
const DEFAULT_CORES: f64 = 4.0;

/// Requests of other routers at a node or, in the mean, at a member of a group.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ExternalLoad {
    requests: f64,
    updated_at: Time,
}

impl ExternalLoad {
    /// Requests of other routers, by the last report.
    pub(crate) fn reported(&self) -> f64 {
        self.requests
    }

    /// Whether a report that was asked for then is no older than the last.
    pub(crate) fn is_superseded_by(&self, asked_at: Time) -> bool {
        asked_at >= self.updated_at
    }

    /// A report of the node itself.
    pub(crate) fn set(&mut self, requests: f64, asked_at: Time) {
        self.requests = requests;
        self.updated_at = asked_at;
    }

    /// A report of one member, into the mean of its group.
    pub(crate) fn observe_member(&mut self, now: Time, requests: f64) {
        self.requests *= decay::remaining(now, self.updated_at, GROUP_MEAN_TIME_CONSTANT_US);
        self.requests += GROUP_MEAN_WEIGHT * (requests - self.requests);
        self.updated_at = now;
    }

    /// The mean of a group by now.
    pub(crate) fn group_mean(&self, now: Time) -> f64 {
        self.requests * decay::remaining(now, self.updated_at, GROUP_MEAN_TIME_CONSTANT_US)
    }

    /// The expected load of a node whose group's mean this is.
    pub(crate) fn expected(&self, now: Time, group_mean: f64) -> f64 {
        let left = decay::remaining(now, self.updated_at, REPORT_TIME_CONSTANT_US);
        group_mean + (self.requests - group_mean) * left
    }
}

/// How many requests a node works on at once: one mean over all nodes, by what they report.
#[derive(Clone, Debug)]
pub(crate) struct CoreEstimate {
    cores: f64,
    reports: f64,
}

impl Default for CoreEstimate {
    fn default() -> Self {
        CoreEstimate {
            cores: DEFAULT_CORES,
            reports: 0.0,
        }
    }
}

impl CoreEstimate {
    /// Requests that a warm node works on at once.
    pub(crate) fn cores(&self) -> f64 {
        self.cores
    }

    /// The same for a node that warms up: cautious until a report has told.
    pub(crate) fn cautious_cores(&self) -> f64 {
        if self.reports > 0.0 {
            self.cores
        } else {
            DEFAULT_CORES / 2.0
        }
    }

    /// A node with so many in flight reported how busy it is.
    pub(crate) fn observe(&mut self, in_flight: u32, report: &NodeReport) {
        let utilization = f64::from(report.utilization_permille.unwrap_or(0)) / 1e3;
        let telling = (MIN_TELLING_UTILIZATION..MAX_TELLING_UTILIZATION).contains(&utilization);
        if !telling || in_flight == 0 {
            return;
        }
        self.reports += 1.0;
        // The first reports count for more: a router among hundreds gets few.
        let weight = SAMPLE_WEIGHT.max(1.0 / (self.reports + 1.0));
        self.cores += weight * (f64::from(in_flight) / utilization - self.cores);
    }
}

/// When a report was asked for, on this router's clock: what another router passed on is older than its arrival.
pub(crate) fn asked_at(now: Time, age: Micros) -> Time {
    now.saturating_sub(age)
}
