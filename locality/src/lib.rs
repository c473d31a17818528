//! Locality policy: which zones a request may use now, and how much of a node may be used.
//!
//! Zones form tiers of preference. Requests spill over to other zones within a limit, and a zone that was lost recovers
//! along a ramp that rises with successful answers. The crate does no I/O and reads no clock: the balancer queries
//! it ([`plovercove::LocalityPolicy`]) and notifies it of attempts and their results.
//!
//! *Locality* means a zone here, *priority* a tier of preference, and *spillover* the requests that leave their zone.
//!
//! - [`Rules`] are the operators' settings; [`ZoneFailover`] is the state of one router.
//! - [`evidence`] distinguishes one bad node, a lost zone, a link that only this router lost, and overload everywhere.
//! - [`allowance`] holds the token buckets that keep common limits over routers that share no state.
//! - [`ramp`] holds the recovery ramp and the penalty on flapping.

pub mod allowance;
pub mod evidence;
pub mod ramp;
mod rules;
mod zone_failover;

pub use rules::*;
pub use zone_failover::*;
