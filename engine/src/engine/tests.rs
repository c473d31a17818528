//! Tests of the rules that the engine enforces on all decisions.

use super::*;
use plovercove::{Access, DedupScope, EndpointState, Idempotency};

const NOW: Time = 1_000_000_000;

/// Returns an engine with one at-most-once write that is sent to the primary.
fn engine_with_write() -> (Engine, AttemptId) {
    engine_with_write_of(Idempotency::AtMostOnce, DedupScope::Group)
}

/// Returns an engine with one write of this idempotency that is sent to the primary.
fn engine_with_write_of(idempotency: Idempotency, scope: DedupScope) -> (Engine, AttemptId) {
    let class = Class {
        name: "book".into(),
        access: Access::Write,
        latency_objective: 400_000,
        objective_per_cost: 0.0,
        deadline: 5_000_000,
        priority_weight: 1.0,
        late_weight_share: 0.0,
        idempotency,
        dedup_scope: scope,
        dedup_window: 0,
        stream: false,
    };
    let mut engine = Engine::new(
        Settings {
            classes: vec![class],
            cancel_allowed: true,
            ..Settings::default()
        },
        1,
    );
    let primary = Endpoint {
        node: "p".into(),
        listed_as_primary: true,
        group: 1,
        weight: 1.0,
        ..Endpoint::default()
    };
    engine.update_endpoints(EndpointUpdate::Full(vec![primary]));
    let info = RequestInfo {
        group: 1,
        time_left: 5_000_000,
        ..RequestInfo::default()
    };
    engine.begin_request(Key::from_number(7), info);
    let sent = engine
        .decide(NOW)
        .into_iter()
        .find_map(|command| match command {
            Command::Send { attempt, .. } => Some(attempt),
            _ => None,
        });
    (engine, sent.expect("the primary is known"))
}

fn answers(commands: &[Command]) -> Vec<FinalAnswer> {
    let answer = |c: &Command| {
        if let Command::Answer { answer, .. } = c {
            Some(*answer)
        } else {
            None
        }
    };
    commands.iter().filter_map(answer).collect()
}

#[test]
fn a_write_that_may_have_run_is_never_rejected() {
    // The client would send a rejected write again, and a seat would be booked twice.
    let (mut engine, attempt) = engine_with_write();
    engine.attempt_written(attempt);
    engine.answer(attempt.request, FinalAnswer::Rejected(None));
    engine.answer(attempt.request, FinalAnswer::Failed);
    assert_eq!(
        answers(&engine.commands),
        [FinalAnswer::Failed],
        "one answer, which is no rejection"
    );
}

#[test]
fn a_request_that_may_have_run_is_rejected_only_if_repeats_are_harmless() {
    // If repeats are discarded in one group or zone only, a client that retries after a rejection executes the write
    // twice.
    use Idempotency::{AtMostOnce, Deduplicated, Idempotent};
    let cases = [
        (Idempotent, DedupScope::Group, true),
        (Deduplicated, DedupScope::All, true),
        (Deduplicated, DedupScope::Zone, false),
        (Deduplicated, DedupScope::Group, false),
        (AtMostOnce, DedupScope::All, false),
    ];
    for (idempotency, scope, is_harmless) in cases {
        let (mut engine, attempt) = engine_with_write_of(idempotency, scope);
        engine.attempt_written(attempt);
        engine.answer(attempt.request, FinalAnswer::Rejected(None));
        let expected = if is_harmless {
            FinalAnswer::Rejected(None)
        } else {
            FinalAnswer::Failed
        };
        assert_eq!(
            answers(&engine.commands),
            [expected],
            "{idempotency:?} {scope:?}"
        );
        let (mut engine, attempt) = engine_with_write_of(idempotency, scope);
        engine.answer(attempt.request, FinalAnswer::Rejected(None));
        assert_eq!(
            answers(&engine.commands),
            [FinalAnswer::Rejected(None)],
            "{idempotency:?} {scope:?}: nothing was written"
        );
    }
}

#[test]
fn an_attempt_not_completely_written_did_not_run() {
    let (mut engine, attempt) = engine_with_write();
    engine.attempt_timed_out(attempt, NOW + 400_000);
    let ended = engine.events.iter().find_map(|event| match event {
        Event::AttemptEnded { end, .. } => Some(*end),
        _ => None,
    });
    assert_eq!(ended, Some(AttemptEnd::Unreachable));
    assert!(matches!(
        engine.commands[..],
        [Command::CancelAttempt { .. }]
    ));
}

