//! A router's part in the duties: a candidate for all of them, and a decider where the settings list it.

use crate::ballot::Holder;
use crate::candidate::{Became, Begin, Chore, Passing};
use crate::decider::{Out, Seat};
use crate::kept::Kept;
use crate::meter::Meter;
use crate::news::{News, Why};
use crate::place::{Member, Placement, Wanted};
use crate::rules::{Guard, Rules};
use crate::wire::{Answer, Body, Item, MARK, Mark, Stage, bodies, read, write};
use plovercove::{Micros, Time};
use plovercove_fencing::{Duty, Token};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

/// News that nobody takes are forgotten beyond this: the oldest first.
const NEWS: usize = 1_024;
/// Successors that are offered a duty before it is given back.
const TRIES: usize = 3;
/// A router that owns too much hands over one duty in so many renewals' time.
const CALM: u64 = 2;
/// Share of the datagrams that is kept for renewals.
const SPARE: f64 = 0.3;

/// Counts since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Bodies sent to others.
    pub sent: u64,
    /// Their bytes.
    pub bytes: u64,
    /// Bodies that were none, or of another version.
    pub malformed: u64,
    /// Asks that were not sent or not answered since too many datagrams went out.
    pub dropped: u64,
    /// Duties won.
    pub won: u64,
    /// Duties lost.
    pub lost: u64,
}

/// A router's part in the duties.
pub struct Duties {
    rules: Rules,
    me: Member,
    chores: BTreeMap<Duty, Chore>,
    wanted: Vec<Wanted>,
    members: Vec<Member>,
    seen: BTreeMap<Holder, Member>,
    placement: Placement,
    seat: Option<Seat>,
    /// When each decider answered last that votes in this generation.
    reached: Vec<Option<Time>>,
    had_majority: Option<bool>,
    next_ping: Time,
    next_move: Time,
    /// The latest time that was handed in.
    clock: Time,
    next: Time,
    leaving: bool,
    out: Vec<(SocketAddr, Vec<u8>)>,
    /// What it has to say to itself.
    own: VecDeque<Vec<u8>>,
    news: VecDeque<News>,
    meter: Meter,
    counts: Counts,
    dice: Pcg64Mcg,
}

impl Duties {
    /// A router among this many. `kept` is what its file holds ([`Kept::read`]); none where there is none, or where it is
    /// no decider.
    pub fn new(
        rules: Rules,
        me: Member,
        routers: u32,
        now: Time,
        seed: u64,
        kept: Option<Kept>,
    ) -> Self {
        let mut dice = Pcg64Mcg::seed_from_u64(seed);
        let seat = Seat::new(&rules, &me, now, kept);
        let deciders = rules.deciders.members.len();
        // All of a fleet that starts at once must not ask at once.
        let first = if routers > 1 {
            dice.random_range(0..rules.renew().max(1))
        } else {
            0
        };
        let mut new = Duties {
            meter: Meter::new(rules.datagrams_per_s, now),
            reached: vec![None; deciders],
            chores: BTreeMap::new(),
            wanted: Vec::new(),
            members: vec![me.clone()],
            seen: BTreeMap::from([(me.holder(), me.clone())]),
            placement: Placement::default(),
            seat,
            had_majority: None,
            next_ping: now + first / 4,
            next_move: now,
            clock: now,
            next: now,
            leaving: false,
            out: Vec::new(),
            own: VecDeque::new(),
            news: VecDeque::new(),
            counts: Counts::default(),
            rules,
            me,
            dice,
        };
        if let Some(seat) = &new.seat {
            new.tell(News::Decider {
                stage: seat.stage(),
                above: Token::NONE,
            });
        }
        new
    }

    /// The settings.
    pub fn rules(&self) -> &Rules {
        &self.rules
    }

    /// Who this is.
    pub fn me(&self) -> &Member {
        &self.me
    }

    /// How far it has come as a decider; none where it is none.
    pub fn stage(&self) -> Option<Stage> {
        self.seat.as_ref().map(Seat::stage)
    }

    /// Counts since the start.
    pub fn counts(&self) -> Counts {
        let dropped = self.counts.dropped + self.seat.as_ref().map_or(0, |s| s.dropped);
        Counts {
            dropped,
            ..self.counts
        }
    }

    /// When [`Duties::turn`] is to be called next at the latest.
    pub fn next(&self) -> Time {
        self.next
    }

