//! Stand-ins on loopback sockets: db nodes, the agent that tells the node list, and clients. What a node can do, when it
//! falls and how old its data is comes from the same machines as the `fleet` model's. For the translator there are a server
//! that answers what a script says, and a client that knows no more than old drivers do.

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
pub use fleet::{Fleet, Tally};

use plovercove::Time;
use std::time::{SystemTime, UNIX_EPOCH};

/// The system's clock, Unix time in microseconds.
pub(crate) fn now() -> Time {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |d| d.as_micros() as Time)
}
