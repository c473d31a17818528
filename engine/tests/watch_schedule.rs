//! Tests of the schedule of a watch against the maximum update delay: call by call, and over random sequences of faults
//! of the discovery service.

use plovercove::{Micros, Time};
use plovercove_engine::{ListSource, WatchSchedule};

const S: Micros = 1_000_000;
const MS: Micros = 1_000;
/// Time within which a router must know a change that discovery has, if discovery can be reached.
const TOLD: Micros = 6 * S;
/// Times for which a router may still send to a draining node: the bounds of the settings, and one value between.
const GRACES: [Micros; 3] = [500 * MS, 1_000 * MS, 1_500 * MS];

#[test]
fn a_silent_call_is_followed_by_another_within_the_update_delay() {
    // No wait may exceed the update delay, and a second is left for the next call's answer.
    for seed in 0..200 {
        let mut schedule = WatchSchedule::new(ListSource::Polled, seed);
        let (_, until) = schedule.begin_call(0, true);
        schedule.record_answer(1_000, true);
        assert!(until <= 5 * S);
        let (_, until) = schedule.begin_call(1_000, true);
        let again = schedule.record_silence(until);
        assert!(
            again <= 5 * S + 1_000,
            "seed {seed}: called again at {again}"
        );
    }
}

#[test]
fn the_answer_margin_grows_while_answers_are_late_and_shrinks_again() {
    // Late answers lengthen the margin for the answer, not the wait: longer waits, of up to 20 s, exceeded the update
    // delay.
    let (mut schedule, mut now, mut patience) =
        (WatchSchedule::new(ListSource::Polled, 1), 0, Vec::new());
    for late in [0, 0, S, S, S, S, 0, 0, 0, 0, 0, 0, 0] {
        let (wait, until) = schedule.begin_call(now, true);
        patience.push((until - now - wait) / MS);
        now += wait + late;
        assert!(now <= until, "an answer {late} us late is waited for");
        schedule.record_answer(now, false);
    }
    assert!(patience[..3].iter().all(|p| *p <= 1_500), "{patience:?}");
    assert!(
        patience[6] >= 1_800 && patience[12] <= 1_500,
        "{patience:?}"
    );
}

#[test]
fn failures_lengthen_pauses_and_silence_lengthens_the_answer_margin() {
    // Calls become rarer by longer pauses, up to the update delay; a longer wait of the next call exceeded it.
    let mut schedule = WatchSchedule::new(ListSource::Polled, 2);
    let mut refused = || {
        schedule.begin_call(0, true);
        schedule.record_failure(0)
    };
    let pauses = [refused(), refused(), refused(), refused()];
    assert!(
        pauses[0] <= S && pauses[3] > 5 * S / 2 && pauses[3] <= 5 * S,
        "{pauses:?}"
    );
    let mut schedule = WatchSchedule::new(ListSource::Polled, 2);
    let mut patience = || {
        let (wait, until) = schedule.begin_call(0, true);
        schedule.record_silence(until);
        until - wait
    };
    assert_eq!(
        [patience(), patience(), patience()],
        [1_500 * MS, 3_000 * MS, 3_375 * MS]
    );
}

#[test]
fn calls_of_many_routers_do_not_end_together() {
    let ends = |seed| {
        WatchSchedule::new(ListSource::Polled, seed)
            .begin_call(0, true)
            .0
    };
    let (least, most) = ((0..300).map(ends).min(), (0..300).map(ends).max());
    assert!(
        most.zip(least)
            .is_some_and(|(most, least)| most - least > 400_000),
        "{least:?} to {most:?}"
    );
}

