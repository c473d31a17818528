//! Tests of the schedule of a watch against the maximum update delay: call by call, and over random sequences of faults
//! of the discovery service.

use plovercove::{Micros, Time};
use plovercove_engine::{ListSource, WatchSchedule};

const S: Micros = 1_000_000;
const MS: Micros = 1_000;
/// Time within which a router must know a change that discovery has, if discovery can be reached.
const MAX_UPDATE_DELAY: Micros = 6 * S;
/// Times for which a router may still send to a draining node: the bounds of the settings, and one value between.
const DRAIN_GRACES: [Micros; 3] = [500 * MS, 1_000 * MS, 1_500 * MS];

#[test]
fn a_silent_call_is_followed_by_another_within_the_update_delay() {
    // No wait may exceed the update delay, and a second is left for the next call's answer.
    for seed in 0..200 {
        let mut schedule = WatchSchedule::new(ListSource::Polled, seed);
        let (_, until) = schedule.begin_call(0, true);
        schedule.record_answer(1_000, true);
        assert!(until <= 5 * S);
        let (_, until) = schedule.begin_call(1_000, true);
        let next_call = schedule.record_silence(until);
        assert!(
            next_call <= 5 * S + 1_000,
            "seed {seed}: called again at {next_call}"
        );
    }
}

#[test]
fn the_answer_margin_grows_while_answers_are_late_and_shrinks_again() {
    // Late answers lengthen the margin for the answer, not the wait: longer waits, of up to 20 s, exceeded the update
    // delay.
    let (mut schedule, mut now, mut answer_margin) =
        (WatchSchedule::new(ListSource::Polled, 1), 0, Vec::new());
    for late_by in [0, 0, S, S, S, S, 0, 0, 0, 0, 0, 0, 0] {
        let (wait, until) = schedule.begin_call(now, true);
        answer_margin.push((until - now - wait) / MS);
        now += wait + late_by;
        assert!(now <= until, "an answer {late_by} us late is waited for");
        schedule.record_answer(now, false);
    }
    assert!(
        answer_margin[..3].iter().all(|p| *p <= 1_500),
        "{answer_margin:?}"
    );
    assert!(
        answer_margin[6] >= 1_800 && answer_margin[12] <= 1_500,
        "{answer_margin:?}"
    );
}

#[test]
fn failures_lengthen_pauses_and_silence_lengthens_the_answer_margin() {
    // Calls become rarer by longer pauses, up to the update delay; a longer wait of the next call exceeded it.
    let mut schedule = WatchSchedule::new(ListSource::Polled, 2);
    let mut fail_call = || {
        schedule.begin_call(0, true);
        schedule.record_failure(0)
    };
    let pauses = [fail_call(), fail_call(), fail_call(), fail_call()];
    assert!(
        pauses[0] <= S && pauses[3] > 5 * S / 2 && pauses[3] <= 5 * S,
        "{pauses:?}"
    );
    let mut schedule = WatchSchedule::new(ListSource::Polled, 2);
    let mut answer_margin = || {
        let (wait, until) = schedule.begin_call(0, true);
        schedule.record_silence(until);
        until - wait
    };
    assert_eq!(
        [answer_margin(), answer_margin(), answer_margin()],
        [1_500 * MS, 3_000 * MS, 3_375 * MS]
    );
}

#[test]
fn calls_of_many_routers_do_not_end_together() {
    let wait_of = |seed| {
        WatchSchedule::new(ListSource::Polled, seed)
            .begin_call(0, true)
            .0
    };
    let (min, max) = ((0..300).map(wait_of).min(), (0..300).map(wait_of).max());
    assert!(
        max.zip(min).is_some_and(|(max, min)| max - min > 400_000),
        "{min:?} to {max:?}"
    );
}

#[test]
fn after_an_invalid_answer_the_first_retry_is_immediate_and_later_ones_pause() {
    for source in [ListSource::Polled, ListSource::Pushed { drain_grace: S }] {
        let mut schedule = WatchSchedule::new(source, 3);
        schedule.begin_call(0, true);
        assert_eq!(
            schedule.record_invalid_answer(100),
            100,
            "the invalid answer may have contained a change"
        );
        let mut now = 100;
        for _ in 0..50 {
            schedule.begin_call(now, false);
            let next = schedule.record_invalid_answer(now + 10);
            assert!(
                next >= now + 50 * MS,
                "{source:?}: again after {} us",
                next - now
            );
            now = next;
        }
        schedule.begin_call(now, false);
        schedule.record_answer(now, true);
        schedule.begin_call(now, true);
        assert_eq!(
            schedule.record_invalid_answer(now),
            now,
            "a valid list came in between"
        );
    }
}

