//! Checks the record of a run for violations of the invariants. It uses only the logs of the processes and the counters
//! of the emulated nodes and links.

use super::runner::{ProcessExit, ProcessRun, RequestRecord, RunRecord, gossip_rules};
use super::{Scenario, What};
use plovercove_emulator::RequestOutcome;
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// Tolerance for the delay between an event and its log line, and between the time of a scheduled step and the step (s).
const TIME_TOLERANCE_S: f64 = 1.0;
/// Time within which the evidence against a faulty node has to be complete (s): two routers have to have sent it two
/// statements each. If there are two or more zones, these routers have to be in different zones.
const EVIDENCE_WINDOW_S: f64 = 3.0;
/// Number of statements that a router has to have sent to a faulty node before it reports the node.
const MIN_STATEMENTS_PER_OBSERVER: usize = 2;
/// Time after a restart or a SIGCONT in which the behavior of a router is not checked (s).
const RECOVERY_GRACE_S: f64 = 2.0;

/// A violation of an invariant.
#[derive(Clone, Debug, Serialize)]
pub struct Violation {
    /// Name of the check.
    pub check: &'static str,
    /// Time since the beginning of the run (s).
    pub at: f64,
    /// Process or node that is concerned.
    pub who: String,
    /// Description of the violation.
    pub what: String,
}

/// Figures of a run.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Figures {
    /// Number of requests.
    pub requests: usize,
    /// Number of requests that were served.
    pub served: usize,
    /// Time until all routers had found each other (s).
    pub joined: f64,
    /// Time from the end of the last fault until all routers agreed (s).
    pub agreed: f64,
    /// Datagrams per second of a router: mean, and maximum in any second.
    pub datagrams: (f64, u64),
    /// Bytes per second of a router: mean, and maximum in any second.
    pub bytes: (f64, u64),
    /// CPU use of a process, as a share of one core: mean and maximum.
    pub cpu: (f64, f64),
    /// Number of times that a router ejected a node.
    pub outs: usize,
}

struct Checker<'a> {
    scenario: &'a Scenario,
    record: &'a RunRecord,
    violations: Vec<Violation>,
}

fn text_field<'a>(fields: &'a serde_json::Value, key: &str) -> &'a str {
    fields[key].as_str().unwrap_or_default()
}

fn process_name(process: &ProcessRun) -> String {
    format!(
        "n{}{}",
        process.router,
        if process.is_twin { "-twin" } else { "" }
    )
}

/// Parses the name of a node. Returns its number, and whether the name is that of a later node at the same address.
fn parse_node_name(name: &str) -> Option<(usize, bool)> {
    let digits = name.strip_prefix('s')?;
    let (number, rest) = digits.split_at(digits.find('-').unwrap_or(digits.len()));
    Some((number.parse().ok()?, !rest.is_empty()))
}

/// Checks a run. Returns the violations in order of time, and the figures of the run.
pub fn check(scenario: &Scenario, record: &RunRecord) -> (Vec<Violation>, Figures) {
    let mut checker = Checker {
        scenario,
        record,
        violations: Vec::new(),
    };
    checker.check_answers();
    checker.check_writes();
    checker.check_drains();
    checker.check_exits();
    if scenario.peers.is_some() {
        checker.check_agreement();
        checker.check_down_reports();
        checker.check_ejections();
        checker.check_reactions();
        checker.check_budgets();
        checker.check_log_lines();
    }
    let mut violations = checker.violations;
    violations.sort_by(|a, b| a.at.total_cmp(&b.at));
    (violations, compute_figures(record))
}