    /// Takes what is to be sent: bodies for [`carried::DUTY`](https://docs.rs/) parts of peers, and where to.
    pub fn out(&mut self) -> Vec<(SocketAddr, Vec<u8>)> {
        std::mem::take(&mut self.out)
    }

    /// Takes one piece of news.
    pub fn news(&mut self) -> Option<News> {
        self.news.pop_front()
    }

    fn tell(&mut self, news: News) {
        match news {
            News::Won { .. } => self.counts.won += 1,
            News::Lost { .. } => self.counts.lost += 1,
            _ => {}
        }
        if self.news.len() >= NEWS {
            self.news.pop_front();
        }
        self.news.push_back(news);
    }

    /// What there is to do, alike at all routers.
    pub fn want(&mut self, now: Time, mut wanted: Vec<Wanted>) {
        self.note(now);
        wanted.sort();
        wanted.dedup_by(|a, b| a.duty == b.duty);
        if wanted == self.wanted {
            return;
        }
        let gone: Vec<Duty> = self
            .chores
            .keys()
            .filter(|d| wanted.binary_search_by(|w| w.duty.cmp(d)).is_err())
            .cloned()
            .collect();
        for duty in gone {
            self.lose(now, &duty, Some(Why::Unwanted));
            self.chores.remove(&duty);
        }
        let deciders = self.rules.deciders.members.len();
        for one in &wanted {
            // The first asks come early, and not all at once.
            let due = now + self.dice.random_range(0..self.rules.ask().max(1));
            let new = || Chore::new(one.zone.clone(), deciders, due);
            self.chores
                .entry(one.duty.clone())
                .or_insert_with(new)
                .zone
                .clone_from(&one.zone);
        }
        self.wanted = wanted;
        self.place(now);
    }

    /// Who is seen; this router is always taken to be.
    pub fn members(&mut self, now: Time, mut members: Vec<Member>) {
        self.note(now);
        if !members.iter().any(|m| m.holder() == self.me.holder()) {
            members.push(self.me.clone());
        }
        members.sort();
        members.dedup();
        if members == self.members {
            return;
        }
        self.seen = members.iter().map(|m| (m.holder(), m.clone())).collect();
        self.members = members;
        self.place(now);
    }

    fn place(&mut self, now: Time) {
        self.placement = Placement::new(&self.wanted, &self.members);
        let ranks = self.placement.ranks(&self.wanted, &self.members, &self.me);
        for (wanted, rank) in self.wanted.iter().zip(ranks) {
            let jitter: f64 = self.dice.random();
            let Some(chore) = self.chores.get_mut(&wanted.duty) else {
                continue;
            };
            let (rose, sank) = (rank < chore.rank, rank > chore.rank);
            chore.rank = rank;
            if sank {
                chore.ranked(&self.rules, now, jitter);
            }
            if chore.hold.is_some() {
                continue;
            }
            let gone = chore
                .held()
                .is_some_and(|(by, _, _)| !self.seen.contains_key(&by));
            if gone {
                chore.vacant(&self.rules, now, jitter);
            } else if rose {
                let soon = (self.rules.renew() as f64 * jitter) as Micros;
                chore.due = chore.due.min(now + soon.saturating_mul(rank as u64 + 1));
            }
        }
        self.schedule();
    }

    /// Notices where the loop stood still or the clock jumped.
    fn note(&mut self, now: Time) {
        if now < self.clock {
            self.stood(now, self.clock - now);
        } else if now > self.late() {
            self.stood(now, now - self.next.max(self.clock));
        }
        self.clock = now;
    }

    /// A call after this means that the loop stood still.
    fn late(&self) -> Time {
        self.next.max(self.clock).saturating_add(self.rules.renew())
    }

    /// The loop stood still for so long, or the clock jumped: nothing is owned until it has been asked for again.
    pub fn stood(&mut self, now: Time, span: Micros) {
        if let Some(seat) = &mut self.seat {
            seat.stood(&self.rules, self.clock, now, span);
        }
        self.tell(News::Stood { span });
        let mut lost = Vec::new();
        for (duty, chore) in &mut self.chores {
            if let Some(token) = chore.stood(&self.rules, now) {
                lost.push((duty.clone(), token));
            }
        }
        if self.rules.on(Guard::Stood) {
            for (duty, token) in lost {
                self.tell(News::Lost {
                    duty,
                    token,
                    why: Why::Stood,
                });
            }
        }
        let clock = self.clock;
        self.reached
            .iter_mut()
            .flatten()
            .for_each(|at| *at = (*at).min(clock).min(now));
        (self.next_ping, self.next_move) = (now, self.next_move.min(now + self.rules.renew()));
        self.clock = now;
        self.next = now;
    }

