//! Subscriber lists of gateways that heal after a partition, and numbered news, without I/O or clock.
//!
//! A [`Publisher`] (the owner of a watch) numbers the news of its topics within its token and tells each gateway once. A
//! [`Gateway`] (the owner of the duty `gateway/ZONE`) holds the list of its zone's subscribers, keeps copies of the other
//! zones' lists equal by digests and differences, and tells its subscribers. A [`Client`] subscribes, renews, and notices
//! what it missed. All three are driven alike: bodies and the time go in, bodies and news come out.

mod client;
mod fault;
mod gateway;
mod outbox;
mod publisher;
mod reconciliation;
mod retained;
mod rules;
mod sequence_tracker;
mod table;
mod topic;
mod wire;

pub use client::{Client, ClientCounts, SubscriptionEvent};
pub use fault::Fault;
pub use gateway::{Gateway, GatewayCounts};
pub use publisher::Publisher;
pub use rules::{Guard, MAX_DIFFERENCE_BYTES, Rules};
pub use table::{Declaration, MergeOutcome, SubscriptionTable};
pub use topic::{Subscriber, Topic};
pub use wire::{Entry, MAX_BODY_BYTES, MAX_ITEM_BYTES, State};

/// Milliseconds as the module's spans.
fn ms(ms: u64) -> plovercove::Micros {
    ms * 1_000
}

/// Topics and duties that are remembered of what others tell, at the most: more than a fleet of 120 groups has.
const DUTIES: usize = 4_096;
