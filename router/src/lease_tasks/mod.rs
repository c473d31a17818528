//! Tasks that one router does for all, under a lease each. The lease of a group's watch makes its holder query the nodes
//! of the group and publish their status to the gateways. The lease of a zone's gateway makes its holder forward what is
//! published to the routers of the zone. Each router subscribes to the watches of all groups and passes the published
//! status to its engine. The tasks exist only if the operators' file has a `duties` block.
//!
//! This module opens no sockets: messages use the socket and the datagram budget of [`crate::gossip`], queries use the
//! connections of [`crate::upstream`].

mod config;
mod file;
mod log;
mod nodes;
mod watch;

pub use config::{LeaseTasksBlock, LeaseTasksConfig, LeaseTasksFault};
pub use file::{StateFile, StateFileFault, WriteCounts};

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

/// Maximum number of rounds in one turn that deliver messages from this router to itself. The rest waits for the next
/// turn. A request and its reply need two rounds.
const MAX_LOCAL_ROUNDS: usize = 8;
/// Maximum number of logged rejections that are remembered, so that each is logged once. A fleet has fewer leases.
const MAX_LOGGED_REJECTIONS: usize = 4_096;

/// Counts since the start.
#[derive(Clone, Copy, Debug, Default)]
struct Counts {
    queried: u64,
    unanswered: u64,
    published: u64,
    applied: u64,
    other_incarnation: u64,
    undecodable: u64,
    unsent: u64,
}

/// The lease tasks of a router.
pub struct LeaseTasks {
    clock: Clock,
    config: LeaseTasksConfig,
    me: Member,
    leases: Rc<RefCell<LeaseManager>>,
    file: Option<StateFile>,
    client: Client,
    publisher: Publisher,
    /// The gateway of this router's zone and the name of its lease. `None` if the zone's name is not valid in a lease name.
    gateway: Option<(LeaseName, Gateway)>,
    watches: Watches,
    watched_groups: BTreeSet<GroupId>,
    nodes: Nodes,
    members: Vec<Member>,
    zones: Vec<(String, LeaseName)>,
    gateways: Vec<SocketAddr>,
    queries: Vec<NodeQuery>,
    outbox: Vec<(SocketAddr, u8, Vec<u8>)>,
    local_messages: VecDeque<(u8, Vec<u8>)>,
    logged_rejections: BTreeMap<LeaseName, Token>,
    counts: Counts,
}

fn watch_name(group: GroupId) -> String {
    format!("positions/{group}")
}

fn member(incarnation: &Incarnation) -> Member {
    Member {
        name: incarnation.name.clone(),
        zone: incarnation.zone.clone(),
        address: incarnation.address,
        incarnation: incarnation.boot,
    }
}

impl LeaseTasks {
    /// Creates the tasks of a router that holds no lease yet. Reads the state file if the router is a voter.
    pub fn new(
        config: LeaseTasksConfig,
        incarnation: &Incarnation,
        routers: u32,
        clock: Clock,
        seed: u64,
    ) -> Self {
        let now = clock.now();
        let me = member(incarnation);
        let is_this_router = |d: &plovercove_leases::VoterConfig| d.address == me.address;
        let voters = &config.rules.voters;
        let (mut file, mut persisted_state) = (None, None);
        if voters
            .members
            .iter()
            .chain(&voters.previous)
            .any(is_this_router)
        {
            match &config.file {
                Some(path) => {
                    let (state_file, persisted) = StateFile::read(path, &config.rules, &me.name);
                    persisted_state = persisted.unwrap_or_else(|fault| {
                        log::state_file_fault(&fault);
                        None
                    });
                    file = Some(state_file);
                }
                // A vote that is not on disk is lost at the next start, and the router may vote a second time. Without a
                // file, no vote is sent.
                None => log::no_state_file(),
            }
        }
        let gateway = LeaseName::new(&format!("gateway/{}", me.zone))
            .ok()
            .and_then(|lease| {
                let gateway =
                    Gateway::new(config.fanout.clone(), &me.zone, me.address, now, seed ^ 1)
                        .ok()?;
                Some((lease, gateway))
            });
        if gateway.is_none() {
            log::zone_without_gateway(&me.zone);
        }
        let subscriber = Subscriber {
            name: me.name.as_str().into(),
            boot: me.incarnation,
            address: me.address,
            zone: me.zone.as_str().into(),
        };
        let leases = LeaseManager::new(
            config.rules.clone(),
            me.clone(),
            routers,
            now,
            seed ^ 2,
            persisted_state,
        );
        LeaseTasks {
            clock,
            leases: Rc::new(RefCell::new(leases)),
            file,
            client: Client::new(config.fanout.clone(), subscriber, now, seed ^ 3),
            publisher: Publisher::new(config.fanout.clone(), now, seed ^ 4),
            gateway,
            watches: Watches::new(config.watch_interval),
            watched_groups: BTreeSet::new(),
            nodes: Nodes::default(),
            members: vec![me.clone()],
            zones: Vec::new(),
            gateways: Vec::new(),
            queries: Vec::new(),
            outbox: Vec::new(),
            local_messages: VecDeque::new(),
            logged_rejections: BTreeMap::new(),
            counts: Counts::default(),
            me,
            config,
        }
    }

