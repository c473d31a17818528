//! A router that votes.

use crate::ballot::{Ballot, Holder, Said};
use crate::kept::Kept;
use crate::meter::Meter;
use crate::ms;
use crate::news::News;
use crate::place::Member;
use crate::rules::{Guard, LONGEST, Rules, majority};
use crate::wire::{Answer, Body, Item, Mark, Stage, State, Word, bodies, write};
use plovercove::{Micros, Time};
use plovercove_fencing::{Duty, Token};
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

/// Tokens that one write to the disk allows for: a grant a second writes every quarter of an hour.
const STEP: u64 = 1_000;
/// Duties that a decider knows at the most: eight times what the largest fleet has.
const DUTIES: usize = 4_096;
/// Asks that wait for the disk at the most; the others are sent again by whoever asked.
const WAITING: usize = 256;
/// So many owners lost ...
const LOSSES: usize = 3;
/// ... within this time set a duty aside (us). A lease that has to end before the next owner is not counted in it.
const WITHIN: Micros = 60_000_000;
/// A duty is set aside for no longer (us).
const LONGEST_ASIDE: Micros = 3_600_000_000;
/// Share of the datagrams that is kept for renewals: who owns must not lose it because others join.
const SPARE: f64 = 0.3;

/// What it remembers of one duty.
#[derive(Clone, Debug)]
struct Record {
    ballot: Ballot,
    mark: Option<Mark>,
    /// Owners whose lease ended without a word of them, and when.
    losses: VecDeque<(Time, Holder)>,
    /// Nobody gets it until then ...
    aside: Time,
    /// ... for the n-th time in a row.
    times: u32,
}

/// What another decider said of itself, when.
#[derive(Clone, Debug)]
struct Told {
    state: State,
    at: Time,
}

/// A decider.
#[derive(Clone, Debug)]
pub(crate) struct Seat {
    me: Member,
    stage: Stage,
    /// Tokens up to this may have been voted for, of any duty.
    base: Token,
    records: BTreeMap<Duty, Record>,
    /// On disk.
    disk: Option<Kept>,
    /// To be written next.
    pending: Option<Kept>,
    /// Handed to the router, and not yet on disk.
    flight: Option<Kept>,
    /// It votes from then on at the earliest.
    from: Time,
    started: Time,
    told: BTreeMap<SocketAddr, Told>,
    next_read: Time,
    deferred: Vec<(Member, u64, u32, Item)>,
    meter: Meter,
    pub(crate) dropped: u64,
    stale: bool,
}

/// What it wants sent, and said.
#[derive(Default)]
pub(crate) struct Out {
    pub sends: Vec<(SocketAddr, Vec<u8>)>,
    pub news: Vec<News>,
}

impl Out {
    pub fn send(&mut self, to: SocketAddr, body: &Body) {
        if let Some(bytes) = write(body) {
            self.sends.push((to, bytes));
        }
    }
}

impl Seat {
    /// The decider that this router is by the settings; none where it is none, and was none in the former set.
    pub fn new(rules: &Rules, me: &Member, now: Time, kept: Option<Kept>) -> Option<Self> {
        let set = &rules.deciders;
        let member = set.at(&me.address).is_some();
        let before = set.before.iter().any(|d| d.address == me.address);
        if !member && !before {
            return None;
        }
        let known = kept.as_ref().map(|k| k.generation);
        let former = set.generation.checked_sub(1);
        let stage = match known {
            _ if !member => Stage::Former,
            Some(g) if g == set.generation => Stage::Waiting,
            Some(g) if Some(g) == former && before => Stage::Joining,
            _ => Stage::Blank,
        };
        // The file of an older generation than the former says nothing that could be told to others.
        let kept = kept.filter(|k| k.generation == set.generation || Some(k.generation) == former);
        let longest = kept
            .as_ref()
            .map_or(0, |k| k.longest_ms)
            .max(rules.lease_ms);
        let mut seat = Seat {
            me: me.clone(),
            stage,
            base: kept.as_ref().map_or(Token::NONE, |k| k.ceiling),
            records: BTreeMap::new(),
            disk: kept.clone(),
            pending: None,
            flight: None,
            from: now,
            started: now,
            told: BTreeMap::new(),
            next_read: now,
            deferred: Vec::new(),
            meter: Meter::new(rules.datagrams_per_s, now),
            dropped: 0,
            stale: false,
        };
        seat.wait(rules, now, longest);
        if let Some(kept) = kept
            && matches!(stage, Stage::Joining | Stage::Former)
            && kept.sealed < set.generation
        {
            seat.pending = Some(Kept {
                sealed: set.generation,
                ..kept
            });
        }
        Some(seat)
    }

