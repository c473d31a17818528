//! A subscriber: a router, or a listener of the operators.

use crate::gateway::for_me;
use crate::outbox::{Lane, Mail, spread};
use crate::sequence_tracker::{Comes, Track};
use crate::wire::{self, For, Head, MAX_BODY_BYTES, Message, Standing};
use crate::{DUTIES, Fault, Guard, Rules, Subscriber, Topic};
use plovercove::{Micros, Time};
use plovercove_fencing::{Fence, FenceError, LeaseName, Token};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;

/// News that nobody took, at the most.
const UNTAKEN: usize = 1_024;

/// What a subscriber learns.
#[derive(Clone, Debug, PartialEq)]
pub enum SubscriptionEvent {
    /// The next of a topic. Numbers rise within a token, and tokens rise; positions may leave numbers out.
    Item {
        /// Its topic.
        topic: Topic,
        /// The token of the watch's owner.
        token: Token,
        /// Its number within the token.
        number: u64,
        /// How old it is (us): since the owner of the watch told it.
        age: Micros,
        /// What it says.
        body: Arc<[u8]>,
    },
    /// Up to this number of this token something was not told, or may not have been: what it was has to be asked for
    /// elsewhere. It comes also at the beginning, and where another owner begins to number.
    Missed {
        /// Its topic.
        topic: Topic,
        /// The token of the watch's owner.
        token: Token,
        /// The last number that cannot be had.
        through: u64,
    },
    /// An owner that was replaced spoke, and was not believed.
    SenderRejected {
        /// Why.
        error: FenceError,
    },
    /// The gateway does not answer: what is known may be older than the bound from now on.
    GatewaySilent {
        /// When it answered last; never, where none.
        since: Option<Time>,
    },
    /// A later life of this name subscribes: this one is not told any more.
    Replaced {
        /// When that one began.
        boot: u64,
    },
    /// The gateway takes no more subscriptions.
    SubscriptionsFull,
}

/// What a subscriber counted since it began.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ClientCounts {
    /// Datagrams sent.
    pub datagrams: u64,
    /// Bytes sent.
    pub bytes: u64,
    /// Renewals sent.
    pub renewals: u64,
    /// News that were told by a gateway that this subscriber left.
    pub elsewhere: u64,
    /// Bodies and news of an older token.
    pub refused: u64,
    /// Bodies that cannot be read.
    pub unread: u64,
    /// News that nobody took in time.
    pub untaken: u64,
}

/// One life of a subscriber.
#[derive(Debug)]
pub struct Client {
    rules: Rules,
    me: Subscriber,
    counter: u64,
    topics: BTreeMap<Topic, Track>,
    /// Topics that it left, the last at the end, and how far it had heard each.
    left: VecDeque<(Topic, (Token, u64))>,
    /// The number by which each was last said.
    said: BTreeMap<Topic, u64>,
    /// What changed and is not known to have come, with the number of the change.
    unsettled: BTreeMap<Topic, u64>,
    /// All of it has to be said anew.
    all: bool,
    gateway: Option<SocketAddr>,
    /// The gateway has said that it holds what this subscriber holds.
    settled: bool,
    pause: Micros,
    renew_at: Time,
    tries: u32,
    /// The last answer, and from when on none was heard.
    answered: Option<Time>,
    waits_since: Option<Time>,
    silent: bool,
    moved_at: Time,
    fence: Fence,
    news: VecDeque<SubscriptionEvent>,
    /// Topics of news that nobody took in time.
    untaken: BTreeSet<(Topic, Token, u64)>,
    mail: Mail,
    dice: Pcg64Mcg,
    counts: ClientCounts,
    now: Time,
}

impl Client {
    /// A subscriber that holds nothing yet.
    pub fn new(rules: Rules, me: Subscriber, now: Time, seed: u64) -> Self {
        Client {
            me,
            counter: 0,
            topics: BTreeMap::new(),
            left: VecDeque::new(),
            said: BTreeMap::new(),
            unsettled: BTreeMap::new(),
            all: false,
            gateway: None,
            settled: false,
            pause: crate::ms(rules.renew_ms),
            renew_at: Time::MAX,
            tries: 0,
            answered: None,
            waits_since: None,
            silent: false,
            moved_at: 0,
            fence: Fence::new(DUTIES),
            news: VecDeque::new(),
            untaken: BTreeSet::new(),
            mail: Mail::new(&rules, now),
            dice: Pcg64Mcg::seed_from_u64(seed),
            counts: ClientCounts::default(),
            now,
            rules,
        }
    }