    /// Returns the configuration.
    pub fn config(&self) -> &LeaseTasksConfig {
        &self.config
    }

    /// Follows a changed endpoint list.
    pub fn endpoints_changed(&mut self, now: Time, engine: &Engine) {
        self.nodes = Nodes::from_engine(engine);
        self.update_wanted(now);
    }

    /// Follows a change of the gossip members. `others` are all members except this router.
    pub fn members_changed<'a>(
        &mut self,
        now: Time,
        others: impl Iterator<Item = &'a Incarnation>,
    ) {
        self.members = others.map(member).chain([self.me.clone()]).collect();
        self.leases
            .borrow_mut()
            .set_members(now, self.members.clone());
        self.update_wanted(now);
    }

    /// Updates the wanted leases and the subscriptions: a watch for each group of the list, and a gateway for each zone that
    /// has a node or a router.
    fn update_wanted(&mut self, now: Time) {
        let mut wanted = Vec::new();
        let groups = self.nodes.groups();
        for group in &groups {
            wanted.extend(
                LeaseName::new(&watch_name(*group)).map(|lease| WantedLease { lease, zone: None }),
            );
        }
        let zones: BTreeSet<&String> = self
            .members
            .iter()
            .map(|m| &m.zone)
            .chain(self.nodes.zones())
            .collect();
        // A zone whose name is not valid in a lease name has no gateway. Its routers work without one and log a warning.
        let gateway_lease = |zone: &&String| {
            Some((
                zone.to_string(),
                LeaseName::new(&format!("gateway/{zone}")).ok()?,
            ))
        };
        self.zones = zones.iter().filter_map(gateway_lease).collect();
        wanted.extend(self.zones.iter().map(|(zone, lease)| WantedLease {
            lease: lease.clone(),
            zone: Some(zone.clone()),
        }));
        self.leases.borrow_mut().set_wanted(now, wanted);
        if groups != self.watched_groups {
            for group in self.watched_groups.difference(&groups) {
                Topic::new(&watch_name(*group))
                    .iter()
                    .for_each(|topic| self.client.unsubscribe(topic));
            }
            for group in groups.difference(&self.watched_groups) {
                let Ok(topic) = Topic::new(&watch_name(*group)) else {
                    continue;
                };
                if let Err(fault) = self.client.subscribe(&topic) {
                    log::fanout_fault(&fault);
                    break;
                }
            }
            self.watched_groups = groups;
        }
    }

    /// Handles a process stall.
    pub fn process_stalled(&mut self, now: Time, duration: Micros) {
        self.leases.borrow_mut().handle_stall(now, duration);
    }

    /// Handles a message from another router.
    pub fn receive_part(&mut self, now: Time, part: ReceivedPart) {
        match part.kind {
            payload_kind::LEASE => {
                self.leases
                    .borrow_mut()
                    .receive(now, &member(&part.from), &part.body, part.late);
            }
            payload_kind::FANOUT => {
                self.receive_fanout(now, part.from.address, &part.body, part.late)
            }
            _ => {}
        }
    }

    /// Handles a message of the subscriptions. A router may be gateway, publisher and subscriber at once, and each of them
    /// handles the kinds of messages that are for it.
    fn receive_fanout(&mut self, now: Time, from: SocketAddr, body: &[u8], late: Micros) {
        let gateway = self
            .gateway
            .as_mut()
            .map_or(Ok(()), |(_, g)| g.receive(now, from, body, late));
        let publisher = self.publisher.receive(now, from, body, late);
        // The client reports rejections in its events.
        let _ = self.client.receive(now, from, body, late);
        match gateway {
            Err(Fault::Refused(why)) => self.log_rejection(&why),
            Err(Fault::Unread { .. }) => self.counts.undecodable += 1,
            _ => {}
        }
        if let Err(Fault::Refused(why)) = publisher {
            self.log_rejection(&why);
        }
    }

    /// Logs a rejected message. A former lease holder, which may continue to send for long, is logged once for each token.
    fn log_rejection(&mut self, why: &FenceError) {
        let FenceError::Older { lease, token, .. } = why else {
            return log::rejected(why);
        };
        if self.logged_rejections.len() >= MAX_LOGGED_REJECTIONS {
            self.logged_rejections.clear();
        }
        if self.logged_rejections.insert(lease.clone(), *token) != Some(*token) {
            log::rejected(why);
        }
    }

    /// Handles the outcome of a query to a node.
    pub fn query_ended(&mut self, now: Time, outcome: QueryOutcome) {
        let Some((group, started)) = self.nodes.group_and_start(&outcome.node) else {
            return;
        };
        self.counts.unanswered += u64::from(outcome.answer.is_none());
        self.watches
            .end_query(now, group, &outcome.node, started, outcome.answer);
    }

    /// Runs what is due, and delivers the messages from this router to itself.
    pub fn run_due(&mut self, now: Time, engine: &mut Engine) {
        self.leases.borrow_mut().turn(now);
        self.apply_leases(now);
        self.query_nodes(now);
        self.publish(now);
        self.publisher.turn(now);
        self.client.turn(now);
        if let Some((_, gateway)) = self.gateway.as_mut().filter(|(_, g)| g.holds_lease()) {
            gateway.turn(now);
        }
        for _ in 0..MAX_LOCAL_ROUNDS {
            self.persist(now);
            self.collect_outgoing();
            if self.local_messages.is_empty() {
                break;
            }
            for (kind, body) in std::mem::take(&mut self.local_messages) {
                match kind {
                    payload_kind::FANOUT => self.receive_fanout(now, self.me.address, &body, 0),
                    _ => self.leases.borrow_mut().receive(now, &self.me, &body, 0),
                }
            }
        }
        self.apply_published(engine);
        while let Some(event) = self.leases.borrow_mut().take_event() {
            log::lease_event(&event);
        }
        while let Some(why) = self.publisher.take_rejection() {
            self.log_rejection(&why);
        }
    }

    /// Applies the current lease holders: the watches that this router holds, and the gateways that it publishes to and
    /// subscribes at.
    fn apply_leases(&mut self, now: Time) {
        let leases = self.leases.borrow();
        let mut held_watches = BTreeMap::new();
        for group in &self.watched_groups {
            if let Ok(lease) = LeaseName::new(&watch_name(*group))
                && let Some(token) = leases.may_act(now, &lease)
            {
                held_watches.insert(*group, token);
            }
        }
        for group in self.watches.set_held(now, &held_watches) {
            LeaseName::new(&watch_name(group))
                .iter()
                .for_each(|lease| self.publisher.drop_lease(lease));
        }
        // A gateway whose holder is in another zone is left out: its own zone has no router, and thus no subscriber.
        let gateway_address = |(zone, lease): &(String, LeaseName)| {
            leases
                .holder(lease)
                .filter(|(holder, _)| holder.zone == *zone)
                .map(|(holder, _)| holder.address)
        };
        let gateways: Vec<SocketAddr> = self.zones.iter().filter_map(gateway_address).collect();
        if gateways != self.gateways {
            self.publisher.set_gateways(now, &gateways);
            self.gateways = gateways;
        }
        if let Some((lease, gateway)) = &mut self.gateway {
            gateway.set_token(now, leases.may_act(now, lease));
            if let Some((holder, _)) = leases.holder(lease) {
                self.client.set_gateway(now, holder.address);
            }
        }
    }

    /// Queries the nodes of the groups whose next query is due.
    fn query_nodes(&mut self, now: Time) {
        for (group, token) in self.watches.take_due(now) {
            let Ok(lease) = LeaseName::new(&watch_name(group)) else {
                continue;
            };
            // The lease may expire before the query is sent, if the process stalls in this turn or if the query waits for
            // a connection. A node cannot check tokens, so the lease is checked with a fresh clock when the query is sent.
            let (leases, clock) = (self.leases.clone(), self.clock);
            let lease_check: LeaseCheck =
                Rc::new(move || leases.borrow().may_act(clock.now(), &lease) == Some(token));
            for node in self.nodes.serving(group) {
                if self.watches.begin_query(now, group, node) {
                    self.counts.queried += 1;
                    self.queries.push(NodeQuery {
                        node: node.clone(),
                        lease_check: lease_check.clone(),
                    });
                }
            }
        }
    }

    /// Publishes the answers of nodes.
    fn publish(&mut self, now: Time) {
        for (group, token, item) in self.watches.take_items(now) {
            let name = watch_name(group);
            let (Ok(lease), Ok(topic)) = (LeaseName::new(&name), Topic::new(&name)) else {
                continue;
            };
            match self.publisher.publish(now, &topic, &lease, token, &item) {
                Ok(_) => self.counts.published += 1,
                Err(Fault::Refused(why)) => self.log_rejection(&why),
                Err(fault) => log::fanout_fault(&fault),
            }
        }
    }

    /// Writes the state file if votes depend on it.
    fn persist(&mut self, now: Time) {
        let Some(file) = &mut self.file else { return };
        let new_state = self.leases.borrow_mut().take_pending_write();
        match file.persist(now, new_state) {
            Ok(true) => self.leases.borrow_mut().complete_write(now),
            Ok(false) => {}
            Err(fault) => log::state_file_fault(&fault),
        }
    }

    /// Collects the outgoing messages of all parts. Those to this router itself do not go through the network.
    fn collect_outgoing(&mut self) {
        let leases = self
            .leases
            .borrow_mut()
            .take_outbox()
            .into_iter()
            .map(|(receiver, body)| (receiver, payload_kind::LEASE, body));
        let mut all: Vec<_> = leases.collect();
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
                .map(|(receiver, body)| (receiver, payload_kind::FANOUT, body)),
        );
        for (receiver, kind, body) in all {
            if receiver == self.me.address {
                self.local_messages.push_back((kind, body));
            } else {
                self.outbox.push((receiver, kind, body));
            }
        }
    }

    /// Passes the published status of nodes to the engine as evidence of its age.
    fn apply_published(&mut self, engine: &mut Engine) {
        while let Some(event) = self.client.take_event() {
            let fanout::SubscriptionEvent::Item {
                topic, age, body, ..
            } = event
            else {
                match &event {
                    fanout::SubscriptionEvent::SenderRejected { error } => {
                        self.log_rejection(error)
                    }
                    other => log::fanout_event(other),
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
                self.counts.undecodable += 1;
                continue;
            };
            for status in statuses {
                let Some((node, is_current)) = self.nodes.find_reported(group, &status) else {
                    continue;
                };
                if !is_current {
                    self.counts.other_incarnation += 1;
                    continue;
                }
                self.counts.applied += 1;
                engine.health_check_ended(node.clone(), Some(status.to_report(age)));
            }
        }
    }

    /// Takes the queries that are to be sent to nodes.
    pub fn take_queries(&mut self) -> Vec<NodeQuery> {
        std::mem::take(&mut self.queries)
    }

    /// Takes the outgoing messages: receiver, kind of the part, and body.
    pub fn take_outgoing(&mut self) -> Vec<(SocketAddr, u8, Vec<u8>)> {
        std::mem::take(&mut self.outbox)
    }

    /// Counts a message that was not sent because the datagram budget is spent.
    pub fn count_unsent(&mut self) {
        self.counts.unsent += 1;
    }

    /// Returns the next deadline, or `Time::MAX`.
    pub fn next_deadline(&self) -> Time {
        let gateway = self
            .gateway
            .as_ref()
            .filter(|(_, g)| g.holds_lease())
            .map_or(Time::MAX, |(_, g)| g.next_turn());
        let file = self
            .file
            .as_ref()
            .map_or(Time::MAX, StateFile::next_deadline);
        let local = if self.local_messages.is_empty() {
            Time::MAX
        } else {
            0
        };
        [
            self.leases.borrow().next_turn(),
            self.client.next_turn(),
            self.publisher.next_turn(),
            self.watches.next_deadline(),
            gateway,
            file,
            local,
        ]
        .into_iter()
        .fold(Time::MAX, Time::min)
    }

    /// Starts the shutdown: unsubscribes and hands the leases over.
    pub fn hand_over(&mut self, now: Time) {
        self.client.leave(now);
        self.leases.borrow_mut().hand_over_all(now);
    }

    /// Returns whether a handover is in progress.
    pub fn is_handing_over(&self) -> bool {
        self.leases.borrow().is_handing_over()
    }

    /// Logs the leases that this router holds, the holders that it knows of, and the counts.
    pub fn log_state(&self, now: Time) {
        let leases = self.leases.borrow();
        let mut holders = Vec::new();
        for lease in self
            .watched_groups
            .iter()
            .filter_map(|g| LeaseName::new(&watch_name(*g)).ok())
        {
            holders.extend(
                leases
                    .holder(&lease)
                    .map(|(holder, token)| (lease, holder.name, token)),
            );
        }
        for (_, lease) in &self.zones {
            holders.extend(
                leases
                    .holder(lease)
                    .map(|(holder, token)| (lease.clone(), holder.name, token)),
            );
        }
        let gateway = self
            .gateway
            .as_ref()
            .map(|(_, g)| g.counts())
            .unwrap_or_default();
        log::log_state(&log::State {
            held: &leases
                .held_leases(now)
                .map(|(lease, token)| (lease.clone(), token))
                .collect::<Vec<_>>(),
            holders: &holders,
            stage: leases.stage(),
            alone: leases.is_without_majority(now),
            topics: self.client.topics().count(),
            settled: self.client.is_confirmed(),
            leases: leases.counts(),
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
