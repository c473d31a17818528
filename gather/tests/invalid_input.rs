//! Invalid, oversized, late and duplicate partial results lead to a typed error or to an answer with bounds. For each
//! guard, the tests show that they detect its absence.

use plovercove_fencing::Token;
use plovercove_gather::*;

fn rules(disabled_guard: Option<Guard>) -> Rules {
    let sort = vec![SortKey {
        by: "n".into(),
        descending: true,
        absent: AbsentOrder::Last,
    }];
    let combine = vec![Combine {
        column: "n".into(),
        by: Aggregate::Sum,
        non_negative: false,
    }];
    let unique = Some(Unique {
        key: vec!["key".into()],
        keep: KeepRule::First,
        combine,
    });
    Rules {
        columns: vec!["key".into(), "n".into()],
        sort,
        unique,
        disabled_guard,
        ..Rules::default()
    }
}

fn source(name: &str, token: u64, incarnation: u64) -> Source {
    Source {
        name: name.into(),
        incarnation,
        token: Token(token),
    }
}

fn raw(name: &str, rows: &[(&str, i64)]) -> Partial {
    let rows = rows
        .iter()
        .map(|(k, n)| vec![Value::text(k), Value::from(*n)])
        .collect();
    Partial::from_raw_rows(source(name, 1, 1), 0, rows)
}

fn gathering(rules: &Rules, names: &[&str]) -> Gathering {
    let names = names.iter().map(|n| (*n).to_owned());
    Gathering::new(rules.plan().expect("rules"), names, None).expect("few sources")
}

/// Adds all partial results, ignores errors, and closes the gathering.
fn gather_all(rules: &Rules, names: &[&str], parts: Vec<Partial>) -> Result<Answer, Error> {
    let mut all = gathering(rules, names);
    for part in parts {
        let _ = all.put_partial(part);
    }
    all.close()
}

fn rejection(answer: &Answer, name: &str) -> Option<Error> {
    match answer.missing.get(name) {
        Some(MissingReason::Rejected(error)) => Some(error.clone()),
        _ => None,
    }
}

fn numbers(answer: &Answer) -> Vec<i128> {
    answer
        .rows
        .iter()
        .filter_map(|r| r.values[1].int())
        .collect()
}

fn rejects_unsorted_rows(rules: &Rules) -> bool {
    let part = Partial {
        sorted: true,
        ..raw("a", &[("x", 1), ("y", 2)])
    };
    let answer = gather_all(rules, &["a"], vec![part]).expect("small");
    matches!(
        rejection(&answer, "a"),
        Some(Error::Unsorted { row: 1, .. })
    )
}

fn rejects_duplicate_keys(rules: &Rules) -> bool {
    let part = Partial {
        combined: true,
        ..raw("a", &[("x", 1), ("y", 2), ("x", 3)])
    };
    let answer = gather_all(rules, &["a"], vec![part]).expect("small");
    matches!(rejection(&answer, "a"), Some(Error::Colliding { .. }))
}

fn uses_newer_partial(rules: &Rules) -> bool {
    let old = raw("a", &[("x", 1)]);
    let new = Partial {
        source: source("a", 2, 0),
        origins: vec![source("a", 2, 0)],
        ..raw("a", &[("x", 5)])
    };
    let both_orders = [vec![old.clone(), new.clone()], vec![new, old]]
        .map(|parts| gather_all(rules, &["a"], parts));
    let [Ok(one), Ok(other)] = both_orders else {
        return false;
    };
    let reports_change = |a: &Answer| {
        a.answered
            .iter()
            .all(|a| a.answered_again && a.identity_changed)
    };
    one == other && numbers(&one) == [5] && reports_change(&one)
}

