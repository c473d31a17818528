//! What operators set of duties.

use crate::ms;
use plovercove::Micros;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// A guard that tests can switch off, to see that the check against it catches that.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Guard {
    /// The owner looks at the clock last before an effect.
    Clock,
    /// Who stood still owns nothing until it has asked again.
    Stood,
    /// Leases end earlier at the owner than at the deciders, by what clocks may drift.
    Drift,
    /// A lease counts from when it was asked for, not from when the votes came.
    Asked,
    /// A decider votes once for a token.
    Once,
    /// A decider votes for nobody else while a lease that it granted runs.
    Held,
    /// A decider waits for the longest lease after its start.
    Wait,
    /// What a decider may have voted for is on disk before the vote leaves.
    Ceiling,
    /// A decider whose file is lost reads the others before it votes.
    CatchUp,
    /// A majority makes an owner, no fewer.
    Majority,
    /// A lease is renewed by the life that holds it alone.
    Life,
    /// A new set of deciders votes only when a majority of the old has sealed itself.
    Seal,
    /// Who hands over acts no more from when it tells the deciders.
    Pass,
    /// A duty whose owners are lost one after the other is set aside.
    Aside,
}

impl Guard {
    /// All of them.
    pub const ALL: [Guard; 14] = [
        Guard::Clock,
        Guard::Stood,
        Guard::Drift,
        Guard::Asked,
        Guard::Once,
        Guard::Held,
        Guard::Wait,
        Guard::Ceiling,
        Guard::CatchUp,
        Guard::Majority,
        Guard::Life,
        Guard::Seal,
        Guard::Pass,
        Guard::Aside,
    ];

    /// The guard of this name, as scripts write it.
    pub fn named(name: &str) -> Option<Guard> {
        use serde::de::IntoDeserializer;
        let name: serde::de::value::StrDeserializer<'_, serde::de::value::Error> =
            name.into_deserializer();
        Guard::deserialize(name).ok()
    }
}

/// A router that votes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Decider {
    /// Its name among peers; the file on its disk is bound to it.
    pub name: String,
    /// Where its peers reach it.
    pub address: SocketAddr,
}

/// Who votes.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Deciders {
    /// Counts the sets that there have been; the first is 1. Each change of `members` raises it by one.
    pub generation: u32,
    /// Three or five routers.
    pub members: Vec<Decider>,
    /// The members of the generation before; empty for the first.
    pub before: Vec<Decider>,
}

impl Deciders {
    /// How many make a majority.
    pub fn majority(&self) -> usize {
        majority(self.members.len())
    }

    /// Which of them is at this address.
    pub(crate) fn at(&self, address: &SocketAddr) -> Option<usize> {
        self.members.iter().position(|d| d.address == *address)
    }
}

/// How many of so many are more than half.
pub(crate) fn majority(of: usize) -> usize {
    of / 2 + 1
}

/// The settings of duties.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Rules {
    /// Files of other installations are refused. From the block of peers.
    #[serde(skip)]
    pub installation: String,
    /// Who votes.
    pub deciders: Deciders,
    /// An owner owns for so long after it last asked a majority (ms).
    pub lease_ms: u64,
    /// A router's clock runs faster or slower than true time by no more than this share.
    pub drift: f64,
    /// An ask that was not answered is sent again after so long (ms), and who is ranked one lower asks so much later.
    pub ask_ms: u64,
    /// A duty whose owners are lost one after the other is set aside for so long (ms), twice as long each time.
    pub aside_ms: u64,
    /// Datagrams a second that duties send at the most, of those that peers may send.
    pub datagrams_per_s: u32,
    /// Tests only: the guard that is off.
    #[cfg(feature = "mutations")]
    #[serde(skip)]
    pub without: Option<Guard>,
}