#[test]
fn immediate_answers_without_changes_cause_no_busy_loop() {
    for source in [ListSource::Polled, ListSource::Pushed { drain_grace: S }] {
        let mut schedule = WatchSchedule::new(source, 4);
        schedule.begin_call(0, true);
        let next = schedule.record_answer(10, false);
        // 200 ms is the time within which the next call continues the watch.
        assert!((50 * MS..200 * MS).contains(&next), "{source:?}: {next}");
        schedule.begin_call(next, true);
        assert_eq!(
            schedule.record_answer(next + 10, true),
            next + 10,
            "a change is followed by the next call at once"
        );
    }
}

#[test]
fn a_slow_connection_does_not_prolong_the_cycle() {
    for (source, cycle) in [
        (ListSource::Polled, 5 * S),
        (
            ListSource::Pushed {
                drain_grace: 800 * MS,
            },
            700 * MS,
        ),
    ] {
        for seed in 0..200 {
            let mut schedule = WatchSchedule::new(source, seed);
            let connected_at = schedule.begin_connection(0);
            assert!(
                connected_at <= cycle / 4,
                "{source:?}: a connection is waited for until {connected_at}"
            );
            let (_, until) = schedule.begin_call(connected_at, true);
            let next_call = schedule.record_silence(until);
            assert!(
                next_call <= cycle,
                "{source:?}, seed {seed}: called again at {next_call}"
            );
        }
    }
}

#[test]
fn answers_of_a_service_that_is_always_late_are_received() {
    // With a constant answer margin, the answers of a service that takes 3 s longer than the wait would never be
    // received.
    let (mut schedule, mut now, mut answers_received) =
        (WatchSchedule::new(ListSource::Polled, 7), 0, 0);
    for _ in 0..20 {
        let (wait, until) = schedule.begin_call(now, true);
        let answers_at = now + wait + 3 * S;
        if answers_at <= until {
            answers_received += 1;
            now = schedule.record_answer(answers_at, false);
        } else {
            now = schedule.record_silence(until);
        }
    }
    assert!(
        answers_received >= 15,
        "{answers_received} of 20 answers were received"
    );
}

#[test]
fn earlier_failures_do_not_count_after_a_service_change() {
    let mut schedule = WatchSchedule::new(ListSource::Polled, 5);
    for _ in 0..6 {
        schedule.begin_call(0, true);
        schedule.record_failure(0);
    }
    schedule.record_service_change(0);
    schedule.begin_call(0, true);
    assert!(schedule.record_failure(0) <= S);
}

#[test]
fn calls_after_a_service_change_are_spread() {
    // The same bound as for watches that all break at once: no tenth of a second sees more than a third of the routers'
    // calls.
    const ROUTERS: u64 = 300;
    const MAX_DELAY_AFTER_CHANGE: Micros = 4 * S;
    let mut calls = [0_u64; 40];
    for router in 0..ROUTERS {
        let mut schedule = WatchSchedule::new(ListSource::Polled, router * 0x1234_5677 + 1);
        schedule.begin_call(0, true);
        let now = S;
        let first = schedule.record_service_change(now);
        calls[((first - now) / (S / 10)) as usize] += 1;
        // The connection takes 50 ms. The call, for the complete list, is lost, and half a second is left for the next
        // answer.
        schedule.begin_connection(first);
        let (_, until) = schedule.begin_call(first + 50 * MS, false);
        let next_call = schedule.record_silence(until);
        assert!(
            next_call + 500 * MS <= now + MAX_DELAY_AFTER_CHANGE,
            "the second call is made {} us after the change",
            next_call - now
        );
    }
    println!("{:?}", &calls[..10]);
    assert!(calls.iter().all(|n| *n <= ROUTERS / 3), "{calls:?}");
}