#[test]
fn after_an_invalid_answer_the_first_retry_is_immediate_and_later_ones_pause() {
    for lists in [ListSource::Polled, ListSource::Pushed { drain_grace: S }] {
        let mut schedule = WatchSchedule::new(lists, 3);
        schedule.begin_call(0, true);
        assert_eq!(
            schedule.record_invalid_answer(100),
            100,
            "news may stand in it"
        );
        let mut now = 100;
        for _ in 0..50 {
            schedule.begin_call(now, false);
            let next = schedule.record_invalid_answer(now + 10);
            assert!(
                next >= now + 50 * MS,
                "{lists:?}: again after {} us",
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
            "a good list lies between"
        );
    }
}

#[test]
fn immediate_answers_without_changes_cause_no_busy_loop() {
    for lists in [ListSource::Polled, ListSource::Pushed { drain_grace: S }] {
        let mut schedule = WatchSchedule::new(lists, 4);
        schedule.begin_call(0, true);
        let next = schedule.record_answer(10, false);
        // 200 ms is the time within which the next call continues the watch.
        assert!((50 * MS..200 * MS).contains(&next), "{lists:?}: {next}");
        schedule.begin_call(next, true);
        assert_eq!(
            schedule.record_answer(next + 10, true),
            next + 10,
            "news is followed at once"
        );
    }
}

#[test]
fn a_slow_connection_does_not_prolong_the_cycle() {
    for (lists, turn) in [
        (ListSource::Polled, 5 * S),
        (
            ListSource::Pushed {
                drain_grace: 800 * MS,
            },
            700 * MS,
        ),
    ] {
        for seed in 0..200 {
            let mut schedule = WatchSchedule::new(lists, seed);
            let up = schedule.begin_connection(0);
            assert!(
                up <= turn / 4,
                "{lists:?}: a connection is waited for up to {up}"
            );
            let (_, until) = schedule.begin_call(up, true);
            let again = schedule.record_silence(until);
            assert!(
                again <= turn,
                "{lists:?}, seed {seed}: called again at {again}"
            );
        }
    }
}

#[test]
fn answers_of_a_service_that_is_always_late_are_received() {
    // With a constant answer margin, the answers of a service that takes 3 s longer than the wait would never be
    // received.
    let (mut schedule, mut now, mut heard) = (WatchSchedule::new(ListSource::Polled, 7), 0, 0);
    for _ in 0..20 {
        let (wait, until) = schedule.begin_call(now, true);
        let comes = now + wait + 3 * S;
        if comes <= until {
            heard += 1;
            now = schedule.record_answer(comes, false);
        } else {
            now = schedule.record_silence(until);
        }
    }
    assert!(heard >= 15, "{heard} of 20 answers were waited for");
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
    const MOVED: Micros = 4 * S;
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
        let again = schedule.record_silence(until);
        assert!(
            again + 500 * MS <= now + MOVED,
            "the second call comes {} us after the move",
            again - now
        );
    }
    println!("{:?}", &calls[..10]);
    assert!(calls.iter().all(|n| *n <= ROUTERS / 3), "{calls:?}");
}

