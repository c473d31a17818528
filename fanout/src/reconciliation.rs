//! Reconciliation of the lists of all gateways: changes are sent at once, and comparisons by digests of ranges find the
//! remaining differences.
//!
//! No state of a comparison is kept between two messages. A gateway that dies during a comparison leaves nothing to
//! clean up: the next comparison finds the remaining differences.

use crate::gateway::Gateway;
use crate::outbox::{Lane, jittered};
use crate::table::{self, CHILDREN_PER_RANGE, MergeOutcome, Name, RANGE_LEVELS};
use crate::wire::{Entry, EntryDigest, Message, Recipient, State, ZoneDigest};
use crate::{Guard, Rules};
use plovercove::{Micros, Time};
use plovercove_fencing::Token;
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Maximum number of zones in one message of digests. With the longest names they fit a body.
const MAX_ZONES_PER_MESSAGE: usize = 8;
/// Maximum number of entries listed of a leaf. They fit a body.
const MAX_LEAF_ENTRIES: usize = 100;

/// The gateway of another zone.
#[derive(Debug)]
pub(crate) struct OtherGateway {
    pub address: SocketAddr,
    compare_at: Time,
    /// When each of its copies was last confirmed by that zone's gateway, by this gateway's clock.
    copies_confirmed_at: BTreeMap<Name, Time>,
}

/// The gateways of the other zones, and the gateway of this zone if it is another router.
#[derive(Debug, Default)]
pub(crate) struct OtherGateways {
    by_zone: BTreeMap<Name, OtherGateway>,
    /// The current gateway of this zone, if it is another router.
    successor: Option<SocketAddr>,
    /// Entries that subscribers declared here before this gateway lost its lease; they are proposed to the successor.
    proposed: Vec<Entry>,
    /// Zone and token of the lost lease, under which the proposals are sent.
    pub former_lease: Option<(Name, Token)>,
    round: u32,
}

impl OtherGateways {
    /// Schedules a comparison with each gateway within `answer_ms`.
    pub fn schedule_comparisons(&mut self, now: Time, rng: &mut Pcg64Mcg, rules: &Rules) {
        for other in self.by_zone.values_mut() {
            other.compare_at = now + jittered(rng, crate::us_from_ms(rules.answer_ms));
        }
    }

    /// Returns when the next comparison is due.
    pub fn next_turn(&self) -> Time {
        self.by_zone
            .values()
            .map(|other| other.compare_at)
            .min()
            .unwrap_or(Time::MAX)
    }
}

/// Returns one half of a digest. The halves alternate between rounds, so that a collision in one half hides a
/// difference for one round only.
fn digest_half(digest: u64, round: u32) -> u32 {
    if round.is_multiple_of(2) {
        digest as u32
    } else {
        (digest >> 32) as u32
    }
}

impl Gateway {
    /// Sets the gateways of all zones as the leases have them now. The gateway of this zone is noted if it is another
    /// router.
    pub fn set_gateways(&mut self, now: Time, list: &[(String, SocketAddr, Token)]) {
        self.now = self.now.max(now);
        let mut seen = Vec::new();
        for (zone, address, token) in list {
            let Ok(lease) = crate::gateway::gateway_lease(zone) else {
                continue;
            };
            if self.check_fence(&lease, *token).is_err() {
                continue;
            }
            if **zone == *self.zone {
                self.note_successor(now, *address, *token);
                continue;
            }
            let zone: Name = zone.as_str().into();
            seen.push(zone.clone());
            let compare_at = now + jittered(&mut self.rng, crate::us_from_ms(self.rules.answer_ms));
            let fresh = OtherGateway {
                address: *address,
                compare_at,
                copies_confirmed_at: BTreeMap::new(),
            };
            let other = self.others.by_zone.entry(zone).or_insert(fresh);
            if other.address != *address {
                *other = OtherGateway {
                    address: *address,
                    compare_at,
                    copies_confirmed_at: BTreeMap::new(),
                };
            }
        }
        self.others.by_zone.retain(|zone, _| seen.contains(zone));
        self.send_due(now);
    }

