//! The gateway of a zone: takes the subscriptions of the zone's subscribers and delivers items to them.

use crate::outbox::{Lane, Outbox, jittered};
use crate::reconciliation::OtherGateways;
use crate::retained::{NextDelivery, RetainedItems};
use crate::sequence_tracker::{Delivery, SequenceTracker};
use crate::table::{Declaration, Name, SubscriptionTable};
use crate::wire::{
    self, Entry, Header, Item, MAX_BODY_BYTES, MAX_ITEM_BYTES, Message, Recipient, RenewalStatus,
    State, TopicNumber,
};
use crate::{
    Fault, Guard, MAX_TRACKED_LEASES, Rules, Subscriber, Topic, rules::EXPIRY_CHECK_INTERVAL_US,
};
use plovercove::{Micros, Time};
use plovercove_fencing::{Fence, FenceError, InvalidLeaseName, LeaseName, Token};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;

/// Counters of a gateway since it was created.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct GatewayCounts {
    /// Datagrams sent.
    pub datagrams: u64,
    /// Bytes sent.
    pub bytes: u64,
    /// Bytes sent to compare lists.
    pub lists: u64,
    /// Messages dropped because too many were waiting.
    pub dropped: u64,
    /// Bodies that could not be decoded.
    pub unread: u64,
    /// Bodies and items that were rejected for an older fencing token.
    pub refused: u64,
    /// Entries taken over from other gateways.
    pub taken: u64,
    /// Entries taken over from a former gateway of this zone, at which subscribers had declared them.
    pub requests: u64,
    /// Subscriptions that expired.
    pub expired: u64,
    /// Items retained for retransmission.
    pub held: u64,
    /// Remembered subscriptions of all zones.
    pub subscriptions: u64,
    /// Subscribers that this gateway serves.
    pub subscribers: u64,
}

/// The gateway of a zone. It acts only while it has the token of the zone's gateway lease.
#[derive(Debug)]
pub struct Gateway {
    pub(crate) rules: Rules,
    pub(crate) zone: Name,
    pub(crate) lease: LeaseName,
    pub(crate) address: SocketAddr,
    pub(crate) token: Option<Token>,
    pub(crate) fence: Fence,
    pub(crate) table: SubscriptionTable,
    pub(crate) others: OtherGateways,
    pub(crate) outbox: Outbox,
    pub(crate) rng: Pcg64Mcg,
    pub(crate) counts: GatewayCounts,
    retained: BTreeMap<Topic, RetainedItems>,
    /// Tracker of each topic, and address of its publisher; `None` if the publisher is in the same router.
    trackers: BTreeMap<Topic, (SequenceTracker, Option<SocketAddr>)>,
    /// Queue of subscribers for which there are items to deliver, served in turns.
    ready: VecDeque<Name>,
    expiry_check_at: Time,
    subscriber_count: usize,
    /// The latest time that the caller passed.
    pub(crate) now: Time,
}

impl Gateway {
    /// Creates a gateway for this zone at this address, which does not hold the lease yet.
    ///
    /// # Errors
    /// The zone's name cannot be part of the name of a lease.
    pub fn new(
        rules: Rules,
        zone: &str,
        address: SocketAddr,
        now: Time,
        seed: u64,
    ) -> Result<Self, InvalidLeaseName> {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        Ok(Gateway {
            lease: gateway_lease(zone)?,
            zone: zone.into(),
            address,
            token: None,
            fence: Fence::new(MAX_TRACKED_LEASES),
            table: SubscriptionTable::new(rules.clone(), zone),
            others: OtherGateways::default(),
            outbox: Outbox::new(&rules, now),
            counts: GatewayCounts::default(),
            retained: BTreeMap::new(),
            trackers: BTreeMap::new(),
            ready: VecDeque::new(),
            expiry_check_at: now + jittered(&mut rng, EXPIRY_CHECK_INTERVAL_US),
            subscriber_count: 0,
            now,
            rng,
            rules,
        })
    }

    /// Returns the address of the gateway.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the subscription list: the gateway's own zone, and the copies of the other zones' lists.
    pub fn table(&self) -> &SubscriptionTable {
        &self.table
    }

    /// Returns the counters.
    pub fn counts(&self) -> GatewayCounts {
        GatewayCounts {
            datagrams: self.outbox.datagrams,
            bytes: self.outbox.bytes,
            lists: self.outbox.list_bytes,
            dropped: self.outbox.dropped,
            held: self.retained.values().map(|items| items.len() as u64).sum(),
            subscriptions: self.table.len() as u64,
            subscribers: self.subscriber_count as u64,
            ..self.counts
        }
    }