fn rejects_overlap(rules: &Rules) -> bool {
    let origins = |names: &[&str]| names.iter().map(|n| source(n, 1, 1)).collect::<Vec<_>>();
    let one = Partial {
        origins: origins(&["a", "b"]),
        ..raw("g", &[("x", 1)])
    };
    let two = Partial {
        origins: origins(&["b"]),
        ..raw("h", &[("x", 1)])
    };
    let answer = gather_all(rules, &["g", "h"], vec![two, one]).expect("small");
    numbers(&answer) == [1] && matches!(rejection(&answer, "h"), Some(Error::Overlaps { .. }))
}

fn rejects_contradicting_pieces(rules: &Rules) -> bool {
    let pieces = |n: i64| raw("a", &[("x", n)]).pieces(1_000).expect("small");
    let both = [
        [pieces(1), pieces(2)].concat(),
        [pieces(2), pieces(1)].concat(),
    ];
    both.into_iter().all(|pieces| {
        let mut all = gathering(rules, &["a"]);
        for piece in pieces {
            let _ = all.put(piece);
        }
        matches!(
            rejection(&all.close().expect("small"), "a"),
            Some(Error::Contradicts { .. })
        )
    })
}

fn rejects_oversized_partial(rules: &Rules) -> bool {
    let names: Vec<String> = (0..1_000).map(|i| format!("s{i:03}")).collect();
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    let rows: Vec<(String, i64)> = (0..20_000).map(|i| (format!("key {i}"), 1)).collect();
    let rows: Vec<(&str, i64)> = rows.iter().map(|(k, n)| (k.as_str(), *n)).collect();
    let answer = gather_all(rules, &names, vec![raw("s000", &rows)]).expect("small");
    matches!(rejection(&answer, "s000"), Some(Error::TooMuch { .. }))
}

#[test]
fn each_guard_prevents_its_failure_and_its_absence_is_detected() {
    type Check = fn(&Rules) -> bool;
    let all: [(Guard, Check); 6] = [
        (Guard::Sorted, rejects_unsorted_rows),
        (Guard::Collide, rejects_duplicate_keys),
        (Guard::Newer, uses_newer_partial),
        (Guard::Overlap, rejects_overlap),
        (Guard::Contradict, rejects_contradicting_pieces),
        (Guard::Share, rejects_oversized_partial),
    ];
    for (guard, holds) in all {
        assert!(holds(&rules(None)), "{guard:?}");
        assert!(
            !holds(&rules(Some(guard))),
            "{guard:?}: its absence is not detected"
        );
    }
}

#[test]
fn a_sum_fits_or_is_rejected() {
    let plan = rules(None).plan().expect("rules");
    let many = |n: i128, times: usize| vec![vec![Value::text("x"), Value::Int(n)]; times];
    let sum = Partial::build(
        &plan,
        source("a", 1, 1),
        0,
        many(MAX_INT_MAGNITUDE, 512),
        None,
    )
    .expect("2^109 fits");
    assert_eq!(sum.rows[0].values[1], Value::Int(MAX_INT_MAGNITUDE << 9));
    let beyond = |part| gathering(&rules(None), &["a"]).put_partial(part);
    assert!(matches!(beyond(sum), Err(Error::Unfit { .. })));
    let extreme = Partial::from_raw_rows(source("a", 1, 1), 0, many(i128::MIN, 1));
    assert!(matches!(beyond(extreme), Err(Error::Unfit { .. })));
}

#[test]
fn nan_and_corrupt_bytes_are_malformed() {
    assert!(put_real(1.5).is_ok() && put_real(f64::NAN).is_err());
    let piece = raw("a", &[("x", 1)])
        .pieces(1_000)
        .expect("small")
        .remove(0);
    let sent = piece.encode();
    for index in 0..sent.len() {
        let mut changed = sent.clone();
        changed[index] ^= 0x55;
        if let Ok(piece) = Piece::decode(&changed) {
            let mut all = gathering(&rules(None), &["a"]);
            let _ = all.put(piece);
            assert!(all.close().is_ok());
        }
        assert!(Piece::decode(&sent[..index]).is_err());
    }
}