fn compute_figures(record: &RunRecord) -> Figures {
    let total = |sent: &Vec<(u64, u64)>| {
        sent.iter()
            .fold((0, 0), |sum, s| (sum.0 + s.0, sum.1 + s.1))
    };
    let seconds: usize = record.traffic.sent.iter().map(Vec::len).sum();
    let sums = record
        .traffic
        .sent
        .iter()
        .map(total)
        .fold((0, 0), |sum, s| (sum.0 + s.0, sum.1 + s.1));
    let each = || record.traffic.sent.iter().flatten();
    let mean = |sum: u64| sum as f64 / seconds.max(1) as f64;
    let cpu_shares: Vec<f64> = record
        .processes
        .iter()
        .filter(|p| p.until - p.from > 3.0)
        .map(|p| p.cpu / (p.until - p.from))
        .collect();
    let count_ejections = |process: &ProcessRun| {
        process
            .log
            .iter()
            .filter(|l| {
                text_field(&l.fields, "reason") == "verdict"
                    && text_field(&l.fields, "level") == "out"
            })
            .count()
    };
    Figures {
        requests: record.requests.len(),
        served: record
            .requests
            .iter()
            .filter(|r| r.outcome == RequestOutcome::Served)
            .count(),
        joined: record.joined_after,
        agreed: record
            .agreed_at
            .map_or(f64::NAN, |at| at - record.faults_end),
        datagrams: (mean(sums.0), each().map(|s| s.0).max().unwrap_or(0)),
        bytes: (mean(sums.1), each().map(|s| s.1).max().unwrap_or(0)),
        cpu: (
            cpu_shares.iter().sum::<f64>() / cpu_shares.len().max(1) as f64,
            cpu_shares.iter().copied().fold(0.0, f64::max),
        ),
        outs: record.processes.iter().map(count_ejections).sum(),
    }
}

