//! What a router does for the fleet: it owns duties, asks the nodes of the groups that it watches, tells the gateways what
//! they answered, is its zone's gateway where that is its duty, and learns from the others' watches. Without a `duties`
//! block in the operators' file none of it is there.
//!
//! It opens nothing: messages go by the socket and within the budget of [`crate::gossip`], questions by the connections of
//! [`crate::upstream`].

mod file;
mod nodes;
mod tell;
mod terms;
mod watch;

pub use file::{FileFault, StateFile, WriteCounts};
pub use terms::{LeaseTasksBlock, LeaseTasksConfig, TermsFault};

use crate::clock::Clock;
use crate::upstream::{LeaseCheck, NodeQuery, QueryOutcome};
use nodes::Nodes;
use plovercove::{GroupId, Micros, Time};
use plovercove_engine::Engine;
use plovercove_fanout::{self as fanout, Client, Fault, Gateway, Publisher, Subscriber, Topic};
use plovercove_fencing::{FenceError, LeaseName, Token};
use plovercove_gossip::{Incarnation, ReceivedPart, payload_kind};
use plovercove_leases::{LeaseManager, Member, WantedLease};
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use watch::{Watches, decode_item};

/// What this router's parts say to each other in one turn is heard in this many rounds at the most; the rest waits for the
/// next turn. A question and its answer are two.
const ROUNDS: usize = 8;
/// Refused owners that are remembered, so that each is told once: more duties than a fleet has.
const TOLD: usize = 4_096;

/// What was counted since the start.
#[derive(Clone, Copy, Debug, Default)]
struct Counts {
    asked: u64,
    unasked: u64,
    told: u64,
    learned: u64,
    other_life: u64,
    unread: u64,
    unsent: u64,
}

/// A router's part in the fleet's work.
pub struct LeaseTasks {
    clock: Clock,
    terms: LeaseTasksConfig,
    me: Member,
    duties: Rc<RefCell<LeaseManager>>,
    file: Option<StateFile>,
    client: Client,
    publisher: Publisher,
    /// Its zone's gateway, and the duty of it; none where the zone's name can be no duty's.
    gateway: Option<(LeaseName, Gateway)>,
    watches: Watches,
    watching: BTreeSet<GroupId>,
    nodes: Nodes,
    members: Vec<Member>,
    zones: Vec<(String, LeaseName)>,
    gateways: Vec<SocketAddr>,
    asks: Vec<NodeQuery>,
    out: Vec<(SocketAddr, u8, Vec<u8>)>,
    own: VecDeque<(u8, Vec<u8>)>,
    refused: BTreeMap<LeaseName, Token>,
    counts: Counts,
}

fn positions(group: GroupId) -> String {
    format!("positions/{group}")
}

fn member(life: &Incarnation) -> Member {
    Member {
        name: life.name.clone(),
        zone: life.zone.clone(),
        address: life.address,
        incarnation: life.boot,
    }
}

impl LeaseTasks {
    /// A router that owns nothing yet. Reads the decider's file where it is one.
    pub fn new(
        terms: LeaseTasksConfig,
        me: &Incarnation,
        routers: u32,
        clock: Clock,
        seed: u64,
    ) -> Self {
        let now = clock.now();
        let me = member(me);
        let here = |d: &plovercove_leases::VoterConfig| d.address == me.address;
        let deciders = &terms.rules.voters;
        let (mut file, mut kept) = (None, None);
        if deciders.members.iter().chain(&deciders.previous).any(here) {
            match &terms.file {
                Some(path) => {
                    let (found, read) = StateFile::read(path, &terms.rules, &me.name);
                    kept = read.unwrap_or_else(|fault| {
                        tell::file(&fault);
                        None
                    });
                    file = Some(found);
                }
                // Danger: a vote that is on no disk is forgotten at the next start, and given twice. It never leaves.
                None => tell::no_file(),
            }
        }
        let gateway = LeaseName::new(&format!("gateway/{}", me.zone))
            .ok()
            .and_then(|duty| {
                let made =
                    Gateway::new(terms.fanout.clone(), &me.zone, me.address, now, seed ^ 1).ok()?;
                Some((duty, made))
            });
        if gateway.is_none() {
            tell::zone(&me.zone);
        }
        let subscriber = Subscriber {
            name: me.name.as_str().into(),
            boot: me.incarnation,
            address: me.address,
            zone: me.zone.as_str().into(),
        };
        let duties = LeaseManager::new(
            terms.rules.clone(),
            me.clone(),
            routers,
            now,
            seed ^ 2,
            kept,
        );
        LeaseTasks {
            clock,
            duties: Rc::new(RefCell::new(duties)),
            file,
            client: Client::new(terms.fanout.clone(), subscriber, now, seed ^ 3),
            publisher: Publisher::new(terms.fanout.clone(), now, seed ^ 4),
            gateway,
            watches: Watches::new(terms.watch_interval),
            watching: BTreeSet::new(),
            nodes: Nodes::default(),
            members: vec![me.clone()],
            zones: Vec::new(),
            gateways: Vec::new(),
            asks: Vec::new(),
            out: Vec::new(),
            own: VecDeque::new(),
            refused: BTreeMap::new(),
            counts: Counts::default(),
            me,
            terms,
        }
    }

