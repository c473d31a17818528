//! A router without its sockets: the table of requests, their attempts and all deadlines round the routing decisions.
//!
//! The same code runs under the router's loop and under the virtual time of the `simulation` crate.
//!
//! - [`Engine`] turns what happens into events for the decisions and their actions into [`Command`]s.
//! - [`Deadlines`] holds everything that falls due, [`Table`] what is numbered.
//! - [`WatchSchedule`] says when the watch on the endpoint list calls, with [`Backoff`] after failures.

mod backoff;
mod command;
mod deadlines;
mod endpoints;
mod engine;
mod request;
mod table;
mod watch_schedule;

pub use crate::backoff::*;
pub use crate::command::*;
pub use crate::deadlines::*;
pub use crate::engine::*;
pub use crate::table::*;
pub use crate::watch_schedule::*;