    /// Whether this router may act for a duty now, and with which token: the last look at the clock before an effect.
    pub fn may_act(&self, now: Time, duty: &Duty) -> Option<Token> {
        let (token, until) = self.chores.get(duty)?.owns(&self.rules)?;
        // Against: an owner that was stopped since it last looked acts after its lease.
        if self.rules.on(Guard::Clock) && now >= until {
            return None;
        }
        // Against: the same, where its clock stood still or jumped.
        let stood = now < self.clock || now > self.late();
        (!stood || !self.rules.on(Guard::Stood)).then_some(token)
    }

    /// Who is believed to own a duty, and with which token: this router itself, or what deciders said of another.
    pub fn owner(&self, duty: &Duty) -> Option<(Member, Token)> {
        let chore = self.chores.get(duty)?;
        if let Some((token, until)) = chore.owns(&self.rules)
            && self.clock < until
        {
            return Some((self.me.clone(), token));
        }
        chore.owner.clone()
    }

    /// Another router was seen to act for a duty with this token, which a fence has let pass.
    pub fn heard(&mut self, duty: &Duty, from: &Member, token: Token) {
        if let Some(chore) = self.chores.get_mut(duty)
            && chore
                .owner
                .as_ref()
                .is_none_or(|(_, known)| *known <= token)
        {
            chore.owner = Some((from.clone(), token));
        }
    }

    /// What this router owns now.
    pub fn owned(&self, now: Time) -> impl Iterator<Item = (&Duty, Token)> {
        self.chores
            .keys()
            .filter_map(move |duty| Some((duty, self.may_act(now, duty)?)))
    }

    /// Whether too few deciders answer: then each router does the chores by itself, as without duties.
    pub fn alone(&self, now: Time) -> bool {
        let mut reached: Vec<Time> = self.reached.iter().flatten().copied().collect();
        reached.sort_unstable_by(|a, b| b.cmp(a));
        let last = reached.get(self.rules.deciders.majority().saturating_sub(1));
        last.is_none_or(|at| at.saturating_add(crate::ms(self.rules.lease_ms)) <= now)
    }

    /// Whether a duty is set aside since it killed its owners. Nobody should do it then, also not by itself.
    pub fn set_aside(&self, now: Time, duty: &Duty) -> bool {
        self.chores.get(duty).is_some_and(|c| c.is_aside(now))
    }

    /// What is done so far (64 bytes at the most): a new owner begins from there. The deciders have it one renewal later.
    /// Whether it was taken.
    pub fn finished(&mut self, duty: &Duty, mark: Vec<u8>) -> bool {
        let hold = self.chores.get_mut(duty).and_then(|c| c.hold.as_mut());
        let Some(hold) = hold.filter(|h| h.won && mark.len() <= MARK) else {
            return false;
        };
        let count = hold.mark.as_ref().map_or(0, |m| m.count).saturating_add(1);
        hold.mark = Some(Mark {
            token: hold.token,
            count,
            what: mark,
        });
        true
    }

    /// What the predecessor is known to have finished; none where nothing is known.
    pub fn begins_from(&self, duty: &Duty) -> Option<Begin> {
        let mark = self
            .chores
            .get(duty)?
            .hold
            .as_ref()
            .filter(|h| h.won)?
            .begins
            .as_ref()?;
        Some(Begin {
            token: mark.token,
            mark: mark.what.clone(),
        })
    }

    /// What must be on disk before the votes that wait for it leave; call [`Duties::kept`] when it is. It must be written
    /// whole and synced, beside the old file and then over it.
    pub fn to_keep(&mut self) -> Option<Vec<u8>> {
        self.seat.as_mut()?.take_file()
    }

    /// What [`Duties::to_keep`] gave last is on disk.
    pub fn kept(&mut self, now: Time) {
        self.note(now);
        self.seated(|seat, rules, out| seat.kept(rules, now, out));
        self.settle(now);
    }

