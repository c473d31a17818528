//! Talk with the other routers: one datagram socket, and the crate that knows what to say. Without a `peers` block in the
//! operators' file none of it is there. What a router does for the fleet goes by the same socket, within the same budget.

use crate::Error;
use crate::clock::Clock;
use crate::lease_tasks::{self, LeaseTasks};
use crate::net::{EventSource, poll_key};
use crate::upstream::{NodeQuery, QueryOutcome};
use plovercove::{Settings, Time};
use plovercove_engine::{Deadline, Engine};
use plovercove_gossip::{
    Gossip, GossipEvent, Incarnation, Keys, MAX_DATAGRAM_BYTES, Observer, Rules,
};
use plovercove_poller::{Interest, Poll, Registered};
use std::any::Any;
use std::io::ErrorKind;
use std::net::{SocketAddr, UdpSocket};
use tracing::{debug, info, warn};

/// Datagrams read in one turn: a flood of them leaves time for clients.
const EACH_TURN: usize = 64;

/// What operators say of peers, checked and with the keys read.
#[derive(Clone)]
pub struct GossipConfig {
    /// Where datagrams come.
    pub listen: SocketAddr,
    /// Where the others reach this router; its listening address where none is told.
    pub advertise: Option<SocketAddr>,
    /// The keys.
    pub keys: Keys,
    /// All else.
    pub rules: Rules,
    /// What it does for the fleet, if anything.
    pub lease_tasks: Option<lease_tasks::LeaseTasksConfig>,
}

/// The router among its peers.
pub struct GossipSocket {
    socket: Registered<UdpSocket>,
    peers: Gossip,
    due: Option<Time>,
    advertise: SocketAddr,
    chores: Option<LeaseTasks>,
    /// It ends, when what it owns has been handed over.
    leaving: bool,
}

/// The witness that stands beside the module, where peers are on.
pub fn observer(engine: &mut Engine) -> Option<&mut Observer> {
    engine
        .locality_policy()
        .map(|zoning| zoning as &mut dyn Any)
        .and_then(<dyn Any>::downcast_mut)
}

impl GossipSocket {
    /// Opens the socket. Nobody is called yet.
    pub fn open(
        poll: &Poll,
        terms: GossipConfig,
        name: &str,
        settings: &Settings,
        clock: Clock,
        seed: u64,
    ) -> Result<Self, Error> {
        let now = clock.now();
        let refused = |source| Error::Listen {
            address: terms.listen,
            what: "the other routers",
            source,
        };
        let socket = UdpSocket::bind(terms.listen).map_err(refused)?;
        socket.set_nonblocking(true)?;
        let listen = socket.local_addr()?;
        let advertise = terms.advertise.unwrap_or(listen);
        let me = Incarnation {
            address: advertise,
            boot: now,
            renewals: 0,
            name: name.into(),
            zone: settings.zone.clone(),
        };
        info!(reason = "peers", peers = %listen, advertise = %advertise, boot = now, "talks with other routers");
        let socket = poll.register(socket, poll_key(EventSource::Gossip, None), Interest::Read)?;
        let routers = terms.rules.routers;
        let chores = terms
            .lease_tasks
            .map(|terms| LeaseTasks::new(terms, &me, routers, clock, seed));
        let peers = Gossip::new(terms.rules, terms.keys, me, now, seed);
        Ok(GossipSocket {
            socket,
            peers,
            due: None,
            advertise,
            chores,
            leaving: false,
        })
    }

    /// Begins to call the others.
    pub fn start(&mut self, now: Time, engine: &mut Engine) {
        self.turn(now, engine);
    }

    /// Datagrams have come.
    pub fn event(&mut self, now: Time, engine: &mut Engine) {
        let mut bytes = [0; MAX_DATAGRAM_BYTES + 1];
        for _ in 0..EACH_TURN {
            match self.socket.recv(&mut bytes) {
                Ok(length) => self.peers.receive(now, &bytes[..length]),
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                // Another's port that is closed is told here; SWIM finds out by itself.
                Err(e) if e.kind() == ErrorKind::ConnectionRefused => {}
                Err(_) => break,
            }
        }
        self.flush(now, engine);
    }

    /// Something of it is due.
    pub fn turn(&mut self, now: Time, engine: &mut Engine) {
        self.due = None;
        if let Some(observer) = observer(engine) {
            self.peers.turn(now, observer);
        }
        self.flush(now, engine);
    }

    /// The list has changed.
    pub fn listed(&mut self, now: Time, engine: &Engine) {
        if let Some(chores) = &mut self.chores {
            chores.listed(now, engine);
        }
    }

    /// Takes the questions that are to be asked for the fleet.
    pub fn take_asks(&mut self) -> Vec<NodeQuery> {
        self.chores
            .as_mut()
            .map(LeaseTasks::take_asks)
            .unwrap_or_default()
    }

    /// What became of them.
    pub fn heard(&mut self, now: Time, all: Vec<QueryOutcome>, engine: &mut Engine) {
        let Some(chores) = &mut self.chores else {
            return;
        };
        for heard in all {
            chores.heard(now, heard);
        }
        self.flush(now, engine);
    }

    /// Sends, tells the log, and sets the next deadline.
    fn flush(&mut self, now: Time, engine: &mut Engine) {
        let (mut changed, mut others) = (false, false);
        while let Some(news) = self.peers.next_event() {
            changed |= matches!(news, GossipEvent::Verdict { .. });
            others |= matches!(news, GossipEvent::MemberUp(_) | GossipEvent::MemberDown(_));
            if let (GossipEvent::Stalled(span), Some(chores)) = (&news, &mut self.chores) {
                chores.stood(now, *span);
            }
            tell(news);
        }
        let mut next = self.chores(now, others, engine);
        if self.leaving && !self.chores.as_ref().is_some_and(LeaseTasks::handing) {
            self.gone(now);
            next = Time::MAX;
        }
        self.send();
        if changed {
            // Requests that wait are decided anew.
            engine.wake();
        }
        let next = self.peers.next_deadline().min(next);
        let at = (next < Time::MAX).then(|| next.max(now + 1));
        engine.deadlines.set(&mut self.due, Deadline::Gossip, at);
    }