    /// It votes only when leases up to this length that it may have granted are over.
    fn wait(&mut self, rules: &Rules, now: Time, longest_ms: u64) {
        // Against: a decider that restarts has forgotten whose leases run, and would make a second owner at once.
        if rules.on(Guard::Wait) {
            self.from = self.from.max(now + rules.lease_at_decider(longest_ms));
        }
    }

    pub fn stage(&self) -> Stage {
        self.stage
    }

    /// What must be on disk before the votes that wait for it leave; one after the other.
    pub fn take_file(&mut self) -> Option<Vec<u8>> {
        if self.flight.is_some() {
            return None;
        }
        self.flight = self.pending.take();
        self.flight.as_ref().map(Kept::write)
    }

    /// What was handed out last is on disk.
    pub fn kept(&mut self, rules: &Rules, now: Time, out: &mut Out) {
        let Some(flight) = self.flight.take() else {
            return;
        };
        self.disk = Some(flight);
        self.turn(rules, now, out);
        for (from, stamp, lease_ms, item) in std::mem::take(&mut self.deferred) {
            self.ask(rules, now, &from, stamp, lease_ms, vec![item], out);
        }
    }

    /// Whether a vote for this token and lease may leave; asks for room on the disk where it may not, and ahead of that.
    fn covered(&mut self, rules: &Rules, token: Token, lease_ms: u64) -> bool {
        let Some(disk) = &self.disk else { return false };
        let covers = token <= disk.ceiling && lease_ms <= disk.longest_ms;
        let coming = self
            .pending
            .as_ref()
            .or(self.flight.as_ref())
            .unwrap_or(disk);
        if token.0.saturating_add(STEP / 2) > coming.ceiling.0 || lease_ms > coming.longest_ms {
            let ceiling = Token(token.0.saturating_add(STEP)).max(coming.ceiling);
            let longest_ms = coming.longest_ms.max(lease_ms).max(rules.lease_ms);
            self.pending = Some(Kept {
                ceiling,
                longest_ms,
                ..coming.clone()
            });
        }
        // Against: a decider that restarts votes again for a token that it voted for before.
        covers || !rules.on(Guard::Ceiling)
    }

    /// Whether the file on disk is of the set that the settings name.
    fn is_member(&self, rules: &Rules) -> bool {
        self.disk
            .as_ref()
            .is_some_and(|k| k.generation == rules.deciders.generation)
    }

    pub fn next(&self) -> Time {
        match self.stage {
            Stage::Voting | Stage::Former => Time::MAX,
            // Without its file on disk it is called again by that, or when it reads.
            Stage::Waiting
                if self.disk.is_some() && self.pending.is_none() && self.flight.is_none() =>
            {
                self.from.min(self.next_read)
            }
            Stage::Waiting | Stage::Blank | Stage::Joining => self.next_read,
        }
    }

    pub fn turn(&mut self, rules: &Rules, now: Time, out: &mut Out) {
        if matches!(self.stage, Stage::Voting | Stage::Former) {
            return;
        }
        if now >= self.next_read {
            self.next_read = now + 2 * rules.ask();
            let read = Body::Read {
                generation: rules.deciders.generation,
                ceiling: self.ceiling(),
            };
            let all = rules.deciders.members.iter().chain(&rules.deciders.before);
            let mut to: Vec<_> = all
                .map(|d| d.address)
                .filter(|a| *a != self.me.address)
                .collect();
            to.sort_unstable();
            to.dedup();
            to.iter().for_each(|a| out.send(*a, &read));
        }
        self.advance(rules, now, out);
    }