impl Default for Rules {
    fn default() -> Self {
        Rules {
            installation: String::new(),
            deciders: Deciders::default(),
            lease_ms: 30_000,
            drift: 0.01,
            ask_ms: 500,
            aside_ms: 60_000,
            datagrams_per_s: 40,
            #[cfg(feature = "mutations")]
            without: None,
        }
    }
}

/// A setting of duties that cannot be meant.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum RulesFault {
    /// A number is out of its range.
    #[error("{key}: expected {least} to {most}, got {got}")]
    Range {
        /// The key.
        key: &'static str,
        /// The least it may be.
        least: f64,
        /// The most.
        most: f64,
        /// What it is.
        got: f64,
    },
    /// Deciders would have to answer more often than their datagrams allow.
    #[error("lease_ms: {got} is too short for {routers} routers: expected {least} or more")]
    LeaseTooShort {
        /// What it is (ms).
        got: u64,
        /// The shortest allowed (ms).
        least: u64,
        /// How many routers there are.
        routers: u32,
    },
    /// Not three or five.
    #[error("{key}: expected 3 or 5 routers, got {got}")]
    Count {
        /// The key.
        key: &'static str,
        /// How many there are.
        got: usize,
    },
    /// One is listed twice.
    #[error("{key}: {who} is listed twice")]
    Twice {
        /// The key.
        key: &'static str,
        /// The name or the address.
        who: String,
    },
    /// A name that files and datagrams cannot hold.
    #[error("{key}: expected a name of 1 to 48 bytes")]
    Name {
        /// The key.
        key: &'static str,
    },
    /// The first generation has no set before it; each other has.
    #[error("deciders.before: expected none for generation 1 and the former set for a later one")]
    Before,
}

impl RulesFault {
    /// What an operator can do.
    pub fn help(&self) -> &'static str {
        match self {
            RulesFault::Range { .. } => {
                "set the key of the `duties` block to a number within the range"
            }
            RulesFault::LeaseTooShort { .. } => {
                "set a longer lease, or raise `duties.datagrams_per_s` and with it the budget of peers at the deciders"
            }
            RulesFault::Count { .. } => {
                "list three routers, or five where two may fail at once; an even number bears no more failures"
            }
            RulesFault::Twice { .. } => "list each decider once, with its own name and address",
            RulesFault::Name { .. } => "set the name that the router has in its `peers` block",
            RulesFault::Before => {
                "when deciders change: raise `generation` by one, and copy the former `members` to `before`"
            }
        }
    }
}

/// Renewals in each lease: two may be lost.
const RENEWALS: u64 = 3;
/// Asks beside renewals that deciders must be able to answer: claims, and asks that are sent again (share of renewals).
const BESIDE: f64 = 0.25;
/// No lease is shorter: a round trip, a slow disk and a starved loop fit in (ms).
const SHORTEST: u64 = 1_000;
/// No lease is longer, also none that another router asks for: a decider that starts waits for it (ms).
pub(crate) const LONGEST: u64 = 600_000;

impl Rules {
    /// Whether a guard is on. It is, but in tests that take it away.
    #[cfg(feature = "mutations")]
    pub(crate) fn on(&self, guard: Guard) -> bool {
        self.without != Some(guard)
    }

    /// Whether a guard is on. It is, but in tests that take it away.
    #[cfg(not(feature = "mutations"))]
    pub(crate) fn on(&self, _: Guard) -> bool {
        true
    }

    /// The lease at its owner, on the owner's clock, from when it asked (us).
    pub fn lease_at_owner(&self) -> Micros {
        let drift = if self.on(Guard::Drift) {
            self.drift
        } else {
            0.0
        };
        (ms(self.lease_ms) as f64 * (1.0 - drift)) as Micros
    }

    /// A lease of so many ms at a decider, on the decider's clock, from its vote (us).
    pub fn lease_at_decider(&self, lease_ms: u64) -> Micros {
        let drift = if self.on(Guard::Drift) {
            self.drift
        } else {
            0.0
        };
        (ms(lease_ms) as f64 * (1.0 + drift)).ceil() as Micros
    }

