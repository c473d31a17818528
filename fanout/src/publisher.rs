//! The publisher at the lease holder of a watch: numbers the items of each topic within its token and sends each item
//! once to each gateway.

use crate::outbox::{Lane, Outbox, jittered};
use crate::retained::{NextDelivery, RetainedItems};
use crate::wire::{self, MAX_BODY_BYTES, MAX_ITEM_BYTES, Message, Recipient};
use crate::{Fault, Guard, MAX_TRACKED_LEASES, Rules, Topic};
use plovercove::{Micros, Time};
use plovercove_fencing::{FenceError, LeaseName, Token};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

/// State of the delivery to one gateway.
#[derive(Debug, Default)]
struct GatewayState {
    /// Token and number of the last item that was sent of each topic.
    sent: BTreeMap<Topic, (Token, u64)>,
    /// Whether the gateway waits in the queue for delivery.
    queued: bool,
    /// When the newest numbers are announced to the gateway next.
    announce_at: Time,
}

/// Sends the items of the watches whose leases this router holds.
#[derive(Debug)]
pub struct Publisher {
    rules: Rules,
    retained: BTreeMap<Topic, RetainedItems>,
    gateways: BTreeMap<SocketAddr, GatewayState>,
    /// Queue of gateways for which there may be items to send, served in turns.
    ready: VecDeque<SocketAddr>,
    outbox: Outbox,
    rng: Pcg64Mcg,
    rejections: Vec<FenceError>,
}

impl Publisher {
    /// Creates a publisher without topics.
    pub fn new(rules: Rules, now: Time, seed: u64) -> Self {
        Publisher {
            retained: BTreeMap::new(),
            gateways: BTreeMap::new(),
            ready: VecDeque::new(),
            outbox: Outbox::new(&rules, now),
            rng: Pcg64Mcg::seed_from_u64(seed),
            rejections: Vec::new(),
            rules,
        }
    }

    /// Sets the gateways of all zones as the leases have them now.
    pub fn set_gateways(&mut self, now: Time, addresses: &[SocketAddr]) {
        self.gateways
            .retain(|address, _| addresses.contains(address));
        for address in addresses {
            let announce_at =
                now + jittered(&mut self.rng, crate::us_from_ms(self.rules.answer_ms));
            self.gateways.entry(*address).or_insert(GatewayState {
                announce_at,
                ..GatewayState::default()
            });
        }
        self.send_due(now);
    }

    /// Numbers an item, sends it to all gateways, and returns its number. The numbers of each token start at 1.
    ///
    /// # Errors
    /// The item is too large, there are too many topics, or the lease has been granted to another router since.
    pub fn publish(
        &mut self,
        now: Time,
        topic: &Topic,
        lease: &LeaseName,
        token: Token,
        item: &[u8],
    ) -> Result<u64, Fault> {
        if item.len() > MAX_ITEM_BYTES {
            return Err(Fault::Large {
                topic: topic.name().into(),
                bytes: item.len(),
                most: MAX_ITEM_BYTES,
            });
        }
        if self.retained.len() >= MAX_TRACKED_LEASES && !self.retained.contains_key(topic) {
            return Err(Fault::Full {
                what: "topics",
                most: MAX_TRACKED_LEASES,
            });
        }
        let retained = self
            .retained
            .entry(topic.clone())
            .or_insert_with(|| RetainedItems::new(lease.clone(), token));
        if retained.token > token && self.rules.is_enabled(Guard::Fence) {
            return Err(FenceError::Older {
                lease: lease.clone(),
                token,
                newest: retained.token,
            }
            .into());
        }
        if retained.token != token {
            *retained = RetainedItems::new(lease.clone(), token);
        }
        let number = retained.latest + 1;
        retained.push(&self.rules, topic, number, now, item.into());
        for (address, gateway) in &mut self.gateways {
            // The item is the first of its token, so every gateway starts with it and has missed nothing of this token.
            if number == 1 {
                gateway.sent.insert(topic.clone(), (token, 0));
            }
            if !gateway.queued {
                gateway.queued = true;
                self.ready.push_back(*address);
            }
        }
        self.send_due(now);
        Ok(number)
    }

    /// Drops the topics of a lease that this router no longer holds.
    pub fn drop_lease(&mut self, lease: &LeaseName) {
        self.retained.retain(|_, retained| retained.lease != *lease);
    }

