//! Gossip with the other routers: a datagram socket driven by `plovercove-gossip`. It exists only if the operators' file has
//! a `peers` block. The messages of the lease tasks use the same socket and the same datagram budget.

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

/// Maximum number of datagrams read in one turn, so that a flood of them leaves time for clients.
const MAX_DATAGRAMS_PER_TURN: usize = 64;

/// The checked `peers` and `duties` blocks of the operators' file, with the keys.
#[derive(Clone)]
pub struct GossipConfig {
    /// The address at which this router receives datagrams.
    pub listen: SocketAddr,
    /// The address at which the others reach this router, if it differs from the listening address.
    pub advertise: Option<SocketAddr>,
    /// The keys of the datagrams.
    pub keys: Keys,
    /// The gossip rules.
    pub rules: Rules,
    /// The lease tasks, if configured.
    pub lease_tasks: Option<lease_tasks::LeaseTasksConfig>,
}

/// The gossip socket, the gossip protocol and the lease tasks.
pub struct GossipSocket {
    socket: Registered<UdpSocket>,
    gossip: Gossip,
    deadline: Option<Time>,
    advertise: SocketAddr,
    lease_tasks: Option<LeaseTasks>,
    /// The router leaves the group of members as soon as its leases are handed over.
    is_leaving: bool,
}

/// Returns the observer that wraps the engine's locality policy if gossip is configured.
pub fn observer(engine: &mut Engine) -> Option<&mut Observer> {
    engine
        .locality_policy()
        .map(|policy| policy as &mut dyn Any)
        .and_then(<dyn Any>::downcast_mut)
}

impl GossipSocket {
    /// Opens the socket. No datagram is sent before `start`.
    pub fn open(
        poll: &Poll,
        config: GossipConfig,
        name: &str,
        settings: &Settings,
        clock: Clock,
        seed: u64,
    ) -> Result<Self, Error> {
        let now = clock.now();
        let listen_error = |source| Error::Listen {
            address: config.listen,
            what: "the other routers",
            source,
        };
        let socket = UdpSocket::bind(config.listen).map_err(listen_error)?;
        socket.set_nonblocking(true)?;
        let listen = socket.local_addr()?;
        let advertise = config.advertise.unwrap_or(listen);
        let me = Incarnation {
            address: advertise,
            boot: now,
            renewals: 0,
            name: name.into(),
            zone: settings.zone.clone(),
        };
        info!(reason = "peers", peers = %listen, advertise = %advertise, boot = now, "gossip with other routers is enabled");
        let socket = poll.register(socket, poll_key(EventSource::Gossip, None), Interest::Read)?;
        let routers = config.rules.routers;
        let lease_tasks = config
            .lease_tasks
            .map(|tasks_config| LeaseTasks::new(tasks_config, &me, routers, clock, seed));
        let gossip = Gossip::new(config.rules, config.keys, me, now, seed);
        Ok(GossipSocket {
            socket,
            gossip,
            deadline: None,
            advertise,
            lease_tasks,
            is_leaving: false,
        })
    }

    /// Starts to contact the other routers.
    pub fn start(&mut self, now: Time, engine: &mut Engine) {
        self.run_due(now, engine);
    }

    /// Reads received datagrams.
    pub fn read_datagrams(&mut self, now: Time, engine: &mut Engine) {
        let mut bytes = [0; MAX_DATAGRAM_BYTES + 1];
        for _ in 0..MAX_DATAGRAMS_PER_TURN {
            match self.socket.recv(&mut bytes) {
                Ok(length) => self.gossip.receive(now, &bytes[..length]),
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                // Reports the closed port of another router. The failure detector finds that out by itself.
                Err(e) if e.kind() == ErrorKind::ConnectionRefused => {}
                Err(_) => break,
            }
        }
        self.flush(now, engine);
    }

    /// Runs what is due at the deadline.
    pub fn run_due(&mut self, now: Time, engine: &mut Engine) {
        self.deadline = None;
        if let Some(observer) = observer(engine) {
            self.gossip.turn(now, observer);
        }
        self.flush(now, engine);
    }

    /// Notifies the lease tasks of a changed endpoint list.
    pub fn endpoints_changed(&mut self, now: Time, engine: &Engine) {
        if let Some(lease_tasks) = &mut self.lease_tasks {
            lease_tasks.endpoints_changed(now, engine);
        }
    }

    /// Takes the queries that the lease tasks want to send to nodes.
    pub fn take_queries(&mut self) -> Vec<NodeQuery> {
        self.lease_tasks
            .as_mut()
            .map(LeaseTasks::take_queries)
            .unwrap_or_default()
    }

    /// Passes the outcomes of queries to the lease tasks.
    pub fn queries_ended(&mut self, now: Time, outcomes: Vec<QueryOutcome>, engine: &mut Engine) {
        let Some(lease_tasks) = &mut self.lease_tasks else {
            return;
        };
        for outcome in outcomes {
            lease_tasks.query_ended(now, outcome);
        }
        self.flush(now, engine);
    }

    /// Logs events, runs the lease tasks, sends queued datagrams and sets the next deadline.
    fn flush(&mut self, now: Time, engine: &mut Engine) {
        let (mut verdicts_changed, mut members_changed) = (false, false);
        while let Some(event) = self.gossip.next_event() {
            verdicts_changed |= matches!(event, GossipEvent::Verdict { .. });
            members_changed |=
                matches!(event, GossipEvent::MemberUp(_) | GossipEvent::MemberDown(_));
            if let (GossipEvent::Stalled(duration), Some(lease_tasks)) =
                (&event, &mut self.lease_tasks)
            {
                lease_tasks.process_stalled(now, *duration);
            }
            log_event(event);
        }
        let mut tasks_deadline = self.run_lease_tasks(now, members_changed, engine);
        if self.is_leaving
            && !self
                .lease_tasks
                .as_ref()
                .is_some_and(LeaseTasks::is_handing_over)
        {
            self.leave_members(now);
            tasks_deadline = Time::MAX;
        }
        self.send();
        if verdicts_changed {
            // Pending requests are decided again under the new verdicts.
            engine.wake();
        }
        let next = self.gossip.next_deadline().min(tasks_deadline);
        let deadline = (next < Time::MAX).then(|| next.max(now + 1));
        engine
            .deadlines
            .set(&mut self.deadline, Deadline::Gossip, deadline);
    }