    /// Who it is.
    pub fn identity(&self) -> &Subscriber {
        &self.me
    }

    /// What it counted.
    pub fn counts(&self) -> ClientCounts {
        ClientCounts {
            datagrams: self.mail.datagrams,
            bytes: self.mail.bytes,
            ..self.counts
        }
    }

    /// Whether its gateway holds what it holds.
    pub fn is_confirmed(&self) -> bool {
        self.settled && self.unsettled.is_empty() && !self.all
    }

    /// What it holds.
    pub fn topics(&self) -> impl Iterator<Item = &Topic> {
        self.topics.keys()
    }

    /// How far it is in a topic.
    pub fn last_received(&self, topic: &Topic) -> Option<(Token, u64)> {
        self.topics.get(topic)?.last
    }

    fn changed(&mut self, topic: &Topic) {
        self.counter += 1;
        self.unsettled.insert(topic.clone(), self.counter);
        if self.topics.contains_key(topic) {
            self.said.insert(topic.clone(), self.counter);
        } else {
            self.said.remove(topic);
        }
        self.tries = 0;
        // Several that change together, and several that begin together, are not sent at once.
        let soon = self.now + self.draw(crate::ms(self.rules.answer_ms) / 2);
        self.renew_at = self.renew_at.min(soon);
    }

    /// Wants the news of a topic.
    ///
    /// # Errors
    /// It holds as many as it may.
    pub fn subscribe(&mut self, topic: &Topic) -> Result<(), Fault> {
        if self.topics.contains_key(topic) {
            return Ok(());
        }
        if self.topics.len() >= self.rules.topics {
            return Err(Fault::Full {
                what: "topics",
                most: self.rules.topics,
            });
        }
        let heard_before = self.take_left(topic);
        self.topics
            .insert(topic.clone(), Track::after(heard_before));
        self.changed(topic);
        Ok(())
    }

    /// Wants it no more.
    pub fn unsubscribe(&mut self, topic: &Topic) {
        if let Some(track) = self.topics.remove(topic) {
            if let Some(heard) = track.last_heard() {
                self.remember_left(topic, heard);
            }
            self.changed(topic);
        }
    }

    /// Remembers how far a topic was heard that it leaves, for as many topics as it may hold.
    fn remember_left(&mut self, topic: &Topic, heard: (Token, u64)) {
        if self.left.len() >= self.rules.topics {
            self.left.pop_front();
        }
        self.left.push_back((topic.clone(), heard));
    }

    /// How far a topic had been heard that it subscribes anew.
    fn take_left(&mut self, topic: &Topic) -> Option<(Token, u64)> {
        let index = self.left.iter().position(|(left, _)| left == topic)?;
        let (_, heard) = self.left.remove(index)?;
        Some(heard)
    }

    /// Wants nothing any more. It has left when it is [`Client::is_confirmed`].
    pub fn leave(&mut self, now: Time) {
        self.now = self.now.max(now);
        for topic in self.topics.keys().cloned().collect::<Vec<_>>() {
            self.unsubscribe(&topic);
        }
        self.renew_at = self.now;
    }

    /// The gateway of its zone is at this address. The subscriber speaks to it at a time of its own, since all of the
    /// zone's learn of it together.
    pub fn set_gateway(&mut self, now: Time, address: SocketAddr) {
        self.now = self.now.max(now);
        if self.gateway == Some(address) {
            return;
        }
        let first = self.gateway.is_none();
        self.gateway = Some(address);
        self.settled = false;
        self.tries = 0;
        let within = if first {
            crate::ms(self.rules.answer_ms)
        } else {
            self.pause / 2
        };
        self.renew_at = now + self.draw(within);
        self.waits_since.get_or_insert(now);
    }

    /// A time up to a span, drawn so that subscribers do not act together.
    fn draw(&mut self, span: Micros) -> Micros {
        if self.rules.is_enabled(Guard::Jitter) {
            self.dice.random_range(0..=span)
        } else {
            0
        }
    }

