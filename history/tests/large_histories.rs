//! Large histories: one violation among 100,000 events is found, with the lines that show it. To print how long the
//! checks take: `cargo test -p plovercove-history --release --test large_histories -- --nocapture`.

use plovercove_fencing::{LeaseName, Token};
use plovercove_history::{
    Bounds, EffectApplied, Event, File, FileHeader, History, Line, Outcome, ProcessKind,
    RequestEnded, RequestSent, StatementRan, check_history,
};
use std::time::Instant;

/// Number of effects in the history of lease holders, and of lines in that of requests.
const EVENTS: u64 = 100_000;
const LEASES: u64 = 500;

fn history(kind: ProcessKind, lines: Vec<Line>) -> History {
    let header = FileHeader {
        format_version: 1,
        process: "all".into(),
        kind,
    };
    History {
        files: vec![File {
            path: "all.jsonl".into(),
            header,
            lines,
            torn: false,
        }],
        empty_files: Vec::new(),
    }
}

fn line(time: u64, event: Event) -> Line {
    Line {
        time,
        claim: false,
        event,
    }
}

#[test]
fn one_invalid_effect_among_many_is_found() {
    let leases: Vec<LeaseName> = (0..LEASES)
        .map(|n| LeaseName::new(&format!("positions/{n}")).expect("a name"))
        .collect();
    let mut lines = vec![line(0, Event::Bounds(Bounds::default()))];
    for n in 0..EVENTS {
        // Each lease changes its holder every ten effects.
        let token = 1 + n / LEASES / 10;
        let effect = EffectApplied {
            lease: leases[(n % LEASES) as usize].clone(),
            token: Token(token),
            holder: format!("n{}/0", token % 9),
            target: format!("s{}", n % 3),
            begin: 10 * n,
            end: 10 * n + 5,
            fenced: true,
        };
        lines.push(line(effect.end, Event::EffectApplied(effect)));
    }
    let valid = history(ProcessKind::Emulator, lines.clone());
    let start = Instant::now();
    let report = check_history(&valid);
    println!("{EVENTS} effects of {LEASES} leases: {:?}", start.elapsed());
    assert!(report.findings.is_empty() && report.counts.effects == EVENTS as usize);
    // After the others, a former holder of a lease acts on a target that has seen the newer token.
    let Event::EffectApplied(last) = &lines[lines.len() - 1].event else {
        panic!("not an effect")
    };
    let time = 10 * EVENTS;
    let late_effect = EffectApplied {
        token: Token(last.token.0 - 1),
        holder: "old".into(),
        begin: time,
        end: time + 5,
        ..last.clone()
    };
    lines.push(line(late_effect.end, Event::EffectApplied(late_effect)));
    let findings = check_history(&history(ProcessKind::Emulator, lines)).findings;
    let rules: Vec<&str> = findings.iter().map(|f| f.rule).collect();
    assert_eq!(
        rules,
        ["token-fell", "token-twice", "two-owners"],
        "{findings:#?}"
    );
    assert!(findings.iter().all(|f| f.evidence.len() == 2));
}

#[test]
fn one_write_that_ran_twice_among_many_requests_is_found() {
    let mut lines = Vec::new();
    for n in 0..EVENTS / 3 {
        let (id, time, write) = (format!("r{n}"), 30 * n, n % 3 == 0);
        let (session, group) = (format!("c{}", n % 50), n % 3);
        let sent = RequestSent {
            id: id.clone(),
            session,
            router: "n0".into(),
            group,
            write,
            max_staleness: Some(1_000),
        };
        lines.push(line(time, Event::RequestSent(sent)));
        let ran = StatementRan {
            id: id.clone(),
            node: "s0".into(),
            group,
            write,
            position: time,
        };
        lines.push(line(time + 10, Event::StatementRan(ran.clone())));
        if n == 9_999 {
            lines.push(line(time + 15, Event::StatementRan(ran)));
        }
        lines.push(line(
            time + 20,
            Event::RequestEnded(RequestEnded {
                id,
                outcome: Outcome::Served,
            }),
        ));
    }
    let many = history(ProcessKind::Harness, lines);
    let start = Instant::now();
    let report = check_history(&many);
    println!(
        "{} lines of requests: {:?}",
        report.counts.events,
        start.elapsed()
    );
    let found: Vec<(&str, &str)> = report
        .findings
        .iter()
        .map(|f| (f.rule, &*f.subject))
        .collect();
    assert_eq!(found, [("once", "r9999")]);
}
