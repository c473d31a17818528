//! The plovercove router: accepts PostgreSQL clients, forwards their requests to db nodes, and runs `plovercove-engine`,
//! which decides on the routing, in one event loop. The program `plovercove` adds the command line.

pub mod clock;
pub mod config;
pub mod discovery;
pub mod error;
pub mod front;
pub mod gossip;
pub mod lease_tasks;
pub mod net;
pub mod operators;
pub mod serve;
pub mod shutdown;
pub mod statement_labels;
pub mod upstream;

pub use error::Error;
