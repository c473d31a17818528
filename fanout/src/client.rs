//! The client of a subscriber, which is a router or a listener of the operators.

use crate::gateway::is_for_subscriber;
use crate::outbox::{Lane, Outbox, jittered};
use crate::sequence_tracker::{Delivery, SequenceTracker};
use crate::wire::{self, Header, MAX_BODY_BYTES, Message, Recipient, RenewalStatus};
use crate::{Fault, Guard, MAX_TRACKED_LEASES, Rules, Subscriber, Topic};
use plovercove::{Micros, Time};
use plovercove_fencing::{Fence, FenceError, LeaseName, Token};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;

/// Maximum number of events that wait to be taken.
const MAX_PENDING_EVENTS: usize = 1_024;

/// An event that a subscriber is notified of.
#[derive(Clone, Debug, PartialEq)]
pub enum SubscriptionEvent {
    /// The next item of a topic. Numbers rise within a token, and tokens rise. Numbers of positions may have gaps.
    Item {
        /// The topic.
        topic: Topic,
        /// Fencing token of the watch's lease holder.
        token: Token,
        /// Number within the token.
        number: u64,
        /// Age of the item since its publisher sent it first (us).
        age: Micros,
        /// Content of the item.
        body: Arc<[u8]>,
    },
    /// Items up to this number of this token were missed, or may have been. The subscriber has to get the state
    /// elsewhere. This event also comes at the start of a subscription, and when another lease holder starts its
    /// numbers.
    Missed {
        /// The topic.
        topic: Topic,
        /// Fencing token of the watch's lease holder.
        token: Token,
        /// The last number that is not available.
        through: u64,
    },
    /// A message was rejected because its sender's lease has been granted to another router.
    SenderRejected {
        /// Why the message was rejected.
        error: FenceError,
    },
    /// The gateway does not answer, so the known state may be older than the staleness bound from now on.
    GatewaySilent {
        /// When the gateway answered last; `None` if it never did.
        since: Option<Time>,
    },
    /// A later incarnation of this name has subscribed, so this one gets no more items.
    Replaced {
        /// When the later incarnation started.
        boot: u64,
    },
    /// The gateway accepts no more subscriptions.
    SubscriptionsFull,
}

/// Counters of a subscriber since it was created.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ClientCounts {
    /// Datagrams sent.
    pub datagrams: u64,
    /// Bytes sent.
    pub bytes: u64,
    /// Renewals sent.
    pub renewals: u64,
    /// Items delivered by another gateway than the current one.
    pub elsewhere: u64,
    /// Bodies and items that were rejected for an older fencing token.
    pub refused: u64,
    /// Bodies that could not be decoded.
    pub unread: u64,
    /// Events dropped because nobody took them in time.
    pub untaken: u64,
}

/// One incarnation of a subscriber.
#[derive(Debug)]
pub struct Client {
    rules: Rules,
    identity: Subscriber,
    /// Counter that rises with each change of the subscriptions.
    counter: u64,
    trackers: BTreeMap<Topic, SequenceTracker>,
    /// Topics that the subscriber left, latest last, with the last item delivered of each.
    left: VecDeque<(Topic, (Token, u64))>,
    /// The counter under which each topic was last declared.
    declared: BTreeMap<Topic, u64>,
    /// Changed topics that the gateway has not confirmed, with the counter of the change.
    unconfirmed: BTreeMap<Topic, u64>,
    /// Whether all topics have to be declared again.
    declare_all: bool,
    gateway: Option<SocketAddr>,
    /// Whether the gateway has confirmed the subscriptions since it was set.
    confirmed: bool,
    renewal_interval: Micros,
    renew_at: Time,
    /// Number of renewals sent since the last confirmation, change or new gateway.
    attempts: u32,
    /// When the gateway answered last.
    answered_at: Option<Time>,
    /// Since when an answer of the gateway is due.
    waiting_since: Option<Time>,
    gateway_silent: bool,
    /// Time from which on a former gateway may be notified again that the subscriber has moved.
    moved_notice_at: Time,
    fence: Fence,
    events: VecDeque<SubscriptionEvent>,
    /// Topics whose events were dropped because nobody took them in time, with the last number dropped.
    overrun: BTreeSet<(Topic, Token, u64)>,
    outbox: Outbox,
    rng: Pcg64Mcg,
    counts: ClientCounts,
    now: Time,
}

