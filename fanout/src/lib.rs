//! Subscriber lists of gateways that converge after a partition, and delivery of numbered items, without I/O or clock.
//!
//! A [`Publisher`] (the lease holder of a watch) numbers the items of its topics within its fencing token and sends
//! each item once to each gateway. A [`Gateway`] (the holder of the lease `gateway/ZONE`) keeps the list of its zone's
//! subscribers and copies of the other zones' lists, repairs the copies by comparing digests and sending differences,
//! and delivers items to its subscribers. A [`Client`] subscribes, renews its subscriptions, and detects items that it
//! missed. All three are driven in the same way: the caller passes received bodies and the time, and takes out bodies
//! to send and events.

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

/// Converts milliseconds to microseconds.
fn us_from_ms(ms: u64) -> plovercove::Micros {
    ms * 1_000
}

/// Maximum number of topics and leases that are remembered from messages of other routers. 120 groups need fewer.
const MAX_TRACKED_LEASES: usize = 4_096;
