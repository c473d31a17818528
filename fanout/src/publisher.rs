//! The owner of a watch: it numbers the news of each topic within its token, and tells each gateway once.

use crate::outbox::{Lane, Mail, spread};
use crate::retained::{Held, Next};
use crate::wire::{self, For, MAX_BODY_BYTES, MAX_ITEM_BYTES, Message};
use crate::{DUTIES, Fault, Guard, Rules, Topic};
use plovercove::{Micros, Time};
use plovercove_fencing::{FenceError, LeaseName, Token};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

/// A gateway that is told.
#[derive(Debug, Default)]
struct Reader {
    places: BTreeMap<Topic, (Token, u64)>,
    queued: bool,
    heads_at: Time,
}

/// Tells the news of the watches that this router owns.
#[derive(Debug)]
pub struct Publisher {
    rules: Rules,
    held: BTreeMap<Topic, Held>,
    readers: BTreeMap<SocketAddr, Reader>,
    line: VecDeque<SocketAddr>,
    mail: Mail,
    dice: Pcg64Mcg,
    refused: Vec<FenceError>,
}

impl Publisher {
    /// One that has told nothing.
    pub fn new(rules: Rules, now: Time, seed: u64) -> Self {
        Publisher {
            held: BTreeMap::new(),
            readers: BTreeMap::new(),
            line: VecDeque::new(),
            mail: Mail::new(&rules, now),
            dice: Pcg64Mcg::seed_from_u64(seed),
            refused: Vec::new(),
            rules,
        }
    }

    /// The gateways of all zones as the duties have them now.
    pub fn set_gateways(&mut self, now: Time, list: &[SocketAddr]) {
        self.readers.retain(|address, _| list.contains(address));
        for address in list {
            let heads_at = now + spread(&mut self.dice, crate::ms(self.rules.answer_ms));
            self.readers.entry(*address).or_insert(Reader {
                heads_at,
                ..Reader::default()
            });
        }
        self.pump(now);
    }

    /// Numbers an item and tells it to all gateways; the number is given back. Numbers begin at 1 with each token.
    ///
    /// # Errors
    /// It is too large, or the duty was granted to another since.
    pub fn publish(
        &mut self,
        now: Time,
        topic: &Topic,
        duty: &LeaseName,
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
        if self.held.len() >= DUTIES && !self.held.contains_key(topic) {
            return Err(Fault::Full {
                what: "topics",
                most: DUTIES,
            });
        }
        let held = self
            .held
            .entry(topic.clone())
            .or_insert_with(|| Held::new(duty.clone(), token));
        if held.token > token && self.rules.is_enabled(Guard::Fence) {
            return Err(FenceError::Older {
                lease: duty.clone(),
                token,
                newest: held.token,
            }
            .into());
        }
        if held.token != token {
            *held = Held::new(duty.clone(), token);
        }
        let number = held.head + 1;
        held.push(&self.rules, topic, number, now, item.into());
        for (address, reader) in &mut self.readers {
            // Who was never told anything begins with this item where it is the first.
            if number == 1 {
                reader.places.insert(topic.clone(), (token, 0));
            }
            if !reader.queued {
                reader.queued = true;
                self.line.push_back(*address);
            }
        }
        self.pump(now);
        Ok(number)
    }

    /// The duty ended here: its topics are another's.
    pub fn drop_lease(&mut self, duty: &LeaseName) {
        self.held.retain(|_, held| held.duty != *duty);
    }

    /// A newer token that a gateway knows of a duty that was told here; the topics of it are dropped.
    pub fn take_rejection(&mut self) -> Option<FenceError> {
        self.refused.pop()
    }

    /// Takes a body that came.
    ///
    /// # Errors
    /// It cannot be read.
    pub fn receive(
        &mut self,
        now: Time,
        from: SocketAddr,
        body: &[u8],
        _late: Micros,
    ) -> Result<(), Fault> {
        let (head, messages) = wire::read(body).ok_or(Fault::Unread { from })?;
        if head.to != For::Publisher {
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
                    if let Some(reader) = self.readers.get_mut(&from)
                        && self.held.contains_key(&topic)
                    {
                        reader.places.insert(topic, (token, after));
                        if !reader.queued {
                            reader.queued = true;
                            self.line.push_back(from);
                        }
                    }
                }
                Message::Refused { duty, token } => {
                    let old = |h: &Held| h.duty == duty && h.token < token;
                    if let Some(told) = self.held.values().find(|h| old(h)).map(|h| h.token)
                        && self.rules.is_enabled(Guard::Fence)
                    {
                        self.refused.push(FenceError::Older {
                            lease: duty.clone(),
                            token: told,
                            newest: token,
                        });
                        self.held.retain(|_, held| !old(held));
                    }
                }
                _ => (),
            }
        }
        self.pump(now);
        Ok(())
    }

    fn pump(&mut self, now: Time) {
        let (rules, held, readers, line) =
            (&self.rules, &self.held, &mut self.readers, &mut self.line);
        self.mail.pump(now, &None, |mail| {
            while let Some(address) = line.pop_front() {
                let Some(reader) = readers.get_mut(&address) else {
                    continue;
                };
                reader.queued = false;
                let mut bytes = 0;
                for (topic, held) in held {
                    while bytes < MAX_BODY_BYTES
                        && let Some((next, place)) =
                            held.after(rules, topic, now, reader.places.get(topic).copied())
                    {
                        let message = match next {
                            Next::Told(told) => Message::Item(told),
                            Next::Missed(mark) => Message::Missed(mark),
                        };
                        bytes += wire::bytes(&message).len();
                        reader.places.insert(topic.clone(), (held.token, place));
                        mail.put(Lane::Items, address, For::Gateway, &message);
                    }
                }
                if bytes >= MAX_BODY_BYTES {
                    reader.queued = true;
                    line.push_back(address);
                }
                if bytes > 0 {
                    return true;
                }
            }
            false
        });
    }

    /// Tells how far the numbers are, where it is due, so that the loss of the last is noticed too.
    pub fn turn(&mut self, now: Time) {
        for (address, reader) in &mut self.readers {
            if reader.heads_at <= now {
                reader.heads_at = now + spread(&mut self.dice, crate::ms(self.rules.heads_ms));
                for (topic, held) in &self.held {
                    self.mail.put(
                        Lane::Control,
                        *address,
                        For::Gateway,
                        &Message::Heads(held.mark(topic, held.head)),
                    );
                }
                reader
                    .places
                    .retain(|topic, _| self.held.contains_key(topic));
            }
        }
        self.pump(now);
    }

    /// When it has to be driven next.
    pub fn next_turn(&self) -> Time {
        let heads = self
            .readers
            .values()
            .map(|r| r.heads_at)
            .min()
            .unwrap_or(Time::MAX);
        heads.min(self.mail.next(!self.line.is_empty()))
    }

    /// What is to be sent, and to whom.
    pub fn take_outbox(&mut self) -> Vec<(SocketAddr, Vec<u8>)> {
        self.mail.take_out()
    }
}
