//! Unit tests of `links`.

use super::*;

#[test]
fn each_direction_has_its_own_conditions_and_all_datagrams_are_counted() {
    let links = Links::start(2, 1).expect("ports");
    let routers: Vec<UdpSocket> = (0..2)
        .map(|_| UdpSocket::bind(("127.0.0.1", 0)).expect("a port"))
        .collect();
    for (n, socket) in routers.iter().enumerate() {
        socket
            .set_read_timeout(Some(Duration::from_secs(5)))
            .expect("a socket");
        links.set_router_address(n, socket.local_addr().expect("bound"));
    }
    links.set_conditions(
        0,
        1,
        LinkConditions {
            cut: true,
            ..LinkConditions::default()
        },
    );
    links.set_conditions(
        1,
        0,
        LinkConditions {
            duplicate: 1.0,
            delay_ms: 5.0,
            ..LinkConditions::default()
        },
    );
    routers[0]
        .send_to(b"lost", links.address(1).expect("bound"))
        .expect("sent");
    routers[1]
        .send_to(b"twice", links.address(0).expect("bound"))
        .expect("sent");
    let mut bytes = [0; 16];
    for _ in 0..2 {
        let length = routers[0].recv(&mut bytes).expect("it comes twice");
        assert_eq!(&bytes[..length], b"twice");
    }
    routers[1]
        .set_read_timeout(Some(Duration::from_millis(1)))
        .expect("a socket");
    assert!(routers[1].recv(&mut bytes).is_err(), "it is cut");
    let passed = links.traffic();
    let sent = |n: usize| passed.sent[n].iter().map(|s| s.0).sum::<u64>();
    assert_eq!(
        (sent(0), sent(1), passed.strangers, passed.longest),
        (1, 1, 0, 5)
    );
}