impl Client {
    /// Creates a subscriber without subscriptions.
    pub fn new(rules: Rules, identity: Subscriber, now: Time, seed: u64) -> Self {
        Client {
            identity,
            counter: 0,
            trackers: BTreeMap::new(),
            left: VecDeque::new(),
            declared: BTreeMap::new(),
            unconfirmed: BTreeMap::new(),
            declare_all: false,
            gateway: None,
            confirmed: false,
            renewal_interval: crate::us_from_ms(rules.renew_ms),
            renew_at: Time::MAX,
            attempts: 0,
            answered_at: None,
            waiting_since: None,
            gateway_silent: false,
            moved_notice_at: 0,
            fence: Fence::new(MAX_TRACKED_LEASES),
            events: VecDeque::new(),
            overrun: BTreeSet::new(),
            outbox: Outbox::new(&rules, now),
            rng: Pcg64Mcg::seed_from_u64(seed),
            counts: ClientCounts::default(),
            now,
            rules,
        }
    }

    /// Returns the identity of the subscriber.
    pub fn identity(&self) -> &Subscriber {
        &self.identity
    }

    /// Returns the counters.
    pub fn counts(&self) -> ClientCounts {
        ClientCounts {
            datagrams: self.outbox.datagrams,
            bytes: self.outbox.bytes,
            ..self.counts
        }
    }

    /// Returns whether the gateway has confirmed all subscriptions and unsubscriptions.
    pub fn is_confirmed(&self) -> bool {
        self.confirmed && self.unconfirmed.is_empty() && !self.declare_all
    }

    /// Returns the topics subscribed to.
    pub fn topics(&self) -> impl Iterator<Item = &Topic> {
        self.trackers.keys()
    }

    /// Returns token and number of the last item of a topic that was received or reported as missed.
    pub fn last_received(&self, topic: &Topic) -> Option<(Token, u64)> {
        self.trackers.get(topic)?.last
    }

    fn record_change(&mut self, topic: &Topic) {
        self.counter += 1;
        self.unconfirmed.insert(topic.clone(), self.counter);
        if self.trackers.contains_key(topic) {
            self.declared.insert(topic.clone(), self.counter);
        } else {
            self.declared.remove(topic);
        }
        self.attempts = 0;
        // Delays the renewal, so that several changes go into one, and subscribers that change at the same time do not
        // send at the same time.
        let renew_at = self.now + self.random_delay(crate::us_from_ms(self.rules.answer_ms) / 2);
        self.renew_at = self.renew_at.min(renew_at);
    }

    /// Subscribes to a topic.
    ///
    /// # Errors
    /// The subscriber has the maximum number of topics.
    pub fn subscribe(&mut self, topic: &Topic) -> Result<(), Fault> {
        if self.trackers.contains_key(topic) {
            return Ok(());
        }
        if self.trackers.len() >= self.rules.topics {
            return Err(Fault::Full {
                what: "topics",
                most: self.rules.topics,
            });
        }
        let delivered_before = self.take_left(topic);
        self.trackers.insert(
            topic.clone(),
            SequenceTracker::resume_after(delivered_before),
        );
        self.record_change(topic);
        Ok(())
    }

    /// Unsubscribes from a topic.
    pub fn unsubscribe(&mut self, topic: &Topic) {
        if let Some(tracker) = self.trackers.remove(topic) {
            if let Some(delivered) = tracker.last_delivered() {
                self.remember_left(topic, delivered);
            }
            self.record_change(topic);
        }
    }

    /// Remembers the last item delivered of a topic that the subscriber leaves, for as many topics as it may subscribe
    /// to.
    fn remember_left(&mut self, topic: &Topic, delivered: (Token, u64)) {
        if self.left.len() >= self.rules.topics {
            self.left.pop_front();
        }
        self.left.push_back((topic.clone(), delivered));
    }

