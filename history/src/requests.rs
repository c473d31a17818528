//! Requests: a write runs once at most, a session sees its own writes, no read is staler than its class, one final answer.

use crate::judge::{Docket, Trial};
use crate::{Answered, Asked, Event, Fate, Kind, Ran, Seen, Time};
use std::collections::{BTreeMap, HashMap};

/// What was written and seen by each session and group, with its time.
type Sessions<'a> = HashMap<(&'a str, u64), Vec<(Time, u64, Seen<'a>)>>;

#[derive(Default)]
struct Request<'a> {
    asked: Vec<(Seen<'a>, &'a Asked)>,
    answered: Vec<(Seen<'a>, &'a Answered)>,
    ran: Vec<(Seen<'a>, &'a Ran)>,
}

/// The writes of one group in the order in which they ran, with the highest position up to each.
type Writes<'a> = HashMap<u64, Vec<(Time, u64, Seen<'a>)>>;

pub(crate) fn check(trial: &Trial<'_>, docket: &mut Docket) {
    let mut all: BTreeMap<&str, Request<'_>> = BTreeMap::new();
    for seen in trial.history.seen().filter(|s| !s.line.claim) {
        match &seen.line.what {
            Event::Asked(e) => all.entry(&e.id).or_default().asked.push((seen, e)),
            Event::Answered(e) => all.entry(&e.id).or_default().answered.push((seen, e)),
            Event::Ran(e) => all.entry(&e.id).or_default().ran.push((seen, e)),
            _ => {}
        }
    }
    docket.counts.asked = all.values().map(|r| r.asked.len()).sum();
    docket.counts.ran = all.values().map(|r| r.ran.len()).sum();
    for (id, request) in &all {
        answers(trial, docket, id, request);
        once(trial, docket, id, request);
    }
    let writes = writes(&all);
    let mut sessions: Sessions<'_> = HashMap::new();
    for request in all.values() {
        let ([(_, asked)], [(told, answered)], [(ran, write), ..]) =
            (&request.asked[..], &request.answered[..], &request.ran[..])
        else {
            continue;
        };
        if asked.write && answered.fate == Fate::Served {
            let mine = sessions.entry((&asked.session, asked.group)).or_default();
            mine.push((told.line.at, write.position, *ran));
        }
    }
    for own in sessions.values_mut() {
        rising(own);
    }
    for (id, request) in &all {
        let [(begun, asked)] = request.asked[..] else {
            continue;
        };
        let served = request.answered.iter().any(|(_, a)| a.fate == Fate::Served);
        // Of several tries that ran, any may have been the one that was answered: the best counts.
        let best = request
            .ran
            .iter()
            .filter(|(_, r)| !r.write)
            .max_by_key(|(_, r)| r.position);
        let Some((ran, read)) = best.filter(|_| served && !asked.write) else {
            continue;
        };
        let at = begun.line.at;
        let own = sessions
            .get(&(&*asked.session, asked.group))
            .and_then(|own| newest(own, at));
        if let Some((position, write)) = own.filter(|(position, _)| *position > read.position) {
            let what = format!(
                "{id} saw {} up to {} and not {position}",
                read.node, read.position
            );
            docket.add("own-writes", &asked.session, what, &[write, begun, *ran]);
        }
        let bound = asked.stale.and_then(|stale| at.checked_sub(stale));
        let known = bound.and_then(|at| newest(writes.get(&asked.group)?, at));
        if let Some((position, write)) = known.filter(|(position, _)| *position > read.position) {
            let stale = asked.stale.unwrap_or(0);
            let what = format!(
                "{id} saw {} up to {}, older than {stale} us allow",
                read.node, read.position
            );
            let what = format!("{what}: {position} was there before");
            docket.add("stale", id, what, &[write, begun, *ran]);
        }
    }
}

