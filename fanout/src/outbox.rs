//! Messages waiting to be sent: limited by the send budget, packed into bodies by recipient, in turns between lanes.

use crate::Rules;
use crate::wire::{self, Header, MAX_BODY_BYTES, Message, Recipient};
use plovercove::{Micros, Time};
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

/// Maximum number of waiting messages. A message beyond it is dropped; its recipient requests it again.
const MAX_WAITING_MESSAGES: usize = 8_192;

/// Budget of datagrams and bytes that may be sent. Both refill evenly, up to the amount of a quarter of a second.
#[derive(Debug)]
pub(crate) struct SendBudget {
    /// Available budget, in millionths of a datagram and of a byte.
    datagrams: u64,
    bytes: u64,
    refilled_at: Time,
    datagrams_per_s: u64,
    bytes_per_s: u64,
}

impl SendBudget {
    pub fn new(rules: &Rules, now: Time) -> Self {
        let mut budget = SendBudget {
            datagrams: 0,
            bytes: 0,
            refilled_at: now,
            datagrams_per_s: u64::from(rules.datagrams_per_s),
            bytes_per_s: u64::from(rules.bytes_per_s),
        };
        budget.refill(now + 1_000_000);
        budget.refilled_at = now;
        budget
    }

    /// Returns the maximum of both budgets. However low the rates are, one datagram with a complete body has to fit.
    fn capacity(&self) -> (u64, u64) {
        (
            (self.datagrams_per_s * 250_000).max(1_000_000),
            (self.bytes_per_s * 250_000).max(1_200_000_000),
        )
    }

    fn refill(&mut self, now: Time) {
        let elapsed = now.saturating_sub(self.refilled_at).min(10_000_000);
        let capacity = self.capacity();
        self.datagrams = (self.datagrams + elapsed * self.datagrams_per_s).min(capacity.0);
        self.bytes = (self.bytes + elapsed * self.bytes_per_s).min(capacity.1);
        self.refilled_at = self.refilled_at.max(now);
    }

    /// Returns whether a datagram of any length may be sent.
    fn may_send(&mut self, now: Time) -> bool {
        self.refill(now);
        self.datagrams >= 1_000_000 && self.bytes >= MAX_BODY_BYTES as u64 * 1_000_000
    }

    fn spend(&mut self, bytes: usize) {
        self.datagrams = self.datagrams.saturating_sub(1_000_000);
        self.bytes = self.bytes.saturating_sub(bytes as u64 * 1_000_000);
    }

    /// Returns when the next datagram may be sent.
    fn next_send(&self) -> Time {
        let wait = |missing: u64, per_s: u64| missing.div_ceil(per_s.max(1));
        let datagrams = wait(
            1_000_000u64.saturating_sub(self.datagrams),
            self.datagrams_per_s,
        );
        let bytes = wait(
            (MAX_BODY_BYTES as u64 * 1_000_000).saturating_sub(self.bytes),
            self.bytes_per_s,
        );
        self.refilled_at + datagrams.max(bytes)
    }
}

/// Lanes of messages, which are served in turns.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Lane {
    /// Renewals, declarations, requests and their answers.
    Control,
    /// Messages that compare the lists of gateways.
    Lists,
    /// Items of topics. The owner of the outbox creates them when the lane's turn comes.
    Items,
}

type Destination = (SocketAddr, Recipient);

#[derive(Debug, Default)]
struct Queue {
    messages: BTreeMap<Destination, VecDeque<Vec<u8>>>,
    /// Destinations with waiting messages, served in turns.
    ready: VecDeque<Destination>,
}

impl Queue {
    fn push(&mut self, to: Destination, message: Vec<u8>) {
        let messages = self.messages.entry(to.clone()).or_default();
        if messages.is_empty() {
            self.ready.push_back(to);
        }
        messages.push_back(message);
    }

    /// Returns the next body, with as many messages for one recipient as fit.
    fn take_body(
        &mut self,
        gateway: &Option<(std::sync::Arc<str>, plovercove_fencing::Token)>,
    ) -> Option<(Destination, Vec<u8>, usize)> {
        let to = self.ready.pop_front()?;
        let messages = self.messages.get_mut(&to)?;
        let mut body = wire::encode_header(&Header {
            to: to.1.clone(),
            gateway: gateway.clone(),
        });
        let mut packed = 0;
        while let Some(message) = messages.front()
            && (packed == 0 || body.len() + message.len() <= MAX_BODY_BYTES)
        {
            body.extend_from_slice(message);
            messages.pop_front();
            packed += 1;
        }
        if messages.is_empty() {
            self.messages.remove(&to);
        } else {
            self.ready.push_back(to.clone());
        }
        Some((to, body, packed))
    }
}

