//! Unit tests of `records`.

use super::*;

const S: Time = 1_000_000;

fn record(origin: &str, boot: u64, seq: u64, age_ms: u32) -> Record {
    let zone = "a".to_string();
    Record {
        origin: origin.into(),
        boot,
        zone,
        seq,
        age_ms,
        kind: 1,
        subject: format!("s{seq}"),
        body: body(1),
    }
}

fn body(answers: u16) -> Vec<u8> {
    postcard::to_allocvec(&Observation {
        answers,
        ..Observation::default()
    })
    .expect("small")
}

fn store() -> RecordStore {
    RecordStore::new(15 * S, 4, true, true)
}

#[test]
fn records_expire_by_age_across_routers() {
    // If a record were sent without its age, each router would restart its lifetime, and it would never expire.
    let (mut a, mut b) = (store(), store());
    assert!(a.insert(100 * S, record("n1", 1, 1, 4_000), 0));
    let sent = a
        .next_part(105 * S, 1_000)
        .expect("there is a record to send");
    let received = RecordStore::unpack(&sent.body).expect("records");
    assert_eq!(received[0].age_ms, 9_000);
    // The receiver has another clock, and the link is slow.
    assert!(b.insert(1_007 * S, received[0].clone(), 2 * S));
    b.remove_expired(1_011 * S);
    assert_eq!(b.len(), 1);
    b.remove_expired(1_012 * S);
    assert_eq!(b.len(), 0);
    assert!(
        !b.insert(1_012 * S, record("n1", 1, 2, 16_000), 0),
        "the record expired before it arrived"
    );
}

#[test]
fn restart_voids_records_of_the_earlier_incarnation() {
    let mut store = store();
    assert!(store.insert(S, record("n1", 1, 9, 0), 0) && store.insert(S, record("n2", 1, 9, 0), 0));
    store.note_start("n1", 2);
    assert_eq!(store.len(), 1);
    assert!(
        !store.insert(S, record("n1", 1, 10, 0), 0),
        "a late datagram of the earlier incarnation"
    );
    assert!(store.insert(S, record("n1", 2, 1, 0), 0));
}

#[test]
fn same_or_older_record_is_not_stored() {
    let mut store = store();
    let version = |seq: u64, answers: u16| Record {
        subject: "s".into(),
        body: body(answers),
        ..record("n1", 1, seq, 0)
    };
    assert!(store.insert(S, version(2, 7), 0));
    assert!(
        !store.insert(S, version(2, 8), 0)
            && !store.insert(S, version(1, 8), 0)
            && store.insert(S, version(3, 9), 0)
    );
    assert_eq!(store.len(), 1);
}

#[test]
fn comparing_digests_finds_all_missing_records() {
    let (mut a, mut b) = (store(), store());
    for n in 0..300 {
        let record = record(&format!("n{}", n / 4), 1, n, 0);
        if n % 3 != 0 {
            a.insert(S, record.clone(), 0);
        }
        if n % 3 != 1 {
            b.insert(S, record, 0);
        }
    }
    let mut rounds = 0;
    while a.len() < 300 || b.len() < 300 {
        rounds += 1;
        assert!(rounds < 60, "{} and {}", a.len(), b.len());
        let digest = a.digest();
        assert!(encode_part(part_kind::DIGEST, &digest).is_some_and(|p| p.body.len() < 1_000));
        let (part, wanted) = b.compare_digest(S, &digest, 1_000);
        for record in part
            .iter()
            .flat_map(|p| RecordStore::unpack(&p.body).expect("records"))
        {
            a.insert(S, record, 0);
        }
        for record in a
            .part_with(S, &wanted, 1_000)
            .iter()
            .flat_map(|p| RecordStore::unpack(&p.body).expect("records"))
        {
            b.insert(S, record, 0);
        }
    }
}

#[test]
fn store_is_bounded_per_origin_and_in_total() {
    let mut store = store();
    for n in 0..1_000 {
        store.insert(S + n, record("loud", 1, n, 0), 0);
    }
    assert_eq!(store.len(), MAX_RECORDS_PER_ORIGIN);
    for n in 0..6_000 {
        store.insert(S, record(&format!("n{n}"), 1, 1, 0), 0);
    }
    assert_eq!(store.len(), MAX_RECORDS);
    assert!(
        !store.insert(
            S,
            Record {
                body: vec![0; 500],
                ..record("n", 1, 1, 0)
            },
            0
        ),
        "the length of a body is bounded"
    );
}
