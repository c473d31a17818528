//! The report of a run.

use crate::cold_load::LoadPeak;
use crate::rules::Breach;
use crate::spec::Variant;
use serde::Serialize;

/// The figures of one second of a run.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Second {
    /// Weight of the requests whose first try arrived in this second, and the weight that was earned by answers to them.
    pub asked: f64,
    /// See `asked`.
    pub in_time: f64,
    /// Numbers of rejections and failures that routers answered in this second.
    pub refused: u32,
    /// See `refused`.
    pub failed: u32,
    /// Capacity of each zone (s of work per second) at the end of this second, from nodes that are up and reachable.
    pub capacity: Vec<f64>,
    /// Work (s) that routers of other zones sent to each zone's nodes, without writes, at the mean work of its classes.
    pub spilled: Vec<f64>,
}

/// How many requests of a class or tenant were answered within the latency objective.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct ServedShare {
    /// Its name.
    pub name: String,
    /// Number of its requests (within `Spec::window` if it is set), and number of those answered within the objective.
    pub asked: u64,
    /// See `asked`.
    pub in_time: u64,
}

impl ServedShare {
    /// Returns the share of requests that were answered within the latency objective.
    pub fn share(&self) -> f64 {
        if self.asked > 0 {
            self.in_time as f64 / self.asked as f64
        } else {
            1.0
        }
    }
}

/// The report of a run. Shares are from 0 to 1.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Report {
    /// Name of the experiment.
    pub name: String,
    /// How routers chose between zones.
    pub variant: Variant,
    /// Seed of the run.
    pub seed: u64,
    /// Number of requests, and number of attempts that routers sent to nodes.
    pub requests: u64,
    /// See `requests`.
    pub attempts: u64,
    /// Earned weight as a share of the weight of all requests, in the whole run ...
    pub in_time: f64,
    /// ... and within `Spec::window`.
    pub window: f64,
    /// Share of replica reads before the first fault that a node of the router's own zone received.
    pub local: f64,
    /// Largest difference between the spill into a zone in a second and the limit, as a share of the zone's capacity.
    /// A negative value means that spill was always under the limit.
    pub spill_over: f64,
    /// Largest spill into a zone in a second, as a share of the zone's capacity.
    pub spill_most: f64,
    /// Number of health checks that routers sent.
    pub probes: u64,
    /// Number of attempts that were sent to nodes during a `Bad` fault of these nodes.
    pub to_bad: u64,
    /// Figures of the gossip between routers, if there is any.
    pub talked: Option<crate::world::GossipStats>,
    /// Number of nodes that crashed by overload.
    pub fallen: u32,
    /// Largest load of a cold node within a window, as a share of what the node certainly withstands. Routers must keep it
    /// under 1.
    pub cold_peak: f64,
    /// The causes of the largest load, and the largest load of which more than two thirds came from routers that knew of
    /// the node's start. The rule `PushedOver` holds the routers responsible only for the latter.
    pub cold: (LoadPeak, LoadPeak),
    /// Seconds from the first fault until service has recovered to 95 % of what the remaining capacity allows.
    pub after_loss: Option<f64>,
    /// Seconds from the end of the last fault until service has recovered to 95 % of its share before the first fault.
    pub after_return: Option<f64>,
    /// Median and p99 latency of answers (ms).
    pub p50_ms: f64,
    /// See `p50_ms`.
    pub p99_ms: f64,
    /// Figures of each class.
    pub classes: Vec<ServedShare>,
    /// Figures of each tenant.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub tenants: Vec<ServedShare>,
    /// Violated rules.
    pub breaches: Vec<Breach>,
    /// Number of simulated events, a measure of the run's size.
    pub events: u64,
    /// Figures of each second.
    pub seconds: Vec<Second>,
}

/// Number of consecutive good seconds after which service counts as recovered.
const RECOVERED_SECONDS: usize = 2;

/// Returns the seconds after `from` until the share of earned weight reaches `goal(second)` for `RECOVERED_SECONDS`
/// consecutive seconds.
pub(crate) fn time_to_recovery(
    seconds: &[Second],
    from: f64,
    until: f64,
    goal: impl Fn(usize) -> f64,
) -> Option<f64> {
    let first = from.ceil() as usize;
    let last = (until.floor() as usize).min(seconds.len());
    let good = |n: usize| {
        let s = &seconds[n];
        s.asked == 0.0 || s.in_time / s.asked >= goal(n)
    };
    (first..last.saturating_sub(RECOVERED_SECONDS - 1))
        .find(|n| (*n..n + RECOVERED_SECONDS).all(good))
        .map(|n| n as f64 - from)
}
