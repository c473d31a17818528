//! Owners: each duty is a register whose value is a token that only rises.
//!
//! **Linearizable without a search.** An effect is an operation that lasts from `begin` to `end` and shows its token. A
//! history of such operations is linearizable, with tokens that never fall, if and only if no operation ends before another
//! begins that shows a lower token. One direction is plain. The other: put an edge from A to B where A ends before B
//! begins, and one where A's token is lower than B's. If the condition holds, tokens never fall along any edge, so a cycle
//! would consist of edges of time alone, and there is none of those; an order along the edges is the linearization. So one
//! pass in the order of time is enough, where a search over orders is exponential at its worst.

use crate::judge::{Docket, Trial};
use crate::{Acted, Event, Refused, Seen};
use plovercove_fencing::{LeaseName, Token};
use std::collections::{BTreeMap, HashMap, HashSet};

type Effect<'a> = (Seen<'a>, &'a Acted);

pub(crate) fn check(trial: &Trial<'_>, docket: &mut Docket) {
    let mut duties: BTreeMap<&LeaseName, Vec<Effect<'_>>> = BTreeMap::new();
    let mut refused: Vec<(Seen<'_>, &Refused)> = Vec::new();
    for seen in trial.history.seen().filter(|s| !s.line.claim) {
        match &seen.line.what {
            Event::Acted(e) => duties.entry(&e.duty).or_default().push((seen, e)),
            Event::Refused(e) => refused.push((seen, e)),
            _ => {}
        }
    }
    docket.counts.acted = duties.values().map(Vec::len).sum();
    docket.counts.refused = refused.len();
    for (duty, effects) in &mut duties {
        effects.sort_by_key(|(_, e)| (e.begin, e.end));
        one_each(docket, duty, effects);
        rises(docket, duty, effects);
        overlap(trial, docket, duty, effects);
    }
    for (seen, r) in refused {
        if r.token >= r.known && r.token != Token::NONE {
            let what = format!(
                "{} refused {} of {}, and knew {}",
                r.place, r.token, r.owner, r.known
            );
            docket.add("refused", r.duty.as_str(), what, &[seen]);
        }
    }
}

/// A token is granted to one owner, and the first is 1.
fn one_each(docket: &mut Docket, duty: &LeaseName, effects: &[Effect<'_>]) {
    let mut owners: HashMap<Token, Effect<'_>> = HashMap::new();
    for (seen, e) in effects {
        if e.fenced && e.token == Token::NONE {
            let what = format!("{} let {} act without a token", e.place, e.owner);
            docket.add("token-none", duty.as_str(), what, &[*seen]);
        }
        if e.token == Token::NONE {
            continue;
        }
        let (first, known) = owners.entry(e.token).or_insert((*seen, e));
        if known.owner != e.owner {
            let what = format!("{} is of {} and of {}", e.token, known.owner, e.owner);
            docket.add("token-twice", duty.as_str(), what, &[*first, *seen]);
        }
    }
}

/// What each affected that looks at tokens lets pass is linearizable: nothing begins under an older token once something
/// under a newer one has ended there.
fn rises(docket: &mut Docket, duty: &LeaseName, effects: &[Effect<'_>]) {
    let mut places: BTreeMap<&str, Vec<Effect<'_>>> = BTreeMap::new();
    for effect in effects.iter().filter(|(_, e)| e.fenced) {
        places.entry(&effect.1.place).or_default().push(*effect);
    }
    for (place, effects) in places {
        let mut ends: Vec<Effect<'_>> = effects.clone();
        ends.sort_by_key(|(_, e)| e.end);
        let (mut over, mut newest) = (0, None::<Effect<'_>>);
        for (seen, e) in effects {
            while let Some(ended) = ends.get(over).filter(|(_, o)| o.end < e.begin) {
                // Of equal ones the latest, so that the part that is shown is short.
                if newest.is_none_or(|(_, n)| n.token <= ended.1.token) {
                    newest = Some(*ended);
                }
                over += 1;
            }
            if let Some((before, newer)) = newest.filter(|(_, n)| n.token > e.token) {
                let what = format!(
                    "{place} let {} of {} pass after {} of {}",
                    e.token, e.owner, newer.token, newer.owner
                );
                docket.add("token-fell", duty.as_str(), what, &[before, seen]);
            }
        }
    }
}

/// At any moment one owner acts at most, whoever is affected, save by the bound: under a token nothing ends later than the
/// bound after another owner's first effect under a newer one.
fn overlap(trial: &Trial<'_>, docket: &mut Docket, duty: &LeaseName, effects: &[Effect<'_>]) {
    let bound = trial.bounds.overlap;
    let mut known: HashSet<Token> = HashSet::new();
    // First effects of each token in the order of time, each with the newest of all up to it.
    let mut begun: Vec<(Effect<'_>, Effect<'_>)> = Vec::new();
    for effect in effects.iter().filter(|(_, e)| e.token != Token::NONE) {
        if known.insert(effect.1.token) {
            let newest = begun
                .last()
                .map(|(_, n)| *n)
                .filter(|(_, n)| n.token > effect.1.token);
            begun.push((*effect, newest.unwrap_or(*effect)));
        }
    }
    for (seen, e) in effects.iter().filter(|(_, e)| e.token != Token::NONE) {
        let until = e.end.saturating_sub(bound);
        let before = &begun[..begun.partition_point(|((_, first), _)| first.begin < until)];
        let Some((_, newest)) = before.last().filter(|(_, n)| n.1.token > e.token) else {
            continue;
        };
        // The newest may be its own: then there may be another's in between.
        let other = Some(*newest)
            .filter(|(_, n)| n.owner != e.owner)
            .or_else(|| {
                let firsts = before.iter().rev().map(|(first, _)| *first);
                firsts
                    .into_iter()
                    .find(|(_, o)| o.token > e.token && o.owner != e.owner)
            });
        if let Some((first, newer)) = other {
            let span = (e.end - newer.begin) as f64 / 1e6;
            let what = format!(
                "{} of {} acts on {} {span:.6} s after",
                e.token, e.owner, e.place
            );
            let what = format!("{what} {} of {} began", newer.token, newer.owner);
            docket.add(
                "two-owners",
                duty.as_str(),
                format!("{what}; {bound} us are allowed"),
                &[first, *seen],
            );
        }
    }
    // Effects that carry no token: nobody can tell an owner that came back from one that never left, so only what truly
    // overlaps is wrong. For each owner but the one before, the effect that ends last is enough.
    let mut last: [Option<Effect<'_>>; 2] = [None, None];
    for (seen, e) in effects.iter().filter(|(_, e)| e.token == Token::NONE) {
        for (other, o) in last.iter().flatten().filter(|(_, o)| o.owner != e.owner) {
            let both = o.end.min(e.end).saturating_sub(e.begin);
            if both > bound {
                let what = format!("{} and {} act at once for {both} us", o.owner, e.owner);
                docket.add(
                    "two-owners",
                    duty.as_str(),
                    format!("{what}; {bound} are allowed"),
                    &[*other, *seen],
                );
            }
        }
        let own = last
            .iter()
            .position(|l| l.is_some_and(|(_, o)| o.owner == e.owner));
        let place = own.unwrap_or_else(|| {
            usize::from(last[0].map_or(0, |(_, o)| o.end) > last[1].map_or(0, |(_, o)| o.end))
        });
        if last[place].is_none_or(|(_, o)| o.end <= e.end) {
            last[place] = Some((*seen, e));
        }
    }
}