    /// Returns the last item that was delivered of a topic before the subscriber left it, and forgets it.
    fn take_left(&mut self, topic: &Topic) -> Option<(Token, u64)> {
        let index = self.left.iter().position(|(left, _)| left == topic)?;
        let (_, delivered) = self.left.remove(index)?;
        Some(delivered)
    }

    /// Unsubscribes from all topics. The gateway knows of it once [`Client::is_confirmed`] returns true.
    pub fn leave(&mut self, now: Time) {
        self.now = self.now.max(now);
        for topic in self.trackers.keys().cloned().collect::<Vec<_>>() {
            self.unsubscribe(&topic);
        }
        self.renew_at = self.now;
    }

    /// Sets the address of the zone's gateway. The first renewal there is delayed by a random time, because all
    /// subscribers of the zone are notified of a new gateway at the same time.
    pub fn set_gateway(&mut self, now: Time, address: SocketAddr) {
        self.now = self.now.max(now);
        if self.gateway == Some(address) {
            return;
        }
        let is_first = self.gateway.is_none();
        self.gateway = Some(address);
        self.confirmed = false;
        self.attempts = 0;
        let max_delay = if is_first {
            crate::us_from_ms(self.rules.answer_ms)
        } else {
            self.renewal_interval / 2
        };
        self.renew_at = now + self.random_delay(max_delay);
        self.waiting_since.get_or_insert(now);
    }

    /// Returns a random delay up to `max_delay`, so that subscribers do not act at the same time.
    fn random_delay(&mut self, max_delay: Micros) -> Micros {
        if self.rules.is_enabled(Guard::Jitter) {
            self.rng.random_range(0..=max_delay)
        } else {
            0
        }
    }

    fn jittered(&mut self, duration: Micros) -> Micros {
        if self.rules.is_enabled(Guard::Jitter) {
            jittered(&mut self.rng, duration)
        } else {
            duration
        }
    }

    fn subscriptions_digest(&self) -> u64 {
        wire::subscriptions_digest(
            self.identity.boot,
            self.declared
                .iter()
                .map(|(topic, counter)| (topic, *counter)),
        )
    }

    /// Takes a received body. `extra_delay` is how much longer it was under way than usual (us).
    ///
    /// # Errors
    /// The body cannot be decoded, or its sender's token is not the newest.
    pub fn receive(
        &mut self,
        now: Time,
        from: SocketAddr,
        body: &[u8],
        extra_delay: Micros,
    ) -> Result<(), Fault> {
        self.now = self.now.max(now);
        let Some((header, messages)) = wire::decode_body(body) else {
            self.counts.unread += 1;
            return Err(Fault::Unread { from });
        };
        if !is_for_subscriber(&header, &self.identity.name) {
            return Ok(());
        }
        let Header {
            gateway: Some((zone, token)),
            ..
        } = header
        else {
            return Ok(());
        };
        let lease = crate::gateway::gateway_lease(&zone)?;
        self.check_fence(&lease, token)?;
        let from_other_gateway = self.gateway != Some(from);
        let mut result = Ok(());
        for message in messages {
            match message {
                // The `boot` is 0 if the gateway has no entry of the subscriber.
                Message::RenewalReply {
                    boot,
                    subscriptions_digest,
                    status,
                    renewal_interval,
                } if !from_other_gateway && (boot == self.identity.boot || boot == 0) => {
                    self.handle_renewal_reply(now, subscriptions_digest, status, renewal_interval);
                }
                Message::Item(item) => {
                    self.counts.elsewhere += u64::from(from_other_gateway);
                    let updated = self.update_tracker(
                        &item.topic.clone(),
                        &item.lease,
                        item.token,
                        from,
                        |rules, tracker| {
                            tracker.receive_item(rules, now, &item, extra_delay);
                        },
                    );
                    result = result.and(updated);
                }
                Message::LatestNumber(topic_number) => {
                    let updated = self.update_tracker(
                        &topic_number.topic,
                        &topic_number.lease,
                        topic_number.token,
                        from,
                        |rules, tracker| {
                            tracker.receive_latest_number(rules, now, &topic_number);
                        },
                    );
                    result = result.and(updated);
                }
                Message::Missed(topic_number) => {
                    let updated = self.update_tracker(
                        &topic_number.topic,
                        &topic_number.lease,
                        topic_number.token,
                        from,
                        |rules, tracker| {
                            tracker.receive_missed(rules, now, &topic_number);
                        },
                    );
                    result = result.and(updated);
                }
                _ => (),
            }
        }
        if from_other_gateway
            && self.confirmed
            && now >= self.moved_notice_at
            && self.rules.is_enabled(Guard::Moved)
        {
            // The subscriber has left the sending gateway, which does not know it yet.
            self.moved_notice_at = now + crate::us_from_ms(self.rules.answer_ms) / 2;
            let message = Message::Moved {
                name: self.identity.name.clone(),
                boot: self.identity.boot,
                counter: self.counter,
            };
            self.outbox
                .enqueue(Lane::Control, from, Recipient::Gateway, &message);
        }
        self.fetch_gaps(now);
        self.send_due(now);
        result
    }

