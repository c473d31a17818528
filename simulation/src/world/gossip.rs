//! Gossip between routers: the real gossip crate, with datagrams on simulated links that lose and delay them.

use super::{Event, START_TIME, World, us_from_s};
use crate::spec::{PeerSpec, SpecError};
use plovercove::{LocalityPolicy, Micros, NodeId, Time};
use plovercove_engine::Engine;
use plovercove_gossip::{Gossip, GossipEvent, Incarnation, Keys, Level, Observer};
use rand::RngExt;
use std::any::Any;
use std::net::{Ipv4Addr, SocketAddr};

/// Number of seed routers, which a router without known members contacts.
const SEED_ROUTERS: usize = 3;
/// Additional time (us) after the end of a node's fault and the maximum age of evidence in which an ejection of the node
/// does not count as wrong.
const EJECTION_GRACE_US: Micros = 2_000_000;

/// The gossip state of a router.
pub(super) struct GossipState {
    gossip: Gossip,
    /// When its next timer expires.
    due: Option<Time>,
}

/// Figures of the gossip, over all routers.
#[derive(Clone, Debug, Default, PartialEq, serde::Serialize)]
pub struct GossipStats {
    /// Numbers of sent datagrams and bytes.
    pub sent: (u64, u64),
    /// Number of lost datagrams.
    pub lost: u64,
    /// Number of times that a router ejected a node ...
    pub outs: u64,
    /// ... and how many of these nodes had no fault.
    pub wrong_outs: u64,
    /// Number of times that a router declared a running and reachable member down.
    pub false_downs: u64,
    /// Seconds from the start of a node's fault until all running routers have ejected this node, for the first such node.
    /// `None` if this did not happen.
    pub all_out: Option<f64>,
}

fn address(router: usize) -> SocketAddr {
    let n = router as u32;
    SocketAddr::from((
        Ipv4Addr::from(0x0a00_0000 + n / 250),
        7_000 + (n % 250) as u16,
    ))
}

fn router_of(address: SocketAddr) -> Option<usize> {
    let SocketAddr::V4(at) = address else {
        return None;
    };
    let row = u32::from(*at.ip()).checked_sub(0x0a00_0000)?;
    Some(row as usize * 250 + usize::from(at.port().checked_sub(7_000)?))
}