#[test]
fn a_lost_call_for_changes_after_sighup_is_repeated_in_time() {
    // If the new configuration names the same address, the first call used to wait for a change. When that call was
    // lost it was repeated after 5 s, but the router must know the service's list 4 s after the signal.
    const MAX_DELAY_AFTER_CHANGE: Micros = 4 * S;
    for seed in 0..200 {
        for drain_grace in DRAIN_GRACES {
            for source in [ListSource::Polled, ListSource::Pushed { drain_grace }] {
                let mut schedule = WatchSchedule::new(source, seed);
                schedule.begin_call(0, true);
                let now = S;
                let first = schedule.record_service_change(now);
                schedule.begin_connection(first);
                let (_, until) = schedule.begin_call(first + 50 * MS, true);
                let next_call = schedule.record_silence(until);
                assert!(
                    next_call + 500 * MS <= now + MAX_DELAY_AFTER_CHANGE,
                    "seed {seed}, {source:?}: the second call is made {} us after the change",
                    next_call - now
                );
            }
        }
    }
}

#[test]
fn a_service_change_prolongs_no_cycle_and_a_local_agent_is_called_at_once() {
    for seed in 0..200 {
        let mut schedule = WatchSchedule::new(ListSource::Polled, seed);
        schedule.begin_connection(7 * S);
        schedule.begin_call(7 * S, true);
        let next = schedule.record_service_change(12 * S - 100 * MS);
        assert!(
            next <= 12 * S,
            "seed {seed}: called {} us after the last call",
            next - 7 * S
        );
        assert_eq!(
            schedule.record_service_change(13 * S),
            13 * S,
            "the cycle is over"
        );
        for drain_grace in DRAIN_GRACES {
            let mut schedule = WatchSchedule::new(ListSource::Pushed { drain_grace }, seed);
            schedule.begin_call(7 * S, true);
            assert_eq!(schedule.record_service_change(7 * S + 1), 7 * S + 1);
        }
    }
}

/// A random number generator of the checker (xorshift64*).
struct TestRng(u64);

impl TestRng {
    fn below(&mut self, end: u64) -> u64 {
        self.0 ^= self.0 >> 12;
        self.0 ^= self.0 << 25;
        self.0 ^= self.0 >> 27;
        self.0.wrapping_mul(0x2545_f491_4f6c_dd1d) % end.max(1)
    }

    fn between(&mut self, min: u64, max: u64) -> u64 {
        min + self.below(max - min + 1)
    }
}

/// What discovery does to all callers during an interval.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Condition {
    /// It accepts connections and answers.
    Healthy,
    /// Connections never open.
    Unreachable,
    /// Connections are refused.
    Refusing,
    /// Calls are rejected.
    Rejecting,
    /// Calls are accepted and never answered.
    Silent,
    /// Calls are accepted and their connections break.
    Breaking,
    /// Answers are invalid.
    Invalid,
    /// Answers arrive after the calls have been given up.
    Late,
}

const ALL_CONDITIONS: [Condition; 8] = [
    Condition::Healthy,
    Condition::Unreachable,
    Condition::Refusing,
    Condition::Rejecting,
    Condition::Silent,
    Condition::Breaking,
    Condition::Invalid,
    Condition::Late,
];

/// The speed of discovery, as upper bounds (us) on connecting and answering, and the faults that occur.
struct Discovery {
    max_connect_time: Micros,
    max_answer_time: Micros,
    conditions: &'static [Condition],
}

