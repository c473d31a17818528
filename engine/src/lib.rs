//! The request engine of a router, without its sockets: the table of requests, their attempts and all deadlines, driven
//! by the routing decisions.
//!
//! The same code runs in the router's event loop and in the virtual time of the `simulation` crate.
//!
//! - [`Engine`] turns what happens into events for the decisions, and their actions into [`Command`]s.
//! - [`Deadlines`] holds all deadlines, and [`Table`] holds entries under keys that are never reused.
//! - [`WatchSchedule`] says when the watch on the endpoint list makes its calls, with [`Backoff`] after failures.

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
