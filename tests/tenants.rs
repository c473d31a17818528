//! Tenants' quotas: requests beyond a quota (excess requests) are served if there is room. Otherwise they are served
//! last and rejected first.

mod common;

use common::*;
use plovercove::*;

const A: usize = 0;
const B: usize = 1;
/// An index beyond the tenants in the settings.
const UNKNOWN: usize = 7;

fn settings_with_quotas(quotas: &[f64]) -> Settings {
    let tenant = |(n, quota): (usize, &f64)| Tenant {
        name: format!("t{n}"),
        quota_per_s: *quota,
    };
    Settings {
        tenants: quotas.iter().enumerate().map(tenant).collect(),
        over_quota_weight: 0.5,
        retry_after_allowed: true,
        max_retry_after: 500 * MS,
        ..settings()
    }
}

fn request_of(tenant: impl Into<Option<usize>>, id: RequestId, class: usize) -> RequestInfo {
    RequestInfo {
        tenant: tenant.into(),
        ..request_info(id, class)
    }
}

/// The number of requests with each outcome, for requests that arrived one by one.
#[derive(Debug, Default, PartialEq)]
struct Outcomes {
    sent: usize,
    rejected: usize,
    waiting: usize,
}

/// Sends requests of one tenant, `interval` apart, none of which is answered.
fn send_unanswered(
    harness: &mut Harness,
    tenant: impl Into<Option<usize>>,
    ids: std::ops::Range<RequestId>,
    interval: Micros,
) -> Outcomes {
    let (tenant, mut outcomes) = (tenant.into(), Outcomes::default());
    for id in ids {
        harness.now += interval;
        match harness.send_request(request_of(tenant, id, ANY)) {
            Some(_) => outcomes.sent += 1,
            None if harness.is_rejected(id) => outcomes.rejected += 1,
            None => outcomes.waiting += 1,
        }
    }
    outcomes
}

/// Sends requests of one tenant, `interval` apart, each of which is answered before the next one arrives.
fn send_answered(
    harness: &mut Harness,
    tenant: impl Into<Option<usize>>,
    ids: std::ops::Range<RequestId>,
    interval: Micros,
) -> Outcomes {
    let (tenant, mut outcomes) = (tenant.into(), Outcomes::default());
    for id in ids {
        harness.now += interval;
        match harness.send_request(request_of(tenant, id, ANY)) {
            Some(_) => {
                outcomes.sent += 1;
                harness.end_attempt(
                    id,
                    0,
                    AttemptEnd::Success,
                    node_report(Role::Replica, harness.now),
                );
            }
            None => outcomes.rejected += 1,
        }
    }
    outcomes
}

#[test]
fn a_flood_leaves_room_for_tenants_within_their_quota() {
    let mut harness = Harness::new(settings_with_quotas(&[1.0, 9.0]));
    // A few requests of A are within its quota and go wherever there is room; the excess leaves most of each node's
    // limit free.
    let flood = send_unanswered(&mut harness, A, 0..200, 100);
    assert!(flood.rejected > 100 && flood.sent >= 24, "{flood:?}");
    let other_tenant = send_unanswered(&mut harness, B, 1_000..1_010, 100);
    assert_eq!(
        other_tenant,
        Outcomes {
            sent: 10,
            ..Outcomes::default()
        }
    );
}

#[test]
fn excess_requests_are_rejected_at_once_with_a_retry_delay() {
    let mut harness = Harness::new(settings_with_quotas(&[1.0, 1_000.0]));
    send_unanswered(&mut harness, A, 0..200, 100);
    harness.now += 100;
    let id = 500;
    harness.handle_event(Event::RequestArrived(request_of(A, id, ANY)));
    let rejection = Action::Reject {
        request: id,
        retry_after: Some(250 * MS),
    };
    assert!(
        harness.actions.contains(&rejection),
        "{:?}",
        harness.actions
    );
}

#[test]
fn requests_within_a_quota_go_before_excess_requests() {
    // The only node is idle, and either request would find room. Both arrive in one batch, that of A first.
    let quotas = Settings {
        router_count: 24,
        ..settings_with_quotas(&[0.0, 1_000.0])
    };
    let mut harness = Harness::with_endpoints(quotas, vec![endpoint("r1", false)]);
    assert_eq!(send_answered(&mut harness, A, 0..4, MS).sent, 4);
    harness.handle_batch(vec![
        Event::RequestArrived(request_of(A, 100, ANY)),
        Event::RequestArrived(request_of(B, 101, ANY)),
    ]);
    assert!(
        harness.sent_to(101).is_some() && harness.is_rejected(100),
        "{:?}",
        harness.actions
    );
}

#[test]
fn the_part_within_the_quota_of_a_flooding_tenant_is_still_served() {
    // A quarter of A's requests is within its quota, whatever else A sends. These requests find room when the other
    // requests of A do not.
    let mut harness = Harness::new(settings_with_quotas(&[25.0, 75.0]));
    send_answered(&mut harness, A, 0..1_000, 10 * MS);
    send_unanswered(&mut harness, B, 1_000..1_016, 0);
    let under_load = send_unanswered(&mut harness, A, 2_000..2_020, 10 * MS);
    assert!(
        under_load.sent >= 2 && under_load.rejected >= 10,
        "{under_load:?}"
    );
}

