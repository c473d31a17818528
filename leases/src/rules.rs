//! Settings of leases, and their checks.

use crate::ms;
use plovercove::Micros;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// A safeguard of the protocol that tests can disable, to prove that their checks detect its absence.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Guard {
    /// A lease holder checks the clock immediately before each action.
    Clock,
    /// A process that stalled holds no lease until the voters have granted it again.
    #[serde(rename = "stood")]
    Stalled,
    /// A lease ends earlier at its holder than at the voters, by the maximum drift of their clocks.
    Drift,
    /// A lease counts from the time at which its request was sent, not from the arrival of the votes.
    #[serde(rename = "asked")]
    CountFromRequest,
    /// A voter votes at most once for a token.
    #[serde(rename = "once")]
    VoteOnce,
    /// A voter votes for no other router while a lease that it granted is running.
    #[serde(rename = "held")]
    RunningLease,
    /// After its start a voter waits for the end of the longest lease that it may have granted.
    #[serde(rename = "wait")]
    WaitAfterStart,
    /// The ceiling of the tokens that a voter may have voted for is on disk before the vote leaves.
    Ceiling,
    /// A voter whose file is lost reads the states of the other voters before it votes.
    CatchUp,
    /// A lease needs the votes of a majority.
    Majority,
    /// Only the incarnation that holds a lease may renew it.
    #[serde(rename = "life")]
    Incarnation,
    /// A new set of voters votes only after a majority of the previous set has sealed itself.
    Seal,
    /// A router that hands a lease over stops acting before it sends the transfer to the voters.
    #[serde(rename = "pass")]
    Transfer,
    /// A lease is suspended after several of its holders in a row were lost.
    #[serde(rename = "aside")]
    Suspend,
}

impl Guard {
    /// All guards.
    pub const ALL: [Guard; 14] = [
        Guard::Clock,
        Guard::Stalled,
        Guard::Drift,
        Guard::CountFromRequest,
        Guard::VoteOnce,
        Guard::RunningLease,
        Guard::WaitAfterStart,
        Guard::Ceiling,
        Guard::CatchUp,
        Guard::Majority,
        Guard::Incarnation,
        Guard::Seal,
        Guard::Transfer,
        Guard::Suspend,
    ];

    /// Returns the guard with this name, as the environment variable of the tests has it.
    pub fn named(name: &str) -> Option<Guard> {
        use serde::de::IntoDeserializer;
        let name: serde::de::value::StrDeserializer<'_, serde::de::value::Error> =
            name.into_deserializer();
        Guard::deserialize(name).ok()
    }
}

/// A router that votes on leases.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename = "Decider", deny_unknown_fields)]
pub struct VoterConfig {
    /// Its name among the members. Its file on disk is bound to this name.
    pub name: String,
    /// The address at which the other routers reach it.
    pub address: SocketAddr,
}

/// The set of routers that vote on leases.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename = "Deciders", default, deny_unknown_fields)]
pub struct VoterSet {
    /// Number of this set, beginning with 1. Each change of `members` raises it by one.
    pub generation: u32,
    /// Three or five routers.
    pub members: Vec<VoterConfig>,
    /// The members of the previous generation; empty for the first generation.
    #[serde(rename = "before")]
    pub previous: Vec<VoterConfig>,
}

impl VoterSet {
    /// Returns the size of a majority of the members.
    pub fn majority(&self) -> usize {
        majority(self.members.len())
    }

    /// Returns the position of the member with this address.
    pub(crate) fn position_of(&self, address: &SocketAddr) -> Option<usize> {
        self.members
            .iter()
            .position(|voter| voter.address == *address)
    }
}

/// Returns the smallest number that is more than half of `count`.
pub(crate) fn majority(count: usize) -> usize {
    count / 2 + 1
}