    /// Notes that this zone's gateway is at this address and has this token.
    fn note_successor(&mut self, now: Time, address: SocketAddr, token: Token) {
        if address != self.address {
            self.others.successor = Some(address);
            if self.token.is_some_and(|mine| mine < token) && self.rules.is_enabled(Guard::Fence) {
                self.lose_lease(now);
            }
            self.propose_to_successor();
        }
    }

    /// Keeps the entries that subscribers declared here, to propose them to the new lease holder, which may know newer
    /// ones.
    pub(crate) fn prepare_proposals(&mut self, _now: Time, entries: Vec<Entry>) {
        self.others.former_lease = self.token.map(|token| (self.zone.clone(), token));
        self.others.proposed = entries;
    }

    pub(crate) fn propose_to_successor(&mut self) {
        if self.token.is_some() {
            return;
        }
        let Some(to) = self.others.successor else {
            return;
        };
        for entry in std::mem::take(&mut self.others.proposed) {
            self.outbox.enqueue(
                Lane::Control,
                to,
                Recipient::Gateway,
                &Message::ProposedEntry(entry),
            );
        }
    }

    /// Sends the entries that changed here to the other gateways at once.
    pub(crate) fn broadcast_changes(&mut self) {
        let changed = std::mem::take(&mut self.table.changed);
        if self.token.is_none() || changed.is_empty() {
            return;
        }
        let to: Vec<SocketAddr> = self
            .others
            .by_zone
            .values()
            .map(|other| other.address)
            .collect();
        for key in changed {
            let Some(entry) = self.table.stored(key).map(|stored| stored.entry.clone()) else {
                continue;
            };
            for to in &to {
                self.outbox.enqueue(
                    Lane::Lists,
                    *to,
                    Recipient::Gateway,
                    &Message::Entry(entry.clone()),
                );
            }
        }
    }

    /// Starts the comparisons that are due. Of two gateways the one whose zone name sorts first starts, unless
    /// differences found by the last comparison still wait to be sent.
    pub(crate) fn start_due_comparisons(&mut self, now: Time) {
        let due: Vec<(Name, SocketAddr)> = self
            .others
            .by_zone
            .iter()
            .filter(|(_, other)| other.compare_at <= now)
            .map(|(zone, other)| (zone.clone(), other.address))
            .collect();
        for (zone, to) in due {
            let interval = jittered(&mut self.rng, crate::us_from_ms(self.rules.compare_ms));
            if let Some(other) = self.others.by_zone.get_mut(&zone) {
                other.compare_at = now + interval;
            }
            let is_sending = self.outbox.has_waiting(Lane::Lists, to);
            if self.zone > zone || is_sending || !self.rules.is_enabled(Guard::Repair) {
                continue;
            }
            self.others.round = self.others.round.wrapping_add(1);
            let round = self.others.round;
            let mut names: Vec<Name> = self.table.zones().cloned().collect();
            names.extend(self.others.by_zone.keys().cloned());
            names.push(self.zone.clone());
            names.sort();
            names.dedup();
            for names in names.chunks(MAX_ZONES_PER_MESSAGE) {
                let zones = names
                    .iter()
                    .map(|zone| self.zone_digest(now, zone))
                    .collect();
                self.outbox.enqueue(
                    Lane::Lists,
                    to,
                    Recipient::Gateway,
                    &Message::Digests { round, zones },
                );
            }
        }
    }

    /// Returns the digest of this gateway's list of a zone, and the time since that zone's gateway confirmed it.
    fn zone_digest(&self, now: Time, zone: &Name) -> ZoneDigest {
        let age = now.saturating_sub(self.table.confirmed_at(now, zone));
        ZoneDigest {
            zone: zone.clone(),
            digest: self.table.range_digest(zone, 0, 0),
            age,
        }
    }

