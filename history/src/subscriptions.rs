//! Checks the subscription lists of gateways and the events that subscribers were notified of.

use crate::report::{ReportBuilder, RunContext};
use crate::{Event, GatewayList, LineRef, ListEntry, ProcessKind, Published, Subscription, Time};
use plovercove_fencing::Token;
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// A subscriber's change of its subscription of a topic.
struct Change<'a> {
    line_ref: LineRef<'a>,
    subscription: &'a Subscription,
    is_unsubscribed: bool,
}

/// The changes of each subscriber and topic.
type Changes<'a> = BTreeMap<(&'a str, &'a str), Vec<Change<'a>>>;

pub(crate) fn check(run: &RunContext<'_>, report: &mut ReportBuilder) {
    let mut changes: Changes<'_> = BTreeMap::new();
    let mut killed: HashMap<(&str, u64), LineRef<'_>> = HashMap::new();
    for line_ref in run.history.lines().filter(|line_ref| !line_ref.line.claim) {
        let (subscription, is_unsubscribed) = match &line_ref.line.event {
            Event::Subscribed(subscription) => (subscription, false),
            Event::Unsubscribed(subscription) => (subscription, true),
            Event::ListenerKilled(listener) => {
                killed.insert((&listener.subscriber, listener.incarnation), line_ref);
                continue;
            }
            _ => continue,
        };
        let own_changes = changes
            .entry((&subscription.subscriber, &subscription.topic))
            .or_default();
        own_changes.push(Change {
            line_ref,
            subscription,
            is_unsubscribed,
        });
    }
    for own_changes in changes.values_mut() {
        own_changes
            .sort_by_key(|change| (change.subscription.incarnation, change.subscription.counter));
    }
    let last_change = changes
        .values()
        .flatten()
        .map(|change| change.line_ref.line.time)
        .max();
    let last_fault = run.faults.iter().map(|fault| fault.end).max();
    let settled_time = last_change.max(last_fault).unwrap_or(0) + run.bounds.max_heal_time;
    check_lists(run, report, &changes, &killed, settled_time);
    check_events(run, report, &changes, &killed, settled_time);
}