    /// Hands over all that is owned, each to a successor that says it is ready; nothing is asked for any more.
    pub fn hand_over(&mut self, now: Time) {
        self.note(now);
        self.leaving = true;
        let all: Vec<Duty> = self.chores.keys().cloned().collect();
        for duty in all {
            let owns = self
                .chores
                .get(&duty)
                .is_some_and(|c| c.hold.as_ref().is_some_and(|h| h.won));
            if owns {
                self.offer(now, &duty, 0);
            } else {
                self.lose(now, &duty, None);
            }
        }
        self.settle(now);
    }

    /// Whether a hand-over is still under way.
    pub fn handing(&self) -> bool {
        self.chores
            .values()
            .any(|c| c.hold.as_ref().is_some_and(|h| h.passing.is_some()))
    }

    /// Offers a duty to the next that should own it.
    fn offer(&mut self, now: Time, duty: &Duty, tries: usize) {
        let Some(chore) = self.chores.get_mut(duty) else {
            return;
        };
        let Some(hold) = chore.hold.as_mut() else {
            return;
        };
        let wanted = Wanted {
            duty: duty.clone(),
            zone: chore.zone.clone(),
        };
        let order = self.placement.order(&wanted, &self.members);
        let to = order
            .into_iter()
            .filter(|m| m.address != self.me.address)
            .nth(tries)
            .cloned();
        let Some(to) = to.filter(|_| tries < TRIES) else {
            hold.passing = None;
            if self.leaving {
                let token = hold.token;
                self.lose(now, duty, None);
                self.tell(News::GivenBack {
                    duty: duty.clone(),
                    token,
                });
            }
            return;
        };
        hold.passing = Some(Passing {
            to,
            tries,
            since: now,
            sent: now,
            ready: None,
        });
        self.send_passing(duty);
    }

    /// Sends what a hand-over has to send now.
    fn send_passing(&mut self, duty: &Duty) {
        let Some(hold) = self.chores.get(duty).and_then(|c| c.hold.as_ref()) else {
            return;
        };
        let Some(passing) = &hold.passing else { return };
        let (generation, token, duty) = (self.rules.deciders.generation, hold.token, duty.clone());
        let to = passing.to.holder();
        match passing.ready {
            None => {
                let body = Body::Offer {
                    generation,
                    duty,
                    token,
                    mark: hold.work(),
                };
                self.send(to.address, &body);
            }
            Some((stamp, lease_ms)) => {
                self.tell_deciders(&Body::Pass {
                    generation,
                    duty,
                    token,
                    to,
                    stamp,
                    lease_ms,
                });
            }
        }
    }

    /// Gives up what is held or asked for of a duty, and tells the deciders.
    fn lose(&mut self, now: Time, duty: &Duty, why: Option<Why>) {
        let jitter: f64 = self.dice.random();
        let Some(chore) = self.chores.get_mut(duty) else {
            return;
        };
        let owned = chore.owns(&self.rules).map(|(token, _)| token);
        let Some(token) = chore.drop_hold(&self.rules, now, jitter) else {
            return;
        };
        if let Some(why) = why.filter(|why| owned.is_some() || *why == Why::Lapsed) {
            self.tell(News::Lost {
                duty: duty.clone(),
                token: owned.unwrap_or(token),
                why,
            });
        }
        let generation = self.rules.deciders.generation;
        self.tell_deciders(&Body::Release {
            generation,
            items: vec![(duty.clone(), token)],
        });
    }

    fn send(&mut self, to: SocketAddr, body: &Body) {
        if let Some(bytes) = write(body) {
            self.send_bytes(to, bytes);
        }
    }

    fn send_bytes(&mut self, to: SocketAddr, bytes: Vec<u8>) {
        if to == self.me.address {
            self.own.push_back(bytes);
            return;
        }
        self.counts.sent += 1;
        self.counts.bytes += bytes.len() as u64;
        self.out.push((to, bytes));
    }

    fn tell_deciders(&mut self, body: &Body) {
        let Some(bytes) = write(body) else { return };
        for n in 0..self.rules.deciders.members.len() {
            self.send_bytes(self.rules.deciders.members[n].address, bytes.clone());
        }
    }

    fn seated(&mut self, act: impl FnOnce(&mut Seat, &Rules, &mut Out)) {
        let Some(seat) = &mut self.seat else { return };
        let mut out = Out::default();
        act(seat, &self.rules, &mut out);
        out.news.into_iter().for_each(|news| self.tell(news));
        for (to, bytes) in out.sends {
            self.send_bytes(to, bytes);
        }
    }

