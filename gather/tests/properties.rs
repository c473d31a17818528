//! Properties of merges, checked against a plain model that collects all rows, deduplicates, sorts and cuts them.

use plovercove_fencing::Token;
use plovercove_gather::*;
use proptest::prelude::*;
use proptest::strategy::ValueTree;
use proptest::test_runner::{Config, RngSeed, TestRunner};
use std::cmp::Ordering;
use std::collections::BTreeMap;

/// Columns of the rows: a key and three numbers, which may be absent.
const COLUMNS: [&str; 4] = ["key", "a", "b", "c"];

/// One generated merge.
#[derive(Clone, Debug)]
struct Case {
    rules: Rules,
    /// Token and rows of each source.
    sources: Vec<(u64, Vec<Vec<Value>>)>,
    /// Group of each source, for merges of two levels.
    groups: Vec<u8>,
    /// Maximum number of rows that each source sends, and that its group sends, where bounds are tested.
    cuts: Vec<(Option<usize>, Option<u64>)>,
    /// Sources arrive in the order of these numbers.
    arrival: Vec<u32>,
}

fn value() -> impl Strategy<Value = Value> {
    prop_oneof![1 => Just(Value::Absent), 5 => (0..6_i64).prop_map(Value::from)]
}

fn rows() -> impl Strategy<Value = Vec<Vec<Value>>> {
    let row = (0..7_u8, value(), value(), value());
    let row = row.prop_map(|(k, a, b, c)| vec![Value::text(&format!("k{k}")), a, b, c]);
    prop::collection::vec(row, 0..12)
}

fn unique() -> impl Strategy<Value = Option<Unique>> {
    let keep = prop_oneof![
        Just(KeepRule::First),
        Just(KeepRule::Token),
        Just(KeepRule::Freshest {
            incarnation: "b".into(),
            position: "c".into()
        })
    ];
    let by = prop_oneof![
        Just(Aggregate::Sum),
        Just(Aggregate::Count),
        Just(Aggregate::Lowest),
        Just(Aggregate::Highest)
    ];
    let combine = prop::collection::vec((by, any::<bool>()), 0..2);
    prop::option::weighted(0.8, (keep, combine)).prop_map(|rule| {
        let (keep, combine) = rule?;
        let combined_column = |(by, non_negative)| Combine {
            column: "a".into(),
            by,
            non_negative: non_negative && by == Aggregate::Sum,
        };
        Some(Unique {
            key: vec!["key".into()],
            keep,
            combine: combine.into_iter().map(combined_column).collect(),
        })
    })
}

fn rules() -> impl Strategy<Value = Rules> {
    let keys = Just(COLUMNS.to_vec()).prop_shuffle();
    let sort = (
        keys,
        prop::collection::vec((any::<bool>(), any::<bool>()), 0..4),
        any::<bool>(),
    );
    let cut = (
        prop::option::of(1..9_u64),
        0..3_u64,
        any::<bool>(),
        prop::option::weighted(0.2, 1..5_u64),
    );
    (sort, unique(), cut).prop_map(
        |(
            (mut keys, directions, a_first),
            unique,
            (max_rows, offset, keep_ties, max_rows_per_source),
        )| {
            if a_first {
                keys.sort_by_key(|k| *k != "a");
            }
            let sort_key = |(by, (descending, absent_first)): (&&str, &(bool, bool))| SortKey {
                by: (*by).into(),
                descending: *descending,
                absent: if *absent_first {
                    AbsentOrder::First
                } else {
                    AbsentOrder::Last
                },
            };
            let sort = keys.iter().zip(&directions).map(sort_key).collect();
            let ties = if keep_ties {
                TieRule::Extend
            } else {
                TieRule::Cut
            };
            let columns = COLUMNS.map(String::from).to_vec();
            Rules {
                columns,
                sort,
                unique,
                max_rows,
                offset,
                ties,
                max_rows_per_source,
                ..Rules::default()
            }
        },
    )
}

fn case() -> impl Strategy<Value = Case> {
    let cut = (
        prop::option::weighted(0.6, 0..6_usize),
        prop::option::weighted(0.5, 1..6_u64),
    );
    let each = (0..4_u64, rows(), 0..3_u8, cut, any::<u32>());
    (rules(), prop::collection::vec(each, 1..7)).prop_map(|(rules, each)| {
        let mut case = Case {
            rules,
            sources: vec![],
            groups: vec![],
            cuts: vec![],
            arrival: vec![],
        };
        for (token, rows, group, cut, at) in each {
            case.sources.push((token, rows));
            case.groups.push(group);
            case.cuts.push(cut);
            case.arrival.push(at);
        }
        case
    })
}

