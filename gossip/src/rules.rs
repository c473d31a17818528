//! Settings of gossip, except for files and addresses, which the router itself opens.

use crate::error::{Error, MAX_SEEDS};
use plovercove::Micros;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Protection against one kind of failure. Tests switch single guards off and verify that a check then fails.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Guard {
    /// The tag of each datagram is verified.
    Tag,
    /// A datagram that is received twice counts once.
    Replay,
    /// The delay of a late datagram adds to the age of its records.
    Transit,
    /// Records expire by age.
    Age,
    /// Records of an earlier incarnation of a router are dropped.
    OldLife,
    /// A single observer cannot eject a node.
    Observers,
    /// Observers that are all in one zone cannot eject a node, since the link of their zone may be at fault.
    OneZone,
    /// The observations of a router that sees many nodes fail do not count.
    Blame,
    /// At most a third of a group is ejected.
    Third,
    /// A primary is never ejected because it is slow.
    Primary,
    /// A router that was stalled does not count failures from the stall.
    Stopped,
    /// Records that were lost on the way are fetched.
    Repair,
    /// Members that went down are contacted again.
    Forgotten,
    /// A node that flaps stays at reduced weight for longer.
    Flap,
}

impl Guard {
    /// Returns the guard with this kebab-case name, or `None` if there is none.
    pub fn from_name(name: &str) -> Option<Guard> {
        use serde::de::IntoDeserializer;
        let name: serde::de::value::StrDeserializer<'_, serde::de::value::Error> =
            name.into_deserializer();
        Guard::deserialize(name).ok()
    }
}

/// Settings of gossip between routers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Rules {
    /// Name of the installation. Datagrams of routers of other installations are dropped, even if they use the same key.
    pub installation: String,
    /// Expected number of routers, from the platform's settings. Limits that routers share are divided by this number.
    #[serde(skip)]
    pub routers: u32,
    /// Addresses that a router contacts until it knows as many members as expected.
    pub seeds: Vec<SocketAddr>,
    /// Interval at which each router probes one other member (ms).
    pub probe_ms: u64,
    /// Time after which a probe without an answer is repeated by way of other members (ms).
    pub answer_ms: u64,
    /// Time after which a suspected member that does not refute the suspicion is down (ms).
    pub suspect_ms: u64,
    /// Mean time between two rounds of gossip (ms).
    pub gossip_ms: u64,
    /// Number of members to which each round of gossip goes.
    pub fanout: usize,
    /// Mean time between two comparisons of records with another member (ms).
    pub repair_ms: u64,
    /// Lifetime of an observation (s).
    pub evidence_s: f64,
    /// Delay beyond the fastest datagrams of a sender from which on a datagram is late and its delay adds to the age of its
    /// records (ms).
    pub late_ms: u64,
    /// Number of failures, over all observers, that eject a node. One observer counts for at most half of them. With a
    /// lower number, a node that is only busy would be ejected when several routers by chance get errors or time-outs from
    /// it at once.
    pub failures: u32,
    /// Maximum number of datagrams that a router sends per second.
    pub datagrams_per_s: u32,
    /// Maximum number of bytes that a router sends per second.
    pub bytes_per_s: u32,
    /// The guard that is switched off, for tests only.
    #[cfg(feature = "mutations")]
    #[serde(skip)]
    pub disabled_guard: Option<Guard>,
}

impl Default for Rules {
    /// Returns settings for a network with round trips well below 100 ms.
    fn default() -> Self {
        Rules {
            installation: String::new(),
            routers: 1,
            seeds: Vec::new(),
            probe_ms: 1_000,
            answer_ms: 300,
            suspect_ms: 4_000,
            gossip_ms: 200,
            fanout: 3,
            repair_ms: 1_000,
            evidence_s: 15.0,
            late_ms: 1_000,
            failures: 8,
            datagrams_per_s: 80,
            bytes_per_s: 40_000,
            #[cfg(feature = "mutations")]
            disabled_guard: None,
        }
    }
}

impl Rules {
    /// Returns whether a guard is enabled. Only tests disable one.
    #[cfg(feature = "mutations")]
    pub(crate) fn is_enabled(&self, guard: Guard) -> bool {
        self.disabled_guard != Some(guard)
    }

    /// Returns whether a guard is enabled. Only tests disable one.
    #[cfg(not(feature = "mutations"))]
    pub(crate) fn is_enabled(&self, _: Guard) -> bool {
        true
    }

    /// Returns the lifetime of an observation.
    pub fn evidence_lifetime(&self) -> Micros {
        (self.evidence_s * 1e6) as Micros
    }

    /// Returns the maximum number of failures that count for one observer, so that at least two observers are needed.
    pub(crate) fn max_failures_per_observer(&self) -> f64 {
        f64::from(self.failures) / 2.0
    }

    /// Returns for how long an observation counts that a node serves. Observers repeat it while the node serves them and other
    /// routers accuse it.
    pub(crate) fn support_lifetime(&self) -> Micros {
        self.evidence_lifetime() * 2 / 5
    }

