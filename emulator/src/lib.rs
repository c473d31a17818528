//! Emulates the surroundings of routers on loopback sockets: db nodes, discovery agents, clients and the network between
//! them.
//!
//! The capacity of a node, its failure under overload and the age of its data follow the models of the simulation. For
//! tests of the protocol translation there are a scripted server, and a client that knows only what old drivers know.

mod agent;
mod client;
pub mod counting_node;
pub mod error_page;
pub mod faulty_peers;
mod fleet;
pub mod legacy_client;
pub mod links;
pub mod manual_node;
mod node;
mod orphan_reaper;
pub mod process;
pub mod server;
mod shared;
pub mod tcp_relay;
mod wire;

pub use agent::{Agent, Entry};
pub use client::{Clients, RequestClient, RequestOutcome, Sample};
pub use fleet::{Fleet, FleetCounts};

use plovercove::Time;
use std::time::{SystemTime, UNIX_EPOCH};

/// Returns the Unix time of the system clock (us).
pub(crate) fn now() -> Time {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |d| d.as_micros() as Time)
}
