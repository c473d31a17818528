//! Which zones a request may use now, and how much of a node may be used: tiers of preference, a limit on what spills
//! over, and a way back that rises on evidence. There is no I/O and no clock here; the decision module asks
//! ([`plovercove::LocalityPolicy`]) and tells what it sends and what comes of it.
//!
//! Terms are those of the field: *locality* (a zone), *priority* (a tier of preference), *spillover*.
//!
//! - [`Rules`] is what operators say; [`ZoneFailover`] is the state of one router.
//! - [`evidence`] tells one bad node, a lost zone, a link lost on this side only and overload everywhere apart.
//! - [`allowance`] holds the budgets of work that make the limits hold over routers that share nothing.
//! - [`ramp`] is the way back, and the penalty on flapping.

pub mod allowance;
pub mod evidence;
pub mod ramp;
mod rules;
mod zone_failover;

pub use rules::*;
pub use zone_failover::*;