    /// Drives what is done for the fleet; when something of it is due next.
    fn chores(&mut self, now: Time, others: bool, engine: &mut Engine) -> Time {
        let Some(chores) = &mut self.chores else {
            return Time::MAX;
        };
        if others {
            chores.seen(now, self.peers.members());
        }
        while let Some(part) = self.peers.next_received_part() {
            chores.arrived(now, part);
        }
        chores.turn(now, engine);
        for (to, kind, body) in chores.take_out() {
            if !self.peers.send_part(now, to, kind, body) {
                chores.unsent();
            }
        }
        chores.next()
    }

    fn send(&mut self) {
        for (to, bytes) in self.peers.take_outgoing() {
            // One that cannot be sent is lost as others are.
            let _ = self.socket.send_to(&bytes, to);
        }
    }

    /// Takes over what a running router can: keys.
    pub fn change(&mut self, terms: GossipConfig) {
        if terms.lease_tasks.as_ref() != self.chores.as_ref().map(LeaseTasks::terms) {
            warn!(reason = "duties", "SIGHUP: other duties need a restart");
        }
        if terms.rules != *self.peers.rules()
            || terms.advertise.is_some_and(|a| a != self.advertise)
        {
            warn!(
                reason = "peers",
                "SIGHUP: of peers only keys are taken over; the rest needs a restart"
            );
        }
        self.peers.replace_keys(terms.keys);
    }

    /// This router ends: what it owns is handed over, then the others are told.
    pub fn leave(&mut self, now: Time, engine: &mut Engine) {
        if let Some(chores) = &mut self.chores {
            chores.hand_over(now);
        }
        self.leaving = true;
        self.flush(now, engine);
    }

    /// The time for handing over is up: the others are told that this router ends.
    pub fn end(&mut self, now: Time) {
        self.gone(now);
        self.send();
    }

    fn gone(&mut self, now: Time) {
        // What was not taken by now ends with its lease.
        self.chores = None;
        self.leaving = false;
        self.peers.leave(now);
    }

    /// Tells the log what this router believes.
    pub fn dump(&self, now: Time, engine: &mut Engine) {
        self.chores.iter().for_each(|chores| chores.dump(now));
        let Some(observer) = observer(engine) else {
            return;
        };
        let belief = self.peers.snapshot(observer);
        let levels: Vec<String> = belief
            .levels
            .iter()
            .map(|(node, level, age)| format!("{node} {level} {age} ms"))
            .collect();
        let counts = belief.counts;
        let dropped: Vec<String> = counts
            .dropped
            .iter()
            .map(|(why, n)| format!("{why} {n}"))
            .collect();
        info!(
            reason = "belief",
            me = belief.me,
            seen = belief.seen,
            should = belief.expected,
            members = belief.members.join(" "),
            records = belief.records,
            levels = levels.join(", "),
            sent = counts.sent.0,
            sent_bytes = counts.sent.1,
            came = counts.received.0,
            came_bytes = counts.received.1,
            held_back = counts.over_budget,
            dropped = dropped.join(", "),
            late = counts.late,
            unknown = counts.unknown_records,
            odd = counts.invalid_messages,
            "what this router believes"
        );
    }
}

fn tell(news: GossipEvent) {
    match news {
        GossipEvent::MemberUp(life) => {
            info!(reason = "peer up", router = life.name, address = %life.address, zone = life.zone, boot = life.boot, turn = life.renewals, "a router is there");
        }
        GossipEvent::MemberDown(life) => {
            info!(reason = "peer down", router = life.name, address = %life.address, zone = life.zone, boot = life.boot, turn = life.renewals, "a router is gone");
        }
        GossipEvent::MemberCount { seen, expected } => {
            info!(reason = "peers", seen, should = expected, "routers")
        }
        GossipEvent::DuplicateName(a, b) => {
            warn!(reason = "twins", router = a.name, address = %a.address, other = %b.address, "two routers have one name");
        }
        GossipEvent::Rejoined(life) => {
            info!(
                reason = "again",
                turn = life.renewals,
                "the others took this router for gone"
            );
        }
        GossipEvent::AddressTaken => {
            warn!(reason = "taken", "another router holds this one's address")
        }
        GossipEvent::Stalled(span) => info!(
            reason = "stood",
            ms = span / 1_000,
            "this router stood still"
        ),
        GossipEvent::Dropped(fault, count) => {
            warn!(
                reason = "dropped",
                why = fault.label(),
                count,
                help = fault.help(),
                "datagrams that cannot be taken"
            );
        }
        GossipEvent::Observed { node, observation } => {
            debug!(reason = "observed", %node, saw = %observation, "tells the others what it saw");
        }
        GossipEvent::Verdict {
            node,
            previous,
            verdict,
            runs_trials,
            reports,
        } => {
            let reports: Vec<String> = reports.iter().map(ToString::to_string).collect();
            debug!(reason = "testimonies", %node, said = reports.join("; "), "what the verdict rests on");
            info!(
                reason = "verdict",
                %node,
                was = previous.label(),
                level = verdict.level.label(),
                why = verdict.why,
                observers = verdict.observers,
                oldest_ms = verdict.oldest / 1_000,
                tries = runs_trials,
                "node {node}: {}",
                verdict.level.label()
            );
        }
    }
}
