//! What a trial's line tells of all that was broken.

use super::check::Broken;
use super::told;

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