    /// Returns a rejection by a gateway that knows a newer token of a lease. The topics of that lease have been
    /// dropped.
    pub fn take_rejection(&mut self) -> Option<FenceError> {
        self.rejections.pop()
    }

    /// Takes a received body.
    ///
    /// # Errors
    /// The body cannot be decoded.
    pub fn receive(
        &mut self,
        now: Time,
        from: SocketAddr,
        body: &[u8],
        _extra_delay: Micros,
    ) -> Result<(), Fault> {
        let (header, messages) = wire::decode_body(body).ok_or(Fault::Unread { from })?;
        if header.to != Recipient::Publisher {
            return Ok(());
        }
        for message in messages {
            match message {
                Message::Fetch {
                    topic,
                    token,
                    after,
                    ..
                } => {
                    if let Some(gateway) = self.gateways.get_mut(&from)
                        && self.retained.contains_key(&topic)
                    {
                        gateway.sent.insert(topic, (token, after));
                        if !gateway.queued {
                            gateway.queued = true;
                            self.ready.push_back(from);
                        }
                    }
                }
                Message::Rejected { lease, token } => {
                    let is_older = |retained: &RetainedItems| {
                        retained.lease == lease && retained.token < token
                    };
                    if let Some(used_token) = self
                        .retained
                        .values()
                        .find(|retained| is_older(retained))
                        .map(|retained| retained.token)
                        && self.rules.is_enabled(Guard::Fence)
                    {
                        self.rejections.push(FenceError::Older {
                            lease: lease.clone(),
                            token: used_token,
                            newest: token,
                        });
                        self.retained.retain(|_, retained| !is_older(retained));
                    }
                }
                _ => (),
            }
        }
        self.send_due(now);
        Ok(())
    }

    fn send_due(&mut self, now: Time) {
        let (rules, retained, gateways, ready) = (
            &self.rules,
            &self.retained,
            &mut self.gateways,
            &mut self.ready,
        );
        self.outbox.send_due(now, &None, |outbox| {
            while let Some(address) = ready.pop_front() {
                let Some(gateway) = gateways.get_mut(&address) else {
                    continue;
                };
                gateway.queued = false;
                let mut bytes = 0;
                for (topic, retained) in retained {
                    while bytes < MAX_BODY_BYTES
                        && let Some((next, number)) =
                            retained.next_after(rules, topic, now, gateway.sent.get(topic).copied())
                    {
                        let message = match next {
                            NextDelivery::Item(item) => Message::Item(item),
                            NextDelivery::Missed(topic_number) => Message::Missed(topic_number),
                        };
                        bytes += wire::encode_message(&message).len();
                        gateway.sent.insert(topic.clone(), (retained.token, number));
                        outbox.enqueue(Lane::Items, address, Recipient::Gateway, &message);
                    }
                }
                if bytes >= MAX_BODY_BYTES {
                    gateway.queued = true;
                    ready.push_back(address);
                }
                if bytes > 0 {
                    return true;
                }
            }
            false
        });
    }

    /// Announces the newest number of each topic when it is due, so that the loss of the last item is detected too.
    pub fn turn(&mut self, now: Time) {
        for (address, gateway) in &mut self.gateways {
            if gateway.announce_at <= now {
                gateway.announce_at =
                    now + jittered(&mut self.rng, crate::us_from_ms(self.rules.heads_ms));
                for (topic, retained) in &self.retained {
                    self.outbox.enqueue(
                        Lane::Control,
                        *address,
                        Recipient::Gateway,
                        &Message::LatestNumber(retained.topic_number(topic, retained.latest)),
                    );
                }
                gateway
                    .sent
                    .retain(|topic, _| self.retained.contains_key(topic));
            }
        }
        self.send_due(now);
    }

    /// Returns when [`Publisher::turn`] has to be called next.
    pub fn next_turn(&self) -> Time {
        let announcement = self
            .gateways
            .values()
            .map(|gateway| gateway.announce_at)
            .min()
            .unwrap_or(Time::MAX);
        announcement.min(self.outbox.next_send(!self.ready.is_empty()))
    }

    /// Returns the bodies to send, with their destinations.
    pub fn take_outbox(&mut self) -> Vec<(SocketAddr, Vec<u8>)> {
        self.outbox.take_bodies()
    }
}
