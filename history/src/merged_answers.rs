//! Checks of merged answers: each one equals a plain merge of the rows that its sources sent, and its statements about
//! withheld rows are true.
//!
//! The merge in this module collects, sorts and cuts all rows. It shares no code with the library whose answers it
//! checks.

use crate::report::{ReportBuilder, RunContext};
use crate::{AnswerMerged, Event, KeepRule, LineRef, MergeRules, PartialSent, Row, SourceRows};
use serde_json::Value;
use std::cmp::Ordering;
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// Maximum relative difference between two sums of the same numbers in different order.
const ROUNDING: f64 = 1e-9;

/// Returns the rank of the type of a value in the order of values.
fn type_rank(value: &Value) -> u8 {
    match value {
        Value::Null => 0,
        Value::Bool(_) => 1,
        Value::Number(_) => 2,
        Value::String(_) => 3,
        Value::Array(_) | Value::Object(_) => 4,
    }
}

/// Compares two values: absent values first, then booleans, numbers and text.
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
        _ => type_rank(a).cmp(&type_rank(b)),
    }
}

/// Returns the value of a column; null if the row does not have it.
fn column<'a>(row: &'a Row, name: &str) -> &'a Value {
    row.get(name).unwrap_or(&Value::Null)
}

/// Compares two rows by the sort columns alone.
fn cmp_sort_columns(rules: &MergeRules, a: &Row, b: &Row) -> Ordering {
    for key in &rules.sort {
        let (a, b) = (column(a, &key.column), column(b, &key.column));
        let order = match (a.is_null(), b.is_null()) {
            (true, true) => Ordering::Equal,
            (true, false) if key.absent_first => Ordering::Less,
            (true, false) => Ordering::Greater,
            (false, true) if key.absent_first => Ordering::Greater,
            (false, true) => Ordering::Less,
            (false, false) if key.descending => compare(b, a),
            (false, false) => compare(a, b),
        };
        if order.is_ne() {
            return order;
        }
    }
    Ordering::Equal
}

/// Compares two rows by a total order: the sort columns, then the source, then the row as text.
fn cmp_rows(rules: &MergeRules, a: &(&str, Row), b: &(&str, Row)) -> Ordering {
    let text = |row: &Row| serde_json::to_string(row).unwrap_or_default();
    cmp_sort_columns(rules, &a.1, &b.1)
        .then_with(|| a.0.cmp(b.0))
        .then_with(|| text(&a.1).cmp(&text(&b.1)))
}

/// Returns the values of the key columns as text.
fn key_of(rules: &MergeRules, row: &Row) -> Vec<String> {
    rules
        .key
        .iter()
        .map(|name| column(row, name).to_string())
        .collect()
}

/// Converts a sum to an integer if it has no fraction and `like` is an integer or null.
fn number(value: f64, like: &Value) -> Value {
    let is_integer = like.is_i64() || like.is_u64() || like.is_null();
    if is_integer && value.fract() == 0.0 {
        Value::from(value as i64)
    } else {
        Value::from(value)
    }
}

/// Returns all rows, sorted and with one row for each key, before offset and limit.
fn sorted_unique_rows(rules: &MergeRules, parts: &[(&str, &[Row])]) -> Vec<Row> {
    let each = |(source, rows): &(&str, &[Row])| {
        let source: String = (*source).into();
        rows.iter()
            .cloned()
            .map(move |row| (source.clone(), row))
            .collect::<Vec<_>>()
    };
    let owned: Vec<(String, Row)> = parts.iter().flat_map(each).collect();
    let mut all: Vec<(&str, Row)> = owned.iter().map(|(s, r)| (&**s, r.clone())).collect();
    all.sort_by(|a, b| cmp_rows(rules, a, b));
    if rules.key.is_empty() {
        return all.into_iter().map(|(_, row)| row).collect();
    }
    let mut indexes: HashMap<Vec<String>, usize> = HashMap::new();
    let mut kept: Vec<(&str, Row)> = Vec::new();
    for (source, row) in all {
        let Some(index) = indexes.get(&key_of(rules, &row)).copied() else {
            indexes.insert(key_of(rules, &row), kept.len());
            let mut row = row;
            if let KeepRule::Count(name) = &rules.keep {
                row.insert(name.clone(), 1.into());
            }
            kept.push((source, row));
            continue;
        };
        let known = &mut kept[index].1;
        match &rules.keep {
            KeepRule::First => {}
            KeepRule::Highest(name) if compare(column(&row, name), column(known, name)).is_gt() => {
                kept[index] = (source, row);
            }
            KeepRule::Lowest(name) if compare(column(&row, name), column(known, name)).is_lt() => {
                kept[index] = (source, row);
            }
            KeepRule::Highest(_) | KeepRule::Lowest(_) => {}
            KeepRule::Sum(name) => {
                let sum = column(known, name).as_f64().unwrap_or(0.0)
                    + column(&row, name).as_f64().unwrap_or(0.0);
                let sum = number(sum, column(known, name));
                known.insert(name.clone(), sum);
            }
            KeepRule::Count(name) => {
                let count = column(known, name).as_i64().unwrap_or(0) + 1;
                known.insert(name.clone(), count.into());
            }
        }
    }
    // The row that was kept or summed may sort at another position than the first row of its key.
    kept.sort_by(|a, b| cmp_rows(rules, a, b));
    kept.into_iter().map(|(_, row)| row).collect()
}