#[test]
fn a_lost_call_for_changes_after_sighup_is_repeated_in_time() {
    // If the new configuration names the same address, the first call used to wait for a change. When that call was
    // lost it was repeated after 5 s, but the router must know the service's list 4 s after the signal.
    const MOVED: Micros = 4 * S;
    for seed in 0..200 {
        for grace in GRACES {
            for lists in [
                ListSource::Polled,
                ListSource::Pushed { drain_grace: grace },
            ] {
                let mut schedule = WatchSchedule::new(lists, seed);
                schedule.begin_call(0, true);
                let now = S;
                let first = schedule.record_service_change(now);
                schedule.begin_connection(first);
                let (_, until) = schedule.begin_call(first + 50 * MS, true);
                let again = schedule.record_silence(until);
                assert!(
                    again + 500 * MS <= now + MOVED,
                    "seed {seed}, {lists:?}: the second call comes {} us after the move",
                    again - now
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
            "the turn is over"
        );
        for grace in GRACES {
            let mut schedule = WatchSchedule::new(ListSource::Pushed { drain_grace: grace }, seed);
            schedule.begin_call(7 * S, true);
            assert_eq!(schedule.record_service_change(7 * S + 1), 7 * S + 1);
        }
    }
}

/// A random number generator of the checker (xorshift64*).
struct Dice(u64);

impl Dice {
    fn under(&mut self, end: u64) -> u64 {
        self.0 ^= self.0 >> 12;
        self.0 ^= self.0 << 25;
        self.0 ^= self.0 >> 27;
        self.0.wrapping_mul(0x2545_f491_4f6c_dd1d) % end.max(1)
    }

    fn between(&mut self, least: u64, most: u64) -> u64 {
        least + self.under(most - least + 1)
    }
}

/// What discovery does to all callers during an interval.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Weather {
    /// It accepts connections and answers.
    Fine,
    /// Connections never open.
    Dark,
    /// Connections are refused.
    Refuses,
    /// Calls are rejected.
    Overbooked,
    /// Calls are accepted and never answered.
    Silent,
    /// Calls are accepted and their connections break.
    Breaks,
    /// Answers are invalid.
    Spoils,
    /// Answers arrive after the calls have been given up.
    Late,
}

const ALL: [Weather; 8] = [
    Weather::Fine,
    Weather::Dark,
    Weather::Refuses,
    Weather::Overbooked,
    Weather::Silent,
    Weather::Breaks,
    Weather::Spoils,
    Weather::Late,
];

/// The speed of discovery, as upper bounds (us) on connecting and answering, and the faults that occur.
struct Near {
    up: Micros,
    answer: Micros,
    kinds: &'static [Weather],
}

/// Runs one router against random conditions. Returns, for each change that has to be known, the time from which
/// discovery had it and could be reached for longer than `within`, and the time at which the router knew it.
fn play(
    lists: ListSource,
    seed: u64,
    near: &Near,
    within: Micros,
    end: Time,
) -> Vec<(Time, Option<Time>)> {
    let mut dice = Dice(seed * 2 + 1);
    // Intervals of conditions, with healthy ones between others; the last lasts to the end.
    let (mut spans, mut at) = (vec![], 0);
    while at < end - 20 * S {
        let kind = if dice.under(2) == 0 {
            Weather::Fine
        } else {
            near.kinds[dice.under(near.kinds.len() as u64) as usize]
        };
        spans.push((at, kind));
        at += dice.between(20 * MS, 9 * S);
    }
    spans.push((at, Weather::Fine));
    let weather = |now: Time| {
        spans
            .iter()
            .rev()
            .find(|(from, _)| *from <= now)
            .map_or(Weather::Fine, |w| w.1)
    };
    // Calls in flight when a healthy interval begins may be answered then, or never.
    let fine_until = |now: Time| {
        spans
            .iter()
            .find(|(from, kind)| *from > now && *kind != Weather::Fine)
            .map_or(end, |w| w.0)
    };
    let mut changes: Vec<Time> = (0..dice.between(3, 12))
        .map(|_| dice.under(end - 10 * S))
        .collect();
    changes.sort_unstable();
    let version = |now: Time| changes.iter().filter(|c| **c <= now).count();
    let mut heard: Vec<(usize, Time)> = vec![(0, 0)];
    let mut judged = vec![];
    let (mut schedule, mut now, mut connected, mut whole) =
        (WatchSchedule::new(lists, seed), 0, false, false);
    while now < end {
        let begun = now;
        if !connected {
            let until = schedule.begin_connection(now);
            let up = now + dice.between(1, near.up);
            match weather(now) {
                Weather::Dark => {
                    now = schedule.record_failure(until);
                    continue;
                }
                Weather::Refuses => {
                    now = schedule.record_failure(up.min(until));
                    continue;
                }
                _ if up > until => {
                    now = schedule.record_failure(until);
                    continue;
                }
                _ => (now, connected) = (up, true),
            }
        }
        let known = heard.last().map_or(0, |h| h.0);
        let (wait, until) = schedule.begin_call(now, !whole);
        let came = weather(now);
        // A connection that was opened during silence stays silent.
        if came != Weather::Fine || matches!(weather(begun), Weather::Silent | Weather::Late) {
            connected = false;
            now = match came {
                Weather::Overbooked | Weather::Refuses => {
                    schedule.record_failure(now + dice.between(1, near.answer))
                }
                Weather::Breaks => schedule.record_failure(dice.between(now, until)),
                Weather::Spoils => {
                    whole = true;
                    schedule.record_invalid_answer(now + dice.between(1, near.answer))
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
        let told = if whole || version(now) > known {
            now
        } else {
            next
        };
        let ends = fine_until(now);
        if told >= ends {
            // The condition changes during the call.
            connected = false;
            now = match weather(ends) {
                Weather::Refuses | Weather::Breaks | Weather::Overbooked => {
                    schedule.record_failure(ends.clamp(now, until))
                }
                Weather::Spoils => {
                    whole = true;
                    schedule.record_invalid_answer(ends.clamp(now, until))
                }
                _ => schedule.record_silence(until),
            };
            continue;
        }
        let answered = told + dice.between(1, near.answer);
        if answered > until {
            connected = false;
            now = schedule.record_silence(until);
            continue;
        }
        let news = whole || version(told) > known;
        heard.push((version(told), answered));
        whole = false;
        now = schedule.record_answer(answered, news);
    }
    for (number, change) in changes.iter().enumerate() {
        // Find the first healthy interval in which the router had to learn of the change.
        let knew = heard
            .iter()
            .find(|(version, _)| *version > number)
            .map(|h| h.1);
        let fine = spans
            .iter()
            .enumerate()
            .filter(|(_, (_, kind))| *kind == Weather::Fine);
        let mut due = None;
        for (place, (from, _)) in fine {
            let from = (*from).max(*change);
            let to = spans.get(place + 1).map_or(end, |next| next.0);
            // A healthy interval that was long enough that the change had to be known in it.
            if due.is_none() && from < to && to - from > within {
                due = Some(from);
            }
        }
        if let Some(due) = due {
            judged.push((due, knew));
        }
    }
    judged
}

fn holds(lists: ListSource, near: &Near, within: Micros) {
    let (mut judged, mut worst) = (0, 0);
    for seed in 0..4_000 {
        for (due, knew) in play(lists, seed, near, within, 90 * S) {
            let late = knew.map_or(Micros::MAX, |knew| knew.saturating_sub(due));
            assert!(
                late <= within,
                "{lists:?}, seed {seed}: due from {due}, known {late} us later"
            );
            (judged, worst) = (judged + 1, worst.max(late));
        }
    }
    println!("{lists:?}: {judged} changes, the latest known after {worst} us of {within}");
    assert!(judged > 4_000, "only {judged} changes were judged");
}

#[test]
fn a_polled_change_is_known_within_the_update_delay_after_any_failure() {
    // Of the second that is reserved for the next call, connecting takes up to 400 ms and an answer up to 500.
    holds(
        ListSource::Polled,
        &Near {
            up: 400 * MS,
            answer: 500 * MS,
            kinds: &ALL,
        },
        TOLD,
    );
}

#[test]
fn a_pushed_change_is_known_within_the_drain_grace_after_any_failure() {
    // This also holds if the call in flight is never answered. On the router's own machine connecting and answering are
    // fast.
    for grace in GRACES {
        holds(
            ListSource::Pushed { drain_grace: grace },
            &Near {
                up: 5 * MS,
                answer: 20 * MS,
                kinds: &ALL,
            },
            grace,
        );
    }
}

#[test]
fn a_pushed_change_is_known_within_a_quarter_of_the_grace_after_a_visible_failure() {
    const SHOWN: [Weather; 3] = [Weather::Refuses, Weather::Overbooked, Weather::Spoils];
    for grace in GRACES {
        let near = Near {
            up: 2 * MS,
            answer: 10 * MS,
            kinds: &SHOWN,
        };
        holds(ListSource::Pushed { drain_grace: grace }, &near, grace / 4);
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
    let worst = seconds.iter().copied().max().unwrap_or(0);
    let settled = &seconds[200..];
    println!(
        "worst {worst} a second, settled {:?} to {:?}",
        settled.iter().min(),
        settled.iter().max()
    );
    assert!(worst <= 2 * ROUTERS, "{seconds:?}");
    assert!(
        settled
            .iter()
            .all(|n| (ROUTERS / 6..=ROUTERS * 2 / 5).contains(n)),
        "{settled:?}"
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
    for grace in [0, 1, 500 * MS, S, 1_500 * MS, 3_600 * S] {
        let mut schedule = WatchSchedule::new(ListSource::Pushed { drain_grace: grace }, 6);
        let mut now = 0;
        for _ in 0..100 {
            schedule.begin_connection(now);
            let (_, until) = schedule.begin_call(now, true);
            let next = schedule.record_silence(until);
            let took = next - now;
            assert!((100 * MS..=5 * S).contains(&took), "{grace}: {took}");
            assert!(took < grace.max(150 * MS), "{grace}: {took}");
            now = next;
        }
    }
}