    /// It has never voted for a token over this.
    fn ceiling(&self) -> Token {
        self.disk
            .as_ref()
            .map_or(Token::NONE, |k| k.ceiling)
            .max(self.base)
    }

    /// Those of the others in this generation that know what they may have voted for.
    fn knowing(&self, rules: &Rules) -> impl Iterator<Item = &State> {
        let set = &rules.deciders;
        let others = set.members.iter().filter(|d| d.address != self.me.address);
        others
            .filter_map(|d| self.told.get(&d.address))
            .map(|t| &t.state)
            .filter(|s| {
                s.generation == set.generation && matches!(s.stage, Stage::Voting | Stage::Waiting)
            })
    }

    fn advance(&mut self, rules: &Rules, now: Time, out: &mut Out) {
        let set = &rules.deciders;
        match self.stage {
            Stage::Waiting => {
                let (others, yours) = self
                    .knowing(rules)
                    .fold((Token::NONE, Token::NONE), |(c, y), s| {
                        (c.max(s.ceiling), y.max(s.yours))
                    });
                if yours > self.ceiling() && !self.stale {
                    // An old copy of the file was put back: what it lacks, only others know.
                    self.stale = true;
                    self.stage = Stage::Blank;
                    out.news.push(News::Stale);
                    return self.advance(rules, now, out);
                }
                self.base = self.base.max(others);
                if now >= self.from
                    && self.is_member(rules)
                    && self.pending.is_none()
                    && self.flight.is_none()
                {
                    self.vote_from_now(out);
                }
            }
            Stage::Blank => {
                let (count, ceiling, longest) = self
                    .knowing(rules)
                    .fold((0, Token::NONE, 0), |(n, c, l), s| {
                        (n + 1, c.max(s.ceiling), l.max(s.longest_ms))
                    });
                // Against: a decider that has forgotten what it voted for votes for it again. Those who made an owner with it
                // are a majority without it, so a majority of all that does not count it has one of them.
                if count >= set.majority() || !rules.on(Guard::CatchUp) {
                    return self.enter(rules, now, ceiling, longest, out);
                }
                // The first start, or a set most of which is new. All of the others must answer: of those who made an owner
                // with it, no more than a minority can have lost their files, and one that has not is among them.
                let others = set.members.iter().filter(|d| d.address != self.me.address);
                let answered = others
                    .filter_map(|d| self.told.get(&d.address))
                    .filter(|t| t.state.generation == set.generation);
                if answered.count() + 1 == set.members.len() {
                    let before = if set.before.is_empty() {
                        Some((Token::NONE, 0))
                    } else {
                        self.sealed(rules)
                    };
                    if let Some((sealed, long)) = before {
                        self.enter(rules, now, ceiling.max(sealed), longest.max(long), out);
                    }
                }
            }
            Stage::Joining => {
                if let Some((ceiling, longest)) = self.sealed(rules) {
                    self.enter(rules, now, ceiling, longest, out);
                }
            }
            Stage::Voting | Stage::Former => {}
        }
    }

    /// What a majority of the former set had voted for, where it has sealed itself: the highest token, the longest lease.
    fn sealed(&self, rules: &Rules) -> Option<(Token, u64)> {
        let set = &rules.deciders;
        let sealed = set.before.iter().filter_map(|d| {
            if d.address == self.me.address {
                let disk = self.disk.as_ref().filter(|k| k.sealed >= set.generation)?;
                return Some((disk.ceiling, disk.longest_ms));
            }
            let state = &self.told.get(&d.address)?.state;
            (state.sealed >= set.generation).then_some((state.ceiling, state.longest_ms))
        });
        let (count, ceiling, longest) = sealed
            .fold((0, Token::NONE, 0), |(n, c, l), (ceiling, longest)| {
                (n + 1, c.max(ceiling), l.max(longest))
            });
        // Against: two sets of deciders, each of which makes an owner.
        (count >= majority(set.before.len()) || !rules.on(Guard::Seal))
            .then_some((ceiling, longest))
    }