#[test]
fn a_departed_client_gets_no_answer_and_its_slot_is_freed() {
    let (mut engine, attempt) = engine_with_write();
    engine.attempt_written(attempt);
    engine.client_gone(attempt.request);
    assert_eq!(
        (
            answers(&engine.decide(NOW + 1)).len(),
            engine.pending_requests()
        ),
        (0, 1),
        "its attempt is still in flight"
    );
    let no_report = NodeReport::default();
    assert_eq!(
        engine.attempt_ended(NOW + 2, attempt, AttemptEnd::Success, no_report, no_report),
        None
    );
    assert_eq!(engine.pending_requests(), 0);
}

#[test]
fn a_cancelled_request_is_stopped_and_gets_no_answer() {
    // A database node would go on with a request that no client waits for, and its answer would arrive as a second one.
    let (mut engine, attempt) = engine_with_write();
    engine.attempt_written(attempt);
    engine.cancel_request(attempt.request, NOW + 1);
    let commands = engine.decide(NOW + 1);
    assert!(
        matches!(commands[..], [Command::CancelAttempt { attempt: stopped, .. }] if stopped == attempt)
    );
    assert_eq!(
        (
            answers(&engine.decide(NOW + 2)).len(),
            engine.pending_requests()
        ),
        (0, 0)
    );
}

#[test]
fn endpoints_no_longer_listed_are_forgotten() {
    // Each replaced node would leave an entry behind, and requests to its group would be sent in vain.
    let mut engine = engine_with_write().0;
    let listed_endpoint = |state| Endpoint {
        node: "r".into(),
        group: 2,
        state,
        ..Endpoint::default()
    };
    engine.update_endpoints(EndpointUpdate::Changes(vec![listed_endpoint(
        EndpointState::Serving,
    )]));
    assert!(engine.knows_group(1) && engine.knows_group(2));
    engine.update_endpoints(EndpointUpdate::Changes(vec![listed_endpoint(
        EndpointState::Removed,
    )]));
    assert!(engine.knows_group(1) && !engine.knows_group(2));
    engine.update_endpoints(EndpointUpdate::Full(vec![listed_endpoint(
        EndpointState::Serving,
    )]));
    assert_eq!(
        engine.endpoints().count(),
        1,
        "a complete list replaces the known one"
    );
}

fn listed_endpoint(node: &str, state: EndpointState) -> Endpoint {
    Endpoint {
        node: node.into(),
        listed_as_primary: node == "p",
        group: 1,
        weight: 1.0,
        state,
        ..Endpoint::default()
    }
}

#[test]
fn a_list_update_applies_before_the_next_decision() {
    // A connection may open in the same turn in which the update arrives, and would carry an attempt that was decided
    // before.
    for update in [
        EndpointUpdate::Changes(vec![listed_endpoint("p", EndpointState::Draining)]),
        EndpointUpdate::Changes(vec![listed_endpoint("p", EndpointState::Removed)]),
        EndpointUpdate::Full(vec![listed_endpoint("r", EndpointState::Serving)]),
    ] {
        let (mut engine, attempt) = engine_with_write();
        assert!(
            engine.may_send(Some(attempt), &"p".into(), NOW + 1)
                && engine.may_still_send(attempt, NOW + 1)
        );
        engine.update_endpoints(update.clone());
        assert!(
            !engine.may_still_send(attempt, NOW + 1),
            "an attempt after {update:?}"
        );
        assert!(
            !engine.may_send(None, &"p".into(), NOW + 1),
            "a query of the router after {update:?}"
        );
        engine.decide(NOW + 1);
        assert!(
            !engine.may_still_send(attempt, NOW + 2),
            "an attempt once the decisions have handled {update:?}"
        );
    }
}

#[test]
fn a_node_that_drains_and_returns_gets_requests_again() {
    let (mut engine, attempt) = engine_with_write();
    engine.update_endpoints(EndpointUpdate::Changes(vec![listed_endpoint(
        "p",
        EndpointState::Draining,
    )]));
    engine.update_endpoints(EndpointUpdate::Changes(vec![listed_endpoint(
        "p",
        EndpointState::Serving,
    )]));
    engine.decide(NOW + 1);
    assert!(engine.may_still_send(attempt, NOW + 1) && engine.may_send(None, &"p".into(), NOW + 1));
}