/// Messages that wait to be sent, and bodies that are ready to be sent.
#[derive(Debug)]
pub(crate) struct Outbox {
    budget: SendBudget,
    queues: [Queue; 3],
    waiting: usize,
    next_lane: usize,
    bodies: Vec<(SocketAddr, Vec<u8>)>,
    /// Messages dropped because too many were waiting.
    pub dropped: u64,
    /// Datagrams sent.
    pub datagrams: u64,
    /// Bytes sent.
    pub bytes: u64,
    /// Bytes sent to compare lists.
    pub list_bytes: u64,
}

impl Outbox {
    pub fn new(rules: &Rules, now: Time) -> Self {
        Outbox {
            budget: SendBudget::new(rules, now),
            queues: Default::default(),
            waiting: 0,
            next_lane: 0,
            bodies: Vec::new(),
            dropped: 0,
            datagrams: 0,
            bytes: 0,
            list_bytes: 0,
        }
    }

    pub fn enqueue(&mut self, lane: Lane, address: SocketAddr, to: Recipient, message: &Message) {
        if self.waiting >= MAX_WAITING_MESSAGES {
            self.dropped += 1;
            return;
        }
        let message = wire::encode_message(message);
        if message.is_empty() {
            return;
        }
        self.waiting += 1;
        self.queues[lane as usize].push((address, to), message);
    }

    /// Returns whether no message waits in a lane.
    pub fn is_lane_empty(&self, lane: Lane) -> bool {
        self.queues[lane as usize].ready.is_empty()
    }

    /// Returns whether a message for an address waits in a lane.
    pub fn has_waiting(&self, lane: Lane, address: SocketAddr) -> bool {
        self.queues[lane as usize]
            .messages
            .keys()
            .any(|(to, _)| *to == address)
    }

    /// Packs the messages that the budget allows into bodies, taking the lanes in turns. `enqueue_items` adds the next
    /// items to their lane and returns whether there were any.
    pub fn send_due(
        &mut self,
        now: Time,
        gateway: &Option<(std::sync::Arc<str>, plovercove_fencing::Token)>,
        mut enqueue_items: impl FnMut(&mut Outbox) -> bool,
    ) {
        while self.budget.may_send(now) {
            if self.is_lane_empty(Lane::Items) && !enqueue_items(self) && self.waiting == 0 {
                return;
            }
            let lanes = self.queues.len();
            let Some(lane) = (0..lanes)
                .map(|lane| (self.next_lane + lane) % lanes)
                .find(|lane| !self.queues[*lane].ready.is_empty())
            else {
                return;
            };
            self.next_lane = lane + 1;
            let Some((to, body, packed)) = self.queues[lane].take_body(gateway) else {
                return;
            };
            self.waiting -= packed;
            self.budget.spend(body.len());
            self.datagrams += 1;
            self.bytes += body.len() as u64;
            if lane == Lane::Lists as usize {
                self.list_bytes += body.len() as u64;
            }
            self.bodies.push((to.0, body));
        }
    }

    /// Returns when the next body may be sent, or `Time::MAX` if nothing waits. `has_more` says whether the owner of the outbox
    /// has items to add.
    pub fn next_send(&self, has_more: bool) -> Time {
        if self.waiting == 0 && !has_more {
            Time::MAX
        } else {
            self.budget.next_send()
        }
    }

    pub fn take_bodies(&mut self) -> Vec<(SocketAddr, Vec<u8>)> {
        std::mem::take(&mut self.bodies)
    }

    /// Discards the waiting messages, because they were written under a lease that is no longer held.
    pub fn clear(&mut self) {
        self.queues = Default::default();
        self.waiting = 0;
    }
}

/// Returns a random duration from half of the given one to all of it.
pub(crate) fn jittered(rng: &mut rand_pcg::Pcg64Mcg, duration: Micros) -> Micros {
    use rand::RngExt;
    duration / 2 + rng.random_range(0..=duration / 2)
}