    /// Returns an error and adds an event if the fence has seen a newer token of the lease.
    fn check_fence(&mut self, lease: &LeaseName, token: Token) -> Result<(), Fault> {
        match self.fence.admit(lease, token) {
            Err(error) if self.rules.is_enabled(Guard::Fence) => {
                self.counts.refused += 1;
                self.push_event(SubscriptionEvent::SenderRejected {
                    error: error.clone(),
                });
                Err(error.into())
            }
            _ => Ok(()),
        }
    }

    fn update_tracker(
        &mut self,
        topic: &Topic,
        lease: &LeaseName,
        token: Token,
        from: SocketAddr,
        update: impl FnOnce(&Rules, &mut SequenceTracker),
    ) -> Result<(), Fault> {
        self.check_fence(lease, token)?;
        let Some(tracker) = self.trackers.get_mut(topic) else {
            // The subscriber has left the topic, but the gateway does not know it or has the subscription from an old
            // copy. A new change makes the gateway end it.
            let has_room = self.unconfirmed.len() < 2 * self.rules.topics;
            if has_room && self.gateway == Some(from) && !self.unconfirmed.contains_key(topic) {
                self.record_change(topic);
            }
            return Ok(());
        };
        update(&self.rules, tracker);
        self.push_deliveries(topic);
        Ok(())
    }

    /// Turns the deliveries of a topic's tracker into events.
    fn push_deliveries(&mut self, topic: &Topic) {
        let now = self.now;
        let deliveries = self
            .trackers
            .get_mut(topic)
            .map(SequenceTracker::take_deliveries)
            .unwrap_or_default();
        for delivery in deliveries {
            let topic = topic.clone();
            self.push_event(match delivery {
                Delivery::Item {
                    token,
                    number,
                    made_at,
                    body,
                    ..
                } => SubscriptionEvent::Item {
                    topic,
                    token,
                    number,
                    age: now.saturating_sub(made_at),
                    body,
                },
                Delivery::Missed { token, through, .. } => SubscriptionEvent::Missed {
                    topic,
                    token,
                    through,
                },
            });
        }
    }

    fn push_event(&mut self, event: SubscriptionEvent) {
        // A rejected sender may continue for long, so an equal event that still waits is not repeated.
        if matches!(event, SubscriptionEvent::SenderRejected { .. }) && self.events.contains(&event)
        {
            return;
        }
        // Of positions only the newest counts.
        if let SubscriptionEvent::Item { topic, .. } = &event
            && topic.collapses()
            && self.rules.is_enabled(Guard::Collapse)
        {
            self.events.retain(
                |waiting| !matches!(waiting, SubscriptionEvent::Item { topic: old, .. } if old == topic),
            );
        }
        self.events.push_back(event);
        if self.events.len() > MAX_PENDING_EVENTS && self.rules.is_enabled(Guard::Queue) {
            self.counts.untaken += 1;
            match self.events.pop_front() {
                Some(SubscriptionEvent::Item {
                    topic,
                    token,
                    number,
                    ..
                }) => self.record_overrun(topic, token, number),
                Some(SubscriptionEvent::Missed {
                    topic,
                    token,
                    through,
                }) => self.record_overrun(topic, token, through),
                _ => (),
            }
        }
    }