impl World<'_> {
    /// Starts a router's gossip.
    pub(super) fn start_gossip(
        &mut self,
        spec: &PeerSpec,
        router: usize,
        inner: Option<Box<dyn LocalityPolicy>>,
    ) -> Result<Box<dyn LocalityPolicy>, SpecError> {
        let mut rules = spec.rules.clone();
        rules.installation = "model".into();
        rules.routers = self.routers.len() as u32;
        rules.seeds = (0..self.routers.len().min(SEED_ROUTERS))
            .map(address)
            .collect();
        rules
            .check()
            .map_err(|e| SpecError(format!("peers.rules.{e}")))?;
        let keys = Keys::new("model", b"one key for all of them", None);
        let keys = keys.map_err(|e| SpecError(format!("peers: {e}")))?;
        let zone = self.spec.zones[self.routers[router].zone].name.clone();
        let me = Incarnation {
            address: address(router),
            boot: self.now,
            renewals: 0,
            name: format!("n{router}"),
            zone,
        };
        let observer = Observer::new(&rules, &self.settings[router], inner);
        let gossip = Gossip::new(
            rules,
            keys,
            me,
            self.now,
            self.seed ^ ((router as u64) << 12),
        );
        self.routers[router].gossip = Some(GossipState { gossip, due: None });
        Ok(Box::new(observer))
    }

    /// Handles an expired gossip timer.
    pub(super) fn gossip_due(&mut self, router: u32, epoch: u32) {
        let now = self.now;
        let r = &mut self.routers[router as usize];
        let (Some(state), Some(engine)) = (&mut r.gossip, &mut r.engine) else {
            return;
        };
        if r.epoch != epoch || state.due.is_none_or(|at| at > now) {
            return;
        }
        state.due = None;
        if let Some(observer) = observer(engine) {
            state.gossip.turn(now, observer);
        }
        self.flush_gossip(router);
    }

    /// Delivers a datagram.
    pub(super) fn datagram_arrived(&mut self, router: u32, epoch: u32, slot: u32) {
        let bytes = self.datagrams.remove(slot as usize);
        let now = self.now;
        let r = &mut self.routers[router as usize];
        let Some(state) = r
            .gossip
            .as_mut()
            .filter(|_| r.epoch == epoch && r.engine.is_some())
        else {
            return;
        };
        state.gossip.receive(now, &bytes);
        self.flush_gossip(router);
    }

    /// Sends a router's outgoing datagrams and records its gossip events.
    pub(super) fn flush_gossip(&mut self, router: u32) {
        let now = self.now;
        let r = &mut self.routers[router as usize];
        let epoch = r.epoch;
        let Some(state) = &mut r.gossip else { return };
        let outgoing = state.gossip.take_outgoing();
        let events: Vec<GossipEvent> = std::iter::from_fn(|| state.gossip.next_event()).collect();
        let next = state.gossip.next_deadline().max(now + 1);
        if next < Time::MAX && state.due.is_none_or(|at| next < at) {
            state.due = Some(next);
            self.schedule(next, Event::GossipDue { router, epoch });
        }
        let loss = self.spec.peers.as_ref().map_or(0.0, |p| p.loss);
        for (to, bytes) in outgoing {
            let Some(to) = router_of(to).filter(|n| *n < self.routers.len()) else {
                continue;
            };
            self.gossip_stats.sent.0 += 1;
            self.gossip_stats.sent.1 += bytes.len() as u64;
            let (a, b) = (self.routers[router as usize].zone, self.routers[to].zone);
            let cut = self.lost_to_router[a][b] > 0 || self.lost_to_node[a][b] > 0;
            if cut || self.gossip_rng.random::<f64>() < loss {
                self.gossip_stats.lost += 1;
                continue;
            }
            let wait = (self.mean_delays_us[a][b] * (0.85 + 0.4 * self.gossip_rng.random::<f64>()))
                as Micros;
            let (slot, epoch) = (self.datagrams.insert(bytes) as u32, self.routers[to].epoch);
            self.schedule(
                now + wait,
                Event::DatagramArrived {
                    router: to as u32,
                    epoch,
                    slot,
                },
            );
        }
        let mut changed = false;
        for event in events {
            changed |= matches!(event, GossipEvent::Verdict { .. });
            self.record_gossip_event(router, event);
        }
        if changed {
            if let Some(engine) = &mut self.routers[router as usize].engine {
                engine.wake();
            }
            self.drive_engine(router);
        }
    }

    fn record_gossip_event(&mut self, router: u32, event: GossipEvent) {
        let now = self.now;
        match event {
            GossipEvent::Verdict { node, verdict, .. } if verdict.level == Level::Ejected => {
                self.gossip_stats.outs += 1;
                let evidence = self
                    .spec
                    .peers
                    .as_ref()
                    .map_or(0, |p| p.rules.max_evidence_age());
                let number = self.node_by_id.get(&node).copied();
                let fault = number.and_then(|n| self.fault_periods[n as usize]);
                let excused = fault.is_some_and(|(_, until)| {
                    now <= until.saturating_add(evidence + EJECTION_GRACE_US)
                });
                self.gossip_stats.wrong_outs += u64::from(!excused);
                if let Some(n) = number.filter(|_| excused) {
                    self.record_ejection_by_all(n, &node);
                }
            }
            GossipEvent::MemberDown(member) => {
                let member_number = member
                    .name
                    .strip_prefix('n')
                    .and_then(|n| n.parse::<usize>().ok());
                let Some(member_number) = member_number.filter(|n| *n < self.routers.len()) else {
                    return;
                };
                let window = self
                    .spec
                    .peers
                    .as_ref()
                    .map_or(0, |p| p.rules.max_convergence_delay());
                let calm = |at: Option<Time>| at.is_none_or(|at| now > at + window);
                let (a, b) = (&self.routers[member_number], &self.routers[router as usize]);
                if calm(a.last_restart) && calm(b.last_restart) && calm(self.cut_at) {
                    self.gossip_stats.false_downs += 1;
                }
            }
            _ => {}
        }
    }

    /// Records the time since the start of a node's fault if all running routers have ejected the node.
    fn record_ejection_by_all(&mut self, number: u32, node: &NodeId) {
        if self.gossip_stats.all_out.is_some() {
            return;
        }
        let has_ejected = |engine: &mut Engine| {
            observer(engine).is_some_and(|observer| observer.level(node) == Level::Ejected)
        };
        if self
            .routers
            .iter_mut()
            .all(|r| r.engine.as_mut().is_none_or(has_ejected))
            && let Some((from, _)) = self.fault_periods[number as usize]
        {
            self.gossip_stats.all_out = Some((self.now - from) as f64 / 1e6);
        }
    }

    /// Records that nodes have a fault until this second.
    pub(super) fn set_fault_period(&mut self, nodes: &[u32], until: f64) {
        for node in nodes {
            self.fault_periods[*node as usize] = Some((self.now, START_TIME + us_from_s(until)));
        }
    }
}

/// Returns the gossip observer that wraps a router's locality policy.
fn observer(engine: &mut Engine) -> Option<&mut Observer> {
    engine
        .locality_policy()
        .map(|policy| policy as &mut dyn Any)
        .and_then(<dyn Any>::downcast_mut)
}
