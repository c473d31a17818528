//! Turns requests, ends of attempts and list changes into events for the decisions, and their actions into commands.
//!
//! The engine knows no protocol. The client-facing part of the router passes requests to it and delivers its final
//! answers; the node-facing part sends attempts and reports how they end. The engine holds the table of requests, their
//! attempts and the deadlines, and enforces the rules that no decision may break: each request gets one final answer, a
//! request that may have been executed is not rejected as harmless to retry, and nothing is sent for a request that is
//! over.

use crate::endpoints::EndpointRegistry;
use crate::request::{Attempt, Request};
use crate::{AttemptId, Command, Deadline, Deadlines, FinalAnswer, Key, Table};
use plovercove::{
    Action, AttemptEnd, Balancer, Class, Endpoint, EndpointUpdate, Event, GroupId, LocalityPolicy,
    LogEvent, Micros, NodeId, NodeReport, RequestInfo, Settings, Time,
};
use std::convert::Infallible;
use tracing::{debug, info, warn};

/// Time that a request may have spent in the buffers of the client and the router before it arrives here. The client
/// counts its waiting time from when it sent the request.
const TIME_IN_BUFFERS: Micros = 5_000;

/// The routing decisions, with the tables that are needed to carry them out.
pub struct Engine {
    balancer: Balancer,
    classes: Vec<Class>,
    requests: Table<Request>,
    endpoints: EndpointRegistry,
    /// Requests that are closed since the last batch, and may have attempts that are not completely written.
    closed: Vec<Key>,
    events: Vec<Event>,
    /// Kept between batches only to reuse its allocation.
    actions: Vec<Action>,
    commands: Vec<Command>,
    /// Time of the last final answer, once the router shuts down.
    answer_by: Option<Time>,
    /// All deadlines of the router.
    pub deadlines: Deadlines,
}

/// Settings, endpoints and the locality policy.
impl Engine {
    /// Creates an engine without requests. `seed` is the seed of all random numbers of the decisions.
    pub fn new(settings: Settings, seed: u64) -> Self {
        Engine {
            classes: settings.classes.clone(),
            endpoints: EndpointRegistry::new(settings.removed_nodes_stay_open),
            balancer: Balancer::new(settings, seed),
            requests: Table::new(),
            closed: Vec::new(),
            events: Vec::new(),
            actions: Vec::new(),
            commands: Vec::new(),
            answer_by: None,
            deadlines: Deadlines::default(),
        }
    }

    /// Sets the policy that decides which zones a request may use.
    pub fn with_locality_policy(mut self, policy: Box<dyn LocalityPolicy>) -> Self {
        self.balancer.locality = Some(policy);
        self
    }

    /// Returns the policy that decides which zones a request may use, if there is one.
    pub fn locality_policy(&mut self) -> Option<&mut dyn LocalityPolicy> {
        self.balancer.locality.as_deref_mut()
    }

    /// Replaces or removes the policy that decides which zones a request may use. The new policy receives the current
    /// list. It also receives the ends of attempts in flight.
    pub fn replace_locality_policy(&mut self, now: Time, policy: Option<Box<dyn LocalityPolicy>>) {
        self.balancer.locality = policy;
        if let Some(policy) = &mut self.balancer.locality {
            policy.endpoints_changed(now, &self.endpoints.snapshot());
        }
        // Waiting requests are decided again.
        self.events.push(Event::Timer);
    }

    /// Returns the classes, in the order of the settings.
    pub fn classes(&self) -> &[Class] {
        &self.classes
    }

    /// Returns the endpoints that the list names.
    pub fn endpoints(&self) -> impl Iterator<Item = &Endpoint> {
        self.endpoints.iter()
    }

    /// Returns whether the list names a member of this group.
    pub fn knows_group(&self, group: GroupId) -> bool {
        self.endpoints.has_group(group)
    }

    /// Handles an update from discovery.
    pub fn update_endpoints(&mut self, update: EndpointUpdate) {
        self.endpoints.update(&update);
        self.events.push(Event::EndpointsChanged(update));
    }
}

/// Requests, from arrival to final answer.
impl Engine {
    /// Returns the number of requests that have no final answer yet or have an attempt in flight.
    pub fn pending_requests(&self) -> usize {
        self.requests.len()
    }

