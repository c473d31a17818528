//! What a trial's line tells of all that was broken, and what the checker asks for.

use super::check::{Broken, check};
use super::play::{Asked, Done, End, Life, Met, Record};
use super::{Trial, told};
use plovercove_emulator::RequestOutcome;

fn broken(check: &'static str, at: f64) -> Broken {
    Broken {
        check,
        at,
        who: "n0".into(),
        what: String::new(),
    }
}

#[test]
fn a_check_that_strikes_late_is_told_beside_one_that_strikes_every_router() {
    let mut all: Vec<Broken> = (0..30)
        .map(|n| broken("evidence", 6.0 + f64::from(n) / 100.0))
        .collect();
    all.extend([
        broken("agreement", 8.0),
        broken("agreement", 8.0),
        broken("exits", 9.0),
    ]);
    let told: Vec<(&str, f64)> = told(&all).iter().map(|b| (b.check, b.at)).collect();
    let early = (0..6).map(|n| ("evidence", 6.0 + f64::from(n) / 100.0));
    assert_eq!(
        told,
        early
            .chain([("agreement", 8.0), ("exits", 9.0)])
            .collect::<Vec<_>>()
    );
}

#[test]
fn few_lines_are_all_told_in_their_order() {
    let all = [
        broken("links", 1.0),
        broken("third", 2.0),
        broken("links", 3.0),
    ];
    assert_eq!(
        told(&all).iter().map(|b| b.at).collect::<Vec<_>>(),
        [1.0, 2.0, 3.0]
    );
}

/// A trial in which s4 dies after one second and nobody takes it out, though these routers met it so often.
fn acts_struck(meetings: &[(usize, usize)]) -> bool {
    let trial = Trial {
        out: vec!["s4".into()],
        peers: Some(serde_json::Map::new()),
        ..Trial::default()
    };
    let mut record = Record {
        places: trial.nodes(),
        nodes: vec![Done {
            whom: 4,
            from: 1.0,
            until: 20.0,
        }],
        unserved: vec![Vec::new(); trial.nodes().len()],
        closing: 20.0,
        ..Record::default()
    };
    for router in 0..trial.routers().len() {
        record.lives.push(Life {
            router,
            twin: false,
            from: -1.0,
            until: 21.0,
            end: End::Terminated(Some(0)),
            log: Vec::new(),
            cpu: 0.0,
        });
    }
    for (router, count) in meetings {
        let id = format!("request-of-{router}");
        record.asked.push(Asked {
            router: *router,
            at: 1.1,
            took: 0.9,
            id: id.clone(),
            write: false,
            fate: RequestOutcome::Refused,
        });
        let met = Met { at: 1.2, id };
        record.unserved[4].extend(std::iter::repeat_n(met, *count));
    }
    check(&trial, &record).0.iter().any(|b| b.check == "acts")
}

#[test]
fn a_dead_node_that_two_zones_met_twice_has_to_be_out_and_one_that_a_single_zone_met_has_not() {
    // Routers 0 to 2 stand in the first zone, 3 to 5 in the second.
    assert!(acts_struck(&[(0, 2), (3, 2)]));
    assert!(!acts_struck(&[(3, 5), (4, 5), (5, 5)]), "one zone");
    assert!(!acts_struck(&[(0, 1), (3, 2)]), "once only in the first");
}