#[test]
fn tenants_at_their_quota_are_not_limited_by_a_router_that_sees_a_larger_part() {
    // A router's even share of 10 a second is 1 a second; this router gets five times as much of each of four tenants.
    let mut harness = Harness::new(Settings {
        router_count: 10,
        ..settings_with_quotas(&[10.0; 4])
    });
    for round in 0..200 {
        for tenant in 0..4 {
            let id = round * 4 + tenant as RequestId;
            harness.now += 50 * MS;
            assert!(
                harness.send_request(request_of(tenant, id, ANY)).is_some(),
                "{id}: {:?}",
                harness.actions
            );
            // Enough requests are always in flight that an excess request would be rejected: three at each of two
            // replicas, whose limits stop growing at 8.
            if let Some(finished) = id.checked_sub(6) {
                harness.end_attempt(
                    finished,
                    0,
                    AttemptEnd::Success,
                    node_report(Role::Replica, harness.now),
                );
            }
        }
    }
}

/// Creates one of 300 routers, with two replicas that have `in_flight` requests of other routers. The estimated wait is
/// 0.45 of the latency objective at 4 cores without a queue, and grows with the queue.
fn large_fleet(quotas: &[f64], in_flight: u32) -> Harness {
    let settings = Settings {
        router_count: 300,
        reports: ReportSource::HealthChecks,
        health_checks_allowed: true,
        ..settings_with_quotas(quotas)
    };
    let mut harness =
        Harness::with_endpoints(settings, vec![endpoint("r1", false), endpoint("r2", false)]);
    for node in ["r1", "r2"] {
        let report = NodeReport {
            in_flight: Some(in_flight),
            ..node_report(Role::Replica, T0)
        };
        harness.handle_event(Event::HealthChecked {
            node: node.into(),
            answered: true,
            load_report: report,
        });
    }
    harness
}

#[test]
fn a_new_process_limits_no_tenant_by_its_first_requests() {
    // The nodes are so loaded that an excess request would be rejected. A's part of five requests is two and a half.
    let mut harness = large_fleet(&[0.5, 0.5], 6);
    let first = send_answered(&mut harness, A, 0..5, MS);
    assert_eq!(
        first,
        Outcomes {
            sent: 5,
            ..Outcomes::default()
        }
    );
}

#[test]
fn requests_without_a_known_tenant_have_no_quota() {
    for tenant in [None, Some(UNKNOWN)] {
        let mut harness = Harness::new(settings_with_quotas(&[1.0, 1.0]));
        let outcomes = send_unanswered(&mut harness, tenant, 0..60, 100);
        assert_eq!(outcomes.rejected, 0, "{tenant:?}: {outcomes:?}");
        assert!(outcomes.sent >= 48, "{tenant:?}: {outcomes:?}");
    }
    for tenant in [None, Some(A), Some(UNKNOWN)] {
        let mut harness = Harness::new(settings_with_quotas(&[]));
        let outcomes = send_unanswered(&mut harness, tenant, 0..60, 100);
        assert!(
            outcomes.rejected == 0 && outcomes.sent >= 48,
            "{tenant:?}: {outcomes:?}"
        );
    }
}

#[test]
fn a_single_tenant_is_never_limited() {
    let mut harness = Harness::new(settings_with_quotas(&[1.0]));
    let outcomes = send_unanswered(&mut harness, A, 0..60, 100);
    assert!(
        outcomes.rejected == 0 && outcomes.sent >= 48,
        "{outcomes:?}"
    );
}

#[test]
fn with_a_zero_quota_all_requests_are_excess_and_without_a_quota_none_is() {
    let mut harness = Harness::new(settings_with_quotas(&[0.0, f64::INFINITY]));
    let zero_quota = send_unanswered(&mut harness, A, 0..60, 100);
    assert!(zero_quota.rejected > 20, "{zero_quota:?}");
    let unlimited = send_unanswered(&mut harness, B, 100..120, 100);
    assert_eq!(unlimited.rejected, 0, "{unlimited:?}");
    // No tenant has a quota: all are treated alike.
    let mut harness = Harness::new(settings_with_quotas(&[f64::INFINITY, f64::INFINITY]));
    let outcomes = send_unanswered(&mut harness, A, 0..60, 100);
    assert!(
        outcomes.rejected == 0 && outcomes.sent >= 48,
        "{outcomes:?}"
    );
}

#[test]
fn unused_quota_is_lent() {
    // A sends a hundred times its quota, each request answered in time: there is room, so all are served.
    let mut harness = Harness::new(settings_with_quotas(&[1.0, 1.0]));
    assert_eq!(
        send_answered(&mut harness, A, 0..1_000, 10 * MS),
        Outcomes {
            sent: 1_000,
            ..Outcomes::default()
        }
    );
}

