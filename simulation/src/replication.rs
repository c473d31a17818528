//! A replication group: one log, a primary that writes it, replicas that apply it with one thread each.

use plovercove::Time;

/// One replica's progress.
#[derive(Clone, Debug, Default)]
pub struct Replica {
    /// Commits applied.
    applied: usize,
    /// The applying thread is busy until then.
    free_at: Time,
    /// Nothing is applied before then: a long read holds the replica.
    blocked: Time,
    /// It gets no log written later than this: its process is down or it is cut off.
    severed: Option<Time>,
    /// The newest position that it ever told.
    told: Time,
}

/// A group's log. Members are numbered by the caller.
#[derive(Clone, Debug)]
pub struct Group {
    log: Vec<Time>,
    members: Vec<Replica>,
    primary: Option<usize>,
    /// Since the last primary was lost, positions stand still here.
    ended: Option<Time>,
    ship: Time,
    apply: Time,
}

impl Group {
    /// A group of so many members, the first its primary. The log takes `ship` us to a replica; a commit, `apply`.
    pub fn new(members: usize, primary: usize, ship: Time, apply: Time) -> Self {
        let members = vec![Replica::default(); members];
        Group {
            log: Vec::new(),
            members,
            primary: Some(primary),
            ended: None,
            ship,
            apply: apply.max(1),
        }
    }

    /// The member that takes writes.
    pub fn primary(&self) -> Option<usize> {
        self.primary
    }

    /// A write is committed now.
    pub fn commit(&mut self, now: Time) {
        let last = self.log.last().copied().unwrap_or(0);
        self.log.push(now.max(last));
    }

    /// The newest commit no later than this.
    pub fn last_commit_until(&self, at: Time) -> Option<Time> {
        let after = self.log.partition_point(|t| *t <= at);
        after.checked_sub(1).map(|n| self.log[n])
    }

    /// Brings a replica's progress up to a moment.
    fn advance(&mut self, member: usize, now: Time) {
        let replica = &mut self.members[member];
        while let Some(commit) = self.log.get(replica.applied) {
            if replica.severed.is_some_and(|at| *commit > at) {
                break;
            }
            let start = (commit + self.ship)
                .max(replica.free_at)
                .max(replica.blocked);
            if start + self.apply > now {
                break;
            }
            replica.free_at = start + self.apply;
            replica.applied += 1;
        }
    }

    /// The moment up to which a member has applied every commit. It never goes back.
    pub fn position(&mut self, member: usize, now: Time) -> Time {
        if self.primary == Some(member) {
            return now;
        }
        self.advance(member, now);
        let newest = now.min(self.ended.unwrap_or(now)).saturating_sub(self.ship);
        let replica = &mut self.members[member];
        let newest = replica.severed.map_or(newest, |at| newest.min(at));
        let next = self
            .log
            .get(replica.applied)
            .map_or(Time::MAX, |commit| commit.saturating_sub(1));
        replica.told = replica.told.max(newest.min(next));
        replica.told
    }

    /// A long read holds a replica from now until then.
    pub fn pause_apply(&mut self, member: usize, now: Time, until: Time) {
        self.advance(member, now);
        let replica = &mut self.members[member];
        replica.blocked = replica.blocked.max(until);
    }

    /// A member gets no more of the log.
    pub fn disconnect(&mut self, member: usize, now: Time) {
        self.advance(member, now);
        self.members[member].severed.get_or_insert(now);
    }

    /// It does again. The thread goes on from where it stood.
    pub fn reconnect(&mut self, member: usize, now: Time) {
        self.advance(member, now);
        let replica = &mut self.members[member];
        if replica.severed.take().is_some() {
            replica.free_at = replica.free_at.max(now);
        }
    }

    /// The primary is lost: no more commits until another takes over.
    pub fn lose_primary(&mut self, now: Time) {
        if let Some(old) = self.primary.take() {
            self.ended = Some(now);
            // It had all of its own log.
            self.members[old].applied = self.log.len();
            self.members[old].told = self.members[old].told.max(now);
        }
    }

    /// The member among these that has most of the log takes over. What none of them has is lost with the old primary.
    pub fn elect(&mut self, able: &[usize], now: Time) -> Option<usize> {
        if self.primary.is_some() {
            return self.primary;
        }
        for member in able {
            // It applies what it has before it takes writes.
            let replica = &mut self.members[*member];
            let (ship, severed) = (self.ship, replica.severed);
            let has = self
                .log
                .partition_point(|t| t + ship <= now && severed.is_none_or(|at| *t <= at));
            replica.applied = replica.applied.max(has);
        }
        let winner = able
            .iter()
            .copied()
            .max_by_key(|m| (self.members[*m].applied, std::cmp::Reverse(*m)))?;
        self.log.truncate(self.members[winner].applied);
        let kept = self.log.len();
        self.members
            .iter_mut()
            .for_each(|r| r.applied = r.applied.min(kept));
        (self.primary, self.ended) = (Some(winner), None);
        Some(winner)
    }
}

#[cfg(test)]
mod tests;