    /// Adds a request and returns its key. It gets one final answer, through [`Command::Answer`] or
    /// [`Engine::attempt_ended`].
    pub fn begin_request(&mut self, origin: Key, mut info: RequestInfo) -> Key {
        let request = Request::new(origin, info.class);
        let Ok(key) = self.requests.insert_with(|_| Ok::<_, Infallible>(request));
        info.id = key.number();
        info.time_left = info.time_left.saturating_sub(TIME_IN_BUFFERS);
        self.events.push(Event::RequestArrived(info));
        key
    }

    /// Gives all requests, also those that still arrive, their final answers by this time.
    pub fn begin_shutdown(&mut self, answer_by: Time) {
        self.answer_by = Some(answer_by);
        self.events.push(Event::ShutdownBegun { answer_by });
    }

    /// Closes a request whose client has left; it gets no answer.
    pub fn client_gone(&mut self, request: Key) {
        let Some(found) = self.requests.get_mut(request).filter(|r| r.is_open) else {
            return;
        };
        found.is_open = false;
        let id = request.number();
        self.events.push(Event::ClientGone { request: id });
        self.close(request);
    }

    /// Closes a request that its client has cancelled, and stops its attempts in flight. The caller has already
    /// answered the client.
    pub fn cancel_request(&mut self, request: Key, now: Time) {
        self.client_gone(request);
        let attempts = self
            .requests
            .get(request)
            .map_or(0, |r| r.attempts.len() as u32);
        for number in 0..attempts {
            self.cancel_attempt(AttemptId { request, number }, now);
        }
    }

    fn answer(&mut self, request: Key, wanted: FinalAnswer) {
        let Some(found) = self.requests.get_mut(request).filter(|r| r.is_open) else {
            return;
        };
        found.is_open = false;
        let answer = found.guard_answer(&self.classes[found.class], wanted);
        if answer != wanted {
            let request = request.number();
            warn!(
                request,
                "rejection replaced by a failure, because the write may have been executed"
            );
        }
        let origin = found.origin;
        self.log_answer(request, answer);
        self.commands.push(Command::Answer {
            request,
            origin,
            answer,
        });
        self.close(request);
    }

    /// Notes a closed request, and frees its slot if it has no attempt in flight.
    fn close(&mut self, request: Key) {
        self.closed.push(request);
        self.forget_if_done(request);
    }

    /// Frees the slot of a request that is done.
    fn forget_if_done(&mut self, request: Key) {
        if self.requests.get(request).is_some_and(Request::is_done) {
            self.requests.remove(request);
        }
    }

    fn log_answer(&self, request: Key, answer: FinalAnswer) {
        let Some(found) = self.requests.get(request) else {
            return;
        };
        let last = found.attempts.last();
        debug!(
            request = request.number(),
            class = self.classes[found.class].name,
            attempts = found.attempts.len(),
            node = last.map(|attempt| tracing::field::display(&attempt.node)),
            zone = last.and_then(|attempt| self.endpoints.known_zone(&attempt.node)),
            reason = last.map_or("not placed", |attempt| {
                attempt.end.map_or("in flight", AttemptEnd::label)
            }),
            ?answer,
            "final answer given by the router"
        );
    }
}

/// Attempts, from sending to end.
impl Engine {
    /// Records that the last byte of an attempt has been written: from now on it may have been executed.
    pub fn attempt_written(&mut self, id: AttemptId) {
        let request = self.requests.get_mut(id.request);
        if let Some(attempt) = request.and_then(|r| r.attempts.get_mut(id.number as usize)) {
            attempt.is_written = true;
        }
    }

    /// Returns whether an attempt, or without one a query of the router itself, may be sent to this node now.
    ///
    /// All sends to a node pass this check, at the moment of the first byte, because the decision may be outdated by
    /// then. The check uses the last list update, and rejects attempts of requests that are over.
    pub fn may_send(&self, attempt: Option<AttemptId>, node: &NodeId, now: Time) -> bool {
        self.endpoints.is_open(node)
            && attempt.is_none_or(|id| self.is_attempt_still_valid(id, node, now))
    }

    /// Returns the result of [`Engine::may_send`] for an attempt at the node that it was decided for.
    pub fn may_still_send(&self, id: AttemptId, now: Time) -> bool {
        let attempt = self.attempt(id);
        attempt.is_some_and(|attempt| self.may_send(Some(id), &attempt.node, now))
    }