    fn record_overrun(&mut self, topic: Topic, token: Token, through: u64) {
        self.overrun.retain(|(old, ..)| *old != topic);
        self.overrun.insert((topic, token, through));
    }

    fn handle_renewal_reply(
        &mut self,
        now: Time,
        subscriptions_digest: u64,
        status: RenewalStatus,
        renewal_interval: Micros,
    ) {
        let is_current = subscriptions_digest == self.subscriptions_digest();
        self.answered_at = Some(now);
        self.waiting_since = None;
        self.gateway_silent = false;
        self.renewal_interval = renewal_interval.clamp(
            crate::us_from_ms(self.rules.renew_ms),
            60 * crate::us_from_ms(self.rules.renew_ms),
        );
        match status {
            RenewalStatus::Confirmed if is_current => {
                self.unconfirmed.clear();
                self.declare_all = false;
                self.confirmed = true;
                self.attempts = 0;
                self.renew_at = now + self.jittered(self.renewal_interval);
            }
            // The reply belongs to an earlier renewal. The next one reports the changes since then.
            RenewalStatus::Confirmed => (),
            RenewalStatus::Differs => {
                if self.confirmed || self.attempts > 0 {
                    self.declare_all = true;
                    self.counter += 1;
                    self.declared
                        .values_mut()
                        .for_each(|counter| *counter = self.counter);
                    let max_delay = if self.attempts > 2 {
                        self.renewal_interval / 2
                    } else {
                        crate::us_from_ms(self.rules.answer_ms) / 2
                    };
                    self.renew_at = now + self.random_delay(max_delay);
                }
            }
            RenewalStatus::Replaced(boot) => {
                self.confirmed = false;
                self.renew_at = now + self.jittered(self.renewal_interval);
                self.push_event(SubscriptionEvent::Replaced { boot });
            }
            RenewalStatus::Full => {
                self.renew_at = now + self.jittered(self.renewal_interval);
                self.push_event(SubscriptionEvent::SubscriptionsFull);
            }
        }
    }

    /// Declares what the gateway may not know yet, and renews the subscriptions.
    fn send_renewal(&mut self, now: Time, to: SocketAddr) {
        let (name, boot) = (self.identity.name.clone(), self.identity.boot);
        let mut declarations = Vec::new();
        let declare = |first: Option<&Topic>, last: Option<&Topic>, topics: &[&Topic], counter| {
            Message::Declare {
                name: name.clone(),
                boot,
                counter,
                first: first.cloned(),
                last: last.cloned(),
                topics: topics.iter().map(|t| (*t).clone()).collect(),
            }
        };
        for (topic, counter) in &self.unconfirmed {
            let is_subscribed = self.trackers.contains_key(topic);
            let topics: &[&Topic] = if is_subscribed { &[topic] } else { &[] };
            declarations.push(declare(Some(topic), Some(topic), topics, *counter));
        }
        if self.declare_all {
            // The ranges overlap: each also declares the first topic of the next one, so that no topic between two
            // ranges is left out.
            let (mut chunks, mut bytes) = (vec![Vec::new()], 0);
            for topic in self.trackers.keys() {
                bytes += topic.name().len() + 2;
                if bytes > MAX_BODY_BYTES / 2 {
                    chunks.push(Vec::new());
                    bytes = topic.name().len() + 2;
                }
                chunks.last_mut().into_iter().for_each(|c| c.push(topic));
            }
            for index in 0..chunks.len() {
                let mut topics = chunks[index].clone();
                let first = if index == 0 {
                    None
                } else {
                    topics.first().copied()
                };
                let last = chunks.get(index + 1).and_then(|next| next.first()).copied();
                topics.extend(last);
                declarations.push(declare(first, last, &topics, self.counter));
            }
        }
        for message in &declarations {
            self.outbox
                .enqueue(Lane::Control, to, Recipient::Gateway, message);
        }
        let progress = self.trackers.iter().filter_map(|(topic, tracker)| {
            tracker
                .last
                .map(|(token, number)| wire::progress_digest(topic, token, number))
        });
        let message = Message::Renew {
            name,
            boot,
            subscriptions_digest: self.subscriptions_digest(),
            progress_digest: progress.fold(0, |all, digest| all ^ digest),
        };
        self.outbox
            .enqueue(Lane::Control, to, Recipient::Gateway, &message);
        self.counts.renewals += 1;
        self.waiting_since.get_or_insert(now);
        // Without an answer the delay doubles at each attempt, up to the renewal interval.
        let retry_after = crate::us_from_ms(self.rules.answer_ms) << self.attempts.min(6);
        self.attempts += 1;
        self.renew_at = now + self.jittered(retry_after.min(self.renewal_interval)).max(1);
    }

