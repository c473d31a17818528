//! A discrete-event simulation of routers, database nodes, replication, zones, the endpoint list and clients. It
//! runs hundreds of instances of the real `plovercove-engine`, zone failover and decision module, and checks rules such
//! as "a write runs at most once" during the run. The same [`Spec`] and seed give the same [`Report`] byte for byte.
//!
//! [`node`] and [`replication`] are state machines that receive the time as an argument; the emulator uses them too.

mod cold_load;
pub mod node;
pub mod replication;
mod report;
mod rules;
mod spec;
mod strict;
mod world;

pub use cold_load::{LoadPeak, LoadShares};
pub use report::*;
pub use rules::{Breach, Rule};
pub use spec::*;
pub use strict::Strict;
pub use world::{GossipStats, run};

/// The random number generator of the simulation.
pub type SimRng = rand_pcg::Pcg64Mcg;