impl Checker<'_> {
    fn add(&mut self, check: &'static str, at: f64, who: String, what: String) {
        self.violations.push(Violation {
            check,
            at,
            who,
            what,
        });
    }

    /// Returns whether a fault was injected into a process of this router at some time in this interval.
    fn was_disrupted(&self, router: usize, from: f64, until: f64) -> bool {
        self.record.process_faults.iter().any(|f| {
            f.target == router
                && f.from - TIME_TOLERANCE_S <= until
                && f.until + TIME_TOLERANCE_S >= from
        })
    }

    /// Checks that each request gets one final answer, and not the answer to another request.
    fn check_answers(&mut self) {
        for RequestRecord {
            router,
            at,
            took,
            id,
            outcome,
            ..
        } in &self.record.requests
        {
            // A request to a process that is killed, stopped or terminating may remain unanswered.
            let is_excused = self.was_disrupted(*router, *at, at + took + RECOVERY_GRACE_S);
            match outcome {
                RequestOutcome::Foreign => self.add(
                    "answers",
                    *at,
                    format!("n{router}"),
                    format!("{id}: answered with the value of another request"),
                ),
                RequestOutcome::Unanswered if !is_excused => {
                    self.add(
                        "answers",
                        *at,
                        format!("n{router}"),
                        format!("{id}: no answer in {took:.2} s"),
                    );
                }
                _ => {}
            }
        }
    }

    /// Checks that no write runs twice, that a served write ran, and that a rejected write did not run.
    fn check_writes(&mut self) {
        for RequestRecord {
            router,
            at,
            id,
            outcome,
            ..
        } in self.record.requests.iter().filter(|r| r.is_write)
        {
            let ran = self.record.write_counts.get(id).copied().unwrap_or(0);
            let is_wrong = match outcome {
                _ if ran > 1 => true,
                RequestOutcome::Served => ran != 1,
                RequestOutcome::Refused => ran != 0,
                _ => false,
            };
            if is_wrong {
                self.add(
                    "writes",
                    *at,
                    format!("n{router}"),
                    format!("{id}: {outcome:?}, and ran {ran} times"),
                );
            }
        }
    }

    /// Checks that a draining node gets no new statements from routers that can know of the draining.
    fn check_drains(&mut self) {
        let overlaps = |a: &super::Fault, b: &super::Fault| {
            a.at - TIME_TOLERANCE_S <= b.until && b.at <= a.until + TIME_TOLERANCE_S
        };
        for fault in &self.scenario.faults {
            let What::Drain { nodes } = &fault.what else {
                continue;
            };
            let prevents_draining = |other: &super::Fault| {
                let what = &other.what;
                super::random_faults::is_process_fault(what)
                    || matches!(what, What::AgentSilent { .. } | What::Wires { .. })
            };
            if self
                .scenario
                .faults
                .iter()
                .any(|other| prevents_draining(other) && overlaps(fault, other))
            {
                continue;
            }
            for node in nodes {
                let number = parse_node_name(node).map_or(0, |n| n.0);
                let late_statements = self
                    .record
                    .statements_after_drain
                    .get(number)
                    .copied()
                    .unwrap_or(0);
                if late_statements > 0 {
                    self.add(
                        "drains",
                        fault.at,
                        node.clone(),
                        format!("{late_statements} statements after the drain grace"),
                    );
                }
            }
        }
    }

    /// Checks that processes exit after SIGTERM with code 0, and do not exit without a signal.
    fn check_exits(&mut self) {
        for process in &self.record.processes {
            let what = match process.exit {
                ProcessExit::Killed | ProcessExit::Terminated(Some(0)) => continue,
                ProcessExit::Terminated(code) => format!("exited with {code:?} after SIGTERM"),
                ProcessExit::Unexpected(code) => format!("exited without a signal, with {code:?}"),
            };
            let last = process
                .log
                .last()
                .map(|l| l.fields.to_string())
                .unwrap_or_default();
            self.add(
                "exits",
                process.until,
                process_name(process),
                format!("{what}; last log line: {last}"),
            );
        }
    }

    fn rules(&self) -> plovercove_gossip::Rules {
        gossip_rules(self.scenario).unwrap_or_default()
    }

    /// Checks that after the last fault all running routers see each other within the time bound, and agree on all nodes.
    fn check_agreement(&mut self) {
        let bound = self.rules().max_convergence_delay() as f64 / 1e6 + TIME_TOLERANCE_S;
        let last = self.record.faults_end;
        let shutdown_start = self.record.shutdown_start;
        let running: Vec<&ProcessRun> = self
            .record
            .processes
            .iter()
            .filter(|p| p.until >= shutdown_start && !p.is_twin)
            .collect();
        for process in &running {
            let seen: Vec<(f64, u64)> = process
                .log
                .iter()
                .filter_map(|l| Some((l.at, l.fields["seen"].as_u64()?)))
                .collect();
            let last_wrong = seen
                .iter()
                .rev()
                .find(|(at, n)| *at < shutdown_start && *n != running.len() as u64);
            let last_seen = seen.iter().rev().find(|(at, _)| *at < shutdown_start);
            let is_still_wrong = last_seen.is_none_or(|(_, n)| *n != running.len() as u64);
            // The router saw a wrong number of members until it logged the next number.
            let until = match (last_wrong, is_still_wrong) {
                (_, true) => f64::INFINITY,
                (Some((at, _)), _) => seen
                    .iter()
                    .find(|(next, _)| next > at)
                    .map_or(*at, |(next, _)| *next),
                (None, false) => 0.0,
            };
            if until > last + bound {
                let what = format!(
                    "sees the right number of members only at {until:.2} s; {bound:.1} s after {last:.2} s were allowed"
                );
                self.violations.push(Violation {
                    check: "agreement",
                    at: last,
                    who: process_name(process),
                    what,
                });
            }
        }
        if self.record.agreed_at.is_none() {
            self.add(
                "agreement",
                last,
                "all".into(),
                "the routers do not agree on the members and the nodes".into(),
            );
        }
    }

    /// Checks that no router is reported as down while it is running and reachable.
    fn check_down_reports(&mut self) {
        let rules = self.rules();
        let window = (4 * rules.probe_ms + rules.suspect_ms) as f64 / 1e3 + 2.0;
        for process in &self.record.processes {
            for line in process
                .log
                .iter()
                .filter(|l| text_field(&l.fields, "reason") == "peer down")
            {
                let (at, down_router) = (line.at, text_field(&line.fields, "router"));
                let number = down_router
                    .strip_prefix('n')
                    .and_then(|n| n.parse::<usize>().ok());
                let is_excused = at < 0.0
                    || number.is_none_or(|n| self.was_disrupted(n, at - window, at))
                    || self.was_disrupted(process.router, at - window, at)
                    || self
                        .record
                        .link_faults
                        .iter()
                        .any(|c| c.0 <= at && c.1 + window >= at)
                    || self
                        .scenario
                        .faults
                        .iter()
                        .any(|f| matches!(f.what, What::Twin { .. }) && f.at <= at)
                    || at >= self.record.shutdown_start;
                if !is_excused {
                    self.add(
                        "downs",
                        at,
                        process_name(process),
                        format!(
                            "reports {down_router} as down although it is running and reachable"
                        ),
                    );
                }
            }
        }
    }

    /// Returns whether a fault of this node was in force at this time, or evidence of it may still be valid.
    fn is_faulty_at(&self, number: usize, at: f64) -> bool {
        let max_evidence_age = self.rules().max_evidence_age() as f64 / 1e6;
        let mut faults = self
            .record
            .node_faults
            .iter()
            .filter(|n| n.target == number);
        faults.any(|n| {
            n.from - TIME_TOLERANCE_S <= at && at <= n.until + max_evidence_age + TIME_TOLERANCE_S
        })
    }

    /// Returns the faults that affect a node.
    fn faults_of_node(&self, number: usize) -> Vec<&What> {
        let node_zones: Vec<usize> = self.record.node_placement.iter().map(|p| p.0).collect();
        let names = |n: &String| {
            super::runner::select(n, 's', &node_zones, &self.scenario.zones)
                .is_ok_and(|all| all.contains(&number))
        };
        let all = self.scenario.faults.iter().map(|f| &f.what);
        all.filter(|what| what.nodes().iter().any(names)).collect()
    }

    /// Returns whether the only faults of a node were cut connections of routers whose observations must not eject it.
    ///
    /// These are cuts that affect one router, the routers of one zone, or routers that cannot reach more than a third of all
    /// nodes.
    fn has_only_link_faults(&self, number: usize) -> bool {
        let zones = self.scenario.routers();
        let node_zones: Vec<usize> = self.record.node_placement.iter().map(|p| p.0).collect();
        let select_all = |names: &[String], letter: char, zone_of: &[usize]| {
            let each = |n: &String| {
                super::runner::select(n, letter, zone_of, &self.scenario.zones).unwrap_or_default()
            };
            names.iter().flat_map(each).collect::<BTreeSet<usize>>()
        };
        let (mut affected_routers, mut affects_many_nodes) = (BTreeSet::new(), true);
        for what in self.faults_of_node(number) {
            let What::Wires { routers, nodes, .. } = what else {
                return false;
            };
            affected_routers.extend(select_all(routers, 'n', &zones));
            affects_many_nodes &= select_all(nodes, 's', &node_zones).len() * 3 > node_zones.len();
        }
        let affected_zones: BTreeSet<usize> = affected_routers.iter().map(|r| zones[*r]).collect();
        !affected_routers.is_empty()
            && (affected_routers.len() == 1
                || affects_many_nodes
                || (affected_zones.len() == 1 && self.scenario.zones.len() > 1))
    }

    /// Checks that no node is ejected without a fault, or for longer than the evidence is valid, and that at most a third of a
    /// group is ejected.
    fn check_ejections(&mut self) {
        let max_evidence_age = self.rules().max_evidence_age() as f64 / 1e6;
        let mut found = Vec::new();
        for process in &self.record.processes {
            let mut levels: BTreeMap<&str, &str> = BTreeMap::new();
            for line in process
                .log
                .iter()
                .filter(|l| text_field(&l.fields, "reason") == "verdict")
            {
                let (node, level, at) = (
                    text_field(&line.fields, "node"),
                    text_field(&line.fields, "level"),
                    line.at,
                );
                let Some((number, new)) = parse_node_name(node) else {
                    continue;
                };
                let was = levels.insert(node, level);
                let age = line.fields["oldest_ms"].as_f64().unwrap_or(0.0) / 1e3;
                if level == "out" {
                    if new || !self.is_faulty_at(number, at) {
                        found.push((
                            "innocent",
                            at,
                            process_name(process),
                            format!("{node} is ejected without a fault"),
                        ));
                    }
                    if self.has_only_link_faults(number) {
                        found.push((
                            "links",
                            at,
                            process_name(process),
                            format!("{node} is ejected for link faults of its observers"),
                        ));
                    }
                }
                let slow = self
                    .faults_of_node(number)
                    .iter()
                    .all(|what| matches!(what, What::NodeSlow { .. }));
                if level == "out" && slow && number.is_multiple_of(self.scenario.members) {
                    found.push((
                        "primary",
                        at,
                        process_name(process),
                        format!("{node} is a primary and ejected for being slow"),
                    ));
                }
                if level == "out" && age > max_evidence_age {
                    found.push((
                        "evidence",
                        at,
                        process_name(process),
                        format!("{node} is ejected on evidence that is {age:.2} s old"),
                    ));
                }
                if was == Some("out")
                    && level != "out"
                    && !self.is_faulty_at(number, at)
                    && !self.was_recently_disrupted(process, at)
                {
                    found.push((
                        "evidence",
                        at,
                        process_name(process),
                        format!("{node} remained ejected until then"),
                    ));
                }
                let Some((_, group)) = self.record.node_placement.get(number).copied() else {
                    continue;
                };
                let same = |other: &str| {
                    parse_node_name(other)
                        .is_some_and(|(n, _)| self.record.node_placement[n].1 == group)
                };
                let out = levels
                    .iter()
                    .filter(|(n, l)| **l == "out" && same(n))
                    .count();
                let members = self
                    .record
                    .node_placement
                    .iter()
                    .filter(|p| p.1 == group)
                    .count();
                if out > members / 3 {
                    found.push((
                        "third",
                        at,
                        process_name(process),
                        format!("{out} of {members} of group {group} are ejected"),
                    ));
                }
            }
            for (node, _) in levels.into_iter().filter(|(_, level)| *level == "out") {
                let Some((number, _)) = parse_node_name(node) else {
                    continue;
                };
                if process.until >= self.record.shutdown_start
                    && !self.is_faulty_at(number, self.record.shutdown_start)
                {
                    found.push((
                        "evidence",
                        process.until,
                        process_name(process),
                        format!("{node} is still ejected at the end of the process"),
                    ));
                }
            }
        }
        for (check, at, who, what) in found {
            self.add(check, at, who, what);
        }
    }

    /// Returns whether a fault was injected into a process shortly before. A stopped process cannot react.
    fn was_recently_disrupted(&self, process: &ProcessRun, at: f64) -> bool {
        self.was_disrupted(process.router, at - RECOVERY_GRACE_S, at)
    }

    /// Returns the zones with a router that sent a node enough statements between the beginning of its fault and the time at
    /// which the evidence has to be complete.
    fn zones_with_observers(&self, number: usize, from: f64) -> BTreeSet<usize> {
        let requests = self.record.requests.iter();
        let router_of: HashMap<&str, usize> = requests.map(|r| (r.id.as_str(), r.router)).collect();
        let mut statement_counts: HashMap<usize, usize> = HashMap::new();
        for statement in self.record.unserved.get(number).into_iter().flatten() {
            if let Some(router) = router_of.get(statement.id.as_str())
                && (from..=from + EVIDENCE_WINDOW_S).contains(&statement.at)
            {
                *statement_counts.entry(*router).or_default() += 1;
            }
        }
        let zones = self.scenario.routers();
        let often = statement_counts
            .into_iter()
            .filter(|(_, count)| *count >= MIN_STATEMENTS_PER_OBSERVER);
        often.map(|(router, _)| zones[router]).collect()
    }

    /// Returns whether the routers have enough evidence to eject a node. If there are two or more zones, failures that only
    /// one zone observes may be faults of its links.
    fn has_enough_evidence(&self, number: usize, from: f64) -> bool {
        let zones: BTreeSet<usize> = self.scenario.routers().into_iter().collect();
        zones.len() < 2 || self.zones_with_observers(number, from).len() >= 2
    }

    /// Checks that all routers that can have the evidence eject a faulty node within the time bound.
    fn check_reactions(&mut self) {
        let bound = self.rules().max_reaction_delay() as f64 / 1e6 + EVIDENCE_WINDOW_S;
        for wanted in &self.scenario.out {
            let Some((number, _)) = parse_node_name(wanted) else {
                continue;
            };
            let Some(from) = self
                .record
                .node_faults
                .iter()
                .filter(|n| n.target == number)
                .map(|n| n.from)
                .reduce(f64::min)
            else {
                continue;
            };
            if !self.has_enough_evidence(number, from) {
                continue;
            }
            let mut late = Vec::new();
            for process in self
                .record
                .processes
                .iter()
                .filter(|l| l.from <= from && l.until >= from + bound && !l.is_twin)
            {
                if self.was_disrupted(process.router, from, from + bound) {
                    continue;
                }
                let out = process.log.iter().any(|l| {
                    text_field(&l.fields, "node") == wanted
                        && text_field(&l.fields, "level") == "out"
                        && (from..=from + bound).contains(&l.at)
                });
                if !out {
                    late.push((
                        from + bound,
                        process_name(process),
                        format!("{wanted} is not ejected {bound:.1} s after {from:.1} s"),
                    ));
                }
            }
            // A router that starts during the fault gets the evidence from the others as soon as it has found them.
            let until = self
                .record
                .node_faults
                .iter()
                .filter(|n| n.target == number)
                .map(|n| n.until)
                .fold(0.0, f64::max);
            let all = self
                .record
                .processes
                .iter()
                .filter(|l| l.until >= self.record.faults_end && !l.is_twin)
                .count();
            for process in self
                .record
                .processes
                .iter()
                .filter(|l| l.from > from && !l.is_twin)
            {
                let found = process
                    .log
                    .iter()
                    .find(|l| l.fields["seen"].as_u64() == Some(all as u64))
                    .map(|l| l.at);
                let Some(found) = found.filter(|at| at + bound < until.min(process.until)) else {
                    continue;
                };
                let out = process.log.iter().any(|l| {
                    text_field(&l.fields, "node") == wanted
                        && text_field(&l.fields, "level") == "out"
                        && l.at <= found + bound
                });
                if !out {
                    let what = format!(
                        "{wanted} is not ejected {bound:.1} s after it found the others at {found:.1} s"
                    );
                    late.push((found + bound, process_name(process), what));
                }
            }
            for (at, who, what) in late {
                self.add("acts", at, who, what);
            }
        }
    }

    /// Checks that no router sends more than its budget, according to the counters of the links.
    fn check_budgets(&mut self) {
        let rules = self.rules();
        // A router may have saved up the budget of half a second.
        let most = |rate: u32| (f64::from(rate) * 1.5) as u64 + 1;
        for (router, sent) in self.record.traffic.sent.iter().enumerate() {
            for (second, (datagrams, bytes)) in sent.iter().enumerate() {
                if *datagrams > most(rules.datagrams_per_s) || *bytes > most(rules.bytes_per_s) {
                    let what = format!("{datagrams} datagrams and {bytes} bytes in a second");
                    let at = second as f64 - self.record.joined_after;
                    self.violations.push(Violation {
                        check: "budgets",
                        at,
                        who: format!("n{router}"),
                        what,
                    });
                }
            }
        }
        if self.record.traffic.longest > plovercove_gossip::MAX_DATAGRAM_BYTES {
            let what = format!("a datagram of {} bytes", self.record.traffic.longest);
            self.add("budgets", 0.0, "links".into(), what);
        }
    }

    /// Checks that events of which operators have to know are logged, and not too often.
    fn check_log_lines(&mut self) {
        let count_lines = |reason: &str| {
            let of = move |l: &super::runner::LogLine| text_field(&l.fields, "reason") == reason;
            self.record
                .processes
                .iter()
                .map(|process| process.log.iter().filter(|l| of(l)).count())
                .collect::<Vec<_>>()
        };
        let twins = self
            .scenario
            .faults
            .iter()
            .any(|f| matches!(f.what, What::Twin { .. }));
        let flood = self
            .scenario
            .faults
            .iter()
            .any(|f| matches!(f.what, What::Flood { .. }));
        let (twin_lines, dropped) = (count_lines("twins"), count_lines("dropped"));
        if twins && twin_lines.iter().sum::<usize>() == 0 {
            self.add(
                "told",
                0.0,
                "all".into(),
                "no router logs that two routers have the same name".into(),
            );
        }
        if flood && dropped.iter().sum::<usize>() == 0 {
            self.add(
                "told",
                0.0,
                "all".into(),
                "no router logs datagrams with a wrong key".into(),
            );
        }
        for (process, lines) in self.record.processes.iter().zip(dropped) {
            // One line per ten seconds for each of eight causes.
            let most = 8.0 * ((process.until - process.from) / 10.0 + 1.0);
            if lines as f64 > most {
                self.violations.push(Violation {
                    check: "told",
                    at: process.until,
                    who: process_name(process),
                    what: format!("{lines} log lines on dropped datagrams"),
                });
            }
        }
    }
}
