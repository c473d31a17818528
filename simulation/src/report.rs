//! What a run tells.

use crate::pressure::LoadPeak;
use crate::rules::Breach;
use crate::spec::Variant;
use serde::Serialize;

/// One second of a run.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Second {
    /// Worth that was asked for, by the second in which its first try came, and what of it was answered in time.
    pub asked: f64,
    /// See `asked`.
    pub in_time: f64,
    /// Refusals and failures given in this second.
    pub refused: u32,
    /// See `refused`.
    pub failed: u32,
    /// Capacity of each zone (s of work a second) at its end: of nodes that run and can be reached.
    pub capacity: Vec<f64>,
    /// Work that routers of other zones sent to each zone's nodes (s), at its classes' means; writes left out.
    pub spilled: Vec<f64>,
}

/// What came of the requests of one class or tenant.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct ServedShare {
    /// Its name.
    pub name: String,
    /// Its first tries in the window, if there is one, and those of them that earned full worth, as counts.
    pub asked: u64,
    /// See `asked`.
    pub in_time: u64,
}

impl ServedShare {
    /// The share that was answered in time.
    pub fn share(&self) -> f64 {
        if self.asked > 0 {
            self.in_time as f64 / self.asked as f64
        } else {
            1.0
        }
    }
}

/// What a run tells. Shares are from 0 to 1.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Report {
    /// The experiment.
    pub name: String,
    /// How routers treated zones.
    pub variant: Variant,
    /// Its seed.
    pub seed: u64,
    /// First tries, and attempts sent to nodes.
    pub requests: u64,
    /// See `requests`.
    pub attempts: u64,
    /// Worth in time over worth asked for, in the whole run.
    pub in_time: f64,
    /// ... and from the loss to the end of the way back.
    pub window: f64,
    /// Replica reads that stayed in their router's zone before the first trouble.
    pub local: f64,
    /// The most that spill was over the limit in any second, in shares of the zone's capacity; under 0: never reached.
    pub spill_over: f64,
    /// The most that was spilled to a zone in any second, as a share of its capacity.
    pub spill_most: f64,
    /// Probes sent.
    pub probes: u64,
    /// Attempts sent to nodes that were silent or answered with errors just then.
    pub to_bad: u64,
    /// What came of the talk between routers.
    pub talked: Option<crate::world::GossipStats>,
    /// Nodes that fell over.
    pub fallen: u32,
    /// The most that came to a cold node within a window, as a share of what one surely bears; 1 breaks the promise.
    pub cold_peak: f64,
    /// Whose the most was, and the most of which over two thirds came from routers that had been told of the start:
    /// for more than that the rule blames them.
    pub cold: (LoadPeak, LoadPeak),
    /// Seconds after the loss until service is back to 95 % of what is left.
    pub after_loss: Option<f64>,
    /// Seconds after the return until it is back to 95 % of what it was before the loss.
    pub after_return: Option<f64>,
    /// Latency of answers in ms: median, p99.
    pub p50_ms: f64,
    /// See `p50_ms`.
    pub p99_ms: f64,
    /// Class by class.
    pub classes: Vec<ServedShare>,
    /// Tenant by tenant, where there are any.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub tenants: Vec<ServedShare>,
    /// Rules that were broken.
    pub breaches: Vec<Breach>,
    /// Events handled, a measure of the run's size.
    pub events: u64,
    /// Second by second.
    pub seconds: Vec<Second>,
}

/// How many seconds in a row must be good for service to be back.
const STEADY: usize = 2;

/// Seconds from `from` on until `STEADY` seconds in a row reach `goal(second)` of in-time service.
pub(crate) fn back(
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
    (first..last.saturating_sub(STEADY - 1))
        .find(|n| (*n..n + STEADY).all(good))
        .map(|n| n as f64 - from)
}
