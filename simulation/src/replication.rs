//! A replication group: one log, a primary that writes it, and replicas that each apply it with one thread.

use plovercove::Time;

/// The replication progress of a member.
#[derive(Clone, Debug, Default)]
pub struct Replica {
    /// Number of applied commits.
    applied: usize,
    /// The apply thread is busy until this time.
    free_at: Time,
    /// The apply thread pauses until this time because of a long read.
    blocked: Time,
    /// Log records after this time do not reach the member, since it is down or disconnected.
    severed: Option<Time>,
    /// The highest position that it has reported.
    told: Time,
}

/// A group's log and its members, which the caller identifies by number.
#[derive(Clone, Debug)]
pub struct Group {
    log: Vec<Time>,
    members: Vec<Replica>,
    primary: Option<usize>,
    /// The time at which the last primary was lost. Positions do not grow beyond it until the next election.
    ended: Option<Time>,
    ship: Time,
    apply: Time,
}

impl Group {
    /// Creates a group. A log record reaches a replica after `ship` us, and applying it takes `apply` us.
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

    /// Returns the member that accepts writes.
    pub fn primary(&self) -> Option<usize> {
        self.primary
    }

    /// Appends a commit to the log.
    pub fn commit(&mut self, now: Time) {
        let last = self.log.last().copied().unwrap_or(0);
        self.log.push(now.max(last));
    }

    /// Returns the time of the last commit at or before this time.
    pub fn last_commit_until(&self, at: Time) -> Option<Time> {
        let after = self.log.partition_point(|t| *t <= at);
        after.checked_sub(1).map(|n| self.log[n])
    }

    /// Applies the log records that a replica has finished by this time.
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

    /// Returns a member's position: the time up to which it has applied every commit. Positions never decrease.
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

    /// Pauses a replica's apply thread until this time, as a long read does.
    pub fn pause_apply(&mut self, member: usize, now: Time, until: Time) {
        self.advance(member, now);
        let replica = &mut self.members[member];
        replica.blocked = replica.blocked.max(until);
    }

    /// Disconnects a member from the log.
    pub fn disconnect(&mut self, member: usize, now: Time) {
        self.advance(member, now);
        self.members[member].severed.get_or_insert(now);
    }

    /// Reconnects a member. Its apply thread continues after the last applied commit.
    pub fn reconnect(&mut self, member: usize, now: Time) {
        self.advance(member, now);
        let replica = &mut self.members[member];
        if replica.severed.take().is_some() {
            replica.free_at = replica.free_at.max(now);
        }
    }

    /// Removes the primary. There are no commits until the next election.
    pub fn lose_primary(&mut self, now: Time) {
        if let Some(old) = self.primary.take() {
            self.ended = Some(now);
            // The primary has applied its whole log.
            self.members[old].applied = self.log.len();
            self.members[old].told = self.members[old].told.max(now);
        }
    }

    /// Elects the member with the longest log among `able`. Commits that none of these members received are lost.
    pub fn elect(&mut self, able: &[usize], now: Time) -> Option<usize> {
        if self.primary.is_some() {
            return self.primary;
        }
        for member in able {
            // A member applies all received log records before it can become primary.
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
