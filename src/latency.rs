//! Latency statistics: of each class of requests, and of each node in proportion to its class.

use crate::api::{Class, Micros, Time};
use crate::decay;

/// Weight of a new sample in running means, which is a memory of about ten samples.
pub(crate) const SAMPLE_WEIGHT: f64 = 0.1;
/// Weight of a new sample of a class's latency. A class is sampled more often than a node, so its mean remembers
/// longer.
const CLASS_SAMPLE_WEIGHT: f64 = SAMPLE_WEIGHT / 2.0;
/// Initial estimate of a class's latency, as a share of its latency objective.
pub(crate) const INITIAL_SHARE_OF_OBJECTIVE: f64 = 0.3;
/// Number of mean latencies after which a read times out. It is large because the read may still be answered.
const READ_TIMEOUT_LATENCIES: f64 = 16.0;
/// Minimum timeout of a read.
const MIN_READ_TIMEOUT: Micros = 100_000;
/// Maximum factor by which a slow node lengthens the timeout of a read.
const MAX_TIMEOUT_SLOWNESS: f64 = 2.0;
/// Weight of a new sample of slowness in a router with a sparse view, which has few answers from each node.
const SPARSE_SLOWNESS_WEIGHT: f64 = 0.25;
/// Slowness recorded for an attempt that a node rejected: slower than any latency objective allows.
const OVERLOADED_SLOWNESS: f64 = 5.0;
/// Lower bound of slowness. Together with [`MAX_SLOWNESS`] it keeps a run of samples from excluding a node or drawing
/// all requests to it.
const MIN_SLOWNESS: f64 = 0.5;
const MAX_SLOWNESS: f64 = 12.0;
/// Time constant with which slowness returns to 1, so that a node that was slow is tried again.
const SLOWNESS_TIME_CONSTANT_US: f64 = 8e6;
/// Share of clients leaving early above which their actual waiting time counts instead of the time that they announce.
const EARLY_DEPARTURES_THAT_COUNT: f64 = 0.2;
/// Time after the last early departure during which early departures count.
const EARLY_DEPARTURES_REMEMBERED: Micros = 3_000_000;

/// Returns whether an attempt may still be answered, judged by its node's mean latency. The answer to an attempt that
/// has been in flight for longer may be lost, so the attempt no longer uses the concurrency limit of its node.
pub(crate) fn may_still_answer(now: Time, sent_at: Time, expected_latency: f64) -> bool {
    (now.saturating_sub(sent_at) as f64) < READ_TIMEOUT_LATENCIES * expected_latency
}

/// Returns the timeout of a read at one node, after which another node may be tried.
pub(crate) fn read_timeout(class_latency: f64, node_slowness: f64) -> Micros {
    let timeout = class_latency * READ_TIMEOUT_LATENCIES * node_slowness.min(MAX_TIMEOUT_SLOWNESS);
    (timeout as Micros).max(MIN_READ_TIMEOUT)
}

/// The statistics of one router on one class of requests.
#[derive(Clone, Debug)]
pub(crate) struct ClassStats {
    /// Mean time between the send and the end of an attempt (us).
    pub(crate) latency: f64,
    /// Mean latency at nodes without a queue, which is the work of one request (us). `None` until such a node has
    /// answered.
    queueless_latency: Option<f64>,
    /// The longest time left that a request arrived with; first attempts of clients have this much.
    pub(crate) longest_patience: Micros,
    /// Statistics on clients that leave before the time that they announced.
    pub(crate) departures: EarlyDepartures,
}

impl ClassStats {
    /// Creates the statistics of a class without samples.
    pub(crate) fn new(class: &Class) -> Self {
        ClassStats {
            latency: class.latency_objective as f64 * INITIAL_SHARE_OF_OBJECTIVE,
            queueless_latency: None,
            longest_patience: 0,
            departures: EarlyDepartures::default(),
        }
    }

    /// Returns the expected work of one request (us).
    pub(crate) fn work(&self) -> f64 {
        self.queueless_latency.unwrap_or(self.latency)
    }

    /// Records the latency of an answer from a node without a queue. The first sample starts from the overall mean.
    pub(crate) fn observe_queueless(&mut self, elapsed_us: f64) {
        let latency = self.queueless_latency.get_or_insert(self.latency);
        *latency += CLASS_SAMPLE_WEIGHT * (elapsed_us - *latency);
    }

    /// Records the time after which an attempt was answered or ended unanswered.
    pub(crate) fn observe(&mut self, elapsed_us: f64) {
        self.latency += SAMPLE_WEIGHT * (elapsed_us - self.latency) / 2.0;
    }
}

/// Statistics on clients that leave long before the time that they announced. Work for them is wasted, and they send
/// their requests again.
#[derive(Clone, Debug, Default)]
pub(crate) struct EarlyDepartures {
    /// Mean time that such clients wait (us).
    pub(crate) mean_wait: f64,
    /// The share of such clients among all clients that were not answered by then.
    share: f64,
    last_at: Time,
}

impl EarlyDepartures {
    /// Records a client that left well before the time that it announced.
    pub(crate) fn observe(&mut self, now: Time, waited: Micros) {
        let forgotten = now > self.last_at + EARLY_DEPARTURES_REMEMBERED;
        let weight = if forgotten { 1.0 } else { SAMPLE_WEIGHT };
        self.mean_wait += weight * (waited as f64 - self.mean_wait);
        self.share += CLASS_SAMPLE_WEIGHT * (1.0 - self.share);
        self.last_at = now;
    }

    /// Records a client that was answered later than the early ones leave.
    pub(crate) fn observe_patient_client(&mut self) {
        self.share -= CLASS_SAMPLE_WEIGHT * self.share;
    }

    /// Returns the time that clients are expected to wait (us), or `None` if they wait as long as they announce.
    pub(crate) fn expected_wait(&self, now: Time) -> Option<f64> {
        let common = self.share > EARLY_DEPARTURES_THAT_COUNT;
        let recent = now < self.last_at + EARLY_DEPARTURES_REMEMBERED;
        (common && recent).then_some(self.mean_wait)
    }
}

/// The slowness of a node relative to the mean latency of its requests' classes; 1 is average speed.
#[derive(Clone, Debug)]
pub(crate) struct Slowness {
    factor: f64,
    updated_at: Time,
}

impl Slowness {
    /// Creates the slowness of an unknown node.
    pub(crate) fn new(now: Time) -> Self {
        Slowness {
            factor: 1.0,
            updated_at: now,
        }
    }

    /// Returns the slowness now; old observations decay.
    pub(crate) fn at(&self, now: Time) -> f64 {
        let left = decay::remaining(now, self.updated_at, SLOWNESS_TIME_CONSTANT_US);
        1.0 + (self.factor - 1.0) * left
    }

    /// Records an attempt whose latency was `ratio` times the mean of its class. `sparse` says that this router has few
    /// samples.
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

    /// Records that the node rejected an attempt because its queue was full.
    pub(crate) fn observe_overload(&mut self, now: Time, sparse: bool) {
        self.observe(now, OVERLOADED_SLOWNESS, sparse);
    }
}
