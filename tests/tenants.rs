//! Tenants' shares: what is over one is served where there is room, goes last and is refused first where there is not.

mod common;

use common::*;
use plovercove::*;

const A: usize = 0;
const B: usize = 1;
/// Beyond those in the settings.
const UNKNOWN: usize = 7;

fn tenants(quotas: &[f64]) -> Settings {
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

fn of(tenant: impl Into<Option<usize>>, id: RequestId, class: usize) -> RequestInfo {
    RequestInfo {
        tenant: tenant.into(),
        ..demand(id, class)
    }
}

/// What became of requests that came one by one.
#[derive(Debug, Default, PartialEq)]
struct Fates {
    sent: usize,
    refused: usize,
    waits: usize,
}

/// So many requests of one tenant, each `gap` after the other, of which none is answered.
fn held(
    rig: &mut Rig,
    tenant: impl Into<Option<usize>>,
    ids: std::ops::Range<RequestId>,
    gap: Micros,
) -> Fates {
    let (tenant, mut fates) = (tenant.into(), Fates::default());
    for id in ids {
        rig.now += gap;
        match rig.request(of(tenant, id, ANY)) {
            Some(_) => fates.sent += 1,
            None if rig.refused(id) => fates.refused += 1,
            None => fates.waits += 1,
        }
    }
    fates
}

/// The same, each answered before the next comes.
fn answered(
    rig: &mut Rig,
    tenant: impl Into<Option<usize>>,
    ids: std::ops::Range<RequestId>,
    gap: Micros,
) -> Fates {
    let (tenant, mut fates) = (tenant.into(), Fates::default());
    for id in ids {
        rig.now += gap;
        match rig.request(of(tenant, id, ANY)) {
            Some(_) => {
                fates.sent += 1;
                rig.ends(id, 0, AttemptEnd::Success, says(Role::Replica, rig.now));
            }
            None => fates.refused += 1,
        }
    }
    fates
}

#[test]
fn a_flood_leaves_room_to_who_is_within_its_share() {
    let mut rig = Rig::new(tenants(&[1.0, 9.0]));
    // A few of A are within its share and go wherever there is room; the others leave most of each node's free.
    let flood = held(&mut rig, A, 0..200, 100);
    assert!(flood.refused > 100 && flood.sent >= 24, "{flood:?}");
    let beside = held(&mut rig, B, 1_000..1_010, 100);
    assert_eq!(
        beside,
        Fates {
            sent: 10,
            ..Fates::default()
        }
    );
}

#[test]
fn what_is_over_is_refused_at_once_and_told_when_to_come_back() {
    let mut rig = Rig::new(tenants(&[1.0, 1_000.0]));
    held(&mut rig, A, 0..200, 100);
    rig.now += 100;
    let id = 500;
    rig.event(Event::RequestArrived(of(A, id, ANY)));
    let refusal = Action::Reject {
        request: id,
        retry_after: Some(250 * MS),
    };
    assert!(rig.actions.contains(&refusal), "{:?}", rig.actions);
}

#[test]
fn what_is_within_goes_before_what_is_over() {
    // The only node is idle, and either would find room. Both come in one batch, that of A first.
    let quotas = Settings {
        router_count: 24,
        ..tenants(&[0.0, 1_000.0])
    };
    let mut rig = Rig::with(quotas, vec![entry("r1", false)]);
    assert_eq!(answered(&mut rig, A, 0..4, MS).sent, 4);
    rig.batch(vec![
        Event::RequestArrived(of(A, 100, ANY)),
        Event::RequestArrived(of(B, 101, ANY)),
    ]);
    assert!(
        rig.sent(101).is_some() && rig.refused(100),
        "{:?}",
        rig.actions
    );
}

#[test]
fn of_a_tenant_beyond_its_share_what_is_within_keeps_its_place() {
    // A quarter of what A sends is within its share, whatever it sends besides: it finds room where nothing else of A does.
    let mut rig = Rig::new(tenants(&[25.0, 75.0]));
    answered(&mut rig, A, 0..1_000, 10 * MS);
    held(&mut rig, B, 1_000..1_016, 0);
    let crowded = held(&mut rig, A, 2_000..2_020, 10 * MS);
    assert!(crowded.sent >= 2 && crowded.refused >= 10, "{crowded:?}");
}

#[test]
fn who_uses_its_share_is_within_it_where_a_router_sees_several_times_the_mean() {
    // A tenth of 10 a second is 1 a second; this router gets five times as much of each of four.
    let mut rig = Rig::new(Settings {
        router_count: 10,
        ..tenants(&[10.0; 4])
    });
    for turn in 0..200 {
        for tenant in 0..4 {
            let id = turn * 4 + tenant as RequestId;
            rig.now += 50 * MS;
            assert!(
                rig.request(of(tenant, id, ANY)).is_some(),
                "{id}: {:?}",
                rig.actions
            );
            // Always enough are out for one that is over to be refused: three at each of two replicas, whose limits
            // stop growing at 8.
            if let Some(done) = id.checked_sub(6) {
                rig.ends(done, 0, AttemptEnd::Success, says(Role::Replica, rig.now));
            }
        }
    }
}

/// One of 300 routers before two replicas that hold so many requests of others: a wait of 0.45 of the aim at 4 cores
/// that are not crowded, more by as much as they are.
fn thin(quotas: &[f64], held: u32) -> Rig {
    let settings = Settings {
        router_count: 300,
        reports: ReportSource::HealthChecks,
        health_checks_allowed: true,
        ..tenants(quotas)
    };
    let mut rig = Rig::with(settings, vec![entry("r1", false), entry("r2", false)]);
    for node in ["r1", "r2"] {
        let report = NodeReport {
            in_flight: Some(held),
            ..says(Role::Replica, T0)
        };
        rig.event(Event::HealthChecked {
            node: node.into(),
            answered: true,
            load_report: report,
        });
    }
    rig
}

#[test]
fn a_new_process_judges_nobody_by_its_first_requests() {
    // Nodes are so crowded that one that is over would be refused. A's part of five is two and a half.
    let mut rig = thin(&[0.5, 0.5], 6);
    let first = answered(&mut rig, A, 0..5, MS);
    assert_eq!(
        first,
        Fates {
            sent: 5,
            ..Fates::default()
        }
    );
}

#[test]
fn unknown_tenants_and_none_have_no_share_to_be_over() {
    for who in [None, Some(UNKNOWN)] {
        let mut rig = Rig::new(tenants(&[1.0, 1.0]));
        let fates = held(&mut rig, who, 0..60, 100);
        assert_eq!(fates.refused, 0, "{who:?}: {fates:?}");
        assert!(fates.sent >= 48, "{who:?}: {fates:?}");
    }
    for who in [None, Some(A), Some(UNKNOWN)] {
        let mut rig = Rig::new(tenants(&[]));
        let fates = held(&mut rig, who, 0..60, 100);
        assert!(fates.refused == 0 && fates.sent >= 48, "{who:?}: {fates:?}");
    }
}

#[test]
fn one_tenant_alone_stands_in_nobodys_way() {
    let mut rig = Rig::new(tenants(&[1.0]));
    let fates = held(&mut rig, A, 0..60, 100);
    assert!(fates.refused == 0 && fates.sent >= 48, "{fates:?}");
}

#[test]
fn of_a_quota_of_nothing_all_is_over_and_without_one_nothing() {
    let mut rig = Rig::new(tenants(&[0.0, f64::INFINITY]));
    let nothing = held(&mut rig, A, 0..60, 100);
    assert!(nothing.refused > 20, "{nothing:?}");
    let unbounded = held(&mut rig, B, 100..120, 100);
    assert_eq!(unbounded.refused, 0, "{unbounded:?}");
    // None has agreed on anything: all are alike.
    let mut rig = Rig::new(tenants(&[f64::INFINITY, f64::INFINITY]));
    let fates = held(&mut rig, A, 0..60, 100);
    assert!(fates.refused == 0 && fates.sent >= 48, "{fates:?}");
}

#[test]
fn what_others_leave_is_lent() {
    // A hundred times its share, each answered in time: there is room, so all is served.
    let mut rig = Rig::new(tenants(&[1.0, 1.0]));
    assert_eq!(
        answered(&mut rig, A, 0..1_000, 10 * MS),
        Fates {
            sent: 1_000,
            ..Fates::default()
        }
    );
}

#[test]
fn what_was_lent_is_given_back_and_forgotten() {
    let mut rig = Rig::new(tenants(&[1.0, 9.0]));
    answered(&mut rig, A, 0..1_000, 10 * MS);
    // B comes back: it finds room at once, though A goes on.
    held(&mut rig, A, 1_000..1_100, 100);
    assert_eq!(
        held(&mut rig, B, 2_000..2_010, 100),
        Fates {
            sent: 10,
            ..Fates::default()
        }
    );
    // After a while in which A asked for nothing it is within its share again: where B leaves little room, too.
    for id in 0..2_010 {
        rig.event(Event::ClientGone { request: id });
        let (ending, said) = (AttemptEnd::Cancelled, NodeReport::default());
        let elapsed = MS;
        rig.event(Event::AttemptEnded {
            request: id,
            attempt: 0,
            end: ending,
            elapsed,
            request_over: true,
            answer_report: said,
            load_report: said,
        });
    }
    rig.later(15_000 * MS);
    held(&mut rig, B, 3_000..3_016, 0);
    assert_eq!(
        held(&mut rig, A, 4_000..4_008, 100),
        Fates {
            sent: 8,
            ..Fates::default()
        }
    );
}

#[test]
fn where_over_share_worth_is_one_shares_change_nothing() {
    let play = |settings: Settings| {
        let mut rig = Rig::new(settings);
        let mut said = Vec::new();
        for id in 0..400 {
            rig.now += 3 * MS;
            let class = [ANY, SESSION, KEYED, UNSAFE][id as usize % 4];
            said.extend(
                rig.event(Event::RequestArrived(of(
                    if id % 9 == 0 { B } else { A },
                    id,
                    class,
                )))
                .clone(),
            );
            if let Some(done) = id.checked_sub(40).filter(|done| done % 2 == 0) {
                said.extend(
                    rig.ends(done, 0, AttemptEnd::Success, NodeReport::default())
                        .clone(),
                );
            }
        }
        said
    };
    let shares = Settings {
        over_quota_weight: 1.0,
        ..tenants(&[1.0, 1.0])
    };
    let without = Settings {
        tenants: Vec::new(),
        ..shares.clone()
    };
    assert_eq!(play(shares), play(without));
    assert_ne!(
        play(tenants(&[1.0, 1.0])),
        play(Settings {
            tenants: Vec::new(),
            ..tenants(&[])
        })
    );
}

#[test]
fn who_may_have_run_is_not_refused_for_its_share() {
    let mut rig = Rig::new(tenants(&[0.0, 10.0]));
    // Known to be over, with little out, so that it is sent; its connection breaks once it may have run.
    held(&mut rig, A, 0..4, 100);
    let id = 50;
    assert_eq!(rig.request(of(A, id, KEYED)).as_deref(), Some("p"));
    // Meanwhile the primary fills to over half with writes of B.
    for other in 100..114 {
        rig.request(of(B, other, KEYED));
    }
    rig.event(Event::AttemptEnded {
        request: id,
        attempt: 0,
        end: AttemptEnd::Failure,
        elapsed: MS,
        request_over: false,
        answer_report: NodeReport::default(),
        load_report: NodeReport::default(),
    });
    assert!(!rig.refused(id) && !rig.failed(id), "{:?}", rig.actions);
    assert_eq!(
        rig.sent(id).as_deref(),
        Some("p"),
        "its window is open: it goes again"
    );
}

#[test]
fn hundreds_of_routers_refuse_what_is_over_for_a_shorter_queue() {
    // A wait that is still in time for what is within is too long for the rest.
    for (held, over_goes, within_goes) in [(0, true, true), (6, false, true), (200, false, false)] {
        let mut rig = thin(&[0.0, 100.0], 0);
        answered(&mut rig, A, 0..3, MS);
        for node in ["r1", "r2"] {
            let report = NodeReport {
                in_flight: Some(held),
                ..says(Role::Replica, T0)
            };
            rig.event(Event::HealthChecked {
                node: node.into(),
                answered: true,
                load_report: report,
            });
        }
        assert_eq!(
            rig.request(of(A, 100, ANY)).is_some(),
            over_goes,
            "over, {held} held"
        );
        assert_eq!(
            rig.request(of(B, 101, ANY)).is_some(),
            within_goes,
            "within, {held} held"
        );
    }
}