    /// Returns how often each router sends a record or a change of the membership, which is slightly more often than it takes
    /// to reach all routers.
    pub(crate) fn max_transmissions(&self) -> u8 {
        let members = f64::from(self.routers.max(2));
        (3.0 * (members + 1.0).log(self.fanout as f64 + 1.0))
            .ceil()
            .clamp(4.0, 40.0) as u8
    }

    /// Returns the number of rounds in which gossip reaches all routers if a fifth of the datagrams is lost.
    fn rounds_to_reach_all(&self) -> u64 {
        f64::from(self.routers.max(2))
            .log(1.0 + 0.8 * self.fanout as f64)
            .ceil() as u64
            + 2
    }

    /// Returns the age from which on an accusation counts. By then it has reached the other routers, and their observations
    /// have come back.
    pub(crate) fn settle_time(&self) -> Micros {
        crate::ms_to_us(self.rounds_to_reach_all() * self.gossip_ms)
    }

    /// Returns the maximum time (us) from when the evidence for a verdict is complete until all routers that can reach each
    /// other act on it.
    ///
    /// It consists of the interval between two reports of an observer, the rounds of gossip if a fifth of the datagrams is
    /// lost, two comparisons of records for routers that the gossip still missed, and the review interval.
    pub fn max_reaction_delay(&self) -> Micros {
        self.settle_time()
            + crate::ms_to_us(
                self.rounds_to_reach_all() * self.gossip_ms * 3 / 2 + 3 * self.repair_ms,
            )
            + REVIEW_INTERVAL_US
            + REPORT_INTERVAL_US
    }

    /// Returns the maximum age (us) of the evidence behind a verdict: its lifetime, and the delay of a datagram that does
    /// not yet count as late.
    pub fn max_evidence_age(&self) -> Micros {
        self.evidence_lifetime() + crate::ms_to_us(self.late_ms) + REVIEW_INTERVAL_US
    }

    /// Returns the maximum time (us) after the end of a network partition until all routers that can reach each other agree
    /// on the members and on the observations.
    pub fn max_convergence_delay(&self) -> Micros {
        crate::ms_to_us(MAX_SEEK_BACKOFF_MS + 2 * self.probe_ms + self.suspect_ms)
            + self.max_reaction_delay()
    }

    /// Checks that the settings are within their bounds.
    ///
    /// # Errors
    /// Returns the first key at fault.
    pub fn check(&self) -> Result<(), Error> {
        let within = |key: &'static str, value: u64, least: u64, most: u64| {
            if (least..=most).contains(&value) {
                return Ok(());
            }
            Err(Error::Range {
                key,
                least,
                most,
                got: value,
            })
        };
        if self.installation.is_empty() || self.installation.len() > 64 {
            return Err(Error::Name);
        }
        within("routers", u64::from(self.routers), 1, 2_000)?;
        within("probe_ms", self.probe_ms, 50, 60_000)?;
        within("answer_ms", self.answer_ms, 5, self.probe_ms * 2 / 3)?;
        within("suspect_ms", self.suspect_ms, self.probe_ms, 600_000)?;
        within("gossip_ms", self.gossip_ms, 20, 10_000)?;
        within("fanout", self.fanout as u64, 1, 10)?;
        within("repair_ms", self.repair_ms, self.gossip_ms, 60_000)?;
        within("late_ms", self.late_ms, 10, 60_000)?;
        within("failures", u64::from(self.failures), 2, 1_000)?;
        within(
            "datagrams_per_s",
            u64::from(self.datagrams_per_s),
            self.min_datagrams_per_s(),
            100_000,
        )?;
        within(
            "bytes_per_s",
            u64::from(self.bytes_per_s),
            2_400,
            100_000_000,
        )?;
        if !(1.0..=600.0).contains(&self.evidence_s) {
            return Err(Error::Evidence(self.evidence_s));
        }
        if self.seeds.len() > MAX_SEEDS {
            return Err(Error::Seeds);
        }
        Ok(())
    }

    /// Returns the number of datagrams per second that probing alone may need: probes, their answers, and indirect probes
    /// for this router and for those that request them from it.
    fn min_datagrams_per_s(&self) -> u64 {
        (16_000 / self.probe_ms.max(1)).max(4)
    }
}

/// Time between two reviews of the verdicts.
pub(crate) const REVIEW_INTERVAL_US: Micros = 100_000;
/// Minimum time between two reports of an observer about the same node.
pub(crate) const REPORT_INTERVAL_US: Micros = 500_000;
/// First backoff between two announcements to a seed or to a former member (ms).
pub(crate) const MIN_SEEK_BACKOFF_MS: u64 = 500;
/// Longest backoff between two announcements to a seed or to a former member (ms).
pub(crate) const MAX_SEEK_BACKOFF_MS: u64 = 8_000;