    /// It knows now what it may have voted for, and waits for the leases.
    fn enter(&mut self, rules: &Rules, now: Time, ceiling: Token, longest_ms: u64, out: &mut Out) {
        // A file that is lost waits from the start: it granted nothing since. Who takes over from a former set waits from now,
        // since that set may have granted a lease just before it sealed itself.
        let since = if self.stage == Stage::Joining || !rules.deciders.before.is_empty() {
            now
        } else {
            self.started
        };
        self.wait(rules, since, longest_ms.max(rules.lease_ms));
        self.base = self.base.max(ceiling);
        self.pending = Some(Kept {
            installation: rules.installation.clone(),
            name: self.me.name.clone(),
            generation: rules.deciders.generation,
            ceiling: self.base,
            longest_ms: longest_ms.max(rules.lease_ms),
            sealed: rules.deciders.generation,
        });
        self.stage = Stage::Waiting;
        out.news.push(News::Decider {
            stage: self.stage,
            above: self.base,
        });
    }

    fn vote_from_now(&mut self, out: &mut Out) {
        self.stage = Stage::Voting;
        out.news.push(News::Decider {
            stage: self.stage,
            above: self.base,
        });
    }

    /// The loop stood still for so long, or the clock jumped, over `was` or back: whether leases are over cannot be known, so
    /// those that ran are taken to run for as much longer.
    pub fn stood(&mut self, rules: &Rules, was: Time, now: Time, span: Micros) {
        let longest = self
            .disk
            .as_ref()
            .map_or(0, |k| k.longest_ms)
            .max(rules.lease_ms);
        let most = now.saturating_add(rules.lease_at_decider(longest));
        let later = |at: Time| {
            if now < was {
                most
            } else {
                at.saturating_add(span).min(most)
            }
        };
        for record in self.records.values_mut().filter(|r| r.ballot.runs(was)) {
            record.ballot.until = later(record.ballot.until);
        }
        if self.from > was {
            self.from = later(self.from);
        }
        (self.started, self.next_read) = (self.started.min(now), self.next_read.min(now));
    }

    /// Another decider asks how far this one has come.
    pub fn read(&mut self, rules: &Rules, now: Time, from: &Member, ceiling: Token, out: &mut Out) {
        let known = self
            .told
            .get(&from.address)
            .map_or(Token::NONE, |t| t.state.ceiling);
        // What is on disk is told, not what is to be: the promise must last.
        let state = State {
            generation: rules.deciders.generation,
            boot: from.boot,
            stage: match self.stage {
                Stage::Waiting if self.is_member(rules) => Stage::Waiting,
                Stage::Waiting if self.disk.is_some() => Stage::Joining,
                Stage::Waiting => Stage::Blank,
                stage => stage,
            },
            ceiling: self.ceiling(),
            longest_ms: self.disk.as_ref().map_or(0, |k| k.longest_ms),
            sealed: self.disk.as_ref().map_or(0, |k| k.sealed),
            yours: known,
        };
        out.send(from.address, &Body::State(state));
        // What it tells of itself is remembered, so that it can be told when it comes back with less.
        let decides = rules.deciders.at(&from.address).is_some();
        if decides && ceiling > known {
            self.remember(now, from, ceiling);
        }
    }

    fn remember(&mut self, now: Time, from: &Member, ceiling: Token) {
        let told = self.told.entry(from.address).or_insert_with(|| Told {
            state: State {
                generation: 0,
                boot: 0,
                stage: Stage::Blank,
                ceiling,
                longest_ms: 0,
                sealed: 0,
                yours: Token::NONE,
            },
            at: now,
        });
        told.state.ceiling = told.state.ceiling.max(ceiling);
        told.at = told.at.max(now);
    }

