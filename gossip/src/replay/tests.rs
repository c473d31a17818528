//! Unit tests of `replay`.

use super::*;

fn envelope(port: u16, boot: u64, seq: u64, clock_ms: u64) -> Envelope {
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
fn each_datagram_counts_once_in_any_order() {
    let mut guard = ReplayGuard::default();
    for seq in [5, 3, 9, 4, 200, 130] {
        assert_eq!(
            guard
                .check(1_000_000, &envelope(1, 7, seq, 0), true)
                .map(drop),
            Ok(()),
            "{seq}"
        );
    }
    for seq in [5, 3, 9, 4, 200, 130, 72, 0] {
        assert_eq!(
            guard.check(1_000_000, &envelope(1, 7, seq, 0), true),
            Err(DatagramFault::Replayed),
            "{seq}"
        );
    }
}

#[test]
fn restart_resets_the_state_and_voids_the_earlier_incarnation() {
    let mut guard = ReplayGuard::default();
    assert!(guard.check(0, &envelope(1, 7, 90, 0), true).is_ok());
    assert!(guard.check(0, &envelope(1, 8, 1, 0), true).is_ok());
    assert_eq!(
        guard.check(0, &envelope(1, 7, 91, 0), true),
        Err(DatagramFault::OldLife)
    );
}

#[test]
fn delay_is_distinguished_from_a_clock_offset() {
    let mut guard = ReplayGuard::default();
    // The sender's clock is 1,000 s behind, and its datagrams take 1 to 3 ms.
    let at = |ms: u64| 1_000_000_000 + ms * 1_000;
    assert_eq!(guard.check(at(3), &envelope(1, 7, 1, 0), true), Ok(0));
    assert_eq!(guard.check(at(101), &envelope(1, 7, 2, 100), true), Ok(0));
    let delay = guard
        .check(at(5_203), &envelope(1, 7, 3, 200), true)
        .expect("the datagram is new");
    assert!((5_000_000..=5_002_000).contains(&delay), "{delay}");
}

#[test]
fn number_of_senders_is_bounded() {
    let mut guard = ReplayGuard::default();
    for port in 1..=MAX_SENDERS as u16 + 100 {
        assert!(
            guard
                .check(u64::from(port), &envelope(port, 1, 1, 0), true)
                .is_ok()
        );
    }
    assert_eq!(guard.0.len(), MAX_SENDERS);
}
