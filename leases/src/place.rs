//! Who should own what: found alike at all routers that see the same members, without a message.

use crate::ballot::Holder;
use plovercove_fencing::Duty;
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;

/// A router that is seen.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Member {
    /// Its name.
    pub name: String,
    /// Its zone.
    pub zone: String,
    /// Where its peers reach it.
    pub address: SocketAddr,
    /// Its life.
    pub boot: u64,
}

impl Member {
    /// Its life, as deciders know it.
    pub fn holder(&self) -> Holder {
        Holder {
            address: self.address,
            boot: self.boot,
        }
    }
}

/// Something that there is to do.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Wanted {
    /// What.
    pub duty: Duty,
    /// The zone that it is for, where it is for one.
    pub zone: Option<String>,
}

/// A router is placed no more than so many times the mean, and one more.
const ROOM: f64 = 1.25;
/// A router that owns more than so many times the mean, and one more, hands some over.
const SPREAD: f64 = 2.0;

/// Who should own what.
#[derive(Clone, Debug, Default)]
pub struct Placement {
    /// For each duty the one that should own it.
    first: BTreeMap<Duty, SocketAddr>,
    most: usize,
    room: usize,
}

/// An even number that all routers make alike: a digest, so that names chosen by people spread well.
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

/// Mixes the numbers of a duty and a member: a digest for each pair would cost 150,000 of them for each change.
fn mix(a: u64, b: u64) -> u64 {
    let mut x = a ^ b.rotate_left(32).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

/// How well a member suits: its zone first, then the rendezvous hash.
fn suits(wanted: &Wanted, number: u64, member: &Member, of: u64) -> (bool, u64) {
    (
        wanted.zone.as_ref().is_none_or(|z| *z == member.zone),
        mix(number, of),
    )
}

impl Placement {
    /// Places all that is wanted on all that are seen: each where it suits best among those that have room.
    pub fn new(wanted: &[Wanted], members: &[Member]) -> Self {
        let mean = wanted.len() as f64 / members.len().max(1) as f64;
        let limit = |share: f64| (mean * share).ceil() as usize + 1;
        let (room, most) = (limit(ROOM), limit(SPREAD));
        let numbers: Vec<u64> = members
            .iter()
            .map(|m| digest(&["member", &m.name]))
            .collect();
        let mut load = vec![0_usize; members.len()];
        let mut order: Vec<(u64, &Wanted)> = wanted
            .iter()
            .map(|w| (digest(&["duty", w.duty.name()]), w))
            .collect();
        order.sort();
        // A zone's own routers bear what is for the zone, so that room is counted within it where it is small.
        let mut zones: HashMap<&str, (usize, usize)> = HashMap::new();
        for member in members {
            zones.entry(&member.zone).or_default().0 += 1;
        }
        for zone in wanted.iter().filter_map(|w| w.zone.as_deref()) {
            zones.entry(zone).or_default().1 += 1;
        }
        let zone_room = |zone: &str| {
            let (members, duties) = zones.get(zone).copied().unwrap_or_default();
            ((duties as f64 / members.max(1) as f64) * ROOM).ceil() as usize + 1
        };
        let mut first = BTreeMap::new();
        for (number, wanted) in order {
            let best = (0..members.len())
                .filter(|n| {
                    let inside = wanted.zone.as_deref().map_or(0, |z| {
                        if z == members[*n].zone {
                            zone_room(z)
                        } else {
                            0
                        }
                    });
                    load[*n] < room.max(inside)
                })
                .max_by_key(|n| {
                    (
                        suits(wanted, number, &members[*n], numbers[*n]),
                        members[*n].address,
                    )
                });
            if let Some(best) = best {
                load[best] += 1;
                first.insert(wanted.duty.clone(), members[best].address);
            }
        }
        Placement { first, most, room }
    }

    /// Who should own it.
    pub fn first(&self, duty: &Duty) -> Option<SocketAddr> {
        self.first.get(duty).copied()
    }

    /// A router that owns more than this hands some over.
    pub fn most(&self) -> usize {
        self.most
    }

    /// A router that owns this many asks for others last.
    pub fn room(&self) -> usize {
        self.room
    }

    /// All members in the order in which they should own it.
    pub fn order<'a>(&self, wanted: &Wanted, members: &'a [Member]) -> Vec<&'a Member> {
        let number = digest(&["duty", wanted.duty.name()]);
        let mut order: Vec<_> = members
            .iter()
            .map(|m| {
                let first = self.first(&wanted.duty) == Some(m.address);
                let (zone, draw) = suits(wanted, number, m, digest(&["member", &m.name]));
                ((first, zone, draw, m.address), m)
            })
            .collect();
        order.sort_by_key(|(key, _)| std::cmp::Reverse(*key));
        order.into_iter().map(|(_, m)| m).collect()
    }

    /// How many should own each of these rather than this one.
    pub(crate) fn ranks(&self, wanted: &[Wanted], members: &[Member], me: &Member) -> Vec<usize> {
        let numbers: Vec<u64> = members
            .iter()
            .map(|m| digest(&["member", &m.name]))
            .collect();
        let mine = digest(&["member", &me.name]);
        let rank = |w: &Wanted| {
            let number = digest(&["duty", w.duty.name()]);
            let first = self.first(&w.duty);
            let of =
                |m: &Member, n: u64| (first == Some(m.address), suits(w, number, m, n), m.address);
            let own = of(me, mine);
            members
                .iter()
                .zip(&numbers)
                .filter(|(m, n)| of(m, **n) > own)
                .count()
        };
        wanted.iter().map(rank).collect()
    }
}