    fn fetch_gaps(&mut self, now: Time) {
        let Some(to) = self.gateway else { return };
        let retry_after = crate::us_from_ms(self.rules.answer_ms);
        let due: Vec<Topic> = self
            .trackers
            .iter()
            .filter(|(_, tracker)| tracker.next_turn() <= now)
            .map(|(topic, _)| topic.clone())
            .collect();
        for topic in due {
            let retry_after = jittered(&mut self.rng, retry_after);
            let fetch = self
                .trackers
                .get_mut(&topic)
                .and_then(|tracker| tracker.next_fetch(&self.rules, now, retry_after));
            if let Some((token, after)) = fetch {
                let message = Message::Fetch {
                    name: self.identity.name.clone(),
                    topic: topic.clone(),
                    token,
                    after,
                };
                self.outbox
                    .enqueue(Lane::Control, to, Recipient::Gateway, &message);
            }
            self.push_deliveries(&topic);
        }
    }

    /// Returns how long the gateway may be silent: two renewals, and the repetitions of the second.
    fn silence_limit(&self) -> Micros {
        2 * self.renewal_interval + crate::us_from_ms(4 * self.rules.answer_ms)
    }

    /// Does what is due: renews, requests missing items, and reports a silent gateway.
    pub fn turn(&mut self, now: Time) {
        self.now = self.now.max(now);
        if let Some(to) = self.gateway
            && now >= self.renew_at
            && (!self.trackers.is_empty() || !self.is_confirmed())
        {
            self.send_renewal(now, to);
        } else if now >= self.renew_at {
            self.renew_at = Time::MAX;
        }
        if !self.gateway_silent
            && self
                .waiting_since
                .is_some_and(|since| now >= since + self.silence_limit())
        {
            self.gateway_silent = true;
            self.push_event(SubscriptionEvent::GatewaySilent {
                since: self.answered_at,
            });
        }
        self.fetch_gaps(now);
        self.send_due(now);
    }

    fn send_due(&mut self, now: Time) {
        self.outbox.send_due(now, &None, |_| false);
    }

    /// Returns when [`Client::turn`] has to be called next.
    pub fn next_turn(&self) -> Time {
        let renew = if self.gateway.is_some() {
            self.renew_at
        } else {
            Time::MAX
        };
        let gaps = if self.gateway.is_some() {
            self.trackers
                .values()
                .map(SequenceTracker::next_turn)
                .min()
                .unwrap_or(Time::MAX)
        } else {
            Time::MAX
        };
        let silence = match self.waiting_since {
            Some(since) if !self.gateway_silent => since + self.silence_limit(),
            _ => Time::MAX,
        };
        renew
            .min(gaps)
            .min(silence)
            .min(self.outbox.next_send(false))
    }

    /// Returns the bodies to send, with their destinations.
    pub fn take_outbox(&mut self) -> Vec<(SocketAddr, Vec<u8>)> {
        self.outbox.take_bodies()
    }

    /// Returns the next event. If events were dropped because nobody took them in time, they are reported as missed
    /// first.
    pub fn take_event(&mut self) -> Option<SubscriptionEvent> {
        if let Some((topic, token, through)) = self.overrun.pop_first() {
            return Some(SubscriptionEvent::Missed {
                topic,
                token,
                through,
            });
        }
        self.events.pop_front()
    }
}