/// Settings of leases.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Rules {
    /// Name of the installation, from the settings of gossip. A voter's file of another installation is rejected.
    #[serde(skip)]
    pub installation: String,
    /// The routers that vote.
    #[serde(rename = "deciders")]
    pub voters: VoterSet,
    /// Length of a lease, from the time at which its holder last sent a request that a majority granted (ms).
    pub lease_ms: u64,
    /// Maximum share by which a router's clock runs faster or slower than true time.
    pub drift: f64,
    /// Time after which an unanswered request is sent again (ms). A candidate delays its request by this time for each
    /// rank below the first.
    #[serde(rename = "ask_ms")]
    pub retry_ms: u64,
    /// Time for which a lease is suspended after several of its holders in a row were lost (ms). It doubles each time.
    #[serde(rename = "aside_ms")]
    pub suspend_ms: u64,
    /// Maximum number of datagrams a second that leases send, out of the budget of gossip.
    pub datagrams_per_s: u32,
    /// The guard that a test has disabled.
    #[cfg(feature = "mutations")]
    #[serde(skip)]
    pub disabled_guard: Option<Guard>,
}

impl Default for Rules {
    fn default() -> Self {
        Rules {
            installation: String::new(),
            voters: VoterSet::default(),
            lease_ms: 30_000,
            drift: 0.01,
            retry_ms: 500,
            suspend_ms: 60_000,
            datagrams_per_s: 40,
            #[cfg(feature = "mutations")]
            disabled_guard: None,
        }
    }
}

/// An invalid setting of leases.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum RulesFault {
    /// A number is outside of its range.
    #[error("{key}: expected {least} to {most}, got {got}")]
    Range {
        /// The settings key.
        key: &'static str,
        /// The smallest allowed value.
        least: f64,
        /// The largest allowed value.
        most: f64,
        /// The configured value.
        got: f64,
    },
    /// Voters would have to send more answers than their budget of datagrams allows.
    #[error("lease_ms: {got} is too short for {routers} routers: expected {least} or more")]
    LeaseTooShort {
        /// The configured value (ms).
        got: u64,
        /// The shortest allowed lease (ms).
        least: u64,
        /// Number of routers of the installation.
        routers: u32,
    },
    /// The set has neither three nor five voters.
    #[error("{key}: expected 3 or 5 routers, got {got}")]
    Count {
        /// The settings key.
        key: &'static str,
        /// The configured number of voters.
        got: usize,
    },
    /// A voter is listed twice.
    #[error("{key}: {duplicate} is listed twice")]
    Twice {
        /// The settings key.
        key: &'static str,
        /// The repeated name or address.
        duplicate: String,
    },
    /// The name of a voter does not fit into files and datagrams.
    #[error("{key}: expected a name of 1 to 48 bytes")]
    Name {
        /// The settings key.
        key: &'static str,
    },
    /// `before` is set for generation 1, or it is empty for a later generation.
    #[error("deciders.before: expected none for generation 1 and the former set for a later one")]
    Before,
}

impl RulesFault {
    /// Returns what an operator can do about the fault.
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

/// Number of renewals within a lease. Two of them may be lost.
const RENEWALS_PER_LEASE: u64 = 3;
/// Share of requests beside renewals that the voters must be able to answer: claims and retries.
const EXTRA_REQUEST_SHARE: f64 = 0.25;
/// Length of the shortest lease (ms). A round trip, a slow disk and a starved event loop fit into it.
const MIN_LEASE_MS: u64 = 1_000;
/// Length of the longest lease, also of one that another router requests (ms). A voter that starts waits for its end.
pub(crate) const MAX_LEASE_MS: u64 = 600_000;
/// Maximum length of a voter's name, in bytes.
const MAX_VOTER_NAME_BYTES: usize = 48;

impl Rules {
    /// Returns whether a guard is enabled; only a test can disable one.
    #[cfg(feature = "mutations")]
    pub(crate) fn is_enabled(&self, guard: Guard) -> bool {
        self.disabled_guard != Some(guard)
    }

    /// Returns whether a guard is enabled; only a test can disable one.
    #[cfg(not(feature = "mutations"))]
    pub(crate) fn is_enabled(&self, _: Guard) -> bool {
        true
    }

    /// Returns the length of a lease at its holder, by the holder's clock and from the time of its request (us).
    pub fn lease_at_holder(&self) -> Micros {
        let drift = if self.is_enabled(Guard::Drift) {
            self.drift
        } else {
            0.0
        };
        (ms(self.lease_ms) as f64 * (1.0 - drift)) as Micros
    }