/// Adds a partial result with a floating-point value whose bytes in the encoded form are those of `number`.
fn put_real(number: f64) -> Result<(), Error> {
    let rules = Rules {
        columns: vec!["r".into()],
        ..Rules::default()
    };
    let good = Value::Real(Real::new(1.25).expect("a number"));
    let mut part = Partial::from_raw_rows(source("a", 1, 1), 0, vec![vec![good]])
        .pieces(1_000)
        .expect("small");
    let (from, to) = (1.25_f64.to_le_bytes(), number.to_le_bytes());
    let start = part[0]
        .bytes
        .windows(8)
        .position(|bytes| bytes == from)
        .expect("it is there");
    part[0].bytes[start..start + 8].copy_from_slice(&to);
    let mut all = gathering(&rules, &["a"]);
    all.put(part.remove(0)).map(drop)
}

#[test]
fn invalid_rules_are_rejected_with_the_name_of_their_key() {
    let key = |change: &dyn Fn(&mut Rules)| {
        let mut rules = rules(None);
        change(&mut rules);
        match rules.check() {
            Err(error @ Error::Rule { .. }) if !error.help().is_empty() => error.to_string(),
            other => format!("{other:?}"),
        }
    };
    assert!(key(&|r| r.max_rows = Some(0)).starts_with("merge.rows:"));
    assert!(key(&|r| r.max_rows = Some(u64::MAX)).starts_with("merge.rows:"));
    assert!(key(&|r| r.offset = u64::MAX).starts_with("merge.offset:"));
    assert!(key(&|r| (r.max_rows, r.offset) = (Some(MAX_ROWS), 1)).starts_with("merge.offset:"));
    assert!(key(&|r| r.max_rows_per_source = Some(0)).starts_with("merge.each:"));
    assert!(key(&|r| r.max_bytes = Some(0)).starts_with("merge.bytes:"));
    assert!(key(&|r| r.need = RequiredSources::Least(0)).starts_with("merge.need.least:"));
    assert!(key(&|r| r.columns.clear()).starts_with("merge.columns:"));
    assert!(key(&|r| r.columns[1] = "key".into()).starts_with("merge.columns.1:"));
    assert!(key(&|r| r.sort[0].by = "no".into()).starts_with("merge.sort.0.by:"));
    let unique = |r: &mut Rules, change: &dyn Fn(&mut Unique)| {
        r.unique.as_mut().into_iter().for_each(change)
    };
    assert!(key(&|r| unique(r, &|u| u.key.clear())).starts_with("merge.unique.key:"));
    assert!(
        key(&|r| unique(r, &|u| u.combine[0].column = "key".into()))
            .starts_with("merge.unique.combine.0")
    );
    let own = KeepRule::Freshest {
        incarnation: "n".into(),
        position: "key".into(),
    };
    assert!(key(&|r| unique(r, &|u| u.keep = own.clone())).starts_with("merge.unique.keep"));
    assert_eq!(
        key(&|r| (r.max_rows_per_source, r.max_bytes) = (Some(u64::MAX), Some(u64::MAX))),
        "Ok(())"
    );
    let read = |text: &str| serde_json::from_str::<Rules>(text);
    assert!(read(r#"{"columns":["a"],"rowz":1}"#).is_err());
    let text = r#"{"columns":["a","n"],"sort":[{"by":"n","down":true,"absent":"first"}],"need":{"least":2},
        "unique":{"key":["a"],"keep":{"freshest":{"life":"n","position":"n"}}},"ties":"keep"}"#;
    assert!(read(text).is_ok_and(|r| r.check().is_ok()));
    // Each setting is read and written under its outer name, which some fields do not have.
    let text = r#"{"columns":["a","n","i"],"sort":[{"by":"n","down":true,"absent":"first"}],
        "unique":{"key":["a"],"keep":{"freshest":{"life":"i","position":"i"}},
            "combine":[{"column":"n","by":"sum","floor":true}]},
        "rows":7,"bytes":900,"each":5,"offset":1,"ties":"keep","need":"all"}"#;
    let all = read(text).expect("settings with outer names");
    let combine = &all.unique.as_ref().expect("set").combine[0];
    assert!(all.sort[0].descending && combine.non_negative && all.check().is_ok());
    assert_eq!((all.max_rows, all.max_bytes), (Some(7), Some(900)));
    assert_eq!(all.max_rows_per_source, Some(5));
    let written = serde_json::to_value(&all).expect("JSON");
    assert_eq!(
        written,
        serde_json::from_str::<serde_json::Value>(text).expect("JSON")
    );
}