    /// Runs the lease tasks. Returns their next deadline.
    fn run_lease_tasks(&mut self, now: Time, members_changed: bool, engine: &mut Engine) -> Time {
        let Some(lease_tasks) = &mut self.lease_tasks else {
            return Time::MAX;
        };
        if members_changed {
            lease_tasks.members_changed(now, self.gossip.members());
        }
        while let Some(part) = self.gossip.next_received_part() {
            lease_tasks.receive_part(now, part);
        }
        lease_tasks.run_due(now, engine);
        for (to, kind, body) in lease_tasks.take_outgoing() {
            if !self.gossip.send_part(now, to, kind, body) {
                lease_tasks.count_unsent();
            }
        }
        lease_tasks.next_deadline()
    }

    fn send(&mut self) {
        for (to, bytes) in self.gossip.take_outgoing() {
            // The protocol tolerates lost datagrams, so a failed send needs no handling.
            let _ = self.socket.send_to(&bytes, to);
        }
    }

    /// Applies a reloaded configuration. Only the keys can change while the router runs.
    pub fn reload(&mut self, config: GossipConfig) {
        if config.lease_tasks.as_ref() != self.lease_tasks.as_ref().map(LeaseTasks::config) {
            warn!(
                reason = "duties",
                "SIGHUP: changes of the duties block need a restart"
            );
        }
        if config.rules != *self.gossip.rules()
            || config
                .advertise
                .is_some_and(|address| address != self.advertise)
        {
            warn!(
                reason = "peers",
                "SIGHUP: only the keys of the peers block are reloaded; other changes need a restart"
            );
        }
        self.gossip.replace_keys(config.keys);
    }

    /// Starts the shutdown: hands the leases over, then announces to the other members that this router leaves.
    pub fn start_leaving(&mut self, now: Time, engine: &mut Engine) {
        if let Some(lease_tasks) = &mut self.lease_tasks {
            lease_tasks.hand_over(now);
        }
        self.is_leaving = true;
        self.flush(now, engine);
    }

    /// Announces that this router leaves, because the time for the handover is up.
    pub fn finish_leaving(&mut self, now: Time) {
        self.leave_members(now);
        self.send();
    }

    fn leave_members(&mut self, now: Time) {
        // Leases that were not handed over expire.
        self.lease_tasks = None;
        self.is_leaving = false;
        self.gossip.leave(now);
    }

    /// Logs the state of gossip and of the lease tasks.
    pub fn log_state(&self, now: Time, engine: &mut Engine) {
        self.lease_tasks
            .iter()
            .for_each(|lease_tasks| lease_tasks.log_state(now));
        let Some(observer) = observer(engine) else {
            return;
        };
        let snapshot = self.gossip.snapshot(observer);
        let levels: Vec<String> = snapshot
            .levels
            .iter()
            .map(|(node, level, age)| format!("{node} {level} {age} ms"))
            .collect();
        let counts = snapshot.counts;
        let dropped: Vec<String> = counts
            .dropped
            .iter()
            .map(|(why, count)| format!("{why} {count}"))
            .collect();
        info!(
            reason = "belief",
            me = snapshot.me,
            seen = snapshot.seen,
            should = snapshot.expected,
            members = snapshot.members.join(" "),
            records = snapshot.records,
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
            "gossip state"
        );
    }
}

fn log_event(event: GossipEvent) {
    match event {
        GossipEvent::MemberUp(member) => {
            info!(reason = "peer up", router = member.name, address = %member.address, zone = member.zone, boot = member.boot, turn = member.renewals, "a router is up");
        }
        GossipEvent::MemberDown(member) => {
            info!(reason = "peer down", router = member.name, address = %member.address, zone = member.zone, boot = member.boot, turn = member.renewals, "a router is down");
        }
        GossipEvent::MemberCount { seen, expected } => {
            info!(
                reason = "peers",
                seen,
                should = expected,
                "number of routers"
            )
        }
        GossipEvent::DuplicateName(first, second) => {
            warn!(reason = "twins", router = first.name, address = %first.address, other = %second.address, "two routers have the same name");
        }
        GossipEvent::Rejoined(incarnation) => {
            info!(
                reason = "again",
                turn = incarnation.renewals,
                "the other routers considered this router down; it has rejoined"
            );
        }
        GossipEvent::AddressTaken => {
            warn!(
                reason = "taken",
                "another router uses the address of this router"
            )
        }
        GossipEvent::Stalled(duration) => info!(
            reason = "stood",
            ms = duration / 1_000,
            "this process stalled"
        ),
        GossipEvent::Dropped(fault, count) => {
            warn!(
                reason = "dropped",
                why = fault.label(),
                count,
                help = fault.help(),
                "rejected datagrams"
            );
        }
        GossipEvent::Observed { node, observation } => {
            debug!(reason = "observed", %node, saw = %observation, "sends an observation to the other routers");
        }
        GossipEvent::Verdict {
            node,
            previous,
            verdict,
            runs_trials,
            reports,
        } => {
            let reports: Vec<String> = reports.iter().map(ToString::to_string).collect();
            debug!(reason = "testimonies", %node, said = reports.join("; "), "observations behind the verdict");
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
