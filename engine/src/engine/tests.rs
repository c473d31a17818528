//! Whether the books hold what no decision may break.

use super::*;
use plovercove::{Access, DedupScope, EndpointState, Idempotency};

const NOW: Time = 1_000_000_000;

/// A core with one write on its way to the primary.
fn writing() -> (Engine, AttemptId) {
    writing_of(Idempotency::AtMostOnce, DedupScope::Group)
}

/// The same, of a class of this effect.
fn writing_of(effect: Idempotency, scope: DedupScope) -> (Engine, AttemptId) {
    let class = Class {
        name: "book".into(),
        access: Access::Write,
        latency_objective: 400_000,
        objective_per_cost: 0.0,
        deadline: 5_000_000,
        priority_weight: 1.0,
        late_weight_share: 0.0,
        idempotency: effect,
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
fn a_write_that_may_have_run_is_never_called_harmless() {
    // Danger: the client would send it again, and a seat would be booked twice.
    let (mut engine, attempt) = writing();
    engine.attempt_written(attempt);
    engine.answer(attempt.request, FinalAnswer::Rejected(None));
    engine.answer(attempt.request, FinalAnswer::Failed);
    assert_eq!(
        answers(&engine.commands),
        [FinalAnswer::Failed],
        "one answer, and no refusal"
    );
}

#[test]
fn what_may_have_run_is_called_harmless_only_where_repeats_are() {
    // Danger: where repeats are discarded in one group or zone only, a client that is told to come again runs it twice.
    use Idempotency::{AtMostOnce, Deduplicated, Idempotent};
    let cases = [
        (Idempotent, DedupScope::Group, true),
        (Deduplicated, DedupScope::All, true),
        (Deduplicated, DedupScope::Zone, false),
        (Deduplicated, DedupScope::Group, false),
        (AtMostOnce, DedupScope::All, false),
    ];
    for (effect, scope, harmless) in cases {
        let (mut engine, attempt) = writing_of(effect, scope);
        engine.attempt_written(attempt);
        engine.answer(attempt.request, FinalAnswer::Rejected(None));
        let want = if harmless {
            FinalAnswer::Rejected(None)
        } else {
            FinalAnswer::Failed
        };
        assert_eq!(answers(&engine.commands), [want], "{effect:?} {scope:?}");
        let (mut engine, attempt) = writing_of(effect, scope);
        engine.answer(attempt.request, FinalAnswer::Rejected(None));
        assert_eq!(
            answers(&engine.commands),
            [FinalAnswer::Rejected(None)],
            "{effect:?} {scope:?}: nothing was written"
        );
    }
}

#[test]
fn an_attempt_that_was_never_written_whole_did_not_run() {
    let (mut engine, attempt) = writing();
    engine.attempt_timed_out(attempt, NOW + 400_000);
    let ended = engine.events.iter().find_map(|event| match event {
        Event::AttemptEnded { end: ending, .. } => Some(*ending),
        _ => None,
    });
    assert_eq!(ended, Some(AttemptEnd::Unreachable));
    assert!(matches!(
        engine.commands[..],
        [Command::CancelAttempt { .. }]
    ));
}

#[test]
fn a_client_that_has_gone_is_owed_nothing_and_its_slot_comes_back() {
    let (mut engine, attempt) = writing();
    engine.attempt_written(attempt);
    engine.client_gone(attempt.request);
    assert_eq!(
        (
            answers(&engine.decide(NOW + 1)).len(),
            engine.pending_requests()
        ),
        (0, 1),
        "its attempt is still out"
    );
    let said = NodeReport::default();
    assert_eq!(
        engine.attempt_ended(NOW + 2, attempt, AttemptEnd::Success, said, said),
        None
    );
    assert_eq!(engine.pending_requests(), 0);
}

#[test]
fn what_is_cancelled_is_stopped_and_answered_no_more() {
    // Danger: a db node would go on with what nobody waits for, and its answer would come as a second one.
    let (mut engine, attempt) = writing();
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
fn what_the_list_no_longer_names_is_forgotten() {
    // Danger: each replaced node would leave something behind, and its group would be asked for in vain.
    let mut engine = writing().0;
    let listed = |state| Endpoint {
        node: "r".into(),
        group: 2,
        state,
        ..Endpoint::default()
    };
    engine.update_endpoints(EndpointUpdate::Changes(vec![listed(
        EndpointState::Serving,
    )]));
    assert!(engine.knows_group(1) && engine.knows_group(2));
    engine.update_endpoints(EndpointUpdate::Changes(vec![listed(
        EndpointState::Removed,
    )]));
    assert!(engine.knows_group(1) && !engine.knows_group(2));
    engine.update_endpoints(EndpointUpdate::Full(vec![listed(EndpointState::Serving)]));
    assert_eq!(
        engine.endpoints().count(),
        1,
        "a whole list replaces what was known"
    );
}

fn listed(node: &str, state: EndpointState) -> Endpoint {
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
fn a_list_binds_from_the_moment_it_is_told_and_not_from_the_next_decision() {
    // Danger: a connection comes up in the turn that told of the leaving, and carries what was decided before.
    for update in [
        EndpointUpdate::Changes(vec![listed("p", EndpointState::Draining)]),
        EndpointUpdate::Changes(vec![listed("p", EndpointState::Removed)]),
        EndpointUpdate::Full(vec![listed("r", EndpointState::Serving)]),
    ] {
        let (mut engine, attempt) = writing();
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
            "a question after {update:?}"
        );
        engine.decide(NOW + 1);
        assert!(
            !engine.may_still_send(attempt, NOW + 2),
            "an attempt once the module has heard {update:?}"
        );
    }
}

#[test]
fn a_node_that_leaves_and_comes_back_under_its_name_is_asked_again() {
    let (mut engine, attempt) = writing();
    engine.update_endpoints(EndpointUpdate::Changes(vec![listed(
        "p",
        EndpointState::Draining,
    )]));
    engine.update_endpoints(EndpointUpdate::Changes(vec![listed(
        "p",
        EndpointState::Serving,
    )]));
    engine.decide(NOW + 1);
    assert!(engine.may_still_send(attempt, NOW + 1) && engine.may_send(None, &"p".into(), NOW + 1));
}

#[test]
fn a_new_process_is_bound_by_the_list_it_was_given_from_its_first_moment() {
    let mut engine = Engine::new(Settings::default(), 1);
    engine.update_endpoints(EndpointUpdate::Restored(vec![
        listed("p", EndpointState::Draining),
        listed("r", EndpointState::Serving),
    ]));
    assert!(!engine.may_send(None, &"p".into(), NOW) && engine.may_send(None, &"r".into(), NOW));
    assert!(!engine.may_send(None, &"unknown".into(), NOW));
}

#[test]
fn where_dropped_nodes_stay_open_only_a_drain_closes_one_and_outlives_its_entry() {
    let settings = Settings {
        removed_nodes_stay_open: true,
        ..Settings::default()
    };
    let mut engine = Engine::new(settings, 1);
    engine.update_endpoints(EndpointUpdate::Full(vec![
        listed("p", EndpointState::Serving),
        listed("r", EndpointState::Serving),
    ]));
    engine.update_endpoints(EndpointUpdate::Full(vec![listed(
        "p",
        EndpointState::Draining,
    )]));
    assert!(
        engine.may_send(None, &"r".into(), NOW),
        "it was dropped, and never drained"
    );
    engine.update_endpoints(EndpointUpdate::Changes(vec![listed(
        "p",
        EndpointState::Removed,
    )]));
    assert!(
        !engine.may_send(None, &"p".into(), NOW),
        "it drained before it was dropped"
    );
    engine.decide(NOW);
    assert!(
        !engine.may_send(None, &"p".into(), NOW + 1),
        "it drained before it was dropped"
    );
    engine.update_endpoints(EndpointUpdate::Changes(vec![listed(
        "p",
        EndpointState::Serving,
    )]));
    assert!(engine.may_send(None, &"p".into(), NOW + 1));
}

/// The attempts that these commands stop.
fn stopped(commands: &[Command]) -> Vec<AttemptId> {
    let stop = |c: &Command| {
        if let Command::CancelAttempt { attempt, .. } = c {
            Some(*attempt)
        } else {
            None
        }
    };
    commands.iter().filter_map(stop).collect()
}

#[test]
fn what_waits_for_its_connection_is_stopped_when_its_client_goes() {
    // Danger: connections come up as late as 1.5 s after the client has gone, and the request was sent on then.
    let (mut engine, attempt) = writing();
    engine.client_gone(attempt.request);
    assert!(
        !engine.may_still_send(attempt, NOW + 1),
        "not even before the next decision"
    );
    let commands = engine.decide(NOW + 1);
    assert_eq!(
        (stopped(&commands), engine.pending_requests()),
        (vec![attempt], 0)
    );
    assert!(engine.decide(NOW + 2).is_empty(), "it is stopped once");
}

#[test]
fn what_waits_for_its_connection_is_stopped_when_its_request_is_answered_otherwise() {
    // Danger: where attempts may not be cancelled the module leaves them, and a refused write would run all the same.
    for answer in [FinalAnswer::Rejected(None), FinalAnswer::Failed] {
        let (mut engine, attempt) = writing();
        engine.answer(attempt.request, answer);
        assert!(!engine.may_still_send(attempt, NOW + 1));
        let commands = engine.decide(NOW + 1);
        assert_eq!(
            (answers(&commands), stopped(&commands)),
            (vec![answer], vec![attempt])
        );
        assert_eq!(engine.pending_requests(), 0);
    }
    let (mut engine, attempt) = writing();
    engine.attempt_written(attempt);
    engine.answer(attempt.request, FinalAnswer::Failed);
    assert_eq!(
        stopped(&engine.decide(NOW + 1)),
        [],
        "what has been written whole is left to its end"
    );
}

/// A write of this effect with a window of 300 ms, whose first attempt has been written, and a second one.
fn repeated(effect: Idempotency) -> (Engine, AttemptId) {
    let (mut engine, first) = writing();
    engine.classes[0].idempotency = effect;
    engine.classes[0].dedup_window = 300_000;
    engine.attempt_written(first);
    engine.send(first.request, "p".into(), NOW + 100_000, 900_000);
    (engine, AttemptId { number: 1, ..first })
}

#[test]
fn a_repeat_begins_only_while_the_window_of_the_first_attempt_is_open() {
    // Danger: decided within the window, it left with its connection, which came up after the window had closed.
    let (engine, second) = repeated(Idempotency::Deduplicated);
    assert!(
        engine.may_still_send(second, NOW + 299_999)
            && !engine.may_still_send(second, NOW + 300_000)
    );
    let (engine, second) = repeated(Idempotency::Idempotent);
    assert!(engine.may_still_send(second, NOW + 300_000));
    let (engine, second) = repeated(Idempotency::AtMostOnce);
    assert!(!engine.may_still_send(second, NOW + 100_001));
}

#[test]
fn an_attempt_that_never_ran_opens_no_window() {
    let (mut engine, second) = repeated(Idempotency::Deduplicated);
    let said = NodeReport::default();
    engine.attempt_ended(
        NOW + 1,
        AttemptId {
            number: 0,
            ..second
        },
        AttemptEnd::Unreachable,
        said,
        said,
    );
    assert!(engine.may_still_send(second, NOW + 300_000));
}

#[test]
fn an_answer_stops_the_copy_that_has_not_left() {
    let (mut engine, second) = repeated(Idempotency::Idempotent);
    let said = NodeReport::default();
    let first = AttemptId {
        number: 0,
        ..second
    };
    assert!(
        engine
            .attempt_ended(NOW + 200_000, first, AttemptEnd::Success, said, said)
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
