//! Gathered answers: each is the plain merge of what its sources sent, and what it says of the rest is true.
//!
//! The merge here collects everything, sorts and cuts. It shares no line with the library whose answers it judges.

use crate::judge::{Docket, Trial};
use crate::{Event, Held, Keep, Merged, Plain, Row, Seen, Sent};
use serde_json::Value;
use std::cmp::Ordering;
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// Two sums of the same numbers in another order differ by no more than this share.
const ROUNDING: f64 = 1e-9;

fn kind(value: &Value) -> u8 {
    match value {
        Value::Null => 0,
        Value::Bool(_) => 1,
        Value::Number(_) => 2,
        Value::String(_) => 3,
        Value::Array(_) | Value::Object(_) => 4,
    }
}

/// Absent, then booleans, numbers, text.
fn compare(a: &Value, b: &Value) -> Ordering {
    match (a, b) {
        (Value::Bool(a), Value::Bool(b)) => a.cmp(b),
        (Value::Number(x), Value::Number(y)) => match (x.as_i64(), y.as_i64()) {
            (Some(x), Some(y)) => x.cmp(&y),
            _ => x
                .as_f64()
                .unwrap_or(0.0)
                .total_cmp(&y.as_f64().unwrap_or(0.0)),
        },
        (Value::String(a), Value::String(b)) => a.cmp(b),
        _ => kind(a).cmp(&kind(b)),
    }
}

fn column<'a>(row: &'a Row, name: &str) -> &'a Value {
    row.get(name).unwrap_or(&Value::Null)
}

/// By the keys of the order alone.
fn order(rules: &Plain, a: &Row, b: &Row) -> Ordering {
    for key in &rules.sort {
        let (a, b) = (column(a, &key.column), column(b, &key.column));
        let by = match (a.is_null(), b.is_null()) {
            (true, true) => Ordering::Equal,
            (true, false) if key.absent_first => Ordering::Less,
            (true, false) => Ordering::Greater,
            (false, true) if key.absent_first => Ordering::Greater,
            (false, true) => Ordering::Less,
            (false, false) if key.down => compare(b, a),
            (false, false) => compare(a, b),
        };
        if by.is_ne() {
            return by;
        }
    }
    Ordering::Equal
}

/// The total order: the keys, then the source, then the row itself.
fn whole(rules: &Plain, a: &(&str, Row), b: &(&str, Row)) -> Ordering {
    let text = |row: &Row| serde_json::to_string(row).unwrap_or_default();
    order(rules, &a.1, &b.1)
        .then_with(|| a.0.cmp(b.0))
        .then_with(|| text(&a.1).cmp(&text(&b.1)))
}

fn key(rules: &Plain, row: &Row) -> Vec<String> {
    rules
        .key
        .iter()
        .map(|name| column(row, name).to_string())
        .collect()
}

fn number(value: f64, like: &Value) -> Value {
    let whole = like.is_i64() || like.is_u64() || like.is_null();
    if whole && value.fract() == 0.0 {
        Value::from(value as i64)
    } else {
        Value::from(value)
    }
}

/// All rows, sorted, each key once, before anything is cut.
fn collect(rules: &Plain, parts: &[(&str, &[Row])]) -> Vec<Row> {
    let each = |(source, rows): &(&str, &[Row])| {
        let source: String = (*source).into();
        rows.iter()
            .cloned()
            .map(move |row| (source.clone(), row))
            .collect::<Vec<_>>()
    };
    let owned: Vec<(String, Row)> = parts.iter().flat_map(each).collect();
    let mut all: Vec<(&str, Row)> = owned.iter().map(|(s, r)| (&**s, r.clone())).collect();
    all.sort_by(|a, b| whole(rules, a, b));
    if rules.key.is_empty() {
        return all.into_iter().map(|(_, row)| row).collect();
    }
    let mut places: HashMap<Vec<String>, usize> = HashMap::new();
    let mut kept: Vec<(&str, Row)> = Vec::new();
    for (source, row) in all {
        let Some(place) = places.get(&key(rules, &row)).copied() else {
            places.insert(key(rules, &row), kept.len());
            let mut row = row;
            if let Keep::Count(name) = &rules.keep {
                row.insert(name.clone(), 1.into());
            }
            kept.push((source, row));
            continue;
        };
        let known = &mut kept[place].1;
        match &rules.keep {
            Keep::First => {}
            Keep::Highest(name) if compare(column(&row, name), column(known, name)).is_gt() => {
                kept[place] = (source, row);
            }
            Keep::Lowest(name) if compare(column(&row, name), column(known, name)).is_lt() => {
                kept[place] = (source, row);
            }
            Keep::Highest(_) | Keep::Lowest(_) => {}
            Keep::Sum(name) => {
                let sum = column(known, name).as_f64().unwrap_or(0.0)
                    + column(&row, name).as_f64().unwrap_or(0.0);
                let sum = number(sum, column(known, name));
                known.insert(name.clone(), sum);
            }
            Keep::Count(name) => {
                let count = column(known, name).as_i64().unwrap_or(0) + 1;
                known.insert(name.clone(), count.into());
            }
        }
    }
    // What was kept or summed may belong elsewhere than the first of its key.
    kept.sort_by(|a, b| whole(rules, a, b));
    kept.into_iter().map(|(_, row)| row).collect()
}