#[test]
fn a_restored_list_applies_from_the_start() {
    let mut engine = Engine::new(Settings::default(), 1);
    engine.update_endpoints(EndpointUpdate::Restored(vec![
        listed_endpoint("p", EndpointState::Draining),
        listed_endpoint("r", EndpointState::Serving),
    ]));
    assert!(!engine.may_send(None, &"p".into(), NOW) && engine.may_send(None, &"r".into(), NOW));
    assert!(!engine.may_send(None, &"unknown".into(), NOW));
}

#[test]
fn if_removed_nodes_stay_open_a_drained_node_stays_closed_after_its_removal() {
    let settings = Settings {
        removed_nodes_stay_open: true,
        ..Settings::default()
    };
    let mut engine = Engine::new(settings, 1);
    engine.update_endpoints(EndpointUpdate::Full(vec![
        listed_endpoint("p", EndpointState::Serving),
        listed_endpoint("r", EndpointState::Serving),
    ]));
    engine.update_endpoints(EndpointUpdate::Full(vec![listed_endpoint(
        "p",
        EndpointState::Draining,
    )]));
    assert!(
        engine.may_send(None, &"r".into(), NOW),
        "it was removed without draining"
    );
    engine.update_endpoints(EndpointUpdate::Changes(vec![listed_endpoint(
        "p",
        EndpointState::Removed,
    )]));
    assert!(
        !engine.may_send(None, &"p".into(), NOW),
        "it drained before it was removed"
    );
    engine.decide(NOW);
    assert!(
        !engine.may_send(None, &"p".into(), NOW + 1),
        "it drained before it was removed"
    );
    engine.update_endpoints(EndpointUpdate::Changes(vec![listed_endpoint(
        "p",
        EndpointState::Serving,
    )]));
    assert!(engine.may_send(None, &"p".into(), NOW + 1));
}

/// Returns the attempts that these commands stop.
fn stopped(commands: &[Command]) -> Vec<AttemptId> {
    let stopped_attempt = |c: &Command| {
        if let Command::CancelAttempt { attempt, .. } = c {
            Some(*attempt)
        } else {
            None
        }
    };
    commands.iter().filter_map(stopped_attempt).collect()
}

#[test]
fn an_attempt_waiting_for_its_connection_is_stopped_when_its_client_leaves() {
    // Connections open as late as 1.5 s after the client has left, and the request used to be sent then.
    let (mut engine, attempt) = engine_with_write();
    engine.client_gone(attempt.request);
    assert!(
        !engine.may_still_send(attempt, NOW + 1),
        "it is stopped before the next decision"
    );
    let commands = engine.decide(NOW + 1);
    assert_eq!(
        (stopped(&commands), engine.pending_requests()),
        (vec![attempt], 0)
    );
    assert!(engine.decide(NOW + 2).is_empty(), "it is stopped once");
}

#[test]
fn an_attempt_waiting_for_its_connection_is_stopped_when_the_router_answers() {
    // If attempts may not be cancelled the decisions leave them, and a rejected write would still be executed.
    for answer in [FinalAnswer::Rejected(None), FinalAnswer::Failed] {
        let (mut engine, attempt) = engine_with_write();
        engine.answer(attempt.request, answer);
        assert!(!engine.may_still_send(attempt, NOW + 1));
        let commands = engine.decide(NOW + 1);
        assert_eq!(
            (answers(&commands), stopped(&commands)),
            (vec![answer], vec![attempt])
        );
        assert_eq!(engine.pending_requests(), 0);
    }
    let (mut engine, attempt) = engine_with_write();
    engine.attempt_written(attempt);
    engine.answer(attempt.request, FinalAnswer::Failed);
    assert_eq!(
        stopped(&engine.decide(NOW + 1)),
        [],
        "a completely written attempt is not stopped"
    );
}

