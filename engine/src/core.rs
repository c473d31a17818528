//! Turns requests, outcomes and list changes into the module's events, and the module's actions into commands.
//!
//! It knows no protocol: a front hands it requests and carries out their answers, an upstream carries out attempts and
//! reports how they end. Here the table of requests, their attempts and the deadlines are kept, and here the rules that
//! do not depend on a decision are held: one final answer each, no refusal of what may have run, no send once over.

use crate::{Deadlines, Due, Key, Table};
use plovercove::*;
use std::collections::{BTreeMap, BTreeSet};
use tracing::{debug, info, warn};

/// What may pass in a client's and our own buffers before a request is counted: its patience runs from its sending.
const IN_BUFFERS: Micros = 5_000;

/// The names that are kept of nodes dropped while they drained: many times a fleet's. Beyond them attempts are still held
/// back, by the module; only questions are not.
const DRAINED_MOST: usize = 4096;

/// One attempt of one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptId {
    /// The request.
    pub request: Key,
    /// The attempt, counted from 0.
    pub number: u32,
}

/// What the module decided, to be carried out in this order.
#[derive(Debug)]
pub enum Command {
    /// Start an attempt for a request of this client.
    Send {
        /// The attempt.
        attempt: AttemptId,
        /// The client, as the front named it.
        origin: Key,
        /// Where it goes.
        node: NodeId,
    },
    /// Stop an attempt: its answer must reach nobody.
    GiveUp {
        /// The attempt.
        attempt: AttemptId,
        /// Where it went.
        node: NodeId,
    },
    /// Ask a node for its report.
    Probe(NodeId),
    /// Close the idle connections to a node.
    CloseIdle(NodeId),
    /// Give a request its final answer.
    Answer {
        /// The request.
        request: Key,
        /// Its client.
        origin: Key,
        /// What it is told.
        answer: Answer,
    },
}

/// A final answer that no node made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// Trying again is harmless, after this long where told.
    Refused(Option<Micros>),
    /// Nothing is promised.
    Failed,
}

struct Attempt {
    node: NodeId,
    sent: Time,
    until: Time,
    /// Its last byte has been written: from then on it may have run.
    written: bool,
    /// How it ended; none while it is out.
    ended: Option<AttemptEnd>,
}

impl Attempt {
    fn out(&self) -> bool {
        self.ended.is_none()
    }
}

struct Request {
    origin: Key,
    class: usize,
    /// Once an attempt may have run, that trying again is harmless would be untrue.
    binds_refusals: bool,
    /// Its final answer is still owed.
    open: bool,
    /// Some attempt may have run.
    may_have_run: bool,
    attempts: Vec<Attempt>,
}

/// Whether what ended so may have had an effect.
fn may_have_run(ending: AttemptEnd) -> bool {
    !matches!(
        ending,
        AttemptEnd::Overloaded
            | AttemptEnd::Unreachable
            | AttemptEnd::NeverSent
            | AttemptEnd::Misdirected
    )
}

/// The decisions, and the books that they are carried out by.
pub struct Engine {
    balancer: Balancer,
    classes: Vec<Class>,
    requests: Table<Request>,
    /// What the list says of the nodes that it names.
    members: BTreeMap<NodeId, Endpoint>,
    /// Nodes that were dropped from the list while they drained, where dropping alone closes none.
    dropped_draining: BTreeSet<NodeId>,
    /// Only nodes listed as draining, not those dropped from the list, are closed to sends.
    dropped_stay_open: bool,
    /// Discovery itself has spoken; before that all that is known is what was remembered.
    listed: bool,
    /// Requests that are owed no answer any more, whose attempts may still wait for their first or last byte.
    closed: Vec<Key>,
    events: Vec<Event>,
    actions: Vec<Action>,
    commands: Vec<Command>,
    /// All deadlines of the router.
    pub deadlines: Deadlines,
}