/// A row of the plain model.
#[derive(Clone, Debug)]
struct PlainRow {
    values: Vec<Value>,
    /// Index of its source.
    source: usize,
    /// Number of rows merged into it.
    merged_rows: u64,
}

fn column(name: &str) -> usize {
    COLUMNS.iter().position(|c| *c == name).expect("a column")
}

/// Compares two rows by one sort column.
fn cmp_column(sort: &SortKey, a: &[Value], b: &[Value]) -> Ordering {
    let index = column(&sort.by);
    let absent_first = |v: &Value| (*v == Value::Absent) == (sort.absent == AbsentOrder::First);
    let values = a[index].cmp(&b[index]);
    // Absent values sort before or after all others; the direction applies to values that are present.
    absent_first(&b[index])
        .cmp(&absent_first(&a[index]))
        .then(if sort.descending {
            values.reverse()
        } else {
            values
        })
}

/// Compares two rows by the sort columns.
fn cmp_sort_keys(rules: &Rules, a: &[Value], b: &[Value]) -> Ordering {
    rules
        .sort
        .iter()
        .fold(Ordering::Equal, |o, s| o.then(cmp_column(s, a, b)))
}

/// Compares two rows by sort columns, content and source.
fn plain_order(rules: &Rules, a: &PlainRow, b: &PlainRow) -> Ordering {
    cmp_sort_keys(rules, &a.values, &b.values)
        .then(a.values.cmp(&b.values))
        .then(a.source.cmp(&b.source))
}

/// Reduces the rows of each key to one by the rules of the case.
fn plain_unique(case: &Case, rows: Vec<PlainRow>) -> Vec<PlainRow> {
    let Some(unique) = &case.rules.unique else {
        return rows;
    };
    let mut keys: BTreeMap<Value, Vec<PlainRow>> = BTreeMap::new();
    for row in rows {
        keys.entry(row.values[0].clone()).or_default().push(row);
    }
    let combined: Vec<usize> = unique.combine.iter().map(|c| column(&c.column)).collect();
    let without_combined = |row: &PlainRow| {
        let mut row = row.clone();
        combined.iter().for_each(|c| row.values[*c] = Value::Absent);
        row
    };
    let reduce = |rows: Vec<PlainRow>| {
        let rank = |row: &PlainRow| match &unique.keep {
            KeepRule::First => vec![],
            KeepRule::Token => vec![Value::from(case.sources[row.source].0 as i64)],
            KeepRule::Freshest {
                incarnation,
                position,
            } => {
                vec![
                    row.values[column(incarnation)].clone(),
                    row.values[column(position)].clone(),
                ]
            }
        };
        let better = |a: &&PlainRow, b: &&PlainRow| {
            rank(b).cmp(&rank(a)).then(plain_order(
                &case.rules,
                &without_combined(a),
                &without_combined(b),
            ))
        };
        let mut kept = rows.iter().min_by(better).expect("not empty").clone();
        for combine in &unique.combine {
            let index = column(&combine.column);
            let ints = || rows.iter().filter_map(|r| r.values[index].int());
            kept.values[index] = match combine.by {
                Aggregate::Sum => Value::Int(ints().sum()),
                Aggregate::Count => Value::Int(
                    rows.iter()
                        .map(|r| r.values[index].int().unwrap_or(1))
                        .sum(),
                ),
                Aggregate::Lowest => ints().min().map_or(Value::Absent, Value::Int),
                Aggregate::Highest => ints().max().map_or(Value::Absent, Value::Int),
            };
        }
        kept.merged_rows = rows.iter().map(|r| r.merged_rows).sum();
        kept
    };
    keys.into_values().map(reduce).collect()
}

/// Returns all rows of the plain model in order, before offset and limit.
fn all_rows(case: &Case) -> Vec<PlainRow> {
    let mut all = Vec::new();
    for (i, (_, rows)) in case.sources.iter().enumerate() {
        let rows = rows
            .iter()
            .map(|row| PlainRow {
                values: row.clone(),
                source: i,
                merged_rows: 1,
            })
            .collect();
        let mut rows = plain_unique(case, rows);
        rows.sort_by(|a, b| plain_order(&case.rules, a, b));
        rows.truncate(
            case.rules
                .max_rows_per_source
                .map_or(usize::MAX, |e| e as usize),
        );
        all.extend(rows);
    }
    let mut all = plain_unique(case, all);
    all.sort_by(|a, b| plain_order(&case.rules, a, b));
    all
}