/// In the order of time, each with the highest position so far.
fn rising(writes: &mut [(Time, u64, Seen<'_>)]) {
    writes.sort_by_key(|w| w.0);
    for n in 1..writes.len() {
        if writes[n].1 < writes[n - 1].1 {
            (writes[n].1, writes[n].2) = (writes[n - 1].1, writes[n - 1].2);
        }
    }
}

/// The highest position that was there by then.
fn newest<'a>(writes: &[(Time, u64, Seen<'a>)], by: Time) -> Option<(u64, Seen<'a>)> {
    let place = writes.partition_point(|w| w.0 <= by);
    place.checked_sub(1).map(|n| (writes[n].1, writes[n].2))
}

fn writes<'a>(all: &BTreeMap<&str, Request<'a>>) -> Writes<'a> {
    let mut writes: Writes<'a> = HashMap::new();
    for (seen, ran) in all
        .values()
        .flat_map(|r| &r.ran)
        .filter(|(_, ran)| ran.write)
    {
        writes
            .entry(ran.group)
            .or_default()
            .push((seen.line.at, ran.position, *seen));
    }
    writes.values_mut().for_each(|group| rising(group));
    writes
}

/// One final answer each, and its own.
fn answers(trial: &Trial<'_>, docket: &mut Docket, id: &str, request: &Request<'_>) {
    if let [(first, _), (second, _), ..] = request.asked[..] {
        docket.add(
            "answers",
            id,
            "asked twice under one id".into(),
            &[first, second],
        );
    }
    if let [(first, _), (second, _), ..] = request.answered[..] {
        docket.add("answers", id, "two final answers".into(), &[first, second]);
    }
    let Some((begun, asked)) = request.asked.first() else {
        // What a torn file of a client lost was asked all the same.
        if let Some((told, _)) = request
            .answered
            .first()
            .filter(|_| !trial.torn(Kind::Client))
        {
            docket.add("answers", id, "answered, and nobody asked".into(), &[*told]);
        }
        return;
    };
    match request.answered.first() {
        None if trial.torn(Kind::Client) => {}
        None => docket.add(
            "answers",
            id,
            "no final answer, nor an end to the wait".into(),
            &[*begun],
        ),
        Some((told, answer)) => match answer.fate {
            Fate::Foreign => docket.add(
                "answers",
                id,
                "the value of another".into(),
                &[*begun, *told],
            ),
            Fate::Unanswered if !struck(trial, &asked.of, begun.line.at, told.line.at) => {
                let span = (told.line.at - begun.line.at.min(told.line.at)) as f64 / 1e6;
                docket.add(
                    "answers",
                    id,
                    format!("none in {span:.2} s"),
                    &[*begun, *told],
                );
            }
            _ => {}
        },
    }
}

/// Whether a process was struck while somebody waited for it: it may leave that one without an answer.
fn struck(trial: &Trial<'_>, whom: &str, from: Time, until: Time) -> bool {
    let during = |f: &&crate::Fault| f.begin <= until && f.end + trial.bounds.recover >= from;
    trial
        .faults
        .iter()
        .any(|f| f.blow && during(f) && f.whom.iter().any(|w| w == whom))
}

/// No write runs twice; what was served ran, and what was refused did not.
fn once(trial: &Trial<'_>, docket: &mut Docket, id: &str, request: &Request<'_>) {
    let ran: Vec<Seen<'_>> = request
        .ran
        .iter()
        .filter(|(_, r)| r.write)
        .map(|(s, _)| *s)
        .collect();
    if ran.len() > 1 {
        docket.add(
            "once",
            id,
            format!("a write ran {} times", ran.len()),
            &ran[..2],
        );
        return;
    }
    let [(begun, asked), ..] = request.asked[..] else {
        return;
    };
    let Some((told, answer)) = request.answered.first().filter(|_| asked.write) else {
        return;
    };
    if answer.fate == Fate::Served && ran.is_empty() && !trial.torn(Kind::Standin) {
        docket.add(
            "once",
            id,
            "a write was served and did not run".into(),
            &[begun, *told],
        );
    }
    if let (Fate::Refused, [ran]) = (answer.fate, &ran[..]) {
        docket.add(
            "once",
            id,
            "a write was refused and ran".into(),
            &[begun, *ran, *told],
        );
    }
}