#[test]
fn lent_quota_is_returned_and_past_excess_is_forgotten() {
    let mut harness = Harness::new(settings_with_quotas(&[1.0, 9.0]));
    send_answered(&mut harness, A, 0..1_000, 10 * MS);
    // B sends requests again and finds room at once, although A goes on.
    send_unanswered(&mut harness, A, 1_000..1_100, 100);
    assert_eq!(
        send_unanswered(&mut harness, B, 2_000..2_010, 100),
        Outcomes {
            sent: 10,
            ..Outcomes::default()
        }
    );
    // After a pause A is within its quota again, and is served even while B leaves little room.
    for id in 0..2_010 {
        harness.handle_event(Event::ClientGone { request: id });
        let (end, no_report) = (AttemptEnd::Cancelled, NodeReport::default());
        let elapsed = MS;
        harness.handle_event(Event::AttemptEnded {
            request: id,
            attempt: 0,
            end,
            elapsed,
            request_over: true,
            answer_report: no_report,
            load_report: no_report,
        });
    }
    harness.advance(15_000 * MS);
    send_unanswered(&mut harness, B, 3_000..3_016, 0);
    assert_eq!(
        send_unanswered(&mut harness, A, 4_000..4_008, 100),
        Outcomes {
            sent: 8,
            ..Outcomes::default()
        }
    );
}

#[test]
fn quotas_change_nothing_if_excess_requests_keep_full_weight() {
    let run = |settings: Settings| {
        let mut harness = Harness::new(settings);
        let mut actions = Vec::new();
        for id in 0..400 {
            harness.now += 3 * MS;
            let class = [ANY, OWN_WRITES, DEDUPLICATED, AT_MOST_ONCE][id as usize % 4];
            actions.extend(
                harness
                    .handle_event(Event::RequestArrived(request_of(
                        if id % 9 == 0 { B } else { A },
                        id,
                        class,
                    )))
                    .clone(),
            );
            if let Some(finished) = id.checked_sub(40).filter(|finished| finished % 2 == 0) {
                actions.extend(
                    harness
                        .end_attempt(finished, 0, AttemptEnd::Success, NodeReport::default())
                        .clone(),
                );
            }
        }
        actions
    };
    let full_weight = Settings {
        over_quota_weight: 1.0,
        ..settings_with_quotas(&[1.0, 1.0])
    };
    let without_tenants = Settings {
        tenants: Vec::new(),
        ..full_weight.clone()
    };
    assert_eq!(run(full_weight), run(without_tenants));
    assert_ne!(
        run(settings_with_quotas(&[1.0, 1.0])),
        run(Settings {
            tenants: Vec::new(),
            ..settings_with_quotas(&[])
        })
    );
}

#[test]
fn a_write_that_may_have_run_is_not_rejected_for_its_quota() {
    let mut harness = Harness::new(settings_with_quotas(&[0.0, 10.0]));
    // A is known to be beyond its quota, and has little in flight, so its write is sent. The write fails after it may
    // have been executed.
    send_unanswered(&mut harness, A, 0..4, 100);
    let id = 50;
    assert_eq!(
        harness
            .send_request(request_of(A, id, DEDUPLICATED))
            .as_deref(),
        Some("p")
    );
    // Meanwhile writes of B fill the primary to more than half.
    for other in 100..114 {
        harness.send_request(request_of(B, other, DEDUPLICATED));
    }
    harness.handle_event(Event::AttemptEnded {
        request: id,
        attempt: 0,
        end: AttemptEnd::Failure,
        elapsed: MS,
        request_over: false,
        answer_report: NodeReport::default(),
        load_report: NodeReport::default(),
    });
    assert!(
        !harness.is_rejected(id) && !harness.has_failed(id),
        "{:?}",
        harness.actions
    );
    assert_eq!(
        harness.sent_to(id).as_deref(),
        Some("p"),
        "its deduplication window is open: it is sent again"
    );
}

#[test]
fn large_fleets_reject_excess_requests_at_a_shorter_queue() {
    // A wait that is still short enough for requests within a quota is too long for excess requests.
    for (in_flight, excess_is_sent, within_is_sent) in
        [(0, true, true), (6, false, true), (200, false, false)]
    {
        let mut harness = large_fleet(&[0.0, 100.0], 0);
        send_answered(&mut harness, A, 0..3, MS);
        for node in ["r1", "r2"] {
            let report = NodeReport {
                in_flight: Some(in_flight),
                ..node_report(Role::Replica, T0)
            };
            harness.handle_event(Event::HealthChecked {
                node: node.into(),
                answered: true,
                load_report: report,
            });
        }
        assert_eq!(
            harness.send_request(request_of(A, 100, ANY)).is_some(),
            excess_is_sent,
            "excess request, {in_flight} in flight"
        );
        assert_eq!(
            harness.send_request(request_of(B, 101, ANY)).is_some(),
            within_is_sent,
            "request within its quota, {in_flight} in flight"
        );
    }
}
