//! Laws of merging, against a plain model that collects everything, deduplicates, sorts and cuts.

use plovercove_fencing::Token;
use plovercove_gather::*;
use proptest::prelude::*;
use proptest::strategy::ValueTree;
use proptest::test_runner::{Config, RngSeed, TestRunner};
use std::cmp::Ordering;
use std::collections::BTreeMap;

/// Columns: a key and three numbers, some absent.
const COLUMNS: [&str; 4] = ["key", "a", "b", "c"];

#[derive(Clone, Debug)]
struct Case {
    rules: Rules,
    /// Token and rows of each source.
    sources: Vec<(u64, Vec<Vec<Value>>)>,
    /// Which group each source is in.
    groups: Vec<u8>,
    /// How many rows each source sends, and each group, where bounds are tried.
    cuts: Vec<(Option<usize>, Option<u64>)>,
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
        Just(Keep::First),
        Just(Keep::Token),
        Just(Keep::Freshest {
            life: "b".into(),
            position: "c".into()
        })
    ];
    let by = prop_oneof![
        Just(By::Sum),
        Just(By::Count),
        Just(By::Lowest),
        Just(By::Highest)
    ];
    let combine = prop::collection::vec((by, any::<bool>()), 0..2);
    prop::option::weighted(0.8, (keep, combine)).prop_map(|told| {
        let (keep, combine) = told?;
        let one = |(by, floor)| Combine {
            column: "a".into(),
            by,
            floor: floor && by == By::Sum,
        };
        Some(Unique {
            key: vec!["key".into()],
            keep,
            combine: combine.into_iter().map(one).collect(),
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
        |((mut keys, ways, a_first), unique, (rows, offset, keep, each))| {
            if a_first {
                keys.sort_by_key(|k| *k != "a");
            }
            let one = |(by, (down, first)): (&&str, &(bool, bool))| Sort {
                by: (*by).into(),
                down: *down,
                absent: if *first { Absent::First } else { Absent::Last },
            };
            let sort = keys.iter().zip(&ways).map(one).collect();
            let ties = if keep { Ties::Keep } else { Ties::Cut };
            let columns = COLUMNS.map(String::from).to_vec();
            Rules {
                columns,
                sort,
                unique,
                rows,
                offset,
                ties,
                each,
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

// The plain model. A row is its values, its source and of how many it was made.
type Plain = (Vec<Value>, usize, u64);

fn column(name: &str) -> usize {
    COLUMNS.iter().position(|c| *c == name).expect("a column")
}

fn one_key(sort: &Sort, a: &[Value], b: &[Value]) -> Ordering {
    let at = column(&sort.by);
    let absent = |v: &Value| (*v == Value::Absent) == (sort.absent == Absent::First);
    let values = a[at].cmp(&b[at]);
    // One group is before the other; within a group of values the way counts.
    absent(&b[at])
        .cmp(&absent(&a[at]))
        .then(if sort.down { values.reverse() } else { values })
}

fn sort_keys(rules: &Rules, a: &[Value], b: &[Value]) -> Ordering {
    rules
        .sort
        .iter()
        .fold(Ordering::Equal, |o, s| o.then(one_key(s, a, b)))
}

fn plain_order(rules: &Rules, a: &Plain, b: &Plain) -> Ordering {
    sort_keys(rules, &a.0, &b.0)
        .then(a.0.cmp(&b.0))
        .then(a.1.cmp(&b.1))
}

fn plain_unique(case: &Case, rows: Vec<Plain>) -> Vec<Plain> {
    let Some(unique) = &case.rules.unique else {
        return rows;
    };
    let mut keys: BTreeMap<Value, Vec<Plain>> = BTreeMap::new();
    for row in rows {
        keys.entry(row.0[0].clone()).or_default().push(row);
    }
    let combined: Vec<usize> = unique.combine.iter().map(|c| column(&c.column)).collect();
    let blank = |row: &Plain| {
        let mut row = row.clone();
        combined.iter().for_each(|c| row.0[*c] = Value::Absent);
        row
    };
    let one = |rows: Vec<Plain>| {
        let rank = |row: &Plain| match &unique.keep {
            Keep::First => vec![],
            Keep::Token => vec![Value::from(case.sources[row.1].0 as i64)],
            Keep::Freshest { life, position } => {
                vec![row.0[column(life)].clone(), row.0[column(position)].clone()]
            }
        };
        let better = |a: &&Plain, b: &&Plain| {
            rank(b)
                .cmp(&rank(a))
                .then(plain_order(&case.rules, &blank(a), &blank(b)))
        };
        let mut kept = rows.iter().min_by(better).expect("not empty").clone();
        for combine in &unique.combine {
            let at = column(&combine.column);
            let ints = || rows.iter().filter_map(|r| r.0[at].int());
            kept.0[at] = match combine.by {
                By::Sum => Value::Int(ints().sum()),
                By::Count => Value::Int(rows.iter().map(|r| r.0[at].int().unwrap_or(1)).sum()),
                By::Lowest => ints().min().map_or(Value::Absent, Value::Int),
                By::Highest => ints().max().map_or(Value::Absent, Value::Int),
            };
        }
        kept.2 = rows.iter().map(|r| r.2).sum();
        kept
    };
    keys.into_values().map(one).collect()
}

/// All rows in order, before offset and limit.
fn truth(case: &Case) -> Vec<Plain> {
    let mut all = Vec::new();
    for (i, (_, rows)) in case.sources.iter().enumerate() {
        let rows = rows.iter().map(|r| (r.clone(), i, 1)).collect();
        let mut rows = plain_unique(case, rows);
        rows.sort_by(|a, b| plain_order(&case.rules, a, b));
        rows.truncate(case.rules.each.map_or(usize::MAX, |e| e as usize));
        all.extend(rows);
    }
    let mut all = plain_unique(case, all);
    all.sort_by(|a, b| plain_order(&case.rules, a, b));
    all
}

fn page(case: &Case) -> Vec<Plain> {
    let (rules, all) = (&case.rules, truth(case));
    let end = rules
        .rows
        .map_or(all.len(), |r| (r + rules.offset) as usize)
        .min(all.len());
    let last = all[..end].last().cloned();
    let tied = |row: &Plain| {
        rules.ties == Ties::Keep
            && last
                .as_ref()
                .is_some_and(|l| sort_keys(rules, &l.0, &row.0).is_eq())
    };
    let end = end + all[end..].iter().take_while(|r| tied(r)).count();
    all[..end]
        .iter()
        .skip(rules.offset as usize)
        .cloned()
        .collect()
}

fn source(case: &Case, i: usize) -> Source {
    Source {
        name: format!("s{i}"),
        life: 7,
        token: Token(case.sources[i].0),
    }
}

fn gathered(plan: Plan, mut parts: Vec<Partial>) -> Result<Answer, Error> {
    let mut gathering = Gathering::new(plan, parts.iter().map(|p| p.source.name.clone()), None)?;
    // Each whole part comes twice.
    parts.extend(parts.clone());
    for part in parts {
        gathering.put_whole(part)?;
    }
    assert!(gathering.is_complete());
    gathering.close()
}

/// The answer of one level, sources in their order of arrival, each cut where told.
fn flat(case: &Case, cut: bool) -> Result<Answer, Error> {
    let plan = case.rules.plan()?;
    let mut order: Vec<usize> = (0..case.sources.len()).collect();
    order.sort_by_key(|i| case.arrival[*i]);
    let part = |i: usize| match cut {
        true => Partial::of(
            &plan,
            source(case, i),
            5,
            case.sources[i].1.clone(),
            case.cuts[i].0,
        ),
        false => Ok(Partial::raw(source(case, i), 5, case.sources[i].1.clone())),
    };
    let parts = order.into_iter().map(part).collect::<Result<_, _>>()?;
    gathered(plan.clone(), parts)
}

/// The answer of two levels: groups answer by the lower rules, and are cut where told.
fn tiered(case: &Case, cut: bool) -> Result<Answer, Error> {
    let top = case.rules.plan()?;
    let mut groups: BTreeMap<u8, Vec<usize>> = BTreeMap::new();
    for (i, group) in case.groups.iter().enumerate() {
        groups.entry(*group).or_default().push(i);
    }
    let mut parts = Vec::new();
    for (group, members) in groups {
        let mut rules = case.rules.lower();
        if let Some(rows) = case.cuts[members[0]].1.filter(|_| cut) {
            rules.rows = Some(rows);
        }
        let plan = rules.plan()?;
        let most = |i: usize| case.cuts[i].0.filter(|_| cut);
        let part = |i: &usize| {
            Partial::of(
                &plan,
                source(case, *i),
                5,
                case.sources[*i].1.clone(),
                most(*i),
            )
        };
        let answer = gathered(
            plan.clone(),
            members.iter().map(part).collect::<Result<_, _>>()?,
        )?;
        let from = Source {
            name: format!("g{group}"),
            life: 1,
            token: Token(1),
        };
        parts.push(answer.partial(from, 0)?);
    }
    gathered(top, parts)
}

fn same(case: &Case, answer: &Answer, what: &str) -> Result<(), String> {
    let want: Vec<_> = page(case)
        .into_iter()
        .map(|r| (r.0, format!("s{}", r.1), r.2))
        .collect();
    let got: Vec<_> = answer
        .rows
        .iter()
        .map(|r| (r.values.clone(), r.source.clone(), r.of))
        .collect();
    // A lower level may cut rows of a key that cannot stay: those that did not come are not counted.
    let counted = answer.answered.iter().all(|a| !a.cut) || case.rules.unique.is_none();
    let of = |got: u64, want: u64| if counted { got == want } else { got <= want };
    let alike = |(g, w): (&(_, _, u64), &(_, _, u64))| (&g.0, &g.1) == (&w.0, &w.1) && of(g.2, w.2);
    if got.len() != want.len() || !got.iter().zip(&want).all(alike) {
        return Err(format!("{what}: got {got:?}\nwant {want:?}"));
    }
    Ok(())
}

/// What the answer says of what was held back, against what all sources hold.
fn bounded(case: &Case, answer: &Answer, what: &str) -> Result<(), String> {
    let all = truth(case);
    let ensure = |good: bool, why: &str, row: &dyn std::fmt::Debug| {
        if good {
            Ok(())
        } else {
            Err(format!(
                "{what}: {why}: {row:?}\nanswer {answer:?}\ntruth {all:?}"
            ))
        }
    };
    let offset = case.rules.offset as usize;
    let mut listed = vec![false; all.len()];
    for (i, row) in answer.rows.iter().enumerate() {
        let is = |t: &Plain| match &case.rules.unique {
            Some(_) => t.0[0] == row.values[0],
            None => t.0 == row.values && format!("s{}", t.1) == row.source,
        };
        let at = (0..all.len()).find(|at| !listed[*at] && is(&all[*at]));
        ensure(at.is_some(), "nobody holds it", row)?;
        let at = at.expect("just looked");
        listed[at] = true;
        let place = all[offset + i..].first().is_some_and(is);
        ensure(!row.certain || place, "not where it stands", row)?;
        let Some(unique) = &case.rules.unique else {
            continue;
        };
        for (k, combine) in unique.combine.iter().enumerate() {
            let (column, exact) = (
                column(&combine.column),
                Range::exact(&row.values[column(&combine.column)]),
            );
            let (range, value) = (row.ranges.get(k).unwrap_or(&exact), &all[at].0[column]);
            let (low, high) = (range.low.as_ref(), range.high.as_ref());
            ensure(
                low.is_none_or(|l| l <= value) && high.is_none_or(|h| value <= h),
                "beyond its range",
                row,
            )?;
        }
        let kept = (0..4).filter(|c| unique.combine.iter().all(|k| column(&k.column) != *c));
        let alike = kept.into_iter().all(|c| row.values[c] == all[at].0[c]);
        ensure(row.loose || alike, "another row stays", row)?;
    }
    // With an offset nobody can tell from outside which rows were passed over.
    if offset > 0 {
        return Ok(());
    }
    for row in all
        .iter()
        .zip(&listed)
        .filter(|(_, listed)| !**listed)
        .map(|(row, _)| row)
    {
        let Some(edge) = &answer.hidden else {
            return ensure(false, "hidden though nothing is", row);
        };
        let mut at = row.0.clone();
        case.rules
            .sort
            .iter()
            .zip(edge)
            .for_each(|(s, v)| at[column(&s.by)] = v.clone());
        ensure(
            sort_keys(&case.rules, &at, &row.0).is_le(),
            "before the edge",
            row,
        )?;
    }
    Ok(())
}

fn laws(case: &Case) -> Result<(), String> {
    let told = |e: Error| format!("{e}\n{}", e.help());
    let plain = flat(case, false).map_err(told)?;
    same(case, &plain, "one level")?;
    bounded(case, &plain, "one level")?;
    same(case, &tiered(case, false).map_err(told)?, "two levels")?;
    bounded(case, &flat(case, true).map_err(told)?, "one level, cut")?;
    bounded(case, &tiered(case, true).map_err(told)?, "two levels, cut")
}

/// How many cases: `LAW_CASES`, where more are wanted than in every run.
fn cases() -> u32 {
    std::env::var("LAW_CASES")
        .ok()
        .and_then(|n| n.parse().ok())
        .unwrap_or(4_000)
}

/// The same cases in every run, but with `LAW_SEED`.
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
    fn an_answer_is_the_plain_merge_and_its_bounds_are_true(case in case()) {
        if let Err(why) = laws(&case) {
            return Err(TestCaseError::fail(why));
        }
    }
}

/// Without a guard that bounds or order rest on, a case that holds with it breaks a law.
#[test]
fn laws_catch_each_guard_that_is_taken_away() {
    for guard in [Guard::Threshold, Guard::OwnCut, Guard::LastResort] {
        let mut runner = TestRunner::deterministic();
        let caught = (0..4_000).any(|_| {
            let mut case = case().new_tree(&mut runner).expect("a case").current();
            let whole = laws(&case).is_ok();
            case.rules.without = Some(guard);
            whole && laws(&case).is_err()
        });
        assert!(caught, "{guard:?}");
    }
}

/// Bounds that say nothing would be true as well: of cut parts a good share of what is listed is sure, or bounded.
#[test]
fn bounds_say_something() {
    let mut runner = TestRunner::deterministic();
    let (mut rows, mut sure, mut ranges, mut closed, mut cuts, mut edges) = (0, 0, 0, 0, 0, 0);
    for _ in 0..2_000 {
        let case = case().new_tree(&mut runner).expect("a case").current();
        let answer = flat(&case, true).expect("small sums");
        if answer.answered.iter().all(|a| !a.cut) {
            continue;
        }
        rows += answer.rows.len();
        sure += answer.rows.iter().filter(|r| r.certain).count();
        let all = || {
            answer
                .rows
                .iter()
                .flat_map(|r| &r.ranges)
                .filter(|r| !r.is_exact())
        };
        ranges += all().count();
        closed += all()
            .filter(|r| r.low.is_some() && r.high.is_some())
            .count();
        cuts += 1;
        edges += usize::from(answer.hidden.as_ref().is_none_or(|edge| !edge.is_empty()));
    }
    let told =
        format!("certain {sure} of {rows}, closed {closed} of {ranges}, edges {edges} of {cuts}");
    println!("{told}");
    assert!(
        sure * 10 > rows && closed * 20 > ranges && edges * 4 > cuts,
        "{told}"
    );
}

/// Pages by cursor, one after the other, are the whole answer.
#[test]
fn pages_by_cursor_miss_nothing_and_show_nothing_twice() {
    let mut runner = TestRunner::deterministic();
    for _ in 0..500 {
        let mut case = case().new_tree(&mut runner).expect("a case").current();
        // Rows that are alike in everything are one to a cursor: no source holds such here.
        for (_, rows) in &mut case.sources {
            rows.sort();
            rows.dedup();
        }
        (case.rules.offset, case.rules.ties, case.rules.rows) = (0, Ties::Cut, Some(3));
        let (plan, mut after, mut got) = (case.rules.plan().expect("rules"), None, Vec::new());
        for _ in 0..100 {
            let names = (0..case.sources.len()).map(|i| source(&case, i).name);
            let mut gathering = Gathering::new(plan.clone(), names, after).expect("sources");
            for (i, (_, rows)) in case.sources.iter().enumerate() {
                gathering
                    .put_whole(Partial::raw(source(&case, i), 0, rows.clone()))
                    .expect("fits");
            }
            let answer = gathering.close().expect("small sums");
            got.extend(answer.rows.into_iter().map(|r| (r.values, r.source)));
            after = answer.next;
            if after.is_none() {
                break;
            }
        }
        let want: Vec<_> = truth(&case)
            .into_iter()
            .map(|r| (r.0, format!("s{}", r.1)))
            .collect();
        assert_eq!(got, want);
    }
}
