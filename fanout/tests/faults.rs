//! Each variant of `Fault` occurs and gives advice to operators.

use plovercove_fanout::{
    Client, Fault, Gateway, MAX_ITEM_BYTES, Publisher, Rules, Subscriber, Topic,
};
use plovercove_fencing::{LeaseName, Token};
use std::net::SocketAddr;

fn address() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 7_000))
}

#[test]
fn every_fault_occurs_and_has_a_help_text() {
    let rules = Rules::default();
    let setting = Rules {
        retained_items: 0,
        ..rules.clone()
    }
    .check()
    .expect_err("below the minimum");
    let name = Fault::from(Topic::new("a b").expect_err("a name with a space"));
    assert!(Gateway::new(rules.clone(), "a b", address(), 1, 1).is_err());
    let mut gateway = Gateway::new(rules.clone(), "a", address(), 1, 1).expect("a valid zone");
    let unread = gateway
        .receive(1, address(), &[9, 9, 9], 0)
        .expect_err("an invalid body");
    let (role, watch) = (
        Topic::new("role/1").expect("a valid name"),
        LeaseName::new("role/1").expect("a valid name"),
    );
    gateway
        .publish(1, &role, &watch, Token(2), 1, b"x")
        .expect("the newest token");
    let refused = gateway
        .publish(1, &role, &watch, Token(1), 2, b"x")
        .expect_err("an older token");
    let large = vec![0; MAX_ITEM_BYTES + 1];
    let large = Publisher::new(rules.clone(), 1, 1).publish(1, &role, &watch, Token(1), &large);
    let identity = Subscriber {
        name: "r".into(),
        boot: 1,
        address: address(),
        zone: "a".into(),
    };
    let mut client = Client::new(
        Rules {
            topics: 1,
            ..rules.clone()
        },
        identity,
        1,
        1,
    );
    client.subscribe(&role).expect("the first topic");
    let full = client
        .subscribe(&Topic::new("owners").expect("a valid name"))
        .expect_err("one topic too many");
    let all = [
        setting,
        name,
        unread,
        refused,
        large.expect_err("an item too large"),
        full,
    ];
    let kinds: Vec<_> = all.iter().map(std::mem::discriminant).collect();
    assert!(
        kinds
            .iter()
            .enumerate()
            .all(|(n, kind)| !kinds[..n].contains(kind)),
        "{all:?}"
    );
    assert!(
        all.iter()
            .all(|fault| !fault.help().is_empty() && !fault.to_string().is_empty())
    );
    assert!(
        matches!(all[0], Fault::Setting { key: "held", .. })
            && matches!(all[5], Fault::Full { .. })
    );
    assert!(rules.check().is_ok());
}
