//! Lists of subscriptions at the gateways, and the news that subscribers were told.

use crate::judge::{Docket, Trial};
use crate::{Entry, Event, Kind, Listed, Published, Seen, Subscription, Time};
use plovercove_fencing::Token;
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// What a subscriber last wished of a topic.
struct Wish<'a> {
    seen: Seen<'a>,
    said: &'a Subscription,
    left: bool,
}

type Wishes<'a> = BTreeMap<(&'a str, &'a str), Vec<Wish<'a>>>;

pub(crate) fn check(trial: &Trial<'_>, docket: &mut Docket) {
    let mut wishes: Wishes<'_> = BTreeMap::new();
    let mut gone: HashMap<(&str, u64), Seen<'_>> = HashMap::new();
    for seen in trial.history.seen().filter(|s| !s.line.claim) {
        let (said, left) = match &seen.line.what {
            Event::Subscribed(said) => (said, false),
            Event::Left(said) => (said, true),
            Event::Gone(g) => {
                gone.insert((&g.subscriber, g.life), seen);
                continue;
            }
            _ => continue,
        };
        let mine = wishes.entry((&said.subscriber, &said.topic)).or_default();
        mine.push(Wish { seen, said, left });
    }
    for mine in wishes.values_mut() {
        mine.sort_by_key(|w| (w.said.life, w.said.counter));
    }
    let changed = wishes.values().flatten().map(|w| w.seen.line.at).max();
    let fault = trial.faults.iter().map(|f| f.end).max();
    let quiet = changed.max(fault).unwrap_or(0) + trial.bounds.heal;
    lists(trial, docket, &wishes, &gone, quiet);
    news(trial, docket, &wishes, &gone, quiet);
}