    /// A body came from another. `late` is how much longer it was under way than the fastest from there (us).
    pub fn receive(&mut self, now: Time, from: &Member, body: &[u8], late: Micros) {
        self.note(now);
        self.take(now, from, body, late);
        self.settle(now);
    }

    /// What this router says to itself is heard at once.
    fn settle(&mut self, now: Time) {
        let me = self.me.clone();
        while let Some(body) = self.own.pop_front() {
            self.take(now, &me, &body, 0);
        }
        self.schedule();
    }

    fn take(&mut self, now: Time, from: &Member, body: &[u8], late: Micros) {
        let Some(body) = read(body) else {
            self.counts.malformed += 1;
            return;
        };
        let ours = self.rules.deciders.generation;
        match body {
            Body::Ask {
                generation,
                stamp,
                lease_ms,
                items,
            } => {
                // What is so late would make a lease that is almost over: it only keeps others out.
                if late > crate::ms(u64::from(lease_ms)) / 2 {
                    return;
                }
                let items = if generation == ours {
                    items
                } else {
                    Vec::new()
                };
                self.seated(|seat, rules, out| {
                    seat.ask(rules, now, from, stamp, lease_ms, items, out)
                });
            }
            Body::Answers {
                generation,
                boot,
                stamp,
                stage,
                items,
            } if boot == self.me.boot && generation == ours && stamp <= now => {
                self.answers(now, from, stamp, stage, items);
            }
            Body::Release { generation, items } if generation == ours => {
                self.seated(|seat, _, _| seat.release(from, items));
            }
            Body::Offer {
                generation,
                duty,
                token,
                mark,
            } if generation == ours => {
                self.offered(now, from, duty, token, mark);
            }
            Body::Ready {
                generation,
                duty,
                token,
                stamp,
                lease_ms,
            } if generation == ours => {
                let hold = self.chores.get_mut(&duty).and_then(|c| c.hold.as_mut());
                let Some(hold) = hold.filter(|h| h.won && h.token == token) else {
                    return;
                };
                let Some(passing) = hold.passing.as_mut() else {
                    return;
                };
                if passing.to.holder() != from.holder() || passing.ready.is_some() {
                    return;
                }
                (passing.ready, passing.since, passing.sent) = (Some((stamp, lease_ms)), now, now);
                self.send_passing(&duty);
            }
            Body::Pass {
                generation,
                duty,
                token,
                to,
                stamp,
                lease_ms,
            } if generation == ours => {
                self.seated(|seat, rules, out| {
                    seat.pass(rules, now, from, duty, token, to, stamp, lease_ms, out);
                });
            }
            Body::Took {
                generation,
                duty,
                token,
            } if generation == ours => self.took(now, from, &duty, token),
            Body::Read {
                generation,
                ceiling,
            } if generation == ours => {
                self.seated(|seat, rules, out| seat.read(rules, now, from, ceiling, out));
            }
            Body::State(state) if state.generation == ours => {
                self.seated(|seat, rules, out| seat.state(rules, now, from, state, out));
            }
            _ => {}
        }
    }

    fn answers(&mut self, now: Time, from: &Member, stamp: Time, stage: Stage, items: Vec<Answer>) {
        let Some(decider) = self.rules.deciders.at(&from.address) else {
            return;
        };
        if stage == Stage::Voting {
            self.reached[decider] = self.reached[decider].max(Some(stamp));
        }
        for answer in items {
            let jitter: f64 = self.dice.random();
            let duty = answer.duty.clone();
            let Some(chore) = self.chores.get_mut(&duty) else {
                continue;
            };
            let was_aside = chore.is_aside(now);
            match chore.answer(&self.rules, now, decider, stamp, answer, jitter) {
                Became::Nothing => {}
                Became::Won => {
                    self.won(&duty);
                    continue;
                }
                Became::Refused => {
                    self.lose(now, &duty, Some(Why::Refused));
                    continue;
                }
            }
            if chore.is_aside(now) && !was_aside {
                let span = chore.due.saturating_sub(now);
                self.tell(News::SetAside { duty, span });
                continue;
            }
            if chore.hold.is_some() {
                continue;
            }
            if let Some((by, token, until)) = chore.held() {
                let unknown = || Member {
                    name: String::new(),
                    zone: String::new(),
                    address: by.address,
                    boot: by.boot,
                };
                let seen = self.seen.get(&by).cloned();
                if until > now
                    && chore
                        .owner
                        .as_ref()
                        .is_none_or(|(_, known)| *known <= token)
                {
                    chore.owner = Some((seen.clone().unwrap_or_else(unknown), token));
                }
                if seen.is_none() {
                    chore.vacant(&self.rules, now, jitter);
                }
            }
        }
    }

