//! Unit tests of `wire`.

use super::*;

fn envelope(parts: Vec<Part>) -> Envelope {
    let from = Incarnation {
        address: "127.0.0.1:7".parse().expect("an address"),
        boot: 9,
        renewals: 0,
        name: "n1".into(),
        zone: "a".into(),
    };
    Envelope {
        from,
        seq: 1,
        clock_ms: 5,
        parts,
    }
}

fn keys(ours: &str, also: Option<&str>) -> Keys {
    Keys::new("here", ours.as_bytes(), also.map(str::as_bytes)).expect("long enough")
}

const OLD: &str = "an old key of enough bytes";
const NEW: &str = "a new key, also long enough";

#[test]
fn what_fills_the_room_fits_in_a_datagram_and_comes_back() {
    let told = envelope(vec![Part {
        kind: 7,
        body: vec![1; Keys::room(&envelope(Vec::new()).from)],
    }]);
    let sealed = keys(OLD, None).seal(&told).expect("it fits");
    assert_eq!(keys(OLD, None).open(&sealed, true), Ok(told));
    assert!(
        keys(OLD, None)
            .seal(&envelope(vec![Part {
                kind: 7,
                body: vec![1; MAX_DATAGRAM_BYTES]
            }]))
            .is_none()
    );
}

#[test]
fn a_key_is_changed_without_a_moment_in_which_routers_are_strangers() {
    // First all take the new one as well, then all use it, then the old one goes.
    let steps = [
        keys(OLD, None),
        keys(OLD, Some(NEW)),
        keys(NEW, Some(OLD)),
        keys(NEW, None),
    ];
    let told = envelope(Vec::new());
    for (from, to) in steps
        .windows(2)
        .flat_map(|w| [(&w[0], &w[1]), (&w[1], &w[0])])
    {
        assert!(to.open(&from.seal(&told).expect("small"), true).is_ok());
    }
    assert_eq!(
        steps[0].open(&steps[3].seal(&told).expect("small"), true),
        Err(DatagramFault::Tag)
    );
}

#[test]
fn whatever_is_changed_or_foreign_is_dropped_with_its_reason() {
    let (ours, told) = (
        keys(OLD, None),
        envelope(vec![Part {
            kind: 1,
            body: vec![3; 40],
        }]),
    );
    let sealed = ours.seal(&told).expect("small");
    for at in 0..sealed.len() {
        for flip in [1, 128] {
            let mut changed = sealed.clone();
            changed[at] ^= flip;
            let want = [
                DatagramFault::Version,
                DatagramFault::Foreign,
                DatagramFault::Tag,
            ][usize::from(at > 0) + usize::from(at >= HEAD)];
            assert_eq!(ours.open(&changed, true), Err(want), "byte {at}");
        }
    }
    for length in 0..sealed.len() {
        assert!(ours.open(&sealed[..length], true).is_err());
    }
    let there = Keys::new("there", OLD.as_bytes(), None).expect("long enough");
    assert_eq!(there.open(&sealed, true), Err(DatagramFault::Foreign));
    assert!(Keys::new("here", b"short", None).is_err());
}
