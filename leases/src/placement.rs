//! Which router should hold which lease. All routers that see the same members compute the same placement, without a
//! message.

use crate::ballot::Holder;
use plovercove_fencing::LeaseName;
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;

/// A router that this router sees as a member.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Member {
    /// Its name.
    pub name: String,
    /// Its zone.
    pub zone: String,
    /// The address at which the other routers reach it.
    pub address: SocketAddr,
    /// Its incarnation, which rises with each restart.
    pub incarnation: u64,
}

impl Member {
    /// Returns the member's identity as voters know it.
    pub fn holder(&self) -> Holder {
        Holder {
            address: self.address,
            incarnation: self.incarnation,
        }
    }
}

/// A lease that some router has to hold.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct WantedLease {
    /// The lease.
    pub lease: LeaseName,
    /// The zone that its work is for, if it is for a single one.
    pub zone: Option<String>,
}

/// The placement gives a router up to this multiple of the mean number of leases per router, plus one.
const PLACEMENT_FACTOR: f64 = 1.25;
/// A router that holds more than this multiple of the mean number of leases per router, plus one, hands leases over.
const REBALANCE_FACTOR: f64 = 2.0;

/// The router that should hold each lease.
#[derive(Clone, Debug, Default)]
pub struct Placement {
    /// The preferred holder of each lease.
    preferred: BTreeMap<LeaseName, SocketAddr>,
    rebalance_threshold: usize,
    capacity: usize,
}

/// Hashes words to an evenly distributed number, the same at all routers, so that names chosen by people spread well.
///
/// The hashed words, such as `duty`, must not change: routers of different versions have to compute the same placement.
fn digest(words: &[&str]) -> u64 {
    let mut hasher = blake3::Hasher::new();
    for word in words {
        hasher.update(&(word.len() as u64).to_le_bytes());
        hasher.update(word.as_bytes());
    }
    let mut first = [0; 8];
    first.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
    u64::from_le_bytes(first)
}

/// Combines the digests of a lease and of a member.
///
/// A blake3 digest for each pair would cost 150,000 digests for each change of the members.
fn mix(lease_digest: u64, member_digest: u64) -> u64 {
    let mut x = lease_digest
        ^ member_digest
            .rotate_left(32)
            .wrapping_mul(0x9e37_79b9_7f4a_7c15);
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

/// Returns how well a member suits a lease: whether its zone matches first, then the rendezvous hash.
fn suitability(
    wanted: &WantedLease,
    lease_digest: u64,
    member: &Member,
    member_digest: u64,
) -> (bool, u64) {
    (
        wanted.zone.as_ref().is_none_or(|z| *z == member.zone),
        mix(lease_digest, member_digest),
    )
}

impl Placement {
    /// Places each wanted lease on the member that suits it best among those with capacity left.
    pub fn new(wanted: &[WantedLease], members: &[Member]) -> Self {
        let mean = wanted.len() as f64 / members.len().max(1) as f64;
        let limit = |factor: f64| (mean * factor).ceil() as usize + 1;
        let (capacity, rebalance_threshold) = (limit(PLACEMENT_FACTOR), limit(REBALANCE_FACTOR));
        let member_digests: Vec<u64> = members
            .iter()
            .map(|m| digest(&["member", &m.name]))
            .collect();
        let mut load = vec![0_usize; members.len()];
        let mut order: Vec<(u64, &WantedLease)> = wanted
            .iter()
            .map(|w| (digest(&["duty", w.lease.as_str()]), w))
            .collect();
        order.sort();
        // The leases of a zone go to the zone's own routers. In a zone of few routers, their capacity is computed from the
        // zone's leases and routers alone.
        let mut members_and_leases: HashMap<&str, (usize, usize)> = HashMap::new();
        for member in members {
            members_and_leases.entry(&member.zone).or_default().0 += 1;
        }
        for zone in wanted.iter().filter_map(|w| w.zone.as_deref()) {
            members_and_leases.entry(zone).or_default().1 += 1;
        }
        let zone_capacity = |zone: &str| {
            let (members, leases) = members_and_leases.get(zone).copied().unwrap_or_default();
            ((leases as f64 / members.max(1) as f64) * PLACEMENT_FACTOR).ceil() as usize + 1
        };
        let mut preferred = BTreeMap::new();
        for (lease_digest, wanted) in order {
            let best = (0..members.len())
                .filter(|n| {
                    let within_zone = wanted.zone.as_deref().map_or(0, |z| {
                        if z == members[*n].zone {
                            zone_capacity(z)
                        } else {
                            0
                        }
                    });
                    load[*n] < capacity.max(within_zone)
                })
                .max_by_key(|n| {
                    (
                        suitability(wanted, lease_digest, &members[*n], member_digests[*n]),
                        members[*n].address,
                    )
                });
            if let Some(best) = best {
                load[best] += 1;
                preferred.insert(wanted.lease.clone(), members[best].address);
            }
        }
        Placement {
            preferred,
            rebalance_threshold,
            capacity,
        }
    }

    /// Returns the router that should hold a lease.
    pub fn preferred_holder(&self, lease: &LeaseName) -> Option<SocketAddr> {
        self.preferred.get(lease).copied()
    }

    /// Returns the number of leases above which a router hands some over.
    pub fn rebalance_threshold(&self) -> usize {
        self.rebalance_threshold
    }

    /// Returns the number of leases up to which leases are placed on one router.
    pub fn capacity(&self) -> usize {
        self.capacity
    }

    /// Returns all members in the order in which they should hold a lease.
    pub fn ranked_members<'a>(
        &self,
        wanted: &WantedLease,
        members: &'a [Member],
    ) -> Vec<&'a Member> {
        let lease_digest = digest(&["duty", wanted.lease.as_str()]);
        let mut order: Vec<_> = members
            .iter()
            .map(|m| {
                let is_preferred = self.preferred_holder(&wanted.lease) == Some(m.address);
                let (in_zone, hash) =
                    suitability(wanted, lease_digest, m, digest(&["member", &m.name]));
                ((is_preferred, in_zone, hash, m.address), m)
            })
            .collect();
        order.sort_by_key(|(key, _)| std::cmp::Reverse(*key));
        order.into_iter().map(|(_, m)| m).collect()
    }

    /// Returns, for each lease, the number of members that should hold it rather than `me`.
    pub(crate) fn ranks(
        &self,
        wanted: &[WantedLease],
        members: &[Member],
        me: &Member,
    ) -> Vec<usize> {
        let member_digests: Vec<u64> = members
            .iter()
            .map(|m| digest(&["member", &m.name]))
            .collect();
        let own_digest = digest(&["member", &me.name]);
        let rank = |w: &WantedLease| {
            let lease_digest = digest(&["duty", w.lease.as_str()]);
            let preferred = self.preferred_holder(&w.lease);
            let key = |m: &Member, member_digest: u64| {
                (
                    preferred == Some(m.address),
                    suitability(w, lease_digest, m, member_digest),
                    m.address,
                )
            };
            let own = key(me, own_digest);
            members
                .iter()
                .zip(&member_digests)
                .filter(|(m, member_digest)| key(m, **member_digest) > own)
                .count()
        };
        wanted.iter().map(rank).collect()
    }
}