    fn is_attempt_still_valid(&self, id: AttemptId, node: &NodeId, now: Time) -> bool {
        let Some(request) = self.requests.get(id.request).filter(|r| r.is_open) else {
            return false;
        };
        let attempt = request.attempts.get(id.number as usize);
        let is_shutdown_over = self.answer_by.is_some_and(|answer_by| answer_by <= now);
        !is_shutdown_over
            && attempt.is_some_and(|a| a.is_in_flight() && a.node == *node)
            && request.may_run(&self.classes[request.class], id.number, now)
            && self
                .balancer
                .is_send_still_valid(now, id.request.number(), node)
    }

    /// Returns the time for which the router still waits for an attempt (us).
    pub fn attempt_time_left(&self, id: AttemptId, now: Time) -> Micros {
        let deadline = self.attempt(id).map_or(0, |attempt| attempt.deadline);
        let deadline = deadline.min(self.answer_by.unwrap_or(Time::MAX));
        deadline.saturating_sub(now)
    }

    /// Handles the end of an attempt. Returns the client to pass the answer on to, if it is the final answer of the
    /// request.
    pub fn attempt_ended(
        &mut self,
        now: Time,
        id: AttemptId,
        end: AttemptEnd,
        answer_report: NodeReport,
        load_report: NodeReport,
    ) -> Option<Key> {
        let elapsed = self.record_end(now, id, end)?;
        let request = self.requests.get_mut(id.request)?;
        let origin = request.origin;
        let is_served = end == AttemptEnd::Success && std::mem::take(&mut request.is_open);
        self.events.push(Event::AttemptEnded {
            request: id.request.number(),
            attempt: id.number,
            end,
            elapsed,
            request_over: !request.is_open,
            answer_report,
            load_report,
        });
        if is_served {
            self.closed.push(id.request);
        }
        self.forget_if_done(id.request);
        is_served.then_some(origin)
    }

    /// Handles the timeout of an attempt.
    pub fn attempt_timed_out(&mut self, id: AttemptId, now: Time) {
        self.stop_attempt(id, now, AttemptEnd::TimedOut, AttemptEnd::Unreachable);
    }

    /// Handles an attempt that cannot be sent because its client has left in the same turn.
    pub fn attempt_not_sent(&mut self, id: AttemptId, now: Time) {
        let no_report = NodeReport::default();
        self.attempt_ended(now, id, AttemptEnd::NeverSent, no_report, no_report);
    }

    fn attempt(&self, id: AttemptId) -> Option<&Attempt> {
        let request = self.requests.get(id.request)?;
        request.attempts.get(id.number as usize)
    }

    /// Records the end of an attempt in flight. Returns the time that it was in flight.
    fn record_end(&mut self, now: Time, id: AttemptId, end: AttemptEnd) -> Option<Micros> {
        let request = self.requests.get_mut(id.request)?;
        let attempt = request.attempts.get(id.number as usize);
        let attempt = attempt.filter(|attempt| attempt.is_in_flight())?;
        let elapsed = now.saturating_sub(attempt.sent_at);
        self.deadlines
            .remove(attempt.deadline, Deadline::Attempt(id));
        debug!(
            request = id.request.number(),
            attempt = id.number,
            node = %attempt.node,
            zone = self.endpoints.zone_of(&attempt.node),
            reason = end.label(),
            elapsed,
            "ended"
        );
        request.record_end(id.number, end);
        Some(elapsed)
    }

    fn cancel_attempt(&mut self, id: AttemptId, now: Time) {
        self.stop_attempt(id, now, AttemptEnd::Cancelled, AttemptEnd::NeverSent);
    }

    /// Stops an attempt in flight. An attempt that is not completely written was not executed.
    fn stop_attempt(
        &mut self,
        id: AttemptId,
        now: Time,
        if_written: AttemptEnd,
        if_unwritten: AttemptEnd,
    ) {
        let attempt = self.attempt(id).filter(|attempt| attempt.is_in_flight());
        let Some(attempt) = attempt else {
            return;
        };
        let end = if attempt.is_written {
            if_written
        } else {
            if_unwritten
        };
        let node = attempt.node.clone();
        self.commands
            .push(Command::CancelAttempt { attempt: id, node });
        let no_report = NodeReport::default();
        self.attempt_ended(now, id, end, no_report, no_report);
    }

