//! A model of what plovercove balances: db nodes, replication, zones, the node list and clients, in virtual time. It
//! drives the real `plovercove-engine`, tiers and decision module, hundreds of routers at a time, and checks the rules as
//! it goes. The same [`Spec`] and seed give the same [`Report`] to the byte.
//!
//! [`node`] and [`replication`] are plain state machines that are told the time; the stand-ins on sockets use them too.

pub mod node;
mod pressure;
pub mod replication;
mod report;
mod rules;
mod spec;
mod strict;
mod world;

pub use pressure::{LoadPeak, LoadShares};
pub use report::*;
pub use rules::{Breach, Rule};
pub use spec::*;
pub use strict::Strict;
pub use world::{GossipStats, run};

/// The generator of all random numbers here.
pub type SimRng = rand_pcg::Pcg64Mcg;