    /// Returns whether this gateway holds its zone's lease, as far as it knows.
    pub fn holds_lease(&self) -> bool {
        self.token.is_some()
    }

    /// Returns an error if the fence has seen a newer token of the lease. Only tests switch the fence off.
    pub(crate) fn check_fence(
        &mut self,
        lease: &LeaseName,
        token: Token,
    ) -> Result<(), FenceError> {
        let result = self.fence.admit(lease, token).map(|_| ());
        if self.rules.is_enabled(Guard::Fence) {
            result
        } else {
            Ok(())
        }
    }

    /// Sets the token under which this router holds the gateway lease, or `None`. The caller calls it at each change; a
    /// repeated value has no effect.
    pub fn set_token(&mut self, now: Time, token: Option<Token>) {
        self.now = self.now.max(now);
        match token {
            Some(token) if self.token != Some(token) => {
                if self.check_fence(&self.lease.clone(), token).is_err() {
                    return;
                }
                // The subscribers of the previous lease holder have a complete lease to renew here.
                self.table.restart_leases(now);
                self.token = Some(token);
                self.others
                    .schedule_comparisons(now, &mut self.rng, &self.rules);
            }
            None if self.token.is_some() => self.lose_lease(now),
            _ => (),
        }
    }

    /// Stops delivery, because another router holds the lease. What subscribers declared here is kept, to be proposed
    /// to the new lease holder.
    pub(crate) fn lose_lease(&mut self, now: Time) {
        let entries = self.table.locally_renewed_entries();
        self.prepare_proposals(now, entries);
        self.token = None;
        self.outbox.clear();
        self.ready.clear();
        for record in self.table.subscribers.values_mut() {
            record.queued = false;
        }
    }