/// Returns the rows of the plain model that the answer has to list.
fn plain_page(case: &Case) -> Vec<PlainRow> {
    let (rules, all) = (&case.rules, all_rows(case));
    let end = rules
        .max_rows
        .map_or(all.len(), |r| (r + rules.offset) as usize)
        .min(all.len());
    let last = all[..end].last().cloned();
    let ties_with_last = |row: &PlainRow| {
        rules.ties == TieRule::Extend
            && last
                .as_ref()
                .is_some_and(|l| cmp_sort_keys(rules, &l.values, &row.values).is_eq())
    };
    let end = end + all[end..].iter().take_while(|r| ties_with_last(r)).count();
    all[..end]
        .iter()
        .skip(rules.offset as usize)
        .cloned()
        .collect()
}

fn source(case: &Case, i: usize) -> Source {
    Source {
        name: format!("s{i}"),
        incarnation: 7,
        token: Token(case.sources[i].0),
    }
}

/// Returns the answer of these partial results.
fn gather_all(plan: Plan, mut parts: Vec<Partial>) -> Result<Answer, Error> {
    let mut gathering = Gathering::new(plan, parts.iter().map(|p| p.source.name.clone()), None)?;
    // Each partial result arrives twice.
    parts.extend(parts.clone());
    for part in parts {
        gathering.put_partial(part)?;
    }
    assert!(gathering.is_complete());
    gathering.close()
}

/// Returns the answer of a merge of one level. Sources arrive in the order of the case; with `cut`, they truncate their
/// rows.
fn one_level(case: &Case, cut: bool) -> Result<Answer, Error> {
    let plan = case.rules.plan()?;
    let mut order: Vec<usize> = (0..case.sources.len()).collect();
    order.sort_by_key(|i| case.arrival[*i]);
    let part = |i: usize| match cut {
        true => Partial::build(
            &plan,
            source(case, i),
            5,
            case.sources[i].1.clone(),
            case.cuts[i].0,
        ),
        false => Ok(Partial::from_raw_rows(
            source(case, i),
            5,
            case.sources[i].1.clone(),
        )),
    };
    let parts = order.into_iter().map(part).collect::<Result<_, _>>()?;
    gather_all(plan.clone(), parts)
}

/// Returns the answer of a merge of two levels. Groups answer by the rules for lower levels; with `cut`, sources and
/// groups truncate their rows.
fn two_levels(case: &Case, cut: bool) -> Result<Answer, Error> {
    let top = case.rules.plan()?;
    let mut groups: BTreeMap<u8, Vec<usize>> = BTreeMap::new();
    for (i, group) in case.groups.iter().enumerate() {
        groups.entry(*group).or_default().push(i);
    }
    let mut parts = Vec::new();
    for (group, members) in groups {
        let mut rules = case.rules.lower();
        if let Some(rows) = case.cuts[members[0]].1.filter(|_| cut) {
            rules.max_rows = Some(rows);
        }
        let plan = rules.plan()?;
        let max_rows = |i: usize| case.cuts[i].0.filter(|_| cut);
        let part = |i: &usize| {
            Partial::build(
                &plan,
                source(case, *i),
                5,
                case.sources[*i].1.clone(),
                max_rows(*i),
            )
        };
        let answer = gather_all(
            plan.clone(),
            members.iter().map(part).collect::<Result<_, _>>()?,
        )?;
        let from = Source {
            name: format!("g{group}"),
            incarnation: 1,
            token: Token(1),
        };
        parts.push(answer.partial(from, 0)?);
    }
    gather_all(top, parts)
}

