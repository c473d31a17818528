//! Unit tests of `request_ids`.

use super::*;

const REMEMBERED_FOR: Micros = 24_000_000;

/// Inserts ids of other requests.
fn flood(ids: &mut RecentIds, count: usize, idempotency: Idempotency, now: Time) -> usize {
    let accepted = (0..count).filter(|n| ids.insert(&format!("f{n}"), idempotency, now).is_ok());
    accepted.count()
}

/// Guards against a booking that runs twice because the ids of others have pushed its own out.
#[test]
fn the_id_of_a_booking_is_known_for_its_time_however_many_others_come() {
    for other in [Idempotency::Idempotent, Idempotency::AtMostOnce] {
        let mut ids = RecentIds::new(REMEMBERED_FOR);
        let first = ids.insert("booking", Idempotency::AtMostOnce, 0);
        assert!(first.is_ok());
        flood(&mut ids, 400_000, other, 5_000_000);
        let again = ids.insert("booking", Idempotency::AtMostOnce, REMEMBERED_FOR - 1);
        assert_eq!(again, Err(IdFault::Repeated), "{other:?}");
    }
}

/// Guards against memory that grows without bound with the number of ids, and against reads that are refused for their number.
#[test]
fn the_number_of_remembered_ids_is_bounded() {
    let mut ids = RecentIds::new(REMEMBERED_FOR);
    let reads = flood(&mut ids, 400_000, Idempotency::Idempotent, 0);
    assert_eq!(reads, 400_000);
    assert!(ids.repeatable.current.len() <= MAX_REPEATABLE_IDS);
    let writes = (0..400_000).filter(|n| {
        let id = format!("w{n}");
        ids.insert(&id, Idempotency::AtMostOnce, 0).is_ok()
    });
    assert_eq!(writes.count(), MAX_UNREPEATABLE_IDS);
    assert_eq!(
        ids.insert("later", Idempotency::AtMostOnce, 0),
        Err(IdFault::Full)
    );
    let after = ids.insert("later", Idempotency::AtMostOnce, REMEMBERED_FOR);
    assert!(after.is_ok(), "the next generation has room");
}

/// Guards against rejected requests that fill the memory of those that may have run.
#[test]
fn the_id_of_a_rejected_request_may_come_again() {
    let mut ids = RecentIds::new(REMEMBERED_FOR);
    let id = ids
        .insert("w", Idempotency::AtMostOnce, 0)
        .expect("it is new");
    ids.forget(id);
    assert!(ids.insert("w", Idempotency::AtMostOnce, 1).is_ok());
}