/// Runs one router against random conditions. Returns, for each change that has to be known, the time from which
/// discovery had it and could be reached for longer than `within`, and the time at which the router knew it.
fn run(
    source: ListSource,
    seed: u64,
    discovery: &Discovery,
    within: Micros,
    end: Time,
) -> Vec<(Time, Option<Time>)> {
    let mut rng = TestRng(seed * 2 + 1);
    // Intervals of conditions, with healthy ones between others; the last lasts to the end.
    let (mut intervals, mut at) = (vec![], 0);
    while at < end - 20 * S {
        let condition = if rng.below(2) == 0 {
            Condition::Healthy
        } else {
            discovery.conditions[rng.below(discovery.conditions.len() as u64) as usize]
        };
        intervals.push((at, condition));
        at += rng.between(20 * MS, 9 * S);
    }
    intervals.push((at, Condition::Healthy));
    let condition_at = |now: Time| {
        intervals
            .iter()
            .rev()
            .find(|(from, _)| *from <= now)
            .map_or(Condition::Healthy, |w| w.1)
    };
    // Calls in flight when a healthy interval begins may be answered then, or never.
    let healthy_until = |now: Time| {
        intervals
            .iter()
            .find(|(from, condition)| *from > now && *condition != Condition::Healthy)
            .map_or(end, |w| w.0)
    };
    let mut changes: Vec<Time> = (0..rng.between(3, 12))
        .map(|_| rng.below(end - 10 * S))
        .collect();
    changes.sort_unstable();
    let version = |now: Time| changes.iter().filter(|c| **c <= now).count();
    let mut answers_received: Vec<(usize, Time)> = vec![(0, 0)];
    let mut results = vec![];
    let (mut schedule, mut now, mut connected, mut needs_complete_list) =
        (WatchSchedule::new(source, seed), 0, false, false);
    while now < end {
        let cycle_started_at = now;
        if !connected {
            let until = schedule.begin_connection(now);
            let connected_at = now + rng.between(1, discovery.max_connect_time);
            match condition_at(now) {
                Condition::Unreachable => {
                    now = schedule.record_failure(until);
                    continue;
                }
                Condition::Refusing => {
                    now = schedule.record_failure(connected_at.min(until));
                    continue;
                }
                _ if connected_at > until => {
                    now = schedule.record_failure(until);
                    continue;
                }
                _ => (now, connected) = (connected_at, true),
            }
        }
        let known_version = answers_received.last().map_or(0, |h| h.0);
        let (wait, until) = schedule.begin_call(now, !needs_complete_list);
        let condition_now = condition_at(now);
        // A connection that was opened during silence stays silent.
        if condition_now != Condition::Healthy
            || matches!(
                condition_at(cycle_started_at),
                Condition::Silent | Condition::Late
            )
        {
            connected = false;
            now = match condition_now {
                Condition::Rejecting | Condition::Refusing => {
                    schedule.record_failure(now + rng.between(1, discovery.max_answer_time))
                }
                Condition::Breaking => schedule.record_failure(rng.between(now, until)),
                Condition::Invalid => {
                    needs_complete_list = true;
                    schedule.record_invalid_answer(now + rng.between(1, discovery.max_answer_time))
                }
                _ => schedule.record_silence(until),
            };
            continue;
        }
        // In a healthy interval the answer comes at once with a known change, or when a change comes, or without one
        // when the wait is over.
        let next = changes
            .iter()
            .copied()
            .find(|c| *c > now)
            .unwrap_or(end)
            .min(now + wait);
        let answer_starts_at = if needs_complete_list || version(now) > known_version {
            now
        } else {
            next
        };
        let interval_end = healthy_until(now);
        if answer_starts_at >= interval_end {
            // The condition changes during the call.
            connected = false;
            now = match condition_at(interval_end) {
                Condition::Refusing | Condition::Breaking | Condition::Rejecting => {
                    schedule.record_failure(interval_end.clamp(now, until))
                }
                Condition::Invalid => {
                    needs_complete_list = true;
                    schedule.record_invalid_answer(interval_end.clamp(now, until))
                }
                _ => schedule.record_silence(until),
            };
            continue;
        }
        let answered = answer_starts_at + rng.between(1, discovery.max_answer_time);
        if answered > until {
            connected = false;
            now = schedule.record_silence(until);
            continue;
        }
        let has_change = needs_complete_list || version(answer_starts_at) > known_version;
        answers_received.push((version(answer_starts_at), answered));
        needs_complete_list = false;
        now = schedule.record_answer(answered, has_change);
    }
    for (number, change) in changes.iter().enumerate() {
        let known_at = answers_received
            .iter()
            .find(|(version, _)| *version > number)
            .map(|h| h.1);
        let healthy_intervals = intervals
            .iter()
            .enumerate()
            .filter(|(_, (_, condition))| *condition == Condition::Healthy);
        // Find the first healthy interval in which the router had to learn of the change.
        let mut due_from = None;
        for (index, (from, _)) in healthy_intervals {
            let from = (*from).max(*change);
            let to = intervals.get(index + 1).map_or(end, |next| next.0);
            // A healthy interval that was long enough that the change had to be known in it.
            if due_from.is_none() && from < to && to - from > within {
                due_from = Some(from);
            }
        }
        if let Some(due_from) = due_from {
            results.push((due_from, known_at));
        }
    }
    results
}

fn check_delay(source: ListSource, discovery: &Discovery, within: Micros) {
    let (mut checked_changes, mut longest_delay) = (0, 0);
    for seed in 0..4_000 {
        for (due_from, known_at) in run(source, seed, discovery, within, 90 * S) {
            let late_by =
                known_at.map_or(Micros::MAX, |known_at| known_at.saturating_sub(due_from));
            assert!(
                late_by <= within,
                "{source:?}, seed {seed}: due from {due_from}, known {late_by} us later"
            );
            (checked_changes, longest_delay) = (checked_changes + 1, longest_delay.max(late_by));
        }
    }
    println!(
        "{source:?}: {checked_changes} changes, the latest known after {longest_delay} us of {within}"
    );
    assert!(
        checked_changes > 4_000,
        "only {checked_changes} changes were checked"
    );
}

