//! What waits to be sent: within the budget, packed by address, and in turns between its kinds.

use crate::Rules;
use crate::wire::{self, For, Head, MAX_BODY_BYTES, Message};
use plovercove::{Micros, Time};
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

/// Messages that wait at the most. Past it the newest is dropped: whoever waited for it asks again.
const MOST: usize = 8_192;

/// What may be sent by now: both budgets fill up evenly, to a quarter of a second's worth.
#[derive(Debug)]
pub(crate) struct Pace {
    /// In millionths of a datagram and of a byte.
    datagrams: u64,
    bytes: u64,
    at: Time,
    per_s: (u64, u64),
}

impl Pace {
    pub fn new(rules: &Rules, now: Time) -> Self {
        let per_s = (
            u64::from(rules.datagrams_per_s),
            u64::from(rules.bytes_per_s),
        );
        let mut pace = Pace {
            datagrams: 0,
            bytes: 0,
            at: now,
            per_s,
        };
        pace.fill(now + 1_000_000);
        pace.at = now;
        pace
    }

    /// One of each and a whole body have to fit, whatever the budget.
    fn most(&self) -> (u64, u64) {
        (
            (self.per_s.0 * 250_000).max(1_000_000),
            (self.per_s.1 * 250_000).max(1_200_000_000),
        )
    }

    fn fill(&mut self, now: Time) {
        let span = now.saturating_sub(self.at).min(10_000_000);
        let most = self.most();
        self.datagrams = (self.datagrams + span * self.per_s.0).min(most.0);
        self.bytes = (self.bytes + span * self.per_s.1).min(most.1);
        self.at = self.at.max(now);
    }

    /// Whether a datagram of any length may go.
    fn may(&mut self, now: Time) -> bool {
        self.fill(now);
        self.datagrams >= 1_000_000 && self.bytes >= MAX_BODY_BYTES as u64 * 1_000_000
    }

    fn spend(&mut self, bytes: usize) {
        self.datagrams = self.datagrams.saturating_sub(1_000_000);
        self.bytes = self.bytes.saturating_sub(bytes as u64 * 1_000_000);
    }

    /// When the next may go.
    fn next(&self) -> Time {
        let wait = |lacks: u64, per_s: u64| lacks.div_ceil(per_s.max(1));
        let datagrams = wait(1_000_000u64.saturating_sub(self.datagrams), self.per_s.0);
        let bytes = wait(
            (MAX_BODY_BYTES as u64 * 1_000_000).saturating_sub(self.bytes),
            self.per_s.1,
        );
        self.at + datagrams.max(bytes)
    }
}

/// The kinds of messages, each of which gets its turn.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Lane {
    /// Answers, changes and requests.
    Control,
    /// The comparison of lists.
    Lists,
    /// News, which the owner of the mail makes when it is their turn.
    Items,
}

type To = (SocketAddr, For);

#[derive(Debug, Default)]
struct Queue {
    waits: BTreeMap<To, VecDeque<Vec<u8>>>,
    turns: VecDeque<To>,
}

impl Queue {
    fn put(&mut self, to: To, message: Vec<u8>) {
        let waits = self.waits.entry(to.clone()).or_default();
        if waits.is_empty() {
            self.turns.push_back(to);
        }
        waits.push_back(message);
    }

    /// The next body, of as many messages to one address as fit.
    fn take(
        &mut self,
        gateway: &Option<(std::sync::Arc<str>, plovercove_fencing::Token)>,
    ) -> Option<(To, Vec<u8>, usize)> {
        let to = self.turns.pop_front()?;
        let waits = self.waits.get_mut(&to)?;
        let mut body = wire::head(&Head {
            to: to.1.clone(),
            gateway: gateway.clone(),
        });
        let mut packed = 0;
        while let Some(message) = waits.front()
            && (packed == 0 || body.len() + message.len() <= MAX_BODY_BYTES)
        {
            body.extend_from_slice(message);
            waits.pop_front();
            packed += 1;
        }
        if waits.is_empty() {
            self.waits.remove(&to);
        } else {
            self.turns.push_back(to.clone());
        }
        Some((to, body, packed))
    }
}

/// What waits to be sent, and what was sent.
#[derive(Debug)]
pub(crate) struct Mail {
    pace: Pace,
    queues: [Queue; 3],
    waits: usize,
    turn: usize,
    out: Vec<(SocketAddr, Vec<u8>)>,
    pub dropped: u64,
    pub datagrams: u64,
    pub bytes: u64,
    /// Bytes of the comparison of lists.
    pub lists: u64,
}

impl Mail {
    pub fn new(rules: &Rules, now: Time) -> Self {
        Mail {
            pace: Pace::new(rules, now),
            queues: Default::default(),
            waits: 0,
            turn: 0,
            out: Vec::new(),
            dropped: 0,
            datagrams: 0,
            bytes: 0,
            lists: 0,
        }
    }

    pub fn put(&mut self, lane: Lane, address: SocketAddr, to: For, message: &Message) {
        if self.waits >= MOST {
            self.dropped += 1;
            return;
        }
        let message = wire::bytes(message);
        if message.is_empty() {
            return;
        }
        self.waits += 1;
        self.queues[lane as usize].put((address, to), message);
    }

    /// Whether a lane has nothing waiting.
    pub fn idle(&self, lane: Lane) -> bool {
        self.queues[lane as usize].turns.is_empty()
    }

    /// Whether something waits for an address in a lane.
    pub fn waits_for(&self, lane: Lane, address: SocketAddr) -> bool {
        self.queues[lane as usize]
            .waits
            .keys()
            .any(|(to, _)| *to == address)
    }

    /// Sends what may go by now; the lanes take turns. `news` puts the next news into their lane, if there are any.
    pub fn pump(
        &mut self,
        now: Time,
        gateway: &Option<(std::sync::Arc<str>, plovercove_fencing::Token)>,
        mut news: impl FnMut(&mut Mail) -> bool,
    ) {
        while self.pace.may(now) {
            if self.idle(Lane::Items) && !news(self) && self.waits == 0 {
                return;
            }
            let lanes = self.queues.len();
            let Some(lane) = (0..lanes)
                .map(|n| (self.turn + n) % lanes)
                .find(|n| !self.queues[*n].turns.is_empty())
            else {
                return;
            };
            self.turn = lane + 1;
            let Some((to, body, packed)) = self.queues[lane].take(gateway) else {
                return;
            };
            self.waits -= packed;
            self.pace.spend(body.len());
            self.datagrams += 1;
            self.bytes += body.len() as u64;
            if lane == Lane::Lists as usize {
                self.lists += body.len() as u64;
            }
            self.out.push((to.0, body));
        }
    }

    /// When more may go, if anything waits.
    pub fn next(&self, more: bool) -> Time {
        if self.waits == 0 && !more {
            Time::MAX
        } else {
            self.pace.next()
        }
    }

    pub fn take_out(&mut self) -> Vec<(SocketAddr, Vec<u8>)> {
        std::mem::take(&mut self.out)
    }

    /// Forgets what waits: it was said under a duty that is no longer held.
    pub fn clear(&mut self) {
        self.queues = Default::default();
        self.waits = 0;
    }
}

/// A time that is spread: half of a span to the whole of it.
pub(crate) fn spread(dice: &mut rand_pcg::Pcg64Mcg, span: Micros) -> Micros {
    use rand::RngExt;
    span / 2 + dice.random_range(0..=span / 2)
}
