//! Unit tests of `node`.

use super::*;

#[test]
fn a_node_runs_queues_and_rejects_requests() {
    let spec = NodeSpec {
        cores: 2,
        queue: 1,
        ..NodeSpec::default()
    };
    let mut node = NodeModel::new(spec, 1.0, 0.05);
    assert_eq!(node.offer(0, 1, 0.05), Offer::Runs(50_000));
    assert_eq!(node.offer(0, 2, 0.05), Offer::Runs(50_000));
    assert_eq!(
        (node.offer(0, 3, 0.05), node.offer(0, 4, 0.05)),
        (Offer::Queued, Offer::Rejected)
    );
    assert_eq!(node.finish_request(50_000), Some((3, 100_000)));
    assert_eq!((node.finish_request(100_000), node.in_flight()), (None, 1));
}

#[test]
fn a_cold_node_is_slow_and_crashes_if_overloaded() {
    let spec = NodeSpec {
        cores: 1,
        cold_from: 0.2,
        cold_s: 10.0,
        ..NodeSpec::default()
    };
    let mut node = NodeModel::new(spec, 1.0, 0.1);
    node.restart(0);
    assert_eq!(node.offer(0, 0, 0.1), Offer::Runs(500_000));
    assert!((node.warmth(5_000_000) - 0.6).abs() < 1e-9);
    // The settings allow 4 x 0.2 x 2 s of work: 16 requests, their root is 4, so the node withstands 16 + 2 x 4 + 2 = 26.
    node.restart(10_000_000);
    // Each request is slightly under the mean, so that rounding does not decide the outcome.
    let crashed_at = (1..100).find(|n| node.offer(10_000_000, *n, 0.0999) == Offer::Crashes);
    assert_eq!(crashed_at, Some(27));
    // 27 requests were offered, 0.0999 s each against a mean of 0.1 s.
    assert!(
        (node.cold_peak() - 27.0 * 0.999 / 26.0).abs() < 1e-9,
        "{}",
        node.cold_peak()
    );
    let mut warm = NodeModel::new(NodeSpec::default(), 1.0, 0.1);
    assert!(
        (0..500).all(|n| warm.offer(0, n, 0.1) != Offer::Crashes),
        "a warm node only queues"
    );
}