#[test]
fn a_polled_change_is_known_within_the_update_delay_after_any_failure() {
    // Of the second that is reserved for the next call, connecting takes up to 400 ms and an answer up to 500.
    check_delay(
        ListSource::Polled,
        &Discovery {
            max_connect_time: 400 * MS,
            max_answer_time: 500 * MS,
            conditions: &ALL_CONDITIONS,
        },
        MAX_UPDATE_DELAY,
    );
}

#[test]
fn a_pushed_change_is_known_within_the_drain_grace_after_any_failure() {
    // This also holds if the call in flight is never answered. On the router's own machine connecting and answering are
    // fast.
    for drain_grace in DRAIN_GRACES {
        check_delay(
            ListSource::Pushed { drain_grace },
            &Discovery {
                max_connect_time: 5 * MS,
                max_answer_time: 20 * MS,
                conditions: &ALL_CONDITIONS,
            },
            drain_grace,
        );
    }
}

#[test]
fn a_pushed_change_is_known_within_a_quarter_of_the_grace_after_a_visible_failure() {
    const VISIBLE_FAULTS: [Condition; 3] = [
        Condition::Refusing,
        Condition::Rejecting,
        Condition::Invalid,
    ];
    for drain_grace in DRAIN_GRACES {
        let discovery = Discovery {
            max_connect_time: 2 * MS,
            max_answer_time: 10 * MS,
            conditions: &VISIBLE_FAULTS,
        };
        check_delay(
            ListSource::Pushed { drain_grace },
            &discovery,
            drain_grace / 4,
        );
    }
}

#[test]
fn calls_stay_bounded_when_all_watches_end_at_once() {
    // All watches break at once and their calls are rejected from then on. Bounds: two calls of each router in the
    // worst second; after 20 s at most one call of each router in two and a half seconds, which is 120 a second, and at
    // least one in five seconds.
    const ROUTERS: u64 = 300;
    let mut calls = vec![0_u64; 600];
    for router in 0..ROUTERS {
        let mut schedule = WatchSchedule::new(ListSource::Polled, router * 0x1234_5677 + 1);
        schedule.begin_call(0, true);
        let mut now = schedule.record_failure(S);
        while let Some(count) = calls.get_mut((now / (S / 10)) as usize) {
            *count += 1;
            schedule.begin_connection(now);
            now = schedule.record_failure(now + MS);
        }
    }
    let seconds: Vec<u64> = calls.windows(10).map(|w| w.iter().sum()).collect();
    let worst_rate = seconds.iter().copied().max().unwrap_or(0);
    let settled_rates = &seconds[200..];
    println!(
        "worst {worst_rate} a second, settled {:?} to {:?}",
        settled_rates.iter().min(),
        settled_rates.iter().max()
    );
    assert!(worst_rate <= 2 * ROUTERS, "{seconds:?}");
    assert!(
        settled_rates
            .iter()
            .all(|n| (ROUTERS / 6..=ROUTERS * 2 / 5).contains(n)),
        "{settled_rates:?}"
    );
    // The retries are spread: no tenth of a second sees more than a third of the routers.
    assert!(
        calls.iter().all(|n| *n <= ROUTERS / 3),
        "{:?}",
        &calls[..40]
    );
}

#[test]
fn a_silent_local_agent_is_called_again_within_the_grace_and_not_too_often() {
    for drain_grace in [0, 1, 500 * MS, S, 1_500 * MS, 3_600 * S] {
        let mut schedule = WatchSchedule::new(ListSource::Pushed { drain_grace }, 6);
        let mut now = 0;
        for _ in 0..100 {
            schedule.begin_connection(now);
            let (_, until) = schedule.begin_call(now, true);
            let next = schedule.record_silence(until);
            let elapsed = next - now;
            assert!(
                (100 * MS..=5 * S).contains(&elapsed),
                "{drain_grace}: {elapsed}"
            );
            assert!(
                elapsed < drain_grace.max(150 * MS),
                "{drain_grace}: {elapsed}"
            );
            now = next;
        }
    }
}
