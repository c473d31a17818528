//! What a router does without sockets: it keeps requests, their attempts and all deadlines, lets the decision module
//! decide and holds the rules that no decision may break. The same code runs under the router's loop and under the
//! virtual time of the `fleet` model.

mod backoff;
mod core;
mod deadlines;
mod table;
mod watch_schedule;

pub use crate::backoff::*;
pub use crate::core::*;
pub use crate::deadlines::*;
pub use crate::table::*;
pub use crate::watch_schedule::*;