    /// Takes a received body. `extra_delay` is how much longer it was under way than usual (us).
    ///
    /// # Errors
    /// The body cannot be decoded, or its sender's token is not the newest. In the latter case only the proposed
    /// entries in it were taken.
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
        if header.to != Recipient::Gateway {
            return Ok(());
        }
        let mut result = Ok(());
        if let Some((zone, token)) = &header.gateway {
            let lease = gateway_lease(zone)?;
            if let Err(error) = self.check_fence(&lease, *token) {
                self.counts.refused += 1;
                self.reject(from, &lease, Recipient::Gateway);
                self.apply_proposals(now, messages);
                result = Err(error.into());
            } else {
                self.handle_gateway_messages(now, from, zone, messages, extra_delay);
            }
        } else {
            for message in messages {
                if let Err(fault) = self.handle_message(now, from, message, extra_delay) {
                    result = Err(fault);
                }
            }
        }
        self.send_due(now);
        result
    }

    pub(crate) fn reject(&mut self, to: SocketAddr, lease: &LeaseName, recipient: Recipient) {
        let message = Message::Rejected {
            lease: lease.clone(),
            token: self.fence.newest(lease),
        };
        self.outbox.enqueue(Lane::Control, to, recipient, &message);
    }

    /// Handles a message from a subscriber or a publisher.
    fn handle_message(
        &mut self,
        now: Time,
        from: SocketAddr,
        message: Message,
        extra_delay: Micros,
    ) -> Result<(), Fault> {
        match message {
            Message::Item(item) => self.receive_item(now, Some(from), &item, extra_delay)?,
            Message::LatestNumber(topic_number) | Message::Missed(topic_number)
                if self
                    .check_fence(&topic_number.lease, topic_number.token)
                    .is_err() =>
            {
                self.counts.refused += 1;
                self.reject(from, &topic_number.lease, Recipient::Publisher);
            }
            Message::LatestNumber(topic_number) => {
                let rules = self.rules.clone();
                if let Some(tracker) = self.tracker(&topic_number.topic, Some(from)) {
                    tracker.receive_latest_number(&rules, now, &topic_number);
                }
                self.retain_deliveries(&topic_number.topic);
            }
            Message::Missed(topic_number) => {
                let rules = self.rules.clone();
                if let Some(tracker) = self.tracker(&topic_number.topic, Some(from)) {
                    tracker.receive_missed(&rules, now, &topic_number);
                }
                self.retain_deliveries(&topic_number.topic);
            }
            // All other messages need the lease. Without it the gateway does not answer, so that the subscriber looks
            // for the lease holder.
            _ if self.token.is_none() => (),
            Message::Renew {
                name,
                boot,
                subscriptions_digest,
                progress_digest,
            } => self.handle_renewal(now, from, name, boot, subscriptions_digest, progress_digest),
            Message::Declare {
                name,
                boot,
                counter,
                first,
                last,
                topics,
            } => {
                let subscriber = Subscriber {
                    name: name.clone(),
                    boot,
                    address: from,
                    zone: self.zone.clone(),
                };
                let declaration = Declaration {
                    subscriber: &subscriber,
                    counter,
                    first: first.as_ref(),
                    last: last.as_ref(),
                    topics: &topics,
                };
                if !self.table.apply(now, &declaration) {
                    self.reply_to_renewal(now, from, name.clone(), boot, 0, RenewalStatus::Full);
                    return Err(Fault::Full {
                        what: "subscriptions",
                        most: self.rules.subscriptions,
                    });
                }
                self.queue_subscriber(&name);
            }
            Message::Fetch {
                name,
                topic,
                token,
                after,
            } => {
                if let Some(record) = self.table.subscribers.get_mut(&name)
                    && let Some(stored) = record.topics.get_mut(&topic)
                {
                    stored.delivered = Some((token, after));
                    self.queue_subscriber(&name);
                }
            }
            Message::Moved {
                name,
                boot,
                counter,
            } => {
                if let Some(record) = self.table.subscribers.get_mut(&name) {
                    record.moved = record.moved.max((boot, counter));
                }
            }
            _ => (),
        }
        Ok(())
    }

    fn handle_renewal(
        &mut self,
        now: Time,
        from: SocketAddr,
        name: Name,
        boot: u64,
        subscriptions_digest: u64,
        progress_digest: u64,
    ) {
        let (known_digest, latest_boot) = self.table.subscriptions_digest(&name);
        let is_same_address = self.table.subscribers.get(&name).is_none_or(|record| {
            record
                .topics
                .values()
                .filter(|stored| self.table.is_local(&stored.entry))
                .all(|stored| stored.entry.subscriber.address == from)
        });
        let status = if latest_boot > boot {
            RenewalStatus::Replaced(latest_boot)
        } else if known_digest == subscriptions_digest && is_same_address {
            RenewalStatus::Confirmed
        } else {
            RenewalStatus::Differs
        };
        if status == RenewalStatus::Confirmed {
            self.table.record_renewal(now, &name);
            // The subscriber may have moved to another gateway and back, and may have missed items meanwhile.
            let latest_numbers = self.latest_numbers(&name);
            if latest_numbers.iter().fold(0, |digest, m| {
                digest ^ wire::progress_digest(&m.topic, m.token, m.number)
            }) != progress_digest
            {
                for topic_number in latest_numbers {
                    self.outbox.enqueue(
                        Lane::Control,
                        from,
                        Recipient::Subscriber(name.clone()),
                        &Message::LatestNumber(topic_number),
                    );
                }
            }
        }
        self.reply_to_renewal(now, from, name, boot, subscriptions_digest, status);
    }

    fn reply_to_renewal(
        &mut self,
        _now: Time,
        to: SocketAddr,
        name: Name,
        boot: u64,
        subscriptions_digest: u64,
        status: RenewalStatus,
    ) {
        let renewal_interval = self.rules.renewal_interval(self.subscriber_count);
        let message = Message::RenewalReply {
            boot,
            subscriptions_digest,
            status,
            renewal_interval,
        };
        self.outbox
            .enqueue(Lane::Control, to, Recipient::Subscriber(name), &message);
    }

    /// Requests that a subscriber declares all its subscriptions again.
    pub(crate) fn request_declaration(&mut self, now: Time, to: SocketAddr, name: Name) {
        let boot = self.table.subscriptions_digest(&name).1;
        self.reply_to_renewal(now, to, name, boot, 0, RenewalStatus::Differs);
    }

    /// Returns the newest number of each topic of a subscriber.
    fn latest_numbers(&self, name: &str) -> Vec<TopicNumber> {
        let Some(record) = self.table.subscribers.get(name) else {
            return Vec::new();
        };
        let own = record
            .topics
            .iter()
            .filter(|(_, stored)| self.table.is_local(&stored.entry));
        own.filter_map(|(topic, _)| {
            self.retained
                .get(topic)
                .map(|items| items.topic_number(topic, items.latest))
        })
        .collect()
    }

    /// Takes an item of a topic from the lease holder of its watch at the same router.
    ///
    /// # Errors
    /// The item is too large, or its publisher's token is not the newest.
    pub fn publish(
        &mut self,
        now: Time,
        topic: &Topic,
        lease: &LeaseName,
        token: Token,
        number: u64,
        item: &[u8],
    ) -> Result<(), Fault> {
        self.now = self.now.max(now);
        if item.len() > MAX_ITEM_BYTES {
            return Err(Fault::Large {
                topic: topic.name().into(),
                bytes: item.len(),
                most: MAX_ITEM_BYTES,
            });
        }
        let body: Arc<[u8]> = item.into();
        let item = Item {
            topic: topic.clone(),
            lease: lease.clone(),
            token,
            number,
            age: 0,
            body,
        };
        self.receive_item(now, None, &item, 0)?;
        self.send_due(now);
        Ok(())
    }

    fn receive_item(
        &mut self,
        now: Time,
        from: Option<SocketAddr>,
        item: &Item,
        extra_delay: Micros,
    ) -> Result<(), Fault> {
        if let Err(error) = self.check_fence(&item.lease, item.token) {
            self.counts.refused += 1;
            if let Some(from) = from {
                self.reject(from, &item.lease, Recipient::Publisher);
            }
            return Err(error.into());
        }
        let rules = self.rules.clone();
        let tracker = self.tracker(&item.topic, from);
        let tracker = tracker.ok_or(Fault::Full {
            what: "topics",
            most: MAX_TRACKED_LEASES,
        })?;
        tracker.receive_item(&rules, now, item, extra_delay);
        self.retain_deliveries(&item.topic);
        Ok(())
    }

    /// Returns the tracker of a topic, and notes where its items come from. Returns `None` if there are too many topics.
    fn tracker(&mut self, topic: &Topic, from: Option<SocketAddr>) -> Option<&mut SequenceTracker> {
        if self.trackers.len() >= MAX_TRACKED_LEASES && !self.trackers.contains_key(topic) {
            return None;
        }
        let (tracker, publisher) = self.trackers.entry(topic.clone()).or_default();
        *publisher = from;
        Some(tracker)
    }

    /// Retains what the tracker delivered in order, and queues the subscribers of the topic.
    fn retain_deliveries(&mut self, topic: &Topic) {
        let Some((tracker, _)) = self.trackers.get_mut(topic) else {
            return;
        };
        let deliveries = tracker.take_deliveries();
        if deliveries.is_empty() {
            return;
        }
        let names: Vec<Name> = self
            .table
            .listeners
            .get(topic)
            .into_iter()
            .flatten()
            .cloned()
            .collect();
        // A subscriber that subscribed before this item and was not sent any yet starts with it.
        if let Some(Delivery::Item { token, number, .. }) = deliveries
            .iter()
            .find(|delivery| matches!(delivery, Delivery::Item { .. }))
        {
            for name in &names {
                if let Some(stored) = self
                    .table
                    .subscribers
                    .get_mut(name)
                    .and_then(|record| record.topics.get_mut(topic))
                {
                    stored.delivered.get_or_insert((*token, number - 1));
                }
            }
        }
        for delivery in deliveries {
            let (lease, token) = match &delivery {
                Delivery::Item { lease, token, .. } | Delivery::Missed { lease, token, .. } => {
                    (lease, *token)
                }
            };
            let retained = self
                .retained
                .entry(topic.clone())
                .or_insert_with(|| RetainedItems::new(lease.clone(), token));
            if retained.token != token {
                *retained = RetainedItems::new(lease.clone(), token);
            }
            match delivery {
                Delivery::Item {
                    number,
                    made_at,
                    body,
                    ..
                } => retained.push(&self.rules, topic, number, made_at, body),
                // Of positions only the newest counts, so none is lost for good.
                Delivery::Missed { through, .. } if !topic.collapses() => {
                    retained.discard_through(through)
                }
                Delivery::Missed { .. } => (),
            }
        }
        for name in names {
            self.queue_subscriber(&name);
        }
    }

    fn queue_subscriber(&mut self, name: &Name) {
        if let Some(record) = self.table.subscribers.get_mut(name)
            && !record.queued
            && self.token.is_some()
        {
            record.queued = true;
            self.ready.push_back(name.clone());
        }
    }

    /// Adds the items of the next queued subscriber to the outbox, up to the length of one body. Returns false if no
    /// subscriber is queued.
    fn enqueue_items(
        rules: &Rules,
        now: Time,
        table: &mut SubscriptionTable,
        retained: &BTreeMap<Topic, RetainedItems>,
        ready: &mut VecDeque<Name>,
        outbox: &mut Outbox,
    ) -> bool {
        while let Some(name) = ready.pop_front() {
            let zone = table.zone().clone();
            let Some(record) = table.subscribers.get_mut(&name) else {
                continue;
            };
            record.queued = false;
            let (mut bytes, moved) = (0, record.moved);
            for (topic, stored) in &mut record.topics {
                let Entry {
                    boot,
                    counter,
                    state,
                    subscriber,
                    ..
                } = &stored.entry;
                if *state != State::Live || subscriber.zone != zone || (*boot, *counter) <= moved {
                    continue;
                }
                let Some(retained) = retained.get(topic) else {
                    continue;
                };
                while bytes < MAX_BODY_BYTES
                    && let Some((next, delivered)) =
                        retained.next_after(rules, topic, now, stored.delivered)
                {
                    let message = match next {
                        NextDelivery::Item(item) => Message::Item(item),
                        NextDelivery::Missed(topic_number) => Message::Missed(topic_number),
                    };
                    bytes += wire::encode_message(&message).len();
                    stored.delivered = Some((retained.token, delivered));
                    outbox.enqueue(
                        Lane::Items,
                        subscriber.address,
                        Recipient::Subscriber(name.clone()),
                        &message,
                    );
                }
            }
            if bytes >= MAX_BODY_BYTES {
                // More items may follow; the other subscribers come first.
                record.queued = true;
                ready.push_back(name);
            }
            if bytes > 0 {
                return true;
            }
        }
        false
    }

    /// Sends what the budget allows.
    pub(crate) fn send_due(&mut self, now: Time) {
        self.broadcast_changes();
        let header = self
            .token
            .map(|token| (self.zone.clone(), token))
            .or(self.others.former_lease.clone());
        let (rules, table, retained, ready) = (
            &self.rules,
            &mut self.table,
            &self.retained,
            &mut self.ready,
        );
        self.outbox.send_due(now, &header, |outbox| {
            Self::enqueue_items(rules, now, table, retained, ready, outbox)
        });
    }

    /// Does what is due: expires subscriptions, compares lists, requests missing items, and sends.
    pub fn turn(&mut self, now: Time) {
        self.now = self.now.max(now);
        if now >= self.expiry_check_at {
            let before = self.table.changed.len();
            self.subscriber_count = self.table.own_subscriber_count();
            let lease = self.rules.subscriber_lease(self.subscriber_count);
            self.table
                .expire_and_forget(now, self.token.is_some(), lease);
            self.counts.expired += (self.table.changed.len() - before) as u64;
            self.expiry_check_at = now + jittered(&mut self.rng, EXPIRY_CHECK_INTERVAL_US);
        }
        if self.token.is_some() {
            self.start_due_comparisons(now);
        }
        let (rules, retry_after) = (self.rules.clone(), crate::us_from_ms(self.rules.answer_ms));
        let mut fetches = Vec::new();
        let mut due = Vec::new();
        for (topic, (tracker, publisher)) in &mut self.trackers {
            if tracker.next_turn() <= now {
                let fetch = tracker.next_fetch(&rules, now, jittered(&mut self.rng, retry_after));
                if let (Some((token, after)), Some(to)) = (fetch, *publisher) {
                    fetches.push((
                        to,
                        Message::Fetch {
                            name: self.zone.clone(),
                            topic: topic.clone(),
                            token,
                            after,
                        },
                    ));
                }
                due.push(topic.clone());
            }
        }
        for (to, message) in fetches {
            self.outbox
                .enqueue(Lane::Control, to, Recipient::Publisher, &message);
        }
        for topic in due {
            self.retain_deliveries(&topic);
        }
        self.send_due(now);
    }

    /// Returns when [`Gateway::turn`] has to be called next.
    pub fn next_turn(&self) -> Time {
        let gaps = self
            .trackers
            .values()
            .map(|(tracker, _)| tracker.next_turn())
            .min()
            .unwrap_or(Time::MAX);
        let lists = if self.token.is_some() {
            self.others.next_turn()
        } else {
            Time::MAX
        };
        self.expiry_check_at
            .min(gaps)
            .min(lists)
            .min(self.outbox.next_send(!self.ready.is_empty()))
    }

    /// Returns the bodies to send, with their destinations.
    pub fn take_outbox(&mut self) -> Vec<(SocketAddr, Vec<u8>)> {
        self.outbox.take_bodies()
    }
}

/// Returns the name of the lease of a zone's gateway.
pub(crate) fn gateway_lease(zone: &str) -> Result<LeaseName, InvalidLeaseName> {
    LeaseName::new(&format!("gateway/{zone}"))
}

/// Returns whether a body is addressed to this subscriber.
pub(crate) fn is_for_subscriber(header: &Header, name: &str) -> bool {
    matches!(&header.to, Recipient::Subscriber(to) if **to == *name)
}
