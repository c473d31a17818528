//! The plovercove router: PostgreSQL clients in front, db nodes behind, and one loop between them round
//! `plovercove-engine`. The program `plovercove` is this library with a command line.

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
pub mod statement_labels;
pub mod upstream;

pub use error::Error;