/// Checks that the answer lists the rows of the plain model.
fn equals_plain_merge(case: &Case, answer: &Answer, what: &str) -> Result<(), String> {
    let want: Vec<_> = plain_page(case)
        .into_iter()
        .map(|r| (r.values, format!("s{}", r.source), r.merged_rows))
        .collect();
    let got: Vec<_> = answer
        .rows
        .iter()
        .map(|r| (r.values.clone(), r.source.clone(), r.merged_rows))
        .collect();
    // A lower level may cut rows that would not be kept for their key. Those are not counted.
    let all_counted =
        answer.answered.iter().all(|a| !a.withheld_rows) || case.rules.unique.is_none();
    let count_fits = |got: u64, want: u64| {
        if all_counted {
            got == want
        } else {
            got <= want
        }
    };
    let equal =
        |(g, w): (&(_, _, u64), &(_, _, u64))| (&g.0, &g.1) == (&w.0, &w.1) && count_fits(g.2, w.2);
    if got.len() != want.len() || !got.iter().zip(&want).all(equal) {
        return Err(format!("{what}: got {got:?}\nwant {want:?}"));
    }
    Ok(())
}

/// Checks what the answer says about withheld rows against all rows of the sources.
fn bounds_hold(case: &Case, answer: &Answer, what: &str) -> Result<(), String> {
    let all = all_rows(case);
    let ensure = |good: bool, why: &str, row: &dyn std::fmt::Debug| {
        if good {
            Ok(())
        } else {
            Err(format!(
                "{what}: {why}: {row:?}\nanswer {answer:?}\nall rows {all:?}"
            ))
        }
    };
    let offset = case.rules.offset as usize;
    let mut listed = vec![false; all.len()];
    for (i, row) in answer.rows.iter().enumerate() {
        let is_same_row = |plain: &PlainRow| match &case.rules.unique {
            Some(_) => plain.values[0] == row.values[0],
            None => plain.values == row.values && format!("s{}", plain.source) == row.source,
        };
        let index = (0..all.len()).find(|index| !listed[*index] && is_same_row(&all[*index]));
        ensure(index.is_some(), "no source has it", row)?;
        let index = index.expect("checked above");
        listed[index] = true;
        let is_at_position = all[offset + i..].first().is_some_and(is_same_row);
        ensure(!row.certain || is_at_position, "not at its position", row)?;
        let Some(unique) = &case.rules.unique else {
            continue;
        };
        for (k, combine) in unique.combine.iter().enumerate() {
            let (column, exact) = (
                column(&combine.column),
                Range::exact(&row.values[column(&combine.column)]),
            );
            let (range, value) = (
                row.ranges.get(k).unwrap_or(&exact),
                &all[index].values[column],
            );
            let (low, high) = (range.low.as_ref(), range.high.as_ref());
            ensure(
                low.is_none_or(|l| l <= value) && high.is_none_or(|h| value <= h),
                "outside its range",
                row,
            )?;
        }
        let kept = (0..4).filter(|c| unique.combine.iter().all(|k| column(&k.column) != *c));
        let kept_are_equal = kept
            .into_iter()
            .all(|c| row.values[c] == all[index].values[c]);
        ensure(
            row.may_be_replaced || kept_are_equal,
            "another row is kept",
            row,
        )?;
    }
    // With an offset the answer does not show which rows were skipped.
    if offset > 0 {
        return Ok(());
    }
    for row in all
        .iter()
        .zip(&listed)
        .filter(|(_, listed)| !**listed)
        .map(|(row, _)| row)
    {
        let Some(prefix) = &answer.hidden_prefix else {
            return ensure(
                false,
                "hidden, although the answer says that no row is",
                row,
            );
        };
        // The sort key of the hidden row, with the bound in place of its first columns.
        let mut bound = row.values.clone();
        case.rules
            .sort
            .iter()
            .zip(prefix)
            .for_each(|(s, v)| bound[column(&s.by)] = v.clone());
        ensure(
            cmp_sort_keys(&case.rules, &bound, &row.values).is_le(),
            "before the bound on hidden rows",
            row,
        )?;
    }
    Ok(())
}

/// Checks the answers of one and two levels, with and without truncated partial results.
fn check_case(case: &Case) -> Result<(), String> {
    let describe = |e: Error| format!("{e}\n{}", e.help());
    let plain = one_level(case, false).map_err(describe)?;
    equals_plain_merge(case, &plain, "one level")?;
    bounds_hold(case, &plain, "one level")?;
    equals_plain_merge(
        case,
        &two_levels(case, false).map_err(describe)?,
        "two levels",
    )?;
    bounds_hold(
        case,
        &one_level(case, true).map_err(describe)?,
        "one level, cut",
    )?;
    bounds_hold(
        case,
        &two_levels(case, true).map_err(describe)?,
        "two levels, cut",
    )
}