    fn spread(&mut self, span: Micros) -> Micros {
        if self.rules.is_enabled(Guard::Jitter) {
            spread(&mut self.dice, span)
        } else {
            span
        }
    }

    fn holds(&self) -> u64 {
        wire::holds(
            self.me.boot,
            self.said.iter().map(|(topic, counter)| (topic, *counter)),
        )
    }

    /// Takes a body that came. `late` is how much longer it was under way than others (us).
    ///
    /// # Errors
    /// It cannot be read, or its sender has been replaced.
    pub fn receive(
        &mut self,
        now: Time,
        from: SocketAddr,
        body: &[u8],
        late: Micros,
    ) -> Result<(), Fault> {
        self.now = self.now.max(now);
        let Some((head, messages)) = wire::read(body) else {
            self.counts.unread += 1;
            return Err(Fault::Unread { from });
        };
        if !for_me(&head, &self.me.name) {
            return Ok(());
        }
        let Head {
            gateway: Some((zone, token)),
            ..
        } = head
        else {
            return Ok(());
        };
        let duty = crate::gateway::duty(&zone)?;
        self.admit(&duty, token)?;
        let elsewhere = self.gateway != Some(from);
        let mut result = Ok(());
        for message in messages {
            match message {
                Message::Stands {
                    boot,
                    holds,
                    standing,
                    pause,
                } if !elsewhere && (boot == self.me.boot || boot == 0) => {
                    self.stands(now, holds, standing, pause);
                }
                Message::Item(told) => {
                    self.counts.elsewhere += u64::from(elsewhere);
                    let taken = self.track(
                        &told.topic.clone(),
                        &told.duty,
                        told.token,
                        from,
                        |rules, track| {
                            track.item(rules, now, &told, late);
                        },
                    );
                    result = result.and(taken);
                }
                Message::Heads(mark) => {
                    let taken =
                        self.track(&mark.topic, &mark.duty, mark.token, from, |rules, track| {
                            track.head(rules, now, &mark);
                        });
                    result = result.and(taken);
                }
                Message::Missed(mark) => {
                    let taken =
                        self.track(&mark.topic, &mark.duty, mark.token, from, |rules, track| {
                            track.missed(rules, now, &mark);
                        });
                    result = result.and(taken);
                }
                _ => (),
            }
        }
        if elsewhere && self.settled && now >= self.moved_at && self.rules.is_enabled(Guard::Moved)
        {
            // It left that gateway, which has not heard of it.
            self.moved_at = now + crate::ms(self.rules.answer_ms) / 2;
            let message = Message::Moved {
                name: self.me.name.clone(),
                boot: self.me.boot,
                counter: self.counter,
            };
            self.mail.put(Lane::Control, from, For::Gateway, &message);
        }
        self.ask_for_holes(now);
        self.pump(now);
        result
    }

    /// Whether the fence lets a token pass; that it did not is told.
    fn admit(&mut self, duty: &LeaseName, token: Token) -> Result<(), Fault> {
        match self.fence.admit(duty, token) {
            Err(why) if self.rules.is_enabled(Guard::Fence) => {
                self.counts.refused += 1;
                self.put(SubscriptionEvent::SenderRejected { error: why.clone() });
                Err(why.into())
            }
            _ => Ok(()),
        }
    }

    fn track(
        &mut self,
        topic: &Topic,
        duty: &LeaseName,
        token: Token,
        from: SocketAddr,
        take: impl FnOnce(&Rules, &mut Track),
    ) -> Result<(), Fault> {
        self.admit(duty, token)?;
        let Some(track) = self.topics.get_mut(topic) else {
            // It left, and the gateway has not heard of it or has it from an old copy.
            let room = self.unsettled.len() < 2 * self.rules.topics;
            if room && self.gateway == Some(from) && !self.unsettled.contains_key(topic) {
                self.changed(topic);
            }
            return Ok(());
        };
        take(&self.rules, track);
        self.comes(topic);
        Ok(())
    }