    /// Stops the attempts of closed requests that are not completely written. Their connections may open long after the
    /// client has left, and a node would then work in vain.
    fn stop_unwritten(&mut self, now: Time) {
        for request in std::mem::take(&mut self.closed) {
            let attempts = self.requests.get(request).map_or(&[][..], |r| &r.attempts);
            let attempts = (0u32..).zip(attempts);
            let unwritten = attempts.filter(|(_, a)| a.is_in_flight() && !a.is_written);
            let unwritten: Vec<u32> = unwritten.map(|(number, _)| number).collect();
            for number in unwritten {
                self.cancel_attempt(AttemptId { request, number }, now);
            }
        }
    }
}

/// Making decisions, and carrying them out.
impl Engine {
    /// Handles the end of a health check, with the node's load report if it answered.
    pub fn health_check_ended(&mut self, node: NodeId, answer: Option<NodeReport>) {
        self.events.push(Event::HealthChecked {
            node,
            answered: answer.is_some(),
            load_report: answer.unwrap_or_default(),
        });
    }

    /// Lets the decisions review all requests at the next call of [`Engine::decide`], because a wake-up that they
    /// requested is due or something that they depend on has changed.
    pub fn wake(&mut self) {
        self.events.push(Event::Timer);
    }

    /// Returns whether there are events that the decisions have not handled, or commands to carry out.
    pub fn has_pending_work(&self) -> bool {
        !self.events.is_empty() || !self.commands.is_empty()
    }

    /// Lets the decisions handle the events since the last call, and returns the commands to carry out.
    pub fn decide(&mut self, now: Time) -> Vec<Command> {
        self.stop_unwritten(now);
        if !self.events.is_empty() {
            let mut actions = std::mem::take(&mut self.actions);
            let events = std::mem::take(&mut self.events);
            self.balancer.handle(now, events, &mut actions);
            for action in actions.drain(..) {
                self.carry_out(action, now);
            }
            self.actions = actions;
            self.stop_unwritten(now);
        }
        std::mem::take(&mut self.commands)
    }

    fn carry_out(&mut self, action: Action, now: Time) {
        match action {
            Action::Send {
                request,
                node,
                timeout,
            } => self.send(Key::from_number(request), node, now, timeout),
            Action::Cancel { request, attempt } => {
                let request = Key::from_number(request);
                let number = attempt;
                self.cancel_attempt(AttemptId { request, number }, now);
            }
            Action::Reject {
                request,
                retry_after,
            } => self.answer(
                Key::from_number(request),
                FinalAnswer::Rejected(retry_after),
            ),
            Action::Fail { request } => {
                self.answer(Key::from_number(request), FinalAnswer::Failed);
            }
            Action::Wake(after) => self.deadlines.add(now + after, Deadline::Wake),
            Action::HealthCheck(node) => self.commands.push(Command::HealthCheck(node)),
            Action::CloseIdle(node) => self.commands.push(Command::CloseIdle(node)),
            Action::Log(event) => self.log(&event),
            // The router always watches the endpoint list.
            Action::Subscribe => {}
        }
    }

    fn send(&mut self, request: Key, node: NodeId, now: Time, timeout: Micros) {
        let Some(found) = self.requests.get_mut(request).filter(|r| r.is_open) else {
            return;
        };
        let number = found.attempts.len() as u32;
        let attempt = AttemptId { request, number };
        let reason = found
            .attempts
            .last()
            .map_or("first", |last| last.end.map_or("hedged", AttemptEnd::label));
        debug!(
            request = request.number(),
            attempt = number,
            class = self.classes[found.class].name,
            %node,
            zone = self.endpoints.zone_of(&node),
            reason,
            "sent"
        );
        let deadline = now + timeout;
        found.attempts.push(Attempt {
            node: node.clone(),
            sent_at: now,
            deadline,
            is_written: false,
            end: None,
        });
        let origin = found.origin;
        self.deadlines.add(deadline, Deadline::Attempt(attempt));
        self.commands.push(Command::Send {
            attempt,
            origin,
            node,
        });
    }

    fn log(&self, event: &LogEvent) {
        let LogEvent {
            node,
            zone,
            reason,
            text,
        } = event;
        let zone_of_node = || node.as_ref().map(|node| self.endpoints.zone_of(node));
        let zone = zone.as_deref().or_else(zone_of_node);
        info!(
            node = node.as_ref().map(tracing::field::display),
            zone, reason, "{text}"
        );
    }
}

#[cfg(test)]
mod tests;