    fn won(&mut self, duty: &Duty) {
        let Some(hold) = self.chores.get(duty).and_then(|c| c.hold.as_ref()) else {
            return;
        };
        let (token, begins) = (hold.token, hold.begins.as_ref().map(|m| m.token));
        self.tell(News::Won {
            duty: duty.clone(),
            token,
            begins,
        });
        if let Some((from, before)) = self.chores.get_mut(duty).and_then(|c| c.owner.take())
            && before.next() == token
            && from.holder() != self.me.holder()
        {
            let generation = self.rules.deciders.generation;
            let body = Body::Took {
                generation,
                duty: duty.clone(),
                token,
            };
            self.send(from.address, &body);
        }
    }

    /// Another would hand a duty over to this router.
    fn offered(&mut self, now: Time, from: &Member, duty: Duty, token: Token, mark: Option<Mark>) {
        let Some(chore) = self.chores.get_mut(&duty).filter(|_| !self.leaving) else {
            return;
        };
        let generation = self.rules.deciders.generation;
        match &chore.hold {
            Some(hold) if hold.won && hold.token == token.next() => {
                return self.send(
                    from.address,
                    &Body::Took {
                        generation,
                        duty,
                        token: token.next(),
                    },
                );
            }
            Some(hold) if hold.token > token.next() || hold.won => return,
            _ => {}
        }
        chore.expect(&self.rules, now, token.next(), mark);
        chore.owner = Some((from.clone(), token));
        let lease_ms = self.rules.lease_ms as u32;
        self.send(
            from.address,
            &Body::Ready {
                generation,
                duty,
                token,
                stamp: now,
                lease_ms,
            },
        );
    }

    fn took(&mut self, now: Time, from: &Member, duty: &Duty, token: Token) {
        let Some(chore) = self.chores.get_mut(duty) else {
            return;
        };
        let Some(hold) = chore.hold.as_ref().filter(|h| h.token.next() == token) else {
            return;
        };
        let Some(passing) = hold
            .passing
            .as_ref()
            .filter(|p| p.to.holder() == from.holder())
        else {
            return;
        };
        let (to, token) = (passing.to.clone(), hold.token);
        let jitter: f64 = self.dice.random();
        chore.drop_hold(&self.rules, now, jitter);
        chore.owner = Some((to.clone(), token.next()));
        chore.due = now + self.rules.renew();
        self.tell(News::HandedOver {
            duty: duty.clone(),
            token,
            to,
        });
    }

    /// Does what is due.
    pub fn turn(&mut self, now: Time) {
        self.note(now);
        self.seated(|seat, rules, out| seat.turn(rules, now, out));
        self.settle(now);
        self.expire(now);
        self.pass_on(now);
        self.balance(now);
        self.asks(now);
        self.settle(now);
        let majority = !self.alone(now);
        if self.had_majority.unwrap_or(false) != majority {
            self.tell(if majority {
                News::Majority
            } else {
                News::NoMajority
            });
            self.had_majority = Some(majority);
        }
    }

    fn expire(&mut self, now: Time) {
        let over: Vec<_> = self
            .chores
            .iter_mut()
            .filter_map(|(duty, chore)| Some((duty.clone(), chore.expire(&self.rules, now)?)))
            .collect();
        for (duty, why) in over {
            self.lose(now, &duty, why);
        }
    }

    /// Goes on with hand-overs: sends again, or takes the next successor.
    fn pass_on(&mut self, now: Time) {
        let ask = self.rules.ask();
        let due = |c: &Chore| {
            let passing = c.hold.as_ref()?.passing.as_ref()?;
            (passing.sent + ask <= now)
                .then(|| (passing.tries, passing.since, passing.ready.is_some()))
        };
        let all: Vec<_> = self
            .chores
            .iter()
            .filter_map(|(d, c)| Some((d.clone(), due(c)?)))
            .collect();
        for (duty, (tries, since, ready)) in all {
            if !ready && since + 2 * ask <= now {
                self.offer(now, &duty, tries + 1);
                continue;
            }
            if ready && since + self.rules.patience() <= now {
                let token = self
                    .chores
                    .get(&duty)
                    .and_then(|c| c.hold.as_ref())
                    .map(|h| h.token);
                self.lose(now, &duty, None);
                if let Some(token) = token {
                    self.tell(News::GivenBack { duty, token });
                }
                continue;
            }
            let hold = self.chores.get_mut(&duty).and_then(|c| c.hold.as_mut());
            if let Some(passing) = hold.and_then(|h| h.passing.as_mut()) {
                passing.sent = now;
            }
            self.send_passing(&duty);
        }
    }