    /// Another decider has told how far it has come.
    pub fn state(
        &mut self,
        rules: &Rules,
        now: Time,
        from: &Member,
        mut state: State,
        out: &mut Out,
    ) {
        let set = &rules.deciders;
        let known = set
            .members
            .iter()
            .chain(&set.before)
            .any(|d| d.address == from.address);
        if !known
            || state.boot != self.me.boot
            || matches!(self.stage, Stage::Voting | Stage::Former)
        {
            return;
        }
        state.longest_ms = state.longest_ms.min(LONGEST);
        if let Some(before) = self.told.get(&from.address) {
            state.ceiling = state.ceiling.max(before.state.ceiling);
        }
        self.told.insert(from.address, Told { state, at: now });
        self.advance(rules, now, out);
    }

    /// A router asks for duties, or looks.
    #[expect(clippy::too_many_arguments, reason = "the parts of one message")]
    pub fn ask(
        &mut self,
        rules: &Rules,
        now: Time,
        from: &Member,
        stamp: u64,
        lease_ms: u32,
        items: Vec<Item>,
        out: &mut Out,
    ) {
        let who = from.holder();
        let renews = items.iter().any(|i| {
            self.records
                .get(&i.duty)
                .is_some_and(|r| r.ballot.holder == Some(who) && r.ballot.highest == i.token)
        });
        if !self.meter.take(now, if renews { 0.0 } else { SPARE }) {
            self.dropped += 1;
            return;
        }
        let lease_ms = u64::from(lease_ms);
        let mut answers = Vec::with_capacity(items.len());
        if self.stage == Stage::Voting && (1..=LONGEST).contains(&lease_ms) {
            for item in items {
                if let Some(answer) = self.one(rules, now, from, stamp, lease_ms, item, out) {
                    answers.push(answer);
                }
            }
        }
        let (generation, boot, stage) = (rules.deciders.generation, from.boot, self.stage);
        let make = |items| Body::Answers {
            generation,
            boot,
            stamp,
            stage,
            items,
        };
        for bytes in bodies(&answers, &make) {
            out.sends.push((from.address, bytes));
        }
    }

    #[expect(clippy::too_many_arguments, reason = "the parts of one message")]
    fn one(
        &mut self,
        rules: &Rules,
        now: Time,
        from: &Member,
        stamp: u64,
        lease_ms: u64,
        item: Item,
        out: &mut Out,
    ) -> Option<Answer> {
        let (who, duty) = (from.holder(), item.duty.clone());
        let base = self.base;
        if !self.records.contains_key(&duty)
            && (item.token == Token::NONE || self.records.len() >= DUTIES)
        {
            let word = if self.records.len() >= DUTIES {
                Word::Full
            } else {
                Word::Free
            };
            if word == Word::Full {
                out.news.push(News::Full { duty: duty.clone() });
            }
            return Some(Answer {
                duty,
                highest: base,
                word,
                mark: None,
            });
        }
        // The disk first: what it does not cover must not be decided on yet.
        if item.token != Token::NONE && !self.covered(rules, item.token, lease_ms) {
            if self.deferred.len() < WAITING {
                self.deferred
                    .push((from.clone(), stamp, lease_ms as u32, item));
            }
            return None;
        }
        let record = self.records.entry(duty.clone()).or_insert_with(|| Record {
            ballot: Ballot::new(base),
            mark: None,
            losses: VecDeque::new(),
            aside: 0,
            times: 0,
        });
        if let Some(span) = record.review(rules, now, &who) {
            out.news.push(News::SetAside {
                duty: duty.clone(),
                span,
            });
        }
        let was = record.ballot.highest;
        let left = |until: Time| u32::try_from((until - now).div_ceil(1_000)).unwrap_or(u32::MAX);
        let renews = record.ballot.runs(now) && record.ballot.holder == Some(who);
        let said = match item.token {
            _ if now < record.aside && !renews => {
                return Some(Answer {
                    duty,
                    highest: was,
                    word: Word::Aside {
                        left_ms: left(record.aside),
                    },
                    mark: None,
                });
            }
            Token::NONE if record.ballot.runs(now) => Said::Held,
            Token::NONE => Said::Older,
            token => record
                .ballot
                .ask(rules, now, &who, token, rules.lease_at_decider(lease_ms)),
        };
        let mut mark = None;
        if said == Said::Voted {
            if renews && was == item.token {
                record.take_mark(item.mark, item.token);
            }
            mark = record.mark.clone().filter(|m| m.token < item.token);
        }
        let word = match (said, record.ballot.holder) {
            (Said::Voted, _) => Word::Voted,
            (Said::Held, Some(by)) => Word::Held {
                by,
                left_ms: left(record.ballot.until),
            },
            _ => Word::Free,
        };
        Some(Answer {
            duty,
            highest: record.ballot.highest,
            word,
            mark,
        })
    }