/// Applies offset and limit.
fn limit_rows(rules: &MergeRules, rows: Vec<Row>) -> Vec<Row> {
    rows.into_iter()
        .skip(rules.offset)
        .take(rules.limit.unwrap_or(usize::MAX))
        .collect()
}

/// Collects, sorts, deduplicates and cuts the rows of sources. A merge of the same rows must have this result.
pub fn merge_rows(rules: &MergeRules, parts: &[(&str, &[Row])]) -> Vec<Row> {
    limit_rows(rules, sorted_unique_rows(rules, parts))
}

/// Returns whether two numbers are equal up to rounding.
fn nearly_equal(a: f64, b: f64) -> bool {
    (a - b).abs() <= ROUNDING * a.abs().max(b.abs()).max(1.0)
}

/// Returns whether two rows are equal, up to rounding of floating-point numbers.
fn equals(a: &Row, b: &Row) -> bool {
    let names: BTreeSet<&String> = a.keys().chain(b.keys()).collect();
    names
        .into_iter()
        .all(|name| match (column(a, name), column(b, name)) {
            (Value::Number(x), Value::Number(y))
                if x.as_i64().is_none() || y.as_i64().is_none() =>
            {
                nearly_equal(x.as_f64().unwrap_or(0.0), y.as_f64().unwrap_or(0.0))
            }
            (x, y) => x == y,
        })
}

/// All lines about one query.
#[derive(Default)]
struct QueryLines<'a> {
    source_rows: BTreeMap<&'a str, (LineRef<'a>, &'a SourceRows)>,
    sent: Vec<(LineRef<'a>, &'a PartialSent)>,
    merged: Vec<(LineRef<'a>, &'a AnswerMerged)>,
}

pub(crate) fn check(run: &RunContext<'_>, report: &mut ReportBuilder) {
    let mut all: BTreeMap<&str, QueryLines<'_>> = BTreeMap::new();
    for line_ref in run.history.lines() {
        match &line_ref.line.event {
            Event::SourceRows(source) => {
                all.entry(&source.query)
                    .or_default()
                    .source_rows
                    .insert(&source.source, (line_ref, source));
            }
            Event::PartialSent(sent) => all
                .entry(&sent.query)
                .or_default()
                .sent
                .push((line_ref, sent)),
            Event::AnswerMerged(answer) => all
                .entry(&answer.query)
                .or_default()
                .merged
                .push((line_ref, answer)),
            _ => {}
        }
    }
    for (name, query) in &all {
        for (line_ref, answer) in &query.merged {
            report.counts.merged_answers += 1;
            check_answer(report, name, query, *line_ref, answer);
        }
    }
}

