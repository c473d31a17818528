//! What operators set of peers, but for files and addresses that only the router itself opens.

use crate::error::{Error, MOST_SEEDS};
use plovercove::Micros;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// A guard that tests can switch off, to see that the check against it catches that.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Guard {
    /// A datagram's tag is checked.
    Tag,
    /// A datagram counts once.
    Replay,
    /// A datagram that was long under way ages what it brings.
    Transit,
    /// Evidence ends by its age.
    Age,
    /// What an old life said ends with it.
    OldLife,
    /// One observer takes nobody out.
    Observers,
    /// Observers in one zone speak for their link.
    OneZone,
    /// Who sees many nodes fail blames itself.
    Blame,
    /// Never more than a third of a group.
    Third,
    /// A primary is never out by slowness.
    Primary,
    /// Who was stopped doubts itself.
    Stopped,
    /// Lost records are fetched.
    Repair,
    /// Forgotten members are tried again.
    Forgotten,
    /// A flapping node has to prove more.
    Flap,
}

impl Guard {
    /// The guard of this name, as scripts write it.
    pub fn from_name(name: &str) -> Option<Guard> {
        use serde::de::IntoDeserializer;
        let name: serde::de::value::StrDeserializer<'_, serde::de::value::Error> =
            name.into_deserializer();
        Guard::deserialize(name).ok()
    }
}

/// The settings of peers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Rules {
    /// Routers of other installations are strangers, though they have the same key.
    pub installation: String,
    /// How many routers there should be, from the platform's settings. What is divided among routers is divided by this.
    #[serde(skip)]
    pub routers: u32,
    /// Addresses that a router asks for members until it knows as many as there should be.
    pub seeds: Vec<SocketAddr>,
    /// Each router probes one other in this time (ms).
    pub probe_ms: u64,
    /// An answer that takes longer is asked for by way of others (ms).
    pub answer_ms: u64,
    /// Who is suspected and says nothing for so long is gone (ms).
    pub suspect_ms: u64,
    /// Between two rounds of gossip (ms).
    pub gossip_ms: u64,
    /// Members that each round goes to.
    pub fanout: usize,
    /// Between two comparisons of records with another (ms).
    pub repair_ms: u64,
    /// Evidence counts for so long (s).
    pub evidence_s: f64,
    /// A datagram that was under way for so much longer than others ages what it brings (ms).
    pub late_ms: u64,
    /// Failures that take a node out, over all observers; one observer counts for half of them at the most. Fewer are the
    /// errors and time-outs of a node that is merely busy, met by chance by several routers at once.
    pub failures: u32,
    /// Datagrams a second that a router sends at the most.
    pub datagrams_per_s: u32,
    /// Bytes a second that a router sends at the most.
    pub bytes_per_s: u32,
    /// Tests only: the guard that is off.
    #[cfg(feature = "mutations")]
    #[serde(skip)]
    pub disabled_guard: Option<Guard>,
}

impl Default for Rules {
    /// A network with answers well under 100 ms.
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
    /// Whether a guard is on. It is, but in tests that take it away.
    #[cfg(feature = "mutations")]
    pub(crate) fn on(&self, guard: Guard) -> bool {
        self.disabled_guard != Some(guard)
    }

    /// Whether a guard is on. It is, but in tests that take it away.
    #[cfg(not(feature = "mutations"))]
    pub(crate) fn on(&self, _: Guard) -> bool {
        true
    }

    /// Evidence counts for so long.
    pub fn evidence_lifetime(&self) -> Micros {
        (self.evidence_s * 1e6) as Micros
    }

    /// One observer counts for no more failures than this, however many it reports: two are needed at the least.
    pub(crate) fn each(&self) -> f64 {
        f64::from(self.failures) / 2.0
    }

    /// That a node serves is believed for so long: those who say it say it again while it does.
    pub(crate) fn fresh(&self) -> Micros {
        self.evidence_lifetime() * 2 / 5
    }

    /// A record is sent so often, a little more than its way to all of them takes.
    pub(crate) fn sends(&self) -> u8 {
        let members = f64::from(self.routers.max(2));
        (3.0 * (members + 1.0).log(self.fanout as f64 + 1.0))
            .ceil()
            .clamp(4.0, 40.0) as u8
    }

    /// Rounds of gossip until all have heard, where a fifth of the datagrams is lost.
    fn rounds(&self) -> u64 {
        f64::from(self.routers.max(2))
            .log(1.0 + 0.8 * self.fanout as f64)
            .ceil() as u64
            + 2
    }

    /// An accusation is this old before it counts: it went out, and what others saw came back.
    pub(crate) fn settle(&self) -> Micros {
        crate::ms(self.rounds() * self.gossip_ms)
    }

    /// How long until all who can hear each other act on a verdict, from when the evidence for it is complete (us): what an
    /// observer holds back, the rounds that gossip needs where a fifth of the datagrams is lost, two comparisons for whom
    /// it still missed, and the time between two reviews.
    pub fn max_reaction_delay(&self) -> Micros {
        self.settle()
            + crate::ms(self.rounds() * self.gossip_ms * 3 / 2 + 3 * self.repair_ms)
            + REVIEW
            + HOLD
    }

    /// The greatest age of evidence that is acted on (us): its life, and what a datagram may be late unnoticed.
    pub fn max_evidence_age(&self) -> Micros {
        self.evidence_lifetime() + crate::ms(self.late_ms) + REVIEW
    }

    /// How long after a cut is healed until all who can hear each other agree on who is there and on what they saw (us).
    pub fn max_convergence_delay(&self) -> Micros {
        crate::ms(SEEK.1 + 2 * self.probe_ms + self.suspect_ms) + self.max_reaction_delay()
    }

    /// Checks what cannot be meant.
    ///
    /// # Errors
    /// Names the key at fault.
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
            self.least_datagrams(),
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
        if self.seeds.len() > MOST_SEEDS {
            return Err(Error::Seeds);
        }
        Ok(())
    }

    /// What probing alone may need: a probe, its answer, and those by way of others, for itself and for those that ask it.
    fn least_datagrams(&self) -> u64 {
        (16_000 / self.probe_ms.max(1)).max(4)
    }
}

/// Between two reviews of the verdicts.
pub(crate) const REVIEW: Micros = 100_000;
/// An observer tells a change of one node at most so often.
pub(crate) const HOLD: Micros = 500_000;
/// Pauses between two calls of a seed or of a forgotten member: the first and the longest (ms).
pub(crate) const SEEK: (u64, u64) = (500, 8_000);