/// Checks that the list of each gateway, once it has settled, equals the subscriptions that its subscribers requested.
fn check_lists(
    run: &RunContext<'_>,
    report: &mut ReportBuilder,
    changes: &Changes<'_>,
    killed: &HashMap<(&str, u64), LineRef<'_>>,
    settled_time: Time,
) {
    let mut last_lists: BTreeMap<&str, (LineRef<'_>, &GatewayList)> = BTreeMap::new();
    for line_ref in run.history.lines() {
        let Event::GatewayList(list) = &line_ref.line.event else {
            continue;
        };
        if last_lists
            .get(&*list.gateway)
            .is_none_or(|(known, _)| known.line.time <= line_ref.line.time)
        {
            last_lists.insert(&list.gateway, (line_ref, list));
        }
    }
    let may_miss_changes = run.may_miss_events(ProcessKind::Listener);
    let mut listed_after_kill: BTreeMap<&ListEntry, BTreeSet<&str>> = BTreeMap::new();
    let mut checked_lists: BTreeMap<&str, LineRef<'_>> = BTreeMap::new();
    for (gateway, (line_ref, list)) in last_lists {
        if line_ref.line.time < settled_time || may_miss_changes {
            let reason = if may_miss_changes {
                "a listener's file is torn"
            } else {
                "it was recorded before the time bound for equal lists was over"
            };
            report
                .unchecked
                .push(format!("the list of {gateway}: {reason}"));
            continue;
        }
        report.counts.lists += 1;
        checked_lists.insert(gateway, line_ref);
        let listed: BTreeMap<(&str, &str), &ListEntry> = list
            .entries
            .iter()
            .map(|e| ((&*e.subscriber, &*e.topic), e))
            .collect();
        if listed.len() < list.entries.len() {
            report.add(
                "list-twice",
                gateway,
                "the list has a subscription twice".into(),
                &[line_ref],
            );
        }
        for ((subscriber, topic), own_changes) in changes {
            let Some(newest) = own_changes.last() else {
                continue;
            };
            let killed_line = killed.get(&(
                &*newest.subscription.subscriber,
                newest.subscription.incarnation,
            ));
            let name = format!("{topic} of {subscriber} at {gateway}");
            match (listed.get(&(*subscriber, *topic)), newest.is_unsubscribed) {
                (None, false) if killed_line.is_none() => {
                    report.add(
                        "lost",
                        &name,
                        "the subscriber did not end the subscription, and the list does not have it".into(),
                        &[newest.line_ref, line_ref],
                    );
                }
                (Some(_), true) => {
                    report.add(
                        "brought-back",
                        &name,
                        "the subscriber had ended the subscription, and the list has it".into(),
                        &[newest.line_ref, line_ref],
                    );
                }
                (Some(entry), false)
                    if entry.zone != newest.subscription.zone
                        || entry.incarnation != newest.subscription.incarnation =>
                {
                    let description = format!(
                        "the subscription is in zone {} with incarnation {}, and the list has it in zone {} with incarnation {}",
                        newest.subscription.zone,
                        newest.subscription.incarnation,
                        entry.zone,
                        entry.incarnation
                    );
                    report.add("moved", &name, description, &[newest.line_ref, line_ref]);
                }
                (Some(entry), false) => {
                    let Some(killed_line) = killed_line else {
                        continue;
                    };
                    let expiry = killed_line.line.time
                        + run.bounds.subscription_age
                        + run.bounds.max_heal_time;
                    if line_ref.line.time > expiry {
                        report.add(
                            "brought-back",
                            &name,
                            "the subscription of a killed listener has expired, and the list has it".into(),
                            &[*killed_line, line_ref],
                        );
                    } else {
                        listed_after_kill.entry(entry).or_default().insert(gateway);
                    }
                }
                (None, _) => {}
            }
        }
        for ((subscriber, topic), _) in listed.iter().filter(|(key, _)| !changes.contains_key(*key))
        {
            let name = format!("{topic} of {subscriber} at {gateway}");
            report.add(
                "made-up",
                &name,
                "no subscriber requested this subscription".into(),
                &[line_ref],
            );
        }
    }
    // Before it expires, the subscription of a killed listener may be listed or not, but equally at all gateways.
    for (entry, gateways) in listed_after_kill {
        let with = gateways
            .first()
            .and_then(|gateway| checked_lists.get(gateway));
        let without = checked_lists
            .iter()
            .find(|(gateway, _)| !gateways.contains(*gateway));
        if let (Some(with), Some((_, without))) = (with, without) {
            let name = format!("{} of {}", entry.topic, entry.subscriber);
            report.add(
                "unequal",
                &name,
                "one gateway lists the subscription and another does not".into(),
                &[*with, *without],
            );
        }
    }
}

/// What a listener was notified of.
#[derive(Default)]
struct NotifiedState<'a> {
    /// Token and number of the last event that the listener was notified of, with its line.
    last: Option<(Token, u64, LineRef<'a>)>,
    /// Line of the notification since then that the listener missed events.
    missed: Option<LineRef<'a>>,
}

/// Checks that listeners are notified of events in order, without a gap unless they are notified of missed events, and
/// that the last event reaches them.
fn check_events(
    run: &RunContext<'_>,
    report: &mut ReportBuilder,
    changes: &Changes<'_>,
    killed: &HashMap<(&str, u64), LineRef<'_>>,
    settled_time: Time,
) {
    let mut states: BTreeMap<(&str, u64, &str), NotifiedState<'_>> = BTreeMap::new();
    let mut newest: BTreeMap<&str, (LineRef<'_>, &Published)> = BTreeMap::new();
    let mut first_received: HashMap<(&str, &str, Token, u64), (LineRef<'_>, &str)> = HashMap::new();
    for line_ref in run.history.lines() {
        match &line_ref.line.event {
            Event::Notified(notified) => {
                report.counts.notifications += 1;
                let state = states
                    .entry((&notified.subscriber, notified.incarnation, &notified.topic))
                    .or_default();
                let name = format!("{} of {}", notified.topic, notified.subscriber);
                if let Some((token, number, before)) = state.last {
                    let next = number.saturating_add(1).saturating_add(notified.collapsed);
                    if (notified.token, notified.number) <= (token, number) {
                        let description = format!(
                            "{} {} after {token} {number}",
                            notified.token, notified.number
                        );
                        report.add("backwards", &name, description, &[before, line_ref]);
                        continue;
                    }
                    let follows = if notified.token == token {
                        notified.number <= next
                    } else {
                        notified.number <= 1 + notified.collapsed
                    };
                    if !follows && state.missed.is_none() {
                        let description = format!(
                            "{} {} after {token} {number}, without a notification of missed events",
                            notified.token, notified.number
                        );
                        report.add("gap", &name, description, &[before, line_ref]);
                    }
                }
                state.last = Some((notified.token, notified.number, line_ref));
                state.missed = None;
            }
            Event::EventsMissed(missed) => {
                states
                    .entry((&missed.subscriber, missed.incarnation, &missed.topic))
                    .or_default()
                    .missed = Some(line_ref);
            }
            Event::Published(published)
                if newest.get(&*published.topic).is_none_or(|(_, known)| {
                    (known.token, known.number) < (published.token, published.number)
                }) =>
            {
                newest.insert(&published.topic, (line_ref, published));
            }
            Event::Received(received) => {
                let (before, gateway) = *first_received
                    .entry((
                        &received.subscriber,
                        &received.topic,
                        received.token,
                        received.number,
                    ))
                    .or_insert((line_ref, &received.gateway));
                if gateway != received.gateway
                    && before.line.time.min(line_ref.line.time) > settled_time
                {
                    let name = format!("{} of {}", received.topic, received.subscriber);
                    let description = format!(
                        "{gateway} and {} both sent {} {}",
                        received.gateway, received.token, received.number
                    );
                    report.add("told-twice", &name, description, &[before, line_ref]);
                }
            }
            _ => {}
        }
    }
    let end = run
        .history
        .lines()
        .map(|line_ref| line_ref.line.time)
        .max()
        .unwrap_or(0);
    for ((subscriber, topic), own_changes) in changes {
        let (Some(change), Some((published_line, event))) = (own_changes.last(), newest.get(topic))
        else {
            continue;
        };
        let deadline = published_line
            .line
            .time
            .max(settled_time)
            .max(change.line_ref.line.time)
            + run.bounds.max_notify_time;
        let is_subscribed = !change.is_unsubscribed
            && !killed.contains_key(&(*subscriber, change.subscription.incarnation))
            && change.line_ref.line.time <= published_line.line.time;
        if !is_subscribed || end <= deadline || run.may_miss_events(ProcessKind::Listener) {
            continue;
        }
        let state = states.get(&(*subscriber, change.subscription.incarnation, *topic));
        if state.is_some_and(|state| state.missed.is_some()) {
            continue;
        }
        let last = state.and_then(|state| state.last);
        if last.is_none_or(|(token, number, _)| (token, number) < (event.token, event.number)) {
            let description = format!(
                "the subscriber was notified neither of {} {} nor that it missed events",
                event.token, event.number
            );
            let mut evidence = vec![change.line_ref, *published_line];
            evidence.extend(last.map(|(_, _, line_ref)| line_ref));
            report.add(
                "silently-stale",
                &format!("{topic} of {subscriber}"),
                description,
                &evidence,
            );
        }
    }
}