impl Engine {
    /// A core without requests.
    pub fn new(settings: Settings, seed: u64) -> Self {
        Engine {
            classes: settings.classes.clone(),
            dropped_stay_open: settings.dropped_stay_open,
            balancer: Balancer::new(settings, seed),
            requests: Table::new(),
            members: BTreeMap::new(),
            dropped_draining: BTreeSet::new(),
            listed: false,
            closed: Vec::new(),
            events: Vec::new(),
            actions: Vec::new(),
            commands: Vec::new(),
            deadlines: Deadlines::default(),
        }
    }

    /// From now on this says which zones a request may use.
    pub fn with_locality_policy(mut self, zoning: Box<dyn LocalityPolicy>) -> Self {
        self.balancer.locality = Some(zoning);
        self
    }

    /// What says which zones a request may use, if anything does.
    pub fn locality_policy(&mut self) -> Option<&mut dyn LocalityPolicy> {
        self.balancer.locality.as_deref_mut()
    }

    /// Puts something else, or nothing, in the place of what says which zones a request may use. It is told the list as
    /// it is known; attempts that are out stay out, and it hears of their ends.
    pub fn replace_locality_policy(&mut self, now: Time, zoning: Option<Box<dyn LocalityPolicy>>) {
        self.balancer.locality = zoning;
        if let Some(zoning) = &mut self.balancer.locality {
            let known = self.members.values().cloned().collect();
            let update = if self.listed {
                EndpointUpdate::Full(known)
            } else {
                EndpointUpdate::Restored(known)
            };
            zoning.endpoints_changed(now, &update);
        }
        // Requests that wait are decided anew.
        self.events.push(Event::Timer);
    }

    fn zone_of(&self, node: &NodeId) -> &str {
        self.members.get(node).map_or("", |entry| &entry.zone)
    }

    /// How many requests are owed an answer or have an attempt out.
    pub fn held(&self) -> usize {
        self.requests.len()
    }

    /// The classes, by number.
    pub fn classes(&self) -> &[Class] {
        &self.classes
    }

    /// What the list says of the nodes that it names.
    pub fn members(&self) -> impl Iterator<Item = &Endpoint> {
        self.members.values()
    }

    /// Whether the list names a member of this group.
    pub fn knows_group(&self, group: GroupId) -> bool {
        self.members.values().any(|known| known.group == group)
    }

    /// Discovery told something.
    pub fn list(&mut self, update: EndpointUpdate) {
        self.listed |= matches!(update, EndpointUpdate::Changes(_) | EndpointUpdate::Full(_));
        if let EndpointUpdate::Full(all) | EndpointUpdate::Restored(all) = &update {
            let named: BTreeSet<&NodeId> = all.iter().map(|entry| &entry.node).collect();
            let absent: Vec<NodeId> = self
                .members
                .keys()
                .filter(|id| !named.contains(id))
                .cloned()
                .collect();
            absent.iter().for_each(|node| self.dropped(node));
        }
        if let EndpointUpdate::Changes(all)
        | EndpointUpdate::Full(all)
        | EndpointUpdate::Restored(all) = &update
        {
            for entry in all {
                if entry.state == EndpointState::Removed {
                    self.dropped(&entry.node);
                } else {
                    self.dropped_draining.remove(&entry.node);
                    self.members.insert(entry.node.clone(), entry.clone());
                }
            }
        }
        self.events.push(Event::EndpointsChanged(update));
    }

    /// The list names a node no more. Where that closes no node, one that drained stays closed all the same.
    fn dropped(&mut self, node: &NodeId) {
        let drained = self
            .members
            .remove(node)
            .is_some_and(|entry| entry.state == EndpointState::Draining);
        if drained && self.dropped_stay_open {
            self.dropped_draining.insert(node.clone());
            if self.dropped_draining.len() > DRAINED_MOST {
                self.dropped_draining.pop_first();
            }
        }
    }

    /// Takes a request on. It is owed one final answer, through `Command::Answer` or `ended`.
    pub fn request(&mut self, origin: Key, mut demand: RequestInfo) -> Key {
        let figures = &self.classes[demand.class];
        let binds_refusals = match figures.idempotency {
            Idempotency::Idempotent => false,
            // A client's repeat may reach nodes beyond those that discard it.
            Idempotency::Deduplicated => figures.dedup_scope != DedupScope::All,
            Idempotency::AtMostOnce => true,
        };
        let class = demand.class;
        let Ok(key) = self.requests.insert_with(|_| {
            let attempts = Vec::new();
            Ok::<_, std::convert::Infallible>(Request {
                origin,
                class,
                binds_refusals,
                open: true,
                may_have_run: false,
                attempts,
            })
        });
        demand.id = key.number();
        demand.time_left = demand.time_left.saturating_sub(IN_BUFFERS);
        self.events.push(Event::RequestArrived(demand));
        key
    }

