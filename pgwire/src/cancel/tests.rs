//! Unit tests of `cancel`.

use super::*;

#[test]
fn only_the_complete_key_of_an_open_session_finds_it() {
    let mut keys = CancelKeys::new();
    let old = keys.issue('a', Version::V30, [7; 32]);
    let new = keys.issue('b', Version::V32, [8; 32]);
    assert_eq!((old.secret.len(), new.secret.len()), (4, 32));
    assert_eq!((keys.find(&old), keys.find(&new)), (Some('a'), Some('b')));
    for secret in [vec![], vec![7; 3], vec![7; 5], vec![8; 4]] {
        assert_eq!(keys.find(&CancelKey { id: old.id, secret }), None);
    }
    assert_eq!(
        keys.find(&CancelKey {
            id: new.id,
            secret: old.secret.clone()
        }),
        None
    );
    keys.remove(old.id);
    assert_eq!((keys.find(&old), keys.len()), (None, 1));
    assert_eq!(format!("{new:?}"), "CancelKey(2)", "no secret in a log");
}

#[test]
fn ids_are_reused_only_when_they_are_free() {
    let mut keys = CancelKeys {
        issued: HashMap::new(),
        last_id: i32::MAX as u32 - 1,
    };
    let ids: Vec<u32> = (0..3)
        .map(|n| keys.issue(n, Version::V30, [1; 32]).id)
        .collect();
    assert_eq!(ids, [i32::MAX as u32, 1, 2]);
    keys.last_id = 0;
    assert_eq!(keys.issue(3, Version::V30, [1; 32]).id, 3);
}
