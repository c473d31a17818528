//! What is learned of latency: of each class of requests, and of each node against its class.

use crate::api::{Class, Micros, Time};
use crate::decay;

/// Weight of a new sample in running means: some ten samples of memory.
pub(crate) const SAMPLE_WEIGHT: f64 = 0.1;
/// Weight of a new sample of a class's latency. A class is sampled more often than a node, so it remembers longer.
const CLASS_SAMPLE_WEIGHT: f64 = SAMPLE_WEIGHT / 2.0;
/// First guess of a class's latency, as a share of its objective.
pub(crate) const INITIAL_SHARE_OF_OBJECTIVE: f64 = 0.3;
/// A read times out after so many mean latencies. Late, since it may be answered all the same.
const READ_TIMEOUT_LATENCIES: f64 = 16.0;
/// A read is waited for at least so long.
const MIN_READ_TIMEOUT: Micros = 100_000;
/// A slow node makes a read's timeout longer by this factor at the most.
const MAX_TIMEOUT_SLOWNESS: f64 = 2.0;
/// Weight of a sample of slowness where a router has few answers from each node.
const SPARSE_SLOWNESS_WEIGHT: f64 = 0.25;
/// How slow a node counts that turned work away: slower than any latency objective allows.
const OVERLOADED_SLOWNESS: f64 = 5.0;
/// Bounds of slowness: no run of samples banishes a node or makes it a magnet.
const MIN_SLOWNESS: f64 = 0.5;
const MAX_SLOWNESS: f64 = 12.0;
/// Slowness returns to 1 with this time constant, so that a node that was slow is tried again.
const SLOWNESS_TIME_CONSTANT_US: f64 = 8e6;
/// Above this share of clients that leave early their own time counts instead of the one they name.
const EARLY_DEPARTURES_THAT_COUNT: f64 = 0.2;
/// For how long after the last early departure that holds.
const EARLY_DEPARTURES_REMEMBERED: Micros = 3_000_000;

/// Whether an attempt may still be answered, as far as its node's mean latency tells. The answer of one that has been
/// out for longer may be lost, so it takes no room at its node any more.
pub(crate) fn may_still_answer(now: Time, sent_at: Time, expected_latency: f64) -> bool {
    (now.saturating_sub(sent_at) as f64) < READ_TIMEOUT_LATENCIES * expected_latency
}

/// How long a read is waited for at one node before another may be asked.
pub(crate) fn read_timeout(class_latency: f64, node_slowness: f64) -> Micros {
    let timeout = class_latency * READ_TIMEOUT_LATENCIES * node_slowness.min(MAX_TIMEOUT_SLOWNESS);
    (timeout as Micros).max(MIN_READ_TIMEOUT)
}

/// What one router has learned of one class of requests.
#[derive(Clone, Debug)]
pub(crate) struct ClassStats {
    /// Mean time from a send to its end (us).
    pub(crate) latency: f64,
    /// The same at nodes without a queue: the work of one request (us). None until such a node has answered.
    queueless_latency: Option<f64>,
    /// The longest patience seen on an attempt of a client: what its first ones come with.
    pub(crate) longest_patience: Micros,
    /// Clients that leave before the time that they name.
    pub(crate) departures: EarlyDepartures,
}

impl ClassStats {
    /// Of a class from which nothing has come yet.
    pub(crate) fn new(class: &Class) -> Self {
        ClassStats {
            latency: class.latency_objective as f64 * INITIAL_SHARE_OF_OBJECTIVE,
            queueless_latency: None,
            longest_patience: 0,
            departures: EarlyDepartures::default(),
        }
    }

    /// The expected work of one request (us).
    pub(crate) fn work(&self) -> f64 {
        self.queueless_latency.unwrap_or(self.latency)
    }

    /// A node without a queue answered after so long. Until one has, the mean stands in for it.
    pub(crate) fn observe_queueless(&mut self, elapsed_us: f64) {
        let latency = self.queueless_latency.get_or_insert(self.latency);
        *latency += CLASS_SAMPLE_WEIGHT * (elapsed_us - *latency);
    }

    /// An attempt was answered, or waited in vain, for so long.
    pub(crate) fn observe(&mut self, elapsed_us: f64) {
        self.latency += SAMPLE_WEIGHT * (elapsed_us - self.latency) / 2.0;
    }
}

/// Clients that leave long before the time that they name. Work for them is lost, and they come back for more.
#[derive(Clone, Debug, Default)]
pub(crate) struct EarlyDepartures {
    /// How long such clients wait, in the mean (us).
    pub(crate) mean_wait: f64,
    /// Their share among those that were not answered by then.
    share: f64,
    last_at: Time,
}

impl EarlyDepartures {
    /// A client left after so long, well before the time that it named.
    pub(crate) fn observe(&mut self, now: Time, waited: Micros) {
        let forgotten = now > self.last_at + EARLY_DEPARTURES_REMEMBERED;
        let weight = if forgotten { 1.0 } else { SAMPLE_WEIGHT };
        self.mean_wait += weight * (waited as f64 - self.mean_wait);
        self.share += CLASS_SAMPLE_WEIGHT * (1.0 - self.share);
        self.last_at = now;
    }

    /// A client was answered, though later than those leave.
    pub(crate) fn observe_patient_client(&mut self) {
        self.share -= CLASS_SAMPLE_WEIGHT * self.share;
    }

    /// How long clients can be expected to wait, where that is not what they say (us).
    pub(crate) fn expected_wait(&self, now: Time) -> Option<f64> {
        let common = self.share > EARLY_DEPARTURES_THAT_COUNT;
        let recent = now < self.last_at + EARLY_DEPARTURES_REMEMBERED;
        (common && recent).then_some(self.mean_wait)
    }
}

/// How slow a node is against the mean of what it is asked: 1 for as fast as all others.
#[derive(Clone, Debug)]
pub(crate) struct Slowness {
    factor: f64,
    updated_at: Time,
}

impl Slowness {
    /// Of a node of which nothing is known.
    pub(crate) fn new(now: Time) -> Self {
        Slowness {
            factor: 1.0,
            updated_at: now,
        }
    }

    /// The factor by now: what was observed fades.
    pub(crate) fn at(&self, now: Time) -> f64 {
        let left = decay::remaining(now, self.updated_at, SLOWNESS_TIME_CONSTANT_US);
        1.0 + (self.factor - 1.0) * left
    }

    /// An attempt ended after so many times the mean of its class. `sparse` says that this router has few samples.
    pub(crate) fn observe(&mut self, now: Time, ratio: f64, sparse: bool) {
        let weight = if sparse {
            SPARSE_SLOWNESS_WEIGHT
        } else {
            SAMPLE_WEIGHT
        };
        let old = self.at(now);
        self.factor = (old + weight * (ratio - old)).clamp(MIN_SLOWNESS, MAX_SLOWNESS);
        self.updated_at = now;
    }

    /// The node turned an attempt away because its queue was full.
    pub(crate) fn observe_overload(&mut self, now: Time, sparse: bool) {
        self.observe(now, OVERLOADED_SLOWNESS, sparse);
    }
}
