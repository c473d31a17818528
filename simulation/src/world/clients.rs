//! The clients: their requests and retries, and the checks of the final answers.

use super::{Event, Request, SESSIONS_PER_GROUP, START_TIME, World, us_from_s};
use crate::rules::Rule;
use crate::spec::Reads;
use plovercove::{Micros, RequestInfo, Time};
use plovercove_engine::Key;
use rand::RngExt;
use rand_distr::{Distribution, Exp};

impl World<'_> {
    pub(super) fn schedule_arrival(&mut self, router: u32) {
        let second = self.now_s();
        let bursts = self
            .spec
            .clients
            .bursts
            .iter()
            .filter(|b| (b.0..b.1).contains(&second));
        let rate = self.routers[router as usize].rate
            * bursts.map(|b| b.2).product::<f64>()
            * self.spec.clients.tenant_rate_factor(second);
        if rate <= 0.0 {
            return;
        }
        let gap = Exp::new(rate).expect("positive").sample(&mut self.rng);
        if self.now + us_from_s(gap) < self.end {
            self.schedule(self.now + us_from_s(gap), Event::RequestArrived(router));
        }
    }

    pub(super) fn request_arrived(&mut self, router: u32) {
        self.schedule_arrival(router);
        let mut draw = self.rng.random::<f64>();
        let class = self.shares.iter().position(|share| {
            draw -= share;
            draw < 0.0
        });
        let class = class.unwrap_or(self.shares.len() - 1);
        let group = if self.group_draw_bounds.is_empty() {
            self.rng.random_range(0..self.groups.len())
        } else {
            let draw = self.rng.random::<f64>();
            self.group_draw_bounds
                .iter()
                .position(|up_to| draw < *up_to)
                .unwrap_or(self.groups.len() - 1)
        };
        let session = self.rng.random_range(0..SESSIONS_PER_GROUP) as u32;
        let tenant = self.draw_tenant();
        let follows = self.spec.classes[class].reads == Reads::Session
            && self.rng.random::<f64>() < self.spec.clients.follows_write;
        let need = follows.then(|| {
            let gap = Exp::new(1e3 / self.spec.clients.gap_ms)
                .expect("positive")
                .sample(&mut self.rng);
            self.groups[group]
                .0
                .last_commit_until(self.now.saturating_sub(us_from_s(gap)))
        });
        let worth = self.spec.classes[class].worth;
        let second = self.now_s();
        self.seconds[second as usize].asked += worth;
        self.totals.requests += 1;
        self.totals.asked += worth;
        if self.is_counted(second) {
            self.totals.classes[class].asked += 1;
            tenant
                .into_iter()
                .for_each(|t| self.totals.tenants[t].asked += 1);
        }
        if self
            .spec
            .window
            .is_some_and(|(from, to)| (from..to).contains(&second))
        {
            self.totals.window.0 += worth;
        }
        let request = self.requests.insert(Request {
            router,
            class: class as u32,
            tenant,
            group: group as u32,
            session,
            arrived_at: self.now,
            required_position: need.flatten(),
            tries: 0,
            answer_due: None,
            key: None,
            executions: 0,
            over: false,
            references: 0,
        });
        self.client_try(request as u32);
    }

    /// Returns whether a request of this second counts for its class and tenant. Without a window, all requests count.
    fn is_counted(&self, second: f64) -> bool {
        self.spec
            .window
            .is_none_or(|(from, to)| (from..to).contains(&second))
    }

    /// Draws the tenant of the next request. Without tenants, it draws no random number.
    fn draw_tenant(&mut self) -> Option<usize> {
        let (second, tenants) = (self.now_s(), &self.spec.clients.tenants);
        let all: f64 = tenants.iter().map(|t| t.weight_at(second)).sum();
        let mut draw = if tenants.is_empty() {
            return None;
        } else {
            self.rng.random::<f64>() * all
        };
        let found = tenants.iter().position(|t| {
            draw -= t.weight_at(second);
            draw < 0.0
        });
        Some(found.unwrap_or(tenants.len() - 1))
    }

    /// Sends a client's try to its router, or to another router if that one is down.
    pub(super) fn client_try(&mut self, id: u32) {
        let class = self.requests[id as usize].class as usize;
        let class_spec = &self.spec.classes[class];
        let patience = self.uniform((self.spec.clients.patience, 1.0));
        let deadline = class_spec.deadline_ms * 1_000;
        let r = &self.requests[id as usize];
        let left = ((deadline as f64 * patience) as Micros)
            .min((r.arrived_at + deadline).saturating_sub(self.now));
        let mut router = r.router;
        if self.routers[router as usize].engine.is_none() {
            let up: Vec<u32> = (0..self.routers.len() as u32)
                .filter(|n| self.routers[*n as usize].engine.is_some())
                .collect();
            if up.is_empty() || left < 20_000 {
                return self.give_up(id);
            }
            router = up[self.rng.random_range(0..up.len())];
        }
        if left < 20_000 {
            return self.give_up(id);
        }
        let r = &mut self.requests[id as usize];
        r.tries += 1;
        r.answer_due = Some(self.now + left);
        r.router = router;
        let reads = class_spec.reads;
        let keyed = matches!(reads, Reads::Session | Reads::Write);
        let info = RequestInfo {
            class,
            tenant: r.tenant,
            session: keyed.then(|| self.sessions[r.group as usize][r.session as usize]),
            time_left: left,
            group: u64::from(r.group) + 1,
            last_write_age: r.required_position.map(|at| self.now - at),
            ..RequestInfo::default()
        };
        let engine = self.routers[router as usize]
            .engine
            .as_mut()
            .expect("chosen among those that run");
        let key = engine.begin_request(Key::from_number(u64::from(id)), info);
        self.requests[id as usize].key = Some(key);
        self.drive_engine(router);
    }

    /// Handles a rejection, a failure or the loss of the router: the client retries or gives up. A write is retried only if
    /// it did not run.
    pub(super) fn retry_or_give_up(
        &mut self,
        id: u32,
        did_not_run: bool,
        retry_after: Option<Micros>,
    ) {
        let r = &self.requests[id as usize];
        let safe = did_not_run || self.spec.classes[r.class as usize].reads != Reads::Write;
        if !safe || r.tries > self.spec.clients.retries {
            return self.give_up(id);
        }
        let usual = self.spec.clients.backoff_ms * 1e3;
        let spread = self.uniform((0.5, 1.5));
        let follows = self.rng.random::<f64>() < self.spec.clients.follow;
        let wait = match retry_after {
            Some(retry_after) if follows => retry_after as f64,
            _ => usual * spread,
        };
        self.requests[id as usize].references += 1;
        self.schedule(self.now + wait as Time, Event::ClientRetry(id));
    }

    pub(super) fn give_up(&mut self, id: u32) {
        self.requests[id as usize].over = true;
        self.release_request(id);
    }

    /// Removes a request that is over and has no references. No other function removes requests.
    pub(super) fn release_request(&mut self, id: u32) {
        let r = &self.requests[id as usize];
        if r.over && r.references == 0 {
            self.requests.remove(id as usize);
        }
    }

    /// Checks that a final answer is the only one and in time. Returns false for a second answer.
    pub(super) fn take_final_answer(&mut self, id: u32, what: &'static str) -> bool {
        let second = self.now_s();
        let Some(r) = self.requests.get_mut(id as usize) else {
            self.breaches.add(Rule::SecondAnswer, second, || {
                format!("{what} for a request that is over")
            });
            return false;
        };
        let Some(due) = r.answer_due.take() else {
            self.breaches
                .add(Rule::SecondAnswer, second, || format!("{what} once more"));
            return false;
        };
        r.key = None;
        if self.now > due + 100_000 {
            let late = (self.now - due) / 1_000;
            self.breaches
                .add(Rule::NoAnswer, second, || format!("{what} {late} ms late"));
        }
        true
    }

    pub(super) fn request_served(&mut self, id: u32) {
        if !self.take_final_answer(id, "served") {
            return;
        }
        self.requests[id as usize].over = true;
        let r = &self.requests[id as usize];
        let class = &self.spec.classes[r.class as usize];
        let took = self.now - r.arrived_at;
        let born = (r.arrived_at - START_TIME) as f64 / 1e6;
        if took <= class.aim_ms * 1_000 && self.is_counted(born) {
            self.totals.classes[r.class as usize].in_time += 1;
            r.tenant
                .into_iter()
                .for_each(|t| self.totals.tenants[t].in_time += 1);
        }
        let worth = class.worth
            * if took <= class.aim_ms * 1_000 {
                1.0
            } else {
                class.late
            };
        let _ = self.latencies.record(took.max(1));
        self.totals.in_time += worth;
        self.seconds[born as usize].in_time += worth;
        if self
            .spec
            .window
            .is_some_and(|(from, to)| (from..to).contains(&born))
        {
            self.totals.window.1 += worth;
        }
        self.release_request(id);
    }
}