fn cut(rules: &Plain, rows: Vec<Row>) -> Vec<Row> {
    rows.into_iter()
        .skip(rules.offset)
        .take(rules.limit.unwrap_or(usize::MAX))
        .collect()
}

/// Collects, sorts, deduplicates and cuts: what a merge of these sources' rows must come to.
pub fn plain(rules: &Plain, parts: &[(&str, &[Row])]) -> Vec<Row> {
    cut(rules, collect(rules, parts))
}

fn near(a: f64, b: f64) -> bool {
    (a - b).abs() <= ROUNDING * a.abs().max(b.abs()).max(1.0)
}

fn same(a: &Row, b: &Row) -> bool {
    let names: BTreeSet<&String> = a.keys().chain(b.keys()).collect();
    names
        .into_iter()
        .all(|name| match (column(a, name), column(b, name)) {
            (Value::Number(x), Value::Number(y))
                if x.as_i64().is_none() || y.as_i64().is_none() =>
            {
                near(x.as_f64().unwrap_or(0.0), y.as_f64().unwrap_or(0.0))
            }
            (x, y) => x == y,
        })
}

#[derive(Default)]
struct Question<'a> {
    held: BTreeMap<&'a str, (Seen<'a>, &'a Held)>,
    sent: Vec<(Seen<'a>, &'a Sent)>,
    merged: Vec<(Seen<'a>, &'a Merged)>,
}

pub(crate) fn check(trial: &Trial<'_>, docket: &mut Docket) {
    let mut all: BTreeMap<&str, Question<'_>> = BTreeMap::new();
    for seen in trial.history.seen() {
        match &seen.line.what {
            Event::Held(h) => {
                all.entry(&h.question)
                    .or_default()
                    .held
                    .insert(&h.source, (seen, h));
            }
            Event::Sent(s) => all.entry(&s.question).or_default().sent.push((seen, s)),
            Event::Merged(m) => all.entry(&m.question).or_default().merged.push((seen, m)),
            _ => {}
        }
    }
    for (name, question) in &all {
        for (seen, answer) in &question.merged {
            docket.counts.merged += 1;
            judge(docket, name, question, *seen, answer);
        }
    }
}

