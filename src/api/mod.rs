//! The types by which a router and the decisions communicate: settings, events and actions.
//!
//! They contain no decisions. Times are whole microseconds on the router's own clock.

mod action;
mod attempt;
mod endpoint;
mod event;
mod locality_policy;
mod session;
mod settings;
mod time;

pub use action::*;
pub use attempt::*;
pub use endpoint::*;
pub use event::*;
pub use locality_policy::*;
pub use session::*;
pub use settings::*;
pub use time::*;