#[test]
fn missing_sources_are_listed_with_their_reason() {
    let all = Rules {
        need: RequiredSources::All,
        ..rules(None)
    };
    let mut some = gathering(&all, &["a", "b", "c", "d"]);
    some.put_partial(raw("a", &[("x", 1)])).expect("fits");
    let long: Vec<(String, i64)> = (0..300).map(|i| (format!("{i:020}"), 1)).collect();
    let long: Vec<(&str, i64)> = long.iter().map(|(k, n)| (k.as_str(), *n)).collect();
    let pieces = raw("b", &long).pieces(1_000).expect("some pieces");
    assert!(pieces.len() > 2 && pieces.iter().all(|p| p.encode().len() <= 1_000));
    assert_eq!(some.put(pieces[1].clone()), Ok(PutOutcome::Incomplete));
    assert_eq!(some.put(pieces[1].clone()), Ok(PutOutcome::Duplicate));
    assert!(matches!(
        some.put_partial(raw("e", &[])),
        Err(Error::Unexpected { .. })
    ));
    let wide = Partial::from_raw_rows(source("d", 1, 1), 0, vec![vec![Value::Absent]]);
    assert!(matches!(
        some.put_partial(wide),
        Err(Error::Columns {
            got: 1,
            want: 2,
            ..
        })
    ));
    assert!(!some.is_complete());
    let answer = some.close().expect("small");
    let expected = pieces.len() as u32;
    assert_eq!(
        answer.missing["b"],
        MissingReason::Incomplete {
            received: 1,
            expected
        }
    );
    assert_eq!(answer.missing["c"], MissingReason::NoAnswer);
    assert!(
        rejection(&answer, "d")
            .is_some_and(|e| !e.help().is_empty() && e.source_name() == Some("d"))
    );
    assert!(!answer.is_sufficient && answer.rows.len() == 1 && !answer.is_complete());
    // The missing sources are also reported to a higher level.
    let part = answer
        .partial(source("g", 1, 1), 0)
        .expect("from the first row on");
    let above = gather_all(&all, &["g"], vec![part]).expect("small");
    assert_eq!(
        above.missing["c"],
        MissingReason::MissingBelow {
            reported_by: "g".into()
        }
    );
    assert!(!above.is_sufficient);
}

#[test]
fn rows_cut_by_bytes_and_offset_are_reported() {
    let one = |rules: &Rules| {
        gather_all(
            rules,
            &["a"],
            vec![raw("a", &[("x", 3), ("y", 2), ("z", 1)])],
        )
        .expect("small")
    };
    // An encoded row has six bytes: the number of values, then type, length and letter of the text, then type and value
    // of the integer.
    let cut = one(&Rules {
        max_bytes: Some(12),
        ..rules(None)
    });
    assert_eq!((numbers(&cut), cut.row_counts.cut), (vec![3, 2], 1));
    assert_eq!(cut.hidden_prefix, Some(vec![Value::from(1)]));
    assert!(cut.rows.iter().all(|r| r.certain) && cut.next_page.is_some());
    let later = one(&Rules {
        offset: 1,
        ..rules(None)
    });
    assert_eq!(numbers(&later), [2, 1]);
    assert_eq!(later.partial(source("g", 1, 1), 0), Err(Error::MiddlePage));
}