    /// Takes the entries that a former gateway of this zone proposes, unless newer ones are known.
    pub(crate) fn apply_proposals(&mut self, now: Time, messages: Vec<Message>) {
        for message in messages {
            let Message::ProposedEntry(entry) = message else {
                continue;
            };
            // The expiry is an assumption of the former gateway, not a declaration of the subscriber.
            if entry.state == State::Expired
                || entry.subscriber.zone != self.zone
                || self.token.is_none()
            {
                continue;
            }
            if self.table.merge(now, &entry) == MergeOutcome::Applied {
                self.counts.requests += 1;
                self.table.mark_changed(&entry);
            }
        }
    }

    /// Handles messages from another gateway whose token the fence has accepted.
    pub(crate) fn handle_gateway_messages(
        &mut self,
        now: Time,
        from: SocketAddr,
        zone: &Name,
        messages: Vec<Message>,
        extra_delay: Micros,
    ) {
        for message in messages {
            match message {
                Message::Rejected { lease, token } if lease == self.lease => {
                    let is_replaced = self.token.is_some_and(|mine| mine < token);
                    if is_replaced
                        && self.check_fence(&lease, token).is_ok()
                        && self.rules.is_enabled(Guard::Fence)
                    {
                        self.lose_lease(now);
                        self.others.successor = Some(from)
                            .filter(|_| *zone == self.zone)
                            .or(self.others.successor);
                        self.propose_to_successor();
                    }
                }
                Message::Rejected { lease, token } => {
                    let _ = self.check_fence(&lease, token);
                }
                Message::ProposedEntry(_) => self.apply_proposals(now, vec![message]),
                _ if self.token.is_none() || *zone == self.zone => (),
                Message::Digests { round, zones } => {
                    self.handle_digests(now, from, zone, round, &zones, extra_delay)
                }
                Message::DigestReply { zones } => {
                    self.record_copy_ages(now, zone, &zones, extra_delay);
                    for zone in zones {
                        let age = zone.age.saturating_add(extra_delay);
                        self.confirm_if_equal(now, &zone.zone, zone.digest, age);
                    }
                }
                Message::RangeDigests {
                    zone,
                    round,
                    level,
                    index,
                    digests,
                } => {
                    self.handle_range_digests(from, &zone, round, level, index as usize, &digests);
                }
                Message::FetchRange { zone, level, index } => {
                    for entry in self
                        .table
                        .live_entries_in_range(&zone, level, index as usize)
                    {
                        self.outbox.enqueue(
                            Lane::Lists,
                            from,
                            Recipient::Gateway,
                            &Message::Entry(entry),
                        );
                    }
                }
                Message::LeafContents {
                    zone,
                    index,
                    entries,
                } => self.handle_leaf(from, &zone, index, &entries),
                Message::FetchEntries { index, keys } => {
                    let mut wanted = Vec::new();
                    for stored in self
                        .table
                        .entries_in_leaf(index as usize % table::LEAF_COUNT)
                    {
                        if keys.contains(&table::entry_digest(stored.key, &stored.entry).key) {
                            wanted.push(stored.entry.clone());
                        }
                    }
                    for entry in wanted {
                        self.outbox.enqueue(
                            Lane::Lists,
                            from,
                            Recipient::Gateway,
                            &Message::Entry(entry),
                        );
                    }
                }
                Message::Entry(entry) => self.handle_entry(now, from, zone, &entry),
                _ => (),
            }
        }
    }

    /// Records how old another gateway's copies are.
    fn record_copy_ages(
        &mut self,
        now: Time,
        from: &Name,
        zones: &[ZoneDigest],
        extra_delay: Micros,
    ) {
        if let Some(other) = self.others.by_zone.get_mut(from) {
            for ZoneDigest { zone, age, .. } in zones.iter().take(MAX_ZONES_PER_MESSAGE) {
                if other.copies_confirmed_at.len() < 8 * MAX_ZONES_PER_MESSAGE
                    || other.copies_confirmed_at.contains_key(zone)
                {
                    other.copies_confirmed_at.insert(
                        zone.clone(),
                        now.saturating_sub(age.saturating_add(extra_delay)),
                    );
                }
            }
        }
    }