    /// Returns the length of a lease of `lease_ms` at a voter, by the voter's clock and from the time of its vote (us).
    pub fn lease_at_voter(&self, lease_ms: u64) -> Micros {
        let drift = if self.is_enabled(Guard::Drift) {
            self.drift
        } else {
            0.0
        };
        (ms(lease_ms) as f64 * (1.0 + drift)).ceil() as Micros
    }

    /// Returns the time between two renewals (us).
    pub fn renew_interval(&self) -> Micros {
        ms(self.lease_ms) / RENEWALS_PER_LEASE
    }

    /// Returns the time after which an unanswered request is sent again (us).
    pub fn retry_interval(&self) -> Micros {
        ms(self.retry_ms)
    }

    /// Returns the number of votes that a lease needs.
    pub(crate) fn quorum(&self) -> usize {
        if self.is_enabled(Guard::Majority) {
            self.voters.majority()
        } else {
            1
        }
    }

    /// Returns the time after which a claim without a majority is given up (us).
    pub(crate) fn claim_timeout(&self) -> Micros {
        (ms(self.lease_ms) / 2).min(8 * self.retry_interval())
    }

    /// Returns the length of the shortest lease for this number of routers (ms).
    ///
    /// Each router sends each voter one request between two renewals, and each request is answered with a datagram.
    pub fn min_lease_ms(&self, routers: u32) -> u64 {
        let answers = f64::from(routers) * (1.0 + EXTRA_REQUEST_SHARE);
        let lease =
            RENEWALS_PER_LEASE as f64 * 1_000.0 * answers / f64::from(self.datagrams_per_s.max(1));
        (lease.ceil() as u64).max(MIN_LEASE_MS)
    }

    /// Returns the maximum time for which a lease has no holder after its holder was killed (us).
    ///
    /// The bound holds if a majority of the voters answers, the members notice the end of the holder within a lease, and
    /// few datagrams are lost. It consists of the lease at the voters, two polls of the candidate that is ranked next, and
    /// its claim with retries.
    pub fn max_gap_after_kill(&self) -> Micros {
        self.lease_at_voter(self.lease_ms) + 2 * self.renew_interval() + 4 * self.retry_interval()
    }

    /// Checks the settings for an installation of this number of routers.
    ///
    /// # Errors
    /// A setting is invalid; the error names its key.
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
            MIN_LEASE_MS as f64,
            MAX_LEASE_MS as f64,
        )?;
        let least = self.min_lease_ms(routers);
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
            self.retry_ms as f64,
            20.0,
            (self.lease_ms / 6) as f64,
        )?;
        within("aside_ms", self.suspend_ms as f64, 1_000.0, 3_600_000.0)?;
        within(
            "deciders.generation",
            f64::from(self.voters.generation),
            1.0,
            f64::from(u32::MAX),
        )?;
        check_voters("deciders.members", &self.voters.members)?;
        if (self.voters.generation == 1) != self.voters.previous.is_empty() {
            return Err(RulesFault::Before);
        }
        if !self.voters.previous.is_empty() {
            check_voters("deciders.before", &self.voters.previous)?;
        }
        Ok(())
    }
}

/// Checks one set of voters.
fn check_voters(key: &'static str, voters: &[VoterConfig]) -> Result<(), RulesFault> {
    if ![3, 5].contains(&voters.len()) {
        return Err(RulesFault::Count {
            key,
            got: voters.len(),
        });
    }
    for (position, voter) in voters.iter().enumerate() {
        if voter.name.is_empty() || voter.name.len() > MAX_VOTER_NAME_BYTES {
            return Err(RulesFault::Name { key });
        }
        if let Some(other) = voters[..position]
            .iter()
            .find(|other| other.name == voter.name || other.address == voter.address)
        {
            let duplicate = if other.name == voter.name {
                voter.name.clone()
            } else {
                voter.address.to_string()
            };
            return Err(RulesFault::Twice { key, duplicate });
        }
    }
    Ok(())
}