    /// Between two renewals (us).
    pub fn renew(&self) -> Micros {
        ms(self.lease_ms) / RENEWALS
    }

    /// An ask that was not answered is sent again after this (us).
    pub fn ask(&self) -> Micros {
        ms(self.ask_ms)
    }

    /// How many votes make an owner.
    pub(crate) fn quorum(&self) -> usize {
        if self.on(Guard::Majority) {
            self.deciders.majority()
        } else {
            1
        }
    }

    /// A claim that found no majority within this is given up (us).
    pub(crate) fn patience(&self) -> Micros {
        (ms(self.lease_ms) / 2).min(8 * self.ask())
    }

    /// The shortest lease for so many routers (ms): each router asks each decider once between two renewals, and each ask
    /// is answered with a datagram.
    pub fn shortest_lease(&self, routers: u32) -> u64 {
        let answers = f64::from(routers) * (1.0 + BESIDE);
        let lease = RENEWALS as f64 * 1_000.0 * answers / f64::from(self.datagrams_per_s.max(1));
        (lease.ceil() as u64).max(SHORTEST)
    }

    /// How long a duty is without an owner after a kill, at the most (us), where a majority of the deciders answers, peers
    /// see the end within a lease, and few datagrams are lost: the lease at the deciders, two looks of the next in rank, and
    /// the claim with what may be sent again.
    pub fn gap_after_kill(&self) -> Micros {
        self.lease_at_decider(self.lease_ms) + 2 * self.renew() + 4 * self.ask()
    }

    /// Checks what cannot be meant, for an installation of so many routers.
    ///
    /// # Errors
    /// Names the key at fault.
    pub fn check(&self, routers: u32) -> Result<(), RulesFault> {
        let within = |key: &'static str, got: f64, least: f64, most: f64| {
            if (least..=most).contains(&got) {
                return Ok(());
            }
            Err(RulesFault::Range {
                key,
                least,
                most,
                got,
            })
        };
        within(
            "datagrams_per_s",
            f64::from(self.datagrams_per_s),
            4.0,
            100_000.0,
        )?;
        within(
            "lease_ms",
            self.lease_ms as f64,
            SHORTEST as f64,
            LONGEST as f64,
        )?;
        let least = self.shortest_lease(routers);
        if self.lease_ms < least {
            return Err(RulesFault::LeaseTooShort {
                got: self.lease_ms,
                least,
                routers,
            });
        }
        within("drift", self.drift, 0.000_1, 0.2)?;
        within(
            "ask_ms",
            self.ask_ms as f64,
            20.0,
            (self.lease_ms / 6) as f64,
        )?;
        within("aside_ms", self.aside_ms as f64, 1_000.0, 3_600_000.0)?;
        within(
            "deciders.generation",
            f64::from(self.deciders.generation),
            1.0,
            f64::from(u32::MAX),
        )?;
        set("deciders.members", &self.deciders.members)?;
        if (self.deciders.generation == 1) != self.deciders.before.is_empty() {
            return Err(RulesFault::Before);
        }
        if !self.deciders.before.is_empty() {
            set("deciders.before", &self.deciders.before)?;
        }
        Ok(())
    }
}

/// Checks one set of deciders.
fn set(key: &'static str, of: &[Decider]) -> Result<(), RulesFault> {
    if ![3, 5].contains(&of.len()) {
        return Err(RulesFault::Count { key, got: of.len() });
    }
    for (n, one) in of.iter().enumerate() {
        if one.name.is_empty() || one.name.len() > 48 {
            return Err(RulesFault::Name { key });
        }
        if let Some(other) = of[..n]
            .iter()
            .find(|d| d.name == one.name || d.address == one.address)
        {
            let who = if other.name == one.name {
                one.name.clone()
            } else {
                one.address.to_string()
            };
            return Err(RulesFault::Twice { key, who });
        }
    }
    Ok(())
}