    /// Returns whether the local list of a zone has this digest. If it has, the local copy is at least as fresh as the
    /// other one.
    fn confirm_if_equal(&mut self, now: Time, zone: &Name, digest: u64, age: Micros) -> bool {
        let is_equal = self.table.range_digest(zone, 0, 0) == digest;
        if is_equal && *zone != self.zone {
            self.table.confirm_copy(zone, now.saturating_sub(age));
        }
        is_equal
    }

    fn handle_digests(
        &mut self,
        now: Time,
        from: SocketAddr,
        other: &Name,
        round: u32,
        zones: &[ZoneDigest],
        extra_delay: Micros,
    ) {
        self.record_copy_ages(now, other, zones, extra_delay);
        let is_sending = self.outbox.has_waiting(Lane::Lists, from);
        let mut equal = Vec::new();
        let mut different: Vec<Name> = Vec::new();
        for ZoneDigest { zone, digest, age } in zones {
            if self.confirm_if_equal(now, zone, *digest, age.saturating_add(extra_delay)) {
                equal.push(self.zone_digest(now, zone));
            } else {
                different.push(zone.clone());
            }
        }
        // Zones that the other gateway did not list because it does not know them.
        let unlisted = self
            .table
            .zones()
            .filter(|z| !zones.iter().any(|listed| listed.zone == **z));
        different.extend(
            unlisted
                .filter(|z| {
                    !self.others.by_zone.contains_key(*z) && zones.len() < MAX_ZONES_PER_MESSAGE
                })
                .cloned(),
        );
        if !equal.is_empty() {
            self.outbox.enqueue(
                Lane::Lists,
                from,
                Recipient::Gateway,
                &Message::DigestReply { zones: equal },
            );
        }
        if is_sending || !self.rules.is_enabled(Guard::Repair) {
            return;
        }
        // The ages of the local copies have to arrive before their entries.
        let ages = different
            .iter()
            .map(|zone| self.zone_digest(now, zone))
            .collect::<Vec<_>>();
        for ages in ages.chunks(MAX_ZONES_PER_MESSAGE) {
            self.outbox.enqueue(
                Lane::Lists,
                from,
                Recipient::Gateway,
                &Message::DigestReply {
                    zones: ages.to_vec(),
                },
            );
        }
        for zone in different {
            self.send_range_digests(from, &zone, round, 0, 0);
        }
    }

    fn send_range_digests(
        &mut self,
        to: SocketAddr,
        zone: &Name,
        round: u32,
        level: u8,
        index: usize,
    ) {
        let child_digest = |child: usize| {
            digest_half(
                self.table
                    .range_digest(zone, level + 1, index * CHILDREN_PER_RANGE + child),
                round,
            )
        };
        let digests = std::array::from_fn(child_digest);
        let message = Message::RangeDigests {
            zone: zone.clone(),
            round,
            level,
            index: index as u16,
            digests,
        };
        self.outbox
            .enqueue(Lane::Lists, to, Recipient::Gateway, &message);
    }