    /// Hands something over where this router owns more than the spread allows.
    fn balance(&mut self, now: Time) {
        if now < self.next_move || self.leaving {
            return;
        }
        let jitter: f64 = self.dice.random();
        self.next_move =
            now + CALM * self.rules.renew() + (jitter * self.rules.renew() as f64) as Micros;
        let own = self
            .chores
            .values()
            .filter(|c| c.hold.as_ref().is_some_and(|h| h.won))
            .count();
        if own <= self.placement.most() || self.handing() {
            return;
        }
        let elsewhere = |(duty, chore): (&Duty, &Chore)| {
            let won = chore.hold.as_ref().is_some_and(|h| h.won);
            (won && self.placement.first(duty) != Some(self.me.address)).then(|| duty.clone())
        };
        if let Some(duty) = self.chores.iter().find_map(elsewhere) {
            self.offer(now, &duty, 0);
        }
    }

    /// Asks all deciders for what is due, and for what will be soon, in as few bodies as hold it.
    fn asks(&mut self, now: Time) {
        // As far ahead as the next ping: a look at what others own never costs a datagram of its own.
        let ahead = self.rules.renew();
        let due = self
            .chores
            .values()
            .any(|c| c.due <= now && c.wants(now, 0));
        if (!due && now < self.next_ping) || (self.leaving && !self.handing()) {
            return;
        }
        let owns = self
            .chores
            .values()
            .any(|c| c.hold.as_ref().is_some_and(|h| h.won) && c.due <= now);
        if !self.meter.take(now, if owns { 0.0 } else { SPARE }) {
            self.counts.dropped += 1;
            let later = now + self.rules.ask();
            self.chores
                .values_mut()
                .filter(|c| c.due <= now)
                .for_each(|c| c.due = later);
            self.next_ping = self.next_ping.max(later);
            return;
        }
        let mut items = Vec::new();
        for (duty, chore) in &mut self.chores {
            if (self.leaving && chore.hold.is_none()) || !chore.wants(now, ahead) {
                continue;
            }
            let (token, mark) = chore.item(&self.rules, now);
            chore.plan(&self.rules, now, self.dice.random());
            items.push(Item {
                duty: duty.clone(),
                token,
                mark,
            });
        }
        let jitter: f64 = self.dice.random();
        self.next_ping = now + (self.rules.renew() as f64 * (0.9 + 0.1 * jitter)) as Micros;
        let (generation, lease_ms) = (self.rules.deciders.generation, self.rules.lease_ms as u32);
        let make = |items| Body::Ask {
            generation,
            stamp: now,
            lease_ms,
            items,
        };
        for bytes in bodies(&items, &make) {
            for n in 0..self.rules.deciders.members.len() {
                self.send_bytes(self.rules.deciders.members[n].address, bytes.clone());
            }
        }
    }

    /// Finds when something is due next.
    fn schedule(&mut self) {
        let rules = &self.rules;
        let of = |c: &Chore| {
            let passing = c
                .hold
                .as_ref()
                .and_then(|h| h.passing.as_ref())
                .map(|p| p.sent + rules.ask());
            let ends = c.ends(rules);
            let ready = c
                .hold
                .as_ref()
                .and_then(|h| h.passing.as_ref())
                .is_some_and(|p| p.ready.is_some());
            let due = if ready || (self.leaving && c.hold.is_none()) {
                Time::MAX
            } else {
                c.due
            };
            due.min(passing.unwrap_or(Time::MAX))
                .min(ends.unwrap_or(Time::MAX))
        };
        let chores = self.chores.values().map(of).min().unwrap_or(Time::MAX);
        let seat = self.seat.as_ref().map_or(Time::MAX, Seat::next);
        let ping = if self.leaving {
            Time::MAX
        } else {
            self.next_ping
        };
        self.next = chores.min(seat).min(ping);
    }
}
