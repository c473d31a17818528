//! A long history: one bad effect among 100,000 is found, with the two lines that show it. What it took is printed:
//! `cargo test -p plovercove-history --release --test cost -- --nocapture`.

use plovercove_fencing::{LeaseName, Token};
use plovercove_history::{
    Acted, Answered, Asked, Bounds, Event, Fate, File, Head, History, Kind, Line, Ran, judge,
};
use std::time::Instant;

/// Effects in the history of owners, and lines in that of requests.
const EVENTS: u64 = 100_000;
const DUTIES: u64 = 500;

fn history(kind: Kind, lines: Vec<Line>) -> History {
    let head = Head {
        history: 1,
        process: "all".into(),
        kind,
    };
    History {
        files: vec![File {
            path: "all.jsonl".into(),
            head,
            lines,
            torn: false,
        }],
        empty: Vec::new(),
    }
}

fn line(at: u64, what: Event) -> Line {
    Line {
        at,
        claim: false,
        what,
    }
}

#[test]
fn one_bad_effect_among_a_hundred_thousand_is_found() {
    let duties: Vec<LeaseName> = (0..DUTIES)
        .map(|n| LeaseName::new(&format!("positions/{n}")).expect("a name"))
        .collect();
    let mut lines = vec![line(0, Event::Bounds(Bounds::default()))];
    for n in 0..EVENTS {
        // Each duty changes its owner with every tenth effect.
        let token = 1 + n / DUTIES / 10;
        let act = Acted {
            duty: duties[(n % DUTIES) as usize].clone(),
            token: Token(token),
            owner: format!("n{}/0", token % 9),
            place: format!("s{}", n % 3),
            begin: 10 * n,
            end: 10 * n + 5,
            fenced: true,
        };
        lines.push(line(act.end, Event::Acted(act)));
    }
    let good = history(Kind::Standin, lines.clone());
    let begun = Instant::now();
    let judged = judge(&good);
    println!("{EVENTS} effects of {DUTIES} duties: {:?}", begun.elapsed());
    assert!(judged.findings.is_empty() && judged.counts.acted == EVENTS as usize);
    // An old owner of one of them wakes up at the end, at a place that knows the newer token.
    let Event::Acted(last) = &lines[lines.len() - 1].what else {
        panic!("an effect")
    };
    let at = 10 * EVENTS;
    let woken = Acted {
        token: Token(last.token.0 - 1),
        owner: "old".into(),
        begin: at,
        end: at + 5,
        ..last.clone()
    };
    lines.push(line(woken.end, Event::Acted(woken)));
    let findings = judge(&history(Kind::Standin, lines)).findings;
    let rules: Vec<&str> = findings.iter().map(|f| f.rule).collect();
    assert_eq!(
        rules,
        ["token-fell", "token-twice", "two-owners"],
        "{findings:#?}"
    );
    assert!(findings.iter().all(|f| f.part.len() == 2));
}

#[test]
fn one_write_that_ran_twice_among_many_requests_is_found() {
    let mut lines = Vec::new();
    for n in 0..EVENTS / 3 {
        let (id, at, write) = (format!("r{n}"), 30 * n, n % 3 == 0);
        let (session, group) = (format!("c{}", n % 50), n % 3);
        let asked = Asked {
            id: id.clone(),
            session,
            of: "n0".into(),
            group,
            write,
            stale: Some(1_000),
        };
        lines.push(line(at, Event::Asked(asked)));
        let ran = Ran {
            id: id.clone(),
            node: "s0".into(),
            group,
            write,
            position: at,
        };
        lines.push(line(at + 10, Event::Ran(ran.clone())));
        if n == 9_999 {
            lines.push(line(at + 15, Event::Ran(ran)));
        }
        lines.push(line(
            at + 20,
            Event::Answered(Answered {
                id,
                fate: Fate::Served,
            }),
        ));
    }
    let many = history(Kind::Rig, lines);
    let begun = Instant::now();
    let judged = judge(&many);
    println!(
        "{} lines of requests: {:?}",
        judged.counts.events,
        begun.elapsed()
    );
    let found: Vec<(&str, &str)> = judged.findings.iter().map(|f| (f.rule, &*f.who)).collect();
    assert_eq!(found, [("once", "r9999")]);
}
