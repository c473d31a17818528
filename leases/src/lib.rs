//! Leases: one holder at a time for each piece of work that a single router does for all routers.
//!
//! Three or five routers, the *voters*, grant leases. A majority of votes makes a router the holder of a lease for a
//! limited time, under a [`plovercove_fencing::Token`] that only rises. All routers compute from the same members which
//! router should hold which lease ([`Placement`]), so that they rarely compete for one.
//!
//! The crate does no I/O and reads no clock: [`LeaseManager`] receives messages and the time, and returns messages,
//! [`LeaseEvent`]s and the state that must be written to disk.

mod ballot;
mod event;
mod local_lease;
mod manager;
mod persisted;
mod placement;
mod rate_limiter;
mod rules;
mod voter;
mod wire;

pub use ballot::{Ballot, Holder, Tally, VoteOutcome};
pub use event::{LeaseEvent, LossReason};
pub use local_lease::ResumePoint;
pub use manager::{Counts, LeaseManager};
pub use persisted::{PersistedState, PersistedStateFault};
pub use placement::{Member, Placement, WantedLease};
pub use rules::{Guard, Rules, RulesFault, VoterConfig, VoterSet};
pub use wire::VoterStage;

/// Converts milliseconds to the unit of [`plovercove::Micros`].
fn ms(ms: u64) -> plovercove::Micros {
    ms.saturating_mul(1_000)
}