    /// A router gives tokens back.
    pub fn release(&mut self, from: &Member, items: Vec<(Duty, Token)>) {
        for (duty, token) in items {
            if let Some(record) = self.records.get_mut(&duty) {
                record.ballot.release(&from.holder(), token);
            }
        }
    }

    /// An owner hands its duty to another.
    #[expect(clippy::too_many_arguments, reason = "the parts of one message")]
    pub fn pass(
        &mut self,
        rules: &Rules,
        now: Time,
        from: &Member,
        duty: Duty,
        token: Token,
        to: Holder,
        stamp: u64,
        lease_ms: u32,
        out: &mut Out,
    ) {
        let lease_ms = u64::from(lease_ms);
        if self.stage != Stage::Voting || !(1..=LONGEST).contains(&lease_ms) {
            return;
        }
        // It is sent again until the successor has it: there is no need to wait for the disk here.
        if !self.records.contains_key(&duty) || !self.covered(rules, token.next(), lease_ms) {
            return;
        }
        let Some(record) = self.records.get_mut(&duty) else {
            return;
        };
        if record.ballot.pass(
            now,
            &from.holder(),
            token,
            &to,
            rules.lease_at_decider(lease_ms),
        ) {
            let answer = Answer {
                duty,
                highest: token.next(),
                word: Word::Voted,
                mark: record.mark.clone(),
            };
            let body = Body::Answers {
                generation: rules.deciders.generation,
                boot: to.boot,
                stamp,
                stage: self.stage,
                items: vec![answer],
            };
            out.send(to.address, &body);
        }
    }
}

impl Record {
    fn take_mark(&mut self, mark: Option<Mark>, token: Token) {
        let Some(mark) = mark.filter(|m| m.token == token) else {
            return;
        };
        if self
            .mark
            .as_ref()
            .is_none_or(|m| (m.token, m.count) < (mark.token, mark.count))
        {
            self.mark = Some(mark);
        }
    }

    /// Looks whether the last owner is lost, and how many were. For how long it is set aside, where it is from now on.
    fn review(&mut self, rules: &Rules, now: Time, asks: &Holder) -> Option<Micros> {
        // Who asks was not lost by the duty: it was cut off, or merely slow.
        self.losses.retain(|(_, holder)| holder != asks);
        let lost = self.ballot.holder.filter(|_| now >= self.ballot.until)?;
        self.ballot.holder = None;
        if lost == *asks {
            return None;
        }
        let lapsed = self.ballot.until;
        self.losses.push_back((lapsed, lost));
        // Each of them could be replaced only when its lease was over.
        let within = WITHIN + LOSSES as u64 * rules.lease_at_decider(rules.lease_ms);
        while self.losses.front().is_some_and(|(at, _)| at + within < now)
            || self.losses.len() > LOSSES
        {
            self.losses.pop_front();
        }
        if now.saturating_sub(self.aside) > 10 * within {
            self.times = 0;
        }
        // Against: a duty that kills whoever does it goes through the whole fleet. Who was set aside before is tried once.
        let enough = if self.times > 0 { 1 } else { LOSSES };
        if self.losses.len() < enough || !rules.on(Guard::Aside) {
            return None;
        }
        let span = ms(rules.aside_ms)
            .saturating_mul(1 << self.times.min(16))
            .min(LONGEST_ASIDE);
        (self.aside, self.times) = (now + span, self.times + 1);
        self.losses.clear();
        Some(span)
    }
}