    /// The client has gone; nothing is owed any more.
    pub fn gone(&mut self, request: Key) {
        if self
            .requests
            .get_mut(request)
            .is_some_and(|r| std::mem::take(&mut r.open))
        {
            self.events.push(Event::ClientGone {
                request: request.number(),
            });
            self.closed.push(request);
            self.forget(request);
        }
    }

    /// Stops what requests that are closed still wait to send. Danger: its connection may come up long after the client
    /// has gone, and a db node would work for nobody. What was not written whole never ran.
    fn stop_unwritten(&mut self, now: Time) {
        for request in std::mem::take(&mut self.closed) {
            let attempts = self.requests.get(request).map_or(&[][..], |r| &r.attempts);
            let unwritten = attempts
                .iter()
                .enumerate()
                .filter(|(_, a)| a.out() && !a.written);
            let unwritten: Vec<u32> = unwritten.map(|(number, _)| number as u32).collect();
            for number in unwritten {
                self.stop(
                    AttemptId { request, number },
                    now,
                    AttemptEnd::Cancelled,
                    AttemptEnd::NeverSent,
                );
            }
        }
    }

    /// The client wants it ended, and has been told that it is: what is out is stopped too.
    pub fn cancel(&mut self, request: Key, now: Time) {
        self.gone(request);
        let attempts = self
            .requests
            .get(request)
            .map_or(0, |r| r.attempts.len() as u32);
        for number in 0..attempts {
            self.stop(
                AttemptId { request, number },
                now,
                AttemptEnd::Cancelled,
                AttemptEnd::NeverSent,
            );
        }
    }

    /// The last byte of an attempt has been written: from here on it may have run.
    pub fn written(&mut self, id: AttemptId) {
        if let Some(r) = self.requests.get_mut(id.request) {
            r.attempts[id.number as usize].written = true;
        }
    }

    /// Whether this attempt, or where there is none a question of the router's own, may begin at this node now. The one
    /// check on every way to a node, at the moment of the first byte: the decision may be old by then. A list counts from
    /// the moment when it was told, also before the module has heard of it; a request that is over is sent nowhere.
    pub fn may_begin(&self, attempt: Option<AttemptId>, node: &NodeId, now: Time) -> bool {
        let listed = match self.members.get(node) {
            Some(entry) => entry.state == EndpointState::Serving,
            None => self.dropped_stay_open && !self.dropped_draining.contains(node),
        };
        let waits = |id: AttemptId| {
            let r = self.requests.get(id.request).filter(|r| r.open);
            r.and_then(|r| r.attempts.get(id.number as usize))
                .is_some_and(|a| a.out() && a.node == *node)
        };
        let fits = |id: AttemptId| {
            waits(id)
                && self.may_repeat(id, now)
                && self.balancer.still_fits(now, id.request.number(), node)
        };
        listed && attempt.is_none_or(fits)
    }

    /// Whether an attempt may run beside the others of its request that may have run by now. Their window is counted from
    /// the decision on the first of them: its bytes left then, or later.
    fn may_repeat(&self, id: AttemptId, now: Time) -> bool {
        let Some(r) = self.requests.get(id.request) else {
            return false;
        };
        let class = &self.classes[r.class];
        let others = r
            .attempts
            .iter()
            .enumerate()
            .filter(|(number, _)| *number != id.number as usize);
        let first = others
            .filter(|(_, a)| a.ended.is_none_or(may_have_run))
            .map(|(_, a)| a.sent)
            .min();
        first.is_none_or(|first| match class.idempotency {
            Idempotency::Idempotent => true,
            Idempotency::Deduplicated => now < first + class.dedup_window,
            Idempotency::AtMostOnce => false,
        })
    }