fn judge(
    docket: &mut Docket,
    name: &str,
    question: &Question<'_>,
    seen: Seen<'_>,
    answer: &Merged,
) {
    let set = |names: &[String]| names.iter().cloned().collect::<BTreeSet<String>>();
    let (from, missing) = (set(&answer.from), set(&answer.missing));
    let both: BTreeSet<String> = from.union(&missing).cloned().collect();
    if both != set(&answer.expected) || !from.is_disjoint(&missing) {
        docket.add(
            "missing",
            name,
            "who answered and who is missing are not who was asked".into(),
            &[seen],
        );
    }
    let mut last: BTreeMap<&str, (Seen<'_>, &Sent)> = BTreeMap::new();
    for (at, sent) in question
        .sent
        .iter()
        .filter(|(at, s)| at.line.at <= seen.line.at && from.contains(&s.source))
    {
        if last
            .get(&*sent.source)
            .is_none_or(|(known, _)| known.line.at <= at.line.at)
        {
            last.insert(&sent.source, (*at, sent));
        }
    }
    if let Some(source) = from.iter().find(|s| !last.contains_key(&***s)) {
        docket.add(
            "missing",
            name,
            format!("{source} is said to have answered, and sent nothing before"),
            &[seen],
        );
        return;
    }
    let parts: Vec<(&str, &[Row])> = last.values().map(|(_, s)| (&*s.source, &*s.rows)).collect();
    let wanted = plain(&answer.rules, &parts);
    let differs = (0..wanted.len().max(answer.rows.len())).find(|n| {
        match (wanted.get(*n), answer.rows.get(*n)) {
            (Some(want), Some(row)) => !same(want, &row.row),
            _ => true,
        }
    });
    if let Some(n) = differs {
        let text = |row: Option<&Row>| {
            row.map_or("no row".into(), |r| {
                serde_json::to_string(r).unwrap_or_default()
            })
        };
        let (want, got) = (
            text(wanted.get(n)),
            text(answer.rows.get(n).map(|r| &r.row)),
        );
        // The sources that the row in question came from are enough to show it.
        let rules = &answer.rules;
        let alike = |a: &Row, b: &Row| {
            if rules.key.is_empty() {
                same(a, b)
            } else {
                key(rules, a) == key(rules, b)
            }
        };
        let in_question = [wanted.get(n), answer.rows.get(n).map(|r| &r.row)];
        let speaks = |s: &Sent| {
            s.rows
                .iter()
                .any(|r| in_question.iter().flatten().any(|q| alike(r, q)))
        };
        let mut part: Vec<Seen<'_>> = last
            .values()
            .filter(|(_, s)| speaks(s))
            .map(|(at, _)| *at)
            .collect();
        part.push(seen);
        docket.add(
            "merge",
            name,
            format!("row {n} is {got}, and the plain merge has {want}"),
            &part,
        );
        return;
    }
    let held: Option<Vec<(Seen<'_>, &Held)>> = from
        .iter()
        .map(|s| question.held.get(&**s).copied())
        .collect();
    let Some(held) = held else {
        docket.open.push(format!(
            "bounds of {name}: not all sources told what they held"
        ));
        return;
    };
    bounds(docket, name, answer, seen, &last, &held);
}

/// What the answer says of rows that it does not hold is true of what its sources really held.
fn bounds(
    docket: &mut Docket,
    name: &str,
    answer: &Merged,
    seen: Seen<'_>,
    last: &BTreeMap<&str, (Seen<'_>, &Sent)>,
    held: &[(Seen<'_>, &Held)],
) {
    let rules = &answer.rules;
    let parts: Vec<(&str, &[Row])> = held.iter().map(|(_, h)| (&*h.source, &*h.rows)).collect();
    let truth = collect(rules, &parts);
    let of = |row: &Row| key(rules, row);
    for (n, row) in answer.rows.iter().enumerate() {
        let there = truth.get(n + rules.offset);
        let stands = there.is_some_and(|t| {
            if rules.key.is_empty() {
                same(t, &row.row)
            } else {
                of(t) == of(&row.row)
            }
        });
        if row.certain && !stands {
            let want = there.map_or("nothing".into(), |t| {
                serde_json::to_string(t).unwrap_or_default()
            });
            docket.add(
                "certain",
                name,
                format!("row {n} is said to be certain, and {want} belongs there"),
                &[seen],
            );
        }
        let Keep::Sum(sum) = &rules.keep else {
            continue;
        };
        let real = truth
            .iter()
            .find(|t| of(t) == of(&row.row))
            .and_then(|t| column(t, sum).as_f64());
        let (low, high) = (
            row.low.unwrap_or(f64::NEG_INFINITY),
            row.high.unwrap_or(f64::INFINITY),
        );
        if let Some(real) =
            real.filter(|r| (*r < low && !near(*r, low)) || (*r > high && !near(*r, high)))
        {
            docket.add(
                "bounds",
                name,
                format!("row {n} is said to be {low} to {high}, and is {real}"),
                &[seen],
            );
        }
    }
    for (at, h) in held {
        let Some((sent_at, sent)) = last.get(&*h.source) else {
            continue;
        };
        let mut left: Vec<&Row> = sent.rows.iter().collect();
        for row in &h.rows {
            if let Some(n) = left.iter().position(|s| same(s, row)) {
                left.swap_remove(n);
                continue;
            }
            let hidden = match &answer.unseen {
                None => Some("and the answer says that nothing was held back"),
                Some(first) if order(rules, row, first).is_lt() => {
                    Some("before the first that the answer allows for")
                }
                Some(_) => None,
            };
            if let Some(why) = hidden {
                let row = serde_json::to_string(row).unwrap_or_default();
                docket.add(
                    "unseen",
                    name,
                    format!("{} held back {row}, {why}", h.source),
                    &[*at, *sent_at, seen],
                );
            }
        }
    }
}
