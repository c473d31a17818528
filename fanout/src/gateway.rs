//! The gateway of a zone: what its subscribers ask for, and what they are told.

use crate::outbox::{Lane, Mail, spread};
use crate::reconciliation::Others;
use crate::retained::{Held, Next};
use crate::sequence_tracker::{Comes, Track};
use crate::table::{Declaration, Name, SubscriptionTable};
use crate::wire::{
    self, Entry, For, Head, MAX_BODY_BYTES, MAX_ITEM_BYTES, Mark, Message, Standing, State, Told,
};
use crate::{DUTIES, Fault, Guard, Rules, Subscriber, Topic, rules::TIDY};
use plovercove::{Micros, Time};
use plovercove_fencing::{Fence, FenceError, InvalidLeaseName, LeaseName, Token};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;

/// What a gateway counted since it began.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct GatewayCounts {
    /// Datagrams and bytes sent.
    pub datagrams: u64,
    /// Bytes sent.
    pub bytes: u64,
    /// Bytes sent to compare lists.
    pub lists: u64,
    /// Messages that were not sent, since too many waited.
    pub dropped: u64,
    /// Bodies that cannot be read.
    pub unread: u64,
    /// Bodies and news of an older token.
    pub refused: u64,
    /// Entries that were taken from other gateways.
    pub taken: u64,
    /// Entries that an old owner asked for and that were taken.
    pub requests: u64,
    /// Subscriptions that ended by age.
    pub expired: u64,
    /// News held for those who missed some.
    pub held: u64,
    /// Subscriptions that are remembered, of all zones.
    pub subscriptions: u64,
    /// Subscribers that this gateway tells.
    pub subscribers: u64,
}

/// The gateway of a zone. It acts only while it has the duty's token.
#[derive(Debug)]
pub struct Gateway {
    pub(crate) rules: Rules,
    pub(crate) zone: Name,
    pub(crate) duty: LeaseName,
    pub(crate) me: SocketAddr,
    pub(crate) token: Option<Token>,
    pub(crate) fence: Fence,
    pub(crate) table: SubscriptionTable,
    pub(crate) others: Others,
    pub(crate) mail: Mail,
    pub(crate) dice: Pcg64Mcg,
    pub(crate) counts: GatewayCounts,
    held: BTreeMap<Topic, Held>,
    tracks: BTreeMap<Topic, (Track, Option<SocketAddr>)>,
    /// Subscribers with something to be told, in turns.
    line: VecDeque<Name>,
    tidy_at: Time,
    subscribers: usize,
    /// When this gateway was last driven: a process that stood still looks at its token first.
    pub(crate) now: Time,
}

impl Gateway {
    /// A gateway of this zone at this address, without the duty yet.
    ///
    /// # Errors
    /// The zone has a name that no duty can have.
    pub fn new(
        rules: Rules,
        zone: &str,
        me: SocketAddr,
        now: Time,
        seed: u64,
    ) -> Result<Self, InvalidLeaseName> {
        let mut dice = Pcg64Mcg::seed_from_u64(seed);
        Ok(Gateway {
            duty: duty(zone)?,
            zone: zone.into(),
            me,
            token: None,
            fence: Fence::new(DUTIES),
            table: SubscriptionTable::new(rules.clone(), zone),
            others: Others::default(),
            mail: Mail::new(&rules, now),
            counts: GatewayCounts::default(),
            held: BTreeMap::new(),
            tracks: BTreeMap::new(),
            line: VecDeque::new(),
            tidy_at: now + spread(&mut dice, TIDY),
            subscribers: 0,
            now,
            dice,
            rules,
        })
    }

    /// Where it is.
    pub fn address(&self) -> SocketAddr {
        self.me
    }

    /// The list: its own zone's, and copies of the others'.
    pub fn table(&self) -> &SubscriptionTable {
        &self.table
    }

    /// What it counted.
    pub fn counts(&self) -> GatewayCounts {
        GatewayCounts {
            datagrams: self.mail.datagrams,
            bytes: self.mail.bytes,
            lists: self.mail.lists,
            dropped: self.mail.dropped,
            held: self.held.values().map(|h| h.len() as u64).sum(),
            subscriptions: self.table.len() as u64,
            subscribers: self.subscribers as u64,
            ..self.counts
        }
    }

    /// Whether it has the duty, by its own knowledge.
    pub fn holds_lease(&self) -> bool {
        self.token.is_some()
    }

    /// Whether the fence lets a token pass. Off only in tests.
    pub(crate) fn admit(&mut self, duty: &LeaseName, token: Token) -> Result<(), FenceError> {
        let passed = self.fence.admit(duty, token).map(|_| ());
        if self.rules.is_enabled(Guard::Fence) {
            passed
        } else {
            Ok(())
        }
    }

