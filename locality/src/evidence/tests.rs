//! Unit tests of `evidence`.

use super::*;

fn node(name: &str) -> NodeId {
    name.into()
}

fn zones(seen: &[Seen], now: Time, told: Time) -> Vec<Cause> {
    let zones: Vec<Zone<'_>> = seen
        .iter()
        .map(|seen| Zone {
            seen,
            serving: 3,
            alive: 1.0,
        })
        .collect();
    let mut causes = Vec::new();
    judge(now, &zones, told, &mut causes);
    causes
}

fn fail(seen: &mut Seen, from: Time, names: &[&str]) {
    for (n, name) in (0..).zip(names) {
        seen.take(from + n * 10_000, &node(name), Sign::Silent);
    }
}

#[test]
fn one_bad_node_is_not_a_lost_zone() {
    let mut seen = [Seen::default(), Seen::default()];
    fail(&mut seen[0], 0, &["a1"; 20]);
    assert_eq!(
        zones(&seen, 300_000, 0),
        [Cause::Well, Cause::Well],
        "one node only"
    );
    fail(&mut seen[0], 300_000, &["a2", "a1"]);
    seen[0].take(330_000, &node("a3"), Sign::Good);
    fail(&mut seen[0], 340_000, &["a1", "a2", "a1"]);
    assert_eq!(
        zones(&seen, 400_000, 0)[0],
        Cause::Well,
        "another of its nodes answers"
    );
}

#[test]
fn a_zone_without_any_answer_is_dark_and_a_link_where_the_list_knows_better() {
    let mut seen = [Seen::default(), Seen::default()];
    fail(&mut seen[0], 0, &["a1", "a2", "a3", "a1"]);
    seen[1].take(50_000, &node("b1"), Sign::Good);
    assert_eq!(
        zones(&seen, 60_000, 0),
        [Cause::Well, Cause::Well],
        "one burst is no proof"
    );
    assert_eq!(zones(&seen, 260_000, 0), [Cause::Dark, Cause::Well]);
    assert_eq!(
        zones(&seen, 9_000_000, 8_000_000),
        [Cause::Link, Cause::Well]
    );
    seen[0].take(9_000_000, &node("a2"), Sign::Slow);
    assert_eq!(
        zones(&seen, 9_000_001, 8_000_000),
        [Cause::Well, Cause::Well],
        "slow is not silent"
    );
}

#[test]
fn where_nothing_answers_the_cause_is_common_and_no_zone_is_left() {
    // Danger: a router that lost its own link would hold every zone for lost, refuse all and never try again.
    let mut seen = [Seen::default(), Seen::default()];
    fail(&mut seen[0], 0, &["a1", "a2", "a3", "a1"]);
    assert_eq!(
        zones(&seen, 260_000, 0)[0],
        Cause::Dark,
        "nothing is known of the other yet"
    );
    fail(&mut seen[1], 250_000, &["b1", "b2", "b3", "b1"]);
    assert_eq!(zones(&seen, 500_000, 0), [Cause::Common, Cause::Common]);
    seen[1].take(600_000, &node("b1"), Sign::Good);
    assert_eq!(zones(&seen, 600_001, 0), [Cause::Dark, Cause::Well]);
}

#[test]
fn strain_everywhere_is_told_from_strain_here() {
    let mut seen = [Seen::default(), Seen::default()];
    for n in 0..10 {
        seen[0].take(n * 1_000, &node("a1"), Sign::Slow);
    }
    assert_eq!(seen[0].strained(), Some(true));
    assert!(
        !strain_in_common(seen[1..].iter()),
        "nothing is known of the other"
    );
    for n in 0..10 {
        seen[1].take(n * 1_000, &node("b1"), Sign::Slow);
    }
    assert!(strain_in_common(seen[1..].iter()));
}

#[test]
fn endings_say_what_they_prove() {
    for (ending, elapsed, said) in [
        (AttemptEnd::Success, 100, Sign::Good),
        (AttemptEnd::Success, 101, Sign::Slow),
        (AttemptEnd::Overloaded, 1, Sign::Slow),
        (AttemptEnd::Misdirected, 900, Sign::Good),
        (AttemptEnd::TimedOut, 900, Sign::Silent),
        (AttemptEnd::Unreachable, 1, Sign::Silent),
        (AttemptEnd::Cancelled, 10, Sign::Nothing),
        (AttemptEnd::Cancelled, 900, Sign::Silent),
        (AttemptEnd::NeverSent, 900, Sign::Nothing),
    ] {
        assert_eq!(
            sign(ending, elapsed, 100, 50),
            said,
            "{ending:?} after {elapsed}"
        );
    }
}
