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
fn records_end_by_their_age_wherever_they_were_in_between() {
    // Danger: each router that passes a record on would make it young again, and it would never end.
    let (mut a, mut b) = (store(), store());
    assert!(a.put(100 * S, record("n1", 1, 1, 4_000), 0));
    let sent = a.hot(105 * S, 1_000).expect("it is hot");
    let came = RecordStore::unpack(&sent.body).expect("records");
    assert_eq!(came[0].age_ms, 9_000);
    // Another machine, with another clock, by way of a slow link.
    assert!(b.put(1_007 * S, came[0].clone(), 2 * S));
    b.fade(1_011 * S);
    assert_eq!(b.len(), 1);
    b.fade(1_012 * S);
    assert_eq!(b.len(), 0);
    assert!(
        !b.put(1_012 * S, record("n1", 1, 2, 16_000), 0),
        "it is over on arrival"
    );
}

#[test]
fn a_restart_ends_what_the_old_life_said_and_nothing_of_it_comes_back() {
    let mut store = store();
    assert!(store.put(S, record("n1", 1, 9, 0), 0) && store.put(S, record("n2", 1, 9, 0), 0));
    store.started("n1", 2);
    assert_eq!(store.len(), 1);
    assert!(
        !store.put(S, record("n1", 1, 10, 0), 0),
        "a late datagram of the old life"
    );
    assert!(store.put(S, record("n1", 2, 1, 0), 0));
}

#[test]
fn the_same_or_an_older_record_is_no_news() {
    let mut store = store();
    let of = |seq: u64, said: u16| Record {
        subject: "s".into(),
        body: body(said),
        ..record("n1", 1, seq, 0)
    };
    assert!(store.put(S, of(2, 7), 0));
    assert!(!store.put(S, of(2, 8), 0) && !store.put(S, of(1, 8), 0) && store.put(S, of(3, 9), 0));
    assert_eq!(store.len(), 1);
}

#[test]
fn comparing_finds_what_either_lacks_however_much_it_is() {
    let (mut a, mut b) = (store(), store());
    for n in 0..300 {
        let told = record(&format!("n{}", n / 4), 1, n, 0);
        if n % 3 != 0 {
            a.put(S, told.clone(), 0);
        }
        if n % 3 != 1 {
            b.put(S, told, 0);
        }
    }
    let mut rounds = 0;
    while a.len() < 300 || b.len() < 300 {
        rounds += 1;
        assert!(rounds < 60, "{} and {}", a.len(), b.len());
        let digest = a.digest();
        assert!(part(kind::DIGEST, &digest).is_some_and(|p| p.body.len() < 1_000));
        let (lacking, wanted) = b.compare(S, &digest, 1_000);
        for r in lacking
            .iter()
            .flat_map(|p| RecordStore::unpack(&p.body).expect("records"))
        {
            a.put(S, r, 0);
        }
        for r in a
            .wanted(S, &wanted, 1_000)
            .iter()
            .flat_map(|p| RecordStore::unpack(&p.body).expect("records"))
        {
            b.put(S, r, 0);
        }
    }
}

#[test]
fn what_is_held_is_bounded_for_each_origin_and_for_all() {
    let mut store = store();
    for n in 0..1_000 {
        store.put(S + n, record("loud", 1, n, 0), 0);
    }
    assert_eq!(store.len(), MOST.1);
    for n in 0..6_000 {
        store.put(S, record(&format!("n{n}"), 1, 1, 0), 0);
    }
    assert_eq!(store.len(), MOST.0);
    assert!(
        !store.put(
            S,
            Record {
                body: vec![0; 500],
                ..record("n", 1, 1, 0)
            },
            0
        ),
        "a body has an end"
    );
}
