//! Unit tests of `datagram`.

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

fn keys(current: &str, additional: Option<&str>) -> Keys {
    Keys::new("here", current.as_bytes(), additional.map(str::as_bytes)).expect("long enough")
}

const OLD: &str = "an old key of enough bytes";
const NEW: &str = "a new key, also long enough";

#[test]
fn largest_parts_fit_in_a_datagram_and_decode() {
    let message = envelope(vec![Part {
        kind: 7,
        body: vec![1; Keys::max_parts_bytes(&envelope(Vec::new()).from)],
    }]);
    let sealed = keys(OLD, None).seal(&message).expect("it fits");
    assert_eq!(keys(OLD, None).open(&sealed, true), Ok(message));
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
fn key_change_in_steps_keeps_all_routers_connected() {
    // First all routers accept the new key as well, then all use it, then the old one is removed.
    let steps = [
        keys(OLD, None),
        keys(OLD, Some(NEW)),
        keys(NEW, Some(OLD)),
        keys(NEW, None),
    ];
    let message = envelope(Vec::new());
    for (from, to) in steps
        .windows(2)
        .flat_map(|w| [(&w[0], &w[1]), (&w[1], &w[0])])
    {
        assert!(to.open(&from.seal(&message).expect("small"), true).is_ok());
    }
    assert_eq!(
        steps[0].open(&steps[3].seal(&message).expect("small"), true),
        Err(DatagramFault::Tag)
    );
}

#[test]
fn changed_or_foreign_datagrams_are_dropped_with_the_reason() {
    let (keys, message) = (
        keys(OLD, None),
        envelope(vec![Part {
            kind: 1,
            body: vec![3; 40],
        }]),
    );
    let sealed = keys.seal(&message).expect("small");
    for position in 0..sealed.len() {
        for flip in [1, 128] {
            let mut changed = sealed.clone();
            changed[position] ^= flip;
            let expected = [
                DatagramFault::Version,
                DatagramFault::Foreign,
                DatagramFault::Tag,
            ][usize::from(position > 0) + usize::from(position >= HEADER_BYTES)];
            assert_eq!(keys.open(&changed, true), Err(expected), "byte {position}");
        }
    }
    for length in 0..sealed.len() {
        assert!(keys.open(&sealed[..length], true).is_err());
    }
    let other_installation = Keys::new("there", OLD.as_bytes(), None).expect("long enough");
    assert_eq!(
        other_installation.open(&sealed, true),
        Err(DatagramFault::Foreign)
    );
    assert!(Keys::new("here", b"short", None).is_err());
}