    fn handle_range_digests(
        &mut self,
        from: SocketAddr,
        zone: &Name,
        round: u32,
        level: u8,
        index: usize,
        digests: &[u32; CHILDREN_PER_RANGE],
    ) {
        if level >= RANGE_LEVELS || index >= CHILDREN_PER_RANGE.pow(u32::from(level)) {
            return;
        }
        for (n, theirs) in digests.iter().enumerate() {
            let child = index * CHILDREN_PER_RANGE + n;
            let mine = self.table.range_digest(zone, level + 1, child);
            if digest_half(mine, round) == *theirs {
                continue;
            }
            if mine == 0 {
                let fetch = Message::FetchRange {
                    zone: zone.clone(),
                    level: level + 1,
                    index: child as u16,
                };
                self.outbox
                    .enqueue(Lane::Lists, from, Recipient::Gateway, &fetch);
            }
            // Of a subrange without live entries here, all entries have been requested: merging them finds those that have
            // ended here. Other subranges are compared further, down to their leaves.
            if level + 1 < RANGE_LEVELS {
                if mine != 0 {
                    self.send_range_digests(from, zone, round, level + 1, child);
                }
                continue;
            }
            if mine != 0 {
                let entries = self.table.entries_in_leaf(child).filter(|stored| {
                    stored.entry.state == State::Live && stored.entry.subscriber.zone == *zone
                });
                let entries = entries
                    .take(MAX_LEAF_ENTRIES)
                    .map(|stored| table::entry_digest(stored.key, &stored.entry))
                    .collect();
                let message = Message::LeafContents {
                    zone: zone.clone(),
                    index: child as u16,
                    entries,
                };
                self.outbox
                    .enqueue(Lane::Lists, from, Recipient::Gateway, &message);
            }
        }
    }

    fn handle_leaf(&mut self, from: SocketAddr, zone: &Name, index: u16, listed: &[EntryDigest]) {
        let (mut send, mut known) = (Vec::new(), Vec::new());
        for stored in self
            .table
            .entries_in_leaf(index as usize % table::LEAF_COUNT)
        {
            let digest = table::entry_digest(stored.key, &stored.entry);
            let theirs = listed.iter().find(|theirs| theirs.key == digest.key);
            let is_listable =
                stored.entry.state == State::Live && stored.entry.subscriber.zone == *zone;
            known.push(digest.key);
            match theirs {
                Some(theirs) if is_listable && theirs.content == digest.content => (),
                // The entry ended here, or is in another zone, or has another counter or address.
                Some(_) => send.push(stored.entry.clone()),
                None if is_listable => send.push(stored.entry.clone()),
                None => (),
            }
        }
        let keys: Vec<_> = listed
            .iter()
            .map(|entry| entry.key)
            .filter(|key| !known.contains(key))
            .collect();
        if !keys.is_empty() {
            self.outbox.enqueue(
                Lane::Lists,
                from,
                Recipient::Gateway,
                &Message::FetchEntries { index, keys },
            );
        }
        for entry in send {
            self.outbox.enqueue(
                Lane::Lists,
                from,
                Recipient::Gateway,
                &Message::Entry(entry),
            );
        }
    }

    fn handle_entry(&mut self, now: Time, from: SocketAddr, other: &Name, entry: &Entry) {
        let zone = &entry.subscriber.zone;
        // An entry from its own zone's gateway is fresh. An entry from a copy is as fresh as that gateway reported its
        // copy to be.
        let confirmed_at = if zone == other {
            Some(now)
        } else {
            self.others
                .by_zone
                .get(other)
                .and_then(|other| other.copies_confirmed_at.get(zone))
                .copied()
        };
        let oldest = now.saturating_sub(crate::us_from_ms(self.rules.forget_ms));
        let is_stale = entry.state == State::Live && confirmed_at.is_none_or(|at| at < oldest);
        if is_stale && self.rules.is_enabled(Guard::Away) {
            return;
        }
        match self.table.merge(now, entry) {
            MergeOutcome::Applied => {
                self.counts.taken += 1;
                if *zone != self.zone
                    && let Some(at) = confirmed_at
                {
                    self.table.limit_freshness(zone, at);
                }
            }
            MergeOutcome::Stale(newer) => {
                self.outbox.enqueue(
                    Lane::Lists,
                    from,
                    Recipient::Gateway,
                    &Message::Entry(newer),
                );
            }
            MergeOutcome::Contested(to, name) => self.request_declaration(now, to, name),
            MergeOutcome::Unchanged | MergeOutcome::Full => (),
        }
    }
}