    /// Tells what came out of a topic's track.
    fn comes(&mut self, topic: &Topic) {
        let now = self.now;
        let out = self
            .topics
            .get_mut(topic)
            .map(Track::take)
            .unwrap_or_default();
        for comes in out {
            let topic = topic.clone();
            self.put(match comes {
                Comes::Item {
                    token,
                    number,
                    made,
                    body,
                    ..
                } => SubscriptionEvent::Item {
                    topic,
                    token,
                    number,
                    age: now.saturating_sub(made),
                    body,
                },
                Comes::Missed { token, through, .. } => SubscriptionEvent::Missed {
                    topic,
                    token,
                    through,
                },
            });
        }
    }

    fn put(&mut self, news: SubscriptionEvent) {
        // Who is refused may go on for long: once is enough until it is taken.
        if matches!(news, SubscriptionEvent::SenderRejected { .. }) && self.news.contains(&news) {
            return;
        }
        // The newest position is all that counts.
        if let SubscriptionEvent::Item { topic, .. } = &news
            && topic.collapses()
            && self.rules.is_enabled(Guard::Collapse)
        {
            self.news.retain(
                |n| !matches!(n, SubscriptionEvent::Item { topic: old, .. } if old == topic),
            );
        }
        self.news.push_back(news);
        if self.news.len() > UNTAKEN && self.rules.is_enabled(Guard::Queue) {
            self.counts.untaken += 1;
            match self.news.pop_front() {
                Some(SubscriptionEvent::Item {
                    topic,
                    token,
                    number,
                    ..
                }) => self.overrun(topic, token, number),
                Some(SubscriptionEvent::Missed {
                    topic,
                    token,
                    through,
                }) => self.overrun(topic, token, through),
                _ => (),
            }
        }
    }

    fn overrun(&mut self, topic: Topic, token: Token, through: u64) {
        self.untaken.retain(|(t, ..)| *t != topic);
        self.untaken.insert((topic, token, through));
    }

    fn stands(&mut self, now: Time, holds: u64, standing: Standing, pause: Micros) {
        let current = holds == self.holds();
        self.answered = Some(now);
        self.waits_since = None;
        self.silent = false;
        self.pause = pause.clamp(
            crate::ms(self.rules.renew_ms),
            60 * crate::ms(self.rules.renew_ms),
        );
        match standing {
            Standing::Holds if current => {
                self.unsettled.clear();
                self.all = false;
                self.settled = true;
                self.tries = 0;
                self.renew_at = now + self.spread(self.pause);
            }
            Standing::Holds => (),
            Standing::Differs => {
                if self.settled || self.tries > 0 {
                    self.all = true;
                    self.counter += 1;
                    self.said
                        .values_mut()
                        .for_each(|counter| *counter = self.counter);
                    let soon = if self.tries > 2 {
                        self.pause / 2
                    } else {
                        crate::ms(self.rules.answer_ms) / 2
                    };
                    self.renew_at = now + self.draw(soon);
                }
            }
            Standing::Replaced(boot) => {
                self.settled = false;
                self.renew_at = now + self.spread(self.pause);
                self.put(SubscriptionEvent::Replaced { boot });
            }
            Standing::Full => {
                self.renew_at = now + self.spread(self.pause);
                self.put(SubscriptionEvent::SubscriptionsFull);
            }
        }
    }