    /// The token by which this router has the duty, or none. Told whenever it changes; the same again changes nothing.
    pub fn set_token(&mut self, now: Time, token: Option<Token>) {
        self.now = self.now.max(now);
        match token {
            Some(token) if self.token != Some(token) => {
                if self.admit(&self.duty.clone(), token).is_err() {
                    return;
                }
                // Whoever was in the list of the last owner has a lease to renew here.
                self.table.restart_leases(now);
                self.token = Some(token);
                self.others.begin(now, &mut self.dice, &self.rules);
            }
            None if self.token.is_some() => self.lose(now),
            _ => (),
        }
    }

    /// The duty is another's: nothing more is told, and what subscribers said here is asked of the new owner.
    pub(crate) fn lose(&mut self, now: Time) {
        let requests = self.table.own_words();
        self.hand_over(now, requests);
        self.token = None;
        self.mail.clear();
        self.line.clear();
        for person in self.table.people.values_mut() {
            person.queued = false;
        }
    }

    /// Takes a body that came. `late` is how much longer it was under way than others (us).
    ///
    /// # Errors
    /// It cannot be read, or its sender has been replaced; nothing was taken but the requests in it.
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
        if head.to != For::Gateway {
            return Ok(());
        }
        let mut result = Ok(());
        if let Some((zone, token)) = &head.gateway {
            let duty = duty(zone)?;
            if let Err(refused) = self.admit(&duty, *token) {
                self.counts.refused += 1;
                self.refuse(from, &duty, For::Gateway);
                self.requests(now, messages);
                result = Err(refused.into());
            } else {
                self.between(now, from, zone, messages, late);
            }
        } else {
            for message in messages {
                if let Err(fault) = self.take(now, from, message, late) {
                    result = Err(fault);
                }
            }
        }
        self.pump(now);
        result
    }

    pub(crate) fn refuse(&mut self, to: SocketAddr, duty: &LeaseName, who: For) {
        let message = Message::Refused {
            duty: duty.clone(),
            token: self.fence.newest(duty),
        };
        self.mail.put(Lane::Control, to, who, &message);
    }

    /// What subscribers and publishers say.
    fn take(
        &mut self,
        now: Time,
        from: SocketAddr,
        message: Message,
        late: Micros,
    ) -> Result<(), Fault> {
        match message {
            Message::Item(told) => self.news(now, Some(from), &told, late)?,
            Message::Heads(mark) | Message::Missed(mark)
                if self.admit(&mark.duty, mark.token).is_err() =>
            {
                self.counts.refused += 1;
                self.refuse(from, &mark.duty, For::Publisher);
            }
            Message::Heads(mark) => {
                let rules = self.rules.clone();
                if let Some(track) = self.track(&mark.topic, Some(from)) {
                    track.head(&rules, now, &mark);
                }
                self.comes(&mark.topic);
            }
            Message::Missed(mark) => {
                let rules = self.rules.clone();
                if let Some(track) = self.track(&mark.topic, Some(from)) {
                    track.missed(&rules, now, &mark);
                }
                self.comes(&mark.topic);
            }
            // The rest needs the duty: who has none answers nobody, and they look for the one who has.
            _ if self.token.is_none() => (),
            Message::Renew {
                name,
                boot,
                holds,
                at,
            } => self.renew(now, from, name, boot, holds, at),
            Message::Declare {
                name,
                boot,
                counter,
                from: first,
                through,
                topics,
            } => {
                let subscriber = Subscriber {
                    name: name.clone(),
                    boot,
                    address: from,
                    zone: self.zone.clone(),
                };
                let (from_topic, through) = (first.as_ref(), through.as_ref());
                let says = Declaration {
                    subscriber: &subscriber,
                    counter,
                    from: from_topic,
                    through,
                    topics: &topics,
                };
                if !self.table.apply(now, &says) {
                    self.stands(now, from, name.clone(), boot, 0, Standing::Full);
                    return Err(Fault::Full {
                        what: "subscriptions",
                        most: self.rules.subscriptions,
                    });
                }
                self.enlist(&name);
            }
            Message::Fetch {
                name,
                topic,
                token,
                after,
            } => {
                if let Some(person) = self.table.people.get_mut(&name)
                    && let Some(kept) = person.topics.get_mut(&topic)
                {
                    kept.place = Some((token, after));
                    self.enlist(&name);
                }
            }
            Message::Moved {
                name,
                boot,
                counter,
            } => {
                if let Some(person) = self.table.people.get_mut(&name) {
                    person.moved = person.moved.max((boot, counter));
                }
            }
            _ => (),
        }
        Ok(())
    }

    fn renew(&mut self, now: Time, from: SocketAddr, name: Name, boot: u64, holds: u64, at: u64) {
        let (known, latest) = self.table.holds(&name);
        let same = self.table.people.get(&name).is_none_or(|p| {
            p.topics
                .values()
                .filter(|k| self.table.own(&k.entry))
                .all(|k| k.entry.subscriber.address == from)
        });
        let standing = if latest > boot {
            Standing::Replaced(latest)
        } else if known == holds && same {
            Standing::Holds
        } else {
            Standing::Differs
        };
        if standing == Standing::Holds {
            self.table.heard(now, &name);
            // It may have moved away and come back.
            let far = self.heads(&name);
            if far
                .iter()
                .fold(0, |sum, m| sum ^ wire::at(&m.topic, m.token, m.number))
                != at
            {
                for mark in far {
                    self.mail.put(
                        Lane::Control,
                        from,
                        For::Subscriber(name.clone()),
                        &Message::Heads(mark),
                    );
                }
            }
        }
        self.stands(now, from, name, boot, holds, standing);
    }

    fn stands(
        &mut self,
        _now: Time,
        to: SocketAddr,
        name: Name,
        boot: u64,
        holds: u64,
        standing: Standing,
    ) {
        let pause = self.rules.renewal_interval(self.subscribers);
        let message = Message::Stands {
            boot,
            holds,
            standing,
            pause,
        };
        self.mail
            .put(Lane::Control, to, For::Subscriber(name), &message);
    }

    /// Asks a subscriber to say all that it holds anew.
    pub(crate) fn ask_anew(&mut self, now: Time, to: SocketAddr, name: Name) {
        let boot = self.table.holds(&name).1;
        self.stands(now, to, name, boot, 0, Standing::Differs);
    }

    /// How far the topics of a subscriber are.
    fn heads(&self, name: &str) -> Vec<Mark> {
        let Some(person) = self.table.people.get(name) else {
            return Vec::new();
        };
        let own = person
            .topics
            .iter()
            .filter(|(_, k)| self.table.own(&k.entry));
        own.filter_map(|(topic, _)| self.held.get(topic).map(|h| h.mark(topic, h.head)))
            .collect()
    }

    /// News of a topic, by the owner of its watch at this router or elsewhere.
    ///
    /// # Errors
    /// It is too large, or its publisher has been replaced.
    pub fn publish(
        &mut self,
        now: Time,
        topic: &Topic,
        duty: &LeaseName,
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
        let told = Told {
            topic: topic.clone(),
            duty: duty.clone(),
            token,
            number,
            age: 0,
            body,
        };
        self.news(now, None, &told, 0)?;
        self.pump(now);
        Ok(())
    }

    fn news(
        &mut self,
        now: Time,
        from: Option<SocketAddr>,
        told: &Told,
        late: Micros,
    ) -> Result<(), Fault> {
        if let Err(refused) = self.admit(&told.duty, told.token) {
            self.counts.refused += 1;
            if let Some(from) = from {
                self.refuse(from, &told.duty, For::Publisher);
            }
            return Err(refused.into());
        }
        let rules = self.rules.clone();
        let track = self.track(&told.topic, from);
        let track = track.ok_or(Fault::Full {
            what: "topics",
            most: DUTIES,
        })?;
        track.item(&rules, now, told, late);
        self.comes(&told.topic);
        Ok(())
    }

    fn track(&mut self, topic: &Topic, from: Option<SocketAddr>) -> Option<&mut Track> {
        if self.tracks.len() >= DUTIES && !self.tracks.contains_key(topic) {
            return None;
        }
        let (track, publisher) = self.tracks.entry(topic.clone()).or_default();
        *publisher = from;
        Some(track)
    }

    /// Holds what came out in order, and puts those who asked for it in line.
    fn comes(&mut self, topic: &Topic) {
        let Some((track, _)) = self.tracks.get_mut(topic) else {
            return;
        };
        let out = track.take();
        if out.is_empty() {
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
        // Who subscribed before this came, and was told nothing yet, begins with it.
        if let Some(Comes::Item { token, number, .. }) =
            out.iter().find(|c| matches!(c, Comes::Item { .. }))
        {
            for name in &names {
                if let Some(kept) = self
                    .table
                    .people
                    .get_mut(name)
                    .and_then(|p| p.topics.get_mut(topic))
                {
                    kept.place.get_or_insert((*token, number - 1));
                }
            }
        }
        for comes in out {
            let (duty, token) = match &comes {
                Comes::Item { duty, token, .. } | Comes::Missed { duty, token, .. } => {
                    (duty, *token)
                }
            };
            let held = self
                .held
                .entry(topic.clone())
                .or_insert_with(|| Held::new(duty.clone(), token));
            if held.token != token {
                *held = Held::new(duty.clone(), token);
            }
            match comes {
                Comes::Item {
                    number, made, body, ..
                } => held.push(&self.rules, topic, number, made, body),
                // The newest position is all that counts: nothing of it can be missed for good.
                Comes::Missed { through, .. } if !topic.collapses() => held.lose(through),
                Comes::Missed { .. } => (),
            }
        }
        for name in names {
            self.enlist(&name);
        }
    }

    fn enlist(&mut self, name: &Name) {
        if let Some(person) = self.table.people.get_mut(name)
            && !person.queued
            && self.token.is_some()
        {
            person.queued = true;
            self.line.push_back(name.clone());
        }
    }

    /// Puts the next subscriber's news into the mail: as much as one body takes. False where nobody waits.
    fn tell(
        rules: &Rules,
        now: Time,
        table: &mut SubscriptionTable,
        held: &BTreeMap<Topic, Held>,
        line: &mut VecDeque<Name>,
        mail: &mut Mail,
    ) -> bool {
        while let Some(name) = line.pop_front() {
            let zone = table.zone().clone();
            let Some(person) = table.people.get_mut(&name) else {
                continue;
            };
            person.queued = false;
            let (mut bytes, moved) = (0, person.moved);
            for (topic, kept) in &mut person.topics {
                let Entry {
                    boot,
                    counter,
                    state,
                    subscriber,
                    ..
                } = &kept.entry;
                if *state != State::Live || subscriber.zone != zone || (*boot, *counter) <= moved {
                    continue;
                }
                let Some(held) = held.get(topic) else {
                    continue;
                };
                while bytes < MAX_BODY_BYTES
                    && let Some((next, place)) = held.after(rules, topic, now, kept.place)
                {
                    let message = match next {
                        Next::Told(told) => Message::Item(told),
                        Next::Missed(mark) => Message::Missed(mark),
                    };
                    bytes += wire::bytes(&message).len();
                    kept.place = Some((held.token, place));
                    mail.put(
                        Lane::Items,
                        subscriber.address,
                        For::Subscriber(name.clone()),
                        &message,
                    );
                }
            }
            if bytes >= MAX_BODY_BYTES {
                // There may be more: the others first.
                person.queued = true;
                line.push_back(name);
            }
            if bytes > 0 {
                return true;
            }
        }
        false
    }

    /// Sends what the budget allows.
    pub(crate) fn pump(&mut self, now: Time) {
        self.push_changes();
        let header = self
            .token
            .map(|token| (self.zone.clone(), token))
            .or(self.others.old.clone());
        let (rules, table, held, line) = (&self.rules, &mut self.table, &self.held, &mut self.line);
        self.mail.pump(now, &header, |mail| {
            Self::tell(rules, now, table, held, line, mail)
        });
    }

    /// Does what is due: ends what is too old, compares lists, fetches what is missing, and sends.
    pub fn turn(&mut self, now: Time) {
        self.now = self.now.max(now);
        if now >= self.tidy_at {
            let before = self.table.changed.len();
            self.subscribers = self.table.own_subscriber_count();
            let lease = self.rules.subscriber_lease(self.subscribers);
            self.table
                .expire_and_forget(now, self.token.is_some(), lease);
            self.counts.expired += (self.table.changed.len() - before) as u64;
            self.tidy_at = now + spread(&mut self.dice, TIDY);
        }
        if self.token.is_some() {
            self.compare(now);
        }
        let (rules, again) = (self.rules.clone(), crate::ms(self.rules.answer_ms));
        let mut asks = Vec::new();
        let mut due = Vec::new();
        for (topic, (track, publisher)) in &mut self.tracks {
            if track.next_turn() <= now {
                let fetch = track.fetch(&rules, now, spread(&mut self.dice, again));
                if let (Some((token, after)), Some(to)) = (fetch, *publisher) {
                    asks.push((
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
        for (to, message) in asks {
            self.mail.put(Lane::Control, to, For::Publisher, &message);
        }
        for topic in due {
            self.comes(&topic);
        }
        self.pump(now);
    }

    /// When it has to be driven next.
    pub fn next_turn(&self) -> Time {
        let holes = self
            .tracks
            .values()
            .map(|(track, _)| track.next_turn())
            .min()
            .unwrap_or(Time::MAX);
        let lists = if self.token.is_some() {
            self.others.next_turn()
        } else {
            Time::MAX
        };
        self.tidy_at
            .min(holes)
            .min(lists)
            .min(self.mail.next(!self.line.is_empty()))
    }

    /// What is to be sent, and to whom.
    pub fn take_outbox(&mut self) -> Vec<(SocketAddr, Vec<u8>)> {
        self.mail.take_out()
    }
}

/// The duty of a zone's gateway.
pub(crate) fn duty(zone: &str) -> Result<LeaseName, InvalidLeaseName> {
    LeaseName::new(&format!("gateway/{zone}"))
}

/// Whether a head says that a body is for this subscriber.
pub(crate) fn for_me(head: &Head, name: &str) -> bool {
    matches!(&head.to, For::Subscriber(to) if **to == *name)
}