    /// `may_begin` for an attempt at the node that it was decided for.
    pub fn still_fits(&self, id: AttemptId, now: Time) -> bool {
        let attempt = self
            .requests
            .get(id.request)
            .and_then(|r| r.attempts.get(id.number as usize));
        attempt.is_some_and(|a| self.may_begin(Some(id), &a.node, now))
    }

    /// How long an attempt will be waited for from now on.
    pub fn patience(&self, id: AttemptId, now: Time) -> Micros {
        let attempt = self
            .requests
            .get(id.request)
            .and_then(|r| r.attempts.get(id.number as usize));
        attempt.map_or(0, |a| a.until.saturating_sub(now))
    }

    /// An attempt ended. Returns the client that its answer is to be passed on to, if it is the final one.
    pub fn ended(
        &mut self,
        now: Time,
        id: AttemptId,
        ending: AttemptEnd,
        note: NodeReport,
        report: NodeReport,
    ) -> Option<Key> {
        let r = self.requests.get_mut(id.request)?;
        let attempt = r.attempts.get_mut(id.number as usize).filter(|a| a.out())?;
        attempt.ended = Some(ending);
        let elapsed = now.saturating_sub(attempt.sent);
        self.deadlines.remove(attempt.until, Due::Attempt(id));
        r.may_have_run |= may_have_run(ending);
        let zone = self
            .members
            .get(&attempt.node)
            .map_or("", |entry| &entry.zone);
        debug!(request = id.request.number(), attempt = id.number, node = %attempt.node, zone, reason = ending.label(), elapsed, "ended");
        let served = ending == AttemptEnd::Success && std::mem::take(&mut r.open);
        if served {
            self.closed.push(id.request);
        }
        let (over, origin) = (!r.open, r.origin);
        let (request, attempt) = (id.request.number(), id.number);
        self.events.push(Event::AttemptEnded {
            request,
            attempt,
            end: ending,
            elapsed,
            request_over: over,
            answer_report: note,
            load_report: report,
        });
        self.forget(id.request);
        served.then_some(origin)
    }

    /// A probe ended.
    pub fn probed(&mut self, node: NodeId, answer: Option<NodeReport>) {
        let (answered, report) = (answer.is_some(), answer.unwrap_or_default());
        self.events.push(Event::HealthChecked {
            node,
            answered,
            load_report: report,
        });
    }

    /// A deadline of the module or of an attempt fell due.
    pub fn wake(&mut self) {
        self.events.push(Event::Timer);
    }

    /// An attempt was waited for long enough.
    pub fn timed_out(&mut self, id: AttemptId, now: Time) {
        self.stop(id, now, AttemptEnd::TimedOut, AttemptEnd::Unreachable);
    }

    /// An attempt that can't be carried out: its client has gone in this very turn.
    pub fn unsent(&mut self, id: AttemptId, now: Time) {
        self.ended(
            now,
            id,
            AttemptEnd::NeverSent,
            NodeReport::default(),
            NodeReport::default(),
        );
    }

    /// Whether something has come that the module has not been told.
    pub fn has_news(&self) -> bool {
        !self.events.is_empty() || !self.commands.is_empty()
    }

    /// Ends an attempt from this side: what has not been written whole never ran.
    fn stop(&mut self, id: AttemptId, now: Time, written: AttemptEnd, unwritten: AttemptEnd) {
        let attempt = self
            .requests
            .get(id.request)
            .and_then(|r| r.attempts.get(id.number as usize));
        let Some(attempt) = attempt.filter(|a| a.out()) else {
            return;
        };
        let ending = if attempt.written { written } else { unwritten };
        self.commands.push(Command::GiveUp {
            attempt: id,
            node: attempt.node.clone(),
        });
        self.ended(
            now,
            id,
            ending,
            NodeReport::default(),
            NodeReport::default(),
        );
    }

    /// Lets the module decide on what has come since the last time; nothing where nothing has come.
    pub fn decide(&mut self, now: Time) -> Vec<Command> {
        self.stop_unwritten(now);
        if !self.events.is_empty() {
            let mut actions = std::mem::take(&mut self.actions);
            self.balancer
                .handle(now, std::mem::take(&mut self.events), &mut actions);
            for action in actions.drain(..) {
                self.act(action, now);
            }
            self.actions = actions;
            self.stop_unwritten(now);
        }
        std::mem::take(&mut self.commands)
    }

