//! Unit tests of `replay`.

use super::*;

fn told(port: u16, boot: u64, seq: u64, clock_ms: u64) -> Envelope {
    let from = Incarnation {
        boot,
        ..Incarnation::unknown(SocketAddr::from(([127, 0, 0, 1], port)))
    };
    Envelope {
        from,
        seq,
        clock_ms,
        parts: Vec::new(),
    }
}

#[test]
fn each_datagram_counts_once_in_whatever_order_it_comes() {
    let mut replays = ReplayGuard::default();
    for seq in [5, 3, 9, 4, 200, 130] {
        assert_eq!(
            replays.take(1_000_000, &told(1, 7, seq, 0), true).map(drop),
            Ok(()),
            "{seq}"
        );
    }
    for seq in [5, 3, 9, 4, 200, 130, 72, 0] {
        assert_eq!(
            replays.take(1_000_000, &told(1, 7, seq, 0), true),
            Err(DatagramFault::Replayed),
            "{seq}"
        );
    }
}

#[test]
fn a_restart_begins_anew_and_its_old_life_is_over() {
    let mut replays = ReplayGuard::default();
    assert!(replays.take(0, &told(1, 7, 90, 0), true).is_ok());
    assert!(replays.take(0, &told(1, 8, 1, 0), true).is_ok());
    assert_eq!(
        replays.take(0, &told(1, 7, 91, 0), true),
        Err(DatagramFault::OldLife)
    );
}

#[test]
fn what_was_long_under_way_is_told_apart_from_a_clock_that_differs() {
    let mut replays = ReplayGuard::default();
    // The sender's clock is 1,000 s behind; its datagrams take 1 to 3 ms.
    let at = |ms: u64| 1_000_000_000 + ms * 1_000;
    assert_eq!(replays.take(at(3), &told(1, 7, 1, 0), true), Ok(0));
    assert_eq!(replays.take(at(101), &told(1, 7, 2, 100), true), Ok(0));
    let late = replays
        .take(at(5_203), &told(1, 7, 3, 200), true)
        .expect("new");
    assert!((5_000_000..=5_002_000).contains(&late), "{late}");
}

#[test]
fn senders_are_bounded() {
    let mut replays = ReplayGuard::default();
    for port in 1..=SENDERS as u16 + 100 {
        assert!(
            replays
                .take(u64::from(port), &told(port, 1, 1, 0), true)
                .is_ok()
        );
    }
    assert_eq!(replays.0.len(), SENDERS);
}