#[test]
fn a_sum_over_truncated_partials_has_bounds() {
    let mut rules = rules(None);
    rules.unique.as_mut().expect("set").combine[0].non_negative = true;
    let plan = rules.plan().expect("rules");
    let cut = |name: &str, rows: &[(&str, i64)]| {
        let all = rows
            .iter()
            .map(|(k, n)| vec![Value::text(k), Value::from(*n)])
            .collect();
        Partial::build(&plan, source(name, 1, 1), 0, all, Some(2)).expect("fits")
    };
    let a = cut("a", &[("x", 90), ("y", 50), ("z", 3), ("w", 2)]);
    let b = cut("b", &[("x", 80), ("z", 30), ("y", 4)]);
    let answer = gather_all(&rules, &["a", "b"], vec![a, b]).expect("small");
    let range = |low: i64, high: i64| {
        vec![Range {
            low: Some(low.into()),
            high: Some(high.into()),
        }]
    };
    assert_eq!(numbers(&answer), [170, 50, 30]);
    assert!(answer.rows[0].certain && answer.rows[0].ranges.is_empty());
    // Source b may withhold up to 4 of y, source a up to 3 of z, and both together up to 7 of a key that neither sent.
    assert_eq!(answer.rows[1].ranges, range(50, 54));
    assert_eq!(answer.rows[2].ranges, range(30, 33));
    assert_eq!(answer.hidden_prefix, Some(vec![Value::from(7)]));
    assert!(answer.rows.iter().all(|r| r.certain) && !answer.is_complete());
}

#[test]
fn ten_million_rows_are_merged_as_streams() {
    let rules = Rules {
        unique: None,
        max_rows: Some(10),
        ..rules(None)
    };
    let plan = rules.plan().expect("rules");
    let stream = |s: i128| {
        (0..100_000_i128)
            .map(move |n| Row::from_values(vec![Value::Absent, Value::Int(-n * 100 - s)]))
    };
    let input = |s: i128| Input {
        name: format!("{s}"),
        rows: stream(s),
        combined: false,
        withheld_prefix: None,
    };
    let mut streams = StreamMerge::new(&plan, (0..100).map(input).collect());
    let mut expected = 0;
    for next in streams.by_ref() {
        let (_, row) = next.expect("in order");
        assert_eq!(row.values[1], Value::Int(-expected));
        expected += 1;
    }
    assert_eq!((expected, streams.rows_read()), (10_000_000, 10_000_000));
    let wrong = [1, 2].map(|n| Row::from_values(vec![Value::Absent, Value::Int(n)]));
    let input = Input {
        name: "w".into(),
        rows: wrong.into_iter(),
        combined: false,
        withheld_prefix: None,
    };
    let all: Vec<_> = StreamMerge::new(&plan, vec![input]).collect();
    assert!(matches!(
        all.as_slice(),
        [Ok(_), Err(Error::Unsorted { row: 1, .. })]
    ));
}

#[test]
fn queries_have_valid_rules_and_fit_in_a_part() {
    let group = || "g".repeat(128);
    let topics = [
        Topic::NodesByFailures,
        Topic::LeaseHolders,
        Topic::Subscribers(group()),
        Topic::Positions(group()),
        Topic::HeaviestTenants,
    ];
    for topic in topics {
        let query = |max_rows, remaining_ms| {
            let topic = topic.clone();
            Query {
                id: u64::MAX,
                requester: group(),
                incarnation: u64::MAX,
                remaining_ms,
                topic,
                max_rows,
                after: None,
            }
        };
        assert!(
            query(None, 500)
                .rules()
                .is_ok_and(|r| r.check().is_ok() && r.lower().check().is_ok())
        );
        assert!(query(Some(0), 500).rules().is_err() && query(None, u32::MAX).rules().is_err());
        let sent = Message::Query(query(Some(7), 500));
        assert!(sent.encode().len() < 1_000);
        assert_eq!(Message::decode(&sent.encode()), Ok(sent));
        assert_eq!(
            (
                query(None, 500).remaining_after(499),
                query(None, 500).remaining_after(500)
            ),
            (Some(1), None)
        );
    }
}
