//! One owner at a time for each of the fleet's chores. Three or five routers, the *deciders*, vote; a majority makes an
//! owner, for the time of a lease and with a [`plovercove_fencing::Token`] that only rises. Who should ask is found alike at
//! all routers ([`Placement`]).
//!
//! No I/O, no clock: [`Duties`] is handed messages and the time, and gives messages, news and what must be on disk out.

mod ballot;
mod candidate;
mod decider;
mod duties;
mod kept;
mod meter;
mod news;
mod place;
mod rules;
mod wire;

pub use ballot::{Ballot, Holder, Said, Tally};
pub use candidate::Begin;
pub use duties::{Counts, Duties};
pub use kept::{Kept, KeptFault};
pub use news::{News, Why};
pub use place::{Member, Placement, Wanted};
pub use rules::{Decider, Deciders, Guard, Rules, RulesFault};
pub use wire::Stage;

/// Milliseconds as the module's spans.
fn ms(ms: u64) -> plovercove::Micros {
    ms.saturating_mul(1_000)
}