/// Checks one merged answer.
fn check_answer(
    report: &mut ReportBuilder,
    name: &str,
    query: &QueryLines<'_>,
    line_ref: LineRef<'_>,
    answer: &AnswerMerged,
) {
    let set = |names: &[String]| names.iter().cloned().collect::<BTreeSet<String>>();
    let (included, missing) = (set(&answer.included), set(&answer.missing));
    let all_sources: BTreeSet<String> = included.union(&missing).cloned().collect();
    if all_sources != set(&answer.expected) || !included.is_disjoint(&missing) {
        report.add(
            "missing",
            name,
            "the included and the missing sources together are not the queried sources".into(),
            &[line_ref],
        );
    }
    let mut last_sent: BTreeMap<&str, (LineRef<'_>, &PartialSent)> = BTreeMap::new();
    for (sent_line, sent) in query.sent.iter().filter(|(sent_line, sent)| {
        sent_line.line.time <= line_ref.line.time && included.contains(&sent.source)
    }) {
        if last_sent
            .get(&*sent.source)
            .is_none_or(|(known, _)| known.line.time <= sent_line.line.time)
        {
            last_sent.insert(&sent.source, (*sent_line, sent));
        }
    }
    if let Some(source) = included.iter().find(|s| !last_sent.contains_key(&***s)) {
        report.add(
            "missing",
            name,
            format!("the answer includes {source}, which had sent nothing before"),
            &[line_ref],
        );
        return;
    }
    let parts: Vec<(&str, &[Row])> = last_sent
        .values()
        .map(|(_, sent)| (&*sent.source, &*sent.rows))
        .collect();
    let wanted = merge_rows(&answer.rules, &parts);
    let first_difference = (0..wanted.len().max(answer.rows.len())).find(|n| {
        match (wanted.get(*n), answer.rows.get(*n)) {
            (Some(want), Some(row)) => !equals(want, &row.row),
            _ => true,
        }
    });
    if let Some(n) = first_difference {
        let text = |row: Option<&Row>| {
            row.map_or("no row".into(), |r| {
                serde_json::to_string(r).unwrap_or_default()
            })
        };
        let (want, got) = (
            text(wanted.get(n)),
            text(answer.rows.get(n).map(|r| &r.row)),
        );
        // Only the lines of the sources that sent the wrong or the missing row are cited.
        let rules = &answer.rules;
        let is_same_key = |a: &Row, b: &Row| {
            if rules.key.is_empty() {
                equals(a, b)
            } else {
                key_of(rules, a) == key_of(rules, b)
            }
        };
        let in_question = [wanted.get(n), answer.rows.get(n).map(|r| &r.row)];
        let has_row = |sent: &PartialSent| {
            sent.rows
                .iter()
                .any(|r| in_question.iter().flatten().any(|q| is_same_key(r, q)))
        };
        let mut evidence: Vec<LineRef<'_>> = last_sent
            .values()
            .filter(|(_, sent)| has_row(sent))
            .map(|(sent_line, _)| *sent_line)
            .collect();
        evidence.push(line_ref);
        report.add(
            "merge",
            name,
            format!("row {n} is {got}, but the plain merge has {want}"),
            &evidence,
        );
        return;
    }
    let source_rows: Option<Vec<(LineRef<'_>, &SourceRows)>> = included
        .iter()
        .map(|s| query.source_rows.get(&**s).copied())
        .collect();
    let Some(source_rows) = source_rows else {
        report.unchecked.push(format!(
            "bounds of {name}: not all sources recorded their rows"
        ));
        return;
    };
    check_bounds(report, name, answer, line_ref, &last_sent, &source_rows);
}

/// Checks the statements of an answer about rows that it does not list against all rows of its sources.
fn check_bounds(
    report: &mut ReportBuilder,
    name: &str,
    answer: &AnswerMerged,
    line_ref: LineRef<'_>,
    last_sent: &BTreeMap<&str, (LineRef<'_>, &PartialSent)>,
    source_rows: &[(LineRef<'_>, &SourceRows)],
) {
    let rules = &answer.rules;
    let parts: Vec<(&str, &[Row])> = source_rows
        .iter()
        .map(|(_, source)| (&*source.source, &*source.rows))
        .collect();
    let all_rows = sorted_unique_rows(rules, &parts);
    let key = |row: &Row| key_of(rules, row);
    for (n, row) in answer.rows.iter().enumerate() {
        let expected = all_rows.get(n + rules.offset);
        let is_at_position = expected.is_some_and(|t| {
            if rules.key.is_empty() {
                equals(t, &row.row)
            } else {
                key(t) == key(&row.row)
            }
        });
        if row.certain && !is_at_position {
            let want = expected.map_or("nothing".into(), |t| {
                serde_json::to_string(t).unwrap_or_default()
            });
            report.add(
                "certain",
                name,
                format!("row {n} is declared certain, but {want} belongs at its position"),
                &[line_ref],
            );
        }
        let KeepRule::Sum(sum) = &rules.keep else {
            continue;
        };
        let real = all_rows
            .iter()
            .find(|t| key(t) == key(&row.row))
            .and_then(|t| column(t, sum).as_f64());
        let (low, high) = (
            row.low.unwrap_or(f64::NEG_INFINITY),
            row.high.unwrap_or(f64::INFINITY),
        );
        if let Some(real) = real.filter(|r| {
            (*r < low && !nearly_equal(*r, low)) || (*r > high && !nearly_equal(*r, high))
        }) {
            report.add(
                "bounds",
                name,
                format!("the sum of row {n} is declared to be {low} to {high}, but is {real}"),
                &[line_ref],
            );
        }
    }
    for (rows_line, source) in source_rows {
        let Some((sent_line, sent)) = last_sent.get(&*source.source) else {
            continue;
        };
        let mut unmatched: Vec<&Row> = sent.rows.iter().collect();
        for row in &source.rows {
            if let Some(n) = unmatched.iter().position(|s| equals(s, row)) {
                unmatched.swap_remove(n);
                continue;
            }
            let violation = match &answer.withheld_bound {
                None => Some("but the answer states that no row was withheld"),
                Some(first) if cmp_sort_columns(rules, row, first).is_lt() => {
                    Some("which sorts before the bound that the answer states")
                }
                Some(_) => None,
            };
            if let Some(violation) = violation {
                let row = serde_json::to_string(row).unwrap_or_default();
                report.add(
                    "unseen",
                    name,
                    format!("{} withheld {row}, {violation}", source.source),
                    &[*rows_line, *sent_line, line_ref],
                );
            }
        }
    }
}