/// After the heal each gateway's list is what its subscribers wished.
fn lists(
    trial: &Trial<'_>,
    docket: &mut Docket,
    wishes: &Wishes<'_>,
    gone: &HashMap<(&str, u64), Seen<'_>>,
    quiet: Time,
) {
    let mut last: BTreeMap<&str, (Seen<'_>, &Listed)> = BTreeMap::new();
    for seen in trial.history.seen() {
        let Event::Listed(list) = &seen.line.what else {
            continue;
        };
        if last
            .get(&*list.gateway)
            .is_none_or(|(known, _)| known.line.at <= seen.line.at)
        {
            last.insert(&list.gateway, (seen, list));
        }
    }
    let lost = trial.torn(Kind::Listener);
    let mut doubted: BTreeMap<&Entry, BTreeSet<&str>> = BTreeMap::new();
    let mut judged: BTreeMap<&str, Seen<'_>> = BTreeMap::new();
    for (gateway, (seen, list)) in last {
        if seen.line.at < quiet || lost {
            let why = if lost {
                "a listener's file is torn"
            } else {
                "it was told before the bound was over"
            };
            docket.open.push(format!("the list of {gateway}: {why}"));
            continue;
        }
        docket.counts.lists += 1;
        judged.insert(gateway, seen);
        let held: BTreeMap<(&str, &str), &Entry> = list
            .entries
            .iter()
            .map(|e| ((&*e.subscriber, &*e.topic), e))
            .collect();
        if held.len() < list.entries.len() {
            docket.add(
                "list-twice",
                gateway,
                "it holds one subscription twice".into(),
                &[seen],
            );
        }
        for (who, mine) in wishes {
            let Some(newest) = mine.last() else { continue };
            let ended = gone.get(&(&*newest.said.subscriber, newest.said.life));
            let name = format!("{} of {} at {gateway}", who.1, who.0);
            match (held.get(who), newest.left) {
                (None, false) if ended.is_none() => {
                    docket.add(
                        "lost",
                        &name,
                        "it subscribed and did not leave".into(),
                        &[newest.seen, seen],
                    );
                }
                (Some(_), true) => {
                    docket.add(
                        "brought-back",
                        &name,
                        "it had left".into(),
                        &[newest.seen, seen],
                    );
                }
                (Some(entry), false)
                    if entry.zone != newest.said.zone || entry.life != newest.said.life =>
                {
                    let what = format!(
                        "it is in zone {} with life {}, and the list says {} with life {}",
                        newest.said.zone, newest.said.life, entry.zone, entry.life
                    );
                    docket.add("moved", &name, what, &[newest.seen, seen]);
                }
                (Some(entry), false) => {
                    let Some(end) = ended else { continue };
                    let until = end.line.at + trial.bounds.expire + trial.bounds.heal;
                    if seen.line.at > until {
                        docket.add(
                            "brought-back",
                            &name,
                            "its age is over".into(),
                            &[*end, seen],
                        );
                    } else {
                        doubted.entry(entry).or_default().insert(gateway);
                    }
                }
                (None, _) => {}
            }
        }
        for (who, _) in held.iter().filter(|(who, _)| !wishes.contains_key(*who)) {
            let name = format!("{} of {} at {gateway}", who.1, who.0);
            docket.add(
                "made-up",
                &name,
                "nobody ever subscribed so".into(),
                &[seen],
            );
        }
    }
    // Of who was ended it is open whether it is still held, but not that all gateways hold the same.
    for (entry, at) in doubted {
        let with = at.first().and_then(|g| judged.get(g));
        let without = judged.iter().find(|(g, _)| !at.contains(*g));
        if let (Some(with), Some((_, without))) = (with, without) {
            let name = format!("{} of {}", entry.topic, entry.subscriber);
            docket.add(
                "unequal",
                &name,
                "one gateway holds it, another does not".into(),
                &[*with, *without],
            );
        }
    }
}

#[derive(Default)]
struct Heard<'a> {
    /// The newest that it was told, and where.
    last: Option<(Token, u64, Seen<'a>)>,
    /// It was told since that it missed something.
    missed: Option<Seen<'a>>,
}

/// News come without gap or are told as missed, never backwards, and the last of them arrives.
fn news(
    trial: &Trial<'_>,
    docket: &mut Docket,
    wishes: &Wishes<'_>,
    gone: &HashMap<(&str, u64), Seen<'_>>,
    quiet: Time,
) {
    let mut heard: BTreeMap<(&str, u64, &str), Heard<'_>> = BTreeMap::new();
    let mut newest: BTreeMap<&str, (Seen<'_>, &Published)> = BTreeMap::new();
    let mut came: HashMap<(&str, &str, Token, u64), (Seen<'_>, &str)> = HashMap::new();
    for seen in trial.history.seen() {
        match &seen.line.what {
            Event::Told(t) => {
                docket.counts.told += 1;
                let mine = heard.entry((&t.subscriber, t.life, &t.topic)).or_default();
                let name = format!("{} of {}", t.topic, t.subscriber);
                if let Some((token, number, before)) = mine.last {
                    let next = number.saturating_add(1).saturating_add(t.collapsed);
                    if (t.token, t.number) <= (token, number) {
                        let what = format!("{} {} after {token} {number}", t.token, t.number);
                        docket.add("backwards", &name, what, &[before, seen]);
                        continue;
                    }
                    let follows = if t.token == token {
                        t.number <= next
                    } else {
                        t.number <= 1 + t.collapsed
                    };
                    if !follows && mine.missed.is_none() {
                        let what = format!(
                            "{} {} after {token} {number}, and nothing was told as missed",
                            t.token, t.number
                        );
                        docket.add("gap", &name, what, &[before, seen]);
                    }
                }
                mine.last = Some((t.token, t.number, seen));
                mine.missed = None;
            }
            Event::Missed(m) => {
                heard
                    .entry((&m.subscriber, m.life, &m.topic))
                    .or_default()
                    .missed = Some(seen);
            }
            Event::Published(p)
                if newest
                    .get(&*p.topic)
                    .is_none_or(|(_, n)| (n.token, n.number) < (p.token, p.number)) =>
            {
                newest.insert(&p.topic, (seen, p));
            }
            Event::Came(c) => {
                let (before, gateway) = *came
                    .entry((&c.subscriber, &c.topic, c.token, c.number))
                    .or_insert((seen, &c.gateway));
                if gateway != c.gateway && before.line.at.min(seen.line.at) > quiet {
                    let name = format!("{} of {}", c.topic, c.subscriber);
                    let what = format!(
                        "{gateway} and {} told it {} {}",
                        c.gateway, c.token, c.number
                    );
                    docket.add("told-twice", &name, what, &[before, seen]);
                }
            }
            _ => {}
        }
    }
    let end = trial.history.seen().map(|s| s.line.at).max().unwrap_or(0);
    for ((who, topic), mine) in wishes {
        let (Some(wish), Some((first, news))) = (mine.last(), newest.get(topic)) else {
            continue;
        };
        let late = first.line.at.max(quiet).max(wish.seen.line.at) + trial.bounds.tell;
        let there = !wish.left
            && !gone.contains_key(&(*who, wish.said.life))
            && wish.seen.line.at <= first.line.at;
        if !there || end <= late || trial.torn(Kind::Listener) {
            continue;
        }
        let known = heard.get(&(*who, wish.said.life, *topic));
        if known.is_some_and(|h| h.missed.is_some()) {
            continue;
        }
        let last = known.and_then(|h| h.last);
        if last.is_none_or(|(token, number, _)| (token, number) < (news.token, news.number)) {
            let what = format!(
                "it was never told {} {}, nor that it missed it",
                news.token, news.number
            );
            let mut part = vec![wish.seen, *first];
            part.extend(last.map(|(_, _, seen)| seen));
            docket.add("silently-stale", &format!("{topic} of {who}"), what, &part);
        }
    }
}