/// Returns the number of cases: `LAW_CASES`, or the default of an ordinary run.
fn cases() -> u32 {
    std::env::var("LAW_CASES")
        .ok()
        .and_then(|n| n.parse().ok())
        .unwrap_or(4_000)
}

/// Returns the seed of the cases: `LAW_SEED`, or a fixed one.
fn seed() -> RngSeed {
    RngSeed::Fixed(
        std::env::var("LAW_SEED")
            .ok()
            .and_then(|n| n.parse().ok())
            .unwrap_or(25),
    )
}

proptest! {
    #![proptest_config(Config { cases: cases(), rng_seed: seed(), failure_persistence: None, ..Config::default() })]

    #[test]
    fn an_answer_equals_the_plain_merge_and_its_bounds_hold(case in case()) {
        if let Err(why) = check_case(&case) {
            return Err(TestCaseError::fail(why));
        }
    }
}

/// With a guard of the bounds or the order switched off, some case that passes with the guard fails.
#[test]
fn the_absence_of_each_guard_is_detected() {
    for guard in [Guard::Threshold, Guard::OwnCut, Guard::LastResort] {
        let mut runner = TestRunner::deterministic();
        let is_detected = (0..4_000).any(|_| {
            let mut case = case().new_tree(&mut runner).expect("a case").current();
            let passes = check_case(&case).is_ok();
            case.rules.disabled_guard = Some(guard);
            passes && check_case(&case).is_err()
        });
        assert!(is_detected, "{guard:?}");
    }
}

/// Bounds without any statement would also be true. This test checks that with truncated partial results enough of the
/// rows are certain and enough of the ranges are bounded.
#[test]
fn bounds_are_not_trivial() {
    let mut runner = TestRunner::deterministic();
    let (mut rows, mut certain, mut ranges, mut bounded, mut answers, mut with_prefix) =
        (0, 0, 0, 0, 0, 0);
    for _ in 0..2_000 {
        let case = case().new_tree(&mut runner).expect("a case").current();
        let answer = one_level(&case, true).expect("small sums");
        if answer.answered.iter().all(|a| !a.withheld_rows) {
            continue;
        }
        rows += answer.rows.len();
        certain += answer.rows.iter().filter(|r| r.certain).count();
        let all = || {
            answer
                .rows
                .iter()
                .flat_map(|r| &r.ranges)
                .filter(|r| !r.is_exact())
        };
        ranges += all().count();
        bounded += all()
            .filter(|r| r.low.is_some() && r.high.is_some())
            .count();
        answers += 1;
        with_prefix += usize::from(
            answer
                .hidden_prefix
                .as_ref()
                .is_none_or(|prefix| !prefix.is_empty()),
        );
    }
    let summary = format!(
        "certain rows {certain} of {rows}, bounded ranges {bounded} of {ranges}, bounds on hidden rows {with_prefix} of {answers}"
    );
    println!("{summary}");
    assert!(
        certain * 10 > rows && bounded * 20 > ranges && with_prefix * 4 > answers,
        "{summary}"
    );
}

/// The pages by cursor together are the complete answer.
#[test]
fn pages_by_cursor_list_each_row_once() {
    let mut runner = TestRunner::deterministic();
    for _ in 0..500 {
        let mut case = case().new_tree(&mut runner).expect("a case").current();
        // A cursor cannot distinguish rows of one source with equal values, so no source has such rows here.
        for (_, rows) in &mut case.sources {
            rows.sort();
            rows.dedup();
        }
        (case.rules.offset, case.rules.ties, case.rules.max_rows) = (0, TieRule::Cut, Some(3));
        let (plan, mut after, mut got) = (case.rules.plan().expect("rules"), None, Vec::new());
        for _ in 0..100 {
            let names = (0..case.sources.len()).map(|i| source(&case, i).name);
            let mut gathering = Gathering::new(plan.clone(), names, after).expect("sources");
            for (i, (_, rows)) in case.sources.iter().enumerate() {
                gathering
                    .put_partial(Partial::from_raw_rows(source(&case, i), 0, rows.clone()))
                    .expect("fits");
            }
            let answer = gathering.close().expect("small sums");
            got.extend(answer.rows.into_iter().map(|r| (r.values, r.source)));
            after = answer.next_page;
            if after.is_none() {
                break;
            }
        }
        let want: Vec<_> = all_rows(&case)
            .into_iter()
            .map(|r| (r.values, format!("s{}", r.source)))
            .collect();
        assert_eq!(got, want);
    }
}
