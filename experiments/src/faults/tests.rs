//! Unit tests of the selection of printed violations and of the checker.

use super::checker::{Violation, check};
use super::runner::{
    FaultInterval, ProcessExit, ProcessRun, ReceivedStatement, RequestRecord, RunRecord,
};
use super::{Scenario, select_violations};
use plovercove_emulator::RequestOutcome;

fn violation(check: &'static str, at: f64) -> Violation {
    Violation {
        check,
        at,
        who: "n0".into(),
        what: String::new(),
    }
}

#[test]
fn a_check_that_fails_late_is_printed_beside_one_that_fails_on_every_router() {
    let mut all: Vec<Violation> = (0..30)
        .map(|n| violation("evidence", 6.0 + f64::from(n) / 100.0))
        .collect();
    all.extend([
        violation("agreement", 8.0),
        violation("agreement", 8.0),
        violation("exits", 9.0),
    ]);
    let selected: Vec<(&str, f64)> = select_violations(&all)
        .iter()
        .map(|b| (b.check, b.at))
        .collect();
    let early = (0..6).map(|n| ("evidence", 6.0 + f64::from(n) / 100.0));
    assert_eq!(
        selected,
        early
            .chain([("agreement", 8.0), ("exits", 9.0)])
            .collect::<Vec<_>>()
    );
}

#[test]
fn few_violations_are_all_printed_in_order_of_time() {
    let all = [
        violation("links", 1.0),
        violation("third", 2.0),
        violation("links", 3.0),
    ];
    assert_eq!(
        select_violations(&all)
            .iter()
            .map(|b| b.at)
            .collect::<Vec<_>>(),
        [1.0, 2.0, 3.0]
    );
}

/// Returns whether the checker reports a missing ejection when `s4` fails after one second and no router ejects it.
/// `statement_counts` has the routers that sent statements to the node, each with their number.
fn reports_missing_ejection(statement_counts: &[(usize, usize)]) -> bool {
    let scenario = Scenario {
        out: vec!["s4".into()],
        peers: Some(serde_json::Map::new()),
        ..Scenario::default()
    };
    let mut record = RunRecord {
        node_placement: scenario.nodes(),
        node_faults: vec![FaultInterval {
            target: 4,
            from: 1.0,
            until: 20.0,
        }],
        unserved: vec![Vec::new(); scenario.nodes().len()],
        shutdown_start: 20.0,
        ..RunRecord::default()
    };
    for router in 0..scenario.routers().len() {
        record.processes.push(ProcessRun {
            router,
            is_twin: false,
            from: -1.0,
            until: 21.0,
            exit: ProcessExit::Terminated(Some(0)),
            log: Vec::new(),
            cpu: 0.0,
        });
    }
    for (router, count) in statement_counts {
        let id = format!("request-of-{router}");
        record.requests.push(RequestRecord {
            router: *router,
            at: 1.1,
            took: 0.9,
            id: id.clone(),
            is_write: false,
            outcome: RequestOutcome::Refused,
        });
        let statement = ReceivedStatement { at: 1.2, id };
        record.unserved[4].extend(std::iter::repeat_n(statement, *count));
    }
    check(&scenario, &record)
        .0
        .iter()
        .any(|b| b.check == "acts")
}

#[test]
fn a_dead_node_has_to_be_ejected_only_if_two_zones_sent_it_two_statements_each() {
    // Routers 0 to 2 are in the first zone, 3 to 5 in the second.
    assert!(reports_missing_ejection(&[(0, 2), (3, 2)]));
    assert!(
        !reports_missing_ejection(&[(3, 5), (4, 5), (5, 5)]),
        "one zone"
    );
    assert!(
        !reports_missing_ejection(&[(0, 1), (3, 2)]),
        "once only in the first"
    );
}