    /// What it was made with.
    pub fn terms(&self) -> &LeaseTasksConfig {
        &self.terms
    }

    /// The list has changed.
    pub fn listed(&mut self, now: Time, engine: &Engine) {
        self.nodes = Nodes::from_engine(engine);
        self.want(now);
    }

    /// Who is there has changed.
    pub fn seen<'a>(&mut self, now: Time, others: impl Iterator<Item = &'a Incarnation>) {
        self.members = others.map(member).chain([self.me.clone()]).collect();
        self.duties
            .borrow_mut()
            .set_members(now, self.members.clone());
        self.want(now);
    }

    /// What there is to do: a watch for each group of the list, a gateway for each zone that has a node or a router.
    fn want(&mut self, now: Time) {
        let mut wanted = Vec::new();
        let groups = self.nodes.groups();
        for group in &groups {
            wanted.extend(LeaseName::new(&positions(*group)).map(|duty| WantedLease {
                lease: duty,
                zone: None,
            }));
        }
        let zones: BTreeSet<&String> = self
            .members
            .iter()
            .map(|m| &m.zone)
            .chain(self.nodes.zones())
            .collect();
        // A zone whose name no duty can have has no gateway; its routers do without, and say so.
        let gate = |zone: &&String| {
            Some((
                zone.to_string(),
                LeaseName::new(&format!("gateway/{zone}")).ok()?,
            ))
        };
        self.zones = zones.iter().filter_map(gate).collect();
        wanted.extend(self.zones.iter().map(|(zone, duty)| WantedLease {
            lease: duty.clone(),
            zone: Some(zone.clone()),
        }));
        self.duties.borrow_mut().set_wanted(now, wanted);
        if groups != self.watching {
            for group in self.watching.difference(&groups) {
                Topic::new(&positions(*group))
                    .iter()
                    .for_each(|topic| self.client.unsubscribe(topic));
            }
            for group in groups.difference(&self.watching) {
                let Ok(topic) = Topic::new(&positions(*group)) else {
                    continue;
                };
                if let Err(fault) = self.client.subscribe(&topic) {
                    tell::fault(&fault);
                    break;
                }
            }
            self.watching = groups;
        }
    }

    /// The loop stood still.
    pub fn stood(&mut self, now: Time, span: Micros) {
        self.duties.borrow_mut().handle_stall(now, span);
    }

    /// A part came.
    pub fn arrived(&mut self, now: Time, part: ReceivedPart) {
        match part.kind {
            payload_kind::LEASE => {
                self.duties
                    .borrow_mut()
                    .receive(now, &member(&part.from), &part.body, part.late);
            }
            payload_kind::FANOUT => self.fanout(now, part.from.address, &part.body, part.late),
            _ => {}
        }
    }

    /// One router may be gateway, owner and subscriber: each takes what is for it.
    fn fanout(&mut self, now: Time, from: SocketAddr, body: &[u8], late: Micros) {
        let gateway = self
            .gateway
            .as_mut()
            .map_or(Ok(()), |(_, g)| g.receive(now, from, body, late));
        let publisher = self.publisher.receive(now, from, body, late);
        // The client tells in its news whom it refused.
        let _ = self.client.receive(now, from, body, late);
        match gateway {
            Err(Fault::Refused(why)) => self.refuse(&why),
            Err(Fault::Unread { .. }) => self.counts.unread += 1,
            _ => {}
        }
        if let Err(Fault::Refused(why)) = publisher {
            self.refuse(&why);
        }
    }

    /// Tells of an old owner, once for each of its tokens: it may go on for long.
    fn refuse(&mut self, why: &FenceError) {
        let FenceError::Older {
            lease: duty,
            token: told,
            ..
        } = why
        else {
            return tell::refused(why);
        };
        if self.refused.len() >= TOLD {
            self.refused.clear();
        }
        if self.refused.insert(duty.clone(), *told) != Some(*told) {
            tell::refused(why);
        }
    }

    /// What became of a question.
    pub fn heard(&mut self, now: Time, heard: QueryOutcome) {
        let Some((group, started)) = self.nodes.group_and_start(&heard.node) else {
            return;
        };
        self.counts.unasked += u64::from(heard.answer.is_none());
        self.watches
            .end_query(now, group, &heard.node, started, heard.answer);
    }

    /// Does what is due, and whatever follows from it.
    pub fn turn(&mut self, now: Time, engine: &mut Engine) {
        self.duties.borrow_mut().turn(now);
        self.take_on(now);
        self.ask(now);
        self.publish(now);
        self.publisher.turn(now);
        self.client.turn(now);
        if let Some((_, gateway)) = self.gateway.as_mut().filter(|(_, g)| g.holds_lease()) {
            gateway.turn(now);
        }
        for _ in 0..ROUNDS {
            self.keep(now);
            self.post();
            if self.own.is_empty() {
                break;
            }
            for (kind, body) in std::mem::take(&mut self.own) {
                match kind {
                    payload_kind::FANOUT => self.fanout(now, self.me.address, &body, 0),
                    _ => self.duties.borrow_mut().receive(now, &self.me, &body, 0),
                }
            }
        }
        self.learn(engine);
        while let Some(news) = self.duties.borrow_mut().take_event() {
            tell::duties(&news);
        }
        while let Some(why) = self.publisher.take_rejection() {
            self.refuse(&why);
        }
    }

    /// What this router owns now, and whom it turns to.
    fn take_on(&mut self, now: Time) {
        let duties = self.duties.borrow();
        let mut owned = BTreeMap::new();
        for group in &self.watching {
            if let Ok(duty) = LeaseName::new(&positions(*group))
                && let Some(token) = duties.may_act(now, &duty)
            {
                owned.insert(*group, token);
            }
        }
        for group in self.watches.set_held(now, &owned) {
            LeaseName::new(&positions(group))
                .iter()
                .for_each(|duty| self.publisher.drop_lease(duty));
        }
        // A gateway of another zone than its own tells nobody: its zone has no router.
        let at = |(zone, duty): &(String, LeaseName)| {
            duties
                .holder(duty)
                .filter(|(owner, _)| owner.zone == *zone)
                .map(|(owner, _)| owner.address)
        };
        let gateways: Vec<SocketAddr> = self.zones.iter().filter_map(at).collect();
        if gateways != self.gateways {
            self.publisher.set_gateways(now, &gateways);
            self.gateways = gateways;
        }
        if let Some((duty, gateway)) = &mut self.gateway {
            gateway.set_token(now, duties.may_act(now, duty));
            if let Some((owner, _)) = duties.holder(duty) {
                self.client.set_gateway(now, owner.address);
            }
        }
    }

    /// Asks the nodes of the groups whose turn it is.
    fn ask(&mut self, now: Time) {
        for (group, token) in self.watches.take_due(now) {
            let Ok(duty) = LeaseName::new(&positions(group)) else {
                continue;
            };
            // Against: an owner that stood still since this turn began, or whose question waited for a connection, asks
            // after its lease. A node cannot look at a token, so the clock is read anew when the question leaves.
            let (duties, clock) = (self.duties.clone(), self.clock);
            let lease_check: LeaseCheck =
                Rc::new(move || duties.borrow().may_act(clock.now(), &duty) == Some(token));
            for node in self.nodes.serving(group) {
                if self.watches.begin_query(now, group, node) {
                    self.counts.asked += 1;
                    self.asks.push(NodeQuery {
                        node: node.clone(),
                        lease_check: lease_check.clone(),
                    });
                }
            }
        }
    }

    /// Tells what nodes answered.
    fn publish(&mut self, now: Time) {
        for (group, token, item) in self.watches.take_items(now) {
            let name = positions(group);
            let (Ok(duty), Ok(topic)) = (LeaseName::new(&name), Topic::new(&name)) else {
                continue;
            };
            match self.publisher.publish(now, &topic, &duty, token, &item) {
                Ok(_) => self.counts.told += 1,
                Err(Fault::Refused(why)) => self.refuse(&why),
                Err(fault) => tell::fault(&fault),
            }
        }
    }

    /// Writes the decider's file where votes wait for it.
    fn keep(&mut self, now: Time) {
        let Some(file) = &mut self.file else { return };
        let fresh = self.duties.borrow_mut().take_pending_write();
        match file.persist(now, fresh) {
            Ok(true) => self.duties.borrow_mut().complete_write(now),
            Ok(false) => {}
            Err(fault) => tell::file(&fault),
        }
    }

    /// What all parts have to say; what is for this router itself takes no way over the network.
    fn post(&mut self) {
        let duties = self
            .duties
            .borrow_mut()
            .take_outbox()
            .into_iter()
            .map(|(to, body)| (to, payload_kind::LEASE, body));
        let mut all: Vec<_> = duties.collect();
        let fanout = [
            self.publisher.take_outbox(),
            self.client.take_outbox(),
            self.gateway
                .as_mut()
                .map(|(_, g)| g.take_outbox())
                .unwrap_or_default(),
        ];
        all.extend(
            fanout
                .into_iter()
                .flatten()
                .map(|(to, body)| (to, payload_kind::FANOUT, body)),
        );
        for (to, kind, body) in all {
            if to == self.me.address {
                self.own.push_back((kind, body));
            } else {
                self.out.push((to, kind, body));
            }
        }
    }

    /// Takes what the watches' owners told of nodes as evidence, as old as it is.
    fn learn(&mut self, engine: &mut Engine) {
        while let Some(news) = self.client.take_event() {
            let fanout::SubscriptionEvent::Item {
                topic, age, body, ..
            } = news
            else {
                match &news {
                    fanout::SubscriptionEvent::SenderRejected { error } => self.refuse(error),
                    other => tell::fanout(other),
                }
                continue;
            };
            let Some(group) = topic
                .name()
                .strip_prefix("positions/")
                .and_then(|g| g.parse().ok())
            else {
                continue;
            };
            let Some(statuses) = decode_item(&body) else {
                self.counts.unread += 1;
                continue;
            };
            for status in statuses {
                let Some((node, own)) = self.nodes.find_reported(group, &status) else {
                    continue;
                };
                if !own {
                    self.counts.other_life += 1;
                    continue;
                }
                self.counts.learned += 1;
                engine.health_check_ended(node.clone(), Some(status.to_report(age)));
            }
        }
    }

    /// Takes the questions that are to be asked.
    pub fn take_asks(&mut self) -> Vec<NodeQuery> {
        std::mem::take(&mut self.asks)
    }

    /// Takes what is to be sent: where to, which kind of part, and the body.
    pub fn take_out(&mut self) -> Vec<(SocketAddr, u8, Vec<u8>)> {
        std::mem::take(&mut self.out)
    }

    /// A body was not sent: the budget of peers is spent.
    pub fn unsent(&mut self) {
        self.counts.unsent += 1;
    }

    /// When something is due.
    pub fn next(&self) -> Time {
        let gateway = self
            .gateway
            .as_ref()
            .filter(|(_, g)| g.holds_lease())
            .map_or(Time::MAX, |(_, g)| g.next_turn());
        let file = self
            .file
            .as_ref()
            .map_or(Time::MAX, StateFile::next_deadline);
        let own = if self.own.is_empty() { Time::MAX } else { 0 };
        [
            self.duties.borrow().next_turn(),
            self.client.next_turn(),
            self.publisher.next_turn(),
            self.watches.next_deadline(),
            gateway,
            file,
            own,
        ]
        .into_iter()
        .fold(Time::MAX, Time::min)
    }

    /// This router ends: what it owns goes to others, and nobody needs to tell it anything.
    pub fn hand_over(&mut self, now: Time) {
        self.client.leave(now);
        self.duties.borrow_mut().hand_over_all(now);
    }

    /// Whether something is still being handed over.
    pub fn handing(&self) -> bool {
        self.duties.borrow().is_handing_over()
    }

    /// Tells the log what it does, and what it believes that others do.
    pub fn dump(&self, now: Time) {
        let duties = self.duties.borrow();
        let mut owners = Vec::new();
        for duty in self
            .watching
            .iter()
            .filter_map(|g| LeaseName::new(&positions(*g)).ok())
        {
            owners.extend(
                duties
                    .holder(&duty)
                    .map(|(who, token)| (duty, who.name, token)),
            );
        }
        for (_, duty) in &self.zones {
            owners.extend(
                duties
                    .holder(duty)
                    .map(|(who, token)| (duty.clone(), who.name, token)),
            );
        }
        let gateway = self
            .gateway
            .as_ref()
            .map(|(_, g)| g.counts())
            .unwrap_or_default();
        tell::dump(&tell::Dump {
            owned: &duties
                .held_leases(now)
                .map(|(duty, token)| (duty.clone(), token))
                .collect::<Vec<_>>(),
            owners: &owners,
            stage: duties.stage(),
            alone: duties.is_without_majority(now),
            topics: self.client.topics().count(),
            settled: self.client.is_confirmed(),
            duties: duties.counts(),
            client: self.client.counts(),
            gateway,
            counts: self.counts,
            writes: self
                .file
                .as_ref()
                .map_or(WriteCounts::default(), |file| file.writes),
        });
    }
}