    fn act(&mut self, action: Action, now: Time) {
        match action {
            Action::Send {
                request,
                node,
                timeout,
            } => self.send(Key::from_number(request), node, now, timeout),
            Action::Cancel { request, attempt } => {
                let id = AttemptId {
                    request: Key::from_number(request),
                    number: attempt,
                };
                self.stop(id, now, AttemptEnd::Cancelled, AttemptEnd::NeverSent);
            }
            Action::Reject {
                request,
                retry_after,
            } => {
                self.answer(Key::from_number(request), Answer::Refused(retry_after));
            }
            Action::Fail { request } => self.answer(Key::from_number(request), Answer::Failed),
            Action::Wake(after) => self.deadlines.add(now + after, Due::Wake),
            Action::HealthCheck(node) => self.commands.push(Command::Probe(node)),
            Action::CloseIdle(node) => self.commands.push(Command::CloseIdle(node)),
            Action::Log(LogEvent {
                node,
                zone,
                reason,
                text,
            }) => {
                let zone = zone.as_deref().or(node.as_ref().map(|n| self.zone_of(n)));
                info!(
                    node = node.as_ref().map(tracing::field::display),
                    zone, reason, "{text}"
                );
            }
            // The watch is always on.
            Action::Subscribe => {}
        }
    }

    fn send(&mut self, request: Key, node: NodeId, now: Time, timeout: Micros) {
        let Some(r) = self.requests.get_mut(request).filter(|r| r.open) else {
            return;
        };
        let attempt = AttemptId {
            request,
            number: r.attempts.len() as u32,
        };
        let until = now + timeout;
        let reason = r.attempts.last().map_or("first", |a| {
            a.ended.map_or("second copy", AttemptEnd::label)
        });
        let zone = self.members.get(&node).map_or("", |entry| &entry.zone);
        let class = &self.classes[r.class].name;
        debug!(request = request.number(), attempt = attempt.number, class, %node, zone, reason, "sent");
        r.attempts.push(Attempt {
            node: node.clone(),
            sent: now,
            until,
            written: false,
            ended: None,
        });
        self.deadlines.add(until, Due::Attempt(attempt));
        self.commands.push(Command::Send {
            attempt,
            origin: r.origin,
            node,
        });
    }

    fn answer(&mut self, request: Key, answer: Answer) {
        let Some(r) = self.requests.get_mut(request).filter(|r| r.open) else {
            return;
        };
        r.open = false;
        // The last guard of the rule on refusals: what may have run, and must not run twice, is never called harmless.
        let risky =
            r.binds_refusals && (r.may_have_run || r.attempts.iter().any(|a| a.out() && a.written));
        let answer = if risky && answer != Answer::Failed {
            warn!(
                request = request.number(),
                "a refusal was turned into a failure: the write may have run"
            );
            Answer::Failed
        } else {
            answer
        };
        let last = r.attempts.last();
        let node = last.map(|a| tracing::field::display(&a.node));
        let zone = last
            .and_then(|a| self.members.get(&a.node))
            .map(|entry| entry.zone.as_str());
        let reason = last.map_or("not placed", |a| {
            a.ended.map_or("still out", AttemptEnd::label)
        });
        debug!(
            request = request.number(),
            class = self.classes[r.class].name,
            attempts = r.attempts.len(),
            node,
            zone,
            reason,
            ?answer,
            "given up"
        );
        self.commands.push(Command::Answer {
            request,
            origin: r.origin,
            answer,
        });
        self.closed.push(request);
        self.forget(request);
    }

    /// Gives a request's slot back once nothing is owed and no attempt is out.
    fn forget(&mut self, request: Key) {
        if self
            .requests
            .get(request)
            .is_some_and(|r| !r.open && r.attempts.iter().all(|a| !a.out()))
        {
            self.requests.remove(request);
        }
    }
}

#[cfg(test)]
mod tests;