/// Returns an engine with a write of this idempotency and a deduplication window of 300 ms, whose first attempt has
/// been written, and its second attempt.
fn engine_with_repeat(idempotency: Idempotency) -> (Engine, AttemptId) {
    let (mut engine, first) = engine_with_write();
    engine.classes[0].idempotency = idempotency;
    engine.classes[0].dedup_window = 300_000;
    engine.attempt_written(first);
    engine.send(first.request, "p".into(), NOW + 100_000, 900_000);
    (engine, AttemptId { number: 1, ..first })
}

#[test]
fn a_repeat_is_sent_only_within_the_window_of_the_first_attempt() {
    // A repeat was decided within the window and sent when its connection opened, after the window had closed.
    let (engine, second) = engine_with_repeat(Idempotency::Deduplicated);
    assert!(
        engine.may_still_send(second, NOW + 299_999)
            && !engine.may_still_send(second, NOW + 300_000)
    );
    let (engine, second) = engine_with_repeat(Idempotency::Idempotent);
    assert!(engine.may_still_send(second, NOW + 300_000));
    let (engine, second) = engine_with_repeat(Idempotency::AtMostOnce);
    assert!(!engine.may_still_send(second, NOW + 100_001));
}

#[test]
fn an_attempt_that_never_ran_starts_no_window() {
    let (mut engine, second) = engine_with_repeat(Idempotency::Deduplicated);
    let no_report = NodeReport::default();
    engine.attempt_ended(
        NOW + 1,
        AttemptId {
            number: 0,
            ..second
        },
        AttemptEnd::Unreachable,
        no_report,
        no_report,
    );
    assert!(engine.may_still_send(second, NOW + 300_000));
}

#[test]
fn an_answer_stops_the_attempt_that_is_not_yet_sent() {
    let (mut engine, second) = engine_with_repeat(Idempotency::Idempotent);
    let no_report = NodeReport::default();
    let first = AttemptId {
        number: 0,
        ..second
    };
    assert!(
        engine
            .attempt_ended(
                NOW + 200_000,
                first,
                AttemptEnd::Success,
                no_report,
                no_report
            )
            .is_some()
    );
    assert!(!engine.may_still_send(second, NOW + 200_001));
    assert_eq!(
        (
            stopped(&engine.decide(NOW + 200_001)),
            engine.pending_requests()
        ),
        (vec![second], 0)
    );
}

/// Time by which the requests of the shutdown tests are answered.
const ANSWER_BY: Time = NOW + 2_000_000;

#[test]
fn a_request_that_no_node_answers_gets_its_answer_before_the_end_of_the_shutdown() {
    let (mut engine, attempt) = engine_with_write();
    engine.attempt_written(attempt);
    engine.begin_shutdown(ANSWER_BY);
    assert!(answers(&engine.decide(NOW + 1_000)).is_empty());
    engine.wake();
    assert_eq!(answers(&engine.decide(ANSWER_BY)), [FinalAnswer::Failed]);
}

#[test]
fn a_request_that_arrives_during_the_shutdown_is_not_held_beyond_its_end() {
    let (mut engine, first) = engine_with_write();
    engine.attempt_ended(
        NOW,
        first,
        AttemptEnd::Success,
        NodeReport::default(),
        NodeReport::default(),
    );
    engine.begin_shutdown(ANSWER_BY);
    let info = RequestInfo {
        group: 1,
        time_left: 5_000_000,
        ..RequestInfo::default()
    };
    engine.begin_request(Key::from_number(8), info.clone());
    engine.decide(NOW + 1_000);
    engine.wake();
    assert_eq!(answers(&engine.decide(ANSWER_BY)).len(), 1);
    engine.begin_request(Key::from_number(9), info);
    let commands = engine.decide(ANSWER_BY);
    assert_eq!(answers(&commands), [FinalAnswer::Rejected(None)]);
    let is_send = |command: &Command| matches!(command, Command::Send { .. });
    assert!(!commands.iter().any(is_send), "{commands:?}");
}

#[test]
fn an_attempt_that_is_written_during_the_shutdown_states_only_the_time_until_its_end() {
    let (mut engine, attempt) = engine_with_write();
    assert!(engine.attempt_time_left(attempt, NOW) > 4_000_000);
    engine.begin_shutdown(ANSWER_BY);
    assert_eq!(engine.attempt_time_left(attempt, NOW), ANSWER_BY - NOW);
    assert!(engine.may_still_send(attempt, ANSWER_BY - 1));
    assert!(!engine.may_still_send(attempt, ANSWER_BY));
}
