//! Where routers remember the writes of sessions, a read of a session's own writes must see each of them, also at a replica that
//! joins from an old copy, and although the router cannot remember every session for ever.

mod common;

use common::*;
use plovercove::*;

/// Time by which a new replica's copy is behind.
const COPY_AGE: Micros = 6_000 * MS;

fn settings_that_remember() -> Settings {
    Settings {
        clients_carry_tokens: false,
        replica_check: ReplicaCheck::None,
        ..settings()
    }
}

fn session_request(id: RequestId, class: usize, session: &str) -> RequestInfo {
    RequestInfo {
        session: Some(session.into()),
        ..request_info(id, class)
    }
}

fn report_position(harness: &mut Harness, node: &str, position: Time) {
    harness.handle_event(Event::HealthChecked {
        node: node.into(),
        answered: true,
        load_report: node_report(Role::Replica, position),
    });
}

/// Serves a write of a session, and returns the time of its commit.
fn write(harness: &mut Harness, id: RequestId, session: &str) -> Time {
    let node = harness.send_request(session_request(id, AT_MOST_ONCE, session));
    assert_eq!(node.as_deref(), Some("p"), "write {id}");
    let committed_at = harness.now;
    harness.now += MS;
    let report = node_report(Role::Primary, committed_at);
    harness.end_attempt(id, 0, AttemptEnd::Success, report);
    committed_at
}

/// Guards against reads that miss their session's own write at a replica that joins behind writes which the router has forgotten.
#[test]
fn a_replica_that_joins_from_an_old_copy_serves_no_session_that_has_written_since() {
    for sessions in [1_024, 1_500, 5_000] {
        let mut harness = Harness::new(settings_that_remember());
        let mut last_commit = 0;
        for number in 0..sessions {
            last_commit = write(&mut harness, number, &format!("s{number}"));
            for replica in ["r1", "r2"] {
                report_position(&mut harness, replica, last_commit);
            }
        }
        let joining = Endpoint {
            started_at: Some(harness.now),
            ..endpoint("new", false)
        };
        let all_gone = |name: &str| Endpoint {
            state: EndpointState::Draining,
            ..endpoint(name, false)
        };
        let changes = vec![joining, all_gone("r1"), all_gone("r2")];
        harness.handle_event(Event::EndpointsChanged(EndpointUpdate::Changes(changes)));
        harness.advance(20_000 * MS);
        for position in [None, Some(last_commit - COPY_AGE)] {
            if let Some(position) = position {
                report_position(&mut harness, "new", position);
            }
            for number in (0..sessions).step_by(97) {
                let id = harness.now + number;
                let read = session_request(id, OWN_WRITES, &format!("s{number}"));
                let node = harness.send_request(read);
                assert_ne!(
                    node.as_deref(),
                    Some("new"),
                    "{sessions}: s{number}, {position:?}"
                );
                let report = node_report(Role::Primary, harness.now);
                harness.end_attempt(id, 0, AttemptEnd::Success, report);
            }
            harness.advance(1_000 * MS);
        }
        report_position(&mut harness, "new", last_commit);
        let id = harness.now;
        let read = session_request(id, OWN_WRITES, "s0");
        assert_eq!(
            harness.send_request(read).as_deref(),
            Some("new"),
            "a replica with all writes serves every session"
        );
    }
}

/// Guards against a table that grows without bound because a node has told no position, and against reads that miss a write which
/// was forgotten for that.
#[test]
fn the_number_of_remembered_sessions_is_bounded_although_a_node_is_silent() {
    let mut harness = Harness::new(settings_that_remember());
    let mut commits = Vec::new();
    for number in 0..200_000 {
        commits.push(write(&mut harness, number, &format!("s{number}")));
    }
    let remembered = harness.balancer.remembered_session_count();
    assert!(remembered <= 65_536, "{remembered} sessions");
    let position = commits[commits.len() - 1] - COPY_AGE;
    report_position(&mut harness, "r1", position);
    for number in (0..200_000).step_by(9_973) {
        let id = harness.now + number;
        let read = session_request(id, OWN_WRITES, &format!("s{number}"));
        let node = harness.send_request(read);
        let has_its_write = commits[number as usize] <= position;
        assert!(
            node.as_deref() == Some("p") || (node.as_deref() == Some("r1") && has_its_write),
            "s{number} at {node:?}"
        );
        harness.end_attempt(id, 0, AttemptEnd::Success, NodeReport::default());
    }
}

/// Guards against stale reads of clients whose session the router does not know by name, but when it has last written.
#[test]
fn the_stated_age_of_the_last_write_counts_beside_the_remembered_one() {
    let mut harness = Harness::new(settings_that_remember());
    let now = harness.now;
    for replica in ["r1", "r2"] {
        report_position(&mut harness, replica, now - 100 * MS);
    }
    let read = |id, age| RequestInfo {
        last_write_age: Some(age),
        ..request_info(id, OWN_WRITES)
    };
    let to_primary = harness.send_request(read(1, 50 * MS));
    assert_eq!(to_primary.as_deref(), Some("p"));
    let to_replica = harness.send_request(read(2, 150 * MS));
    assert_ne!(to_replica.as_deref(), Some("p"));
}