    /// Says what it holds, as far as the gateway may not know it, and that it is there.
    fn renew(&mut self, now: Time, to: SocketAddr) {
        let (name, boot) = (self.me.name.clone(), self.me.boot);
        let mut says = Vec::new();
        let range = |from: Option<&Topic>, through: Option<&Topic>, topics: &[&Topic], counter| {
            Message::Declare {
                name: name.clone(),
                boot,
                counter,
                from: from.cloned(),
                through: through.cloned(),
                topics: topics.iter().map(|t| (*t).clone()).collect(),
            }
        };
        for (topic, counter) in &self.unsettled {
            let holds = self.topics.contains_key(topic);
            let topics: &[&Topic] = if holds { &[topic] } else { &[] };
            says.push(range(Some(topic), Some(topic), topics, *counter));
        }
        if self.all {
            // Ranges that touch: each says also the first of the next, so that nothing between them is left out.
            let (mut chunks, mut bytes) = (vec![Vec::new()], 0);
            for topic in self.topics.keys() {
                bytes += topic.name().len() + 2;
                if bytes > MAX_BODY_BYTES / 2 {
                    chunks.push(Vec::new());
                    bytes = topic.name().len() + 2;
                }
                chunks.last_mut().into_iter().for_each(|c| c.push(topic));
            }
            for n in 0..chunks.len() {
                let mut topics = chunks[n].clone();
                let from = if n == 0 {
                    None
                } else {
                    topics.first().copied()
                };
                let through = chunks.get(n + 1).and_then(|next| next.first()).copied();
                topics.extend(through);
                says.push(range(from, through, &topics, self.counter));
            }
        }
        for message in &says {
            self.mail.put(Lane::Control, to, For::Gateway, message);
        }
        let at = self
            .topics
            .iter()
            .filter_map(|(t, track)| track.last.map(|(token, n)| wire::at(t, token, n)));
        let message = Message::Renew {
            name,
            boot,
            holds: self.holds(),
            at: at.fold(0, |a, b| a ^ b),
        };
        self.mail.put(Lane::Control, to, For::Gateway, &message);
        self.counts.renewals += 1;
        self.waits_since.get_or_insert(now);
        // Unanswered, it waits twice as long each time, up to the pause between two renewals.
        let again = crate::ms(self.rules.answer_ms) << self.tries.min(6);
        self.tries += 1;
        self.renew_at = now + self.spread(again.min(self.pause)).max(1);
    }

    fn ask_for_holes(&mut self, now: Time) {
        let Some(to) = self.gateway else { return };
        let again = crate::ms(self.rules.answer_ms);
        let due: Vec<Topic> = self
            .topics
            .iter()
            .filter(|(_, t)| t.next_turn() <= now)
            .map(|(topic, _)| topic.clone())
            .collect();
        for topic in due {
            let again = spread(&mut self.dice, again);
            let fetch = self
                .topics
                .get_mut(&topic)
                .and_then(|t| t.fetch(&self.rules, now, again));
            if let Some((token, after)) = fetch {
                let message = Message::Fetch {
                    name: self.me.name.clone(),
                    topic: topic.clone(),
                    token,
                    after,
                };
                self.mail.put(Lane::Control, to, For::Gateway, &message);
            }
            self.comes(&topic);
        }
    }

    /// How long a gateway may say nothing: two renewals, and the tries of the second.
    fn patience(&self) -> Micros {
        2 * self.pause + crate::ms(4 * self.rules.answer_ms)
    }

    /// Does what is due: renews, fetches what is missing, says that the gateway is silent.
    pub fn turn(&mut self, now: Time) {
        self.now = self.now.max(now);
        if let Some(to) = self.gateway
            && now >= self.renew_at
            && (!self.topics.is_empty() || !self.is_confirmed())
        {
            self.renew(now, to);
        } else if now >= self.renew_at {
            self.renew_at = Time::MAX;
        }
        if !self.silent
            && self
                .waits_since
                .is_some_and(|since| now >= since + self.patience())
        {
            self.silent = true;
            self.put(SubscriptionEvent::GatewaySilent {
                since: self.answered,
            });
        }
        self.ask_for_holes(now);
        self.pump(now);
    }

    fn pump(&mut self, now: Time) {
        self.mail.pump(now, &None, |_| false);
    }

    /// When it has to be driven next.
    pub fn next_turn(&self) -> Time {
        let renew = if self.gateway.is_some() {
            self.renew_at
        } else {
            Time::MAX
        };
        let holes = if self.gateway.is_some() {
            self.topics
                .values()
                .map(Track::next_turn)
                .min()
                .unwrap_or(Time::MAX)
        } else {
            Time::MAX
        };
        let silent = match self.waits_since {
            Some(since) if !self.silent => since + self.patience(),
            _ => Time::MAX,
        };
        renew.min(holes).min(silent).min(self.mail.next(false))
    }

    /// What is to be sent, and to whom.
    pub fn take_outbox(&mut self) -> Vec<(SocketAddr, Vec<u8>)> {
        self.mail.take_out()
    }

    /// What it learnt, in order. Where nobody took the news for long, that some were missed comes first.
    pub fn take_event(&mut self) -> Option<SubscriptionEvent> {
        if let Some((topic, token, through)) = self.untaken.pop_first() {
            return Some(SubscriptionEvent::Missed {
                topic,
                token,
                through,
            });
        }
        self.news.pop_front()
    }
}
